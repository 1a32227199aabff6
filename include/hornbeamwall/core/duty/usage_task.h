/*
 * usage_task - reports how many requests of each organisation began to run
 *
 * Counts the requests of this instance, tells them to the holder of the duty lease
 * and its deputy, and, while this instance is one of them, collects those of all
 * others.  The holder freezes the counts of a window when all live instances have
 * told theirs, or half of the lateness after its end, and reports them once the
 * store has them.  All functions take the task that hbw_usage_task_create ()
 * returns.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_USAGE_TASK_H
#define HORNBEAMWALL_CORE_DUTY_USAGE_TASK_H

#include "hornbeamwall/core/duty/duty_task.h"

typedef struct
{
  gint64 window_us; /* length of a window; above 0 */
  double tolerance; /* part of a count that a report may differ by */
  gint64 late_us;   /* from the end of a window until its report is due */
} HbwUsageConfig;

HbwDutyTask *hbw_usage_task_create (const HbwUsageConfig *config);

/* Counts a run that has just begun. */
void hbw_usage_record_begun (HbwDutyTask *task, HbwContext *context,
                             const char *organisation);

/* Handles what the instance FROM has told. */
void hbw_usage_handle_counts (HbwDutyTask *task, HbwContext *context, guint64 from,
                              const HbwUsageCounts *counts);

/* Handles that HOLDER holds the lease, and DEPUTY would take it; 0: not known.
   WINDOW is the number of the current window, which began WINDOW_AGE_US ago by the
   holder's time; 0: the holder does not know it. */
void hbw_usage_handle_status (HbwDutyTask *task, HbwContext *context, guint64 holder,
                              guint64 deputy, gint64 window, gint64 window_age_us);

/* Sets NUMBER and AGE_US to the current window and the time since it began, for
   the holder to tell.  Returns FALSE, and sets both to 0, if they are not known. */
gboolean hbw_usage_current_window (const HbwDutyTask *task, gint64 now_us,
                                   gint64 *number, gint64 *age_us);

#endif
