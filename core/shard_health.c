#include "hornbeamwall/core/shard_health.h"

#define COMPARE_INTERVAL_US (1 * HBW_US_PER_S)

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;
  return left < right ? -1 : left > right;
}

static double
median_inter_token_us (const HbwShard *shard)
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (server->average_inter_token_us > 0)
        g_array_append_val (values, server->average_inter_token_us);
    }
  g_array_sort (values, compare_doubles);
  double median
      = values->len > 0 ? g_array_index (values, double, (values->len - 1) / 2) : 0;
  g_array_free (values, TRUE);
  return median;
}

void
hbw_shard_detect_stragglers (HbwShard *shard, HbwContext *context)
{
  if (context->now_us - shard->last_comparison_us < COMPARE_INTERVAL_US)
    return;
  shard->last_comparison_us = context->now_us;
  double median = median_inter_token_us (shard);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (hbw_server_update_straggler (server, median) && server->straggler)
        hbw_effects_log (context->effects, HBW_LOG_SERVER_STRAGGLER,
                         "server=%s inter_token_us=%.0f median_us=%.0f",
                         server->entry.id, server->average_inter_token_us, median);
    }
}

void
hbw_shard_forget_failures (HbwShard *shard)
{
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      server->state = HBW_SERVER_UP;
      server->consecutive_failures = 0;
    }
}

void
hbw_shard_poll_load_reports (HbwShard *shard, HbwContext *context)
{
  if (context->load_in_answers)
    return;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (context->now_us - server->last_poll_us < HBW_LOAD_POLL_INTERVAL_US)
        continue;
      server->last_poll_us = context->now_us;
      HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_POLL_LOAD);
      g_strlcpy (effect->poll.server, server->entry.id, sizeof effect->poll.server);
      g_strlcpy (effect->poll.address, server->entry.address,
                 sizeof effect->poll.address);
    }
}
