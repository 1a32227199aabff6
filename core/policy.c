#include "hornbeamwall/core/policy.h"

#include "hornbeamwall/core/policy_direct.h"
#include "hornbeamwall/core/server_notice.h"

#include <string.h>

/* Reduction of the load score for a cached prompt prefix, as a fraction of the
   server's limit. */
#define PREFIX_BONUS 0.25

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
  HbwServer *server; /* of the last request that fits */
} Selection;

static guint
tier_guaranteed_slots (const HbwShard *shard)
{
  return MAX (1, hbw_shard_count_slots (shard) * HBW_TIER_FLOOR_PERCENT / 100);
}

static gboolean
rebuild_window_allows (const HbwShard *shard, const HbwServer *server, gint64 now_us)
{
  if (now_us >= shard->rebuild_until_us)
    return TRUE;
  guint limit
      = (guint) (server->concurrency_limit * HBW_REBUILD_LIMIT_PERCENT / 100);
  return server->in_progress < MAX (1, limit);
}

/* A request within its tier's guarantee may overcommit too.  Otherwise it would find
   no room while the highest tier keeps every server at the overcommitted limit. */
static gboolean
may_overcommit (const HbwShard *shard, const HbwRequestSpec *spec)
{
  return spec->tier == 0 || shard->selected_for_floor;
}

static gboolean
server_fits (const HbwShard *shard, HbwContext *context, const HbwServer *server,
             const HbwGrantRequest *want, gboolean suspect)
{
  if (!hbw_server_has_version (server, &want->spec))
    return FALSE;
  if (!hbw_server_has_room (server, &want->spec, may_overcommit (shard, &want->spec),
                            context->now_us))
    return FALSE;
  if (!hbw_shard_may_probe (shard, server, suspect))
    return FALSE;
  if (suspect && server->suspect_requests > 0)
    return FALSE;
  return rebuild_window_allows (shard, server, context->now_us)
         && hbw_server_notices_allow (context->server_notices, &server->entry,
                                      context->now_us);
}

static double
score_by_reservations (const HbwServer *server, const HbwRequestSpec *spec)
{
  double score
      = ((double) server->in_progress + 1.0) / MAX (1.0, server->concurrency_limit);
  if (spec->prefix_hash != 0 && hbw_server_has_prefix (server, spec->prefix_hash))
    score -= PREFIX_BONUS;
  return score;
}

static double
score_by_report (const HbwServer *server, const HbwRequestSpec *spec G_GNUC_UNUSED)
{
  double load = (double) server->reported_running + server->reported_waiting
                + server->granted_since_report;
  return (load + 1.0) / server->entry.slots;
}

typedef double (*ScoreFunction) (const HbwServer *server,
                                 const HbwRequestSpec *spec);

static HbwServer *
select_least_loaded (HbwShard *shard, HbwContext *context, HbwTicket *ticket,
                     ScoreFunction score)
{
  const HbwGrantRequest *want = &ticket->want;
  gboolean suspect = hbw_shard_is_suspect (context, &want->spec);
  HbwServer *best = NULL;
  HbwServer *avoided = NULL;
  gboolean other_usable = FALSE; /* another server is worth waiting for */
  double lowest = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      gboolean avoid = strcmp (server->entry.id, want->avoid_server) == 0;
      if (!avoid && hbw_server_is_usable (server)
          && hbw_server_has_version (server, &want->spec))
        other_usable = TRUE;
      if (!server_fits (shard, context, server, want, suspect))
        continue;
      if (avoid)
        {
          avoided = server;
          continue;
        }
      double value = score (server, &want->spec);
      if (best != NULL && value >= lowest)
        continue;
      best = server;
      lowest = value;
    }
  return best != NULL || other_usable ? best : avoided;
}

static HbwServer *
owner_select_server (HbwShard *shard, HbwContext *context, HbwTicket *ticket)
{
  return select_least_loaded (shard, context, ticket, score_by_reservations);
}

static gboolean
any_server_has_room (const HbwShard *shard, HbwContext *context, HbwTier tier)
{
  const HbwRequestSpec spec = { .tier = tier, .idempotent = TRUE };
  for (guint i = 0; i < shard->servers->len; i++)
    if (hbw_server_has_room (g_ptr_array_index (shard->servers, i), &spec,
                             may_overcommit (shard, &spec), context->now_us))
      return TRUE;
  return FALSE;
}

static gboolean
ticket_fits (HbwTicket *ticket, void *data)
{
  Selection *selection = data;
  HbwServer *server
      = hbw_shard_select_server (selection->shard, selection->context, ticket);
  if (server != NULL)
    selection->server = server;
  return server != NULL;
}

static gint64
lowest_first_token_us (const HbwShard *shard)
{
  double lowest = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (server->average_first_token_us > 0
          && (lowest <= 0 || server->average_first_token_us < lowest))
        lowest = server->average_first_token_us;
    }
  return (gint64) lowest;
}

static HbwTicket *
select_next_of_tier (HbwShard *shard, HbwContext *context, HbwTier tier,
                     HbwServer **server)
{
  if (hbw_queue_tier_length (shard->queue, tier) == 0)
    return NULL;
  if (!shard->policy->spans_data_centres
      && !any_server_has_room (shard, context, tier))
    return NULL;
  Selection selection = { shard, context, NULL };
  HbwTicket *ticket = hbw_queue_select_next (shard->queue, tier, context->now_us,
                                             lowest_first_token_us (shard),
                                             ticket_fits, &selection);
  *server = selection.server;
  return ticket;
}

static HbwTicket *
tiers_select_ticket (HbwShard *shard, HbwContext *context, HbwServer **server)
{
  HbwTicket *ticket = NULL;
  guint guaranteed_slots = tier_guaranteed_slots (shard);
  shard->selected_for_floor = TRUE;
  for (HbwTier tier = 1; tier < HBW_TIER_COUNT && ticket == NULL; tier++)
    if (shard->in_progress[tier] < guaranteed_slots)
      ticket = select_next_of_tier (shard, context, tier, server);
  shard->selected_for_floor = ticket != NULL;
  for (HbwTier tier = 0; tier < HBW_TIER_COUNT && ticket == NULL; tier++)
    ticket = select_next_of_tier (shard, context, tier, server);
  return ticket;
}

static HbwServer *
independent_select_server (HbwShard *shard, HbwContext *context, HbwTicket *ticket)
{
  HbwServer *server = select_least_loaded (shard, context, ticket, score_by_report);
  if (server == NULL || score_by_report (server, &ticket->want.spec) > 1.0)
    return NULL;
  return server;
}

static void
remember_first_ticket (HbwTicket *ticket, void *data)
{
  HbwTicket **first = data;
  if (*first == NULL)
    *first = ticket;
}

static HbwTicket *
fifo_select_ticket (HbwShard *shard, HbwContext *context, HbwServer **server)
{
  HbwTicket *first = NULL;
  hbw_queue_foreach (shard->queue, remember_first_ticket, &first);
  if (first != NULL)
    *server = hbw_shard_select_server (shard, context, first);
  return *server != NULL ? first : NULL;
}

static HbwServer *
round_robin_select_server (HbwShard *shard, HbwContext *context G_GNUC_UNUSED,
                           HbwTicket *ticket)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      guint index = shard->rotation_index++ % shard->servers->len;
      HbwServer *server = g_ptr_array_index (shard->servers, index);
      if (!server->stopping && hbw_server_has_version (server, &ticket->want.spec))
        return server;
    }
  return NULL;
}

static const HbwPolicy policies[] = {
  { "owner", TRUE, FALSE, tiers_select_ticket, owner_select_server, NULL },
  { "independent", FALSE, FALSE, tiers_select_ticket, independent_select_server,
    NULL },
  { "round_robin", FALSE, FALSE, fifo_select_ticket, round_robin_select_server,
    NULL },
  { "direct", FALSE, TRUE, tiers_select_ticket, hbw_policy_direct_select_server,
    hbw_policy_direct_expected_wait_us },
};

const HbwPolicy *
hbw_policy_owner (void)
{
  return &policies[0];
}

const HbwPolicy *
hbw_policy_independent (void)
{
  return &policies[1];
}

const HbwPolicy *
hbw_policy_round_robin (void)
{
  return &policies[2];
}

const HbwPolicy *
hbw_policy_find (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (policies); i++)
    if (strcmp (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}
