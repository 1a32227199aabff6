#include "hornbeamwall/core/retry_budget.h"

/* Slices of a window.  One more is kept, because the oldest is partly outside of the
   window. */
#define SLICE_COUNT 10

typedef struct
{
  gint64 number; /* time divided by the length of a slice */
  guint requests;
  guint retry_count;
} Slice;

typedef struct
{
  Slice slices[SLICE_COUNT + 1];
} PoolUsage;

struct HbwRetryBudget
{
  HbwRetryLimits limits;
  GHashTable *usage_by_pool; /* pool -> PoolUsage */
};

static PoolUsage *
ensure_usage (HbwRetryBudget *budget, const char *pool)
{
  PoolUsage *usage = g_hash_table_lookup (budget->usage_by_pool, pool);
  if (usage != NULL)
    return usage;
  usage = g_new0 (PoolUsage, 1);
  g_hash_table_insert (budget->usage_by_pool, g_strdup (pool), usage);
  return usage;
}

static gint64
slice_number (const HbwRetryBudget *budget, gint64 now_us)
{
  return now_us / MAX (1, budget->limits.window_us / SLICE_COUNT);
}

static Slice *
current_slice (const HbwRetryBudget *budget, PoolUsage *usage, gint64 now_us)
{
  gint64 number = slice_number (budget, now_us);
  Slice *slice = &usage->slices[number % (SLICE_COUNT + 1)];
  if (slice->number != number)
    *slice = (Slice){ .number = number };
  return slice;
}

HbwRetryBudget *
hbw_retry_budget_create (const HbwRetryLimits *limits)
{
  HbwRetryBudget *budget = g_new0 (HbwRetryBudget, 1);
  budget->limits = *limits;
  budget->usage_by_pool
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budget;
}

void
hbw_retry_budget_destroy (HbwRetryBudget *budget)
{
  g_hash_table_destroy (budget->usage_by_pool);
  g_free (budget);
}

void
hbw_retry_budget_count_request (HbwRetryBudget *budget, const char *pool,
                                gint64 now_us)
{
  current_slice (budget, ensure_usage (budget, pool), now_us)->requests++;
}

gboolean
hbw_retry_budget_allows (const HbwRetryBudget *budget, const char *pool,
                         guint members, gint64 now_us)
{
  const PoolUsage *usage = g_hash_table_lookup (budget->usage_by_pool, pool);
  gint64 number = slice_number (budget, now_us);
  guint requests = 0;
  guint retries = 0;
  for (guint i = 0; usage != NULL && i <= SLICE_COUNT; i++)
    {
      const Slice *slice = &usage->slices[i];
      if (number - slice->number > SLICE_COUNT)
        continue;
      retries += slice->retry_count;
      if (number - slice->number < SLICE_COUNT)
        requests += slice->requests;
    }
  guint share = budget->limits.extra / MAX (members, HBW_RETRY_MEMBERS_MIN);
  return retries + 1 <= requests * budget->limits.percent / 100 + share;
}

gboolean
hbw_retry_budget_consume (HbwRetryBudget *budget, const char *pool, guint members,
                          gint64 now_us)
{
  if (!hbw_retry_budget_allows (budget, pool, members, now_us))
    return FALSE;
  current_slice (budget, ensure_usage (budget, pool), now_us)->retry_count++;
  return TRUE;
}
