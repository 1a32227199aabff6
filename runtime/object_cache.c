#include "hornbeamwall/runtime/object_cache.h"

#include "hornbeamwall/net/store_client.h"

typedef struct
{
  char *name;
  gint64 revision;
  json_t *value;
  gboolean in_current_list; /* applied since the current list began */
  gboolean missing;         /* not in the store, but in its grace period */
  gboolean is_new;          /* its value has changed since it was last visited */
} Entry;

struct HbwObjectCache
{
  GHashTable *entries;       /* name -> Entry */
  gboolean store_failed;     /* the last call to the store failed */
  gint64 store_recovered_us; /* end of the last outage of the store; 0 is none */
  gint64 first_response_us;  /* first response of the store; 0 is none yet */
  gint64 last_response_us;   /* last response of the store */
  gint64 last_sent_us;       /* when its call was sent */
  guint missing_count;
  gboolean changed;
};

static void
entry_free (gpointer data)
{
  Entry *entry = data;
  json_decref (entry->value);
  g_free (entry->name);
  g_free (entry);
}

void
hbw_object_change_clear (HbwObjectChange *change)
{
  g_clear_pointer (&change->name, g_free);
  g_clear_pointer (&change->value, json_decref);
}

HbwObjectCache *
hbw_object_cache_create (void)
{
  HbwObjectCache *cache = g_new0 (HbwObjectCache, 1);
  cache->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return cache;
}

void
hbw_object_cache_destroy (HbwObjectCache *cache)
{
  g_hash_table_destroy (cache->entries);
  g_free (cache);
}

void
hbw_object_cache_record_store_failure (HbwObjectCache *cache)
{
  cache->store_failed = TRUE;
}

void
hbw_object_cache_record_store_response (HbwObjectCache *cache, gint64 sent_us,
                                        gint64 now_us)
{
  cache->last_sent_us = sent_us;
  cache->last_response_us = now_us;
  if (cache->first_response_us == 0)
    cache->first_response_us = now_us;
  if (!cache->store_failed)
    return;
  cache->store_failed = FALSE;
  cache->store_recovered_us = now_us;
}

static gboolean
in_grace_period (const HbwObjectCache *cache, gint64 now_us)
{
  return cache->store_recovered_us > 0
         && now_us - cache->store_recovered_us < HBW_OBJECT_CACHE_GRACE_US;
}

/* A list replaces the entry, whatever its revision: the store may have been restored
   from an older copy since. */
static void
prepare_for_list (gpointer key G_GNUC_UNUSED, gpointer value,
                  gpointer data G_GNUC_UNUSED)
{
  Entry *entry = value;
  entry->in_current_list = FALSE;
  entry->revision = 0;
}

void
hbw_object_cache_begin_list (HbwObjectCache *cache)
{
  g_hash_table_foreach (cache->entries, prepare_for_list, NULL);
}

static void
set_missing (HbwObjectCache *cache, Entry *entry, gboolean missing)
{
  if (entry->missing == missing)
    return;
  entry->missing = missing;
  cache->missing_count += missing ? 1 : -1;
  cache->changed = TRUE;
}

/* Updates the counters for ENTRY, which the caller then frees. */
static void
record_removal (HbwObjectCache *cache, Entry *entry)
{
  set_missing (cache, entry, FALSE);
  cache->changed = TRUE;
}

static gboolean
remove_unlisted (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwObjectCache *cache = data;
  Entry *entry = value;
  if (entry->in_current_list)
    return FALSE;
  if (in_grace_period (cache, cache->last_sent_us))
    {
      set_missing (cache, entry, TRUE);
      return FALSE;
    }
  record_removal (cache, entry);
  return TRUE;
}

void
hbw_object_cache_end_list (HbwObjectCache *cache)
{
  g_hash_table_foreach_remove (cache->entries, remove_unlisted, cache);
}

static void
store_entry (HbwObjectCache *cache, HbwObjectChange *change)
{
  Entry *entry = g_hash_table_lookup (cache->entries, change->name);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->name = g_strdup (change->name);
      g_hash_table_insert (cache->entries, entry->name, entry);
    }
  entry->in_current_list = TRUE;
  set_missing (cache, entry, FALSE);
  if (entry->value != NULL && change->revision <= entry->revision)
    return;
  gboolean is_new
      = entry->value == NULL || !json_equal (entry->value, change->value);
  cache->changed |= is_new;
  entry->is_new |= is_new;
  json_decref (entry->value);
  entry->value = json_incref (change->value);
  entry->revision = change->revision;
}

static void
remove_entry (HbwObjectCache *cache, const HbwObjectChange *change)
{
  Entry *entry = g_hash_table_lookup (cache->entries, change->name);
  if (entry == NULL || change->revision < entry->revision)
    return;
  record_removal (cache, entry);
  g_hash_table_remove (cache->entries, change->name);
}

void
hbw_object_cache_apply (HbwObjectCache *cache, HbwObjectChange *change)
{
  if (change->value != NULL)
    store_entry (cache, change);
  else
    remove_entry (cache, change);
  hbw_object_change_clear (change);
}

static gboolean
remove_missing (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwObjectCache *cache = data;
  Entry *entry = value;
  if (!entry->missing)
    return FALSE;
  record_removal (cache, entry);
  return TRUE;
}

void
hbw_object_cache_expire (HbwObjectCache *cache, gint64 sent_us)
{
  if (!in_grace_period (cache, sent_us) && !cache->store_failed)
    g_hash_table_foreach_remove (cache->entries, remove_missing, cache);
}

gint64
hbw_object_cache_next_expiry (const HbwObjectCache *cache)
{
  return cache->missing_count > 0
             ? cache->store_recovered_us + HBW_OBJECT_CACHE_GRACE_US
             : G_MAXINT64;
}

gint64
hbw_object_cache_document_version (const HbwObjectCache *cache, gint64 era,
                                   gint64 revision)
{
  gboolean within_first_grace = cache->last_response_us - cache->first_response_us
                                < HBW_OBJECT_CACHE_GRACE_US;
  gboolean complete = cache->missing_count == 0 && !within_first_grace;
  return hbw_store_version (era, 2 * revision + (complete ? 1 : 0));
}

gboolean
hbw_object_cache_test_and_clear_changed (HbwObjectCache *cache)
{
  gboolean changed = cache->changed;
  cache->changed = FALSE;
  return changed;
}

void
hbw_object_cache_foreach (HbwObjectCache *cache,
                          void (*visit) (const HbwCachedObject *object, void *data),
                          void *data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cache->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      const HbwCachedObject object
          = { entry->name, entry->value, entry->missing, entry->is_new };
      visit (&object, data);
      entry->is_new = FALSE;
    }
}
