/*
 * freshness_monitor - keeps track of the age of the catalogue
 *
 * One instance of all data centres (the watcher) watches the store, which confirms
 * to it that its catalogue is the newest: that it has the same one, and that its era
 * is settled (see store_era.h).  In each data centre, a few instances (relays) poll
 * the watcher, with a ping, for the age of its last confirmation, and the others
 * poll a relay.  That age is subtracted from the time at which the poll was sent, so
 * a slow response never makes the catalogue look more recent than it is.  So the
 * number of calls to the store does not grow with the fleet, also when all instances
 * start.
 *
 * An instance whose polls nobody answers watches the store itself.  If confirmations
 * become old, as when the store rejects the watcher, its deputies watch as well,
 * then the relays, and then a growing number of the other instances; polls spread
 * what one of them finds.
 */
#ifndef HORNBEAMWALL_CORE_FRESHNESS_MONITOR_H
#define HORNBEAMWALL_CORE_FRESHNESS_MONITOR_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

/* A data centre has another relay for each this many instances. */
#define HBW_INSTANCES_PER_RELAY 37

/* Interval of the polls, and timeout of a poll. */
#define HBW_FRESHNESS_POLL_INTERVAL_US (300 * HBW_US_PER_MS)
#define HBW_FRESHNESS_POLL_TIMEOUT_US (300 * HBW_US_PER_MS)

/* Confirmations up to this age are fresh.  A deputy of the watcher watches the store
   if its own is older, a relay from the second age on, and some of the other
   instances from the third. */
#define HBW_FRESHNESS_FRESH_US (1600 * HBW_US_PER_MS)
#define HBW_FRESHNESS_RELAY_AGE_US (2000 * HBW_US_PER_MS)
#define HBW_FRESHNESS_MAX_AGE_US (2400 * HBW_US_PER_MS)

typedef struct HbwFreshnessMonitor HbwFreshnessMonitor;

/* Returns the name of the source that last confirmed the catalogue: an instance,
   "store" or "nobody". */
const char *hbw_freshness_source_name (const HbwContext *context);

HbwFreshnessMonitor *hbw_freshness_monitor_create (void);
void hbw_freshness_monitor_destroy (HbwFreshnessMonitor *monitor);

/* Sends a poll if that is due; VERSION is that of the active catalogue here. */
void hbw_freshness_monitor_tick (HbwFreshnessMonitor *monitor, HbwContext *context,
                                 gint64 version);

/* Handles an ACK, which may be the response to a poll. */
void hbw_freshness_monitor_handle_ack (HbwFreshnessMonitor *monitor,
                                       HbwContext *context,
                                       const HbwMessage *message, gint64 version);

/* Handles what the store reported of its catalogue. */
void hbw_freshness_monitor_handle_store (HbwFreshnessMonitor *monitor,
                                         HbwContext *context,
                                         const HbwCatalogueConfirmation *reported,
                                         gint64 version);

/* Returns whether this instance must watch the store. */
gboolean hbw_freshness_monitor_is_watcher (HbwFreshnessMonitor *monitor,
                                           const HbwContext *context);

#endif
