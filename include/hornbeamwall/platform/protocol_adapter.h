/*
 * protocol_adapter - HTTP header fields and paths of the users' platform
 */
#ifndef HORNBEAMWALL_PLATFORM_PROTOCOL_ADAPTER_H
#define HORNBEAMWALL_PLATFORM_PROTOCOL_ADAPTER_H

#include "hornbeamwall/net/protocol_adapter.h"

/* Returns the adapter, which has no state and is never freed. */
HbwProtocolAdapter *hbw_platform_protocol_adapter (void);

#endif
