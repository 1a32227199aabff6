#include "hornbeamwall/core/endpoint.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>

/* Names of the values of HbwRepeat. */
static const char *const repeat_names[] = {
  [HBW_REPEAT_ALWAYS] = "always",
  [HBW_REPEAT_NEVER] = "never",
  [HBW_REPEAT_RESUME] = "resume",
};

struct HbwEndpoints
{
  GHashTable *by_host_and_prefix; /* "host path_prefix" -> HbwEndpoint */
};

static void
endpoint_free (gpointer data)
{
  HbwEndpoint *endpoint = data;
  g_free (endpoint->path_prefix);
  g_free (endpoint->targets);
  g_free (endpoint);
}

static char *
format_key (const char *host, const char *prefix, gsize length)
{
  return g_strdup_printf ("%s %.*s", host, (int) length, prefix);
}

static void
parse_targets (HbwJsonReader *reader, HbwErrorReport *report, HbwEndpoint *endpoint)
{
  json_t *list = hbw_json_reader_member (reader, "targets", JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  char *location = hbw_json_reader_location (reader, "targets");
  endpoint->targets = g_new0 (HbwEndpointTarget, json_array_size (list));
  json_array_foreach (list, index, value)
    {
      HbwEndpointTarget *target = &endpoint->targets[endpoint->target_count++];
      HbwJsonReader *item = hbw_json_reader_create (report, value, location);
      hbw_json_reader_string (item, "pool", target->pool, sizeof target->pool, NULL);
      target->weight = (guint) hbw_json_reader_int (item, "weight", 0,
                                                    HBW_ENDPOINT_WEIGHT_MAX, 1);
      hbw_json_reader_destroy (item);
    }
  g_free (location);
}

static HbwRepeat
parse_repeat (HbwJsonReader *reader, HbwErrorReport *report, json_t *value)
{
  char text[16];
  hbw_json_reader_string (reader, "repeat", text, sizeof text, "never");
  for (gsize i = 0; i < G_N_ELEMENTS (repeat_names); i++)
    if (strcmp (text, repeat_names[i]) == 0)
      return (HbwRepeat) i;
  char *location = hbw_json_reader_location (reader, "repeat");
  hbw_error_report_add (report, location, json_object_get (value, "repeat"),
                        "expected \"always\", \"never\" or \"resume\"");
  g_free (location);
  return HBW_REPEAT_NEVER;
}

HbwEndpoints *
hbw_endpoints_create (void)
{
  HbwEndpoints *endpoints = g_new0 (HbwEndpoints, 1);
  endpoints->by_host_and_prefix
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, endpoint_free);
  return endpoints;
}

void
hbw_endpoints_destroy (HbwEndpoints *endpoints)
{
  g_hash_table_destroy (endpoints->by_host_and_prefix);
  g_free (endpoints);
}

const HbwEndpoint *
hbw_endpoints_add (HbwEndpoints *endpoints, HbwErrorReport *report, const char *name,
                   json_t *value, const char *location)
{
  char prefix[HBW_PATH_PREFIX_MAX];
  HbwEndpoint *endpoint = g_new0 (HbwEndpoint, 1);
  g_strlcpy (endpoint->name, name, sizeof endpoint->name);
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  hbw_json_reader_string (reader, "host", endpoint->host, sizeof endpoint->host,
                          NULL);
  hbw_json_reader_string (reader, "path_prefix", prefix, sizeof prefix, NULL);
  hbw_json_reader_string (reader, "class", endpoint->class_name,
                          sizeof endpoint->class_name, NULL);
  endpoint->path_prefix = g_strdup (prefix);
  endpoint->repeat = parse_repeat (reader, report, value);
  endpoint->streaming = hbw_json_reader_bool (reader, "streaming", FALSE);
  endpoint->anonymous = hbw_json_reader_bool (reader, "anonymous", FALSE);
  endpoint->attempts_max = (guint) hbw_json_reader_int (
      reader, "attempts", 1, HBW_ENDPOINT_ATTEMPTS_MAX, 1);
  endpoint->timeout_us = HBW_US_PER_MS
                         * hbw_json_reader_required_int (
                             reader, "timeout_ms", 1, HBW_CATALOGUE_DURATION_MAX_MS);
  parse_targets (reader, report, endpoint);
  hbw_json_reader_destroy (reader);
  gsize length = strlen (prefix);
  if (length > 0 && (*prefix != '/' || prefix[length - 1] != '/'))
    hbw_error_report_add (
        report, location, json_object_get (value, "path_prefix"),
        "expected a path prefix that begins and ends with a slash");
  char *key = format_key (endpoint->host, prefix, length);
  g_hash_table_replace (endpoints->by_host_and_prefix, key, endpoint);
  return endpoint;
}

const HbwEndpoint *
hbw_endpoints_find (const HbwEndpoints *endpoints, const char *host,
                    const char *path)
{
  for (gsize length = strlen (path); length > 0; length--)
    {
      if (path[length - 1] != '/')
        continue;
      char *key = format_key (host, path, length);
      const HbwEndpoint *endpoint
          = g_hash_table_lookup (endpoints->by_host_and_prefix, key);
      g_free (key);
      if (endpoint != NULL)
        return endpoint;
    }
  return NULL;
}
