/*
 * lease - exclusive right to send orders to the backend servers of a data centre
 *
 * An order tells a server which model, adapter or role it shall have.
 *
 * The lease is an object in the platform's store, acquired and renewed by
 * compare-and-swap.  Clocks of different instances are never compared.  The holder
 * measures the duration on its own clock, from before it sent the write, and stops
 * a margin early.  Another instance takes the lease over only after it has seen the
 * same version for the duration and the margin on its own clock.  Each change of
 * holder increments the fencing number.
 *
 * A restored store may have lost who holds the lease.  So nobody takes or renews it
 * in a new era until the last holder's has expired, and fencing numbers rise with
 * the era.
 */
#ifndef HORNBEAMWALL_CORE_LEASE_H
#define HORNBEAMWALL_CORE_LEASE_H

#include "hornbeamwall/common/clock.h"

#define HBW_LEASE_DURATION_US (15 * HBW_US_PER_S)
#define HBW_LEASE_MARGIN_US (2 * HBW_US_PER_S)
#define HBW_LEASE_RENEW_INTERVAL_US (5 * HBW_US_PER_S)

/* Holder of a lease that names none which can be read. */
#define HBW_LEASE_HOLDER_UNKNOWN G_MAXUINT64

/* State of the lease in the store. */
typedef struct
{
  gint64 version; /* of the object; 0 if it does not exist */
  guint64 holder; /* identity; 0 if it was released */
  guint64 fencing_number;
  gint64 era; /* of the store, see store_era.h */
} HbwLeaseRecord;

typedef struct HbwLease HbwLease;

HbwLease *hbw_lease_create (guint64 self);
void hbw_lease_destroy (HbwLease *lease);

/* Records the state that was read from the store at NOW_US.  In one era, the fencing
   number never falls. */
void hbw_lease_observe (HbwLease *lease, const HbwLeaseRecord *record,
                        gint64 now_us);

/* Returns whether a write is due, to take an expired lease or to renew one.  Fills
   in NEXT, which must replace the version that was observed last. */
gboolean hbw_lease_wants_write (const HbwLease *lease, gint64 now_us,
                                HbwLeaseRecord *next);

/* Records that the write sent at SENT_US succeeded. */
void hbw_lease_handle_written (HbwLease *lease, const HbwLeaseRecord *written,
                               gint64 sent_us);

/* Returns the fencing number if the lease is certainly held at NOW_US, else 0.  Call
   immediately before each order, and again after any pause. */
guint64 hbw_lease_fencing_number (const HbwLease *lease, gint64 now_us);

#endif
