/*
 * downstream - a connection from a caller
 *
 * Reads requests one after another and passes each to an exchange.  While a response
 * is in progress, later requests are only buffered, and the connection is watched
 * for the caller to close it.
 */
#ifndef HORNBEAMWALL_NET_DOWNSTREAM_H
#define HORNBEAMWALL_NET_DOWNSTREAM_H

#include "hornbeamwall/net/http_parser.h"
#include "hornbeamwall/net/traffic_state.h"

/* Bytes waiting for a slow caller above which reading from the server pauses. */
#define HBW_DOWNSTREAM_PENDING_BYTES_MAX ((gsize) 256 * 1024)

/* Takes ownership of the connected socket FD and serves the caller. */
void hbw_downstream_adopt (HbwTraffic *traffic, int fd);

/* Closes the connected socket FD of a caller, as there is no room for it. */
void hbw_downstream_turn_away (int fd);

/* Closes the connection that has waited longest for a request, if its idle timeout
   has passed.  Returns FALSE if there is none. */
gboolean hbw_downstream_close_past_limit (HbwTraffic *traffic);

/* Refuses the request that is being read, as there is no memory for it, and closes
   the connection. */
void hbw_downstream_refuse_overload (HbwDownstream *downstream);

/* Resets the connection, so that the caller cannot mistake a partial response for a
   complete one. */
void hbw_downstream_abort (HbwDownstream *downstream);

/* Returns whether a caller waits for a response, or for the rest of one. */
gboolean hbw_downstream_any_in_use (const HbwTraffic *traffic);

/* Closes the connections on which nothing of a request has come. */
void hbw_downstream_close_idle (HbwTraffic *traffic);

/* Closes all connections immediately. */
void hbw_downstream_abort_all (HbwTraffic *traffic);

/* A response without a body, whose head states no length. */
#define HBW_DOWNSTREAM_NO_BODY (-2)

/* Sends the status and the header fields FIELDS (each line ends with CRLF).  LENGTH
   is the size of the body, -1 if it is not known, or HBW_DOWNSTREAM_NO_BODY. */
void hbw_downstream_begin_response (HbwDownstream *downstream, guint status,
                                    const char *fields, gint64 length);

/* Sends a part of the response body. */
void hbw_downstream_write_body (HbwDownstream *downstream, const guint8 *bytes,
                                gsize length);

/* Completes the response and continues with the caller's next request. */
void hbw_downstream_end_response (HbwDownstream *downstream);

/* Returns whether more than HBW_DOWNSTREAM_PENDING_BYTES_MAX bytes wait to be sent,
   or many fewer while much memory is used, so that reading from the server should
   pause. */
gboolean hbw_downstream_is_backlogged (const HbwDownstream *downstream);

#endif
