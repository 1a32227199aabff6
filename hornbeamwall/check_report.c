#include "hornbeamwall/check_report.h"

#include <stdio.h>
#include <stdlib.h>

static const char *
severity_name (HbwSeverity severity)
{
  return severity == HBW_SEVERITY_ERROR ? "error" : "warning";
}

/* Values that an error quotes are cut at a number of bytes, also within a character.
 */
static json_t *
pack_text (const char *text)
{
  char *valid = g_utf8_make_valid (text, -1);
  json_t *value = json_string (valid);
  g_free (valid);
  return value;
}

static void
print_value (const char *prefix, json_t *value)
{
  if (value == NULL)
    return;
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  printf ("%s%s", prefix, text);
  free (text);
}

void
hbw_check_report_print_findings (const char *file, const GPtrArray *findings)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const HbwFinding *finding = g_ptr_array_index (findings, i);
      fprintf (stderr, "%s: %s: %s%s%s\n", file, severity_name (finding->severity),
               finding->path, *finding->path != '\0' ? ": " : "", finding->text);
    }
}

void
hbw_check_report_print_differences (const GPtrArray *differences)
{
  for (guint i = 0; i < differences->len; i++)
    {
      const HbwDifference *difference = g_ptr_array_index (differences, i);
      gboolean is_change = difference->kind == HBW_DIFFERENCE_CHANGED;
      printf ("%s %s:", hbw_difference_kind_name (difference->kind),
              difference->path);
      print_value (" ", difference->old_value);
      print_value (is_change ? " -> " : " ", difference->new_value);
      printf ("\n");
    }
}

void
hbw_check_report_append_findings (json_t *array, const char *file,
                                  const GPtrArray *findings)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const HbwFinding *finding = g_ptr_array_index (findings, i);
      json_array_append_new (
          array,
          json_pack ("{s:o, s:s, s:s, s:o, s:o}", "file", pack_text (file),
                     "severity", severity_name (finding->severity), "kind",
                     hbw_finding_kind_name (finding->kind), "path",
                     pack_text (finding->path), "text", pack_text (finding->text)));
    }
}

json_t *
hbw_check_report_pack_differences (const GPtrArray *differences)
{
  json_t *array = json_array ();
  for (guint i = 0; i < differences->len; i++)
    {
      const HbwDifference *difference = g_ptr_array_index (differences, i);
      json_array_append_new (
          array, json_pack ("{s:s, s:s, s:O*, s:O*}", "kind",
                            hbw_difference_kind_name (difference->kind), "path",
                            difference->path, "old", difference->old_value, "new",
                            difference->new_value));
    }
  return array;
}
