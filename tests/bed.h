/*
 * platform_fixture - test fixture for the users' platform
 *
 * Runs an object store, two backend servers and one instance in the test process.
 * Requests are sent on plain sockets, so that a test controls every byte.
 */
#ifndef HORNBEAMWALL_TESTS_BED_H
#define HORNBEAMWALL_TESTS_BED_H

#include "hornbeamwall/runtime/instance.h"
#include "standin/objects.h"
#include "standin/replica.h"

/* Polls, 10 ms apart, before a test gives up waiting. */
#define BED_WAIT_STEPS 1000

#define BED_SERVERS 2

/* Header field with the API key of a caller; the key is in the default config. */
#define BED_KEY "X-Hornbeamwall-Key: k1\r\n"

typedef struct
{
  Objects *objects;
  Replica *replicas[BED_SERVERS];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
} Bed;

/* Creates a fixture with config version 3, which has the API keys k1 and k2, and
   with all servers ready; waits until the instance is ready. */
Bed *bed_create (void);
void bed_destroy (Bed *fixture);

/* Creates a fixture without an instance, which another process runs. */
Bed *bed_create_around (void);

/* Returns settings for an instance that uses the fixture, as JSON; the caller frees
   them. CALLER_PORT 0 lets the system choose the port. */
char *bed_settings (const Bed *fixture, guint caller_port);

/* Writes the config. KEYS are its API keys: JSON strings, separated by commas. */
void bed_put_config (Bed *fixture, guint version, const char *keys);

/* Writes the entry of a server to the store; STATE is "ready" or "draining". */
void bed_put_server (Bed *fixture, guint index, const char *state);

/* Returns how often all servers together have executed requests for PATH. */
guint bed_runs (Bed *fixture, const char *path);

/* Returns how many connections all servers together have accepted. */
guint bed_connections (Bed *fixture);

/* Waits until no server executes a request; returns FALSE on timeout. */
gboolean bed_wait_until_idle (Bed *fixture);

typedef struct
{
  guint status;
  char *text;      /* head and body as received, with the chunk framing */
  gboolean closed; /* the instance closed or reset the connection */
  gboolean reset;
} Answer;

/* Connects to the instance; returns the socket. */
int bed_dial (Bed *fixture);

/* Connects to PORT of 127.0.0.1; returns the socket, or -1. */
int caller_dial (guint port);
void caller_say (int fd, const char *text);

/* Receives one response, or the bytes up to the end of the connection. The caller
   frees its text. */
Answer caller_hear (int fd);

/* Returns a request with a new attempt id and a deadline of 2500 ms; the caller
   frees it. EXTRA_FIELDS are complete header lines, or "". */
char *caller_request (const char *method, const char *path, const char *extra_fields,
                      const char *body);

/* Posts a request on the connection FD and receives the response. */
Answer caller_ask (int fd, const char *path, const char *extra_fields,
                   const char *body);

/* Posts a request on a new connection and receives the response. */
Answer bed_ask (Bed *fixture, const char *path, const char *extra_fields,
                const char *body);

/* Returns whether TEXT is a complete response. */
gboolean answer_is_whole (const char *text);

/* Checks the status and that the response contains TEXT, unless TEXT is NULL. Frees
   the text of the response. */
void answer_expect (Answer response, guint status, const char *text);

#endif
