/*
 * histogram - log-linear histogram of durations
 *
 * Each power of two is split into HBW_HISTOGRAM_SUB_BUCKETS equal buckets, so the
 * relative error of a quantile is at most 1/8.  Values are microseconds and are
 * clamped to the range of the histogram.  Not thread-safe.
 */
#ifndef HORNBEAMWALL_COMMON_HISTOGRAM_H
#define HORNBEAMWALL_COMMON_HISTOGRAM_H

#include <glib.h>

#define HBW_HISTOGRAM_SUB_BUCKETS 8
#define HBW_HISTOGRAM_OCTAVES 32
#define HBW_HISTOGRAM_BUCKETS (HBW_HISTOGRAM_SUB_BUCKETS * HBW_HISTOGRAM_OCTAVES)

typedef struct
{
  guint32 buckets[HBW_HISTOGRAM_BUCKETS];
  guint64 count;
  guint64 sum_us;
} HbwHistogram;

/* Records one value; a negative value counts as zero. */
void hbw_histogram_record (HbwHistogram *histogram, gint64 value_us);

/* Returns the upper bound, in microseconds, of the bucket that holds the QUANTILE (0
   to 1) of the values, or 0 if there are none. */
gint64 hbw_histogram_quantile (const HbwHistogram *histogram, double quantile);

/* Returns the number of values up to LIMIT_US, to the precision of a bucket. */
guint64 hbw_histogram_count_up_to (const HbwHistogram *histogram, gint64 limit_us);

#endif
