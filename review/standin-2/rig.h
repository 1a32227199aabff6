/*
 * rig - a small deployment on loopback for the cases of the second review
 *
 * Runs the platform's store and the backend servers (the project's own stand-ins) in
 * the process of the case, and instances of the release build as separate processes.
 * Writes what was sent, answered and run to the record.txt of the case.
 */
#ifndef HORNBEAMWALL_REVIEW_RIG_H
#define HORNBEAMWALL_REVIEW_RIG_H

#include "objects.h"
#include "replica.h"

#include <sys/types.h>

/* Exit statuses of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

#define RIG_REPLICAS_MAX 48
#define RIG_INSTANCES_MAX 8

typedef struct
{
  pid_t pid; /* 0 if it does not run */
  char zone; /* 'a' at first */
  guint caller_port;
  guint ready_port;
  guint tunnel_port;
  guint peer_port;
  guint admin_port;
} RigInstance;

typedef struct
{
  Objects *store;
  Replica *replicas[RIG_REPLICAS_MAX];
  guint replica_count;
  RigInstance instances[RIG_INSTANCES_MAX];
  guint instance_count;
  guint store_port;       /* to which the instances connect */
  guint timeout_ms;       /* of the routes */
  guint descriptors_max;  /* of an instance; 0 is the limit of the case */
  guint connection_limit; /* setting of the template: 3000 */
  gboolean with_trouble;  /* FALSE if TROUBLE=0 */
} Rig;

/* Opens PATH, the record.txt of the case.  Creates the store, REPLICA_COUNT servers
   of the backend "b" and the ports of INSTANCE_COUNT instances, which are not
   started yet. Ends the process with RIG_NOT_RUN on failure. */
Rig *rig_create (const char *path, guint replica_count, guint instance_count);

/* Ends all processes. */
void rig_destroy (Rig *rig);

/* Appends a line with the time since the start, in seconds. */
void rig_record (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Ends all processes, records the verdict and exits. */
void rig_finish (Rig *rig, int status) G_GNUC_NORETURN;

/* Writes a config with the API keys KEYS: JSON strings, separated by commas.  It has
   the routes /safe/, /unsafe/ and /stream/ (resumable) of the host h.example. */
void rig_put_config (Rig *rig, guint version, const char *keys);

/* Writes the entry of a server; STATE is "ready" or "draining", NULL removes it. */
void rig_put_server (Rig *rig, guint index, const char *state);

void rig_start_instance (Rig *rig, guint index);

/* Waits until the instance answers the platform's readiness probe with 200. */
gboolean rig_wait_until_ready (Rig *rig, guint index, guint timeout_ms);

/* Returns whether the process of the instance runs. */
gboolean rig_is_alive (Rig *rig, guint index);

gint64 rig_now_ms (void);

/* --- callers ---------------------------------------------------------------- */

typedef struct
{
  int fd;
  GString *input; /* received, and not part of a response yet */
} RigCaller;

typedef struct
{
  guint status;         /* 0: no response */
  char *text;           /* head and body, as received; free with g_free() */
  gboolean is_answer;   /* it begins with a status line of HTTP/1.1 */
  gboolean is_complete; /* head and body, as its head announces them */
  gboolean is_closed;   /* the connection ended before that */
} RigResponse;

/* Returns NULL if the connection is refused. */
RigCaller *rig_caller_connect (guint port);
void rig_caller_close (RigCaller *caller);
gboolean rig_caller_send (RigCaller *caller, const char *bytes, gsize length);

/* Receives one response to METHOD, for TIMEOUT_MS at most. */
RigResponse rig_caller_receive (RigCaller *caller, const char *method,
                                guint timeout_ms);

/* Returns a request with the field for KEY, unless that is NULL; free with
   g_free(). */
char *rig_format_request (const char *method, const char *path, const char *key,
                          const char *attempt_id, guint deadline_ms,
                          const char *body);

#endif
