/*
 * quarantine - requests that were in progress when a backend server failed
 *
 * Each fingerprint in progress on a server that breaks becomes a suspect of that
 * failure.  A suspect runs only where no other suspect runs, so that a second
 * failure has one suspect of the first among its candidates; a success clears it.
 * One with two failures is held: it runs no further until one of them can have no
 * other cause, which convicts it in all instances for HBW_QUARANTINE_US, or until
 * the conviction of another explains them all.
 *
 * Load it answers: several requests at the same time fail every server that runs
 * them, among others in progress on the same servers, and their callers send them
 * again.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_H
#define HORNBEAMWALL_CORE_QUARANTINE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Failures after which a request runs no further. */
#define HBW_QUARANTINE_FAILURES 2

/* Two failures of one server within this time are one. */
#define HBW_QUARANTINE_SAME_US (2 * HBW_US_PER_S)

/* How long it takes until all candidates of a failure have been told of. */
#define HBW_QUARANTINE_GATHER_US (HBW_US_PER_S / 4)

/* How long the other candidates of a failure have to clear themselves or to leave: a
   message of an instance that fails may be lost. */
#define HBW_QUARANTINE_TRIAL_US (30 * HBW_US_PER_S)

/* How long a suspicion or a quarantine lasts. */
#define HBW_QUARANTINE_US (300 * HBW_US_PER_S)

/* Fingerprints that are remembered; beyond that the oldest is forgotten. */
#define HBW_QUARANTINE_MAX 4096

HbwQuarantine *hbw_quarantine_create (void);
void hbw_quarantine_destroy (HbwQuarantine *quarantine);

typedef enum
{
  HBW_VERDICT_NONE,
  HBW_VERDICT_SUSPECT,   /* may run where no other suspect runs */
  HBW_VERDICT_HELD,      /* may not run before the verdict changes */
  HBW_VERDICT_CONVICTED, /* is refused */
} HbwVerdict;

/* Returns how many failures of servers that ran FINGERPRINT nothing else explains.
 */
guint hbw_quarantine_failures (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

HbwVerdict hbw_quarantine_judge (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, gint64 now_us);

/* Returns how long FINGERPRINT is still remembered, in microseconds. */
gint64 hbw_quarantine_remaining (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, gint64 now_us);

/* Notes a failure of SERVER (a hash) and returns the failures of FINGERPRINT; copies
   of a request on one server that fails count once. */
guint hbw_quarantine_add (HbwQuarantine *quarantine,
                          const HbwFingerprint *fingerprint, guint64 server,
                          gint64 now_us);

/* Forgets FINGERPRINT after a success; returns whether it was known.  A conviction
   stays. */
gboolean hbw_quarantine_clear (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

/* Notes that FINGERPRINT ended without another attempt: others need not wait for its
   success any more.  Returns whether it was known and had not left. */
gboolean hbw_quarantine_leave (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

/* Takes over what a peer knows. */
void hbw_quarantine_merge (HbwQuarantine *quarantine, const HbwSuspect *suspect,
                           gint64 now_us);

/* Logs the convictions that were not reported yet. */
void hbw_quarantine_report (HbwQuarantine *quarantine, HbwEffects *effects);

guint hbw_quarantine_size (const HbwQuarantine *quarantine);

#endif
