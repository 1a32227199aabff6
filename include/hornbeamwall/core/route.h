/*
 * route - which shard a request goes to
 *
 * Owners tell of their shards in small summaries that travel on pings.  A request
 * goes to a shard of its own data centre, and to another data centre's only when
 * the expected gain clearly beats the distance.  A summary that is too old, as from
 * a data centre that is cut off, counts as none.
 */
#ifndef HORNBEAMWALL_CORE_ROUTE_H
#define HORNBEAMWALL_CORE_ROUTE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/topology.h"

/* A request spills over only if it waits longer than this at home. */
#define HBW_SPILL_WAIT_US (250 * HBW_US_PER_MS)

/* Requests of one instance that may wait in other data centres at once. */
#define HBW_SPILL_WAITING_MAX 2

typedef struct HbwRoute HbwRoute;

HbwRoute *hbw_route_create (void);
void hbw_route_destroy (HbwRoute *route);

/* Takes over a summary that is younger than the one known. */
void hbw_route_learn (HbwRoute *route, const HbwShardSummary *summary,
                      gint64 now_us);

/* Returns the summary of a shard with its age, or FALSE where none is fresh. */
gboolean hbw_route_summary (const HbwRoute *route, const HbwShardKey *key,
                            gint64 now_us, HbwShardSummary *summary);

/* Adds known summaries to a ping, up to its bound, starting anywhere. */
void hbw_route_share (const HbwRoute *route, HbwContext *context, HbwPing *ping);

/* Chooses a shard for a request; returns FALSE where no shard of its pool is known.
   SPILL_ALLOWED says whether it may leave the data centre. */
gboolean hbw_route_choose (const HbwRoute *route, HbwContext *context,
                           const HbwTopology *topology, const HbwRequestSpec *spec,
                           gboolean spill_allowed, HbwShardKey *key);

#endif
