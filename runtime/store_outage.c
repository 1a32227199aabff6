#include "hornbeamwall/runtime/store_outage.h"

void
hbw_store_outage_record_failure (HbwStoreOutage *outage)
{
  outage->failures++;
}

gboolean
hbw_store_outage_record_response (HbwStoreOutage *outage, gint64 now_us)
{
  gboolean has_ended = outage->failures > 0;
  if (has_ended)
    {
      outage->end_us = now_us;
      outage->duration_us
          = outage->last_response_us > 0 ? now_us - outage->last_response_us : 0;
      outage->count++;
    }
  outage->failures = 0;
  outage->last_response_us = now_us;
  return has_ended;
}
