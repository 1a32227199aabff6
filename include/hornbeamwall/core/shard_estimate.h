/*
 * shard_estimate - expected cost, service time and wait of requests in a shard
 *
 * The estimates are moving averages of completed requests and of prompt lengths.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_ESTIMATE_H
#define HORNBEAMWALL_CORE_SHARD_ESTIMATE_H

#include "hornbeamwall/core/shard.h"

/* Updates the average service time with a completed request; DURATION_US is the time
   from its grant to its end. */
void hbw_shard_record_service_time (HbwShard *shard, gint64 duration_us);

/* Updates the average number of tokens of a class with a completed request. */
void hbw_shard_record_tokens (HbwShard *shard, const HbwRequestSpec *spec,
                              guint tokens);

/* Returns the expected number of tokens of a request of this class. */
guint hbw_shard_expected_tokens (const HbwShard *shard, const HbwRequestSpec *spec);

/* Returns the expected time from the grant to the last token on the fastest server,
   in microseconds; 0 before the first measurement. */
gint64 hbw_shard_expected_service_us (const HbwShard *shard,
                                      const HbwRequestSpec *spec);

/* Returns the expected wait of a new request of TIER, in microseconds. */
gint64 hbw_shard_expected_wait_us (const HbwShard *shard, HbwTier tier);

/* Prefill speed before the first measurement, in tokens per second. */
#define HBW_PROMPT_TOKENS_PER_S_DEFAULT 20000.0

/* Updates the average prompt length and the length shares with a new request. */
void hbw_shard_record_arrival (HbwShard *shard, const HbwRequestSpec *spec);

/* Returns the length of the prompt of SPEC relative to the average. */
HbwPromptLength hbw_shard_classify_prompt (const HbwShard *shard,
                                           const HbwRequestSpec *spec);

/* Updates the prefill speed.  The first output token came FIRST_TOKEN_US after the
   start of an attempt with TOKENS unread prompt tokens; AHEAD_TOKENS of other
   prompts were queued before them. */
void hbw_shard_record_prompt_rate (HbwShard *shard, guint tokens, guint ahead_tokens,
                                   gint64 first_token_us);

#endif
