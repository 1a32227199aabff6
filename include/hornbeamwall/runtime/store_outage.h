/*
 * store_outage - tells an outage of the platform's store from single failed calls
 *
 * A client sees only its own calls.  One that fails may have been cut off, or
 * rejected, while the store was in service.  The store is taken to have been away
 * only if it did not respond for so long that entries of servers which could not
 * renew them may have lapsed: from the last response before a failed call to the
 * next one.
 */
#ifndef HORNBEAMWALL_RUNTIME_STORE_OUTAGE_H
#define HORNBEAMWALL_RUNTIME_STORE_OUTAGE_H

#include "hornbeamwall/common/clock.h"

typedef struct
{
  gint64 min_us;           /* shortest outage in which an entry may lapse */
  gint64 last_response_us; /* 0 is none yet */
  guint failures;          /* failed calls since then */
  gint64 end_us;           /* of the last outage; 0 is none */
  gint64 duration_us;      /* of the last outage */
  guint count;             /* outages that have ended */
} HbwStoreOutage;

/* Records that a call to the store failed. */
void hbw_store_outage_record_failure (HbwStoreOutage *outage);

/* Records that the store responded at NOW_US.  Returns whether an outage ended. */
gboolean hbw_store_outage_record_response (HbwStoreOutage *outage, gint64 now_us);

/* Records that the store has lost changes: this counts as an outage that ended at
   NOW_US. */
void hbw_store_outage_record_loss (HbwStoreOutage *outage, gint64 now_us);

/* Returns whether a response at NOW_US would end an outage. */
gboolean hbw_store_outage_is_possible (const HbwStoreOutage *outage, gint64 now_us);

#endif
