/*
 * orderer - the thread that keeps the lease for orders and sends them
 *
 * Only the instance to which the work falls in its data centre is active.
 */
#ifndef HORNBEAMWALL_RUNTIME_ORDERER_H
#define HORNBEAMWALL_RUNTIME_ORDERER_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwOrderer HbwOrderer;

HbwOrderer *hbw_orderer_create (HbwControl *control, const HbwSettings *settings,
                                HbwError *error);
void hbw_orderer_destroy (HbwOrderer *orderer);

#endif
