#include "hornbeamwall/core/store_era.h"

gboolean
hbw_store_era_observe (HbwStoreEra *era, gint64 number, gint64 age_us, gint64 now_us)
{
  if (number <= 0 || number < era->number)
    return FALSE;
  gint64 since_us = age_us < now_us ? now_us - age_us : G_MININT64;
  gboolean is_newer = number > era->number;
  era->since_us = is_newer ? since_us : MIN (era->since_us, since_us);
  era->number = number;
  return is_newer;
}

gint64
hbw_store_era_age (const HbwStoreEra *era, gint64 now_us)
{
  return era->since_us == G_MININT64 ? HBW_STORE_ERA_SETTLED
                                     : now_us - era->since_us;
}

gboolean
hbw_store_era_is_settled (const HbwStoreEra *era, gint64 at_us)
{
  return era->number == 0
         || hbw_store_era_age (era, at_us) >= HBW_STORE_ERA_SETTLE_US;
}
