/*
 * front - the heads of the users' platform
 */
#ifndef HORNBEAMWALL_PLATFORM_FRONT_H
#define HORNBEAMWALL_PLATFORM_FRONT_H

#include "hornbeamwall/net/front.h"

/* Returns the front; it has no state and is never freed. */
HbwFront *hbw_platform_front (void);

#endif
