/*
 * load_share - what other instances have in progress on each backend server
 *
 * Where every instance chooses for itself, each tells the others what it has sent to
 * each server, as it changes: requests in progress, prompt tokens that are not read
 * yet, and which parts of prompts were sent there.  It answers load in which several
 * instances would pick the same idle server at once.  What is lost is made good by a
 * full restatement every second; what is not restated is forgotten.
 */
#ifndef HORNBEAMWALL_CORE_LOAD_SHARE_H
#define HORNBEAMWALL_CORE_LOAD_SHARE_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/server.h"

/* Shortest time between two messages of changes, for each eight instances. */
#define HBW_LOAD_SHARE_US (5 * HBW_US_PER_MS)

#define HBW_LOAD_RESTATE_US (1 * HBW_US_PER_S)

/* What a peer said is used for so long. */
#define HBW_LOAD_AGE_US (2500 * HBW_US_PER_MS)

HbwLoadShare *hbw_load_share_create (void);
void hbw_load_share_destroy (HbwLoadShare *share);

/* Notes what this instance has in progress on SERVER now. */
void hbw_load_share_note (HbwLoadShare *share, const HbwServer *server);

/* Notes that the prompt parts of SPEC, but for the last, go to SERVER. */
void hbw_load_share_note_prompt (HbwLoadShare *share, const HbwServer *server,
                                 const HbwRequestSpec *spec);

/* Sends the changes that are due to all other instances. */
void hbw_load_share_send (HbwLoadShare *share, HbwContext *context);

void hbw_load_share_handle (HbwLoadShare *share, HbwContext *context,
                            const HbwMessage *message);

/* Returns what other instances have in progress on SERVER. */
HbwLoadSum hbw_load_share_sum (const HbwLoadShare *share, const HbwServer *server,
                               gint64 now_us);

#endif
