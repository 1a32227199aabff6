#include "hornbeamwall/core/engine/server_pace.h"

#include "hornbeamwall/common/clock.h"

#include <math.h>

/* Weights of a new sample in the averages of the pool and of a server. */
#define POOL_WEIGHT 0.05
#define SERVER_WEIGHT 0.1

/* The first tokens of shorter prompts say little about the reading speed. */
#define PROMPT_TOKENS_MIN 500

/* Weights of shorter and longer samples in the time to read a token: most prompts
   wait for others, which this time is without. */
#define READING_WEIGHT_SHORTER 0.1
#define READING_WEIGHT_LONGER 0.01

/* A difference counts if it exceeds this multiple of its standard error and, in
   binary logarithms, this bound. */
#define NOISE_ERRORS 3.0
#define NOISE_LOG2_MIN 0.25

/* Largest difference of one sample and of a server, in binary logarithms. */
#define DIFFERENCE_LOG2_MAX 4.0

/* Samples lose their weight between these ages of the latest one. */
#define SAMPLES_FRESH_US (30 * HBW_US_PER_S)
#define SAMPLES_STALE_US (120 * HBW_US_PER_S)

/* Increase of the time between events by each running request, as a part of the time
   with none.  With a wrong one, servers of unequal load seem slightly faster or
   slower. */
#define STEP_REQUEST_FRACTION 0.0055

/* Returns the mean, shrunk to 0 as far as it may be noise.  The estimator is the
   positive-part James-Stein one, which hardly changes large differences. */
static double
find_certain_difference (const HbwLogAverage *average)
{
  if (average->count < HBW_PACE_SAMPLES_MIN)
    return 0;
  double samples = MIN (average->count, (2.0 - SERVER_WEIGHT) / SERVER_WEIGHT);
  double noise
      = MAX (NOISE_LOG2_MIN, NOISE_ERRORS * sqrt (average->variance / samples));
  double ratio = noise / MAX (fabs (average->mean), noise);
  return average->mean * (1.0 - ratio * ratio);
}

/* Adds SAMPLE, a time, to the averages of the pool and, relative to the former, of
   the server. */
static void
record (HbwServerPace *pace, HbwLogAverage *average, HbwLogAverage *pool_average,
        double sample, gint64 now_us)
{
  double length = log2 (sample);
  double difference = length - pool_average->mean;
  gboolean is_comparable = pool_average->count >= HBW_PACE_SAMPLES_MIN;
  hbw_log_average_add (pool_average, length, POOL_WEIGHT);
  if (!is_comparable)
    return;
  if (now_us - pace->sampled_us > SAMPLES_STALE_US)
    {
      pace->prompts = pace->steps = (HbwLogAverage){ 0 };
      pace->prompt_log2 = pace->step_log2 = 0;
    }
  pace->sampled_us = now_us;
  hbw_log_average_add (average,
                       CLAMP (difference, -DIFFERENCE_LOG2_MAX, DIFFERENCE_LOG2_MAX),
                       SERVER_WEIGHT);
}

static void
update_reading (HbwPoolPace *pool, double sample_us)
{
  double weight = sample_us < pool->reading_us ? READING_WEIGHT_SHORTER
                                               : READING_WEIGHT_LONGER;
  if (pool->reading_us <= 0)
    pool->reading_us = sample_us;
  pool->reading_us += weight * (sample_us - pool->reading_us);
}

static guint
find_prompt_kind (guint tokens)
{
  return MIN (g_bit_storage (tokens), HBW_PACE_PROMPT_KINDS) - 1;
}

void
hbw_server_pace_record_prompt (HbwServerPace *pace, HbwPoolPace *pool, guint tokens,
                               guint ahead_tokens, gint64 first_token_us,
                               gint64 now_us)
{
  if (tokens < PROMPT_TOKENS_MIN || first_token_us <= 0)
    return;
  guint kind = find_prompt_kind (tokens);
  double sample = (double) first_token_us / ((double) tokens + ahead_tokens)
                  / hbw_server_pace_moment (pace, now_us);
  update_reading (pool, sample / hbw_server_pace_prompt_factor (pace, now_us));
  record (pace, &pace->prompts, &pool->prompts[kind], sample, now_us);
  pace->prompt_log2 = find_certain_difference (&pace->prompts);
}

void
hbw_server_pace_record_step (HbwServerPace *pace, HbwPoolPace *pool, guint kind,
                             guint running, gint64 step_us, gint64 now_us)
{
  if (step_us <= 0 || kind >= HBW_PACE_STEP_KINDS)
    return;
  double sample = (double) step_us / (1.0 + running * STEP_REQUEST_FRACTION);
  record (pace, &pace->steps, &pool->steps[kind], sample, now_us);
  pace->step_log2 = find_certain_difference (&pace->steps);
}

void
hbw_server_pace_set_moment (HbwServerPace *pace, guint percent, gint64 now_us)
{
  hbw_server_pace_set_peer_moment (pace, percent, HBW_PACE_MOMENT_US, now_us);
}

void
hbw_server_pace_set_peer_moment (HbwServerPace *pace, guint percent, gint64 left_us,
                                 gint64 now_us)
{
  gint64 until_us = now_us + MIN (left_us, HBW_PACE_MOMENT_US);
  if (percent == 0 || percent > HBW_PACE_MOMENT_PERCENT_MAX
      || until_us < pace->moment_until_us)
    return;
  pace->moment = percent / 100.0;
  pace->moment_until_us = until_us;
}

void
hbw_server_pace_reset (HbwServerPace *pace)
{
  *pace = (HbwServerPace){ 0 };
}

static double
find_factor (const HbwServerPace *pace, double difference, gint64 now_us)
{
  gint64 age_us = now_us - pace->sampled_us;
  if (difference == 0 || age_us >= SAMPLES_STALE_US)
    return 1.0;
  double weight = (double) (SAMPLES_STALE_US - age_us)
                  / (double) (SAMPLES_STALE_US - SAMPLES_FRESH_US);
  return exp2 (difference * MIN (weight, 1.0));
}

double
hbw_server_pace_prompt_factor (const HbwServerPace *pace, gint64 now_us)
{
  gboolean has_prompts = pace->prompts.count >= HBW_PACE_SAMPLES_MIN;
  return find_factor (pace, has_prompts ? pace->prompt_log2 : pace->step_log2,
                      now_us);
}

double
hbw_server_pace_step_factor (const HbwServerPace *pace, gint64 now_us)
{
  return find_factor (pace, pace->step_log2, now_us);
}

double
hbw_server_pace_moment (const HbwServerPace *pace, gint64 now_us)
{
  return now_us < pace->moment_until_us ? pace->moment : 1.0;
}

gboolean
hbw_pool_pace_is_known (const HbwPoolPace *pool)
{
  for (guint i = 0; i < HBW_PACE_PROMPT_KINDS; i++)
    if (pool->prompts[i].count >= HBW_PACE_SAMPLES_MIN)
      return TRUE;
  return FALSE;
}

double
hbw_pool_pace_prompt_us (const HbwPoolPace *pool, guint tokens, guint ahead_tokens)
{
  guint measured = MAX (tokens, PROMPT_TOKENS_MIN);
  const HbwLogAverage *average = &pool->prompts[find_prompt_kind (measured)];
  if (average->count < HBW_PACE_SAMPLES_MIN)
    return pool->reading_us * ((double) measured + ahead_tokens);
  return exp2 (average->mean) * ((double) measured + ahead_tokens);
}

double
hbw_pool_pace_step_us (const HbwPoolPace *pool, guint kind, guint running)
{
  const HbwLogAverage *average = &pool->steps[MIN (kind, HBW_PACE_STEP_KINDS - 1)];
  if (average->count < HBW_PACE_SAMPLES_MIN)
    return 0;
  return exp2 (average->mean) * (1.0 + running * STEP_REQUEST_FRACTION);
}
