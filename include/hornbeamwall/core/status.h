/*
 * status - the state of one instance as a JSON object for operators
 */
#ifndef HORNBEAMWALL_CORE_STATUS_H
#define HORNBEAMWALL_CORE_STATUS_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/documents.h"

typedef struct
{
  const HbwContext *context;
  const HbwDocuments *documents;
  GHashTable *shards; /* key text -> HbwShard */
  guint requests;
  gboolean store_up;
  gboolean draining;
} HbwStatusSource;

/* Adds one JSON object to TEXT. */
void hbw_status_render (const HbwStatusSource *source, GString *text);

#endif
