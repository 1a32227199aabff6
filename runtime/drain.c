#include "hornbeamwall/runtime/drain.h"

/* A check that is later than this comes after a stall of the process. */
#define LATE_CHECK_US (200 * HBW_US_PER_MS)

/* Percentages of the stop grace period.  A draining instance waits at least the
   first even if no requests are in progress.  It accepts no more connections from
   the second on, and exits at the third even if requests are in progress. */
#define WAIT_MIN_PERCENT 40
#define ACCEPT_MAX_PERCENT 91
#define WAIT_MAX_PERCENT 94

/* Checks after the last request may have been read: it is refused by then. */
#define LAST_CHECKS_MIN 2

typedef struct
{
  HbwInstance *instance;
  HbwClock *clock;
  HbwDrainWait wait;
  void *data;
  gint64 grace_us;
  gint64 start_us;
  gint64 checked_us;
  gint64 elapsed_us;
  gboolean is_late; /* requests that arrived in a stall may not have been read */
} Drain;

static gint64
part_of_grace (const Drain *drain, gint64 percent)
{
  return drain->grace_us / 100 * percent;
}

static gboolean
has_passed (const Drain *drain, gint64 percent)
{
  return drain->grace_us > 0 && drain->elapsed_us >= part_of_grace (drain, percent);
}

/* Returns FALSE if the drain has to end at once. */
static gboolean
wait_for_check (Drain *drain)
{
  if (!drain->wait (drain->data))
    return FALSE;
  gint64 now_us = hbw_clock_now (drain->clock);
  drain->is_late = now_us - drain->checked_us > LATE_CHECK_US;
  drain->checked_us = now_us;
  drain->elapsed_us = now_us - drain->start_us;
  return TRUE;
}

static gboolean
has_work (const Drain *drain)
{
  return hbw_instance_has_requests (drain->instance) || drain->is_late;
}

static gboolean
wait_for_requests (Drain *drain)
{
  do
    {
      if (!wait_for_check (drain))
        return FALSE;
      if (has_passed (drain, HBW_STOP_ACCEPTING_PERCENT))
        hbw_instance_stop_store_watch (drain->instance);
    }
  while (!has_passed (drain, ACCEPT_MAX_PERCENT)
         && (has_work (drain)
             || drain->elapsed_us < part_of_grace (drain, WAIT_MIN_PERCENT)));
  return TRUE;
}

static void
wait_for_last_requests (Drain *drain)
{
  guint checks = 0;
  hbw_instance_close_idle (drain->instance);
  do
    if (!wait_for_check (drain))
      return;
  while (++checks < LAST_CHECKS_MIN
         || (has_work (drain) && !has_passed (drain, WAIT_MAX_PERCENT)));
}

void
hbw_drain_run (HbwInstance *instance, gint64 grace_us, HbwClock *clock,
               HbwDrainWait wait, void *data)
{
  gint64 now_us = hbw_clock_now (clock);
  Drain drain = { .instance = instance,
                  .clock = clock,
                  .wait = wait,
                  .data = data,
                  .grace_us = grace_us,
                  .start_us = now_us,
                  .checked_us = now_us };
  hbw_instance_drain (instance);
  if (wait_for_requests (&drain))
    wait_for_last_requests (&drain);
}
