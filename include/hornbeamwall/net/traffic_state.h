/*
 * traffic_state - the state of the traffic thread, private to its source files
 *
 * For net/traffic.c, net/server_check.c, net/tunnel.c, net/downstream.c and
 * net/exchange*.c only.
 */
#ifndef HORNBEAMWALL_NET_TRAFFIC_STATE_H
#define HORNBEAMWALL_NET_TRAFFIC_STATE_H

#include "hornbeamwall/net/protocol_adapter.h"
#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/memory_reporter.h"
#include "hornbeamwall/net/notice_reporter.h"
#include "hornbeamwall/net/upstream.h"
#include "hornbeamwall/runtime/control.h"
#include "hornbeamwall/runtime/settings.h"

#include <stdatomic.h>
#include <urcu/list.h>

typedef struct HbwDownstream HbwDownstream;
typedef struct HbwExchange HbwExchange;
typedef struct HbwTraffic HbwTraffic;

struct HbwTraffic
{
  HbwRequestCommandSink command_sink;
  HbwControl *control;
  const HbwSettings *settings;
  HbwProtocolAdapter *adapter;
  HbwLoop *loop;
  HbwUpstreamPool *upstream_pool;
  HbwNoticeReporter *notice_reporter;
  HbwMemoryBudget *memory; /* held for callers and servers */
  HbwMemoryReporter *memory_reporter;
  GHashTable *exchanges; /* sequence number -> HbwExchange, submitted only */
  struct cds_list_head downstreams;      /* HbwDownstream */
  struct cds_list_head idle_downstreams; /* those between requests, oldest first */
  guint downstream_count;
  gsize request_body_bytes;           /* of all requests in memory */
  struct cds_list_head server_checks; /* in progress; see net/server_check.h */
  struct cds_list_head tunnels;       /* see net/tunnel.h */
  guint tunnel_count;
  gboolean draining;
  gboolean has_closed_idle; /* only requests that had arrived are answered */
  HbwTimer use_timer;       /* while draining */
  atomic_bool is_in_use;    /* as of the last check */
  /* From the call that closes idle connections to the first check after that. */
  atomic_bool is_closing_idle;
};

/* Returns the limits on what callers may send, from the current catalogue or, where
   it sets none, the defaults. */
HbwCallerLimits hbw_traffic_caller_limits (HbwTraffic *traffic);

#endif
