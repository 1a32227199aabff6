#include "hornbeamwall/net/memory_budget.h"

#include <malloc.h>

/* Allocations of this many bytes are returned to the system when they are freed: the
   C library would raise the threshold after the first large body, and keep the
   memory of those that follow. */
#define SEPARATE_ALLOCATION_MIN (256 * 1024)

/* Bytes from which a request is large. */
#define LARGE_REQUEST_MIN ((gsize) 64 * 1024)

/* One part in this many of the limit is for small requests only. */
#define SMALL_SHARE_DIVISOR 8

/* Connections buffer little when one part in this many of the limit is used. */
#define TIGHT_DIVISOR 2

struct HbwMemoryBudget
{
  struct cds_list_head holders[HBW_MEMORY_COUNT]; /* those of a use since longest
                                                     first */
  gsize bytes[HBW_MEMORY_COUNT];
  HbwMemoryReport report;
};

static gboolean
is_over (const HbwMemoryBudget *budget)
{
  return budget->report.limit_bytes > 0
         && budget->report.used_bytes > budget->report.limit_bytes;
}

static void
set_bytes (HbwMemoryHolder *holder, gsize bytes)
{
  HbwMemoryBudget *budget = holder->budget;
  budget->bytes[holder->use] += bytes - holder->bytes;
  budget->report.used_bytes += bytes - holder->bytes;
  holder->bytes = bytes;
}

static void
set_use (HbwMemoryHolder *holder, HbwMemoryUse use)
{
  HbwMemoryBudget *budget = holder->budget;
  if (use == holder->use)
    return;
  budget->bytes[holder->use] -= holder->bytes;
  budget->bytes[use] += holder->bytes;
  holder->use = use;
  cds_list_del (&holder->link);
  cds_list_add_tail (&holder->link, &budget->holders[use]);
}

static HbwMemoryHolder *
find_largest (const HbwMemoryBudget *budget, HbwMemoryUse use)
{
  HbwMemoryHolder *holder;
  HbwMemoryHolder *largest = NULL;
  cds_list_for_each_entry (holder, &budget->holders[use], link)
    if (largest == NULL || holder->bytes > largest->bytes)
      largest = holder;
  return largest;
}

/* Returns the holder to release first; there is one. */
static HbwMemoryHolder *
find_first (const HbwMemoryBudget *budget, HbwMemoryUse use)
{
  if (use == HBW_MEMORY_BODY || use == HBW_MEMORY_BACKLOG)
    return find_largest (budget, use);
  return cds_list_first_entry (&budget->holders[use], HbwMemoryHolder, link);
}

HbwMemoryBudget *
hbw_memory_budget_create (gsize limit)
{
  HbwMemoryBudget *budget = g_new0 (HbwMemoryBudget, 1);
  budget->report.limit_bytes = limit;
  for (guint i = 0; i < HBW_MEMORY_COUNT; i++)
    CDS_INIT_LIST_HEAD (&budget->holders[i]);
#ifdef __GLIBC__
  if (limit > 0)
    mallopt (M_MMAP_THRESHOLD, SEPARATE_ALLOCATION_MIN);
#endif
  return budget;
}

void
hbw_memory_budget_destroy (HbwMemoryBudget *budget)
{
  g_free (budget);
}

void
hbw_memory_holder_init (HbwMemoryHolder *holder, HbwMemoryBudget *budget,
                        const HbwMemoryHolderClass *class)
{
  holder->class = class;
  holder->budget = budget;
  holder->use = HBW_MEMORY_KEPT;
  holder->bytes = 0;
  cds_list_add_tail (&holder->link, &budget->holders[HBW_MEMORY_KEPT]);
}

void
hbw_memory_holder_set (HbwMemoryHolder *holder, HbwMemoryUse use, gsize bytes)
{
  set_use (holder, use);
  set_bytes (holder, bytes);
}

void
hbw_memory_holder_clear (HbwMemoryHolder *holder)
{
  set_bytes (holder, 0);
  cds_list_del (&holder->link);
}

void
hbw_memory_budget_make_room (HbwMemoryBudget *budget)
{
  for (HbwMemoryUse use = HBW_MEMORY_IDLE; use < HBW_MEMORY_KEPT; use++)
    while (is_over (budget) && !cds_list_empty (&budget->holders[use]))
      {
        HbwMemoryHolder *holder = find_first (budget, use);
        budget->report.released[use]++;
        set_use (holder, HBW_MEMORY_KEPT);
        holder->class->release (holder, use);
      }
}

gboolean
hbw_memory_budget_admit (HbwMemoryBudget *budget, gsize bytes)
{
  gsize limit = budget->report.limit_bytes;
  gsize share
      = bytes >= LARGE_REQUEST_MIN ? limit - limit / SMALL_SHARE_DIVISOR : limit;
  gboolean admitted = limit == 0 || budget->bytes[HBW_MEMORY_KEPT] + bytes <= share;
  budget->report.refused += admitted ? 0 : 1;
  return admitted;
}

gboolean
hbw_memory_budget_is_tight (const HbwMemoryBudget *budget)
{
  gsize limit = budget->report.limit_bytes;
  return limit > 0 && budget->report.used_bytes > limit / TIGHT_DIVISOR;
}

gboolean
hbw_memory_budget_has_limit (const HbwMemoryBudget *budget)
{
  return budget->report.limit_bytes > 0;
}

HbwMemoryReport
hbw_memory_budget_report (const HbwMemoryBudget *budget)
{
  return budget->report;
}
