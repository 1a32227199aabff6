/*
 * capacity_history - demand for a pool's servers, as all instances report it
 *
 * Kept by the instance that orders servers.  Adds up the reports of all instances
 * once per second, learns what one server carries, and remembers the load.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_HISTORY_H
#define HORNBEAMWALL_CORE_CAPACITY_HISTORY_H

#include "hornbeamwall/core/capacity/capacity_plan.h"

/* Demand is known once at least half of the instances were heard for this long. */
#define HBW_CAPACITY_KNOWN_US (10 * G_GINT64_CONSTANT (1000000))

typedef struct HbwCapacityHistory HbwCapacityHistory;

HbwCapacityHistory *hbw_capacity_history_create (void);
void hbw_capacity_history_destroy (HbwCapacityHistory *history);

/* Forgets all reports and loads; what a server carries is kept. */
void hbw_capacity_history_clear (HbwCapacityHistory *history);

/* Stores the latest report of the instance FROM. */
void hbw_capacity_history_report (HbwCapacityHistory *history, guint64 from,
                                  const HbwPoolDemand *demand, gint64 now_us);

/* Adds up the reports; to be called once per second.  ALIVE_COUNT: live instances,
   READY_COUNT: servers that serve.  SIZE has the streams and memory of a server. */
void hbw_capacity_history_update (HbwCapacityHistory *history, guint alive_count,
                                  guint ready_count, const HbwCapability *size,
                                  gint64 now_us);

gboolean hbw_capacity_history_is_known (const HbwCapacityHistory *history,
                                        gint64 now_us);

/* Fills in the load and the highest tier's part of it. */
void hbw_capacity_history_loads (const HbwCapacityHistory *history,
                                 HbwCapacityLoad *total,
                                 HbwCapacityLoad *highest_tier);

/* Returns what one server is taken to carry (borrowed). */
const HbwCapability *
hbw_capacity_history_capability (const HbwCapacityHistory *history);

/* Returns the sum of the last update (borrowed). */
const HbwPoolDemand *hbw_capacity_history_demand (const HbwCapacityHistory *history);

/* Returns how many instances were heard at the last update. */
guint hbw_capacity_history_heard (const HbwCapacityHistory *history);

#endif
