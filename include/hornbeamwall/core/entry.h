/*
 * entry - the requests whose callers are connected to this instance
 *
 * This is the one place that decides how a request ends: what is tried again, what
 * is refused, and whether a refusal may say that the request did not run.  The
 * shard owners only decide when and where an attempt may start.
 */
#ifndef HORNBEAMWALL_CORE_ENTRY_H
#define HORNBEAMWALL_CORE_ENTRY_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/limiter.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/route.h"

/* Most attempts of one request that may have reached a backend server. */
#define HBW_ATTEMPTS_MAX 4

/* Most requests that one instance holds at once. */
#define HBW_REQUESTS_MAX 4096

/* How soon what waits is first restated to the owner; each time after that it takes
   twice as long, up to the most.  What is in progress is restated at the most. */
#define HBW_RESTATE_US (1 * HBW_US_PER_S)
#define HBW_RESTATE_MAX_US (8 * HBW_US_PER_S)

typedef struct HbwEntry HbwEntry;

/* Returns the identity of the owner of a shard, or 0. */
typedef guint64 (*HbwOwnerLookup) (const HbwShardKey *key, void *data);

HbwEntry *hbw_entry_create (HbwOwnerLookup lookup, void *data,
                            const HbwRetryLimits *retry_limits);
void hbw_entry_destroy (HbwEntry *entry);

/* Sets what the platform's list says; NULL while nothing is known. */
void hbw_entry_set_topology (HbwEntry *entry, const HbwTopology *topology);

void hbw_entry_handle_arrival (HbwEntry *entry, HbwContext *context,
                               const HbwArrival *arrival);
void hbw_entry_handle_gone (HbwEntry *entry, HbwContext *context, guint64 sequence);
void hbw_entry_handle_begun (HbwEntry *entry, HbwContext *context,
                             const HbwAttemptBegin *begin);
void hbw_entry_handle_end (HbwEntry *entry, HbwContext *context,
                           const HbwAttemptEnd *end);
void hbw_entry_handle_grant (HbwEntry *entry, HbwContext *context, guint64 from,
                             const HbwGrant *grant);
void hbw_entry_handle_refusal (HbwEntry *entry, HbwContext *context,
                               const HbwRefusal *refusal);

/* Ends what is overdue and restates what the owners must know. */
void hbw_entry_tick (HbwEntry *entry, HbwContext *context);

/* Refuses every arrival from CLOSED_AT_US on. */
void hbw_entry_drain (HbwEntry *entry, gint64 closed_at_us);

guint hbw_entry_count (const HbwEntry *entry);
HbwLimiter *hbw_entry_limiter (HbwEntry *entry);
HbwRoute *hbw_entry_route (HbwEntry *entry);

#endif
