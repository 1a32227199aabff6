/*
 * address - an IP number and a port, as "127.0.0.1:8080"
 */
#ifndef HORNBEAMWALL_COMMON_ADDRESS_H
#define HORNBEAMWALL_COMMON_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>

/* Longest IP number, in bytes, with its end mark. */
#define HBW_HOST_MAX 64

typedef struct
{
  char host[HBW_HOST_MAX];
  guint port;
} HbwHostPort;

/* Takes TEXT apart; returns FALSE where it is no IPv4 number with a port. */
gboolean hbw_address_parse (const char *text, HbwHostPort *address);

/* Sets ADDRESS to what TEXT stands for; returns FALSE where that is no IPv4 number
   with a port. */
gboolean hbw_address_to_socket (const char *text, struct sockaddr_in *address);

#endif
