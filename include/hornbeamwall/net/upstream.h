/*
 * upstream - pool of keep-alive connections to backend servers
 *
 * A connection carries one request at a time.  It is reused only after a complete
 * response with no bytes after it, and only well within the server's idle timeout,
 * so that a request is rarely sent on a connection that the server is closing.
 * Requests are never retried here.
 */
#ifndef HORNBEAMWALL_NET_UPSTREAM_H
#define HORNBEAMWALL_NET_UPSTREAM_H

#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/parser.h"

typedef struct HbwUpstreams HbwUpstreams; /* connections of one loop */
typedef struct HbwUpstream HbwUpstream; /* a connection with one request, or none */

/* What to do with a response whose head was just read. */
typedef enum
{
  HBW_ANSWER_TAKE,
  HBW_ANSWER_SKIP,  /* it responds to an earlier request on the connection */
  HBW_ANSWER_BREAK, /* it is not a valid response to this request */
} HbwAnswerUse;

/* How a request on a connection ended. */
typedef enum
{
  HBW_UPSTREAM_COMPLETE,
  HBW_UPSTREAM_NOT_CONNECTED, /* no byte of the request was sent */
  HBW_UPSTREAM_BROKEN,        /* the response is incomplete or not valid */
} HbwUpstreamEnd;

/* Callbacks of an upstream; the structure is embedded in the owner's.  The upstream
   must not be used after handle_end(); the other callbacks may cancel it. */
typedef struct HbwUpstreamUser HbwUpstreamUser;
typedef struct
{
  HbwAnswerUse (*handle_head) (HbwUpstreamUser *handler, HbwHead *head);
  void (*handle_body) (HbwUpstreamUser *handler, const char *bytes, gsize length);
  void (*handle_end) (HbwUpstreamUser *handler, HbwUpstreamEnd end);
} HbwUpstreamUserClass;
struct HbwUpstreamUser
{
  const HbwUpstreamUserClass *class;
};

typedef struct
{
  const char *server;  /* whose idle connections may be reused */
  const char *address; /* IP address and port */
  GBytes *request;     /* head and body */
  gboolean answers_head;
  gint64 connect_timeout_us;
} HbwUpstreamConfig;

HbwUpstreams *hbw_upstreams_create (HbwLoop *loop);

/* Closes all connections without calling their handlers. */
void hbw_upstreams_destroy (HbwUpstreams *pool);

/* Sends a request.  If the connection fails immediately, calls handle_end() and
   returns NULL. */
HbwUpstream *hbw_upstream_send (HbwUpstreams *pool, const HbwUpstreamConfig *config,
                                HbwUpstreamUser *handler);

/* Ends the request and closes its connection; handle_end() is not called. */
void hbw_upstream_cancel (HbwUpstream *upstream);

/* Pauses or resumes reading the response. */
void hbw_upstream_set_reading (HbwUpstream *upstream, gboolean reading);

/* Detaches the handler and discards the rest of the response, so that the connection
   can be reused. */
void hbw_upstream_detach (HbwUpstream *upstream);

/* Returns the time at which SERVER last sent bytes on any connection; 0 is never. */
gint64 hbw_upstreams_heard_us (const HbwUpstreams *pool, const char *server);

#endif
