#include "hornbeamwall/core/directory.h"

#include "hornbeamwall/common/check.h"

#include <string.h>

/* Maximum number of slots that a backend server may report. */
#define SLOTS_MAX 4096

typedef void (*ParseItem) (GPtrArray *items, HbwReader *reader);

static void
parse_server (GPtrArray *items, HbwReader *reader)
{
  HbwServerEntry *server = g_new0 (HbwServerEntry, 1);
  char state[16];
  hbw_reader_string (reader, "id", server->id, sizeof server->id, NULL);
  hbw_reader_string (reader, "pool", server->pool, sizeof server->pool, NULL);
  hbw_reader_string (reader, "data_centre", server->data_centre,
                     sizeof server->data_centre, NULL);
  hbw_reader_string (reader, "address", server->address, sizeof server->address,
                     NULL);
  hbw_reader_string (reader, "state", state, sizeof state, "live");
  server->slots = (guint) hbw_reader_required_int (reader, "slots", 1, SLOTS_MAX);
  server->start = (guint64) hbw_reader_int (reader, "start", 0, G_MAXINT64, 0);
  server->lapsed = hbw_reader_bool (reader, "lapsed", FALSE);
  server->leaving = strcmp (state, "live") != 0;
  g_ptr_array_add (items, server);
}

static void
parse_instance (GPtrArray *items, HbwReader *reader)
{
  HbwInstanceEntry *instance = g_new0 (HbwInstanceEntry, 1);
  hbw_reader_string (reader, "name", instance->name, sizeof instance->name, NULL);
  hbw_reader_string (reader, "data_centre", instance->data_centre,
                     sizeof instance->data_centre, NULL);
  hbw_reader_string (reader, "address", instance->address, sizeof instance->address,
                     NULL);
  g_ptr_array_add (items, instance);
}

static GPtrArray *
parse_list (const char *text, gsize length, const char *key, ParseItem parse_item,
            HbwError *error)
{
  json_t *root = hbw_check_load (text, length, HBW_ERROR_DOCUMENT, error);
  if (root == NULL)
    return NULL;
  GPtrArray *items = g_ptr_array_new_with_free_func (g_free);
  HbwReport report;
  hbw_report_init (&report);
  HbwReader *reader = hbw_reader_create (&report, root, "");
  json_t *list = hbw_reader_member (reader, key, JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      char *location = g_strdup_printf ("/%s/%zu", key, index);
      HbwReader *item = hbw_reader_create (&report, value, location);
      parse_item (items, item);
      hbw_reader_destroy (item);
      g_free (location);
    }
  hbw_reader_destroy (reader);
  json_decref (root);
  if (report.errors > 0)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "%s", report.text->str);
      g_clear_pointer (&items, g_ptr_array_unref);
    }
  hbw_report_clear (&report);
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
  json_t *root = hbw_check_load (text, length, HBW_ERROR_DOCUMENT, error);
  if (root == NULL)
    return NULL;
  GHashTable *stops = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  HbwReport report;
  hbw_report_init (&report);
  HbwReader *reader = hbw_reader_create (&report, root, "");
  hbw_reader_member (reader, "changes", JSON_ARRAY, FALSE);
  json_t *list = hbw_reader_member (reader, "stops", JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      if (json_is_string (value))
        g_hash_table_add (stops, g_strdup (json_string_value (value)));
      else
        hbw_report_add (&report, "/stops", value,
                        "expected names of servers or instances");
    }
  hbw_reader_destroy (reader);
  json_decref (root);
  if (report.errors > 0)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "%s", report.text->str);
      g_clear_pointer (&stops, g_hash_table_unref);
    }
  hbw_report_clear (&report);
  return stops;
}
