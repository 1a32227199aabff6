/*
 * retry_budget - limits the retries for a pool of backend servers
 *
 * When servers of a pool fail, every retry adds load to the remaining ones.  The
 * budget bounds the retries of all instances together in every sliding window: a
 * percentage of the requests of this instance, plus its share of a fixed number.
 * That number is divided among at least HBW_RETRY_MEMBERS_MIN instances, so that the
 * sides of a network partition keep within the bound together.
 */
#ifndef HORNBEAMWALL_CORE_RETRY_BUDGET_H
#define HORNBEAMWALL_CORE_RETRY_BUDGET_H

#include <glib.h>

/* Lowest number of instances among which the fixed number is divided. */
#define HBW_RETRY_MEMBERS_MIN 8

typedef struct
{
  guint percent;    /* retries for each hundred requests */
  guint extra;      /* fixed number of added retries, for all instances together */
  gint64 window_us; /* length of the sliding window */
} HbwRetryLimits;

typedef struct HbwRetryBudget HbwRetryBudget;

HbwRetryBudget *hbw_retry_budget_create (const HbwRetryLimits *limits);
void hbw_retry_budget_destroy (HbwRetryBudget *budget);

/* Counts the first attempt of a request for POOL. */
void hbw_retry_budget_count_request (HbwRetryBudget *budget, const char *pool,
                                     gint64 now_us);

/* Returns whether a retry for POOL would be allowed.  MEMBERS is the number of known
   instances. */
gboolean hbw_retry_budget_allows (const HbwRetryBudget *budget, const char *pool,
                                  guint members, gint64 now_us);

/* Counts a retry for POOL if it is allowed; returns FALSE if it is not. */
gboolean hbw_retry_budget_consume (HbwRetryBudget *budget, const char *pool,
                                   guint members, gint64 now_us);

#endif
