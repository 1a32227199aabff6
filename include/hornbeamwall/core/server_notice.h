/*
 * server_notice - what backend servers say of themselves in their responses
 *
 * A response may name a limit (the requests per second that the server takes from
 * all instances together), say that the server is leaving, or ask for a pause.  A
 * limit holds until a later response names another one or none.  A server that is
 * leaving gets no new requests, whatever later responses say.  A pause holds for the
 * instance that received it.  All of it ends when the server starts again.
 *
 * A server that says that it is brittle fails if it has to turn away more requests
 * in a second than it names, for want of room.  As soon as it turns one away, no
 * instance sends it another for HBW_BRITTLE_HOLD_US, and for some time after that it
 * gets less than its slots.
 *
 * Each instance tells the others what is new.  The instance that owns a server by
 * rendezvous hashing repeats it, and divides the limit: it gives out permits, each
 * for one request, at the rate of the limit, to the instances that ask for them in
 * turn.  Nobody else sends requests to a limited server.  The permits of an owner
 * that is lost expire, and the next owner begins with one.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_NOTICE_H
#define HORNBEAMWALL_CORE_SERVER_NOTICE_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

/* Lowest rate at which permits are given out, in requests per second: a response is
   needed to learn that a limit is lifted. */
#define HBW_PERMIT_RATE_MIN 0.5

/* How long a permit may be used. */
#define HBW_PERMIT_VALID_US (500 * HBW_US_PER_MS)

/* Longest pause that is followed. */
#define HBW_SERVER_PAUSE_MAX_US (3600 * HBW_US_PER_S)

/* How long a brittle server gets no requests after it has turned one away. */
#define HBW_BRITTLE_HOLD_US (1 * HBW_US_PER_S)

HbwServerNotices *hbw_server_notices_create (void);
void hbw_server_notices_destroy (HbwServerNotices *notices);

/* Handles what a server said in a response to this instance. START_NUMBER is that of
   its entry in the list of servers. */
void hbw_server_notices_handle_response (HbwServerNotices *notices,
                                         HbwContext *context,
                                         const HbwServerNotice *notice,
                                         guint64 start_number);

/* Handles SERVER_NOTICE. */
void hbw_server_notices_handle_message (HbwServerNotices *notices,
                                        HbwContext *context,
                                        const HbwMessage *message);

/* Returns whether the server of ENTRY may get a request now.  If only a permit is
   missing, one is asked for. */
gboolean hbw_server_notices_allow (HbwServerNotices *notices,
                                   const HbwServerEntry *entry, gint64 now_us);

/* Uses a permit for a request to the server of ENTRY, if that is limited. */
void hbw_server_notices_use (HbwServerNotices *notices, const HbwServerEntry *entry,
                             gint64 now_us);

/* Asks for permits, gives out those that are due, and repeats what this instance is
   to repeat. */
void hbw_server_notices_tick (HbwServerNotices *notices, HbwContext *context);

/* Handles that a server has turned a request of this instance away. */
void hbw_server_notices_handle_refusal (HbwServerNotices *notices,
                                        HbwContext *context, const char *server);

/* Returns up to which percentage of its slots the server of ENTRY should get
   requests of TIER from all instances together; a large number unless it is brittle.
 */
guint hbw_server_notices_slots_percent (HbwServerNotices *notices,
                                        const HbwServerEntry *entry, HbwTier tier,
                                        gint64 now_us);

/* Returns the number of servers that have a limit. */
guint hbw_server_notices_count_limited (const HbwServerNotices *notices);

#endif
