/*
 * platform - the client of the platform's object API
 *
 * GET /objects/NAME answers 200 with the version as ETag, or 404.  With
 * ?watch=VERSION the answer waits until there is a higher version, or is 304 after
 * the timeout.  PUT /objects/NAME with If-Match: "VERSION" (If-None-Match: * for a
 * new object) answers 200 with the new version, or 412.
 *
 * Calls block; any thread may use its own client.  A write is never sent twice by
 * itself: an answer that is lost is reported as unknown.
 */
#ifndef HORNBEAMWALL_NET_PLATFORM_H
#define HORNBEAMWALL_NET_PLATFORM_H

#include "hornbeamwall/common/error.h"

typedef struct HbwPlatform HbwPlatform;

typedef enum
{
  HBW_STORE_OK,
  HBW_STORE_UNCHANGED, /* the watch ended without a change */
  HBW_STORE_ABSENT,
  HBW_STORE_CONFLICT, /* the version is not the current one */
  HBW_STORE_UNKNOWN,  /* a write may or may not have taken effect */
  HBW_STORE_FAILED,   /* nothing was changed */
  HBW_STORE_GONE,     /* the changes that were asked for are forgotten */
} HbwStoreResult;

typedef struct
{
  HbwStoreResult result;
  gint64 version;
  GBytes *body; /* owned by the caller; NULL unless OK on a read */
} HbwStoreAnswer;

/* Creates a client of the API at "IP number:port"; returns NULL where ADDRESS is
   not one. */
HbwPlatform *hbw_platform_create (const char *address, HbwError *error);
void hbw_platform_destroy (HbwPlatform *platform);

/* Uses one connection for call after call, none of which waits longer than WAIT_MS
   for its answer; the client then belongs to one thread. */
void hbw_platform_keep_connection (HbwPlatform *platform, guint wait_ms);

HbwStoreAnswer hbw_platform_get (HbwPlatform *platform, const char *name,
                                 HbwError *error);

/* Reads any PATH of the server, as a backend server's load report. */
HbwStoreAnswer hbw_platform_get_path (HbwPlatform *platform, const char *path,
                                      HbwError *error);

/* Waits up to TIMEOUT_MS for a version higher than VERSION. */
HbwStoreAnswer hbw_platform_watch (HbwPlatform *platform, const char *name,
                                   gint64 version, guint timeout_ms,
                                   HbwError *error);

/* Writes BODY over VERSION; 0 creates the object. */
HbwStoreAnswer hbw_platform_put (HbwPlatform *platform, const char *name,
                                 gint64 version, const char *body, gsize length,
                                 HbwError *error);

#endif
