#include "hornbeamwall/core/duty/usage_task.h"

#include "hornbeamwall/core/duty/true_time.h"
#include "hornbeamwall/core/duty/usage_count.h"
#include "hornbeamwall/core/duty/usage_ledger.h"
#include "hornbeamwall/core/duty/usage_reports.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"

#include <string.h>

/* A new holder waits for the counts of the others for this long, and at most this
   part of the lateness. */
#define SETTLE_US (1 * HBW_US_PER_S)
#define SETTLE_LATE_PARTS 8

/* Counts are kept for this multiple of window and lateness. */
#define KEPT_FACTOR 3

/* Windows in the future of which counts are accepted: boundaries differ slightly. */
#define EARLY_WINDOWS 1

typedef struct
{
  HbwDutyTask base;
  HbwUsageConfig config;
  HbwTrueTime *time;
  HbwUsageCount *count;
  HbwUsageLedger *ledger;
  HbwUsageReports *reports;
  gboolean is_holder;
  gint64 started_us;       /* first event that this instance handled */
  gint64 taken_us;         /* when this instance took the lease */
  gint64 unclear_until_us; /* windows that ended by then, in true time, may have been
                              reported with counts that the store has lost */
} HbwUsageTask;

static HbwUsageTask *
usage_of (HbwDutyTask *task)
{
  return (HbwUsageTask *) task;
}

static gint64
floor_divide (gint64 value, gint64 divisor)
{
  return value / divisor - (value % divisor < 0);
}

static gint64
true_now (const HbwUsageTask *usage, gint64 now_us)
{
  return hbw_true_time_at (usage->time, now_us);
}

static gint64
find_window (const HbwUsageTask *usage, gint64 true_us)
{
  return floor_divide (true_us, usage->config.window_us);
}

static gint64
get_end (const HbwUsageTask *usage, gint64 window)
{
  return (window + 1) * usage->config.window_us;
}

/* Returns the first window whose report is not late yet. */
static gint64
find_oldest (const HbwUsageTask *usage, gint64 now_us)
{
  return find_window (usage, true_now (usage, now_us) - usage->config.late_us);
}

/* --- time ------------------------------------------------------------------------
 */

static void
note_start (HbwUsageTask *usage, const HbwContext *context)
{
  hbw_true_time_set_start (usage->time, context->wall_us, context->now_us);
  if (usage->started_us == 0)
    usage->started_us = context->now_us;
}

/* Windows are numbered by the clock of this instance until true time is known. */
static void
handle_first_time (HbwUsageTask *usage, HbwContext *context)
{
  gint64 step_us = hbw_true_time_facts (usage->time)->step_us;
  gint64 true_us = true_now (usage, context->now_us);
  gint64 before = find_window (usage, true_us - step_us);
  hbw_usage_count_begin_window (usage->count, before);
  hbw_usage_count_renumber (
      usage->count, find_window (usage, true_us) - before,
      find_window (usage, true_now (usage, usage->started_us)));
}

static void
handle_time_change (HbwUsageTask *usage, HbwContext *context,
                    HbwTrueTimeChange change)
{
  const HbwTrueTimeFacts *facts = hbw_true_time_facts (usage->time);
  if (change == HBW_TRUE_TIME_UNCHANGED)
    return;
  if (change == HBW_TRUE_TIME_FIRST)
    handle_first_time (usage, context);
  hbw_metrics_control (context->metrics)->usage_time_steps++;
  hbw_effects_log (context->effects,
                   change == HBW_TRUE_TIME_FIRST ? HBW_LOG_USAGE_TIME_KNOWN
                                                 : HBW_LOG_USAGE_TIME_STEPPED,
                   "window=%" G_GINT64_FORMAT " step_ms=%" G_GINT64_FORMAT
                   " holder=%d clocks=%u instances=%u",
                   find_window (usage, true_now (usage, context->now_us)),
                   facts->step_us / HBW_US_PER_MS, usage->is_holder, facts->clocks,
                   facts->instances);
}

static void
agree_on_time (HbwUsageTask *usage, HbwContext *context)
{
  hbw_true_time_observe (usage->time, context->self, context->wall_us,
                         context->now_us);
  guint instances = hbw_membership_count_alive (context->membership, NULL);
  handle_time_change (usage, context,
                      hbw_true_time_agree (usage->time, instances, context->now_us));
}

static void
begin_window (HbwUsageTask *usage, HbwContext *context)
{
  note_start (usage, context);
  hbw_usage_count_begin_window (
      usage->count, find_window (usage, true_now (usage, context->now_us)));
}

/* --- freezing --------------------------------------------------------------------
 */

/* Which instances have told their final counts of a window. */
typedef struct
{
  const HbwUsageLedger *ledger;
  gint64 window;
  guint instances;
  guint missing;
} FinalCheck;

static void
check_member (const HbwMemberUpdate *member, void *data)
{
  FinalCheck *check = data;
  if (hbw_usage_ledger_has_sender (check->ledger, member->identity))
    return;
  check->instances++;
  check->missing++;
}

/* Live instances count, and those that were heard of late: one that is not alive may
   be cut off for a while, with counts of its own. */
static FinalCheck
check_finals (const HbwUsageTask *usage, HbwContext *context, gint64 window)
{
  const HbwMemberUpdate self = { .identity = context->self };
  FinalCheck check
      = { .ledger = usage->ledger,
          .window = window,
          .instances = hbw_usage_ledger_count_senders (usage->ledger),
          .missing = hbw_usage_ledger_count_open (usage->ledger, window) };
  hbw_membership_foreach (context->membership, check_member, &check);
  check_member (&self, &check);
  return check;
}

static gint64
get_settle_us (const HbwUsageTask *usage)
{
  return MIN (SETTLE_US, usage->config.late_us / SETTLE_LATE_PARTS);
}

static gboolean
is_freeze_due (const HbwUsageTask *usage, const HbwContext *context, gint64 window)
{
  gint64 end_us = get_end (usage, window);
  return context->now_us - usage->taken_us >= get_settle_us (usage)
         && true_now (usage, context->now_us) >= end_us + usage->config.late_us / 2;
}

static void
log_frozen (const HbwUsageTask *usage, HbwContext *context, const FinalCheck *check,
            const HbwUsageSums *sums)
{
  gint64 age_us = true_now (usage, context->now_us) - get_end (usage, check->window);
  hbw_effects_log (context->effects,
                   check->missing > usage->config.tolerance * check->instances
                       ? HBW_LOG_USAGE_WINDOW_INCOMPLETE
                       : HBW_LOG_USAGE_WINDOW_FROZEN,
                   "window=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
                   " requests=%" G_GUINT64_FORMAT
                   " organisations=%u senders=%u instances=%u missing=%u",
                   check->window, age_us / HBW_US_PER_MS, sums->requests,
                   sums->organisations, sums->senders, check->instances,
                   check->missing);
}

static void
freeze_window (HbwUsageTask *usage, HbwContext *context, const FinalCheck *check)
{
  HbwUsageSums sums;
  HbwControlMetrics *metrics = hbw_metrics_control (context->metrics);
  GBytes *counts = hbw_usage_ledger_format (usage->ledger, check->window, &sums);
  gboolean began_before_fleet
      = check->window <= hbw_usage_ledger_first_window (usage->ledger);
  if (began_before_fleet && sums.requests == 0)
    hbw_usage_reports_skip (usage->reports, check->window);
  else
    {
      hbw_usage_reports_freeze (usage->reports, check->window, counts);
      log_frozen (usage, context, check, &sums);
      metrics->usage_windows_frozen++;
      metrics->usage_windows_incomplete += check->missing > 0;
    }
  g_bytes_unref (counts);
}

static void
log_dropped (HbwContext *context, gint64 first, gint64 last, const char *reason)
{
  hbw_metrics_control (context->metrics)->usage_windows_dropped
      += (guint64) (last - first + 1);
  hbw_effects_log (context->effects, HBW_LOG_USAGE_WINDOW_DROPPED,
                   "first=%" G_GINT64_FORMAT " last=%" G_GINT64_FORMAT " reason=%s",
                   first, last, reason);
}

/* Gives up the windows that nobody froze and that must not be reported any more.
   Returns the first one that is to be frozen. */
static gint64
skip_windows (HbwUsageTask *usage, HbwContext *context)
{
  gint64 last = hbw_usage_reports_last_window (usage->reports);
  gint64 oldest = find_oldest (usage, context->now_us);
  gint64 unclear = find_window (usage, usage->unclear_until_us);
  gint64 first_counted = hbw_usage_ledger_first_window (usage->ledger);
  gint64 end = MAX (oldest, unclear);
  if (last + 1 >= end)
    return last + 1;
  hbw_usage_reports_skip (usage->reports, end - 1);
  gint64 first_missed = last > 0 ? last + 1 : first_counted;
  if (first_missed < end)
    log_dropped (context, first_missed, end - 1,
                 unclear > oldest ? "store_restored" : "not_frozen_in_time");
  return end;
}

static void
freeze_windows (HbwUsageTask *usage, HbwContext *context)
{
  gint64 current = find_window (usage, true_now (usage, context->now_us));
  for (gint64 window = skip_windows (usage, context);
       window < current
       && hbw_usage_reports_count (usage->reports) < HBW_USAGE_REPORTS_MAX;
       window++)
    {
      FinalCheck check = check_finals (usage, context, window);
      if (check.missing > 0 && !is_freeze_due (usage, context, window))
        return;
      freeze_window (usage, context, &check);
    }
}

static void
drop_late_reports (HbwUsageTask *usage, HbwContext *context)
{
  gint64 window;
  gint64 oldest = find_oldest (usage, context->now_us);
  while ((window = hbw_usage_reports_drop_before (usage->reports, oldest)) != 0)
    log_dropped (context, window, window, "not_accepted_in_time");
}

/* --- the task --------------------------------------------------------------------
 */

static void
usage_tick (HbwDutyTask *task, HbwContext *context, gboolean is_holder)
{
  HbwUsageTask *usage = usage_of (task);
  usage->is_holder = is_holder;
  note_start (usage, context);
  if (is_holder)
    agree_on_time (usage, context);
  begin_window (usage, context);
  gint64 oldest = find_oldest (usage, context->now_us);
  gboolean is_known = hbw_true_time_is_known (usage->time);
  hbw_usage_ledger_drop_before (usage->ledger, oldest);
  hbw_usage_count_send (usage->count, context, oldest, is_known);
  HbwControlMetrics *metrics = hbw_metrics_control (context->metrics);
  metrics->usage_reports_waiting = 0;
  if (!is_holder || !is_known)
    return;
  drop_late_reports (usage, context);
  freeze_windows (usage, context);
  metrics->usage_reports_waiting = hbw_usage_reports_count (usage->reports);
}

/* A store that was restored from an older copy may have lost frozen counts that were
   reported already: the windows that ended before are not reported. */
static void
usage_load (HbwDutyTask *task, HbwContext *context, json_t *state)
{
  HbwUsageTask *usage = usage_of (task);
  gint64 era_age_us = hbw_store_era_age (&context->store_era, context->now_us);
  usage->is_holder = TRUE;
  usage->taken_us = context->now_us;
  hbw_usage_reports_load (usage->reports, state);
  if (context->store_era.number > 1
      && era_age_us < usage->config.window_us + usage->config.late_us)
    usage->unclear_until_us = true_now (usage, context->now_us) - era_age_us;
}

static json_t *
usage_save (const HbwDutyTask *task)
{
  return hbw_usage_reports_save (((const HbwUsageTask *) task)->reports);
}

static guint64
usage_state_number (const HbwDutyTask *task)
{
  return hbw_usage_reports_state_number (((const HbwUsageTask *) task)->reports);
}

static gboolean
usage_next_call (HbwDutyTask *task, HbwContext *context, guint64 stored_number,
                 HbwDutyCall *call)
{
  HbwUsageTask *usage = usage_of (task);
  /* Without the time, it is not known which windows are late. */
  if (!hbw_true_time_is_known (usage->time))
    return FALSE;
  return hbw_usage_reports_next_call (usage->reports, stored_number, context->now_us,
                                      call);
}

static void
usage_handle_result (HbwDutyTask *task, HbwContext *context,
                     const HbwDutyResult *result)
{
  HbwUsageTask *usage = usage_of (task);
  if (result->kind != HBW_DUTY_CALL_USAGE)
    return;
  gint64 window
      = hbw_usage_reports_handle_result (usage->reports, result, context->now_us);
  if (window == 0)
    return;
  gint64 age_us = true_now (usage, context->now_us) - get_end (usage, window);
  hbw_metrics_control (context->metrics)->usage_windows_reported++;
  hbw_effects_log (
      context->effects, HBW_LOG_USAGE_WINDOW_REPORTED,
      "window=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT " waiting=%u", window,
      age_us / HBW_US_PER_MS, hbw_usage_reports_count (usage->reports));
}

static void
usage_destroy (HbwDutyTask *task)
{
  HbwUsageTask *usage = usage_of (task);
  hbw_true_time_destroy (usage->time);
  hbw_usage_count_destroy (usage->count);
  hbw_usage_ledger_destroy (usage->ledger);
  hbw_usage_reports_destroy (usage->reports);
  g_free (usage);
}

HbwDutyTask *
hbw_usage_task_create (const HbwUsageConfig *config)
{
  static const HbwDutyTaskClass class = { .name = "usage",
                                          .tick = usage_tick,
                                          .load = usage_load,
                                          .save = usage_save,
                                          .state_number = usage_state_number,
                                          .next_call = usage_next_call,
                                          .handle_result = usage_handle_result,
                                          .destroy = usage_destroy };
  HbwUsageTask *usage = g_new0 (HbwUsageTask, 1);
  gint64 kept_us = KEPT_FACTOR * (config->window_us + config->late_us);
  usage->base.class = &class;
  usage->config = *config;
  usage->time = hbw_true_time_create ();
  usage->count = hbw_usage_count_create ((guint) (kept_us / config->window_us) + 1);
  usage->ledger = hbw_usage_ledger_create ();
  usage->reports = hbw_usage_reports_create ();
  return &usage->base;
}

void
hbw_usage_record_begun (HbwDutyTask *task, HbwContext *context,
                        const char *organisation)
{
  HbwUsageTask *usage = usage_of (task);
  if (!hbw_is_organisation_name (organisation)) /* the request needs no key */
    return;
  begin_window (usage, context);
  hbw_usage_count_add (usage->count, organisation);
  hbw_metrics_control (context->metrics)->usage_requests++;
}

static void
send_receipt (HbwContext *context, guint64 to, gint64 window)
{
  HbwMessage message = { .kind = HBW_MESSAGE_USAGE_COUNTS };
  message.usage.window = window;
  message.usage.is_receipt = TRUE;
  message.usage.wall_us = context->wall_us;
  hbw_context_send (context, to, &message);
}

/* Returns whether the receiver has all final counts, or needs them no more. */
static gboolean
merge_counts (HbwUsageTask *usage, HbwContext *context, guint64 from,
              const HbwUsageCounts *counts)
{
  gint64 current = find_window (usage, true_now (usage, context->now_us));
  gboolean is_frozen
      = usage->is_holder
        && counts->window <= hbw_usage_reports_last_window (usage->reports);
  if (counts->window > current + EARLY_WINDOWS)
    return FALSE;
  if (is_frozen || counts->window < find_oldest (usage, context->now_us))
    {
      hbw_metrics_control (context->metrics)->usage_late_messages++;
      return counts->is_final;
    }
  return hbw_usage_ledger_merge (usage->ledger, from, counts);
}

void
hbw_usage_handle_counts (HbwDutyTask *task, HbwContext *context, guint64 from,
                         const HbwUsageCounts *counts)
{
  HbwUsageTask *usage = usage_of (task);
  hbw_true_time_observe (usage->time, from, counts->wall_us, context->now_us);
  if (counts->is_receipt)
    {
      hbw_usage_count_handle_receipt (usage->count, from, counts->window);
      return;
    }
  if (counts->window <= 0 || counts->first_window <= 0
      || !hbw_true_time_is_known (usage->time))
    return;
  if (merge_counts (usage, context, from, counts))
    send_receipt (context, from, counts->window);
}

void
hbw_usage_handle_status (HbwDutyTask *task, HbwContext *context, guint64 holder,
                         guint64 deputy, gint64 window, gint64 window_age_us)
{
  HbwUsageTask *usage = usage_of (task);
  const guint64 receivers[HBW_USAGE_RECEIVERS_MAX]
      = { holder, deputy != holder ? deputy : 0 };
  hbw_usage_count_set_receivers (usage->count, receivers);
  if (window <= 0 || window > HBW_TRUE_TIME_MAX_US / usage->config.window_us
      || window_age_us < 0 || window_age_us > HBW_TRUE_TIME_MAX_US
      || holder == context->self || usage->is_holder)
    return;
  note_start (usage, context);
  handle_time_change (
      usage, context,
      hbw_true_time_follow (usage->time,
                            window * usage->config.window_us + window_age_us,
                            context->now_us));
}

gboolean
hbw_usage_current_window (const HbwDutyTask *task, gint64 now_us, gint64 *number,
                          gint64 *age_us)
{
  const HbwUsageTask *usage = (const HbwUsageTask *) task;
  gint64 true_us = true_now (usage, now_us);
  gboolean is_known = hbw_true_time_is_known (usage->time);
  *number = is_known ? find_window (usage, true_us) : 0;
  *age_us = is_known ? true_us - *number * usage->config.window_us : 0;
  return is_known;
}
