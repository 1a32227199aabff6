/*
 * proxy - a loopback proxy that harms the connections through it
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_PROXY_H
#define HORNBEAMWALL_TESTS_STANDIN_PROXY_H

#include <glib.h>

typedef enum
{
  PROXY_PASS,
  PROXY_DELAY,    /* every piece waits a little */
  PROXY_RESET,    /* every connection is reset, new ones too */
  PROXY_CUT_UP,   /* what the client sends is lost */
  PROXY_CUT_DOWN, /* what the server sends is lost */
  PROXY_SILENT,   /* both */
  PROXY_MODES,
} ProxyMode;

typedef struct Proxy Proxy;

/* Takes any port of 127.0.0.1 and passes its connections on to PORT there. */
Proxy *proxy_create (guint port);
void proxy_destroy (Proxy *proxy);
guint proxy_port (const Proxy *proxy);
void proxy_set_mode (Proxy *proxy, ProxyMode mode);

/* Passes connections on to another port from now on. */
void proxy_set_target (Proxy *proxy, guint port);

#endif
