/*
 * native_fixture - test fixture for the native interface
 *
 * Runs a store, model engines and one instance in the test process and sends HTTP
 * requests to the instance through libcurl.
 */
#ifndef HORNBEAMWALL_TESTS_RIG_H
#define HORNBEAMWALL_TESTS_RIG_H

#include "hornbeamwall/runtime/instance.h"
#include "standin/engine.h"
#include "standin/store.h"

#define RIG_ENGINES 4
#define RIG_TOKEN "admin"

typedef struct
{
  Store *store;
  Engine *engines[RIG_ENGINES];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
} Rig;

typedef struct
{
  long status; /* 0 if no response was received */
  char *body;
  char *etag;
  gboolean cut; /* the transfer failed before the end of the response */
} RigAnswer;

/* Starts a store with a catalogue, COUNT engines of SLOTS slots in pool "m" (engine
   0 also serves pool "s") and one instance; waits until it is ready. */
Rig *rig_create (guint count, guint slots);

/* The same with a manual clock that does not advance. */
Rig *rig_create_paused (guint count, guint slots);
void rig_destroy (Rig *fixture);

/* Starts another instance with the same settings and waits until it is ready. The
   caller destroys it. The functions below use the instance in fixture->instance,
   which a test may replace for a time. */
HbwInstance *rig_start_instance (Rig *fixture);

/* Posts BODY in the given class, NULL for none. HEADERS are additional header lines,
   with NULL at the end, or NULL. The caller clears the response. */
RigAnswer rig_call (Rig *fixture, const char *path, const char *class_name,
                    const char *body, const char *const *headers);

/* Sends a GET request to the callers' listener. The caller clears the response. */
RigAnswer rig_get (Rig *fixture, const char *path);

/* Sends a request to the administration API; BODY and IF_MATCH may be NULL. The
   caller clears the response. */
RigAnswer rig_admin (Rig *fixture, const char *method, const char *path,
                     const char *body, const char *if_match);

/* Posts a chat completion and closes the connection after TIMEOUT_MS. */
void rig_call_and_leave (Rig *fixture, const char *body, long timeout_ms);

/* Frees the contents of RESPONSE. */
void rig_answer_clear (RigAnswer *response);

/* Returns how often all engines together have executed requests with TAG. */
guint rig_runs (Rig *fixture, const char *tag);

/* Returns the text that a complete response to TAG with TOKENS contains; the caller
   frees it. */
char *rig_expected (const char *tag, guint tokens);

/* Returns the number of occurrences of NEEDLE in TEXT. */
guint rig_count (const char *text, const char *needle);

#endif
