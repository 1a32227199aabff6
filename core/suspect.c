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

gboolean
hbw_suspect_is_part (const HbwSuspect *suspect)
{
  return suspect->fingerprint.high == HBW_PART_FINGERPRINT_HIGH;
}

guint
hbw_suspect_record_max (const HbwSuspect *suspect)
{
  return hbw_suspect_is_part (suspect) ? HBW_PART_FAILURES_MAX
                                       : HBW_SUSPECT_FAILURES_MAX;
}

gboolean
hbw_suspect_has_failure (const HbwSuspect *suspect, const HbwFailure *failure)
{
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
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
         && !hbw_suspect_has_failure (suspect, failure);
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
                const HbwServerFailure *details, gint64 now_us)
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
  failure->heard_us = now_us;
  CDS_INIT_LIST_HEAD (&failure->records);
  cds_list_add (&failure->link, &server->failures);
  quarantine->failure_times_us[quarantine->failure_count++ % HBW_FAILURE_TIMES_MAX]
      = details->failed_us;
  return failure;
}

gboolean
hbw_failure_is_explained (const HbwFailure *failure)
{
  return failure->cause_count > 0 || failure->has_part;
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
  record->suspect->failure_count--;
  failure->record_count -= !hbw_suspect_is_part (record->suspect);
  failure->cause_count -= record->suspect->verdict == HBW_VERDICT_CAUSE;
  if (cds_list_empty (&failure->records))
    destroy_failure (quarantine, failure);
}

HbwFailureRecord *
hbw_suspect_find_record (HbwSuspect *suspect, guint64 id)
{
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    if (suspect->records[i].details.id == id)
      return &suspect->records[i];
  return NULL;
}

/* Returns the oldest record of a part that does not belong to its sequence of
   failures, after closing it; NULL if all do. */
static HbwFailureRecord *
close_least_record (HbwQuarantine *quarantine, HbwSuspect *part)
{
  HbwFailureRecord *oldest = NULL;
  gboolean used[HBW_PART_FAILURES_MAX];
  hbw_suspect_find_sequence (part, used);
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    if (!used[i]
        && (oldest == NULL
            || part->records[i].details.failed_us < oldest->details.failed_us))
      oldest = &part->records[i];
  if (oldest != NULL)
    close_record (quarantine, oldest);
  return oldest;
}

/* Returns a record that may be overwritten: an unused one, or the oldest of those
   that do not count.  If all count, another failure would change no decision. */
static HbwFailureRecord *
find_replaceable_record (HbwSuspect *suspect)
{
  HbwFailureRecord *oldest = NULL;
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    {
      HbwFailureRecord *record = &suspect->records[i];
      if (!hbw_failure_record_is_open (record)
          && (oldest == NULL
              || record->details.failed_us < oldest->details.failed_us))
        oldest = record;
    }
  return oldest;
}

static gboolean
needs_verdict (const HbwSuspect *suspect)
{
  guint min = hbw_suspect_is_part (suspect) ? HBW_PART_FAILURES_MIN
                                            : HBW_QUARANTINE_FAILURES_MIN;
  return hbw_suspect_count_failures (suspect) >= min;
}

static void
enter_held (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  if (suspect->is_in_held || !needs_verdict (suspect))
    return;
  suspect->is_in_held = TRUE;
  if (hbw_suspect_is_part (suspect))
    {
      cds_list_add_tail (&suspect->held_link, &quarantine->held_parts);
      quarantine->held_part_count++;
      return;
    }
  cds_list_add_tail (&suspect->held_link, &quarantine->held);
  quarantine->held_count++;
}

static void
leave_held (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  if (!suspect->is_in_held || needs_verdict (suspect))
    return;
  cds_list_del (&suspect->held_link);
  if (hbw_suspect_is_part (suspect))
    quarantine->held_part_count--;
  else
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

/* Attaches FAILURE to the suspect in RECORD, which is not used. */
static void
open_record (HbwQuarantine *quarantine, HbwSuspect *suspect,
             HbwFailureRecord *record, HbwFailure *failure,
             const HbwServerFailure *details)
{
  *record = (HbwFailureRecord){ .suspect = suspect,
                                .failure = failure,
                                .details = *details };
  cds_list_add (&record->link, &failure->records);
  suspect->failure_count++;
  failure->record_count += !hbw_suspect_is_part (suspect);
  failure->cause_count += suspect->verdict == HBW_VERDICT_CAUSE;
  suspect->is_stored = FALSE;
  enter_held (quarantine, suspect);
}

gboolean
hbw_suspect_record_failure (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            const HbwServerFailure *details, gint64 now_us)
{
  HbwFailureRecord *record = find_replaceable_record (suspect);
  if (record == NULL || hbw_suspect_find_record (suspect, details->id) != NULL
      || (suspect->completed_us > 0 && details->failed_us <= suspect->completed_us))
    return FALSE;
  HbwFailure *failure = ensure_failure (quarantine, suspect, details, now_us);
  if (hbw_suspect_has_failure (suspect, failure))
    return FALSE;
  open_record (quarantine, suspect, record, failure, details);
  return TRUE;
}

gboolean
hbw_suspect_charge_part (HbwQuarantine *quarantine, HbwSuspect *part, guint position,
                         const HbwFailureRecord *record)
{
  if (hbw_suspect_has_failure (part, record->failure)
      || hbw_suspect_find_record (part, record->details.id) != NULL
      || (part->completed_us > 0 && record->details.failed_us <= part->completed_us))
    return FALSE;
  HbwFailureRecord *free_record = find_replaceable_record (part);
  if (free_record == NULL)
    free_record = close_least_record (quarantine, part);
  if (free_record == NULL)
    return FALSE;
  open_record (quarantine, part, free_record, record->failure, &record->details);
  free_record->source = record->suspect->fingerprint.low;
  free_record->position = position;
  return TRUE;
}

void
hbw_suspect_clear_failures (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            gint64 completed_us, gint64 now_us)
{
  suspect->completed_us = MAX (suspect->completed_us, completed_us);
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    if (suspect->records[i].details.failed_us <= suspect->completed_us)
      close_record (quarantine, &suspect->records[i]);
  handle_records_closed (quarantine, suspect, now_us);
}

void
hbw_suspect_change_verdict (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            HbwVerdict verdict)
{
  if (hbw_suspect_is_part (suspect))
    quarantine->quarantined_parts
        += (guint) ((verdict != HBW_VERDICT_NONE)
                    - (suspect->verdict != HBW_VERDICT_NONE));
  gint change
      = (verdict == HBW_VERDICT_CAUSE) - (suspect->verdict == HBW_VERDICT_CAUSE);
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    if (hbw_failure_record_is_open (&suspect->records[i]))
      suspect->records[i].failure->cause_count += (guint) change;
  suspect->verdict = verdict;
  suspect->is_stored = FALSE;
}

gboolean
hbw_suspect_is_refuted (const HbwSuspect *suspect)
{
  if (needs_verdict (suspect))
    return FALSE;
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
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
      hbw_suspect_change_verdict (quarantine, suspect, HBW_VERDICT_NONE);
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
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    close_record (quarantine, &suspect->records[i]);
  leave_held (quarantine, suspect);
}

/* --- questions ----------------------------------------------------------------- */

guint
hbw_suspect_count_failures (const HbwSuspect *suspect)
{
  return suspect->failure_count;
}

guint
hbw_suspect_count_unexplained (const HbwSuspect *suspect)
{
  guint count = 0;
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
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
  if (hbw_suspect_is_quarantined (suspect))
    return HBW_SUSPECT_FAILURES_MAX + 1;
  guint failures
      = MIN (hbw_suspect_count_failures (suspect), HBW_SUSPECT_FAILURES_MAX);
  /* The failures of a part are those of its requests. */
  gboolean is_known
      = hbw_suspect_is_part (suspect) && failures < HBW_PART_FAILURES_MIN;
  return is_known ? 0 : failures;
}

guint
hbw_suspect_worth (const HbwSuspect *suspect)
{
  guint failures = hbw_suspect_count_failures (suspect);
  if (hbw_suspect_is_quarantined (suspect))
    return G_MAXUINT;
  return hbw_suspect_is_part (suspect) ? failures : 2 * failures;
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
