/*
 * relay - serves one request of the native interface
 *
 * The native interface is the one of net/caller_listener.c.  Submits the request to
 * the reducer, executes the reducer's commands and returns the response to the
 * caller.
 */
#ifndef HORNBEAMWALL_NET_RELAY_H
#define HORNBEAMWALL_NET_RELAY_H

#include "hornbeamwall/net/http_server.h"
#include "hornbeamwall/runtime/control.h"

typedef struct
{
  HbwControl *control;
  const HbwSettings *settings;
  HbwRequestSpec spec;
  const char *path;            /* on the backend server */
  const char *idempotency_key; /* of a request that is not idempotent, or NULL */
  const char *body;
  gsize body_length;
} HbwRelayConfig;

/* Serves the request until its response is queued or, for an event stream, has
   started.  Blocks. */
enum MHD_Result hbw_relay_run (const HbwRelayConfig *config,
                               HbwHttpRequest *request);

#endif
