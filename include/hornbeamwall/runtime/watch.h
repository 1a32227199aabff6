/*
 * watch - threads that read and watch the documents in the platform's store
 *
 * Every instance reads each document once at startup.  After that only a few
 * instances of each data centre, the watchers, keep a watch open; see
 * hbw_reducer_is_store_watcher().  The other instances receive changes through
 * gossip, so that the number of calls to the store does not grow with the number of
 * instances.
 */
#ifndef HORNBEAMWALL_RUNTIME_WATCH_H
#define HORNBEAMWALL_RUNTIME_WATCH_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwWatch HbwWatch;

/* Starts one thread for each document that the configured store provides. */
HbwWatch *hbw_watch_create (HbwControl *control, const HbwSettings *settings,
                            HbwError *error);

/* Tells the threads to stop without waiting for them. */
void hbw_watch_stop (HbwWatch *watch);

/* Stops the threads and waits for calls in progress. */
void hbw_watch_destroy (HbwWatch *watch);

/* Returns the name of the store object that holds the document KIND. */
const char *hbw_watch_object_name (HbwDocumentKind kind);

#endif
