/*
 * tunnel - the way to a backend server for another instance
 *
 * An instance that has lost the path to the servers connects to another one, and
 * sends the id of a server and a line feed.  The other instance connects to that
 * server, if it knows it, and answers with one of the bytes below.  After
 * HBW_TUNNEL_OPEN, all bytes are passed on in both directions, so that the request,
 * its cancellation by a close, and a reset in mid-response look as on a direct
 * connection.  Of what is passed on, at most HBW_TUNNEL_PENDING_BYTES_MAX bytes wait
 * in each direction.
 */
#ifndef HORNBEAMWALL_NET_TUNNEL_H
#define HORNBEAMWALL_NET_TUNNEL_H

#include "hornbeamwall/net/traffic_state.h"

#define HBW_TUNNEL_OPEN '+'
#define HBW_TUNNEL_NO_SERVER '-' /* the server accepts no connection */
#define HBW_TUNNEL_UNAVAILABLE                                                      \
  '!' /* the instance has no path, or too many tunnels */

#define HBW_TUNNELS_MAX 512
#define HBW_TUNNEL_PENDING_BYTES_MAX ((gsize) 64 * 1024)

/* Takes ownership of the connected socket FD of another instance. */
void hbw_tunnel_adopt (HbwTraffic *traffic, int fd);

/* Handles the answer to HBW_EVENT_TUNNEL_ASKED. */
void hbw_tunnel_handle_answer (HbwTraffic *traffic, const HbwAnswerTunnel *answer);

/* Closes all tunnels. */
void hbw_tunnel_abort_all (HbwTraffic *traffic);

#endif
