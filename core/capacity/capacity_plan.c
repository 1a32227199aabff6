#include "hornbeamwall/core/capacity/capacity_plan.h"

#include "hornbeamwall/common/clock.h"

#include <math.h>

/* Planned utilization of servers, as a part of what they carry: at the load now and
   forecast, and at a surge of SURGE_FACTOR times the mean load. */
#define UTILIZATION_TARGET 0.6
#define UTILIZATION_SURGE 0.85
#define SURGE_FACTOR 2.0

/* The load at the end of the startup time is at most this multiple of that now. */
#define FORECAST_FACTOR_MAX 2.0

/* Refused requests count like requests in progress, up to this multiple of these. */
#define REFUSED_FACTOR_MAX 2.0

/* Headroom is ordered if this share of it is missing: loads are noisy. */
#define HEADROOM_DEADBAND 0.1

/* Part of a data centre's servers that is given back at a time. */
#define STEP_DIVISOR 4

/* Numbers of servers that the load asks for; see HbwCapacityPlan. */
typedef struct
{
  double needed;
  double wanted;
  double wanted_held; /* reclaimable servers are given back down to this */
  double kept;        /* on-demand servers are given back down to this, so that
                         reclaimable ones are ordered up to it */
  double highest;
  double highest_kept;
} Needs;

typedef struct
{
  const HbwCapacityInput *input;
  HbwCapacityPlan *plan;
  guint count; /* data centres */
  Needs needs;
} Planner;

static double
forecast (const HbwCapacityLoad *load, gint64 startup_us)
{
  double startup_s = (double) startup_us / HBW_US_PER_S;
  double later = load->now + load->trend_per_s * startup_s;
  return MAX (load->now, MIN (later, FORECAST_FACTOR_MAX * load->now));
}

/* Until the demand is known, as many servers are needed as there were, and the
   highest tier may need its part of them. */
static void
assume_needs (Needs *needs, guint assumed)
{
  needs->needed = MAX (needs->needed, assumed);
  needs->wanted = MAX (needs->wanted, assumed);
  needs->wanted_held = MAX (needs->wanted_held, assumed);
  needs->kept = MAX (needs->kept, assumed);
  needs->highest = MAX (needs->highest, (double) assumed / HBW_TIER_COUNT);
  needs->highest_kept = MAX (needs->highest_kept, needs->highest);
}

static Needs
find_needs (const HbwCapacityInput *input)
{
  const HbwCapacityLoad *total = &input->total;
  const HbwCapacityLoad *highest = &input->highest_tier;
  gint64 startup_us = input->scaling->startup_us;
  Needs needs;
  double surge = SURGE_FACTOR * total->mean / UTILIZATION_SURGE;
  double held_surge = SURGE_FACTOR * total->held_mean / UTILIZATION_SURGE;
  needs.needed = forecast (total, startup_us) / UTILIZATION_TARGET;
  needs.wanted = MAX (needs.needed, surge);
  needs.wanted_held
      = MAX (needs.wanted, MAX (total->held / UTILIZATION_TARGET, held_surge));
  needs.kept = MAX (needs.wanted, total->peak / UTILIZATION_TARGET);
  needs.wanted_held = MAX (needs.wanted_held, needs.kept);
  needs.highest = forecast (highest, startup_us) / UTILIZATION_TARGET;
  needs.highest_kept = MAX (needs.highest, highest->peak / UTILIZATION_TARGET);
  if (!input->is_demand_known)
    assume_needs (&needs, input->assumed);
  return needs;
}

static const HbwServerGroup *
get_group (const Planner *planner, guint index, HbwServerKind kind)
{
  return &planner->input->groups[index][kind];
}

static guint
count_current (const Planner *planner, guint index, HbwServerKind kind)
{
  const HbwServerGroup *group = get_group (planner, index, kind);
  return group->ready + group->starting;
}

static guint
sum_current (const Planner *planner, HbwServerKind kind)
{
  guint sum = 0;
  for (guint i = 0; i < planner->count; i++)
    sum += count_current (planner, i, kind);
  return sum;
}

static HbwCapacityTarget *
get_target (const Planner *planner, guint index, HbwServerKind kind)
{
  return &planner->plan->targets[index][kind];
}

static gboolean
is_orderable (const Planner *planner, guint index, HbwServerKind kind)
{
  return !planner->input->is_excluded[index]
         && !get_group (planner, index, kind)->is_unavailable;
}

/* Returns how many servers of KIND may be in the data centre beside the others. */
static guint
find_room (const Planner *planner, guint index, HbwServerKind kind)
{
  HbwServerKind other
      = kind == HBW_SERVER_ON_DEMAND ? HBW_SERVER_RECLAIMABLE : HBW_SERVER_ON_DEMAND;
  guint used = count_current (planner, index, other);
  guint max = planner->input->scaling->max_servers;
  if (kind == HBW_SERVER_ON_DEMAND)
    used = MAX (used, get_target (planner, index, other)->desired);
  return max - MIN (used, max);
}

static guint
round_up (double servers)
{
  return (guint) ceil (CLAMP (servers, 0, G_MAXINT16) - 1e-9);
}

/* Divides TOTAL reclaimable servers evenly over the data centres where they are to
   be had; what does not fit into one goes to the others. */
static void
spread_reclaimable (const Planner *planner, guint total, guint *numbers)
{
  guint room[HBW_SCALING_DATA_CENTRES_MAX];
  guint left = total;
  for (guint i = 0; i < planner->count; i++)
    {
      gboolean is_open = is_orderable (planner, i, HBW_SERVER_RECLAIMABLE);
      room[i] = is_open ? find_room (planner, i, HBW_SERVER_RECLAIMABLE) : 0;
      numbers[i] = is_open ? 0 : count_current (planner, i, HBW_SERVER_RECLAIMABLE);
      left -= MIN (left, numbers[i]);
    }
  for (gboolean progress = TRUE; left > 0 && progress;)
    {
      guint lowest = planner->count;
      for (guint i = 0; i < planner->count; i++)
        if (numbers[i] < room[i]
            && (lowest == planner->count || numbers[i] < numbers[lowest]))
          lowest = i;
      progress = lowest < planner->count;
      if (progress)
        numbers[lowest]++;
      left -= progress;
    }
}

/* Returns how many reclaimable servers there have to be so that WANTED servers are
   left after those of one data centre were taken back. */
static guint
size_reclaimable (const Planner *planner, double wanted)
{
  double floor = (double) planner->count * planner->input->scaling->min_servers;
  double left = MAX (wanted - floor, 0);
  guint open = 0;
  for (guint i = 0; i < planner->count; i++)
    open += !planner->input->is_excluded[i];
  return round_up (open > 1 ? left * open / (open - 1) : left);
}

static void
plan_reclaimable (const Planner *planner)
{
  guint low[HBW_SCALING_DATA_CENTRES_MAX] = { 0 };
  guint high[HBW_SCALING_DATA_CENTRES_MAX] = { 0 };
  const Needs *needs = &planner->needs;
  gboolean is_short = sum_current (planner, HBW_SERVER_ON_DEMAND)
                          + sum_current (planner, HBW_SERVER_RECLAIMABLE)
                      < needs->needed;
  if (planner->input->scaling->reclaimable_factor < 1)
    {
      spread_reclaimable (planner, size_reclaimable (planner, needs->kept), low);
      spread_reclaimable (planner, size_reclaimable (planner, needs->wanted_held),
                          high);
    }
  for (guint i = 0; i < planner->count; i++)
    {
      HbwCapacityTarget *target = get_target (planner, i, HBW_SERVER_RECLAIMABLE);
      guint current = count_current (planner, i, HBW_SERVER_RECLAIMABLE);
      guint missing = low[i] > current ? low[i] - current : 0;
      if (missing > 0 && (is_short || missing > HEADROOM_DEADBAND * low[i]))
        {
          target->desired = low[i];
          target->reason = is_short ? HBW_CAPACITY_LOAD : HBW_CAPACITY_HEADROOM;
        }
      else if (current > high[i])
        {
          target->desired = high[i];
          target->reason = HBW_CAPACITY_SURPLUS;
        }
    }
}

/* Sum and largest number of reclaimable servers of a data centre. */
typedef struct
{
  guint sum;
  guint largest;
} Reclaimable;

/* WITH_ORDERED: also those that are starting, or will be ordered by this plan. */
static Reclaimable
count_reclaimable (const Planner *planner, gboolean with_ordered)
{
  Reclaimable counted = { 0 };
  for (guint i = 0; i < planner->count; i++)
    {
      guint ready = get_group (planner, i, HBW_SERVER_RECLAIMABLE)->ready;
      guint ordered = get_target (planner, i, HBW_SERVER_RECLAIMABLE)->desired;
      guint number = with_ordered ? ordered : MIN (ready, ordered);
      counted.sum += number;
      counted.largest = MAX (counted.largest, number);
    }
  return counted;
}

/* Returns how many on-demand servers are needed beside RECLAIMABLE for a LOAD, and
   for that of the highest tier once those of one data centre were taken back. */
static guint
size_on_demand (const Reclaimable *reclaimable, double load, double highest)
{
  double survivors = reclaimable->sum - reclaimable->largest;
  return round_up (MAX (load - reclaimable->sum, highest - survivors));
}

/* Returns the data centre where TARGETS may change by one server, the cheapest for
   an additional one, the most expensive for one to be given back; or the number of
   data centres if there is none. */
static guint
find_by_price (const Planner *planner, gboolean is_addition)
{
  const HbwScaling *scaling = planner->input->scaling;
  guint best = planner->count;
  for (guint i = 0; i < planner->count; i++)
    {
      guint number = get_target (planner, i, HBW_SERVER_ON_DEMAND)->desired;
      gboolean may_change
          = is_addition
                ? is_orderable (planner, i, HBW_SERVER_ON_DEMAND)
                      && number < find_room (planner, i, HBW_SERVER_ON_DEMAND)
                : number > scaling->min_servers;
      double price = scaling->prices[i].per_s;
      if (!may_change)
        continue;
      if (best == planner->count
          || (is_addition ? price < scaling->prices[best].per_s
                          : price > scaling->prices[best].per_s))
        best = i;
    }
  return best;
}

static void
change_on_demand (const Planner *planner, guint count, gboolean is_addition,
                  HbwCapacityReason reason)
{
  for (; count > 0; count--)
    {
      guint index = find_by_price (planner, is_addition);
      if (index == planner->count)
        return;
      HbwCapacityTarget *target = get_target (planner, index, HBW_SERVER_ON_DEMAND);
      target->desired += is_addition ? 1 : -1;
      target->reason = reason;
    }
}

/* Returns why on-demand servers are added. */
static HbwCapacityReason
explain_addition (const Planner *planner, const Reclaimable *reclaimable)
{
  if (planner->needs.needed - reclaimable->sum
      < planner->needs.highest - (reclaimable->sum - reclaimable->largest))
    return HBW_CAPACITY_COMMITMENT;
  for (guint i = 0; i < planner->count; i++)
    if (get_group (planner, i, HBW_SERVER_RECLAIMABLE)->is_unavailable)
      return HBW_CAPACITY_SUBSTITUTE;
  return HBW_CAPACITY_LOAD;
}

static void
raise_to_minimum (const Planner *planner)
{
  for (guint i = 0; i < planner->count; i++)
    {
      HbwCapacityTarget *target = get_target (planner, i, HBW_SERVER_ON_DEMAND);
      guint min = planner->input->scaling->min_servers;
      if (target->desired >= min || !is_orderable (planner, i, HBW_SERVER_ON_DEMAND))
        continue;
      target->desired = min;
      target->reason = HBW_CAPACITY_MINIMUM;
    }
}

/* Servers are given back for those that are ready, and added beside those that are
   ordered. */
static void
plan_on_demand (const Planner *planner)
{
  const Needs *needs = &planner->needs;
  const Reclaimable ready = count_reclaimable (planner, FALSE);
  const Reclaimable ordered = count_reclaimable (planner, TRUE);
  guint low = size_on_demand (&ordered, needs->needed, needs->highest);
  guint high = size_on_demand (&ready, needs->kept, needs->highest_kept);
  guint current = 0;
  raise_to_minimum (planner);
  for (guint i = 0; i < planner->count; i++)
    current += get_target (planner, i, HBW_SERVER_ON_DEMAND)->desired;
  if (low > current)
    change_on_demand (planner, low - current, TRUE,
                      explain_addition (planner, &ordered));
  else if (current > high)
    change_on_demand (planner, current - high, FALSE,
                      planner->input->is_demand_known ? HBW_CAPACITY_SURPLUS
                                                      : HBW_CAPACITY_REPLACED);
}

/* On-demand servers keep their place, up to the maximum. */
static void
apply_limits (const Planner *planner)
{
  guint max = planner->input->scaling->max_servers;
  for (guint i = 0; i < planner->count; i++)
    {
      HbwCapacityTarget *on_demand = get_target (planner, i, HBW_SERVER_ON_DEMAND);
      HbwCapacityTarget *reclaimable
          = get_target (planner, i, HBW_SERVER_RECLAIMABLE);
      if (on_demand->desired > max)
        *on_demand = (HbwCapacityTarget){ max, HBW_CAPACITY_LIMIT };
      if (on_demand->desired + reclaimable->desired > max)
        *reclaimable
            = (HbwCapacityTarget){ max - on_demand->desired, HBW_CAPACITY_LIMIT };
    }
}

/* Leaves a group as it is that must not be changed in the wanted direction. */
static void
hold_back (const Planner *planner, guint index, HbwServerKind kind)
{
  HbwCapacityTarget *target = get_target (planner, index, kind);
  guint current = count_current (planner, index, kind);
  gboolean is_held
      = planner->input->is_excluded[index]
        || (target->desired < current && !planner->input->is_demand_known
            && target->reason != HBW_CAPACITY_REPLACED);
  if (is_held)
    target->desired = current;
  if (target->desired == current)
    target->reason = HBW_CAPACITY_UNCHANGED;
}

double
hbw_capacity_load_of (const HbwTierDemand *demand, const HbwCapability *capability)
{
  double accepted = MAX (demand->requests_per_s - demand->refused_per_s, 1);
  double refused = MIN (1 + demand->refused_per_s / accepted, REFUSED_FACTOR_MAX);
  double streams = (demand->in_progress + demand->waiting) * refused;
  double load = 0;
  if (capability->prompt_tokens_per_s > 0)
    load = demand->prompt_tokens_per_s / capability->prompt_tokens_per_s;
  if (capability->streams > 0)
    load = MAX (load, streams / capability->streams);
  if (capability->memory_tokens > 0)
    load = MAX (load, demand->memory_tokens * refused / capability->memory_tokens);
  return load;
}

void
hbw_capacity_plan_make (const HbwCapacityInput *input, HbwCapacityPlan *plan)
{
  const Planner planner
      = { input, plan, input->scaling->price_count, find_needs (input) };
  plan->needed = planner.needs.needed;
  plan->wanted = planner.needs.wanted;
  plan->highest = planner.needs.highest;
  for (guint i = 0; i < planner.count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      {
        HbwCapacityTarget *target = get_target (&planner, i, kind);
        target->desired = count_current (&planner, i, kind);
        target->reason = HBW_CAPACITY_UNCHANGED;
      }
  plan_reclaimable (&planner);
  plan_on_demand (&planner);
  apply_limits (&planner);
  for (guint i = 0; i < planner.count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      hold_back (&planner, i, kind);
}

guint
hbw_capacity_plan_step (const HbwCapacityInput *input, guint index,
                        HbwServerKind kind, guint desired)
{
  const HbwServerGroup *groups = input->groups[index];
  guint current = groups[kind].ready + groups[kind].starting;
  guint all = 0;
  for (HbwServerKind i = 0; i < HBW_SERVER_KIND_COUNT; i++)
    all += groups[i].ready + groups[i].starting;
  guint step = MAX (all / STEP_DIVISOR, 1);
  return current > desired + step ? current - step : desired;
}

const char *
hbw_capacity_reason_name (HbwCapacityReason reason)
{
  static const char *const names[HBW_CAPACITY_REASON_COUNT]
      = { "substitute", "load",     "commitment", "minimum",  "headroom",
          "limit",      "replaced", "surplus",    "unchanged" };
  return (guint) reason < HBW_CAPACITY_REASON_COUNT ? names[reason] : "unknown";
}

const char *
hbw_server_kind_name (HbwServerKind kind)
{
  return kind == HBW_SERVER_RECLAIMABLE ? "reclaimable" : "on_demand";
}
