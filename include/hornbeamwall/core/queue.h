/*
 * queue - the requests that wait in one shard
 *
 * Tiers have strict priority, apart from the slots guaranteed to each lower tier
 * (HBW_TIER_FLOOR_PERCENT).  Within a tier, the tier of the class comes first, for
 * organisations that have a tier of their own.  Then come requests that can still
 * meet their target for the first token, then those that cannot, and last those that
 * are expected to miss their deadline.  Among these, the organisation with the least
 * service for its weight comes first (weighted fair queueing), then the earliest
 * target.  One in HBW_QUEUE_LATE_INTERVAL selections of a tier prefers requests that
 * miss their target, and begins with the last class, so that these make progress
 * during a long burst.
 *
 * A ticket represents one waiting request.  The queue owns its tickets.
 */
#ifndef HORNBEAMWALL_CORE_QUEUE_H
#define HORNBEAMWALL_CORE_QUEUE_H

#include "hornbeamwall/core/message.h"

#include <urcu/list.h>

#define HBW_QUEUE_LATE_INTERVAL 8

typedef struct HbwQueue HbwQueue;

typedef struct
{
  struct cds_list_head flow_link;    /* in the flow of its organisation */
  struct cds_list_head arrival_link; /* in the whole queue, by arrival */
  HbwGrantRequest want;
  guint64 origin; /* identity of the instance that received it */
  gint64 arrived_us;
  gint64 last_resent_us; /* last time that ORIGIN sent the request */
  gint64 target_at_us;
  gint64 deadline_at_us;  /* 0 is none */
  gint64 latest_start_us; /* a later start probably misses the deadline; 0 is none */
  gboolean late;          /* expected to miss its target */
  guint64 awaited_server; /* hash of the full server that it waits for; 0: none */
  gint64 next_comparison_us; /* with all servers */
} HbwTicket;

/* Returns whether TICKET may be selected now.  May record what it waits for. */
typedef gboolean (*HbwTicketFilter) (HbwTicket *ticket, void *data);

HbwQueue *hbw_queue_create (void);
void hbw_queue_destroy (HbwQueue *queue);

/* Adds a request that arrived at NOW_US and is expected to take WORK_US from its
   grant to its last token.  Returns its ticket (borrowed). */
HbwTicket *hbw_queue_add (HbwQueue *queue, const HbwGrantRequest *want,
                          guint64 origin, gint64 now_us, gint64 work_us);

/* Removes TICKET and frees it. */
void hbw_queue_remove (HbwQueue *queue, HbwTicket *ticket);

/* Returns the ticket of a request, or NULL. */
HbwTicket *hbw_queue_find (HbwQueue *queue, const HbwRequestId *id);

/* Returns the next request of TIER that FILTER accepts, or NULL; that is the last
   one that FILTER accepted.  LEAD_US is the expected time to the first token; a
   request whose first token would come after its target counts as late. */
HbwTicket *hbw_queue_select_next (HbwQueue *queue, HbwTier tier, gint64 now_us,
                                  gint64 lead_us, HbwTicketFilter filter,
                                  void *data);

/* Charges the expected cost of TICKET to its organisation when it is granted. */
void hbw_queue_charge (HbwQueue *queue, const HbwTicket *ticket);

/* Corrects the charge of a request of SPEC that took TOKENS instead of the expected
   cost. */
void hbw_queue_correct_charge (HbwQueue *queue, const HbwRequestSpec *spec,
                               guint tokens);

guint hbw_queue_length (const HbwQueue *queue);
guint hbw_queue_tier_length (const HbwQueue *queue, HbwTier tier);
guint hbw_queue_class_length (const HbwQueue *queue, const char *class_name);

/* Returns the youngest request of the lowest tier below TIER, or NULL. */
HbwTicket *hbw_queue_find_youngest_below (HbwQueue *queue, HbwTier tier);

/* Calls VISIT on every ticket in order of arrival; VISIT may remove that ticket. */
void hbw_queue_foreach (HbwQueue *queue,
                        void (*visit) (HbwTicket *ticket, void *data), void *data);

#endif
