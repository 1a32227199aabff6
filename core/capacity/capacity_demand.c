#include "hornbeamwall/core/capacity/capacity_demand.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/capacity/reading_speed.h"

/* Weight of a new sample in the moving averages of a response's tokens and of the
   share of shared prompt tokens that no server had. */
#define AVERAGE_WEIGHT 0.02

/* That share before anything is known. */
#define MISSED_SHARE_DEFAULT 0.5

/* Largest pace that is reported, in tokens per second. */
#define PACE_MAX 1e6

typedef struct
{
  HbwPoolDemand counts; /* counts instead of rates, since the last report */
  double missed_share;  /* moving average */
  double average_output[HBW_TIER_COUNT]; /* tokens of a response; 0 if unknown */
  HbwReadingSpeed speed;
} PoolDemand;

struct HbwCapacityDemand
{
  GHashTable *pools; /* name -> PoolDemand */
};

HbwCapacityDemand *
hbw_capacity_demand_create (void)
{
  HbwCapacityDemand *demand = g_new0 (HbwCapacityDemand, 1);
  demand->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return demand;
}

void
hbw_capacity_demand_destroy (HbwCapacityDemand *demand)
{
  g_hash_table_destroy (demand->pools);
  g_free (demand);
}

static PoolDemand *
ensure_pool (HbwCapacityDemand *demand, const char *name)
{
  PoolDemand *pool = g_hash_table_lookup (demand->pools, name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (PoolDemand, 1);
  pool->missed_share = MISSED_SHARE_DEFAULT;
  g_strlcpy (pool->counts.pool, name, sizeof pool->counts.pool);
  g_hash_table_insert (demand->pools, pool->counts.pool, pool);
  return pool;
}

static HbwTierDemand *
ensure_tier (HbwCapacityDemand *demand, const HbwRequestSpec *spec)
{
  return &ensure_pool (demand, spec->pool)->counts.tiers[spec->tier];
}

/* All parts but the last may be shared. */
static guint
count_shared_tokens (const HbwRequestSpec *spec)
{
  guint tokens = 0;
  for (guint i = 0; i + 1 < spec->part_count; i++)
    tokens += spec->parts[i].tokens;
  return MIN (tokens, spec->prompt_tokens);
}

static double
expect_unread_tokens (const PoolDemand *pool, const HbwRequestSpec *spec)
{
  guint shared = count_shared_tokens (spec);
  return spec->prompt_tokens - shared + shared * pool->missed_share;
}

static double
expect_output_tokens (const PoolDemand *pool, const HbwRequestSpec *spec)
{
  double average = pool->average_output[spec->tier];
  return average > 0 ? average : spec->cost_tokens;
}

void
hbw_capacity_demand_count_arrival (HbwCapacityDemand *demand,
                                   const HbwRequestSpec *spec)
{
  const PoolDemand *pool = ensure_pool (demand, spec->pool);
  HbwTierDemand *tier = ensure_tier (demand, spec);
  tier->requests_per_s++;
  tier->prompt_tokens_per_s += expect_unread_tokens (pool, spec);
}

void
hbw_capacity_demand_count_placement (HbwCapacityDemand *demand,
                                     const HbwRequestSpec *spec, guint unread_tokens)
{
  PoolDemand *pool = ensure_pool (demand, spec->pool);
  guint shared = count_shared_tokens (spec);
  guint unshared = spec->prompt_tokens - shared;
  if (shared == 0)
    return;
  double missed = unread_tokens > unshared ? unread_tokens - unshared : 0;
  pool->missed_share
      += AVERAGE_WEIGHT * (MIN (missed / shared, 1.0) - pool->missed_share);
}

void
hbw_capacity_demand_count_first_token (HbwCapacityDemand *demand,
                                       const HbwRequestSpec *spec, gboolean is_late)
{
  if (is_late)
    ensure_tier (demand, spec)->late_per_s++;
}

void
hbw_capacity_demand_count_output (HbwCapacityDemand *demand,
                                  const HbwRequestSpec *spec, guint tokens)
{
  PoolDemand *pool = ensure_pool (demand, spec->pool);
  double *average = &pool->average_output[spec->tier];
  ensure_tier (demand, spec)->output_tokens_per_s += tokens;
  if (tokens == 0)
    return;
  if (*average <= 0)
    *average = tokens;
  *average += AVERAGE_WEIGHT * (tokens - *average);
}

void
hbw_capacity_demand_count_refusal (HbwCapacityDemand *demand,
                                   const HbwRequestSpec *spec)
{
  ensure_tier (demand, spec)->refused_per_s++;
}

void
hbw_capacity_demand_learn_pace (HbwCapacityDemand *demand, const char *pool,
                                guint tokens, guint ahead_tokens,
                                gint64 first_token_us)
{
  if (tokens == 0 || first_token_us <= 0)
    return;
  PoolDemand *entry = ensure_pool (demand, pool);
  hbw_reading_speed_record (&entry->speed, (double) tokens + ahead_tokens,
                            (double) first_token_us);
  entry->counts.pace_tokens_per_s
      = MIN (hbw_reading_speed_tokens_per_s (&entry->speed), PACE_MAX);
}

void
hbw_capacity_demand_begin_sample (HbwCapacityDemand *demand)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, demand->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (guint i = 0; i < HBW_TIER_COUNT; i++)
      {
        HbwTierDemand *tier = &((PoolDemand *) value)->counts.tiers[i];
        tier->in_progress = tier->waiting = 0;
        tier->memory_tokens = 0;
      }
}

void
hbw_capacity_demand_sample (HbwCapacityDemand *demand, const HbwRequestSpec *spec,
                            gboolean is_running)
{
  const PoolDemand *pool = ensure_pool (demand, spec->pool);
  HbwTierDemand *tier = ensure_tier (demand, spec);
  if (is_running)
    tier->in_progress++;
  else
    tier->waiting++;
  tier->memory_tokens
      += expect_unread_tokens (pool, spec) + expect_output_tokens (pool, spec);
}

void
hbw_capacity_demand_take (HbwCapacityDemand *demand, const char *pool,
                          gint64 elapsed_us, HbwPoolDemand *report)
{
  HbwPoolDemand *counts = &ensure_pool (demand, pool)->counts;
  double per_s = (double) HBW_US_PER_S / (double) MAX (elapsed_us, 1);
  *report = *counts;
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    {
      HbwTierDemand *tier = &report->tiers[i];
      HbwTierDemand *count = &counts->tiers[i];
      tier->prompt_tokens_per_s *= per_s;
      tier->output_tokens_per_s *= per_s;
      tier->requests_per_s *= per_s;
      tier->refused_per_s *= per_s;
      tier->late_per_s *= per_s;
      count->prompt_tokens_per_s = count->output_tokens_per_s = 0;
      count->requests_per_s = count->refused_per_s = count->late_per_s = 0;
    }
}

static void
add_tier (HbwTierDemand *sum, const HbwTierDemand *addend)
{
  sum->prompt_tokens_per_s += addend->prompt_tokens_per_s;
  sum->output_tokens_per_s += addend->output_tokens_per_s;
  sum->requests_per_s += addend->requests_per_s;
  sum->refused_per_s += addend->refused_per_s;
  sum->late_per_s += addend->late_per_s;
  sum->memory_tokens += addend->memory_tokens;
  sum->in_progress += addend->in_progress;
  sum->waiting += addend->waiting;
}

void
hbw_pool_demand_add (HbwPoolDemand *sum, const HbwPoolDemand *addend)
{
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    add_tier (&sum->tiers[i], &addend->tiers[i]);
}

HbwTierDemand
hbw_pool_demand_total (const HbwPoolDemand *demand)
{
  HbwTierDemand total = { 0 };
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    add_tier (&total, &demand->tiers[i]);
  return total;
}
