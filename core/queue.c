#include "hornbeamwall/core/queue.h"

/* Most requests of one organisation that the filter rejects before the search goes
   on with the next organisation.  Those that are bound to a version count less, as
   one that finds no room says little about the others. */
#define FILTER_CANDIDATES_MAX 8
#define FILTER_BOUND_CANDIDATES 8 /* that count as one */

/* Multiple of the expected service time that must fit before the deadline, because
   output lengths vary and a response after the deadline is wasted. */
#define SERVICE_TIME_MARGIN 1.5

/* A tier with this many flows removes idle ones before it adds another. */
#define FLOWS_CLEANUP_THRESHOLD 256

typedef struct
{
  char organisation[HBW_NAME_MAX];
  double service;                       /* charged tokens divided by weight */
  struct cds_list_head on_time;         /* HbwTicket, by target */
  struct cds_list_head misses_target;   /* HbwTicket, by target */
  struct cds_list_head misses_deadline; /* HbwTicket, by target */
  guint length;
} Flow;

/* What a request is expected to miss if it starts now. */
typedef enum
{
  EXPECTED_ON_TIME,
  EXPECTED_TARGET_MISS,
  EXPECTED_DEADLINE_MISS,
} ExpectedResult;

typedef struct
{
  GHashTable *flows; /* organisation -> Flow */
  GPtrArray *order;  /* Flow, borrowed, in order of first use */
  double service;    /* virtual time: highest service of a flow when selected */
  guint selection_count;
  guint length;
} Tier;

struct HbwQueue
{
  Tier tiers[HBW_TIER_COUNT];
  GHashTable *tickets; /* HbwRequestId -> HbwTicket, borrowed */
  GHashTable *class_lengths;
  struct cds_list_head all;
};

static void
tier_remove_idle_flows (Tier *tier)
{
  for (guint i = tier->order->len; i > 0; i--)
    {
      Flow *flow = g_ptr_array_index (tier->order, i - 1);
      if (flow->length > 0 || flow->service > tier->service)
        continue;
      g_ptr_array_remove_index (tier->order, i - 1);
      g_hash_table_remove (tier->flows, flow->organisation);
    }
}

static Flow *
tier_ensure_flow (Tier *tier, const char *organisation)
{
  Flow *flow = g_hash_table_lookup (tier->flows, organisation);
  if (flow != NULL)
    return flow;
  if (tier->order->len >= FLOWS_CLEANUP_THRESHOLD)
    tier_remove_idle_flows (tier);
  flow = g_new0 (Flow, 1);
  g_strlcpy (flow->organisation, organisation, sizeof flow->organisation);
  flow->service = tier->service;
  CDS_INIT_LIST_HEAD (&flow->on_time);
  CDS_INIT_LIST_HEAD (&flow->misses_target);
  CDS_INIT_LIST_HEAD (&flow->misses_deadline);
  g_hash_table_insert (tier->flows, flow->organisation, flow);
  g_ptr_array_add (tier->order, flow);
  return flow;
}

static gboolean
is_before (const HbwTicket *ticket, const HbwTicket *other)
{
  HbwTier class_tier = ticket->want.spec.class_tier;
  HbwTier other_class_tier = other->want.spec.class_tier;
  if (class_tier != other_class_tier)
    return class_tier < other_class_tier;
  return ticket->target_at_us < other->target_at_us;
}

static void
insert_by_target (struct cds_list_head *list, HbwTicket *ticket)
{
  struct cds_list_head *position = list->prev;
  while (position != list
         && is_before (ticket, cds_list_entry (position, HbwTicket, flow_link)))
    position = position->prev;
  cds_list_add (&ticket->flow_link, position);
}

static gboolean
will_miss_deadline (const HbwTicket *ticket, gint64 now_us)
{
  return ticket->latest_start_us > 0 && now_us > ticket->latest_start_us;
}

static void
flow_move_deadline_misses (Flow *flow, gint64 now_us)
{
  HbwTicket *ticket;
  HbwTicket *next;
  cds_list_for_each_entry_safe (ticket, next, &flow->misses_target, flow_link)
    {
      if (!will_miss_deadline (ticket, now_us))
        continue;
      cds_list_del (&ticket->flow_link);
      insert_by_target (&flow->misses_deadline, ticket);
    }
}

static void
flow_move_target_misses (Flow *flow, gint64 first_token_at_us)
{
  HbwTicket *ticket;
  HbwTicket *next;
  cds_list_for_each_entry_safe (ticket, next, &flow->on_time, flow_link)
    {
      if (ticket->target_at_us >= first_token_at_us)
        continue;
      cds_list_del (&ticket->flow_link);
      ticket->late = TRUE;
      insert_by_target (&flow->misses_target, ticket);
    }
}

static HbwTicket *
list_find_first (struct cds_list_head *list, HbwTier class_tier,
                 HbwTicketFilter filter, void *data)
{
  guint rejected = 0;
  HbwTicket *ticket;
  cds_list_for_each_entry (ticket, list, flow_link)
    {
      if (ticket->want.spec.class_tier != class_tier)
        continue;
      if (filter == NULL || filter (ticket, data))
        return ticket;
      rejected += ticket->want.spec.version_hash != 0 ? 1 : FILTER_BOUND_CANDIDATES;
      if (rejected >= FILTER_CANDIDATES_MAX * FILTER_BOUND_CANDIDATES)
        return NULL;
    }
  return NULL;
}

static struct cds_list_head *
flow_get_list (Flow *flow, ExpectedResult expected_result)
{
  switch (expected_result)
    {
    case EXPECTED_ON_TIME:
      return &flow->on_time;
    case EXPECTED_TARGET_MISS:
      return &flow->misses_target;
    default:
      return &flow->misses_deadline;
    }
}

static HbwTicket *
tier_select_next (Tier *tier, HbwTier class_tier, ExpectedResult expected_result,
                  HbwTicketFilter filter, void *data)
{
  HbwTicket *best = NULL;
  double lowest = 0;
  for (guint i = 0; i < tier->order->len; i++)
    {
      Flow *flow = g_ptr_array_index (tier->order, i);
      if (flow->length == 0 || (best != NULL && flow->service >= lowest))
        continue;
      HbwTicket *ticket = list_find_first (flow_get_list (flow, expected_result),
                                           class_tier, filter, data);
      if (ticket == NULL)
        continue;
      best = ticket;
      lowest = flow->service;
    }
  return best;
}

static void
adjust_class_length (HbwQueue *queue, const char *class_name, int change)
{
  int length
      = GPOINTER_TO_INT (g_hash_table_lookup (queue->class_lengths, class_name));
  g_hash_table_replace (queue->class_lengths, g_strdup (class_name),
                        GINT_TO_POINTER (length + change));
}

HbwQueue *
hbw_queue_create (void)
{
  HbwQueue *queue = g_new0 (HbwQueue, 1);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    {
      queue->tiers[i].flows
          = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
      queue->tiers[i].order = g_ptr_array_new ();
    }
  queue->tickets = g_hash_table_new (hbw_request_id_hash, hbw_request_id_equal);
  queue->class_lengths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  CDS_INIT_LIST_HEAD (&queue->all);
  return queue;
}

void
hbw_queue_destroy (HbwQueue *queue)
{
  HbwTicket *ticket;
  HbwTicket *next;
  cds_list_for_each_entry_safe (ticket, next, &queue->all, arrival_link)
    g_free (ticket);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    {
      g_ptr_array_free (queue->tiers[i].order, TRUE);
      g_hash_table_destroy (queue->tiers[i].flows);
    }
  g_hash_table_destroy (queue->tickets);
  g_hash_table_destroy (queue->class_lengths);
  g_free (queue);
}

HbwTicket *
hbw_queue_add (HbwQueue *queue, const HbwGrantRequest *want, guint64 origin,
               gint64 now_us, gint64 work_us)
{
  HbwTicket *ticket = g_new0 (HbwTicket, 1);
  ticket->want = *want;
  ticket->origin = origin;
  ticket->arrived_us = now_us;
  ticket->last_resent_us = now_us;
  ticket->target_at_us = now_us + want->spec.first_token_target_us;
  if (want->spec.deadline_us > 0)
    {
      ticket->deadline_at_us = now_us + want->spec.deadline_us;
      ticket->latest_start_us
          = MAX (1, ticket->deadline_at_us
                        - (gint64) (SERVICE_TIME_MARGIN * (double) work_us));
    }
  Tier *tier = &queue->tiers[want->spec.tier];
  Flow *flow = tier_ensure_flow (tier, want->spec.organisation);
  if (flow->length == 0)
    flow->service = MAX (flow->service, tier->service);
  insert_by_target (&flow->on_time, ticket);
  cds_list_add_tail (&ticket->arrival_link, &queue->all);
  flow->length++;
  tier->length++;
  adjust_class_length (queue, want->spec.class_name, 1);
  g_hash_table_insert (queue->tickets, &ticket->want.id, ticket);
  return ticket;
}

void
hbw_queue_remove (HbwQueue *queue, HbwTicket *ticket)
{
  const HbwRequestSpec *spec = &ticket->want.spec;
  Tier *tier = &queue->tiers[spec->tier];
  g_hash_table_remove (queue->tickets, &ticket->want.id);
  cds_list_del (&ticket->flow_link);
  cds_list_del (&ticket->arrival_link);
  tier_ensure_flow (tier, spec->organisation)->length--;
  tier->length--;
  adjust_class_length (queue, spec->class_name, -1);
  g_free (ticket);
}

HbwTicket *
hbw_queue_find (HbwQueue *queue, const HbwRequestId *id)
{
  return g_hash_table_lookup (queue->tickets, id);
}

HbwTicket *
hbw_queue_select_next (HbwQueue *queue, HbwTier tier_number, gint64 now_us,
                       gint64 lead_us, HbwTicketFilter filter, void *data)
{
  Tier *tier = &queue->tiers[tier_number];
  if (tier->length == 0)
    return NULL;
  for (guint i = 0; i < tier->order->len; i++)
    {
      Flow *flow = g_ptr_array_index (tier->order, i);
      flow_move_target_misses (flow, now_us + lead_us);
      flow_move_deadline_misses (flow, now_us);
    }
  /* The last class comes first then, too. */
  gboolean late_first = (tier->selection_count + 1) % HBW_QUEUE_LATE_INTERVAL == 0;
  const ExpectedResult order[]
      = { late_first ? EXPECTED_TARGET_MISS : EXPECTED_ON_TIME,
          late_first ? EXPECTED_ON_TIME : EXPECTED_TARGET_MISS,
          EXPECTED_DEADLINE_MISS };
  HbwTicket *ticket = NULL;
  for (HbwTier i = 0; i < HBW_TIER_COUNT && ticket == NULL; i++)
    {
      HbwTier class_tier = late_first ? HBW_TIER_COUNT - 1 - i : i;
      for (gsize k = 0; k < G_N_ELEMENTS (order) && ticket == NULL; k++)
        ticket = tier_select_next (tier, class_tier, order[k], filter, data);
    }
  return ticket;
}

void
hbw_queue_charge (HbwQueue *queue, const HbwTicket *ticket)
{
  const HbwRequestSpec *spec = &ticket->want.spec;
  Tier *tier = &queue->tiers[spec->tier];
  Flow *flow = tier_ensure_flow (tier, spec->organisation);
  tier->selection_count++;
  tier->service = MAX (tier->service, flow->service);
  flow->service += (double) spec->cost_tokens / MAX (spec->weight, 1);
}

void
hbw_queue_correct_charge (HbwQueue *queue, const HbwRequestSpec *spec, guint tokens)
{
  Flow *flow
      = g_hash_table_lookup (queue->tiers[spec->tier].flows, spec->organisation);
  if (flow != NULL)
    flow->service
        += ((double) tokens - (double) spec->cost_tokens) / MAX (spec->weight, 1);
}

guint
hbw_queue_length (const HbwQueue *queue)
{
  return g_hash_table_size (queue->tickets);
}

guint
hbw_queue_tier_length (const HbwQueue *queue, HbwTier tier)
{
  return queue->tiers[tier].length;
}

guint
hbw_queue_class_length (const HbwQueue *queue, const char *class_name)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (queue->class_lengths, class_name));
}

HbwTicket *
hbw_queue_find_youngest_below (HbwQueue *queue, HbwTier tier)
{
  for (int i = HBW_TIER_COUNT - 1; i > tier; i--)
    {
      if (queue->tiers[i].length == 0)
        continue;
      HbwTicket *ticket;
      cds_list_for_each_entry_reverse (ticket, &queue->all, arrival_link)
        {
          if (ticket->want.spec.tier == i)
            return ticket;
        }
    }
  return NULL;
}

void
hbw_queue_foreach (HbwQueue *queue, void (*visit) (HbwTicket *ticket, void *data),
                   void *data)
{
  HbwTicket *ticket;
  HbwTicket *next;
  cds_list_for_each_entry_safe (ticket, next, &queue->all, arrival_link)
    visit (ticket, data);
}
