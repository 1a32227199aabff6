#include "hornbeamwall/core/limiter.h"

#include "hornbeamwall/core/membership/membership.h"

/* Capacity of a token bucket, in seconds of its rate. */
#define BURST_SECONDS 1.0

/* An allocation is dropped after this long without use. */
#define ALLOCATION_IDLE_TIMEOUT_US (60 * HBW_US_PER_S)

/* Factor by which measured demand is raised, so that a share can grow. */
#define DEMAND_HEADROOM_FACTOR 1.25

/* Indices into arrays with one value for each limit. */
enum
{
  REQUESTS,
  TOKENS,
  IN_PROGRESS,
  LIMIT_COUNT,
};

/* This instance's share of one organisation's limits. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  double share[LIMIT_COUNT];
  double bucket_level[2]; /* of the token buckets for REQUESTS and TOKENS */
  double arrived[2];      /* admitted since the last demand was sent */
  double demand[LIMIT_COUNT];
  guint in_progress;
  guint waiting;
  double waiting_tokens;
  gint64 refilled_us;
  gint64 demand_us; /* when the last demand was sent */
  gint64 share_us;  /* when the last share was received; 0 is never */
  gint64 waiting_since_us;
  gint64 used_us;
} Allocation;

typedef struct
{
  guint64 member; /* identity */
  double demand[LIMIT_COUNT];
  gint64 received_us;
} Demand;

/* What a coordinator knows of one organisation at one level: 0 is a data centre, 1
   is all data centres. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  GArray *demands;                  /* Demand */
  double global_share[LIMIT_COUNT]; /* level 0: share of this data centre */
  gint64 global_share_us;
  gint64 global_demand_us; /* when the last global demand was sent */
} Coordinator;

struct HbwLimiter
{
  GHashTable *allocations;     /* organisation -> Allocation */
  GHashTable *coordinators[2]; /* organisation -> Coordinator, by level */
};

static gboolean
has_limits (const HbwLimits *limits)
{
  return limits->requests_per_s > 0 || limits->tokens_per_s > 0
         || limits->in_progress > 0;
}

static const HbwLimits *
find_limits (const HbwContext *context, const char *name)
{
  const HbwOrganisation *organisation
      = context->catalogue != NULL
            ? hbw_catalogue_find_organisation (context->catalogue, name)
            : NULL;
  if (organisation == NULL || !has_limits (&organisation->limits))
    return NULL;
  return &organisation->limits;
}

static void
limits_to_array (const HbwLimits *limits, double values[LIMIT_COUNT])
{
  values[REQUESTS] = limits->requests_per_s;
  values[TOKENS] = limits->tokens_per_s;
  values[IN_PROGRESS] = limits->in_progress;
}

static void
coordinator_free (gpointer data)
{
  Coordinator *coordinator = data;
  g_array_free (coordinator->demands, TRUE);
  g_free (coordinator);
}

static Allocation *
get_or_create_allocation (HbwLimiter *limiter, HbwContext *context, const char *name,
                          const HbwLimits *limits)
{
  Allocation *allocation = g_hash_table_lookup (limiter->allocations, name);
  if (allocation != NULL)
    return allocation;
  allocation = g_new0 (Allocation, 1);
  g_strlcpy (allocation->organisation, name, sizeof allocation->organisation);
  guint members = MAX (1, hbw_membership_count_alive (context->membership, NULL));
  limits_to_array (limits, allocation->share);
  for (guint i = 0; i < LIMIT_COUNT; i++)
    allocation->share[i] /= members;
  for (guint i = 0; i < 2; i++)
    allocation->bucket_level[i] = MAX (1.0, allocation->share[i] * BURST_SECONDS);
  allocation->refilled_us = context->now_us;
  g_hash_table_insert (limiter->allocations, allocation->organisation, allocation);
  return allocation;
}

static void
refill_buckets (Allocation *allocation, gint64 now_us)
{
  double elapsed_s = (double) (now_us - allocation->refilled_us) / HBW_US_PER_S;
  allocation->refilled_us = now_us;
  for (guint i = 0; i < 2; i++)
    {
      double capacity = MAX (1.0, allocation->share[i] * BURST_SECONDS);
      allocation->bucket_level[i] = MIN (
          capacity, allocation->bucket_level[i] + allocation->share[i] * elapsed_s);
    }
}

static gboolean
has_capacity (const Allocation *allocation, const HbwLimits *limits)
{
  if (limits->requests_per_s > 0 && allocation->bucket_level[REQUESTS] < 1.0)
    return FALSE;
  if (limits->tokens_per_s > 0 && allocation->bucket_level[TOKENS] <= 0)
    return FALSE;
  double limit = MAX (1.0, allocation->share[IN_PROGRESS]);
  return limits->in_progress == 0 || allocation->in_progress + 1.0 <= limit;
}

HbwLimiter *
hbw_limiter_create (void)
{
  HbwLimiter *limiter = g_new0 (HbwLimiter, 1);
  limiter->allocations
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < 2; i++)
    limiter->coordinators[i]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, coordinator_free);
  return limiter;
}

void
hbw_limiter_destroy (HbwLimiter *limiter)
{
  g_hash_table_destroy (limiter->allocations);
  for (guint i = 0; i < 2; i++)
    g_hash_table_destroy (limiter->coordinators[i]);
  g_free (limiter);
}

gboolean
hbw_limiter_try_acquire (HbwLimiter *limiter, HbwContext *context,
                         const HbwRequestSpec *spec)
{
  const HbwLimits *limits = find_limits (context, spec->organisation);
  if (limits == NULL)
    return TRUE;
  Allocation *allocation
      = get_or_create_allocation (limiter, context, spec->organisation, limits);
  refill_buckets (allocation, context->now_us);
  allocation->used_us = context->now_us;
  if (!has_capacity (allocation, limits))
    return FALSE;
  allocation->bucket_level[REQUESTS] -= 1.0;
  allocation->bucket_level[TOKENS] -= spec->cost_tokens;
  allocation->arrived[REQUESTS] += 1.0;
  allocation->arrived[TOKENS] += spec->cost_tokens;
  allocation->in_progress++;
  return TRUE;
}

void
hbw_limiter_release (HbwLimiter *limiter, const HbwRequestSpec *spec, guint tokens)
{
  Allocation *allocation
      = g_hash_table_lookup (limiter->allocations, spec->organisation);
  if (allocation == NULL)
    return;
  if (allocation->in_progress > 0)
    allocation->in_progress--;
  allocation->bucket_level[TOKENS] += (double) spec->cost_tokens - (double) tokens;
}

void
hbw_limiter_add_waiter (HbwLimiter *limiter, HbwContext *context,
                        const HbwRequestSpec *spec)
{
  const HbwLimits *limits = find_limits (context, spec->organisation);
  if (limits == NULL)
    return;
  Allocation *allocation
      = get_or_create_allocation (limiter, context, spec->organisation, limits);
  if (allocation->waiting++ == 0)
    {
      allocation->waiting_since_us = context->now_us;
      allocation->demand_us = 0; /* send a demand at the next tick */
    }
  allocation->waiting_tokens += spec->cost_tokens;
}

void
hbw_limiter_remove_waiter (HbwLimiter *limiter, const HbwRequestSpec *spec)
{
  Allocation *allocation
      = g_hash_table_lookup (limiter->allocations, spec->organisation);
  if (allocation == NULL || allocation->waiting == 0)
    return;
  allocation->waiting--;
  allocation->waiting_tokens
      = MAX (0, allocation->waiting_tokens - spec->cost_tokens);
}

gint64
hbw_limiter_expected_wait_us (HbwLimiter *limiter, HbwContext *context,
                              const HbwRequestSpec *spec)
{
  const HbwLimits *limits = find_limits (context, spec->organisation);
  const Allocation *allocation
      = g_hash_table_lookup (limiter->allocations, spec->organisation);
  if (limits == NULL || allocation == NULL)
    return 0;
  gboolean share_is_current = allocation->share_us > allocation->waiting_since_us;
  if (!share_is_current
      || context->now_us - allocation->waiting_since_us < 2 * HBW_DEMAND_INTERVAL_US)
    return -1;
  double wait_s = 0;
  if (limits->requests_per_s > 0)
    wait_s = allocation->waiting / MAX (allocation->share[REQUESTS], 1e-3);
  if (limits->tokens_per_s > 0)
    wait_s = MAX (wait_s,
                  (allocation->waiting_tokens - allocation->bucket_level[TOKENS])
                      / MAX (allocation->share[TOKENS], 1e-3));
  return (gint64) (wait_s * HBW_US_PER_S);
}

double
hbw_limiter_max_min_share (double limit, const double *demands, guint count,
                           guint members, guint index)
{
  double remaining = limit;
  guint unsatisfied = count;
  gboolean *satisfied = g_new0 (gboolean, count);
  gboolean changed = TRUE;
  while (changed && unsatisfied > 0)
    {
      changed = FALSE;
      double equal_share = remaining / unsatisfied;
      for (guint i = 0; i < count; i++)
        {
          if (satisfied[i] || demands[i] > equal_share)
            continue;
          satisfied[i] = TRUE;
          remaining -= demands[i];
          unsatisfied--;
          changed = TRUE;
        }
    }
  double share = unsatisfied > 0 ? remaining / unsatisfied
                                 : demands[index] + remaining / MAX (members, count);
  if (unsatisfied > 0 && satisfied[index])
    share = demands[index];
  g_free (satisfied);
  return share;
}

static void
measure_demand (Allocation *allocation, gint64 now_us)
{
  double elapsed_s = (double) (now_us - allocation->demand_us) / HBW_US_PER_S;
  elapsed_s = CLAMP (elapsed_s, 0.1, 1.0);
  allocation->demand[REQUESTS]
      = (allocation->arrived[REQUESTS] / elapsed_s) * DEMAND_HEADROOM_FACTOR
        + allocation->waiting;
  allocation->demand[TOKENS]
      = (allocation->arrived[TOKENS] / elapsed_s) * DEMAND_HEADROOM_FACTOR
        + allocation->waiting_tokens;
  allocation->demand[IN_PROGRESS]
      = allocation->in_progress * DEMAND_HEADROOM_FACTOR + allocation->waiting;
  allocation->arrived[REQUESTS] = 0;
  allocation->arrived[TOKENS] = 0;
}

static void
send_rates (HbwContext *context, guint64 to, HbwMessageKind kind, guint level,
            const char *organisation, const double values[LIMIT_COUNT])
{
  HbwMessage message = { .kind = kind };
  message.rates.level = level;
  g_strlcpy (message.rates.organisation, organisation,
             sizeof message.rates.organisation);
  message.rates.requests_per_s = values[REQUESTS];
  message.rates.tokens_per_s = values[TOKENS];
  message.rates.in_progress = values[IN_PROGRESS];
  hbw_context_send (context, to, &message);
}

static void
rates_to_array (const HbwRates *rates, double values[LIMIT_COUNT])
{
  values[REQUESTS] = rates->requests_per_s;
  values[TOKENS] = rates->tokens_per_s;
  values[IN_PROGRESS] = rates->in_progress;
}

static gboolean
tick_allocation (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Allocation *allocation = value;
  HbwContext *context = data;
  if (context->now_us - allocation->used_us > ALLOCATION_IDLE_TIMEOUT_US
      && allocation->in_progress == 0 && allocation->waiting == 0)
    return TRUE;
  if (context->now_us - allocation->demand_us < HBW_DEMAND_INTERVAL_US)
    return FALSE;
  measure_demand (allocation, context->now_us);
  allocation->demand_us = context->now_us;
  guint64 coordinator_id = hbw_membership_find_owner (
      context->membership, context->data_centre, allocation->organisation);
  send_rates (context, coordinator_id, HBW_MESSAGE_DEMAND, 0,
              allocation->organisation, allocation->demand);
  return FALSE;
}

static Coordinator *
get_or_create_coordinator (HbwLimiter *limiter, guint level,
                           const char *organisation)
{
  Coordinator *coordinator
      = g_hash_table_lookup (limiter->coordinators[level], organisation);
  if (coordinator == NULL)
    {
      coordinator = g_new0 (Coordinator, 1);
      g_strlcpy (coordinator->organisation, organisation,
                 sizeof coordinator->organisation);
      coordinator->demands = g_array_new (FALSE, TRUE, sizeof (Demand));
      g_hash_table_insert (limiter->coordinators[level], coordinator->organisation,
                           coordinator);
    }
  return coordinator;
}

static void
drop_expired_demands (Coordinator *coordinator, gint64 now_us)
{
  for (guint i = coordinator->demands->len; i > 0; i--)
    if (now_us - g_array_index (coordinator->demands, Demand, i - 1).received_us
        > HBW_DEMAND_TTL_US)
      g_array_remove_index_fast (coordinator->demands, i - 1);
}

static guint
record_demand (Coordinator *coordinator, guint64 member, const HbwRates *rates,
               gint64 now_us)
{
  guint index = 0;
  while (index < coordinator->demands->len
         && g_array_index (coordinator->demands, Demand, index).member != member)
    index++;
  if (index == coordinator->demands->len)
    g_array_set_size (coordinator->demands, index + 1);
  Demand *demand = &g_array_index (coordinator->demands, Demand, index);
  demand->member = member;
  demand->received_us = now_us;
  rates_to_array (rates, demand->demand);
  return index;
}

static void
compute_shares (const Coordinator *coordinator, const double limits[LIMIT_COUNT],
                guint members, guint index, double shares[LIMIT_COUNT])
{
  guint count = coordinator->demands->len;
  if (count == 0)
    return;
  double *demands = g_new (double, count);
  for (guint kind = 0; kind < LIMIT_COUNT; kind++)
    {
      for (guint i = 0; i < count; i++)
        demands[i] = g_array_index (coordinator->demands, Demand, i).demand[kind];
      shares[kind]
          = hbw_limiter_max_min_share (limits[kind], demands, count, members, index);
    }
  g_free (demands);
}

/* Sends the demand of this data centre to the global coordinator.  While that one
   does not respond, the data centre divides the whole limit. */
static void
request_global_share (Coordinator *coordinator, HbwContext *context)
{
  if (context->now_us - coordinator->global_demand_us < HBW_DEMAND_INTERVAL_US)
    return;
  coordinator->global_demand_us = context->now_us;
  double sum[LIMIT_COUNT] = { 0 };
  for (guint i = 0; i < coordinator->demands->len; i++)
    for (guint kind = 0; kind < LIMIT_COUNT; kind++)
      sum[kind] += g_array_index (coordinator->demands, Demand, i).demand[kind];
  guint64 coordinator_id = hbw_membership_find_owner (context->membership, NULL,
                                                      coordinator->organisation);
  send_rates (context, coordinator_id, HBW_MESSAGE_DEMAND, 1,
              coordinator->organisation, sum);
}

static void
handle_demand (HbwLimiter *limiter, HbwContext *context, guint64 from,
               const HbwRates *rates)
{
  const HbwLimits *limits = find_limits (context, rates->organisation);
  if (limits == NULL || rates->level > 1)
    return;
  Coordinator *coordinator
      = get_or_create_coordinator (limiter, rates->level, rates->organisation);
  drop_expired_demands (coordinator, context->now_us);
  guint index = record_demand (coordinator, from, rates, context->now_us);
  double total[LIMIT_COUNT];
  double shares[LIMIT_COUNT] = { 0 };
  limits_to_array (limits, total);
  guint members = coordinator->demands->len;
  if (rates->level == 0)
    {
      request_global_share (coordinator, context);
      members
          = hbw_membership_count_alive (context->membership, context->data_centre);
      gint64 age_us = context->now_us - coordinator->global_share_us;
      if (coordinator->global_share_us > 0 && age_us < HBW_COORDINATOR_TIMEOUT_US)
        for (guint i = 0; i < LIMIT_COUNT; i++)
          total[i] = MIN (total[i], coordinator->global_share[i]);
    }
  compute_shares (coordinator, total, members, index, shares);
  send_rates (context, from, HBW_MESSAGE_SHARE, rates->level, rates->organisation,
              shares);
}

static void
handle_share (HbwLimiter *limiter, HbwContext *context, const HbwRates *rates)
{
  if (rates->level == 1)
    {
      Coordinator *coordinator
          = g_hash_table_lookup (limiter->coordinators[0], rates->organisation);
      if (coordinator == NULL)
        return;
      rates_to_array (rates, coordinator->global_share);
      coordinator->global_share_us = context->now_us;
      return;
    }
  Allocation *allocation
      = g_hash_table_lookup (limiter->allocations, rates->organisation);
  if (allocation == NULL)
    return;
  refill_buckets (allocation, context->now_us);
  rates_to_array (rates, allocation->share);
  allocation->share_us = context->now_us;
}

static gboolean
tick_coordinator (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Coordinator *coordinator = value;
  const HbwContext *context = data;
  drop_expired_demands (coordinator, context->now_us);
  return coordinator->demands->len == 0;
}

void
hbw_limiter_tick (HbwLimiter *limiter, HbwContext *context)
{
  g_hash_table_foreach_remove (limiter->allocations, tick_allocation, context);
  for (guint i = 0; i < 2; i++)
    g_hash_table_foreach_remove (limiter->coordinators[i], tick_coordinator,
                                 context);
}

void
hbw_limiter_handle_message (HbwLimiter *limiter, HbwContext *context,
                            const HbwMessage *message)
{
  if (message->kind == HBW_MESSAGE_DEMAND)
    handle_demand (limiter, context, message->from, &message->rates);
  else if (message->kind == HBW_MESSAGE_SHARE)
    handle_share (limiter, context, &message->rates);
}
