#include "hornbeamwall/core/engine/output_estimate.h"

#include "hornbeamwall/core/engine/log_average.h"

#include <math.h>

#define SAMPLE_WEIGHT 0.05

/* Samples below which nothing is known of a class, of hints, or of the tokens of an
   event. */
#define CLASS_SAMPLES_MIN 5
#define HINT_SAMPLES_MIN 5
#define EVENT_SAMPLES_MIN 20

/* A response of fewer events was not streamed. */
#define EVENTS_MIN 2

/* Tokens of an event before hints show them, and their bounds. */
#define EVENT_TOKENS_DEFAULT 5.0
#define EVENT_TOKENS_MIN 1.0
#define EVENT_TOKENS_MAX 16.0

/* Variance of the binary logarithm of a hint's error before it is measured: a factor
   of four.  And the lowest variance of hints and classes. */
#define HINT_VARIANCE_DEFAULT 4.0
#define VARIANCE_MIN 0.05

struct HbwOutputEstimate
{
  GHashTable *classes; /* name -> HbwLogAverage of events, owned */
  HbwLogAverage hints; /* events for each token of the hint */
};

HbwOutputEstimate *
hbw_output_estimate_create (void)
{
  HbwOutputEstimate *estimate = g_new0 (HbwOutputEstimate, 1);
  estimate->classes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return estimate;
}

void
hbw_output_estimate_destroy (HbwOutputEstimate *estimate)
{
  g_hash_table_destroy (estimate->classes);
  g_free (estimate);
}

void
hbw_output_estimate_record (HbwOutputEstimate *estimate, const HbwRequestSpec *spec,
                            guint events)
{
  if (spec->prompt_tokens == 0 || events < EVENTS_MIN)
    return;
  HbwLogAverage *class = g_hash_table_lookup (estimate->classes, spec->class_name);
  if (class == NULL)
    {
      class = g_new0 (HbwLogAverage, 1);
      g_hash_table_insert (estimate->classes, g_strdup (spec->class_name), class);
    }
  double length = log2 (events);
  hbw_log_average_add (class, length, SAMPLE_WEIGHT);
  if (spec->length_hint > 0)
    hbw_log_average_add (&estimate->hints, length - log2 (spec->length_hint),
                         SAMPLE_WEIGHT);
}

/* Returns the binary logarithm of the tokens of an event. */
static double
find_event_log2 (const HbwOutputEstimate *estimate)
{
  if (estimate->hints.count < EVENT_SAMPLES_MIN)
    return log2 (EVENT_TOKENS_DEFAULT);
  return CLAMP (-estimate->hints.mean, log2 (EVENT_TOKENS_MIN),
                log2 (EVENT_TOKENS_MAX));
}

guint
hbw_output_estimate_tokens (const HbwOutputEstimate *estimate,
                            const HbwRequestSpec *spec)
{
  guint max = MAX (1, spec->max_tokens > 0 ? spec->max_tokens : spec->cost_tokens);
  const HbwLogAverage *class = g_hash_table_lookup (estimate->classes,
                                                    spec->class_name);
  if (class == NULL || class->count < CLASS_SAMPLES_MIN)
    return max;
  double mean = class->mean + find_event_log2 (estimate);
  double variance = MAX (class->variance, VARIANCE_MIN);
  if (spec->length_hint > 0)
    {
      double hint_variance = estimate->hints.count < HINT_SAMPLES_MIN
                                 ? HINT_VARIANCE_DEFAULT
                                 : MAX (estimate->hints.variance, VARIANCE_MIN);
      double weight = variance / (variance + hint_variance);
      mean += weight * (log2 (spec->length_hint) - mean);
      variance *= 1.0 - weight;
    }
  /* The expectation of a length whose logarithm is normally distributed. */
  double tokens = exp2 (mean + variance * M_LN2 / 2);
  return (guint) CLAMP (tokens, 1, max);
}
