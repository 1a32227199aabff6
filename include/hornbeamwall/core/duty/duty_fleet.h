/*
 * duty_fleet - which instances may hold the duty lease, by membership
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_FLEET_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_FLEET_H

#include "hornbeamwall/core/context.h"

/* Instances that may take the lease. */
#define HBW_DUTY_CANDIDATES 3

typedef struct HbwDutyFleet HbwDutyFleet;

HbwDutyFleet *hbw_duty_fleet_create (gint64 lease_us);
void hbw_duty_fleet_destroy (HbwDutyFleet *fleet);

/* Updates it from the membership; called at every tick. */
void hbw_duty_fleet_update (HbwDutyFleet *fleet, HbwContext *context);

/* Returns the number of candidates before this instance; HBW_DUTY_CANDIDATES if it
   is none. */
guint hbw_duty_fleet_position (const HbwDutyFleet *fleet);

/* Returns the first candidate other than this instance, or 0. */
guint64 hbw_duty_fleet_deputy (const HbwDutyFleet *fleet);

/* Returns whether at least half of the other instances are alive, of those that were
   alive shortly before. */
gboolean hbw_duty_fleet_has_half_alive (const HbwDutyFleet *fleet);

/* Returns whether this instance should not keep the lease: it has heard fewer than
   half for the time of a lease, or has not been a candidate for long. */
gboolean hbw_duty_fleet_is_unfit (const HbwDutyFleet *fleet, gint64 now_us);

#endif
