/*
 * policy - ways to choose the next request and its backend server
 *
 * The owner policy is the product's.  The others are baselines for measurements:
 * they share its interface and nothing else is different around them.
 */
#ifndef HORNBEAMWALL_CORE_POLICY_H
#define HORNBEAMWALL_CORE_POLICY_H

#include "hornbeamwall/core/shard.h"

/* One owner a shard; tiers, targets, fair shares, measured limits. */
const HbwPolicy *hbw_policy_owner (void);

/* Each instance for itself with the same order, by lagging load reports. */
const HbwPolicy *hbw_policy_independent (void);

/* Each instance for itself: first in, first out, servers in rotation. */
const HbwPolicy *hbw_policy_round_robin (void);

/* Returns the policy of NAME, or NULL. */
const HbwPolicy *hbw_policy_find (const char *name);

#endif
