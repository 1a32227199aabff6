/*
 * engine - a small stand-in for a model engine and for a plain service
 *
 * It answers completions with as many tokens as "max_tokens" asks for; each token
 * names the "tag" of its request.  A "fault" in the request body makes it misbehave.
 * Every run is counted by tag.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_ENGINE_H
#define HORNBEAMWALL_TESTS_STANDIN_ENGINE_H

#include <glib.h>

typedef struct Engine Engine;

typedef struct
{
  const char *address; /* IP number and port; port 0 takes any */
  guint slots;
  guint first_token_ms;
  guint token_ms;
  gboolean exit_on_crash;  /* end the process at fault "crash" */
  guint cut_every;         /* break every so many answers off; 0 is none */
  gboolean checks_fencing; /* refuse orders with an old fencing number */
} EngineConfig;

Engine *engine_create (const EngineConfig *config);
void engine_destroy (Engine *engine);
guint engine_port (const Engine *engine);

/* Returns how often a request with TAG began to run. */
guint engine_runs (Engine *engine, const char *tag);

/* Returns the most requests that ran at once. */
guint engine_peak (Engine *engine);

/* Returns how many orders were carried out, and the number of the last one. */
guint engine_orders (Engine *engine, guint64 *number);

/* Breaks every answer in progress and refuses new connections, or undoes it. */
void engine_set_crashed (Engine *engine, gboolean crashed);

#endif
