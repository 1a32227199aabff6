/*
 * drain - the planned stop of an instance
 *
 * For a while a draining instance accepts requests, as a load balancer needs time to
 * redirect callers.  Later it refuses new requests, then those that still wait for a
 * server, and at last it accepts no more connections, so that each request that it
 * has read is answered before it exits.
 */
#ifndef HORNBEAMWALL_RUNTIME_DRAIN_H
#define HORNBEAMWALL_RUNTIME_DRAIN_H

#include "hornbeamwall/runtime/instance.h"

/* Waits for HBW_DRAIN_INTERVAL_US.  Returns FALSE if the drain has to end at once.
 */
typedef gboolean (*HbwDrainWait) (void *data);

#define HBW_DRAIN_INTERVAL_US (50 * HBW_US_PER_MS)

/* Drains the instance.  Returns when all requests have ended and a load balancer has
   had time to redirect callers, when the grace period GRACE_US (0: no limit) is
   nearly over, or when WAIT returns FALSE. */
void hbw_drain_run (HbwInstance *instance, gint64 grace_us, HbwClock *clock,
                    HbwDrainWait wait, void *data);

#endif
