/*
 * store_client - client of the platform's object store
 *
 * GET /objects/NAME returns 200 with the revision as ETag, or 404.  With
 * ?watch=VERSION it is a long poll: the response is delayed until there is a higher
 * revision, or is 304 after the timeout.  PUT /objects/NAME with If-Match:
 * "REVISION" (If-None-Match: * for a new object) returns 200 with the new revision,
 * or 412. X-Store-Era is in all responses of a store that was restored from an older
 * copy: how often it was.  A version consists of this number and the revision.
 *
 * Calls block.  A client may be shared by threads unless it keeps its connection.  A
 * write is never retried here: if its response is lost, the result is
 * HBW_STORE_UNKNOWN.
 */
#ifndef HORNBEAMWALL_NET_STORE_CLIENT_H
#define HORNBEAMWALL_NET_STORE_CLIENT_H

#include "hornbeamwall/common/error.h"

/* Position of the store's era in a version, and limits of what fits beside it. */
#define HBW_STORE_VERSION_ERA_SHIFT 43
#define HBW_STORE_VERSION_ERA_MAX                                                   \
  ((G_GINT64_CONSTANT (1) << (63 - HBW_STORE_VERSION_ERA_SHIFT)) - 1)
#define HBW_STORE_VERSION_REVISION_MAX                                              \
  ((G_GINT64_CONSTANT (1) << HBW_STORE_VERSION_ERA_SHIFT) - 1)

typedef struct HbwStoreClient HbwStoreClient;

typedef enum
{
  HBW_STORE_OK,
  HBW_STORE_NOT_MODIFIED, /* the watch ended without a change */
  HBW_STORE_NOT_FOUND,
  HBW_STORE_CONFLICT, /* the version is not the current one */
  HBW_STORE_UNKNOWN,  /* a write may or may not have taken effect */
  HBW_STORE_FAILED,   /* nothing was changed */
  HBW_STORE_GONE,     /* the store no longer has the requested changes */
} HbwStoreResult;

typedef struct
{
  HbwStoreResult result;
  gint64 version;
  gint64 era;   /* of the store, see core/store_era.h; 0 if it sent none */
  GBytes *body; /* owned by the caller; NULL unless the result is OK, or CONFLICT by
                   hbw_store_client_read_conflicts() */
} HbwStoreResponse;

/* Creates a client of the store at ADDRESS ("IP address:port").  Returns NULL and
   sets ERROR if ADDRESS is not valid. */
HbwStoreClient *hbw_store_client_create (const char *address, HbwError *error);
void hbw_store_client_destroy (HbwStoreClient *client);

/* Makes the client reuse one connection for all calls; it must then be used by one
   thread only.  WAIT_MS is the longest time that a call of this client may ask the
   server to delay its response. */
void hbw_store_client_keep_connection (HbwStoreClient *client, guint wait_ms);

/* Sets the header field in which another store sends its era; FIELD is borrowed. */
void hbw_store_client_set_era_field (HbwStoreClient *client, const char *field);

/* Sets how long the store may take to accept a connection, and to respond; whole
   seconds, rounded up.  Not for a client that keeps its connection. */
void hbw_store_client_set_timeout (HbwStoreClient *client, guint timeout_ms);

/* Makes a response with the result CONFLICT have a body: the object as it is. */
void hbw_store_client_read_conflicts (HbwStoreClient *client);

/* Closes the kept connection, if there is one; the next call opens another one. */
void hbw_store_client_close_connection (HbwStoreClient *client);

/* Returns the version of REVISION, a number that rises within one era of the store.
 */
gint64 hbw_store_version (gint64 era, gint64 revision);

/* Reads the object NAME. */
HbwStoreResponse hbw_store_client_get (HbwStoreClient *client, const char *name,
                                       HbwError *error);

/* Reads any PATH of the server, for example a backend server's load report. */
HbwStoreResponse hbw_store_client_get_path (HbwStoreClient *client, const char *path,
                                            HbwError *error);

/* The same on a connection of its own.  On one that is kept, the HTTP library sends
   a request again if the connection is closed before the response, so that the
   caller learns only of the second failure. */
HbwStoreResponse hbw_store_client_get_path_once (HbwStoreClient *client,
                                                 const char *path, HbwError *error);

/* Waits up to TIMEOUT_MS for a version of NAME that is higher than VERSION. */
HbwStoreResponse hbw_store_client_watch (HbwStoreClient *client, const char *name,
                                         gint64 version, guint timeout_ms,
                                         HbwError *error);

/* Sends BODY, a JSON text, to any PATH of the server.  Like other writes, it is
   never retried.  The caller owns the body of the response. */
HbwStoreResponse hbw_store_client_send (HbwStoreClient *client, const char *method,
                                        const char *path, const char *body,
                                        gsize length, HbwError *error);

/* Replaces VERSION of NAME with BODY; VERSION 0 creates the object. */
HbwStoreResponse hbw_store_client_put (HbwStoreClient *client, const char *name,
                                       gint64 version, const char *body,
                                       gsize length, HbwError *error);

#endif
