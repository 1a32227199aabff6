#include "soak_state.h"

#include "soak_connection.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* One caller in this many requests uses one of these keys. */
#define CHANGING_KEY_SHARE 3

/* Servers that a request may crash. */
#define CRASHES_MAX 2
#define PATH_MAX_BYTES 96

/* Longest wait of a caller for the next bytes of a response. */
#define RECEIVE_TIMEOUT_S 3

/* Pause of a caller after each request. */
#define CALL_INTERVAL_US 4000

/* Longest pause of a caller whose request crashed a server. */
#define RESEND_INTERVAL_MAX_US 600000

typedef struct
{
  Soak *soak;
  pthread_t thread;
  guint number;
  GRand *random;
  int fd; /* -1 if not connected */
} Caller;

struct SoakCallers
{
  Caller callers[SOAK_CALLERS];
  Caller crashing[SOAK_CRASHING_CALLERS];
};

void
soak_report_violation (Soak *soak, const char *description, const char *path,
                       const char *text)
{
  atomic_fetch_add (&soak->violations, 1);
  printf ("breach: %s: %s: %.400s\n", description, path, text);
  fflush (stdout);
}

static guint
count_runs (Soak *soak, const char *path)
{
  return replica_total_run_count (soak->replicas, soak->servers, path);
}

/* Returns how many crashes may have cut short an answer that has neither a length
   nor chunks. */
static guint
count_closing_crashes (Soak *soak)
{
  guint count = 0;
  for (guint i = 0; i < soak->servers; i++)
    count += replica_closing_crash_count (soak->replicas[i]);
  return count;
}

static gboolean
open_connection (Caller *caller)
{
  Soak *soak = caller->soak;
  guint index
      = (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances);
  caller->fd = soak_connect (soak->ports[index], RECEIVE_TIMEOUT_S);
  return caller->fd >= 0;
}

static void
close_connection (Caller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

/* Returns the next response, or NULL if the connection ended before its end. */
static GString *
receive_response (Caller *caller)
{
  SoakResponse response = soak_receive (caller->fd);
  if (response.outcome != SOAK_RESPONSE_COMPLETE
      || strstr (response.text->str, "Connection: close") != NULL)
    close_connection (caller);
  if (response.outcome == SOAK_RESPONSE_COMPLETE)
    return response.text;
  g_string_free (response.text, TRUE);
  return NULL;
}

static void
check_events (Soak *soak, const char *path, const char *trace, const GString *text)
{
  const char *position = text->str;
  for (guint i = 1; i <= 6; i++)
    {
      char event[128];
      g_snprintf (event, sizeof event, "id: %u\ndata: %s %u\n", i, trace, i);
      position = strstr (position, event);
      if (position == NULL || strstr (position + 1, event) != NULL)
        {
          soak_report_violation (soak, "events missing, repeated or out of order",
                                 path, text->str);
          return;
        }
    }
}

/* No server has failed because of a sound request. */
static void
check_refused_as_harmful (Soak *soak, const char *path, const GString *text)
{
  atomic_fetch_add (&soak->harmful, 1);
  if (g_str_has_suffix (path, "/ok") || g_str_has_suffix (path, "/events"))
    soak_report_violation (soak, "sound request refused as harmful", path,
                           text->str);
}

static void
check_answer (Soak *soak, const char *path, const char *trace, const GString *text,
              gboolean may_be_short)
{
  guint status = soak_status (text);
  gboolean is_checked = status == 200 && !may_be_short;
  if (is_checked && strstr (text->str, trace) == NULL)
    soak_report_violation (soak, "response to another request", path, text->str);
  else if (is_checked && strstr (text->str, "text/event-stream") != NULL)
    check_events (soak, path, trace, text);
  else if (is_checked && strstr (path, "/early") == NULL
           && strstr (text->str, path) == NULL)
    soak_report_violation (soak, "response to another path", path, text->str);
  if (status == 200)
    atomic_fetch_add (&soak->completed, 1);
  else if (soak_is_refused_as_harmful (text))
    check_refused_as_harmful (soak, path, text);
  else if (status == 429 || status == 503)
    atomic_fetch_add (&soak->refused, 1);
  else
    atomic_fetch_add (&soak->failed, 1);
  gboolean claims_not_executed = status == 429 || status == 503 || status == 408;
  if (claims_not_executed && g_str_has_prefix (path, "/unsafe/")
      && count_runs (soak, path) > 0)
    soak_report_violation (soak, "executed, but reported as not executed", path,
                           text->str);
}

static void
make_path (Caller *caller, guint number, char *path)
{
  static const char *const plain_behaviours[]
      = { "ok",     "ok",    "ok",   "ok",    "reset1", "close1",
          "short1", "extra", "shed", "fail1", "early",  "openok" };
  static const char *const stream_behaviours[]
      = { "events", "events", "cut1", "openevents" };
  static const char *const kinds[] = { "safe", "unsafe", "stream", "once" };
  const char *kind = kinds[g_rand_int_range (caller->random, 0, 4)];
  gboolean streaming = strcmp (kind, "stream") == 0 || strcmp (kind, "once") == 0;
  const char *behaviour
      = streaming
            ? stream_behaviours[g_rand_int_range (caller->random, 0,
                                                  G_N_ELEMENTS (stream_behaviours))]
            : plain_behaviours[g_rand_int_range (caller->random, 0,
                                                 G_N_ELEMENTS (plain_behaviours))];
  g_snprintf (path, PATH_MAX_BYTES, "/%s/c%u-%u/%s", kind, caller->number, number,
              behaviour);
}

/* Returns the response to a request with BODY, or NULL if there is none. */
static GString *
send_request (Caller *caller, const char *path, const char *trace, const char *key,
              const char *body)
{
  if (soak_send (caller->fd, path, trace, key, "", body))
    return receive_response (caller);
  close_connection (caller);
  return NULL;
}

/* Returns the index of the changing key that the next request uses, or
   SOAK_CHANGING_KEYS if it uses another one. */
static guint
select_key (Caller *caller)
{
  if (g_rand_int_range (caller->random, 0, CHANGING_KEY_SHARE) != 0)
    return SOAK_CHANGING_KEYS;
  return (guint) g_rand_int_range (caller->random, 0, SOAK_CHANGING_KEYS);
}

/* Returns whether the key was removed before SENT_US minus the bound, and is not
   held again. */
static gboolean
is_removed (Soak *soak, guint index, gint64 sent_us)
{
  if (index == SOAK_CHANGING_KEYS)
    return FALSE;
  pthread_mutex_lock (&soak->key_lock);
  const ChangingKey key = soak->keys[index];
  pthread_mutex_unlock (&soak->key_lock);
  return !key.held && key.removed_us < sent_us - SOAK_REVOCATION_MS * 1000;
}

static void
call_once (Caller *caller, guint number)
{
  Soak *soak = caller->soak;
  char path[PATH_MAX_BYTES];
  char trace[32];
  char key[8] = "k1";
  make_path (caller, number, path);
  g_snprintf (trace, sizeof trace, "t%u-%u-", caller->number, number);
  if (caller->fd < 0 && !open_connection (caller))
    return;
  atomic_fetch_add (&soak->sent, 1);
  guint key_index = select_key (caller);
  if (key_index < SOAK_CHANGING_KEYS)
    g_snprintf (key, sizeof key, "r%u", key_index);
  guint closing_crashes = count_closing_crashes (soak);
  gint64 sent_us = g_get_monotonic_time ();
  GString *response = send_request (caller, path, trace, key, trace);
  if (is_removed (soak, key_index, sent_us))
    {
      atomic_fetch_add (&soak->removed_key_requests, 1);
      if (count_runs (soak, path) > 0)
        soak_report_violation (soak, "runs with a removed key", path, key);
    }
  if (response != NULL)
    {
      gboolean may_be_short = strstr (path, "/open") != NULL
                              && count_closing_crashes (soak) != closing_crashes;
      check_answer (soak, path, trace, response, may_be_short);
      g_string_free (response, TRUE);
    }
  else
    atomic_fetch_add (&soak->failed, 1);
  gboolean non_idempotent
      = g_str_has_prefix (path, "/unsafe/") || g_str_has_prefix (path, "/once/");
  if (non_idempotent && count_runs (soak, path) > 1)
    soak_report_violation (soak, "executed more than once", path, trace);
}

static void *
run_caller (void *data)
{
  Caller *caller = data;
  for (guint number = 0; !atomic_load (&caller->soak->stopping); number++)
    {
      call_once (caller, number);
      g_usleep (CALL_INTERVAL_US);
    }
  close_connection (caller);
  return NULL;
}

/* Sends one request that crashes servers again and again, through any instance,
   until it has crashed one more than it may. */
static void *
run_crashing_caller (void *data)
{
  static const char *const kinds[SOAK_CRASHING_CALLERS]
      = { "safe", "unsafe", "safe", "safe", "stream" };
  static const char *const faults[SOAK_CRASHING_CALLERS]
      = { "crash", "crash", "silent", "opencrash", "opencut" };
  Caller *caller = data;
  Soak *soak = caller->soak;
  char path[PATH_MAX_BYTES];
  g_snprintf (path, sizeof path, "/%s/x%u/%s", kinds[caller->number], caller->number,
              faults[caller->number]);
  for (guint number = 0; !atomic_load (&soak->stopping); number++)
    {
      char trace[32];
      g_snprintf (trace, sizeof trace, "x%u-%u-", caller->number, number);
      g_usleep (
          (gulong) g_rand_int_range (caller->random, 0, RESEND_INTERVAL_MAX_US));
      if (!open_connection (caller))
        continue;
      GString *response = send_request (caller, path, trace, "k1", path);
      close_connection (caller);
      if (response != NULL)
        g_string_free (response, TRUE);
      if (count_runs (soak, path) <= CRASHES_MAX)
        continue;
      soak_report_violation (soak, "crashes a third server", path, trace);
      break;
    }
  return NULL;
}

static void
start_caller (Caller *caller, Soak *soak, guint number, guint32 seed,
              void *(*run) (void *data))
{
  caller->soak = soak;
  caller->number = number;
  caller->fd = -1;
  caller->random = g_rand_new_with_seed (seed);
  pthread_create (&caller->thread, NULL, run, caller);
}

static void
join_caller (Caller *caller)
{
  pthread_join (caller->thread, NULL);
  g_rand_free (caller->random);
}

SoakCallers *
soak_callers_create (Soak *soak, guint32 seed)
{
  SoakCallers *callers = g_new0 (SoakCallers, 1);
  for (guint i = 0; i < SOAK_CALLERS; i++)
    start_caller (&callers->callers[i], soak, i, seed * SOAK_CALLERS + i,
                  run_caller);
  for (guint i = 0; i < SOAK_CRASHING_CALLERS; i++)
    start_caller (&callers->crashing[i], soak, i, seed * SOAK_CRASHING_CALLERS + i,
                  run_crashing_caller);
  return callers;
}

void
soak_callers_destroy (SoakCallers *callers)
{
  for (guint i = 0; i < SOAK_CALLERS; i++)
    join_caller (&callers->callers[i]);
  for (guint i = 0; i < SOAK_CRASHING_CALLERS; i++)
    join_caller (&callers->crashing[i]);
  g_free (callers);
}
