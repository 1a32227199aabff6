/*
 * duty_adapter - the users' platform's form of the calls for the duty lease
 */
#ifndef HORNBEAMWALL_PLATFORM_DUTY_ADAPTER_H
#define HORNBEAMWALL_PLATFORM_DUTY_ADAPTER_H

#include "hornbeamwall/runtime/duty_client.h"

/* Returns the adapter, which is static. */
const HbwDutyAdapter *hbw_platform_duty_adapter (void);

#endif
