/*
 * batch_engine - simulated engine that batches requests and caches prompts
 *
 * A step generates one token for each request that has been read, and reads at most
 * one chunk of a prompt, which lengthens the step.  Running requests and cached
 * parts share the memory; the least recently used parts are evicted.  A more urgent
 * request preempts the newest of the least urgent ones if no slot is free.
 *
 * The engine knows neither time nor requests: the world says when a step has ended,
 * and names each request by a pointer of its own.
 */
#ifndef HORNBEAMWALL_TESTS_BATCH_ENGINE_H
#define HORNBEAMWALL_TESTS_BATCH_ENGINE_H

#include "hornbeamwall/core/message.h"

typedef struct
{
  gint64 step_us;              /* of a step that reads no prompt */
  double prompt_tokens_per_ms; /* reading speed */
  guint chunk_tokens;          /* that a step reads at most */
  guint memory_tokens;
} BatchEngineSpec;

/* What happened to the prompts of all engines that share it. */
typedef struct
{
  GHashTable *read_parts; /* hashes of shared parts that an engine has read */
  guint64 shared_tokens;  /* of all requests that an engine began to read */
  guint64 reread_tokens;  /* read, although an engine had read them before */
  guint preempted_count;
  guint inversion_count; /* preempted while less urgent requests ran on */
} PromptWatch;

typedef enum
{
  BATCH_ENGINE_FIRST_TOKEN,
  BATCH_ENGINE_COMPLETE,
} BatchEngineEvent;

typedef void (*BatchEngineNotify) (void *request, BatchEngineEvent event,
                                   void *data);

typedef struct BatchEngine BatchEngine;

PromptWatch *prompt_watch_create (void);
void prompt_watch_destroy (PromptWatch *watch);

/* Creates an idle engine of SLOTS; WATCH (borrowed) outlives it. */
BatchEngine *batch_engine_create (const BatchEngineSpec *spec, guint slots,
                                  PromptWatch *watch);
void batch_engine_destroy (BatchEngine *engine);

/* Adds REQUEST, which generates TOKENS; SPEC has its prompt and its urgency. */
void batch_engine_add (BatchEngine *engine, void *request,
                       const HbwRequestSpec *spec, guint tokens);

/* Removes REQUEST if the engine has it. */
void batch_engine_remove (BatchEngine *engine, const void *request);

/* Removes all requests and cached parts. */
void batch_engine_clear (BatchEngine *engine);

/* Begins a step; returns its length in microseconds, or 0 if there is nothing to
   do. */
gint64 batch_engine_begin_step (BatchEngine *engine);

/* Ends the step, and calls NOTIFY for the requests that it has moved on. */
void batch_engine_end_step (BatchEngine *engine, BatchEngineNotify notify,
                            void *data);

#endif
