/*
 * rig - what the scripts under review/ share
 *
 * Starts the router as a separate process with the command of deploy/system.toml and
 * settings as deploy/settings.json gives them, an object store, and simple backend
 * servers (each a process of its own, so that it can be stopped and killed by a
 * signal). Everything listens on 127.0.0.1 and on free ports.
 *
 * A check returns 1 if the rule was broken, 0 if it held and 2 if the case could not
 * run.  The environment variable TROUBLE=0 leaves the disruption out.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "standin/objects.h"

#define RIG_BROKEN 1
#define RIG_HELD 0
#define RIG_NOT_RUN 2

/* The key of the only tenant, "t", of the configs that the cases write. */
#define RIG_KEY "k1"

/* Opens RECORD, the record.txt of the case, and a temporary folder; ends the case
   with 2 after LIMIT_S seconds.  The logs of the routers are written beside RECORD.
 */
void rig_begin (const char *record, unsigned limit_s);

/* Ends all processes that were started, removes the temporary folder, records RESULT
   and exits with it. */
void rig_finish (int result) __attribute__ ((noreturn));

bool rig_has_trouble (void);
void rig_record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
int64_t rig_now_ms (void);
void rig_sleep_ms (int64_t duration_ms);

/* --- processes -------------------------------------------------------------------
 */

typedef struct
{
  unsigned index;
  pid_t pid; /* 0 if it does not run */
  unsigned caller_port;
  unsigned ready_port;
  unsigned admin_port;
  unsigned peer_port;
  unsigned tunnel_port;
  char settings[256];
} RigRouter;

/* What may differ between cases. */
typedef struct
{
  unsigned store_port;
  unsigned seed_port; /* peer_port of the first router, or 0 */
  unsigned revocation_ms;
  unsigned stop_grace_s;
} RigSettings;

void rig_router_prepare (RigRouter *router, unsigned index,
                         const RigSettings *settings);
void rig_router_start (RigRouter *router);

/* Waits until the readiness probe is answered with 200. */
bool rig_router_wait_ready (const RigRouter *router, int64_t timeout_ms);

/* Returns whether the readiness probe is answered with 200 now. */
bool rig_router_is_ready (const RigRouter *router);
void rig_router_signal (RigRouter *router, int number);

/* Returns whether the process has ended; reaps it. */
bool rig_router_has_ended (RigRouter *router);

/* Returns a field of /proc/PID/status in KB, or -1. */
long rig_router_memory_kb (const RigRouter *router, const char *field);

/* --- backend servers
 * --------------------------------------------------------------- */

/* A request as a backend server has read it. */
typedef struct
{
  char method[16];
  char path[512];
  char id[128]; /* X-Hornbeamwall-Attempt-Id */
  char head[16384];
  size_t body_length;
} RigRequest;

/* Answers a request on FD; returns whether the connection is kept.  It runs in the
   process of the server, with a thread for each connection. */
typedef bool (*RigHandler) (int fd, const RigRequest *request, const char *server);

typedef struct
{
  char id[32];
  pid_t pid;
  unsigned port;
} RigServer;

/* Starts a backend server as a process; call it before any thread is created. */
void rig_server_start (RigServer *server, const char *id, RigHandler handler);
void rig_server_signal (RigServer *server, int number);

/* Notes in the servers' common list that a request ran; for handlers. */
void rig_note_run (const char *server, const RigRequest *request);

/* Notes that the whole answer to a request was sent. */
void rig_note_answered (const char *server, const RigRequest *request);

/* Returns how often a request with ID ran on all servers. */
unsigned rig_count_runs (const char *id);

/* Sends a whole 200 answer with the server's seal and LENGTH bytes of body. */
bool rig_answer_ok (int fd, const RigRequest *request, const char *server,
                    size_t length);
bool rig_send_all (int fd, const void *bytes, size_t length);

/* Writes the entry of a server to the store. */
void rig_put_server (Objects *store, const RigServer *server, const char *backend,
                     const char *state, unsigned slots);

/* --- clients
 * ------------------------------------------------------------------------ */

/* Connects to 127.0.0.1.  RECEIVE_BUFFER is the size of the socket's receive buffer,
   0 for the default.  Returns the socket, or -1. */
int rig_connect (unsigned port, int receive_buffer);

typedef struct
{
  int status;    /* 0 if there was none */
  bool complete; /* head and body are whole */
  bool ended;    /* the connection has ended */
  bool reset;    /* by a reset */
  bool timed_out;
  size_t length;    /* of the body received */
  size_t announced; /* Content-Length */
  char head[8192];
  char body[512]; /* its beginning */
} RigAnswer;

/* Reads one answer; READ_PAUSE_MS is the pause between two reads of READ_SIZE bytes,
   0 for as fast as possible. */
RigAnswer rig_read_answer (int fd, int64_t timeout_ms, size_t read_size,
                           int64_t read_pause_ms);

/* Sends a request with a body of BODY_LENGTH bytes; a body of zeros is sent if there
   is one.  Returns whether all of it was sent. */
bool rig_send_request (int fd, const char *method, const char *host,
                       const char *path, const char *id, unsigned deadline_ms,
                       const char *fields, size_t body_length);

#endif
