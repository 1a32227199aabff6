/*
 * listing - all objects of one kind in the platform's store, kept up to date
 *
 * A listing is read whole, then follows changes.  An object is never replaced by an
 * older version of itself.  Objects that are missing after the store was away are
 * kept a moment longer: their owners may have had no way to renew them.  Objects
 * whose removal is reported go at once.
 */
#ifndef HORNBEAMWALL_RUNTIME_LISTING_H
#define HORNBEAMWALL_RUNTIME_LISTING_H

#include "hornbeamwall/common/clock.h"

#include <jansson.h>

/* How long after the store's return a missing object is kept. */
#define HBW_LISTING_GRACE_US (2 * HBW_US_PER_S)

/* One object, or that it was removed. */
typedef struct
{
  char *name;
  gint64 revision;
  json_t *value; /* NULL: removed; owned */
} HbwChange;

void hbw_change_clear (HbwChange *change);

typedef struct HbwListing HbwListing;

HbwListing *hbw_listing_create (void);
void hbw_listing_destroy (HbwListing *listing);

/* The store did not answer. */
void hbw_listing_note_outage (HbwListing *listing);

/* The store answered at NOW_US. */
void hbw_listing_note_answer (HbwListing *listing, gint64 now_us);

/* Begins to read all objects anew; those that are not added until hbw_listing_end()
   are removed then. */
void hbw_listing_begin (HbwListing *listing);
void hbw_listing_end (HbwListing *listing);

/* Takes CHANGE over. */
void hbw_listing_apply (HbwListing *listing, HbwChange *change);

/* Drops what was kept for long enough. */
void hbw_listing_expire (HbwListing *listing, gint64 now_us);

/* Returns when hbw_listing_expire() will next find something, or G_MAXINT64. */
gint64 hbw_listing_next_expiry (const HbwListing *listing);

/* Returns the version of a document of the objects at the store's REVISION: twice
   that, and one more where the document holds nothing that is missing from the store
   and the listing was first read longer ago than the grace. */
gint64 hbw_listing_version (const HbwListing *listing, gint64 revision);

/* Returns whether anything changed since the last call. */
gboolean hbw_listing_take_changed (HbwListing *listing);

/* One object of a listing. */
typedef struct
{
  const char *name;
  json_t *value;
  gboolean missing; /* it is not in the store any more, but may come back */
} HbwListed;

/* Calls VISIT on every object. */
void hbw_listing_foreach (HbwListing *listing,
                          void (*visit) (const HbwListed *listed, void *data),
                          void *data);

#endif
