#include "hornbeamwall/core/shard_estimate.h"

#include <math.h>

/* Weight of a new sample in the moving averages of service time and of tokens. */
#define SERVICE_AVERAGE_WEIGHT 0.05

/* Prompts with fewer unread tokens are not used to measure the prefill speed,
   because their first token says little about it. */
#define PROMPT_SAMPLE_TOKENS_MIN 500

/* Difference from the average binary logarithm of the prompt length beyond which a
   prompt counts as long or short. */
#define LENGTH_LOG2_THRESHOLD 0.7

/* Weight of an average prompt in the length shares, and the largest multiple of it
   that a single long prompt counts. */
#define LENGTH_SHARE_WEIGHT 0.01
#define LENGTH_SHARE_SAMPLE_MAX 8.0

/* Weight of a new sample in the moving averages of the prompt length and the prefill
   speed, and the bounds of the speed in tokens per second. */
#define PROMPT_AVERAGE_WEIGHT 0.05
#define PROMPT_RATE_MIN 1000.0
#define PROMPT_RATE_MAX 1000000.0

void
hbw_shard_record_service_time (HbwShard *shard, gint64 duration_us)
{
  shard->average_service_us
      += SERVICE_AVERAGE_WEIGHT * ((double) duration_us - shard->average_service_us);
}

HbwPromptLength
hbw_shard_classify_prompt (const HbwShard *shard, const HbwRequestSpec *spec)
{
  double log2_ratio
      = log2 (MAX (1, spec->prompt_tokens)) - shard->average_prompt_log2;
  if (log2_ratio > LENGTH_LOG2_THRESHOLD)
    return HBW_PROMPT_LENGTH_LONG;
  return log2_ratio < -LENGTH_LOG2_THRESHOLD ? HBW_PROMPT_LENGTH_SHORT
                                             : HBW_PROMPT_LENGTH_MEDIUM;
}

/* Updates the length shares, weighted by the prompt's unshared tokens. */
static void
update_length_shares (HbwShard *shard, const HbwRequestSpec *spec)
{
  double tokens = spec->part_count > 0 ? spec->parts[spec->part_count - 1].tokens
                                       : spec->prompt_tokens;
  shard->average_unshared_tokens
      += LENGTH_SHARE_WEIGHT * (tokens - shard->average_unshared_tokens);
  double weight = LENGTH_SHARE_WEIGHT
                  * MIN (tokens / MAX (shard->average_unshared_tokens, 1),
                         LENGTH_SHARE_SAMPLE_MAX);
  HbwPromptLength length = hbw_shard_classify_prompt (shard, spec);
  for (guint i = 0; i < HBW_PROMPT_LENGTH_COUNT; i++)
    shard->prompt_length_shares[i]
        += weight * ((i == length ? 1.0 : 0.0) - shard->prompt_length_shares[i]);
}

void
hbw_shard_record_arrival (HbwShard *shard, const HbwRequestSpec *spec)
{
  if (spec->prompt_tokens == 0)
    return;
  double length = log2 (spec->prompt_tokens);
  if (shard->average_prompt_log2 <= 0)
    shard->average_prompt_log2 = length;
  shard->average_prompt_log2
      += PROMPT_AVERAGE_WEIGHT * (length - shard->average_prompt_log2);
  update_length_shares (shard, spec);
}

void
hbw_shard_record_prompt_rate (HbwShard *shard, guint tokens, guint ahead_tokens,
                              gint64 first_token_us)
{
  if (tokens < PROMPT_SAMPLE_TOKENS_MIN || first_token_us <= 0)
    return;
  double rate
      = ((double) tokens + ahead_tokens) * HBW_US_PER_S / (double) first_token_us;
  shard->prompt_tokens_per_s
      += PROMPT_AVERAGE_WEIGHT * (rate - shard->prompt_tokens_per_s);
  shard->prompt_tokens_per_s
      = CLAMP (shard->prompt_tokens_per_s, PROMPT_RATE_MIN, PROMPT_RATE_MAX);
}

/* The length of an output is not known in advance, so the average of its class
   serves as the estimate. */
void
hbw_shard_record_tokens (HbwShard *shard, const HbwRequestSpec *spec, guint tokens)
{
  double *average
      = g_hash_table_lookup (shard->average_class_tokens, spec->class_name);
  if (*spec->class_name == '\0' || tokens == 0)
    return;
  if (average == NULL)
    {
      average = g_new (double, 1);
      *average = spec->cost_tokens;
      g_hash_table_insert (shard->average_class_tokens, g_strdup (spec->class_name),
                           average);
    }
  *average += SERVICE_AVERAGE_WEIGHT * ((double) tokens - *average);
}

guint
hbw_shard_expected_tokens (const HbwShard *shard, const HbwRequestSpec *spec)
{
  const double *average
      = g_hash_table_lookup (shard->average_class_tokens, spec->class_name);
  return average != NULL ? MAX (1, (guint) *average) : spec->cost_tokens;
}

gint64
hbw_shard_expected_service_us (const HbwShard *shard, const HbwRequestSpec *spec)
{
  double lowest = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      double work = server->average_first_token_us
                    + server->average_inter_token_us * spec->cost_tokens;
      if (work > 0 && (lowest <= 0 || work < lowest))
        lowest = work;
    }
  return (gint64) lowest;
}

gint64
hbw_shard_expected_wait_us (const HbwShard *shard, HbwTier tier)
{
  guint waiting = 0;
  double limit = 0;
  guint free_slots = 0;
  for (HbwTier i = 0; i <= tier; i++)
    waiting += hbw_queue_tier_length (shard->queue, i);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      free_slots += hbw_server_free_slots (server);
      if (hbw_server_is_usable (server))
        limit += server->concurrency_limit;
    }
  if (free_slots > 0 && waiting == 0)
    return 0;
  return (gint64) ((waiting + 1.0) * shard->average_service_us / MAX (limit, 1.0));
}
