#include "replica_internal.h"

#include "listen.h"

#include "hornbeamwall/common/address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define SILENCE_POLL_US 5000

static void
rename_replica (Replica *replica)
{
  pthread_mutex_lock (&replica->lock);
  g_free (replica->id);
  replica->id = g_strdup_printf ("%s-%u", replica->first_id,
                                 atomic_load (&replica->crash_count));
  pthread_mutex_unlock (&replica->lock);
}

/* Refuses connections until the outage has passed. */
static void
wait_for_outage_end (Replica *replica)
{
  struct sockaddr_in address = standin_loopback (replica->port);
  atomic_store (&replica->is_up, FALSE);
  close (replica->fd);
  atomic_store (&replica->handled_crash_count, atomic_load (&replica->crash_count));
  g_usleep ((gulong) atomic_load (&replica->outage_us));
  if (atomic_load (&replica->renames))
    rename_replica (replica);
  replica->fd = standin_listen_socket (&address);
  atomic_store (&replica->is_up, TRUE);
}

static void *
run_listener (void *data)
{
  Replica *replica = data;
  guint crash_count = 0;
  while (!atomic_load (&replica->stopping))
    {
      struct pollfd input = { replica->fd, POLLIN, 0 };
      gboolean is_ready = poll (&input, 1, 20) > 0;
      if (crash_count != atomic_load (&replica->crash_count))
        {
          crash_count = atomic_load (&replica->crash_count);
          wait_for_outage_end (replica);
          continue;
        }
      replica_wait_while_silent (replica);
      if (!is_ready)
        continue;
      int fd = accept (replica->fd, NULL, NULL);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      replica_serve_connection (replica, fd, crash_count);
    }
  return NULL;
}

Replica *
replica_create (const char *address, const char *id)
{
  Replica *replica = g_new0 (Replica, 1);
  struct sockaddr_in target;
  socklen_t size = sizeof target;
  if (!hbw_address_to_socket (address, &target))
    g_error ("replica: %s is not an address", address);
  replica->first_id = g_strdup (id);
  replica->id = g_strdup (id);
  atomic_store (&replica->outage_us, REPLICA_OUTAGE_US);
  replica->run_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  pthread_mutex_init (&replica->lock, NULL);
  pthread_cond_init (&replica->connection_ended, NULL);
  atomic_store (&replica->is_up, TRUE);
  replica->fd = standin_listen_socket (&target);
  getsockname (replica->fd, (struct sockaddr *) &target, &size);
  replica->port = ntohs (target.sin_port);
  pthread_create (&replica->thread, NULL, run_listener, replica);
  return replica;
}

static void
clear_responder (gpointer data)
{
  ReplicaResponder *responder = data;
  responder->class->clear (responder);
}

static void
release_responder (ReplicaResponder *responder)
{
  if (responder != NULL)
    g_rc_box_release_full (responder, clear_responder);
}

void
replica_destroy (Replica *replica)
{
  atomic_store (&replica->stopping, TRUE);
  pthread_join (replica->thread, NULL);
  close (replica->fd);
  pthread_mutex_lock (&replica->lock);
  while (replica->open_connections > 0)
    pthread_cond_wait (&replica->connection_ended, &replica->lock);
  pthread_mutex_unlock (&replica->lock);
  pthread_mutex_destroy (&replica->lock);
  pthread_cond_destroy (&replica->connection_ended);
  g_hash_table_destroy (replica->run_counts);
  g_free (replica->last_request_head);
  g_free (replica->fields);
  release_responder (replica->responder);
  g_free (replica->id);
  g_free (replica->first_id);
  g_free (replica);
}

guint
replica_port (const Replica *replica)
{
  return replica->port;
}

guint
replica_run_count (Replica *replica, const char *path)
{
  pthread_mutex_lock (&replica->lock);
  guint run_count
      = GPOINTER_TO_UINT (g_hash_table_lookup (replica->run_counts, path));
  pthread_mutex_unlock (&replica->lock);
  return run_count;
}

guint
replica_total_run_count (Replica *const *replicas, guint count, const char *path)
{
  guint run_count = 0;
  for (guint i = 0; i < count; i++)
    run_count += replica_run_count (replicas[i], path);
  return run_count;
}

void
replica_set_fields (Replica *replica, const char *fields)
{
  pthread_mutex_lock (&replica->lock);
  g_free (replica->fields);
  replica->fields = g_strdup (fields);
  pthread_mutex_unlock (&replica->lock);
}

ReplicaResponder *
replica_acquire_responder (Replica *replica)
{
  pthread_mutex_lock (&replica->lock);
  ReplicaResponder *responder = g_rc_box_acquire (replica->responder);
  pthread_mutex_unlock (&replica->lock);
  return responder;
}

void
replica_release_responder (Replica *replica, ReplicaResponder *responder)
{
  pthread_mutex_lock (&replica->lock);
  release_responder (responder);
  pthread_mutex_unlock (&replica->lock);
}

void
replica_set_responder (Replica *replica, ReplicaResponder *responder)
{
  pthread_mutex_lock (&replica->lock);
  release_responder (replica->responder);
  replica->responder = responder;
  pthread_mutex_unlock (&replica->lock);
}

void
replica_set_outage (Replica *replica, gint64 outage_us, gboolean renames)
{
  atomic_store (&replica->outage_us, outage_us);
  atomic_store (&replica->renames, renames);
}

char *
replica_copy_id (Replica *replica)
{
  pthread_mutex_lock (&replica->lock);
  char *id = g_strdup (replica->id);
  pthread_mutex_unlock (&replica->lock);
  return id;
}

void
replica_set_work (Replica *replica, gint64 duration_us)
{
  atomic_store (&replica->work_us, duration_us);
}

void
replica_fall_silent (Replica *replica, gint64 duration_us)
{
  atomic_store (&replica->silent_until_us, g_get_monotonic_time () + duration_us);
}

void
replica_crash (Replica *replica, ReplicaCrash kind)
{
  atomic_store (&replica->crash_kind, kind);
  atomic_store (&replica->is_up, FALSE);
  if (kind == REPLICA_CRASH_CLOSE)
    atomic_fetch_add (&replica->closing_crash_count, 1);
  atomic_fetch_add (&replica->crash_count, 1);
}

void
replica_wait_while_silent (const Replica *replica)
{
  while (g_get_monotonic_time () < atomic_load (&replica->silent_until_us)
         && !atomic_load (&replica->stopping))
    g_usleep (SILENCE_POLL_US);
}

void
replica_set_refusing (Replica *replica, gboolean refusing)
{
  atomic_store (&replica->is_refusing, refusing);
}

void
replica_set_repetition (Replica *replica, ReplicaRepetition repetition)
{
  atomic_store (&replica->repetition, (int) repetition);
}

guint
replica_repetition_count (Replica *replica)
{
  return atomic_load (&replica->repetition_count);
}

guint
replica_received_count (Replica *replica)
{
  return atomic_load (&replica->received_count);
}

guint
replica_request_count (Replica *replica)
{
  return atomic_load (&replica->request_count);
}

guint
replica_connection_count (Replica *replica)
{
  return atomic_load (&replica->connection_count);
}

guint
replica_reset_count (Replica *replica)
{
  return atomic_load (&replica->reset_count);
}

guint
replica_crash_count (Replica *replica)
{
  return atomic_load (&replica->crash_count);
}

guint
replica_closing_crash_count (Replica *replica)
{
  return atomic_load (&replica->closing_crash_count);
}

gboolean
replica_is_up (Replica *replica)
{
  return atomic_load (&replica->is_up);
}

guint
replica_active_requests (Replica *replica)
{
  return atomic_load (&replica->active_requests);
}

char *
replica_last_request_head (Replica *replica)
{
  pthread_mutex_lock (&replica->lock);
  char *head = g_strdup (replica->last_request_head);
  pthread_mutex_unlock (&replica->lock);
  return head;
}
