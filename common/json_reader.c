#include "hornbeamwall/common/json_reader.h"

#include <string.h>

/* Length of a SHA-256 in hexadecimal, in bytes. */
#define SHA256_LENGTH 64

struct HbwJsonReader
{
  HbwErrorReport *report;
  json_t *object;
  char *location;
  GHashTable *known_keys; /* keys that a getter has read */
};

static const char *
type_name (json_type type)
{
  switch (type)
    {
    case JSON_OBJECT:
      return "an object";
    case JSON_ARRAY:
      return "an array";
    case JSON_STRING:
      return "a string";
    case JSON_INTEGER:
      return "an integer";
    default:
      return "another type";
    }
}

static json_t *
get_value (HbwJsonReader *reader, const char *key)
{
  g_hash_table_add (reader->known_keys, g_strdup (key));
  return json_object_get (reader->object, key);
}

static void
report_error (HbwJsonReader *reader, const char *key, json_t *found,
              const char *hint)
{
  char *location = hbw_json_reader_location (reader, key);
  hbw_error_report_add (reader->report, location, found, hint);
  g_free (location);
}

static gint64
read_int (HbwJsonReader *reader, const char *key, json_t *value, gint64 min,
          gint64 max, gint64 fallback)
{
  if (json_is_integer (value) && json_integer_value (value) >= min
      && json_integer_value (value) <= max)
    return json_integer_value (value);
  char *hint = g_strdup_printf ("expected an integer from %" G_GINT64_FORMAT
                                " to %" G_GINT64_FORMAT,
                                min, max);
  report_error (reader, key, value, hint);
  g_free (hint);
  return fallback;
}

json_t *
hbw_json_parse (const char *text, gsize length, HbwErrorKind kind, HbwError *error)
{
  json_error_t position;
  json_t *root = json_loadb (text, length, JSON_REJECT_DUPLICATES, &position);
  if (root == NULL)
    hbw_error_set (error, kind, "line %d column %d: %s; expected valid JSON",
                   position.line, position.column, position.text);
  return root;
}

gboolean
hbw_is_sha256_hex (const char *text)
{
  return strlen (text) == SHA256_LENGTH
         && strspn (text, "0123456789abcdef") == SHA256_LENGTH;
}

void
hbw_error_report_init (HbwErrorReport *report)
{
  report->text = g_string_new (NULL);
  report->error_count = 0;
}

void
hbw_error_report_clear (HbwErrorReport *report)
{
  g_string_free (report->text, TRUE);
  report->text = NULL;
}

void
hbw_error_report_add (HbwErrorReport *report, const char *location, json_t *found,
                      const char *hint)
{
  char *text
      = found != NULL ? json_dumps (found, JSON_ENCODE_ANY | JSON_COMPACT) : NULL;
  g_string_append_printf (
      report->text, "%s%s: found %.*s; %s", report->error_count > 0 ? "\n" : "",
      location, HBW_ERROR_FOUND_MAX, text != NULL ? text : "nothing", hint);
  report->error_count++;
  free (text);
}

HbwJsonReader *
hbw_json_reader_create (HbwErrorReport *report, json_t *object, const char *location)
{
  HbwJsonReader *reader = g_new0 (HbwJsonReader, 1);
  reader->report = report;
  reader->location = g_strdup (location);
  reader->known_keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  reader->object = json_is_object (object) ? object : NULL;
  if (reader->object == NULL)
    hbw_error_report_add (report, *location != '\0' ? location : "/", object,
                          "expected a JSON object");
  return reader;
}

void
hbw_json_reader_destroy (HbwJsonReader *reader)
{
  const char *key;
  json_t *value;
  json_object_foreach (reader->object, key, value)
    {
      if (!g_hash_table_contains (reader->known_keys, key))
        report_error (reader, key, value,
                      "unknown key; remove it or correct its spelling");
    }
  g_hash_table_destroy (reader->known_keys);
  g_free (reader->location);
  g_free (reader);
}

gint64
hbw_json_reader_int (HbwJsonReader *reader, const char *key, gint64 min, gint64 max,
                     gint64 fallback)
{
  json_t *value = get_value (reader, key);
  if (value == NULL)
    return fallback;
  return read_int (reader, key, value, min, max, fallback);
}

gint64
hbw_json_reader_required_int (HbwJsonReader *reader, const char *key, gint64 min,
                              gint64 max)
{
  return read_int (reader, key, get_value (reader, key), min, max, min);
}

double
hbw_json_reader_real (HbwJsonReader *reader, const char *key, double min, double max,
                      double fallback)
{
  json_t *value = get_value (reader, key);
  if (value == NULL)
    return fallback;
  double number = json_number_value (value);
  if (json_is_number (value) && number >= min && number <= max)
    return number;
  char hint[128];
  g_snprintf (hint, sizeof hint, "expected a number from %g to %g", min, max);
  report_error (reader, key, value, hint);
  return fallback;
}

gboolean
hbw_json_reader_bool (HbwJsonReader *reader, const char *key, gboolean fallback)
{
  json_t *value = get_value (reader, key);
  if (value == NULL)
    return fallback;
  if (!json_is_boolean (value))
    report_error (reader, key, value, "expected true or false");
  return json_is_true (value);
}

void
hbw_json_reader_string (HbwJsonReader *reader, const char *key, char *buffer,
                        gsize size, const char *fallback)
{
  json_t *value = get_value (reader, key);
  const char *text = json_string_value (value);
  if (value == NULL && fallback != NULL)
    text = fallback;
  else if (text == NULL || *text == '\0' || strlen (text) >= size)
    {
      char *hint = g_strdup_printf (
          "expected a string of 1 to %" G_GSIZE_FORMAT " bytes", size - 1);
      report_error (reader, key, value, hint);
      g_free (hint);
      text = "";
    }
  g_strlcpy (buffer, text, size);
}

json_t *
hbw_json_reader_any (HbwJsonReader *reader, const char *key)
{
  return get_value (reader, key);
}

json_t *
hbw_json_reader_member (HbwJsonReader *reader, const char *key, json_type type,
                        gboolean required)
{
  json_t *value = get_value (reader, key);
  if (value != NULL && json_typeof (value) == type)
    return value;
  if (value != NULL || required)
    {
      char *hint = g_strdup_printf ("expected %s", type_name (type));
      report_error (reader, key, value, hint);
      g_free (hint);
    }
  return NULL;
}

char *
hbw_json_reader_location (const HbwJsonReader *reader, const char *key)
{
  return g_strdup_printf ("%s/%s", reader->location, key);
}
