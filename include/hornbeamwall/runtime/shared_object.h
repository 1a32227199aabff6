/*
 * shared_object - one object of the platform's store that instances write in turn
 *
 * Calls block.  A shared object belongs to one thread.
 */
#ifndef HORNBEAMWALL_RUNTIME_SHARED_OBJECT_H
#define HORNBEAMWALL_RUNTIME_SHARED_OBJECT_H

#include "hornbeamwall/net/store_client.h"

typedef struct HbwSharedObject HbwSharedObject;
typedef struct
{
  /* Reads the object.  The caller owns the body of the response. */
  HbwStoreResponse (*read) (HbwSharedObject *object, HbwError *error);

  /* Replaces VERSION of the object with BODY, a JSON object; version 0 creates it.
     The response has the new version. */
  HbwStoreResponse (*write) (HbwSharedObject *object, gint64 version, GBytes *body,
                             HbwError *error);
  void (*destroy) (HbwSharedObject *object);
} HbwSharedObjectClass;
struct HbwSharedObject
{
  const HbwSharedObjectClass *class;
};

/* Translates between a shared object and the store's form of it.  Adapters are
   static objects and never freed. */
typedef struct
{
  const char *create_path; /* POST creates the object */
  const char *path;        /* GET reads it, PUT replaces it */
  const char *era_field;   /* header field with the store's era */

  /* Returns the store's form of BODY, which replaces VERSION; 0 is a new object. */
  char *(*format) (gint64 version, GBytes *body);

  /* Returns the body of an object in the store's form, owned by the caller, and sets
     VERSION; NULL with ERROR set if it is not valid. */
  GBytes *(*parse) (const char *text, gsize length, gint64 *version,
                    HbwError *error);
} HbwSharedObjectAdapter;

/* Creates the object NAME of the native interface's store. */
HbwSharedObject *hbw_shared_object_create (const char *address, const char *name,
                                           HbwError *error);

/* Creates an object of a store that ADAPTER speaks for. */
HbwSharedObject *hbw_shared_object_create_adapted (
    const char *address, const HbwSharedObjectAdapter *adapter, HbwError *error);

#endif
