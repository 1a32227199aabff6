/*
 * tunnel - the way to a backend server for another instance
 *
 * An instance that has lost the path to the servers connects to another one, and
 * sends the id of a server, HBW_TUNNEL_ASK_FRAMED and a line feed.  The other
 * instance connects to that server, if it knows it, and answers with one of the
 * bytes below.  After HBW_TUNNEL_OPEN_FRAMED, all bytes are passed on in both
 * directions, those of the server as net/tunnel_frame.h describes, so that the
 * request, its cancellation by a close, the server's end and a reset in mid-response
 * look as on a direct connection.  Of what is passed on, at most
 * HBW_TUNNEL_PENDING_BYTES_MAX bytes wait in each direction.
 *
 * Earlier versions ignore HBW_TUNNEL_ASK_FRAMED, or do not send it; the answer is
 * then HBW_TUNNEL_OPEN, and the server's bytes come as they are.  The end of such a
 * tunnel never completes a response.
 */
#ifndef HORNBEAMWALL_NET_TUNNEL_H
#define HORNBEAMWALL_NET_TUNNEL_H

#include "hornbeamwall/net/traffic_state.h"

#define HBW_TUNNEL_OPEN '+'
#define HBW_TUNNEL_OPEN_FRAMED '*'
#define HBW_TUNNEL_NO_SERVER '-' /* the server accepts no connection */
#define HBW_TUNNEL_UNAVAILABLE                                                      \
  '!' /* the instance has no path, or too many tunnels */

/* Asks for frames.  It begins with a null byte, at which earlier versions end the
 * id.
 */
#define HBW_TUNNEL_ASK_FRAMED "\0f"
#define HBW_TUNNEL_ASK_FRAMED_SIZE 2

#define HBW_TUNNELS_MAX 512
#define HBW_TUNNEL_PENDING_BYTES_MAX ((gsize) 64 * 1024)

/* Takes ownership of the connected socket FD of another instance. */
void hbw_tunnel_adopt (HbwTraffic *traffic, int fd);

/* Handles the answer to HBW_EVENT_TUNNEL_ASKED. */
void hbw_tunnel_handle_answer (HbwTraffic *traffic, const HbwAnswerTunnel *answer);

/* Returns whether a request of another instance seems to be in progress. */
gboolean hbw_tunnel_any_in_use (const HbwTraffic *traffic);

/* Closes all tunnels. */
void hbw_tunnel_abort_all (HbwTraffic *traffic);

#endif
