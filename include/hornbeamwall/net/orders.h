/*
 * orders - brings backend servers to the state that operators declared
 *
 * The object hornbeamwall-orders says which model, adapter or role each backend
 * server is to have.  In each data centre one instance, under a lease, sends each
 * server what it lacks, with the fencing number.  Orders are declarative, so that
 * one that comes twice changes nothing.  Some servers do not check the number: the
 * holder therefore looks at its own clock directly before each order.
 */
#ifndef HORNBEAMWALL_NET_ORDERS_H
#define HORNBEAMWALL_NET_ORDERS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/lease.h"
#include "hornbeamwall/net/platform.h"

typedef struct HbwOrders HbwOrders;

typedef struct
{
  const char *platform_address;
  const char *data_centre;
  guint64 identity;
  HbwClock *clock;
} HbwOrdersConfig;

HbwOrders *hbw_orders_create (const HbwOrdersConfig *config, HbwError *error);
void hbw_orders_destroy (HbwOrders *orders);

/* Returns whether any orders are declared; without them no lease is needed. */
gboolean hbw_orders_are_declared (HbwOrders *orders);

/* Reads, takes or renews the lease, as is due.  Blocks for calls to the store. */
void hbw_orders_keep_lease (HbwOrders *orders);

/* Sends what is declared and not yet confirmed, while the lease is held.  Returns
   the number of orders that left. */
guint hbw_orders_send (HbwOrders *orders);

/* Returns whether the lease is held now. */
gboolean hbw_orders_is_holder (const HbwOrders *orders);

#endif
