/*
 * memory_budget - memory that is held for callers and servers
 *
 * One account for connections, heads, bodies, responses that are not sent yet and
 * tunnels, by the bytes that each occupies.  Each owner of such memory embeds a
 * holder and keeps it up to date.  When more is held than the limit, what is
 * cheapest to lose is released first, in the order of HbwMemoryUse.  Without a
 * limit, the account is kept and nothing is released or refused.
 *
 * All functions must be called on the thread of the connections.
 */
#ifndef HORNBEAMWALL_NET_MEMORY_BUDGET_H
#define HORNBEAMWALL_NET_MEMORY_BUDGET_H

#include <glib.h>
#include <urcu/list.h>

/* What a holder's memory is used for, in the order in which it is released. */
typedef enum
{
  HBW_MEMORY_IDLE,    /* connections without a request; the longest idle first */
  HBW_MEMORY_HEAD,    /* incomplete heads; the oldest first */
  HBW_MEMORY_BODY,    /* incomplete bodies; the largest first */
  HBW_MEMORY_BACKLOG, /* bytes that a caller does not take, or has sent too early;
                         the largest first */
  HBW_MEMORY_KEPT,    /* never released: requests in progress */
  HBW_MEMORY_COUNT,
} HbwMemoryUse;

typedef struct HbwMemoryBudget HbwMemoryBudget;
typedef struct HbwMemoryHolder HbwMemoryHolder;
typedef struct
{
  /* Frees the memory that was held for USE; may destroy the owner.  The holder
     counts as HBW_MEMORY_KEPT meanwhile. */
  void (*release) (HbwMemoryHolder *holder, HbwMemoryUse use);
} HbwMemoryHolderClass;

/* Embedded in the owner. */
struct HbwMemoryHolder
{
  const HbwMemoryHolderClass *class;
  HbwMemoryBudget *budget;
  struct cds_list_head link;
  HbwMemoryUse use;
  gsize bytes;
};

/* Memory in use and its limit, and counts since the start. */
typedef struct
{
  gsize used_bytes;
  gsize limit_bytes;
  guint64 released[HBW_MEMORY_COUNT]; /* holders, by use */
  guint64 refused;                    /* requests */
} HbwMemoryReport;

/* Creates a budget of LIMIT bytes; 0 is no limit.  With one, large allocations of
   the process are returned to the system when they are freed. */
HbwMemoryBudget *hbw_memory_budget_create (gsize limit);
void hbw_memory_budget_destroy (HbwMemoryBudget *budget);

/* Adds HOLDER, with no bytes yet, to the account. */
void hbw_memory_holder_init (HbwMemoryHolder *holder, HbwMemoryBudget *budget,
                             const HbwMemoryHolderClass *class);

/* Sets what HOLDER holds and for what. */
void hbw_memory_holder_set (HbwMemoryHolder *holder, HbwMemoryUse use, gsize bytes);

/* Removes HOLDER from the account. */
void hbw_memory_holder_clear (HbwMemoryHolder *holder);

/* Releases what is cheapest to lose until the limit is kept, or nothing is left that
   can be released.  Must not be called while an owner handles its own bytes. */
void hbw_memory_budget_make_room (HbwMemoryBudget *budget);

/* Returns whether a request that will hold BYTES may go on beside those in progress;
   counts it as refused if not.  Large requests may use less than all, so that there
   is room for small ones. */
gboolean hbw_memory_budget_admit (HbwMemoryBudget *budget, gsize bytes);

/* Returns whether so much is held that each connection should buffer little. */
gboolean hbw_memory_budget_is_tight (const HbwMemoryBudget *budget);

/* Returns whether a limit is set. */
gboolean hbw_memory_budget_has_limit (const HbwMemoryBudget *budget);

HbwMemoryReport hbw_memory_budget_report (const HbwMemoryBudget *budget);

#endif
