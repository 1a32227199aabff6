/*
 * json_scan - splits JSON text into its values without reading them
 *
 * Only the structure of the text is checked: brackets, commas, colons and the ends
 * of strings.  Values may be nested to any depth, numbers may have any size and
 * strings any bytes, so that a value which the JSON library rejects can be left out
 * without losing the values around it.
 */
#ifndef HORNBEAMWALL_COMMON_JSON_SCAN_H
#define HORNBEAMWALL_COMMON_JSON_SCAN_H

#include <glib.h>
#include <jansson.h>

/* The text of one value, without the white space around it; borrowed. */
typedef struct
{
  const char *text;
  gsize length;
} HbwJsonSpan;

/* Sets SPAN to the value that TEXT consists of.  Returns FALSE if TEXT is not one
   value. */
gboolean hbw_json_scan (const char *text, gsize length, HbwJsonSpan *span);

/* Visits a member of an object, or an element of an array, whose KEY is NULL. */
typedef void (*HbwJsonVisit) (const char *key, HbwJsonSpan value, void *data);

/* Calls VISIT for each member or element of SPAN, from hbw_json_scan() or a visit.
   Members whose key is not valid JSON are passed over. */
void hbw_json_scan_foreach (HbwJsonSpan span, HbwJsonVisit visit, void *data);

/* Returns the value as a new reference, or NULL if the JSON library rejects it. */
json_t *hbw_json_load (HbwJsonSpan span);

/* Like hbw_json_load(), but where only members of an object are rejected, these are
   null.  Returns null if the value is rejected and is not an object. */
json_t *hbw_json_load_members (HbwJsonSpan span);

#endif
