/*
 * snapshot - the catalogue in force, for traffic threads
 *
 * The control thread publishes; any thread acquires without waiting.  Readers are
 * covered by RCU until they hold a reference.
 */
#ifndef HORNBEAMWALL_RUNTIME_SNAPSHOT_H
#define HORNBEAMWALL_RUNTIME_SNAPSHOT_H

#include "hornbeamwall/core/catalogue.h"

typedef struct HbwSnapshot HbwSnapshot;

HbwSnapshot *hbw_snapshot_create (void);

/* Frees the snapshot; no thread may still use it. */
void hbw_snapshot_destroy (HbwSnapshot *snapshot);

/* Puts CATALOGUE in force, takes a reference and drops the one before. */
void hbw_snapshot_publish (HbwSnapshot *snapshot, HbwCatalogue *catalogue);

/* Returns a new reference, or NULL while there is no catalogue. */
HbwCatalogue *hbw_snapshot_acquire (HbwSnapshot *snapshot);

#endif
