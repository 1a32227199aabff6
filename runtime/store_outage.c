#include "hornbeamwall/runtime/store_outage.h"

void
hbw_store_outage_record_failure (HbwStoreOutage *outage)
{
  outage->failures++;
}

static void
record_end (HbwStoreOutage *outage, gint64 duration_us, gint64 now_us)
{
  outage->end_us = now_us;
  outage->duration_us = duration_us;
  outage->count++;
}

gboolean
hbw_store_outage_is_possible (const HbwStoreOutage *outage, gint64 now_us)
{
  return outage->failures > 0 && outage->last_response_us > 0
         && now_us - outage->last_response_us >= outage->min_us;
}

gboolean
hbw_store_outage_record_response (HbwStoreOutage *outage, gint64 now_us)
{
  gboolean has_ended = hbw_store_outage_is_possible (outage, now_us);
  if (has_ended)
    record_end (outage, now_us - outage->last_response_us, now_us);
  outage->failures = 0;
  outage->last_response_us = now_us;
  return has_ended;
}

void
hbw_store_outage_record_loss (HbwStoreOutage *outage, gint64 now_us)
{
  record_end (outage, 0, now_us);
}
