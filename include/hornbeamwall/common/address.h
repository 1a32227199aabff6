/*
 * address - IPv4 address and port, such as "127.0.0.1:8080"
 */
#ifndef HORNBEAMWALL_COMMON_ADDRESS_H
#define HORNBEAMWALL_COMMON_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>

/* Size of the text of an IP address, in bytes, including the terminating NUL. */
#define HBW_HOST_MAX 64

typedef struct
{
  char host[HBW_HOST_MAX];
  guint port;
} HbwHostPort;

/* Parses TEXT; returns FALSE if it is not an IPv4 address with a port. */
gboolean hbw_address_parse (const char *text, HbwHostPort *address);

/* Converts TEXT to a socket address; returns FALSE if it is not an IPv4 address with
   a port. */
gboolean hbw_address_to_socket (const char *text, struct sockaddr_in *address);

#endif
