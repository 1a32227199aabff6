/*
 * shard_waiting - counts the requests that wait for each server of a shard
 *
 * A request that waits for a slot of one full server is counted there, and other
 * instances hear of it with the load of that server.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_WAITING_H
#define HORNBEAMWALL_CORE_SHARD_WAITING_H

#include "hornbeamwall/core/shard.h"

/* Tells other instances the load on SERVER, if they share loads. */
void hbw_shard_share_server_load (HbwContext *context, const HbwServer *server);

/* Counts that TICKET waits for SERVER, or for none in particular if that is NULL. */
void hbw_shard_set_awaited_server (HbwShard *shard, HbwContext *context,
                                   HbwTicket *ticket, HbwServer *server);

/* Removes TICKET from the queue and frees it. */
void hbw_shard_remove_ticket (HbwShard *shard, HbwContext *context,
                              HbwTicket *ticket);

#endif
