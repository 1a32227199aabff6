#include "hornbeamwall/runtime/duty_sender.h"

#include "hornbeamwall/net/framing.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>

/* Size of a header line, in bytes. */
#define LINE_MAX_BYTES 256

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

typedef struct
{
  const HbwDutySender *sender;
  const HbwSendDutyCall *call;
  HbwFraming framing; /* of the response's head */
  gboolean is_sent;
} Sending;

static void
init_curl (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
}

static gboolean
is_expired (const HbwDutySender *sender, const HbwSendDutyCall *call)
{
  return hbw_clock_now (sender->clock) >= call->send_before_us;
}

/* Called on the open connection, right before the request is written. */
static int
handle_before_request (void *data, char *remote_ip G_GNUC_UNUSED,
                       char *local_ip G_GNUC_UNUSED, int remote_port G_GNUC_UNUSED,
                       int local_port G_GNUC_UNUSED)
{
  Sending *sending = data;
  if (is_expired (sending->sender, sending->call))
    return CURL_PREREQFUNC_ABORT;
  sending->is_sent = TRUE;
  return CURL_PREREQFUNC_OK;
}

static size_t
check_header (char *line, size_t size, size_t count, void *data)
{
  Sending *sending = data;
  gboolean is_valid = hbw_framing_check_line (&sending->framing, line, size * count);
  return is_valid ? size * count : 0; /* fails the transfer */
}

/* Only the status of a response counts. */
static size_t
drop_body (char *bytes G_GNUC_UNUSED, size_t size, size_t count,
           void *data G_GNUC_UNUSED)
{
  return size * count;
}

static struct curl_slist *
add_header (struct curl_slist *headers, const char *name, const char *value)
{
  char line[LINE_MAX_BYTES];
  g_snprintf (line, sizeof line, "%s: %s", name, value);
  return curl_slist_append (headers, line);
}

static struct curl_slist *
make_headers (const HbwDutySender *sender, const HbwSendDutyCall *call)
{
  char token[24];
  g_snprintf (token, sizeof token, "%" G_GUINT64_FORMAT, call->fencing_token);
  struct curl_slist *headers = add_header (NULL, "Content-Type", "application/json");
  headers = curl_slist_append (headers, "Expect:"); /* the body is sent at once */
  headers = add_header (headers, sender->adapter->holder_field, sender->name);
  return add_header (headers, sender->adapter->token_field, token);
}

/* A connection is used once: a call must not be repeated on another one. */
static void
set_options (CURL *easy, Sending *sending, const char *url, const char *body,
             struct curl_slist *headers)
{
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t) strlen (body));
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long) (sending->sender->timeout_us / HBW_US_PER_MS));
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, handle_before_request);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, sending);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, check_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, sending);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, drop_body);
}

/* The status is enough once the head is complete, even if the body is cut off. */
static HbwDutyOutcome
find_outcome (CURL *easy, const Sending *sending)
{
  long status = 0;
  if (!sending->is_sent)
    return HBW_DUTY_NOT_SENT;
  if (!hbw_framing_is_head_complete (&sending->framing))
    return HBW_DUTY_UNKNOWN;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  return status >= 200 ? sending->sender->adapter->outcome ((guint) status)
                       : HBW_DUTY_UNKNOWN;
}

HbwDutyOutcome
hbw_duty_sender_send (const HbwDutySender *sender, const HbwSendDutyCall *call)
{
  pthread_once (&curl_once, init_curl);
  Sending sending = { .sender = sender, .call = call };
  hbw_framing_reset (&sending.framing, TRUE);
  CURL *easy = is_expired (sender, call) ? NULL : curl_easy_init ();
  if (easy == NULL)
    return HBW_DUTY_NOT_SENT;
  const char *path;
  char *body = sender->adapter->format_call (&call->call, &path);
  char *url = g_strconcat ("http://", sender->address, path, NULL);
  struct curl_slist *headers = make_headers (sender, call);
  set_options (easy, &sending, url, body, headers);
  curl_easy_perform (easy);
  HbwDutyOutcome outcome = find_outcome (easy, &sending);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  g_free (url);
  g_free (body);
  return outcome;
}
