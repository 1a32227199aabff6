/*
 * traffic - the thread that serves callers
 *
 * One event loop holds all connections to callers and to backend servers.  It asks
 * the control thread about each request and carries out its orders.
 */
#ifndef HORNBEAMWALL_NET_TRAFFIC_H
#define HORNBEAMWALL_NET_TRAFFIC_H

#include "hornbeamwall/net/traffic_state.h"

/* Listens at the caller address, and at the readiness address if the settings name
   one, and starts the thread. */
HbwTraffic *hbw_traffic_create (HbwControl *control, const HbwSettings *settings,
                                HbwFront *front, HbwError *error);

/* Ends the thread and closes every connection. */
void hbw_traffic_destroy (HbwTraffic *traffic);

/* Lets each connection end with its present request; may be called from any thread.
 */
void hbw_traffic_drain (HbwTraffic *traffic);

/* Returns the port that was bound for callers. */
guint hbw_traffic_port (const HbwTraffic *traffic);

#endif
