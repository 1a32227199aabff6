/*
 * error - typed errors
 *
 * A function that can fail takes a pointer to an HbwError as its last argument,
 * fills it in on failure, and returns FALSE or NULL.  The message says what is wrong
 * and how to correct it.
 */
#ifndef HORNBEAMWALL_COMMON_ERROR_H
#define HORNBEAMWALL_COMMON_ERROR_H

#include <glib.h>

/* Size of an error message, in bytes, including the terminating NUL. */
#define HBW_ERROR_MESSAGE_MAX 2048

typedef enum
{
  HBW_ERROR_NONE = 0,
  HBW_ERROR_USAGE,     /* invalid command line */
  HBW_ERROR_SETTINGS,  /* settings file unreadable or invalid */
  HBW_ERROR_DOCUMENT,  /* invalid platform document */
  HBW_ERROR_MESSAGE,   /* invalid peer message */
  HBW_ERROR_NETWORK,   /* address cannot be bound or connected to */
  HBW_ERROR_STORE,     /* platform object API does not respond */
  HBW_ERROR_CONFLICT,  /* compare-and-swap failed */
  HBW_ERROR_NOT_FOUND, /* named object does not exist */
} HbwErrorKind;

typedef struct
{
  HbwErrorKind kind;
  char message[HBW_ERROR_MESSAGE_MAX];
} HbwError;

/* Fills in ERROR; a message that is too long is truncated.  ERROR may be NULL. */
void hbw_error_set (HbwError *error, HbwErrorKind kind, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Returns the lower-case name of KIND, as used in logs and responses. */
const char *hbw_error_kind_name (HbwErrorKind kind);

#endif
