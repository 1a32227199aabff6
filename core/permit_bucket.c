#include "hornbeamwall/core/permit_bucket.h"

#include "hornbeamwall/common/clock.h"

/* Permits that are saved up while nobody asks, besides one, in seconds of the rate.
 */
#define SAVED_SECONDS 0.25

/* An instance that still wants permits asks again before this time has passed. */
#define ASK_TTL_US (1 * HBW_US_PER_S)

typedef struct
{
  guint64 instance;
  guint wanted;
  guint given; /* in the current run */
  gint64 asked_us;
} Asker;

struct HbwPermitBucket
{
  double level;
  gint64 filled_us;
  GArray *askers; /* Asker; the first is next */
};

HbwPermitBucket *
hbw_permit_bucket_create (gint64 now_us)
{
  HbwPermitBucket *bucket = g_new0 (HbwPermitBucket, 1);
  bucket->level = 1.0;
  bucket->filled_us = now_us;
  bucket->askers = g_array_new (FALSE, FALSE, sizeof (Asker));
  return bucket;
}

void
hbw_permit_bucket_destroy (HbwPermitBucket *bucket)
{
  g_array_free (bucket->askers, TRUE);
  g_free (bucket);
}

static Asker *
get_asker (HbwPermitBucket *bucket, guint index)
{
  return &g_array_index (bucket->askers, Asker, index);
}

void
hbw_permit_bucket_ask (HbwPermitBucket *bucket, guint64 instance, guint count,
                       gint64 now_us)
{
  const Asker added = { instance, count, 0, now_us };
  for (guint i = 0; i < bucket->askers->len; i++)
    if (get_asker (bucket, i)->instance == instance)
      {
        *get_asker (bucket, i) = added;
        return;
      }
  if (bucket->askers->len < HBW_PERMIT_ASKERS_MAX)
    g_array_append_val (bucket->askers, added);
}

static void
drop_expired (HbwPermitBucket *bucket, gint64 now_us)
{
  for (guint i = bucket->askers->len; i > 0; i--)
    if (now_us - get_asker (bucket, i - 1)->asked_us >= ASK_TTL_US
        || get_asker (bucket, i - 1)->wanted == 0)
      g_array_remove_index (bucket->askers, i - 1);
}

/* The first asker gets one permit and becomes the last. */
static void
serve_first (HbwPermitBucket *bucket)
{
  Asker asker = *get_asker (bucket, 0);
  asker.wanted--;
  asker.given++;
  bucket->level -= 1.0;
  g_array_remove_index (bucket->askers, 0);
  g_array_append_val (bucket->askers, asker);
}

/* Makes the next instance that wants a permit the first one; returns whether there
   is one. */
static gboolean
advance_to_wanting (HbwPermitBucket *bucket)
{
  for (guint i = 0; i < bucket->askers->len; i++)
    {
      const Asker asker = *get_asker (bucket, 0);
      if (asker.wanted > 0)
        return TRUE;
      g_array_remove_index (bucket->askers, 0);
      g_array_append_val (bucket->askers, asker);
    }
  return FALSE;
}

static void
fill (HbwPermitBucket *bucket, double rate, gint64 now_us)
{
  double elapsed_s = (double) (now_us - bucket->filled_us) / HBW_US_PER_S;
  bucket->filled_us = now_us;
  bucket->level = MIN (1.0 + rate * SAVED_SECONDS, bucket->level + rate * elapsed_s);
}

void
hbw_permit_bucket_run (HbwPermitBucket *bucket, double rate, gint64 now_us,
                       void (*give) (guint64 instance, guint count, void *data),
                       void *data)
{
  fill (bucket, rate, now_us);
  drop_expired (bucket, now_us);
  while (bucket->level >= 1.0 && advance_to_wanting (bucket))
    serve_first (bucket);
  for (guint i = 0; i < bucket->askers->len; i++)
    {
      Asker *asker = get_asker (bucket, i);
      guint given = asker->given;
      asker->given = 0;
      if (given > 0)
        give (asker->instance, given, data);
    }
}
