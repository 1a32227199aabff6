#include "hornbeamwall/net/notice_reporter.h"

/* Minimum interval between two reports that a server says nothing. */
#define EMPTY_INTERVAL_US (100 * HBW_US_PER_MS)

struct HbwNoticeReporter
{
  HbwControl *control;
  GHashTable
      *empty_us; /* server id -> gint64, when that it says nothing was reported */
};

HbwNoticeReporter *
hbw_notice_reporter_create (HbwControl *control)
{
  HbwNoticeReporter *reporter = g_new0 (HbwNoticeReporter, 1);
  reporter->control = control;
  reporter->empty_us
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return reporter;
}

void
hbw_notice_reporter_destroy (HbwNoticeReporter *reporter)
{
  g_hash_table_destroy (reporter->empty_us);
  g_free (reporter);
}

static gboolean
is_due (HbwNoticeReporter *reporter, const char *server, gint64 now_us)
{
  gint64 *reported_us = g_hash_table_lookup (reporter->empty_us, server);
  if (reported_us == NULL)
    {
      reported_us = g_new0 (gint64, 1);
      g_hash_table_insert (reporter->empty_us, g_strdup (server), reported_us);
    }
  else if (now_us - *reported_us < EMPTY_INTERVAL_US)
    return FALSE;
  *reported_us = now_us;
  return TRUE;
}

void
hbw_notice_reporter_report (HbwNoticeReporter *reporter,
                            const HbwServerNotice *notice, gint64 now_us)
{
  if (hbw_server_notice_is_empty (notice))
    {
      if (!is_due (reporter, notice->server, now_us))
        return;
    }
  else
    g_hash_table_remove (reporter->empty_us, notice->server);
  HbwEvent event = { .kind = HBW_EVENT_SERVER_NOTICE, .notice = *notice };
  hbw_control_submit (reporter->control, &event, NULL);
}
