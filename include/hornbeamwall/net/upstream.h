/*
 * upstream - connections to backend servers, kept between requests
 *
 * A connection carries one request at a time.  It is used again only after a whole
 * answer with nothing behind it, and never near the time at which the server closes
 * idle ones, so that a request is rarely sent into a connection that is going away.
 * Nothing is ever sent twice from here.
 */
#ifndef HORNBEAMWALL_NET_UPSTREAM_H
#define HORNBEAMWALL_NET_UPSTREAM_H

#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/parser.h"

typedef struct HbwUpstreams HbwUpstreams; /* all connections of a loop */
typedef struct HbwUpstream HbwUpstream;   /* one request on one connection */

/* What becomes of an answer whose head was just read. */
typedef enum
{
  HBW_ANSWER_TAKE,
  HBW_ANSWER_SKIP,  /* it answers an earlier request of the connection */
  HBW_ANSWER_BREAK, /* it is no answer to this request */
} HbwAnswerUse;

/* How a request on a connection ended. */
typedef enum
{
  HBW_UPSTREAM_COMPLETE,
  HBW_UPSTREAM_NOT_CONNECTED, /* no byte of the request has left */
  HBW_UPSTREAM_BROKEN,        /* the answer broke off, or was none */
} HbwUpstreamEnd;

/* What an upstream tells its user; embedded in it.  After handle_end() the upstream
   is gone; in the others the user may cancel it. */
typedef struct HbwUpstreamUser HbwUpstreamUser;
typedef struct
{
  HbwAnswerUse (*handle_head) (HbwUpstreamUser *user, HbwHead *head);
  void (*handle_body) (HbwUpstreamUser *user, const char *bytes, gsize length);
  void (*handle_end) (HbwUpstreamUser *user, HbwUpstreamEnd end);
} HbwUpstreamUserClass;
struct HbwUpstreamUser
{
  const HbwUpstreamUserClass *class;
};

typedef struct
{
  const char *server;  /* whose connections may be used */
  const char *address; /* IP number and port */
  GBytes *request;     /* whole, with its body */
  gboolean answers_head;
  gint64 connect_timeout_us;
} HbwUpstreamConfig;

HbwUpstreams *hbw_upstreams_create (HbwLoop *loop);
void hbw_upstreams_destroy (HbwUpstreams *upstreams);

/* Sends a request.  handle_end() may come from within the call; NULL is returned
   then. */
HbwUpstream *hbw_upstream_send (HbwUpstreams *upstreams,
                                const HbwUpstreamConfig *config,
                                HbwUpstreamUser *user);

/* Ends the request at once and closes its connection; handle_end() does not come. */
void hbw_upstream_cancel (HbwUpstream *upstream);

/* Stops or goes on reading the answer. */
void hbw_upstream_set_reading (HbwUpstream *upstream, gboolean reading);

/* Lets the rest of the answer be read without its user, so that the connection can
   be used again. */
void hbw_upstream_detach (HbwUpstream *upstream);

/* Returns when SERVER last sent anything on any connection; 0 is never. */
gint64 hbw_upstreams_heard_us (const HbwUpstreams *upstreams, const char *server);

#endif
