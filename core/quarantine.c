#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/quarantine_lost.h"
#include "hornbeamwall/core/quarantine_state.h"

/* A server has not failed if it was not seen to fail this long before and after:
   what other instances report is known with a delay. */
#define EVIDENCE_SLACK_US (100 * HBW_US_PER_MS)

/* Worth of an entry that is cleared, or of a part with one failure. */
#define LITTLE_WORTH 1

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

/* --- the table ----------------------------------------------------------------- */

static void
remove_suspect (HbwQuarantine *quarantine, HbwSuspect *suspect)
{
  hbw_suspect_close (quarantine, suspect);
  cds_list_del (&suspect->running_link);
  quarantine->quarantined_parts
      -= hbw_suspect_is_part (suspect) && hbw_suspect_is_quarantined (suspect);
  if (suspect->transmits_left > 0)
    cds_list_del (&suspect->unsent_link);
  cds_list_del (&suspect->link);
  g_hash_table_remove (quarantine->suspects, &suspect->fingerprint);
}

HbwSuspect *
hbw_quarantine_find (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                     gint64 now_us)
{
  HbwSuspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->expire_at_us > now_us)
    return suspect;
  remove_suspect (quarantine, suspect);
  return NULL;
}

/* Removes the entry that matters least, the oldest of several; returns FALSE if all
   are worth more than WORTH_MAX. */
static gboolean
evict_suspect (HbwQuarantine *quarantine, guint worth_max)
{
  HbwSuspect *least = cds_list_first_entry (&quarantine->by_age, HbwSuspect, link);
  HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    {
      if (hbw_suspect_worth (suspect) < hbw_suspect_worth (least))
        least = suspect;
      if (hbw_suspect_worth (least) <= LITTLE_WORTH)
        break;
    }
  if (hbw_suspect_worth (least) > worth_max)
    return FALSE;
  remove_suspect (quarantine, least);
  quarantine->evicted_count++;
  return TRUE;
}

static HbwSuspect *
create_suspect (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint)
{
  gboolean is_part = fingerprint->high == HBW_PART_FINGERPRINT_HIGH;
  guint record_max = is_part ? HBW_PART_FAILURES_MAX : HBW_SUSPECT_FAILURES_MAX;
  HbwSuspect *suspect
      = g_malloc0 (sizeof *suspect + record_max * sizeof suspect->records[0]);
  suspect->fingerprint = *fingerprint;
  CDS_INIT_LIST_HEAD (&suspect->running_link);
  cds_list_add_tail (&suspect->link, &quarantine->by_age);
  g_hash_table_insert (quarantine->suspects, &suspect->fingerprint, suspect);
  return suspect;
}

HbwSuspect *
hbw_quarantine_ensure (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                       gint64 now_us)
{
  HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (quarantine->suspects) >= HBW_QUARANTINE_ENTRIES_MAX)
    evict_suspect (quarantine, G_MAXUINT);
  return create_suspect (quarantine, fingerprint);
}

HbwSuspect *
hbw_quarantine_ensure_part (HbwQuarantine *quarantine, guint64 id, gint64 now_us)
{
  const HbwFingerprint fingerprint = { HBW_PART_FINGERPRINT_HIGH, id };
  HbwSuspect *part = hbw_quarantine_find (quarantine, &fingerprint, now_us);
  if (part != NULL)
    return part;
  if (g_hash_table_size (quarantine->suspects) >= HBW_QUARANTINE_ENTRIES_MAX
      && !evict_suspect (quarantine, LITTLE_WORTH))
    return NULL;
  return create_suspect (quarantine, &fingerprint);
}

void
hbw_quarantine_schedule_report (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                guint transmits, gint64 now_us)
{
  if (suspect->transmits_left > 0)
    cds_list_del (&suspect->unsent_link);
  suspect->transmits_left = MAX (suspect->transmits_left, transmits);
  suspect->next_transmit_us = now_us;
  cds_list_add (&suspect->unsent_link, &quarantine->unsent);
}

HbwQuarantine *
hbw_quarantine_create (guint64 self)
{
  HbwQuarantine *quarantine = g_new0 (HbwQuarantine, 1);
  quarantine->self = self;
  quarantine->suspects
      = g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&quarantine->by_age);
  CDS_INIT_LIST_HEAD (&quarantine->run_by_peers);
  CDS_INIT_LIST_HEAD (&quarantine->held);
  CDS_INIT_LIST_HEAD (&quarantine->held_parts);
  quarantine->unsent_clearings
      = g_array_new (FALSE, FALSE, sizeof (HbwUnsentClearing));
  quarantine->failed_servers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&quarantine->unsent);
  g_queue_init (&quarantine->unlogged);
  return quarantine;
}

void
hbw_quarantine_destroy (HbwQuarantine *quarantine)
{
  while (!cds_list_empty (&quarantine->by_age))
    remove_suspect (quarantine,
                    cds_list_first_entry (&quarantine->by_age, HbwSuspect, link));
  g_queue_clear_full (&quarantine->unlogged, g_free);
  g_hash_table_destroy (quarantine->suspects);
  g_hash_table_destroy (quarantine->failed_servers);
  g_array_free (quarantine->unsent_clearings, TRUE);
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
  const HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  return suspect != NULL ? hbw_suspect_count_unexplained (suspect) : 0;
}

gboolean
hbw_quarantine_is_suspect (HbwQuarantine *quarantine,
                           const HbwFingerprint *fingerprint, gint64 now_us)
{
  const HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  return suspect != NULL
         && (hbw_suspect_is_quarantined (suspect)
             || hbw_suspect_count_failures (suspect) > 0);
}

HbwQuarantineStatus
hbw_quarantine_check (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      guint64 instance, gint64 now_us)
{
  const HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (suspect == NULL)
    return HBW_QUARANTINE_STATUS_NONE;
  guint failures = hbw_suspect_count_failures (suspect);
  if (failures >= HBW_QUARANTINE_FAILURES_MIN)
    hbw_quarantine_evaluate (quarantine, now_us);
  if (hbw_suspect_is_quarantined (suspect))
    return HBW_QUARANTINE_STATUS_QUARANTINED;
  if (failures == 0)
    return HBW_QUARANTINE_STATUS_NONE;
  if (hbw_suspect_count_unexplained (suspect) == 0)
    return HBW_QUARANTINE_STATUS_SUSPECT;
  if (failures >= HBW_QUARANTINE_FAILURES_MIN
      || (instance == quarantine->self
          && suspect->own_activity == HBW_SUSPECT_RUNNING)
      || hbw_quarantine_is_run_elsewhere (quarantine, suspect, instance, now_us)
      || hbw_quarantine_is_settling (quarantine, suspect, now_us))
    return HBW_QUARANTINE_STATUS_HELD;
  return HBW_QUARANTINE_STATUS_SUSPECT;
}

gint64
hbw_quarantine_remaining_us (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint, gint64 now_us)
{
  const HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->expire_at_us - now_us : 0;
}

guint
hbw_quarantine_add_failure (HbwQuarantine *quarantine,
                            const HbwFingerprint *fingerprint,
                            const HbwServerFailure *failure, gint64 now_us)
{
  HbwSuspect *suspect = hbw_quarantine_ensure (quarantine, fingerprint, now_us);
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
  suspect->own_activity = HBW_SUSPECT_WAITING;
  suspect->own_server = 0;
  suspect->own_since_us = now_us;
  if (hbw_suspect_record_failure (quarantine, suspect, failure, now_us))
    hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                    now_us);
  hbw_quarantine_evaluate (quarantine, now_us);
  return hbw_suspect_count_failures (suspect);
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  HbwSuspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || hbw_suspect_is_quarantined (suspect)
      || hbw_suspect_count_failures (suspect) == 0)
    return FALSE;
  hbw_suspect_clear_failures (quarantine, suspect, now_us, now_us);
  hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                  now_us);
  hbw_quarantine_evaluate (quarantine, now_us);
  return TRUE;
}

gboolean
hbw_quarantine_set_activity (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint,
                             HbwSuspectActivity activity, guint64 server,
                             gint64 now_us)
{
  HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (suspect == NULL || suspect->own_activity == activity)
    return FALSE;
  suspect->own_activity = activity;
  suspect->own_server = server;
  suspect->own_since_us = now_us;
  if (hbw_suspect_is_quarantined (suspect)
      || hbw_suspect_count_failures (suspect) == 0)
    return TRUE;
  hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                  now_us);
  if (activity == HBW_SUSPECT_IDLE)
    hbw_quarantine_evaluate (quarantine, now_us);
  return TRUE;
}

void
hbw_quarantine_forget_attempt (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, guint64 server,
                               gint64 now_us)
{
  HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (suspect == NULL || suspect->own_activity != HBW_SUSPECT_RUNNING
      || suspect->own_server != server)
    return;
  suspect->own_server = 0;
  if (!hbw_suspect_is_quarantined (suspect)
      && hbw_suspect_count_failures (suspect) > 0)
    hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                    now_us);
}

/* --- placement ----------------------------------------------------------------- */

static void
add_running_servers (const HbwSuspect *suspect, GHashTable *used, gint64 now_us)
{
  if (suspect->own_activity == HBW_SUSPECT_RUNNING)
    g_hash_table_add (used, (gpointer) &suspect->own_server);
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      const HbwPeerActivity *peer = &suspect->peers[i];
      if (hbw_peer_activity_is_current (peer, now_us)
          && peer->activity == HBW_SUSPECT_RUNNING)
        g_hash_table_add (used, (gpointer) &peer->server);
    }
}

void
hbw_quarantine_add_used_servers (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, GHashTable *used,
                                 gint64 now_us)
{
  const HbwSuspect *self = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (self == NULL || now_us - self->own_since_us >= HBW_SUSPECT_ALONE_MAX_US)
    return;
  const HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (suspect != self && hbw_suspect_count_failures (suspect) > 0)
      add_running_servers (suspect, used, now_us);
}

void
hbw_quarantine_suspend_verdicts (HbwQuarantine *quarantine, gint64 now_us,
                                 gint64 until_us)
{
  quarantine->watched_since_us = now_us;
  quarantine->suspended_until_us = until_us;
}

/* Returns a failure of the server between SINCE_US and UNTIL_US that is not proved
   by a refused connection, or NULL. */
static HbwFailure *
find_failure_between (const HbwQuarantine *quarantine, guint64 hash, gint64 since_us,
                      gint64 until_us)
{
  HbwFailure *failure;
  HbwFailedServer *server = g_hash_table_lookup (quarantine->failed_servers, &hash);
  if (server == NULL)
    return NULL;
  cds_list_for_each_entry (failure, &server->failures, link)
    if (failure->earliest_end_us >= since_us && failure->latest_end_us <= until_us
        && !failure->is_refused)
      return failure;
  return NULL;
}

static void
dismiss_failure (HbwQuarantine *quarantine, HbwFailure *failure, gint64 now_us)
{
  gboolean is_last;
  do
    {
      HbwFailureRecord *record
          = cds_list_first_entry (&failure->records, HbwFailureRecord, link);
      is_last = failure->records.next == failure->records.prev;
      HbwSuspect *suspect = record->suspect;
      /* A part's failures are dismissed with those of its requests. */
      gboolean is_reported
          = !hbw_suspect_is_part (suspect) || hbw_suspect_is_quarantined (suspect);
      hbw_suspect_dismiss_record (quarantine, record, now_us);
      if (is_reported)
        hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                        now_us);
    }
  while (!is_last);
}

/* Dismisses the failures of the server between SINCE_US and UNTIL_US. */
static void
dismiss_failures (HbwQuarantine *quarantine, guint64 server, gint64 since_us,
                  gint64 until_us, gint64 now_us)
{
  HbwFailure *failure;
  HbwFailedServer *failed
      = g_hash_table_lookup (quarantine->failed_servers, &server);
  if (failed != NULL)
    failed->responded_us = now_us;
  while ((failure = find_failure_between (quarantine, server, since_us, until_us))
         != NULL)
    dismiss_failure (quarantine, failure, now_us);
}

void
hbw_quarantine_handle_response (HbwQuarantine *quarantine, guint64 server,
                                gint64 opened_us, gint64 now_us)
{
  gint64 since_us = MAX (opened_us, quarantine->watched_since_us);
  dismiss_failures (quarantine, server, since_us + EVIDENCE_SLACK_US,
                    now_us - EVIDENCE_SLACK_US, now_us);
}

void
hbw_quarantine_handle_accepted_connection (HbwQuarantine *quarantine, guint64 server,
                                           gint64 until_us, gint64 now_us)
{
  dismiss_failures (quarantine, server, now_us - HBW_QUARANTINE_CONFIRM_WINDOW_US,
                    until_us, now_us);
}

static void
confirm_refused (HbwQuarantine *quarantine, HbwFailure *failure, gint64 now_us)
{
  const HbwFailureRecord *record;
  gboolean is_news = !failure->is_refused;
  failure->is_confirmed = failure->is_refused = TRUE;
  cds_list_for_each_entry (record, &failure->records, link)
    if (is_news && !hbw_suspect_is_part (record->suspect))
      hbw_quarantine_schedule_report (quarantine, record->suspect,
                                      HBW_SUSPECT_TRANSMITS, now_us);
}

void
hbw_quarantine_handle_refused_connection (HbwQuarantine *quarantine, guint64 server,
                                          gint64 now_us)
{
  HbwFailure *failure;
  HbwFailedServer *failed
      = g_hash_table_lookup (quarantine->failed_servers, &server);
  hbw_quarantine_note_server_ended (quarantine, server, now_us, now_us);
  if (failed == NULL)
    return;
  cds_list_for_each_entry (failure, &failed->failures, link)
    if (now_us - failure->latest_end_us < HBW_QUARANTINE_OUTAGE_US)
      confirm_refused (quarantine, failure, now_us);
  hbw_quarantine_evaluate (quarantine, now_us);
}

void
hbw_quarantine_withdraw_failure (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, guint64 id,
                                 gint64 now_us)
{
  HbwSuspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  const HbwFailureRecord *own
      = suspect != NULL ? hbw_suspect_find_record (suspect, id) : NULL;
  if (own == NULL || own->failure == NULL)
    return;
  HbwFailureRecord *record;
  GPtrArray *records = g_ptr_array_new (); /* of the request, and of its parts */
  cds_list_for_each_entry (record, &own->failure->records, link)
    if (record->details.id == id)
      g_ptr_array_add (records, record);
  for (guint i = 0; i < records->len; i++)
    hbw_suspect_dismiss_record (quarantine, g_ptr_array_index (records, i), now_us);
  g_ptr_array_free (records, TRUE);
  hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                  now_us);
}

/* A suspect whose attempt did not run may run again once it keeps no other instance
   from running it. */
static void
release_forgotten (HbwSuspect *suspect, gint64 now_us)
{
  if (suspect->own_activity != HBW_SUSPECT_RUNNING || suspect->own_server != 0
      || now_us - suspect->own_since_us < HBW_SUSPECT_EXCLUSIVE_MAX_US)
    return;
  suspect->own_activity = HBW_SUSPECT_WAITING;
  suspect->own_since_us = now_us;
}

void
hbw_quarantine_refresh (HbwQuarantine *quarantine, gint64 now_us)
{
  HbwSuspect *suspect;
  HbwSuspect *next;
  cds_list_for_each_entry_safe (suspect, next, &quarantine->by_age, link)
    {
      if (suspect->expire_at_us <= now_us)
        remove_suspect (quarantine, suspect);
      else if (suspect->own_activity != HBW_SUSPECT_IDLE
               && !hbw_suspect_is_quarantined (suspect)
               && hbw_suspect_count_failures (suspect) > 0)
        {
          release_forgotten (suspect, now_us);
          hbw_quarantine_schedule_report (quarantine, suspect, 1, now_us);
        }
    }
}

void
hbw_quarantine_schedule_log (HbwQuarantine *quarantine, const HbwSuspect *suspect)
{
  g_queue_push_tail (&quarantine->unlogged,
                     g_memdup2 (&suspect->fingerprint, sizeof suspect->fingerprint));
}

/* Logs the requests behind a verdict on a part, one for each failure. */
static void
log_part_verdict (const HbwSuspect *part, HbwEffects *effects)
{
  GString *requests = g_string_new (NULL);
  if (!hbw_suspect_is_quarantined (part))
    {
      hbw_effects_log (effects, HBW_LOG_PART_RELEASED,
                       "part=%" G_GINT64_MODIFIER "x", part->fingerprint.low);
      g_string_free (requests, TRUE);
      return;
    }
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&part->records[i]))
      g_string_append_printf (requests, "%s%016" G_GINT64_MODIFIER "x",
                              requests->len > 0 ? "," : "", part->records[i].source);
  hbw_effects_log (effects, HBW_LOG_PART_QUARANTINED,
                   "part=%" G_GINT64_MODIFIER
                   "x failures=%u refused_s=%" G_GINT64_FORMAT " fingerprints=%s",
                   part->fingerprint.low, hbw_suspect_count_failures (part),
                   HBW_QUARANTINE_DURATION_US / HBW_US_PER_S, requests->str);
  g_string_free (requests, TRUE);
}

static void
log_verdict (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
             HbwEffects *effects)
{
  const HbwSuspect *suspect
      = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL)
    return;
  if (hbw_suspect_is_part (suspect))
    log_part_verdict (suspect, effects);
  else if (hbw_suspect_is_quarantined (suspect))
    hbw_effects_log (effects, HBW_LOG_REQUEST_QUARANTINED,
                     "fingerprint=%016" G_GINT64_MODIFIER
                     "x refused_s=%" G_GINT64_FORMAT,
                     fingerprint->low, HBW_QUARANTINE_DURATION_US / HBW_US_PER_S);
  else
    hbw_effects_log (effects, HBW_LOG_REQUEST_RELEASED,
                     "fingerprint=%016" G_GINT64_MODIFIER "x", fingerprint->low);
}

void
hbw_quarantine_log_new (HbwQuarantine *quarantine, HbwEffects *effects)
{
  HbwFingerprint *fingerprint;
  while ((fingerprint = g_queue_pop_head (&quarantine->unlogged)) != NULL)
    {
      log_verdict (quarantine, fingerprint, effects);
      g_free (fingerprint);
    }
}

guint
hbw_quarantine_size (const HbwQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}

guint64
hbw_quarantine_searched_count (const HbwQuarantine *quarantine)
{
  return quarantine->searched_count;
}

guint64
hbw_quarantine_evicted_count (const HbwQuarantine *quarantine)
{
  return quarantine->evicted_count;
}
