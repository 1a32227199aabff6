#include "hornbeamwall/core/quarantine.h"

#include <urcu/list.h>

typedef struct
{
  guint64 server; /* 0 is not known */
  gint64 at_us;
} Failure;

typedef struct
{
  struct cds_list_head link; /* oldest first */
  HbwFingerprint fingerprint;
  guint count; /* failures; may be higher than those known one by one */
  Failure failures[HBW_QUARANTINE_FAILURES];
  gint64 until_us;
} Suspect;

struct HbwQuarantine
{
  GHashTable *suspects; /* HbwFingerprint -> Suspect */
  struct cds_list_head by_age;
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
forget (HbwQuarantine *quarantine, Suspect *suspect)
{
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

HbwQuarantine *
hbw_quarantine_create (void)
{
  HbwQuarantine *quarantine = g_new0 (HbwQuarantine, 1);
  quarantine->suspects
      = g_hash_table_new_full (fingerprint_hash, fingerprint_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&quarantine->by_age);
  return quarantine;
}

void
hbw_quarantine_destroy (HbwQuarantine *quarantine)
{
  g_hash_table_destroy (quarantine->suspects);
  g_free (quarantine);
}

guint
hbw_quarantine_failures (HbwQuarantine *quarantine,
                         const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->count : 0;
}

gboolean
hbw_quarantine_is_suspect (HbwQuarantine *quarantine,
                           const HbwFingerprint *fingerprint, gint64 now_us)
{
  return hbw_quarantine_failures (quarantine, fingerprint, now_us) > 0;
}

gboolean
hbw_quarantine_is_convicted (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint, gint64 now_us)
{
  return hbw_quarantine_failures (quarantine, fingerprint, now_us)
         >= HBW_QUARANTINE_FAILURES;
}

gint64
hbw_quarantine_remaining (HbwQuarantine *quarantine,
                          const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->until_us - now_us : 0;
}

static gboolean
is_same (const Failure *a, const Failure *b)
{
  return a->server != 0 && a->server == b->server
         && ABS (a->at_us - b->at_us) <= HBW_QUARANTINE_SAME_US;
}

static gboolean
is_explained (const Failure *failure, const Suspect *convicted)
{
  for (guint i = 0; i < HBW_QUARANTINE_FAILURES; i++)
    if (is_same (failure, &convicted->failures[i]))
      return TRUE;
  return FALSE;
}

/* Drops the suspicions that rest on the failures which CONVICTED explains. */
static void
discharge_others (HbwQuarantine *quarantine, const Suspect *convicted)
{
  Suspect *suspect;
  Suspect *next;
  cds_list_for_each_entry_safe (suspect, next, &quarantine->by_age, link)
    {
      if (suspect == convicted)
        continue;
      for (guint i = 0; i < HBW_QUARANTINE_FAILURES; i++)
        {
          if (suspect->count == 0
              || !is_explained (&suspect->failures[i], convicted))
            continue;
          suspect->failures[i].server = 0;
          suspect->count--;
        }
      if (suspect->count == 0)
        forget (quarantine, suspect);
    }
}

static void
note_failure (HbwQuarantine *quarantine, Suspect *suspect, guint64 server,
              gint64 now_us)
{
  Failure *failure = &suspect->failures[suspect->count % HBW_QUARANTINE_FAILURES];
  failure->server = server;
  failure->at_us = now_us;
  suspect->count++;
  if (suspect->count == HBW_QUARANTINE_FAILURES)
    discharge_others (quarantine, suspect);
}

guint
hbw_quarantine_add (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                    guint64 server, gint64 now_us)
{
  Suspect *suspect = ensure (quarantine, fingerprint, now_us);
  suspect->until_us = now_us + HBW_QUARANTINE_US;
  note_failure (quarantine, suspect, server, now_us);
  return suspect->count;
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->count >= HBW_QUARANTINE_FAILURES)
    return FALSE;
  forget (quarantine, suspect);
  return TRUE;
}

void
hbw_quarantine_merge (HbwQuarantine *quarantine, const HbwSuspect *told,
                      gint64 now_us)
{
  if (told->failures == 0)
    {
      hbw_quarantine_clear (quarantine, &told->fingerprint);
      return;
    }
  Suspect *suspect = ensure (quarantine, &told->fingerprint, now_us);
  gint64 remaining = MIN (told->remaining_us, HBW_QUARANTINE_US);
  if (told->failures > suspect->count)
    {
      suspect->count = told->failures - 1;
      note_failure (quarantine, suspect, told->server, now_us);
    }
  suspect->until_us = MAX (suspect->until_us, now_us + remaining);
}

guint
hbw_quarantine_size (const HbwQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}
