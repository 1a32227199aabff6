#include "hornbeamwall/core/metrics.h"

#include "hornbeamwall/common/clock.h"

/* Upper bounds of the rendered histogram buckets. */
static const gint64 bucket_bounds_us[]
    = { 1000,   5000,    10000,   25000,   44000,    100000,  250000,
        390000, 1000000, 2500000, 5000000, 10000000, 60000000 };

struct HbwMetrics
{
  GHashTable *classes;
  GHashTable *organisations;
  HbwControlMetrics control;
};

static HbwRequestMetrics *
get_or_create_metrics (GHashTable *table, const char *name)
{
  HbwRequestMetrics *metrics = g_hash_table_lookup (table, name);
  if (metrics == NULL)
    {
      metrics = g_new0 (HbwRequestMetrics, 1);
      g_hash_table_insert (table, g_strdup (name), metrics);
    }
  return metrics;
}

static void
render_histogram (GString *text, const char *name, const char *label,
                  const char *value, const HbwHistogram *histogram)
{
  for (gsize i = 0; i < G_N_ELEMENTS (bucket_bounds_us); i++)
    g_string_append_printf (
        text,
        "hornbeamwall_%s_seconds_bucket{%s=\"%s\",le=\"%g\"} %" G_GUINT64_FORMAT
        "\n",
        name, label, value, (double) bucket_bounds_us[i] / HBW_US_PER_S,
        hbw_histogram_count_up_to (histogram, bucket_bounds_us[i]));
  g_string_append_printf (
      text,
      "hornbeamwall_%s_seconds_bucket{%s=\"%s\",le=\"+Inf\"} %" G_GUINT64_FORMAT
      "\n",
      name, label, value, histogram->count);
  g_string_append_printf (text, "hornbeamwall_%s_seconds_sum{%s=\"%s\"} %.6f\n",
                          name, label, value,
                          (double) histogram->sum_us / HBW_US_PER_S);
  g_string_append_printf (
      text, "hornbeamwall_%s_seconds_count{%s=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
      label, value, histogram->count);
}

static void
render_counter (GString *text, const char *name, const char *label,
                const char *value, guint64 count)
{
  g_string_append_printf (text,
                          "hornbeamwall_%s_total{%s=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          name, label, value, count);
}

static void
render_request_metrics (GString *text, const char *label, const char *name,
                        const HbwRequestMetrics *metrics)
{
  render_counter (text, "requests", label, name, metrics->arrived);
  render_counter (text, "completed", label, name, metrics->completed);
  render_counter (text, "in_target", label, name, metrics->in_target);
  render_counter (text, "failed", label, name, metrics->failed);
  render_counter (text, "caller_gone", label, name, metrics->caller_gone);
  render_counter (text, "retries", label, name, metrics->retries);
  render_counter (text, "good_tokens", label, name, metrics->good_tokens);
  render_counter (text, "wasted_tokens", label, name, metrics->wasted_tokens);
  for (guint i = 0; i < HBW_REASON_COUNT; i++)
    if (metrics->refused[i] > 0)
      g_string_append_printf (
          text,
          "hornbeamwall_refused_total{%s=\"%s\",reason=\"%s\"} %" G_GUINT64_FORMAT
          "\n",
          label, name, hbw_reason_name ((HbwReason) i), metrics->refused[i]);
  render_histogram (text, "queue_wait", label, name, &metrics->queue_wait);
  render_histogram (text, "first_token", label, name, &metrics->first_token);
  render_histogram (text, "inter_token", label, name, &metrics->inter_token);
  render_histogram (text, "total", label, name, &metrics->total);
}

static void
render_table (GString *text, const char *label, GHashTable *table)
{
  GList *names
      = g_list_sort (g_hash_table_get_keys (table), (GCompareFunc) g_strcmp0);
  for (GList *item = names; item != NULL; item = item->next)
    render_request_metrics (text, label, item->data,
                            g_hash_table_lookup (table, item->data));
  g_list_free (names);
}

static void
render_caller_memory (GString *text, const HbwCallerMemory *memory)
{
  if (memory->limit_bytes == 0)
    return;
  g_string_append_printf (text,
                          "hornbeamwall_caller_memory_bytes %" G_GUINT64_FORMAT "\n"
                          "hornbeamwall_caller_memory_limit_bytes %" G_GUINT64_FORMAT
                          "\n",
                          memory->used_bytes, memory->limit_bytes);
  render_counter (text, "caller_memory_released", "held", "idle",
                  memory->idle_closed);
  render_counter (text, "caller_memory_released", "held", "head",
                  memory->heads_closed);
  render_counter (text, "caller_memory_released", "held", "body",
                  memory->bodies_refused);
  render_counter (text, "caller_memory_released", "held", "backlog",
                  memory->backlogs_closed);
  g_string_append_printf (
      text, "hornbeamwall_caller_memory_refused_total %" G_GUINT64_FORMAT "\n",
      memory->requests_refused);
}

HbwMetrics *
hbw_metrics_create (void)
{
  HbwMetrics *metrics = g_new0 (HbwMetrics, 1);
  metrics->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  metrics->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return metrics;
}

void
hbw_metrics_destroy (HbwMetrics *metrics)
{
  g_hash_table_destroy (metrics->classes);
  g_hash_table_destroy (metrics->organisations);
  g_free (metrics);
}

HbwRequestMetrics *
hbw_metrics_for_class (HbwMetrics *metrics, const char *name)
{
  return get_or_create_metrics (metrics->classes, name);
}

HbwRequestMetrics *
hbw_metrics_for_organisation (HbwMetrics *metrics, const char *name)
{
  return get_or_create_metrics (metrics->organisations, name);
}

HbwControlMetrics *
hbw_metrics_control (HbwMetrics *metrics)
{
  return &metrics->control;
}

void
hbw_metrics_render (HbwMetrics *metrics, GString *text)
{
  render_table (text, "class", metrics->classes);
  render_table (text, "organisation", metrics->organisations);
  for (guint i = 0; i < HBW_MESSAGE_COUNT; i++)
    {
      const char *kind = hbw_message_kind_name ((HbwMessageKind) i);
      render_counter (text, "messages_sent", "kind", kind,
                      metrics->control.messages_sent[i]);
      render_counter (text, "messages_received", "kind", kind,
                      metrics->control.messages_received[i]);
      render_counter (text, "messages_dropped", "kind", kind,
                      metrics->control.messages_dropped[i]);
    }
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      const char *kind = hbw_document_kind_name ((HbwDocumentKind) i);
      render_counter (text, "store_calls", "document", kind,
                      metrics->control.store_call_count[i]);
      render_counter (text, "store_failures", "document", kind,
                      metrics->control.store_failures[i]);
      render_counter (text, "store_cut_watches", "document", kind,
                      metrics->control.store_cut_watches[i]);
      render_counter (text, "store_outages", "document", kind,
                      metrics->control.store_outages[i]);
      g_string_append_printf (
          text,
          "hornbeamwall_store_kept_entries{document=\"%s\"} %" G_GINT64_FORMAT "\n",
          kind, metrics->control.store_kept_entries[i]);
    }
  for (guint i = 0; i < HBW_SERVER_CHECK_COUNT; i++)
    render_counter (text, "server_checks", "result",
                    hbw_server_check_result_name ((HbwServerCheckKind) i),
                    metrics->control.server_checks[i]);
  render_counter (text, "store_calls", "document", "suspects",
                  metrics->control.suspect_store_calls);
  g_string_append_printf (
      text,
      "hornbeamwall_server_pauses_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_tunnelled_attempts_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_tunnels_opened_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_stream_questions_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_permits_asked_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_permits_given_total %" G_GUINT64_FORMAT "\n",
      metrics->control.server_pauses, metrics->control.tunnelled_attempts,
      metrics->control.tunnels_opened, metrics->control.stream_questions,
      metrics->control.permits_asked, metrics->control.permits_given);
  g_string_append_printf (
      text, "hornbeamwall_grants_handed_back_total %" G_GUINT64_FORMAT "\n",
      metrics->control.grants_handed_back);
  g_string_append_printf (
      text,
      "hornbeamwall_spilled_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_servers_compared_total %" G_GUINT64_FORMAT "\n",
      metrics->control.spilled, metrics->control.servers_compared);
  g_string_append_printf (
      text,
      "hornbeamwall_usage_requests_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_windows_frozen_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_windows_incomplete_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_windows_reported_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_windows_dropped_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_late_messages_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_time_steps_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_usage_reports_waiting %" G_GINT64_FORMAT "\n",
      metrics->control.usage_requests, metrics->control.usage_windows_frozen,
      metrics->control.usage_windows_incomplete,
      metrics->control.usage_windows_reported,
      metrics->control.usage_windows_dropped, metrics->control.usage_late_messages,
      metrics->control.usage_time_steps, metrics->control.usage_reports_waiting);
  render_caller_memory (text, &metrics->control.caller_memory);
  g_string_append_printf (text,
                          "hornbeamwall_servers_ramping %" G_GINT64_FORMAT "\n",
                          metrics->control.servers_ramping);
}
