/*
 * control - the control thread, the only thread that runs the reducer
 *
 * Other threads submit events through a wait-free queue.  The control thread
 * executes the resulting effects: commands to mailboxes, peer messages, catalogue
 * snapshots and log lines.
 */
#ifndef HORNBEAMWALL_RUNTIME_CONTROL_H
#define HORNBEAMWALL_RUNTIME_CONTROL_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/runtime/mailbox.h"
#include "hornbeamwall/runtime/settings.h"
#include "hornbeamwall/runtime/snapshot.h"

/* Interval between tick events. */
#define HBW_TICK_US (25 * HBW_US_PER_MS)

typedef struct HbwControl HbwControl;

typedef enum
{
  HBW_QUERY_METRICS,
  HBW_QUERY_STATUS,
  HBW_QUERY_STOPS,
  HBW_QUERY_ROLLOUT,
} HbwQueryKind;

/* Binds the peer address and creates the reducer.  The thread is started by
   hbw_control_start(). */
HbwControl *hbw_control_create (const HbwSettings *settings, HbwClock *clock,
                                HbwError *error);

gboolean hbw_control_start (HbwControl *control, HbwError *error);

/* Stops the thread and frees CONTROL.  No other thread may submit events by then. */
void hbw_control_destroy (HbwControl *control);

/* Queues a copy of EVENT; its now_us is set when it is handled.  MAILBOX, given only
   with HBW_EVENT_REQUEST_ARRIVED, receives the commands of that request.  Takes a
   reference to the body of a document or of the suspects. */
void hbw_control_submit (HbwControl *control, const HbwEvent *event,
                         HbwMailbox *mailbox);

/* Sets the receiver of commands for requests that were submitted without a mailbox;
   NULL drops those commands.  The previous sink is no longer in use when this
   returns. */
void hbw_control_set_command_sink (HbwControl *control, HbwRequestCommandSink *sink);

/* Blocks until the control thread has rendered the text, which the caller frees. */
char *hbw_control_query (HbwControl *control, HbwQueryKind kind);

/* Returns a sequence number that is unique within this process. */
guint64 hbw_control_next_request_sequence (HbwControl *control);

/* The functions below may be called from any thread. */
HbwSnapshot *hbw_control_snapshot (HbwControl *control);
HbwClock *hbw_control_clock (HbwControl *control);
guint64 hbw_control_identity (const HbwControl *control);
gboolean hbw_control_is_ready (const HbwControl *control);
gboolean hbw_control_is_order_sender (const HbwControl *control);
gboolean hbw_control_is_draining (const HbwControl *control);
gboolean hbw_control_is_store_watcher (const HbwControl *control);
HbwFreshness hbw_control_catalogue_freshness (const HbwControl *control);
guint hbw_control_request_count (const HbwControl *control);
gint64 hbw_control_document_version (const HbwControl *control,
                                     HbwDocumentKind kind);

#endif
