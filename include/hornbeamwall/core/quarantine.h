/*
 * quarantine - finds and refuses requests that make backend servers fail
 *
 * The fingerprint of each request that is in progress on a server when it fails
 * becomes a suspect of that failure.  The candidates of a failure are those of its
 * suspects that have neither succeeded nor ended since.  A suspect runs only on a
 * server without another suspect, so that a second failure has only one suspect of
 * the first among its candidates.  A success clears it.  A suspect with two failures
 * is held and does not run.  If it becomes the only possible cause of one of them,
 * it is quarantined in all instances for HBW_QUARANTINE_DURATION_US.  It may run
 * again once the quarantine of others explains all of its failures.
 *
 * This handles several harmful requests at the same time that fail every server they
 * run on, next to harmless requests on the same servers, and whose callers resend
 * them.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_H
#define HORNBEAMWALL_CORE_QUARANTINE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Number of failures after which a suspect is held. */
#define HBW_QUARANTINE_FAILURES_MIN 2

/* Failures of one server within this time count as one. */
#define HBW_QUARANTINE_SAME_FAILURE_US (2 * HBW_US_PER_S)

/* Time in which all candidates of a failure are reported by their instances. */
#define HBW_QUARANTINE_GATHER_WINDOW_US (HBW_US_PER_S / 4)

/* Time in which the other candidates of a failure have to succeed or end.  It is
   limited because the message of an instance that fails may be lost. */
#define HBW_QUARANTINE_CLEAR_TIMEOUT_US (30 * HBW_US_PER_S)

/* Lifetime of a suspicion or a quarantine. */
#define HBW_QUARANTINE_DURATION_US (300 * HBW_US_PER_S)

/* Most fingerprints that are stored; a new one replaces the oldest. */
#define HBW_QUARANTINE_ENTRIES_MAX 4096

HbwQuarantine *hbw_quarantine_create (void);
void hbw_quarantine_destroy (HbwQuarantine *quarantine);

typedef enum
{
  HBW_QUARANTINE_STATUS_NONE,
  HBW_QUARANTINE_STATUS_SUSPECT, /* may run on a server without another suspect */
  HBW_QUARANTINE_STATUS_HELD,    /* may not run until its status changes */
  HBW_QUARANTINE_STATUS_QUARANTINED, /* is refused */
} HbwQuarantineStatus;

/* Returns the number of failures of FINGERPRINT that no quarantined request
   explains. */
guint hbw_quarantine_count_unexplained (HbwQuarantine *quarantine,
                                        const HbwFingerprint *fingerprint,
                                        gint64 now_us);

/* Returns the status of FINGERPRINT, after evaluating all suspects if needed. */
HbwQuarantineStatus hbw_quarantine_check (HbwQuarantine *quarantine,
                                          const HbwFingerprint *fingerprint,
                                          gint64 now_us);

/* Returns the time until the entry of FINGERPRINT expires, in microseconds; 0 if
   there is none. */
gint64 hbw_quarantine_remaining_us (HbwQuarantine *quarantine,
                                    const HbwFingerprint *fingerprint,
                                    gint64 now_us);

/* Records a failure of SERVER (a hash) and returns the number of failures of
   FINGERPRINT.  Copies of a request on the same failed server count once. */
guint hbw_quarantine_add_failure (HbwQuarantine *quarantine,
                                  const HbwFingerprint *fingerprint, guint64 server,
                                  gint64 now_us);

/* Removes FINGERPRINT after a success, unless it is quarantined; returns whether it
   was removed. */
gboolean hbw_quarantine_clear (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

/* Marks FINGERPRINT as ended without another attempt, so that the evaluation of
   others does not wait for its success.  Returns whether it was a suspect that had
   not ended yet. */
gboolean hbw_quarantine_handle_request_end (HbwQuarantine *quarantine,
                                            const HbwFingerprint *fingerprint,
                                            gint64 now_us);

/* Merges SUSPECT, reported by a peer. */
void hbw_quarantine_merge_suspect (HbwQuarantine *quarantine,
                                   const HbwSuspicionReport *suspect, gint64 now_us);

/* Logs the quarantined fingerprints that have not been logged yet. */
void hbw_quarantine_log_new (HbwQuarantine *quarantine, HbwEffects *effects);

guint hbw_quarantine_size (const HbwQuarantine *quarantine);

/* Returns how many entries were replaced because the table was full. */
guint64 hbw_quarantine_evicted_count (const HbwQuarantine *quarantine);

#endif
