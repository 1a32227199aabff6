#include "hornbeamwall/core/shard_router.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>

/* Older summaries are ignored. */
#define SUMMARY_AGE_MAX_US (4 * HBW_US_PER_S)

/* Largest remote wait for a spill, as a fraction of the wait in this data centre. */
#define SPILL_GAIN_FACTOR 0.5

/* How much longer the expected wait may be at the shard with cache affinity for the
   prompt prefix than at another one. */
#define PREFIX_AFFINITY_WAIT_MAX_US (100 * HBW_US_PER_MS)

typedef struct
{
  HbwShardSummary summary;
  gint64 created_us;
} KnownSummary;

struct HbwShardRouter
{
  GHashTable *known_summaries; /* shard key text -> KnownSummary */
};

static const KnownSummary *
find_fresh_summary (const HbwShardRouter *router, const HbwShardKey *key,
                    gint64 now_us)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  const KnownSummary *entry = g_hash_table_lookup (router->known_summaries, text);
  if (entry == NULL || now_us - entry->created_us > SUMMARY_AGE_MAX_US)
    return NULL;
  return entry;
}

static gint64
expected_wait_at (const HbwShardRouter *router, const HbwShardKey *key, HbwTier tier,
                  gint64 now_us)
{
  const KnownSummary *entry = find_fresh_summary (router, key, now_us);
  return entry != NULL ? entry->summary.expected_wait_us[tier] : 0;
}

static void
select_local (const HbwShardRouter *router, HbwContext *context,
              const HbwRequestSpec *spec, guint count, HbwShardKey *key)
{
  guint first = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  if (spec->prefix_hash != 0)
    first = (guint) (spec->prefix_hash % count);
  guint second = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  HbwShardKey other = *key;
  key->index = first;
  other.index = second;
  gint64 affinity_wait_max_us
      = spec->prefix_hash != 0 ? PREFIX_AFFINITY_WAIT_MAX_US : 0;
  gint64 first_wait = expected_wait_at (router, key, spec->tier, context->now_us);
  gint64 second_wait
      = expected_wait_at (router, &other, spec->tier, context->now_us);
  if (first_wait > second_wait + affinity_wait_max_us)
    key->index = second;
}

static gboolean
is_spill_worthwhile (const KnownSummary *entry, HbwTier tier, gint64 local_wait_us)
{
  return entry != NULL && entry->summary.free_slots > 0
         && (double) entry->summary.expected_wait_us[tier]
                <= (double) local_wait_us * SPILL_GAIN_FACTOR;
}

/* Selects a remote shard at random, weighted by its free slots, so that instances do
   not all select the same one. */
static gboolean
select_remote (const HbwShardRouter *router, HbwContext *context,
               const HbwTopology *topology, const HbwRequestSpec *spec,
               gint64 local_wait_us, HbwShardKey *key)
{
  const GPtrArray *data_centres = hbw_topology_data_centres (topology);
  guint total = 0;
  gboolean found = FALSE;
  for (guint i = 0; i < data_centres->len; i++)
    {
      HbwShardKey candidate = { .index = 0 };
      g_strlcpy (candidate.pool, spec->pool, sizeof candidate.pool);
      g_strlcpy (candidate.data_centre, g_ptr_array_index (data_centres, i),
                 sizeof candidate.data_centre);
      if (strcmp (candidate.data_centre, context->data_centre) == 0)
        continue;
      guint count
          = hbw_topology_shard_count (topology, spec->pool, candidate.data_centre);
      for (candidate.index = 0; candidate.index < count; candidate.index++)
        {
          const KnownSummary *entry
              = find_fresh_summary (router, &candidate, context->now_us);
          gboolean last_resort = local_wait_us == G_MAXINT64;
          if (!last_resort
              && !is_spill_worthwhile (entry, spec->tier, local_wait_us))
            continue;
          guint weight = entry != NULL ? entry->summary.free_slots : 0;
          total += MAX (weight, 1);
          if ((guint) g_rand_int_range (context->random, 0, (gint32) total)
              < MAX (weight, 1))
            *key = candidate;
          found = TRUE;
        }
    }
  return found;
}

HbwShardRouter *
hbw_shard_router_create (void)
{
  HbwShardRouter *router = g_new0 (HbwShardRouter, 1);
  router->known_summaries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return router;
}

void
hbw_shard_router_destroy (HbwShardRouter *router)
{
  g_hash_table_destroy (router->known_summaries);
  g_free (router);
}

void
hbw_shard_router_update_summary (HbwShardRouter *router,
                                 const HbwShardSummary *summary, gint64 now_us)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (&summary->key, text, sizeof text);
  KnownSummary *entry = g_hash_table_lookup (router->known_summaries, text);
  gint64 made_us = now_us - MAX (summary->age_us, 0);
  if (entry != NULL && entry->created_us >= made_us)
    return;
  if (entry == NULL)
    {
      entry = g_new0 (KnownSummary, 1);
      g_hash_table_insert (router->known_summaries, g_strdup (text), entry);
    }
  entry->summary = *summary;
  entry->created_us = made_us;
}

gboolean
hbw_shard_router_find_summary (const HbwShardRouter *router, const HbwShardKey *key,
                               gint64 now_us, HbwShardSummary *summary)
{
  const KnownSummary *entry = find_fresh_summary (router, key, now_us);
  if (entry == NULL)
    return FALSE;
  *summary = entry->summary;
  summary->age_us = now_us - entry->created_us;
  return TRUE;
}

void
hbw_shard_router_add_summaries (const HbwShardRouter *router, HbwContext *context,
                                HbwPing *ping)
{
  guint size = g_hash_table_size (router->known_summaries);
  if (size == 0)
    return;
  guint skip = (guint) g_rand_int_range (context->random, 0, (gint32) size);
  /* The second round adds the summaries before the random start. */
  for (guint round = 0; round < 2; round++)
    {
      GHashTableIter iter;
      gpointer value;
      guint position = 0;
      g_hash_table_iter_init (&iter, router->known_summaries);
      while (g_hash_table_iter_next (&iter, NULL, &value)
             && ping->summary_count < HBW_PING_SUMMARIES_MAX)
        {
          const KnownSummary *entry = value;
          gboolean this_round = (position++ >= skip) == (round == 0);
          gint64 age = context->now_us - entry->created_us;
          if (!this_round || age > SUMMARY_AGE_MAX_US)
            continue;
          HbwShardSummary *summary = &ping->summaries[ping->summary_count++];
          *summary = entry->summary;
          summary->age_us = age;
        }
    }
}

gboolean
hbw_shard_router_select_shard (const HbwShardRouter *router, HbwContext *context,
                               const HbwTopology *topology,
                               const HbwRequestSpec *spec, gboolean spill_allowed,
                               HbwShardKey *key)
{
  memset (key, 0, sizeof *key);
  g_strlcpy (key->pool, spec->pool, sizeof key->pool);
  g_strlcpy (key->data_centre, context->data_centre, sizeof key->data_centre);
  guint count
      = hbw_topology_shard_count (topology, spec->pool, context->data_centre);
  gint64 local_wait_us = G_MAXINT64;
  if (count > 0)
    {
      select_local (router, context, spec, count, key);
      local_wait_us = expected_wait_at (router, key, spec->tier, context->now_us);
    }
  if (count > 0 && (!spill_allowed || local_wait_us < HBW_SPILL_WAIT_MIN_US))
    return TRUE;
  gboolean remote
      = select_remote (router, context, topology, spec, local_wait_us, key);
  return remote || count > 0;
}
