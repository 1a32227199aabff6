#include "hornbeamwall/core/suspect_share.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine.h"

/* Average interval between reports in a fleet of up to MEMBERS_PER_INTERVAL
   instances; it grows by as much for each further MEMBERS_PER_INTERVAL. */
#define REPORT_INTERVAL_US (5 * HBW_US_PER_MS)
#define MEMBERS_PER_INTERVAL 8

/* Reports that may be sent at once after a pause: the requests of a server that
   crashes become suspects at the same time. */
#define REPORT_BURST 64

/* Delay before a change is sent again. */
#define RETRANSMIT_INTERVAL_US (50 * HBW_US_PER_MS)

/* Minimum interval between two comparisons after which entries are sent. */
#define SYNC_INTERVAL_US (HBW_US_PER_S / 4)

/* Most entries that are sent after one comparison. */
#define SYNC_REPORTS_MAX 32

/* Interval at which an instance that is not complete pings another one. */
#define JOIN_PING_INTERVAL_US (100 * HBW_US_PER_MS)

/* Digest of an empty quarantine; 0 stands for one that is not complete. */
#define EMPTY_DIGEST 1

struct HbwSuspectShare
{
  gint64 reports_paid_until_us; /* of the rate limit: each report adds an interval */
  gint64 next_refresh_us;
  gint64 next_sync_us;
  guint synced_count; /* entries that the last comparisons have sent in turn */
  gboolean is_alone;  /* no address of another instance is configured */
  gboolean has_store; /* the platform's store will be read */
  gboolean is_complete;
  gint64 incomplete_since_us;
  gint64 met_us; /* when the first other instance was known since then; 0: none is */
  gint64 news_us; /* last time at which a peer reported what was not known */
  gint64 next_join_ping_us;
  guint64 first_join_ping; /* number of the first ping since then; 0 is none */
  gboolean has_stored;     /* what the platform's store had at the start is merged */
};

static void
set_incomplete (HbwSuspectShare *share, gint64 now_us)
{
  share->is_complete = FALSE;
  share->incomplete_since_us = now_us;
  share->met_us = 0;
  share->next_join_ping_us = now_us;
  share->first_join_ping = 0;
}

/* The activity of other instances is known once each has reported it again. */
static void
set_complete (HbwSuspectShare *share, HbwContext *context)
{
  share->is_complete = TRUE;
  hbw_quarantine_suspend_verdicts (context->quarantine, context->now_us,
                                   context->now_us + HBW_SUSPECT_ACTIVE_TIMEOUT_US);
}

HbwSuspectShare *
hbw_suspect_share_create (gboolean is_alone, gboolean has_store, gint64 now_us)
{
  HbwSuspectShare *share = g_new0 (HbwSuspectShare, 1);
  set_incomplete (share, now_us);
  share->is_alone = is_alone;
  share->has_store = has_store;
  share->is_complete = is_alone && !has_store;
  return share;
}

void
hbw_suspect_share_destroy (HbwSuspectShare *share)
{
  g_free (share);
}

gboolean
hbw_suspect_share_is_complete (const HbwSuspectShare *share)
{
  return share->is_complete;
}

void
hbw_suspect_share_send (HbwSuspectShare *share, HbwContext *context)
{
  guint members = hbw_membership_count_alive (context->membership, NULL);
  gint64 interval_us = REPORT_INTERVAL_US * (1 + members / MEMBERS_PER_INTERVAL);
  gint64 latest_us = context->now_us + REPORT_BURST * interval_us;
  HbwMessage message = { .kind = HBW_MESSAGE_SUSPECT };
  share->reports_paid_until_us = MAX (share->reports_paid_until_us, context->now_us);
  while (share->reports_paid_until_us + interval_us <= latest_us
         && hbw_quarantine_take_report (context->quarantine, RETRANSMIT_INTERVAL_US,
                                        &message.suspect, context->now_us))
    {
      hbw_membership_broadcast (context->membership, context, NULL, &message);
      share->reports_paid_until_us += interval_us;
    }
  message.kind = HBW_MESSAGE_CLEARED_PARTS;
  if (hbw_quarantine_take_cleared_parts (context->quarantine, &message.cleared_parts,
                                         context->now_us))
    hbw_membership_broadcast (context->membership, context, NULL, &message);
  hbw_quarantine_log_new (context->quarantine, context->effects);
}

void
hbw_suspect_share_handle_report (HbwSuspectShare *share, HbwContext *context,
                                 const HbwMessage *message)
{
  const HbwSuspicionReport *report = &message->suspect;
  guint added = hbw_quarantine_merge (context->quarantine, message->from, report,
                                      context->now_us);
  if (added == 0)
    return;
  share->news_us = context->now_us;
  if (report->fingerprint.high == HBW_PART_FINGERPRINT_HIGH)
    return;
  hbw_effects_log (context->effects, HBW_LOG_SUSPECT_HEARD,
                   "fingerprint=%016" G_GINT64_MODIFIER "x instance=%s failures=%u",
                   report->fingerprint.low,
                   hbw_membership_find_name (context->membership, message->from),
                   report->failure_count);
}

static guint64
own_digest (const HbwContext *context)
{
  guint64 digest = hbw_quarantine_digest (context->quarantine, context->now_us);
  return digest != 0 ? digest : EMPTY_DIGEST;
}

guint64
hbw_suspect_share_digest (const HbwSuspectShare *share, const HbwContext *context)
{
  return share->is_complete ? own_digest (context) : 0;
}

/* Sends the next entries of all, in turn: the sender of a digest that differs may
   lack any of them. */
static void
send_entries (HbwSuspectShare *share, HbwContext *context, guint64 to)
{
  HbwSuspicionReport reports[SYNC_REPORTS_MAX];
  guint count
      = hbw_quarantine_list_reports (context->quarantine, share->synced_count,
                                     reports, SYNC_REPORTS_MAX, context->now_us);
  share->synced_count = count == SYNC_REPORTS_MAX ? share->synced_count + count : 0;
  for (guint i = 0; i < count; i++)
    {
      const HbwMessage message
          = { .kind = HBW_MESSAGE_SUSPECT, .suspect = reports[i] };
      hbw_context_send (context, to, &message);
    }
}

/* Returns whether MESSAGE answers a ping that was sent since this instance became
   incomplete.  Others may have waited here while the process was paused. */
static gboolean
is_recent_ack (const HbwSuspectShare *share, const HbwMessage *message)
{
  return message->kind == HBW_MESSAGE_ACK && share->first_join_ping != 0
         && message->ping.probe_number >= share->first_join_ping;
}

void
hbw_suspect_share_handle_ping (HbwSuspectShare *share, HbwContext *context,
                               const HbwMessage *message)
{
  guint64 digest = message->ping.suspects_digest;
  gboolean equal = digest == own_digest (context);
  if (!share->is_complete && equal && is_recent_ack (share, message))
    set_complete (share, context);
  if (equal || context->now_us < share->next_sync_us
      || hbw_membership_find_address (context->membership, message->from) == NULL)
    return;
  share->next_sync_us = context->now_us + SYNC_INTERVAL_US;
  send_entries (share, context, message->from);
}

void
hbw_suspect_share_handle_stored (HbwSuspectShare *share, HbwContext *context)
{
  share->has_stored = TRUE;
  if (share->is_alone && !share->is_complete)
    set_complete (share, context);
}

void
hbw_suspect_share_resume (HbwSuspectShare *share, HbwContext *context)
{
  if (hbw_membership_count_alive (context->membership, NULL) <= 1)
    return;
  set_incomplete (share, context->now_us);
  hbw_quarantine_suspend_verdicts (context->quarantine, context->now_us, G_MAXINT64);
}

static void
ping_to_join (HbwSuspectShare *share, HbwContext *context)
{
  if (context->now_us < share->next_join_ping_us)
    return;
  share->next_join_ping_us = context->now_us + JOIN_PING_INTERVAL_US;
  if (share->met_us == 0)
    hbw_membership_ping_seeds (context->membership, context);
  guint64 number = hbw_membership_ping_random (context->membership, context);
  if (share->first_join_ping == 0)
    share->first_join_ping = number;
}

/* Returns how long this instance waits for something new. */
static gint64
join_timeout_us (const HbwSuspectShare *share)
{
  if (share->has_stored)
    return HBW_SUSPECT_JOIN_STORED_TIMEOUT_US;
  return share->met_us == 0 && share->has_store ? HBW_SUSPECT_JOIN_MAX_US
                                                : HBW_SUSPECT_JOIN_TIMEOUT_US;
}

static void
tick_incomplete (HbwSuspectShare *share, HbwContext *context)
{
  if (share->met_us == 0
      && hbw_membership_count_alive (context->membership, NULL) > 1)
    share->met_us = context->now_us;
  gint64 since_us
      = MAX (MAX (share->incomplete_since_us, share->met_us), share->news_us);
  if (context->now_us - since_us >= join_timeout_us (share)
      || context->now_us - share->incomplete_since_us >= HBW_SUSPECT_JOIN_MAX_US)
    set_complete (share, context);
  else
    ping_to_join (share, context);
}

void
hbw_suspect_share_tick (HbwSuspectShare *share, HbwContext *context)
{
  hbw_quarantine_set_has_peers (
      context->quarantine,
      hbw_membership_count_alive (context->membership, NULL) > 1);
  hbw_quarantine_evaluate_parts (context->quarantine, context->now_us);
  if (!share->is_complete)
    tick_incomplete (share, context);
  if (context->now_us < share->next_refresh_us)
    return;
  share->next_refresh_us = context->now_us + HBW_SUSPECT_REFRESH_INTERVAL_US;
  hbw_quarantine_refresh (context->quarantine, context->now_us);
}
