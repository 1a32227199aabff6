/*
 * reducer - state machine of one instance
 *
 * hbw_reducer_step() takes one event and returns the effects that the runtime must
 * carry out.  It reads no clock, does no I/O and draws random numbers only from its
 * seeded generator, so the same events always give the same effects.  Not
 * thread-safe: a reducer belongs to one thread.
 */
#ifndef HORNBEAMWALL_CORE_REDUCER_H
#define HORNBEAMWALL_CORE_REDUCER_H

#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/duty/usage_task.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/shard.h"

typedef struct HbwReducer HbwReducer;

typedef struct
{
  HbwMemberUpdate self;     /* identity, name, data centre and address */
  const char *const *seeds; /* addresses, NULL-terminated; may be NULL */
  const HbwPolicy *policy;
  HbwRetryLimits retry_limits;    /* a window of 0 selects the default limits */
  gint64 max_revocation_delay_us; /* see HbwFreshness; 0 if nothing needs
                                     confirmation */
  gint64 drain_waiting_us; /* after a planned stop, requests wait for a server this
                              long; 0 is no limit */
  gint64 drain_grace_us; /* after a planned stop, requests are accepted this long */
  gboolean stores_suspects; /* the runtime reads and writes the suspects in the
                               platform's store */
  gboolean load_in_answers; /* servers report load in responses: none is polled */
  gboolean ramps_servers;   /* see HbwContext */
  gint64 duty_lease_us;     /* time of the duty lease; 0 if there is none */
  double duty_calls_per_s;  /* see HbwDutyConfig */
  HbwUsageConfig usage;     /* a window of 0: usage is not reported */
  gboolean orders_servers;  /* backend servers are ordered by the load */
  guint32 seed;
  gint64 now_us;
} HbwReducerConfig;

HbwReducer *hbw_reducer_create (const HbwReducerConfig *config);
void hbw_reducer_destroy (HbwReducer *reducer);

/* Handles EVENT and appends the resulting effects to EFFECTS. */
void hbw_reducer_step (HbwReducer *reducer, const HbwEvent *event,
                       HbwEffects *effects);

/* Returns whether this instance can serve callers: the catalogue, the server list
   and the planned stops are known, the catalogue is recent enough to accept keys,
   and the instance is not draining. */
gboolean hbw_reducer_is_ready (const HbwReducer *reducer);

/* Returns when the active catalogue was last confirmed to be the newest. */
gint64 hbw_reducer_catalogue_confirmed_us (const HbwReducer *reducer);

/* Returns whether this instance is one of those in its data centre that watch the
   platform's store. */
gboolean hbw_reducer_is_store_watcher (const HbwReducer *reducer);

/* Returns whether this instance is the candidate for sending orders to the backend
   servers of its data centre; it must also hold the lease to do so. */
gboolean hbw_reducer_is_order_sender (const HbwReducer *reducer);

/* Returns whether a planned stop of this instance is in progress. */
gboolean hbw_reducer_is_draining (const HbwReducer *reducer);

/* Returns the number of requests of this instance that have not ended. */
guint hbw_reducer_request_count (const HbwReducer *reducer);

/* Returns the version of the adopted document; see documents.h. */
gint64 hbw_reducer_document_version (const HbwReducer *reducer,
                                     HbwDocumentKind kind);

/* Appends the metrics in the Prometheus text format. */
void hbw_reducer_render_metrics (const HbwReducer *reducer, GString *text);

/* Returns the counters (borrowed) of the control plane. */
const HbwControlMetrics *hbw_reducer_control_metrics (const HbwReducer *reducer);

/* Appends the state as a JSON object: versions, members, shards, servers, stops. */
void hbw_reducer_render_status (const HbwReducer *reducer, GString *text);

/* Appends the planned stops, with the work that remains for each, as a JSON
   object. */
void hbw_reducer_render_stops (const HbwReducer *reducer, GString *text);

/* Appends a JSON object with the number of instances in each data centre that have
   activated the newest catalogue.  Call about a second after
   HBW_EVENT_COLLECT_VERSIONS, when the versions have come in. */
void hbw_reducer_render_rollout (const HbwReducer *reducer, GString *text);

#endif
