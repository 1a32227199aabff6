/*
 * json_reader - validating reader for JSON objects, with all errors in one report
 *
 * A reader reads one JSON object.  Each getter marks its key as known, checks the
 * type and range of the value, and adds a line "location: found VALUE; hint" to the
 * report if the value is invalid.  Keys that no getter has read are errors.
 */
#ifndef HORNBEAMWALL_COMMON_CHECK_H
#define HORNBEAMWALL_COMMON_CHECK_H

#include "hornbeamwall/common/error.h"

#include <jansson.h>

typedef struct
{
  GString *text; /* one line for each error */
  guint errors;
} HbwReport;

typedef struct HbwReader HbwReader;

/* Parses TEXT.  Returns a new reference, or NULL with line and column in ERROR, of
   KIND, if it is not valid JSON. */
json_t *hbw_check_load (const char *text, gsize length, HbwErrorKind kind,
                        HbwError *error);

/* Returns whether TEXT is a SHA-256 digest in lower-case hexadecimal. */
gboolean hbw_check_is_sha256 (const char *text);

void hbw_report_init (HbwReport *report);
void hbw_report_clear (HbwReport *report);

/* Adds an error about the value FOUND (may be NULL) at LOCATION, a JSON pointer;
   HINT says what was expected. */
void hbw_report_add (HbwReport *report, const char *location, json_t *found,
                     const char *hint);

/* Creates a reader of OBJECT (borrowed) at LOCATION.  A value that is not an object
   is reported, and then read as an empty object. */
HbwReader *hbw_reader_create (HbwReport *report, json_t *object,
                              const char *location);

/* Reports every key that no getter has read, then frees the reader. */
void hbw_reader_destroy (HbwReader *reader);

/* Returns an integer from MIN to MAX; FALLBACK if the key is absent or the value is
   invalid. */
gint64 hbw_reader_int (HbwReader *reader, const char *key, gint64 min, gint64 max,
                       gint64 fallback);

/* Like hbw_reader_int() for a required key; returns MIN on error. */
gint64 hbw_reader_required_int (HbwReader *reader, const char *key, gint64 min,
                                gint64 max);

/* Returns a number from MIN to MAX; FALLBACK if the key is absent or the value is
   invalid. */
double hbw_reader_real (HbwReader *reader, const char *key, double min, double max,
                        double fallback);

gboolean hbw_reader_bool (HbwReader *reader, const char *key, gboolean fallback);

/* Copies a string of 1 to SIZE - 1 bytes into BUFFER, or FALLBACK if the key is
   absent. If FALLBACK is NULL, the key is required.  Copies "" on error. */
void hbw_reader_string (HbwReader *reader, const char *key, char *buffer, gsize size,
                        const char *fallback);

/* Returns the member (borrowed), or NULL if it is absent or not of TYPE. */
json_t *hbw_reader_member (HbwReader *reader, const char *key, json_type type,
                           gboolean required);

/* Returns the JSON pointer to KEY as a new string. */
char *hbw_reader_place (const HbwReader *reader, const char *key);

#endif
