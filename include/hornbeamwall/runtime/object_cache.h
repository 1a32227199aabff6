/*
 * object_cache - cache of all objects of one kind in the platform's store
 *
 * The cache is filled from a list and updated from a watch.  A list replaces what
 * the cache has; a watch never replaces an object by an older revision.  An object
 * that is missing from a list after a store outage (see store_outage.h) is kept for
 * a grace period, because its owner may have been unable to renew it during the
 * outage. An object whose removal is reported is removed at once.
 */
#ifndef HORNBEAMWALL_RUNTIME_OBJECT_CACHE_H
#define HORNBEAMWALL_RUNTIME_OBJECT_CACHE_H

#include "hornbeamwall/common/clock.h"

#include <jansson.h>

/* How long missing objects are kept after the store has recovered. */
#define HBW_OBJECT_CACHE_GRACE_US (2 * HBW_US_PER_S)

/* One state of an object, or its removal. */
typedef struct
{
  char *name;
  gint64 revision;
  json_t *value; /* owned; NULL if the object was removed */
} HbwObjectChange;

void hbw_object_change_clear (HbwObjectChange *change);

typedef struct HbwObjectCache HbwObjectCache;

/* Creates a cache of objects of KIND, which is borrowed.  Their owners renew them so
   often that none lapses in an outage of the store that is shorter than
   OUTAGE_MIN_US. */
HbwObjectCache *hbw_object_cache_create (const char *kind, gint64 outage_min_us);
void hbw_object_cache_destroy (HbwObjectCache *cache);

/* Records that a call to the store failed. */
void hbw_object_cache_record_store_failure (HbwObjectCache *cache);

/* Records that the store responded at NOW_US to a call that was sent at SENT_US: the
   response may be that old.  Returns whether this ended an outage, so that objects
   whose removal the response reports may have lapsed. */
gboolean hbw_object_cache_record_store_response (HbwObjectCache *cache,
                                                 gint64 sent_us, gint64 now_us);

/* Records at NOW_US that the store was found to have lost changes: what is missing
   then is kept as after an outage. */
void hbw_object_cache_record_store_loss (HbwObjectCache *cache, gint64 now_us);

/* Returns whether objects may have lapsed, in an outage that has not ended yet. */
gboolean hbw_object_cache_may_have_lapsed (const HbwObjectCache *cache,
                                           gint64 now_us);

/* Returns whether the last call to the store failed. */
gboolean hbw_object_cache_is_store_failing (const HbwObjectCache *cache);

/* Begins a complete list.  hbw_object_cache_end_list() removes the objects that were
   not applied since, or marks them missing during the grace period. */
void hbw_object_cache_begin_list (HbwObjectCache *cache);
void hbw_object_cache_end_list (HbwObjectCache *cache);

/* Applies CHANGE and clears it. */
void hbw_object_cache_apply (HbwObjectCache *cache, HbwObjectChange *change);

/* Removes the missing objects if the grace period had passed when the last call to
   the store was sent, at SENT_US. */
void hbw_object_cache_expire (HbwObjectCache *cache, gint64 sent_us);

/* Returns the time at which missing objects expire, or G_MAXINT64 if there are
   none. */
gint64 hbw_object_cache_next_expiry (const HbwObjectCache *cache);

/* Returns the number of objects that are missing and kept. */
guint hbw_object_cache_missing_count (const HbwObjectCache *cache);

/* Returns how many outages of the store have ended so far. */
guint hbw_object_cache_outage_count (const HbwObjectCache *cache);

/* Returns the version of the document built at REVISION of the store.  It is higher
   in a higher ERA of the store, then at a higher revision, then if no cached object
   is missing from the store and the store first responded longer ago than the grace
   period.  A complete document thus supersedes an incomplete one of the same
   revision. */
gint64 hbw_object_cache_document_version (const HbwObjectCache *cache, gint64 era,
                                          gint64 revision);

/* Returns whether the cache has changed since the last call of this function. */
gboolean hbw_object_cache_test_and_clear_changed (HbwObjectCache *cache);

typedef struct
{
  const char *name;
  json_t *value;
  gboolean missing; /* not in the store, but still in its grace period */
  gboolean is_new;  /* its value has changed since it was last visited */
} HbwCachedObject;

void hbw_object_cache_foreach (HbwObjectCache *cache,
                               void (*visit) (const HbwCachedObject *object,
                                              void *data),
                               void *data);

#endif
