#include "hornbeamwall/core/capacity/reading_speed.h"

#include "hornbeamwall/common/clock.h"

#include <math.h>

/* Factor on the weights of all samples with each new one. */
#define WEIGHT_DECAY 0.99

/* Fewer samples, or a smaller standard deviation of their lengths relative to the
   mean, say nothing of the slope. */
#define SLOPE_WEIGHT_MIN 20.0
#define SLOPE_DEVIATION_MIN 0.2

/* The speed is at most this multiple of the one with the time without tokens. */
#define SLOPE_FACTOR_MAX 4.0

void
hbw_reading_speed_record (HbwReadingSpeed *speed, double tokens, double time_us)
{
  speed->weight = speed->weight * WEIGHT_DECAY + 1;
  speed->tokens = speed->tokens * WEIGHT_DECAY + tokens;
  speed->time_us = speed->time_us * WEIGHT_DECAY + time_us;
  speed->tokens_squared = speed->tokens_squared * WEIGHT_DECAY + tokens * tokens;
  speed->tokens_time = speed->tokens_time * WEIGHT_DECAY + tokens * time_us;
}

/* Returns the microseconds per token by the regression, 0 if the samples do not
   allow one. */
static double
find_slope (const HbwReadingSpeed *speed)
{
  double mean = speed->tokens / speed->weight;
  double variance = speed->tokens_squared / speed->weight - mean * mean;
  if (speed->weight < SLOPE_WEIGHT_MIN
      || variance < SLOPE_DEVIATION_MIN * SLOPE_DEVIATION_MIN * mean * mean)
    return 0;
  double covariance
      = speed->tokens_time / speed->weight - mean * speed->time_us / speed->weight;
  return covariance / variance;
}

double
hbw_reading_speed_tokens_per_s (const HbwReadingSpeed *speed)
{
  if (speed->time_us <= 0)
    return 0;
  double lowest = speed->tokens * HBW_US_PER_S / speed->time_us;
  double slope = find_slope (speed);
  if (slope <= 0)
    return lowest;
  return CLAMP (HBW_US_PER_S / slope, lowest, lowest * SLOPE_FACTOR_MAX);
}
