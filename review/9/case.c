/*
 * Servers are replaced while one instance of a data centre is stopped as planned,
 * and the other one there has just been killed and started again.
 */
#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

/* Servers in service, and those of them that a release replaces in each round, one
   after the other. */
#define SERVERS 9
#define REPLACED 4
#define ROUNDS 9
#define SERVERS_TOTAL (SERVERS + ROUNDS * REPLACED)

/* Instances: the first seed in another data centre, and two in one. */
#define WATCHER 0
#define STOPPED 1
#define KILLED 2
#define INSTANCES 3

/* Bounds of the site. */
#define DRAIN_MS 2000
#define STABLE_WINDOW_MS 3000
#define GRACE_MS 8000

/* The times of a round, after the SIGTERM. */
#define KILL_MS 300
#define RESTART_MS 800
#define RELEASE_MS 1800
#define RELEASE_GAP_MS 940
#define REGISTER_MS 300 /* the new server, before the old one leaves */
#define END_MS 8200
#define SETTLE_MS 2200

#define CALL_INTERVAL_US 25000
#define CALLS_MAX 6000

typedef struct
{
  char path[48];
  gint64 sent_ms;
} Call;

static Rig *rig;
static gint64 left_ms[SERVERS_TOTAL]; /* 0: it has not left */
static Call calls[CALLS_MAX];
static atomic_uint call_count;
static atomic_bool is_calling;

static void
wait_until (gint64 ms)
{
  while (rig_now_ms () < ms)
    g_usleep (1000);
}

static void
call (guint number)
{
  char id[32];
  RigCaller *caller = rig_caller_connect (rig->instances[KILLED].caller_port);
  if (caller == NULL)
    return;
  g_snprintf (calls[number].path, sizeof calls[number].path, "/safe/%u/ok", number);
  g_snprintf (id, sizeof id, "call-%u", number);
  char *request = rig_format_request ("GET", calls[number].path, "k1", id, 1500, "");
  calls[number].sent_ms = rig_now_ms ();
  rig_caller_send (caller, request, strlen (request));
  RigResponse response = rig_caller_receive (caller, "GET", 2000);
  rig_record ("GET %s, sent at %.3f to instance %u: status %u", calls[number].path,
              (double) calls[number].sent_ms / 1000, KILLED, response.status);
  g_free (response.text);
  g_free (request);
  rig_caller_close (caller);
}

/* Sends requests to the instance that is killed in each round. */
static void *
run_calls (void *data G_GNUC_UNUSED)
{
  while (atomic_load (&is_calling) && atomic_load (&call_count) < CALLS_MAX)
    {
      call (atomic_load (&call_count));
      atomic_fetch_add (&call_count, 1);
      g_usleep (CALL_INTERVAL_US);
    }
  return NULL;
}

/* Keeps the instance that is stopped at work: a request that its server is busy
 * with. */
static RigCaller *
begin_long_request (guint round)
{
  char path[48];
  char id[32];
  RigCaller *caller = rig_caller_connect (rig->instances[STOPPED].caller_port);
  if (caller == NULL)
    rig_finish (rig, RIG_NOT_RUN);
  g_snprintf (path, sizeof path, "/stream/long%u/hang", round);
  g_snprintf (id, sizeof id, "long-%u", round);
  char *request = rig_format_request ("POST", path, "k1", id, 15000, "");
  rig_caller_send (caller, request, strlen (request));
  g_free (request);
  g_usleep (200000);
  return caller;
}

static gboolean
is_late (const Call *call, guint index, gint64 started_ms)
{
  return left_ms[index] > 0 && call->sent_ms > left_ms[index] + DRAIN_MS
         && call->sent_ms > started_ms + STABLE_WINDOW_MS
         && replica_run_count (rig->replicas[index], call->path) > 0;
}

/* Counts the requests from FIRST on that a server has run although they were sent
   later than DRAIN_MS after it left, through an instance that had run for
   STABLE_WINDOW_MS. */
static guint
count_late (guint first, gint64 started_ms)
{
  guint late = 0;
  guint count = MIN (atomic_load (&call_count), CALLS_MAX);
  for (guint i = first; i < count; i++)
    for (guint index = 0; index < SERVERS_TOTAL && *calls[i].path != '\0'; index++)
      {
        if (!is_late (&calls[i], index, started_ms))
          continue;
        late++;
        rig_record ("%s, sent at %.3f, ran at server %u, which left %d ms before",
                    calls[i].path, (double) calls[i].sent_ms / 1000, index,
                    (int) (calls[i].sent_ms - left_ms[index]));
      }
  return late;
}

static void
restart_instance (guint index, gint64 at_ms)
{
  kill (rig->instances[index].pid, SIGKILL);
  while (rig_is_alive (rig, index))
    g_usleep (1000);
  wait_until (at_ms);
  rig_start_instance (rig, index);
}

/* Replaces servers one after the other, the oldest first. */
static void
release_servers (guint round, gint64 start_ms)
{
  for (guint i = 0; i < REPLACED; i++)
    {
      guint old = round * REPLACED + i;
      gint64 at_ms = start_ms + i * RELEASE_GAP_MS;
      wait_until (at_ms);
      rig_put_server (rig, old + SERVERS, "ready");
      wait_until (at_ms + REGISTER_MS);
      rig_put_server (rig, old, "draining");
      left_ms[old] = rig_now_ms ();
      rig_record ("the store has accepted that server %u leaves", old);
    }
}

/* Plays one round.  Returns how many requests reached a server too late. */
static guint
play_round (guint round)
{
  guint first = atomic_load (&call_count);
  RigCaller *caller = begin_long_request (round);
  gint64 start_ms = rig_now_ms ();
  gint64 started_ms = 0;
  if (rig->with_trouble)
    {
      kill (rig->instances[STOPPED].pid, SIGTERM);
      rig_record ("round %u: SIGTERM to instance %u", round, STOPPED);
      wait_until (start_ms + KILL_MS);
      rig_record ("instance %u is killed", KILLED);
      restart_instance (KILLED, start_ms + RESTART_MS);
      started_ms = rig_now_ms ();
    }
  release_servers (round, start_ms + RELEASE_MS);
  wait_until (start_ms + END_MS);
  rig_caller_close (caller);
  guint late = count_late (first, started_ms);
  rig_record ("round %u: %u requests reached a server too late", round, late);
  for (guint i = 0; i < REPLACED; i++)
    rig_put_server (rig, round * REPLACED + i, NULL);
  if (rig->with_trouble)
    {
      while (rig_is_alive (rig, STOPPED))
        g_usleep (1000);
      rig_start_instance (rig, STOPPED);
    }
  wait_until (start_ms + END_MS + SETTLE_MS);
  return late;
}

int
main (int argc, char **argv)
{
  pthread_t thread;
  guint late = 0;
  rig = rig_create (argc > 1 ? argv[1] : "record.txt", SERVERS_TOTAL, INSTANCES);
  for (guint i = SERVERS; i < SERVERS_TOTAL; i++)
    rig_put_server (rig, i, NULL); /* not started yet */
  rig->instances[STOPPED].zone = 'b';
  rig->instances[KILLED].zone = 'b';
  rig_put_config (rig, 3, "\"k1\"");
  for (guint i = 0; i < INSTANCES; i++)
    rig_start_instance (rig, i);
  for (guint i = 0; i < INSTANCES; i++)
    if (!rig_wait_until_ready (rig, i, 15000))
      rig_finish (rig, RIG_NOT_RUN);
  g_usleep (STABLE_WINDOW_MS * 1000);
  atomic_store (&is_calling, TRUE);
  pthread_create (&thread, NULL, run_calls, NULL);
  for (guint i = 0; i < ROUNDS; i++)
    late += play_round (i);
  atomic_store (&is_calling, FALSE);
  pthread_join (thread, NULL);
  rig_record ("%u requests, %u of them too late", atomic_load (&call_count), late);
  rig_finish (rig, late > 0 ? RIG_BROKEN : RIG_HELD);
}
