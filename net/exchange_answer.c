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

#define EVENT_STREAM_TYPE "text/event-stream"

/* --- reports to the reducer ------------------------------------------------ */

gint64
hbw_exchange_now (const HbwExchange *exchange)
{
  return hbw_clock_now (hbw_loop_clock (exchange->traffic->loop));
}

void
hbw_exchange_report_end (HbwExchange *exchange, HbwOutcome outcome)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED };
  HbwAttemptEnd *end = &event.end;
  end->sequence = exchange->sequence;
  end->attempt = exchange->attempt;
  end->outcome = outcome;
  end->response_started = exchange->begun;
  end->tokens = exchange->pieces;
  end->longest_gap_us = exchange->longest_gap_us;
  if (exchange->first_us > 0)
    end->first_token_us = MAX (1, exchange->first_us - exchange->started_us);
  if (exchange->pieces > 1)
    end->inter_token_us
        = (exchange->last_us - exchange->first_us) / (exchange->pieces - 1);
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
report_first_piece (HbwExchange *exchange)
{
  HbwEvent event = { .kind = HBW_EVENT_FIRST_TOKEN };
  event.first_token.sequence = exchange->sequence;
  event.first_token.attempt = exchange->attempt;
  event.first_token.first_token_us
      = MAX (1, exchange->first_us - exchange->started_us);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
report_load (HbwExchange *exchange, const HbwAnswerFacts *info)
{
  if (!info->has_load)
    return;
  HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT };
  g_strlcpy (event.load.server, exchange->server, sizeof event.load.server);
  event.load.running = info->running;
  event.load.waiting = info->waiting;
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
record_piece (HbwExchange *exchange)
{
  gint64 now_us = hbw_exchange_now (exchange);
  if (exchange->last_us > 0)
    exchange->longest_gap_us
        = MAX (exchange->longest_gap_us, now_us - exchange->last_us);
  exchange->last_us = now_us;
  exchange->pieces++;
  if (exchange->first_us != 0)
    return;
  exchange->first_us = exchange->last_us;
  report_first_piece (exchange);
}

/* --- the response to the caller -------------------------------------------- */

static void
begin_response (HbwExchange *exchange)
{
  if (exchange->begun || exchange->caller == NULL)
    return;
  exchange->begun = TRUE;
  hbw_downstream_begin (exchange->caller, exchange->status, exchange->fields,
                        exchange->length);
}

static void
forward_bytes (HbwExchange *exchange, const GByteArray *bytes)
{
  if (exchange->caller == NULL || bytes->len == 0)
    return;
  begin_response (exchange);
  hbw_downstream_write (exchange->caller, bytes->data, bytes->len);
  if (exchange->upstream != NULL && hbw_downstream_is_full (exchange->caller))
    hbw_upstream_set_reading (exchange->upstream, FALSE);
}

void
hbw_exchange_finish_answer (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  begin_response (exchange);
  exchange->answered = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_end (caller);
}

void
hbw_exchange_break_off (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  exchange->answered = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_abort (caller);
}

void
hbw_exchange_drop_attempt (HbwExchange *exchange)
{
  if (exchange->upstream != NULL)
    hbw_upstream_cancel (exchange->upstream);
  exchange->upstream = NULL;
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence);
}

void
hbw_exchange_end_attempt (HbwExchange *exchange, HbwOutcome outcome)
{
  hbw_exchange_drop_attempt (exchange);
  hbw_exchange_report_end (exchange, outcome);
}

void
hbw_exchange_refuse (HbwExchange *exchange, const HbwRefuseRequest *refuse)
{
  HbwFront *adapter = exchange->traffic->front;
  HbwDownstream *caller = exchange->caller;
  if (caller == NULL)
    return;
  HbwProblem problem = hbw_problem_of_refusal (refuse);
  problem.status = adapter->class->refusal_status (refuse, problem.status);
  char *body = hbw_problem_format (&problem);
  GString *fields = g_string_new ("Content-Type: application/problem+json\r\n");
  if (problem.retry_after_us > 0 && refuse->executed == HBW_EXECUTED_NO)
    g_string_append_printf (fields, "Retry-After: %.3f\r\n",
                            (double) problem.retry_after_us / HBW_US_PER_S);
  exchange->caller = NULL;
  exchange->answered = TRUE;
  hbw_downstream_begin (caller, problem.status, fields->str, (gint64) strlen (body));
  hbw_downstream_write (caller, (const guint8 *) body, strlen (body));
  g_string_free (fields, TRUE);
  g_free (body);
  hbw_downstream_end (caller);
}

/* --- the server's response -------------------------------------------------- */

void
hbw_exchange_set_silence (HbwExchange *exchange, gint64 timeout_us)
{
  exchange->silence_us = timeout_us;
  exchange->silences = 0;
  if (timeout_us > 0)
    hbw_loop_set_timer (exchange->traffic->loop, &exchange->silence, timeout_us);
  else
    hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence);
}

static char *
get_forwarded_fields (const HbwHead *head)
{
  GString *fields = g_string_new (NULL);
  for (guint i = 0; i < head->fields->len; i++)
    {
      const HbwField *field = g_ptr_array_index (head->fields, i);
      if (!hbw_field_is_hop (field->name))
        g_string_append_printf (fields, "%s: %s\r\n", field->name, field->value);
    }
  return g_string_free (fields, FALSE);
}

static gboolean
is_event_stream (const HbwHead *head)
{
  const char *type = hbw_head_find (head, "Content-Type");
  return type != NULL
         && g_ascii_strncasecmp (type, EVENT_STREAM_TYPE, strlen (EVENT_STREAM_TYPE))
                == 0;
}

static void
accept_head (HbwExchange *exchange, const HbwHead *head)
{
  gboolean events = is_event_stream (head) && head->status / 100 == 2;
  exchange->framed = head->has_length || head->chunked;
  if (exchange->begun)
    return; /* another server resumes the stream; the caller already has a head */
  exchange->status = head->status;
  g_free (exchange->fields);
  exchange->fields = get_forwarded_fields (head);
  exchange->length = head->has_length ? (gint64) head->length : -1;
  exchange->streams = events;
  if (events)
    exchange->length = -1;
  exchange->whole
      = !events && head->has_length && head->length <= BUFFERED_RESPONSE_MAX;
  g_byte_array_set_size (exchange->answer, 0);
}

static gboolean
is_failure_status (guint status)
{
  return status >= 500;
}

/* Returns whether the response comes from the server itself, not from an
   intermediary, and is not truncated as far as its head shows. */
static gboolean
is_acceptable (const HbwExchange *exchange, const HbwHead *head,
               const HbwAnswerFacts *info)
{
  if (hbw_head_find (head, "Content-Encoding") != NULL)
    return FALSE; /* callers request no coding, so the server did not apply one */
  if (exchange->begun)
    return head->status == exchange->status && info->genuine;
  return head->status / 100 != 2 || info->genuine;
}

static HbwExchange *
exchange_of_upstream (HbwUpstreamUser *handler)
{
  return caa_container_of (handler, HbwExchange, upstream_user);
}

static HbwAnswerUse
handle_head (HbwUpstreamUser *handler, HbwHead *head)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  HbwAnswerFacts info = { .trace = "" };
  exchange->traffic->front->class->read_answer (head, &info);
  if (*info.trace != '\0' && strcmp (info.trace, exchange->trace) != 0)
    return HBW_ANSWER_SKIP;
  report_load (exchange, &info);
  if (info.unrun && !exchange->begun)
    {
      HbwUpstream *upstream = exchange->upstream;
      exchange->upstream = NULL;
      hbw_upstream_detach (upstream);
      hbw_exchange_report_end (exchange, info.misdirected ? HBW_OUTCOME_MISDIRECTED
                                                          : HBW_OUTCOME_REFUSED);
      return HBW_ANSWER_TAKE;
    }
  if (info.unrun || !is_acceptable (exchange, head, &info))
    return HBW_ANSWER_BREAK;
  accept_head (exchange, head);
  hbw_exchange_set_silence (exchange, exchange->stall_us);
  return HBW_ANSWER_TAKE;
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
  while (hbw_event_stream_next (exchange->events, out))
    record_piece (exchange);
  forward_bytes (exchange, out);
  g_byte_array_free (out, TRUE);
}

static void
handle_body (HbwUpstreamUser *handler, const char *bytes, gsize length)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  hbw_exchange_set_silence (exchange, exchange->stall_us);
  if (exchange->streams)
    {
      forward_events (exchange, bytes, length);
      return;
    }
  if (exchange->first_us == 0)
    record_piece (exchange);
  exchange->last_us = hbw_exchange_now (exchange);
  g_byte_array_append (exchange->answer, (const guint8 *) bytes, (guint) length);
  if (exchange->whole)
    return;
  forward_bytes (exchange, exchange->answer);
  g_byte_array_set_size (exchange->answer, 0);
}

void
hbw_exchange_pass_rest (HbwExchange *exchange)
{
  if (exchange->streams)
    hbw_event_stream_rest (exchange->events, exchange->answer);
  forward_bytes (exchange, exchange->answer);
  g_byte_array_set_size (exchange->answer, 0);
}

/* Returns whether a failure response is held back, so that the reducer may retry the
   request on another server. */
static gboolean
should_hold_failure (const HbwExchange *exchange)
{
  return is_failure_status (exchange->status) && exchange->whole
         && exchange->spec.idempotent;
}

static void
handle_response_complete (HbwExchange *exchange)
{
  gboolean failed = is_failure_status (exchange->status);
  if (exchange->streams && !exchange->framed
      && hbw_event_stream_is_cut (exchange->events))
    {
      hbw_exchange_report_end (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  if (should_hold_failure (exchange))
    {
      exchange->held = TRUE;
      hbw_exchange_report_end (exchange, HBW_OUTCOME_FAILED);
      return;
    }
  hbw_exchange_pass_rest (exchange);
  hbw_exchange_report_end (exchange,
                           failed ? HBW_OUTCOME_FAILED : HBW_OUTCOME_COMPLETE);
  hbw_exchange_finish_answer (exchange);
}

static void
handle_upstream_end (HbwUpstreamUser *handler, HbwUpstreamEnd end)
{
  HbwExchange *exchange = exchange_of_upstream (handler);
  exchange->upstream = NULL;
  switch (end)
    {
    case HBW_UPSTREAM_COMPLETE:
      handle_response_complete (exchange);
      break;
    case HBW_UPSTREAM_NOT_CONNECTED:
      hbw_exchange_report_end (exchange, HBW_OUTCOME_NOT_CONNECTED);
      break;
    case HBW_UPSTREAM_BROKEN:
      hbw_exchange_report_end (exchange, HBW_OUTCOME_BROKEN);
      break;
    }
}

const HbwUpstreamUserClass hbw_exchange_upstream_class = {
  .handle_head = handle_head,
  .handle_body = handle_body,
  .handle_end = handle_upstream_end,
};

void
hbw_exchange_handle_silence (HbwTimer *timer)
{
  HbwExchange *exchange = caa_container_of (timer, HbwExchange, silence);
  HbwTraffic *traffic = exchange->traffic;
  gint64 heard_us = hbw_upstreams_heard_us (traffic->upstreams, exchange->server);
  gboolean responds_to_others
      = hbw_exchange_now (exchange) - heard_us < exchange->silence_us;
  if (responds_to_others && ++exchange->silences < SILENCE_TIMEOUTS_MAX)
    hbw_loop_set_timer (traffic->loop, timer, exchange->silence_us);
  else
    hbw_exchange_end_attempt (exchange, HBW_OUTCOME_TIMED_OUT);
}
