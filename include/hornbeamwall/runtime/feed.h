/*
 * feed - follows the versions of one document in the platform's store
 *
 * A feed belongs to one thread and has at most one call to the store in progress.
 */
#ifndef HORNBEAMWALL_RUNTIME_FEED_H
#define HORNBEAMWALL_RUNTIME_FEED_H

#include "hornbeamwall/net/store_client.h"

typedef struct
{
  HbwStoreResult status;  /* HBW_STORE_OK: there is a newer version */
  guint call_count;       /* calls made to the store */
  guint cut_watch_count;  /* watches among them that were cut off */
  gint64 failed_after_us; /* duration of the last call, if it failed */
  guint outage_count;     /* outages of the store that have ended since the start */
  guint kept_count;       /* objects that are missing from the store and kept */
  gint64 version;         /* with HBW_STORE_OK, or if confirmed: that of the store */
  GBytes *body;           /* with HBW_STORE_OK; owned by the caller */
  gboolean confirmed;     /* the store has no other version now */
  gint64 era;             /* of the store, see core/store_era.h; 0 if unknown */
} HbwFeedResult;

typedef struct HbwFeed HbwFeed;
typedef struct
{
  /* Reads the document when it is called first, and then waits up to WAIT_MS for a
     newer version.  The caller owns the body of the result. */
  HbwFeedResult (*wait_next) (HbwFeed *feed, guint wait_ms, HbwError *error);
  void (*destroy) (HbwFeed *feed);
} HbwFeedClass;
struct HbwFeed
{
  const HbwFeedClass *class;
};

/* Creates a feed of a document that the store keeps as the single object NAME. */
HbwFeed *hbw_object_feed_create (const char *address, const char *name,
                                 HbwError *error);

#endif
