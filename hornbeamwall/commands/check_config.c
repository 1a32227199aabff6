#include "hornbeamwall/check_document.h"
#include "hornbeamwall/check_report.h"
#include "hornbeamwall/client.h"
#include "hornbeamwall/commands.h"
#include "hornbeamwall/runtime/settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  char *config;
  char *against;
  char *format;
  HbwClientOptions instance;
} Options;

typedef struct
{
  const char *settings_file; /* NULL if there is none */
  HbwSettings *settings;     /* NULL if there is none or it is invalid */
  GPtrArray *settings_findings;
  HbwCheckDocument *config;  /* NULL if there is none */
  HbwCheckDocument *against; /* NULL if there is none */
  const char *against_name;
  GPtrArray *differences; /* NULL if there is nothing to compare */
} Report;

static void
load_settings (Report *report, const char *file)
{
  HbwError error;
  report->settings_file = file;
  report->settings = hbw_settings_load (file, &error);
  if (report->settings == NULL)
    hbw_findings_add_report (report->settings_findings, error.message, FALSE);
}

static gboolean
read_file (const char *file, char **text)
{
  GError *error = NULL;
  if (g_file_get_contents (file, text, NULL, &error))
    return TRUE;
  fprintf (stderr, "hornbeamwall: %s\n", error->message);
  g_error_free (error);
  return FALSE;
}

/* Reads the catalogue in the store, which instances with the native interface serve.
 */
static gboolean
read_instance (const HbwClientOptions *options, char **text)
{
  HbwClientResponse response;
  HbwError error;
  gboolean is_read = FALSE;
  if (!hbw_client_call (options, "GET", "/admin/v1/catalogue", NULL, NULL, &response,
                        &error))
    fprintf (stderr, "hornbeamwall: %s\n", error.message);
  else if (response.http_status != 200)
    fprintf (stderr,
             "hornbeamwall: %s: status %d instead of its catalogue: %s\n"
             "use --against FILE if its interface is not native\n",
             options->address, response.http_status, response.body);
  else
    {
      *text = g_steal_pointer (&response.body);
      is_read = TRUE;
    }
  hbw_client_response_clear (&response);
  return is_read;
}

static gboolean
load_config (Report *report, const char *file)
{
  char *text;
  if (!read_file (file, &text))
    return FALSE;
  report->config = hbw_check_document_create (text, strlen (text));
  g_free (text);
  if (report->settings == NULL)
    {
      hbw_check_document_check (report->config, NULL);
      return TRUE;
    }
  const HbwCheckSettings settings = { .retry_limits = report->settings->retry_limits,
                                      .body_max = report->settings->request_body_max,
                                      .data_centre = report->settings->data_centre };
  hbw_check_document_check (report->config, &settings);
  return TRUE;
}

static gboolean
load_against (Report *report, const Options *options)
{
  char *text;
  gboolean is_file = options->against != NULL;
  if (!is_file && options->instance.address == NULL)
    return TRUE;
  if (!(is_file ? read_file (options->against, &text)
                : read_instance (&options->instance, &text)))
    return FALSE;
  report->against_name = is_file ? options->against : options->instance.address;
  report->against = hbw_check_document_create (text, strlen (text));
  g_free (text);
  report->differences = hbw_check_document_diff (report->against, report->config);
  return TRUE;
}

static int
count_status (const Report *report)
{
  const GPtrArray *lists[] = {
    report->settings_findings,
    report->config != NULL ? hbw_check_document_findings (report->config) : NULL,
    report->against != NULL ? hbw_check_document_findings (report->against) : NULL
  };
  int status = HBW_EXIT_OK;
  for (gsize i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      if (lists[i] == NULL)
        continue;
      if (hbw_findings_count (lists[i], HBW_SEVERITY_ERROR) > 0)
        return HBW_EXIT_FAILED;
      if (hbw_findings_count (lists[i], HBW_SEVERITY_WARNING) > 0)
        status = HBW_EXIT_WARNINGS;
    }
  return status;
}

static void
print_text (const Report *report, const Options *options)
{
  if (report->settings != NULL)
    printf ("%s: instance %s of data centre %s\n", report->settings_file,
            report->settings->name, report->settings->data_centre);
  if (report->settings_file != NULL)
    hbw_check_report_print_findings (report->settings_file,
                                     report->settings_findings);
  if (report->config != NULL)
    hbw_check_report_print_findings (options->config,
                                     hbw_check_document_findings (report->config));
  if (report->against != NULL)
    hbw_check_report_print_findings (report->against_name,
                                     hbw_check_document_findings (report->against));
  if (report->differences != NULL)
    hbw_check_report_print_differences (report->differences);
}

static void
print_json (const Report *report, const Options *options)
{
  json_t *findings = json_array ();
  if (report->settings_file != NULL)
    hbw_check_report_append_findings (findings, report->settings_file,
                                      report->settings_findings);
  if (report->config != NULL)
    hbw_check_report_append_findings (findings, options->config,
                                      hbw_check_document_findings (report->config));
  if (report->against != NULL)
    hbw_check_report_append_findings (findings, report->against_name,
                                      hbw_check_document_findings (report->against));
  json_t *root = json_pack ("{s:o}", "findings", findings);
  if (report->differences != NULL)
    json_object_set_new (root, "differences",
                         hbw_check_report_pack_differences (report->differences));
  char *text = json_dumps (root, JSON_INDENT (2));
  json_decref (root);
  printf ("%s\n", text);
  free (text);
}

static int
run (const Options *options, const char *settings_file)
{
  Report report = { .settings_findings = hbw_findings_create () };
  int status = HBW_EXIT_FAILED;
  if (settings_file != NULL)
    load_settings (&report, settings_file);
  if (options->config == NULL
      || (load_config (&report, options->config) && load_against (&report, options)))
    {
      gboolean is_json = g_strcmp0 (options->format, "json") == 0;
      status = count_status (&report);
      (is_json ? print_json : print_text) (&report, options);
    }
  g_clear_pointer (&report.settings, hbw_settings_destroy);
  g_clear_pointer (&report.config, hbw_check_document_destroy);
  g_clear_pointer (&report.against, hbw_check_document_destroy);
  g_clear_pointer (&report.differences, g_ptr_array_unref);
  g_ptr_array_unref (report.settings_findings);
  return status;
}

/* Returns what is wrong with the command line, or NULL. */
static const char *
find_usage_error (const Options *options, int argc)
{
  if (argc > 2 || (argc < 2 && options->config == NULL))
    return "expected one settings file, --config, or both";
  if (options->config == NULL
      && (options->against != NULL || options->instance.address != NULL))
    return "--against and --against-instance need --config";
  if (options->against != NULL && options->instance.address != NULL)
    return "expected either --against or --against-instance";
  if (options->format != NULL && strcmp (options->format, "json") != 0
      && strcmp (options->format, "text") != 0)
    return "expected --format text or json";
  return NULL;
}

int
hbw_command_check_config (int argc, char **argv)
{
  Options options = { .config = NULL };
  int status = HBW_EXIT_USAGE;
  const GOptionEntry entries[]
      = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &options.config,
            "Check the catalogue or the platform's config in FILE, too", "FILE" },
          { "against", 0, 0, G_OPTION_ARG_FILENAME, &options.against,
            "Print what differs from the version in FILE", "FILE" },
          { "against-instance", 0, 0, G_OPTION_ARG_STRING, &options.instance.address,
            "Print what differs from the catalogue that an instance serves",
            "IP:PORT" },
          { "token", 't', 0, G_OPTION_ARG_STRING, &options.instance.token,
            "Administration token (else HORNBEAMWALL_TOKEN)", "TOKEN" },
          { "format", 0, 0, G_OPTION_ARG_STRING, &options.format,
            "Format of the report: text (default) or json", "FORMAT" },
          { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "[FILE]",
                          "Checks a settings file, and a configuration before it "
                          "is sent."))
    return HBW_EXIT_USAGE;
  const char *usage_error = find_usage_error (&options, argc);
  if (usage_error != NULL)
    fprintf (stderr, "hornbeamwall: %s; see --help\n", usage_error);
  else
    status = run (&options, argc == 2 ? argv[1] : NULL);
  g_free (options.config);
  g_free (options.against);
  g_free (options.format);
  hbw_client_options_clear (&options.instance);
  return status;
}
