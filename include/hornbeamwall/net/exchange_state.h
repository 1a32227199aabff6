/*
 * exchange_state - the state of an exchange, private to its source files
 *
 * For net/exchange*.c only.
 */
#ifndef HORNBEAMWALL_NET_EXCHANGE_STATE_H
#define HORNBEAMWALL_NET_EXCHANGE_STATE_H

#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/exchange.h"

/* Request field that asks for an event stream to resume after an event. */
#define HBW_LAST_EVENT_ID_FIELD "Last-Event-Id"

struct HbwExchange
{
  HbwUpstreamHandler upstream_handler;
  HbwTraffic *traffic;
  HbwMemoryHolder memory;
  HbwDownstream *caller; /* NULL once it has its response or has disconnected */
  guint64 sequence;
  char caller_request_id[HBW_CALLER_REQUEST_ID_MAX];
  HbwHttpHead *request_head;
  HbwByteBlocks *request_body;
  gboolean is_received; /* the request is complete */
  gint64 received_us;
  HbwRequestSpec spec;
  gint64 catalogue_age_us; /* of the catalogue that admitted the request */
  gint64 catalogue_version;
  gboolean submitted; /* to the reducer */

  HbwUpstream *upstream; /* of the attempt in progress, or NULL */
  HbwUpstreamHandler end_check_handler;
  HbwUpstream *end_check; /* shows whether the server still accepts connections,
                             after its response has ended with one; or NULL */
  guint attempt;
  char address[HBW_ADDRESS_MAX]; /* of the server */
  char server[HBW_NAME_MAX];
  char tunnel_address[HBW_ADDRESS_MAX]; /* of the attempt; "": it is direct */
  gboolean tunnel_failed;
  HbwTimer silence_timer; /* the server has sent nothing for silence_timeout_us */
  gint64 silence_timeout_us;
  guint silence_count;          /* consecutive timeouts that were extended */
  gboolean reported_silent;     /* to the reducer, and nothing came since */
  gint64 first_byte_timeout_us; /* longest wait for the response; 0 is no limit */
  gint64 stall_timeout_us; /* longest pause within the response; 0 is no limit */
  gboolean
      has_unread_bytes; /* the server had sent more when the attempt was ended */
  gint64 started_us;
  gint64 sent_us;              /* when the connection was open; 0 is not yet */
  gint64 response_reported_us; /* when bytes of the server were last reported */
  /* Times of the first and the last piece of the response; 0 is none.  A piece is a
     complete event of a stream; the body of any other response is one piece, and
     last_piece_us is then the time of its last bytes. */
  gint64 first_piece_us;
  gint64 last_piece_us;
  gint64 longest_gap_us;
  guint piece_count;

  guint response_status;        /* forwarded to the caller */
  char *response_fields;        /* forwarded to the caller */
  gint64 response_length;       /* of its body; -1 is not known */
  gboolean buffers_response;    /* it is read completely before it is forwarded */
  gboolean continues_stream;    /* the caller had events before this attempt */
  gboolean is_event_stream;     /* text/event-stream with a 2xx status */
  HbwResponseEnd announced_end; /* by the head of the response */
  HbwResponseEnd response_end;
  gboolean response_started;  /* its head has been forwarded */
  gboolean holds_failure;     /* until the reducer decides on a retry */
  gboolean holds_end;         /* the same, as the server refuses connections */
  gboolean response_finished; /* nothing more is sent to the caller */
  GByteArray *response_body;
  HbwEventStream *events;
};

/* Callbacks for the upstream of the attempt in progress. */
extern const HbwUpstreamHandlerClass hbw_exchange_upstream_handler_class;

/* Callbacks for the check of its end. */
extern const HbwUpstreamHandlerClass hbw_exchange_end_check_handler_class;

/* Returns the current time on the loop's clock, in microseconds. */
gint64 hbw_exchange_now (const HbwExchange *exchange);

/* Returns whether the attempt in progress has not been reported as ended. */
gboolean hbw_exchange_has_attempt (const HbwExchange *exchange);

/* Reports to the reducer how the attempt in progress ended. */
void hbw_exchange_report_attempt_end (HbwExchange *exchange, HbwOutcome outcome);

/* Closes the connection of the attempt in progress, if any, without a report. */
void hbw_exchange_drop_attempt (HbwExchange *exchange);

/* Closes the connection of the attempt in progress and reports OUTCOME. */
void hbw_exchange_end_attempt (HbwExchange *exchange, HbwOutcome outcome);

/* Sets how long the server may send nothing; 0 is no limit. */
void hbw_exchange_set_silence_timeout (HbwExchange *exchange, gint64 timeout_us);
void hbw_exchange_handle_silence_timeout (HbwTimer *timer);

/* Forwards the bytes of the response that are still buffered. */
void hbw_exchange_forward_buffered (HbwExchange *exchange);

/* Completes the response to the caller. */
void hbw_exchange_finish_response (HbwExchange *exchange);

/* Resets the caller's connection, so that the caller cannot mistake the partial
   response for a complete one. */
void hbw_exchange_abort_response (HbwExchange *exchange);

/* Records what the exchange holds. */
void hbw_exchange_update_memory (HbwExchange *exchange);

/* Returns the request for the server of the attempt in progress, without the body if
   HAS_BODY is set to FALSE; owned by the caller of the function. */
GBytes *hbw_exchange_build_request (const HbwExchange *exchange, gboolean *has_body);

#endif
