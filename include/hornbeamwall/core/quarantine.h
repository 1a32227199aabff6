/*
 * quarantine - finds and refuses requests that make backend servers fail
 *
 * The fingerprint of each request that is in progress on a server when it fails
 * becomes a suspect of that failure.  A suspect is active while an instance has a
 * request with its fingerprint, waiting or running, that may still complete.  A
 * complete response clears it.  A failure is dismissed if its server then responds
 * on an older connection: it only broke off a response.
 *
 * A suspect runs only while no other request with its fingerprint does, and only on
 * a server without another suspect, so that a second failure has only one suspect of
 * the first.  A suspect with two failures is held and does not run.  It is
 * quarantined in all instances for HBW_QUARANTINE_DURATION_US if it is the only
 * remaining suspect of one of its failures, or if no other one is active.  In the
 * first case it explains its failures, and other suspects whose failures are all
 * explained may run again.
 *
 * This handles several harmful requests at the same time that fail every server they
 * run on, next to harmless requests on the same servers, and whose callers resend
 * them.
 *
 * A part of prompts may make servers fail whatever else the requests hold, no two of
 * which need be alike.  The failures of a request are charged to its shared parts,
 * too.  A complete response clears them.  A part is quarantined after
 * HBW_PART_FAILURES_MIN failures of different requests that follow one another, if
 * it explains more of them than others, and requests without it were answered
 * meanwhile. It then explains its failures, and requests with it are refused.  It is
 * never held.
 *
 * Every failure has an id, so that a report that is lost, repeated or late changes
 * nothing once it has been merged.  core/suspect_share.h sends the reports.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_H
#define HORNBEAMWALL_CORE_QUARANTINE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Number of failures after which a suspect is held. */
#define HBW_QUARANTINE_FAILURES_MIN 2

/* Number of failures, one after the other, after which a part of prompts is
   quarantined. */
#define HBW_PART_FAILURES_MIN 3

/* Time in which all suspects of a failure are reported by their instances. */
#define HBW_QUARANTINE_GATHER_WINDOW_US (HBW_US_PER_S / 4)

/* Time in which a server that failed refuses a connection, or one that did not fail
   responds on an older one. */
#define HBW_QUARANTINE_CONFIRM_WINDOW_US (1 * HBW_US_PER_S)

/* Time in which the other suspects of a failure have to complete or become
   inactive. */
#define HBW_QUARANTINE_CLEAR_TIMEOUT_US (30 * HBW_US_PER_S)

/* A server that breaks another request within this time has not recovered yet. */
#define HBW_QUARANTINE_OUTAGE_US (2 * HBW_US_PER_S)

/* Lifetime of a suspicion or a quarantine. */
#define HBW_QUARANTINE_DURATION_US (300 * HBW_US_PER_S)

/* How long a cleared suspect is kept, so that a late report of its failure is
   recognised. */
#define HBW_QUARANTINE_CLEARED_DURATION_US (30 * HBW_US_PER_S)

/* An instance reports the suspects that are active there at this interval; without
   another report, they count as inactive after the timeout. */
#define HBW_SUSPECT_REFRESH_INTERVAL_US (HBW_US_PER_S / 2)
#define HBW_SUSPECT_ACTIVE_TIMEOUT_US (3 * HBW_SUSPECT_REFRESH_INTERVAL_US)

/* How long a suspect does not run after a failure or an arrival, if there are other
   instances: a report from one of them may be on its way. */
#define HBW_QUARANTINE_SETTLE_US (25 * HBW_US_PER_MS)

/* How long a running suspect keeps other requests with its fingerprint waiting. */
#define HBW_SUSPECT_EXCLUSIVE_MAX_US (2 * HBW_US_PER_S)

/* How long a suspect waits for a server without another suspect of any instance. */
#define HBW_SUSPECT_ALONE_MAX_US (1 * HBW_US_PER_S)

/* Most fingerprints that are stored. */
#define HBW_QUARANTINE_ENTRIES_MAX 4096

HbwQuarantine *hbw_quarantine_create (guint64 self);
void hbw_quarantine_destroy (HbwQuarantine *quarantine);

typedef enum
{
  HBW_QUARANTINE_STATUS_NONE,
  HBW_QUARANTINE_STATUS_SUSPECT, /* may run on a server without another suspect */
  HBW_QUARANTINE_STATUS_HELD,    /* may not run until its status changes */
  HBW_QUARANTINE_STATUS_QUARANTINED, /* is refused */
} HbwQuarantineStatus;

/* Failure of a server during an attempt.  Times are those of this instance. */
typedef struct
{
  guint64 id;     /* of the attempt, unique in all instances */
  guint64 server; /* hash of its id */
  gint64 started_us;
  gint64 failed_us;
} HbwServerFailure;

/* Sets whether there are other instances that may send reports. */
void hbw_quarantine_set_has_peers (HbwQuarantine *quarantine, gboolean has_peers);

/* Returns the number of failures of FINGERPRINT that no quarantined request
   explains. */
guint hbw_quarantine_count_unexplained (HbwQuarantine *quarantine,
                                        const HbwFingerprint *fingerprint,
                                        gint64 now_us);

/* Returns whether FINGERPRINT has a failure that was not cleared. */
gboolean hbw_quarantine_is_suspect (HbwQuarantine *quarantine,
                                    const HbwFingerprint *fingerprint,
                                    gint64 now_us);

/* Returns the status of FINGERPRINT for a request of INSTANCE that is not in
   progress on a server, after evaluating all suspects if needed. */
HbwQuarantineStatus hbw_quarantine_check (HbwQuarantine *quarantine,
                                          const HbwFingerprint *fingerprint,
                                          guint64 instance, gint64 now_us);

/* Returns the time until the entry of FINGERPRINT expires, in microseconds; 0 if
   there is none. */
gint64 hbw_quarantine_remaining_us (HbwQuarantine *quarantine,
                                    const HbwFingerprint *fingerprint,
                                    gint64 now_us);

/* Records FAILURE and returns the number of failures of FINGERPRINT that were not
   cleared.  Copies of a request on the same failed server count once. */
guint hbw_quarantine_add_failure (HbwQuarantine *quarantine,
                                  const HbwFingerprint *fingerprint,
                                  const HbwServerFailure *failure, gint64 now_us);

/* Clears all failures of FINGERPRINT after a complete response, unless it is
   quarantined; returns whether it was a suspect. */
gboolean hbw_quarantine_clear (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

/* Charges a failure of FINGERPRINT, with the id FAILURE, to the shared PARTS of its
   prompt, too.  POOL_HASH identifies the pool of the request. */
void hbw_quarantine_charge_parts (HbwQuarantine *quarantine,
                                  const HbwFingerprint *fingerprint, guint64 failure,
                                  const HbwPartIds *parts, guint64 pool_hash,
                                  gint64 now_us);

/* Clears PARTS of their failures after a complete response to a request that had
   them, and was sent to a server at STARTED_US.  A quarantined part is released if
   that is later than its last failure. */
void hbw_quarantine_clear_parts (HbwQuarantine *quarantine, const HbwPartIds *parts,
                                 guint64 pool_hash, gint64 started_us,
                                 gint64 now_us);

/* Returns whether one of PARTS is quarantined; sets its ID, and the time until the
   quarantine ends in microseconds. */
gboolean hbw_quarantine_find_part (HbwQuarantine *quarantine,
                                   const HbwPartIds *parts, guint64 *id,
                                   gint64 *remaining_us, gint64 now_us);

/* Returns a number that changes when another part is quarantined. */
guint64 hbw_quarantine_part_verdicts (const HbwQuarantine *quarantine);

/* Quarantines the parts about which it was too early to decide.  Call regularly. */
void hbw_quarantine_evaluate_parts (HbwQuarantine *quarantine, gint64 now_us);

/* Fills CLEARED with the cleared parts that are due to be sent to all instances;
   returns FALSE if there are none. */
gboolean hbw_quarantine_take_cleared_parts (HbwQuarantine *quarantine,
                                            HbwClearedParts *cleared, gint64 now_us);

/* Merges CLEARED of another instance. */
void hbw_quarantine_merge_cleared_parts (HbwQuarantine *quarantine,
                                         const HbwClearedParts *cleared,
                                         gint64 now_us);

/* Sets what this instance is doing with FINGERPRINT, if that is known as a suspect;
   returns whether that is a change.  SERVER is the hash of the server on which it
   runs, or 0. */
gboolean hbw_quarantine_set_activity (HbwQuarantine *quarantine,
                                      const HbwFingerprint *fingerprint,
                                      HbwSuspectActivity activity, guint64 server,
                                      gint64 now_us);

/* Records that FINGERPRINT did not run on the server with the hash SERVER, on which
   this instance had reported it as running, and tells the other instances.  It may
   run again HBW_SUSPECT_EXCLUSIVE_MAX_US after that attempt began. */
void hbw_quarantine_forget_attempt (HbwQuarantine *quarantine,
                                    const HbwFingerprint *fingerprint,
                                    guint64 server, gint64 now_us);

/* Adds to USED the hashes (guint64) of the servers on which other suspects run, in
   any instance, unless FINGERPRINT has waited for HBW_SUSPECT_ALONE_MAX_US.  USED
   refers to data of the quarantine. */
void hbw_quarantine_add_used_servers (HbwQuarantine *quarantine,
                                      const HbwFingerprint *fingerprint,
                                      GHashTable *used, gint64 now_us);

/* Merges REPORT of the instance FROM; returns the number of failures in it that were
   not known here. */
guint hbw_quarantine_merge (HbwQuarantine *quarantine, guint64 from,
                            const HbwSuspicionReport *report, gint64 now_us);

/* Fills REPORT with the next change that is due to be sent to all instances; returns
   FALSE if there is none.  Each change is sent several times, INTERVAL_US apart, as
   a message may be lost. */
gboolean hbw_quarantine_take_report (HbwQuarantine *quarantine, gint64 interval_us,
                                     HbwSuspicionReport *report, gint64 now_us);

/* Drops expired entries, and schedules reports of the suspects that are active here.
   Call every HBW_SUSPECT_REFRESH_INTERVAL_US. */
void hbw_quarantine_refresh (HbwQuarantine *quarantine, gint64 now_us);

/* Returns a number that is the same in instances that know of the same failures and
   quarantined requests. */
guint64 hbw_quarantine_digest (const HbwQuarantine *quarantine, gint64 now_us);

/* Fills REPORTS with up to MAX entries after the first SKIPPED, those with the most
   failures first and newer ones before older ones; returns their number. */
guint hbw_quarantine_list_reports (const HbwQuarantine *quarantine, guint skipped,
                                   HbwSuspicionReport *reports, guint max,
                                   gint64 now_us);

/* Returns the number of entries with a failure that is not cleared, or a verdict. */
guint hbw_quarantine_count_open (const HbwQuarantine *quarantine, gint64 now_us);

/* Returns whether there is a failure or a verdict that is not known to be in the
   platform's store.  If it cannot hold all entries, but MAX, those with one failure
   do not count. */
gboolean hbw_quarantine_has_unstored (const HbwQuarantine *quarantine, guint max,
                                      gint64 now_us);

/* Records that the platform's store may have lost all that it had. */
void hbw_quarantine_mark_unstored (HbwQuarantine *quarantine);

/* Records that the platform's store has REPORTS, and tells the other instances. */
void hbw_quarantine_mark_stored (HbwQuarantine *quarantine,
                                 const HbwSuspicionReport *reports, guint count,
                                 gint64 now_us);

/* Records that the server with the hash SERVER has just responded on a connection
   that was opened at OPENED_US: it has not failed since, and broken responses in
   between are no failures.  Requests that were quarantined for them are released. */
void hbw_quarantine_handle_response (HbwQuarantine *quarantine, guint64 server,
                                     gint64 opened_us, gint64 now_us);

/* Withdraws a failure of the request with FINGERPRINT that this instance has
   recorded for its attempt ID: the server had not failed. */
void hbw_quarantine_withdraw_failure (HbwQuarantine *quarantine,
                                      const HbwFingerprint *fingerprint, guint64 id,
                                      gint64 now_us);

/* Records that the server with the hash SERVER has just refused a connection: its
   recent failures are confirmed. */
void hbw_quarantine_handle_refused_connection (HbwQuarantine *quarantine,
                                               guint64 server, gint64 now_us);

/* Records that the server with the hash SERVER has just accepted a connection:
   responses that broke off recently, up to UNTIL_US, are no failures, unless another
   connection was refused. */
void hbw_quarantine_handle_accepted_connection (HbwQuarantine *quarantine,
                                                guint64 server, gint64 until_us,
                                                gint64 now_us);

/* Quarantines nothing before UNTIL_US, because it is not known yet which suspects
   are active elsewhere, and takes no connection of before NOW_US as evidence. */
void hbw_quarantine_suspend_verdicts (HbwQuarantine *quarantine, gint64 now_us,
                                      gint64 until_us);

/* Logs the changes of verdicts that have not been logged yet. */
void hbw_quarantine_log_new (HbwQuarantine *quarantine, HbwEffects *effects);

guint hbw_quarantine_size (const HbwQuarantine *quarantine);

/* Returns how many entries were looked at so far because a server had ended. */
guint64 hbw_quarantine_searched_count (const HbwQuarantine *quarantine);

/* Returns how many entries were replaced because the table was full. */
guint64 hbw_quarantine_evicted_count (const HbwQuarantine *quarantine);

#endif
