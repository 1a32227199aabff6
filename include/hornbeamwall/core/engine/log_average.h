/*
 * log_average - moving average and variance of the binary logarithms of samples
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_LOG_AVERAGE_H
#define HORNBEAMWALL_CORE_ENGINE_LOG_AVERAGE_H

#include <glib.h>

/* All zero: no samples. */
typedef struct
{
  double mean;
  double variance;
  guint count;
} HbwLogAverage;

/* Adds SAMPLE, a binary logarithm, with WEIGHT; the first samples have equal ones.
 */
void hbw_log_average_add (HbwLogAverage *average, double sample, double weight);

#endif
