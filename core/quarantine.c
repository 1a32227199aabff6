#include "hornbeamwall/core/quarantine.h"

#include "hornbeamwall/core/effect.h"

#include <urcu/list.h>

/* Most failures that are recorded for one suspect; a new one replaces the oldest. */
#define RECORDED_FAILURES_MAX 4

/* One failure of one server, shared by the suspects that may have caused it. */
typedef struct
{
  guint64 server;
  gint64 failed_at_us;
  guint suspect_count; /* suspects that were in progress there and are not cleared */
  guint candidates;    /* those of them that may still succeed elsewhere */
  gboolean explained;  /* one of them is quarantined */
} Failure;

typedef struct
{
  struct cds_list_head link; /* oldest first */
  HbwFingerprint fingerprint;
  guint recorded_failures; /* failures recorded here */
  guint reported_failures; /* highest number of failures that a peer reported */
  Failure *failures[RECORDED_FAILURES_MAX]; /* ring buffer */
  gboolean is_quarantined;
  gboolean requests_ended; /* if set, it is not a candidate in its failures */
  gint64 last_failure_us;
  gint64 expire_at_us;
} Suspect;

struct HbwQuarantine
{
  GHashTable *suspects;        /* HbwFingerprint -> Suspect */
  GHashTable *latest_failures; /* server -> its latest Failure */
  struct cds_list_head by_age;
  GQueue unlogged; /* HbwFingerprint, not logged yet */
  guint64 evicted_count;
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

static void
remove_from_failure (HbwQuarantine *quarantine, const Suspect *suspect,
                     Failure *failure)
{
  if (failure == NULL)
    return;
  if (!suspect->requests_ended)
    failure->candidates--;
  if (--failure->suspect_count > 0)
    return;
  if (g_hash_table_lookup (quarantine->latest_failures, &failure->server) == failure)
    g_hash_table_remove (quarantine->latest_failures, &failure->server);
  g_free (failure);
}

static void
remove_suspect (HbwQuarantine *quarantine, Suspect *suspect)
{
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    remove_from_failure (quarantine, suspect, suspect->failures[i]);
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

/* Returns the recent failure of SERVER, or a new one. */
static Failure *
ensure_failure (HbwQuarantine *quarantine, guint64 server, gint64 now_us)
{
  Failure *failure = g_hash_table_lookup (quarantine->latest_failures, &server);
  if (failure != NULL
      && now_us - failure->failed_at_us <= HBW_QUARANTINE_SAME_FAILURE_US)
    return failure;
  failure = g_new0 (Failure, 1);
  failure->server = server;
  failure->failed_at_us = now_us;
  g_hash_table_replace (quarantine->latest_failures, &failure->server, failure);
  return failure;
}

static void
set_request_ended (Suspect *suspect, gboolean ended)
{
  if (suspect->requests_ended == ended)
    return;
  suspect->requests_ended = ended;
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    {
      Failure *failure = suspect->failures[i];
      if (failure != NULL && ended)
        failure->candidates--;
      else if (failure != NULL)
        failure->candidates++;
    }
}

static gboolean
is_suspect_of (const Suspect *suspect, const Failure *failure)
{
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    if (suspect->failures[i] == failure)
      return TRUE;
  return FALSE;
}

static guint
count_failures (const Suspect *suspect)
{
  return MAX (suspect->recorded_failures, suspect->reported_failures);
}

/* Returns the number of failures that no quarantined request explains. */
static guint
count_unexplained (const Suspect *suspect)
{
  guint explained = 0;
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    if (suspect->failures[i] != NULL && suspect->failures[i]->explained)
      explained++;
  return count_failures (suspect) - explained;
}

/* Returns whether SUSPECT is the only remaining candidate for FAILURE, or the other
   candidates have not been cleared in time. */
static gboolean
is_caused_by (const Failure *failure, const Suspect *suspect, gint64 now_us)
{
  gint64 age = now_us - failure->failed_at_us;
  guint other_candidates = failure->candidates - (suspect->requests_ended ? 0 : 1);
  if (failure->explained)
    return FALSE;
  return age >= HBW_QUARANTINE_CLEAR_TIMEOUT_US
         || (other_candidates == 0 && age >= HBW_QUARANTINE_GATHER_WINDOW_US);
}

static gboolean
causes_any_failure (const Suspect *suspect, gint64 now_us)
{
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    if (suspect->failures[i] != NULL
        && is_caused_by (suspect->failures[i], suspect, now_us))
      return TRUE;
  return suspect->reported_failures > suspect->recorded_failures
         && now_us - suspect->last_failure_us >= HBW_QUARANTINE_CLEAR_TIMEOUT_US;
}

static void
quarantine_suspect (HbwQuarantine *quarantine, Suspect *suspect, gint64 now_us)
{
  suspect->is_quarantined = TRUE;
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
  for (guint i = 0; i < RECORDED_FAILURES_MAX; i++)
    if (suspect->failures[i] != NULL)
      suspect->failures[i]->explained = TRUE;
  g_queue_push_tail (&quarantine->unlogged,
                     g_memdup2 (&suspect->fingerprint, sizeof suspect->fingerprint));
}

/* Quarantines a suspect that has at least UNEXPLAINED_MIN unexplained failures and
   is the cause of one. */
static void
evaluate_suspect (HbwQuarantine *quarantine, Suspect *suspect, gint64 now_us,
                  guint unexplained_min)
{
  if (suspect->is_quarantined
      || count_failures (suspect) < HBW_QUARANTINE_FAILURES_MIN
      || count_unexplained (suspect) < unexplained_min)
    return;
  if (causes_any_failure (suspect, now_us))
    quarantine_suspect (quarantine, suspect, now_us);
}

/* Starts with the suspects that have the most unexplained failures, because these
   are the likeliest causes. */
static void
evaluate_all (HbwQuarantine *quarantine, gint64 now_us)
{
  Suspect *suspect;
  for (guint unexplained_min = HBW_QUARANTINE_FAILURES_MIN; unexplained_min > 0;
       unexplained_min--)
    cds_list_for_each_entry (suspect, &quarantine->by_age, link)
      evaluate_suspect (quarantine, suspect, now_us, unexplained_min);
}

HbwQuarantine *
hbw_quarantine_create (void)
{
  HbwQuarantine *quarantine = g_new0 (HbwQuarantine, 1);
  quarantine->suspects
      = g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL, g_free);
  quarantine->latest_failures = g_hash_table_new (g_int64_hash, g_int64_equal);
  CDS_INIT_LIST_HEAD (&quarantine->by_age);
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
  g_hash_table_destroy (quarantine->latest_failures);
  g_hash_table_destroy (quarantine->suspects);
  g_free (quarantine);
}

guint
hbw_quarantine_count_unexplained (HbwQuarantine *quarantine,
                                  const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  return suspect != NULL ? count_unexplained (suspect) : 0;
}

HbwQuarantineStatus
hbw_quarantine_check (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  if (suspect == NULL)
    return HBW_QUARANTINE_STATUS_NONE;
  if (suspect->is_quarantined)
    return HBW_QUARANTINE_STATUS_QUARANTINED;
  if (count_failures (suspect) < HBW_QUARANTINE_FAILURES_MIN)
    return HBW_QUARANTINE_STATUS_SUSPECT;
  evaluate_all (quarantine, now_us);
  if (suspect->is_quarantined)
    return HBW_QUARANTINE_STATUS_QUARANTINED;
  return count_unexplained (suspect) > 0 ? HBW_QUARANTINE_STATUS_HELD
                                         : HBW_QUARANTINE_STATUS_SUSPECT;
}

gint64
hbw_quarantine_remaining_us (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->expire_at_us - now_us : 0;
}

/* Records a failure of SERVER once, even if several copies of the request ran
   there. */
static void
record_failure (HbwQuarantine *quarantine, Suspect *suspect, guint64 server,
                gint64 now_us)
{
  set_request_ended (suspect, FALSE);
  Failure *failure = ensure_failure (quarantine, server, now_us);
  if (is_suspect_of (suspect, failure))
    return;
  Failure **slot
      = &suspect->failures[suspect->recorded_failures % RECORDED_FAILURES_MAX];
  remove_from_failure (quarantine, suspect, *slot);
  *slot = failure;
  failure->suspect_count++;
  failure->candidates++;
  suspect->recorded_failures++;
  suspect->last_failure_us = now_us;
}

guint
hbw_quarantine_add_failure (HbwQuarantine *quarantine,
                            const HbwFingerprint *fingerprint, guint64 server,
                            gint64 now_us)
{
  Suspect *suspect = ensure_suspect (quarantine, fingerprint, now_us);
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
  record_failure (quarantine, suspect, server, now_us);
  evaluate_all (quarantine, now_us);
  return count_failures (suspect);
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->is_quarantined)
    return FALSE;
  remove_suspect (quarantine, suspect);
  evaluate_all (quarantine, now_us);
  return TRUE;
}

gboolean
hbw_quarantine_handle_request_end (HbwQuarantine *quarantine,
                                   const HbwFingerprint *fingerprint, gint64 now_us)
{
  Suspect *suspect = find_suspect (quarantine, fingerprint, now_us);
  if (suspect == NULL || suspect->is_quarantined || suspect->requests_ended)
    return FALSE;
  set_request_ended (suspect, TRUE);
  evaluate_all (quarantine, now_us);
  return TRUE;
}

void
hbw_quarantine_merge_suspect (HbwQuarantine *quarantine,
                              const HbwSuspicionReport *update, gint64 now_us)
{
  if (update->change == HBW_SUSPICION_CLEARED)
    {
      hbw_quarantine_clear (quarantine, &update->fingerprint, now_us);
      return;
    }
  if (update->change == HBW_SUSPICION_ENDED)
    {
      hbw_quarantine_handle_request_end (quarantine, &update->fingerprint, now_us);
      return;
    }
  Suspect *suspect = ensure_suspect (quarantine, &update->fingerprint, now_us);
  gint64 remaining = MIN (update->remaining_us, HBW_QUARANTINE_DURATION_US);
  suspect->expire_at_us = MAX (suspect->expire_at_us, now_us + remaining);
  if (update->server_hash != 0)
    record_failure (quarantine, suspect, update->server_hash, now_us);
  if (update->failures > count_failures (suspect))
    {
      suspect->reported_failures = update->failures;
      suspect->last_failure_us = now_us;
    }
  evaluate_all (quarantine, now_us);
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
