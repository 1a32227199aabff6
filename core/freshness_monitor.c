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
  gint64 era;               /* of the store's last report */
  gint64 first_version;     /* the store's first one in that era */
  HbwCatalogueConfirmation unsettled; /* last one before the era was settled */
  gboolean is_confirmed;              /* as in the last line of the log */
  guint64 logged_source;
  gint64 logged_era;
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

const char *
hbw_freshness_source_name (const HbwContext *context)
{
  switch (context->catalogue_confirmed_by)
    {
    case HBW_CONFIRMED_BY_NOBODY:
      return "nobody";
    case HBW_CONFIRMED_BY_STORE:
      return "store";
    default:
      return hbw_membership_find_name (context->membership,
                                       context->catalogue_confirmed_by);
    }
}

/* Handles that the catalogue VERSION was the newest at AT_US according to SOURCE, an
   instance or the store. */
static void
confirm (HbwFreshnessMonitor *monitor, HbwContext *context, gint64 at_us,
         guint64 source, gint64 version)
{
  if (at_us <= context->catalogue_confirmed_us)
    return;
  context->catalogue_confirmed_us = at_us;
  context->catalogue_confirmed_by = source;
  if (monitor->is_confirmed && monitor->logged_source == source
      && monitor->logged_era == context->store_era.number)
    return;
  monitor->is_confirmed = TRUE;
  monitor->logged_source = source;
  monitor->logged_era = context->store_era.number;
  hbw_effects_log (context->effects, HBW_LOG_CATALOGUE_CONFIRMED,
                   "catalogue=%" G_GINT64_FORMAT " source=%s era=%" G_GINT64_FORMAT,
                   version, hbw_freshness_source_name (context),
                   monitor->logged_era);
}

static void
log_unconfirmed (HbwFreshnessMonitor *monitor, HbwContext *context,
                 const HbwCatalogueConfirmation *reported, gint64 version)
{
  if (!monitor->is_confirmed)
    return;
  monitor->is_confirmed = FALSE;
  gboolean is_settled
      = hbw_store_era_is_settled (&context->store_era, reported->requested_us);
  hbw_effects_log (context->effects, HBW_LOG_CATALOGUE_UNCONFIRMED,
                   "catalogue=%" G_GINT64_FORMAT " store=%" G_GINT64_FORMAT
                   " era=%" G_GINT64_FORMAT " settled=%d age_ms=%" G_GINT64_FORMAT,
                   version, reported->version, reported->era, is_settled,
                   (context->now_us - context->catalogue_confirmed_us)
                       / HBW_US_PER_MS);
}

/* In an era that is not settled, the store may have lost a newer version, unless one
   was written since. */
static gboolean
confirm_by_store (HbwFreshnessMonitor *monitor, HbwContext *context,
                  const HbwCatalogueConfirmation *reported, gint64 version)
{
  gboolean is_settled
      = hbw_store_era_is_settled (&context->store_era, reported->requested_us);
  gboolean was_written_in_era = reported->version > monitor->first_version;
  if (reported->version != version || !(is_settled || was_written_in_era))
    return FALSE;
  monitor->unsettled.era = 0;
  confirm (monitor, context, reported->requested_us, HBW_CONFIRMED_BY_STORE,
           version);
  return TRUE;
}

/* Uses the last report again: since then, the era may have become known to be
   settled for longer. */
static void
confirm_unsettled (HbwFreshnessMonitor *monitor, HbwContext *context, gint64 version)
{
  const HbwCatalogueConfirmation reported = monitor->unsettled;
  if (reported.era > 0 && reported.era == context->store_era.number)
    confirm_by_store (monitor, context, &reported, version);
}

void
hbw_freshness_monitor_handle_store (HbwFreshnessMonitor *monitor,
                                    HbwContext *context,
                                    const HbwCatalogueConfirmation *reported,
                                    gint64 version)
{
  if (reported->era < context->store_era.number)
    {
      log_unconfirmed (monitor, context, reported, version);
      return;
    }
  if (reported->era != monitor->era)
    monitor->first_version = reported->version;
  monitor->era = reported->era;
  monitor->unsettled = *reported;
  if (!confirm_by_store (monitor, context, reported, version))
    log_unconfirmed (monitor, context, reported, version);
}

void
hbw_freshness_monitor_tick (HbwFreshnessMonitor *monitor, HbwContext *context,
                            gint64 version)
{
  confirm_unsettled (monitor, context, version);
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
  if (ping->catalogue_age_us < 0
      || ping->versions[HBW_DOCUMENT_CATALOGUE] != version)
    return; /* the watcher's confirmation is of another catalogue */
  confirm (monitor, context, monitor->polled_us - ping->catalogue_age_us,
           message->from, version);
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
