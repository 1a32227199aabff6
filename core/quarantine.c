#include "hornbeamwall/core/quarantine.h"

#include "hornbeamwall/core/effect.h"

#include <urcu/list.h>
#include <xxhash.h>

/* Attempts that ended this close to each other belong to the same failure of a
   server: instances notice a failure at slightly different times. */
#define SAME_FAILURE_SLACK_US (100 * HBW_US_PER_MS)

/* A server that breaks another request within this time has not recovered yet. */
#define OUTAGE_US (2 * HBW_US_PER_S)

/* How many times each change is sent. */
#define TRANSMITS 2

/* Instances whose activity is tracked for one suspect. */
#define ACTIVE_PEERS_MAX 4

typedef struct Suspect Suspect;

/* One failure of one server, shared by the suspects that may have caused it. */
typedef struct
{
  struct cds_list_head link; /* in quarantine->failures, newest first */
  guint64 server;
  gint64 latest_start_us; /* of the attempts that it ended */
  gint64 earliest_end_us;
  gint64 latest_end_us;         /* of an attempt that broke in the same outage */
  struct cds_list_head records; /* Record */
} Failure;

/* A failure as it was recorded for one suspect. */
typedef struct
{
  struct cds_list_head link; /* in failure->records */
  Failure *failure;          /* NULL if cleared or unused */
  Suspect *suspect;
  HbwServerFailure details; /* id 0 is unused */
} Record;

/* What another instance does with a suspect, as it reported. */
typedef struct
{
  guint64 instance;
  HbwSuspectActivity activity;
  guint64 server; /* on which it runs; 0 if it does not */
  gint64 since_us;
  gint64 heard_us;
} PeerActivity;

struct Suspect
{
  struct cds_list_head link; /* in quarantine->by_age, oldest first */
  HbwFingerprint fingerprint;
  Record records[HBW_SUSPECT_FAILURES_MAX];
  gint64 completed_us; /* last complete response, which clears earlier failures; 0 is
                          none */
  HbwVerdict verdict;
  HbwSuspectActivity own_activity; /* of this instance */
  guint64 own_server;              /* on which it runs here; 0 if it does not */
  gint64 own_since_us;             /* when own_activity last changed */
  PeerActivity peers[ACTIVE_PEERS_MAX];
  gint64 expire_at_us;
  gboolean is_stored; /* the platform's store has these failures and this verdict */
  struct cds_list_head unsent_link; /* in quarantine->unsent, if transmits_left */
  guint transmits_left;
  gint64 next_transmit_us;
};

struct HbwQuarantine
{
  guint64 self;
  gboolean has_peers;
  GHashTable *suspects; /* HbwFingerprint -> Suspect */
  struct cds_list_head by_age;
  struct cds_list_head failures;
  struct cds_list_head unsent; /* by next_transmit_us */
  GQueue unlogged;             /* HbwFingerprint, not logged yet */
  guint64 evicted_count;
  gint64 suspended_until_us; /* no verdicts before; 0 is none */
};

static guint
fingerprint_hash (gconstpointer key)
{
  return (guint) ((const HbwFingerprint *) key)->low;
}

static gboolean
fingerprint_equal (gconstpointer a, gconstpointer b)
{
  return hbw_fingerprint_equal (a, b);
}

/* --- records and failures ------------------------------------------------------ */

static gboolean
is_open (const Record *record)
{
  return record->failure != NULL;
}

/* Detaches RECORD from its failure, and frees that once it has no record. */
static void
close_record (Record *record)
{
  Failure *failure = record->failure;
  if (failure == NULL)
    return;
  cds_list_del (&record->link);
  record->failure = NULL;
  if (!cds_list_empty (&failure->records))
    return;
  cds_list_del (&failure->link);
  g_free (failure);
}

/* Returns whether the attempt of DETAILS was in progress when FAILURE happened:
   neither attempt started after the other one had ended. */
static gboolean
was_in_progress (const Failure *failure, const HbwServerFailure *details)
{
  return failure->server == details->server
         && details->started_us <= failure->earliest_end_us + SAME_FAILURE_SLACK_US
         && details->failed_us >= failure->latest_start_us - SAME_FAILURE_SLACK_US;
}

static gboolean
has_open_record_of (const Suspect *suspect, const Failure *failure)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].failure == failure)
      return TRUE;
  return FALSE;
}

/* Returns whether the attempt of DETAILS broke because the server had not recovered
   from FAILURE.  For a suspect of FAILURE itself it is another one: the server may
   have restarted. */
static gboolean
is_same_outage (const Failure *failure, const Suspect *suspect,
                const HbwServerFailure *details)
{
  return failure->server == details->server
         && details->started_us >= failure->earliest_end_us
         && details->failed_us - failure->latest_end_us < OUTAGE_US
         && !has_open_record_of (suspect, failure);
}

static Failure *
find_failure (const HbwQuarantine *quarantine, const Suspect *suspect,
              const HbwServerFailure *details)
{
  Failure *failure;
  cds_list_for_each_entry (failure, &quarantine->failures, link)
    if (was_in_progress (failure, details))
      {
        failure->latest_start_us
            = MAX (failure->latest_start_us, details->started_us);
        failure->earliest_end_us
            = MIN (failure->earliest_end_us, details->failed_us);
        return failure;
      }
  cds_list_for_each_entry (failure, &quarantine->failures, link)
    if (is_same_outage (failure, suspect, details))
      {
        failure->latest_end_us = MAX (failure->latest_end_us, details->failed_us);
        return failure;
      }
  return NULL;
}

static Failure *
ensure_failure (HbwQuarantine *quarantine, const Suspect *suspect,
                const HbwServerFailure *details)
{
  Failure *failure = find_failure (quarantine, suspect, details);
  if (failure != NULL)
    return failure;
  failure = g_new0 (Failure, 1);
  failure->server = details->server;
  failure->latest_start_us = details->started_us;
  failure->earliest_end_us = details->failed_us;
  failure->latest_end_us = details->failed_us;
  CDS_INIT_LIST_HEAD (&failure->records);
  cds_list_add (&failure->link, &quarantine->failures);
  return failure;
}

static gboolean
has_record (const Suspect *suspect, guint64 id)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].details.id == id)
      return TRUE;
  return FALSE;
}

/* Returns a record that may be overwritten: an unused one, or the oldest of those
   that are cleared.  If all are open, another failure would change no decision. */
static Record *
find_replaceable_record (Suspect *suspect)
{
  Record *oldest = NULL;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      Record *record = &suspect->records[i];
      if (!is_open (record)
          && (oldest == NULL
              || record->details.failed_us < oldest->details.failed_us))
        oldest = record;
    }
  return oldest;
}

/* Returns whether the failure is new for the suspect, and not cleared already. */
static gboolean
record_failure (HbwQuarantine *quarantine, Suspect *suspect,
                const HbwServerFailure *details)
{
  Record *record = find_replaceable_record (suspect);
  if (record == NULL || has_record (suspect, details->id)
      || (suspect->completed_us > 0 && details->failed_us <= suspect->completed_us))
    return FALSE;
  Failure *failure = ensure_failure (quarantine, suspect, details);
  if (has_open_record_of (suspect, failure))
    return FALSE;
  record->details = *details;
  record->suspect = suspect;
  record->failure = failure;
  cds_list_add (&record->link, &failure->records);
  suspect->is_stored = FALSE;
  return TRUE;
}

static guint
count_failures (const Suspect *suspect)
{
  guint count = 0;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    count += is_open (&suspect->records[i]);
  return count;
}

/* Clears the failures before COMPLETED_US, at which the request completed. */
static void
clear_failures (Suspect *suspect, gint64 completed_us, gint64 now_us)
{
  suspect->completed_us = MAX (suspect->completed_us, completed_us);
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].details.failed_us <= suspect->completed_us)
      close_record (&suspect->records[i]);
  if (count_failures (suspect) == 0)
    suspect->expire_at_us = now_us + HBW_QUARANTINE_CLEARED_DURATION_US;
}

static gboolean
is_quarantined (const Suspect *suspect)
{
  return suspect->verdict != HBW_VERDICT_NONE;
}

static gboolean
is_explained (const Failure *failure)
{
  const Record *record;
  cds_list_for_each_entry (record, &failure->records, link)
    if (record->suspect->verdict == HBW_VERDICT_CAUSE)
      return TRUE;
  return FALSE;
}

static guint
count_unexplained (const Suspect *suspect)
{
  guint count = 0;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (is_open (&suspect->records[i])
        && !is_explained (suspect->records[i].failure))
      count++;
  return count;
}

/* --- the table ----------------------------------------------------------------- */

static void
remove_suspect (HbwQuarantine *quarantine, Suspect *suspect)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    close_record (&suspect->records[i]);
  if (suspect->transmits_left > 0)
    cds_list_del (&suspect->unsent_link);
  cds_list_del (&suspect->link);
  g_hash_table_remove (quarantine->suspects, &suspect->fingerprint);
}

static Suspect *
find_suspect (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
              gint64 now_us)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->expire_at_us > now_us)
    return suspect;
  remove_suspect (quarantine, suspect);
  return NULL;
}

static Suspect *
ensure_suspect (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                gint64 now_us)
{
  Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (quarantine->suspects) >= HBW_QUARANTINE_ENTRIES_MAX)
    {
      remove_suspect (quarantine,
                      cds_list_first_entry (&quarantine->by_age, Suspect, link));
      quarantine->evicted_count++;
    }
  suspect = g_new0 (Suspect, 1);
  suspect->fingerprint = *fingerprint;
  cds_list_add_tail (&suspect->link, &quarantine->by_age);
  g_hash_table_insert (quarantine->suspects, &suspect->fingerprint, suspect);
  return suspect;
}

static void
schedule_report (HbwQuarantine *quarantine, Suspect *suspect, guint transmits,
                 gint64 now_us)
{
  if (suspect->transmits_left > 0)
    cds_list_del (&suspect->unsent_link);
  suspect->transmits_left = MAX (suspect->transmits_left, transmits);
  suspect->next_transmit_us = now_us;
  cds_list_add (&suspect->unsent_link, &quarantine->unsent);
}

/* --- decisions ----------------------------------------------------------------- */

static gboolean
is_current (const PeerActivity *peer, gint64 now_us)
{
  return peer->activity != HBW_SUSPECT_IDLE
         && now_us - peer->heard_us < HBW_SUSPECT_ACTIVE_TIMEOUT_US;
}

/* Returns whether some instance has a request with this fingerprint, which may still
   complete. */
static gboolean
is_active (const Suspect *suspect, gint64 now_us)
{
  if (is_quarantined (suspect))
    return FALSE;
  if (suspect->own_activity != HBW_SUSPECT_IDLE)
    return TRUE;
  for (guint i = 0; i < ACTIVE_PEERS_MAX; i++)
    if (is_current (&suspect->peers[i], now_us))
      return TRUE;
  return FALSE;
}

static gboolean
is_due (const Failure *failure, gint64 now_us)
{
  return now_us - failure->earliest_end_us >= HBW_QUARANTINE_GATHER_WINDOW_US
         && !is_explained (failure);
}

static gboolean
is_held (const Suspect *suspect)
{
  return count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN
         && count_unexplained (suspect) > 0;
}

/* Returns whether all other suspects of FAILURE were cleared. */
static gboolean
is_only_suspect (const Failure *failure, const Suspect *suspect)
{
  const Record *record;
  cds_list_for_each_entry (record, &failure->records, link)
    if (record->suspect != suspect)
      return FALSE;
  return TRUE;
}

static gboolean
causes_failure (const Failure *failure, const Suspect *suspect, gint64 now_us)
{
  return is_due (failure, now_us) && is_only_suspect (failure, suspect);
}

/* Returns whether it is too early to decide about FAILURE: another suspect of it is
   active. */
static gboolean
has_active_other (const Failure *failure, const Suspect *suspect, gint64 now_us)
{
  if (!is_due (failure, now_us))
    return TRUE;
  if (now_us - failure->earliest_end_us >= HBW_QUARANTINE_CLEAR_TIMEOUT_US)
    return FALSE;
  const Record *record;
  cds_list_for_each_entry (record, &failure->records, link)
    if (record->suspect != suspect && is_active (record->suspect, now_us))
      return TRUE;
  return FALSE;
}

/* Returns whether no other suspect of FAILURE is likelier to be its cause. */
static gboolean
may_cause (const Failure *failure, const Suspect *suspect, gint64 now_us)
{
  if (!is_due (failure, now_us))
    return FALSE;
  const Record *record;
  cds_list_for_each_entry (record, &failure->records, link)
    if (count_unexplained (record->suspect) > count_unexplained (suspect))
      return FALSE;
  return TRUE;
}

typedef gboolean (*FailureTest) (const Failure *failure, const Suspect *suspect,
                                 gint64 now_us);

/* Returns whether TEST holds for any unexplained failure of SUSPECT. */
static gboolean
any_failure (const Suspect *suspect, FailureTest test, gint64 now_us)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      const Failure *failure = suspect->records[i].failure;
      if (failure != NULL && !is_explained (failure)
          && test (failure, suspect, now_us))
        return TRUE;
    }
  return FALSE;
}

static void
set_verdict (HbwQuarantine *quarantine, Suspect *suspect, HbwVerdict verdict,
             gint64 now_us)
{
  if (!is_quarantined (suspect))
    g_queue_push_tail (
        &quarantine->unlogged,
        g_memdup2 (&suspect->fingerprint, sizeof suspect->fingerprint));
  suspect->verdict = verdict;
  suspect->is_stored = FALSE;
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
}

static gboolean
is_undecided (const Suspect *suspect)
{
  return !is_quarantined (suspect) && is_held (suspect);
}

/* Quarantines SUSPECT if it causes a failure, or if it cannot be told apart any more
   from suspects of the same failures, whose requests have ended.  Returns whether
   the verdict may change that of others. */
static gboolean
decide (HbwQuarantine *quarantine, Suspect *suspect, gint64 now_us)
{
  gboolean is_cause = any_failure (suspect, causes_failure, now_us);
  gboolean waits = any_failure (suspect, has_active_other, now_us)
                   || !any_failure (suspect, may_cause, now_us);
  if (!is_cause && waits)
    return FALSE;
  set_verdict (quarantine, suspect,
               is_cause ? HBW_VERDICT_CAUSE : HBW_VERDICT_UNDECIDED, now_us);
  schedule_report (quarantine, suspect, TRANSMITS, now_us);
  return TRUE;
}

/* Returns whether a verdict was found. */
static gboolean
evaluate_once (HbwQuarantine *quarantine, gboolean only_causes, gint64 now_us)
{
  Suspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (is_undecided (suspect)
        && (!only_causes || any_failure (suspect, causes_failure, now_us))
        && decide (quarantine, suspect, now_us))
      return TRUE;
  return FALSE;
}

/* A verdict explains failures of other suspects, after which another cause may stand
   out.  Causes come first. */
static void
evaluate_all (HbwQuarantine *quarantine, gint64 now_us)
{
  if (now_us < quarantine->suspended_until_us)
    return;
  while (evaluate_once (quarantine, TRUE, now_us)
         || evaluate_once (quarantine, FALSE, now_us))
    continue;
}

/* Returns whether activity of INSTANCE keeps other requests with the same
   fingerprint from running: one runs, or the lowest identity goes first among those
   that wait. */
static gboolean
has_precedence (HbwSuspectActivity activity, gint64 since_us, guint64 instance,
                guint64 other, gint64 now_us)
{
  if (activity == HBW_SUSPECT_RUNNING)
    return now_us - since_us < HBW_SUSPECT_EXCLUSIVE_MAX_US;
  return activity == HBW_SUSPECT_WAITING && instance < other;
}

static gboolean
is_run_elsewhere (const HbwQuarantine *quarantine, const Suspect *suspect,
                  guint64 instance, gint64 now_us)
{
  if (has_precedence (suspect->own_activity, suspect->own_since_us, quarantine->self,
                      instance, now_us))
    return TRUE;
  for (guint i = 0; i < ACTIVE_PEERS_MAX; i++)
    {
      const PeerActivity *peer = &suspect->peers[i];
      if (is_current (peer, now_us)
          && has_precedence (peer->activity, peer->since_us, peer->instance,
                             instance, now_us))
        return TRUE;
    }
  return FALSE;
}

static gint64
find_last_failure_us (const Suspect *suspect)
{
  gint64 last_us = 0;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (is_open (&suspect->records[i]))
      last_us = MAX (last_us, suspect->records[i].details.failed_us);
  return last_us;
}

/* Returns whether reports of other instances that concern SUSPECT may still be on
   their way. */
static gboolean
is_settling (const HbwQuarantine *quarantine, const Suspect *suspect, gint64 now_us)
{
  if (!quarantine->has_peers)
    return FALSE;
  gint64 since_us = find_last_failure_us (suspect);
  if (suspect->own_activity != HBW_SUSPECT_IDLE)
    since_us = MAX (since_us, suspect->own_since_us);
  return now_us - since_us < HBW_QUARANTINE_SETTLE_US;
}

HbwQuarantine *
hbw_quarantine_create (guint64 self)
{
  HbwQuarantine *quarantine = g_new0 (HbwQuarantine, 1);
  quarantine->self = self;
  quarantine->suspects
      = g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&quarantine->by_age);
  CDS_INIT_LIST_HEAD (&quarantine->failures);
  CDS_INIT_LIST_HEAD (&quarantine->unsent);
  g_queue_init (&quarantine->unlogged);
  return quarantine;
}

void
hbw_quarantine_destroy (HbwQuarantine *quarantine)
{
  while (!cds_list_empty (&quarantine->by_age))
    remove_suspect (quarantine,
                    cds_list_first_entry (&quarantine->by_age, Suspect, link));
  g_queue_clear_full (&quarantine->unlogged, g_free);
  g_hash_table_destroy (quarantine->suspects);
  g_free (quarantine);
}

void
hbw_quarantine_set_has_peers (HbwQuarantine *quarantine, gboolean has_peers)
{
  quarantine->has_peers = has_peers;
}

guint
hbw_quarantine_count_unexplained (HbwQuarantine *quarantine,
                                  const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  return suspect != NULL ? count_unexplained (suspect) : 0;
}

gboolean
hbw_quarantine_is_suspect (HbwQuarantine *quarantine,
                           const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  return suspect != NULL
         && (is_quarantined (suspect) || count_failures (suspect) > 0);
}

HbwQuarantineStatus
hbw_quarantine_check (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      guint64 instance, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  if (suspect == NULL)
    return HBW_QUARANTINE_STATUS_NONE;
  guint failures = count_failures (suspect);
  if (failures >= HBW_QUARANTINE_FAILURES_MIN)
    evaluate_all (quarantine, now_us);
  if (is_quarantined (suspect))
    return HBW_QUARANTINE_STATUS_QUARANTINED;
  if (failures == 0)
    return HBW_QUARANTINE_STATUS_NONE;
  if (count_unexplained (suspect) == 0)
    return HBW_QUARANTINE_STATUS_SUSPECT;
  if (failures >= HBW_QUARANTINE_FAILURES_MIN
      || is_run_elsewhere (quarantine, suspect, instance, now_us)
      || is_settling (quarantine, suspect, now_us))
    return HBW_QUARANTINE_STATUS_HELD;
  return HBW_QUARANTINE_STATUS_SUSPECT;
}

gint64
hbw_quarantine_remaining_us (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->expire_at_us - now_us : 0;
}

guint
hbw_quarantine_add_failure (HbwQuarantine *quarantine,
                            const HbwFingerprint *fingerprint,
                            const HbwServerFailure *failure, gint64 now_us)
{
  Suspect *suspect = ensure_suspect (quarantine, fingerprint, now_us);
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
  suspect->own_activity = HBW_SUSPECT_WAITING;
  suspect->own_server = 0;
  suspect->own_since_us = now_us;
  if (record_failure (quarantine, suspect, failure))
    schedule_report (quarantine, suspect, TRANSMITS, now_us);
  evaluate_all (quarantine, now_us);
  return count_failures (suspect);
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || is_quarantined (suspect) || count_failures (suspect) == 0)
    return FALSE;
  clear_failures (suspect, now_us, now_us);
  schedule_report (quarantine, suspect, TRANSMITS, now_us);
  evaluate_all (quarantine, now_us);
  return TRUE;
}

gboolean
hbw_quarantine_set_activity (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint,
                             HbwSuspectActivity activity, guint64 server,
                             gint64 now_us)
{
  Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  if (suspect == NULL || suspect->own_activity == activity)
    return FALSE;
  suspect->own_activity = activity;
  suspect->own_server = server;
  suspect->own_since_us = now_us;
  if (is_quarantined (suspect) || count_failures (suspect) == 0)
    return TRUE;
  schedule_report (quarantine, suspect, TRANSMITS, now_us);
  if (activity == HBW_SUSPECT_IDLE)
    evaluate_all (quarantine, now_us);
  return TRUE;
}

/* --- placement ----------------------------------------------------------------- */

static void
add_running_servers (const Suspect *suspect, GHashTable *used, gint64 now_us)
{
  if (suspect->own_activity == HBW_SUSPECT_RUNNING)
    g_hash_table_add (used, (gpointer) &suspect->own_server);
  for (guint i = 0; i < ACTIVE_PEERS_MAX; i++)
    {
      const PeerActivity *peer = &suspect->peers[i];
      if (is_current (peer, now_us) && peer->activity == HBW_SUSPECT_RUNNING)
        g_hash_table_add (used, (gpointer) &peer->server);
    }
}

void
hbw_quarantine_add_used_servers (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, GHashTable *used,
                                 gint64 now_us)
{
  const Suspect *self = find_suspect (quarantine, fingerprint, now_us);
  if (self == NULL || now_us - self->own_since_us >= HBW_SUSPECT_ALONE_MAX_US)
    return;
  const Suspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect != self && count_failures (suspect) > 0)
      add_running_servers (suspect, used, now_us);
}

/* --- reports ------------------------------------------------------------------- */

static PeerActivity *
find_peer_slot (Suspect *suspect, guint64 instance, gint64 now_us)
{
  PeerActivity *free_slot = NULL;
  for (guint i = 0; i < ACTIVE_PEERS_MAX; i++)
    {
      PeerActivity *peer = &suspect->peers[i];
      if (peer->instance == instance)
        return peer;
      if (!is_current (peer, now_us))
        free_slot = peer;
    }
  return free_slot;
}

static void
merge_activity (Suspect *suspect, guint64 from, const HbwSuspicionReport *report,
                gint64 now_us)
{
  PeerActivity *peer = find_peer_slot (suspect, from, now_us);
  if (peer == NULL)
    return;
  if (peer->instance != from || peer->activity != report->activity)
    peer->since_us = now_us;
  peer->instance = from;
  peer->activity = report->activity;
  peer->server = report->running_server_hash;
  peer->heard_us = now_us;
}

/* Returns whether the reported failure was not known here. */
static gboolean
merge_failure (HbwQuarantine *quarantine, Suspect *suspect,
               const HbwFailureReport *report, gint64 now_us)
{
  const HbwServerFailure failure = { .id = report->id,
                                     .server = report->server_hash,
                                     .started_us = now_us - report->started_ago_us,
                                     .failed_us = now_us - report->failed_ago_us };
  return record_failure (quarantine, suspect, &failure);
}

static void
merge_stored (Suspect *suspect, const HbwSuspicionReport *report)
{
  suspect->is_stored |= report->is_stored && report->verdict == suspect->verdict
                        && report->failure_count == count_failures (suspect);
}

/* Returns the entry for REPORT, or NULL if it tells nothing about an unknown
   fingerprint. */
static Suspect *
find_or_create_reported (HbwQuarantine *quarantine, const HbwSuspicionReport *report,
                         gint64 now_us)
{
  if (report->failure_count == 0 && report->verdict == HBW_VERDICT_NONE)
    return find_suspect (quarantine, &report->fingerprint, now_us);
  return ensure_suspect (quarantine, &report->fingerprint, now_us);
}

guint
hbw_quarantine_merge (HbwQuarantine *quarantine, guint64 from,
                      const HbwSuspicionReport *report, gint64 now_us)
{
  guint added = 0;
  gint64 remaining_us = CLAMP (report->remaining_us, 0, HBW_QUARANTINE_DURATION_US);
  Suspect *suspect = find_or_create_reported (quarantine, report, now_us);
  if (suspect == NULL)
    return 0;
  suspect->expire_at_us = MAX (suspect->expire_at_us, now_us + remaining_us);
  if (report->completed_ago_us >= 0 && !is_quarantined (suspect))
    clear_failures (suspect, now_us - report->completed_ago_us, now_us);
  for (guint i = 0; i < report->failure_count; i++)
    added += merge_failure (quarantine, suspect, &report->failures[i], now_us);
  merge_activity (suspect, from, report, now_us);
  if (report->verdict > suspect->verdict)
    set_verdict (quarantine, suspect, report->verdict, now_us);
  merge_stored (suspect, report);
  evaluate_all (quarantine, now_us);
  return added;
}

static void
fill_failure_report (HbwFailureReport *report, const Record *record, gint64 now_us)
{
  report->id = record->details.id;
  report->server_hash = record->details.server;
  report->started_ago_us = now_us - record->details.started_us;
  report->failed_ago_us = now_us - record->details.failed_us;
}

static void
fill_report (HbwSuspicionReport *report, const Suspect *suspect, gint64 now_us)
{
  *report = (HbwSuspicionReport){ .fingerprint = suspect->fingerprint,
                                  .remaining_us = suspect->expire_at_us - now_us,
                                  .verdict = suspect->verdict,
                                  .is_stored = suspect->is_stored,
                                  .activity = suspect->own_activity,
                                  .running_server_hash = suspect->own_server };
  report->completed_ago_us
      = suspect->completed_us > 0 ? now_us - suspect->completed_us : -1;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (is_open (&suspect->records[i]))
      fill_failure_report (&report->failures[report->failure_count++],
                           &suspect->records[i], now_us);
}

gboolean
hbw_quarantine_take_report (HbwQuarantine *quarantine, gint64 interval_us,
                            HbwSuspicionReport *report, gint64 now_us)
{
  if (cds_list_empty (&quarantine->unsent))
    return FALSE;
  Suspect *suspect
      = cds_list_first_entry (&quarantine->unsent, Suspect, unsent_link);
  if (suspect->next_transmit_us > now_us)
    return FALSE;
  cds_list_del (&suspect->unsent_link);
  suspect->transmits_left--;
  suspect->next_transmit_us = now_us + interval_us;
  if (suspect->transmits_left > 0)
    cds_list_add_tail (&suspect->unsent_link, &quarantine->unsent);
  fill_report (report, suspect, now_us);
  return TRUE;
}

void
hbw_quarantine_refresh (HbwQuarantine *quarantine, gint64 now_us)
{
  Suspect *suspect;
  Suspect *next;
  cds_list_for_each_entry_safe (suspect, next, &quarantine->by_age, link)
    {
      if (suspect->expire_at_us <= now_us)
        remove_suspect (quarantine, suspect);
      else if (suspect->own_activity != HBW_SUSPECT_IDLE && !is_quarantined (suspect)
               && count_failures (suspect) > 0)
        schedule_report (quarantine, suspect, 1, now_us);
    }
}

static guint64
suspect_digest (const Suspect *suspect)
{
  guint failures = MIN (count_failures (suspect), HBW_QUARANTINE_FAILURES_MIN);
  if (failures == 0 && !is_quarantined (suspect))
    return 0;
  guint64 parts[] = { suspect->fingerprint.high, suspect->fingerprint.low,
                      suspect->verdict, failures, 0 };
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX && failures == 1; i++)
    if (is_open (&suspect->records[i]))
      parts[G_N_ELEMENTS (parts) - 1] = suspect->records[i].details.server;
  return XXH64 (parts, sizeof parts, 0);
}

guint64
hbw_quarantine_digest (const HbwQuarantine *quarantine, gint64 now_us)
{
  guint64 digest = 0;
  const Suspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us)
      digest ^= suspect_digest (suspect);
  return digest;
}

/* Returns how much a decision depends on the entry. */
static guint
importance (const Suspect *suspect)
{
  if (is_quarantined (suspect))
    return HBW_SUSPECT_FAILURES_MAX + 1;
  return count_failures (suspect);
}

static int
compare_importance (gconstpointer a, gconstpointer b)
{
  guint left = importance (*(const Suspect *const *) a);
  guint right = importance (*(const Suspect *const *) b);
  return (left < right) - (left > right);
}

guint
hbw_quarantine_list_reports (const HbwQuarantine *quarantine,
                             HbwSuspicionReport *reports, guint max, gint64 now_us)
{
  GPtrArray *suspects = g_ptr_array_new ();
  Suspect *suspect;
  cds_list_for_each_entry_reverse (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us)
      g_ptr_array_add (suspects, suspect);
  g_ptr_array_sort (suspects, compare_importance);
  guint count = MIN (suspects->len, max);
  for (guint i = 0; i < count; i++)
    fill_report (&reports[i], suspects->pdata[i], now_us);
  g_ptr_array_free (suspects, TRUE);
  return count;
}

static guint
count_importance (const HbwQuarantine *quarantine, guint importance_min,
                  gboolean only_unstored, gint64 now_us)
{
  guint count = 0;
  const Suspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us && importance (suspect) >= importance_min
        && !(only_unstored && suspect->is_stored))
      count++;
  return count;
}

guint
hbw_quarantine_count_open (const HbwQuarantine *quarantine, gint64 now_us)
{
  return count_importance (quarantine, 1, FALSE, now_us);
}

gboolean
hbw_quarantine_has_unstored (const HbwQuarantine *quarantine, guint max,
                             gint64 now_us)
{
  guint importance_min = hbw_quarantine_count_open (quarantine, now_us) <= max
                             ? 1
                             : HBW_QUARANTINE_FAILURES_MIN;
  return count_importance (quarantine, importance_min, TRUE, now_us) > 0;
}

void
hbw_quarantine_mark_stored (HbwQuarantine *quarantine,
                            const HbwSuspicionReport *reports, guint count,
                            gint64 now_us)
{
  for (guint i = 0; i < count; i++)
    {
      Suspect *suspect = find_suspect (quarantine, &reports[i].fingerprint, now_us);
      if (suspect == NULL || suspect->is_stored)
        continue;
      HbwSuspicionReport stored = reports[i];
      stored.is_stored = TRUE;
      merge_stored (suspect, &stored);
      if (suspect->is_stored)
        schedule_report (quarantine, suspect, 1, now_us);
    }
}

void
hbw_quarantine_suspend_verdicts (HbwQuarantine *quarantine, gint64 until_us)
{
  quarantine->suspended_until_us = until_us;
}

void
hbw_quarantine_log_new (HbwQuarantine *quarantine, HbwEffects *effects)
{
  HbwFingerprint *fingerprint;
  while ((fingerprint = g_queue_pop_head (&quarantine->unlogged)) != NULL)
    {
      hbw_effects_log (effects, HBW_LOG_REQUEST_QUARANTINED,
                       "fingerprint=%016" G_GINT64_MODIFIER
                       "x refused_s=%" G_GINT64_FORMAT,
                       fingerprint->low, HBW_QUARANTINE_DURATION_US / HBW_US_PER_S);
      g_free (fingerprint);
    }
}

guint
hbw_quarantine_size (const HbwQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}

guint64
hbw_quarantine_evicted_count (const HbwQuarantine *quarantine)
{
  return quarantine->evicted_count;
}
