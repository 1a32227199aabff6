#include "hornbeamwall/core/shard_estimate.h"

#include <math.h>

/* Weight of the newest measurement in the moving average of service time. */
#define SERVICE_AVERAGE_WEIGHT 0.05

/* Prompts with fewer tokens to read say little of the speed. */
#define PROMPT_SAMPLE_MIN 500

/* Doublings of the usual prompt's length beyond which one counts as long or short.
 */
#define LENGTH_DOUBLINGS 0.7

/* Weight of the newest prompt in the shares of lengths, and the most that a single
   one of many times the usual tokens counts. */
#define SHARE_AVERAGE_WEIGHT 0.01
#define SHARE_MOST 8.0

/* Weight of the newest measurement in the moving average of the speed, and its
   bounds in tokens a second. */
#define PROMPT_AVERAGE_WEIGHT 0.05
#define PROMPT_RATE_MIN 1000.0
#define PROMPT_RATE_MAX 1000000.0

void
hbw_shard_note_service (HbwShard *shard, gint64 duration_us)
{
  shard->service_us
      += SERVICE_AVERAGE_WEIGHT * ((double) duration_us - shard->service_us);
}

HbwLength
hbw_shard_length_of (const HbwShard *shard, const HbwRequestSpec *spec)
{
  double over = log2 (MAX (1, spec->prompt_tokens)) - shard->prompt_log2;
  if (over > LENGTH_DOUBLINGS)
    return HBW_LENGTH_LONG;
  return over < -LENGTH_DOUBLINGS ? HBW_LENGTH_SHORT : HBW_LENGTH_MEDIUM;
}

/* Moves the shares by the tokens of a prompt that no other request has. */
static void
note_share (HbwShard *shard, const HbwRequestSpec *spec)
{
  double tokens = spec->part_count > 0 ? spec->parts[spec->part_count - 1].tokens
                                       : spec->prompt_tokens;
  shard->own_tokens += SHARE_AVERAGE_WEIGHT * (tokens - shard->own_tokens);
  double weight
      = SHARE_AVERAGE_WEIGHT * MIN (tokens / MAX (shard->own_tokens, 1), SHARE_MOST);
  HbwLength length = hbw_shard_length_of (shard, spec);
  for (guint i = 0; i < HBW_LENGTH_COUNT; i++)
    shard->shares[i] += weight * ((i == length ? 1.0 : 0.0) - shard->shares[i]);
}

void
hbw_shard_note_arrival (HbwShard *shard, const HbwRequestSpec *spec)
{
  if (spec->prompt_tokens == 0)
    return;
  double length = log2 (spec->prompt_tokens);
  if (shard->prompt_log2 <= 0)
    shard->prompt_log2 = length;
  shard->prompt_log2 += PROMPT_AVERAGE_WEIGHT * (length - shard->prompt_log2);
  note_share (shard, spec);
}

/* A first token of a short prompt tells little of how fast prompts are read. */
void
hbw_shard_note_prompt (HbwShard *shard, guint tokens, guint ahead_tokens,
                       gint64 first_token_us)
{
  if (tokens < PROMPT_SAMPLE_MIN || first_token_us <= 0)
    return;
  double rate
      = ((double) tokens + ahead_tokens) * HBW_US_PER_S / (double) first_token_us;
  shard->prompt_rate += PROMPT_AVERAGE_WEIGHT * (rate - shard->prompt_rate);
  shard->prompt_rate = CLAMP (shard->prompt_rate, PROMPT_RATE_MIN, PROMPT_RATE_MAX);
}

/* Output lengths are not known before: classes are estimated by what they took. */
void
hbw_shard_note_tokens (HbwShard *shard, const HbwRequestSpec *spec, guint tokens)
{
  double *average = g_hash_table_lookup (shard->class_tokens, spec->class_name);
  if (*spec->class_name == '\0' || tokens == 0)
    return;
  if (average == NULL)
    {
      average = g_new (double, 1);
      *average = spec->cost_tokens;
      g_hash_table_insert (shard->class_tokens, g_strdup (spec->class_name),
                           average);
    }
  *average += SERVICE_AVERAGE_WEIGHT * ((double) tokens - *average);
}

guint
hbw_shard_expected_tokens (const HbwShard *shard, const HbwRequestSpec *spec)
{
  const double *average
      = g_hash_table_lookup (shard->class_tokens, spec->class_name);
  return average != NULL ? MAX (1, (guint) *average) : spec->cost_tokens;
}

/* From the grant to the last token, on the fastest server. */
gint64
hbw_shard_expected_work (const HbwShard *shard, const HbwRequestSpec *spec)
{
  double least = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      double work
          = server->first_token_us + server->inter_token_us * spec->cost_tokens;
      if (work > 0 && (least <= 0 || work < least))
        least = work;
    }
  return (gint64) least;
}

gint64
hbw_shard_expected_wait (const HbwShard *shard, HbwTier tier)
{
  guint waiting = 0;
  double limit = 0;
  guint free_slots = 0;
  for (HbwTier i = 0; i <= tier; i++)
    waiting += hbw_queue_tier_length (shard->queue, i);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      free_slots += hbw_server_free (server);
      if (hbw_server_is_usable (server))
        limit += server->limit;
    }
  if (free_slots > 0 && waiting == 0)
    return 0;
  return (gint64) ((waiting + 1.0) * shard->service_us / MAX (limit, 1.0));
}
