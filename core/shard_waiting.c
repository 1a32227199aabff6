#include "hornbeamwall/core/shard_waiting.h"

#include "hornbeamwall/core/load_share.h"

static HbwServer *
find_server_by_hash (const HbwShard *shard, guint64 hash)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (server->id_hash == hash)
        return server;
    }
  return NULL;
}

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
  HbwServer *previous = find_server_by_hash (shard, ticket->awaited_server);
  if (previous != NULL)
    {
      previous->waiting -= MIN (previous->waiting, 1);
      previous->waiting_tokens
          -= MIN (previous->waiting_tokens, ticket->awaited_tokens);
      hbw_shard_share_server_load (context, previous);
    }
  ticket->awaited_server = hash;
  if (server == NULL)
    return;
  ticket->awaited_tokens = hbw_server_uncached_tokens (server, &ticket->want.spec);
  server->waiting++;
  server->waiting_tokens += ticket->awaited_tokens;
  hbw_shard_share_server_load (context, server);
}

void
hbw_shard_remove_ticket (HbwShard *shard, HbwContext *context, HbwTicket *ticket)
{
  hbw_shard_set_awaited_server (shard, context, ticket, NULL);
  hbw_queue_remove (shard->queue, ticket);
}
