/*
 * proxy - loopback TCP proxy that injects network faults
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_PROXY_H
#define HORNBEAMWALL_TESTS_STANDIN_PROXY_H

#include <glib.h>

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,            /* delay all data */
  PROXY_RESET,            /* reset all connections, including new ones */
  PROXY_DROP_FROM_CLIENT, /* drop data from the client */
  PROXY_DROP_FROM_SERVER, /* drop data from the server */
  PROXY_DROP_ALL,         /* drop data in both directions */
  PROXY_ABSORB,           /* the same; a cut accepts new connections */
  /* A connection that has lost data ends with a reset: nothing follows it. */
  PROXY_MODE_COUNT,
} ProxyMode;

typedef struct Proxy Proxy;

/* Listens on a free port of 127.0.0.1 and forwards connections to PORT there. */
Proxy *proxy_create (guint port);

/* The same on OWN_PORT, and refuses connections while IS_UP returns FALSE. */
Proxy *proxy_create_following (guint own_port, guint port,
                               gboolean (*is_up) (void *data), void *is_up_data);
void proxy_destroy (Proxy *proxy);
guint proxy_port (const Proxy *proxy);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);

/* Sets the mode for the connections of clients whose IP address ends with SOURCE;
   unless it is PROXY_PASS or PROXY_ABSORB, their new connections are reset. */
void proxy_set_cut (Proxy *proxy, guint source, ProxyMode mode);

/* Changes the port to which new connections are forwarded. */
void proxy_set_target (Proxy *proxy, guint port);

#endif
