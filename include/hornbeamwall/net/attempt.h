/*
 * attempt - one call to one backend server
 *
 * Each attempt has a connection of its own that was never used before, so that
 * nothing is sent twice by a library.  The attempt knows whether a byte of the
 * request may have left: before that the request surely did not run.
 *
 * An answer is complete only with its end marker: the announced length, the last
 * chunk, and for an event stream its [DONE] event too.  The traffic thread that made
 * an attempt waits for the backend server, for orders and for the caller at once.
 */
#ifndef HORNBEAMWALL_NET_ATTEMPT_H
#define HORNBEAMWALL_NET_ATTEMPT_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/runtime/call.h"

typedef struct HbwAttempt HbwAttempt;

typedef struct
{
  const char *method;
  const char *address; /* IP number and port */
  const char *path;    /* with its query */
  const char *content_type;
  const char *body;
  gsize body_length;
  const char *attempt_id; /* an answer that names another one is not ours */
  guint connect_timeout_ms;
  guint first_byte_timeout_ms;
  guint stall_timeout_ms;
  gsize answer_max; /* bytes of an answer that is not a stream */
  HbwClock *clock;
  gint64 expires_us; /* the request must not be sent after this */
  HbwCall *call;     /* orders that may cancel the attempt */
  int caller_fd;
} HbwAttemptConfig;

/* Creates an attempt; CONFIG and what it points to must outlive it. */
HbwAttempt *hbw_attempt_create (const HbwAttemptConfig *config);

/* Cuts the connection if the attempt has not ended. */
void hbw_attempt_destroy (HbwAttempt *attempt);

/* Runs until the attempt has ended or the first bytes of a stream are there. */
void hbw_attempt_begin (HbwAttempt *attempt);

gboolean hbw_attempt_has_ended (const HbwAttempt *attempt);
gboolean hbw_attempt_is_stream (const HbwAttempt *attempt);

/* Returns the status and content type of the answer, once it has begun. */
guint hbw_attempt_status (const HbwAttempt *attempt);
const char *hbw_attempt_content_type (const HbwAttempt *attempt);

/* Copies up to SIZE bytes of the answer; waits for them.  Returns 0 at the end. */
gsize hbw_attempt_read (HbwAttempt *attempt, char *buffer, gsize size);

/* Returns the buffered answer (borrowed). */
const GByteArray *hbw_attempt_answer (const HbwAttempt *attempt);

/* Fills in the outcome and the measured times. */
void hbw_attempt_result (const HbwAttempt *attempt, HbwAttemptEnd *end);

#endif
