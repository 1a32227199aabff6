/*
 * control - the control thread, which alone runs the reducer
 *
 * Other threads hand it events through a wait-free queue; it carries out the
 * effects: orders to mailboxes, peer messages, snapshots and log lines.
 */
#ifndef HORNBEAMWALL_RUNTIME_CONTROL_H
#define HORNBEAMWALL_RUNTIME_CONTROL_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/runtime/call.h"
#include "hornbeamwall/runtime/settings.h"
#include "hornbeamwall/runtime/snapshot.h"

/* How often the reducer gets a tick. */
#define HBW_TICK_US (25 * HBW_US_PER_MS)

typedef struct HbwControl HbwControl;

typedef enum
{
  HBW_QUERY_METRICS,
  HBW_QUERY_STATUS,
  HBW_QUERY_STOPS,
  HBW_QUERY_ROLLOUT,
} HbwQueryKind;

/* Binds the peer address and makes the reducer; no thread runs yet. */
HbwControl *hbw_control_create (const HbwSettings *settings, HbwClock *clock,
                                HbwError *error);

/* Starts the thread. */
gboolean hbw_control_start (HbwControl *control, HbwError *error);

/* Ends the thread and frees everything; no other thread may still submit. */
void hbw_control_destroy (HbwControl *control);

/* Hands over a copy of EVENT, stamped with the time at which it is handled.  CALL is
   given with REQUEST_ARRIVED only and gets the orders of that request.  A document's
   body is taken over by reference. */
void hbw_control_submit (HbwControl *control, const HbwEvent *event, HbwCall *call);

/* Sets who gets the orders of requests that were submitted without a call; NULL
   drops them.  Once it returns, the one before is not in use any more. */
void hbw_control_set_sink (HbwControl *control, HbwOrderSink *sink);

/* Notes that the store, asked at ASKED_US, gave VERSION as the newest catalogue. */
void hbw_control_confirm (HbwControl *control, gint64 asked_us, gint64 version);

/* Returns a new text, made by the control thread. */
char *hbw_control_query (HbwControl *control, HbwQueryKind kind);

/* Returns a number that no other request of this instance has. */
guint64 hbw_control_next_sequence (HbwControl *control);

/* The following may be asked from any thread. */
HbwSnapshot *hbw_control_snapshot (HbwControl *control);
HbwClock *hbw_control_clock (HbwControl *control);
guint64 hbw_control_identity (const HbwControl *control);
gboolean hbw_control_is_ready (const HbwControl *control);
gboolean hbw_control_is_orderer (const HbwControl *control);
gboolean hbw_control_is_draining (const HbwControl *control);
gboolean hbw_control_is_watcher (const HbwControl *control);
HbwFreshness hbw_control_freshness (const HbwControl *control);
guint hbw_control_request_count (const HbwControl *control);
gint64 hbw_control_version (const HbwControl *control, HbwDocumentKind kind);

#endif
