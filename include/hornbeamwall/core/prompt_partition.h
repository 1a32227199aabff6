/*
 * prompt_partition - divides the backend servers of a shard by the length of prompts
 *
 * Streams on a server pause while it reads a long prompt, so each length of prompt
 * has servers of its own.  All instances sort the usable servers alike and give each
 * length a range of them, in proportion to its share of the prompt tokens.
 */
#ifndef HORNBEAMWALL_CORE_PROMPT_PARTITION_H
#define HORNBEAMWALL_CORE_PROMPT_PARTITION_H

#include "hornbeamwall/core/shard.h"

/* How long partitions are used while the servers of the shard stay the same. */
#define HBW_PROMPT_PARTITION_INTERVAL_US (100 * HBW_US_PER_MS)

/* Assigns each server of SHARD to a partition, unless that was done within the last
   HBW_PROMPT_PARTITION_INTERVAL_US for the same servers. */
void hbw_prompt_partition_update (HbwShard *shard, gint64 now_us);

/* Returns the prompt length to whose partition SERVER belongs: LENGTH itself in a
   shard that is too small to be divided. */
HbwPromptLength hbw_prompt_partition_of (const HbwShard *shard,
                                         const HbwServer *server,
                                         HbwPromptLength length);

#endif
