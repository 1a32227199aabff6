/*
 * engine - simulated model engine or plain service
 *
 * It answers completion requests with "max_tokens" tokens, each of which contains
 * the "tag" of its request.  It counts executions by tag.  A "fault" in the request
 * body makes it fail:
 *
 *   refuse     503, not executed
 *   reset      executes the request, then closes the connection without a response
 *   truncate   sends half of a response that is not a stream
 *   cut        closes the connection after two tokens of a stream
 *   no_done    omits "data: [DONE]" at the end of a stream
 *   stall      sends nothing for three seconds
 *   wrong_id   responds with the id of another request
 *   crash      aborts all requests and drops new ones, or exits (exit_on_crash)
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_ENGINE_H
#define HORNBEAMWALL_TESTS_STANDIN_ENGINE_H

#include <glib.h>

typedef struct Engine Engine;

typedef struct
{
  const char *address; /* IP address and port; port 0 selects a free port */
  guint slots;
  guint first_token_ms;
  guint token_ms;
  gboolean exit_on_crash;        /* exit the process on fault "crash" */
  guint truncate_every;          /* abort every Nth response; 0 is none */
  gboolean check_fencing_number; /* reject orders with an old fencing number */
} EngineConfig;

Engine *engine_create (const EngineConfig *config);
void engine_destroy (Engine *engine);
guint engine_port (const Engine *engine);

/* Returns how many times the execution of a request with TAG began. */
guint engine_run_count (Engine *engine, const char *tag);

/* Returns the highest number of requests that ran at the same time. */
guint engine_peak_concurrency (Engine *engine);

/* Returns how many orders were accepted; stores the fencing number of the last one
   in FENCING_NUMBER. */
guint engine_order_count (Engine *engine, guint64 *fencing_number);

/* Aborts every response in progress and drops new requests while CRASHED is set. */
void engine_set_crashed (Engine *engine, gboolean crashed);

#endif
