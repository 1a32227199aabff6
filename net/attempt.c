#include "hornbeamwall/net/attempt.h"

#include "hornbeamwall/net/framing.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

/* Longest single wait for network activity, in milliseconds, so that timeouts are
   checked regularly. */
#define POLL_TIMEOUT_MS 100

/* Headers of the protocol to backend servers. */
#define HEADER_REQUEST_ID "X-Request-Id"
#define HEADER_EXECUTED "X-Request-Executed"

/* Length of the prefix of an event stream's line that is examined, in bytes. */
#define LINE_PREFIX_MAX 16

struct HbwAttempt
{
  HbwAttemptConfig config;
  CURL *easy;
  CURLM *multi;
  struct curl_slist *headers;
  HbwFraming framing; /* of the response's head */
  char url[HBW_ADDRESS_MAX + 2048];
  gboolean request_sent;  /* a byte of the request may have been sent */
  gboolean grant_expired; /* expires_us passed before the request was sent */
  gboolean ended;
  gboolean cancelled;
  gboolean timed_out;
  gboolean too_large;
  gboolean is_stream;
  gboolean chunked;
  guint coding_count; /* of Transfer-Encoding fields */
  guint length_count; /* of Content-Length fields */
  gboolean id_mismatch;
  gboolean not_executed;
  gboolean done_seen;
  CURLcode curl_code;
  char content_type[128];
  GByteArray *response_body;
  char line_prefix[LINE_PREFIX_MAX + 1];
  guint line_length;
  gint64 started_us;
  gint64 last_activity_us; /* time of the last byte, or of the start */
  gint64 first_byte_us; /* times of the first and the last body bytes; 0 is none */
  gint64 last_byte_us;
  guint tokens;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

static int
handle_before_request (void *data, char *remote G_GNUC_UNUSED,
                       char *local G_GNUC_UNUSED, int remote_port G_GNUC_UNUSED,
                       int local_port G_GNUC_UNUSED)
{
  HbwAttempt *attempt = data;
  if (hbw_clock_now (attempt->config.clock) > attempt->config.expires_us)
    {
      attempt->grant_expired = TRUE;
      return CURL_PREREQFUNC_ABORT;
    }
  attempt->request_sent = TRUE;
  return CURL_PREREQFUNC_OK;
}

static gboolean
parse_header (const char *line, gsize length, const char *name, char *value,
              gsize size)
{
  gsize name_length = strlen (name);
  if (length <= name_length || line[name_length] != ':'
      || g_ascii_strncasecmp (line, name, name_length) != 0)
    return FALSE;
  gsize rest = MIN (length - name_length - 1, size - 1);
  memcpy (value, line + name_length + 1, rest);
  value[rest] = '\0';
  g_strstrip (value);
  return TRUE;
}

static size_t
handle_header (char *line, size_t size, size_t count, void *data)
{
  HbwAttempt *attempt = data;
  gsize length = size * count;
  char value[128];
  if (!hbw_framing_check_line (&attempt->framing, line, length))
    return 0; /* fails the transfer */
  if (hbw_framing_is_head_complete (&attempt->framing))
    return length; /* trailers are ignored */
  if (parse_header (line, length, "Content-Type", value, sizeof value))
    {
      g_strlcpy (attempt->content_type, value, sizeof attempt->content_type);
      attempt->is_stream = g_str_has_prefix (value, "text/event-stream");
    }
  else if (parse_header (line, length, "Transfer-Encoding", value, sizeof value))
    {
      attempt->chunked = g_ascii_strcasecmp (value, "chunked") == 0;
      attempt->coding_count++;
    }
  else if (parse_header (line, length, "Content-Length", value, sizeof value))
    attempt->length_count++;
  else if (parse_header (line, length, HEADER_REQUEST_ID, value, sizeof value))
    attempt->id_mismatch = strcmp (value, attempt->config.attempt_id) != 0;
  else if (parse_header (line, length, HEADER_EXECUTED, value, sizeof value))
    attempt->not_executed = strcmp (value, "no") == 0;
  return length;
}

static void
scan_line (HbwAttempt *attempt)
{
  attempt->line_prefix[MIN (attempt->line_length, LINE_PREFIX_MAX)] = '\0';
  gboolean is_data = g_str_has_prefix (attempt->line_prefix, "data:");
  attempt->line_length = 0;
  if (!is_data)
    return;
  if (strstr (attempt->line_prefix, "[DONE]") != NULL)
    attempt->done_seen = TRUE;
  else
    attempt->tokens++;
}

static void
scan_stream (HbwAttempt *attempt, const char *bytes, gsize length)
{
  for (gsize i = 0; i < length; i++)
    {
      if (bytes[i] == '\n')
        scan_line (attempt);
      else if (bytes[i] != '\r')
        {
          if (attempt->line_length < LINE_PREFIX_MAX)
            attempt->line_prefix[attempt->line_length] = bytes[i];
          attempt->line_length++;
        }
    }
}

static size_t
handle_body (char *bytes, size_t size, size_t count, void *data)
{
  HbwAttempt *attempt = data;
  gsize length = size * count;
  attempt->last_activity_us = hbw_clock_now (attempt->config.clock);
  if (attempt->first_byte_us == 0)
    attempt->first_byte_us = attempt->last_activity_us;
  attempt->last_byte_us = attempt->last_activity_us;
  if (attempt->response_body->len + length > attempt->config.buffered_response_max)
    {
      attempt->too_large = TRUE;
      return 0;
    }
  if (attempt->is_stream)
    scan_stream (attempt, bytes, length);
  g_byte_array_append (attempt->response_body, (const guint8 *) bytes,
                       (guint) length);
  return length;
}

static void
add_header (HbwAttempt *attempt, const char *name, const char *value)
{
  char *line = g_strdup_printf ("%s: %s", name, value);
  attempt->headers = curl_slist_append (attempt->headers, line);
  g_free (line);
}

static void
configure_request (HbwAttempt *attempt)
{
  const HbwAttemptConfig *config = &attempt->config;
  CURL *easy = attempt->easy;
  add_header (attempt, HEADER_REQUEST_ID, config->attempt_id);
  add_header (attempt, "Expect", "");
  if (config->content_type != NULL)
    add_header (attempt, "Content-Type", config->content_type);
  curl_easy_setopt (easy, CURLOPT_URL, attempt->url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, config->method);
  gboolean has_body = config->body_length > 0 || strcmp (config->method, "POST") == 0
                      || strcmp (config->method, "PUT") == 0;
  if (strcmp (config->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  if (has_body)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS,
                        config->body != NULL ? config->body : "");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t) config->body_length);
    }
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, attempt->headers);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long) config->connect_timeout_ms);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, handle_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, handle_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, handle_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
}

HbwAttempt *
hbw_attempt_create (const HbwAttemptConfig *config)
{
  pthread_once (&curl_once, init_curl);
  HbwAttempt *attempt = g_new0 (HbwAttempt, 1);
  attempt->config = *config;
  attempt->response_body = g_byte_array_new ();
  hbw_framing_reset (&attempt->framing, TRUE);
  attempt->started_us = hbw_clock_now (config->clock);
  attempt->last_activity_us = attempt->started_us;
  g_snprintf (attempt->url, sizeof attempt->url, "http://%s%s", config->address,
              config->path);
  attempt->easy = curl_easy_init ();
  attempt->multi = curl_multi_init ();
  configure_request (attempt);
  if (attempt->started_us > config->expires_us)
    {
      attempt->grant_expired = TRUE;
      attempt->ended = TRUE;
    }
  else
    curl_multi_add_handle (attempt->multi, attempt->easy);
  return attempt;
}

void
hbw_attempt_destroy (HbwAttempt *attempt)
{
  curl_multi_remove_handle (attempt->multi, attempt->easy);
  curl_easy_cleanup (attempt->easy);
  curl_multi_cleanup (attempt->multi);
  curl_slist_free_all (attempt->headers);
  g_byte_array_free (attempt->response_body, TRUE);
  g_free (attempt);
}

static void
collect_result (HbwAttempt *attempt)
{
  int remaining;
  const CURLMsg *message = curl_multi_info_read (attempt->multi, &remaining);
  if (message == NULL || message->msg != CURLMSG_DONE)
    return;
  attempt->curl_code = message->data.result;
  attempt->ended = TRUE;
}

static void
check_commands (HbwAttempt *attempt)
{
  HbwRequestCommand command;
  while (hbw_mailbox_pop (attempt->config.mailbox, &command))
    if (command.kind == HBW_REQUEST_COMMAND_CANCEL)
      attempt->cancelled = TRUE;
  if (hbw_socket_is_closed_by_peer (attempt->config.caller_fd))
    attempt->cancelled = TRUE;
  if (attempt->cancelled)
    attempt->ended = TRUE;
}

/* What had arrived by NOW_US has been read. */
static void
check_timeouts (HbwAttempt *attempt, gint64 now_us)
{
  const HbwAttemptConfig *config = &attempt->config;
  guint limit_ms = attempt->first_byte_us == 0 ? config->first_byte_timeout_ms
                                               : config->stall_timeout_ms;
  gint64 silent_us = now_us - attempt->last_activity_us;
  if (silent_us <= limit_ms * HBW_US_PER_MS)
    return;
  attempt->timed_out = TRUE;
  attempt->ended = TRUE;
}

static void
wait_for_activity (HbwAttempt *attempt)
{
  struct curl_waitfd extra[] = {
    { hbw_mailbox_event_fd (attempt->config.mailbox), CURL_WAIT_POLLIN, 0 },
    { attempt->config.caller_fd, CURL_WAIT_POLLIN, 0 },
  };
  /* A caller that has sent more bytes, such as a pipelined request, keeps its
     descriptor readable, so it is not polled; check_commands() detects its end. */
  char peek;
  gboolean watch_caller
      = attempt->config.caller_fd >= 0
        && recv (attempt->config.caller_fd, &peek, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
  curl_multi_poll (attempt->multi, extra, watch_caller ? 2 : 1, POLL_TIMEOUT_MS,
                   NULL);
}

static void
run_step (HbwAttempt *attempt)
{
  int running;
  gint64 now_us = hbw_clock_now (attempt->config.clock);
  curl_multi_perform (attempt->multi, &running);
  collect_result (attempt);
  if (attempt->id_mismatch)
    attempt->ended = TRUE;
  if (!attempt->ended)
    check_commands (attempt);
  if (!attempt->ended)
    check_timeouts (attempt, now_us);
}

static void
run_until_bytes (HbwAttempt *attempt, gboolean any_response)
{
  while (!attempt->ended)
    {
      run_step (attempt);
      gboolean enough
          = (attempt->is_stream || any_response) && attempt->response_body->len > 0;
      if (attempt->ended || enough)
        return;
      wait_for_activity (attempt);
    }
}

void
hbw_attempt_begin (HbwAttempt *attempt)
{
  run_until_bytes (attempt, FALSE);
}

gboolean
hbw_attempt_has_ended (const HbwAttempt *attempt)
{
  return attempt->ended;
}

gboolean
hbw_attempt_is_stream (const HbwAttempt *attempt)
{
  return attempt->is_stream && !attempt->id_mismatch;
}

guint
hbw_attempt_status (const HbwAttempt *attempt)
{
  long status = 0;
  curl_easy_getinfo (attempt->easy, CURLINFO_RESPONSE_CODE, &status);
  return (guint) status;
}

const char *
hbw_attempt_content_type (const HbwAttempt *attempt)
{
  return attempt->content_type;
}

gsize
hbw_attempt_read (HbwAttempt *attempt, char *buffer, gsize size)
{
  run_until_bytes (attempt, TRUE);
  gsize length = MIN (size, attempt->response_body->len);
  if (length == 0)
    return 0;
  memcpy (buffer, attempt->response_body->data, length);
  g_byte_array_remove_range (attempt->response_body, 0, (guint) length);
  return length;
}

const GByteArray *
hbw_attempt_response_body (const HbwAttempt *attempt)
{
  return attempt->response_body;
}

static gboolean
has_end_marker (const HbwAttempt *attempt)
{
  if (attempt->is_stream)
    return attempt->done_seen;
  return attempt->length_count > 0 || attempt->chunked
         || hbw_attempt_status (attempt) == 204;
}

static gboolean
is_refusal (const HbwAttempt *attempt)
{
  guint status = hbw_attempt_status (attempt);
  return attempt->not_executed && (status == 429 || status == 503);
}

/* Returns whether the length of the body is unambiguous, and "chunked" its only
   coding.  libcurl prefers chunks to a length, in any version, and the last length
   to those before. */
static gboolean
has_valid_framing (const HbwAttempt *attempt)
{
  if (attempt->coding_count == 0)
    return attempt->length_count <= 1;
  return attempt->coding_count == 1 && attempt->chunked && attempt->length_count == 0
         && hbw_framing_allows_chunks (&attempt->framing);
}

/* libcurl accepts a head that is cut off by the end of the connection. */
static gboolean
has_valid_head (const HbwAttempt *attempt)
{
  return hbw_framing_is_head_complete (&attempt->framing)
         && has_valid_framing (attempt);
}

static HbwOutcome
get_outcome (const HbwAttempt *attempt)
{
  if (attempt->grant_expired)
    return HBW_OUTCOME_UNUSED;
  if (attempt->cancelled || !attempt->ended)
    return HBW_OUTCOME_CANCELLED;
  if (!attempt->request_sent)
    return HBW_OUTCOME_NOT_CONNECTED;
  if (attempt->timed_out)
    return HBW_OUTCOME_TIMED_OUT;
  if (attempt->curl_code != CURLE_OK || attempt->id_mismatch
      || !has_valid_head (attempt))
    return HBW_OUTCOME_BROKEN;
  if (is_refusal (attempt))
    return HBW_OUTCOME_REFUSED;
  return has_end_marker (attempt) ? HBW_OUTCOME_COMPLETE : HBW_OUTCOME_BROKEN;
}

/* A JSON response that is not a stream states its number of tokens in "usage". */
static guint
count_tokens (const HbwAttempt *attempt)
{
  if (attempt->is_stream || strstr (attempt->content_type, "json") == NULL)
    return attempt->tokens;
  json_t *root = json_loadb ((const char *) attempt->response_body->data,
                             attempt->response_body->len, 0, NULL);
  json_t *usage = json_object_get (root, "usage");
  json_int_t tokens
      = json_integer_value (json_object_get (usage, "completion_tokens"));
  json_decref (root);
  return (guint) CLAMP (tokens, 0, G_MAXINT32);
}

static HbwResponseEnd
get_response_end (const HbwAttempt *attempt, HbwOutcome outcome)
{
  if (outcome != HBW_OUTCOME_COMPLETE)
    return HBW_RESPONSE_END_NONE;
  if (attempt->chunked)
    return HBW_RESPONSE_END_CHUNKS;
  return attempt->length_count > 0 ? HBW_RESPONSE_END_LENGTH
                                   : HBW_RESPONSE_END_CLOSE;
}

void
hbw_attempt_result (const HbwAttempt *attempt, HbwAttemptEnd *end)
{
  end->outcome = get_outcome (attempt);
  end->response_end = get_response_end (attempt, end->outcome);
  end->is_rejected = hbw_attempt_status (attempt) / 100 == 4;
  end->tokens = count_tokens (attempt);
  if (attempt->first_byte_us > 0)
    end->first_token_us = MAX (1, attempt->first_byte_us - attempt->started_us);
  if (attempt->is_stream && end->tokens > 1)
    end->inter_token_us = (attempt->last_byte_us - attempt->first_byte_us)
                          / (gint64) (end->tokens - 1);
}
