/*
 * shard_router - selects the shard that a request is sent to
 *
 * Owners publish small summaries of their shards, which are piggybacked on pings.  A
 * request goes to a shard of its own data centre, and spills over to another data
 * centre only when the expected wait is so much shorter there that it outweighs the
 * distance.  Summaries that are too old, such as those from a partitioned data
 * centre, are ignored.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_ROUTER_H
#define HORNBEAMWALL_CORE_SHARD_ROUTER_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/topology.h"

/* A request spills over only if its expected wait in its own data centre is at least
   this long. */
#define HBW_SPILL_WAIT_MIN_US (250 * HBW_US_PER_MS)

/* Most requests of one instance that wait in other data centres at once. */
#define HBW_SPILL_WAITING_MAX 2

typedef struct HbwShardRouter HbwShardRouter;

HbwShardRouter *hbw_shard_router_create (void);
void hbw_shard_router_destroy (HbwShardRouter *router);

/* Stores SUMMARY if it is newer than the stored one of its shard. */
void hbw_shard_router_update_summary (HbwShardRouter *router,
                                      const HbwShardSummary *summary, gint64 now_us);

/* Sets SUMMARY to that of the shard KEY, with its age.  Returns FALSE if there is no
   recent one. */
gboolean hbw_shard_router_find_summary (const HbwShardRouter *router,
                                        const HbwShardKey *key, gint64 now_us,
                                        HbwShardSummary *summary);

/* Adds recent summaries to a ping, up to its capacity, from a random start. */
void hbw_shard_router_add_summaries (const HbwShardRouter *router,
                                     HbwContext *context, HbwPing *ping);

/* Sets KEY to the shard for a request; returns FALSE if its pool has no shards.
   Unless SPILL_ALLOWED, the request leaves its data centre only if no shard of the
   pool is there. */
gboolean hbw_shard_router_select_shard (const HbwShardRouter *router,
                                        HbwContext *context,
                                        const HbwTopology *topology,
                                        const HbwRequestSpec *spec,
                                        gboolean spill_allowed, HbwShardKey *key);

#endif
