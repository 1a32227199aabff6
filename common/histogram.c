#include "hornbeamwall/common/histogram.h"

#include <math.h>

#define SUB_BUCKET_BITS 3

static guint
find_bucket (guint64 value)
{
  if (value < HBW_HISTOGRAM_SUB_BUCKETS)
    return (guint) value;
  guint octave = g_bit_storage (value) - 1 - SUB_BUCKET_BITS;
  guint sub = (guint) (value >> octave) & (HBW_HISTOGRAM_SUB_BUCKETS - 1);
  guint bucket = (octave + 1) * HBW_HISTOGRAM_SUB_BUCKETS + sub;
  return MIN (bucket, HBW_HISTOGRAM_BUCKETS - 1);
}

static gint64
bucket_upper_bound (guint bucket)
{
  if (bucket < HBW_HISTOGRAM_SUB_BUCKETS)
    return bucket;
  guint octave = bucket / HBW_HISTOGRAM_SUB_BUCKETS - 1;
  guint64 sub = bucket % HBW_HISTOGRAM_SUB_BUCKETS + HBW_HISTOGRAM_SUB_BUCKETS;
  return (gint64) (((sub + 1) << octave) - 1);
}

void
hbw_histogram_record (HbwHistogram *histogram, gint64 value_us)
{
  guint64 value = value_us < 0 ? 0 : (guint64) value_us;
  histogram->buckets[find_bucket (value)]++;
  histogram->count++;
  histogram->sum_us += value;
}

gint64
hbw_histogram_quantile (const HbwHistogram *histogram, double quantile)
{
  if (histogram->count == 0)
    return 0;
  guint64 rank = (guint64) ceil (quantile * (double) histogram->count);
  guint64 seen = 0;
  for (guint i = 0; i < HBW_HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= MAX (rank, 1))
        return bucket_upper_bound (i);
    }
  return bucket_upper_bound (HBW_HISTOGRAM_BUCKETS - 1);
}

guint64
hbw_histogram_count_up_to (const HbwHistogram *histogram, gint64 limit_us)
{
  guint64 seen = 0;
  for (guint i = 0; i < HBW_HISTOGRAM_BUCKETS && bucket_upper_bound (i) <= limit_us;
       i++)
    seen += histogram->buckets[i];
  return seen;
}
