/*
 * soak_connection - connections of the soak's callers to its instances
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_CONNECTION_H
#define HORNBEAMWALL_TESTS_SOAK_CONNECTION_H

#include <glib.h>

/* How the wait for a response ended. */
typedef enum
{
  SOAK_RESPONSE_COMPLETE,
  SOAK_RESPONSE_CLOSED, /* the connection was closed before its end */
  SOAK_RESPONSE_RESET,  /* the same, by a reset */
  SOAK_RESPONSE_OVERDUE,
} SoakOutcome;

typedef struct
{
  GString *text; /* what has arrived */
  SoakOutcome outcome;
} SoakResponse;

/* Connects to PORT of 127.0.0.1.  Returns the socket, which waits TIMEOUT_S seconds
   at most for further bytes, or -1. */
int soak_connect (guint port, guint timeout_s);

/* Sends a request with the attempt id TRACE and a deadline of 2500 ms.  EXTRA_FIELDS
   are complete header lines, or "".  Returns whether all of it was sent. */
gboolean soak_send (int fd, const char *path, const char *trace, const char *key,
                    const char *extra_fields, const char *body);

/* Receives one response.  The caller frees its text. */
SoakResponse soak_receive (int fd);

/* Returns the status in TEXT, 0 if there is none. */
guint soak_status (const GString *text);

/* Returns whether TEXT refuses a request because servers failed while they ran it.
 */
gboolean soak_is_refused_as_harmful (const GString *text);

#endif
