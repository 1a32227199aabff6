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
 * name limits and turn requests away for a while; once all faults have ended, one
 * keeps its limit, one its pause, and one that announces its leaving gets nothing.
 */
#include "soak_idle.h"
#include "soak_state.h"
#include "standin/listen.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define SERVERS 4

/* Time after which idle connections are closed at first. */
#define IDLE_TIMEOUT_MS 2000

/* Most changes that the store loses when it is restored. */
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

/* Time after which changes of the servers are followed everywhere. */
#define FOLLOW_US 6000000

/* --- store contents and settings ----------------------------------------- */

/* Returns the changing keys that are held, as JSON strings, each after a comma. */
static char *
format_changing_keys (Soak *soak)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < SOAK_CHANGING_KEYS; i++)
    if (soak->keys[i].held)
      g_string_append_printf (text, ",\"r%u\"", i);
  return g_string_free (text, FALSE);
}

/* Writes the newest config, again if VERSION was written before. */
static void
put_config (Soak *soak, guint version)
{
  char *keys = format_changing_keys (soak);
  soak->config_version = version;
  char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"safe\",\"hostname\":\"h.example\",\"path_prefix\":\"/safe/\","
      "\"route_type\":\"safe\",\"timeout_ms\":2000,\"latency_goal_ms\":100,"
      "\"priority\":1,\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"unsafe\",\"hostname\":\"h.example\",\"path_prefix\":\"/unsafe/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":2000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1},"
      "{\"name\":\"stream\",\"hostname\":\"h.example\",\"path_prefix\":\"/stream/\","
      "\"route_type\":\"streaming\",\"resumable\":true,\"timeout_ms\":2000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"once\",\"hostname\":\"h.example\",\"path_prefix\":\"/once/\","
      "\"route_type\":\"streaming\",\"resumable\":false,\"timeout_ms\":2000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":2,"
      "\"backend\":\"b\",\"max_attempts\":2}],"
      "\"backends\":[{\"name\":\"b\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":%u},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"%s]}]}",
      version, atomic_load (&soak->idle_timeout_ms), keys);
  objects_set (soak->objects, "config", "main", text);
  g_free (text);
  g_free (keys);
}

/* Takes a key away, or gives it back.  The key counts as removed from the
   acknowledgement of the config on. */
static void
change_key (Soak *soak)
{
  guint index
      = (guint) g_rand_int_range (soak->change_random, 0, SOAK_CHANGING_KEYS);
  ChangingKey *key = &soak->keys[index];
  pthread_mutex_lock (&soak->key_lock);
  key->held = !key->held;
  key->removed_us = G_MAXINT64;
  pthread_mutex_unlock (&soak->key_lock);
  put_config (soak, soak->config_version + 1);
  pthread_mutex_lock (&soak->key_lock);
  key->removed_us = g_get_monotonic_time ();
  pthread_mutex_unlock (&soak->key_lock);
  printf ("change: key r%u is %s, config %u\n", index,
          key->held ? "held" : "removed", soak->config_version);
}

/* Changes the time after which idle connections are closed.  Callers follow it from
   the acknowledgement of the config on. */
static void
change_idle_timeout (Soak *soak)
{
  static const guint timeouts_ms[] = { 1500, 2000, 2000, 3000 };
  gint32 choice
      = g_rand_int_range (soak->change_random, 0, G_N_ELEMENTS (timeouts_ms));
  atomic_store (&soak->idle_timeout_ms, timeouts_ms[choice]);
  put_config (soak, soak->config_version + 1);
  atomic_store (&soak->limit_changed_us, g_get_monotonic_time ());
  printf ("change: idle timeout %u ms, config %u\n", timeouts_ms[choice],
          soak->config_version);
}

static void
put_server (Soak *soak, guint index, const char *state)
{
  soak->states[index] = state;
  if (replica_is_up (soak->replicas[index]))
    objects_set_server (soak->objects, index, proxy_port (soak->proxies[index]), 16,
                        state, 1 + replica_crash_count (soak->replicas[index]));
}

/* Removes the entries of servers that crashed, and writes those of servers that have
   started again. */
static void
update_directory (Soak *soak)
{
  for (guint i = 0; i < soak->servers; i++)
    {
      guint crash_count = replica_crash_count (soak->replicas[i]);
      char name[16];
      g_snprintf (name, sizeof name, "i-%u", i);
      if (!replica_is_up (soak->replicas[i]))
        objects_set (soak->objects, "servers", name, NULL);
      else if (crash_count != soak->crash_counts[i])
        {
          soak->crash_counts[i] = crash_count;
          put_server (soak, i, soak->states[i]);
        }
    }
}

static void
write_settings (Soak *soak)
{
  guint peers[SOAK_INSTANCES_MAX];
  for (guint i = 0; i < soak->instances; i++)
    {
      soak->ports[i] = standin_free_port ();
      peers[i] = standin_free_port ();
    }
  for (guint i = 0; i < soak->instances; i++)
    {
      char *path = g_strdup_printf ("%s/i%u.json", soak->directory, i);
      char *text = g_strdup_printf (
          "{\"name\":\"i%u\",\"data_centre\":\"%c\",\"interface\":\"platform\","
          "\"policy\":\"direct\",\"caller_address\":\"127.0.0.1:%u\","
          "\"admin_address\":\"127.0.0.1:%u\",\"peer_address\":\"127.0.0.1:%u\","
          "\"platform_address\":\"127.0.0.1:%u\",\"load_in_answers\":true,"
          "\"revocation_ms\":%u,\"retry_ratio\":0.2,\"retry_extra\":54,"
          "\"stop_grace_s\":4,\"connect_timeout_ms\":150,"
          "\"seeds\":[\"127.0.0.1:%u\"]}",
          i, "zyx"[i % 3], soak -> ports[i], standin_free_port (), peers[i],
          proxy_port (soak->store_proxy), SOAK_REVOCATION_MS, peers[0]);
      if (!g_file_set_contents (path, text, -1, NULL))
        g_error ("cannot write %s", path);
      g_free (text);
      g_free (path);
    }
}

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
    put_config (soak, soak->config_version + 1);
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
  guint kind = random_below (soak, 4);
  if (kind == 0)
    {
      inject_notice (soak, index);
      return;
    }
  if (kind == 1)
    {
      const char *state = states[random_below (soak, G_N_ELEMENTS (states))];
      printf ("fault: server %u is %s\n", index, state);
      put_server (soak, index, state);
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
  gint64 lost = g_rand_int_range (soak->change_random, 1, LOST_CHANGES_MAX + 1);
  printf ("fault: store restored from revision %d of %d\n",
          (int) MAX (1, revision - lost), (int) revision);
  objects_restore (soak->objects, MAX (1, revision - lost));
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
  put_config (soak, soak->config_version);
  for (guint i = 0; i < soak->servers; i++)
    put_server (soak, i, soak->states[i]);
}

static void
inject_changes (Soak *soak)
{
  gint64 now_us = g_get_monotonic_time ();
  guint choice = (guint) g_rand_int_range (soak->change_random, 0, 20);
  if (choice < 4)
    change_key (soak);
  else if (choice > 16)
    change_idle_timeout (soak);
  else if (choice == 4 && soak->restore_at_us == 0 && soak->rewrite_at_us == 0)
    {
      objects_set_behaviour (soak->objects, OBJECTS_UNAVAILABLE);
      soak->restore_at_us = random_time (soak, RESTORE_OUTAGE_MAX_US);
    }
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
  proxy_set_mode (soak->store_proxy, PROXY_PASS);
  for (guint i = 0; i < soak->servers; i++)
    {
      proxy_set_mode (soak->proxies[i], PROXY_PASS);
      replica_set_fields (soak->replicas[i], "");
      replica_set_refusing (soak->replicas[i], FALSE);
      put_server (soak, i, "ready");
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
      update_directory (soak);
      inject_changes (soak);
      fflush (stdout);
      g_usleep ((gulong) g_rand_int_range (soak->fault_random, 100000, 700000));
    }
  soak_processes_set_pausing (soak->processes, FALSE);
  if (soak->restore_at_us > 0)
    restore_store (soak);
  heal_all (soak);
  put_config (soak, soak->config_version);
}

/* Changes of the servers at revisions that the store has given out before take
   effect at every instance. */
static void
check_restored_directory (Soak *soak)
{
  restore_store (soak);
  rewrite_store (soak);
  put_server (soak, 0, "draining");
  g_usleep (FOLLOW_US);
  guint completed = atomic_load (&soak->completed);
  guint runs = replica_request_count (soak->replicas[0]);
  g_usleep (G_USEC_PER_SEC);
  if (replica_request_count (soak->replicas[0]) != runs)
    soak_report_violation (soak, "draining server gets requests", "", "");
  if (atomic_load (&soak->completed) == completed)
    soak_report_violation (soak, "no request completes while a server drains", "",
                           "");
}

static guint
count_received_in (Soak *soak, guint index, gulong duration_us)
{
  guint before = replica_received_count (soak->replicas[index]);
  g_usleep (duration_us);
  return replica_received_count (soak->replicas[index]) - before;
}

/* What servers say of themselves is followed by all instances. */
static void
check_notices (Soak *soak)
{
  put_server (soak, 0, "ready");
  replica_set_fields (soak->replicas[0], "Server-Limit: " NAMED_LIMIT "\r\n");
  replica_set_fields (soak->replicas[1], "Server-Leaving: 1\r\n");
  replica_set_fields (soak->replicas[2], "Retry-After: " PAUSE_S "\r\n");
  replica_set_refusing (soak->replicas[2], TRUE);
  g_usleep (PAUSE_SETTLE_US);
  if (count_received_in (soak, 2, PAUSE_WINDOW_US)
      > PAUSE_REQUESTS_MAX * soak->instances)
    soak_report_violation (soak, "server gets requests in its pause", "", "");
  replica_set_refusing (soak->replicas[2], FALSE);
  replica_set_fields (soak->replicas[2], "");
  if (count_received_in (soak, 1, PAUSE_SETTLE_US) > 0)
    soak_report_violation (soak, "server that leaves gets requests", "", "");
  if (count_received_in (soak, 0, LIMIT_WINDOW_US) > LIMITED_REQUESTS_MAX)
    soak_report_violation (soak, "server gets more than its limit", "", "");
  replica_set_fields (soak->replicas[0], "");
  g_usleep (LIMIT_SETTLE_US);
  if (count_received_in (soak, 0, LIMIT_WINDOW_US) <= LIMITED_REQUESTS_MAX)
    soak_report_violation (soak, "server gets too few requests after its limit", "",
                           "");
}

static gboolean
is_replica_up (void *data)
{
  return replica_is_up (data);
}

static void
soak_set_up (Soak *soak)
{
  pthread_mutex_init (&soak->key_lock, NULL);
  soak->began_us = g_get_monotonic_time ();
  atomic_store (&soak->idle_timeout_ms, IDLE_TIMEOUT_MS);
  for (guint i = 0; i < SOAK_CHANGING_KEYS; i++)
    soak->keys[i].held = TRUE;

  soak->objects = objects_create ("127.0.0.1:0", 2);
  soak->store_proxy = proxy_create (objects_port (soak->objects));
  for (guint i = 0; i < soak->servers; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      soak->replicas[i] = replica_create ("127.0.0.1:0", id);
      soak->proxies[i] = proxy_create_following (replica_port (soak->replicas[i]),
                                                 is_replica_up, soak->replicas[i]);
      put_server (soak, i, "ready");
    }
  put_config (soak, 1);
  write_settings (soak);
}

static void
soak_tear_down (Soak *soak)
{
  for (guint i = 0; i < soak->servers; i++)
    {
      proxy_destroy (soak->proxies[i]);
      replica_destroy (soak->replicas[i]);
    }
  proxy_destroy (soak->store_proxy);
  objects_destroy (soak->objects);
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "Usage: platform_soak FOLDER INSTANCES SEED SECONDS\n");
      return 2;
    }
  Soak soak = { .directory = argv[1], .servers = SERVERS };
  guint32 seed = (guint32) strtoul (argv[3], NULL, 10);
  soak.instances = MIN ((guint) strtoul (argv[2], NULL, 10), SOAK_INSTANCES_MAX);
  soak.fault_random = g_rand_new_with_seed (seed);
  soak.change_random = g_rand_new_with_seed (seed + 1);
  signal (SIGPIPE, SIG_IGN);
  soak_set_up (&soak);
  soak.processes = soak_processes_create (soak.directory, soak.instances, seed + 2);
  printf ("ready\n");
  fflush (stdout);
  SoakCallers *callers = soak_callers_create (&soak, seed);
  SoakIdleCallers *idle_callers = soak_idle_callers_create (&soak, seed);
  soak_processes_set_pausing (soak.processes, TRUE);
  inject_faults (&soak, (guint) strtoul (argv[4], NULL, 10));
  g_usleep (4 * G_USEC_PER_SEC);
  guint completed_before = atomic_load (&soak.completed);
  g_usleep (2 * G_USEC_PER_SEC);
  if (atomic_load (&soak.completed) == completed_before)
    soak_report_violation (&soak, "no request completes after all faults have ended",
                           "", "");
  check_restored_directory (&soak);
  check_notices (&soak);
  atomic_store (&soak.stopping, TRUE);
  soak_callers_destroy (callers);
  soak_idle_callers_destroy (idle_callers);
  if (soak_processes_ended_count (soak.processes) > 0)
    soak_report_violation (&soak, "instance has ended by itself", "", "");
  soak_processes_destroy (soak.processes);
  guint crashes = 0;
  for (guint i = 0; i < soak.servers; i++)
    crashes += replica_crash_count (soak.replicas[i]);
  printf (
      "seed %u: %u sent, %u whole, %u refused, %u refused as harmful, %u failed, "
      "%u with removed keys, %u restores, %u crashes, %u breaches\n",
      seed, atomic_load (&soak.sent), atomic_load (&soak.completed),
      atomic_load (&soak.refused), atomic_load (&soak.harmful),
      atomic_load (&soak.failed), atomic_load (&soak.removed_key_requests),
      soak.restores, crashes, atomic_load (&soak.violations));
  soak_tear_down (&soak);
  g_rand_free (soak.fault_random);
  g_rand_free (soak.change_random);
  return atomic_load (&soak.violations) == 0 ? 0 : 1;
}
