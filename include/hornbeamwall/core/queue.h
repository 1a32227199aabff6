/*
 * queue - the requests that wait in one shard
 *
 * Tiers are strict.  Within a tier, requests that can still meet their target
 * come before those that cannot, and last those whose answer would probably come
 * after their deadline; then the organisation that has had the least
 * service for its weight; then the earliest target.  One choice in
 * HBW_QUEUE_LATE_EVERY of a tier goes to its late requests first, so that they
 * progress under a lasting burst.
 *
 * The queue owns its tickets.
 */
#ifndef HORNBEAMWALL_CORE_QUEUE_H
#define HORNBEAMWALL_CORE_QUEUE_H

#include "hornbeamwall/core/message.h"

#include <urcu/list.h>

/* Every so many choices in a tier, a late request is taken first. */
#define HBW_QUEUE_LATE_EVERY 8

typedef struct HbwQueue HbwQueue;

typedef struct
{
  struct cds_list_head in_flow;  /* place among its organisation's requests */
  struct cds_list_head in_order; /* place among all, by arrival */
  HbwWant want;
  guint64 origin; /* identity of the instance that holds the caller */
  gint64 arrived_us;
  gint64 restated_us; /* last time the origin spoke of it */
  gint64 target_at_us;
  gint64 deadline_at_us; /* 0 is none */
  gint64 hopeless_at_us; /* from here the answer is expected too late; 0 is never */
  gboolean late;
} HbwTicket;

/* Returns whether TICKET may be taken now. */
typedef gboolean (*HbwTicketFilter) (const HbwTicket *ticket, void *data);

HbwQueue *hbw_queue_create (void);
void hbw_queue_destroy (HbwQueue *queue);

/* Adds a request that arrived at NOW_US and is expected to take WORK_US once it is
   granted; returns its ticket. */
HbwTicket *hbw_queue_add (HbwQueue *queue, const HbwWant *want, guint64 origin,
                          gint64 now_us, gint64 work_us);

/* Removes TICKET and frees it. */
void hbw_queue_remove (HbwQueue *queue, HbwTicket *ticket);

/* Returns the ticket of a request, or NULL. */
HbwTicket *hbw_queue_find (HbwQueue *queue, const HbwRequestId *id);

/* Returns the request of TIER that comes next among those FILTER lets through, or
   NULL.  A request whose first token would come LEAD_US after now and miss its
   target counts as late. */
HbwTicket *hbw_queue_next (HbwQueue *queue, HbwTier tier, gint64 now_us,
                           gint64 lead_us, HbwTicketFilter filter, void *data);

/* Notes that TICKET is about to be served: charges its organisation. */
void hbw_queue_charge (HbwQueue *queue, const HbwTicket *ticket);

/* Corrects the charge of a request of SPEC that took TOKENS in truth. */
void hbw_queue_correct (HbwQueue *queue, const HbwRequestSpec *spec, guint tokens);

guint hbw_queue_length (const HbwQueue *queue);
guint hbw_queue_tier_length (const HbwQueue *queue, HbwTier tier);
guint hbw_queue_class_length (const HbwQueue *queue, const char *class_name);

/* Returns the youngest request of the lowest tier below TIER, or NULL. */
HbwTicket *hbw_queue_youngest_below (HbwQueue *queue, HbwTier tier);

/* Calls VISIT on every ticket by arrival; VISIT may remove the one it is given. */
void hbw_queue_foreach (HbwQueue *queue,
                        void (*visit) (HbwTicket *ticket, void *data), void *data);

#endif
