/*
 * policy_direct - selects the backend server with the lowest estimated cost
 *
 * Each instance selects servers on its own, among those of all data centres that the
 * request may use.  placement.h estimates the cost.  If the cheapest server is full,
 * a request with a prompt waits for it; one without goes to another server.
 *
 * Lower tiers leave a tenth of the slots of each engine free, so that a burst of
 * them does not make the engine preempt requests for more urgent ones.
 *
 * If all servers of a pool are down, the cause is probably elsewhere, and they stay
 * candidates.
 */
#ifndef HORNBEAMWALL_CORE_POLICY_DIRECT_H
#define HORNBEAMWALL_CORE_POLICY_DIRECT_H

#include "hornbeamwall/core/shard.h"

/* Returns the server for TICKET, or NULL if it should wait for one. */
HbwServer *hbw_policy_direct_select_server (HbwShard *shard, HbwContext *context,
                                            HbwTicket *ticket);

/* Returns the shortest expected wait for WANT at any usable server, in microseconds:
   the time to process the prompts queued there and the shared parts of the prompt
   that are not cached.  The unshared part does not count, so that no request is
   refused for its own length. */
gint64 hbw_policy_direct_expected_wait_us (HbwShard *shard, HbwContext *context,
                                           const HbwGrantRequest *want);

#endif
