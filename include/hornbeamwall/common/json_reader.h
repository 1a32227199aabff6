/*
 * json_reader - validating reader for JSON objects, with all errors in one report
 *
 * A reader reads one JSON object.  Each getter marks its key as known, checks the
 * type and range of the value, and adds a line "location: found VALUE; hint" to the
 * report if the value is invalid.  Keys that no getter has read are errors.
 */
#ifndef HORNBEAMWALL_COMMON_JSON_READER_H
#define HORNBEAMWALL_COMMON_JSON_READER_H

#include "hornbeamwall/common/error.h"

#include <jansson.h>

/* Maximum length of the VALUE that an error shows, in bytes. */
#define HBW_ERROR_FOUND_MAX 60

typedef struct
{
  GString *text; /* one line for each error */
  guint error_count;
} HbwErrorReport;

typedef struct HbwJsonReader HbwJsonReader;

/* Parses TEXT.  Returns a new reference, or NULL with line and column in ERROR, of
   KIND, if it is not valid JSON. */
json_t *hbw_json_parse (const char *text, gsize length, HbwErrorKind kind,
                        HbwError *error);

/* Returns whether TEXT is a SHA-256 digest in lower-case hexadecimal. */
gboolean hbw_is_sha256_hex (const char *text);

void hbw_error_report_init (HbwErrorReport *report);
void hbw_error_report_clear (HbwErrorReport *report);

/* Adds an error about the value FOUND (may be NULL) at LOCATION, a JSON pointer;
   HINT says what was expected. */
void hbw_error_report_add (HbwErrorReport *report, const char *location,
                           json_t *found, const char *hint);

/* Creates a reader of OBJECT (borrowed) at LOCATION.  A value that is not an object
   is reported, and then read as an empty object. */
HbwJsonReader *hbw_json_reader_create (HbwErrorReport *report, json_t *object,
                                       const char *location);

/* Reports every key that no getter has read, then frees the reader. */
void hbw_json_reader_destroy (HbwJsonReader *reader);

/* Returns an integer from MIN to MAX; FALLBACK if the key is absent or the value is
   invalid. */
gint64 hbw_json_reader_int (HbwJsonReader *reader, const char *key, gint64 min,
                            gint64 max, gint64 fallback);

/* Like hbw_json_reader_int() for a required key; returns MIN on error. */
gint64 hbw_json_reader_required_int (HbwJsonReader *reader, const char *key,
                                     gint64 min, gint64 max);

/* Returns a number from MIN to MAX; FALLBACK if the key is absent or the value is
   invalid. */
double hbw_json_reader_real (HbwJsonReader *reader, const char *key, double min,
                             double max, double fallback);

gboolean hbw_json_reader_bool (HbwJsonReader *reader, const char *key,
                               gboolean fallback);

/* Copies a string of 1 to SIZE - 1 bytes into BUFFER, or FALLBACK if the key is
   absent. If FALLBACK is NULL, the key is required.  Copies "" on error. */
void hbw_json_reader_string (HbwJsonReader *reader, const char *key, char *buffer,
                             gsize size, const char *fallback);

/* Returns the member of any type (borrowed), or NULL if it is absent. */
json_t *hbw_json_reader_any (HbwJsonReader *reader, const char *key);

/* Returns the member (borrowed), or NULL if it is absent or not of TYPE. */
json_t *hbw_json_reader_member (HbwJsonReader *reader, const char *key,
                                json_type type, gboolean required);

/* Returns the JSON pointer to KEY as a new string. */
char *hbw_json_reader_location (const HbwJsonReader *reader, const char *key);

#endif
