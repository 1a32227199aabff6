/*
 * store - the objects of the users' platform, as documents of the product
 */
#ifndef HORNBEAMWALL_PLATFORM_STORE_H
#define HORNBEAMWALL_PLATFORM_STORE_H

#include "hornbeamwall/core/message.h"
#include "hornbeamwall/runtime/listing_feed.h"

/* Returns the form of the objects that DOCUMENT is made from, or NULL where the
   platform has none of the kind. */
const HbwStoreForm *hbw_platform_store_form (HbwDocumentKind document);

#endif
