/*
 * store - a small stand-in for the platform's object API
 *
 * It keeps named objects with versions in memory, with conditional writes and
 * long-polling watches, and can be told to misbehave.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_STORE_H
#define HORNBEAMWALL_TESTS_STANDIN_STORE_H

#include <glib.h>

typedef struct Store Store;

/* Listens at ADDRESS, an IP number and port; port 0 takes any. */
Store *store_create (const char *address);
void store_destroy (Store *store);
guint store_port (const Store *store);

/* Sets an object, raising its version; returns the version. */
gint64 store_set (Store *store, const char *name, const char *body);

/* Returns a copy of an object, or NULL. */
char *store_get (Store *store, const char *name);

/* Answers every call with 503, or no longer. */
void store_set_down (Store *store, gboolean down);

/* Loses the answers to the next COUNT writes after they have taken effect. */
void store_lose_answers (Store *store, guint count);

/* Answers reads with the version before the newest one. */
void store_set_lagging (Store *store, gboolean lagging);

/* Returns how many calls came, a waiting watch as one. */
guint64 store_calls (Store *store);

#endif
