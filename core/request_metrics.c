#include "hornbeamwall/core/request_metrics.h"

#include "hornbeamwall/core/metrics.h"

/* Metrics to which a request counts. */
typedef struct
{
  HbwRequestMetrics *metrics[2];
} Counters;

static Counters
find_counters (const HbwRequest *request, HbwContext *context)
{
  const HbwRequestSpec *spec = &request->spec;
  const Counters counters
      = { { hbw_metrics_for_class (context->metrics, spec->class_name),
            hbw_metrics_for_organisation (context->metrics, spec->organisation) } };
  return counters;
}

void
hbw_request_count_arrived (const HbwRequest *request, HbwContext *context)
{
  const Counters counters = find_counters (request, context);
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    counters.metrics[i]->arrived++;
}

void
hbw_request_count_refused (const HbwRequest *request, HbwContext *context,
                           HbwReason reason)
{
  const Counters counters = find_counters (request, context);
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    counters.metrics[i]->refused[reason]++;
}

void
hbw_request_count_retry (const HbwRequest *request, HbwContext *context)
{
  hbw_metrics_for_class (context->metrics, request->spec.class_name)->retries++;
}

void
hbw_request_count_caller_gone (const HbwRequest *request, HbwContext *context)
{
  const Counters counters = find_counters (request, context);
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    counters.metrics[i]->caller_gone++;
}

void
hbw_request_count_started (const HbwRequest *request, HbwContext *context)
{
  const Counters counters = find_counters (request, context);
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    hbw_histogram_record (&counters.metrics[i]->queue_wait,
                          context->now_us - request->arrived_us);
}

void
hbw_request_count_wasted (const HbwRequest *request, HbwContext *context,
                          const HbwAttemptEnd *end)
{
  const Counters counters = find_counters (request, context);
  if (end->outcome == HBW_OUTCOME_COMPLETE)
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    counters.metrics[i]->wasted_tokens += end->tokens;
}

static void
record_completion (const HbwContext *context, const HbwRequest *request,
                   HbwRequestMetrics *metrics, const HbwAttemptEnd *end)
{
  gint64 waited = request->started_us - request->arrived_us;
  gint64 first_token = waited + end->first_token_us;
  hbw_histogram_record (&metrics->first_token, first_token);
  hbw_histogram_record (&metrics->inter_token, end->inter_token_us);
  hbw_histogram_record (&metrics->total, context->now_us - request->arrived_us);
  metrics->completed++;
  metrics->good_tokens += end->tokens;
  if (first_token <= request->spec.first_token_target_us
      && end->inter_token_us <= request->spec.inter_token_target_us)
    metrics->in_target++;
}

void
hbw_request_count_ended (const HbwRequest *request, HbwContext *context,
                         const HbwAttemptEnd *end)
{
  const Counters counters = find_counters (request, context);
  for (gsize i = 0; i < G_N_ELEMENTS (counters.metrics); i++)
    {
      if (end->outcome == HBW_OUTCOME_COMPLETE)
        record_completion (context, request, counters.metrics[i], end);
      else if (end->outcome == HBW_OUTCOME_CANCELLED)
        counters.metrics[i]->caller_gone++;
      else
        counters.metrics[i]->failed++;
    }
}
