/*
 * capacity_orders - orders for the servers of one pool that are being carried out
 *
 * The platform's list shows servers that serve or leave, but not those that start:
 * these follow from the orders.  An order counts until the startup time and
 * HBW_ORDER_MARGIN_US have passed.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_ORDERS_H
#define HORNBEAMWALL_CORE_CAPACITY_ORDERS_H

#include "hornbeamwall/core/capacity/capacity_plan.h"

#define HBW_ORDER_MARGIN_US (2 * G_GINT64_CONSTANT (1000000))

/* How long servers are taken to be unavailable that could not be had. */
#define HBW_UNAVAILABLE_US (5 * G_GINT64_CONSTANT (1000000))

/* Servers of one kind in one data centre, and the last order for them. */
typedef struct
{
  guint listed_ready;
  guint listed_leaving;
  gboolean has_order;  /* that counts */
  gboolean is_loaded;  /* of an earlier holder of the lease */
  guint desired;       /* by the last order, less what was lost since */
  guint ready_before;  /* when it was given */
  gint64 ordered_us;   /* 0: there was none */
  guint unknown_count; /* results in a row that did not arrive */
  gint64 unavailable_until_us;
  gint64 next_order_us;
  gint64
      surplus_since_us; /* the plan has wanted fewer from then on; 0: it has not */
} HbwOrderState;

typedef enum
{
  HBW_AVAILABILITY_UNCHANGED,
  HBW_AVAILABILITY_TAKEN,  /* the platform takes back reclaimable servers */
  HBW_AVAILABILITY_FAILED, /* an order did not bring a new server in time */
} HbwAvailabilityChange;

/* Records an order that the platform has accepted, or may have. */
void hbw_order_state_place (HbwOrderState *state, guint desired, gint64 now_us);

void hbw_order_state_mark_unavailable (HbwOrderState *state, gint64 now_us);

/* Handles the list of servers in force.  If at least half of the servers leave,
   although none were given back, and IS_RECLAIMABLE, the kind is unavailable. */
HbwAvailabilityChange hbw_order_state_observe (HbwOrderState *state, guint ready,
                                               guint leaving,
                                               gboolean is_reclaimable,
                                               gint64 now_us);

/* Ends an order whose time has passed. */
HbwAvailabilityChange hbw_order_state_expire (HbwOrderState *state,
                                              gint64 startup_us, gint64 now_us);

/* Returns the servers for the plan. */
HbwServerGroup hbw_order_state_group (const HbwOrderState *state, gint64 now_us);

#endif
