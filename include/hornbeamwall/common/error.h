/*
 * error - typed errors that are passed down
 *
 * A function that can fail takes an HbwError as its last argument and
 * returns FALSE or NULL after it has filled it in.  The message names what was
 * wrong and what to do about it.
 */
#ifndef HORNBEAMWALL_COMMON_ERROR_H
#define HORNBEAMWALL_COMMON_ERROR_H

#include <glib.h>

/* Longest message of an error, in bytes, with its end mark. */
#define HBW_ERROR_MESSAGE_MAX 2048

typedef enum
{
  HBW_ERROR_NONE = 0,
  HBW_ERROR_USAGE,     /* wrong command line */
  HBW_ERROR_SETTINGS,  /* settings file unreadable or not valid */
  HBW_ERROR_DOCUMENT,  /* platform document not valid */
  HBW_ERROR_MESSAGE,   /* peer message not valid */
  HBW_ERROR_NETWORK,   /* address cannot be bound or reached */
  HBW_ERROR_STORE,     /* platform object API does not answer */
  HBW_ERROR_CONFLICT,  /* conditional update lost a race */
  HBW_ERROR_NOT_FOUND, /* named object does not exist */
} HbwErrorKind;

typedef struct
{
  HbwErrorKind kind;
  char message[HBW_ERROR_MESSAGE_MAX];
} HbwError;

/* Fills in ERROR; a message that is too long is cut.  ERROR may be NULL. */
void hbw_error_set (HbwError *error, HbwErrorKind kind, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Returns the lower-case name of KIND, as used in logs and answers. */
const char *hbw_error_kind_name (HbwErrorKind kind);

#endif
