#include "soak_drain.h"

#include "soak_connection.h"
#include "soak_site.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bounds of the users' installations: a server gets nothing later than this after it
   has left, from instances that have run for the other time without a signal. */
#define DRAIN_US 2000000
#define STABLE_US 3000000

#define GRACE_S 8
#define ROUNDS 3
#define SERVERS 12
#define SERVERS_LEAVING 5

/* Watches are cut off after this time without a change. */
#define CUT_WATCH_AFTER_MS 300

/* The times of a round, after the SIGTERM. */
#define KILL_MIN_US 20000
#define KILL_MAX_US 400000
#define PAUSE_AT_US 1200000
#define LEAVE_US 1800000
#define LEAVE_INTERVAL_US 500000
#define END_US 7600000
#define SETTLE_US 2500000

#define START_US 6000000
#define PAUSE_US 1000000
#define PAUSES_ONE_IN 4
#define LONG_REQUEST_LEAD_US 200000
#define LONG_TIMEOUT_MS 15000
#define CALL_INTERVAL_US 25000
#define CALLS_MAX 4000
#define TIMEOUT_S 4

/* Instances of the data centre NUMBER of the play; those of a data centre are as
   many apart as there are data centres. */
#define DATA_CENTRES 3
#define STOPPED(number) (1 + (number))
#define KILLED(number) (STOPPED (number) + DATA_CENTRES)
#define PAIRS 2

typedef struct
{
  char path[48];
  gint64 sent_us;
  gboolean is_stable; /* its instance had run for STABLE_US */
} Call;

/* Sends requests to one instance that is killed. */
typedef struct
{
  Soak *soak;
  pthread_t thread;
  guint instance;
  guint round;
  Call calls[CALLS_MAX];
  guint count;
  atomic_bool stopping;
} Caller;

static gint64
now_us (void)
{
  return g_get_monotonic_time ();
}

static void
sleep_until (gint64 time_us)
{
  gint64 rest_us = time_us - now_us ();
  if (rest_us > 0)
    g_usleep ((gulong) rest_us);
}

/* --- callers --------------------------------------------------------------- */

static void
send_call (Caller *caller, Call *call)
{
  char trace[32];
  const SoakProcess *process
      = soak_processes_get (caller->soak->processes, caller->instance);
  g_snprintf (trace, sizeof trace, "d%u-%u-%u", caller->round, caller->instance,
              caller->count);
  g_snprintf (call->path, sizeof call->path, "/safe/%s/ok", trace);
  call->sent_us = now_us ();
  call->is_stable
      = call->sent_us - atomic_load (&process->interrupted_us) >= STABLE_US;
  int fd = soak_connect (caller->soak->ports[caller->instance], TIMEOUT_S);
  if (fd >= 0 && soak_send (fd, call->path, trace, "k1", "", "b"))
    g_string_free (soak_receive (fd).text, TRUE);
  if (fd >= 0)
    close (fd);
}

static void *
run_caller (void *data)
{
  Caller *caller = data;
  while (!atomic_load (&caller->stopping) && caller->count < CALLS_MAX)
    {
      send_call (caller, &caller->calls[caller->count]);
      caller->count++;
      g_usleep (CALL_INTERVAL_US);
    }
  return NULL;
}

/* Sends an instance a request that a server works on until the connection ends: a
   planned stop waits for it.  Returns the socket. */
static int
begin_long_request (const Soak *soak, guint instance, guint round)
{
  int fd = soak_connect (soak->ports[instance], TIMEOUT_S);
  if (fd < 0)
    return fd;
  char *request
      = g_strdup_printf ("POST /once/long%u-%u/hang HTTP/1.1\r\nHost: h.example\r\n"
                         "X-Hornbeamwall-Key: k1\r\n"
                         "X-Hornbeamwall-Attempt-Id: long%u-%u\r\n"
                         "X-Hornbeamwall-Deadline-Ms: %u\r\n"
                         "Content-Length: 0\r\n\r\n",
                         instance, round, instance, round, LONG_TIMEOUT_MS);
  send (fd, request, strlen (request), MSG_NOSIGNAL);
  g_free (request);
  return fd;
}

/* --- a round --------------------------------------------------------------- */

/* Reports requests that a server ran although they were sent later than DRAIN_US
   after LEFT_US. */
static void
check_server (const Caller *caller, guint server, gint64 left_us)
{
  Soak *soak = caller->soak;
  for (guint i = 0; i < caller->count; i++)
    {
      const Call *call = &caller->calls[i];
      if (!call->is_stable || call->sent_us <= left_us + DRAIN_US
          || replica_run_count (soak->replicas[server], call->path) == 0)
        continue;
      char *text = g_strdup_printf ("server %u had left %d ms before", server,
                                    (int) ((call->sent_us - left_us) / 1000));
      soak_report_violation (soak, "request at a server that has left", call->path,
                             text);
      g_free (text);
    }
}

static void
start_callers (Soak *soak, Caller *callers, guint round)
{
  for (guint i = 0; i < PAIRS; i++)
    {
      callers[i] = (Caller){ .soak = soak, .instance = KILLED (i), .round = round };
      pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]);
    }
}

static void
end_callers (Caller *callers)
{
  for (guint i = 0; i < PAIRS; i++)
    atomic_store (&callers[i].stopping, TRUE);
  for (guint i = 0; i < PAIRS; i++)
    pthread_join (callers[i].thread, NULL);
}

/* Stops one instance of each pair, kills the other one, and pauses some instances.
 */
static void
disturb (Soak *soak, GRand *random, gint64 start_us)
{
  for (guint i = 0; i < PAIRS; i++)
    soak_processes_signal (soak->processes, STOPPED (i), SIGTERM);
  for (guint i = 0; i < PAIRS; i++)
    {
      sleep_until (start_us + g_rand_int_range (random, KILL_MIN_US, KILL_MAX_US));
      soak_processes_signal (soak->processes, KILLED (i), SIGKILL);
    }
  sleep_until (start_us + PAUSE_AT_US);
  for (guint i = 0; i < PAIRS; i++)
    if (g_rand_int_range (random, 0, PAUSES_ONE_IN) == 0)
      soak_processes_pause (soak->processes, STOPPED (i), PAUSE_US);
}

/* Some servers report that they are leaving, of others only the entry goes. */
static void
leave (Soak *soak, guint server)
{
  if (server % 2 == 0)
    soak_put_server (soak, server, "draining");
  else
    soak_remove_server (soak, server);
}

static void
play_round (Soak *soak, GRand *random, Caller *callers, guint round)
{
  gint64 left_us[SERVERS_LEAVING];
  int fds[PAIRS];
  for (guint i = 0; i < PAIRS; i++)
    fds[i] = begin_long_request (soak, STOPPED (i), round);
  g_usleep (LONG_REQUEST_LEAD_US);
  gint64 start_us = now_us ();
  disturb (soak, random, start_us);
  start_callers (soak, callers, round);
  for (guint i = 0; i < SERVERS_LEAVING; i++)
    {
      sleep_until (start_us + LEAVE_US + i * LEAVE_INTERVAL_US);
      leave (soak, (round * SERVERS_LEAVING + i) % SERVERS);
      left_us[i] = now_us ();
    }
  sleep_until (start_us + END_US);
  end_callers (callers);
  for (guint i = 0; i < PAIRS; i++)
    for (guint k = 0; k < SERVERS_LEAVING; k++)
      check_server (&callers[i], (round * SERVERS_LEAVING + k) % SERVERS,
                    left_us[k]);
  for (guint i = 0; i < PAIRS; i++)
    if (fds[i] >= 0)
      close (fds[i]);
  for (guint i = 0; i < SERVERS_LEAVING; i++)
    soak_put_server (soak, (round * SERVERS_LEAVING + i) % SERVERS, "ready");
  g_usleep (SETTLE_US);
}

gboolean
soak_drain_prepare (Soak *soak, const char *name)
{
  if (strcmp (name, "drain") != 0)
    return FALSE;
  soak->has_zones = TRUE;
  soak->servers = SERVERS;
  soak->grace_s = GRACE_S;
  soak->once_timeout_ms = LONG_TIMEOUT_MS;
  return TRUE;
}

void
soak_drain_run (Soak *soak, guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  Caller *callers = g_new0 (Caller, PAIRS);
  g_usleep (START_US);
  objects_cut_watches (soak->objects, CUT_WATCH_AFTER_MS, OBJECTS_CUT_CLOSE);
  for (guint round = 0; round < ROUNDS; round++)
    {
      play_round (soak, random, callers, round);
      printf ("round %u: %u and %u requests\n", round, callers[0].count,
              callers[1].count);
    }
  g_free (callers);
  g_rand_free (random);
}
