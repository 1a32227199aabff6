#include "hornbeamwall/core/quarantine_lost.h"
#include "hornbeamwall/core/quarantine_state.h"

#include <xxhash.h>

static HbwPeerActivity *
find_peer_slot (HbwSuspect *suspect, guint64 instance, gint64 now_us)
{
  HbwPeerActivity *free_slot = NULL;
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      HbwPeerActivity *peer = &suspect->peers[i];
      if (peer->instance == instance)
        return peer;
      if (!hbw_peer_activity_is_current (peer, now_us))
        free_slot = peer;
    }
  return free_slot;
}

static void
track_running (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  gboolean is_run = FALSE;
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    is_run |= suspect->peers[i].activity == HBW_SUSPECT_RUNNING;
  if (!is_run)
    cds_list_del_init (&suspect->running_link);
  else if (cds_list_empty (&suspect->running_link))
    cds_list_add_tail (&suspect->running_link, &quarantine->run_by_peers);
}

static void
merge_activity (HbwQuarantine *quarantine, HbwSuspect *suspect, guint64 from,
                const HbwSuspicionReport *report, gint64 now_us)
{
  HbwPeerActivity *peer = find_peer_slot (suspect, from, now_us);
  if (peer == NULL)
    return;
  if (peer->instance != from || peer->activity != report->activity
      || (report->running_server_hash != 0
          && peer->server != report->running_server_hash))
    *peer = (HbwPeerActivity){ .since_us = now_us };
  peer->instance = from;
  peer->activity = report->activity;
  peer->server = report->running_server_hash;
  peer->heard_us = now_us;
  track_running (quarantine, suspect);
}

/* Dismisses FAILURE for the parts that were charged with it. */
static void
dismiss_parts (HbwQuarantine *quarantine, HbwFailure *failure, gint64 now_us)
{
  HbwFailureRecord *record;
  HbwFailureRecord *next;
  if (failure == NULL)
    return;
  cds_list_for_each_entry_safe (record, next, &failure->records, link)
    if (hbw_suspect_is_part (record->suspect))
      hbw_suspect_dismiss_record (quarantine, record, now_us);
}

/* Returns whether the reported failure was not known here. */
static gboolean
merge_failure (HbwQuarantine *quarantine, HbwSuspect *suspect,
               const HbwFailureReport *report, gint64 now_us)
{
  const HbwServerFailure failure = { .id = report->id,
                                     .server = report->server_hash,
                                     .started_us = now_us - report->started_ago_us,
                                     .failed_us = now_us - report->failed_ago_us };
  HbwFailureRecord *known = hbw_suspect_find_record (suspect, report->id);
  gboolean is_proved
      = known != NULL && known->failure != NULL && known->failure->is_refused;
  if (known != NULL && known->is_dismissed && report->is_refused)
    *known = (HbwFailureRecord){ .suspect = NULL };
  if (!report->is_dismissed)
    {
      gboolean is_new
          = hbw_suspect_record_failure (quarantine, suspect, &failure, now_us);
      HbwFailureRecord *record = hbw_suspect_find_record (suspect, report->id);
      if (is_new)
        record->source = report->source;
      if (report->is_refused && record != NULL && record->failure != NULL)
        {
          record->failure->is_confirmed = record->failure->is_refused = TRUE;
          hbw_quarantine_note_server_ended (quarantine, failure.server,
                                            failure.failed_us, now_us);
        }
      return is_new;
    }
  if (known == NULL)
    hbw_suspect_record_dismissed (suspect, &failure);
  else if (is_proved)
    hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                    now_us);
  else if (!known->is_dismissed)
    {
      dismiss_parts (quarantine, known->failure, now_us);
      hbw_suspect_dismiss_record (quarantine, known, now_us);
    }
  return FALSE;
}

static guint
count_open (const HbwSuspicionReport *report)
{
  guint count = 0;
  for (guint i = 0; i < report->failure_count; i++)
    count += !report->failures[i].is_dismissed;
  return count;
}

static void
merge_stored (HbwSuspect *suspect, const HbwSuspicionReport *report)
{
  suspect->is_stored |= report->is_stored && report->verdict == suspect->verdict
                        && count_open (report)
                               == MIN (hbw_suspect_count_failures (suspect),
                                       HBW_SUSPECT_FAILURES_MAX);
}

/* Returns the entry for REPORT, or NULL if it tells nothing about an unknown
   fingerprint. */
static HbwSuspect *
find_or_create_reported (HbwQuarantine *quarantine, const HbwSuspicionReport *report,
                         gint64 now_us)
{
  if (report->failure_count == 0 && report->verdict == HBW_VERDICT_NONE)
    return hbw_quarantine_find (quarantine, &report->fingerprint, now_us);
  return hbw_quarantine_ensure (quarantine, &report->fingerprint, now_us);
}

static void
merge_parts (HbwQuarantine *quarantine, HbwSuspect *suspect,
             const HbwSuspicionReport *report, gint64 now_us)
{
  if (report->part_ids.count == 0)
    return;
  suspect->part_ids = report->part_ids;
  suspect->pool_hash = report->pool_hash;
  hbw_quarantine_charge_parts_of (quarantine, suspect, now_us);
}

guint
hbw_quarantine_merge (HbwQuarantine *quarantine, guint64 from,
                      const HbwSuspicionReport *report, gint64 now_us)
{
  guint added = 0;
  gint64 remaining_us = CLAMP (report->remaining_us, 0, HBW_QUARANTINE_DURATION_US);
  HbwSuspect *suspect = find_or_create_reported (quarantine, report, now_us);
  if (suspect == NULL)
    return 0;
  suspect->expire_at_us = MAX (suspect->expire_at_us, now_us + remaining_us);
  if (report->completed_ago_us >= 0 && !hbw_suspect_is_quarantined (suspect))
    hbw_suspect_clear_failures (quarantine, suspect,
                                now_us - report->completed_ago_us, now_us);
  for (guint i = 0; i < report->failure_count; i++)
    added += merge_failure (quarantine, suspect, &report->failures[i], now_us);
  merge_activity (quarantine, suspect, from, report, now_us);
  merge_parts (quarantine, suspect, report, now_us);
  if (hbw_suspect_is_part (suspect))
    hbw_quarantine_merge_part (quarantine, suspect, report, now_us);
  else if (report->verdict > suspect->verdict && !hbw_suspect_is_refuted (suspect))
    hbw_quarantine_set_verdict (quarantine, suspect, report->verdict, now_us);
  merge_stored (suspect, report);
  hbw_quarantine_evaluate (quarantine, now_us);
  return added;
}

static void
fill_failure_report (HbwFailureReport *report, const HbwFailureRecord *record,
                     gint64 now_us)
{
  report->id = record->details.id;
  report->server_hash = record->details.server;
  report->started_ago_us = now_us - record->details.started_us;
  report->failed_ago_us = now_us - record->details.failed_us;
  report->is_dismissed = record->is_dismissed;
  report->is_refused = record->failure != NULL && record->failure->is_refused;
  report->source = record->source;
}

/* Adds the failures of a part, those that follow one another first. */
static void
fill_part_failures (HbwSuspicionReport *report, const HbwSuspect *part,
                    gint64 now_us)
{
  gboolean used[HBW_PART_FAILURES_MAX];
  hbw_suspect_find_sequence (part, used);
  for (guint i = 0; i < 2 * HBW_PART_FAILURES_MAX; i++)
    {
      const HbwFailureRecord *record = &part->records[i % HBW_PART_FAILURES_MAX];
      gboolean is_turn
          = used[i % HBW_PART_FAILURES_MAX] == (i < HBW_PART_FAILURES_MAX);
      if (is_turn && hbw_failure_record_is_open (record)
          && report->failure_count < HBW_SUSPECT_FAILURES_MAX)
        fill_failure_report (&report->failures[report->failure_count++], record,
                             now_us);
    }
}

static void
fill_report (HbwSuspicionReport *report, const HbwSuspect *suspect, gint64 now_us)
{
  *report = (HbwSuspicionReport){ .fingerprint = suspect->fingerprint,
                                  .remaining_us = suspect->expire_at_us - now_us,
                                  .verdict = suspect->verdict,
                                  .is_stored = suspect->is_stored,
                                  .activity = suspect->own_activity,
                                  .running_server_hash = suspect->own_server };
  report->completed_ago_us
      = suspect->completed_us > 0 ? now_us - suspect->completed_us : -1;
  report->pool_hash = suspect->pool_hash;
  report->part_ids = suspect->part_ids;
  if (hbw_suspect_is_part (suspect))
    {
      fill_part_failures (report, suspect, now_us);
      return;
    }
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&suspect->records[i])
        || suspect->records[i].is_dismissed)
      fill_failure_report (&report->failures[report->failure_count++],
                           &suspect->records[i], now_us);
}

gboolean
hbw_quarantine_take_report (HbwQuarantine *quarantine, gint64 interval_us,
                            HbwSuspicionReport *report, gint64 now_us)
{
  if (cds_list_empty (&quarantine->unsent))
    return FALSE;
  HbwSuspect *suspect
      = cds_list_first_entry (&quarantine->unsent, HbwSuspect, unsent_link);
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

static guint64
suspect_digest (const HbwSuspect *suspect)
{
  guint failures
      = MIN (hbw_suspect_count_failures (suspect), HBW_QUARANTINE_FAILURES_MIN);
  /* The failures of a part are those of its requests. */
  if (hbw_suspect_is_part (suspect))
    failures = 0;
  if (failures == 0 && !hbw_suspect_is_quarantined (suspect))
    return 0;
  guint64 parts[] = { suspect->fingerprint.high, suspect->fingerprint.low,
                      suspect->verdict, failures, 0 };
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX && failures == 1; i++)
    if (hbw_failure_record_is_open (&suspect->records[i]))
      parts[G_N_ELEMENTS (parts) - 1] = suspect->records[i].details.server;
  return XXH64 (parts, sizeof parts, 0);
}

guint64
hbw_quarantine_digest (const HbwQuarantine *quarantine, gint64 now_us)
{
  guint64 digest = 0;
  const HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us)
      digest ^= suspect_digest (suspect);
  return digest;
}

static int
compare_importance (gconstpointer a, gconstpointer b)
{
  guint left = hbw_suspect_importance (*(const HbwSuspect *const *) a);
  guint right = hbw_suspect_importance (*(const HbwSuspect *const *) b);
  return (left < right) - (left > right);
}

guint
hbw_quarantine_list_reports (const HbwQuarantine *quarantine, guint skipped,
                             HbwSuspicionReport *reports, guint max, gint64 now_us)
{
  GPtrArray *suspects = g_ptr_array_new ();
  HbwSuspect *suspect;
  cds_list_for_each_entry_reverse (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us
        && (!hbw_suspect_is_part (suspect) || hbw_suspect_importance (suspect) > 0))
      g_ptr_array_add (suspects, suspect);
  g_ptr_array_sort (suspects, compare_importance);
  guint count = MIN (suspects->len - MIN (skipped, suspects->len), max);
  for (guint i = 0; i < count; i++)
    fill_report (&reports[i], suspects->pdata[skipped + i], now_us);
  g_ptr_array_free (suspects, TRUE);
  return count;
}

static guint
count_importance (const HbwQuarantine *quarantine, guint importance_min,
                  gboolean only_unstored, gint64 now_us)
{
  guint count = 0;
  const HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect->expire_at_us > now_us
        && hbw_suspect_importance (suspect) >= importance_min
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
hbw_quarantine_mark_unstored (HbwQuarantine *quarantine)
{
  HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    suspect->is_stored = FALSE;
}

void
hbw_quarantine_mark_stored (HbwQuarantine *quarantine,
                            const HbwSuspicionReport *reports, guint count,
                            gint64 now_us)
{
  for (guint i = 0; i < count; i++)
    {
      HbwSuspect *suspect
          = hbw_quarantine_find (quarantine, &reports[i].fingerprint, now_us);
      if (suspect == NULL || suspect->is_stored)
        continue;
      HbwSuspicionReport stored = reports[i];
      stored.is_stored = TRUE;
      merge_stored (suspect, &stored);
      if (suspect->is_stored)
        hbw_quarantine_schedule_report (quarantine, suspect, 1, now_us);
    }
}
