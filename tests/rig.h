/*
 * rig - instances, engines and a store in one process, for tests of the whole path
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
  long status; /* 0: no answer */
  char *body;
  char *etag;
  gboolean cut; /* the connection broke before the end */
} RigAnswer;

/* Starts COUNT engines of SLOTS slots in pool "m" (engine 0 is also the service
   "s"), a store with a catalogue, and one instance; waits until it is ready. */
Rig *rig_create (guint count, guint slots);
/* The same with a clock that stands still. */
Rig *rig_create_paused (guint count, guint slots);
void rig_destroy (Rig *rig);

/* Starts one more instance of the same settings and waits until it is ready; to be
   put into rig->instance by the test. */
HbwInstance *rig_start_instance (Rig *rig);

/* Sends a request of CLASS (may be NULL) with more header lines, NULL at the end. */
RigAnswer rig_call (Rig *rig, const char *path, const char *class_name,
                    const char *body, const char *const *headers);

/* Reads a path of the callers' listener. */
RigAnswer rig_get (Rig *rig, const char *path);

/* Calls the administration API. */
RigAnswer rig_admin (Rig *rig, const char *method, const char *path,
                     const char *body, const char *if_match);

/* Sends a request and goes away after TIMEOUT_MS. */
void rig_call_and_leave (Rig *rig, const char *body, long timeout_ms);

void rig_answer_clear (RigAnswer *answer);

/* Returns the sum of runs of TAG at all engines. */
guint rig_runs (Rig *rig, const char *tag);

/* Returns the text that a whole answer to TAG with TOKENS must hold. */
char *rig_expected (const char *tag, guint tokens);

/* Returns how many times NEEDLE stands in TEXT. */
guint rig_count (const char *text, const char *needle);

#endif
