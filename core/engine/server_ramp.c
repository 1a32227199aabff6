#include "hornbeamwall/core/engine/server_ramp.h"

#include <math.h>

#define FIRST_LIMIT 1
#define FIRST_LIMIT_PACE_KNOWN 2

/* No limit reaches it; it bounds the doubling. */
#define LIMIT_MAX (G_MAXUINT / 4)

static gboolean
is_held (const HbwServerRamp *ramp, gint64 now_us)
{
  return ramp->halved && now_us - ramp->halved_us < HBW_RAMP_HOLD_US;
}

/* Requests that were sent before the limit was halved show nothing of the new one.
 */
static gboolean
counts (const HbwServerRamp *ramp, gint64 sent_us)
{
  return ramp->limit > 0 && (!ramp->halved || sent_us >= ramp->halved_us);
}

static gboolean
completes_round (const HbwServerRamp *ramp, const HbwRampLoad *load)
{
  guint own = MAX (ramp->in_time, ramp->streams);
  return own + load->peer_streams >= ramp->limit;
}

gboolean
hbw_server_ramp_is_active (const HbwServerRamp *ramp)
{
  return ramp->limit > 0;
}

void
hbw_server_ramp_start (HbwServerRamp *ramp, gboolean is_pace_known, guint slots,
                       gint64 now_us)
{
  guint limit = is_pace_known ? FIRST_LIMIT_PACE_KNOWN : FIRST_LIMIT;
  hbw_server_ramp_end (ramp);
  if (limit >= slots)
    return;
  ramp->limit = ramp->first_limit = limit;
  ramp->started_us = now_us;
}

void
hbw_server_ramp_recover (HbwServerRamp *ramp, gboolean is_pace_known, guint slots,
                         gint64 now_us)
{
  if (!hbw_server_ramp_is_active (ramp))
    {
      hbw_server_ramp_start (ramp, is_pace_known, slots, now_us);
      return;
    }
  ramp->limit = FIRST_LIMIT;
  ramp->in_time = ramp->rounds = 0;
  ramp->halved = TRUE;
  ramp->halved_us = now_us;
}

void
hbw_server_ramp_end (HbwServerRamp *ramp)
{
  *ramp = (HbwServerRamp){ .streams = ramp->streams };
}

guint
hbw_server_ramp_count_streams (guint in_progress, guint unread_tokens,
                               double mean_tokens)
{
  if (unread_tokens == 0)
    return in_progress;
  double unread = ceil (unread_tokens / MAX (mean_tokens, 1.0));
  return unread < in_progress ? in_progress - (guint) unread : 0;
}

gboolean
hbw_server_ramp_allows (const HbwServerRamp *ramp, guint in_progress,
                        guint peer_streams, gint64 now_us)
{
  if (ramp->limit == 0 || in_progress < ramp->limit)
    return TRUE;
  return !is_held (ramp, now_us) && in_progress <= peer_streams;
}

gboolean
hbw_server_ramp_is_in_time (gint64 first_token_us, gint64 target_us,
                            double expected_us)
{
  if (target_us <= 0 && expected_us <= 0)
    return TRUE;
  double allowed_us = expected_us * HBW_RAMP_EXPECTATION_PERCENT / 100.0;
  return first_token_us <= target_us || (double) first_token_us <= allowed_us;
}

HbwRampResult
hbw_server_ramp_record_in_time (HbwServerRamp *ramp, const HbwRampLoad *load,
                                gint64 sent_us)
{
  if (!counts (ramp, sent_us))
    return HBW_RAMP_CONTINUES;
  ramp->in_time++;
  if (completes_round (ramp, load))
    {
      ramp->limit = MIN (ramp->limit, LIMIT_MAX) * 2;
      ramp->in_time = 0;
      ramp->rounds++;
    }
  if (ramp->limit >= load->slots)
    return HBW_RAMP_ENDS_AT_SLOTS;
  gboolean is_as_loaded
      = load->has_median && load->in_progress >= load->median_in_progress;
  return ramp->rounds > 0 && is_as_loaded ? HBW_RAMP_ENDS_AT_MEDIAN
                                          : HBW_RAMP_CONTINUES;
}

void
hbw_server_ramp_record_failure (HbwServerRamp *ramp, gint64 sent_us, gint64 now_us)
{
  if (!counts (ramp, sent_us))
    return;
  ramp->limit = MAX (ramp->limit / 2, FIRST_LIMIT);
  ramp->in_time = ramp->rounds = 0;
  ramp->halved = TRUE;
  ramp->halved_us = now_us;
}
