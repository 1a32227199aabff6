#include "hornbeamwall/core/duty/duty_record.h"

#include <stdlib.h>
#include <string.h>

static guint64
parse_number (const json_t *root, const char *key)
{
  json_int_t number = json_integer_value (json_object_get (root, key));
  return number > 0 && (guint64) number <= HBW_DUTY_NUMBER_MAX ? (guint64) number
                                                               : 0;
}

static guint64
parse_holder (const json_t *root)
{
  const char *text = json_string_value (json_object_get (root, "holder"));
  guint64 holder;
  if (text == NULL)
    return HBW_DUTY_HOLDER_UNKNOWN;
  if (*text == '\0')
    return HBW_DUTY_HOLDER_NONE;
  gboolean valid
      = g_ascii_string_to_unsigned (text, 10, 1, G_MAXUINT64, &holder, NULL);
  return valid ? holder : HBW_DUTY_HOLDER_UNKNOWN;
}

void
hbw_duty_record_parse (HbwDutyRecord *record, GBytes *body)
{
  gsize length = 0;
  const char *text = body != NULL ? g_bytes_get_data (body, &length) : NULL;
  json_t *root = text != NULL ? json_loadb (text, length, 0, NULL) : NULL;
  const char *name = json_string_value (json_object_get (root, "name"));
  json_t *tasks = json_object_get (root, "tasks");
  *record = (HbwDutyRecord){ .holder = parse_holder (root) };
  g_strlcpy (record->name, name != NULL ? name : "", sizeof record->name);
  record->fencing_token = parse_number (root, "fencing_token");
  record->sequence = parse_number (root, "sequence");
  record->tasks = json_is_object (tasks) ? json_incref (tasks) : NULL;
  json_decref (root);
}

GBytes *
hbw_duty_record_format (const HbwDutyRecord *record)
{
  char holder[24] = "";
  if (record->holder != HBW_DUTY_HOLDER_NONE)
    g_snprintf (holder, sizeof holder, "%" G_GUINT64_FORMAT, record->holder);
  json_t *tasks
      = record->tasks != NULL ? json_incref (record->tasks) : json_object ();
  json_t *root
      = json_pack ("{s:s, s:s, s:I, s:I, s:o}", "holder", holder, "name",
                   record->name, "fencing_token", (json_int_t) record->fencing_token,
                   "sequence", (json_int_t) record->sequence, "tasks", tasks);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  GBytes *body = g_bytes_new (text, strlen (text));
  free (text);
  return body;
}

void
hbw_duty_record_copy (HbwDutyRecord *target, const HbwDutyRecord *source)
{
  *target = *source;
  json_incref (target->tasks);
}

void
hbw_duty_record_clear (HbwDutyRecord *record)
{
  json_decref (record->tasks);
  *record = (HbwDutyRecord){ .holder = HBW_DUTY_HOLDER_UNKNOWN };
}
