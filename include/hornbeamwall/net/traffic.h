/*
 * traffic - the thread that serves callers of the platform interface
 *
 * Used if the setting "interface" is "platform"; net/caller_listener.c serves the
 * native interface.  One event loop handles all connections to callers and to
 * backend servers.  Each request is submitted to the control thread, and the
 * commands that it returns are executed on the loop.
 */
#ifndef HORNBEAMWALL_NET_TRAFFIC_H
#define HORNBEAMWALL_NET_TRAFFIC_H

#include "hornbeamwall/net/traffic_state.h"

/* Listens at the caller address, and at the readiness address if one is set, and
   starts the thread.  Returns NULL and sets ERROR on failure. */
HbwTraffic *hbw_traffic_create (HbwControl *control, const HbwSettings *settings,
                                HbwProtocolAdapter *adapter, HbwError *error);

/* Stops the thread and closes all connections. */
void hbw_traffic_destroy (HbwTraffic *traffic);

/* Closes each connection after its current request.  Thread-safe. */
void hbw_traffic_drain (HbwTraffic *traffic);

/* Returns whether, after hbw_traffic_drain(), a caller waits for a response or for
   the rest of one, or a request of another instance goes through this one; or,
   after hbw_traffic_close_idle(), what had arrived by then has not been read yet.
   Thread-safe. */
gboolean hbw_traffic_is_in_use (const HbwTraffic *traffic);

/* Accepts no more connections and closes idle ones, so that only requests that have
   come are to be answered.  Thread-safe. */
void hbw_traffic_close_idle (HbwTraffic *traffic);

/* Returns the port that was bound for callers. */
guint hbw_traffic_port (const HbwTraffic *traffic);

#endif
