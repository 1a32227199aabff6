/*
 * snapshot - the current catalogue, shared with the traffic threads
 *
 * The control thread publishes a catalogue; any thread acquires it without blocking.
 * RCU protects a reader until it holds its own reference.
 */
#ifndef HORNBEAMWALL_RUNTIME_SNAPSHOT_H
#define HORNBEAMWALL_RUNTIME_SNAPSHOT_H

#include "hornbeamwall/core/catalogue.h"

typedef struct HbwSnapshot HbwSnapshot;

HbwSnapshot *hbw_snapshot_create (void);

/* Frees the snapshot; no thread may still use it. */
void hbw_snapshot_destroy (HbwSnapshot *snapshot);

/* Makes CATALOGUE the current one.  Takes a reference and drops the one to the
   previous catalogue; blocks until no reader uses that any more. */
void hbw_snapshot_publish (HbwSnapshot *snapshot, HbwCatalogue *catalogue);

/* Returns a new reference, or NULL if no catalogue was published yet. */
HbwCatalogue *hbw_snapshot_acquire (HbwSnapshot *snapshot);

#endif
