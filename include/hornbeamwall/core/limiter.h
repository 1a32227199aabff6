/*
 * limiter - an organisation's limits across instances and data centres
 *
 * Each instance holds a share of each limit that its callers use, and lets
 * requests wait while the share is used up.  Twice a second it tells the limit
 * keeper of its data centre what it would like to use; the keeper divides by
 * max-min fairness and tells each its share.  The keepers of the data centres do
 * the same with one keeper for all.  Without an answer an instance goes on with
 * its last share; a data centre that is cut off goes on with the whole limit, so
 * that the overshoot is at most the number of parts that cannot see each other.
 */
#ifndef HORNBEAMWALL_CORE_LIMITER_H
#define HORNBEAMWALL_CORE_LIMITER_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

#define HBW_DEMAND_INTERVAL_US (500 * HBW_US_PER_MS)

/* A demand that is not repeated for so long is dropped by the keeper. */
#define HBW_DEMAND_AGE_US (2 * HBW_US_PER_S)

/* A data centre without an answer from the keeper for all goes on alone. */
#define HBW_KEEPER_SILENT_US (3 * HBW_US_PER_S)

typedef struct HbwLimiter HbwLimiter;

HbwLimiter *hbw_limiter_create (void);
void hbw_limiter_destroy (HbwLimiter *limiter);

/* Takes one request of SPEC out of the share; returns FALSE where it must wait. */
gboolean hbw_limiter_take (HbwLimiter *limiter, HbwContext *context,
                           const HbwRequestSpec *spec);

/* Gives back the place of a request that was taken, and corrects its cost. */
void hbw_limiter_end (HbwLimiter *limiter, const HbwRequestSpec *spec, guint tokens);

/* Notes that a request begins or ends to wait for a share. */
void hbw_limiter_wait (HbwLimiter *limiter, HbwContext *context,
                       const HbwRequestSpec *spec);
void hbw_limiter_unwait (HbwLimiter *limiter, const HbwRequestSpec *spec);

/* Returns how long the last of the requests that wait will have to wait, in
   microseconds, or -1 while no share is known that takes them into
   account. */
gint64 hbw_limiter_expected_wait (HbwLimiter *limiter, HbwContext *context,
                                  const HbwRequestSpec *spec);

/* Sends what is due. */
void hbw_limiter_tick (HbwLimiter *limiter, HbwContext *context);

/* Handles DEMAND and SHARE. */
void hbw_limiter_handle (HbwLimiter *limiter, HbwContext *context,
                         const HbwMessage *message);

/* Divides LIMIT among COUNT demands by max-min fairness; the rest is spread evenly
   over MEMBERS (at least COUNT).  Returns the share of the one at INDEX. */
double hbw_limiter_divide (double limit, const double *demands, guint count,
                           guint members, guint index);

#endif
