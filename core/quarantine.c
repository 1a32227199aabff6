#include "hornbeamwall/core/quarantine.h"

#include <urcu/list.h>

typedef struct
{
  struct cds_list_head link; /* oldest first */
  HbwFingerprint fingerprint;
  guint failures;
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
  return suspect != NULL ? suspect->failures : 0;
}

gint64
hbw_quarantine_remaining (HbwQuarantine *quarantine,
                          const HbwFingerprint *fingerprint, gint64 now_us)
{
  const Suspect *suspect = find (quarantine, fingerprint, now_us);
  return suspect != NULL ? suspect->until_us - now_us : 0;
}

guint
hbw_quarantine_add (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                    gint64 now_us)
{
  Suspect *suspect = ensure (quarantine, fingerprint, now_us);
  suspect->until_us = now_us + HBW_QUARANTINE_US;
  return ++suspect->failures;
}

gboolean
hbw_quarantine_clear (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint)
{
  Suspect *suspect = g_hash_table_lookup (quarantine->suspects, fingerprint);
  if (suspect == NULL || suspect->failures >= HBW_QUARANTINE_FAILURES)
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
  suspect->failures = MAX (suspect->failures, told->failures);
  suspect->until_us = MAX (suspect->until_us, now_us + remaining);
}

guint
hbw_quarantine_size (const HbwQuarantine *quarantine)
{
  return g_hash_table_size (quarantine->suspects);
}
