/*
 * store_outage - tells when the platform's store was away, from the calls of one
 * client
 *
 * The store is taken to have been away from its last response before a failed call
 * until its next response.
 */
#ifndef HORNBEAMWALL_RUNTIME_STORE_OUTAGE_H
#define HORNBEAMWALL_RUNTIME_STORE_OUTAGE_H

#include "hornbeamwall/common/clock.h"

typedef struct
{
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

#endif
