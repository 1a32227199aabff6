/*
 * load_share - exchanges the load on each backend server between instances
 *
 * When every instance selects servers on its own, each tells the others its load on
 * each server as it changes: requests in progress and waiting, prompt tokens that
 * are not processed yet, and the prompt parts sent there.  This keeps several
 * instances from selecting the same idle server at once.
 *
 * In a small fleet, each instance sends its loads to all others.  In a larger one it
 * sends them to the relay of its data centre.  The relays exchange the sums of their
 * data centres, and each sends the sums of the whole fleet to the instances of its
 * own, so that what an instance sends and receives does not grow with the fleet.
 *
 * Loads are resent every second, to make up for lost messages, and expire unless
 * they are resent.
 */
#ifndef HORNBEAMWALL_CORE_LOAD_SHARE_H
#define HORNBEAMWALL_CORE_LOAD_SHARE_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/server.h"

/* Up to this many instances send their loads to all others. */
#define HBW_LOAD_DIRECT_INSTANCES_MAX 12

/* Minimum interval between two messages.  It grows by the same amount for each eight
   instances of the fleet, or of the data centre if there are relays, and with a
   relay of a small processor share or an own link that messages would fill. */
#define HBW_LOAD_SHARE_INTERVAL_US (5 * HBW_US_PER_MS)

#define HBW_LOAD_RESEND_INTERVAL_US (1 * HBW_US_PER_S)

/* The load that a peer has sent expires after this time. */
#define HBW_LOAD_AGE_MAX_US (2500 * HBW_US_PER_MS)

typedef struct HbwLoadShare HbwLoadShare;

HbwLoadShare *hbw_load_share_create (void);
void hbw_load_share_destroy (HbwLoadShare *share);

/* Sets the load of this instance on SERVER. */
void hbw_load_share_update_local (HbwLoadShare *share, const HbwServer *server);

/* Records that the prompt parts of SPEC were sent to SERVER.  The last part belongs
   to one request or session and is not recorded. */
void hbw_load_share_record_prompt (HbwLoadShare *share, const HbwServer *server,
                                   const HbwRequestSpec *spec);

/* Tells the other instances again of the shared prompt parts that requests of this
   one hold in the memory of SERVER, unless they were told recently. */
void hbw_load_share_repeat_parts (HbwLoadShare *share, const HbwServer *server);

/* Sends the loads and prompt parts that are due. */
void hbw_load_share_send (HbwLoadShare *share, HbwContext *context);

/* Handles LOADS and LOAD_SUMS. */
void hbw_load_share_handle_message (HbwLoadShare *share, HbwContext *context,
                                    const HbwMessage *message);

/* Returns the total load of other instances on SERVER. */
HbwServerWork hbw_load_share_sum_peers (const HbwLoadShare *share,
                                        const HbwServer *server, gint64 now_us);

#endif
