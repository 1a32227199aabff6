#include "hornbeamwall/core/duty/usage_reports.h"

#include <string.h>

/* Largest number of a window, as of windows of a second in the year 5138. */
#define WINDOW_MAX G_GINT64_CONSTANT (100000000000)

typedef struct
{
  gint64 window;
  GBytes *counts;
  guint64 state_number; /* of the state that has it */
  guint64 call;         /* in progress; 0 is none */
  gint64 backoff_us;
  gint64 due_us;
} Report;

struct HbwUsageReports
{
  GPtrArray *frozen; /* Report, by window */
  gint64 last_window;
  guint64 state_number;
  guint64 last_call;
};

static void
report_free (gpointer data)
{
  Report *report = data;
  g_bytes_unref (report->counts);
  g_free (report);
}

HbwUsageReports *
hbw_usage_reports_create (void)
{
  HbwUsageReports *reports = g_new0 (HbwUsageReports, 1);
  reports->frozen = g_ptr_array_new_with_free_func (report_free);
  reports->state_number = 1;
  return reports;
}

void
hbw_usage_reports_destroy (HbwUsageReports *reports)
{
  g_ptr_array_unref (reports->frozen);
  g_free (reports);
}

static Report *
get_report (const HbwUsageReports *reports, guint index)
{
  return g_ptr_array_index (reports->frozen, index);
}

static void
add_report (HbwUsageReports *reports, gint64 window, GBytes *counts)
{
  Report *report = g_new0 (Report, 1);
  report->window = window;
  report->counts = g_bytes_ref (counts);
  report->state_number = reports->state_number;
  report->backoff_us = HBW_USAGE_BACKOFF_MIN_US;
  g_ptr_array_add (reports->frozen, report);
  reports->last_window = MAX (reports->last_window, window);
}

static void
load_report (HbwUsageReports *reports, const json_t *item)
{
  const json_t *window = json_object_get (item, "window");
  const char *counts = json_string_value (json_object_get (item, "counts"));
  gint64 number = json_integer_value (window);
  if (counts == NULL || number <= reports->last_window || number > WINDOW_MAX
      || reports->frozen->len >= HBW_USAGE_REPORTS_MAX)
    return;
  GBytes *bytes = g_bytes_new (counts, strlen (counts));
  add_report (reports, number, bytes);
  g_bytes_unref (bytes);
}

void
hbw_usage_reports_load (HbwUsageReports *reports, json_t *state)
{
  size_t index;
  json_t *item;
  g_ptr_array_set_size (reports->frozen, 0);
  reports->last_window = 0;
  reports->state_number++;
  json_array_foreach (json_object_get (state, "windows"), index, item)
    load_report (reports, item);
  gint64 last = json_integer_value (json_object_get (state, "last_window"));
  hbw_usage_reports_skip (reports, MIN (last, WINDOW_MAX));
  /* The store has what was loaded from it. */
  for (guint i = 0; i < reports->frozen->len; i++)
    get_report (reports, i)->state_number = 0;
}

json_t *
hbw_usage_reports_save (const HbwUsageReports *reports)
{
  json_t *windows = json_array ();
  for (guint i = 0; i < reports->frozen->len; i++)
    {
      gsize size;
      const Report *report = get_report (reports, i);
      const char *text = g_bytes_get_data (report->counts, &size);
      json_array_append_new (windows, json_pack ("{s:I, s:s%}", "window",
                                                 (json_int_t) report->window,
                                                 "counts", text, size));
    }
  return json_pack ("{s:I, s:o}", "last_window", (json_int_t) reports->last_window,
                    "windows", windows);
}

guint64
hbw_usage_reports_state_number (const HbwUsageReports *reports)
{
  return reports->state_number;
}

gint64
hbw_usage_reports_last_window (const HbwUsageReports *reports)
{
  return reports->last_window;
}

void
hbw_usage_reports_freeze (HbwUsageReports *reports, gint64 window, GBytes *counts)
{
  if (window <= reports->last_window
      || reports->frozen->len >= HBW_USAGE_REPORTS_MAX)
    return;
  reports->state_number++;
  add_report (reports, window, counts);
}

void
hbw_usage_reports_skip (HbwUsageReports *reports, gint64 window)
{
  reports->last_window = MAX (reports->last_window, window);
}

gint64
hbw_usage_reports_drop_before (HbwUsageReports *reports, gint64 oldest)
{
  if (reports->frozen->len == 0 || get_report (reports, 0)->window >= oldest)
    return 0;
  gint64 window = get_report (reports, 0)->window;
  g_ptr_array_remove_index (reports->frozen, 0);
  reports->state_number++;
  return window;
}

gboolean
hbw_usage_reports_next_call (HbwUsageReports *reports, guint64 stored_number,
                             gint64 now_us, HbwDutyCall *call)
{
  for (guint i = 0; i < reports->frozen->len; i++)
    {
      Report *report = get_report (reports, i);
      if (report->call != 0)
        return FALSE;
      if (report->state_number > stored_number || now_us < report->due_us)
        continue;
      report->call = ++reports->last_call;
      memset (call, 0, sizeof *call);
      call->kind = HBW_DUTY_CALL_USAGE;
      call->id = report->call;
      call->usage.window = report->window;
      call->usage.counts = g_bytes_ref (report->counts);
      return TRUE;
    }
  return FALSE;
}

static Report *
find_call (const HbwUsageReports *reports, guint64 id)
{
  for (guint i = 0; i < reports->frozen->len; i++)
    if (get_report (reports, i)->call == id)
      return get_report (reports, i);
  return NULL;
}

gint64
hbw_usage_reports_handle_result (HbwUsageReports *reports,
                                 const HbwDutyResult *result, gint64 now_us)
{
  Report *report = result->id != 0 ? find_call (reports, result->id) : NULL;
  if (report == NULL)
    return 0;
  gint64 window = report->window;
  if (result->outcome == HBW_DUTY_ACCEPTED)
    {
      g_ptr_array_remove (reports->frozen, report);
      reports->state_number++;
      return window;
    }
  report->call = 0;
  report->due_us = now_us + report->backoff_us;
  report->backoff_us = MIN (2 * report->backoff_us, HBW_USAGE_BACKOFF_MAX_US);
  return 0;
}

guint
hbw_usage_reports_count (const HbwUsageReports *reports)
{
  return reports->frozen->len;
}
