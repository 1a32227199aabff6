/*
 * suspect_share - tells all instances which requests may make servers fail
 *
 * Callers resend a request through any instance of any data centre, so every change
 * of the quarantine is reported to all of them.  The rate of reports is limited, and
 * the limit falls as the number of instances grows.
 */
#ifndef HORNBEAMWALL_CORE_SUSPECT_SHARE_H
#define HORNBEAMWALL_CORE_SUSPECT_SHARE_H

#include "hornbeamwall/core/context.h"

HbwSuspectShare *hbw_suspect_share_create (void);
void hbw_suspect_share_destroy (HbwSuspectShare *share);

/* Sends the reports that are due.  Call at the end of every step. */
void hbw_suspect_share_send (HbwSuspectShare *share, HbwContext *context);

/* Merges the report of a peer. */
void hbw_suspect_share_handle_report (HbwSuspectShare *share, HbwContext *context,
                                      const HbwMessage *message);

void hbw_suspect_share_tick (HbwSuspectShare *share, HbwContext *context);

#endif
