#include "hornbeamwall/core/duty/duty_call.h"

void
hbw_duty_call_copy (HbwDutyCall *target, const HbwDutyCall *source)
{
  *target = *source;
  if (target->kind == HBW_DUTY_CALL_USAGE && target->usage.counts != NULL)
    g_bytes_ref (target->usage.counts);
}

void
hbw_duty_call_clear (HbwDutyCall *call)
{
  if (call->kind == HBW_DUTY_CALL_USAGE)
    g_clear_pointer (&call->usage.counts, g_bytes_unref);
}

const char *
hbw_duty_call_kind_name (HbwDutyCallKind kind)
{
  static const char *const names[HBW_DUTY_CALL_COUNT] = { "usage", "order" };
  return kind < HBW_DUTY_CALL_COUNT ? names[kind] : "unknown";
}

const char *
hbw_duty_outcome_name (HbwDutyOutcome outcome)
{
  static const char *const names[HBW_DUTY_OUTCOME_COUNT]
      = { "accepted", "unavailable", "rate_limited",
          "not_sent", "unknown",     "rejected" };
  return outcome < HBW_DUTY_OUTCOME_COUNT ? names[outcome] : "invalid";
}
