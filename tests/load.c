/*
 * load - load generator that checks every response
 *
 * Sends requests through several instances for a given time. Each request has a
 * unique tag; its response must contain the tokens of this tag and no others. At the
 * end, asks the engines which tags they executed and compares that with the
 * responses that the callers got.
 */
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define CALLERS_MAX 256
#define TOKENS_DEFAULT 24

typedef struct
{
  char **targets; /* "IP:PORT" of instances */
  char **engines; /* "IP:PORT" of engines */
  int callers;
  int seconds;
  int pause_ms;
  int tokens_max;  /* each response has fewer tokens */
  gboolean direct; /* measures only, without checks of the engines */
  gint64 end_us;
  atomic_uint next_number;
  atomic_uint complete;
  atomic_uint refused;
  atomic_uint unknown_outcome;
  atomic_uint connection_failed;
  atomic_uint incorrect;
  pthread_mutex_t lock;
  GArray *first_byte_times_us;    /* gint64 */
  GPtrArray *unexecuted_tags;     /* reported to the caller as not executed */
  GPtrArray *non_idempotent_tags; /* must be executed once at most */
} Load;

typedef struct
{
  GString *body;
  gint64 sent_us;
  gint64 first_byte_us; /* since sent_us; 0 before the first byte */
} Response;

static Load load;

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  Response *response = data;
  if (response->first_byte_us == 0)
    response->first_byte_us = g_get_monotonic_time () - response->sent_us;
  g_string_append_len (response->body, bytes, (gssize) (size * count));
  return size * count;
}

static void
add_tag (GPtrArray *tags, const char *tag)
{
  pthread_mutex_lock (&load.lock);
  g_ptr_array_add (tags, g_strdup (tag));
  pthread_mutex_unlock (&load.lock);
}

static gboolean
has_expected_tokens (const char *body, const char *tag, guint tokens)
{
  char token[64];
  guint expected_count = 0;
  for (guint i = 0; i < tokens; i++)
    {
      g_snprintf (token, sizeof token, "%s:%u ", tag, i);
      if (strstr (body, token) != NULL)
        expected_count++;
    }
  /* Every token contains "t-", so this also counts those of other requests. */
  guint total_count = 0;
  for (const char *match = strstr (body, "t-"); match != NULL;
       match = strstr (match + 1, "t-"))
    total_count++;
  return expected_count == tokens && total_count == tokens;
}

static void
classify_response (const Response *response, CURLcode code, long status,
                   const char *tag, guint tokens, gboolean stream)
{
  const char *body = response->body->str;
  gboolean is_finished = !stream || strstr (body, "data: [DONE]") != NULL;
  if (code != CURLE_OK)
    atomic_fetch_add (&load.connection_failed, 1);
  else if (status == 200 && is_finished)
    {
      if (!has_expected_tokens (body, tag, tokens))
        {
          atomic_fetch_add (&load.incorrect, 1);
          fprintf (stderr, "incorrect response to %s: %s\n", tag, body);
        }
      atomic_fetch_add (&load.complete, 1);
      pthread_mutex_lock (&load.lock);
      g_array_append_val (load.first_byte_times_us, response->first_byte_us);
      pthread_mutex_unlock (&load.lock);
    }
  else if (strstr (body, "\"executed\":\"no\"") != NULL)
    {
      atomic_fetch_add (&load.refused, 1);
      add_tag (load.unexecuted_tags, tag);
    }
  else if (strstr (body, "\"executed\":\"unknown\"") != NULL)
    atomic_fetch_add (&load.unknown_outcome, 1);
  else
    {
      atomic_fetch_add (&load.incorrect, 1);
      fprintf (stderr, "unexpected response %ld to %s: %s\n", status, tag, body);
    }
}

static void
send_request (CURL *easy, GRand *random)
{
  guint number = atomic_fetch_add (&load.next_number, 1);
  guint tokens = (guint) g_rand_int_range (random, 2, load.tokens_max);
  gboolean stream = number % 2 == 0;
  gboolean non_idempotent = number % 3 == 0;
  char tag[48];
  char url[128];
  g_snprintf (tag, sizeof tag, "t-%u", number);
  const char *target = load.targets[g_rand_int_range (
      random, 0, (gint32) g_strv_length (load.targets))];
  g_snprintf (url, sizeof url, "http://%s/v1/chat/completions", target);
  char *body = g_strdup_printf ("{\"model\":\"m\",\"tag\":\"%s\",\"max_tokens\":%u,"
                                "\"stream\":%s}",
                                tag, tokens, stream ? "true" : "false");
  struct curl_slist *headers = curl_slist_append (NULL, "Authorization: Bearer key");
  headers = curl_slist_append (headers, number % 4 == 0 ? "Hornbeamwall-Class: low"
                                                        : "Hornbeamwall-Class: top");
  if (non_idempotent)
    {
      headers = curl_slist_append (headers, "Hornbeamwall-Idempotent: false");
      add_tag (load.non_idempotent_tags, tag);
    }
  Response response = { g_string_new (NULL), g_get_monotonic_time (), 0 };
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &response);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT, 60L);
  CURLcode code = curl_easy_perform (easy);
  long status = 0;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  classify_response (&response, code, status, tag, tokens, stream);
  if (code != CURLE_OK)
    g_usleep (20000);
  curl_slist_free_all (headers);
  g_string_free (response.body, TRUE);
  g_free (body);
}

static void *
run_caller (void *data)
{
  GRand *random = g_rand_new_with_seed (GPOINTER_TO_UINT (data));
  CURL *easy = curl_easy_init ();
  while (g_get_monotonic_time () < load.end_us)
    {
      send_request (easy, random);
      if (load.pause_ms > 0)
        g_usleep ((gulong) load.pause_ms * 1000);
    }
  curl_easy_cleanup (easy);
  g_rand_free (random);
  return NULL;
}

/* Returns how often all engines that respond have executed TAG. The count of an
   engine that was killed is lost. */
static guint
count_runs (CURL *easy, const char *tag)
{
  guint runs = 0;
  for (guint i = 0; load.engines[i] != NULL; i++)
    {
      char url[160];
      Response response = { g_string_new (NULL), 0, 1 };
      g_snprintf (url, sizeof url, "http://%s/runs?tag=%s", load.engines[i], tag);
      curl_easy_reset (easy);
      curl_easy_setopt (easy, CURLOPT_URL, url);
      curl_easy_setopt (easy, CURLOPT_PROXY, "");
      curl_easy_setopt (easy, CURLOPT_TIMEOUT, 2L);
      curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
      curl_easy_setopt (easy, CURLOPT_WRITEDATA, &response);
      if (curl_easy_perform (easy) == CURLE_OK)
        runs += (guint) g_ascii_strtoull (response.body->str, NULL, 10);
      g_string_free (response.body, TRUE);
    }
  return runs;
}

static guint
count_violations (void)
{
  guint violations = 0;
  CURL *easy = curl_easy_init ();
  for (guint i = 0; i < load.unexecuted_tags->len; i++)
    if (count_runs (easy, load.unexecuted_tags->pdata[i]) > 0)
      {
        fprintf (stderr, "%s was executed, but reported as not executed\n",
                 (char *) load.unexecuted_tags->pdata[i]);
        violations++;
      }
  for (guint i = 0; i < load.non_idempotent_tags->len; i++)
    if (count_runs (easy, load.non_idempotent_tags->pdata[i]) > 1)
      {
        fprintf (stderr, "%s was executed more than once\n",
                 (char *) load.non_idempotent_tags->pdata[i]);
        violations++;
      }
  curl_easy_cleanup (easy);
  return violations;
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *) a;
  gint64 right = *(const gint64 *) b;
  return left < right ? -1 : left > right;
}

static double
first_byte_quantile_ms (double quantile)
{
  if (load.first_byte_times_us->len == 0)
    return 0;
  guint index = (guint) (quantile * (load.first_byte_times_us->len - 1));
  return (double) g_array_index (load.first_byte_times_us, gint64, index) / 1000;
}

int
main (int argc, char **argv)
{
  char *targets = NULL;
  char *engines = NULL;
  const GOptionEntry entries[]
      = { { "targets", 0, 0, G_OPTION_ARG_STRING, &targets, "Addresses of instances",
            "LIST" },
          { "engines", 0, 0, G_OPTION_ARG_STRING, &engines, "Addresses of engines",
            "LIST" },
          { "callers", 0, 0, G_OPTION_ARG_INT, &load.callers, "Concurrent callers",
            "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &load.seconds, "Duration, s", "N" },
          { "pause", 0, 0, G_OPTION_ARG_INT, &load.pause_ms,
            "Pause between requests, ms", "N" },
          { "tokens", 0, 0, G_OPTION_ARG_INT, &load.tokens_max,
            "Tokens per response, below", "N" },
          { "direct", 0, 0, G_OPTION_ARG_NONE, &load.direct,
            "Measure without checks", NULL },
          { NULL } };
  load.callers = 16;
  load.seconds = 10;
  load.tokens_max = TOKENS_DEFAULT;
  GOptionContext *context = g_option_context_new ("");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL) || targets == NULL
      || load.callers > CALLERS_MAX)
    return 2;
  g_option_context_free (context);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.targets = g_strsplit (targets, ",", -1);
  load.engines = g_strsplit (engines != NULL ? engines : "", ",", -1);
  load.end_us = g_get_monotonic_time () + (gint64) load.seconds * 1000000;
  load.first_byte_times_us = g_array_new (FALSE, FALSE, sizeof (gint64));
  load.unexecuted_tags = g_ptr_array_new_with_free_func (g_free);
  load.non_idempotent_tags = g_ptr_array_new_with_free_func (g_free);
  pthread_mutex_init (&load.lock, NULL);
  pthread_t threads[CALLERS_MAX];
  for (int i = 0; i < load.callers; i++)
    pthread_create (&threads[i], NULL, run_caller, GINT_TO_POINTER (i + 1));
  for (int i = 0; i < load.callers; i++)
    pthread_join (threads[i], NULL);
  g_array_sort (load.first_byte_times_us, compare_times);
  guint violations = load.direct ? 0 : count_violations ();
  printf (
      "requests %u complete %u refused %u unknown %u cut %u wrong %u breaches %u "
      "first_ms p50 %.2f p95 %.2f p99 %.2f\n",
      load.next_number, load.complete, load.refused, load.unknown_outcome,
      load.connection_failed, load.incorrect, violations,
      first_byte_quantile_ms (0.5), first_byte_quantile_ms (0.95),
      first_byte_quantile_ms (0.99));
  g_array_free (load.first_byte_times_us, TRUE);
  g_ptr_array_free (load.unexecuted_tags, TRUE);
  g_ptr_array_free (load.non_idempotent_tags, TRUE);
  g_strfreev (load.targets);
  g_strfreev (load.engines);
  g_free (targets);
  g_free (engines);
  return load.incorrect == 0 && violations == 0 ? 0 : 1;
}
