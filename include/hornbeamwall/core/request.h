/*
 * request - one request of this instance, and what its owner is told of it
 *
 * For core/entry.c, which alone changes its state.
 */
#ifndef HORNBEAMWALL_CORE_REQUEST_H
#define HORNBEAMWALL_CORE_REQUEST_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

#include <urcu/list.h>

typedef enum
{
  HBW_REQUEST_LIMITED, /* waits for a share of its organisation's limit */
  HBW_REQUEST_WAITING, /* waits for a grant */
  HBW_REQUEST_RUNNING, /* an attempt is in progress */
} HbwRequestState;

typedef struct
{
  struct cds_list_head link; /* by arrival */
  guint64 sequence;
  char trace[HBW_TRACE_MAX];
  HbwRequestSpec spec;
  gint64 arrived_us;
  HbwRequestState state;
  guint attempt;
  guint unrun_attempts;
  guint sent_attempts;
  gboolean may_have_run;
  gboolean begun; /* the first token of the attempt in progress has come */
  gboolean spill_allowed;
  gboolean limit_held;
  gboolean spilled; /* waits in another data centre */
  HbwShardKey shard;
  guint64 owner;   /* who was told, or 0 */
  guint64 granter; /* who granted the attempt in progress */
  gint64 told_us;
  gint64 restate_us;  /* until the owner is told again */
  guint64 told_epoch; /* of the membership, when the owner was looked up */
  gint64 started_us;
  HbwGrantFacts facts;
  char server[HBW_NAME_MAX];
  char avoid[HBW_NAME_MAX];
} HbwRequest;

/* Returns what is left of a duration that began with the request's arrival. */
gint64 hbw_request_remaining (const HbwRequest *request, gint64 duration_us,
                              gint64 now_us);

gboolean hbw_request_is_past_deadline (const HbwRequest *request, gint64 now_us);

/* Log what was decided about the request, with what decided it. */
void hbw_request_log_admitted (const HbwRequest *request, HbwContext *context,
                               const HbwArrival *arrival);
void hbw_request_log_started (const HbwRequest *request, HbwContext *context);
void hbw_request_log_attempt (const HbwRequest *request, HbwContext *context,
                              const HbwAttemptEnd *end, const char *next);
void hbw_request_log_refused (const HbwRequest *request, HbwContext *context,
                              HbwReason reason, gint64 retry_after_us);
void hbw_request_log_ended (const HbwRequest *request, HbwContext *context,
                            HbwOutcome outcome);

/* Tell OWNER (0: nobody) that the request waits, or is in progress. */
void hbw_request_post_want (HbwRequest *request, HbwContext *context, guint64 owner);
void hbw_request_post_active (HbwRequest *request, HbwContext *context,
                              guint64 owner);

/* Tells the owner that a waiting request waits no longer. */
void hbw_request_post_withdraw (const HbwRequest *request, HbwContext *context);

/* Tells the granter that the first token of the attempt in progress has come. */
void hbw_request_post_begun (const HbwRequest *request, HbwContext *context,
                             const HbwAttemptBegin *begin);

/* Tells the granter, and the owner if that is another one, how an attempt ended. */
void hbw_request_post_done (const HbwRequest *request, HbwContext *context,
                            const HbwAttemptEnd *end);

#endif
