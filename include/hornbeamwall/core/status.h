/*
 * status - renders the state of one instance as JSON for operators
 */
#ifndef HORNBEAMWALL_CORE_STATUS_H
#define HORNBEAMWALL_CORE_STATUS_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/shard_router.h"

/* Catalogue version that an instance last reported. */
typedef struct
{
  guint64 identity;
  gint64 version;
  gint64 reported_us;
} HbwReportedVersion;

typedef struct
{
  const HbwContext *context;
  const HbwDocuments *documents;
  GHashTable *shards;            /* key text -> HbwShard */
  GHashTable *reported_versions; /* identity -> HbwReportedVersion */
  const HbwTopology *topology;
  const HbwShardRouter *shard_router;
  guint requests; /* that have not ended */
  gboolean store_up;
  gboolean draining;
} HbwStatusSource;

/* Each appends one JSON object to TEXT: the state; the planned stops with the work
   that remains; and the progress of the newest catalogue's rollout in each data
   centre. */
void hbw_status_render (const HbwStatusSource *source, GString *text);
void hbw_status_render_stops (const HbwStatusSource *source, GString *text);
void hbw_status_render_rollout (const HbwStatusSource *source, GString *text);

#endif
