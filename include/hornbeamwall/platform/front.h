/*
 * protocol_adapter - HTTP header fields and paths of the users' platform
 */
#ifndef HORNBEAMWALL_PLATFORM_FRONT_H
#define HORNBEAMWALL_PLATFORM_FRONT_H

#include "hornbeamwall/net/protocol_adapter.h"

/* Returns the adapter, which has no state and is never freed. */
HbwProtocolAdapter *hbw_platform_front (void);

#endif
