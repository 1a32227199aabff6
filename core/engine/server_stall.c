#include "hornbeamwall/core/engine/server_stall.h"

#include "hornbeamwall/common/clock.h"

/* A pause costs nothing up to this multiple of the target, as its estimate is not
   exact. */
#define TARGET_TOLERANCE 1.25

static guint
convert_to_ms (gint64 target_us)
{
  return (guint) CLAMP (target_us / HBW_US_PER_MS, 0, G_MAXINT32);
}

void
hbw_stream_targets_add (HbwStreamTargets *targets, gint64 target_us)
{
  guint ms = convert_to_ms (target_us);
  guint unused = HBW_STREAM_TARGETS_MAX;
  if (ms == 0)
    return;
  for (guint i = 0; i < HBW_STREAM_TARGETS_MAX; i++)
    {
      if (targets->counts[i] == 0)
        unused = i;
      else if (targets->ms[i] == ms)
        {
          targets->counts[i]++;
          return;
        }
    }
  if (unused == HBW_STREAM_TARGETS_MAX)
    return;
  targets->ms[unused] = ms;
  targets->counts[unused] = 1;
}

void
hbw_stream_targets_remove (HbwStreamTargets *targets, gint64 target_us)
{
  guint ms = convert_to_ms (target_us);
  for (guint i = 0; i < HBW_STREAM_TARGETS_MAX; i++)
    if (targets->counts[i] > 0 && targets->ms[i] == ms)
      targets->counts[i]--;
}

guint
hbw_stream_targets_min_ms (guint a, guint b)
{
  if (a == 0 || b == 0)
    return MAX (a, b);
  return MIN (a, b);
}

guint
hbw_stream_targets_shortest_ms (const HbwStreamTargets *targets)
{
  guint shortest = 0;
  for (guint i = 0; i < HBW_STREAM_TARGETS_MAX; i++)
    if (targets->counts[i] > 0)
      shortest = hbw_stream_targets_min_ms (shortest, targets->ms[i]);
  return shortest;
}

double
hbw_stall_cost_us (const HbwStall *stall)
{
  if (stall->target_ms == 0 || stall->reading_us <= 0)
    return 0;
  double pause_us
      = MIN (stall->unread_tokens, HBW_STALL_CHUNK_TOKENS) * stall->reading_us
        + stall->step_us;
  double allowed_us = (double) stall->target_ms * HBW_US_PER_MS * TARGET_TOLERANCE;
  double excess_us = pause_us - allowed_us;
  if (excess_us <= 0)
    return 0;
  guint chunks
      = (stall->unread_tokens + HBW_STALL_CHUNK_TOKENS - 1) / HBW_STALL_CHUNK_TOKENS;
  return MIN (excess_us * chunks * stall->streams, (double) HBW_STALL_COST_MAX_US);
}
