/*
 * replica_internal - state of a simulated backend server
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_REPLICA_INTERNAL_H
#define HORNBEAMWALL_TESTS_STANDIN_REPLICA_INTERNAL_H

#include "replica.h"

#include <pthread.h>
#include <stdatomic.h>

/* What a crash does to the connections. */
typedef enum
{
  REPLICA_CRASH_RESET,
  REPLICA_CRASH_CLOSE,
  REPLICA_CRASH_SILENT, /* leaves them open until the replica is back */
} ReplicaCrash;

struct Replica
{
  char *first_id;
  char *id;
  int fd;
  guint port;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t connection_ended;
  GHashTable *run_counts; /* target -> count */
  char *last_request_head;
  char *fields;                /* of all responses */
  ReplicaResponder *responder; /* of the behaviour "canned", under lock; or NULL */
  guint open_connections;
  atomic_uint connection_count;
  atomic_uint active_requests;
  atomic_uint crash_count;
  atomic_uint closing_crash_count;
  atomic_uint request_count;  /* executed */
  atomic_uint received_count; /* executed or not */
  atomic_uint reset_count;
  _Atomic gint64 outage_us;
  _Atomic gint64 work_us;
  atomic_bool renames;            /* after each crash */
  _Atomic gint64 silent_until_us; /* monotonic time */
  atomic_bool is_refusing;
  atomic_uint handled_crash_count; /* by the listener, which was closed then */
  atomic_int repetition;           /* a ReplicaRepetition */
  atomic_uint repetition_count;
  atomic_bool is_up;
  atomic_int crash_kind; /* a ReplicaCrash, of the last crash */
  atomic_bool stopping;
};

/* Fails: ends all connections, and refuses new ones for a while. */
void replica_crash (Replica *replica, ReplicaCrash kind);

/* Returns a reference to the responder of the replica. */
ReplicaResponder *replica_acquire_responder (Replica *replica);
void replica_release_responder (Replica *replica, ReplicaResponder *responder);

/* Waits until the replica is not silent, or is being destroyed. */
void replica_wait_while_silent (const Replica *replica);

/* Serves the connection FD, which the replica accepted after CRASH_COUNT crashes,
   and closes it. */
void replica_serve_connection (Replica *replica, int fd, guint crash_count);

#endif
