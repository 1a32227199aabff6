/*
 * suspect_placement - divides servers among the suspects that wait for one
 *
 * Instances that choose servers alone would choose the same one for two suspects
 * before either hears of the other.  Each suspect that waits anywhere therefore has
 * its own part of the servers: all instances know the waiting suspects once these
 * have settled, and sort servers and suspects alike.
 */
#ifndef HORNBEAMWALL_CORE_SUSPECT_PLACEMENT_H
#define HORNBEAMWALL_CORE_SUSPECT_PLACEMENT_H

#include "hornbeamwall/core/quarantine.h"

/* Part INDEX of COUNT parts. */
typedef struct
{
  guint index;
  guint count;
} HbwSuspectPart;

/* Returns the part of FINGERPRINT; the only one if it is no suspect, or has waited
   for HBW_SUSPECT_ALONE_MAX_US. */
HbwSuspectPart hbw_suspect_find_part (HbwQuarantine *quarantine,
                                      const HbwFingerprint *fingerprint,
                                      gint64 now_us);

/* Returns whether PART has the server at POSITION of SERVER_COUNT. */
gboolean hbw_suspect_part_has (const HbwSuspectPart *part, guint position,
                               guint server_count);

#endif
