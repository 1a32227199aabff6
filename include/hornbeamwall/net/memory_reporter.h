/*
 * memory_reporter - passes on how much memory is held for callers
 *
 * The control thread has it among its metrics.  A line is logged while something is
 * given up for want of memory.
 */
#ifndef HORNBEAMWALL_NET_MEMORY_REPORTER_H
#define HORNBEAMWALL_NET_MEMORY_REPORTER_H

#include "hornbeamwall/net/memory_budget.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwMemoryReporter HbwMemoryReporter;

HbwMemoryReporter *hbw_memory_reporter_create (HbwControl *control);
void hbw_memory_reporter_destroy (HbwMemoryReporter *reporter);

/* Reports on BUDGET if it has a limit and has changed; at most once a second. */
void hbw_memory_reporter_update (HbwMemoryReporter *reporter,
                                 const HbwMemoryBudget *budget, gint64 now_us);

#endif
