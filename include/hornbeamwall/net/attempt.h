/*
 * attempt - one HTTP request to one backend server, with blocking calls
 *
 * Each attempt opens a new connection, so that the HTTP library never repeats a
 * request on its own.  The attempt records whether a byte of the request may have
 * been sent; as long as none has, the request was certainly not executed.
 *
 * A response is complete only with its end marker: the announced length or the last
 * chunk, and for an event stream the [DONE] event as well.  The thread that runs an
 * attempt waits for the backend server, for commands and for the caller's connection
 * at the same time.
 */
#ifndef HORNBEAMWALL_NET_ATTEMPT_H
#define HORNBEAMWALL_NET_ATTEMPT_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/runtime/mailbox.h"

typedef struct HbwAttempt HbwAttempt;

typedef struct
{
  const char *method;
  const char *address; /* IP address and port */
  const char *path;    /* including the query */
  const char *content_type;
  const char *body;
  gsize body_length;
  const char *attempt_id; /* a response with another id is rejected */
  guint connect_timeout_ms;
  guint first_byte_timeout_ms;
  guint stall_timeout_ms;
  gsize buffered_response_max; /* largest buffered response, in bytes */
  HbwClock *clock;
  gint64 expires_us;   /* the request must not be sent after this time */
  HbwMailbox *mailbox; /* mailbox whose commands may cancel the attempt */
  int caller_fd;       /* the attempt is cancelled when it is closed; -1 is none */
} HbwAttemptConfig;

/* Creates an attempt.  CONFIG is copied; the data that it points to must outlive the
   attempt. */
HbwAttempt *hbw_attempt_create (const HbwAttemptConfig *config);

/* Frees the attempt; closes its connection if it has not ended. */
void hbw_attempt_destroy (HbwAttempt *attempt);

/* Runs the attempt until it has ended or the first bytes of an event stream have
   arrived.  Blocks. */
void hbw_attempt_begin (HbwAttempt *attempt);

gboolean hbw_attempt_has_ended (const HbwAttempt *attempt);
gboolean hbw_attempt_is_stream (const HbwAttempt *attempt);

/* Return the status and the content type of the response; valid once its head has
   been received. */
guint hbw_attempt_status (const HbwAttempt *attempt);
const char *hbw_attempt_content_type (const HbwAttempt *attempt);

/* Copies up to SIZE bytes of the response body into BUFFER; blocks until some are
   available.  Returns the number of bytes, 0 at the end. */
gsize hbw_attempt_read (HbwAttempt *attempt, char *buffer, gsize size);

/* Returns the buffered response body (borrowed). */
const GByteArray *hbw_attempt_response_body (const HbwAttempt *attempt);

/* Fills in the outcome, the number of tokens and the measured times of END. */
void hbw_attempt_result (const HbwAttempt *attempt, HbwAttemptEnd *end);

#endif
