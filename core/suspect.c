#include "hornbeamwall/core/quarantine_state.h"

/* Attempts that ended this close to each other belong to the same failure of a
   server: instances notice a failure at slightly different times. */
#define SAME_FAILURE_SLACK_US (100 * HBW_US_PER_MS)

/* A server that breaks another request within this time has not recovered yet. */
#define OUTAGE_US (2 * HBW_US_PER_S)

/* --- failures ------------------------------------------------------------------ */

/* Returns whether the attempt of DETAILS was in progress when FAILURE happened:
   neither attempt started after the other one had ended. */
static gboolean
was_in_progress (const HbwFailure *failure, const HbwServerFailure *details)
{
  return failure->server == details->server
         && details->started_us <= failure->earliest_end_us + SAME_FAILURE_SLACK_US
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
  return failure->server == details->server
         && details->started_us >= failure->earliest_end_us
         && details->failed_us - failure->latest_end_us < OUTAGE_US
         && !has_open_record_of (suspect, failure);
}

static HbwFailure *
find_failure (const HbwQuarantine *quarantine, const HbwSuspect *suspect,
              const HbwServerFailure *details)
{
  HbwFailure *failure;
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

static HbwFailure *
ensure_failure (HbwQuarantine *quarantine, const HbwSuspect *suspect,
                const HbwServerFailure *details)
{
  HbwFailure *failure = find_failure (quarantine, suspect, details);
  if (failure != NULL)
    return failure;
  failure = g_new0 (HbwFailure, 1);
  failure->server = details->server;
  failure->latest_start_us = details->started_us;
  failure->earliest_end_us = details->failed_us;
  failure->latest_end_us = details->failed_us;
  CDS_INIT_LIST_HEAD (&failure->records);
  cds_list_add (&failure->link, &quarantine->failures);
  return failure;
}

gboolean
hbw_failure_is_explained (const HbwFailure *failure)
{
  const HbwFailureRecord *record;
  cds_list_for_each_entry (record, &failure->records, link)
    if (record->suspect->verdict == HBW_VERDICT_CAUSE)
      return TRUE;
  return FALSE;
}

/* --- records ------------------------------------------------------------------- */

gboolean
hbw_failure_record_is_open (const HbwFailureRecord *record)
{
  return record->failure != NULL;
}

/* Detaches RECORD from its failure, and frees that once it has no record. */
static void
close_record (HbwFailureRecord *record)
{
  HbwFailure *failure = record->failure;
  if (failure == NULL)
    return;
  cds_list_del (&record->link);
  record->failure = NULL;
  if (!cds_list_empty (&failure->records))
    return;
  cds_list_del (&failure->link);
  g_free (failure);
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
leave_held (HbwSuspect *suspect)
{
  if (!suspect->is_in_held
      || hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN)
    return;
  cds_list_del (&suspect->held_link);
  suspect->is_in_held = FALSE;
}

/* Updates the suspect after some of its records were closed. */
static void
handle_records_closed (HbwSuspect *suspect, gint64 now_us)
{
  leave_held (suspect);
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
  cds_list_add (&record->link, &failure->records);
  suspect->is_stored = FALSE;
  if (!suspect->is_in_held
      && hbw_suspect_count_failures (suspect) >= HBW_QUARANTINE_FAILURES_MIN)
    {
      cds_list_add_tail (&suspect->held_link, &quarantine->held);
      suspect->is_in_held = TRUE;
    }
  return TRUE;
}

void
hbw_suspect_clear_failures (HbwSuspect *suspect, gint64 completed_us, gint64 now_us)
{
  suspect->completed_us = MAX (suspect->completed_us, completed_us);
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (suspect->records[i].details.failed_us <= suspect->completed_us)
      close_record (&suspect->records[i]);
  handle_records_closed (suspect, now_us);
}

void
hbw_suspect_close (HbwSuspect *suspect)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    close_record (&suspect->records[i]);
  leave_held (suspect);
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
