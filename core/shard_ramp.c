#include "hornbeamwall/core/shard_ramp.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/metrics.h"

static const char *const end_reasons[] = {
  [HBW_RAMP_ENDS_AT_SLOTS] = "slots",
  [HBW_RAMP_ENDS_AT_MEDIAN] = "median",
};

static gboolean
is_enabled (const HbwShard *shard, const HbwContext *context)
{
  return context->load_share != NULL && context->ramps_servers
         && hbw_catalogue_engine_memory (context->catalogue, shard->key.pool) > 0;
}

static guint
sum_in_progress (const HbwContext *context, const HbwServer *server)
{
  return server->in_progress
         + hbw_load_share_sum_peers (context->load_share, server, context->now_us)
               .in_progress;
}

static guint
count_peer_streams (const HbwShard *shard, const HbwContext *context,
                    const HbwServer *server)
{
  HbwServerWork work
      = hbw_load_share_sum_peers (context->load_share, server, context->now_us);
  return hbw_server_ramp_count_streams (work.in_progress, work.unread_tokens,
                                        shard->average_unshared_tokens);
}

static int
compare_counts (gconstpointer a, gconstpointer b)
{
  guint left = *(const guint *) a;
  guint right = *(const guint *) b;
  return left < right ? -1 : left > right;
}

/* Fills in the median load of the usable servers that have no ramp. */
static void
find_median (const HbwShard *shard, const HbwContext *context, HbwRampLoad *load)
{
  GArray *counts = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!hbw_server_is_usable (server)
          || hbw_server_ramp_is_active (&server->ramp))
        continue;
      guint count = sum_in_progress (context, server);
      g_array_append_val (counts, count);
    }
  g_array_sort (counts, compare_counts);
  load->has_median = counts->len > 0;
  if (load->has_median)
    load->median_in_progress = g_array_index (counts, guint, counts->len / 2);
  g_array_free (counts, TRUE);
}

/* Counts the start or end of a ramp of SERVER, which WAS_ACTIVE before. */
static void
count_ramps (HbwContext *context, const HbwServer *server, gboolean was_active)
{
  gboolean is_active = hbw_server_ramp_is_active (&server->ramp);
  hbw_metrics_control (context->metrics)->servers_ramping += is_active - was_active;
}

static void
end_ramp (HbwContext *context, HbwServer *server, const char *reason,
          const HbwRampLoad *load)
{
  const HbwServerRamp *ramp = &server->ramp;
  hbw_effects_log (context->effects, HBW_LOG_SERVER_RAMP_ENDED,
                   "server=%s pool=%s ramp_ms=%" G_GINT64_FORMAT
                   " from=%u to=%u reason=%s in_progress=%u median=%u slots=%u",
                   server->entry.id, server->entry.pool,
                   (context->now_us - ramp->started_us) / HBW_US_PER_MS,
                   ramp->first_limit, ramp->limit, reason, load->in_progress,
                   load->median_in_progress, server->entry.slots);
  hbw_server_ramp_end (&server->ramp);
  count_ramps (context, server, TRUE);
}

void
hbw_shard_ramp_start (HbwShard *shard, HbwContext *context, HbwServer *server)
{
  gboolean was_active = hbw_server_ramp_is_active (&server->ramp);
  if (!is_enabled (shard, context))
    return;
  hbw_server_ramp_start (&server->ramp, hbw_pool_pace_is_known (&shard->pace),
                         server->entry.slots, context->now_us);
  count_ramps (context, server, was_active);
}

void
hbw_shard_ramp_handle_state (HbwShard *shard, HbwContext *context, HbwServer *server,
                             HbwServerState old_state)
{
  gboolean was_active = hbw_server_ramp_is_active (&server->ramp);
  if (old_state == HBW_SERVER_UP || server->state != HBW_SERVER_UP
      || !is_enabled (shard, context))
    return;
  hbw_server_ramp_recover (&server->ramp, hbw_pool_pace_is_known (&shard->pace),
                           server->entry.slots, context->now_us);
  count_ramps (context, server, was_active);
}

void
hbw_shard_ramp_handle_first_token (HbwShard *shard, HbwContext *context,
                                   HbwServer *server, const HbwRampSample *sample)
{
  if (!hbw_server_ramp_is_active (&server->ramp) || sample->spec->prompt_tokens == 0
      || !is_enabled (shard, context))
    return;
  double expected_us = hbw_pool_pace_prompt_us (&shard->pace, sample->unread_tokens,
                                                sample->ahead_tokens);
  if (!hbw_server_ramp_is_in_time (sample->first_token_us,
                                   sample->spec->first_token_target_us, expected_us))
    {
      hbw_server_ramp_record_failure (&server->ramp, sample->sent_us,
                                      context->now_us);
      return;
    }
  HbwRampLoad load = { .slots = server->entry.slots };
  load.in_progress = sum_in_progress (context, server);
  load.peer_streams = count_peer_streams (shard, context, server);
  find_median (shard, context, &load);
  HbwRampResult result
      = hbw_server_ramp_record_in_time (&server->ramp, &load, sample->sent_us);
  if (result != HBW_RAMP_CONTINUES)
    end_ramp (context, server, end_reasons[result], &load);
}

void
hbw_shard_ramp_handle_outcome (HbwContext *context, HbwServer *server,
                               HbwOutcome outcome, gint64 sent_us)
{
  switch (outcome)
    {
    case HBW_OUTCOME_FAILED:
    case HBW_OUTCOME_REFUSED:
    case HBW_OUTCOME_BROKEN:
    case HBW_OUTCOME_TIMED_OUT:
    case HBW_OUTCOME_NOT_CONNECTED:
    case HBW_OUTCOME_MISDIRECTED:
      hbw_server_ramp_record_failure (&server->ramp, sent_us, context->now_us);
      break;
    default:
      break;
    }
}

void
hbw_shard_ramp_remove (HbwContext *context, HbwServer *server)
{
  HbwRampLoad load = { .in_progress = server->in_progress };
  if (hbw_server_ramp_is_active (&server->ramp))
    end_ramp (context, server, "removed", &load);
}

gboolean
hbw_shard_ramp_limits (const HbwShard *shard, const HbwContext *context,
                       const HbwServer *server, const HbwRequestSpec *spec,
                       guint in_progress)
{
  if (!hbw_server_ramp_is_active (&server->ramp) || !hbw_server_is_usable (server)
      || spec->prompt_tokens == 0 || !is_enabled (shard, context))
    return FALSE;
  guint peer_streams = count_peer_streams (shard, context, server);
  return !hbw_server_ramp_allows (&server->ramp, in_progress, peer_streams,
                                  context->now_us);
}
