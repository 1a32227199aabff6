#include "hornbeamwall/core/capacity/capacity_task.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/capacity/capacity_demand.h"
#include "hornbeamwall/core/capacity/capacity_history.h"
#include "hornbeamwall/core/capacity/capacity_orders.h"
#include "hornbeamwall/core/membership/membership.h"

#include <string.h>

/* Interval at which demand is sent, and added up by the holder. */
#define DEMAND_INTERVAL_US (1 * HBW_US_PER_S)

/* Minimum time between two orders, the first while none is refused, and between two
   for the same servers. */
#define ORDER_INTERVAL_US (250 * HBW_US_PER_MS)
#define GROUP_INTERVAL_US (1 * HBW_US_PER_S)

/* How long fewer servers must have been wanted before any are given back. */
#define SURPLUS_US (5 * HBW_US_PER_S)

/* Delays after a call that was not executed. */
#define BACKOFF_MIN_US (200 * HBW_US_PER_MS)
#define BACKOFF_MAX_US (2 * HBW_US_PER_S)

/* A call without a result for this long counts as one with an unknown result. */
#define RESULT_TIMEOUT_US (10 * HBW_US_PER_S)

/* An order is sent at most this many times without a result; then it counts as
   accepted. */
#define UNKNOWN_SENDS_MAX 2

/* Slots of a server if neither the configuration nor the list of servers says. */
#define SLOTS_DEFAULT 16

/* Largest number of servers in stored state. */
#define DESIRED_MAX 100000

typedef struct
{
  char name[HBW_NAME_MAX];
  HbwScaling scaling; /* the last valid one; its prices are in the order of ORDERS */
  char *error;        /* that was logged last, or NULL */
  HbwOrderState orders[HBW_SCALING_DATA_CENTRES_MAX][HBW_SERVER_KIND_COUNT];
  guint listed_slots;    /* sum over the servers that serve */
  guint assumed_servers; /* on-demand ones that were there before the demand was
                            known */
  HbwCapacityHistory *history;
  HbwCapacityTarget targets[HBW_SCALING_DATA_CENTRES_MAX][HBW_SERVER_KIND_COUNT];
} Pool;

/* The order that was given to the duty and has no result yet. */
typedef struct
{
  guint64 id; /* 0: none */
  Pool *pool;
  guint index; /* of the data centre */
  HbwServerKind kind;
  guint desired;
  gboolean is_reduction;
  gint64 sent_us;
} PendingOrder;

typedef struct
{
  HbwDutyTask task;
  HbwCapacityDemand *demand;
  GHashTable *pools;        /* name -> Pool, of pools that have had a scaling */
  GHashTable *data_centres; /* names of those that were seen */
  gint64 catalogue_version; /* whose scalings are in force; -1: none */
  GHashTable *listed;       /* "pool/data centre/kind" -> ListedServers */
  guint64 holder;
  gboolean is_holder;
  gint64 sampled_us;
  gint64 sent_us;   /* when demand was last sent */
  gint64 summed_us; /* when it was last added up */
  PendingOrder pending;
  guint64 next_id;
  guint64 state_number;
  gint64 next_order_us;
  gint64 backoff_us;
  guint64 outcomes[HBW_DUTY_OUTCOME_COUNT];
} CapacityTask;

typedef struct
{
  guint ready;
  guint leaving;
  guint slots; /* of those that are ready */
} ListedServers;

/* Size of the name of a group of listed servers, in bytes, including the terminating
   NUL. */
#define GROUP_NAME_MAX (2 * HBW_NAME_MAX + 8)

static void
format_group (const char *pool, const char *data_centre, HbwServerKind kind,
              char *name)
{
  g_snprintf (name, GROUP_NAME_MAX, "%s/%s/%d", pool, data_centre, kind);
}

static CapacityTask *
get_task (const HbwContext *context)
{
  return (CapacityTask *) context->capacity;
}

/* --- pools ----------------------------------------------------------------------
 */

static void
pool_free (gpointer data)
{
  Pool *pool = data;
  hbw_capacity_history_destroy (pool->history);
  g_free (pool->error);
  g_free (pool);
}

static const char *
get_data_centre (const Pool *pool, guint index)
{
  return pool->scaling.prices[index].data_centre;
}

/* Returns the index of a data centre in SCALING, or the number of them. */
static guint
find_data_centre (const HbwScaling *scaling, const char *name)
{
  guint index = 0;
  while (index < scaling->price_count
         && strcmp (scaling->prices[index].data_centre, name) != 0)
    index++;
  return index;
}

/* Adopts SCALING; orders for data centres that it keeps go on. */
static void
adopt_scaling (Pool *pool, const HbwScaling *scaling)
{
  HbwOrderState orders[HBW_SCALING_DATA_CENTRES_MAX][HBW_SERVER_KIND_COUNT]
      = { { { 0 } } };
  for (guint i = 0; i < scaling->price_count; i++)
    {
      guint old = find_data_centre (&pool->scaling, scaling->prices[i].data_centre);
      if (old < pool->scaling.price_count)
        memcpy (orders[i], pool->orders[old], sizeof orders[i]);
    }
  memcpy (pool->orders, orders, sizeof orders);
  memset (pool->targets, 0, sizeof pool->targets);
  pool->scaling = *scaling;
}

static Pool *
ensure_pool (CapacityTask *task, const char *name)
{
  Pool *pool = g_hash_table_lookup (task->pools, name);
  if (pool != NULL)
    return pool;
  pool = g_new0 (Pool, 1);
  g_strlcpy (pool->name, name, sizeof pool->name);
  pool->history = hbw_capacity_history_create ();
  g_hash_table_insert (task->pools, pool->name, pool);
  return pool;
}

static void
log_scaling_error (Pool *pool, HbwContext *context, const char *text)
{
  if (g_strcmp0 (pool->error, text) == 0)
    return;
  g_free (pool->error);
  pool->error = g_strdup (text);
  hbw_effects_log (context->effects, HBW_LOG_SCALING_REJECTED,
                   "pool=%s in_force=%d error=\"%s\"", pool->name,
                   pool->scaling.price_count > 0, text);
}

/* Returns a data centre with servers of POOL that SCALING has no price for, or NULL
   (borrowed). */
static const char *
find_missing_price (const CapacityTask *task, const Pool *pool,
                    const HbwScaling *scaling)
{
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, task->data_centres);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      char group[GROUP_NAME_MAX];
      format_group (pool->name, key, HBW_SERVER_ON_DEMAND, group);
      if (find_data_centre (scaling, key) == scaling->price_count
          && g_hash_table_contains (task->listed, group))
        return key;
    }
  return NULL;
}

/* Returns a data centre with a price that was not seen, or NULL (borrowed).  None is
   unknown before the list of servers was read. */
static const char *
find_unknown_data_centre (const CapacityTask *task, const HbwScaling *scaling)
{
  if (g_hash_table_size (task->listed) == 0)
    return NULL;
  for (guint i = 0; i < scaling->price_count; i++)
    if (!g_hash_table_contains (task->data_centres, scaling->prices[i].data_centre))
      return scaling->prices[i].data_centre;
  return NULL;
}

/* A scaling that cannot be parsed is reported and not used.  One whose data centres
   do not match those in use is reported, and used only if no other is in force. */
static void
update_scaling (CapacityTask *task, HbwContext *context, const HbwPool *entry)
{
  char text[HBW_ERROR_MESSAGE_MAX];
  if (entry->scaling == NULL && entry->scaling_error == NULL)
    {
      g_hash_table_remove (task->pools, entry->name);
      return;
    }
  Pool *pool = ensure_pool (task, entry->name);
  if (entry->scaling == NULL)
    {
      log_scaling_error (pool, context, entry->scaling_error);
      return;
    }
  const char *missing = find_missing_price (task, pool, entry->scaling);
  const char *unknown = find_unknown_data_centre (task, entry->scaling);
  if (missing != NULL || unknown != NULL)
    {
      g_snprintf (text, sizeof text, "data centre %s %s",
                  missing != NULL ? missing : unknown,
                  missing != NULL ? "has no price" : "is unknown");
      log_scaling_error (pool, context, text);
      if (pool->scaling.price_count > 0)
        return;
    }
  else
    g_clear_pointer (&pool->error, g_free);
  adopt_scaling (pool, entry->scaling);
}

static gboolean
is_not_in_catalogue (gpointer key, gpointer value G_GNUC_UNUSED, gpointer data)
{
  const HbwContext *context = data;
  return hbw_catalogue_find_pool (context->catalogue, key) == NULL;
}

static void
abandon_pending_order (CapacityTask *task)
{
  task->pending.id = 0;
}

static void
update_scalings (CapacityTask *task, HbwContext *context)
{
  if (context->catalogue == NULL
      || hbw_catalogue_version (context->catalogue) == task->catalogue_version)
    return;
  task->catalogue_version = hbw_catalogue_version (context->catalogue);
  abandon_pending_order (task); /* its pool may be removed */
  GList *names = hbw_catalogue_pool_names (context->catalogue);
  for (GList *item = names; item != NULL; item = item->next)
    update_scaling (task, context,
                    hbw_catalogue_find_pool (context->catalogue, item->data));
  g_list_free (names);
  g_hash_table_foreach_remove (task->pools, is_not_in_catalogue, context);
}

/* --- servers --------------------------------------------------------------------
 */

typedef struct
{
  CapacityTask *task;
  const HbwContext *context;
  const HbwTopology *topology;
} ServerCount;

static void
add_data_centre (CapacityTask *task, const char *name)
{
  if (!g_hash_table_add (task->data_centres, g_strdup (name)))
    return;
  task->catalogue_version = -1; /* checks the scalings again */
}

static ListedServers *
ensure_listed (CapacityTask *task, const char *pool, const char *data_centre,
               HbwServerKind kind)
{
  char group[GROUP_NAME_MAX];
  format_group (pool, data_centre, kind, group);
  ListedServers *listed = g_hash_table_lookup (task->listed, group);
  if (listed != NULL)
    return listed;
  listed = g_new0 (ListedServers, 1);
  g_hash_table_insert (task->listed, g_strdup (group), listed);
  return listed;
}

static void
count_server (const ServerCount *count, const HbwServerEntry *server)
{
  HbwServerKind kind
      = server->reclaimable ? HBW_SERVER_RECLAIMABLE : HBW_SERVER_ON_DEMAND;
  add_data_centre (count->task, server->data_centre);
  ensure_listed (count->task, server->pool, server->data_centre,
                 HBW_SERVER_ON_DEMAND);
  ListedServers *listed
      = ensure_listed (count->task, server->pool, server->data_centre, kind);
  if (server->leaving
      || g_hash_table_contains (count->context->planned_stops, server->id))
    {
      listed->leaving++;
      return;
    }
  listed->ready++;
  listed->slots += server->slots;
}

static void
count_shard (const HbwShardKey *key, void *data)
{
  const ServerCount *count = data;
  const GPtrArray *servers = hbw_topology_shard_servers (count->topology, key);
  for (guint i = 0; servers != NULL && i < servers->len; i++)
    count_server (count, g_ptr_array_index (servers, i));
}

static void
log_availability (HbwContext *context, const Pool *pool, guint index,
                  HbwServerKind kind, const char *cause)
{
  hbw_effects_log (context->effects, HBW_LOG_SERVERS_UNAVAILABLE,
                   "pool=%s data_centre=%s kind=%s cause=%s ready=%u for_ms=%d",
                   pool->name, get_data_centre (pool, index),
                   hbw_server_kind_name (kind), cause,
                   pool->orders[index][kind].listed_ready,
                   (int) (HBW_UNAVAILABLE_US / HBW_US_PER_MS));
}

static void
observe_group (const CapacityTask *task, HbwContext *context, Pool *pool,
               guint index, HbwServerKind kind)
{
  static const ListedServers none = { 0 };
  char name[GROUP_NAME_MAX];
  format_group (pool->name, get_data_centre (pool, index), kind, name);
  const ListedServers *listed = g_hash_table_lookup (task->listed, name);
  if (listed == NULL)
    listed = &none;
  HbwOrderState *state = &pool->orders[index][kind];
  pool->listed_slots += listed->slots;
  HbwAvailabilityChange change
      = hbw_order_state_observe (state, listed->ready, listed->leaving,
                                 kind == HBW_SERVER_RECLAIMABLE, context->now_us);
  if (change == HBW_AVAILABILITY_TAKEN && task->is_holder)
    log_availability (context, pool, index, kind, "taken");
  change = hbw_order_state_expire (state, pool->scaling.startup_us, context->now_us);
  if (change == HBW_AVAILABILITY_FAILED)
    log_availability (context, pool, index, kind, "not_started");
}

/* Compares the list of servers with the orders. */
static void
observe_servers (CapacityTask *task, HbwContext *context, Pool *pool)
{
  pool->listed_slots = 0;
  for (guint i = 0; i < pool->scaling.price_count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      observe_group (task, context, pool, i, kind);
}

static guint
count_ready (const Pool *pool)
{
  guint ready = 0;
  for (guint i = 0; i < pool->scaling.price_count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      ready += pool->orders[i][kind].listed_ready;
  return ready;
}

void
hbw_capacity_handle_servers (HbwContext *context, const HbwTopology *topology)
{
  CapacityTask *task = get_task (context);
  if (task == NULL || topology == NULL)
    return;
  ServerCount count = { task, context, topology };
  g_hash_table_remove_all (task->listed);
  add_data_centre (task, context->data_centre);
  hbw_topology_foreach_shard (topology, count_shard, &count);
}

/* --- demand ---------------------------------------------------------------------
 */

static void
add_member (const HbwMemberUpdate *member, void *data)
{
  add_data_centre (data, member->data_centre);
}

static void
send_demand (CapacityTask *task, HbwContext *context)
{
  gint64 elapsed_us = context->now_us - task->sent_us;
  if (elapsed_us < DEMAND_INTERVAL_US)
    return;
  task->sent_us = context->now_us;
  hbw_membership_foreach (context->membership, add_member, task);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      HbwMessage message = { .kind = HBW_MESSAGE_POOL_DEMAND };
      hbw_capacity_demand_take (task->demand, key, elapsed_us, &message.pool_demand);
      if (task->holder != 0)
        hbw_context_send (context, task->holder, &message);
    }
}

static HbwCapability
measure_size (const Pool *pool)
{
  const HbwScaling *scaling = &pool->scaling;
  guint ready = count_ready (pool);
  HbwCapability size = { .streams = SLOTS_DEFAULT };
  if (scaling->slots > 0)
    size.streams = scaling->slots;
  else if (ready > 0)
    size.streams = (double) pool->listed_slots / ready;
  size.memory_tokens = scaling->memory_tokens;
  return size;
}

static void
add_up_demand (CapacityTask *task, HbwContext *context)
{
  if (context->now_us - task->summed_us < DEMAND_INTERVAL_US)
    return;
  task->summed_us = context->now_us;
  guint alive = hbw_membership_count_alive (context->membership, NULL);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pool *pool = value;
      const HbwCapability size = measure_size (pool);
      hbw_capacity_history_update (pool->history, alive, count_ready (pool), &size,
                                   context->now_us);
    }
}

void
hbw_capacity_handle_demand (HbwContext *context, const HbwMessage *message)
{
  CapacityTask *task = get_task (context);
  if (task == NULL)
    return;
  Pool *pool = g_hash_table_lookup (task->pools, message->pool_demand.pool);
  if (pool != NULL)
    hbw_capacity_history_report (pool->history, message->from, &message->pool_demand,
                                 context->now_us);
}

/* --- orders ---------------------------------------------------------------------
 */

/* An order that may be sent now. */
typedef struct
{
  Pool *pool;
  guint index;
  HbwServerKind kind;
  guint desired;
  HbwCapacityReason reason;
  HbwCapacityPlan plan;
} Candidate;

static void
fill_input (const CapacityTask *task, const Pool *pool, gint64 now_us,
            HbwCapacityInput *input)
{
  memset (input, 0, sizeof *input);
  input->scaling = &pool->scaling;
  for (guint i = 0; i < pool->scaling.price_count; i++)
    {
      for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
        input->groups[i][kind]
            = hbw_order_state_group (&pool->orders[i][kind], now_us);
      input->is_excluded[i]
          = !g_hash_table_contains (task->data_centres, get_data_centre (pool, i));
    }
  hbw_capacity_history_loads (pool->history, &input->total, &input->highest_tier);
  input->is_demand_known = hbw_capacity_history_is_known (pool->history, now_us);
  input->assumed = pool->assumed_servers;
}

/* Notes the servers that were there before the demand was known. */
static void
update_assumed_servers (Pool *pool, gint64 now_us)
{
  guint count = 0;
  if (hbw_capacity_history_is_known (pool->history, now_us))
    {
      pool->assumed_servers = 0;
      return;
    }
  for (guint i = 0; i < pool->scaling.price_count; i++)
    {
      const HbwServerGroup group
          = hbw_order_state_group (&pool->orders[i][HBW_SERVER_ON_DEMAND], now_us);
      count += group.ready + group.starting;
    }
  pool->assumed_servers = MAX (pool->assumed_servers, count);
}

/* Notes since when fewer servers are wanted; returns whether an order may be sent.
 */
static gboolean
is_order_due (HbwOrderState *state, const HbwCapacityTarget *target, guint current,
              gint64 now_us)
{
  if (target->desired >= current)
    state->surplus_since_us = 0;
  else if (state->surplus_since_us == 0)
    state->surplus_since_us = now_us;
  if (target->desired == current || now_us < state->next_order_us)
    return FALSE;
  return target->desired > current || target->reason == HBW_CAPACITY_LIMIT
         || target->reason == HBW_CAPACITY_REPLACED
         || now_us - state->surplus_since_us >= SURPLUS_US;
}

static void
consider_pool (const CapacityTask *task, Pool *pool, gint64 now_us, Candidate *best)
{
  HbwCapacityInput input;
  HbwCapacityPlan plan;
  if (pool->scaling.price_count == 0
      || hbw_capacity_history_heard (pool->history) == 0)
    return;
  update_assumed_servers (pool, now_us);
  fill_input (task, pool, now_us, &input);
  hbw_capacity_plan_make (&input, &plan);
  memcpy (pool->targets, plan.targets, sizeof plan.targets);
  for (guint i = 0; i < pool->scaling.price_count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      {
        const HbwServerGroup *group = &input.groups[i][kind];
        const HbwCapacityTarget *target = &plan.targets[i][kind];
        gboolean is_due = is_order_due (&pool->orders[i][kind], target,
                                        group->ready + group->starting, now_us);
        if (!is_due || (best->pool != NULL && target->reason >= best->reason))
          continue;
        best->pool = pool;
        best->index = i;
        best->kind = kind;
        best->desired = hbw_capacity_plan_step (&input, i, kind, target->desired);
        best->reason = target->reason;
        best->plan = plan;
      }
}

static void
log_order (HbwContext *context, const Candidate *order)
{
  const Pool *pool = order->pool;
  const HbwServerGroup group = hbw_order_state_group (
      &pool->orders[order->index][order->kind], context->now_us);
  const HbwTierDemand total
      = hbw_pool_demand_total (hbw_capacity_history_demand (pool->history));
  const HbwCapability *server = hbw_capacity_history_capability (pool->history);
  hbw_effects_log (
      context->effects, HBW_LOG_SERVERS_ORDERED,
      "pool=%s data_centre=%s kind=%s desired=%u ready=%u starting=%u leaving=%u "
      "reason=%s needed=%.1f wanted=%.1f highest=%.1f heard=%u "
      "prompt_tokens_per_s=%.0f "
      "in_progress=%u waiting=%u refused_per_s=%.1f late_per_s=%.1f "
      "memory_tokens=%.0f server_tokens_per_s=%.0f server_streams=%.0f",
      pool->name, get_data_centre (pool, order->index),
      hbw_server_kind_name (order->kind), order->desired, group.ready,
      group.starting, group.leaving, hbw_capacity_reason_name (order->reason),
      order->plan.needed, order->plan.wanted, order->plan.highest,
      hbw_capacity_history_heard (pool->history), total.prompt_tokens_per_s,
      total.in_progress, total.waiting, total.refused_per_s, total.late_per_s,
      total.memory_tokens, server->prompt_tokens_per_s, server->streams);
}

static void
fill_call (CapacityTask *task, HbwContext *context, const Candidate *order,
           HbwDutyCall *call)
{
  const HbwServerGroup group = hbw_order_state_group (
      &order->pool->orders[order->index][order->kind], context->now_us);
  memset (call, 0, sizeof *call);
  call->kind = HBW_DUTY_CALL_ORDER;
  call->id = task->next_id++;
  g_strlcpy (call->order.service, order->pool->scaling.service,
             sizeof call->order.service);
  g_strlcpy (call->order.data_centre, get_data_centre (order->pool, order->index),
             sizeof call->order.data_centre);
  call->order.desired = order->desired;
  call->order.reclaimable = order->kind == HBW_SERVER_RECLAIMABLE;
  task->pending = (PendingOrder){ .id = call->id,
                                  .pool = order->pool,
                                  .index = order->index,
                                  .kind = order->kind,
                                  .desired = order->desired,
                                  .sent_us = context->now_us };
  task->pending.is_reduction = order->desired < group.ready + group.starting;
}

static void
back_off (CapacityTask *task, gint64 now_us)
{
  task->backoff_us = CLAMP (2 * task->backoff_us, BACKOFF_MIN_US, BACKOFF_MAX_US);
  task->next_order_us = now_us + task->backoff_us;
}

/* Servers that are taken back, or not to be had, in two data centres are taken not
   to be had anywhere. */
static void
handle_unavailable (CapacityTask *task, HbwContext *context,
                    const PendingOrder *order)
{
  Pool *pool = order->pool;
  HbwOrderState *state = &pool->orders[order->index][order->kind];
  guint others = 0;
  if (order->is_reduction)
    {
      state->next_order_us = context->now_us + HBW_UNAVAILABLE_US;
      return;
    }
  for (guint i = 0; i < pool->scaling.price_count; i++)
    others += i != order->index
              && context->now_us < pool->orders[i][order->kind].unavailable_until_us;
  for (guint i = 0; i < pool->scaling.price_count; i++)
    if (i == order->index || (others > 0 && order->kind == HBW_SERVER_RECLAIMABLE))
      hbw_order_state_mark_unavailable (&pool->orders[i][order->kind],
                                        context->now_us);
  log_availability (context, pool, order->index, order->kind, "refused");
  task->next_order_us = context->now_us;
}

static void
handle_unknown (CapacityTask *task, HbwContext *context, const PendingOrder *order)
{
  HbwOrderState *state = &order->pool->orders[order->index][order->kind];
  back_off (task, context->now_us);
  state->unknown_count++;
  if (state->unknown_count < UNKNOWN_SENDS_MAX)
    return;
  hbw_order_state_place (state, order->desired, context->now_us);
  task->state_number++;
}

static void
handle_outcome (CapacityTask *task, HbwContext *context, const PendingOrder *order,
                HbwDutyOutcome outcome)
{
  HbwOrderState *state = &order->pool->orders[order->index][order->kind];
  task->outcomes[outcome]++;
  switch (outcome)
    {
    case HBW_DUTY_ACCEPTED:
      task->backoff_us = 0;
      state->next_order_us = context->now_us + GROUP_INTERVAL_US;
      hbw_order_state_place (state, order->desired, context->now_us);
      task->state_number++;
      break;
    case HBW_DUTY_UNAVAILABLE:
      task->backoff_us = 0;
      handle_unavailable (task, context, order);
      break;
    case HBW_DUTY_UNKNOWN:
      handle_unknown (task, context, order);
      break;
    default: /* not executed, or rejected for another reason */
      back_off (task, context->now_us);
      break;
    }
}

/* --- class ----------------------------------------------------------------------
 */

static void
forget_overdue_result (CapacityTask *task, HbwContext *context)
{
  const PendingOrder order = task->pending;
  if (order.id == 0 || context->now_us - order.sent_us < RESULT_TIMEOUT_US)
    return;
  abandon_pending_order (task);
  handle_outcome (task, context, &order, HBW_DUTY_UNKNOWN);
}

static void
tick (HbwDutyTask *base, HbwContext *context, gboolean is_holder)
{
  CapacityTask *task = (CapacityTask *) base;
  task->is_holder = is_holder;
  update_scalings (task, context);
  send_demand (task, context);
  if (!is_holder)
    {
      abandon_pending_order (task);
      return;
    }
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    observe_servers (task, context, pool);
  add_up_demand (task, context);
  forget_overdue_result (task, context);
}

static void
load_order (CapacityTask *task, HbwContext *context, json_t *item)
{
  const char *name = json_string_value (json_object_get (item, "pool"));
  const char *data_centre
      = json_string_value (json_object_get (item, "data_centre"));
  json_int_t desired = json_integer_value (json_object_get (item, "desired"));
  HbwServerKind kind = json_is_true (json_object_get (item, "reclaimable"))
                           ? HBW_SERVER_RECLAIMABLE
                           : HBW_SERVER_ON_DEMAND;
  Pool *pool = name != NULL ? g_hash_table_lookup (task->pools, name) : NULL;
  if (pool == NULL || data_centre == NULL || desired < 0 || desired > DESIRED_MAX)
    return;
  guint index = find_data_centre (&pool->scaling, data_centre);
  if (index == pool->scaling.price_count)
    return;
  HbwOrderState *state = &pool->orders[index][kind];
  hbw_order_state_place (state, (guint) desired, context->now_us);
  state->is_loaded = TRUE;
}

static void
load (HbwDutyTask *base, HbwContext *context, json_t *state)
{
  CapacityTask *task = (CapacityTask *) base;
  size_t index;
  json_t *item;
  GHashTableIter iter;
  gpointer value;
  update_scalings (task, context);
  abandon_pending_order (task);
  task->backoff_us = 0;
  task->next_order_us = context->now_us;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Pool *pool = value;
      hbw_capacity_history_clear (pool->history);
      memset (pool->orders, 0, sizeof pool->orders);
      observe_servers (task, context, pool);
    }
  json_array_foreach (json_object_get (state, "orders"), index, item)
    load_order (task, context, item);
}

static void
save_pool (const Pool *pool, json_t *orders)
{
  for (guint i = 0; i < pool->scaling.price_count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      if (pool->orders[i][kind].ordered_us > 0)
        json_array_append_new (
            orders, json_pack ("{s:s, s:s, s:b, s:i}", "pool", pool->name,
                               "data_centre", get_data_centre (pool, i),
                               "reclaimable", kind == HBW_SERVER_RECLAIMABLE,
                               "desired", (int) pool->orders[i][kind].desired));
}

static json_t *
save (const HbwDutyTask *base)
{
  const CapacityTask *task = (const CapacityTask *) base;
  json_t *orders = json_array ();
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    save_pool (pool, orders);
  return json_pack ("{s:o}", "orders", orders);
}

static guint64
state_number (const HbwDutyTask *base)
{
  return ((const CapacityTask *) base)->state_number;
}

static gboolean
next_call (HbwDutyTask *base, HbwContext *context,
           guint64 stored_number G_GNUC_UNUSED, HbwDutyCall *call)
{
  CapacityTask *task = (CapacityTask *) base;
  Candidate best = { 0 };
  GHashTableIter iter;
  gpointer pool;
  if (task->pending.id != 0 || context->now_us < task->next_order_us)
    return FALSE;
  g_hash_table_iter_init (&iter, task->pools);
  while (g_hash_table_iter_next (&iter, NULL, &pool))
    consider_pool (task, pool, context->now_us, &best);
  if (best.pool == NULL)
    return FALSE;
  log_order (context, &best);
  fill_call (task, context, &best, call);
  task->next_order_us = context->now_us + ORDER_INTERVAL_US;
  return TRUE;
}

static void
handle_result (HbwDutyTask *base, HbwContext *context, const HbwDutyResult *result)
{
  CapacityTask *task = (CapacityTask *) base;
  const PendingOrder order = task->pending;
  if (result->kind != HBW_DUTY_CALL_ORDER || result->id != order.id || order.id == 0
      || (guint) result->outcome >= HBW_DUTY_OUTCOME_COUNT)
    return;
  abandon_pending_order (task);
  handle_outcome (task, context, &order, result->outcome);
}

static void
destroy (HbwDutyTask *base)
{
  CapacityTask *task = (CapacityTask *) base;
  hbw_capacity_demand_destroy (task->demand);
  g_hash_table_destroy (task->pools);
  g_hash_table_destroy (task->data_centres);
  g_hash_table_destroy (task->listed);
  g_free (task);
}

static const HbwDutyTaskClass capacity_class = {
  .name = "capacity",
  .tick = tick,
  .load = load,
  .save = save,
  .state_number = state_number,
  .next_call = next_call,
  .handle_result = handle_result,
  .destroy = destroy,
};

HbwDutyTask *
hbw_capacity_task_create (void)
{
  CapacityTask *task = g_new0 (CapacityTask, 1);
  task->task.class = &capacity_class;
  task->demand = hbw_capacity_demand_create ();
  task->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  task->data_centres = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  task->listed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  task->catalogue_version = -1;
  task->next_id = 1;
  return &task->task;
}

void
hbw_capacity_set_holder (HbwDutyTask *task, guint64 identity)
{
  ((CapacityTask *) task)->holder = identity;
}

/* --- demand of this instance ------------------------------------------------------
 */

void
hbw_capacity_record_arrival (HbwContext *context, const HbwRequestSpec *spec)
{
  if (context->capacity != NULL)
    hbw_capacity_demand_count_arrival (get_task (context)->demand, spec);
}

void
hbw_capacity_record_placement (HbwContext *context, const HbwRequestSpec *spec,
                               guint unread_tokens)
{
  /* The spec of an attempt that another owner began has no pool. */
  if (context->capacity != NULL && *spec->pool != '\0')
    hbw_capacity_demand_count_placement (get_task (context)->demand, spec,
                                         unread_tokens);
}

void
hbw_capacity_record_first_token (HbwContext *context, const HbwRequestSpec *spec,
                                 gint64 first_token_us)
{
  if (context->capacity != NULL && spec->first_token_target_us > 0)
    hbw_capacity_demand_count_first_token (get_task (context)->demand, spec,
                                           first_token_us
                                               > spec->first_token_target_us);
}

void
hbw_capacity_record_output (HbwContext *context, const HbwRequestSpec *spec,
                            guint tokens)
{
  if (context->capacity != NULL)
    hbw_capacity_demand_count_output (get_task (context)->demand, spec, tokens);
}

void
hbw_capacity_record_refusal (HbwContext *context, const HbwRequestSpec *spec,
                             HbwReason reason)
{
  gboolean lacks_room
      = reason == HBW_REASON_QUEUE_FULL || reason == HBW_REASON_DEADLINE
        || reason == HBW_REASON_OVERLOADED || reason == HBW_REASON_NO_SERVER;
  if (context->capacity != NULL && lacks_room)
    hbw_capacity_demand_count_refusal (get_task (context)->demand, spec);
}

void
hbw_capacity_record_pace (HbwContext *context, const char *pool, guint tokens,
                          guint ahead_tokens, gint64 first_token_us)
{
  if (context->capacity != NULL)
    hbw_capacity_demand_learn_pace (get_task (context)->demand, pool, tokens,
                                    ahead_tokens, first_token_us);
}

gboolean
hbw_capacity_begin_sample (HbwContext *context)
{
  CapacityTask *task = get_task (context);
  if (task == NULL || context->now_us - task->sampled_us < DEMAND_INTERVAL_US)
    return FALSE;
  task->sampled_us = context->now_us;
  hbw_capacity_demand_begin_sample (task->demand);
  return TRUE;
}

void
hbw_capacity_sample (HbwContext *context, const HbwRequestSpec *spec,
                     gboolean is_running)
{
  hbw_capacity_demand_sample (get_task (context)->demand, spec, is_running);
}

/* --- metrics
 * ------------------------------------------------------------------------ */

static void
render_servers (const Pool *pool, gint64 now_us, GString *text)
{
  for (guint i = 0; i < pool->scaling.price_count; i++)
    for (HbwServerKind kind = 0; kind < HBW_SERVER_KIND_COUNT; kind++)
      {
        const HbwServerGroup group
            = hbw_order_state_group (&pool->orders[i][kind], now_us);
        const guint values[]
            = { pool->targets[i][kind].desired, group.ready, group.starting };
        const char *const names[] = { "desired", "ready", "starting" };
        for (guint k = 0; k < G_N_ELEMENTS (values); k++)
          g_string_append_printf (
              text,
              "hornbeamwall_servers_%s{pool=\"%s\",data_centre=\"%s\",kind=\"%s\"} "
              "%u\n",
              names[k], pool->name, get_data_centre (pool, i),
              hbw_server_kind_name (kind), values[k]);
      }
}

void
hbw_capacity_render_metrics (const HbwContext *context, GString *text)
{
  const CapacityTask *task = get_task (context);
  if (task == NULL)
    return;
  GHashTableIter iter;
  gpointer pool;
  g_hash_table_iter_init (&iter, task->pools);
  while (task->is_holder && g_hash_table_iter_next (&iter, NULL, &pool))
    render_servers (pool, context->now_us, text);
  for (HbwDutyOutcome i = 0; i < HBW_DUTY_OUTCOME_COUNT; i++)
    g_string_append_printf (
        text,
        "hornbeamwall_server_orders_total{outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
        hbw_duty_outcome_name (i), task->outcomes[i]);
}
