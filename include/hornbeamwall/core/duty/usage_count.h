/*
 * usage_count - requests that began to run at this instance
 *
 * Counts by usage window and organisation, and tells them to the receivers: the
 * holder of the duty lease and its deputy.  The counts of a window are cumulative.
 * Those that changed are told while the window lasts; all of them once it is over,
 * again and again until the receiver has confirmed them.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_USAGE_COUNT_H
#define HORNBEAMWALL_CORE_DUTY_USAGE_COUNT_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Interval between messages to one receiver. */
#define HBW_USAGE_SEND_INTERVAL_US (500 * HBW_US_PER_MS)

/* Interval after which final counts that were not confirmed are sent again. */
#define HBW_USAGE_RESEND_INTERVAL_US (1 * HBW_US_PER_S)

/* Maximum number of organisations of one window; further ones are not counted. */
#define HBW_USAGE_ORGANISATIONS_MAX 4096

#define HBW_USAGE_RECEIVERS_MAX 2

typedef struct HbwUsageCount HbwUsageCount;

/* The counts of at most KEPT windows are kept. */
HbwUsageCount *hbw_usage_count_create (guint kept);
void hbw_usage_count_destroy (HbwUsageCount *count);

/* Begins WINDOW and all that were skipped before it.  If it is the one before the
   current window, that stays the current one: its end was told already.  If time has
   gone back further, everything is dropped. */
void hbw_usage_count_begin_window (HbwUsageCount *count, gint64 window);

/* Counts a request in the current window. */
void hbw_usage_count_add (HbwUsageCount *count, const char *organisation);

/* Adds DIFFERENCE to the numbers of all windows.  Counts of windows before FIRST, in
   which this instance started, go to that one. */
void hbw_usage_count_renumber (HbwUsageCount *count, gint64 difference,
                               gint64 first);

/* Sets the identities of the receivers; 0 is none.  A new one is told everything at
   the next tick. */
void
hbw_usage_count_set_receivers (HbwUsageCount *count,
                               const guint64 receivers[HBW_USAGE_RECEIVERS_MAX]);

/* Handles that RECEIVER has the final counts of WINDOW. */
void hbw_usage_count_handle_receipt (HbwUsageCount *count, guint64 receiver,
                                     gint64 window);

/* Sends what is due, from the window OLDEST on; only the clock of this instance if
   NUMBERS_KNOWN is FALSE. */
void hbw_usage_count_send (HbwUsageCount *count, HbwContext *context, gint64 oldest,
                           gboolean numbers_known);

#endif
