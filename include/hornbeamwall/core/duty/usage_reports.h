/*
 * usage_reports - frozen counts of usage windows, until the platform has them
 *
 * The state of the usage task.  A window's counts are frozen once and are sent byte
 * for byte, by this holder of the duty lease or the next one, and only once the
 * store has them.  Windows are frozen in order; the number of the last one is kept,
 * so that none is frozen twice.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_USAGE_REPORTS_H
#define HORNBEAMWALL_CORE_DUTY_USAGE_REPORTS_H

#include "hornbeamwall/core/duty/duty_call.h"

#include <jansson.h>

/* Pauses between the calls for one window: the first, and the longest. */
#define HBW_USAGE_BACKOFF_MIN_US (200 * G_GINT64_CONSTANT (1000))
#define HBW_USAGE_BACKOFF_MAX_US (2000 * G_GINT64_CONSTANT (1000))

/* Maximum number of frozen windows. */
#define HBW_USAGE_REPORTS_MAX 64

typedef struct HbwUsageReports HbwUsageReports;

HbwUsageReports *hbw_usage_reports_create (void);
void hbw_usage_reports_destroy (HbwUsageReports *reports);

/* Replaces everything by STATE, as by hbw_usage_reports_save (); NULL: empty.
   Parts of it that are not valid are left out. */
void hbw_usage_reports_load (HbwUsageReports *reports, json_t *state);

/* Returns the state; the caller owns it. */
json_t *hbw_usage_reports_save (const HbwUsageReports *reports);

/* Returns a number that rises whenever the state changes. */
guint64 hbw_usage_reports_state_number (const HbwUsageReports *reports);

/* Returns the last window that was frozen, or given up; 0 if there is none. */
gint64 hbw_usage_reports_last_window (const HbwUsageReports *reports);

/* Freezes COUNTS for WINDOW, which is after the last one.  Takes a reference. */
void hbw_usage_reports_freeze (HbwUsageReports *reports, gint64 window,
                               GBytes *counts);

/* Gives up all windows up to WINDOW that were not frozen. */
void hbw_usage_reports_skip (HbwUsageReports *reports, gint64 window);

/* Removes the first frozen window if it is before OLDEST.  Returns its number, or 0.
 */
gint64 hbw_usage_reports_drop_before (HbwUsageReports *reports, gint64 oldest);

/* See HbwDutyTaskClass.  The first window goes first; there is one call at a time.
 */
gboolean hbw_usage_reports_next_call (HbwUsageReports *reports,
                                      guint64 stored_number, gint64 now_us,
                                      HbwDutyCall *call);

/* Handles the result of a call.  Returns the window if the platform has accepted it;
   otherwise 0. */
gint64 hbw_usage_reports_handle_result (HbwUsageReports *reports,
                                        const HbwDutyResult *result, gint64 now_us);

/* Returns the number of windows that were not accepted yet. */
guint hbw_usage_reports_count (const HbwUsageReports *reports);

#endif
