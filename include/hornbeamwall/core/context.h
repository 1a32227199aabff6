/*
 * context - what the parts of the reducer share during one step
 */
#ifndef HORNBEAMWALL_CORE_CONTEXT_H
#define HORNBEAMWALL_CORE_CONTEXT_H

#include "hornbeamwall/core/effect.h"

typedef struct HbwLoadShare HbwLoadShare;
typedef struct HbwMembership HbwMembership;
typedef struct HbwMetrics HbwMetrics;
typedef struct HbwQuarantine HbwQuarantine;

typedef struct
{
  gint64 now_us;
  guint64 self;
  char data_centre[HBW_NAME_MAX];
  GRand *random;            /* seeded by the creator of the reducer */
  HbwEffects *effects;      /* of the step in progress */
  HbwCatalogue *catalogue;  /* newest adopted, or NULL */
  GHashTable *stops;        /* names of servers and instances that stop */
  gint64 confirmed_us;      /* when the catalogue was last known to be the newest */
  gboolean load_in_answers; /* no server is asked for its load */
  gboolean stops_known;     /* whether the stops were ever read; no grants before */
  GQueue *loopback;         /* HbwMessage to this instance itself */
  HbwLoadShare *loads;      /* NULL where one owner sees all of a shard */
  HbwMembership *membership;
  HbwMetrics *metrics;
  HbwQuarantine *quarantine;
} HbwContext;

/* Sends a copy of MESSAGE to the instance TO; drops it if that one is unknown. */
void hbw_context_post (HbwContext *context, guint64 to, const HbwMessage *message);

#endif
