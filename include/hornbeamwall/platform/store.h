/*
 * store_adapter - builds the product's documents from store objects of the users'
 * platform
 */
#ifndef HORNBEAMWALL_PLATFORM_STORE_H
#define HORNBEAMWALL_PLATFORM_STORE_H

#include "hornbeamwall/core/message.h"
#include "hornbeamwall/runtime/listing_feed.h"

/* Returns the adapter for the objects from which DOCUMENT is built, or NULL if the
   platform does not provide it.  The adapter is static. */
const HbwStoreForm *hbw_platform_store_form (HbwDocumentKind document);

#endif
