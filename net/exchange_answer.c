#include "hornbeamwall/net/downstream.h"
#include "hornbeamwall/net/exchange_state.h"
#include "hornbeamwall/net/problem.h"

#include <string.h>

/* Largest answer that is read whole before its caller gets any of it, in bytes: one
   that breaks off can then be asked for elsewhere. */
#define WHOLE_MAX ((guint64) 64 * 1024)

/* A server that sends nothing to this request but answers others is only slow: it is
   given so many times the wait. */
#define SILENCES_MAX 4

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
  end->answer_begun = exchange->begun;
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
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_BEGUN };
  event.begin.sequence = exchange->sequence;
  event.begin.attempt = exchange->attempt;
  event.begin.first_token_us = MAX (1, exchange->first_us - exchange->started_us);
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
report_load (HbwExchange *exchange, const HbwAnswerFacts *facts)
{
  if (!facts->has_load)
    return;
  HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT };
  g_strlcpy (event.load.server, exchange->server, sizeof event.load.server);
  event.load.running = facts->running;
  event.load.waiting = facts->waiting;
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

static void
note_piece (HbwExchange *exchange)
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

/* --- the answer to the caller ---------------------------------------------- */

static void
begin_answer (HbwExchange *exchange)
{
  if (exchange->begun || exchange->caller == NULL)
    return;
  exchange->begun = TRUE;
  hbw_downstream_begin (exchange->caller, exchange->status, exchange->fields,
                        exchange->length);
}

static void
write_answer (HbwExchange *exchange, const GByteArray *bytes)
{
  if (exchange->caller == NULL || bytes->len == 0)
    return;
  begin_answer (exchange);
  hbw_downstream_write (exchange->caller, bytes->data, bytes->len);
  if (exchange->upstream != NULL && hbw_downstream_is_full (exchange->caller))
    hbw_upstream_set_reading (exchange->upstream, FALSE);
}

void
hbw_exchange_finish_answer (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  begin_answer (exchange);
  exchange->answered = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_end (caller);
}

/* The caller must not take what it has for the whole answer. */
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
hbw_exchange_refuse (HbwExchange *exchange, const HbwRefuse *refuse)
{
  HbwFront *front = exchange->traffic->front;
  HbwDownstream *caller = exchange->caller;
  if (caller == NULL)
    return;
  HbwProblem problem = hbw_problem_of_refusal (refuse);
  problem.status = front->class->refusal_status (refuse, problem.status);
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

/* --- the server's answer ---------------------------------------------------- */

void
hbw_exchange_set_silence (HbwExchange *exchange, gint64 most_us)
{
  exchange->silence_us = most_us;
  exchange->silences = 0;
  if (most_us > 0)
    hbw_loop_set_timer (exchange->traffic->loop, &exchange->silence, most_us);
  else
    hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence);
}

static char *
fields_to_pass (const HbwHead *head)
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
take_head (HbwExchange *exchange, const HbwHead *head)
{
  gboolean events = is_event_stream (head) && head->status / 100 == 2;
  exchange->framed = head->has_length || head->chunked;
  if (exchange->begun)
    return; /* another server goes on; the caller keeps the first head */
  exchange->status = head->status;
  g_free (exchange->fields);
  exchange->fields = fields_to_pass (head);
  exchange->length = head->has_length ? (gint64) head->length : -1;
  exchange->streams = events;
  if (events)
    exchange->length = -1;
  exchange->whole = !events && head->has_length && head->length <= WHOLE_MAX;
  g_byte_array_set_size (exchange->answer, 0);
}

static gboolean
is_failure (guint status)
{
  return status >= 500;
}

/* Whether an answer is this server's own, and whole as far as its head tells. */
static gboolean
is_acceptable (const HbwExchange *exchange, const HbwHead *head,
               const HbwAnswerFacts *facts)
{
  if (hbw_head_find (head, "Content-Encoding") != NULL)
    return FALSE; /* no caller asks for one, so it is not what the server sent */
  if (exchange->begun)
    return head->status == exchange->status && facts->genuine;
  return head->status / 100 != 2 || facts->genuine;
}

static HbwExchange *
of_upstream (HbwUpstreamUser *user)
{
  return caa_container_of (user, HbwExchange, upstream_user);
}

static HbwAnswerUse
handle_head (HbwUpstreamUser *user, HbwHead *head)
{
  HbwExchange *exchange = of_upstream (user);
  HbwAnswerFacts facts = { .trace = "" };
  exchange->traffic->front->class->read_answer (head, &facts);
  if (*facts.trace != '\0' && strcmp (facts.trace, exchange->trace) != 0)
    return HBW_ANSWER_SKIP;
  report_load (exchange, &facts);
  if (facts.unrun && !exchange->begun)
    {
      HbwUpstream *upstream = exchange->upstream;
      exchange->upstream = NULL;
      hbw_upstream_detach (upstream);
      hbw_exchange_report_end (exchange, facts.misdirected ? HBW_OUTCOME_MISDIRECTED
                                                           : HBW_OUTCOME_REFUSED);
      return HBW_ANSWER_TAKE;
    }
  if (facts.unrun || !is_acceptable (exchange, head, &facts))
    return HBW_ANSWER_BREAK;
  take_head (exchange, head);
  hbw_exchange_set_silence (exchange, exchange->stall_us);
  return HBW_ANSWER_TAKE;
}

static void
pass_events (HbwExchange *exchange, const char *bytes, gsize length)
{
  GByteArray *out = g_byte_array_new ();
  if (!hbw_event_stream_feed (exchange->events, bytes, length))
    {
      g_byte_array_free (out, TRUE);
      hbw_exchange_end_attempt (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  while (hbw_event_stream_next (exchange->events, out))
    note_piece (exchange);
  write_answer (exchange, out);
  g_byte_array_free (out, TRUE);
}

static void
handle_body (HbwUpstreamUser *user, const char *bytes, gsize length)
{
  HbwExchange *exchange = of_upstream (user);
  hbw_exchange_set_silence (exchange, exchange->stall_us);
  if (exchange->streams)
    {
      pass_events (exchange, bytes, length);
      return;
    }
  if (exchange->first_us == 0)
    note_piece (exchange);
  exchange->last_us = hbw_exchange_now (exchange);
  g_byte_array_append (exchange->answer, (const guint8 *) bytes, (guint) length);
  if (exchange->whole)
    return;
  write_answer (exchange, exchange->answer);
  g_byte_array_set_size (exchange->answer, 0);
}

void
hbw_exchange_pass_rest (HbwExchange *exchange)
{
  if (exchange->streams)
    hbw_event_stream_rest (exchange->events, exchange->answer);
  write_answer (exchange, exchange->answer);
  g_byte_array_set_size (exchange->answer, 0);
}

/* Another server may do better, if the reducer says so. */
static gboolean
should_hold (const HbwExchange *exchange)
{
  return is_failure (exchange->status) && exchange->whole
         && exchange->spec.idempotent;
}

static void
handle_complete (HbwExchange *exchange)
{
  gboolean failed = is_failure (exchange->status);
  if (exchange->streams && !exchange->framed
      && hbw_event_stream_is_cut (exchange->events))
    {
      hbw_exchange_report_end (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  if (should_hold (exchange))
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
handle_upstream_end (HbwUpstreamUser *user, HbwUpstreamEnd end)
{
  HbwExchange *exchange = of_upstream (user);
  exchange->upstream = NULL;
  switch (end)
    {
    case HBW_UPSTREAM_COMPLETE:
      handle_complete (exchange);
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
  gboolean answers_others
      = hbw_exchange_now (exchange) - heard_us < exchange->silence_us;
  if (answers_others && ++exchange->silences < SILENCES_MAX)
    hbw_loop_set_timer (traffic->loop, timer, exchange->silence_us);
  else
    hbw_exchange_end_attempt (exchange, HBW_OUTCOME_TIMED_OUT);
}
