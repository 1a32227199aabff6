#include "soak_site.h"

#include "soak_duty.h"
#include "soak_path.h"

#include "standin/listen.h"

#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time after which idle connections are closed at first. */
#define IDLE_TIMEOUT_MS 2000

/* Timeout of the route /once/, unless a play sets another one. */
#define TIMEOUT_MS 2000

/* Grace period of instances that are stopped, unless a play sets another one. */
#define GRACE_S 4

/* Ports of instances and servers, below those that the system gives to outgoing
 * connections. */
#define PORT_MIN 12000
#define PORT_MAX 32000
#define PORTS_OF_A_RUN 64

/* Returns the next port that is free.  Outgoing connections don't get these ports
   while the process that listens on them is away. */
static guint
next_port (Soak *soak)
{
  for (;;)
    {
      if (++soak->last_port >= PORT_MAX)
        soak->last_port = PORT_MIN;
      const struct sockaddr_in address = standin_loopback (soak->last_port);
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      int result = bind (fd, (const struct sockaddr *) &address, sizeof address);
      close (fd);
      if (result == 0)
        return soak->last_port;
    }
}

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

void
soak_put_config (Soak *soak, guint version)
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
      "\"route_type\":\"streaming\",\"resumable\":false,\"timeout_ms\":%u,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":2,"
      "\"backend\":\"b\",\"max_attempts\":2}],"
      "\"backends\":[{\"name\":\"b\",\"scaling\":{\"min_replicas\":1,"
      "\"max_replicas\":4,\"startup_s\":2,\"spot_price\":0.4,"
      "\"zone_prices\":{\"z\":1,\"y\":1.2,\"x\":1.1}}}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":%u},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"%s]}]}",
      version, soak->once_timeout_ms, soak->config_idle_timeout_ms, keys);
  objects_set (soak->objects, "config", "main", text);
  g_free (text);
  g_free (keys);
}

void
soak_change_key (Soak *soak)
{
  guint index
      = (guint) g_rand_int_range (soak->change_random, 0, SOAK_CHANGING_KEYS);
  ChangingKey *key = &soak->keys[index];
  pthread_mutex_lock (&soak->key_lock);
  key->held = !key->held;
  key->removed_us = G_MAXINT64;
  pthread_mutex_unlock (&soak->key_lock);
  soak_put_config (soak, soak->config_version + 1);
  pthread_mutex_lock (&soak->key_lock);
  key->removed_us = g_get_monotonic_time ();
  pthread_mutex_unlock (&soak->key_lock);
  printf ("change: key r%u is %s, config %u\n", index,
          key->held ? "held" : "removed", soak->config_version);
}

void
soak_set_idle_timeout (Soak *soak, guint timeout_ms)
{
  guint before_ms = atomic_load (&soak->idle_timeout_ms);
  soak->config_idle_timeout_ms = timeout_ms;
  atomic_store (&soak->idle_timeout_ms, MIN (before_ms, timeout_ms));
  soak_put_config (soak, soak->config_version + 1);
  atomic_store (&soak->idle_timeout_ms, timeout_ms);
  atomic_store (&soak->limit_changed_us, g_get_monotonic_time ());
  printf ("change: idle timeout %u ms, config %u\n", timeout_ms,
          soak->config_version);
}

void
soak_put_server (Soak *soak, guint index, const char *state)
{
  Replica *replica = soak->replicas[index];
  soak->states[index] = state;
  if (!replica_is_up (replica))
    return;
  g_free (soak->entries[index]);
  soak->entries[index] = replica_copy_id (replica);
  objects_set_server_named (
      soak->objects, soak->entries[index], soak->has_zones ? "zyx"[index % 3] : 'z',
      proxy_port (soak->proxies[index]), 16, state,
      1 + replica_crash_count (replica), 1 + index % soak->versions);
}

void
soak_remove_server (Soak *soak, guint index)
{
  if (soak->entries[index] == NULL)
    return;
  objects_set (soak->objects, "servers", soak->entries[index], NULL);
  g_clear_pointer (&soak->entries[index], g_free);
}

static void
remove_earlier_starts (Soak *soak, guint index)
{
  guint crash_count = replica_crash_count (soak->replicas[index]);
  for (guint start = 0; start <= crash_count; start++)
    {
      char *name = start == 0 ? g_strdup_printf ("i-%u", index)
                              : g_strdup_printf ("i-%u-%u", index, start);
      char *entry = objects_get (soak->objects, "servers", name);
      if (entry != NULL && g_strcmp0 (name, soak->entries[index]) != 0)
        objects_set (soak->objects, "servers", name, NULL);
      g_free (entry);
      g_free (name);
    }
}

void
soak_put_servers (Soak *soak)
{
  for (guint i = 0; i < soak->servers; i++)
    {
      soak_put_server (soak, i, soak->states[i]);
      remove_earlier_starts (soak, i);
    }
}

void
soak_update_directory (Soak *soak)
{
  for (guint i = 0; i < soak->servers; i++)
    {
      guint crash_count = replica_crash_count (soak->replicas[i]);
      gboolean is_up = replica_is_up (soak->replicas[i]);
      if (!is_up || crash_count != soak->crash_counts[i])
        soak_remove_server (soak, i);
      if (!is_up || crash_count == soak->crash_counts[i])
        continue;
      soak->crash_counts[i] = crash_count;
      soak_put_server (soak, i, soak->states[i]);
    }
}

static void
write_settings (Soak *soak)
{
  guint peers[SOAK_INSTANCES_MAX] = { 0 };
  for (guint i = 0; i < soak->instances; i++)
    {
      soak->ports[i] = next_port (soak);
      peers[i] = next_port (soak);
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
          "\"stop_grace_s\":%u,\"connect_timeout_ms\":150,"
          "\"tunnel_address\":\"127.0.0.1:%u\",\"source_address\":\"127.0.0.%u\","
          "\"duty_address\":\"127.0.0.1:%u\","
          "\"duties\":[\"metering\",\"autoscale\"],\"duty_lease_ms\":%u,"
          "\"usage_window_s\":%u,\"usage_late_s\":%u,"
          "\"seeds\":[\"127.0.0.1:%u\"]}",
          i, "zyx"[i % 3], soak -> ports[i], next_port (soak), peers[i],
          proxy_port (soak->store_proxy), SOAK_REVOCATION_MS, soak -> grace_s,
          next_port (soak), SOAK_SOURCE_MIN + i, soak_duty_port (soak->duty),
          SOAK_LEASE_MS, SOAK_USAGE_WINDOW_S, SOAK_USAGE_LATE_S, peers[0]);
      if (!g_file_set_contents (path, text, -1, NULL))
        g_error ("cannot write %s", path);
      g_free (text);
      g_free (path);
    }
}

static gboolean
is_replica_up (void *data)
{
  return replica_is_up (data);
}

void
soak_set_up (Soak *soak, guint32 seed)
{
  pthread_mutex_init (&soak->key_lock, NULL);
  soak->began_us = g_get_monotonic_time ();
  soak->last_port
      = PORT_MIN + (guint) getpid () * PORTS_OF_A_RUN % (PORT_MAX - PORT_MIN);
  soak->versions = MAX (1, soak->versions);
  if (soak->once_timeout_ms == 0)
    soak->once_timeout_ms = TIMEOUT_MS;
  if (soak->grace_s == 0)
    soak->grace_s = GRACE_S;
  soak->config_idle_timeout_ms = IDLE_TIMEOUT_MS;
  atomic_store (&soak->idle_timeout_ms, IDLE_TIMEOUT_MS);
  for (guint i = 0; i < SOAK_CHANGING_KEYS; i++)
    soak->keys[i].held = TRUE;

  soak->objects = objects_create ("127.0.0.1:0", 2);
  soak->store_proxy = proxy_create (objects_port (soak->objects));
  for (guint i = 0; i < soak->servers; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      char *address = g_strdup_printf ("127.0.0.1:%u", next_port (soak));
      soak->replicas[i] = replica_create (address, id);
      g_free (address);
      if (soak->outage_us > 0)
        replica_set_outage (soak->replicas[i], soak->outage_us,
                            soak->renames_servers);
      soak->proxies[i] = proxy_create_following (next_port (soak),
                                                 replica_port (soak->replicas[i]),
                                                 is_replica_up, soak->replicas[i]);
      soak_put_server (soak, i, "ready");
    }
  soak->duty = soak_duty_create (soak, seed);
  soak_put_config (soak, 1);
  write_settings (soak);
}

void
soak_tear_down (Soak *soak)
{
  soak_duty_destroy (soak->duty);
  for (guint i = 0; i < soak->servers; i++)
    {
      proxy_destroy (soak->proxies[i]);
      replica_destroy (soak->replicas[i]);
      g_free (soak->entries[i]);
    }
  proxy_destroy (soak->store_proxy);
  objects_destroy (soak->objects);
}
