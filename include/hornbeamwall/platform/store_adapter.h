/*
 * store_adapter - builds hornbeamwall's documents from store objects of the users'
 * platform
 */
#ifndef HORNBEAMWALL_PLATFORM_STORE_ADAPTER_H
#define HORNBEAMWALL_PLATFORM_STORE_ADAPTER_H

#include "hornbeamwall/core/message.h"
#include "hornbeamwall/runtime/list_watch_feed.h"
#include "hornbeamwall/runtime/shared_object.h"

/* Returns the adapter for the objects from which DOCUMENT is built, or NULL if the
   platform does not provide it.  The adapter is static. */
const HbwStoreAdapter *hbw_platform_store_adapter (HbwDocumentKind document);

/* Returns the adapter for the object with the suspects.  The adapter is static. */
const HbwSharedObjectAdapter *hbw_platform_suspects_adapter (void);

#endif
