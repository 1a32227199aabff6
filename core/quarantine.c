#include "hornbeamwall/core/quarantine.h"

#include "hornbeamwall/core/effect.h"

#include <urcu/list.h>

/* Failures of one suspect that are known one by one; the oldest makes way. */
#define FAILURES_KEPT 4

/* One failure of one server, and the requests that may have been its cause. */
typedef struct
{
  guint64 server;
  gint64 at_us;
  guint members;      /* suspects that were in progress there, less the cleared */
  guint candidates;   /* those of them that may still clear themselves */
  gboolean explained; /* one of them is convicted */
} Failure;

typedef struct
{
  struct cds_list_head link; /* oldest first */
  HbwFingerprint fingerprint;
  guint known;                      /* failures that were known one by one */
  guint told;                       /* most failures that a peer told of */
  Failure *failures[FAILURES_KEPT]; /* a ring */
  gboolean convicted;
  gboolean left;    /* its requests ended; it is no candidate in its failures */
  gint64 failed_us; /* the last failure */
  gint64 until_us;
} Suspect;

struct HbwQuarantine
{
  GHashTable *suspects; /* HbwFingerprint -> Suspect */
  GHashTable *failures; /* server -> its latest Failure */
  struct cds_list_head by_age;
  GQueue convicted; /* HbwFingerprint, not reported yet */
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
leave_failure (HbwQuarantine *quarantine, const Suspect *suspect, Failure *failure)
{
  if (failure == NULL)
    return;
  if (!suspect->left)
    failure->candidates--;
  if (--failure->members > 0)
    return;
  if (g_hash_table_lookup (quarantine->failures, &failure->server) == failure)
    g_hash_table_remove (quarantine->failures, &failure->server);
  g_free (failure);
}

static void
forget (HbwQuarantine *quarantine, Suspect *suspect)
{
  for (guint i = 0; i < FAILURES_KEPT; i++)
    leave_failure (quarantine, suspect, suspect->failures[i]);
  cds_list_del (&suspect->link);
  g_hash_table_remove (quarantine->suspects, &suspect->fingerprint);
}

static Suspect *
find (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint, gint64 now_us)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->until_us > now_us)
    return suspect;
  forget (quarantine, suspect);
  return NULL;
}

static Suspect *
ensure (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint, gint64 now_us)
{
  Suspect *suspect = find (quarantine, fingerprint, now_us);
  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (quarantine->suspects) >= HBW_QUARANTINE_MAX)
    forget (quarantine, cds_list_first_entry (&quarantine->by_age, Suspect, link));
  suspect = g_new0 (Suspect, 1);
  suspect->fingerprint = *fingerprint;
  cds_list_add_tail (&suspect->link, &quarantine->by_age);
  g_hash_table_insert (quarantine->suspects, &suspect->fingerprint, suspect);
  return suspect;
}

/* Returns the failure of SERVER that happened around now. */
static Failure *
ensure_failure (HbwQuarantine *quarantine, guint64 server, gint64 now_us)
{
  Failure *failure = g_hash_table_lookup (quarantine->failures, &server);
  if (failure != NULL && now_us - failure->at_us <= HBW_QUARANTINE_SAME_US)
    return failure;
  failure = g_new0 (Failure, 1);
  failure->server = server;
  failure->at_us = now_us;
  g_hash_table_replace (quarantine->failures, &failure->server, failure);
  return failure;
}

static void
set_left (Suspect *suspect, gboolean left)
{
  if (suspect->left == left)
    return;
  suspect->left = left;
  for (guint i = 0; i < FAILURES_KEPT; i++)
    {
      Failure *failure = suspect->failures[i];
      if (failure != NULL && left)
        failure->candidates--;
      else if (failure != NULL)
        failure->candidates++;
    }
}

static gboolean
is_in (const Suspect *suspect, const Failure *failure)
{
  for (guint i = 0; i < FAILURES_KEPT; i++)
    if (suspect->failures[i] == failure)
      return TRUE;
  return FALSE;
}

static guint
count_of (const Suspect *suspect)
{
  return MAX (suspect->known, suspect->told);
}

/* Returns the failures that nothing else explains. */
static guint
unexplained (const Suspect *suspect)
{
  guint explained = 0;
  for (guint i = 0; i < FAILURES_KEPT; i++)
    if (suspect->failures[i] != NULL && suspect->failures[i]->explained)
      explained++;
  return count_of (suspect) - explained;
}

/* Whether FAILURE can have no other cause than SUSPECT, or the other candidates had
   their time to clear themselves. */
static gboolean
is_caused_by (const Failure *failure, const Suspect *suspect, gint64 now_us)
{
  gint64 age = now_us - failure->at_us;
  guint others = failure->candidates - (suspect->left ? 0 : 1);
  if (failure->explained)
    return FALSE;
  return age >= HBW_QUARANTINE_TRIAL_US
         || (others == 0 && age >= HBW_QUARANTINE_GATHER_US);
}

static gboolean
causes_any (const Suspect *suspect, gint64 now_us)
{
  for (guint i = 0; i < FAILURES_KEPT; i++)
    if (suspect->failures[i] != NULL
        && is_caused_by (suspect->failures[i], suspect, now_us))
      return TRUE;
  return suspect->told > suspect->known
         && now_us - suspect->failed_us >= HBW_QUARANTINE_TRIAL_US;
}

static void
convict (HbwQuarantine *quarantine, Suspect *suspect, gint64 now_us)
{
  suspect->convicted = TRUE;
  suspect->until_us = now_us + HBW_QUARANTINE_US;
  for (guint i = 0; i < FAILURES_KEPT; i++)
    if (suspect->failures[i] != NULL)
      suspect->failures[i]->explained = TRUE;
  g_queue_push_tail (&quarantine->convicted,
                     g_memdup2 (&suspect->fingerprint, sizeof suspect->fingerprint));
}

/* Convicts a suspect with LEAST or more unexplained failures that causes one. */
static void
judge (HbwQuarantine *quarantine, Suspect *suspect, gint64 now_us, guint least)
{
  if (suspect->convicted || count_of (suspect) < HBW_QUARANTINE_FAILURES
      || unexplained (suspect) < least)
    return;
  if (causes_any (suspect, now_us))
    convict (quarantine, suspect, now_us);
}

/* The more failures are unexplained the likelier is the cause, so those come first.
 */
static void
judge_all (HbwQuarantine *quarantine, gint64 now_us)
{
  Suspect *suspect;
  for (guint least = HBW_QUARANTINE_FAILURES; least > 0; least--)
    cds_list_for_each_entry (suspect, &quarantine->by_age, link)
      judge (quarantine, suspect, now_us, least);
}

HbwQuarantine *
hbw_quarantine_create (void)
{
  HbwQuarantine *quarantine = g_new0 (HbwQuarantine, 1);
  quarantine->suspects
      = g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL, g_free);
  quarantine->failures = g_hash_table_new (g_int64_hash, g_int64_equal);
  CDS_INIT_LIST_HEAD (&quarantine->by_age);
  g_queue_init (&quarantine->convicted);
  return quarantine;
}

void
hbw_quarantine_destroy (HbwQuarantine *quarantine)
{
  while (!cds_list_empty (&quarantine->by_age))
    forget (quarantine, cds_list_first_entry (&quarantine->by_age, Suspect, link));
  g_queue_clear_full (&quarantine->convicted, g_free);
  g_hash_table_destroy (quarantine->failures);
  g_hash_table_destroy (quarantine->suspects);
  g_free (quarantine);
}

guint
hbw_quarantine_failures (HbwQuarantine *quarantine,
                         const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  return suspect != NULL ? unexplained (suspect) : 0;
}

HbwVerdict
hbw_quarantine_judge (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  if (suspect == NULL)
    return HBW_VERDICT_NONE;
  if (suspect->convicted)
    return HBW_VERDICT_CONVICTED;
  if (count_of (suspect) < HBW_QUARANTINE_FAILURES)
    return HBW_VERDICT_SUSPECT;
  judge_all (quarantine, now_us);
  if (suspect->convicted)
    return HBW_VERDICT_CONVICTED;
  return unexplained (suspect) > 0 ? HBW_VERDICT_HELD : HBW_VERDICT_SUSPECT;
}

gint64
hbw_quarantine_remaining (HbwQuarantine *quarantine,
                          const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->until_us - now_us : 0;
}

/* Counts a failure of SERVER once, however many copies of the request ran there. */
static void
note_failure (HbwQuarantine *quarantine, Suspect *suspect, guint64 server,
              gint64 now_us)
{
  set_left (suspect, FALSE);
  Failure *failure = ensure_failure (quarantine, server, now_us);
  if (is_in (suspect, failure))
    return;
  Failure **slot = &suspect->failures[suspect->known % FAILURES_KEPT];
  leave_failure (quarantine, suspect, *slot);
  *slot = failure;
  failure->members++;
  failure->candidates++;
  suspect->known++;
  suspect->failed_us = now_us;
}

guint
hbw_quarantine_add (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                    guint64 server, gint64 now_us)
{
  Suspect *suspect = ensure (quarantine, fingerprint, now_us);
  suspect->until_us = now_us + HBW_QUARANTINE_US;
  note_failure (quarantine, suspect, server, now_us);
  judge_all (quarantine, now_us);
  return count_of (suspect);
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->convicted)
    return FALSE;
  forget (quarantine, suspect);
  judge_all (quarantine, now_us);
  return TRUE;
}

gboolean
hbw_quarantine_leave (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                      gint64 now_us)
{
  Suspect *suspect = find (quarantine, fingerprint, now_us);
  if (suspect == NULL || suspect->convicted || suspect->left)
    return FALSE;
  set_left (suspect, TRUE);
  judge_all (quarantine, now_us);
  return TRUE;
}

void
hbw_quarantine_merge (HbwQuarantine *quarantine, const HbwSuspect *told,
                      gint64 now_us)
{
  if (told->change == HBW_SUSPICION_CLEARED)
    {
      hbw_quarantine_clear (quarantine, &told->fingerprint, now_us);
      return;
    }
  if (told->change == HBW_SUSPICION_LEFT)
    {
      hbw_quarantine_leave (quarantine, &told->fingerprint, now_us);
      return;
    }
  Suspect *suspect = ensure (quarantine, &told->fingerprint, now_us);
  gint64 remaining = MIN (told->remaining_us, HBW_QUARANTINE_US);
  suspect->until_us = MAX (suspect->until_us, now_us + remaining);
  if (told->server != 0)
    note_failure (quarantine, suspect, told->server, now_us);
  if (told->failures > count_of (suspect))
    {
      suspect->told = told->failures;
      suspect->failed_us = now_us;
    }
  judge_all (quarantine, now_us);
}

void
hbw_quarantine_report (HbwQuarantine *quarantine, HbwEffects *effects)
{
  HbwFingerprint *convicted;
  while ((convicted = g_queue_pop_head (&quarantine->convicted)) != NULL)
    {
      hbw_effects_log (effects, HBW_LOG_REQUEST_QUARANTINED,
                       "fingerprint=%016" G_GINT64_MODIFIER
                       "x refused_s=%" G_GINT64_FORMAT,
                       convicted->low, HBW_QUARANTINE_US / HBW_US_PER_S);
      g_free (convicted);
    }
}

guint
hbw_quarantine_size (const HbwQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}
