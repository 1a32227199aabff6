#include "hornbeamwall/core/route.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>

/* A summary older than this is not used. */
#define SUMMARY_AGE_MAX_US (4 * HBW_US_PER_S)

/* The remote wait must be shorter than this part of the wait at home. */
#define SPILL_GAIN_FACTOR 0.5

/* How much longer the preferred shard for a prompt prefix may wait than another. */
#define PREFIX_PATIENCE_US (100 * HBW_US_PER_MS)

typedef struct
{
  HbwShardSummary summary;
  gint64 made_us;
} Known;

struct HbwRoute
{
  GHashTable *known; /* shard key text -> Known */
};

static const Known *
find (const HbwRoute *route, const HbwShardKey *key, gint64 now_us)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  const Known *known = g_hash_table_lookup (route->known, text);
  if (known == NULL || now_us - known->made_us > SUMMARY_AGE_MAX_US)
    return NULL;
  return known;
}

static gint64
wait_at (const HbwRoute *route, const HbwShardKey *key, HbwTier tier, gint64 now_us)
{
  const Known *known = find (route, key, now_us);
  return known != NULL ? known->summary.expected_wait_us[tier] : 0;
}

static void
choose_local (const HbwRoute *route, HbwContext *context, const HbwRequestSpec *spec,
              guint count, HbwShardKey *key)
{
  guint first = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  if (spec->prefix != 0)
    first = (guint) (spec->prefix % count);
  guint second = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  HbwShardKey other = *key;
  key->index = first;
  other.index = second;
  gint64 patience = spec->prefix != 0 ? PREFIX_PATIENCE_US : 0;
  gint64 first_wait = wait_at (route, key, spec->tier, context->now_us);
  gint64 second_wait = wait_at (route, &other, spec->tier, context->now_us);
  if (first_wait > second_wait + patience)
    key->index = second;
}

/* Picks among remote shards with free slots, each in proportion to them, so that
   nobody runs for the last one. */
static gboolean
is_worth_it (const Known *known, HbwTier tier, gint64 home_wait_us)
{
  return known != NULL && known->summary.free_slots > 0
         && (double) known->summary.expected_wait_us[tier]
                <= (double) home_wait_us * SPILL_GAIN_FACTOR;
}

static gboolean
choose_remote (const HbwRoute *route, HbwContext *context,
               const HbwTopology *topology, const HbwRequestSpec *spec,
               gint64 home_wait_us, HbwShardKey *key)
{
  const GPtrArray *centres = hbw_topology_data_centres (topology);
  guint total = 0;
  gboolean found = FALSE;
  for (guint i = 0; i < centres->len; i++)
    {
      HbwShardKey candidate = { .index = 0 };
      g_strlcpy (candidate.pool, spec->pool, sizeof candidate.pool);
      g_strlcpy (candidate.data_centre, g_ptr_array_index (centres, i),
                 sizeof candidate.data_centre);
      if (strcmp (candidate.data_centre, context->data_centre) == 0)
        continue;
      guint count
          = hbw_topology_shard_count (topology, spec->pool, candidate.data_centre);
      for (candidate.index = 0; candidate.index < count; candidate.index++)
        {
          const Known *known = find (route, &candidate, context->now_us);
          gboolean last_resort = home_wait_us == G_MAXINT64;
          if (!last_resort && !is_worth_it (known, spec->tier, home_wait_us))
            continue;
          guint weight = known != NULL ? known->summary.free_slots : 0;
          total += MAX (weight, 1);
          if ((guint) g_rand_int_range (context->random, 0, (gint32) total)
              < MAX (weight, 1))
            *key = candidate;
          found = TRUE;
        }
    }
  return found;
}

HbwRoute *
hbw_route_create (void)
{
  HbwRoute *route = g_new0 (HbwRoute, 1);
  route->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return route;
}

void
hbw_route_destroy (HbwRoute *route)
{
  g_hash_table_destroy (route->known);
  g_free (route);
}

void
hbw_route_learn (HbwRoute *route, const HbwShardSummary *summary, gint64 now_us)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (&summary->key, text, sizeof text);
  Known *known = g_hash_table_lookup (route->known, text);
  gint64 made_us = now_us - MAX (summary->age_us, 0);
  if (known != NULL && known->made_us >= made_us)
    return;
  if (known == NULL)
    {
      known = g_new0 (Known, 1);
      g_hash_table_insert (route->known, g_strdup (text), known);
    }
  known->summary = *summary;
  known->made_us = made_us;
}

gboolean
hbw_route_summary (const HbwRoute *route, const HbwShardKey *key, gint64 now_us,
                   HbwShardSummary *summary)
{
  const Known *known = find (route, key, now_us);
  if (known == NULL)
    return FALSE;
  *summary = known->summary;
  summary->age_us = now_us - known->made_us;
  return TRUE;
}

void
hbw_route_share (const HbwRoute *route, HbwContext *context, HbwPing *ping)
{
  guint size = g_hash_table_size (route->known);
  if (size == 0)
    return;
  guint skip = (guint) g_rand_int_range (context->random, 0, (gint32) size);
  for (guint round = 0; round < 2; round++)
    {
      GHashTableIter iter;
      gpointer value;
      guint at = 0;
      g_hash_table_iter_init (&iter, route->known);
      while (g_hash_table_iter_next (&iter, NULL, &value)
             && ping->summary_count < HBW_PING_SUMMARIES_MAX)
        {
          const Known *known = value;
          gboolean this_round = (at++ >= skip) == (round == 0);
          gint64 age = context->now_us - known->made_us;
          if (!this_round || age > SUMMARY_AGE_MAX_US)
            continue;
          HbwShardSummary *summary = &ping->summaries[ping->summary_count++];
          *summary = known->summary;
          summary->age_us = age;
        }
    }
}

gboolean
hbw_route_choose (const HbwRoute *route, HbwContext *context,
                  const HbwTopology *topology, const HbwRequestSpec *spec,
                  gboolean spill_allowed, HbwShardKey *key)
{
  memset (key, 0, sizeof *key);
  g_strlcpy (key->pool, spec->pool, sizeof key->pool);
  g_strlcpy (key->data_centre, context->data_centre, sizeof key->data_centre);
  guint count
      = hbw_topology_shard_count (topology, spec->pool, context->data_centre);
  gint64 home_wait_us = G_MAXINT64;
  if (count > 0)
    {
      choose_local (route, context, spec, count, key);
      home_wait_us = wait_at (route, key, spec->tier, context->now_us);
    }
  if (count > 0 && (!spill_allowed || home_wait_us < HBW_SPILL_WAIT_US))
    return TRUE;
  gboolean remote
      = choose_remote (route, context, topology, spec, home_wait_us, key);
  return remote || count > 0;
}
