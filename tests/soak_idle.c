#include "soak_idle.h"

#include "soak_connection.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_CALLERS 24

/* Part of the idle timeout after which a connection is used again, in percent. */
#define REUSE_MIN_PERCENT 70
#define REUSE_MAX_PERCENT 80

/* Most requests on a connection. */
#define REQUESTS_MAX 5

/* Longest wait for an answer: that of an attempt, and two pauses of the instance. */
#define RECEIVE_TIMEOUT_S 8

/* A close within this time after the request's last byte crosses the request. */
#define LOSS_SLACK_US 200000

/* Time from a SIGTERM in which all requests are still answered: five sixths of
   stop_grace_s. */
#define GRACE_US 3300000

#define WAIT_US 10000

typedef struct
{
  Soak *soak;
  pthread_t thread;
  guint number;
  GRand *random;
  guint request_count;
  int fd;
  guint instance;
  gint64 connected_us;
  gint64 answered_us; /* end of the last answer */
} IdleCaller;

struct SoakIdleCallers
{
  IdleCaller callers[IDLE_CALLERS];
};

typedef struct
{
  char path[64];
  char trace[32];
  guint idle_ms;
  gint64 sent_us; /* its last byte */
} KeptRequest;

static gboolean
connect_caller (IdleCaller *caller)
{
  Soak *soak = caller->soak;
  caller->instance
      = (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances);
  caller->connected_us = g_get_monotonic_time ();
  caller->fd = soak_connect (soak->ports[caller->instance], RECEIVE_TIMEOUT_S);
  return caller->fd >= 0;
}

/* Returns whether the connection may end without an answer at NOW_US. */
static gboolean
may_end (const IdleCaller *caller, gint64 now_us)
{
  const SoakProcess *process
      = soak_processes_get (caller->soak->processes, caller->instance);
  gint64 terminated_us = atomic_load (&process->terminated_us);
  return atomic_load (&process->killed_us) >= caller->connected_us
         || (terminated_us >= caller->connected_us
             && now_us > terminated_us + GRACE_US);
}

/* Returns how long before NOW_US the event at EVENT_US was, in seconds. */
static double
age_s (gint64 now_us, gint64 event_us)
{
  return event_us == 0 ? -1 : (double) (now_us - event_us) / G_USEC_PER_SEC;
}

static void
report_loss (IdleCaller *caller, const KeptRequest *request, SoakOutcome outcome,
             gint64 now_us)
{
  Soak *soak = caller->soak;
  const SoakProcess *process
      = soak_processes_get (soak->processes, caller->instance);
  gint64 paused_us = atomic_load (&process->paused_us);
  char *text = g_strdup_printf (
      "instance %u, sent %.3f s, %s %.3f s later, %u runs, idle for %u ms, timeout "
      "%u ms changed %.3f s before, paused %.3f s, SIGTERM %.3f s, start %.3f s "
      "before",
      caller->instance, age_s (request->sent_us, soak->began_us),
      outcome == SOAK_RESPONSE_OVERDUE ? "no answer" : "closed",
      age_s (now_us, request->sent_us),
      replica_total_run_count (soak->replicas, soak->servers, request->path),
      request->idle_ms, atomic_load (&soak->idle_timeout_ms),
      age_s (now_us, atomic_load (&soak->limit_changed_us)),
      age_s (now_us, paused_us),
      age_s (now_us, atomic_load (&process->terminated_us)),
      age_s (now_us, atomic_load (&process->started_us)));
  soak_report_violation (soak, "kept connection closed without an answer",
                         request->path, text);
  g_free (text);
}

/* Checks a request that got no byte of an answer. */
static void
check_loss (IdleCaller *caller, const KeptRequest *request, SoakOutcome outcome)
{
  Soak *soak = caller->soak;
  gint64 now_us = g_get_monotonic_time ();
  const SoakProcess *process
      = soak_processes_get (soak->processes, caller->instance);
  if (may_end (caller, now_us))
    return;
  if (outcome == SOAK_RESPONSE_OVERDUE && atomic_load (&process->is_stopped))
    return;
  gboolean has_run
      = replica_total_run_count (soak->replicas, soak->servers, request->path) > 0;
  if (!has_run && now_us - request->sent_us <= LOSS_SLACK_US)
    atomic_fetch_add (&soak->crossed, 1);
  else
    report_loss (caller, request, outcome, now_us);
}

/* Sends a request and receives its answer.  Returns whether the connection is kept.
 */
static gboolean
call (IdleCaller *caller, gboolean kept)
{
  static const char *const kinds[] = { "safe", "unsafe" };
  KeptRequest request;
  guint number = caller->request_count++;
  const char *kind = kinds[g_rand_int_range (caller->random, 0, 2)];
  gint64 now_us = g_get_monotonic_time ();
  g_snprintf (request.path, sizeof request.path, "/%s/k%u-%u/ok", kind,
              caller->number, number);
  g_snprintf (request.trace, sizeof request.trace, "k%u-%u-", caller->number,
              number);
  request.idle_ms = (guint) ((now_us - caller->answered_us) / 1000);
  if (!soak_send (caller->fd, request.path, request.trace, "k1", "", request.trace))
    return FALSE;
  request.sent_us = g_get_monotonic_time ();
  SoakResponse response = soak_receive (caller->fd);
  caller->answered_us = g_get_monotonic_time ();
  if (kept)
    atomic_fetch_add (&caller->soak->reused, 1);
  if (kept && response.text->len == 0)
    check_loss (caller, &request, response.outcome);
  gboolean open = response.outcome == SOAK_RESPONSE_COMPLETE
                  && strstr (response.text->str, "Connection: close") == NULL;
  g_string_free (response.text, TRUE);
  return open;
}

/* Waits until PERCENT of the idle timeout in force has passed.  Returns FALSE if the
   connection has ended, or if more than that has passed because the timeout was
   shortened. */
static gboolean
stay_idle (IdleCaller *caller, guint percent)
{
  struct pollfd input = { caller->fd, POLLIN, 0 };
  while (!atomic_load (&caller->soak->stopping))
    {
      gint64 timeout_us = atomic_load (&caller->soak->idle_timeout_ms) * 1000LL;
      gint64 idle_us = g_get_monotonic_time () - caller->answered_us;
      if (poll (&input, 1, 0) != 0
          || idle_us > timeout_us * REUSE_MAX_PERCENT / 100 + 2LL * WAIT_US)
        return FALSE;
      if (idle_us >= timeout_us * percent / 100)
        return TRUE;
      g_usleep (WAIT_US);
    }
  return FALSE;
}

static void *
run_idle_caller (void *data)
{
  IdleCaller *caller = data;
  while (!atomic_load (&caller->soak->stopping))
    {
      if (!connect_caller (caller))
        {
          g_usleep (WAIT_US);
          continue;
        }
      gboolean open = call (caller, FALSE);
      for (guint i = 1; open && i < REQUESTS_MAX; i++)
        {
          gint32 percent = g_rand_int_range (caller->random, REUSE_MIN_PERCENT,
                                             REUSE_MAX_PERCENT + 1);
          open = stay_idle (caller, (guint) percent) && call (caller, TRUE);
        }
      close (caller->fd);
    }
  return NULL;
}

SoakIdleCallers *
soak_idle_callers_create (Soak *soak, guint32 seed)
{
  SoakIdleCallers *callers = g_new0 (SoakIdleCallers, 1);
  for (guint i = 0; i < IDLE_CALLERS; i++)
    {
      IdleCaller *caller = &callers->callers[i];
      caller->soak = soak;
      caller->number = i;
      caller->random = g_rand_new_with_seed (seed * IDLE_CALLERS + i);
      pthread_create (&caller->thread, NULL, run_idle_caller, caller);
    }
  return callers;
}

void
soak_idle_callers_destroy (SoakIdleCallers *callers)
{
  for (guint i = 0; i < IDLE_CALLERS; i++)
    {
      pthread_join (callers->callers[i].thread, NULL);
      g_rand_free (callers->callers[i].random);
    }
  Soak *soak = callers->callers[0].soak;
  printf ("kept connections: %u requests, %u crossed by a close\n",
          atomic_load (&soak->reused), atomic_load (&soak->crossed));
  g_free (callers);
}
