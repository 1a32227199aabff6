/*
 * shard_health - finds out how the backend servers of a shard are
 */
#ifndef HORNBEAMWALL_CORE_SHARD_HEALTH_H
#define HORNBEAMWALL_CORE_SHARD_HEALTH_H

#include "hornbeamwall/core/shard.h"

/* Compares inter-token times with the shard's median, once a second, and logs new
   stragglers. */
void hbw_shard_compare_servers (HbwShard *shard, HbwContext *context);

/* Asks for the load reports that are due. */
void hbw_shard_poll_loads (HbwShard *shard, HbwContext *context);

#endif
