/*
 * duty_lease - which instance makes the calls of the duties
 *
 * A pure state machine.  The lease is one object of the platform's store, which its
 * holder writes regularly; another instance takes it after it has seen no write for
 * longer than the lease lasts.  The holder counts from before it sent the write, the
 * others from when they saw its result, both on a clock that counts while the
 * machine is suspended: only differences in the clocks' speed have to be covered by
 * the margin.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_LEASE_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_LEASE_H

#include "hornbeamwall/core/duty/duty_record.h"
#include "hornbeamwall/core/duty/duty_store.h"

typedef struct HbwDutyLease HbwDutyLease;

typedef enum
{
  HBW_DUTY_LEASE_WAIT, /* no call to the store is due */
  HBW_DUTY_LEASE_READ,
  HBW_DUTY_LEASE_READ_STALE,
  HBW_DUTY_LEASE_TAKE, /* these write */
  HBW_DUTY_LEASE_RENEW,
  HBW_DUTY_LEASE_RELEASE,
} HbwDutyLeaseCall;

typedef enum
{
  HBW_DUTY_LEASE_UNCHANGED,
  HBW_DUTY_LEASE_TAKEN,
  HBW_DUTY_LEASE_RENEWED, /* see hbw_duty_lease_stored_sequence() */
  HBW_DUTY_LEASE_LOST,
  HBW_DUTY_LEASE_RELEASED,
} HbwDutyLeaseChange;

/* What the state machine needs to know about its instance. */
typedef struct
{
  gboolean is_candidate;
  guint position;         /* candidates that come first */
  gboolean may_take;      /* as a candidate */
  gboolean releases;      /* gives the lease up, if it has it */
  gboolean state_changed; /* the state of a task is not stored */
} HbwDutyLeaseWish;

/* Returns the margin of a lease, for clocks of different speed and a call that is
   late on its way. */
gint64 hbw_duty_lease_margin (gint64 lease_us);

/* Creates the state machine of the instance IDENTITY with NAME, started at NOW_US.
 */
HbwDutyLease *hbw_duty_lease_create (guint64 identity, const char *name,
                                     gint64 lease_us, gint64 now_us);
void hbw_duty_lease_destroy (HbwDutyLease *lease);

/* Returns the next call to the store; one is made at a time. */
HbwDutyLeaseCall hbw_duty_lease_wants (const HbwDutyLease *lease,
                                       const HbwDutyLeaseWish *wish, gint64 now_us);

/* Fills in CALL for KIND, as hbw_duty_lease_wants() has returned it, and notes that
   it is sent.  TASKS (borrowed) are what RENEW and RELEASE store; TAKE stores the
   tasks that it has seen.  Returns the sequence number of a write. */
guint64 hbw_duty_lease_begin (HbwDutyLease *lease, HbwDutyLeaseCall kind,
                              json_t *tasks, gint64 now_us, HbwDutyStoreCall *call);

/* Handles the result of the call. */
HbwDutyLeaseChange hbw_duty_lease_handle_result (HbwDutyLease *lease,
                                                 const HbwDutyStoreResult *result,
                                                 gint64 now_us);

/* Handles the time: returns LOST once when the lease has expired. */
HbwDutyLeaseChange hbw_duty_lease_tick (HbwDutyLease *lease, gint64 now_us);

/* Handles that the store is in ERA. */
void hbw_duty_lease_observe_era (HbwDutyLease *lease, gint64 era, gint64 now_us);

/* Handles that another instance holds, or has held, the lease with TOKEN. */
HbwDutyLeaseChange hbw_duty_lease_observe_token (HbwDutyLease *lease, guint64 token,
                                                 gint64 now_us);

/* Returns the fencing token if the lease is certainly held at NOW_US, otherwise 0.
 */
guint64 hbw_duty_lease_token (const HbwDutyLease *lease, gint64 now_us);

/* Returns when the token is no longer valid, unless the lease is renewed. */
gint64 hbw_duty_lease_valid_until (const HbwDutyLease *lease);

/* Returns the record as last seen (borrowed). */
const HbwDutyRecord *hbw_duty_lease_record (const HbwDutyLease *lease);

/* Returns the sequence number of the last write that the store is known to have; 0
   if there is none since the lease was taken. */
guint64 hbw_duty_lease_stored_sequence (const HbwDutyLease *lease);

/* Returns since when the record has been seen unchanged; 0 if it was not read. */
gint64 hbw_duty_lease_seen_since (const HbwDutyLease *lease);

#endif
