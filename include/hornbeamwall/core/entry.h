/*
 * ingress - requests whose callers are connected to this instance
 *
 * Decides how each request ends: whether it is retried or refused, and whether a
 * refusal may state that the request did not run.  Shard owners decide only when
 * and on which server an attempt may start.
 */
#ifndef HORNBEAMWALL_CORE_ENTRY_H
#define HORNBEAMWALL_CORE_ENTRY_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/limiter.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/shard_router.h"

/* Default limit on the attempts of one request that may have reached a backend
   server. */
#define HBW_ATTEMPTS_MAX 4

/* Maximum number of requests that one instance holds at once. */
#define HBW_REQUESTS_MAX 4096

/* Interval at which a waiting request is first sent to its owner again; it doubles
   each time, up to the maximum.  Attempts in progress use the maximum. */
#define HBW_RESTATE_US (1 * HBW_US_PER_S)
#define HBW_RESTATE_MAX_US (8 * HBW_US_PER_S)

typedef struct HbwEntry HbwEntry;

/* Returns the identity of the instance that owns a shard, or 0. */
typedef guint64 (*HbwOwnerLookup) (const HbwShardKey *key, void *data);

HbwEntry *hbw_entry_create (HbwOwnerLookup lookup, void *data,
                            const HbwRetryLimits *retry_limits);
void hbw_entry_destroy (HbwEntry *ingress);

/* Sets the topology (borrowed) from the platform's server list; NULL while no list
   is known. */
void hbw_entry_set_topology (HbwEntry *ingress, const HbwTopology *topology);

void hbw_entry_handle_arrival (HbwEntry *ingress, HbwContext *context,
                               const HbwArrival *arrival);
void hbw_entry_handle_gone (HbwEntry *ingress, HbwContext *context,
                            guint64 sequence);
void hbw_entry_handle_begun (HbwEntry *ingress, HbwContext *context,
                             const HbwAttemptBegin *begin);
void hbw_entry_handle_end (HbwEntry *ingress, HbwContext *context,
                           const HbwAttemptEnd *end);
void hbw_entry_handle_grant (HbwEntry *ingress, HbwContext *context, guint64 from,
                             const HbwGrant *grant);
void hbw_entry_handle_refusal (HbwEntry *ingress, HbwContext *context,
                               const HbwRefusal *refusal);

/* Ends overdue requests and refreshes the others with their owners. */
void hbw_entry_tick (HbwEntry *ingress, HbwContext *context);

/* Refuses every request that arrives at CLOSED_AT_US or later. */
void hbw_entry_drain (HbwEntry *ingress, gint64 closed_at_us);

guint hbw_entry_count (const HbwEntry *ingress);
HbwLimiter *hbw_entry_limiter (HbwEntry *ingress);
HbwShardRouter *hbw_entry_route (HbwEntry *ingress);

#endif
