/*
 * server_check - opens a connection to a backend server to see whether it listens
 *
 * Nothing is sent, and the connection is closed after a moment.  The result goes to
 * the control thread.
 */
#ifndef HORNBEAMWALL_NET_SERVER_CHECK_H
#define HORNBEAMWALL_NET_SERVER_CHECK_H

#include "hornbeamwall/net/traffic_state.h"

/* Starts the check; it frees itself once it has a result. */
void hbw_server_check_start (HbwTraffic *traffic, const HbwCheckServer *check);

/* Ends all checks in progress, without a result. */
void hbw_server_check_abort_all (HbwTraffic *traffic);

#endif
