/*
 * store_era - which state of the platform's store an instance has seen
 *
 * The store may be restored from an older copy.  It then loses changes that it has
 * acknowledged, and gives their revisions out again.  Each time its era, a number in
 * all its responses, rises by one.  Revisions are only comparable within one era.
 *
 * The writers of what was lost write it again within a short time.  Until then the
 * store does not prove that something is the newest: the era is not settled.
 */
#ifndef HORNBEAMWALL_CORE_STORE_ERA_H
#define HORNBEAMWALL_CORE_STORE_ERA_H

#include "hornbeamwall/common/clock.h"

/* Time after which an era is settled. */
#define HBW_STORE_ERA_SETTLE_US (3 * HBW_US_PER_S)

/* Age of an era that is known to be settled. */
#define HBW_STORE_ERA_SETTLED G_MAXINT64

typedef struct
{
  gint64 number;   /* 0 is unknown, or the store does not send it */
  gint64 since_us; /* it has lasted at least since then */
} HbwStoreEra;

/* Handles that the era NUMBER was seen at NOW_US and had lasted AGE_US then. Returns
   whether NUMBER is higher than all that were seen before. */
gboolean hbw_store_era_observe (HbwStoreEra *era, gint64 number, gint64 age_us,
                                gint64 now_us);

/* Returns how long the era has lasted at least. */
gint64 hbw_store_era_age (const HbwStoreEra *era, gint64 now_us);

/* Returns whether the era was settled at AT_US. */
gboolean hbw_store_era_is_settled (const HbwStoreEra *era, gint64 at_us);

#endif
