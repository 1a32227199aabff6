/*
 * server_orders - sends backend servers the configuration that operators declared
 *
 * The object hornbeamwall-orders declares which model, adapter or role each backend
 * server shall have.  In each data centre the instance that holds a lease sends each
 * server its order, with a fencing number, unless the server has confirmed it.
 * Orders are declarative, so a repeated order changes nothing.  Some servers do not
 * check the fencing number, so the lease holder checks on its own clock that the
 * lease is still valid immediately before each order.
 */
#ifndef HORNBEAMWALL_NET_SERVER_ORDERS_H
#define HORNBEAMWALL_NET_SERVER_ORDERS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/lease.h"
#include "hornbeamwall/net/store_client.h"

typedef struct HbwServerOrders HbwServerOrders;

typedef struct
{
  const char *platform_address;
  const char *data_centre;
  guint64 identity;
  HbwClock *clock;
} HbwServerOrdersConfig;

/* Sets the holder and the fencing number of RECORD from the body of the lease's
   object.  Somebody may hold the lease if another writer has replaced the object:
   the holder is unknown and the number 0 if one of them cannot be read. */
void hbw_lease_record_parse (HbwLeaseRecord *record, const char *text, gsize length);

/* CONFIG is copied; the data that it points to must outlive the result.  Returns
   NULL and sets ERROR if the platform address is not valid. */
HbwServerOrders *hbw_server_orders_create (const HbwServerOrdersConfig *config,
                                           HbwError *error);
void hbw_server_orders_destroy (HbwServerOrders *orders);

/* Returns whether any orders are declared; if not, no lease is needed.  Blocks. */
gboolean hbw_server_orders_are_declared (HbwServerOrders *orders);

/* Reads the lease from the store, and acquires or renews it if due.  Blocks. */
void hbw_server_orders_update_lease (HbwServerOrders *orders);

/* If the lease is held, sends the orders that are declared and not yet confirmed.
   Returns the number of orders sent.  Blocks. */
guint hbw_server_orders_send (HbwServerOrders *orders);

/* Returns whether this instance holds the lease now. */
gboolean hbw_server_orders_holds_lease (const HbwServerOrders *orders);

#endif
