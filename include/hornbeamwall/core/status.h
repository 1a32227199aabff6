/*
 * status - the state of one instance as a JSON object for operators
 */
#ifndef HORNBEAMWALL_CORE_STATUS_H
#define HORNBEAMWALL_CORE_STATUS_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/documents.h"
#include "hornbeamwall/core/route.h"

/* The catalogue version that an instance last told of. */
typedef struct
{
  guint64 identity;
  gint64 version;
  gint64 heard_us;
} HbwSurveyed;

typedef struct
{
  const HbwContext *context;
  const HbwDocuments *documents;
  GHashTable *shards;   /* key text -> HbwShard */
  GHashTable *surveyed; /* identity -> HbwSurveyed */
  const HbwTopology *topology;
  const HbwRoute *route;
  guint requests;
  gboolean store_up;
  gboolean draining;
} HbwStatusSource;

/* Each adds one JSON object to TEXT: the state, the planned stops with what is left
   of them, and which data centres have the newest catalogue in force. */
void hbw_status_render (const HbwStatusSource *source, GString *text);
void hbw_status_render_stops (const HbwStatusSource *source, GString *text);
void hbw_status_render_rollout (const HbwStatusSource *source, GString *text);

#endif
