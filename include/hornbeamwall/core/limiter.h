/*
 * limiter - distributed rate limits of organisations
 *
 * Each instance holds a share of every limit that its callers use, and queues
 * requests while that share is used up.  Twice a second it sends its demand to the
 * limit coordinator of its data centre, which divides the limit by max-min fairness
 * and returns the share of each instance.  The coordinators of the data centres do
 * the same with one global coordinator.
 *
 * An instance that receives no response keeps its last share.  A data centre that is
 * cut off uses the whole limit, so during a partition each part may use up to the
 * whole limit.
 */
#ifndef HORNBEAMWALL_CORE_LIMITER_H
#define HORNBEAMWALL_CORE_LIMITER_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

#define HBW_DEMAND_INTERVAL_US (500 * HBW_US_PER_MS)

/* The coordinator drops a demand that is not renewed within this time. */
#define HBW_DEMAND_TTL_US (2 * HBW_US_PER_S)

/* A data centre uses the whole limit after this long without a response from the
   global coordinator. */
#define HBW_COORDINATOR_TIMEOUT_US (3 * HBW_US_PER_S)

typedef struct HbwLimiter HbwLimiter;

HbwLimiter *hbw_limiter_create (void);
void hbw_limiter_destroy (HbwLimiter *limiter);

/* Charges the request SPEC to the share; returns FALSE if it must wait. */
gboolean hbw_limiter_try_acquire (HbwLimiter *limiter, HbwContext *context,
                                  const HbwRequestSpec *spec);

/* Ends a request that was charged, and replaces its estimated cost by TOKENS. */
void hbw_limiter_release (HbwLimiter *limiter, const HbwRequestSpec *spec,
                          guint tokens);

/* Each counts a request that starts or stops waiting for the share. */
void hbw_limiter_add_waiter (HbwLimiter *limiter, HbwContext *context,
                             const HbwRequestSpec *spec);
void hbw_limiter_remove_waiter (HbwLimiter *limiter, const HbwRequestSpec *spec);

/* Returns how long the last of the waiting requests is expected to wait, in
   microseconds, or -1 until a share has been received that accounts for them. */
gint64 hbw_limiter_expected_wait_us (HbwLimiter *limiter, HbwContext *context,
                                     const HbwRequestSpec *spec);

/* Sends the demands that are due and drops unused state. */
void hbw_limiter_tick (HbwLimiter *limiter, HbwContext *context);

/* Handles DEMAND and SHARE messages. */
void hbw_limiter_handle_message (HbwLimiter *limiter, HbwContext *context,
                                 const HbwMessage *message);

/* Divides LIMIT among COUNT demands by max-min fairness.  If all demands are met,
   the remainder is spread evenly over MEMBERS, or COUNT if that is more.  Returns
   the share of the demand at INDEX. */
double hbw_limiter_max_min_share (double limit, const double *demands, guint count,
                                  guint members, guint index);

#endif
