/*
 * suspect_store - reads and writes the suspects in the platform's store, on its own
 * thread
 *
 * The object is read once at the start.  A write replaces the version that the
 * reducer knows; if that is not the current one, or the result is not known, the
 * object is read again, so that the reducer can merge it.
 */
#ifndef HORNBEAMWALL_RUNTIME_SUSPECT_STORE_H
#define HORNBEAMWALL_RUNTIME_SUSPECT_STORE_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwSuspectStore HbwSuspectStore;

/* Starts the thread.  Returns NULL and sets ERROR if that is not possible. */
HbwSuspectStore *hbw_suspect_store_create (HbwControl *control,
                                           const HbwSettings *settings,
                                           HbwError *error);

/* Waits for the call in progress to end. */
void hbw_suspect_store_destroy (HbwSuspectStore *store);

/* Queues a write; its result is submitted as HBW_EVENT_SUSPECTS_WRITTEN.  Only the
   control thread may call this. */
void hbw_suspect_store_enqueue (HbwSuspectStore *store,
                                const HbwStoreSuspects *write);

/* The same for a read, which is tried until it succeeds; its result is submitted as
   HBW_EVENT_SUSPECTS_READ. */
void hbw_suspect_store_enqueue_read (HbwSuspectStore *store);

#endif
