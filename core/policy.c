#include "hornbeamwall/core/policy.h"

#include "hornbeamwall/core/policy_direct.h"
#include "hornbeamwall/core/quarantine.h"

#include <string.h>

/* Cost, in parts of a full server, that a known prompt prefix makes up for. */
#define PREFIX_BONUS 0.25

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
} Selection;

static guint
floor_of (const HbwShard *shard)
{
  return MAX (1, hbw_shard_slots (shard) * HBW_FLOOR_PERCENT / 100);
}

static gboolean
rebuild_allows (const HbwShard *shard, const HbwServer *server, gint64 now_us)
{
  if (now_us >= shard->rebuilt_at_us)
    return TRUE;
  guint limit = (guint) (server->limit * HBW_REBUILD_PERCENT / 100);
  return server->in_progress < MAX (1, limit);
}

/* What is owed to a tier's floor must find room too while the highest tier keeps
   every server at its overcommitted limit. */
static gboolean
may_overcommit (const HbwShard *shard, const HbwRequestSpec *spec)
{
  return spec->tier == 0 || shard->floor_pick;
}

static gboolean
fits (const HbwShard *shard, HbwContext *context, const HbwServer *server,
      const HbwWant *want, gboolean suspect)
{
  if (!hbw_server_has_room (server, &want->spec, may_overcommit (shard, &want->spec),
                            context->now_us))
    return FALSE;
  if (suspect && server->suspects > 0)
    return FALSE;
  return rebuild_allows (shard, server, context->now_us);
}

static double
score_by_own_count (const HbwServer *server, const HbwRequestSpec *spec)
{
  double score = ((double) server->in_progress + 1.0) / MAX (1.0, server->limit);
  if (spec->prefix != 0 && hbw_server_knows_prefix (server, spec->prefix))
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

typedef double (*Score) (const HbwServer *server, const HbwRequestSpec *spec);

static HbwServer *
least_loaded (HbwShard *shard, HbwContext *context, const HbwTicket *ticket,
              Score score)
{
  const HbwWant *want = &ticket->want;
  gboolean suspect = hbw_quarantine_judge (context->quarantine,
                                           &want->spec.fingerprint, context->now_us)
                     != HBW_VERDICT_NONE;
  HbwServer *best = NULL;
  HbwServer *avoided = NULL;
  gboolean others = FALSE; /* whether another server is worth waiting for */
  double least = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      gboolean avoid = strcmp (server->entry.id, want->avoid) == 0;
      if (!avoid && hbw_server_is_usable (server))
        others = TRUE;
      if (!fits (shard, context, server, want, suspect))
        continue;
      if (avoid)
        {
          avoided = server;
          continue;
        }
      double value = score (server, &want->spec);
      if (best != NULL && value >= least)
        continue;
      best = server;
      least = value;
    }
  return best != NULL || others ? best : avoided;
}

static HbwServer *
owner_select_server (HbwShard *shard, HbwContext *context, const HbwTicket *ticket)
{
  return least_loaded (shard, context, ticket, score_by_own_count);
}

static gboolean
any_room (const HbwShard *shard, HbwContext *context, HbwTier tier)
{
  const HbwRequestSpec probe = { .tier = tier, .idempotent = TRUE };
  for (guint i = 0; i < shard->servers->len; i++)
    if (hbw_server_has_room (g_ptr_array_index (shard->servers, i), &probe,
                             may_overcommit (shard, &probe), context->now_us))
      return TRUE;
  return FALSE;
}

static gboolean
ticket_fits (const HbwTicket *ticket, void *data)
{
  Selection *selection = data;
  return hbw_shard_select_server (selection->shard, selection->context, ticket)
         != NULL;
}

static gint64
lead_time (const HbwShard *shard)
{
  double least = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (server->first_token_us > 0
          && (least <= 0 || server->first_token_us < least))
        least = server->first_token_us;
    }
  return (gint64) least;
}

static HbwTicket *
next_of_tier (HbwShard *shard, HbwContext *context, HbwTier tier)
{
  if (hbw_queue_tier_length (shard->queue, tier) == 0)
    return NULL;
  if (!shard->policy->across && !any_room (shard, context, tier))
    return NULL;
  Selection selection = { shard, context };
  return hbw_queue_next (shard->queue, tier, context->now_us, lead_time (shard),
                         ticket_fits, &selection);
}

static HbwTicket *
tiers_select_ticket (HbwShard *shard, HbwContext *context)
{
  HbwTicket *ticket = NULL;
  guint floor = floor_of (shard);
  shard->floor_pick = TRUE;
  for (HbwTier tier = 1; tier < HBW_TIER_COUNT && ticket == NULL; tier++)
    if (shard->in_progress[tier] < floor)
      ticket = next_of_tier (shard, context, tier);
  shard->floor_pick = ticket != NULL;
  for (HbwTier tier = 0; tier < HBW_TIER_COUNT && ticket == NULL; tier++)
    ticket = next_of_tier (shard, context, tier);
  return ticket;
}

static HbwServer *
independent_select_server (HbwShard *shard, HbwContext *context,
                           const HbwTicket *ticket)
{
  HbwServer *server = least_loaded (shard, context, ticket, score_by_report);
  if (server == NULL || score_by_report (server, &ticket->want.spec) > 1.0)
    return NULL;
  return server;
}

static void
keep_first (HbwTicket *ticket, void *data)
{
  HbwTicket **first = data;
  if (*first == NULL)
    *first = ticket;
}

static HbwTicket *
fifo_select_ticket (HbwShard *shard, HbwContext *context G_GNUC_UNUSED)
{
  HbwTicket *first = NULL;
  hbw_queue_foreach (shard->queue, keep_first, &first);
  return first;
}

static HbwServer *
rotate_select_server (HbwShard *shard, HbwContext *context G_GNUC_UNUSED,
                      const HbwTicket *ticket G_GNUC_UNUSED)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      guint index = shard->rotation++ % shard->servers->len;
      HbwServer *server = g_ptr_array_index (shard->servers, index);
      if (!server->stopping)
        return server;
    }
  return NULL;
}

static const HbwPolicy policies[] = {
  { "owner", TRUE, FALSE, tiers_select_ticket, owner_select_server, NULL },
  { "independent", FALSE, FALSE, tiers_select_ticket, independent_select_server,
    NULL },
  { "round_robin", FALSE, FALSE, fifo_select_ticket, rotate_select_server, NULL },
  { "direct", FALSE, TRUE, tiers_select_ticket, hbw_direct_select_server,
    hbw_direct_expected_wait },
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
