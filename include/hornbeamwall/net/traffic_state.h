/*
 * traffic_state - what the parts of the traffic thread share
 *
 * For net/traffic.c, net/downstream.c and net/exchange.c.
 */
#ifndef HORNBEAMWALL_NET_TRAFFIC_STATE_H
#define HORNBEAMWALL_NET_TRAFFIC_STATE_H

#include "hornbeamwall/net/front.h"
#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/upstream.h"
#include "hornbeamwall/runtime/control.h"
#include "hornbeamwall/runtime/settings.h"

#include <urcu/list.h>

typedef struct HbwDownstream HbwDownstream;
typedef struct HbwExchange HbwExchange;
typedef struct HbwTraffic HbwTraffic;

struct HbwTraffic
{
  HbwOrderSink sink;
  HbwControl *control;
  const HbwSettings *settings;
  HbwFront *front;
  HbwLoop *loop;
  HbwUpstreams *upstreams;
  GHashTable *exchanges;            /* sequence -> HbwExchange, submitted */
  struct cds_list_head downstreams; /* HbwDownstream */
  guint downstream_count;
  gsize body_bytes; /* of all requests that are held */
  gboolean draining;
};

/* Returns what callers may send now; every field is set. */
HbwCallerLimits hbw_traffic_limits (HbwTraffic *traffic);

#endif
