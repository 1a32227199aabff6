#include "part_watch.h"

#include "hornbeamwall/common/clock.h"

#include <stdlib.h>

/* Failures after which the time begins that an installation has. */
#define FAILURES_ALLOWED 5

/* That time; requests without the part count after twice as long. */
#define SETTLE_US (3 * HBW_US_PER_S)

/* Fewer requests are no sample. */
#define SAMPLE_MIN 20

/* Tokens of each part. */
#define PART_TOKENS 50

typedef struct
{
  guint arrived;
  guint served;
} Sample;

struct PartWatch
{
  guint64 harmful; /* 0 is none */
  guint failed_count;
  guint late_count;
  guint refused_count;
  gint64 first_failure_us; /* 0 before */
  gint64 last_allowed_us;  /* failure number FAILURES_ALLOWED; 0 before */
  Sample before;
  Sample after;
};

PartWatch *
part_watch_create (void)
{
  return g_new0 (PartWatch, 1);
}

void
part_watch_destroy (PartWatch *watch)
{
  g_free (watch);
}

void
part_watch_set_harmful (PartWatch *watch, guint64 id)
{
  watch->harmful = id;
}

gboolean
part_watch_is_harmful (const PartWatch *watch, const HbwRequestSpec *spec)
{
  for (guint i = 0; i < spec->part_ids.count; i++)
    if (watch->harmful != 0 && spec->part_ids.ids[i] == watch->harmful)
      return TRUE;
  return FALSE;
}

static guint64
draw_id (const char *text, GRand *random)
{
  char *end;
  guint64 first = g_ascii_strtoull (text, &end, 10);
  if (end[0] != '.' || end[1] != '.')
    return first;
  guint64 last = g_ascii_strtoull (end + 2, NULL, 10);
  return (guint64) g_rand_int_range (random, (gint32) first, (gint32) last + 1);
}

void
part_watch_fill (const char *text, GRand *random, HbwRequestSpec *spec)
{
  guint64 hash = 0;
  char **items = g_strsplit (text, ",", HBW_PART_IDS_MAX);
  for (guint i = 0; items[i] != NULL; i++)
    {
      guint64 id = draw_id (items[i], random);
      spec->part_ids.ids[spec->part_ids.count++] = id;
      hash = hash * 31 + id;
      if (spec->part_count == HBW_PROMPT_PARTS_MAX)
        continue;
      HbwPromptPart *part = &spec->parts[spec->part_count++];
      part->hash = hash;
      part->tokens = PART_TOKENS;
    }
  if (spec->part_count > 0)
    spec->prefix_hash = spec->parts[0].hash;
  g_strfreev (items);
}

void
part_watch_record_failure (PartWatch *watch, gint64 now_us)
{
  if (watch->failed_count++ == 0)
    watch->first_failure_us = now_us;
  if (watch->failed_count == FAILURES_ALLOWED)
    watch->last_allowed_us = now_us;
}

void
part_watch_record_reached (PartWatch *watch, gint64 sent_us)
{
  if (watch->last_allowed_us > 0 && sent_us > watch->last_allowed_us + SETTLE_US)
    watch->late_count++;
}

static Sample *
find_sample (PartWatch *watch, gint64 arrived_us)
{
  if (watch->first_failure_us == 0 || arrived_us < watch->first_failure_us)
    return &watch->before;
  gboolean is_after = watch->last_allowed_us > 0
                      && arrived_us > watch->last_allowed_us + 2 * SETTLE_US;
  return is_after ? &watch->after : NULL;
}

void
part_watch_record_arrival (PartWatch *watch, gint64 now_us)
{
  Sample *sample = find_sample (watch, now_us);
  if (sample != NULL)
    sample->arrived++;
}

void
part_watch_record_served (PartWatch *watch, gint64 arrived_us)
{
  Sample *sample = find_sample (watch, arrived_us);
  if (sample != NULL)
    sample->served++;
}

void
part_watch_record_refused (PartWatch *watch)
{
  watch->refused_count++;
}

guint
part_watch_refused_count (const PartWatch *watch)
{
  return watch->refused_count;
}

guint
part_watch_failed_count (const PartWatch *watch)
{
  return watch->failed_count;
}

guint
part_watch_late_count (const PartWatch *watch)
{
  return watch->late_count;
}

static double
served_share (const Sample *sample)
{
  return (double) sample->served / sample->arrived;
}

double
part_watch_sound_share (const PartWatch *watch)
{
  if (watch->before.arrived < SAMPLE_MIN || watch->after.arrived < SAMPLE_MIN
      || watch->before.served == 0)
    return 1;
  return served_share (&watch->after) / served_share (&watch->before);
}
