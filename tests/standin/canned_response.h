/*
 * canned_response - a response that a stand-in sends byte for byte, valid or not
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_CANNED_RESPONSE_H
#define HORNBEAMWALL_TESTS_STANDIN_CANNED_RESPONSE_H

#include <glib.h>

/* Stands for the id of the request in the text of an answer. */
#define CANNED_RESPONSE_ID "@ID@"

/* What becomes of the connection after the answer. */
typedef enum
{
  CANNED_RESPONSE_KEEPS,
  CANNED_RESPONSE_CLOSES,
  CANNED_RESPONSE_RESETS,
} CannedResponseEnd;

typedef struct
{
  const char *text; /* sent as it is, but for CANNED_RESPONSE_ID */
  gsize length;     /* of text, in bytes; it may contain nulls */
  gsize piece_size; /* bytes that are sent at once; 0 is all */
  gulong pause_us;  /* after the text */
  CannedResponseEnd end;
} CannedResponse;

/* Returns a copy that canned_response_free() frees. */
CannedResponse *canned_response_copy (const CannedResponse *answer);
void canned_response_free (CannedResponse *answer);

/* Sends ANSWER to the request ID on the socket FD, and prepares its end; the caller
   closes the socket unless it is to be kept. */
void canned_response_send (const CannedResponse *answer, int fd, const char *id);

#endif
