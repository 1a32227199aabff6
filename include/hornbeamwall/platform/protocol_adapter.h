/*
 * protocol_adapter - HTTP header fields and paths of the users' platform
 *
 * The users' platform is the environment in which the users run hornbeamwall.  Its
 * callers, backend servers and object store use names and formats of their own; the
 * setting "interface" selects them instead of the native interface.
 */
#ifndef HORNBEAMWALL_PLATFORM_PROTOCOL_ADAPTER_H
#define HORNBEAMWALL_PLATFORM_PROTOCOL_ADAPTER_H

#include "hornbeamwall/net/protocol_adapter.h"

/* Returns the adapter, which has no state and is never freed. */
HbwProtocolAdapter *hbw_platform_protocol_adapter (void);

#endif
