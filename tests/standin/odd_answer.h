/*
 * odd_answer - an answer that breaks the rules of HTTP, as a replica in trouble
 * sends it
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_ODD_ANSWER_H
#define HORNBEAMWALL_TESTS_STANDIN_ODD_ANSWER_H

#include <glib.h>

/* Stands for the id of the request in the text of an answer. */
#define ODD_ANSWER_ID "@ID@"

/* What becomes of the connection after the answer. */
typedef enum
{
  ODD_ANSWER_KEEPS,
  ODD_ANSWER_CLOSES,
  ODD_ANSWER_RESETS,
} OddAnswerEnd;

typedef struct
{
  const char *text; /* sent as it is, but for ODD_ANSWER_ID */
  gsize length;     /* of text, in bytes; it may contain nulls */
  gsize piece_size; /* bytes that are sent at once; 0 is all */
  gulong pause_us;  /* after the text */
  OddAnswerEnd end;
} OddAnswer;

/* Returns a copy that odd_answer_free() frees. */
OddAnswer *odd_answer_copy (const OddAnswer *answer);
void odd_answer_free (OddAnswer *answer);

/* Sends ANSWER to the request ID on the socket FD, and prepares its end; the caller
   closes the socket unless it is to be kept. */
void odd_answer_send (const OddAnswer *answer, int fd, const char *id);

#endif
