/*
 * caller_listener - the HTTP listener of the native interface
 *
 * Used if the setting "interface" is "native"; net/traffic.c serves the platform
 * interface.  Serves OpenAI-compatible endpoints, and other services under
 * /services/NAME/.  Validates each request against the current catalogue; a request
 * that is refused here was not executed.
 */
#ifndef HORNBEAMWALL_NET_CALLER_LISTENER_H
#define HORNBEAMWALL_NET_CALLER_LISTENER_H

#include "hornbeamwall/net/http_server.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwCallerListener HbwCallerListener;

/* Starts the listener.  CONTROL and SETTINGS must outlive it.  Returns NULL and sets
   ERROR if the address cannot be bound. */
HbwCallerListener *hbw_caller_listener_create (HbwControl *control,
                                               const HbwSettings *settings,
                                               HbwError *error);

/* Stops accepting connections; open connections stay open. */
void hbw_caller_listener_quiesce (HbwCallerListener *listener);

/* Waits for the threads of all connections, then frees the listener. */
void hbw_caller_listener_destroy (HbwCallerListener *listener);

/* Returns the port that was bound. */
guint hbw_caller_listener_port (const HbwCallerListener *listener);

#endif
