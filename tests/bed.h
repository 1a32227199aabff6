/*
 * bed - one instance on the users' platform, two backend servers and the object
 * store, and a caller on plain sockets
 */
#ifndef HORNBEAMWALL_TESTS_BED_H
#define HORNBEAMWALL_TESTS_BED_H

#include "hornbeamwall/runtime/instance.h"
#include "standin/objects.h"
#include "standin/replica.h"

/* How long a test waits for something to happen, in steps of 10 ms. */
#define BED_WAIT_STEPS 1000

#define BED_SERVERS 2

/* The field of a caller whose key is in force. */
#define BED_KEY "X-Hornbeamwall-Key: k1\r\n"

typedef struct
{
  Objects *objects;
  Replica *replicas[BED_SERVERS];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
} Bed;

/* Creates a bed that is ready: config 3 with the keys k1 and k2, all servers ready.
 */
Bed *bed_create (void);
void bed_destroy (Bed *bed);

/* Creates a bed without its instance, which another process is. */
Bed *bed_create_around (void);

/* Returns the settings of the bed's instance; port 0 is any. */
char *bed_settings (const Bed *bed, guint caller_port);

/* Writes the config with KEYS, a list of JSON texts. */
void bed_put_config (Bed *bed, guint version, const char *keys);
void bed_put_server (Bed *bed, guint index, const char *state);

/* Returns how often the servers ran PATH, and how many connections they took. */
guint bed_runs (Bed *bed, const char *path);
guint bed_connections (Bed *bed);

/* Returns FALSE where a server is still at work after a while. */
gboolean bed_wait_until_idle (Bed *bed);

typedef struct
{
  guint status;
  char *text;      /* head and body, chunks as they came */
  gboolean closed; /* by the other side */
  gboolean reset;
} Answer;

/* Returns a connection to the instance; to a PORT, or -1. */
int bed_dial (Bed *bed);
int caller_dial (guint port);
void caller_say (int fd, const char *text);

/* Reads one answer, or up to the end of the connection. */
Answer caller_hear (int fd);

/* Returns a request with an id and a deadline; MORE are fields. */
char *caller_request (const char *method, const char *path, const char *more,
                      const char *body);

/* Posts a request on a connection, or on one of its own, and reads the answer. */
Answer caller_ask (int fd, const char *path, const char *more, const char *body);
Answer bed_ask (Bed *bed, const char *path, const char *more, const char *body);

/* Returns whether TEXT is a whole answer. */
gboolean answer_is_whole (const char *text);

/* Checks the status, and that TEXT (NULL: none) is in the answer, which it frees. */
void answer_expect (Answer answer, guint status, const char *text);

#endif
