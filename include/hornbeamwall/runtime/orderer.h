/*
 * order_sender - thread that holds the lease for server orders and sends the orders
 *
 * It is active on one instance of each data centre only.
 */
#ifndef HORNBEAMWALL_RUNTIME_ORDERER_H
#define HORNBEAMWALL_RUNTIME_ORDERER_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwOrderer HbwOrderer;

HbwOrderer *hbw_orderer_create (HbwControl *control, const HbwSettings *settings,
                                HbwError *error);
void hbw_orderer_destroy (HbwOrderer *sender);

#endif
