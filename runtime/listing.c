#include "hornbeamwall/runtime/listing.h"

typedef struct
{
  char *name;
  gint64 revision;
  json_t *value;
  gboolean seen;    /* applied since the current list began */
  gboolean missing; /* not in the store, but in its grace period */
} Entry;

struct HbwListing
{
  GHashTable *entries; /* name -> Entry */
  gboolean away;       /* the last call to the store failed */
  gint64 back_us;      /* end of the last outage of the store; 0 is none */
  gint64 first_us;     /* first response of the store; 0 is none yet */
  gint64 now_us;       /* last response of the store */
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
hbw_change_clear (HbwChange *change)
{
  g_clear_pointer (&change->name, g_free);
  g_clear_pointer (&change->value, json_decref);
}

HbwListing *
hbw_listing_create (void)
{
  HbwListing *cache = g_new0 (HbwListing, 1);
  cache->entries = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return cache;
}

void
hbw_listing_destroy (HbwListing *cache)
{
  g_hash_table_destroy (cache->entries);
  g_free (cache);
}

void
hbw_listing_note_outage (HbwListing *cache)
{
  cache->away = TRUE;
}

void
hbw_listing_note_answer (HbwListing *cache, gint64 now_us)
{
  cache->now_us = now_us;
  if (cache->first_us == 0)
    cache->first_us = now_us;
  if (!cache->away)
    return;
  cache->away = FALSE;
  cache->back_us = now_us;
}

static gboolean
in_grace_period (const HbwListing *cache, gint64 now_us)
{
  return cache->back_us > 0 && now_us - cache->back_us < HBW_LISTING_GRACE_US;
}

static void
clear_in_current_list (gpointer key G_GNUC_UNUSED, gpointer value,
                       gpointer data G_GNUC_UNUSED)
{
  ((Entry *) value)->seen = FALSE;
}

void
hbw_listing_begin (HbwListing *cache)
{
  g_hash_table_foreach (cache->entries, clear_in_current_list, NULL);
}

static void
set_missing (HbwListing *cache, Entry *entry, gboolean missing)
{
  if (entry->missing == missing)
    return;
  entry->missing = missing;
  cache->missing_count += missing ? 1 : -1;
  cache->changed = TRUE;
}

/* Updates the counters for ENTRY, which the caller then frees. */
static void
record_removal (HbwListing *cache, Entry *entry)
{
  set_missing (cache, entry, FALSE);
  cache->changed = TRUE;
}

static gboolean
remove_unlisted (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwListing *cache = data;
  Entry *entry = value;
  if (entry->seen)
    return FALSE;
  if (in_grace_period (cache, cache->now_us))
    {
      set_missing (cache, entry, TRUE);
      return FALSE;
    }
  record_removal (cache, entry);
  return TRUE;
}

void
hbw_listing_end (HbwListing *cache)
{
  g_hash_table_foreach_remove (cache->entries, remove_unlisted, cache);
}

static void
store_entry (HbwListing *cache, HbwChange *change)
{
  Entry *entry = g_hash_table_lookup (cache->entries, change->name);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->name = g_strdup (change->name);
      g_hash_table_insert (cache->entries, entry->name, entry);
    }
  entry->seen = TRUE;
  set_missing (cache, entry, FALSE);
  if (entry->value != NULL && change->revision <= entry->revision)
    return;
  cache->changed
      |= entry->value == NULL || !json_equal (entry->value, change->value);
  json_decref (entry->value);
  entry->value = json_incref (change->value);
  entry->revision = change->revision;
}

static void
remove_entry (HbwListing *cache, const HbwChange *change)
{
  Entry *entry = g_hash_table_lookup (cache->entries, change->name);
  if (entry == NULL || change->revision < entry->revision)
    return;
  record_removal (cache, entry);
  g_hash_table_remove (cache->entries, change->name);
}

void
hbw_listing_apply (HbwListing *cache, HbwChange *change)
{
  if (change->value != NULL)
    store_entry (cache, change);
  else
    remove_entry (cache, change);
  hbw_change_clear (change);
}

static gboolean
remove_missing (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwListing *cache = data;
  Entry *entry = value;
  if (!entry->missing)
    return FALSE;
  record_removal (cache, entry);
  return TRUE;
}

void
hbw_listing_expire (HbwListing *cache, gint64 now_us)
{
  if (!in_grace_period (cache, now_us) && !cache->away)
    g_hash_table_foreach_remove (cache->entries, remove_missing, cache);
}

gint64
hbw_listing_next_expiry (const HbwListing *cache)
{
  return cache->missing_count > 0 ? cache->back_us + HBW_LISTING_GRACE_US
                                  : G_MAXINT64;
}

gint64
hbw_listing_version (const HbwListing *cache, gint64 revision)
{
  gboolean within_first_grace
      = cache->now_us - cache->first_us < HBW_LISTING_GRACE_US;
  gboolean complete = cache->missing_count == 0 && !within_first_grace;
  return 2 * revision + (complete ? 1 : 0);
}

gboolean
hbw_listing_take_changed (HbwListing *cache)
{
  gboolean changed = cache->changed;
  cache->changed = FALSE;
  return changed;
}

void
hbw_listing_foreach (HbwListing *cache,
                     void (*visit) (const HbwListed *object, void *data), void *data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, cache->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      const HbwListed object = { entry->name, entry->value, entry->missing };
      visit (&object, data);
    }
}
