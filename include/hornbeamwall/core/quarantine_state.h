/*
 * quarantine_state - the suspects and their failures, private to the quarantine
 *
 * For core/quarantine*.c and core/suspect.c only.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_STATE_H
#define HORNBEAMWALL_CORE_QUARANTINE_STATE_H

#include "hornbeamwall/core/quarantine.h"

#include <urcu/list.h>

/* How many times each change is sent. */
#define HBW_SUSPECT_TRANSMITS 2

/* Failures that are kept for a part of prompts.  Many attempts with it may end at
   once, and only some of them tell something. */
#define HBW_PART_FAILURES_MAX 16

/* Failures of servers whose times are kept. */
#define HBW_FAILURE_TIMES_MAX 64

/* Instances whose activity is tracked for one suspect. */
#define HBW_SUSPECT_PEERS_MAX 4

typedef struct HbwSuspect HbwSuspect;

typedef struct
{
  guint64 hash;                  /* of its id */
  struct cds_list_head failures; /* HbwFailure, newest first */
  gint64 responded_us;           /* last response since its first failure; 0: none */
} HbwFailedServer;

/* One failure of one server, shared by the suspects that may have caused it. */
typedef struct
{
  struct cds_list_head link; /* in server->failures, newest first */
  HbwFailedServer *server;
  gint64 latest_start_us; /* of the attempts that it ended */
  gint64 earliest_end_us;
  gint64 latest_end_us;      /* of an attempt that broke in the same outage */
  gint64 heard_us;           /* when it became known here */
  gboolean is_confirmed;     /* the server served no request afterwards */
  gboolean is_refused;       /* it refused a connection afterwards */
  gint64 suspended_until_us; /* another suspect of it may not be reported before */
  struct cds_list_head records; /* HbwFailureRecord */
  guint record_count;           /* of requests */
  guint cause_count;            /* records of suspects with HBW_VERDICT_CAUSE */
  gboolean has_part;            /* a request of it has a quarantined part */
  /* Valid for one evaluation of all suspects, the one with this number. */
  guint64 evaluation;
  guint active_count;     /* suspects that are active */
  guint most_unexplained; /* failures of one suspect */
} HbwFailure;

/* A failure as it was recorded for one suspect. */
typedef struct
{
  struct cds_list_head link; /* in failure->records */
  HbwFailure *failure;       /* NULL if it does not count any more, or unused */
  HbwSuspect *suspect;
  HbwServerFailure details; /* id 0 is unused */
  gboolean is_dismissed;    /* the server had not failed */
  guint64 source;           /* as in HbwFailureReport */
  guint position;           /* of a part: in the prompt of that request */
} HbwFailureRecord;

/* What another instance does with a suspect, as it reported. */
typedef struct
{
  guint64 instance;
  HbwSuspectActivity activity;
  guint64 server; /* on which it runs; 0 if it does not */
  gint64 since_us;
  gint64 heard_us;
  gint64 server_ended_us; /* when the server ended meanwhile; 0: it did not */
  gboolean is_lost;       /* the instance has stopped to report it */
} HbwPeerActivity;

struct HbwSuspect
{
  struct cds_list_head link; /* in quarantine->by_age, oldest first */
  HbwFingerprint fingerprint;
  guint failure_count;       /* records that count */
  guint64 pool_hash;         /* of a request; 0 if unknown */
  HbwPartIds part_ids;       /* of a request */
  guint64 failed_pool;       /* of a part: in which servers failed; 0 if unknown */
  gint64 others_answered_us; /* of a part: when a request without it was last
                                answered by that pool; 0 is none */
  gint64 completed_us; /* last complete response, which clears earlier failures; 0 is
                          none */
  HbwVerdict verdict;
  HbwSuspectActivity own_activity; /* of this instance */
  guint64 own_server;              /* on which it runs here; 0 if it does not */
  gint64 own_since_us;             /* when own_activity last changed */
  HbwPeerActivity peers[HBW_SUSPECT_PEERS_MAX];
  gint64 expire_at_us;
  gboolean is_stored; /* the platform's store has these failures and this verdict */
  struct cds_list_head running_link; /* in quarantine->run_by_peers, or alone */
  struct cds_list_head held_link;    /* in quarantine->held or ->held_parts */
  gboolean is_in_held;               /* it has as many failures as a verdict needs */
  struct cds_list_head unsent_link;  /* in quarantine->unsent, if transmits_left */
  guint transmits_left;
  gint64 next_transmit_us;
  HbwFailureRecord records[]; /* hbw_suspect_record_max() */
};

/* A part whose clearing is to be sent to all instances. */
typedef struct
{
  guint64 id;
  guint transmits_left;
} HbwUnsentClearing;

struct HbwQuarantine
{
  guint64 self;
  gboolean has_peers;
  GHashTable *suspects; /* HbwFingerprint -> HbwSuspect */
  struct cds_list_head by_age;
  struct cds_list_head run_by_peers; /* suspects that another instance runs */
  guint64 searched_count;    /* entries looked at so far as a server had ended */
  struct cds_list_head held; /* suspects with HBW_QUARANTINE_FAILURES_MIN failures */
  guint held_count;
  struct cds_list_head held_parts; /* with HBW_PART_FAILURES_MIN failures */
  guint held_part_count;
  gint64 parts_evaluated_us;
  guint quarantined_parts;
  guint64 part_verdicts;    /* given so far */
  GArray *unsent_clearings; /* HbwUnsentClearing, to be sent */
  gint64 next_clearings_us;
  GHashTable *failed_servers;                     /* hash -> HbwFailedServer */
  gint64 failure_times_us[HBW_FAILURE_TIMES_MAX]; /* of the last failures, in turn */
  guint failure_count;                            /* of all servers so far */
  struct cds_list_head unsent;                    /* by next_transmit_us */
  GQueue unlogged; /* HbwFingerprint, whose new verdict is not logged */
  guint64 evicted_count;
  gint64 suspended_until_us; /* no verdicts before; 0 is none */
  guint64 evaluation;        /* number of the last evaluation of all suspects */
  gint64 evaluated_us;       /* when that was */
  gint64 watched_since_us;   /* what was known before is out of date */
};

/* --- suspect.c ----------------------------------------------------------------- */

/* Records a failure; returns whether it is new for the suspect and counts. */
gboolean hbw_suspect_record_failure (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                     const HbwServerFailure *details, gint64 now_us);

/* Clears the failures before COMPLETED_US, at which the request completed. */
void hbw_suspect_clear_failures (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                 gint64 completed_us, gint64 now_us);

/* Dismisses a failure, as its server had not failed. */
void hbw_suspect_dismiss_record (HbwQuarantine *quarantine, HbwFailureRecord *record,
                                 gint64 now_us);

/* Records a failure that was dismissed elsewhere, so that a late report of it does
   not count. */
void hbw_suspect_record_dismissed (HbwSuspect *suspect,
                                   const HbwServerFailure *details);

/* Changes the verdict, and what it explains. */
void hbw_suspect_change_verdict (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                 HbwVerdict verdict);

/* Returns whether a verdict would rest on failures that were dismissed. */
gboolean hbw_suspect_is_refuted (const HbwSuspect *suspect);

/* Returns when the last failure of the suspect that counts happened; 0 is none. */
gint64 hbw_suspect_last_failure_us (const HbwSuspect *suspect);

/* Returns whether the suspect is a part of prompts. */
gboolean hbw_suspect_is_part (const HbwSuspect *suspect);

/* Returns how many of its records are used. */
guint hbw_suspect_record_max (const HbwSuspect *suspect);

/* Returns whether the suspect has a record of FAILURE that counts. */
gboolean hbw_suspect_has_failure (const HbwSuspect *suspect,
                                  const HbwFailure *failure);

/* Records the failure of RECORD, of a request, for a part in its prompt; returns
   whether it is new for the part and counts. */
gboolean hbw_suspect_charge_part (HbwQuarantine *quarantine, HbwSuspect *part,
                                  guint position, const HbwFailureRecord *record);

/* Returns how much the table loses without the entry. */
guint hbw_suspect_worth (const HbwSuspect *suspect);

/* Returns the record with the id of an attempt, or NULL. */
HbwFailureRecord *hbw_suspect_find_record (HbwSuspect *suspect, guint64 id);

/* Returns whether the record counts: it was neither cleared nor dismissed. */
gboolean hbw_failure_record_is_open (const HbwFailureRecord *record);

/* Returns whether a quarantined request is the cause of the failure. */
gboolean hbw_failure_is_explained (const HbwFailure *failure);

guint hbw_suspect_count_failures (const HbwSuspect *suspect);
guint hbw_suspect_count_unexplained (const HbwSuspect *suspect);
gboolean hbw_suspect_is_quarantined (const HbwSuspect *suspect);

/* Returns whether it may not run because of its failures. */
gboolean hbw_suspect_is_held (const HbwSuspect *suspect);

/* Returns how much a decision depends on the entry. */
guint hbw_suspect_importance (const HbwSuspect *suspect);

/* Returns whether PEER has reported its activity recently. */
gboolean hbw_peer_activity_is_current (const HbwPeerActivity *peer, gint64 now_us);

/* Returns whether some instance has a request with this fingerprint, which may still
   complete. */
gboolean hbw_suspect_is_active (const HbwSuspect *suspect, gint64 now_us);

/* Detaches the suspect from its failures. */
void hbw_suspect_close (HbwQuarantine *quarantine, HbwSuspect *suspect);

/* --- quarantine.c -------------------------------------------------------------- */

/* Returns the entry, or NULL if there is none or it has expired. */
HbwSuspect *hbw_quarantine_find (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, gint64 now_us);
HbwSuspect *hbw_quarantine_ensure (HbwQuarantine *quarantine,
                                   const HbwFingerprint *fingerprint, gint64 now_us);

/* Schedules reports of the suspect to all instances. */
void hbw_quarantine_schedule_report (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                     guint transmits, gint64 now_us);

/* Schedules a log line about a change of the verdict. */
void hbw_quarantine_schedule_log (HbwQuarantine *quarantine,
                                  const HbwSuspect *suspect);

/* Returns the entry of the part with ID, which is created if needed; NULL if the
   table has room only for what matters more. */
HbwSuspect *hbw_quarantine_ensure_part (HbwQuarantine *quarantine, guint64 id,
                                        gint64 now_us);

/* --- quarantine_parts.c -------------------------------------------------------- */

gboolean hbw_part_ids_contain (const HbwPartIds *parts, guint64 id);

/* Takes back the verdict on a part. */
void hbw_quarantine_release_part (HbwQuarantine *quarantine, HbwSuspect *part,
                                  gint64 now_us);

/* Marks in USED the records of a part that follow one another: each attempt began
   after the failure before had ended.  Returns their number. */
guint hbw_suspect_find_sequence (const HbwSuspect *part,
                                 gboolean used[HBW_PART_FAILURES_MAX]);

/* Charges the parts of a request with its failures. */
void hbw_quarantine_charge_parts_of (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                     gint64 now_us);

/* Clears a part of its failures up to COMPLETED_US, as another instance reports. */
void hbw_quarantine_merge_clearing (HbwQuarantine *quarantine, HbwSuspect *part,
                                    gint64 completed_us, gint64 now_us);

/* Marks the failures of the requests that have the part as explained, or not, after
   its verdict has changed. */
void hbw_quarantine_mark_part (HbwQuarantine *quarantine, const HbwSuspect *part);

/* Returns whether a part that the request does not have may turn out to be the cause
   of FAILURE. */
gboolean hbw_quarantine_may_blame_part (const HbwFailure *failure,
                                        const HbwSuspect *suspect, gint64 now_us);

/* Adopts the verdict on a part that REPORT has, unless it is contradicted here. */
void hbw_quarantine_merge_part (HbwQuarantine *quarantine, HbwSuspect *part,
                                const HbwSuspicionReport *report, gint64 now_us);

/* --- quarantine_verdict.c ------------------------------------------------------ */

void hbw_quarantine_set_verdict (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                 HbwVerdict verdict, gint64 now_us);

/* Quarantines the suspects that can be decided about. */
void hbw_quarantine_evaluate (HbwQuarantine *quarantine, gint64 now_us);

/* Returns whether another instance runs the suspect, or goes first. */
gboolean hbw_quarantine_is_run_elsewhere (const HbwQuarantine *quarantine,
                                          const HbwSuspect *suspect,
                                          guint64 instance, gint64 now_us);

/* Returns whether reports of other instances that concern the suspect may still be
   on their way. */
gboolean hbw_quarantine_is_settling (const HbwQuarantine *quarantine,
                                     const HbwSuspect *suspect, gint64 now_us);

#endif
