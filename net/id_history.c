#include "hornbeamwall/net/id_history.h"

#include <string.h>
#include <xxhash.h>

struct HbwIdHistory
{
  GArray *hashes; /* guint64; 0 is a request without an id */
};

static guint64
hash_id (const char *id)
{
  return MAX (1, XXH3_64bits (id, strlen (id)));
}

HbwIdHistory *
hbw_id_history_create (void)
{
  HbwIdHistory *history = g_new0 (HbwIdHistory, 1);
  history->hashes = g_array_new (FALSE, FALSE, sizeof (guint64));
  return history;
}

void
hbw_id_history_destroy (HbwIdHistory *history)
{
  g_array_free (history->hashes, TRUE);
  g_free (history);
}

void
hbw_id_history_add (HbwIdHistory *history, const char *id)
{
  guint64 hash = id != NULL && *id != '\0' ? hash_id (id) : 0;
  g_array_append_val (history->hashes, hash);
}

gboolean
hbw_id_history_has (const HbwIdHistory *history, const char *id)
{
  guint64 hash = hash_id (id);
  for (guint i = 0; i < history->hashes->len; i++)
    if (g_array_index (history->hashes, guint64, i) == hash)
      return TRUE;
  return FALSE;
}

guint
hbw_id_history_count (const HbwIdHistory *history)
{
  return history->hashes->len;
}
