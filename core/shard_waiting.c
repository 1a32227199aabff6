#include "hornbeamwall/core/shard_waiting.h"

#include "hornbeamwall/core/load_share.h"

void
hbw_shard_share_server_load (HbwContext *context, const HbwServer *server)
{
  if (context->load_share != NULL)
    hbw_load_share_update_local (context->load_share, server);
}

void
hbw_shard_set_awaited_server (HbwShard *shard, HbwContext *context,
                              HbwTicket *ticket, HbwServer *server)
{
  guint64 hash = server != NULL ? server->id_hash : 0;
  if (ticket->awaited_server == hash)
    return;
  HbwServer *previous
      = hbw_shard_find_server_by_hash (shard, ticket->awaited_server);
  if (previous != NULL)
    {
      previous->waiting -= MIN (previous->waiting, 1);
      hbw_shard_share_server_load (context, previous);
    }
  ticket->awaited_server = hash;
  if (server == NULL)
    return;
  server->waiting++;
  hbw_shard_share_server_load (context, server);
}

void
hbw_shard_remove_ticket (HbwShard *shard, HbwContext *context, HbwTicket *ticket)
{
  hbw_shard_set_awaited_server (shard, context, ticket, NULL);
  hbw_queue_remove (shard->queue, ticket);
}
