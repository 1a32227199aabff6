#include "hornbeamwall/runtime/object_cache.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/net/store_client.h"
#include "hornbeamwall/runtime/store_outage.h"

typedef struct
{
  char *name;
  gint64 revision;
  json_t *value;
  gboolean in_current_list; /* applied since the current list began */
  gboolean missing;         /* not in the store, but in its grace period */
  gint64 missing_since_us;  /* first list without it */
  gboolean is_new;          /* its value has changed since it was last visited */
} Entry;

struct HbwObjectCache
{
  const char *kind;         /* of the objects; borrowed */
  GHashTable *entries;      /* name -> Entry */
  HbwStoreOutage outage;    /* of the store */
  gint64 first_response_us; /* first response of the store; 0 is none yet */
  gint64 last_sent_us;      /* when the call of the last response was sent */
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
hbw_object_cache_create (const char *kind, gint64 outage_min_us)
{
  HbwObjectCache *cache = g_new0 (HbwObjectCache, 1);
  cache->kind = kind;
  cache->outage.min_us = outage_min_us;
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
  hbw_store_outage_record_failure (&cache->outage);
}

static void
log_outage (const HbwObjectCache *cache, guint failures)
{
  char *text = g_strdup_printf (
      "kind=%s away_ms=%" G_GINT64_FORMAT
      " failures=%u missing=%u keep_ms=%" G_GINT64_FORMAT,
      cache->kind, cache->outage.duration_us / HBW_US_PER_MS, failures,
      cache->missing_count, HBW_OBJECT_CACHE_GRACE_US / HBW_US_PER_MS);
  hbw_log_write (HBW_LOG_STORE_OUTAGE, text);
  g_free (text);
}

gboolean
hbw_object_cache_record_store_response (HbwObjectCache *cache, gint64 sent_us,
                                        gint64 now_us)
{
  guint failures = cache->outage.failures;
  cache->last_sent_us = sent_us;
  if (cache->first_response_us == 0)
    cache->first_response_us = now_us;
  gboolean outage_ended = hbw_store_outage_record_response (&cache->outage, now_us);
  if (outage_ended)
    log_outage (cache, failures);
  return outage_ended;
}

void
hbw_object_cache_record_store_loss (HbwObjectCache *cache, gint64 now_us)
{
  hbw_store_outage_record_loss (&cache->outage, now_us);
  log_outage (cache, 0);
}

gboolean
hbw_object_cache_may_have_lapsed (const HbwObjectCache *cache, gint64 now_us)
{
  return hbw_store_outage_is_possible (&cache->outage, now_us);
}

gboolean
hbw_object_cache_is_store_failing (const HbwObjectCache *cache)
{
  return cache->outage.failures > 0;
}

static gboolean
in_grace_period (const HbwObjectCache *cache, gint64 now_us)
{
  return cache->outage.end_us > 0
         && now_us - cache->outage.end_us < HBW_OBJECT_CACHE_GRACE_US;
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
log_kept (const HbwObjectCache *cache, const Entry *entry)
{
  char *text = g_strdup_printf (
      "kind=%s name=\"%s\" away_ms=%" G_GINT64_FORMAT
      " returned_ago_ms=%" G_GINT64_FORMAT,
      cache->kind, entry->name, cache->outage.duration_us / HBW_US_PER_MS,
      (entry->missing_since_us - cache->outage.end_us) / HBW_US_PER_MS);
  hbw_log_write (HBW_LOG_ENTRY_KEPT, text);
  g_free (text);
}

static void
log_kept_end (const HbwObjectCache *cache, const Entry *entry, const char *outcome)
{
  char *text = g_strdup_printf (
      "kind=%s name=\"%s\" outcome=%s kept_ms=%" G_GINT64_FORMAT, cache->kind,
      entry->name, outcome,
      (cache->outage.last_response_us - entry->missing_since_us) / HBW_US_PER_MS);
  hbw_log_write (HBW_LOG_ENTRY_KEPT_END, text);
  g_free (text);
}

static void
set_missing (HbwObjectCache *cache, Entry *entry)
{
  if (entry->missing)
    return;
  entry->missing = TRUE;
  entry->missing_since_us = cache->outage.last_response_us;
  cache->missing_count++;
  cache->changed = TRUE;
  log_kept (cache, entry);
}

/* OUTCOME tells why ENTRY, if it was kept, is not any more. */
static void
clear_missing (HbwObjectCache *cache, Entry *entry, const char *outcome)
{
  if (!entry->missing)
    return;
  entry->missing = FALSE;
  cache->missing_count--;
  cache->changed = TRUE;
  log_kept_end (cache, entry, outcome);
}

/* Updates the counters for ENTRY, which the caller then frees. */
static void
record_removal (HbwObjectCache *cache, Entry *entry, const char *outcome)
{
  clear_missing (cache, entry, outcome);
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
      set_missing (cache, entry);
      return FALSE;
    }
  record_removal (cache, entry, "expired");
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
  clear_missing (cache, entry, "renewed");
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
  record_removal (cache, entry, "removed");
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
  record_removal (cache, entry, "expired");
  return TRUE;
}

void
hbw_object_cache_expire (HbwObjectCache *cache, gint64 sent_us)
{
  if (!in_grace_period (cache, sent_us) && cache->outage.failures == 0)
    g_hash_table_foreach_remove (cache->entries, remove_missing, cache);
}

gint64
hbw_object_cache_next_expiry (const HbwObjectCache *cache)
{
  return cache->missing_count > 0 ? cache->outage.end_us + HBW_OBJECT_CACHE_GRACE_US
                                  : G_MAXINT64;
}

guint
hbw_object_cache_missing_count (const HbwObjectCache *cache)
{
  return cache->missing_count;
}

guint
hbw_object_cache_outage_count (const HbwObjectCache *cache)
{
  return cache->outage.count;
}

gint64
hbw_object_cache_document_version (const HbwObjectCache *cache, gint64 era,
                                   gint64 revision)
{
  gboolean within_first_grace
      = cache->outage.last_response_us - cache->first_response_us
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
