#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/server_check.h"
#include "hornbeamwall/net/downstream.h"
#include "hornbeamwall/net/exchange_state.h"
#include "hornbeamwall/net/problem.h"

#include <string.h>

/* Largest response that is buffered completely before it is forwarded, in bytes.  If
   such a response breaks off, the request can be retried on another server. */
#define BUFFERED_RESPONSE_MAX ((guint64) 64 * 1024)

/* A server that is silent on this request but responds to others is slow, not down:
   its silence timeout is extended up to this multiple. */
#define SILENCE_TIMEOUTS_MAX 4

/* The reducer learns at this interval that a server responds. */
#define RESPONSE_REPORT_INTERVAL_US (100 * HBW_US_PER_MS)

/* How long a server may take to accept a connection after its response has ended
   with one, until the end is believed. */
#define END_CHECK_TIMEOUT_US (200 * HBW_US_PER_MS)

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

#define EVENT_STREAM_TYPE "text/event-stream"

/* --- reports to the reducer ------------------------------------------------ */

gint64
hbw_exchange_now (const HbwExchange *exchange)
{
  return hbw_clock_now (hbw_loop_clock (exchange->traffic->loop));
}

/* Returns whether the attempt ended while its server was silent on all connections
   since it was sent. */
static gboolean
is_server_silent (const HbwExchange *exchange, HbwOutcome outcome)
{
  gint64 heard_us = hbw_upstream_pool_last_received_us (
      exchange->traffic->upstream_pool, exchange->server, exchange->tunnel_address);
  gint64 silent_us = hbw_exchange_now (exchange) - MAX (heard_us, exchange->sent_us);
  if (exchange->sent_us == 0 || exchange->has_unread_bytes)
    return FALSE;
  if (outcome == HBW_OUTCOME_BROKEN)
    return silent_us >= HBW_SERVER_SILENT_BEFORE_BREAK_MIN_US;
  return (outcome == HBW_OUTCOME_TIMED_OUT || outcome == HBW_OUTCOME_CANCELLED)
         && silent_us >= HBW_SERVER_SILENT_MIN_US;
}

void
hbw_exchange_report_attempt_end (HbwExchange *exchange, HbwOutcome outcome)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED };
  HbwAttemptEnd *end = &event.end;
  end->sequence = exchange->sequence;
  end->attempt = exchange->attempt;
  end->outcome = outcome;
  end->response_started = exchange->response_started;
  end->is_rejected = exchange->response_status / 100 == 4;
  end->response_end = exchange->response_end;
  end->tokens = exchange->piece_count;
  end->server_silent = is_server_silent (exchange, outcome);
  end->tunnel_failed = exchange->tunnel_failed;
  end->longest_gap_us = exchange->longest_gap_us;
  if (exchange->first_piece_us > 0)
    end->first_token_us = MAX (1, exchange->first_piece_us - exchange->started_us);
  if (exchange->piece_count > 1)
    end->inter_token_us = (exchange->last_piece_us - exchange->first_piece_us)
                          / (exchange->piece_count - 1);
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence_timer);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
report_first_piece (HbwExchange *exchange)
{
  HbwEvent event = { .kind = HBW_EVENT_FIRST_TOKEN };
  event.first_token.sequence = exchange->sequence;
  event.first_token.attempt = exchange->attempt;
  event.first_token.is_event = exchange->is_event_stream;
  event.first_token.is_error = exchange->response_status >= 400;
  event.first_token.first_token_us
      = MAX (1, exchange->first_piece_us - exchange->started_us);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

/* Reports that bytes came on a connection, unless that was reported recently or it
   was opened recently. */
static void
report_response (HbwExchange *exchange)
{
  gint64 opened_us = hbw_upstream_opened_us (exchange->upstream);
  gint64 now_us = hbw_exchange_now (exchange);
  if (now_us - MAX (opened_us, exchange->response_reported_us)
      < RESPONSE_REPORT_INTERVAL_US)
    return;
  exchange->response_reported_us = now_us;
  HbwEvent event = { .kind = HBW_EVENT_SERVER_RESPONDED };
  event.response.connection_opened_us = opened_us;
  event.response.is_tunnelled = *exchange->tunnel_address != '\0';
  g_strlcpy (event.response.server, exchange->server, sizeof event.response.server);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
report_load (HbwExchange *exchange, const HbwResponseInfo *info)
{
  if (!info->has_load)
    return;
  HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT };
  g_strlcpy (event.load.server, exchange->server, sizeof event.load.server);
  event.load.running = info->running;
  event.load.waiting = info->waiting;
  event.load.pace_percent = info->pace_percent;
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

/* Another server at the address of the one that was meant says nothing of it. */
static void
report_notice (HbwExchange *exchange, const HbwResponseInfo *info)
{
  HbwServerNotice notice = info->notice;
  if (info->misdirected)
    return;
  g_strlcpy (notice.server, exchange->server, sizeof notice.server);
  hbw_notice_reporter_report (exchange->traffic->notice_reporter, &notice,
                              hbw_exchange_now (exchange));
}

static void
record_piece (HbwExchange *exchange)
{
  gint64 now_us = hbw_exchange_now (exchange);
  if (exchange->last_piece_us > 0)
    exchange->longest_gap_us
        = MAX (exchange->longest_gap_us, now_us - exchange->last_piece_us);
  exchange->last_piece_us = now_us;
  exchange->piece_count++;
  if (exchange->first_piece_us != 0)
    return;
  exchange->first_piece_us = exchange->last_piece_us;
  report_first_piece (exchange);
}

/* --- the response to the caller -------------------------------------------- */

static gboolean
may_have_body (const HbwExchange *exchange)
{
  return exchange->response_status != STATUS_NO_CONTENT
         && exchange->response_status != STATUS_NOT_MODIFIED
         && strcmp (exchange->request_head->method, "HEAD") != 0;
}

static void
begin_response (HbwExchange *exchange)
{
  if (exchange->response_started || exchange->caller == NULL)
    return;
  exchange->response_started = TRUE;
  gint64 length = exchange->response_length;
  if (length < 0 && !may_have_body (exchange))
    length = HBW_DOWNSTREAM_NO_BODY;
  hbw_downstream_begin_response (exchange->caller, exchange->response_status,
                                 exchange->response_fields, length);
}

static void
forward_bytes (HbwExchange *exchange, const GByteArray *bytes)
{
  if (exchange->caller == NULL || bytes->len == 0)
    return;
  begin_response (exchange);
  hbw_downstream_write_body (exchange->caller, bytes->data, bytes->len);
  if (exchange->upstream != NULL && hbw_downstream_is_backlogged (exchange->caller))
    hbw_upstream_set_reading (exchange->upstream, FALSE);
}

void
hbw_exchange_finish_response (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  begin_response (exchange);
  exchange->response_finished = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_end_response (caller);
}

void
hbw_exchange_abort_response (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  exchange->response_finished = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_abort (caller);
}

gboolean
hbw_exchange_has_attempt (const HbwExchange *exchange)
{
  return exchange->upstream != NULL || exchange->end_check != NULL;
}

void
hbw_exchange_drop_attempt (HbwExchange *exchange)
{
  if (exchange->upstream != NULL)
    hbw_upstream_cancel (exchange->upstream);
  if (exchange->end_check != NULL)
    hbw_upstream_cancel (exchange->end_check);
  exchange->upstream = NULL;
  exchange->end_check = NULL;
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence_timer);
}

void
hbw_exchange_end_attempt (HbwExchange *exchange, HbwOutcome outcome)
{
  exchange->has_unread_bytes = exchange->upstream != NULL
                               && hbw_upstream_has_unread_bytes (exchange->upstream);
  hbw_exchange_drop_attempt (exchange);
  hbw_exchange_report_attempt_end (exchange, outcome);
}

void
hbw_exchange_refuse (HbwExchange *exchange, const HbwRefuseRequest *refuse)
{
  HbwProtocolAdapter *adapter = exchange->traffic->adapter;
  HbwDownstream *caller = exchange->caller;
  if (caller == NULL)
    return;
  HbwProblem problem = hbw_problem_from_refusal (refuse);
  problem.status = adapter->class->refusal_status (refuse, problem.status);
  char *body = hbw_problem_format (&problem);
  GString *fields = g_string_new ("Content-Type: application/problem+json\r\n");
  if (problem.retry_after_us > 0 && refuse->executed == HBW_EXECUTED_NO)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double) problem.retry_after_us / HBW_US_PER_S);
  exchange->caller = NULL;
  exchange->response_finished = TRUE;
  hbw_downstream_begin_response (caller, problem.status, fields->str,
                                 (gint64) strlen (body));
  hbw_downstream_write_body (caller, (const guint8 *) body, strlen (body));
  g_string_free (fields, TRUE);
  g_free (body);
  hbw_downstream_end_response (caller);
}

/* --- the server's response -------------------------------------------------- */

void
hbw_exchange_set_silence_timeout (HbwExchange *exchange, gint64 timeout_us)
{
  exchange->silence_timeout_us = timeout_us;
  exchange->silence_count = 0;
  exchange->reported_silent = FALSE;
  if (timeout_us > 0)
    hbw_loop_set_timer (exchange->traffic->loop, &exchange->silence_timer,
                        timeout_us);
  else
    hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence_timer);
}

static char *
get_forwarded_fields (const HbwHttpHead *head)
{
  GString *fields = g_string_new (NULL);
  HbwHttpField field = { NULL, NULL };
  while (hbw_http_head_next (head, &field))
    if (!hbw_http_field_is_hop_by_hop (field.name))
      g_string_append_printf (fields, "%s: %s\r\n", field.name, field.value);
  return g_string_free (fields, FALSE);
}

static gboolean
is_event_stream (const HbwHttpHead *head)
{
  const char *type = hbw_http_head_find (head, "Content-Type");
  return type != NULL
         && g_ascii_strncasecmp (type, EVENT_STREAM_TYPE, strlen (EVENT_STREAM_TYPE))
                == 0;
}

static HbwResponseEnd
get_announced_end (const HbwHttpHead *head)
{
  if (head->chunked)
    return HBW_RESPONSE_END_CHUNKS;
  return head->has_length ? HBW_RESPONSE_END_LENGTH : HBW_RESPONSE_END_CLOSE;
}

static void
accept_head (HbwExchange *exchange, const HbwHttpHead *head)
{
  gboolean events = is_event_stream (head) && head->status / 100 == 2;
  exchange->announced_end = get_announced_end (head);
  if (exchange->response_started)
    return; /* another server resumes the stream; the caller already has a head */
  exchange->response_status = head->status;
  g_free (exchange->response_fields);
  exchange->response_fields = get_forwarded_fields (head);
  exchange->response_length = head->has_length ? (gint64) head->length : -1;
  exchange->is_event_stream = events;
  if (events)
    exchange->response_length = -1;
  exchange->buffers_response
      = !events && head->has_length && head->length <= BUFFERED_RESPONSE_MAX;
  g_byte_array_set_size (exchange->response_body, 0);
}

static gboolean
is_failure_status (guint status)
{
  return status >= 500;
}

/* Only events may follow the events that the caller has. */
static gboolean
can_continue_stream (const HbwExchange *exchange, const HbwHttpHead *head)
{
  return exchange->is_event_stream && is_event_stream (head)
         && head->status == exchange->response_status;
}

/* Returns whether the response comes from the server itself, not from an
   intermediary, and is not truncated as far as its head shows. */
static gboolean
is_acceptable (const HbwExchange *exchange, const HbwHttpHead *head,
               const HbwResponseInfo *info)
{
  if (hbw_http_head_find (head, "Content-Encoding") != NULL)
    return FALSE; /* callers request no coding, so the server did not apply one */
  if (exchange->response_started)
    return can_continue_stream (exchange, head) && info->has_seal;
  /* Callers would believe the status, though nothing backs it. */
  if (info->claims_not_executed && !info->not_executed)
    return info->has_seal;
  return head->status / 100 != 2 || info->has_seal;
}

static HbwExchange *
exchange_of_upstream (HbwUpstreamHandler *handler)
{
  return caa_container_of (handler, HbwExchange, upstream_handler);
}

/* Only from now on can the server be silent. */
static void
handle_open (HbwUpstreamHandler *handler)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  exchange->sent_us = hbw_exchange_now (exchange);
  hbw_exchange_set_silence_timeout (exchange, exchange->first_byte_timeout_us);
}

/* Returns whether the response is for the request.  One without an id may belong to
   any request that the connection has carried, or to none. */
static gboolean
is_response_to_request (const HbwExchange *exchange, const HbwResponseInfo *info)
{
  if (*info->request_id != '\0')
    return strcmp (info->request_id, exchange->caller_request_id) == 0;
  return !hbw_upstream_was_reused (exchange->upstream);
}

static HbwResponseAction
handle_head (HbwUpstreamHandler *handler, HbwHttpHead *head)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  HbwResponseInfo info = { .request_id = "" };
  exchange->traffic->adapter->class->read_response (head, &info);
  if (!is_response_to_request (exchange, &info))
    return HBW_RESPONSE_SKIP;
  report_response (exchange);
  report_load (exchange, &info);
  report_notice (exchange, &info);
  if (info.not_executed && !exchange->response_started)
    {
      HbwUpstream *upstream = exchange->upstream;
      exchange->upstream = NULL;
      hbw_upstream_detach (upstream);
      hbw_exchange_report_attempt_end (exchange, info.misdirected
                                                     ? HBW_OUTCOME_MISDIRECTED
                                                     : HBW_OUTCOME_REFUSED);
      return HBW_RESPONSE_ACCEPT;
    }
  if (info.not_executed || !is_acceptable (exchange, head, &info))
    return HBW_RESPONSE_REJECT;
  accept_head (exchange, head);
  hbw_exchange_set_silence_timeout (exchange, exchange->stall_timeout_us);
  return HBW_RESPONSE_ACCEPT;
}

static void
forward_events (HbwExchange *exchange, const char *bytes, gsize length)
{
  GByteArray *out = g_byte_array_new ();
  if (!hbw_event_stream_feed (exchange->events, bytes, length))
    {
      g_byte_array_free (out, TRUE);
      hbw_exchange_end_attempt (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  guint pieces = exchange->piece_count;
  while (hbw_event_stream_next (exchange->events, out))
    record_piece (exchange);
  /* A byte of an event now and then is no progress. */
  if (exchange->piece_count > pieces)
    hbw_exchange_set_silence_timeout (exchange, exchange->stall_timeout_us);
  forward_bytes (exchange, out);
  g_byte_array_free (out, TRUE);
  hbw_exchange_update_memory (exchange);
}

static void
handle_body (HbwUpstreamHandler *handler, const char *bytes, gsize length)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  report_response (exchange);
  if (exchange->is_event_stream)
    {
      forward_events (exchange, bytes, length);
      return;
    }
  hbw_exchange_set_silence_timeout (exchange, exchange->stall_timeout_us);
  if (exchange->first_piece_us == 0)
    record_piece (exchange);
  exchange->last_piece_us = hbw_exchange_now (exchange);
  g_byte_array_append (exchange->response_body, (const guint8 *) bytes,
                       (guint) length);
  if (exchange->buffers_response)
    {
      hbw_exchange_update_memory (exchange);
      return;
    }
  forward_bytes (exchange, exchange->response_body);
  g_byte_array_set_size (exchange->response_body, 0);
}

void
hbw_exchange_forward_buffered (HbwExchange *exchange)
{
  if (exchange->is_event_stream)
    hbw_event_stream_take_remainder (exchange->events, exchange->response_body);
  forward_bytes (exchange, exchange->response_body);
  g_byte_array_set_size (exchange->response_body, 0);
}

/* Returns whether a failure response is held back, so that the reducer may retry the
   request on another server. */
static gboolean
should_hold_failure (const HbwExchange *exchange)
{
  return is_failure_status (exchange->response_status) && exchange->buffers_response
         && exchange->spec.idempotent;
}

/* Returns whether a response that has ended cannot be the whole one. */
static gboolean
is_visibly_incomplete (const HbwExchange *exchange)
{
  gboolean is_torn = exchange->is_event_stream
                     && exchange->response_end == HBW_RESPONSE_END_CLOSE
                     && hbw_event_stream_has_partial (exchange->events);
  /* The end of a continuation without an event does not say that the stream is over.
   */
  gboolean is_empty = exchange->continues_stream && exchange->piece_count == 0;
  return is_torn || is_empty;
}

static void
handle_response_complete (HbwExchange *exchange)
{
  gboolean failed = is_failure_status (exchange->response_status);
  if (is_visibly_incomplete (exchange))
    {
      exchange->response_end = HBW_RESPONSE_END_NONE;
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  if (should_hold_failure (exchange))
    {
      exchange->holds_failure = TRUE;
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_FAILED);
      return;
    }
  hbw_exchange_forward_buffered (exchange);
  hbw_exchange_report_attempt_end (exchange, failed ? HBW_OUTCOME_FAILED
                                                    : HBW_OUTCOME_COMPLETE);
  hbw_exchange_finish_response (exchange);
}

/* --- the end of a connection as that of the response ------------------------- */

static HbwExchange *
exchange_of_end_check (HbwUpstreamHandler *handler)
{
  return caa_container_of (handler, HbwExchange, end_check_handler);
}

/* Does nothing: no request is sent. */
static void
handle_check_open (HbwUpstreamHandler *handler G_GNUC_UNUSED)
{
}

/* A process that is killed ends its connections in order, too, but accepts none
   afterwards; whether the server was leaving is known to the reducer. */
static void
handle_check_end (HbwUpstreamHandler *handler, HbwUpstreamEnd end)
{
  HbwExchange *exchange = exchange_of_end_check (handler);
  exchange->end_check = NULL;
  if (end != HBW_UPSTREAM_NOT_LISTENING)
    {
      handle_response_complete (exchange);
      return;
    }
  exchange->holds_end = TRUE;
  hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_BROKEN);
}

const HbwUpstreamHandlerClass hbw_exchange_end_check_handler_class = {
  .handle_open = handle_check_open,
  .handle_end = handle_check_end,
};

/* Sees by a new connection, on the way of the response, whether the server is there.
 */
static void
check_end (HbwExchange *exchange)
{
  const HbwUpstreamConfig config = { .server_name = exchange->server,
                                     .address = exchange->address,
                                     .tunnel_address = exchange->tunnel_address,
                                     .connect_timeout_us = END_CHECK_TIMEOUT_US };
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence_timer);
  exchange->end_check = hbw_upstream_open (exchange->traffic->upstream_pool, &config,
                                           &exchange->end_check_handler);
}

static void
handle_fault (HbwUpstreamHandler *handler, HbwResponseFault fault,
              HbwFramingState position)
{
  static const char *const names[] = { [HBW_RESPONSE_FAULT_INVALID] = "invalid",
                                       [HBW_RESPONSE_FAULT_REJECTED] = "rejected",
                                       [HBW_RESPONSE_FAULT_ENDED] = "ended",
                                       [HBW_RESPONSE_FAULT_RESET] = "reset" };
  const HbwExchange *exchange = exchange_of_upstream (handler);
  char text[512];
  g_snprintf (text, sizeof text,
              "request=%s sequence=%" G_GUINT64_FORMAT
              " attempt=%u server=%s fault=%s part=%s begun=%d",
              exchange->caller_request_id, exchange->sequence, exchange->attempt,
              exchange->server, names[fault], hbw_framing_part_name (position),
              exchange->response_started);
  hbw_log_write (HBW_LOG_RESPONSE_FAULTY, text);
}

static void
handle_upstream_end (HbwUpstreamHandler *handler, HbwUpstreamEnd end)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  exchange->upstream = NULL;
  switch (end)
    {
    case HBW_UPSTREAM_COMPLETE_BY_CLOSE:
      exchange->response_end = HBW_RESPONSE_END_CLOSE;
      if (is_visibly_incomplete (exchange))
        handle_response_complete (exchange);
      else
        check_end (exchange);
      break;
    case HBW_UPSTREAM_COMPLETE:
      exchange->response_end = exchange->announced_end;
      handle_response_complete (exchange);
      break;
    case HBW_UPSTREAM_NO_TUNNEL:
      exchange->tunnel_failed = TRUE;
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_NOT_CONNECTED);
      break;
    case HBW_UPSTREAM_NOT_CONNECTED:
    case HBW_UPSTREAM_NOT_LISTENING:
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_NOT_CONNECTED);
      break;
    case HBW_UPSTREAM_BROKEN:
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_BROKEN);
      break;
    }
}

const HbwUpstreamHandlerClass hbw_exchange_upstream_handler_class = {
  .handle_open = handle_open,
  .handle_head = handle_head,
  .handle_body = handle_body,
  .handle_fault = handle_fault,
  .handle_end = handle_upstream_end,
};

/* A response that has begun is given up only if it can go on elsewhere, which the
   reducer knows. */
static void
report_silence (HbwExchange *exchange)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_SILENT };
  exchange->reported_silent = TRUE;
  event.silence.sequence = exchange->sequence;
  event.silence.attempt = exchange->attempt;
  hbw_loop_set_timer (exchange->traffic->loop, &exchange->silence_timer,
                      exchange->silence_timeout_us);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

void
hbw_exchange_handle_silence_timeout (HbwTimer *timer)
{
  HbwExchange *exchange = caa_container_of (timer, HbwExchange, silence_timer);
  HbwTraffic *traffic = exchange->traffic;
  /* Nothing is read while the caller has to catch up. */
  if (exchange->upstream != NULL
      && hbw_upstream_has_unread_bytes (exchange->upstream))
    {
      hbw_loop_set_timer (traffic->loop, timer, exchange->silence_timeout_us);
      return;
    }
  gint64 heard_us = hbw_upstream_pool_last_received_us (
      traffic->upstream_pool, exchange->server, exchange->tunnel_address);
  gboolean responds_to_others
      = hbw_exchange_now (exchange) - heard_us < exchange->silence_timeout_us;
  if (responds_to_others && ++exchange->silence_count < SILENCE_TIMEOUTS_MAX)
    hbw_loop_set_timer (traffic->loop, timer, exchange->silence_timeout_us);
  else if (exchange->response_started)
    report_silence (exchange);
  else
    hbw_exchange_end_attempt (exchange, HBW_OUTCOME_TIMED_OUT);
}
