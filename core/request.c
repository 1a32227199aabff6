#include "hornbeamwall/core/request.h"

#include "hornbeamwall/core/quarantine.h"

gint64
hbw_request_remaining (const HbwRequest *request, gint64 duration_us, gint64 now_us)
{
  return duration_us - (now_us - request->arrived_us);
}

gboolean
hbw_request_is_past_deadline (const HbwRequest *request, gint64 now_us)
{
  return request->spec.deadline_us > 0
         && hbw_request_remaining (request, request->spec.deadline_us, now_us) <= 0;
}

static HbwRequestId
id_of (const HbwContext *context, const HbwRequest *request)
{
  const HbwRequestId id = { context->self, request->sequence };
  return id;
}

void
hbw_request_post_want (HbwRequest *request, HbwContext *context, guint64 owner)
{
  HbwMessage message = { .kind = HBW_MESSAGE_WANT };
  HbwWant *want = &message.want;
  want->id = id_of (context, request);
  want->attempt = request->attempt;
  want->shard = request->shard;
  want->spec = request->spec;
  want->spec.target_us
      = hbw_request_remaining (request, request->spec.target_us, context->now_us);
  if (request->spec.deadline_us > 0)
    want->spec.deadline_us
        = MAX (1, hbw_request_remaining (request, request->spec.deadline_us,
                                         context->now_us));
  want->spec.failures = hbw_quarantine_failures (
      context->quarantine, &request->spec.fingerprint, context->now_us);
  g_strlcpy (want->avoid, request->avoid, sizeof want->avoid);
  request->owner = owner;
  request->told_us = context->now_us;
  if (request->owner != 0)
    hbw_context_post (context, request->owner, &message);
}

void
hbw_request_post_withdraw (const HbwRequest *request, HbwContext *context)
{
  if (request->owner == 0 || request->state != HBW_REQUEST_WAITING)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_WITHDRAW };
  message.refusal.id = id_of (context, request);
  message.refusal.attempt = request->attempt;
  hbw_context_post (context, request->owner, &message);
}

void
hbw_request_post_active (HbwRequest *request, HbwContext *context, guint64 owner)
{
  HbwMessage message = { .kind = HBW_MESSAGE_ACTIVE };
  message.active.id = id_of (context, request);
  message.active.attempt = request->attempt;
  message.active.shard = request->shard;
  message.active.tier = request->spec.tier;
  message.active.fingerprint = request->spec.fingerprint;
  g_strlcpy (message.active.server, request->server, sizeof message.active.server);
  request->owner = owner;
  request->told_us = context->now_us;
  if (request->owner != 0)
    hbw_context_post (context, request->owner, &message);
}

void
hbw_request_post_begun (const HbwRequest *request, HbwContext *context,
                        const HbwAttemptBegin *begin)
{
  HbwMessage message = { .kind = HBW_MESSAGE_BEGUN };
  message.begun.id = id_of (context, request);
  message.begun.attempt = request->attempt;
  message.begun.shard = request->shard;
  message.begun.first_token_us = begin->first_token_us;
  hbw_context_post (context, request->granter, &message);
}

void
hbw_request_post_done (const HbwRequest *request, HbwContext *context,
                       const HbwAttemptEnd *end)
{
  HbwMessage message = { .kind = HBW_MESSAGE_DONE };
  message.done.id = id_of (context, request);
  message.done.attempt = request->attempt;
  message.done.shard = request->shard;
  message.done.outcome = end->outcome;
  message.done.first_token_us = end->first_token_us;
  message.done.inter_token_us = end->inter_token_us;
  message.done.tokens = end->tokens;
  g_strlcpy (message.done.server, request->server, sizeof message.done.server);
  hbw_context_post (context, request->granter, &message);
  if (request->owner != 0 && request->owner != request->granter)
    hbw_context_post (context, request->owner, &message);
}
