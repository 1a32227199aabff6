#include "hornbeamwall/core/server_list.h"

#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/core/server_history.h"

struct HbwServerList
{
  const char *data_centre;
  HbwTopology *topology; /* NULL before the first list */
  HbwServerHistory *history;
  gboolean is_unsettled; /* adopted in an era that was not settled */
};

HbwServerList *
hbw_server_list_create (const char *data_centre)
{
  HbwServerList *list = g_new0 (HbwServerList, 1);
  list->data_centre = data_centre;
  list->history = hbw_server_history_create ();
  return list;
}

void
hbw_server_list_destroy (HbwServerList *list)
{
  g_clear_pointer (&list->topology, hbw_topology_destroy);
  hbw_server_history_destroy (list->history);
  g_free (list);
}

/* Returns whether the list in force has the server of ENTRY, with the same start
   number, and gives it new work. */
static gboolean
is_in_service (const HbwServerList *list, const HbwServerEntry *entry)
{
  HbwShardKey key;
  const HbwServerEntry *known
      = list->topology != NULL
            ? hbw_topology_find_server (list->topology, entry->id, &key)
            : NULL;
  return known != NULL && !known->leaving
         && known->start_number == entry->start_number;
}

/* Drops expired entries of servers that the list in force does not show in service,
   or showed a moment ago.  The instance that read this list may have lost contact
   with the store while others saw the server leave. */
static void
drop_expired (const HbwServerList *list, GPtrArray *servers, gint64 now_us)
{
  for (guint i = servers->len; i > 0; i--)
    {
      const HbwServerEntry *entry = g_ptr_array_index (servers, i - 1);
      gboolean may_have_lapsed = is_in_service (list, entry)
                                 && !hbw_server_history_was_just_renewed (
                                     list->history, entry->id, now_us);
      if (entry->expired && !may_have_lapsed)
        g_ptr_array_remove_index (servers, i - 1);
    }
}

gboolean
hbw_server_list_adopt (HbwServerList *list, const char *text, gsize length,
                       const HbwStoreEra *era, gint64 now_us, HbwError *error)
{
  GPtrArray *servers = hbw_directory_parse_servers (text, length, error);
  if (servers == NULL)
    return FALSE;
  drop_expired (list, servers, now_us);
  list->is_unsettled = !hbw_store_era_is_settled (era, now_us);
  if (list->is_unsettled)
    hbw_server_history_apply (list->history, servers);
  hbw_server_history_record (list->history, servers, now_us);
  g_clear_pointer (&list->topology, hbw_topology_destroy);
  list->topology = hbw_topology_create (servers, list->data_centre);
  return TRUE;
}

gboolean
hbw_server_list_is_due (const HbwServerList *list, const HbwStoreEra *era,
                        gint64 now_us)
{
  return list->is_unsettled && hbw_store_era_is_settled (era, now_us);
}

HbwTopology *
hbw_server_list_topology (const HbwServerList *list)
{
  return list->topology;
}
