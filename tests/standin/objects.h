/*
 * objects - simulated object store of the users' platform (interface "platform" in
 * the settings); store.h simulates that of the native interface
 *
 * It keeps objects by kind and name under one revision counter, lists them in pages,
 * answers watches with changes, accepts conditional writes, and can simulate
 * faults.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_OBJECTS_H
#define HORNBEAMWALL_TESTS_STANDIN_OBJECTS_H

#include <glib.h>

typedef struct Objects Objects;

/* How the store answers calls. */
typedef enum
{
  OBJECTS_NORMAL,
  OBJECTS_UNAVAILABLE,       /* 503 */
  OBJECTS_TOO_MANY_REQUESTS, /* 429 */
  OBJECTS_UNRESPONSIVE,      /* no response */
} ObjectsBehaviour;

/* How a watch ends that was cut off. */
typedef enum
{
  OBJECTS_CUT_CLOSE,   /* its connection is closed */
  OBJECTS_CUT_REFUSED, /* 503 */
} ObjectsCut;

/* Listens on ADDRESS, an IP address and port; port 0 selects a free port.  A page of
   a list has at most PAGE_SIZE objects. */
Objects *objects_create (const char *address, guint page_size);
void objects_destroy (Objects *objects);
guint objects_port (const Objects *objects);

/* Writes an object with SPEC, a JSON text that is not validated; NULL removes the
   object.  Returns the revision. */
gint64 objects_set (Objects *objects, const char *kind, const char *name,
                    const char *spec);

/* Returns the spec of an object, or NULL.  The caller frees it. */
char *objects_get (Objects *objects, const char *kind, const char *name);

/* Writes the entry of a server on loopback that belongs to the backend "b".  START
   is a number that is higher after each start of the server. */
void objects_set_server (Objects *objects, guint number, guint port, guint slots,
                         const char *state, guint start);

/* The same with the id and the zone of the server. */
void objects_set_server_named (Objects *objects, const char *name, char zone,
                               guint port, guint slots, const char *state,
                               guint start, guint version);

void objects_set_behaviour (Objects *objects, ObjectsBehaviour behaviour);

/* Cuts off watches that have waited for AFTER_MS without a change; 0 cuts off none.
 */
void objects_cut_watches (Objects *objects, guint after_ms, ObjectsCut cut);

/* Discards the history: watches from an earlier revision are answered with 410. */
void objects_compact_history (Objects *objects);

/* Continues from a copy of the state at REVISION: later changes are lost, and their
   revisions are given out again.  The era that responses carry rises by one. */
void objects_restore (Objects *objects, gint64 revision);

/* Makes responses carry ERA, as those of an older or a newer copy of the store. */
void objects_set_era (Objects *objects, gint64 era);

/* Returns the revision of the last change. */
gint64 objects_revision (Objects *objects);

/* Returns the newest revision without the last COUNT changes of kinds other than
   KIND, 1 at least. */
gint64 objects_revision_before (Objects *objects, guint count, const char *kind);

/* Closes the connection instead of answering the next COUNT accepted writes. */
void objects_drop_write_responses (Objects *objects, guint count);

/* Returns the number of writes accepted from callers. */
guint64 objects_write_count (Objects *objects);

/* Returns the number of calls received. */
guint64 objects_call_count (Objects *objects);

#endif
