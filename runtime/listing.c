#include "hornbeamwall/runtime/listing.h"

typedef struct
{
  char *name;
  gint64 revision;
  json_t *value;
  gboolean seen;    /* in the reading that is under way */
  gboolean missing; /* kept although it is not in the store */
} Entry;

struct HbwListing
{
  GHashTable *entries; /* name -> Entry */
  gboolean away;       /* the store did not answer last */
  gint64 back_us;      /* when it answered again; 0 is never away */
  gint64 first_us;     /* when it answered first; 0 is not yet */
  gint64 now_us;       /* of the last answer */
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
  HbwListing *listing = g_new0 (HbwListing, 1);
  listing->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return listing;
}

void
hbw_listing_destroy (HbwListing *listing)
{
  g_hash_table_destroy (listing->entries);
  g_free (listing);
}

void
hbw_listing_note_outage (HbwListing *listing)
{
  listing->away = TRUE;
}

void
hbw_listing_note_answer (HbwListing *listing, gint64 now_us)
{
  listing->now_us = now_us;
  if (listing->first_us == 0)
    listing->first_us = now_us;
  if (!listing->away)
    return;
  listing->away = FALSE;
  listing->back_us = now_us;
}

static gboolean
in_grace (const HbwListing *listing, gint64 now_us)
{
  return listing->back_us > 0 && now_us - listing->back_us < HBW_LISTING_GRACE_US;
}

static void
mark_unseen (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
  ((Entry *) value)->seen = FALSE;
}

void
hbw_listing_begin (HbwListing *listing)
{
  g_hash_table_foreach (listing->entries, mark_unseen, NULL);
}

static void
set_missing (HbwListing *listing, Entry *entry, gboolean missing)
{
  if (entry->missing == missing)
    return;
  entry->missing = missing;
  listing->missing_count += missing ? 1 : -1;
  listing->changed = TRUE;
}

/* ENTRY is about to be freed. */
static void
note_removal (HbwListing *listing, Entry *entry)
{
  set_missing (listing, entry, FALSE);
  listing->changed = TRUE;
}

static gboolean
is_lost (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwListing *listing = data;
  Entry *entry = value;
  if (entry->seen)
    return FALSE;
  if (in_grace (listing, listing->now_us))
    {
      set_missing (listing, entry, TRUE);
      return FALSE;
    }
  note_removal (listing, entry);
  return TRUE;
}

void
hbw_listing_end (HbwListing *listing)
{
  g_hash_table_foreach_remove (listing->entries, is_lost, listing);
}

static void
set_entry (HbwListing *listing, HbwChange *change)
{
  Entry *entry = g_hash_table_lookup (listing->entries, change->name);
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->name = g_strdup (change->name);
      g_hash_table_insert (listing->entries, entry->name, entry);
    }
  entry->seen = TRUE;
  set_missing (listing, entry, FALSE);
  if (entry->value != NULL && change->revision <= entry->revision)
    return;
  listing->changed
      |= entry->value == NULL || !json_equal (entry->value, change->value);
  json_decref (entry->value);
  entry->value = json_incref (change->value);
  entry->revision = change->revision;
}

static void
remove_entry (HbwListing *listing, const HbwChange *change)
{
  Entry *entry = g_hash_table_lookup (listing->entries, change->name);
  if (entry == NULL || change->revision < entry->revision)
    return;
  note_removal (listing, entry);
  g_hash_table_remove (listing->entries, change->name);
}

void
hbw_listing_apply (HbwListing *listing, HbwChange *change)
{
  if (change->value != NULL)
    set_entry (listing, change);
  else
    remove_entry (listing, change);
  hbw_change_clear (change);
}

static gboolean
is_missing (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  HbwListing *listing = data;
  Entry *entry = value;
  if (!entry->missing)
    return FALSE;
  note_removal (listing, entry);
  return TRUE;
}

void
hbw_listing_expire (HbwListing *listing, gint64 now_us)
{
  if (!in_grace (listing, now_us) && !listing->away)
    g_hash_table_foreach_remove (listing->entries, is_missing, listing);
}

gint64
hbw_listing_next_expiry (const HbwListing *listing)
{
  return listing->missing_count > 0 ? listing->back_us + HBW_LISTING_GRACE_US
                                    : G_MAXINT64;
}

gint64
hbw_listing_version (const HbwListing *listing, gint64 revision)
{
  gboolean young = listing->now_us - listing->first_us < HBW_LISTING_GRACE_US;
  gboolean complete = listing->missing_count == 0 && !young;
  return 2 * revision + (complete ? 1 : 0);
}

gboolean
hbw_listing_take_changed (HbwListing *listing)
{
  gboolean changed = listing->changed;
  listing->changed = FALSE;
  return changed;
}

void
hbw_listing_foreach (HbwListing *listing,
                     void (*visit) (const HbwListed *listed, void *data), void *data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, listing->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      const HbwListed listed = { entry->name, entry->value, entry->missing };
      visit (&listed, data);
    }
}
