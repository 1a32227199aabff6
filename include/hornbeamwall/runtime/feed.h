/*
 * feed - one document of the platform's store, as it changes
 *
 * A feed makes one call at a time and belongs to one thread.
 */
#ifndef HORNBEAMWALL_RUNTIME_FEED_H
#define HORNBEAMWALL_RUNTIME_FEED_H

#include "hornbeamwall/net/platform.h"

typedef struct
{
  HbwStoreResult result; /* OK: there is a newer version */
  guint calls;           /* made to the store */
  gint64 version;
  GBytes *body;       /* with OK, owned */
  gboolean confirmed; /* the store says that what was read is the newest */
} HbwFeedAnswer;

typedef struct HbwFeed HbwFeed;
typedef struct
{
  /* Waits for a version after KNOWN, at most WAIT_MS. */
  HbwFeedAnswer (*next) (HbwFeed *feed, gint64 known, guint wait_ms,
                         HbwError *error);
  void (*destroy) (HbwFeed *feed);
} HbwFeedClass;
struct HbwFeed
{
  const HbwFeedClass *class;
};

/* The object NAME of the store, whole in each version. */
HbwFeed *hbw_object_feed_create (const char *address, const char *name,
                                 HbwError *error);

#endif
