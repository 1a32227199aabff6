/*
 * watch - threads that follow the platform's documents
 *
 * Every instance reads each document once at its start.  After that only the
 * watchers of the data centre keep a watch open; the others hear of changes from
 * their peers, so that calls to the platform do not grow with the fleet.
 */
#ifndef HORNBEAMWALL_RUNTIME_WATCH_H
#define HORNBEAMWALL_RUNTIME_WATCH_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwWatch HbwWatch;

/* Starts one thread for each document that the store of the settings keeps. */
HbwWatch *hbw_watch_create (HbwControl *control, const HbwSettings *settings,
                            HbwError *error);

/* Begins to end the threads, without waiting. */
void hbw_watch_stop (HbwWatch *watch);

/* Ends the threads; waits for calls in progress. */
void hbw_watch_destroy (HbwWatch *watch);

/* Returns the name of the object that holds a document. */
const char *hbw_watch_object_name (HbwDocumentKind kind);

#endif
