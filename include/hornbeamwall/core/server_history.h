/*
 * server_history - backend servers that are leaving or have left the server list
 *
 * While the era of the platform's store is not settled (see store_era.h), the list
 * may show a server as it was before it left.  What was known before goes first
 * then.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_HISTORY_H
#define HORNBEAMWALL_CORE_SERVER_HISTORY_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/directory.h"

/* How long a server that has left is remembered. */
#define HBW_SERVER_HISTORY_KEEP_US (60 * HBW_US_PER_S)

typedef struct HbwServerHistory HbwServerHistory;

HbwServerHistory *hbw_server_history_create (void);
void hbw_server_history_destroy (HbwServerHistory *history);

/* An entry that is not renewed stays in the store for longer than this. */
#define HBW_SERVER_LAPSE_MIN_US (1 * HBW_US_PER_S)

/* Records SERVERS, an array of HbwServerEntry, as the list that is in force. */
void hbw_server_history_record (HbwServerHistory *history, const GPtrArray *servers,
                                gint64 now_us);

/* Returns whether a list showed the entry of the server ID a moment ago, so that it
   cannot have lapsed since: if it is missing, the server has removed it. */
gboolean hbw_server_history_was_just_renewed (const HbwServerHistory *history,
                                              const char *id, gint64 now_us);

/* Removes the servers from SERVERS that have left, and marks those as leaving that
   were leaving before.  Servers that have started again since are kept as they
   are. */
void hbw_server_history_apply (const HbwServerHistory *history, GPtrArray *servers);

#endif
