/*
 * retry_budget - how many repeated sends a pool of backend servers may get
 *
 * When a pool fails, every request that is tried again adds load to what is left of
 * it.  The budget bounds the repeats of all instances together in every sliding
 * window: a part of the requests that this instance has, and its share of a fixed
 * number.  The share is that of an instance which knows of no peer, so that parts of
 * a fleet that cannot see each other keep within the bound together.
 */
#ifndef HORNBEAMWALL_CORE_RETRY_BUDGET_H
#define HORNBEAMWALL_CORE_RETRY_BUDGET_H

#include <glib.h>

/* Instances that share the fixed number at least. */
#define HBW_RETRY_MEMBERS_MIN 8

typedef struct
{
  guint percent;    /* repeats for each hundred requests */
  guint extra;      /* repeats besides, of all instances together */
  gint64 window_us; /* any span of this length */
} HbwRetryLimits;

typedef struct HbwRetryBudget HbwRetryBudget;

HbwRetryBudget *hbw_retry_budget_create (const HbwRetryLimits *limits);
void hbw_retry_budget_destroy (HbwRetryBudget *budget);

/* Counts a request that goes to POOL for the first time. */
void hbw_retry_budget_note_request (HbwRetryBudget *budget, const char *pool,
                                    gint64 now_us);

/* Returns whether a repeat for POOL would be allowed. */
gboolean hbw_retry_budget_has (const HbwRetryBudget *budget, const char *pool,
                               guint members, gint64 now_us);

/* Takes one repeat for POOL; returns FALSE where none is left.  MEMBERS is the
   number of instances known. */
gboolean hbw_retry_budget_take (HbwRetryBudget *budget, const char *pool,
                                guint members, gint64 now_us);

#endif
