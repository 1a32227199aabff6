#include "hornbeamwall/core/suspect_share.h"

#include "hornbeamwall/core/membership.h"
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

struct HbwSuspectShare
{
  gint64 reports_paid_until_us; /* of the rate limit: each report adds an interval */
  gint64 next_refresh_us;
};

HbwSuspectShare *
hbw_suspect_share_create (void)
{
  return g_new0 (HbwSuspectShare, 1);
}

void
hbw_suspect_share_destroy (HbwSuspectShare *share)
{
  g_free (share);
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
  hbw_quarantine_log_new (context->quarantine, context->effects);
}

void
hbw_suspect_share_handle_report (HbwSuspectShare *share G_GNUC_UNUSED,
                                 HbwContext *context, const HbwMessage *message)
{
  const HbwSuspicionReport *report = &message->suspect;
  guint added = hbw_quarantine_merge (context->quarantine, message->from, report,
                                      context->now_us);
  if (added > 0)
    hbw_effects_log (context->effects, HBW_LOG_SUSPECT_HEARD,
                     "fingerprint=%016" G_GINT64_MODIFIER
                     "x instance=%s failures=%u",
                     report->fingerprint.low,
                     hbw_membership_find_name (context->membership, message->from),
                     report->failure_count);
}

void
hbw_suspect_share_tick (HbwSuspectShare *share, HbwContext *context)
{
  if (context->now_us < share->next_refresh_us)
    return;
  share->next_refresh_us = context->now_us + HBW_SUSPECT_REFRESH_INTERVAL_US;
  hbw_quarantine_refresh (context->quarantine, context->now_us);
}
