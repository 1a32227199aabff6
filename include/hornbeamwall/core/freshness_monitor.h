/*
 * freshness_monitor - keeps track of the age of the catalogue
 *
 * In each data centre, a few instances (watchers) watch the store, which confirms to
 * them that their catalogue is the newest: that it has the same one, and that its
 * era is settled (see store_era.h).  The others poll one of them, with a ping, for
 * the age of its last confirmation.  That age is subtracted from the time at which
 * the poll was sent, so a slow response never makes the catalogue look more recent
 * than it is.  An instance without a usable response watches the store itself.
 */
#ifndef HORNBEAMWALL_CORE_FRESHNESS_MONITOR_H
#define HORNBEAMWALL_CORE_FRESHNESS_MONITOR_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

/* A data centre has one watcher for this many instances, and at least one. */
#define HBW_INSTANCES_PER_WATCHER 37

/* Interval at which a watcher is polled, and timeout of a poll. */
#define HBW_FRESHNESS_POLL_INTERVAL_US (300 * HBW_US_PER_MS)
#define HBW_FRESHNESS_POLL_TIMEOUT_US (300 * HBW_US_PER_MS)

/* An instance whose catalogue is older than this watches the store itself. */
#define HBW_FRESHNESS_MAX_AGE_US (2200 * HBW_US_PER_MS)

typedef struct HbwFreshnessMonitor HbwFreshnessMonitor;

/* Returns the name of the source that last confirmed the catalogue: an instance,
   "store" or "nobody". */
const char *hbw_freshness_source_name (const HbwContext *context);

HbwFreshnessMonitor *hbw_freshness_monitor_create (void);
void hbw_freshness_monitor_destroy (HbwFreshnessMonitor *monitor);

/* Polls a watcher if that is due; VERSION is that of the active catalogue here. */
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

/* Returns whether this instance must watch the store, because it is a watcher, its
   last poll failed, or its catalogue is too old. */
gboolean hbw_freshness_monitor_is_watcher (HbwFreshnessMonitor *monitor,
                                           const HbwContext *context);

#endif
