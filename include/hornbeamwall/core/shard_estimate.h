/*
 * shard_estimate - what requests of a shard are expected to take
 */
#ifndef HORNBEAMWALL_CORE_SHARD_ESTIMATE_H
#define HORNBEAMWALL_CORE_SHARD_ESTIMATE_H

#include "hornbeamwall/core/shard.h"

/* Notes how long a complete request took, from its grant to its end. */
void hbw_shard_note_service (HbwShard *shard, gint64 duration_us);

/* Notes how many tokens a complete request took. */
void hbw_shard_note_tokens (HbwShard *shard, const HbwRequestSpec *spec,
                            guint tokens);

/* Returns the tokens that a request of this class is expected to take. */
guint hbw_shard_expected_tokens (const HbwShard *shard, const HbwRequestSpec *spec);

/* Returns the expected time from the grant to the last token, in microseconds; 0
   before anything was measured. */
gint64 hbw_shard_expected_work (const HbwShard *shard, const HbwRequestSpec *spec);

/* Returns the expected wait of a new request of TIER, in microseconds. */
gint64 hbw_shard_expected_wait (const HbwShard *shard, HbwTier tier);

/* Speed at which a server reads prompts before anything is measured, in tokens a
   second. */
#define HBW_PROMPT_RATE_DEFAULT 20000.0

/* Notes how long the prompt of a new request is. */
void hbw_shard_note_arrival (HbwShard *shard, const HbwRequestSpec *spec);

/* Compares the prompt of SPEC with the usual one. */
HbwLength hbw_shard_length_of (const HbwShard *shard, const HbwRequestSpec *spec);

/* Notes that the first token came FIRST_TOKEN_US after the start of an attempt with
   TOKENS of its prompt to read, and AHEAD_TOKENS of others before them. */
void hbw_shard_note_prompt (HbwShard *shard, guint tokens, guint ahead_tokens,
                            gint64 first_token_us);

#endif
