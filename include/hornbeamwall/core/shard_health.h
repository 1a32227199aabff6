/*
 * shard_health - detects slow servers of a shard and requests load reports
 *
 * A straggler is a server whose inter-token time is far above the median of its
 * shard.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_HEALTH_H
#define HORNBEAMWALL_CORE_SHARD_HEALTH_H

#include "hornbeamwall/core/shard.h"

/* Compares the inter-token times of the servers with their median, once a second,
   and logs new stragglers. */
void hbw_shard_detect_stragglers (HbwShard *shard, HbwContext *context);

/* Requests the load reports that are due, unless responses already carry them. */
void hbw_shard_poll_load_reports (HbwShard *shard, HbwContext *context);

/* Puts all servers in service again: the failures of this instance's attempts were
   due to its own path. */
void hbw_shard_forget_failures (HbwShard *shard);

#endif
