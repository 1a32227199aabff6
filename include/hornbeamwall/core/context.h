/*
 * context - state shared by the modules of the reducer
 */
#ifndef HORNBEAMWALL_CORE_CONTEXT_H
#define HORNBEAMWALL_CORE_CONTEXT_H

#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/store_era.h"

typedef struct HbwDuty HbwDuty;
typedef struct HbwDutyTask HbwDutyTask;
typedef struct HbwLoadShare HbwLoadShare;
typedef struct HbwMembership HbwMembership;
typedef struct HbwMetrics HbwMetrics;
typedef struct HbwQuarantine HbwQuarantine;
typedef struct HbwServerNotices HbwServerNotices;
typedef struct HbwServerPath HbwServerPath;
typedef struct HbwStreamVersions HbwStreamVersions;
typedef struct HbwSuspectShare HbwSuspectShare;

/* Values of catalogue_confirmed_by that are not instances. */
#define HBW_CONFIRMED_BY_NOBODY 0
#define HBW_CONFIRMED_BY_STORE G_MAXUINT64

typedef struct
{
  gint64 now_us;
  gint64 wall_us; /* the machine's clock, microseconds since 1970; 0: unknown */
  guint64 self;
  char data_centre[HBW_NAME_MAX];
  GRand *random;             /* seeded from the configuration */
  HbwEffects *effects;       /* of the current step */
  HbwCatalogue *catalogue;   /* active version, or NULL */
  GHashTable *planned_stops; /* names of servers and instances with a planned stop */
  gint64 catalogue_confirmed_us;  /* when the catalogue was last confirmed to be the
                                     newest */
  guint64 catalogue_confirmed_by; /* the instance that did, or one of the below */
  HbwStoreEra store_era;
  gboolean load_in_answers; /* servers report load in responses: none is polled */
  gboolean
      ramps_servers; /* servers that start or recover get their load step by step */
  gboolean planned_stops_known; /* nothing is granted before they were read */
  GQueue *loopback;             /* HbwMessage, to this instance itself */
  HbwLoadShare *load_share;     /* NULL if one owner sees all the load of a shard */
  HbwMembership *membership;
  HbwMetrics *metrics;
  HbwQuarantine *quarantine;
  HbwSuspectShare *suspect_share;
  HbwServerNotices *server_notices;
  HbwStreamVersions *stream_versions;
  HbwServerPath *server_path;
  HbwDuty *duty;         /* NULL without a duty interface */
  HbwDutyTask *usage;    /* counts the requests that begin to run; NULL: off */
  HbwDutyTask *capacity; /* of capacity_task.h; NULL: no servers are ordered */
} HbwContext;

/* Sends a copy of MESSAGE to the instance TO; drops it if that is unknown. */
void hbw_context_send (HbwContext *context, guint64 to, const HbwMessage *message);

#endif
