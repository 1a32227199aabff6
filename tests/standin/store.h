/*
 * store - simulated object store of the native interface; objects.h simulates that
 * of the users' platform
 *
 * It keeps named, versioned objects in memory, supports conditional writes and
 * long-polling watches, and can simulate faults.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_STORE_H
#define HORNBEAMWALL_TESTS_STANDIN_STORE_H

#include <glib.h>

typedef struct Store Store;

/* Listens on ADDRESS, an IP address and port; port 0 selects a free port. */
Store *store_create (const char *address);
void store_destroy (Store *store);
guint store_port (const Store *store);

/* Writes an object unconditionally.  Returns its new version. */
gint64 store_set (Store *store, const char *name, const char *body);

/* Returns a copy of an object's body, or NULL.  The caller frees it. */
char *store_get (Store *store, const char *name);

/* Keeps a copy of all objects for store_restore(). */
void store_copy (Store *store);

/* Continues from the copy: later changes are lost, and their versions are given out
   again.  The era that responses carry rises by one. */
void store_restore (Store *store);

/* Answers every call with 503 while DOWN is set. */
void store_set_down (Store *store, gboolean down);

/* Executes the next COUNT successful writes but drops their responses. */
void store_drop_write_responses (Store *store, guint count);

/* Answers reads with the previous version of an object while STALE is set. */
void store_set_stale (Store *store, gboolean stale);

/* Returns the number of calls received; a watch counts as one call. */
guint64 store_call_count (Store *store);

#endif
