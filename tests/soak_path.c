#include "soak_path.h"

#include "soak_connection.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLERS 24
#define SERVERS 6
#define VERSIONS 2
#define START_US 6000000
#define TIMEOUT_S 4

/* Length of the play of versions, the time between two kills, and the tries of a
   stream. */
#define STREAMS_US 20000000
#define KILL_INTERVAL_US 2500000
#define TRIES_MAX 3

/* Length of a cut, the time from its beginning on that counts, and the pause. */
#define CUT_US 9000000
#define CUT_SETTLE_US 3000000
#define CUT_PAUSE_US 3000000

/* Streams that may hold two versions, and the share of resumptions that go on
   compared with that of new streams. */
#define MIXED_MAX 2
#define RESUMED_SHARE_MIN 0.5

/* Part of the others' share that callers of a cut instance are served, and the
   failures that are borne anyway: a number, and one in so many. */
#define CUT_SHARE_MIN (2.0 / 3)
#define CUT_FAILURES_MAX 10
#define CUT_FAILURES_ONE_IN 50

typedef struct
{
  atomic_uint sent;
  atomic_uint served;
} Sample;

typedef struct
{
  Soak *soak;
  gboolean is_cut_play;
  atomic_bool stopping;
  atomic_int phase; /* of cuts: 0 does not count */
  atomic_uint mixed;
  Sample begun;
  Sample resumed;
  Sample cut;    /* first tries at instances that are cut off */
  Sample others; /* at the same time */
} Play;

typedef struct
{
  Play *play;
  pthread_t thread;
  guint number;
  GRand *random;
} Caller;

static gboolean
is_cut_instance (const Soak *soak, guint index)
{
  return index < soak->instances / 2;
}

static double
share_of (Sample *sample)
{
  guint sent = atomic_load (&sample->sent);
  return sent > 0 ? (double) atomic_load (&sample->served) / sent : 1;
}

/* Sends one request to INSTANCE.  Returns what came back; its text is NULL without a
   connection. */
static SoakResponse
try_once (const Soak *soak, guint instance, const char *path, const char *trace,
          const char *fields)
{
  SoakResponse response = { NULL, SOAK_RESPONSE_CLOSED };
  int fd = soak_connect (soak->ports[instance], TIMEOUT_S);
  if (fd >= 0 && soak_send (fd, path, trace, "k1", fields, "b"))
    response = soak_receive (fd);
  if (fd >= 0)
    close (fd);
  return response;
}

/* --- versions -------------------------------------------------------------- */

/* Notes the versions of the whole events in TEXT, each of which begins with a
   comment that names its server, and returns the id of the last one. */
static guint
read_events (const char *text, guint *versions, guint last_id)
{
  const char *event = text;
  while ((event = strstr (event, ":i-")) != NULL)
    {
      guint64 server = g_ascii_strtoull (event + 3, NULL, 10);
      const char *id = strstr (event, "\nid: ");
      const char *end = strstr (event, "\n\n");
      if (id == NULL || end == NULL || id > end)
        break;
      *versions |= 1U << (server % VERSIONS);
      last_id = (guint) g_ascii_strtoull (id + 5, NULL, 10);
      event = end;
    }
  return last_id;
}

static void
run_stream (Caller *caller, guint number)
{
  Play *play = caller->play;
  Soak *soak = play->soak;
  char path[48];
  char first[32] = "";
  guint versions = 0;
  guint last_id = 0;
  g_snprintf (path, sizeof path, "/stream/v%u-%u/%s", caller->number, number,
              number % 2 == 0 ? "cut2" : "events");
  for (guint try = 0; try < TRIES_MAX; try++)
    {
      char trace[32];
      char fields[96] = "";
      gboolean resumes = last_id > 0;
      g_snprintf (trace, sizeof trace, "v%u-%u-%u", caller->number, number, try);
      if (resumes)
        g_snprintf (fields, sizeof fields, "Last-Event-Id: %u\r\nResumes: %s\r\n",
                    last_id, first);
      Sample *sample = resumes ? &play->resumed : &play->begun;
      SoakResponse response = try_once (
          soak,
          (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances),
          path, trace, fields);
      if (response.text == NULL)
        continue; /* the instance was being started */
      guint before = last_id;
      last_id = read_events (response.text->str, &versions, last_id);
      atomic_fetch_add (&sample->sent, 1);
      atomic_fetch_add (&sample->served, last_id > before ? 1 : 0);
      if (before == 0 && last_id > 0)
        g_strlcpy (first, trace, sizeof first);
      gboolean is_whole = response.outcome == SOAK_RESPONSE_COMPLETE
                          && soak_status (response.text) == 200;
      g_string_free (response.text, TRUE);
      if (is_whole)
        break;
      g_usleep (50000);
    }
  if ((versions & (versions - 1)) != 0)
    atomic_fetch_add (&play->mixed, 1);
}

static void
drive_versions (Play *play)
{
  gint64 end_us = g_get_monotonic_time () + STREAMS_US;
  for (guint i = 0; g_get_monotonic_time () < end_us; i++)
    {
      g_usleep (KILL_INTERVAL_US);
      soak_processes_signal (play->soak->processes, i % play->soak->instances,
                             SIGKILL);
    }
}

static void
check_versions (Play *play)
{
  char *text = g_strdup_printf (
      "%u streams of two versions; %u of %u new ones began, %u of %u resumed ones "
      "went on",
      atomic_load (&play->mixed), atomic_load (&play->begun.served),
      atomic_load (&play->begun.sent), atomic_load (&play->resumed.served),
      atomic_load (&play->resumed.sent));
  printf ("kept versions: %s\n", text);
  if (atomic_load (&play->mixed) > MIXED_MAX)
    soak_report_violation (play->soak, "streams of two versions", "/stream", text);
  if (share_of (&play->resumed) < RESUMED_SHARE_MIN * share_of (&play->begun))
    soak_report_violation (play->soak, "streams are not resumed", "/stream", text);
  g_free (text);
}

/* --- cuts ------------------------------------------------------------------ */

static void
run_first_try (Caller *caller, guint number)
{
  Play *play = caller->play;
  Soak *soak = play->soak;
  char path[48];
  char trace[32];
  int phase = atomic_load (&play->phase);
  guint instance
      = (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances);
  g_snprintf (path, sizeof path, "/%s/c%u-%u/ok",
              number % 2 == 0 ? "safe" : "unsafe", caller->number, number);
  g_snprintf (trace, sizeof trace, "c%u-%u", caller->number, number);
  SoakResponse response = try_once (soak, instance, path, trace, "");
  if (phase > 0 && phase == atomic_load (&play->phase))
    {
      Sample *sample = is_cut_instance (soak, instance) ? &play->cut : &play->others;
      gboolean served = response.text != NULL && soak_status (response.text) == 200;
      atomic_fetch_add (&sample->sent, 1);
      atomic_fetch_add (&sample->served, served ? 1 : 0);
    }
  if (response.text != NULL)
    g_string_free (response.text, TRUE);
  if (strstr (path, "unsafe") != NULL
      && replica_total_run_count (soak->replicas, soak->servers, path) > 1)
    soak_report_violation (soak, "request that may run once ran twice", path, "");
  g_usleep (20000);
}

static void
set_cut (Soak *soak, ProxyMode mode)
{
  for (guint i = 0; i < soak->instances; i++)
    for (guint k = 0; is_cut_instance (soak, i) && k < soak->servers; k++)
      proxy_set_cut (soak->proxies[k], SOAK_SOURCE_MIN + i, mode);
}

static void
drive_cuts (Play *play)
{
  static const ProxyMode modes[] = { PROXY_RESET, PROXY_DROP_ALL };
  for (guint i = 0; i < G_N_ELEMENTS (modes); i++)
    {
      set_cut (play->soak, modes[i]);
      g_usleep (CUT_SETTLE_US);
      atomic_store (&play->phase, (int) i + 1);
      g_usleep (CUT_US - CUT_SETTLE_US);
      atomic_store (&play->phase, 0);
      set_cut (play->soak, PROXY_PASS);
      g_usleep (CUT_PAUSE_US);
    }
}

static void
check_cuts (Play *play)
{
  guint sent = atomic_load (&play->cut.sent);
  guint failed = sent - atomic_load (&play->cut.served);
  char *text = g_strdup_printf (
      "instances that were cut off served %u of %u, the others %u of %u",
      atomic_load (&play->cut.served), sent, atomic_load (&play->others.served),
      atomic_load (&play->others.sent));
  printf ("kept callers: %s\n", text);
  if (share_of (&play->cut) < CUT_SHARE_MIN * share_of (&play->others)
      && failed > CUT_FAILURES_MAX + sent / CUT_FAILURES_ONE_IN)
    soak_report_violation (play->soak, "callers of cut instances are not served",
                           "/", text);
  g_free (text);
}

/* --- both ------------------------------------------------------------------ */

static void *
run_caller (void *data)
{
  Caller *caller = data;
  for (guint i = 0; !atomic_load (&caller->play->stopping); i++)
    if (caller->play->is_cut_play)
      run_first_try (caller, i);
    else
      run_stream (caller, i);
  return NULL;
}

gboolean
soak_path_prepare (Soak *soak, const char *name)
{
  if (strcmp (name, "versions") != 0 && strcmp (name, "cut") != 0)
    return FALSE;
  soak->has_zones = TRUE;
  soak->servers = SERVERS;
  soak->versions = VERSIONS;
  return TRUE;
}

void
soak_path_run (Soak *soak, const char *name, guint32 seed)
{
  Play play = { .soak = soak, .is_cut_play = strcmp (name, "cut") == 0 };
  Caller callers[CALLERS];
  g_usleep (START_US);
  for (guint i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ .play = &play, .number = i };
      callers[i].random = g_rand_new_with_seed (seed + i);
      pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]);
    }
  if (play.is_cut_play)
    drive_cuts (&play);
  else
    drive_versions (&play);
  atomic_store (&play.stopping, TRUE);
  for (guint i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      g_rand_free (callers[i].random);
    }
  if (play.is_cut_play)
    check_cuts (&play);
  else
    check_versions (&play);
}
