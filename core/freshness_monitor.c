#include "hornbeamwall/core/freshness_monitor.h"

#include "hornbeamwall/core/membership.h"

/* Rendezvous key of a watcher. */
#define WATCHER_KEY_FORMAT "watcher-%u"

struct HbwFreshnessMonitor
{
  guint64 poll_number; /* of the outstanding poll; 0 is none */
  guint64 poll_peer;
  gint64 polled_us;
  gboolean poll_timed_out;  /* the last one */
  guint64 membership_epoch; /* for which the watchers were selected */
  gboolean is_watcher;      /* this instance is one */
  guint64 assigned_watcher; /* the one that this instance polls otherwise */
};

HbwFreshnessMonitor *
hbw_freshness_monitor_create (void)
{
  HbwFreshnessMonitor *monitor = g_new0 (HbwFreshnessMonitor, 1);
  monitor->membership_epoch = G_MAXUINT64;
  return monitor;
}

void
hbw_freshness_monitor_destroy (HbwFreshnessMonitor *monitor)
{
  g_free (monitor);
}

static guint64
get_watcher (const HbwContext *context, guint number)
{
  char key[32];
  g_snprintf (key, sizeof key, WATCHER_KEY_FORMAT, number);
  return hbw_membership_find_owner (context->membership, context->data_centre, key);
}

static void
select_watchers (HbwFreshnessMonitor *monitor, const HbwContext *context)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  if (monitor->membership_epoch == epoch)
    return;
  guint members
      = hbw_membership_count_alive (context->membership, context->data_centre);
  guint watchers = MAX (1, members / HBW_INSTANCES_PER_WATCHER);
  monitor->membership_epoch = epoch;
  monitor->is_watcher = FALSE;
  for (guint i = 0; i < watchers; i++)
    monitor->is_watcher |= get_watcher (context, i) == context->self;
  monitor->assigned_watcher
      = get_watcher (context, (guint) (context->self % watchers));
}

void
hbw_freshness_monitor_tick (HbwFreshnessMonitor *monitor, HbwContext *context)
{
  select_watchers (monitor, context);
  gint64 elapsed_us = context->now_us - monitor->polled_us;
  if (monitor->poll_number != 0 && elapsed_us >= HBW_FRESHNESS_POLL_TIMEOUT_US)
    {
      monitor->poll_number = 0;
      monitor->poll_timed_out = TRUE;
    }
  if (monitor->is_watcher || elapsed_us < HBW_FRESHNESS_POLL_INTERVAL_US)
    return;
  monitor->poll_peer = monitor->assigned_watcher;
  monitor->polled_us = context->now_us;
  monitor->poll_number = hbw_membership_ping_member (context->membership, context,
                                                     monitor->poll_peer);
}

void
hbw_freshness_monitor_handle_ack (HbwFreshnessMonitor *monitor, HbwContext *context,
                                  const HbwMessage *message, gint64 version)
{
  const HbwPing *ping = &message->ping;
  if (monitor->poll_number == 0 || ping->probe_number != monitor->poll_number
      || message->from != monitor->poll_peer || ping->on_behalf_of != 0)
    return;
  monitor->poll_number = 0;
  monitor->poll_timed_out = FALSE;
  if (ping->catalogue_age_us < 0 || ping->versions[HBW_DOCUMENT_CATALOGUE] > version)
    return; /* the watcher has a newer catalogue, which this instance requests */
  context->catalogue_confirmed_us = MAX (
      context->catalogue_confirmed_us, monitor->polled_us - ping->catalogue_age_us);
}

gboolean
hbw_freshness_monitor_is_watcher (HbwFreshnessMonitor *monitor,
                                  const HbwContext *context)
{
  select_watchers (monitor, context);
  return monitor->is_watcher || monitor->poll_timed_out
         || context->now_us - context->catalogue_confirmed_us
                > HBW_FRESHNESS_MAX_AGE_US;
}
