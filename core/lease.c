#include "hornbeamwall/core/lease.h"

struct HbwLease
{
  guint64 self;
  HbwLeaseRecord record; /* last one observed or written */
  gint64 observed_us;    /* when this version was first observed */
  gboolean observed;
  gint64 written_us; /* when the write that acquired or renewed it was sent */
  gboolean held;
  gint64 free_at_us; /* nobody holds the lease of an earlier era from then on */
};

/* Position of the store's era in a fencing number. */
#define ERA_SHIFT 32

HbwLease *
hbw_lease_create (guint64 self)
{
  HbwLease *lease = g_new0 (HbwLease, 1);
  lease->self = self;
  return lease;
}

void
hbw_lease_destroy (HbwLease *lease)
{
  g_free (lease);
}

void
hbw_lease_observe (HbwLease *lease, const HbwLeaseRecord *record, gint64 now_us)
{
  if (!lease->observed || record->version != lease->record.version)
    lease->observed_us = now_us;
  if (record->era != lease->record.era)
    lease->free_at_us = now_us + HBW_LEASE_DURATION_US + HBW_LEASE_MARGIN_US;
  if (record->holder != lease->self || record->era != lease->record.era)
    lease->held = FALSE;
  guint64 seen_number
      = record->era == lease->record.era ? lease->record.fencing_number : 0;
  lease->observed = TRUE;
  lease->record = *record;
  lease->record.fencing_number = MAX (record->fencing_number, seen_number);
}

static gboolean
is_expired (const HbwLease *lease, gint64 now_us)
{
  return lease->record.holder == 0
         || now_us - lease->observed_us
                > HBW_LEASE_DURATION_US + HBW_LEASE_MARGIN_US;
}

gboolean
hbw_lease_wants_write (const HbwLease *lease, gint64 now_us, HbwLeaseRecord *next)
{
  if (!lease->observed || now_us < lease->free_at_us)
    return FALSE;
  *next = lease->record;
  next->holder = lease->self;
  guint64 era_number = (guint64) lease->record.era << ERA_SHIFT;
  gboolean is_of_era = lease->record.fencing_number >= era_number;
  if (lease->record.holder == lease->self && is_of_era)
    return !lease->held || now_us - lease->written_us >= HBW_LEASE_RENEW_INTERVAL_US;
  next->fencing_number = MAX (lease->record.fencing_number, era_number) + 1;
  return is_expired (lease, now_us);
}

void
hbw_lease_handle_written (HbwLease *lease, const HbwLeaseRecord *written,
                          gint64 sent_us)
{
  if (written->era != lease->record.era)
    return; /* the next read observes the new era */
  lease->record = *written;
  lease->observed_us = sent_us;
  lease->written_us = sent_us;
  lease->held = TRUE;
}

guint64
hbw_lease_fencing_number (const HbwLease *lease, gint64 now_us)
{
  gint64 age_us = now_us - lease->written_us;
  if (!lease->held || age_us < 0
      || age_us > HBW_LEASE_DURATION_US - HBW_LEASE_MARGIN_US)
    return 0;
  return lease->record.fencing_number;
}
