/*
 * reducer - the state of one instance, as a function of its events
 *
 * hbw_reducer_step() reads no clock, does no I/O and draws random numbers only from
 * its seeded generator: the same events give the same effects.  One thread uses a
 * reducer.
 */
#ifndef HORNBEAMWALL_CORE_REDUCER_H
#define HORNBEAMWALL_CORE_REDUCER_H

#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/shard.h"

typedef struct HbwReducer HbwReducer;

typedef struct
{
  HbwMemberUpdate self;     /* identity, name, data centre and address */
  const char *const *seeds; /* addresses, NULL at the end; may be NULL */
  const HbwPolicy *policy;
  HbwRetryLimits retry_limits; /* a window of 0 stands for the default limits */
  gint64 revocation_us; /* see HbwFreshness; 0 where nothing needs confirmation */
  gint64 linger_us;     /* arrivals are still taken so long after a planned stop */
  gboolean
      load_in_answers; /* servers tell their load with each answer: none is asked */
  guint32 seed;
  gint64 now_us;
} HbwReducerConfig;

HbwReducer *hbw_reducer_create (const HbwReducerConfig *config);
void hbw_reducer_destroy (HbwReducer *reducer);

/* Takes EVENT in and adds what is to be done to EFFECTS. */
void hbw_reducer_step (HbwReducer *reducer, const HbwEvent *event,
                       HbwEffects *effects);

/* Returns whether a catalogue, a list of servers and the planned stops are known. */
gboolean hbw_reducer_is_ready (const HbwReducer *reducer);

/* Returns when the catalogue in force was last known to be the newest. */
gint64 hbw_reducer_confirmed_us (const HbwReducer *reducer);

/* Returns whether this instance is one of those of its data centre that watch the
   platform's store. */
gboolean hbw_reducer_is_watcher (const HbwReducer *reducer);

/* Returns whether sending orders to backend servers falls to this instance; the
   lease decides whether it may. */
gboolean hbw_reducer_is_orderer (const HbwReducer *reducer);

/* Returns whether a planned stop of this instance is under way. */
gboolean hbw_reducer_is_draining (const HbwReducer *reducer);

/* Returns how many requests of this instance have not ended. */
guint hbw_reducer_request_count (const HbwReducer *reducer);

/* Returns the adopted version of a document; see documents.h. */
gint64 hbw_reducer_version (const HbwReducer *reducer, HbwDocumentKind kind);

/* Adds the metrics in the Prometheus text format. */
void hbw_reducer_render_metrics (const HbwReducer *reducer, GString *text);

/* Adds the state as a JSON object: versions, members, shards, servers, stops. */
void hbw_reducer_render_status (const HbwReducer *reducer, GString *text);

/* Adds the planned stops, with what is left of each, as a JSON object. */
void hbw_reducer_render_stops (const HbwReducer *reducer, GString *text);

/* Adds which data centres have the newest catalogue in force, as a JSON object; to
   be asked about a second after HBW_EVENT_SURVEY. */
void hbw_reducer_render_rollout (const HbwReducer *reducer, GString *text);

#endif
