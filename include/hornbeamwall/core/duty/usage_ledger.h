/*
 * usage_ledger - counts of all instances, at the holder and its deputy
 *
 * Keeps the counts by usage window, sender and organisation.  The counts of a sender
 * only rise, so that a repeated, lost or reordered message changes nothing.  Those
 * of a sender that has ended are kept.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_USAGE_LEDGER_H
#define HORNBEAMWALL_CORE_DUTY_USAGE_LEDGER_H

#include "hornbeamwall/core/message.h"

/* Maximum number of senders. */
#define HBW_USAGE_SENDERS_MAX 1024

/* Maximum number of counts of all windows and senders together; further ones are
   dropped. */
#define HBW_USAGE_LEDGER_COUNTS_MAX 200000

typedef struct HbwUsageLedger HbwUsageLedger;

/* Sums of one window. */
typedef struct
{
  guint64 requests;
  guint organisations;
  guint senders;
} HbwUsageSums;

HbwUsageLedger *hbw_usage_ledger_create (void);
void hbw_usage_ledger_destroy (HbwUsageLedger *ledger);

/* Adds the counts that the instance SENDER has told.  Returns whether they are final
   and none is missing. */
gboolean hbw_usage_ledger_merge (HbwUsageLedger *ledger, guint64 sender,
                                 const HbwUsageCounts *counts);

/* Removes the windows before OLDEST, and senders that were not heard since. */
void hbw_usage_ledger_drop_before (HbwUsageLedger *ledger, gint64 oldest);

/* Removes everything. */
void hbw_usage_ledger_clear (HbwUsageLedger *ledger);

gboolean hbw_usage_ledger_has_sender (const HbwUsageLedger *ledger, guint64 sender);
guint hbw_usage_ledger_count_senders (const HbwUsageLedger *ledger);

/* Returns the number of senders whose final counts of WINDOW are missing, in whole
   or in part.  One that has counted only in later windows has none. */
guint hbw_usage_ledger_count_open (const HbwUsageLedger *ledger, gint64 window);

/* Returns the first window in which a sender that is known counted; G_MAXINT64 if
   none is known. */
gint64 hbw_usage_ledger_first_window (const HbwUsageLedger *ledger);

/* Returns the sums of WINDOW by organisation as the text of a JSON object, sorted,
   and fills in SUMS. */
GBytes *hbw_usage_ledger_format (const HbwUsageLedger *ledger, gint64 window,
                                 HbwUsageSums *sums);

guint hbw_usage_ledger_count (const HbwUsageLedger *ledger);

#endif
