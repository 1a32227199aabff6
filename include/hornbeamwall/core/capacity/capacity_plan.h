/*
 * capacity_plan - how many servers of each kind a pool shall have where
 *
 * A pure function of limits, prices, servers and load.  A load is a number of
 * servers: 1 is what one server carries without missing targets.
 *
 * Reclaimable servers carry the load where they are cheaper, with headroom for a
 * surge, and with as many more as one data centre has of them, since the platform
 * may take back all of one data centre at once.  On-demand servers fill in what
 * reclaimable ones cannot, at least the minimum of each data centre.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_PLAN_H
#define HORNBEAMWALL_CORE_CAPACITY_PLAN_H

#include "hornbeamwall/core/capacity/capacity_scaling.h"
#include "hornbeamwall/core/message.h"

typedef enum
{
  HBW_SERVER_ON_DEMAND,
  HBW_SERVER_RECLAIMABLE,
  HBW_SERVER_KIND_COUNT,
} HbwServerKind;

/* What one server carries without missing targets; 0 is no limit. */
typedef struct
{
  double prompt_tokens_per_s;
  double streams;
  double memory_tokens;
} HbwCapability;

/* Load, in servers. */
typedef struct
{
  double now;
  double trend_per_s; /* increase per second; not negative */
  double mean;        /* of the last HBW_CAPACITY_RECENT_S */
  double peak;        /* maximum of the same time */
  double held;        /* maximum of the last HBW_CAPACITY_HELD_S */
  double held_mean;   /* maximum of the mean in that time */
} HbwCapacityLoad;

#define HBW_CAPACITY_RECENT_S 30
#define HBW_CAPACITY_HELD_S 120

/* Servers of one kind in one data centre. */
typedef struct
{
  guint ready;    /* serving; without those that an order gives back */
  guint starting; /* ordered, and not serving yet */
  guint leaving;
  gboolean is_unavailable; /* none are to be had now */
} HbwServerGroup;

typedef struct
{
  const HbwScaling *scaling; /* its prices are in the order of GROUPS */
  HbwServerGroup groups[HBW_SCALING_DATA_CENTRES_MAX][HBW_SERVER_KIND_COUNT];
  gboolean is_excluded[HBW_SCALING_DATA_CENTRES_MAX]; /* nothing is ordered there */
  HbwCapacityLoad total;
  HbwCapacityLoad highest_tier;
  gboolean is_demand_known; /* otherwise servers are replaced, but not given back */
  guint assumed; /* servers that are taken to be needed while it is not known */
} HbwCapacityInput;

/* Why a number of servers is wanted, the most urgent first. */
typedef enum
{
  HBW_CAPACITY_SUBSTITUTE, /* reclaimable ones are not to be had */
  HBW_CAPACITY_LOAD,       /* for the load now and at the end of the startup time */
  HBW_CAPACITY_COMMITMENT, /* for the highest tier, if reclaimable ones leave */
  HBW_CAPACITY_MINIMUM,
  HBW_CAPACITY_HEADROOM, /* for a surge */
  HBW_CAPACITY_LIMIT,    /* more than the maximum */
  HBW_CAPACITY_REPLACED, /* reclaimable ones serve in their place */
  HBW_CAPACITY_SURPLUS,  /* more than needed */
  HBW_CAPACITY_UNCHANGED,
  HBW_CAPACITY_REASON_COUNT,
} HbwCapacityReason;

typedef struct
{
  guint desired; /* ready and starting */
  HbwCapacityReason reason;
} HbwCapacityTarget;

typedef struct
{
  HbwCapacityTarget targets[HBW_SCALING_DATA_CENTRES_MAX][HBW_SERVER_KIND_COUNT];
  double needed;  /* servers for the load now and at the end of the startup time */
  double wanted;  /* servers that also carry a surge */
  double highest; /* servers that the highest tier needs */
} HbwCapacityPlan;

/* Returns the load that DEMAND is for servers of CAPABILITY. */
double hbw_capacity_load_of (const HbwTierDemand *demand,
                             const HbwCapability *capability);

/* Fills PLAN. */
void hbw_capacity_plan_make (const HbwCapacityInput *input, HbwCapacityPlan *plan);

/* Returns the number of servers to order next on the way to DESIRED, for the KIND in
   the data centre INDEX: at most a quarter of the servers there are given back at a
   time. */
guint hbw_capacity_plan_step (const HbwCapacityInput *input, guint index,
                              HbwServerKind kind, guint desired);

const char *hbw_capacity_reason_name (HbwCapacityReason reason);
const char *hbw_server_kind_name (HbwServerKind kind);

#endif
