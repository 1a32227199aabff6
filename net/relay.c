#include "hornbeamwall/net/relay.h"

#include "hornbeamwall/net/attempt.h"
#include "hornbeamwall/net/key_claim.h"

#include <string.h>

/* Size of the blocks in which a stream is forwarded, in bytes. */
#define STREAM_BLOCK_SIZE ((size_t) 16 * 1024)

/* Size of an attempt id, in bytes, including the terminating null. */
#define ATTEMPT_ID_MAX 64

/* Size of a request id, in bytes, including the terminating null. */
#define REQUEST_ID_MAX 48

typedef struct
{
  HbwControl *control;
  HbwMailbox *mailbox;
  HbwAttempt *attempt;
  HbwAttemptConfig attempt_config;
  guint attempt_number; /* of the attempt, assigned by the reducer */
  char attempt_id[ATTEMPT_ID_MAX];
  char address[HBW_ADDRESS_MAX];
  char *method;
  char *path;
  char *content_type;
  char *body;
  char *organisation;
  char *idempotency_key; /* Idempotency-Key, or NULL */
  const char *platform_address;
  gboolean key_claimed;    /* for this request */
  HbwOutcome last_outcome; /* of the attempt whose end was reported last */
  gboolean end_reported;   /* to the reducer, for the current attempt */
  gboolean stream_ended;   /* its end or an error event was sent to the caller */
} Relay;

static Relay *
relay_create (const HbwRelayConfig *config, HbwHttpRequest *request)
{
  HbwMailbox *mailbox
      = hbw_mailbox_create (hbw_control_next_request_sequence (config->control));
  if (mailbox == NULL)
    return NULL;
  Relay *relay = g_new0 (Relay, 1);
  relay->control = config->control;
  relay->mailbox = mailbox;
  relay->method = g_strdup (request->method);
  relay->path = g_strdup (config->path);
  relay->content_type = g_strdup (hbw_http_request_header (request, "Content-Type"));
  relay->body = g_strndup (config->body, config->body_length);
  relay->organisation = g_strdup (config->spec.organisation);
  relay->idempotency_key = g_strdup (config->idempotency_key);
  relay->platform_address = config->settings->platform_address;
  HbwAttemptConfig *attempt = &relay->attempt_config;
  attempt->method = relay->method;
  attempt->address = relay->address;
  attempt->path = relay->path;
  attempt->content_type = relay->content_type;
  attempt->body = relay->body;
  attempt->body_length = config->body_length;
  attempt->attempt_id = relay->attempt_id;
  attempt->connect_timeout_ms = config->settings->connect_timeout_ms;
  attempt->first_byte_timeout_ms = config->settings->first_byte_timeout_ms;
  attempt->stall_timeout_ms = config->settings->stall_timeout_ms;
  attempt->buffered_response_max = config->settings->buffered_response_max;
  attempt->clock = hbw_control_clock (config->control);
  attempt->mailbox = relay->mailbox;
  attempt->caller_fd = hbw_http_request_fd (request);
  return relay;
}

static void
report_attempt_end (Relay *relay, const HbwAttemptEnd *end)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED, .end = *end };
  event.end.sequence = hbw_mailbox_request_sequence (relay->mailbox);
  event.end.attempt = relay->attempt_number;
  hbw_control_submit (relay->control, &event, NULL);
  relay->last_outcome = end->outcome;
  relay->end_reported = TRUE;
}

static void
drop_attempt (Relay *relay)
{
  g_clear_pointer (&relay->attempt, hbw_attempt_destroy);
}

static void
relay_destroy (void *data)
{
  Relay *relay = data;
  if (relay->attempt != NULL && !relay->end_reported)
    {
      HbwAttemptEnd end = { .response_started = TRUE };
      hbw_attempt_result (relay->attempt, &end);
      end.outcome = HBW_OUTCOME_CANCELLED;
      report_attempt_end (relay, &end);
    }
  drop_attempt (relay);
  hbw_mailbox_unref (relay->mailbox);
  g_free (relay->method);
  g_free (relay->path);
  g_free (relay->content_type);
  g_free (relay->body);
  g_free (relay->organisation);
  g_free (relay->idempotency_key);
  g_free (relay);
}

static void
submit_arrival (Relay *relay, const HbwRequestSpec *spec)
{
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = hbw_mailbox_request_sequence (relay->mailbox);
  event.arrival.spec = *spec;
  hbw_control_submit (relay->control, &event, relay->mailbox);
}

static void
submit_caller_gone (Relay *relay)
{
  HbwEvent event = { .kind = HBW_EVENT_CALLER_GONE };
  event.sequence = hbw_mailbox_request_sequence (relay->mailbox);
  hbw_control_submit (relay->control, &event, NULL);
}

static void
format_request_id (const Relay *relay, char *text, gsize size)
{
  g_snprintf (text, size, "%016" G_GINT64_MODIFIER "x-%" G_GUINT64_FORMAT,
              hbw_control_identity (relay->control),
              hbw_mailbox_request_sequence (relay->mailbox));
}

static HbwClaimResult
claim_key (Relay *relay)
{
  HbwError error;
  char request_id[REQUEST_ID_MAX];
  HbwStoreClient *client = hbw_store_client_create (relay->platform_address, &error);
  if (client == NULL)
    return HBW_CLAIM_UNAVAILABLE;
  format_request_id (relay, request_id, sizeof request_id);
  HbwClaimResult result = hbw_key_claim_acquire (client, relay->organisation,
                                                 relay->idempotency_key, request_id);
  relay->key_claimed = result == HBW_CLAIM_GRANTED;
  hbw_store_client_destroy (client);
  return result;
}

/* Releases the claim, so that a caller whose request was not executed may send it
   again with the same key. */
static void
release_key (Relay *relay)
{
  HbwError error;
  char request_id[REQUEST_ID_MAX];
  HbwStoreClient *client = hbw_store_client_create (relay->platform_address, &error);
  if (client == NULL)
    return;
  format_request_id (relay, request_id, sizeof request_id);
  hbw_key_claim_release (client, relay->organisation, relay->idempotency_key,
                         request_id);
  relay->key_claimed = FALSE;
  hbw_store_client_destroy (client);
}

/* Returns whether the key is claimed or there is none; otherwise reports that the
   attempt was denied. */
static gboolean
ensure_key_claimed (Relay *relay, const HbwRequestCommand *command)
{
  if (relay->idempotency_key == NULL || relay->key_claimed)
    return TRUE;
  HbwClaimResult result = claim_key (relay);
  if (result == HBW_CLAIM_GRANTED)
    return TRUE;
  HbwAttemptEnd end = { .outcome = HBW_OUTCOME_DENIED };
  end.reason = result == HBW_CLAIM_DUPLICATE ? HBW_REASON_DUPLICATE_KEY
                                             : HBW_REASON_NO_STORE;
  relay->attempt_number = command->start.attempt;
  report_attempt_end (relay, &end);
  return FALSE;
}

static void
start_attempt (Relay *relay, const HbwRequestCommand *command)
{
  drop_attempt (relay);
  relay->attempt_number = command->start.attempt;
  relay->end_reported = FALSE;
  relay->attempt_config.expires_us = command->expires_us;
  g_strlcpy (relay->address, command->start.address, sizeof relay->address);
  char request_id[REQUEST_ID_MAX];
  format_request_id (relay, request_id, sizeof request_id);
  g_snprintf (relay->attempt_id, sizeof relay->attempt_id, "%s-%u", request_id,
              command->start.attempt);
  relay->attempt = hbw_attempt_create (&relay->attempt_config);
  hbw_attempt_begin (relay->attempt);
}

/* Reports the result of an attempt that is not streamed to the reducer. */
static void
report_attempt_result (Relay *relay)
{
  HbwAttemptEnd end = { .response_started = FALSE };
  hbw_attempt_result (relay->attempt, &end);
  report_attempt_end (relay, &end);
}

static void
report_not_started (Relay *relay, const HbwRequestCommand *command)
{
  HbwAttemptEnd end = { .outcome = HBW_OUTCOME_CANCELLED };
  relay->attempt_number = command->start.attempt;
  report_attempt_end (relay, &end);
}

/* Writes an event that informs the caller that its stream is incomplete. */
static gsize
write_error_event (char *buffer, gsize size)
{
  const HbwProblem problem = { .status = 502,
                               .title = "the backend server's answer broke off",
                               .remedy = "send it again only if it may run twice",
                               .executed = "unknown" };
  char *text = hbw_problem_format (&problem);
  int length = g_snprintf (buffer, size, "\n\nevent: error\ndata: %s\n\n", text);
  g_free (text);
  return MIN ((gsize) length, size - 1);
}

static ssize_t
read_stream_block (void *data, uint64_t position G_GNUC_UNUSED, char *buffer,
                   size_t size)
{
  Relay *relay = data;
  if (relay->stream_ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  gsize length = hbw_attempt_read (relay->attempt, buffer, size);
  if (length > 0)
    return (ssize_t) length;
  HbwAttemptEnd end = { .response_started = TRUE };
  hbw_attempt_result (relay->attempt, &end);
  report_attempt_end (relay, &end);
  relay->stream_ended = TRUE;
  if (end.outcome == HBW_OUTCOME_COMPLETE)
    return MHD_CONTENT_READER_END_OF_STREAM;
  return (ssize_t) write_error_event (buffer, size);
}

static enum MHD_Result
respond_with_stream (Relay *relay, HbwHttpRequest *request)
{
  struct MHD_Response *response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK_SIZE, read_stream_block, relay, relay_destroy);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           hbw_attempt_content_type (relay->attempt));
  MHD_add_response_header (response, MHD_HTTP_HEADER_CACHE_CONTROL, "no-store");
  MHD_add_response_header (response, "X-Request-Id", relay->attempt_id);
  enum MHD_Result result = MHD_queue_response (
      request->connection, hbw_attempt_status (relay->attempt), response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_with_body (Relay *relay, HbwHttpRequest *request)
{
  const GByteArray *response_body = hbw_attempt_response_body (relay->attempt);
  if (relay->last_outcome != HBW_OUTCOME_COMPLETE)
    return MHD_NO;
  return hbw_http_request_respond (request, hbw_attempt_status (relay->attempt),
                                   hbw_attempt_content_type (relay->attempt),
                                   (const char *) response_body->data,
                                   response_body->len);
}

static enum MHD_Result
respond_with_refusal (HbwHttpRequest *request, const HbwRefuseRequest *refuse)
{
  HbwProblem problem = hbw_problem_from_refusal (refuse);
  return hbw_http_request_respond_with_problem (request, &problem);
}

/* Executes the reducer's commands until the request has ended.  Returns TRUE if the
   response is a stream, which then owns RELAY. */
static gboolean
execute_commands (Relay *relay, HbwHttpRequest *request, enum MHD_Result *result)
{
  gboolean caller_gone = FALSE;
  HbwRequestCommand command;
  *result = MHD_NO;
  for (;;)
    {
      hbw_mailbox_wait (relay->mailbox,
                        caller_gone ? -1 : relay->attempt_config.caller_fd, -1,
                        &command);
      if (command.kind == HBW_REQUEST_COMMAND_CALLER_GONE)
        {
          caller_gone = TRUE;
          submit_caller_gone (relay);
        }
      else if (command.kind == HBW_REQUEST_COMMAND_START && caller_gone)
        report_not_started (relay, &command);
      else if (command.kind == HBW_REQUEST_COMMAND_START
               && ensure_key_claimed (relay, &command))
        {
          start_attempt (relay, &command);
          if (!hbw_attempt_has_ended (relay->attempt)
              && hbw_attempt_is_stream (relay->attempt))
            {
              *result = respond_with_stream (relay, request);
              return TRUE;
            }
          report_attempt_result (relay);
        }
      else if (command.kind == HBW_REQUEST_COMMAND_FINISH)
        {
          if (relay->attempt != NULL)
            *result = respond_with_body (relay, request);
          return FALSE;
        }
      else if (command.kind == HBW_REQUEST_COMMAND_REFUSE)
        {
          if (relay->key_claimed && command.refuse.executed == HBW_EXECUTED_NO)
            release_key (relay);
          *result = respond_with_refusal (request, &command.refuse);
          return FALSE;
        }
    }
}

enum MHD_Result
hbw_relay_run (const HbwRelayConfig *config, HbwHttpRequest *request)
{
  Relay *relay = relay_create (config, request);
  if (relay == NULL)
    {
      const HbwRefuseRequest refuse = { .reason = HBW_REASON_OVERLOADED,
                                        .executed = HBW_EXECUTED_NO,
                                        .retry_after_us = HBW_US_PER_S };
      return respond_with_refusal (request, &refuse);
    }
  enum MHD_Result result;
  submit_arrival (relay, &config->spec);
  if (!execute_commands (relay, request, &result))
    relay_destroy (relay);
  return result;
}
