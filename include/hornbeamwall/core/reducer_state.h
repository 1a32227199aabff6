/*
 * reducer_state - the state of the reducer, private to it
 *
 * For core/reducer*.c only.
 */
#ifndef HORNBEAMWALL_CORE_REDUCER_STATE_H
#define HORNBEAMWALL_CORE_REDUCER_STATE_H

#include "hornbeamwall/core/documents.h"
#include "hornbeamwall/core/freshness_monitor.h"
#include "hornbeamwall/core/ingress.h"
#include "hornbeamwall/core/reducer.h"
#include "hornbeamwall/core/server_list.h"
#include "hornbeamwall/core/suspect_archive.h"

struct HbwReducer
{
  HbwContext context;
  const HbwPolicy *policy;
  HbwDocuments *documents;
  HbwServerList *server_list;
  HbwIngress *ingress;
  HbwFreshnessMonitor *freshness_monitor;
  HbwSuspectArchive *suspect_archive;
  GHashTable *shards;            /* key text -> HbwShard */
  GHashTable *reported_versions; /* identity -> HbwReportedVersion */
  guint64 membership_epoch;      /* last one that was handled */
  gint64 last_tick_us;
  gint64 max_revocation_delay_us;
  gint64 drain_grace_us;
  gboolean store_up;
  gboolean draining;
  gboolean path_lost; /* to the servers, at the last tick */
  char name[HBW_NAME_MAX];
};

/* --- reducer.c ----------------------------------------------------------------- */

/* Passes the list of servers in force on to all shards. */
void hbw_reducer_update_shard_servers (HbwReducer *reducer);

void hbw_reducer_handle_drain (HbwReducer *reducer);

/* --- reducer_documents.c ------------------------------------------------------- */

/* Adopts DOCUMENT of another instance if it is valid and newer. */
void hbw_reducer_handle_document (HbwReducer *reducer, const HbwDocument *document);

/* Does so with one that was read from the store. */
void hbw_reducer_handle_document_read (HbwReducer *reducer,
                                       const HbwDocument *document);

/* Adopts the list of servers once it is due. */
void hbw_reducer_settle_servers (HbwReducer *reducer);

#endif
