/*
 * replica_internal - state of a simulated backend server
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_REPLICA_INTERNAL_H
#define HORNBEAMWALL_TESTS_STANDIN_REPLICA_INTERNAL_H

#include "replica.h"

#include <pthread.h>
#include <stdatomic.h>

struct Replica
{
  char *id;
  int fd;
  guint port;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t connection_ended;
  GHashTable *run_counts; /* target -> count */
  char *last_request_head;
  char *fields; /* of all responses */
  guint open_connections;
  atomic_uint connection_count;
  atomic_uint active_requests;
  atomic_uint crash_count;
  atomic_uint request_count;  /* executed */
  atomic_uint received_count; /* executed or not */
  atomic_uint reset_count;
  atomic_bool is_refusing;
  atomic_bool is_up;
  atomic_bool is_silent; /* the last crash leaves the connections open */
  atomic_bool stopping;
};

/* Serves the connection FD, which the replica accepted after CRASH_COUNT crashes,
   and closes it. */
void replica_serve_connection (Replica *replica, int fd, guint crash_count);

#endif
