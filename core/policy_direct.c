#include "hornbeamwall/core/policy_direct.h"

#include "hornbeamwall/core/placement.h"
#include "hornbeamwall/core/prompt_partition.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/shard_ramp.h"
#include "hornbeamwall/core/shard_waiting.h"
#include "hornbeamwall/core/suspect_placement.h"

#include <string.h>

/* A request that waits is compared with all servers at intervals that grow by this
   for each of them. */
#define COMPARISON_INTERVAL_US 500

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
  const HbwGrantRequest *want;
  HbwPlacement *placement;
  gboolean suspect;
  GHashTable *used_servers; /* hashes of servers on which other suspects run */
  HbwServerSlice slice;
  gboolean ignore_state; /* servers that are down are candidates too */
} Selection;

typedef struct
{
  HbwServer *server; /* NULL is none */
  gboolean has_slot; /* free now for the request */
  gboolean ramping;  /* limited by its ramp */
  double cost_us;
} Choice;

static gboolean
is_eligible (const Selection *selection, const HbwServer *server)
{
  const HbwRequestSpec *spec = &selection->want->spec;
  if (server->stopping || !hbw_server_has_version (server, spec))
    return FALSE;
  if (!selection->ignore_state
      && !hbw_server_has_room (server, spec, spec->tier == 0,
                               selection->context->now_us))
    return FALSE;
  if (!hbw_shard_may_probe (selection->shard, server, selection->suspect))
    return FALSE;
  if (selection->suspect
      && (server->suspect_requests > 0
          || g_hash_table_contains (selection->used_servers, &server->id_hash)))
    return FALSE;
  return hbw_server_notices_allow (selection->context->server_notices,
                                   &server->entry, selection->context->now_us);
}

/* Returns whether no other waiting suspect may choose SERVER. */
static gboolean
is_in_slice (const Selection *selection, const HbwServer *server)
{
  const GPtrArray *servers = selection->shard->servers;
  guint position = 0;
  guint count = 0;
  if (!selection->suspect || selection->slice.count <= 1)
    return TRUE;
  for (guint i = 0; i < servers->len; i++)
    {
      const HbwServer *other = g_ptr_array_index (servers, i);
      if (!hbw_server_has_version (other, &selection->want->spec))
        continue;
      count++;
      position += other->id_hash < server->id_hash;
    }
  return hbw_server_slice_has (&selection->slice, position, count);
}

/* Only a request with a prompt may wait for a server that is full. */
static Choice
evaluate_server (const Selection *selection, HbwServer *server)
{
  Choice choice = { 0 };
  if (!is_eligible (selection, server) || !is_in_slice (selection, server))
    return choice;
  const HbwServerWork work = hbw_placement_sum_work (selection->placement, server);
  choice.has_slot
      = work.in_progress < hbw_placement_count_slots (selection->placement, server)
        && hbw_placement_has_memory (selection->placement, server, &work);
  if (!choice.has_slot && selection->want->spec.prompt_tokens == 0)
    return choice;
  choice.server = server;
  choice.ramping
      = hbw_shard_ramp_limits (selection->shard, selection->context, server,
                               &selection->want->spec, work.in_progress);
  choice.cost_us
      = hbw_placement_estimate_cost_us (selection->placement, server, &work);
  return choice;
}

static Choice
find_cheaper (Choice a, Choice b)
{
  if (a.server == NULL || b.server == NULL)
    return a.server != NULL ? a : b;
  return b.cost_us < a.cost_us ? b : a;
}

/* The limit of a server's ramp applies as long as another usable server has a
   slot. */
static Choice
select_cheapest_server (const Selection *selection)
{
  const HbwShard *shard = selection->shard;
  Choice best = { 0 };
  Choice avoided = { 0 };
  Choice ramping = { 0 };
  gboolean has_other = FALSE;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const Choice choice
          = evaluate_server (selection, g_ptr_array_index (shard->servers, i));
      if (choice.server == NULL)
        continue;
      if (strcmp (choice.server->entry.id, selection->want->avoid_server) == 0)
        avoided = choice;
      else if (choice.ramping)
        ramping = find_cheaper (ramping, choice);
      else
        {
          has_other |= choice.has_slot && hbw_server_is_usable (choice.server);
          best = find_cheaper (best, choice);
        }
    }
  if (!has_other)
    best = find_cheaper (best, ramping);
  return best.server != NULL ? best : avoided;
}

/* Comparing hundreds of servers for each request that waits, whenever anything
   happens, would take the processor time of the requests in progress. */
static gboolean
is_comparison_due (const HbwShard *shard, const HbwContext *context,
                   const HbwTicket *ticket)
{
  const HbwRequestSpec *spec = &ticket->want.spec;
  const HbwServer *awaited
      = hbw_shard_find_server_by_hash (shard, ticket->awaited_server);
  if (context->now_us >= ticket->next_comparison_us)
    return TRUE;
  return awaited != NULL ? hbw_placement_has_slot (context, spec, awaited)
                         : !hbw_shard_is_suspect (context, spec);
}

HbwServer *
hbw_policy_direct_select_server (HbwShard *shard, HbwContext *context,
                                 HbwTicket *ticket)
{
  const HbwGrantRequest *want = &ticket->want;
  if (!is_comparison_due (shard, context, ticket))
    return NULL;
  ticket->next_comparison_us
      = context->now_us + (gint64) shard->servers->len * COMPARISON_INTERVAL_US;
  hbw_prompt_partition_update (shard, context->now_us);
  Selection selection = { .shard = shard, .context = context, .want = want };
  selection.placement
      = hbw_placement_create (shard, context, want, ticket->awaited_server);
  selection.suspect = hbw_shard_is_suspect (context, &want->spec);
  selection.used_servers = g_hash_table_new (g_int64_hash, g_int64_equal);
  if (selection.suspect)
    {
      hbw_quarantine_add_used_servers (context->quarantine, &want->spec.fingerprint,
                                       selection.used_servers, context->now_us);
      selection.slice = hbw_suspect_find_slice (
          context->quarantine, &want->spec.fingerprint, context->now_us);
    }
  selection.ignore_state = !hbw_placement_has_usable_server (selection.placement);
  const Choice choice = select_cheapest_server (&selection);
  g_hash_table_destroy (selection.used_servers);
  hbw_placement_destroy (selection.placement);
  hbw_shard_set_awaited_server (shard, context, ticket,
                                choice.has_slot ? NULL : choice.server);
  return choice.has_slot ? choice.server : NULL;
}

gint64
hbw_policy_direct_expected_wait_us (HbwShard *shard, HbwContext *context,
                                    const HbwGrantRequest *want)
{
  hbw_prompt_partition_update (shard, context->now_us);
  HbwPlacement *placement = hbw_placement_create (shard, context, want, 0);
  double lowest = -1;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!hbw_server_is_usable (server)
          || !hbw_server_has_version (server, &want->spec))
        continue;
      const HbwServerWork work = hbw_placement_sum_work (placement, server);
      double expected = hbw_placement_estimate_wait_us (placement, server, &work);
      if (lowest < 0 || expected < lowest)
        lowest = expected;
    }
  hbw_placement_destroy (placement);
  return (gint64) MAX (lowest, 0);
}
