/*
 * platform_soak - randomized soak test of real processes on the users' platform
 * (interface "platform" in the settings)
 *
 * Runs the stand-ins for the object store and the backend servers, each behind a
 * proxy, and writes the settings of the instances to a directory. Injects
 * overlapping faults in a seeded order, while callers send requests on persistent
 * connections. scripts/platform-soak.sh starts and restarts the instances and writes
 * their process ids to the directory; no other process gets a signal.
 *
 * Checks what callers and servers see: a request that is not idempotent is executed
 * at most once, a request reported as not executed was not executed, every complete
 * response belongs to its request, and events arrive once and in order.  Some
 * callers send requests again and again that crash every server that executes them:
 * none may crash a third one.  Configs take keys away and give them back: no request
 * with a key that was removed longer ago than the bound is executed.  Instances are
 * stopped for about a second, in series, and go on; configs change how long idle
 * connections are kept, and each request on one gets an answer.  The store is
 * restored from older copies, and its writers write again what it has lost.  Servers
 * fall silent for about a second, name limits and turn requests away for a while;
 * once all faults have ended, one keeps its limit, one its pause, and one that
 * announces its leaving gets nothing.  The duty interface is slow, silent or refuses
 * calls; soak_duty.h says what is checked of these.
 */
#include "soak_duty.h"
#include "soak_idle.h"
#include "soak_part.h"
#include "soak_play.h"
#include "soak_site.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVERS 4

/* Time between two looks at the servers. */
#define DIRECTORY_INTERVAL_US 50000

/* How long a server that crashed is away. */
#define OUTAGE_US 1500000

/* How long a sound server falls silent. */
#define SILENCE_MIN_US 700000
#define SILENCE_SPREAD_US 700000

/* Most changes that the store loses when it is restored, apart from renewals of
   the lease, one a second at least. */
#define LOST_CHANGES_MAX 12

/* Longest times for which the store is away before it is restored, and until its
   writers write again what it has lost. */
#define RESTORE_OUTAGE_MAX_US 1500000
#define REWRITE_DELAY_MAX_US 1800000

/* Limit of a server in requests per second, and what it may get in the window. */
#define NAMED_LIMIT "2"
#define LIMIT_SETTLE_US 3000000
#define LIMIT_WINDOW_US 4000000
#define LIMITED_REQUESTS_MAX 17

/* Pause that a server asks for, and the part of it that is looked at. */
#define PAUSE_S "3"
#define PAUSE_SETTLE_US 1000000
#define PAUSE_WINDOW_US 1900000
#define PAUSE_REQUESTS_MAX 2 /* of one instance */

/* Watches of the store are cut off after this time without a change. */
#define CUT_WATCH_AFTER_MS 300

/* Time after which changes of the servers are followed everywhere. */
#define FOLLOW_US 6000000

/* --- fault injection ----------------------------------------------------- */

static guint
random_below (Soak *soak, guint count)
{
  return (guint) g_rand_int_range (soak->fault_random, 0, (gint32) count);
}

static void
inject_process_fault (Soak *soak)
{
  static const int signals[]
      = { SIGKILL, SIGTERM, SIGHUP, SIGSTOP, SIGCONT, SIGCONT };
  guint index = random_below (soak, soak->instances);
  int number = signals[random_below (soak, G_N_ELEMENTS (signals))];
  printf ("fault: signal %d to instance %u\n", number, index);
  soak_processes_signal (soak->processes, index, number);
}

static void
inject_store_fault (Soak *soak)
{
  static const ObjectsBehaviour behaviours[]
      = { OBJECTS_NORMAL, OBJECTS_NORMAL, OBJECTS_UNAVAILABLE,
          OBJECTS_TOO_MANY_REQUESTS, OBJECTS_UNRESPONSIVE };
  guint choice = random_below (soak, 8);
  printf ("fault: store %u\n", choice);
  if (choice < G_N_ELEMENTS (behaviours))
    objects_set_behaviour (soak->objects, behaviours[choice]);
  else if (choice == 5)
    objects_compact_history (soak->objects);
  else if (choice == 6)
    proxy_set_mode (soak->store_proxy,
                    (ProxyMode) random_below (soak, PROXY_MODE_COUNT));
  else
    soak_put_config (soak, soak->config_version + 1);
}

static void
inject_notice (Soak *soak, guint index)
{
  static const char *const fields[]
      = { "", "Server-Limit: 5\r\n", "Server-Limit: 0.3\r\n", "Retry-After: 0.7\r\n",
          "Server-Limit: x\r\nRetry-After: soon\r\n" };
  guint choice = random_below (soak, G_N_ELEMENTS (fields));
  printf ("fault: server %u says %u\n", index, choice);
  replica_set_fields (soak->replicas[index], fields[choice]);
  replica_set_refusing (soak->replicas[index], choice >= 3);
}

static void
inject_server_fault (Soak *soak)
{
  static const char *const states[] = { "ready", "ready", "draining" };
  guint index = random_below (soak, soak->servers);
  guint kind = random_below (soak, 5);
  if (kind == 4)
    {
      gint64 duration_us = SILENCE_MIN_US + random_below (soak, SILENCE_SPREAD_US);
      printf ("fault: server %u is silent for %u ms\n", index,
              (guint) (duration_us / 1000));
      replica_fall_silent (soak->replicas[index], duration_us);
      return;
    }
  if (kind == 0)
    {
      inject_notice (soak, index);
      return;
    }
  if (kind == 1)
    {
      const char *state = states[random_below (soak, G_N_ELEMENTS (states))];
      printf ("fault: server %u is %s\n", index, state);
      soak_put_server (soak, index, state);
      return;
    }
  ProxyMode mode = (ProxyMode) random_below (soak, PROXY_MODE_COUNT);
  printf ("fault: proxy of server %u in mode %d\n", index, mode);
  proxy_set_mode (soak->proxies[index], mode);
}

/* Returns a random time up to MAX_US from now on. */
static gint64
random_time (Soak *soak, gint32 max_us)
{
  return g_get_monotonic_time () + g_rand_int_range (soak->change_random, 0, max_us);
}

static void
restore_store (Soak *soak)
{
  gint64 revision = objects_revision (soak->objects);
  gint32 lost = g_rand_int_range (soak->change_random, 1, LOST_CHANGES_MAX + 1);
  gint64 restored = objects_revision_before (soak->objects, (guint) lost, "duties");
  printf ("fault: store restored from revision %d of %d\n", (int) restored,
          (int) revision);
  objects_restore (soak->objects, restored);
  objects_set_behaviour (soak->objects, OBJECTS_NORMAL);
  soak->restores++;
  soak->restore_at_us = 0;
  soak->rewrite_at_us = random_time (soak, REWRITE_DELAY_MAX_US);
}

/* The operator and the servers write again what the store has lost. */
static void
rewrite_store (Soak *soak)
{
  printf ("config and servers are written again\n");
  soak->rewrite_at_us = 0;
  soak_put_config (soak, soak->config_version);
  soak_put_servers (soak);
}

static void
inject_changes (Soak *soak)
{
  static const guint timeouts_ms[] = { 1500, 2000, 2000, 3000 };
  gint64 now_us = g_get_monotonic_time ();
  guint choice = (guint) g_rand_int_range (soak->change_random, 0, 20);
  if (choice < 4)
    soak_change_key (soak);
  else if (choice > 16)
    soak_set_idle_timeout (
        soak, timeouts_ms[g_rand_int_range (soak->change_random, 0,
                                            G_N_ELEMENTS (timeouts_ms))]);
  else if (choice == 4 && soak->restore_at_us == 0 && soak->rewrite_at_us == 0)
    {
      objects_set_behaviour (soak->objects, OBJECTS_UNAVAILABLE);
      soak->restore_at_us = random_time (soak, RESTORE_OUTAGE_MAX_US);
    }
  else if (choice == 5 || choice == 6)
    objects_cut_watches (soak->objects, choice == 5 ? CUT_WATCH_AFTER_MS : 0,
                         OBJECTS_CUT_CLOSE);
  if (soak->restore_at_us > 0 && now_us >= soak->restore_at_us)
    restore_store (soak);
  if (soak->rewrite_at_us > 0 && now_us >= soak->rewrite_at_us)
    rewrite_store (soak);
}

/* Ends all faults, so that each series of faults starts from a working system. */
static void
heal_all (Soak *soak)
{
  printf ("heal\n");
  objects_set_behaviour (soak->objects, OBJECTS_NORMAL);
  objects_cut_watches (soak->objects, 0, OBJECTS_CUT_CLOSE);
  proxy_set_mode (soak->store_proxy, PROXY_PASS);
  for (guint i = 0; i < soak->servers; i++)
    {
      proxy_set_mode (soak->proxies[i], PROXY_PASS);
      replica_set_fields (soak->replicas[i], "");
      replica_set_refusing (soak->replicas[i], FALSE);
      soak_put_server (soak, i, "ready");
    }
  for (guint i = 0; i < soak->instances; i++)
    soak_processes_signal (soak->processes, i, SIGCONT);
}

static void
inject_faults (Soak *soak, guint seconds)
{
  gint64 end_us = g_get_monotonic_time () + (gint64) seconds * G_USEC_PER_SEC;
  for (guint round = 1; g_get_monotonic_time () < end_us; round++)
    {
      guint kind = random_below (soak, 3);
      if (round % 12 == 0)
        heal_all (soak);
      else if (kind == 0)
        inject_process_fault (soak);
      else if (kind == 1)
        inject_store_fault (soak);
      else
        inject_server_fault (soak);
      soak_update_directory (soak);
      inject_changes (soak);
      fflush (stdout);
      g_usleep ((gulong) g_rand_int_range (soak->fault_random, 100000, 700000));
    }
}

static void
end_faults (Soak *soak)
{
  soak_processes_set_pausing (soak->processes, FALSE);
  if (soak->restore_at_us > 0)
    restore_store (soak);
  soak_duty_set_faulty (soak->duty, FALSE);
  heal_all (soak);
  soak_put_config (soak, soak->config_version);
}

/* Waits, and keeps the entries of servers that crash meanwhile. */
static void
rest (Soak *soak, gint64 duration_us)
{
  gint64 end_us = g_get_monotonic_time () + duration_us;
  while (g_get_monotonic_time () < end_us)
    {
      soak_update_directory (soak);
      g_usleep (DIRECTORY_INTERVAL_US);
    }
}

/* Changes of the servers at revisions that the store has given out before take
   effect at every instance. */
static void
check_restored_directory (Soak *soak)
{
  restore_store (soak);
  rewrite_store (soak);
  soak_put_server (soak, 0, "draining");
  rest (soak, FOLLOW_US);
  guint completed = atomic_load (&soak->completed);
  guint runs = replica_request_count (soak->replicas[0]);
  rest (soak, G_USEC_PER_SEC);
  if (replica_request_count (soak->replicas[0]) != runs)
    soak_report_violation (soak, "draining server gets requests", "", "");
  if (atomic_load (&soak->completed) == completed)
    soak_report_violation (soak, "no request completes while a server drains", "",
                           "");
}

typedef struct
{
  guint received; /* requests, executed or not */
  guint starts;   /* of the server, after crashes */
} Received;

static Received
count_received_in (Soak *soak, guint index, gint64 duration_us)
{
  Replica *replica = soak->replicas[index];
  Received before
      = { replica_received_count (replica), replica_crash_count (replica) };
  rest (soak, duration_us);
  return (Received){ replica_received_count (replica) - before.received,
                     replica_crash_count (replica) - before.starts };
}

static void
report_received (Soak *soak, const char *description, Received received)
{
  char *text = g_strdup_printf ("%u requests, %u starts", received.received,
                                received.starts);
  soak_report_violation (soak, description, "", text);
  g_free (text);
}

/* What servers say of themselves is followed by all instances. */
static void
check_notices (Soak *soak)
{
  soak_put_server (soak, 0, "ready");
  replica_set_fields (soak->replicas[0], "Server-Limit: " NAMED_LIMIT "\r\n");
  replica_set_fields (soak->replicas[1], "Server-Leaving: 1\r\n");
  replica_set_fields (soak->replicas[2], "Retry-After: " PAUSE_S "\r\n");
  replica_set_refusing (soak->replicas[2], TRUE);
  rest (soak, PAUSE_SETTLE_US);
  Received paused = count_received_in (soak, 2, PAUSE_WINDOW_US);
  if (paused.received > PAUSE_REQUESTS_MAX * soak->instances)
    report_received (soak, "server gets requests in its pause", paused);
  replica_set_refusing (soak->replicas[2], FALSE);
  replica_set_fields (soak->replicas[2], "");
  Received leaving = count_received_in (soak, 1, PAUSE_SETTLE_US);
  if (leaving.received > 0)
    report_received (soak, "server that leaves gets requests", leaving);
  Received limited = count_received_in (soak, 0, LIMIT_WINDOW_US);
  if (limited.received > LIMITED_REQUESTS_MAX)
    report_received (soak, "server gets more than its limit", limited);
  replica_set_fields (soak->replicas[0], "");
  rest (soak, LIMIT_SETTLE_US);
  Received unlimited = count_received_in (soak, 0, LIMIT_WINDOW_US);
  if (unlimited.received <= LIMITED_REQUESTS_MAX)
    report_received (soak, "server gets too few requests after its limit",
                     unlimited);
}

static void
print_summary (Soak *soak, guint32 seed)
{
  guint crashes = 0;
  for (guint i = 0; i < soak->servers; i++)
    crashes += replica_crash_count (soak->replicas[i]);
  printf (
      "seed %u: %u sent, %u whole, %u refused, %u refused as harmful, %u failed, "
      "%u with removed keys, %u restores, %u crashes, %u breaches\n",
      seed, atomic_load (&soak->sent), atomic_load (&soak->completed),
      atomic_load (&soak->refused), atomic_load (&soak->harmful),
      atomic_load (&soak->failed), atomic_load (&soak->removed_key_requests),
      soak->restores, crashes, atomic_load (&soak->violations));
}

static void
run_soak (Soak *soak, guint32 seed, guint seconds)
{
  const SoakPartConfig part_config = { .path_kind = "safe",
                                       .parts = "f0:100,h1:50,u%u:30",
                                       .part = "h1",
                                       .end = 1 + seed % HARMFUL_OPEN,
                                       .crashes_counted = 5,
                                       .interval_ms = 1000,
                                       .sound_callers = 3 };
  SoakCallers *callers = soak_callers_create (soak, seed);
  SoakIdleCallers *idle_callers = soak_idle_callers_create (soak, seed);
  SoakPart *part = soak_part_create (soak, &part_config, seed);
  soak_duty_set_faulty (soak->duty, TRUE);
  soak_processes_set_pausing (soak->processes, TRUE);
  inject_faults (soak, seconds / 4);
  soak_part_begin (part);
  inject_faults (soak, seconds - seconds / 4);
  soak_part_end (part);
  end_faults (soak);
  rest (soak, 4 * G_USEC_PER_SEC);
  guint completed_before = atomic_load (&soak->completed);
  rest (soak, 2 * G_USEC_PER_SEC);
  if (atomic_load (&soak->completed) == completed_before)
    soak_report_violation (soak, "no request completes after all faults have ended",
                           "", "");
  check_restored_directory (soak);
  check_notices (soak);
  atomic_store (&soak->stopping, TRUE);
  soak_part_destroy (part);
  soak_callers_destroy (callers);
  soak_idle_callers_destroy (idle_callers);
  soak_duty_check (soak->duty);
  print_summary (soak, seed);
}

int
main (int argc, char **argv)
{
  if (argc != 5 && argc != 6)
    {
      fprintf (stderr,
               "Usage: platform_soak FOLDER INSTANCES SEED SECONDS [PLAY]\n");
      return 2;
    }
  Soak soak = { .directory = argv[1], .servers = SERVERS, .outage_us = OUTAGE_US };
  guint32 seed = (guint32) strtoul (argv[3], NULL, 10);
  soak.instances = MIN ((guint) strtoul (argv[2], NULL, 10), SOAK_INSTANCES_MAX);
  soak.renames_servers = seed % 2 == 0;
  if (argc == 6 && !soak_play_prepare (&soak, argv[5]))
    {
      fprintf (stderr, "no play %s\n", argv[5]);
      return 2;
    }
  soak.fault_random = g_rand_new_with_seed (seed);
  soak.change_random = g_rand_new_with_seed (seed + 1);
  signal (SIGPIPE, SIG_IGN);
  soak_set_up (&soak, seed);
  soak.processes = soak_processes_create (soak.directory, soak.instances, seed + 2);
  printf ("ready\n");
  fflush (stdout);
  if (argc == 6)
    soak_play_run (&soak, argv[5], seed);
  else
    run_soak (&soak, seed, (guint) strtoul (argv[4], NULL, 10));
  if (soak_processes_ended_count (soak.processes) > 0)
    soak_report_violation (&soak, "instance has ended by itself", "", "");
  soak_processes_destroy (soak.processes);
  soak_tear_down (&soak);
  g_rand_free (soak.fault_random);
  g_rand_free (soak.change_random);
  return atomic_load (&soak.violations) == 0 ? 0 : 1;
}
