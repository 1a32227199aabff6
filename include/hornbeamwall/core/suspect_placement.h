/*
 * suspect_placement - divides servers among the suspects that wait for one
 *
 * Instances that choose servers alone would choose the same one for two suspects
 * before either hears of the other.  Each suspect that waits anywhere therefore has
 * its own slice of the servers: all instances know the waiting suspects once these
 * have settled, and sort servers and suspects alike.
 */
#ifndef HORNBEAMWALL_CORE_SUSPECT_PLACEMENT_H
#define HORNBEAMWALL_CORE_SUSPECT_PLACEMENT_H

#include "hornbeamwall/core/quarantine.h"

/* Slice INDEX of COUNT. */
typedef struct
{
  guint index;
  guint count;
} HbwServerSlice;

/* Returns the slice of FINGERPRINT; the only one if it is no suspect, or has waited
   for HBW_SUSPECT_ALONE_MAX_US. */
HbwServerSlice hbw_suspect_find_slice (HbwQuarantine *quarantine,
                                       const HbwFingerprint *fingerprint,
                                       gint64 now_us);

/* Returns whether SLICE has the server at POSITION of SERVER_COUNT. */
gboolean hbw_server_slice_has (const HbwServerSlice *slice, guint position,
                               guint server_count);

#endif
