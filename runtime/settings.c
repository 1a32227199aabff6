#include "hornbeamwall/runtime/settings.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/policy.h"

#include <arpa/inet.h>
#include <string.h>

#define CONNECTION_LIMIT_DEFAULT 1024
#define CONNECTION_LIMIT_MAX 16384
#define BODY_MAX_DEFAULT (4 * 1024 * 1024)
#define ANSWER_MAX_DEFAULT (16 * 1024 * 1024)
#define BYTES_MAX (256 * 1024 * 1024)
#define CONNECT_TIMEOUT_DEFAULT_MS 1000
#define FIRST_BYTE_TIMEOUT_DEFAULT_MS 600000
#define STALL_TIMEOUT_DEFAULT_MS 10000
#define TIMEOUT_MAX_MS 86400000
#define CALLER_TIMEOUT_DEFAULT_S 60
#define CALLER_TIMEOUT_MAX_S 86400
#define RETRY_EXTRA_MAX 1000000
#define LINK_MAX_MBPS 1000000
#define PROCESSOR_MAX_CORES 1024
#define SERVER_HEARTBEAT_DEFAULT_MS 1000
#define SERVER_HEARTBEAT_MIN_MS 100
#define DUTY_CALLS_MAX_PER_S 1000000
#define DUTY_LEASE_DEFAULT_MS 3000
#define DUTY_LEASE_MIN_MS 600
#define USAGE_WINDOW_DEFAULT_S 5
#define USAGE_WINDOW_MIN_S 0.1
#define USAGE_TOLERANCE_DEFAULT 0.05
#define USAGE_LATE_DEFAULT_S 10
#define MEMORY_MAX_MB (1024 * 1024)
#define BYTES_PER_MB ((gsize) 1024 * 1024)

static gboolean
is_address (const char *text)
{
  HbwHostPort address;
  return hbw_address_parse (text, &address);
}

static void
check_address (HbwErrorReport *report, const char *place, const char *text)
{
  if (*text == '\0' || is_address (text))
    return;
  json_t *value = json_string (text);
  hbw_error_report_add (report, place, value,
                        "expected an IP address and a port, such as 127.0.0.1:8080");
  json_decref (value);
}

static void
read_address (HbwJsonReader *reader, HbwErrorReport *report, const char *key,
              char *buffer)
{
  hbw_json_reader_string (reader, key, buffer, HBW_ADDRESS_MAX, NULL);
  char *place = hbw_json_reader_location (reader, key);
  check_address (report, place, buffer);
  g_free (place);
}

static void
read_seeds (HbwJsonReader *reader, HbwErrorReport *report, HbwSettings *settings)
{
  json_t *list = hbw_json_reader_member (reader, "seeds", JSON_ARRAY, FALSE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      char *place = g_strdup_printf ("/seeds/%zu", index);
      const char *text = json_string_value (value);
      if (text == NULL || !is_address (text))
        hbw_error_report_add (
            report, place, value,
            "expected an IP address and a port, such as 127.0.0.1:8080");
      else
        g_ptr_array_add (settings->seeds, g_strdup (text));
      g_free (place);
    }
  g_ptr_array_add (settings->seeds, NULL);
}

static void
read_token_hash (HbwJsonReader *reader, HbwErrorReport *report, json_t *root,
                 HbwSettings *settings)
{
  hbw_json_reader_string (reader, "admin_token_sha256", settings->admin_token_hash,
                          sizeof settings->admin_token_hash, "");
  const char *hash = settings->admin_token_hash;
  if (*hash != '\0' && !hbw_is_sha256_hex (hash))
    hbw_error_report_add (
        report, "/admin_token_sha256", json_object_get (root, "admin_token_sha256"),
        "expected the SHA-256 hash of the token in lower-case hexadecimal");
}

static void
read_bounds (HbwJsonReader *reader, HbwSettings *settings)
{
  settings->connection_limit = (guint) hbw_json_reader_int (
      reader, "connection_limit", 1, CONNECTION_LIMIT_MAX, CONNECTION_LIMIT_DEFAULT);
  settings->request_body_max = (guint) hbw_json_reader_int (
      reader, "body_max", 1024, BYTES_MAX, BODY_MAX_DEFAULT);
  settings->buffered_response_max = (guint) hbw_json_reader_int (
      reader, "answer_max", 1024, BYTES_MAX, ANSWER_MAX_DEFAULT);
  settings->connect_timeout_ms = (guint) hbw_json_reader_int (
      reader, "connect_timeout_ms", 1, TIMEOUT_MAX_MS, CONNECT_TIMEOUT_DEFAULT_MS);
  settings->first_byte_timeout_ms
      = (guint) hbw_json_reader_int (reader, "first_byte_timeout_ms", 1,
                                     TIMEOUT_MAX_MS, FIRST_BYTE_TIMEOUT_DEFAULT_MS);
  settings->stall_timeout_ms = (guint) hbw_json_reader_int (
      reader, "stall_timeout_ms", 1, TIMEOUT_MAX_MS, STALL_TIMEOUT_DEFAULT_MS);
  settings->caller_timeout_s = (guint) hbw_json_reader_int (
      reader, "caller_timeout_s", 1, CALLER_TIMEOUT_MAX_S, CALLER_TIMEOUT_DEFAULT_S);
}

static void
check_value (HbwErrorReport *report, const char *place, const char *text,
             gboolean valid, const char *remedy)
{
  if (valid)
    return;
  json_t *value = json_string (text);
  hbw_error_report_add (report, place, value, remedy);
  json_decref (value);
}

/* A request within the limits has to fit beside others in the part that is used for
   callers. */
static void
read_memory (HbwJsonReader *reader, HbwErrorReport *report, json_t *root,
             HbwSettings *settings)
{
  double mb = hbw_json_reader_real (reader, "memory_mb", 0, MEMORY_MAX_MB, 0);
  settings->memory_bytes = (gsize) (mb * (double) BYTES_PER_MB);
  gsize needed = HBW_MEMORY_SHARE_DIVISOR * (settings->request_body_max / 4 * 5)
                 + HBW_MEMORY_SHARE_DIVISOR * BYTES_PER_MB;
  if (settings->memory_bytes > 0 && settings->memory_bytes < needed)
    hbw_error_report_add (report, "/memory_mb", json_object_get (root, "memory_mb"),
                          "too small for body_max; expected at least 18 for bodies "
                          "of 4 MB, or 0 for no limit");
}

/* Reads a duration in units of UNIT_US, which may have a fraction.  Returns it in
   microseconds. */
static gint64
read_duration (HbwJsonReader *reader, const char *key, gint64 unit_us, double min,
               double default_value)
{
  double max = (double) TIMEOUT_MAX_MS * HBW_US_PER_MS / (double) unit_us;
  double value = hbw_json_reader_real (reader, key, min, max, default_value);
  return (gint64) (value * (double) unit_us);
}

static void
read_choices (HbwJsonReader *reader, HbwErrorReport *report, HbwSettings *settings)
{
  hbw_json_reader_string (reader, "interface", settings->interface,
                          sizeof settings->interface, HBW_INTERFACE_NATIVE);
  hbw_json_reader_string (reader, "policy", settings->policy,
                          sizeof settings->policy, "owner");
  check_value (report, "/interface", settings->interface,
               strcmp (settings->interface, HBW_INTERFACE_NATIVE) == 0
                   || strcmp (settings->interface, HBW_INTERFACE_PLATFORM) == 0,
               "expected \"native\" or \"platform\"");
  check_value (report, "/policy", settings->policy,
               hbw_policy_find (settings->policy) != NULL,
               "expected \"owner\", \"direct\", \"independent\" or \"round_robin\"");
  hbw_json_reader_string (reader, "ready_address", settings->ready_address,
                          HBW_ADDRESS_MAX, "");
  check_address (report, "/ready_address", settings->ready_address);
  hbw_json_reader_string (reader, "tunnel_address", settings->tunnel_address,
                          HBW_ADDRESS_MAX, "");
  check_address (report, "/tunnel_address", settings->tunnel_address);
  hbw_json_reader_string (reader, "source_address", settings->source_address,
                          HBW_ADDRESS_MAX, "");
  struct in_addr source;
  check_value (report, "/source_address", settings->source_address,
               *settings->source_address == '\0'
                   || inet_pton (AF_INET, settings->source_address, &source) == 1,
               "expected an IP address, such as 127.0.0.1");
  settings->load_in_responses
      = hbw_json_reader_bool (reader, "load_in_answers", FALSE);
  settings->ramps_servers = hbw_json_reader_bool (reader, "ramp_servers", FALSE);
  settings->max_revocation_delay_us
      = read_duration (reader, "revocation_ms", HBW_US_PER_MS, 0, 0);
  settings->server_heartbeat_us
      = read_duration (reader, "server_heartbeat_ms", HBW_US_PER_MS,
                       SERVER_HEARTBEAT_MIN_MS, SERVER_HEARTBEAT_DEFAULT_MS);
  settings->stop_grace_us
      = read_duration (reader, "stop_grace_s", HBW_US_PER_S, 0, 0);
  settings->link_mbps
      = (guint) hbw_json_reader_real (reader, "link_mbps", 0, LINK_MAX_MBPS, 0);
  settings->processor_percent
      = (guint) (100
                     * hbw_json_reader_real (reader, "processor_cores", 0,
                                             PROCESSOR_MAX_CORES, 0)
                 + 0.5);
  HbwRetryLimits *limits = &settings->retry_limits;
  limits->percent
      = (guint) (100 * hbw_json_reader_real (reader, "retry_ratio", 0, 1, 0.1)
                 + 0.5);
  limits->extra = (guint) hbw_json_reader_real (reader, "retry_extra", 0,
                                                RETRY_EXTRA_MAX, 160);
  limits->window_us
      = read_duration (reader, "retry_window_s", HBW_US_PER_S, 0.1, 10);
}

/* The platform's names of the duties: "metering" reports usage, "autoscale" orders
   servers.  Others are ignored, as another build may have them.  Null is what a
   template makes of a list that the platform does not have. */
static void
read_duties (HbwJsonReader *reader, HbwErrorReport *report, json_t *root,
             HbwSettings *settings)
{
  gboolean is_null = json_is_null (json_object_get (root, "duties"));
  json_t *list = hbw_json_reader_member (reader, "duties",
                                         is_null ? JSON_NULL : JSON_ARRAY, FALSE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      const char *duty = json_string_value (value);
      settings->reports_usage |= g_strcmp0 (duty, "metering") == 0;
      settings->orders_servers |= g_strcmp0 (duty, "autoscale") == 0;
      if (duty == NULL)
        hbw_error_report_add (report, "/duties", value,
                              "expected names, such as \"metering\"");
    }
}

static void
read_duty_interface (HbwJsonReader *reader, HbwErrorReport *report, json_t *root,
                     HbwSettings *settings)
{
  hbw_json_reader_string (reader, "duty_address", settings->duty_address,
                          HBW_ADDRESS_MAX, "");
  check_address (report, "/duty_address", settings->duty_address);
  check_value (report, "/duty_address", settings->duty_address,
               *settings->duty_address == '\0'
                   || strcmp (settings->interface, HBW_INTERFACE_PLATFORM) == 0,
               "expected the interface \"platform\" with it");
  read_duties (reader, report, root, settings);
  settings->duty_calls_per_s = hbw_json_reader_real (reader, "duty_calls_per_s", 0,
                                                     DUTY_CALLS_MAX_PER_S, 0);
  settings->duty_lease_us = read_duration (reader, "duty_lease_ms", HBW_US_PER_MS,
                                           DUTY_LEASE_MIN_MS, DUTY_LEASE_DEFAULT_MS);
  settings->usage_window_us
      = read_duration (reader, "usage_window_s", HBW_US_PER_S, USAGE_WINDOW_MIN_S,
                       USAGE_WINDOW_DEFAULT_S);
  settings->usage_tolerance = hbw_json_reader_real (reader, "usage_tolerance", 0, 1,
                                                    USAGE_TOLERANCE_DEFAULT);
  settings->usage_late_us = read_duration (reader, "usage_late_s", HBW_US_PER_S, 0,
                                           USAGE_LATE_DEFAULT_S);
}

static void
read_settings (HbwSettings *settings, HbwErrorReport *report, json_t *root)
{
  HbwJsonReader *reader = hbw_json_reader_create (report, root, "");
  hbw_json_reader_string (reader, "name", settings->name, sizeof settings->name,
                          NULL);
  hbw_json_reader_string (reader, "data_centre", settings->data_centre,
                          sizeof settings->data_centre, NULL);
  read_address (reader, report, "caller_address", settings->caller_address);
  read_address (reader, report, "admin_address", settings->admin_address);
  read_address (reader, report, "peer_address", settings->peer_address);
  read_address (reader, report, "platform_address", settings->platform_address);
  read_choices (reader, report, settings);
  read_duty_interface (reader, report, root, settings);
  read_token_hash (reader, report, root, settings);
  read_seeds (reader, report, settings);
  read_bounds (reader, settings);
  read_memory (reader, report, root, settings);
  hbw_json_reader_destroy (reader);
}

HbwSettings *
hbw_settings_parse (const char *text, gsize length, HbwError *error)
{
  json_t *root = hbw_json_parse (text, length, HBW_ERROR_SETTINGS, error);
  if (root == NULL)
    return NULL;
  HbwSettings *settings = g_new0 (HbwSettings, 1);
  settings->seeds = g_ptr_array_new_with_free_func (g_free);
  HbwErrorReport report;
  hbw_error_report_init (&report);
  read_settings (settings, &report, root);
  json_decref (root);
  if (report.error_count > 0)
    {
      hbw_error_set (error, HBW_ERROR_SETTINGS, "%s", report.text->str);
      g_clear_pointer (&settings, hbw_settings_destroy);
    }
  hbw_error_report_clear (&report);
  return settings;
}

HbwSettings *
hbw_settings_load (const char *path, HbwError *error)
{
  char *text;
  gsize length;
  GError *reason = NULL;
  if (!g_file_get_contents (path, &text, &length, &reason))
    {
      hbw_error_set (error, HBW_ERROR_SETTINGS, "%s; check the path and permissions",
                     reason->message);
      g_error_free (reason);
      return NULL;
    }
  HbwSettings *settings = hbw_settings_parse (text, length, error);
  g_free (text);
  return settings;
}

void
hbw_settings_destroy (HbwSettings *settings)
{
  g_ptr_array_free (settings->seeds, TRUE);
  g_free (settings);
}
