#include "hornbeamwall/core/duty/true_time.h"

#define AGREE_INTERVAL_US (1 * HBW_US_PER_S)

/* At the holder, a difference below a step changes the offset by at most this much
   in an interval, so that no window is much longer or shorter than the others. */
#define SLEW_US (10 * HBW_US_PER_MS)

/* An offset that was agreed by few instances may be replaced at once by that of
   twice as many within this time: instances of a fleet that starts are not heard at
   once. */
#define START_US (30 * HBW_US_PER_S)

/* The largest offset counts for one to two of these. */
#define FOLLOW_SPAN_US (5 * HBW_US_PER_S)

typedef struct
{
  guint64 instance;
  gint64 offset_us; /* of its clock from the boot-time clock of this instance */
  gint64 heard_us;
} Clock;

struct HbwTrueTime
{
  gboolean has_start;
  gboolean is_known;
  gint64 offset_us; /* of true time from the boot-time clock */

  /* Following. */
  gint64 recent_max_us;
  gint64 older_max_us;
  gint64 span_began_us;

  /* Agreeing. */
  GHashTable *clocks; /* instance -> Clock */
  gint64 evaluated_us;
  gint64 first_agreed_us;
  guint agreed_clocks;     /* behind the first agreement; G_MAXUINT: inherited */
  gint64 differs_since_us; /* the median differs by a step; 0: it does not */
  HbwTrueTimeFacts facts;
};

HbwTrueTime *
hbw_true_time_create (void)
{
  HbwTrueTime *time = g_new0 (HbwTrueTime, 1);
  time->clocks = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  time->evaluated_us = G_MININT64 / 2;
  return time;
}

void
hbw_true_time_destroy (HbwTrueTime *time)
{
  g_hash_table_destroy (time->clocks);
  g_free (time);
}

void
hbw_true_time_set_start (HbwTrueTime *time, gint64 wall_us, gint64 now_us)
{
  if (time->has_start || time->is_known || wall_us <= 0)
    return;
  time->has_start = TRUE;
  time->offset_us = wall_us - now_us;
}

static HbwTrueTimeChange
set_offset (HbwTrueTime *time, gint64 offset_us)
{
  gboolean was_known = time->is_known;
  time->facts.step_us = offset_us - time->offset_us;
  time->offset_us = offset_us;
  time->is_known = TRUE;
  if (!was_known)
    return HBW_TRUE_TIME_FIRST;
  return ABS (time->facts.step_us) >= HBW_TRUE_TIME_STEP_US
             ? HBW_TRUE_TIME_STEPPED
             : HBW_TRUE_TIME_UNCHANGED;
}

HbwTrueTimeChange
hbw_true_time_follow (HbwTrueTime *time, gint64 true_us, gint64 now_us)
{
  if (true_us <= 0 || true_us > HBW_TRUE_TIME_MAX_US)
    return HBW_TRUE_TIME_UNCHANGED;
  gint64 sample_us = true_us - now_us;
  gint64 span_us = now_us - time->span_began_us;
  if (!time->is_known || span_us > FOLLOW_SPAN_US)
    {
      /* After a pause, the first messages are late. */
      time->older_max_us = !time->is_known                ? sample_us
                           : span_us > 2 * FOLLOW_SPAN_US ? time->offset_us
                                                          : time->recent_max_us;
      time->recent_max_us = sample_us;
      time->span_began_us = now_us;
    }
  time->recent_max_us = MAX (time->recent_max_us, sample_us);
  time->agreed_clocks = G_MAXUINT;
  time->differs_since_us = 0;
  return set_offset (time, MAX (time->older_max_us, time->recent_max_us));
}

void
hbw_true_time_observe (HbwTrueTime *time, guint64 instance, gint64 wall_us,
                       gint64 now_us)
{
  Clock *clock = g_hash_table_lookup (time->clocks, &instance);
  if (wall_us <= 0 || wall_us > HBW_TRUE_TIME_MAX_US
      || (clock == NULL
          && g_hash_table_size (time->clocks) >= HBW_TRUE_TIME_CLOCKS_MAX))
    return;
  if (clock == NULL)
    {
      clock = g_new0 (Clock, 1);
      clock->instance = instance;
      g_hash_table_insert (time->clocks, &clock->instance, clock);
    }
  clock->offset_us = wall_us - now_us;
  clock->heard_us = now_us;
}

static gboolean
is_old (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  const Clock *clock = value;
  const gint64 *now_us = data;
  return *now_us - clock->heard_us > HBW_TRUE_TIME_CLOCK_AGE_MAX_US;
}

static gint
compare_offsets (gconstpointer a, gconstpointer b)
{
  const gint64 *left = a;
  const gint64 *right = b;
  return *left < *right ? -1 : *left > *right;
}

/* The number of clocks is not 0.  Of an even number, the middle of the two. */
static gint64
get_median_offset (const HbwTrueTime *time)
{
  GArray *offsets = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, time->clocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (offsets, ((Clock *) value)->offset_us);
  g_array_sort (offsets, compare_offsets);
  gint64 low = g_array_index (offsets, gint64, (offsets->len - 1) / 2);
  gint64 high = g_array_index (offsets, gint64, offsets->len / 2);
  g_array_free (offsets, TRUE);
  return low + (high - low) / 2;
}

/* Returns whether a median that differs by a step replaces the offset. */
static gboolean
accepts_step (HbwTrueTime *time, guint clocks, gint64 now_us)
{
  if (now_us - time->first_agreed_us < START_US && time->agreed_clocks <= clocks / 2)
    return TRUE;
  if (time->differs_since_us == 0)
    time->differs_since_us = now_us;
  return now_us - time->differs_since_us >= HBW_TRUE_TIME_STEP_DELAY_US;
}

HbwTrueTimeChange
hbw_true_time_agree (HbwTrueTime *time, guint instances, gint64 now_us)
{
  if (now_us - time->evaluated_us < AGREE_INTERVAL_US)
    return HBW_TRUE_TIME_UNCHANGED;
  time->evaluated_us = now_us;
  g_hash_table_foreach_remove (time->clocks, is_old, &now_us);
  guint clocks = g_hash_table_size (time->clocks);
  if (clocks == 0 || 2 * clocks < instances)
    return HBW_TRUE_TIME_UNCHANGED;
  gint64 median_us = get_median_offset (time);
  gint64 difference_us = median_us - time->offset_us;
  time->facts.clocks = clocks;
  time->facts.instances = instances;
  if (time->is_known && ABS (difference_us) < HBW_TRUE_TIME_STEP_US)
    {
      time->differs_since_us = 0;
      return set_offset (time,
                         time->offset_us + CLAMP (difference_us, -SLEW_US, SLEW_US));
    }
  if (time->is_known && !accepts_step (time, clocks, now_us))
    return HBW_TRUE_TIME_UNCHANGED;
  if (!time->is_known)
    time->first_agreed_us = now_us;
  time->agreed_clocks = clocks;
  time->differs_since_us = 0;
  return set_offset (time, median_us);
}

const HbwTrueTimeFacts *
hbw_true_time_facts (const HbwTrueTime *time)
{
  return &time->facts;
}

gboolean
hbw_true_time_is_known (const HbwTrueTime *time)
{
  return time->is_known;
}

gint64
hbw_true_time_at (const HbwTrueTime *time, gint64 now_us)
{
  return now_us + time->offset_us;
}
