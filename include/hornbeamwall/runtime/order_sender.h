/*
 * order_sender - thread that holds the lease for server orders and sends the orders
 *
 * Orders tell the backend servers which configuration they shall have; see
 * server_orders.h.  The thread is active on one instance of each data centre only.
 */
#ifndef HORNBEAMWALL_RUNTIME_ORDER_SENDER_H
#define HORNBEAMWALL_RUNTIME_ORDER_SENDER_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwOrderSender HbwOrderSender;

HbwOrderSender *hbw_order_sender_create (HbwControl *control,
                                         const HbwSettings *settings,
                                         HbwError *error);
void hbw_order_sender_destroy (HbwOrderSender *sender);

#endif
