#include "hornbeamwall/core/server_history.h"

typedef struct
{
  guint64 start_number;
  gboolean leaving;
  gboolean listed;
  gint64 listed_us;  /* last time at which it was */
  gint64 renewed_us; /* last time at which it was, and its entry had not lapsed */
} Record;

struct HbwServerHistory
{
  GHashTable *records; /* server id -> Record */
};

HbwServerHistory *
hbw_server_history_create (void)
{
  HbwServerHistory *history = g_new0 (HbwServerHistory, 1);
  history->records = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return history;
}

void
hbw_server_history_destroy (HbwServerHistory *history)
{
  g_hash_table_destroy (history->records);
  g_free (history);
}

/* Sets the record to not listed, and returns whether it is not needed any more. */
static gboolean
remove_old (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Record *record = value;
  const gint64 *now_us = data;
  if (record->listed)
    record->listed_us = *now_us;
  record->listed = FALSE;
  return *now_us - record->listed_us > HBW_SERVER_HISTORY_KEEP_US;
}

void
hbw_server_history_record (HbwServerHistory *history, const GPtrArray *servers,
                           gint64 now_us)
{
  g_hash_table_foreach_remove (history->records, remove_old, &now_us);
  for (guint i = 0; i < servers->len; i++)
    {
      const HbwServerEntry *entry = g_ptr_array_index (servers, i);
      Record *record = g_hash_table_lookup (history->records, entry->id);
      if (record == NULL)
        {
          record = g_new0 (Record, 1);
          g_hash_table_insert (history->records, g_strdup (entry->id), record);
        }
      record->start_number = entry->start_number;
      record->leaving = entry->leaving;
      record->listed = TRUE;
      if (!entry->expired)
        record->renewed_us = now_us;
    }
}

gboolean
hbw_server_history_was_just_renewed (const HbwServerHistory *history, const char *id,
                                     gint64 now_us)
{
  const Record *record = g_hash_table_lookup (history->records, id);
  return record != NULL && record->renewed_us > 0
         && now_us - record->renewed_us < HBW_SERVER_LAPSE_MIN_US;
}

void
hbw_server_history_apply (const HbwServerHistory *history, GPtrArray *servers)
{
  for (guint i = servers->len; i > 0; i--)
    {
      HbwServerEntry *entry = g_ptr_array_index (servers, i - 1);
      const Record *record = g_hash_table_lookup (history->records, entry->id);
      if (record == NULL || entry->start_number > record->start_number)
        continue;
      entry->leaving |= record->leaving;
      if (!record->listed)
        g_ptr_array_remove_index (servers, i - 1);
    }
}
