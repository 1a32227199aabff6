#include "hornbeamwall/net/exchange_state.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/net/downstream.h"

#include <string.h>
#include <xxhash.h>

static void
reset_attempt (HbwExchange *exchange, const HbwStartAttempt *start)
{
  hbw_exchange_drop_attempt (exchange);
  exchange->attempt = start->attempt;
  exchange->continues_stream = exchange->response_started;
  exchange->holds_failure = FALSE;
  exchange->holds_end = FALSE;
  exchange->has_unread_bytes = FALSE;
  exchange->started_us = hbw_exchange_now (exchange);
  exchange->sent_us = 0;
  exchange->first_piece_us = 0;
  exchange->last_piece_us = 0;
  exchange->piece_count = 0;
  exchange->longest_gap_us = 0;
  exchange->response_end = HBW_RESPONSE_END_NONE;
  exchange->first_byte_timeout_us = start->first_byte_timeout_us;
  exchange->stall_timeout_us = start->stall_timeout_us;
  g_strlcpy (exchange->server, start->server, sizeof exchange->server);
  g_strlcpy (exchange->address, start->address, sizeof exchange->address);
  exchange->tunnel_failed = FALSE;
  g_strlcpy (exchange->tunnel_address, start->tunnel_address,
             sizeof exchange->tunnel_address);
  g_byte_array_set_size (exchange->response_body, 0);
  hbw_event_stream_discard_partial (exchange->events);
}

/* The other instance needs as long to connect to the server. */
static gint64
connect_timeout_us (const HbwExchange *exchange)
{
  gint64 timeout_us
      = exchange->traffic->settings->connect_timeout_ms * HBW_US_PER_MS;
  return *exchange->tunnel_address != '\0' ? 2 * timeout_us : timeout_us;
}

static void
handle_start_command (HbwExchange *exchange, const HbwRequestCommand *command)
{
  const HbwStartAttempt *start = &command->start;
  HbwTraffic *traffic = exchange->traffic;
  reset_attempt (exchange, start);
  if (exchange->caller == NULL)
    {
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_CANCELLED);
      return;
    }
  /* After the process was suspended, a command whose grant has expired must not be
     executed. */
  if (exchange->started_us > command->expires_us)
    {
      hbw_exchange_report_attempt_end (exchange, HBW_OUTCOME_UNUSED);
      return;
    }
  gboolean has_body;
  GBytes *request = hbw_exchange_build_request (exchange, &has_body);
  const HbwUpstreamConfig config
      = { .server_name = start->server,
          .address = start->address,
          .tunnel_address = start->tunnel_address,
          .opened_since_us = start->opened_since_us,
          .request_id = exchange->caller_request_id,
          .request = request,
          .body = has_body ? NULL : exchange->request_body,
          .is_head_request = strcmp (exchange->request_head->method, "HEAD") == 0,
          .connect_timeout_us = connect_timeout_us (exchange) };
  exchange->upstream = hbw_upstream_send (traffic->upstream_pool, &config,
                                          &exchange->upstream_handler);
  g_bytes_unref (request);
}

/* --- commands of the reducer --------------------------------------------------- */

static void
handle_finish_command (HbwExchange *exchange, gboolean is_complete)
{
  hbw_exchange_drop_attempt (exchange);
  if (exchange->holds_failure || (exchange->holds_end && is_complete))
    {
      hbw_exchange_forward_buffered (exchange);
      hbw_exchange_finish_response (exchange);
    }
  else if (!exchange->response_finished)
    hbw_exchange_abort_response (exchange);
  hbw_exchange_destroy (exchange);
}

static void
handle_refuse_command (HbwExchange *exchange, const HbwRefuseRequest *refuse)
{
  hbw_exchange_drop_attempt (exchange);
  if (exchange->response_started && !exchange->response_finished)
    hbw_exchange_abort_response (exchange);
  else
    hbw_exchange_refuse (exchange, refuse);
  hbw_exchange_destroy (exchange);
}

static void
handle_cancel_command (HbwExchange *exchange)
{
  if (!hbw_exchange_has_attempt (exchange))
    return; /* its end was already reported to the reducer */
  if (exchange->caller == NULL)
    hbw_exchange_end_attempt (exchange, HBW_OUTCOME_CANCELLED);
  else if (exchange->reported_silent) /* and the server was not heard since */
    hbw_exchange_end_attempt (exchange, HBW_OUTCOME_TIMED_OUT);
}

void
hbw_exchange_handle_command (HbwExchange *exchange, const HbwRequestCommand *command)
{
  switch (command->kind)
    {
    case HBW_REQUEST_COMMAND_START:
      handle_start_command (exchange, command);
      break;
    case HBW_REQUEST_COMMAND_CANCEL:
      handle_cancel_command (exchange);
      break;
    case HBW_REQUEST_COMMAND_REFUSE:
      handle_refuse_command (exchange, &command->refuse);
      break;
    case HBW_REQUEST_COMMAND_FINISH:
      handle_finish_command (exchange, command->is_complete);
      break;
    default:
      break;
    }
}

/* --- memory ------------------------------------------------------------------- */

/* Bytes that the control thread holds for a request. */
#define CONTROL_OVERHEAD 4096

gsize
hbw_exchange_cost (const HbwExchange *exchange)
{
  return sizeof *exchange + CONTROL_OVERHEAD + exchange->response_body->len
         + hbw_byte_blocks_cost (exchange->request_body)
         + hbw_http_head_cost (exchange->request_head)
         + hbw_event_stream_buffered_bytes (exchange->events);
}

void
hbw_exchange_update_memory (HbwExchange *exchange)
{
  hbw_memory_holder_set (&exchange->memory,
                         exchange->is_received ? HBW_MEMORY_KEPT : HBW_MEMORY_BODY,
                         hbw_exchange_cost (exchange));
}

/* Only incomplete requests are released; their callers are there. */
static void
release_memory (HbwMemoryHolder *holder, HbwMemoryUse use G_GNUC_UNUSED)
{
  hbw_downstream_refuse_overload (
      caa_container_of (holder, HbwExchange, memory)->caller);
}

static const HbwMemoryHolderClass memory_class = { release_memory };

/* --- the caller's request ------------------------------------------------------ */

HbwExchange *
hbw_exchange_create (HbwTraffic *traffic, HbwDownstream *caller, HbwHttpHead *head)
{
  HbwExchange *exchange = g_new0 (HbwExchange, 1);
  exchange->upstream_handler.class = &hbw_exchange_upstream_handler_class;
  exchange->end_check_handler.class = &hbw_exchange_end_check_handler_class;
  exchange->traffic = traffic;
  exchange->caller = caller;
  exchange->request_head = head;
  exchange->sequence = hbw_control_next_request_sequence (traffic->control);
  exchange->request_body = hbw_byte_blocks_create ();
  exchange->response_body = g_byte_array_new ();
  exchange->events = hbw_event_stream_create ();
  exchange->silence_timer.handle_due = hbw_exchange_handle_silence_timeout;
  exchange->received_us = hbw_exchange_now (exchange);
  traffic->adapter->class->read_request_id (head, exchange->caller_request_id,
                                            sizeof exchange->caller_request_id);
  const char *last_id = hbw_http_head_find (head, HBW_LAST_EVENT_ID_FIELD);
  if (last_id != NULL)
    hbw_event_stream_set_last_id (exchange->events, last_id);
  hbw_memory_holder_init (&exchange->memory, traffic->memory, &memory_class);
  hbw_exchange_update_memory (exchange);
  return exchange;
}

void
hbw_exchange_destroy (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  hbw_exchange_drop_attempt (exchange);
  hbw_memory_holder_clear (&exchange->memory);
  traffic->request_body_bytes -= hbw_byte_blocks_length (exchange->request_body);
  if (exchange->submitted)
    g_hash_table_remove (traffic->exchanges, &exchange->sequence);
  hbw_http_head_destroy (exchange->request_head);
  hbw_byte_blocks_unref (exchange->request_body);
  g_byte_array_free (exchange->response_body, TRUE);
  hbw_event_stream_destroy (exchange->events);
  g_free (exchange->response_fields);
  g_free (exchange);
}

const char *
hbw_exchange_caller_request_id (const HbwExchange *exchange)
{
  return exchange->caller_request_id;
}

gsize
hbw_exchange_add_body (HbwExchange *exchange, const char *bytes, gsize length)
{
  exchange->traffic->request_body_bytes += length;
  const HbwHttpHead *head = exchange->request_head;
  gsize expected = head->has_length ? (gsize) head->length : G_MAXSIZE;
  hbw_byte_blocks_append (exchange->request_body, bytes, length, expected);
  hbw_exchange_update_memory (exchange);
  return hbw_byte_blocks_length (exchange->request_body);
}

static guint64
request_digest (const HbwExchange *exchange)
{
  const char *target = hbw_http_head_target (exchange->request_head);
  XXH64_hash_t seed = XXH64 (target, strlen (target), 0);
  return hbw_byte_blocks_hash (exchange->request_body, seed);
}

static void
log_denied_request (const HbwExchange *exchange, const HbwAdmissionInput *input,
                    HbwReason reason)
{
  char text[512];
  g_snprintf (text, sizeof text,
              "request=%s sequence=%" G_GUINT64_FORMAT
              " reason=%s host=\"%.100s\" path=\"%.100s\" key=%s "
              "catalogue=%" G_GINT64_FORMAT " catalogue_age_ms=%" G_GINT64_FORMAT,
              exchange->caller_request_id, exchange->sequence,
              hbw_reason_name (reason), input->host != NULL ? input->host : "",
              input->path, input->key != NULL ? "given" : "none",
              exchange->catalogue_version,
              exchange->catalogue_age_us / HBW_US_PER_MS);
  hbw_log_write (HBW_LOG_REQUEST_DENIED, text);
}

/* Returns the number by which a pool of the endpoint is selected.  A request that
   resumes a stream gets that of the request that began it. */
static guint32
target_number (const HbwExchange *exchange)
{
  char id[HBW_CALLER_REQUEST_ID_MAX];
  exchange->traffic->adapter->class->read_resumed_id (exchange->request_head, id,
                                                      sizeof id);
  if (*id == '\0')
    g_strlcpy (id, exchange->caller_request_id, sizeof id);
  return *id != '\0' ? (guint32) XXH3_64bits (id, strlen (id)) : g_random_int ();
}

/* Returns HBW_REASON_COUNT if the request is admitted, otherwise the reason for the
   refusal. */
static HbwReason
check_admission (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  GStringChunk *scratch = g_string_chunk_new (512);
  HbwAdmissionInput input
      = { .random = target_number (exchange), .digest = request_digest (exchange) };
  /* The freshness is read first, so that the catalogue is at least as new as the
     version that it confirms. */
  const HbwFreshness freshness = hbw_control_catalogue_freshness (traffic->control);
  HbwCatalogue *catalogue
      = hbw_snapshot_acquire (hbw_control_snapshot (traffic->control));
  traffic->adapter->class->read_admission_input (exchange->request_head, scratch,
                                                 &input);
  HbwReason reason
      = hbw_admission_check (catalogue, &freshness, &input, &exchange->spec);
  exchange->catalogue_age_us = freshness.age_us;
  exchange->catalogue_version
      = catalogue != NULL ? hbw_catalogue_version (catalogue) : HBW_VERSION_UNKNOWN;
  if (reason != HBW_REASON_COUNT)
    log_denied_request (exchange, &input, reason);
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
  hbw_downstream_begin_response (caller, ready ? 200 : 503, "", 0);
  hbw_downstream_end_response (caller);
  hbw_exchange_destroy (exchange);
}

/* The caller has no event yet if it names none. */
static void
read_resumption (const HbwExchange *exchange, HbwArrival *arrival)
{
  const HbwHttpHead *head = exchange->request_head;
  const char *last_id = hbw_http_head_find (head, HBW_LAST_EVENT_ID_FIELD);
  arrival->is_resumption
      = exchange->spec.resumable && last_id != NULL && *last_id != '\0';
  if (arrival->is_resumption)
    exchange->traffic->adapter->class->read_resumed_id (head, arrival->resumed_id,
                                                        sizeof arrival->resumed_id);
}

void
hbw_exchange_submit (HbwExchange *exchange)
{
  HbwTraffic *traffic = exchange->traffic;
  exchange->is_received = TRUE;
  hbw_exchange_update_memory (exchange);
  if (traffic->adapter->class->is_readiness_probe (exchange->request_head))
    {
      answer_readiness (exchange);
      return;
    }
  HbwReason reason = check_admission (exchange);
  if (reason != HBW_REASON_COUNT)
    {
      const HbwRefuseRequest refuse = { .reason = reason,
                                        .executed = HBW_EXECUTED_NO,
                                        .retry_after_us = HBW_US_PER_S / 2 };
      hbw_exchange_refuse (exchange, &refuse);
      hbw_exchange_destroy (exchange);
      return;
    }
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = exchange->sequence;
  event.arrival.spec = exchange->spec;
  g_strlcpy (event.arrival.caller_request_id, exchange->caller_request_id,
             sizeof event.arrival.caller_request_id);
  event.arrival.catalogue_age_us = exchange->catalogue_age_us;
  event.arrival.catalogue_version = exchange->catalogue_version;
  read_resumption (exchange, &event.arrival);
  exchange->submitted = TRUE;
  g_hash_table_insert (traffic->exchanges, &exchange->sequence, exchange);
  hbw_control_submit (traffic->control, &event, NULL);
}

void
hbw_exchange_handle_caller_gone (HbwExchange *exchange)
{
  exchange->caller = NULL;
  if (!exchange->submitted)
    {
      hbw_exchange_destroy (exchange);
      return;
    }
  if (hbw_exchange_has_attempt (exchange))
    {
      hbw_exchange_end_attempt (exchange, HBW_OUTCOME_CANCELLED);
      return;
    }
  HbwEvent event = { .kind = HBW_EVENT_CALLER_GONE };
  event.sequence = exchange->sequence;
  hbw_control_submit (exchange->traffic->control, &event, NULL);
}

void
hbw_exchange_handle_caller_drained (HbwExchange *exchange)
{
  if (exchange->upstream != NULL)
    hbw_upstream_set_reading (exchange->upstream, TRUE);
}
