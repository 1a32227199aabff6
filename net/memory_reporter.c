#include "hornbeamwall/net/memory_reporter.h"

#include "hornbeamwall/common/log.h"

#include <string.h>

#define REPORT_INTERVAL_US (1 * HBW_US_PER_S)

struct HbwMemoryReporter
{
  HbwControl *control;
  HbwCallerMemory reported;
  gint64 reported_us;
};

static HbwCallerMemory
read_budget (const HbwMemoryBudget *budget)
{
  const HbwMemoryReport report = hbw_memory_budget_report (budget);
  const HbwCallerMemory memory
      = { .used_bytes = report.used_bytes,
          .limit_bytes = report.limit_bytes,
          .idle_closed = report.released[HBW_MEMORY_IDLE],
          .heads_closed = report.released[HBW_MEMORY_HEAD],
          .bodies_refused = report.released[HBW_MEMORY_BODY],
          .backlogs_closed = report.released[HBW_MEMORY_BACKLOG],
          .requests_refused = report.refused };
  return memory;
}

static guint64
count_given_up (const HbwCallerMemory *memory)
{
  return memory->idle_closed + memory->heads_closed + memory->bodies_refused
         + memory->backlogs_closed + memory->requests_refused;
}

static void
log_used_up (const HbwCallerMemory *memory)
{
  char text[512];
  g_snprintf (text, sizeof text,
              "limit=memory_mb used_bytes=%" G_GUINT64_FORMAT
              " limit_bytes=%" G_GUINT64_FORMAT " idle_closed=%" G_GUINT64_FORMAT
              " heads_closed=%" G_GUINT64_FORMAT " bodies_refused=%" G_GUINT64_FORMAT
              " backlogs_closed=%" G_GUINT64_FORMAT
              " requests_refused=%" G_GUINT64_FORMAT,
              memory->used_bytes, memory->limit_bytes, memory->idle_closed,
              memory->heads_closed, memory->bodies_refused, memory->backlogs_closed,
              memory->requests_refused);
  hbw_log_write (HBW_LOG_INTERNAL_LIMIT, text);
}

HbwMemoryReporter *
hbw_memory_reporter_create (HbwControl *control)
{
  HbwMemoryReporter *reporter = g_new0 (HbwMemoryReporter, 1);
  reporter->control = control;
  return reporter;
}

void
hbw_memory_reporter_destroy (HbwMemoryReporter *reporter)
{
  g_free (reporter);
}

void
hbw_memory_reporter_update (HbwMemoryReporter *reporter,
                            const HbwMemoryBudget *budget, gint64 now_us)
{
  if (!hbw_memory_budget_has_limit (budget)
      || now_us - reporter->reported_us < REPORT_INTERVAL_US)
    return;
  const HbwCallerMemory memory = read_budget (budget);
  if (memcmp (&memory, &reporter->reported, sizeof memory) == 0)
    return;
  if (count_given_up (&memory) > count_given_up (&reporter->reported))
    log_used_up (&memory);
  reporter->reported = memory;
  reporter->reported_us = now_us;
  HbwEvent event = { .kind = HBW_EVENT_CALLER_MEMORY };
  event.caller_memory = memory;
  hbw_control_submit (reporter->control, &event, NULL);
}
