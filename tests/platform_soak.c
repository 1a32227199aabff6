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
 * with a key that was removed longer ago than the bound is executed.  The store is
 * restored from older copies, and its writers write again what it has lost.
 */
#include "standin/listen.h"
#include "standin/objects.h"
#include "standin/proxy.h"
#include "standin/replica.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define INSTANCES_MAX 16
#define SERVERS 4
#define CALLERS 16

/* Requests that crash servers, each sent by one caller. */
#define CRASHING 3

/* Keys that configs take away and give back. */
#define CHANGING_KEYS 4

/* Bound for refusing a removed key. */
#define REVOCATION_MS 5000

/* One caller in this many requests uses one of these keys. */
#define CHANGING_KEY_SHARE 3

/* Most changes that the store loses when it is restored. */
#define LOST_CHANGES_MAX 12

/* Longest times for which the store is away before it is restored, and until its
   writers write again what it has lost. */
#define RESTORE_OUTAGE_MAX_US 1500000
#define REWRITE_DELAY_MAX_US 1800000

/* Time after which changes of the servers are followed everywhere. */
#define FOLLOW_US 6000000

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
  gboolean held;
  gint64 removed_us; /* when the config without it was acknowledged */
} ChangingKey;

typedef struct
{
  const char *directory; /* of settings and process ids */
  guint instances;
  guint ports[INSTANCES_MAX];
  Objects *objects;
  Proxy *store_proxy;
  Replica *replicas[SERVERS];
  Proxy *proxies[SERVERS];
  guint crash_counts[SERVERS]; /* that the directory has noticed */
  const char *states[SERVERS];
  GRand *fault_random;  /* used for faults only */
  GRand *change_random; /* used for changes of keys and for restores only */
  guint config_version;
  pthread_mutex_t key_lock;
  ChangingKey keys[CHANGING_KEYS]; /* under key_lock */
  gint64 restore_at_us;            /* 0 if no restore is due */
  gint64 rewrite_at_us;            /* 0 if nothing has to be written again */
  atomic_bool stopping;
  atomic_uint sent;
  atomic_uint completed;
  atomic_uint refused;
  atomic_uint failed;
  atomic_uint harmful; /* requests refused as harmful, apart from those that are */
  atomic_uint
      removed_key_requests; /* with a key that was removed before the bound */
  guint restores;
  atomic_uint violations;
} Soak;

typedef struct
{
  Soak *soak;
  pthread_t thread;
  guint number;
  GRand *random;
  int fd; /* -1 if not connected */
} Caller;

static void
report_violation (Soak *soak, const char *description, const char *path,
                  const char *text)
{
  atomic_fetch_add (&soak->violations, 1);
  printf ("breach: %s: %s: %.400s\n", description, path, text);
  fflush (stdout);
}

static guint
count_runs (Soak *soak, const char *path)
{
  return replica_total_run_count (soak->replicas, SERVERS, path);
}

/* --- callers ------------------------------------------------------------- */

static gboolean
open_connection (Caller *caller)
{
  const struct timeval receive_timeout = { RECEIVE_TIMEOUT_S, 0 };
  Soak *soak = caller->soak;
  guint index
      = (guint) g_rand_int_range (caller->random, 0, (gint32) soak->instances);
  const struct sockaddr_in address = standin_loopback (soak->ports[index]);
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (caller->fd, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
              sizeof receive_timeout);
  if (connect (caller->fd, (struct sockaddr *) &address, sizeof address) == 0)
    return TRUE;
  close (caller->fd);
  caller->fd = -1;
  return FALSE;
}

static void
close_connection (Caller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

/* Returns the length of the response at the start of TEXT, 0 if it is incomplete. */
static gsize
complete_length (const GString *text)
{
  const char *head_end = strstr (text->str, "\r\n\r\n");
  if (head_end == NULL)
    return 0;
  gsize head = (gsize) (head_end - text->str) + 4;
  const char *length = strstr (text->str, "Content-Length: ");
  if (length != NULL && length < head_end)
    {
      gsize body = strtoul (length + strlen ("Content-Length: "), NULL, 10);
      return text->len >= head + body ? head + body : 0;
    }
  const char *final_chunk = strstr (head_end + 2, "\r\n0\r\n\r\n");
  return final_chunk != NULL ? (gsize) (final_chunk - text->str) + 7 : 0;
}

/* Returns the next response, or NULL if the connection ended before its end. */
static GString *
receive_response (Caller *caller)
{
  char bytes[4096];
  GString *text = g_string_new (NULL);
  while (complete_length (text) == 0)
    {
      ssize_t count = recv (caller->fd, bytes, sizeof bytes, 0);
      if (count <= 0)
        {
          close_connection (caller);
          g_string_free (text, TRUE);
          return NULL;
        }
      g_string_append_len (text, bytes, count);
    }
  if (strstr (text->str, "Connection: close") != NULL)
    close_connection (caller);
  return text;
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
          report_violation (soak, "events missing, repeated or out of order", path,
                            text->str);
          return;
        }
    }
}

static void
check_answer (Soak *soak, const char *path, const char *trace, const GString *text)
{
  guint status = 0;
  sscanf (text->str, "HTTP/1.1 %u", &status);
  if (status == 200 && strstr (text->str, trace) == NULL)
    report_violation (soak, "response to another request", path, text->str);
  else if (status == 200 && strstr (text->str, "text/event-stream") != NULL)
    check_events (soak, path, trace, text);
  else if (status == 200 && strstr (path, "/early") == NULL
           && strstr (text->str, path) == NULL)
    report_violation (soak, "response to another path", path, text->str);
  if (status == 200)
    atomic_fetch_add (&soak->completed, 1);
  else if (status == 429 || status == 503)
    atomic_fetch_add (&soak->refused, 1);
  else if (status == 422)
    atomic_fetch_add (&soak->harmful, 1);
  else
    atomic_fetch_add (&soak->failed, 1);
  gboolean claims_not_executed = status == 429 || status == 503 || status == 408;
  if (claims_not_executed && g_str_has_prefix (path, "/unsafe/")
      && count_runs (soak, path) > 0)
    report_violation (soak, "executed, but reported as not executed", path,
                      text->str);
}

static void
make_path (Caller *caller, guint number, char *path)
{
  static const char *const plain_behaviours[]
      = { "ok",     "ok",    "ok",   "ok",    "reset1", "close1",
          "short1", "extra", "shed", "fail1", "early" };
  static const char *const stream_behaviours[] = { "events", "events", "cut1" };
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
  char *request = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamwall-Key: %s\r\n"
      "X-Hornbeamwall-Attempt-Id: %s\r\nX-Hornbeamwall-Deadline-Ms: 2500\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      path, key, trace, strlen (body), body);
  gsize length = strlen (request);
  gboolean written
      = send (caller->fd, request, length, MSG_NOSIGNAL) == (ssize_t) length;
  g_free (request);
  if (written)
    return receive_response (caller);
  close_connection (caller);
  return NULL;
}

/* Returns the index of the changing key that the next request uses, or CHANGING_KEYS
   if it uses another one. */
static guint
select_key (Caller *caller)
{
  if (g_rand_int_range (caller->random, 0, CHANGING_KEY_SHARE) != 0)
    return CHANGING_KEYS;
  return (guint) g_rand_int_range (caller->random, 0, CHANGING_KEYS);
}

/* Returns whether the key was removed before SENT_US minus the bound, and is not
   held again. */
static gboolean
is_removed (Soak *soak, guint index, gint64 sent_us)
{
  if (index == CHANGING_KEYS)
    return FALSE;
  pthread_mutex_lock (&soak->key_lock);
  const ChangingKey key = soak->keys[index];
  pthread_mutex_unlock (&soak->key_lock);
  return !key.held && key.removed_us < sent_us - REVOCATION_MS * 1000;
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
  if (key_index < CHANGING_KEYS)
    g_snprintf (key, sizeof key, "r%u", key_index);
  gint64 sent_us = g_get_monotonic_time ();
  GString *response = send_request (caller, path, trace, key, trace);
  if (is_removed (soak, key_index, sent_us))
    {
      atomic_fetch_add (&soak->removed_key_requests, 1);
      if (count_runs (soak, path) > 0)
        report_violation (soak, "runs with a removed key", path, key);
    }
  if (response != NULL)
    {
      check_answer (soak, path, trace, response);
      g_string_free (response, TRUE);
    }
  else
    atomic_fetch_add (&soak->failed, 1);
  gboolean non_idempotent
      = g_str_has_prefix (path, "/unsafe/") || g_str_has_prefix (path, "/once/");
  if (non_idempotent && count_runs (soak, path) > 1)
    report_violation (soak, "executed more than once", path, trace);
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

/* Sends one request that crashes servers again and again, through any instance. */
static void *
run_crashing_caller (void *data)
{
  static const char *const kinds[CRASHING] = { "safe", "unsafe", "safe" };
  Caller *caller = data;
  Soak *soak = caller->soak;
  char path[PATH_MAX_BYTES];
  guint runs = 0;
  g_snprintf (path, sizeof path, "/%s/x%u/crash", kinds[caller->number],
              caller->number);
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
      if (runs <= CRASHES_MAX && count_runs (soak, path) > CRASHES_MAX)
        report_violation (soak, "crashes a third server", path, trace);
      runs = count_runs (soak, path);
    }
  return NULL;
}

/* --- store contents and settings ----------------------------------------- */

/* Returns the changing keys that are held, as JSON strings, each after a comma. */
static char *
format_changing_keys (Soak *soak)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < CHANGING_KEYS; i++)
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
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"%s]}]}",
      version, keys);
  objects_set (soak->objects, "config", "main", text);
  g_free (text);
  g_free (keys);
}

/* Takes a key away, or gives it back.  The key counts as removed from the
   acknowledgement of the config on. */
static void
change_key (Soak *soak)
{
  guint index = (guint) g_rand_int_range (soak->change_random, 0, CHANGING_KEYS);
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
  for (guint i = 0; i < SERVERS; i++)
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
  guint peers[INSTANCES_MAX];
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
          proxy_port (soak->store_proxy), REVOCATION_MS, peers[0]);
      if (!g_file_set_contents (path, text, -1, NULL))
        g_error ("cannot write %s", path);
      g_free (text);
      g_free (path);
    }
}

/* --- fault injection ----------------------------------------------------- */

static pid_t
read_pid (const Soak *soak, guint index)
{
  char *text = NULL;
  char *path = g_strdup_printf ("%s/i%u.pid", soak->directory, index);
  pid_t pid = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    pid = (pid_t) strtol (text, NULL, 10);
  g_free (text);
  g_free (path);
  return pid;
}

static void
signal_instance (const Soak *soak, guint index, int number)
{
  pid_t pid = read_pid (soak, index);
  if (pid > 1)
    kill (pid, number);
}

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
  signal_instance (soak, index, number);
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
inject_server_fault (Soak *soak)
{
  static const char *const states[] = { "ready", "ready", "draining" };
  guint index = random_below (soak, SERVERS);
  if (random_below (soak, 3) == 0)
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
  for (guint i = 0; i < SERVERS; i++)
    put_server (soak, i, soak->states[i]);
}

static void
inject_changes (Soak *soak)
{
  gint64 now_us = g_get_monotonic_time ();
  guint choice = (guint) g_rand_int_range (soak->change_random, 0, 20);
  if (choice < 4)
    change_key (soak);
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
  for (guint i = 0; i < SERVERS; i++)
    {
      proxy_set_mode (soak->proxies[i], PROXY_PASS);
      put_server (soak, i, "ready");
    }
  for (guint i = 0; i < soak->instances; i++)
    signal_instance (soak, i, SIGCONT);
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
    report_violation (soak, "draining server gets requests", "", "");
  if (atomic_load (&soak->completed) == completed)
    report_violation (soak, "no request completes while a server drains", "", "");
}

static void
soak_set_up (Soak *soak)
{
  pthread_mutex_init (&soak->key_lock, NULL);
  for (guint i = 0; i < CHANGING_KEYS; i++)
    soak->keys[i].held = TRUE;

  soak->objects = objects_create ("127.0.0.1:0", 2);
  soak->store_proxy = proxy_create (objects_port (soak->objects));
  for (guint i = 0; i < SERVERS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      soak->replicas[i] = replica_create ("127.0.0.1:0", id);
      soak->proxies[i] = proxy_create (replica_port (soak->replicas[i]));
      put_server (soak, i, "ready");
    }
  put_config (soak, 1);
  write_settings (soak);
}

static void
soak_tear_down (Soak *soak)
{
  for (guint i = 0; i < SERVERS; i++)
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
  Soak soak = { .directory = argv[1] };
  Caller callers[CALLERS];
  Caller crashing[CRASHING];
  guint32 seed = (guint32) strtoul (argv[3], NULL, 10);
  soak.instances = MIN ((guint) strtoul (argv[2], NULL, 10), INSTANCES_MAX);
  soak.fault_random = g_rand_new_with_seed (seed);
  soak.change_random = g_rand_new_with_seed (seed + 1);
  signal (SIGPIPE, SIG_IGN);
  soak_set_up (&soak);
  printf ("ready\n");
  fflush (stdout);
  for (guint i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ .soak = &soak, .number = i, .fd = -1 };
      callers[i].random = g_rand_new_with_seed (seed * CALLERS + i);
      pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]);
    }
  for (guint i = 0; i < CRASHING; i++)
    {
      crashing[i] = (Caller){ .soak = &soak, .number = i, .fd = -1 };
      crashing[i].random = g_rand_new_with_seed (seed * CRASHING + i);
      pthread_create (&crashing[i].thread, NULL, run_crashing_caller, &crashing[i]);
    }
  inject_faults (&soak, (guint) strtoul (argv[4], NULL, 10));
  g_usleep (4 * G_USEC_PER_SEC);
  guint completed_before = atomic_load (&soak.completed);
  g_usleep (2 * G_USEC_PER_SEC);
  if (atomic_load (&soak.completed) == completed_before)
    report_violation (&soak, "no request completes after all faults have ended", "",
                      "");
  check_restored_directory (&soak);
  atomic_store (&soak.stopping, TRUE);
  for (guint i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      g_rand_free (callers[i].random);
    }
  for (guint i = 0; i < CRASHING; i++)
    {
      pthread_join (crashing[i].thread, NULL);
      g_rand_free (crashing[i].random);
    }
  guint crashes = 0;
  for (guint i = 0; i < SERVERS; i++)
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
