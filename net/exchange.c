#include "hornbeamwall/net/exchange.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/documents.h"
#include "hornbeamwall/net/downstream.h"
#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/problem.h"

#include <string.h>
#include <xxhash.h>

/* Largest answer that is read whole before its caller gets any of it, in bytes: one
   that breaks off can then be asked for elsewhere. */
#define WHOLE_MAX ((guint64) 64 * 1024)

/* A server that sends nothing to this request but answers others is only slow: it is
   given so many times the wait. */
#define SILENCES_MAX 4

#define EVENT_STREAM_TYPE "text/event-stream"
#define LAST_EVENT_ID "Last-Event-Id"

struct HbwExchange
{
  HbwUpstreamUser upstream_user;
  HbwTraffic *traffic;
  HbwDownstream *caller; /* NULL once it has its answer, or is gone */
  guint64 sequence;
  char trace[HBW_TRACE_MAX];
  HbwHead *head;
  GByteArray *body;
  gint64 received_us;
  HbwRequestSpec spec;
  gint64 catalogue_age_us; /* by which it was admitted */
  gint64 catalogue_version;
  gboolean submitted; /* the reducer knows it */

  HbwUpstream *upstream; /* of the attempt in progress, or NULL */
  guint attempt;
  char server[HBW_NAME_MAX];
  HbwTimer silence; /* the server has sent nothing for too long */
  gint64 silence_us;
  guint silences;  /* in a row */
  gint64 stall_us; /* longest pause of its answer; 0 is any */
  gint64 started_us;
  gint64 first_us; /* first and last piece of its answer; 0 is none */
  gint64 last_us;
  gint64 longest_gap_us;
  guint pieces;

  guint status;      /* of the answer that is passed on */
  char *fields;      /* of the same */
  gint64 length;     /* -1 is not known */
  gboolean whole;    /* the answer is read whole before it is passed on */
  gboolean streams;  /* it is a stream of events */
  gboolean framed;   /* its end is marked, not just the connection's */
  gboolean begun;    /* its head has been passed on */
  gboolean held;     /* a server's failure waits for the reducer's word */
  gboolean answered; /* the caller has its answer */
  GByteArray *answer;
  HbwEventStream *events;
};

/* --- reports to the reducer ------------------------------------------------ */

static gint64
now_of (const HbwExchange *exchange)
{
  return hbw_clock_now (hbw_loop_clock (exchange->traffic->loop));
}

static void
report_end (HbwExchange *exchange, HbwOutcome outcome)
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
  gint64 now_us = now_of (exchange);
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

static void
finish_answer (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  begin_answer (exchange);
  exchange->answered = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_end (caller);
}

/* The caller must not take what it has for the whole answer. */
static void
break_off (HbwExchange *exchange)
{
  HbwDownstream *caller = exchange->caller;
  exchange->answered = TRUE;
  exchange->caller = NULL;
  if (caller != NULL)
    hbw_downstream_abort (caller);
}

static void
drop_attempt (HbwExchange *exchange)
{
  if (exchange->upstream != NULL)
    hbw_upstream_cancel (exchange->upstream);
  exchange->upstream = NULL;
  hbw_loop_clear_timer (exchange->traffic->loop, &exchange->silence);
}

static void
end_attempt (HbwExchange *exchange, HbwOutcome outcome)
{
  drop_attempt (exchange);
  report_end (exchange, outcome);
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

static void
set_silence (HbwExchange *exchange, gint64 most_us)
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
      report_end (exchange,
                  facts.misdirected ? HBW_OUTCOME_MISDIRECTED : HBW_OUTCOME_REFUSED);
      return HBW_ANSWER_TAKE;
    }
  if (facts.unrun || !is_acceptable (exchange, head, &facts))
    return HBW_ANSWER_BREAK;
  take_head (exchange, head);
  set_silence (exchange, exchange->stall_us);
  return HBW_ANSWER_TAKE;
}

static void
pass_events (HbwExchange *exchange, const char *bytes, gsize length)
{
  GByteArray *out = g_byte_array_new ();
  if (!hbw_event_stream_feed (exchange->events, bytes, length))
    {
      g_byte_array_free (out, TRUE);
      end_attempt (exchange, HBW_OUTCOME_BROKEN);
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
  set_silence (exchange, exchange->stall_us);
  if (exchange->streams)
    {
      pass_events (exchange, bytes, length);
      return;
    }
  if (exchange->first_us == 0)
    note_piece (exchange);
  exchange->last_us = now_of (exchange);
  g_byte_array_append (exchange->answer, (const guint8 *) bytes, (guint) length);
  if (exchange->whole)
    return;
  write_answer (exchange, exchange->answer);
  g_byte_array_set_size (exchange->answer, 0);
}

static void
pass_rest (HbwExchange *exchange)
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
      report_end (exchange, HBW_OUTCOME_BROKEN);
      return;
    }
  if (should_hold (exchange))
    {
      exchange->held = TRUE;
      report_end (exchange, HBW_OUTCOME_FAILED);
      return;
    }
  pass_rest (exchange);
  report_end (exchange, failed ? HBW_OUTCOME_FAILED : HBW_OUTCOME_COMPLETE);
  finish_answer (exchange);
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
      report_end (exchange, HBW_OUTCOME_NOT_CONNECTED);
      break;
    case HBW_UPSTREAM_BROKEN:
      report_end (exchange, HBW_OUTCOME_BROKEN);
      break;
    }
}

static const HbwUpstreamUserClass upstream_user_class = {
  .handle_head = handle_head,
  .handle_body = handle_body,
  .handle_end = handle_upstream_end,
};

static void
handle_silence (HbwTimer *timer)
{
  HbwExchange *exchange = caa_container_of (timer, HbwExchange, silence);
  HbwTraffic *traffic = exchange->traffic;
  gint64 heard_us = hbw_upstreams_heard_us (traffic->upstreams, exchange->server);
  gboolean answers_others = now_of (exchange) - heard_us < exchange->silence_us;
  if (answers_others && ++exchange->silences < SILENCES_MAX)
    hbw_loop_set_timer (traffic->loop, timer, exchange->silence_us);
  else
    end_attempt (exchange, HBW_OUTCOME_TIMED_OUT);
}

/* --- the request to the server ----------------------------------------------- */

static gint64
remaining_us (const HbwExchange *exchange)
{
  gint64 used = now_of (exchange) - exchange->received_us;
  return MAX (HBW_US_PER_MS, exchange->spec.deadline_us - used);
}

static void
write_fields (const HbwExchange *exchange, GString *text, gboolean resumes)
{
  HbwFront *front = exchange->traffic->front;
  for (guint i = 0; i < exchange->head->fields->len; i++)
    {
      const HbwField *field = g_ptr_array_index (exchange->head->fields, i);
      gboolean replaced
          = resumes && g_ascii_strcasecmp (field->name, LAST_EVENT_ID) == 0;
      if (hbw_field_is_hop (field->name) || replaced
          || !front->class->passes_field (field->name))
        continue;
      g_string_append_printf (text, "%s: %s\r\n", field->name, field->value);
    }
  if (resumes)
    g_string_append_printf (text, LAST_EVENT_ID ": %s\r\n",
                            hbw_event_stream_last_id (exchange->events));
  const HbwOutgoing outgoing
      = { &exchange->spec, exchange->server, remaining_us (exchange) };
  front->class->write_fields (text, &outgoing);
}

static GBytes *
make_request (const HbwExchange *exchange)
{
  const HbwHead *head = exchange->head;
  gboolean resumes
      = exchange->begun && *hbw_event_stream_last_id (exchange->events) != '\0';
  GString *text = g_string_sized_new (1024 + exchange->body->len);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", head->method, head->target);
  write_fields (exchange, text, resumes);
  if (head->has_length || head->chunked || exchange->body->len > 0)
    g_string_append_printf (text, "Content-Length: %u\r\n", exchange->body->len);
  g_string_append (text, "\r\n");
  g_string_append_len (text, (const char *) exchange->body->data,
                       exchange->body->len);
  return g_string_free_to_bytes (text);
}

static void
reset_attempt (HbwExchange *exchange, const HbwStart *start)
{
  drop_attempt (exchange);
  exchange->attempt = start->attempt;
  exchange->held = FALSE;
  exchange->started_us = now_of (exchange);
  exchange->first_us = 0;
  exchange->last_us = 0;
  exchange->pieces = 0;
  exchange->longest_gap_us = 0;
  exchange->stall_us = start->stall_us;
  g_strlcpy (exchange->server, start->server, sizeof exchange->server);
  g_byte_array_set_size (exchange->answer, 0);
  hbw_event_stream_cut (exchange->events);
}

static void
handle_start (HbwExchange *exchange, const HbwOrder *order)
{
  const HbwStart *start = &order->start;
  HbwTraffic *traffic = exchange->traffic;
  reset_attempt (exchange, start);
  if (exchange->caller == NULL)
    {
      report_end (exchange, HBW_OUTCOME_CANCELLED);
      return;
    }
  /* A process that was paused does not act on what it was told before. */
  if (exchange->started_us > order->expires_us)
    {
      report_end (exchange, HBW_OUTCOME_UNUSED);
      return;
    }
  GBytes *request = make_request (exchange);
  const HbwUpstreamConfig config
      = { .server = start->server,
          .address = start->address,
          .request = request,
          .answers_head = strcmp (exchange->head->method, "HEAD") == 0,
          .connect_timeout_us
          = traffic->settings->connect_timeout_ms * HBW_US_PER_MS };
  set_silence (exchange, start->first_us);
  exchange->upstream
      = hbw_upstream_send (traffic->upstreams, &config, &exchange->upstream_user);
  g_bytes_unref (request);
}

/* --- orders -------------------------------------------------------------------- */

static void
handle_finish (HbwExchange *exchange)
{
  drop_attempt (exchange);
  if (exchange->held)
    {
      pass_rest (exchange);
      finish_answer (exchange);
    }
  else if (!exchange->answered)
    break_off (exchange);
  hbw_exchange_destroy (exchange);
}

static void
handle_refusal (HbwExchange *exchange, const HbwRefuse *refuse)
{
  drop_attempt (exchange);
  if (exchange->begun && !exchange->answered)
    break_off (exchange);
  else
    hbw_exchange_refuse (exchange, refuse);
  hbw_exchange_destroy (exchange);
}

static void
handle_cancel (HbwExchange *exchange)
{
  if (exchange->upstream == NULL)
    return; /* its end is on its way to the reducer */
  end_attempt (exchange, HBW_OUTCOME_CANCELLED);
}

void
hbw_exchange_handle_order (HbwExchange *exchange, const HbwOrder *order)
{
  switch (order->kind)
    {
    case HBW_ORDER_START:
      handle_start (exchange, order);
      break;
    case HBW_ORDER_CANCEL:
      handle_cancel (exchange);
      break;
    case HBW_ORDER_REFUSE:
      handle_refusal (exchange, &order->refuse);
      break;
    case HBW_ORDER_FINISH:
      handle_finish (exchange);
      break;
    default:
      break;
    }
}

/* --- the caller's request ------------------------------------------------------ */

HbwExchange *
hbw_exchange_create (HbwTraffic *traffic, HbwDownstream *caller, HbwHead *head)
{
  HbwExchange *exchange = g_new0 (HbwExchange, 1);
  exchange->upstream_user.class = &upstream_user_class;
  exchange->traffic = traffic;
  exchange->caller = caller;
  exchange->head = head;
  exchange->sequence = hbw_control_next_sequence (traffic->control);
  exchange->body = g_byte_array_new ();
  exchange->answer = g_byte_array_new ();
  exchange->events = hbw_event_stream_create ();
  exchange->silence.handle_due = handle_silence;
  exchange->received_us = now_of (exchange);
  traffic->front->class->read_trace (head, exchange->trace, sizeof exchange->trace);
  const char *last_id = hbw_head_find (head, LAST_EVENT_ID);
  if (last_id != NULL)
    hbw_event_stream_set_last_id (exchange->events, last_id);
  return exchange;
}

void
hbw_exchange_destroy (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  drop_attempt (exchange);
  traffic->body_bytes -= exchange->body->len;
  if (exchange->submitted)
    g_hash_table_remove (traffic->exchanges, &exchange->sequence);
  hbw_head_destroy (exchange->head);
  g_byte_array_free (exchange->body, TRUE);
  g_byte_array_free (exchange->answer, TRUE);
  hbw_event_stream_destroy (exchange->events);
  g_free (exchange->fields);
  g_free (exchange);
}

gsize
hbw_exchange_add_body (HbwExchange *exchange, const char *bytes, gsize length)
{
  exchange->traffic->body_bytes += length;
  g_byte_array_append (exchange->body, (const guint8 *) bytes, (guint) length);
  return exchange->body->len;
}

static guint64
digest_of (const HbwExchange *exchange)
{
  const char *target = exchange->head->target;
  XXH64_hash_t seed = XXH64 (target, strlen (target), 0);
  return XXH3_64bits_withSeed (exchange->body->data, exchange->body->len, seed);
}

static void
log_denied (const HbwExchange *exchange, const HbwAsk *ask, HbwReason reason)
{
  char text[512];
  g_snprintf (text, sizeof text,
              "request=%s sequence=%" G_GUINT64_FORMAT
              " reason=%s host=\"%.100s\" path=\"%.100s\" key=%s "
              "catalogue=%" G_GINT64_FORMAT " catalogue_age_ms=%" G_GINT64_FORMAT,
              exchange->trace, exchange->sequence, hbw_reason_name (reason),
              ask->host != NULL ? ask->host : "", ask->path,
              ask->key != NULL ? "given" : "none", exchange->catalogue_version,
              exchange->catalogue_age_us / HBW_US_PER_MS);
  hbw_log_write (HBW_LOG_REQUEST_DENIED, text);
}

static HbwReason
admit (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  GStringChunk *scratch = g_string_chunk_new (512);
  HbwAsk ask = { .draw = g_random_int (), .digest = digest_of (exchange) };
  /* In this order: the catalogue is then at least as new as the confirmation. */
  const HbwFreshness freshness = hbw_control_freshness (traffic->control);
  HbwCatalogue *catalogue
      = hbw_snapshot_acquire (hbw_control_snapshot (traffic->control));
  traffic->front->class->read_ask (exchange->head, scratch, &ask);
  HbwReason reason = hbw_admit (catalogue, &freshness, &ask, &exchange->spec);
  exchange->catalogue_age_us = freshness.age_us;
  exchange->catalogue_version
      = catalogue != NULL ? hbw_catalogue_version (catalogue) : HBW_VERSION_UNKNOWN;
  if (reason != HBW_REASON_COUNT)
    log_denied (exchange, &ask, reason);
  if (catalogue != NULL)
    hbw_catalogue_unref (catalogue);
  g_string_chunk_free (scratch);
  return reason;
}

static void
answer_readiness (HbwExchange *exchange)
{
  gboolean ready = hbw_control_is_ready (exchange->traffic->control);
  HbwDownstream *caller = exchange->caller;
  exchange->caller = NULL;
  hbw_downstream_begin (caller, ready ? 200 : 503, "", 0);
  hbw_downstream_end (caller);
  hbw_exchange_destroy (exchange);
}

void
hbw_exchange_submit (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  if (traffic->front->class->asks_readiness (exchange->head))
    {
      answer_readiness (exchange);
      return;
    }
  HbwReason reason = admit (exchange);
  if (reason != HBW_REASON_COUNT)
    {
      const HbwRefuse refuse = { .reason = reason,
                                 .executed = HBW_EXECUTED_NO,
                                 .retry_after_us = HBW_US_PER_S / 2 };
      hbw_exchange_refuse (exchange, &refuse);
      hbw_exchange_destroy (exchange);
      return;
    }
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = exchange->sequence;
  event.arrival.spec = exchange->spec;
  g_strlcpy (event.arrival.trace, exchange->trace, sizeof event.arrival.trace);
  event.arrival.catalogue_age_us = exchange->catalogue_age_us;
  event.arrival.catalogue_version = exchange->catalogue_version;
  exchange->submitted = TRUE;
  g_hash_table_insert (traffic->exchanges, &exchange->sequence, exchange);
  hbw_control_submit (traffic->control, &event, NULL);
}

void
hbw_exchange_handle_gone (HbwExchange *exchange)
{
  exchange->caller = NULL;
  if (!exchange->submitted)
    {
      hbw_exchange_destroy (exchange);
      return;
    }
  if (exchange->upstream != NULL)
    {
      end_attempt (exchange, HBW_OUTCOME_CANCELLED);
      return;
    }
  HbwEvent event = { .kind = HBW_EVENT_CALLER_GONE };
  event.sequence = exchange->sequence;
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

void
hbw_exchange_handle_drained (HbwExchange *exchange)
{
  if (exchange->upstream != NULL)
    hbw_upstream_set_reading (exchange->upstream, TRUE);
}

guint64
hbw_exchange_sequence (const HbwExchange *exchange)
{
  return exchange->sequence;
}
