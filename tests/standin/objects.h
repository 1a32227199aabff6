/*
 * objects - a small stand-in for the object store of the users' platform
 *
 * It keeps objects by kind and name under one revision counter, lists them in pages,
 * answers waits for changes, and can be told to misbehave.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_OBJECTS_H
#define HORNBEAMWALL_TESTS_STANDIN_OBJECTS_H

#include <glib.h>

typedef struct Objects Objects;

/* How calls are answered. */
typedef enum
{
  OBJECTS_WELL,
  OBJECTS_BUSY,   /* 503 */
  OBJECTS_MANY,   /* 429 */
  OBJECTS_SILENT, /* not at all */
} ObjectsMood;

/* Listens at ADDRESS, an IP number and port; port 0 takes any.  A list has PAGE
   objects at most. */
Objects *objects_create (const char *address, guint page);
void objects_destroy (Objects *objects);
guint objects_port (const Objects *objects);

/* Writes an object with SPEC, a JSON text; bytes that are no JSON go out as they
   are. NULL removes it.  Returns the revision. */
gint64 objects_set (Objects *objects, const char *kind, const char *name,
                    const char *spec);

/* Writes the entry of a server of the back end "b" on this machine. */
void objects_set_server (Objects *objects, guint number, guint port, guint slots,
                         const char *state);

void objects_set_mood (Objects *objects, ObjectsMood mood);

/* Drops the history: every wait for changes since before now is answered 410. */
void objects_forget (Objects *objects);

/* Returns how many calls came. */
guint64 objects_calls (Objects *objects);

#endif
