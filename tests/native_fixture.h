/*
 * native_fixture - test fixture for the native interface
 *
 * Runs a store, model engines and one instance in the test process and sends HTTP
 * requests to the instance through libcurl.
 */
#ifndef HORNBEAMWALL_TESTS_NATIVE_FIXTURE_H
#define HORNBEAMWALL_TESTS_NATIVE_FIXTURE_H

#include "hornbeamwall/runtime/instance.h"
#include "standin/engine.h"
#include "standin/store.h"

#define NATIVE_FIXTURE_ENGINES_MAX 4
#define NATIVE_FIXTURE_ADMIN_TOKEN "admin"

typedef struct
{
  Store *store;
  Engine *engines[NATIVE_FIXTURE_ENGINES_MAX];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
} NativeFixture;

typedef struct
{
  long status; /* 0 if no response was received */
  char *body;
  char *etag;
  gboolean incomplete; /* the transfer failed before the end of the response */
} NativeFixtureResponse;

/* Starts a store with a catalogue, COUNT engines of SLOTS slots in pool "m" (engine
   0 also serves pool "s") and one instance; waits until it is ready. */
NativeFixture *native_fixture_create (guint count, guint slots);

/* The same with a manual clock that does not advance. */
NativeFixture *native_fixture_create_with_manual_clock (guint count, guint slots);
void native_fixture_destroy (NativeFixture *fixture);

/* Starts another instance with the same settings and waits until it is ready. The
   caller destroys it. The functions below use the instance in fixture->instance,
   which a test may replace for a time. */
HbwInstance *native_fixture_start_instance (NativeFixture *fixture);

/* Posts BODY in the given class, NULL for none. HEADERS are additional header lines,
   with NULL at the end, or NULL. The caller clears the response. */
NativeFixtureResponse native_fixture_post (NativeFixture *fixture, const char *path,
                                           const char *class_name, const char *body,
                                           const char *const *headers);

/* Sends a GET request to the callers' listener. The caller clears the response. */
NativeFixtureResponse native_fixture_get (NativeFixture *fixture, const char *path);

/* Sends a request to the administration API; BODY and IF_MATCH may be NULL. The
   caller clears the response. */
NativeFixtureResponse native_fixture_request_admin (NativeFixture *fixture,
                                                    const char *method,
                                                    const char *path,
                                                    const char *body,
                                                    const char *if_match);

/* Posts a chat completion and closes the connection after TIMEOUT_MS. */
void native_fixture_post_and_disconnect (NativeFixture *fixture, const char *body,
                                         long timeout_ms);

/* Frees the contents of RESPONSE. */
void native_fixture_response_clear (NativeFixtureResponse *response);

/* Returns how often all engines together have executed requests with TAG. */
guint native_fixture_count_runs (NativeFixture *fixture, const char *tag);

/* Returns the text that a complete response to TAG with TOKENS contains; the caller
   frees it. */
char *native_fixture_expected_text (const char *tag, guint tokens);

/* Returns the number of occurrences of NEEDLE in TEXT. */
guint count_occurrences (const char *text, const char *needle);

#endif
