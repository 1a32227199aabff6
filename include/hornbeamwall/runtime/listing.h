/*
 * object_cache - cache of all objects of one kind in the platform's store
 *
 * The cache is filled from a list and updated from a watch.  An object is never
 * replaced by an older revision.  An object that is missing from the first list
 * after a store outage is kept for a grace period, because its owner may have been
 * unable to renew it during the outage.  An object whose removal is reported is
 * removed at once.
 */
#ifndef HORNBEAMWALL_RUNTIME_LISTING_H
#define HORNBEAMWALL_RUNTIME_LISTING_H

#include "hornbeamwall/common/clock.h"

#include <jansson.h>

/* How long missing objects are kept after the store has recovered. */
#define HBW_LISTING_GRACE_US (2 * HBW_US_PER_S)

/* One state of an object, or its removal. */
typedef struct
{
  char *name;
  gint64 revision;
  json_t *value; /* owned; NULL if the object was removed */
} HbwChange;

void hbw_change_clear (HbwChange *change);

typedef struct HbwListing HbwListing;

HbwListing *hbw_listing_create (void);
void hbw_listing_destroy (HbwListing *cache);

/* Records that a call to the store failed. */
void hbw_listing_note_outage (HbwListing *cache);

/* Records that the store responded at NOW_US. */
void hbw_listing_note_answer (HbwListing *cache, gint64 now_us);

/* Begins a complete list.  hbw_listing_end() removes the objects that were not
   applied since, or marks them missing during the grace period. */
void hbw_listing_begin (HbwListing *cache);
void hbw_listing_end (HbwListing *cache);

/* Applies CHANGE and clears it. */
void hbw_listing_apply (HbwListing *cache, HbwChange *change);

/* Removes the missing objects once the grace period has passed. */
void hbw_listing_expire (HbwListing *cache, gint64 now_us);

/* Returns the time at which missing objects expire, or G_MAXINT64 if there are
   none. */
gint64 hbw_listing_next_expiry (const HbwListing *cache);

/* Returns the version of the document built at REVISION of the store: 2 * REVISION,
   plus 1 if no cached object is missing from the store and the store first responded
   longer ago than the grace period.  A complete document thus supersedes an
   incomplete one of the same revision. */
gint64 hbw_listing_version (const HbwListing *cache, gint64 revision);

/* Returns whether the cache has changed since the last call of this function. */
gboolean hbw_listing_take_changed (HbwListing *cache);

typedef struct
{
  const char *name;
  json_t *value;
  gboolean missing; /* not in the store, but still in its grace period */
} HbwListed;

void hbw_listing_foreach (HbwListing *cache,
                          void (*visit) (const HbwListed *object, void *data),
                          void *data);

#endif
