#include "hornbeamwall/core/quarantine_state.h"

/* Attempts that ended this close to each other belong to the same failure of a
   server: instances notice a failure at slightly different times. */
#define SAME_FAILURE_SLACK_US (100 * HBW_US_PER_MS)

/* --- failures ------------------------------------------------------------------ */

/* Returns whether the attempt of DETAILS was in progress when FAILURE happened:
   neither attempt started after the other one had ended. */
static gboolean
was_in_progress (const HbwFailure *failure, const HbwServerFailure *details)
{
  return details->started_us <= failure->earliest_end_us + SAME_FAILURE_SLACK_US
         && details->failed_us >= failure->latest_start_us - SAME_FAILURE_SLACK_US;
}

static gboolean
has_open_record_of (const HbwSuspect *suspect, const HbwFailure *failure)
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
is_same_outage (const HbwFailure *failure, const HbwSuspect *suspect,
                const HbwServerFailure *details)
{
  return details->started_us >= failure->earliest_end_us
         && details->failed_us - failure->latest_end_us < HBW_QUARANTINE_OUTAGE_US
         && !has_open_record_of (suspect, failure);
}

static HbwFailedServer *
ensure_server (HbwQuarantine *quarantine, guint64 hash)
{
  HbwFailedServer *server = g_hash_table_lookup (quarantine->failed_servers, &hash);
  if (server != NULL)
    return server;
  server = g_new0 (HbwFailedServer, 1);
  server->hash = hash;
  CDS_INIT_LIST_HEAD (&server->failures);
  g_hash_table_insert (quarantine->failed_servers, &server->hash, server);
  return server;
}

static HbwFailure *
find_failure (const HbwFailedServer *server, const HbwSuspect *suspect,
              const HbwServerFailure *details)
{
  HbwFailure *failure;
  cds_list_for_each_entry (failure, &server->failures, link)
    if (was_in_progress (failure, details))
      {
        failure->latest_start_us
            = MAX (failure->latest_start_us, details->started_us);
        failure->earliest_end_us
            = MIN (failure->earliest_end_us, details->failed_us);
        failure->latest_end_us = MAX (failure->latest_end_us, details->failed_us);
        return failure;
      }
  cds_list_for_each_entry (failure, &server->failures, link)
    if (is_same_outage (failure, suspect, details))
      {
        failure->is_confirmed |= server->responded_us < failure->earliest_end_us;
        failure->latest_end_us = MAX (failure->latest_end_us, details->failed_us);
        return failure;
      }
  return NULL;
}

static HbwFailure *
ensure_failure (HbwQuarantine *quarantine, const HbwSuspect *suspect,
                const HbwServerFailure *details)
{
  HbwFailedServer *server = ensure_server (quarantine, details->server);
  HbwFailure *failure = find_failure (server, suspect, details);
  if (failure != NULL)
    return failure;
  failure = g_new0 (HbwFailure, 1);
  failure->server = server;
  failure->latest_start_us = details->started_us;
  failure->earliest_end_us = details->failed_us;
  failure->latest_end_us = details->failed_us;
  CDS_INIT_LIST_HEAD (&failure->records);
  cds_list_add (&failure->link, &server->failures);
  return failure;
}

gboolean
hbw_failure_is_explained (const HbwFailure *failure)
{
  return failure->cause_count > 0;
}

/* --- records ------------------------------------------------------------------- */

gboolean
hbw_failure_record_is_open (const HbwFailureRecord *record)
{
  return record->failure != NULL;
}

static void
destroy_failure (HbwQuarantine *quarantine, HbwFailure *failure)
{
  HbwFailedServer *server = failure->server;
  cds_list_del (&failure->link);
  g_free (failure);
  if (cds_list_empty (&server->failures))
    g_hash_table_remove (quarantine->failed_servers, &server->hash);
}

/* Detaches RECORD from its failure, and frees that once it has no record. */
static void
close_record (HbwQuarantine *quarantine, HbwFailureRecord *record)
{
  HbwFailure *failure = record->failure;
  if (failure == NULL)
    return;
  cds_list_del (&record->link);
  record->failure = NULL;
  failure->record_count--;
  failure->cause_count -= record->suspect->verdict == HBW_VERDICT_CAUSE;
  if (cds_list_empty (&failure->records))
    destroy_failure (quarantine, failure);
}

HbwFailureRecord *
hbw_suspect_find_record (HbwSuspect *suspect, guint64 id)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].details.id == id)
      return &suspect->records[i];
  return NULL;
}

/* Returns a record that may be overwritten: an unused one, or the oldest of those
   that do not count.  If all count, another failure would change no decision. */
static HbwFailureRecord *
find_replaceable_record (HbwSuspect *suspect)
{
  HbwFailureRecord *oldest = NULL;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      HbwFailureRecord *record = &suspect->records[i];
      if (!hbw_failure_record_is_open (record)
          && (oldest == NULL
              || record->details.failed_us < oldest->details.failed_us))
        oldest = record;
    }
  return oldest;
}

static void
leave_held (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  if (!suspect->is_in_held
      || hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN)
    return;
  cds_list_del (&suspect->held_link);
  quarantine->held_count--;
  suspect->is_in_held = FALSE;
}

/* Updates the suspect after some of its records were closed. */
static void
handle_records_closed (HbwQuarantine *quarantine, HbwSuspect *suspect, gint64 now_us)
{
  leave_held (quarantine, suspect);
  if (hbw_suspect_count_failures (suspect) == 0)
    suspect->expire_at_us = now_us + HBW_QUARANTINE_CLEARED_DURATION_US;
}

gboolean
hbw_suspect_record_failure (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            const HbwServerFailure *details)
{
  HbwFailureRecord *record = find_replaceable_record (suspect);
  if (record == NULL || hbw_suspect_find_record (suspect, details->id) != NULL
      || (suspect->completed_us > 0 && details->failed_us <= suspect->completed_us))
    return FALSE;
  HbwFailure *failure = ensure_failure (quarantine, suspect, details);
  if (has_open_record_of (suspect, failure))
    return FALSE;
  record->details = *details;
  record->suspect = suspect;
  record->failure = failure;
  record->is_dismissed = FALSE;
  cds_list_add (&record->link, &failure->records);
  failure->record_count++;
  failure->cause_count += suspect->verdict == HBW_VERDICT_CAUSE;
  suspect->is_stored = FALSE;
  if (!suspect->is_in_held
      && hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN)
    {
      cds_list_add_tail (&suspect->held_link, &quarantine->held);
      quarantine->held_count++;
      suspect->is_in_held = TRUE;
    }
  return TRUE;
}

void
hbw_suspect_clear_failures (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            gint64 completed_us, gint64 now_us)
{
  suspect->completed_us = MAX (suspect->completed_us, completed_us);
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].details.failed_us <= suspect->completed_us)
      close_record (quarantine, &suspect->records[i]);
  handle_records_closed (quarantine, suspect, now_us);
}

void
hbw_suspect_change_verdict (HbwSuspect *suspect, HbwVerdict verdict)
{
  gint change
      = (verdict == HBW_VERDICT_CAUSE) - (suspect->verdict == HBW_VERDICT_CAUSE);
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&suspect->records[i]))
      suspect->records[i].failure->cause_count += (guint) change;
  suspect->verdict = verdict;
  suspect->is_stored = FALSE;
}

gboolean
hbw_suspect_is_refuted (const HbwSuspect *suspect)
{
  if (hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN)
    return FALSE;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].is_dismissed)
      return TRUE;
  return FALSE;
}

void
hbw_suspect_dismiss_record (HbwQuarantine *quarantine, HbwFailureRecord *record,
                            gint64 now_us)
{
  HbwSuspect *suspect = record->suspect;
  close_record (quarantine, record);
  record->is_dismissed = TRUE;
  suspect->is_stored = FALSE;
  if (hbw_suspect_is_quarantined (suspect) && hbw_suspect_is_refuted (suspect))
    {
      hbw_suspect_change_verdict (suspect, HBW_VERDICT_NONE);
      hbw_quarantine_schedule_log (quarantine, suspect);
    }
  handle_records_closed (quarantine, suspect, now_us);
}

void
hbw_suspect_record_dismissed (HbwSuspect *suspect, const HbwServerFailure *details)
{
  HbwFailureRecord *record = find_replaceable_record (suspect);
  if (record == NULL)
    return;
  record->details = *details;
  record->suspect = suspect;
  record->is_dismissed = TRUE;
}

void
hbw_suspect_close (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    close_record (quarantine, &suspect->records[i]);
  leave_held (quarantine, suspect);
}

/* --- questions ----------------------------------------------------------------- */

guint
hbw_suspect_count_failures (const HbwSuspect *suspect)
{
  guint count = 0;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    count += hbw_failure_record_is_open (&suspect->records[i]);
  return count;
}

guint
hbw_suspect_count_unexplained (const HbwSuspect *suspect)
{
  guint count = 0;
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&suspect->records[i])
        && !hbw_failure_is_explained (suspect->records[i].failure))
      count++;
  return count;
}

gboolean
hbw_suspect_is_quarantined (const HbwSuspect *suspect)
{
  return suspect->verdict != HBW_VERDICT_NONE;
}

gboolean
hbw_suspect_is_held (const HbwSuspect *suspect)
{
  return hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN
         && hbw_suspect_count_unexplained (suspect) > 0;
}

guint
hbw_suspect_importance (const HbwSuspect *suspect)
{
  return hbw_suspect_is_quarantined (suspect) ? HBW_SUSPECT_FAILURES_MAX + 1
                                              : hbw_suspect_count_failures (suspect);
}

gboolean
hbw_peer_activity_is_current (const HbwPeerActivity *peer, gint64 now_us)
{
  return peer->activity != HBW_SUSPECT_IDLE
         && now_us - peer->heard_us < HBW_SUSPECT_ACTIVE_TIMEOUT_US;
}

gboolean
hbw_suspect_is_active (const HbwSuspect *suspect, gint64 now_us)
{
  if (hbw_suspect_is_quarantined (suspect))
    return FALSE;
  if (suspect->own_activity != HBW_SUSPECT_IDLE)
    return TRUE;
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    if (hbw_peer_activity_is_current (&suspect->peers[i], now_us))
      return TRUE;
  return FALSE;
}
