/*
 * reducer_state - the state of the reducer, private to it
 *
 * For core/reducer*.c only.
 */
#ifndef HORNBEAMWALL_CORE_REDUCER_STATE_H
#define HORNBEAMWALL_CORE_REDUCER_STATE_H

#include "hornbeamwall/core/documents/documents.h"
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
  gint64 drain_waiting_us;
  gboolean store_up;
  gboolean draining;
  gboolean path_lost; /* to the servers, at the last tick */
  char name[HBW_NAME_MAX];
};

/* --- reducer.c ----------------------------------------------------------------- */

/* Passes the list of servers in force on to all shards. */
void hbw_reducer_update_shard_servers (HbwReducer *reducer);

void hbw_reducer_handle_drain (HbwReducer *reducer);

/* Returns the instance that schedules the shard KEY; DATA is the reducer. */
guint64 hbw_reducer_find_owner (const HbwShardKey *key, void *data);

/* Returns the shard that this instance holds, or NULL. */
HbwShard *hbw_reducer_find_shard (const HbwReducer *reducer, const HbwShardKey *key);

/* The same; creates the shard if this instance does not hold it yet. */
HbwShard *hbw_reducer_ensure_shard (HbwReducer *reducer, const HbwShardKey *key);

/* Notes the era NUMBER of the store, which has lasted for AGE_US at least. */
void hbw_reducer_observe_store_era (HbwReducer *reducer, gint64 number,
                                    gint64 age_us);

/* --- reducer_messages.c -------------------------------------------------------- */

void hbw_reducer_handle_message (HbwReducer *reducer, const HbwMessage *message);

/* --- reducer_duties.c ---------------------------------------------------------- */

/* Creates the duty lease and its tasks as far as CONFIG asks for them. */
void hbw_reducer_create_duties (HbwReducer *reducer, const HbwReducerConfig *config);
void hbw_reducer_destroy_duties (HbwReducer *reducer);

void hbw_reducer_tick_duties (HbwReducer *reducer);

/* Handles the result of an effect of the duty lease. */
void hbw_reducer_handle_duty_event (HbwReducer *reducer, const HbwEvent *event);

/* Handles a message that concerns the lease or one of its tasks. */
void hbw_reducer_handle_duty_message (HbwReducer *reducer,
                                      const HbwMessage *message);

/* --- reducer_documents.c ------------------------------------------------------- */

/* Adopts DOCUMENT of the instance FROM if it is valid and newer. */
void hbw_reducer_handle_document (HbwReducer *reducer, const HbwDocument *document,
                                  guint64 from);

/* Does so with one that was read from the store. */
void hbw_reducer_handle_document_read (HbwReducer *reducer,
                                       const HbwDocument *document);

/* Adopts the list of servers once it is due. */
void hbw_reducer_settle_servers (HbwReducer *reducer);

#endif
