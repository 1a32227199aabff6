/*
 * suspect_share - keeps the quarantines of all instances the same
 *
 * Callers resend a request through any instance of any data centre, so every change
 * of the quarantine is reported to all of them.  The rate of reports is limited, and
 * the limit falls as the number of instances grows.  Pings carry a digest of the
 * quarantine: an instance that has missed a report, or has been cut off, gets the
 * entries from whom it exchanges pings with.
 *
 * An instance that has just started, or was paused, does not know yet what the
 * others know, and runs no requests until its digest equals that of another
 * instance.
 */
#ifndef HORNBEAMWALL_CORE_SUSPECT_SHARE_H
#define HORNBEAMWALL_CORE_SUSPECT_SHARE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* An instance that hears nothing new from others runs requests after this time, or
   after the second one if it has read what the platform's store has.  One that does
   not know any other instance does not do so before it has read that. */
#define HBW_SUSPECT_JOIN_TIMEOUT_US (1 * HBW_US_PER_S)
#define HBW_SUSPECT_JOIN_STORED_TIMEOUT_US (300 * HBW_US_PER_MS)

/* It does so after this time in any case. */
#define HBW_SUSPECT_JOIN_MAX_US (5 * HBW_US_PER_S)

/* Creates the state of an instance that starts now.  IS_ALONE is set if it has no
   address of another instance, HAS_STORE if it will read what the platform's store
   has. */
HbwSuspectShare *hbw_suspect_share_create (gboolean is_alone, gboolean has_store,
                                           gint64 now_us);
void hbw_suspect_share_destroy (HbwSuspectShare *share);

/* Returns whether this instance knows what the others know. */
gboolean hbw_suspect_share_is_complete (const HbwSuspectShare *share);

/* Sends the reports that are due.  Call at the end of every step. */
void hbw_suspect_share_send (HbwSuspectShare *share, HbwContext *context);

/* Merges the report of a peer. */
void hbw_suspect_share_handle_report (HbwSuspectShare *share, HbwContext *context,
                                      const HbwMessage *message);

/* Returns the digest for a ping; 0 before the quarantine is complete. */
guint64 hbw_suspect_share_digest (const HbwSuspectShare *share,
                                  const HbwContext *context);

/* Compares the digest of a PING or an ACK, and sends entries to its sender if they
   differ. */
void hbw_suspect_share_handle_ping (HbwSuspectShare *share, HbwContext *context,
                                    const HbwMessage *message);

/* Handles that what the platform's store has is merged into the quarantine. */
void hbw_suspect_share_handle_stored (HbwSuspectShare *share, HbwContext *context);

/* Handles that this process was paused and may have missed reports. */
void hbw_suspect_share_resume (HbwSuspectShare *share, HbwContext *context);

void hbw_suspect_share_tick (HbwSuspectShare *share, HbwContext *context);

#endif
