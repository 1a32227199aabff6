/*
 * permit_bucket - gives out permits at a rate, to the instances that ask in turn
 */
#ifndef HORNBEAMWALL_CORE_PERMIT_BUCKET_H
#define HORNBEAMWALL_CORE_PERMIT_BUCKET_H

#include <glib.h>

/* Instances that may wait for permits at once. */
#define HBW_PERMIT_ASKERS_MAX 512

typedef struct HbwPermitBucket HbwPermitBucket;

/* Creates a bucket with one permit. */
HbwPermitBucket *hbw_permit_bucket_create (gint64 now_us);
void hbw_permit_bucket_destroy (HbwPermitBucket *bucket);

/* Sets how many permits INSTANCE wants; replaces what it asked for before. */
void hbw_permit_bucket_ask (HbwPermitBucket *bucket, guint64 instance, guint count,
                            gint64 now_us);

/* Adds the permits that RATE, per second, has yielded since the last call.  Calls
   GIVE for each instance that gets some. */
void hbw_permit_bucket_run (HbwPermitBucket *bucket, double rate, gint64 now_us,
                            void (*give) (guint64 instance, guint count, void *data),
                            void *data);

#endif
