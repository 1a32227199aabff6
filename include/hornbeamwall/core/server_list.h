/*
 * server_list - the list of backend servers that is in force
 *
 * A list that is read from the platform's store replaces the one in force, except
 * for what that one knows better: servers that are leaving or have left.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_LIST_H
#define HORNBEAMWALL_CORE_SERVER_LIST_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/store_era.h"
#include "hornbeamwall/core/topology.h"

typedef struct HbwServerList HbwServerList;

/* Creates an empty list.  DATA_CENTRE is that of hbw_topology_create(), NULL or
   borrowed. */
HbwServerList *hbw_server_list_create (const char *data_centre);
void hbw_server_list_destroy (HbwServerList *list);

/* Replaces the list by the document TEXT, read in ERA of the store.  Returns FALSE
   and sets ERROR if it is not valid. */
gboolean hbw_server_list_adopt (HbwServerList *list, const char *text, gsize length,
                                const HbwStoreEra *era, gint64 now_us,
                                HbwError *error);

/* Returns whether the list was adopted before ERA was settled, and ERA is settled
   now: the document then has to be adopted again. */
gboolean hbw_server_list_is_due (const HbwServerList *list, const HbwStoreEra *era,
                                 gint64 now_us);

/* Returns the servers of the list by shard, or NULL before the first one. */
HbwTopology *hbw_server_list_topology (const HbwServerList *list);

#endif
