/*
 * policy - selects the next request and its backend server
 *
 * Policies share one interface, and everything else is the same for all of them, so
 * that measurements can compare them.  The owner policy is the default; independent
 * and round_robin are baselines.  The direct policy is in policy_direct.h.
 */
#ifndef HORNBEAMWALL_CORE_POLICY_H
#define HORNBEAMWALL_CORE_POLICY_H

#include "hornbeamwall/core/shard.h"

/* One owner for each shard, with tiers, latency targets, fair sharing and measured
   concurrency limits. */
const HbwPolicy *hbw_policy_owner (void);

/* Each instance schedules on its own: requests in the same order, servers by their
   load reports, which are out of date. */
const HbwPolicy *hbw_policy_independent (void);

/* Each instance schedules on its own: requests first in, first out, servers in
   round robin. */
const HbwPolicy *hbw_policy_round_robin (void);

/* Returns the policy of that name, or NULL. */
const HbwPolicy *hbw_policy_find (const char *name);

#endif
