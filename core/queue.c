#include "hornbeamwall/core/queue.h"

/* How many requests of one organisation are looked at when the first ones are held
   back by the filter. */
#define FILTER_DEPTH 8

/* Times the expected work that must fit before the deadline; lengths vary, and an
   answer that comes too late is wasted. */
#define HOPE_MARGIN 1.5

/* An organisation's flow that has been empty is forgotten when its tier holds more
   flows than this. */
#define IDLE_FLOWS_MAX 256

typedef struct
{
  char organisation[HBW_NAME_MAX];
  double service;                /* charged tokens over weight */
  struct cds_list_head in_time;  /* HbwTicket, by target */
  struct cds_list_head late;     /* HbwTicket, by target */
  struct cds_list_head hopeless; /* HbwTicket, by target */
  guint length;
} Flow;

/* What may still come of a request. */
typedef enum
{
  HOPE_IN_TIME,
  HOPE_LATE,
  HOPE_NONE,
} Hope;

typedef struct
{
  GHashTable *flows; /* organisation -> Flow */
  GPtrArray *order;  /* Flow, borrowed, in order of first use */
  double service;    /* service of the flow that was chosen last */
  guint choices;
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
tier_forget_idle (Tier *tier)
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
tier_flow (Tier *tier, const char *organisation)
{
  Flow *flow = g_hash_table_lookup (tier->flows, organisation);
  if (flow != NULL)
    return flow;
  if (tier->order->len >= IDLE_FLOWS_MAX)
    tier_forget_idle (tier);
  flow = g_new0 (Flow, 1);
  g_strlcpy (flow->organisation, organisation, sizeof flow->organisation);
  flow->service = tier->service;
  CDS_INIT_LIST_HEAD (&flow->in_time);
  CDS_INIT_LIST_HEAD (&flow->late);
  CDS_INIT_LIST_HEAD (&flow->hopeless);
  g_hash_table_insert (tier->flows, flow->organisation, flow);
  g_ptr_array_add (tier->order, flow);
  return flow;
}

static void
insert_by_target (struct cds_list_head *list, HbwTicket *ticket)
{
  struct cds_list_head *at = list->prev;
  while (at != list
         && cds_list_entry (at, HbwTicket, in_flow)->target_at_us
                > ticket->target_at_us)
    at = at->prev;
  cds_list_add (&ticket->in_flow, at);
}

static gboolean
is_hopeless (const HbwTicket *ticket, gint64 now_us)
{
  return ticket->hopeless_at_us > 0 && now_us > ticket->hopeless_at_us;
}

static void
flow_drop_hope (Flow *flow, gint64 now_us)
{
  while (!cds_list_empty (&flow->late))
    {
      HbwTicket *head = cds_list_first_entry (&flow->late, HbwTicket, in_flow);
      if (!is_hopeless (head, now_us))
        return;
      cds_list_del (&head->in_flow);
      insert_by_target (&flow->hopeless, head);
    }
}

static void
flow_age (Flow *flow, gint64 due_us)
{
  while (!cds_list_empty (&flow->in_time))
    {
      HbwTicket *head = cds_list_first_entry (&flow->in_time, HbwTicket, in_flow);
      if (head->target_at_us >= due_us)
        return;
      cds_list_del (&head->in_flow);
      head->late = TRUE;
      insert_by_target (&flow->late, head);
    }
}

static HbwTicket *
list_first (struct cds_list_head *list, HbwTicketFilter filter, void *data)
{
  guint seen = 0;
  HbwTicket *ticket;
  cds_list_for_each_entry (ticket, list, in_flow)
    {
      if (filter == NULL || filter (ticket, data))
        return ticket;
      if (++seen >= FILTER_DEPTH)
        return NULL;
    }
  return NULL;
}

static struct cds_list_head *
flow_list (Flow *flow, Hope hope)
{
  switch (hope)
    {
    case HOPE_IN_TIME:
      return &flow->in_time;
    case HOPE_LATE:
      return &flow->late;
    default:
      return &flow->hopeless;
    }
}

static HbwTicket *
tier_next (Tier *tier, Hope hope, HbwTicketFilter filter, void *data)
{
  HbwTicket *best = NULL;
  double least = 0;
  for (guint i = 0; i < tier->order->len; i++)
    {
      Flow *flow = g_ptr_array_index (tier->order, i);
      if (flow->length == 0 || (best != NULL && flow->service >= least))
        continue;
      HbwTicket *ticket = list_first (flow_list (flow, hope), filter, data);
      if (ticket == NULL)
        continue;
      best = ticket;
      least = flow->service;
    }
  return best;
}

static void
count_class (HbwQueue *queue, const char *class_name, int step)
{
  int length
      = GPOINTER_TO_INT (g_hash_table_lookup (queue->class_lengths, class_name));
  g_hash_table_replace (queue->class_lengths, g_strdup (class_name),
                        GINT_TO_POINTER (length + step));
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
  cds_list_for_each_entry_safe (ticket, next, &queue->all, in_order)
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
hbw_queue_add (HbwQueue *queue, const HbwWant *want, guint64 origin, gint64 now_us,
               gint64 work_us)
{
  HbwTicket *ticket = g_new0 (HbwTicket, 1);
  ticket->want = *want;
  ticket->origin = origin;
  ticket->arrived_us = now_us;
  ticket->restated_us = now_us;
  ticket->target_at_us = now_us + want->spec.target_us;
  if (want->spec.deadline_us > 0)
    {
      ticket->deadline_at_us = now_us + want->spec.deadline_us;
      ticket->hopeless_at_us = MAX (
          1, ticket->deadline_at_us - (gint64) (HOPE_MARGIN * (double) work_us));
    }
  Tier *tier = &queue->tiers[want->spec.tier];
  Flow *flow = tier_flow (tier, want->spec.organisation);
  if (flow->length == 0)
    flow->service = MAX (flow->service, tier->service);
  insert_by_target (&flow->in_time, ticket);
  cds_list_add_tail (&ticket->in_order, &queue->all);
  flow->length++;
  tier->length++;
  count_class (queue, want->spec.class_name, 1);
  g_hash_table_insert (queue->tickets, &ticket->want.id, ticket);
  return ticket;
}

void
hbw_queue_remove (HbwQueue *queue, HbwTicket *ticket)
{
  const HbwRequestSpec *spec = &ticket->want.spec;
  Tier *tier = &queue->tiers[spec->tier];
  g_hash_table_remove (queue->tickets, &ticket->want.id);
  cds_list_del (&ticket->in_flow);
  cds_list_del (&ticket->in_order);
  tier_flow (tier, spec->organisation)->length--;
  tier->length--;
  count_class (queue, spec->class_name, -1);
  g_free (ticket);
}

HbwTicket *
hbw_queue_find (HbwQueue *queue, const HbwRequestId *id)
{
  return g_hash_table_lookup (queue->tickets, id);
}

HbwTicket *
hbw_queue_next (HbwQueue *queue, HbwTier tier_number, gint64 now_us, gint64 lead_us,
                HbwTicketFilter filter, void *data)
{
  Tier *tier = &queue->tiers[tier_number];
  if (tier->length == 0)
    return NULL;
  for (guint i = 0; i < tier->order->len; i++)
    {
      Flow *flow = g_ptr_array_index (tier->order, i);
      flow_age (flow, now_us + lead_us);
      flow_drop_hope (flow, now_us);
    }
  gboolean late_first = (tier->choices + 1) % HBW_QUEUE_LATE_EVERY == 0;
  const Hope order[] = { late_first ? HOPE_LATE : HOPE_IN_TIME,
                         late_first ? HOPE_IN_TIME : HOPE_LATE, HOPE_NONE };
  HbwTicket *ticket = NULL;
  for (gsize i = 0; i < G_N_ELEMENTS (order) && ticket == NULL; i++)
    ticket = tier_next (tier, order[i], filter, data);
  return ticket;
}

void
hbw_queue_charge (HbwQueue *queue, const HbwTicket *ticket)
{
  const HbwRequestSpec *spec = &ticket->want.spec;
  Tier *tier = &queue->tiers[spec->tier];
  Flow *flow = tier_flow (tier, spec->organisation);
  tier->choices++;
  tier->service = MAX (tier->service, flow->service);
  flow->service += (double) spec->cost_tokens / MAX (spec->weight, 1);
}

void
hbw_queue_correct (HbwQueue *queue, const HbwRequestSpec *spec, guint tokens)
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
hbw_queue_youngest_below (HbwQueue *queue, HbwTier tier)
{
  for (int i = HBW_TIER_COUNT - 1; i > tier; i--)
    {
      if (queue->tiers[i].length == 0)
        continue;
      HbwTicket *ticket;
      cds_list_for_each_entry_reverse (ticket, &queue->all, in_order)
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
  cds_list_for_each_entry_safe (ticket, next, &queue->all, in_order)
    visit (ticket, data);
}
