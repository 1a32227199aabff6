/*
 * quarantine - requests that were in progress when a backend server failed
 *
 * Each fingerprint in progress on a server that breaks becomes a suspect.  A
 * suspect runs only where no other suspect runs; a success clears it; the second
 * failure quarantines it for HBW_QUARANTINE_US, in all instances.  That explains the
 * failures of those servers: the suspicions that rest on them are dropped.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_H
#define HORNBEAMWALL_CORE_QUARANTINE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Failures after which a request is refused. */
#define HBW_QUARANTINE_FAILURES 2

/* Two failures of one server within this time are one. */
#define HBW_QUARANTINE_SAME_US (2 * HBW_US_PER_S)

/* How long a suspicion or a quarantine lasts. */
#define HBW_QUARANTINE_US (300 * HBW_US_PER_S)

/* Fingerprints that are remembered; beyond that the oldest is forgotten. */
#define HBW_QUARANTINE_MAX 4096

HbwQuarantine *hbw_quarantine_create (void);
void hbw_quarantine_destroy (HbwQuarantine *quarantine);

/* Returns how often FINGERPRINT was in progress on a server that failed. */
guint hbw_quarantine_failures (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint, gint64 now_us);

/* Returns whether FINGERPRINT may only run where no other suspect runs, and whether
   it may not run at all. */
gboolean hbw_quarantine_is_suspect (HbwQuarantine *quarantine,
                                    const HbwFingerprint *fingerprint,
                                    gint64 now_us);
gboolean hbw_quarantine_is_convicted (HbwQuarantine *quarantine,
                                      const HbwFingerprint *fingerprint,
                                      gint64 now_us);

/* Returns how long FINGERPRINT is still remembered, in microseconds. */
gint64 hbw_quarantine_remaining (HbwQuarantine *quarantine,
                                 const HbwFingerprint *fingerprint, gint64 now_us);

/* Counts one more failure, of SERVER (a hash), and returns the count. */
guint hbw_quarantine_add (HbwQuarantine *quarantine,
                          const HbwFingerprint *fingerprint, guint64 server,
                          gint64 now_us);

/* Forgets FINGERPRINT; returns whether it was known. */
gboolean hbw_quarantine_clear (HbwQuarantine *quarantine,
                               const HbwFingerprint *fingerprint);

/* Takes over what a peer knows: the higher count stands; a count of 0 clears. */
void hbw_quarantine_merge (HbwQuarantine *quarantine, const HbwSuspect *suspect,
                           gint64 now_us);

guint hbw_quarantine_size (const HbwQuarantine *quarantine);

#endif
