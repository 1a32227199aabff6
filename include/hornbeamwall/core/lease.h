/*
 * lease - who may send orders to the backend servers of a data centre
 *
 * The lease is an object in the platform's store, taken and renewed by conditional
 * writes.  Nobody compares clocks: a holder counts from before it asked, on its own
 * clock, less a margin; another instance takes the lease only after it has seen the
 * same version for the whole duration, on its own clock.  Each change of holder
 * raises the fencing number.
 */
#ifndef HORNBEAMWALL_CORE_LEASE_H
#define HORNBEAMWALL_CORE_LEASE_H

#include "hornbeamwall/common/clock.h"

#define HBW_LEASE_US (15 * HBW_US_PER_S)
#define HBW_LEASE_MARGIN_US (2 * HBW_US_PER_S)
#define HBW_LEASE_RENEW_US (5 * HBW_US_PER_S)

/* What the store holds. */
typedef struct
{
  gint64 version; /* of the object; 0 where there is none */
  guint64 holder; /* identity; 0 where it was given back */
  guint64 number; /* fencing number */
} HbwLeaseRecord;

typedef struct HbwLease HbwLease;

HbwLease *hbw_lease_create (guint64 self);
void hbw_lease_destroy (HbwLease *lease);

/* Notes what was read from the store at NOW_US. */
void hbw_lease_observe (HbwLease *lease, const HbwLeaseRecord *record,
                        gint64 now_us);

/* Returns whether a write is due: to take a lease that has lapsed, or to renew one.
   Fills in what is to be written over the version last observed. */
gboolean hbw_lease_wants_write (const HbwLease *lease, gint64 now_us,
                                HbwLeaseRecord *next);

/* Notes that the write asked for at ASKED_US has taken effect. */
void hbw_lease_written (HbwLease *lease, const HbwLeaseRecord *written,
                        gint64 asked_us);

/* Returns the fencing number while the lease is surely held at NOW_US, else 0.  To
   be asked directly before each order, and again after any pause. */
guint64 hbw_lease_number (const HbwLease *lease, gint64 now_us);

#endif
