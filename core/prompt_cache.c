#include "hornbeamwall/core/prompt_cache.h"

#include <urcu/list.h>

typedef struct
{
  struct cds_list_head link; /* least recently used first */
  guint64 hash;
} Part;

struct HbwPromptCache
{
  GHashTable *parts; /* hash -> Part */
  struct cds_list_head by_use;
};

static void
evict_least_recently_used (HbwPromptCache *cache)
{
  Part *part = cds_list_first_entry (&cache->by_use, Part, link);
  cds_list_del (&part->link);
  g_hash_table_remove (cache->parts, &part->hash);
}

HbwPromptCache *
hbw_prompt_cache_create (void)
{
  HbwPromptCache *cache = g_new0 (HbwPromptCache, 1);
  cache->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&cache->by_use);
  return cache;
}

void
hbw_prompt_cache_destroy (HbwPromptCache *cache)
{
  g_hash_table_destroy (cache->parts);
  g_free (cache);
}

void
hbw_prompt_cache_clear (HbwPromptCache *cache)
{
  CDS_INIT_LIST_HEAD (&cache->by_use);
  g_hash_table_remove_all (cache->parts);
}

void
hbw_prompt_cache_add_part (HbwPromptCache *cache, guint64 hash)
{
  Part *part = g_hash_table_lookup (cache->parts, &hash);
  if (part != NULL)
    cds_list_del (&part->link);
  else
    {
      if (g_hash_table_size (cache->parts) >= HBW_PROMPT_CACHE_PARTS_MAX)
        evict_least_recently_used (cache);
      part = g_new0 (Part, 1);
      part->hash = hash;
      g_hash_table_insert (cache->parts, &part->hash, part);
    }
  cds_list_add_tail (&part->link, &cache->by_use);
}

void
hbw_prompt_cache_add_prompt (HbwPromptCache *cache, const HbwRequestSpec *spec)
{
  for (guint i = 0; i < spec->part_count; i++)
    hbw_prompt_cache_add_part (cache, spec->parts[i].hash);
}

guint
hbw_prompt_cache_count_cached_tokens (const HbwPromptCache *cache,
                                      const HbwRequestSpec *spec)
{
  guint tokens = 0;
  for (guint i = 0; i < spec->part_count; i++)
    {
      if (!g_hash_table_contains (cache->parts, &spec->parts[i].hash))
        return tokens;
      tokens += spec->parts[i].tokens;
    }
  return tokens;
}
