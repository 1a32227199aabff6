/*
 * upstream - pool of keep-alive connections to backend servers
 *
 * A connection carries one request at a time.  It is reused only after a complete
 * response with no bytes after it, and only well within the server's idle timeout,
 * so that a request is rarely sent on a connection that the server is closing.  A
 * faulty server may send an earlier response once more, so that a connection carries
 * an id only once.  Requests are never retried here.
 */
#ifndef HORNBEAMWALL_NET_UPSTREAM_H
#define HORNBEAMWALL_NET_UPSTREAM_H

#include "hornbeamwall/net/byte_blocks.h"
#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/http_parser.h"
#include "hornbeamwall/net/memory_budget.h"

typedef struct HbwUpstreamPool HbwUpstreamPool; /* connections of one loop */
typedef struct HbwUpstream HbwUpstream; /* a connection with one request, or none */

/* What to do with a response whose head was just read. */
typedef enum
{
  HBW_RESPONSE_ACCEPT,
  HBW_RESPONSE_SKIP,   /* it responds to an earlier request on the connection */
  HBW_RESPONSE_REJECT, /* it is not a valid response to this request */
} HbwResponseAction;

/* How a request on a connection ended. */
typedef enum
{
  HBW_UPSTREAM_COMPLETE,
  HBW_UPSTREAM_COMPLETE_BY_CLOSE, /* it has neither a length nor chunks */
  HBW_UPSTREAM_NOT_CONNECTED,     /* no byte of the request was sent */
  HBW_UPSTREAM_NO_TUNNEL, /* the same, as another instance did not open the way */
  HBW_UPSTREAM_NOT_LISTENING, /* the server refuses connections, as far as that is
                                 known; hbw_upstream_open() only */
  HBW_UPSTREAM_BROKEN,        /* the response is incomplete or not valid */
} HbwUpstreamEnd;

/* Why a response is dropped, or only its beginning is forwarded. */
typedef enum
{
  HBW_RESPONSE_FAULT_INVALID,  /* it is malformed */
  HBW_RESPONSE_FAULT_REJECTED, /* by handle_head(), or there were too many to skip */
  HBW_RESPONSE_FAULT_ENDED,    /* the connection ended within it */
  HBW_RESPONSE_FAULT_RESET,    /* the connection was reset or lost within it */
} HbwResponseFault;

/* Callbacks of an upstream; the structure is embedded in the owner's.  The upstream
   must not be used after handle_end(); handle_head() and handle_body() may cancel
   it.  On a connection that is reused, handle_open() is called before
   hbw_upstream_send() returns. */
typedef struct HbwUpstreamHandler HbwUpstreamHandler;
typedef struct
{
  /* The connection is open, and the request is being sent. */
  void (*handle_open) (HbwUpstreamHandler *handler);
  HbwResponseAction (*handle_head) (HbwUpstreamHandler *handler, HbwHttpHead *head);
  void (*handle_body) (HbwUpstreamHandler *handler, const char *bytes, gsize length);
  void (*handle_end) (HbwUpstreamHandler *handler, HbwUpstreamEnd end);
  /* A response that had begun failed with FAULT at POSITION; handle_end() follows.
     Optional. */
  void (*handle_fault) (HbwUpstreamHandler *handler, HbwResponseFault fault,
                        HbwFramingState position);
} HbwUpstreamHandlerClass;
struct HbwUpstreamHandler
{
  const HbwUpstreamHandlerClass *class;
};

typedef struct
{
  const char *server_name;    /* whose idle connections may be reused */
  const char *address;        /* IP address and port */
  const char *tunnel_address; /* where another instance opens the way; NULL or "":
                                 direct */
  gint64 opened_since_us;     /* idle connections that are older are closed */
  const char *request_id;     /* in the response, too; NULL or "": none, a new
                                 connection is opened */
  GBytes *request;            /* head and body, or its beginning */
  HbwByteBlocks *body;        /* the rest of it, or NULL */
  gboolean is_head_request;
  gint64 connect_timeout_us;
} HbwUpstreamConfig;

/* Creates a pool whose direct connections have the IP address SOURCE, "" for any;
   borrowed. */
HbwUpstreamPool *hbw_upstream_pool_create (HbwLoop *loop, const char *source);

/* Counts further connections in BUDGET (borrowed), which may close idle ones. */
void hbw_upstream_pool_set_memory (HbwUpstreamPool *pool, HbwMemoryBudget *budget);

/* Closes all connections without calling their handlers. */
void hbw_upstream_pool_destroy (HbwUpstreamPool *pool);

/* Sends a request.  If the connection fails immediately, calls handle_end() and
   returns NULL. */
HbwUpstream *hbw_upstream_send (HbwUpstreamPool *pool,
                                const HbwUpstreamConfig *config,
                                HbwUpstreamHandler *handler);

/* Opens a connection and sends nothing; it can carry requests afterwards.  Calls
   handle_end() with HBW_UPSTREAM_COMPLETE once the server has accepted it, otherwise
   with the reason.  If it fails immediately, calls handle_end() and returns NULL. */
HbwUpstream *hbw_upstream_open (HbwUpstreamPool *pool,
                                const HbwUpstreamConfig *config,
                                HbwUpstreamHandler *handler);

/* Ends the request and closes its connection; handle_end() is not called. */
void hbw_upstream_cancel (HbwUpstream *upstream);

/* Pauses or resumes reading the response. */
void hbw_upstream_set_reading (HbwUpstream *upstream, gboolean reading);

/* Returns whether the server has sent bytes that were not read yet. */
gboolean hbw_upstream_has_unread_bytes (const HbwUpstream *upstream);

/* Detaches the handler and discards the rest of the response, so that the connection
   can be reused. */
void hbw_upstream_detach (HbwUpstream *upstream);

/* Closes the idle connections to SERVER. */
void hbw_upstream_pool_close_idle (HbwUpstreamPool *pool, const char *server);

/* Returns whether the connection has carried other requests before this one. */
gboolean hbw_upstream_was_reused (const HbwUpstream *upstream);

/* Returns the time at which the connection was opened. */
gint64 hbw_upstream_opened_us (const HbwUpstream *upstream);

/* Returns the time at which SERVER last sent bytes on any connection, direct ones or
   those through TUNNEL_ADDRESS; 0 is never. */
gint64 hbw_upstream_pool_last_received_us (const HbwUpstreamPool *pool,
                                           const char *server,
                                           const char *tunnel_address);

/* Returns the time at which any server last sent bytes on a direct connection. */
gint64 hbw_upstream_pool_last_heard_us (const HbwUpstreamPool *pool);

#endif
