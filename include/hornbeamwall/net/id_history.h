/*
 * id_history - ids of the requests that a connection has carried
 *
 * Only hashes of the ids are kept, so that an id may rarely be taken for one that
 * was carried.
 */
#ifndef HORNBEAMWALL_NET_ID_HISTORY_H
#define HORNBEAMWALL_NET_ID_HISTORY_H

#include <glib.h>

/* Ids that a history may have.  The connection is closed after as many requests. */
#define HBW_ID_HISTORY_MAX 512

typedef struct HbwIdHistory HbwIdHistory;

HbwIdHistory *hbw_id_history_create (void);
void hbw_id_history_destroy (HbwIdHistory *history);

/* Adds ID, which may be NULL or "" if the request has none. */
void hbw_id_history_add (HbwIdHistory *history, const char *id);

gboolean hbw_id_history_has (const HbwIdHistory *history, const char *id);

/* Returns the number of requests. */
guint hbw_id_history_count (const HbwIdHistory *history);

#endif
