#include "soak_part.h"

#include "soak_connection.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Harmful requests that may reach servers late. */
#define LATE_RUNS_MAX 3

/* Fewest sound requests of which shares are compared. */
#define SOUND_REQUESTS_MIN 20

#define SOUND_CALLERS_MAX 16
#define SOUND_INTERVAL_US 200000
#define RECEIVE_TIMEOUT_S 4
#define WATCH_INTERVAL_US 5000

typedef struct
{
  gint64 sent_us;
  gboolean served;
} SoundRequest;

typedef struct
{
  SoakPart *part;
  pthread_t thread;
  guint number;
  GRand *random;
} PartCaller;

struct SoakPart
{
  Soak *soak;
  const SoakPartConfig *config;
  PartCaller callers[SOUND_CALLERS_MAX];
  PartCaller harmful_caller;
  PartCaller watch;
  pthread_mutex_t lock;
  GArray *requests; /* SoundRequest; under lock */
  gint64 began_us;  /* of the requests with the part */
  atomic_bool ending;
  atomic_uint harmful_sent;
  atomic_uint late_runs;     /* by any instance */
  atomic_uint late_counted;  /* by one that was not interrupted */
  atomic_uint sound_refused; /* as harmful */
};

/* Posts a request at a random instance.  Its attempt id begins with LETTER and the
   number of the instance.  BODY NULL is the attempt id. */
static SoakResponse
post (PartCaller *caller, const char *path, char letter, guint number,
      const char *extra_fields, const char *body)
{
  char trace[32];
  Soak *soak = caller->part->soak;
  SoakResponse response = { NULL, SOAK_RESPONSE_CLOSED };
  guint instance
      = (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances);
  g_snprintf (trace, sizeof trace, "%c%u-%u-%u-", letter, instance, caller->number,
              number);
  int fd = soak_connect (soak->ports[instance], RECEIVE_TIMEOUT_S);
  if (fd >= 0
      && soak_send (fd, path, trace, "k1", extra_fields,
                    body != NULL ? body : trace))
    response = soak_receive (fd);
  if (fd >= 0)
    close (fd);
  return response;
}

static void
note_sound (SoakPart *part, gint64 sent_us, const SoakResponse *response)
{
  SoundRequest request = { .sent_us = sent_us };
  request.served = response->text != NULL
                   && response->outcome == SOAK_RESPONSE_COMPLETE
                   && soak_status (response->text) == 200;
  pthread_mutex_lock (&part->lock);
  g_array_append_val (part->requests, request);
  pthread_mutex_unlock (&part->lock);
  if (response->text == NULL || !soak_is_refused_as_harmful (response->text))
    return;
  atomic_fetch_add (&part->sound_refused, 1);
  soak_report_violation (part->soak, "sound request refused as harmful", "",
                         response->text->str);
}

static void *
run_sound_caller (void *data)
{
  PartCaller *caller = data;
  SoakPart *part = caller->part;
  for (guint number = 0; !atomic_load (&part->soak->stopping); number++)
    {
      char *fields = g_strdup_printf (
          "X-Hornbeamwall-Prefix-Hash: f0:100,s%u:80,l%u-%u:30\r\n", number % 7,
          caller->number, number);
      char path[64];
      g_snprintf (path, sizeof path, "/%s/s%u-%u/ok", part->config->path_kind,
                  caller->number, number);
      gint64 sent_us = g_get_monotonic_time ();
      SoakResponse response = post (caller, path, 's', number, fields, NULL);
      note_sound (part, sent_us, &response);
      if (response.text != NULL)
        g_string_free (response.text, TRUE);
      g_free (fields);
      gint64 rest_us = sent_us + SOUND_INTERVAL_US - g_get_monotonic_time ();
      if (rest_us > 0)
        g_usleep ((gulong) rest_us);
    }
  return NULL;
}

/* Sends one more request with the part, or the harmful request once more. */
static SoakResponse
post_harmful (PartCaller *caller, guint number)
{
  const SoakPartConfig *config = caller->part->config;
  char path[64];
  if (config->parts == NULL)
    {
      g_snprintf (path, sizeof path, "/%s/x/harmful", config->path_kind);
      return post (caller, path, 'p', number, "", "x");
    }
  g_snprintf (path, sizeof path, "/%s/p%u/ok", config->path_kind, number);
  char *parts = g_strdup_printf (config->parts, number);
  char *fields = g_strdup_printf ("X-Hornbeamwall-Prefix-Hash: %s\r\n", parts);
  SoakResponse response = post (caller, path, 'p', number, fields, NULL);
  g_free (fields);
  g_free (parts);
  return response;
}

static void *
send_harmful (void *data)
{
  PartCaller *caller = data;
  SoakPart *part = caller->part;
  gint32 interval_us = (gint32) part->config->interval_ms * 1000;
  for (guint number = 0; !atomic_load (&part->ending); number++)
    {
      SoakResponse response = post_harmful (caller, number);
      atomic_fetch_add (&part->harmful_sent, 1);
      if (response.text != NULL)
        g_string_free (response.text, TRUE);
      g_usleep ((gulong) g_rand_int_range (caller->random, interval_us / 2,
                                           interval_us * 3 / 2));
    }
  return NULL;
}

/* Counts a run that is later than the stable window after the last counted crash. */
static void
check_run (SoakPart *part, const HarmfulRun *run)
{
  gint64 crash_us = harmful_crash_us (part->config->crashes_counted - 1);
  if (crash_us == 0 || run->reached_us <= crash_us + SOAK_STABLE_US)
    return;
  guint instance = (guint) strtoul (run->attempt_id + 1, NULL, 10);
  const SoakProcess *process = soak_processes_get (part->soak->processes, instance);
  atomic_fetch_add (&part->late_runs, 1);
  if (!atomic_load (&process->is_stopped)
      && atomic_load (&process->interrupted_us) <= run->reached_us - SOAK_STABLE_US)
    atomic_fetch_add (&part->late_counted, 1);
}

static void *
watch_runs (void *data)
{
  PartCaller *caller = data;
  SoakPart *part = caller->part;
  guint checked = harmful_run_count ();
  while (!atomic_load (&part->ending))
    {
      for (; checked < harmful_run_count (); checked++)
        {
          HarmfulRun run = harmful_run (checked);
          check_run (part, &run);
        }
      g_usleep (WATCH_INTERVAL_US);
    }
  return NULL;
}

static void
start_caller (SoakPart *part, PartCaller *caller, guint number, guint32 seed,
              void *(*run) (void *data))
{
  caller->part = part;
  caller->number = number;
  caller->random = g_rand_new_with_seed (seed);
  pthread_create (&caller->thread, NULL, run, caller);
}

static void
join_caller (PartCaller *caller)
{
  pthread_join (caller->thread, NULL);
  g_rand_free (caller->random);
}

SoakPart *
soak_part_create (Soak *soak, const SoakPartConfig *config, guint32 seed)
{
  SoakPart *part = g_new0 (SoakPart, 1);
  part->soak = soak;
  part->config = config;
  part->requests = g_array_new (FALSE, FALSE, sizeof (SoundRequest));
  pthread_mutex_init (&part->lock, NULL);
  for (guint i = 0; i < config->sound_callers; i++)
    start_caller (part, &part->callers[i], i, seed * SOUND_CALLERS_MAX + i,
                  run_sound_caller);
  return part;
}

void
soak_part_begin (SoakPart *part)
{
  harmful_set_part (part->config->part, part->config->end);
  part->began_us = g_get_monotonic_time ();
  start_caller (part, &part->harmful_caller, 0, 1, send_harmful);
  start_caller (part, &part->watch, 0, 1, watch_runs);
}

typedef struct
{
  guint sent;
  guint served;
} Share;

static Share
count_sound (SoakPart *part, gint64 from_us, gint64 to_us)
{
  Share share = { 0 };
  pthread_mutex_lock (&part->lock);
  for (guint i = 0; i < part->requests->len; i++)
    {
      const SoundRequest *request = &g_array_index (part->requests, SoundRequest, i);
      if (request->sent_us < from_us || request->sent_us >= to_us)
        continue;
      share.sent++;
      share.served += request->served ? 1 : 0;
    }
  pthread_mutex_unlock (&part->lock);
  return share;
}

static double
ratio (Share share)
{
  return share.sent > 0 ? (double) share.served / share.sent : 0;
}

static void
check_shares (SoakPart *part)
{
  guint crashes = harmful_crash_count ();
  if (crashes == 0 || !part->config->is_calm)
    return;
  gint64 crash_us
      = harmful_crash_us (MIN (crashes, part->config->crashes_counted) - 1);
  Share before = count_sound (part, 0, part->began_us);
  Share after = count_sound (part, crash_us + 2 * SOAK_STABLE_US, G_MAXINT64);
  char *text = g_strdup_printf ("%u of %u before, %u of %u after", before.served,
                                before.sent, after.served, after.sent);
  printf ("sound requests with the key and the first part: %s (%.2f, %.2f)\n", text,
          ratio (before), ratio (after));
  if (before.sent >= SOUND_REQUESTS_MIN && after.sent >= SOUND_REQUESTS_MIN
      && 2 * ratio (after) < ratio (before))
    soak_report_violation (part->soak, "sound requests are served half as often", "",
                           text);
  g_free (text);
}

void
soak_part_end (SoakPart *part)
{
  atomic_store (&part->ending, TRUE);
  join_caller (&part->harmful_caller);
  join_caller (&part->watch);
  char *text = g_strdup_printf (
      "%u requests, %u runs, %u crashes, %u runs late, %u of them counted",
      atomic_load (&part->harmful_sent), harmful_run_count (),
      harmful_crash_count (), atomic_load (&part->late_runs),
      atomic_load (&part->late_counted));
  printf ("harmful part %s: %s, %u sound requests refused as harmful\n",
          part->config->part, text, atomic_load (&part->sound_refused));
  if (atomic_load (&part->late_counted) > LATE_RUNS_MAX)
    soak_report_violation (part->soak, "harmful part reaches servers",
                           part->config->part, text);
  g_free (text);
  check_shares (part);
}

void
soak_part_destroy (SoakPart *part)
{
  for (guint i = 0; i < part->config->sound_callers; i++)
    join_caller (&part->callers[i]);
  harmful_set_part (NULL, HARMFUL_NONE);
  g_array_free (part->requests, TRUE);
  pthread_mutex_destroy (&part->lock);
  g_free (part);
}
