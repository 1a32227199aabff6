/*
 * request - state of one request, and its log lines and messages
 *
 * Internal to core/ingress.c, which is the only code that changes the state.
 */
#ifndef HORNBEAMWALL_CORE_REQUEST_H
#define HORNBEAMWALL_CORE_REQUEST_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/stream_versions.h"

#include <urcu/list.h>

typedef enum
{
  HBW_REQUEST_ASKING,  /* waits for the version of the stream that it resumes */
  HBW_REQUEST_LIMITED, /* waits for its organisation's limits */
  HBW_REQUEST_WAITING, /* waits for a grant */
  HBW_REQUEST_RUNNING, /* an attempt is in progress */
} HbwRequestState;

typedef struct
{
  struct cds_list_head link; /* in order of arrival */
  guint64 sequence;
  char caller_request_id[HBW_CALLER_REQUEST_ID_MAX];
  HbwRequestSpec spec;
  gint64 arrived_us;
  HbwRequestState state;
  guint attempt;
  guint unexecuted_attempts;
  guint sent_attempts;
  gboolean may_have_run;
  gboolean first_token_seen; /* first token of the current attempt received */
  gboolean has_begun;        /* a first token came, in any attempt, or to the caller
                                before it resumed the stream */
  gboolean has_retry;        /* counted for when the current attempt is given up */
  gboolean spill_allowed;
  gboolean limit_held; /* counted against the organisation's limits */
  gboolean spilled;    /* waits for a shard of another data centre */
  HbwShardKey shard;
  guint64 owner;            /* shard owner that was notified last, or 0 */
  guint64 granter;          /* instance that granted the current attempt */
  guint64 tunnel_peer;      /* instance through which the attempt goes; 0: direct */
  gint64 owner_notified_us; /* when the owner was last notified */
  gint64 refresh_interval_us; /* interval until the owner is notified again */
  guint64 owner_epoch;        /* membership epoch at the last lookup of the owner */
  gint64 started_us;
  HbwGrantFacts facts;
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];   /* of server */
  char version[HBW_VERSION_MAX];   /* of its software, by its entry at the start of
                                      the attempt; "" if unknown */
  char avoid_server[HBW_NAME_MAX]; /* server of the last attempt, if that failed */

  /* Of a stream; see ingress_streams.h. */
  guint64 stream_key;           /* under which its version is told; 0 is none */
  guint64 resumed_key;          /* of the stream that it resumes; 0 is none */
  guint64 attempt_version_hash; /* of the server of the attempt; 0 if unknown */
  gboolean is_version_lost;     /* events came from a server of unknown version */
  gboolean has_asked_more;      /* while ASKING */
  HbwStreamAnswers answers;     /* while ASKING, if it names no stream */
  gint64 told_us;               /* when the others were told; 0 is never */
  guint64 told_epoch;           /* of the membership, at that time */
} HbwRequest;

/* Returns the remainder, in microseconds, of a duration that began when the request
   arrived; negative once it has passed. */
gint64 hbw_request_remaining_us (const HbwRequest *request, gint64 duration_us,
                                 gint64 now_us);

gboolean hbw_request_is_past_deadline (const HbwRequest *request, gint64 now_us);

/* Each logs one decision about the request, with the facts that it was based on. */
void hbw_request_log_admitted (const HbwRequest *request, HbwContext *context,
                               const HbwArrival *arrival);
void hbw_request_log_attempt_started (const HbwRequest *request,
                                      HbwContext *context);
void hbw_request_log_attempt_ended (const HbwRequest *request, HbwContext *context,
                                    const HbwAttemptEnd *end, const char *next);
void hbw_request_log_refused (const HbwRequest *request, HbwContext *context,
                              HbwReason reason, gint64 retry_after_us);
void hbw_request_log_ended (const HbwRequest *request, HbwContext *context,
                            HbwOutcome outcome);

/* Sends WANT (the request waits for a grant) or ACTIVE (an attempt is in progress)
   to OWNER, and records OWNER; sends nothing if it is 0. */
void hbw_request_send_want (HbwRequest *request, HbwContext *context, guint64 owner);
void hbw_request_send_active (HbwRequest *request, HbwContext *context,
                              guint64 owner);

/* Tells the owner that the request no longer waits for a grant. */
void hbw_request_send_withdraw (const HbwRequest *request, HbwContext *context);

/* Tells the granter that the first token of the current attempt was received. */
void hbw_request_send_begun (const HbwRequest *request, HbwContext *context,
                             const HbwAttemptFirstToken *first_token);

/* Tells the granter, and the owner if that is another instance, how an attempt
   ended. */
void hbw_request_send_done (const HbwRequest *request, HbwContext *context,
                            const HbwAttemptEnd *end);

#endif
