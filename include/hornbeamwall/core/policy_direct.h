/*
 * policy_direct - an instance chooses for itself among the servers of all data
 * centres, by the time in which each would probably answer
 *
 * The estimate adds what waits at the server (its own requests there and those of
 * other instances by the server's last report), the part of the prompt that it would
 * have to read, the distance, and what it has failed lately.  Prompts that begin
 * alike are drawn to one server, the same for all instances, by rendezvous hashing;
 * a busy one loses the draw, so that a sudden favourite is spread.
 *
 * In a burst of the lower tiers these leave each engine a tenth of its slots, so
 * that it need not break off requests for more urgent ones.
 *
 * Where all servers of a pool fail at once, the cause is probably elsewhere, and
 * they are used all the same.
 */
#ifndef HORNBEAMWALL_CORE_POLICY_DIRECT_H
#define HORNBEAMWALL_CORE_POLICY_DIRECT_H

#include "hornbeamwall/core/shard.h"

/* Returns the server for TICKET, or NULL while none has room. */
HbwServer *hbw_direct_select_server (HbwShard *shard, HbwContext *context,
                                     const HbwTicket *ticket);

/* Returns how long the prompts that a server has to read before, and the shared
   parts that it would have to read again, would take at the server with the least of
   both. The request's own part does not count, so that none is refused for its
   length. */
gint64 hbw_direct_expected_wait (HbwShard *shard, HbwContext *context,
                                 const HbwWant *want);

#endif
