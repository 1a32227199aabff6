#include "hornbeamwall/core/engine/log_average.h"

void
hbw_log_average_add (HbwLogAverage *average, double sample, double weight)
{
  average->count = MIN (average->count + 1, G_MAXUINT16);
  double share = MAX (weight, 1.0 / average->count);
  double difference = sample - average->mean;
  average->mean += share * difference;
  average->variance
      = (1.0 - share) * (average->variance + share * difference * difference);
}
