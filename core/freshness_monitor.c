#include "hornbeamwall/core/freshness_monitor.h"

#include "hornbeamwall/core/membership/membership.h"

#include <math.h>

/* Rendezvous keys of the watchers of all data centres and of the relays of one. */
#define WATCHER_KEY "store-watcher"
#define RELAY_KEY "store-relay"

/* The watcher and its deputies. */
#define WATCHERS_MAX 3

#define RELAYS_MIN 2
#define RELAYS_MAX 8

#define TARGETS_MAX (WATCHERS_MAX + RELAYS_MAX)

/* Consecutive polls of different targets without an answer after which an instance
   watches the store. */
#define SILENT_POLLS_MAX 3

/* A deputy begins to watch the store this much later than the one before it. */
#define DEPUTY_DELAY_US (300 * HBW_US_PER_MS)

/* Interval of the polls after an answer of an old confirmation, before the first
   one, and while this instance covers the watcher, to find out whether it still has
   to. */
#define URGENT_INTERVAL_US (75 * HBW_US_PER_MS)

/* After its start, an instance waits this long for each seed that precedes it, so
   that not all instances of a fleet that starts read from the store. */
#define START_DELAY_US (100 * HBW_US_PER_MS)

/* An instance that has not got the catalogue from others after this time reads it
   from the store, as when a fleet starts with a large one. */
#define START_WAIT_US (600 * HBW_US_PER_MS)

/* From HBW_FRESHNESS_MAX_AGE_US on, the number of instances that watch the store
   because their catalogue is old doubles at this interval, up to the maximum. */
#define HELPERS_DOUBLING_US (250 * HBW_US_PER_MS)
#define HELPERS_MAX 32.0

struct HbwFreshnessMonitor
{
  guint64 poll_number; /* of the outstanding poll; 0 is none */
  guint64 poll_peer;
  gint64 polled_us;
  guint silent_polls;       /* consecutive ones that timed out */
  gboolean got_old_answer;  /* to the last poll */
  guint64 membership_epoch; /* for which the roles were selected */
  guint rank; /* 0: the watcher, then its deputies, WATCHERS_MAX: none of them */
  gboolean is_relay;            /* of its data centre */
  gboolean covers;              /* watches the store, as others confirm too late */
  guint64 targets[TARGETS_MAX]; /* instances to poll, in this order */
  guint target_count;
  guint next_target;
  gboolean lacks_catalogue;           /* for some time since the start */
  gint64 started_us;                  /* first tick; 0 before it */
  gint64 era;                         /* of the store's last report */
  gint64 first_version;               /* the store's first one in that era */
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

static gboolean
is_listed (const guint64 *identities, guint count, guint64 identity)
{
  for (guint i = 0; i < count; i++)
    if (identities[i] == identity)
      return TRUE;
  return FALSE;
}

static void
add_target (HbwFreshnessMonitor *monitor, const HbwContext *context,
            guint64 identity)
{
  if (identity != context->self && monitor->target_count < TARGETS_MAX
      && !is_listed (monitor->targets, monitor->target_count, identity))
    monitor->targets[monitor->target_count++] = identity;
}

/* A relay polls the watcher and its deputies, another instance the relays of its
   data centre, beginning with one that depends on its identity, and then the
   watcher. */
static void
select_roles (HbwFreshnessMonitor *monitor, const HbwContext *context)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  if (monitor->membership_epoch == epoch)
    return;
  monitor->membership_epoch = epoch;
  guint64 watchers[WATCHERS_MAX];
  guint watcher_count = hbw_membership_list_top (
      context->membership, NULL, WATCHER_KEY, TRUE, watchers, WATCHERS_MAX);
  guint members
      = hbw_membership_count_alive (context->membership, context->data_centre);
  guint64 relays[RELAYS_MAX];
  guint relay_count = hbw_membership_list_top (
      context->membership, context->data_centre, RELAY_KEY, FALSE, relays,
      MIN (RELAYS_MAX, RELAYS_MIN + members / HBW_INSTANCES_PER_RELAY));
  monitor->rank = 0;
  while (monitor->rank < watcher_count && watchers[monitor->rank] != context->self)
    monitor->rank++;
  if (monitor->rank == watcher_count)
    monitor->rank = WATCHERS_MAX;
  monitor->is_relay = is_listed (relays, relay_count, context->self);
  monitor->target_count = 0;
  monitor->next_target = 0;
  gboolean is_follower = monitor->rank == WATCHERS_MAX && !monitor->is_relay;
  for (guint i = 0; i < relay_count && is_follower; i++)
    add_target (monitor, context, relays[(context->self + i) % relay_count]);
  for (guint i = 0; i < watcher_count; i++)
    add_target (monitor, context, watchers[i]);
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

/* The next poll goes to the next target, and after the last one to any instance,
   which may have heard of a newer confirmation. */
static void
use_next_target (HbwFreshnessMonitor *monitor)
{
  monitor->next_target = (monitor->next_target + 1) % (monitor->target_count + 1);
}

static void
handle_silence (HbwFreshnessMonitor *monitor)
{
  monitor->poll_number = 0;
  monitor->silent_polls++;
  use_next_target (monitor);
}

static void
send_poll (HbwFreshnessMonitor *monitor, HbwContext *context)
{
  monitor->polled_us = context->now_us;
  if (monitor->next_target < monitor->target_count)
    monitor->poll_peer = monitor->targets[monitor->next_target];
  else
    monitor->poll_peer = hbw_membership_find_random (context->membership, context);
  monitor->poll_number = hbw_membership_ping_member (context->membership, context,
                                                     monitor->poll_peer);
  if (monitor->poll_number == 0)
    handle_silence (monitor);
}

static gint64
get_age_us (const HbwFreshnessMonitor *monitor, const HbwContext *context)
{
  return context->now_us
         - MAX (context->catalogue_confirmed_us, monitor->started_us);
}

/* Instances join in the order of a hash of their identities, so that the first ones
   find out whether the store answers. */
static gboolean
must_help (const HbwContext *context, gint64 age_us)
{
  if (age_us < HBW_FRESHNESS_MAX_AGE_US)
    return FALSE;
  double doublings
      = (double) (age_us - HBW_FRESHNESS_MAX_AGE_US) / HELPERS_DOUBLING_US;
  guint members = hbw_membership_count_alive (context->membership, NULL);
  double position = (double) hbw_rendezvous_weight (context->self, WATCHER_KEY)
                    / (double) G_MAXUINT64;
  return position * members < MIN (exp2 (doublings), HELPERS_MAX);
}

/* Returns whether a catalogue of AGE_US is so old that this instance has to watch
   the store besides the watcher. */
static gboolean
must_cover (const HbwFreshnessMonitor *monitor, const HbwContext *context,
            gint64 age_us)
{
  if (monitor->rank < WATCHERS_MAX)
    return age_us > HBW_FRESHNESS_FRESH_US + (monitor->rank - 1) * DEPUTY_DELAY_US;
  if (monitor->is_relay)
    return age_us > HBW_FRESHNESS_RELAY_AGE_US;
  return must_help (context, age_us);
}

void
hbw_freshness_monitor_tick (HbwFreshnessMonitor *monitor, HbwContext *context,
                            gint64 version)
{
  if (monitor->started_us == 0)
    monitor->started_us = context->now_us;
  confirm_unsettled (monitor, context, version);
  select_roles (monitor, context);
  gint64 elapsed_us = context->now_us - monitor->polled_us;
  if (monitor->poll_number != 0 && elapsed_us >= HBW_FRESHNESS_POLL_TIMEOUT_US)
    handle_silence (monitor);
  gint64 age_us = get_age_us (monitor, context);
  gboolean has_started = context->catalogue_confirmed_us >= monitor->started_us;
  monitor->lacks_catalogue = version < 0 && age_us > START_WAIT_US;
  if (monitor->rank > 0 && must_cover (monitor, context, age_us))
    monitor->covers = TRUE;
  gboolean must_poll = monitor->rank > 0 || age_us > HBW_FRESHNESS_FRESH_US;
  gint64 interval_us = HBW_FRESHNESS_POLL_INTERVAL_US;
  if (monitor->got_old_answer || monitor->covers || !has_started)
    interval_us = URGENT_INTERVAL_US;
  if (must_poll && monitor->poll_number == 0 && elapsed_us >= interval_us)
    send_poll (monitor, context);
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
  monitor->silent_polls = 0;
  gboolean is_known = ping->catalogue_age_us >= 0 && version >= 0
                      && ping->versions[HBW_DOCUMENT_CATALOGUE] == version;
  gboolean is_old = ping->catalogue_age_us < 0
                    || ping->catalogue_age_us > HBW_FRESHNESS_RELAY_AGE_US;
  monitor->got_old_answer = is_old;
  if (is_old)
    use_next_target (monitor);
  if (!is_known)
    return; /* its confirmation is of another catalogue */
  gint64 confirmed_us = monitor->polled_us - ping->catalogue_age_us;
  /* What a deputy hears may be its own confirmation, unless it is newer. */
  gboolean is_deputy = monitor->rank < WATCHERS_MAX;
  if (is_deputy ? confirmed_us > context->catalogue_confirmed_us
                : ping->catalogue_age_us < HBW_FRESHNESS_FRESH_US)
    monitor->covers = FALSE;
  confirm (monitor, context, confirmed_us, message->from, version);
}

/* Returns whether the seeds that precede this instance have had time to answer, if
   there are any. */
static gboolean
has_waited_for_seeds (const HbwFreshnessMonitor *monitor, const HbwContext *context)
{
  guint position = hbw_membership_seed_position (context->membership);
  if (monitor->started_us == 0)
    return position == 0;
  return context->now_us - monitor->started_us >= START_DELAY_US * position;
}

gboolean
hbw_freshness_monitor_is_watcher (HbwFreshnessMonitor *monitor,
                                  const HbwContext *context)
{
  select_roles (monitor, context);
  if (!has_waited_for_seeds (monitor, context))
    return FALSE;
  guint silent_max = MIN (monitor->target_count, SILENT_POLLS_MAX);
  return monitor->rank == 0 || monitor->covers || monitor->lacks_catalogue
         || monitor->silent_polls >= MAX (1, silent_max);
}
