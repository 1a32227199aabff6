/*
 * check - reading a JSON object as a whole, with every error in one report
 *
 * A reader looks at one JSON object.  Each getter notes its key as known, checks
 * type and range, and adds a line "place: found VALUE; remedy" to the report
 * when the value is not acceptable.  Keys that no getter asked for are errors.
 */
#ifndef HORNBEAMWALL_COMMON_CHECK_H
#define HORNBEAMWALL_COMMON_CHECK_H

#include "hornbeamwall/common/error.h"

#include <jansson.h>

typedef struct
{
  GString *text; /* one line an error */
  guint errors;
} HbwReport;

typedef struct HbwReader HbwReader;

/* Parses TEXT; returns NULL with line and column in ERROR, of KIND, where it is not
   valid JSON. */
json_t *hbw_check_load (const char *text, gsize length, HbwErrorKind kind,
                        HbwError *error);

/* Returns whether TEXT is a SHA-256 in lower-case hexadecimal. */
gboolean hbw_check_is_sha256 (const char *text);

void hbw_report_init (HbwReport *report);
void hbw_report_clear (HbwReport *report);

/* Adds an error about FOUND (may be NULL) at PLACE, a JSON pointer. */
void hbw_report_add (HbwReport *report, const char *place, json_t *found,
                     const char *remedy);

/* Creates a reader of OBJECT, which stands at PLACE; a value that is no object is
   reported and then read as an empty one. */
HbwReader *hbw_reader_create (HbwReport *report, json_t *object, const char *place);

/* Reports every key that was not asked for, then frees the reader. */
void hbw_reader_destroy (HbwReader *reader);

/* Returns an integer from MIN to MAX, FALLBACK where the key is absent. */
gint64 hbw_reader_int (HbwReader *reader, const char *key, gint64 min, gint64 max,
                       gint64 fallback);

/* Like hbw_reader_int() for a key that must be there. */
gint64 hbw_reader_required_int (HbwReader *reader, const char *key, gint64 min,
                                gint64 max);

/* Returns a number from MIN to MAX, FALLBACK where the key is absent. */
double hbw_reader_real (HbwReader *reader, const char *key, double min, double max,
                        double fallback);

gboolean hbw_reader_bool (HbwReader *reader, const char *key, gboolean fallback);

/* Copies a string of 1 to SIZE - 1 bytes into BUFFER.  Where the key is absent,
   copies FALLBACK; a NULL fallback makes the key required. */
void hbw_reader_string (HbwReader *reader, const char *key, char *buffer, gsize size,
                        const char *fallback);

/* Returns the member (borrowed), or NULL where it is absent or not of TYPE. */
json_t *hbw_reader_member (HbwReader *reader, const char *key, json_type type,
                           gboolean required);

/* Writes the place of KEY below the reader's own into a new string. */
char *hbw_reader_place (const HbwReader *reader, const char *key);

#endif
