#include "hornbeamwall/core/directory.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/common/json_reader.h"

#include <string.h>
#include <xxhash.h>

/* Maximum number of slots that a backend server may report. */
#define SLOTS_MAX 4096

/* Longest time until a server leaves that it may report, in milliseconds. */
#define LEAVES_IN_MAX_MS 86400000

typedef void (*ParseItem) (GPtrArray *items, HbwJsonReader *reader);

/* Versions of different pools are not comparable. */
static guint64
hash_version (const HbwServerEntry *server)
{
  if (*server->version == '\0')
    return 0;
  return XXH3_64bits_withSeed (server->version, strlen (server->version),
                               XXH3_64bits (server->pool, strlen (server->pool)));
}

static void
parse_server (GPtrArray *items, HbwJsonReader *reader)
{
  HbwServerEntry *server = g_new0 (HbwServerEntry, 1);
  char state[16];
  hbw_json_reader_string (reader, "id", server->id, sizeof server->id, NULL);
  hbw_json_reader_string (reader, "pool", server->pool, sizeof server->pool, NULL);
  hbw_json_reader_string (reader, "data_centre", server->data_centre,
                          sizeof server->data_centre, NULL);
  hbw_json_reader_string (reader, "address", server->address, sizeof server->address,
                          NULL);
  hbw_json_reader_string (reader, "state", state, sizeof state, "live");
  server->slots
      = (guint) hbw_json_reader_required_int (reader, "slots", 1, SLOTS_MAX);
  server->start_number
      = (guint64) hbw_json_reader_int (reader, "start", 0, G_MAXINT64, 0);
  server->expired = hbw_json_reader_bool (reader, "lapsed", FALSE);
  hbw_json_reader_string (reader, "version", server->version, sizeof server->version,
                          "");
  server->version_hash = hash_version (server);
  server->reclaimable = hbw_json_reader_bool (reader, "reclaimable", FALSE);
  server->leaves_in_us
      = HBW_US_PER_MS
        * hbw_json_reader_int (reader, "leaves_in_ms", 0, LEAVES_IN_MAX_MS, 0);
  server->leaving = strcmp (state, "live") != 0;
  g_ptr_array_add (items, server);
}

static void
parse_instance (GPtrArray *items, HbwJsonReader *reader)
{
  HbwInstanceEntry *instance = g_new0 (HbwInstanceEntry, 1);
  hbw_json_reader_string (reader, "name", instance->name, sizeof instance->name,
                          NULL);
  hbw_json_reader_string (reader, "data_centre", instance->data_centre,
                          sizeof instance->data_centre, NULL);
  hbw_json_reader_string (reader, "address", instance->address,
                          sizeof instance->address, NULL);
  g_ptr_array_add (items, instance);
}

static GPtrArray *
parse_list (const char *text, gsize length, const char *key, ParseItem parse_item,
            HbwError *error)
{
  json_t *root = hbw_json_parse (text, length, HBW_ERROR_DOCUMENT, error);
  if (root == NULL)
    return NULL;
  GPtrArray *items = g_ptr_array_new_with_free_func (g_free);
  HbwErrorReport report;
  hbw_error_report_init (&report);
  HbwJsonReader *reader = hbw_json_reader_create (&report, root, "");
  json_t *list = hbw_json_reader_member (reader, key, JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      char *location = g_strdup_printf ("/%s/%zu", key, index);
      HbwJsonReader *item = hbw_json_reader_create (&report, value, location);
      parse_item (items, item);
      hbw_json_reader_destroy (item);
      g_free (location);
    }
  hbw_json_reader_destroy (reader);
  json_decref (root);
  if (report.error_count > 0)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "%s", report.text->str);
      g_clear_pointer (&items, g_ptr_array_unref);
    }
  hbw_error_report_clear (&report);
  return items;
}

GPtrArray *
hbw_directory_parse_servers (const char *text, gsize length, HbwError *error)
{
  return parse_list (text, length, "servers", parse_server, error);
}

GPtrArray *
hbw_directory_parse_instances (const char *text, gsize length, HbwError *error)
{
  return parse_list (text, length, "instances", parse_instance, error);
}

GHashTable *
hbw_directory_parse_stops (const char *text, gsize length, HbwError *error)
{
  json_t *root = hbw_json_parse (text, length, HBW_ERROR_DOCUMENT, error);
  if (root == NULL)
    return NULL;
  GHashTable *stops = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  HbwErrorReport report;
  hbw_error_report_init (&report);
  HbwJsonReader *reader = hbw_json_reader_create (&report, root, "");
  /* Marks the key as known; only net/document_edit.c uses these change ids. */
  hbw_json_reader_member (reader, "changes", JSON_ARRAY, FALSE);
  json_t *list = hbw_json_reader_member (reader, "stops", JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      if (json_is_string (value))
        g_hash_table_add (stops, g_strdup (json_string_value (value)));
      else
        hbw_error_report_add (&report, "/stops", value,
                              "expected names of servers or instances");
    }
  hbw_json_reader_destroy (reader);
  json_decref (root);
  if (report.error_count > 0)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "%s", report.text->str);
      g_clear_pointer (&stops, g_hash_table_unref);
    }
  hbw_error_report_clear (&report);
  return stops;
}
