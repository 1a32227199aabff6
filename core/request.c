#include "hornbeamwall/core/request.h"

#include "hornbeamwall/core/freshness_monitor.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine.h"

gint64
hbw_request_remaining_us (const HbwRequest *request, gint64 duration_us,
                          gint64 now_us)
{
  return duration_us - (now_us - request->arrived_us);
}

gboolean
hbw_request_is_past_deadline (const HbwRequest *request, gint64 now_us)
{
  return request->spec.deadline_us > 0
         && hbw_request_remaining_us (request, request->spec.deadline_us, now_us)
                <= 0;
}

static HbwRequestId
get_request_id (const HbwContext *context, const HbwRequest *request)
{
  const HbwRequestId id = { context->self, request->sequence };
  return id;
}

static const char *const response_end_names[HBW_RESPONSE_END_COUNT] = {
  [HBW_RESPONSE_END_NONE] = "none",
  [HBW_RESPONSE_END_LENGTH] = "length",
  [HBW_RESPONSE_END_CHUNKS] = "chunks",
  [HBW_RESPONSE_END_CLOSE] = "close",
};

/* Every log line begins with the caller's id of the request and the sequence number
   that this instance assigned to it. */
#define LOG_PREFIX "request=%s sequence=%" G_GUINT64_FORMAT " "

static gint64
to_ms (gint64 duration_us)
{
  return duration_us / HBW_US_PER_MS;
}

void
hbw_request_log_admitted (const HbwRequest *request, HbwContext *context,
                          const HbwArrival *arrival)
{
  const HbwRequestSpec *spec = &request->spec;
  hbw_effects_log (
      context->effects, HBW_LOG_REQUEST_ADMITTED,
      LOG_PREFIX "class=%s organisation=\"%s\" pool=%s tier=%u "
                 "catalogue=%" G_GINT64_FORMAT " catalogue_age_ms=%" G_GINT64_FORMAT
                 " confirmed_by=%s era=%" G_GINT64_FORMAT
                 " deadline_ms=%" G_GINT64_FORMAT
                 " prompt_tokens=%u fingerprint=%016" G_GINT64_MODIFIER
                 "x resumption=%d resumes=\"%s\"",
      request->caller_request_id, request->sequence, spec->class_name,
      spec->organisation, spec->pool, spec->tier, arrival->catalogue_version,
      to_ms (arrival->catalogue_age_us), hbw_freshness_source_name (context),
      context->store_era.number, to_ms (spec->deadline_us), spec->prompt_tokens,
      spec->fingerprint.low, arrival->is_resumption, arrival->resumed_id);
}

void
hbw_request_log_attempt_started (const HbwRequest *request, HbwContext *context)
{
  const HbwGrantFacts *facts = &request->facts;
  hbw_effects_log (
      context->effects, HBW_LOG_ATTEMPT_STARTED,
      LOG_PREFIX "attempt=%u server=%s waited_ms=%" G_GINT64_FORMAT
                 " in_progress=%u others=%u unread_tokens=%u "
                 "report_age_ms=%" G_GINT64_FORMAT
                 " waiting=%u server_failures=%u version=%s through=%s",
      request->caller_request_id, request->sequence, request->attempt,
      request->server, to_ms (context->now_us - request->arrived_us),
      facts->in_progress, facts->others, facts->unread_tokens,
      to_ms (facts->report_age_us), facts->waiting,
      hbw_quarantine_count_unexplained (context->quarantine,
                                        &request->spec.fingerprint, context->now_us),
      request->version,
      hbw_membership_find_name (context->membership, request->tunnel_peer));
}

void
hbw_request_log_attempt_ended (const HbwRequest *request, HbwContext *context,
                               const HbwAttemptEnd *end, const char *next)
{
  hbw_effects_log (
      context->effects, HBW_LOG_ATTEMPT_ENDED,
      LOG_PREFIX "attempt=%u server=%s outcome=%s next=%s begun=%d "
                 "first_ms=%" G_GINT64_FORMAT " gap_ms=%" G_GINT64_FORMAT
                 " longest_gap_ms=%" G_GINT64_FORMAT " pieces=%u end=%s through=%s",
      request->caller_request_id, request->sequence, end->attempt, request->server,
      hbw_outcome_name (end->outcome), next, end->response_started,
      to_ms (end->first_token_us), to_ms (end->inter_token_us),
      to_ms (end->longest_gap_us), end->tokens,
      response_end_names[end->response_end],
      hbw_membership_find_name (context->membership, request->tunnel_peer));
}

void
hbw_request_log_refused (const HbwRequest *request, HbwContext *context,
                         HbwReason reason, gint64 retry_after_us)
{
  hbw_effects_log (
      context->effects, HBW_LOG_REQUEST_REFUSED,
      LOG_PREFIX "reason=%s executed=%s after_ms=%" G_GINT64_FORMAT
                 " retry_after_ms=%" G_GINT64_FORMAT " sent=%u unrun=%u server=%s",
      request->caller_request_id, request->sequence, hbw_reason_name (reason),
      request->may_have_run ? "unknown" : "no",
      to_ms (context->now_us - request->arrived_us), to_ms (retry_after_us),
      request->sent_attempts, request->unexecuted_attempts, request->server);
}

void
hbw_request_log_ended (const HbwRequest *request, HbwContext *context,
                       HbwOutcome outcome)
{
  hbw_effects_log (
      context->effects, HBW_LOG_REQUEST_ENDED,
      LOG_PREFIX "outcome=%s total_ms=%" G_GINT64_FORMAT " attempts=%u server=%s",
      request->caller_request_id, request->sequence, hbw_outcome_name (outcome),
      to_ms (context->now_us - request->arrived_us), request->attempt,
      request->server);
}

void
hbw_request_send_want (HbwRequest *request, HbwContext *context, guint64 owner)
{
  HbwMessage message = { .kind = HBW_MESSAGE_WANT };
  HbwGrantRequest *want = &message.want;
  want->id = get_request_id (context, request);
  want->attempt = request->attempt;
  want->shard = request->shard;
  want->spec = request->spec;
  want->spec.first_token_target_us = hbw_request_remaining_us (
      request, request->spec.first_token_target_us, context->now_us);
  /* The caller of a stream that has begun waits for its next event. */
  if (request->spec.version_hash != 0)
    want->spec.first_token_target_us = request->spec.inter_token_target_us;
  if (request->spec.deadline_us > 0)
    want->spec.deadline_us
        = MAX (1, hbw_request_remaining_us (request, request->spec.deadline_us,
                                            context->now_us));
  want->spec.server_failures = hbw_quarantine_count_unexplained (
      context->quarantine, &request->spec.fingerprint, context->now_us);
  g_strlcpy (want->avoid_server, request->avoid_server, sizeof want->avoid_server);
  request->owner = owner;
  request->owner_notified_us = context->now_us;
  if (request->owner != 0)
    hbw_context_send (context, request->owner, &message);
}

void
hbw_request_send_withdraw (const HbwRequest *request, HbwContext *context)
{
  if (request->owner == 0 || request->state != HBW_REQUEST_WAITING)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_WITHDRAW };
  message.refusal.id = get_request_id (context, request);
  message.refusal.attempt = request->attempt;
  hbw_context_send (context, request->owner, &message);
}

void
hbw_request_send_active (HbwRequest *request, HbwContext *context, guint64 owner)
{
  HbwMessage message = { .kind = HBW_MESSAGE_ACTIVE };
  message.active.id = get_request_id (context, request);
  message.active.attempt = request->attempt;
  message.active.shard = request->shard;
  message.active.tier = request->spec.tier;
  message.active.fingerprint = request->spec.fingerprint;
  g_strlcpy (message.active.server, request->server, sizeof message.active.server);
  request->owner = owner;
  request->owner_notified_us = context->now_us;
  if (request->owner != 0)
    hbw_context_send (context, request->owner, &message);
}

void
hbw_request_send_begun (const HbwRequest *request, HbwContext *context,
                        const HbwAttemptFirstToken *first_token)
{
  HbwMessage message = { .kind = HBW_MESSAGE_BEGUN };
  message.begun.id = get_request_id (context, request);
  message.begun.attempt = request->attempt;
  message.begun.shard = request->shard;
  message.begun.first_token_us = first_token->first_token_us;
  message.begun.is_error = first_token->is_error;
  hbw_context_send (context, request->granter, &message);
}

void
hbw_request_send_done (const HbwRequest *request, HbwContext *context,
                       const HbwAttemptEnd *end)
{
  HbwMessage message = { .kind = HBW_MESSAGE_DONE };
  message.done.id = get_request_id (context, request);
  message.done.attempt = request->attempt;
  message.done.shard = request->shard;
  message.done.outcome = end->outcome;
  message.done.first_token_us = end->first_token_us;
  message.done.inter_token_us = end->inter_token_us;
  message.done.tokens = end->tokens;
  g_strlcpy (message.done.server, request->server, sizeof message.done.server);
  hbw_context_send (context, request->granter, &message);
  if (request->owner != 0 && request->owner != request->granter)
    hbw_context_send (context, request->owner, &message);
}
