#include "hornbeamwall/core/lease.h"

struct HbwLease
{
  guint64 self;
  HbwLeaseRecord seen;
  gint64 seen_us; /* when this version was first seen */
  gboolean observed;
  gint64 asked_us; /* when the write was asked for by which it is held */
  gboolean held;
};

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
  if (!lease->observed || record->version != lease->seen.version)
    lease->seen_us = now_us;
  lease->observed = TRUE;
  lease->seen = *record;
  if (record->holder != lease->self)
    lease->held = FALSE;
}

static gboolean
has_lapsed (const HbwLease *lease, gint64 now_us)
{
  return lease->seen.holder == 0
         || now_us - lease->seen_us > HBW_LEASE_US + HBW_LEASE_MARGIN_US;
}

gboolean
hbw_lease_wants_write (const HbwLease *lease, gint64 now_us, HbwLeaseRecord *next)
{
  if (!lease->observed)
    return FALSE;
  *next = lease->seen;
  next->holder = lease->self;
  if (lease->seen.holder == lease->self)
    return !lease->held || now_us - lease->asked_us >= HBW_LEASE_RENEW_US;
  next->number = lease->seen.number + 1;
  return has_lapsed (lease, now_us);
}

void
hbw_lease_written (HbwLease *lease, const HbwLeaseRecord *written, gint64 asked_us)
{
  lease->seen = *written;
  lease->seen_us = asked_us;
  lease->asked_us = asked_us;
  lease->held = TRUE;
}

guint64
hbw_lease_number (const HbwLease *lease, gint64 now_us)
{
  gint64 age = now_us - lease->asked_us;
  if (!lease->held || age < 0 || age > HBW_LEASE_US - HBW_LEASE_MARGIN_US)
    return 0;
  return lease->seen.number;
}
