#include "hornbeamwall/core/ingress.h"

#include "hornbeamwall/core/capacity/capacity_task.h"
#include "hornbeamwall/core/duty/usage_task.h"
#include "hornbeamwall/core/ingress_path.h"
#include "hornbeamwall/core/ingress_streams.h"
#include "hornbeamwall/core/ingress_suspects.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/request_metrics.h"
#include "hornbeamwall/core/server_notice.h"

#include <string.h>

/* A request is refused after this many attempts that certainly did not run. */
#define UNEXECUTED_ATTEMPTS_MAX 8

/* A server that sends nothing for this multiple of the target is abandoned for
   another one.  The minimum covers the occasional pauses of a healthy engine. */
#define SILENCE_TARGET_FACTOR 2
#define SILENCE_TIMEOUT_MIN_US (500 * HBW_US_PER_MS)

/* Retry hint for the caller if no better estimate is known. */
#define RETRY_AFTER_DEFAULT_US (1 * HBW_US_PER_S)

/* The same if this instance stops and the request has waited already: others serve.
 */
#define RETRY_AFTER_DRAINING_US (100 * HBW_US_PER_MS)

struct HbwIngress
{
  GHashTable *requests; /* sequence -> HbwRequest */
  struct cds_list_head order;
  HbwLimiter *limiter;
  HbwShardRouter *shard_router;
  const HbwTopology *topology;
  HbwOwnerLookup lookup;
  void *lookup_data;
  HbwRetryBudget *budget;
  HbwIngressSuspects *suspects;
  guint spilled_waiting;
  gint64 closed_at_us;     /* requests that arrive from then on are refused */
  gint64 waiting_until_us; /* and those that wait for a server from then on */
};

static guint64
lookup_owner (const HbwIngress *ingress, const HbwRequest *request)
{
  return ingress->lookup (&request->shard, ingress->lookup_data);
}

static void
set_spilled (HbwIngress *ingress, HbwRequest *request, gboolean spilled)
{
  if (request->spilled == spilled)
    return;
  request->spilled = spilled;
  ingress->spilled_waiting += spilled ? 1 : -1;
}

static void
return_unused_grant (HbwContext *context, guint64 to, const HbwGrant *grant)
{
  HbwMessage message = { .kind = HBW_MESSAGE_DONE };
  message.done.id = grant->id;
  message.done.attempt = grant->attempt;
  message.done.shard = grant->shard;
  message.done.outcome = HBW_OUTCOME_UNUSED;
  g_strlcpy (message.done.server, grant->server, sizeof message.done.server);
  hbw_context_send (context, to, &message);
  hbw_metrics_control (context->metrics)->grants_handed_back++;
}

static void
remove_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
                guint tokens)
{
  const HbwFingerprint fingerprint = request->spec.fingerprint;
  if (request->limit_held)
    hbw_limiter_release (ingress->limiter, &request->spec, tokens);
  if (request->state == HBW_REQUEST_LIMITED)
    hbw_limiter_remove_waiter (ingress->limiter, &request->spec);
  set_spilled (ingress, request, FALSE);
  cds_list_del (&request->link);
  guint64 sequence = request->sequence;
  g_hash_table_remove (ingress->requests, &sequence);
  hbw_ingress_suspects_update (ingress->suspects, context, &fingerprint);
}

static void
refuse_sequence (HbwContext *context, guint64 sequence, HbwReason reason,
                 gboolean may_have_run, gint64 retry_after_us)
{
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_REFUSE_REQUEST);
  effect->refuse.sequence = sequence;
  effect->refuse.reason = reason;
  effect->refuse.executed = may_have_run ? HBW_EXECUTED_UNKNOWN : HBW_EXECUTED_NO;
  effect->refuse.retry_after_us = retry_after_us;
}

static void
refuse_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
                HbwReason reason, gint64 retry_after_us)
{
  refuse_sequence (context, request->sequence, reason, request->may_have_run,
                   retry_after_us);
  hbw_request_log_refused (request, context, reason, retry_after_us);
  hbw_request_count_refused (request, context, reason);
  hbw_capacity_record_refusal (context, &request->spec, reason);
  hbw_request_send_withdraw (request, context);
  remove_request (ingress, context, request, 0);
}

/* Returns TRUE, and refuses REQUEST, if a part of its prompt is quarantined. */
static gboolean
refuse_for_part (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  gint64 retry_after_us;
  if (!hbw_ingress_suspects_is_part_refused (context, request, &retry_after_us))
    return FALSE;
  refuse_request (ingress, context, request, HBW_REASON_QUARANTINED, retry_after_us);
  return TRUE;
}

/* Returns TRUE, and refuses REQUEST, if this instance stops too soon to serve it. */
static gboolean
refuse_for_drain (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (context->now_us < ingress->waiting_until_us)
    return FALSE;
  refuse_request (ingress, context, request, HBW_REASON_DRAINING,
                  RETRY_AFTER_DRAINING_US);
  return TRUE;
}

static gboolean
select_shard (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (ingress->topology == NULL)
    return FALSE;
  if (request->spec.version_hash != 0)
    return hbw_topology_find_version (ingress->topology, &request->spec,
                                      context->data_centre, request->avoid_server,
                                      &request->shard);
  gboolean spill_allowed
      = request->spill_allowed && ingress->spilled_waiting < HBW_SPILL_WAITING_MAX;
  return hbw_shard_router_select_shard (ingress->shard_router, context,
                                        ingress->topology, &request->spec,
                                        spill_allowed, &request->shard);
}

/* Chooses a shard and requests a grant from its owner; refuses the request if no
   shard is known. */
static void
request_grant (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (refuse_for_part (ingress, context, request)
      || refuse_for_drain (ingress, context, request))
    return;
  set_spilled (ingress, request, FALSE);
  if (!select_shard (ingress, context, request))
    {
      refuse_request (ingress, context, request,
                      request->spec.version_hash != 0 ? HBW_REASON_VERSION_GONE
                                                      : HBW_REASON_NO_SERVER,
                      RETRY_AFTER_DEFAULT_US);
      return;
    }
  if (strcmp (request->shard.data_centre, context->data_centre) != 0)
    {
      set_spilled (ingress, request, TRUE);
      hbw_metrics_control (context->metrics)->spilled++;
    }
  request->state = HBW_REQUEST_WAITING;
  request->refresh_interval_us = HBW_REFRESH_INTERVAL_US;
  hbw_request_send_want (request, context, lookup_owner (ingress, request));
}

static void
request_next_grant (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  request->attempt++;
  request_grant (ingress, context, request);
}

static HbwRequest *
find_request (HbwIngress *ingress, guint64 sequence)
{
  return g_hash_table_lookup (ingress->requests, &sequence);
}

static HbwRequest *
add_request (HbwIngress *ingress, HbwContext *context, const HbwArrival *arrival)
{
  HbwRequest *request = g_new0 (HbwRequest, 1);
  request->sequence = arrival->sequence;
  g_strlcpy (request->caller_request_id, arrival->caller_request_id,
             sizeof request->caller_request_id);
  request->spec = arrival->spec;
  request->arrived_us = context->now_us;
  request->attempt = 1;
  request->spill_allowed = TRUE;
  request->has_begun = arrival->is_resumption && request->spec.resumable;
  hbw_retry_budget_count_request (ingress->budget, request->spec.pool,
                                  context->now_us);
  cds_list_add_tail (&request->link, &ingress->order);
  g_hash_table_insert (ingress->requests, &request->sequence, request);
  hbw_request_log_admitted (request, context, arrival);
  hbw_request_count_arrived (request, context);
  hbw_capacity_record_arrival (context, &request->spec);
  return request;
}

static void
finish_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
                const HbwAttemptEnd *end)
{
  hbw_request_log_ended (request, context, end->outcome);
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_FINISH_REQUEST);
  effect->finish.sequence = request->sequence;
  effect->finish.is_complete = end->outcome == HBW_OUTCOME_COMPLETE;
  hbw_request_count_ended (request, context, end);
  remove_request (ingress, context, request, end->tokens);
}

static guint
count_known_instances (const HbwContext *context)
{
  return hbw_membership_count_alive (context->membership, NULL);
}

/* Returns whether a request may be sent again after an attempt that may have run. */
static gboolean
may_rerun (const HbwRequest *request, const HbwAttemptEnd *end)
{
  if (!request->spec.idempotent || end->outcome == HBW_OUTCOME_CANCELLED)
    return FALSE;
  return !end->response_started || request->spec.resumable;
}

static gboolean
has_attempts_left (const HbwRequest *request)
{
  guint attempts_max = request->spec.attempts_max > 0 ? request->spec.attempts_max
                                                      : HBW_ATTEMPTS_MAX;
  return request->sent_attempts < attempts_max;
}

/* Returns how long a server may send nothing, given the target, before the attempt
   fails; 0 (no limit) if the request may not be sent to another server. */
static gint64
silence_timeout_us (HbwIngress *ingress, HbwContext *context,
                    const HbwRequest *request, gint64 target_us)
{
  guint attempts_max = request->spec.attempts_max;
  gboolean may_use_another
      = request->spec.idempotent && request->sent_attempts + 1 < attempts_max
        && hbw_retry_budget_allows (ingress->budget, request->spec.pool,
                                    count_known_instances (context),
                                    context->now_us);
  return may_use_another
             ? MAX (SILENCE_TARGET_FACTOR * target_us, SILENCE_TIMEOUT_MIN_US)
             : 0;
}

static gboolean
may_retry (HbwIngress *ingress, HbwContext *context, const HbwRequest *request,
           const HbwAttemptEnd *end)
{
  if (end->outcome == HBW_OUTCOME_DENIED
      || hbw_request_is_past_deadline (request, context->now_us))
    return FALSE;
  gboolean not_executed = hbw_outcome_proves_not_executed (end->outcome);
  if (not_executed && request->unexecuted_attempts >= UNEXECUTED_ATTEMPTS_MAX)
    return FALSE;
  gboolean misdirected = end->outcome == HBW_OUTCOME_MISDIRECTED;
  if (not_executed && end->outcome != HBW_OUTCOME_REFUSED && !misdirected)
    return TRUE;
  if ((!misdirected && !has_attempts_left (request))
      || (!not_executed && !may_rerun (request, end))
      || !hbw_ingress_streams_has_server (context, ingress->topology, request))
    return FALSE;
  return request->has_retry
         || hbw_retry_budget_consume (ingress->budget, request->spec.pool,
                                      count_known_instances (context),
                                      context->now_us);
}

static void
retry_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
               HbwOutcome outcome, gboolean is_path_failure)
{
  if (!hbw_outcome_proves_not_executed (outcome))
    hbw_request_count_retry (request, context);
  if (outcome != HBW_OUTCOME_UNUSED && !is_path_failure)
    g_strlcpy (request->avoid_server, request->server, sizeof request->avoid_server);
  request_next_grant (ingress, context, request);
}

static void
end_without_retry (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
                   const HbwAttemptEnd *end)
{
  if (end->response_started || end->outcome == HBW_OUTCOME_CANCELLED
      || end->outcome == HBW_OUTCOME_FAILED)
    {
      finish_request (ingress, context, request, end);
      return;
    }
  if (end->outcome == HBW_OUTCOME_DENIED)
    {
      /* The first request with this idempotency key may have run. */
      request->may_have_run |= end->reason == HBW_REASON_DUPLICATE_KEY;
      refuse_request (ingress, context, request, end->reason,
                      RETRY_AFTER_DEFAULT_US);
      return;
    }
  gboolean not_executed = hbw_outcome_proves_not_executed (end->outcome);
  refuse_request (ingress, context, request,
                  not_executed ? HBW_REASON_NO_SERVER : HBW_REASON_BROKEN,
                  RETRY_AFTER_DEFAULT_US);
}

HbwIngress *
hbw_ingress_create (HbwOwnerLookup lookup, void *data,
                    const HbwRetryLimits *retry_limits)
{
  HbwIngress *ingress = g_new0 (HbwIngress, 1);
  ingress->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&ingress->order);
  ingress->limiter = hbw_limiter_create ();
  ingress->shard_router = hbw_shard_router_create ();
  ingress->lookup = lookup;
  ingress->lookup_data = data;
  ingress->budget = hbw_retry_budget_create (retry_limits);
  ingress->suspects = hbw_ingress_suspects_create (&ingress->order);
  ingress->closed_at_us = G_MAXINT64;
  ingress->waiting_until_us = G_MAXINT64;
  return ingress;
}

void
hbw_ingress_destroy (HbwIngress *ingress)
{
  g_hash_table_destroy (ingress->requests);
  hbw_limiter_destroy (ingress->limiter);
  hbw_shard_router_destroy (ingress->shard_router);
  hbw_retry_budget_destroy (ingress->budget);
  hbw_ingress_suspects_destroy (ingress->suspects);
  g_free (ingress);
}

void
hbw_ingress_set_topology (HbwIngress *ingress, const HbwTopology *topology)
{
  ingress->topology = topology;
}

/* Requests a grant, or waits for the limits of the organisation. */
static void
begin_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (hbw_limiter_try_acquire (ingress->limiter, context, &request->spec))
    {
      request->limit_held = TRUE;
      request_grant (ingress, context, request);
      return;
    }
  request->state = HBW_REQUEST_LIMITED;
  hbw_limiter_add_waiter (ingress->limiter, context, &request->spec);
}

static void
handle_resumption (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
                   HbwResumption resumption)
{
  if (resumption == HBW_RESUMPTION_READY)
    begin_request (ingress, context, request);
  else if (resumption == HBW_RESUMPTION_UNKNOWN)
    refuse_request (ingress, context, request, HBW_REASON_STREAM_UNKNOWN,
                    RETRY_AFTER_DEFAULT_US);
}

void
hbw_ingress_handle_stream_version (HbwIngress *ingress, HbwContext *context,
                                   guint64 from, guint64 key)
{
  HbwRequest *request;
  HbwRequest *next;
  cds_list_for_each_entry_safe (request, next, &ingress->order, link)
    if (request->state == HBW_REQUEST_ASKING && request->resumed_key == key)
      {
        hbw_ingress_streams_handle_answer (request, from);
        handle_resumption (ingress, context, request,
                           hbw_ingress_streams_update (context, request));
      }
}

void
hbw_ingress_handle_arrival (HbwIngress *ingress, HbwContext *context,
                            const HbwArrival *arrival)
{
  gboolean closed = context->now_us >= ingress->closed_at_us;
  if (closed || g_hash_table_size (ingress->requests) >= HBW_REQUESTS_MAX)
    {
      refuse_sequence (context, arrival->sequence,
                       closed ? HBW_REASON_DRAINING : HBW_REASON_OVERLOADED, FALSE,
                       RETRY_AFTER_DEFAULT_US);
      return;
    }
  HbwRequest *request = add_request (ingress, context, arrival);
  gint64 retry_after_us;
  if (hbw_ingress_suspects_is_refused (context, request, &retry_after_us))
    {
      refuse_request (ingress, context, request, HBW_REASON_QUARANTINED,
                      retry_after_us);
      return;
    }
  hbw_ingress_suspects_update (ingress->suspects, context,
                               &request->spec.fingerprint);
  request->state = HBW_REQUEST_ASKING;
  handle_resumption (ingress, context, request,
                     hbw_ingress_streams_prepare (context, request, arrival));
}

void
hbw_ingress_handle_suspect (HbwIngress *ingress, HbwContext *context,
                            const HbwFingerprint *fingerprint)
{
  hbw_ingress_suspects_update (ingress->suspects, context, fingerprint);
}

void
hbw_ingress_handle_server_check (HbwIngress *ingress, HbwContext *context,
                                 const HbwServerCheckResult *result)
{
  hbw_ingress_suspects_handle_check (ingress->suspects, context, result);
}

void
hbw_ingress_handle_caller_gone (HbwIngress *ingress, HbwContext *context,
                                guint64 sequence)
{
  HbwRequest *request = find_request (ingress, sequence);
  if (request == NULL)
    return;
  if (request->state == HBW_REQUEST_RUNNING)
    {
      hbw_effects_add (context->effects, HBW_EFFECT_CANCEL_ATTEMPT)->sequence
          = sequence;
      return;
    }
  hbw_request_log_ended (request, context, HBW_OUTCOME_CANCELLED);
  hbw_request_count_caller_gone (request, context);
  hbw_effects_add (context->effects, HBW_EFFECT_FINISH_REQUEST)->finish.sequence
      = sequence;
  hbw_request_send_withdraw (request, context);
  remove_request (ingress, context, request, 0);
}

/* A stream that goes on at another server, or that its caller has taken up again, is
   the same run. */
static void
record_begun (HbwContext *context, HbwRequest *request)
{
  if (request->has_begun)
    return;
  request->has_begun = TRUE;
  if (context->usage != NULL)
    hbw_usage_record_begun (context->usage, context, request->spec.organisation);
}

/* Returns whether an attempt had begun to run.  Some attempts report their first
   token at their end only, and a complete response without a body has none. */
static gboolean
shows_begun (const HbwAttemptEnd *end)
{
  if (end->is_rejected || end->outcome == HBW_OUTCOME_FAILED
      || hbw_outcome_proves_not_executed (end->outcome))
    return FALSE;
  return end->outcome == HBW_OUTCOME_COMPLETE || end->first_token_us > 0;
}

void
hbw_ingress_handle_first_token (HbwIngress *ingress, HbwContext *context,
                                const HbwAttemptFirstToken *first_token)
{
  HbwRequest *request = find_request (ingress, first_token->sequence);
  if (request == NULL || request->state != HBW_REQUEST_RUNNING
      || request->attempt != first_token->attempt)
    return;
  request->first_token_seen = TRUE;
  if (!first_token->is_error)
    record_begun (context, request);
  hbw_ingress_path_handle_heard (context, request);
  if (first_token->is_event)
    hbw_ingress_streams_handle_event (context, ingress->topology, request);
  hbw_request_send_begun (request, context, first_token);
  hbw_capacity_record_first_token (context, &request->spec,
                                   context->now_us - request->arrived_us);
}

void
hbw_ingress_handle_silence (HbwIngress *ingress, HbwContext *context,
                            const HbwAttemptSilence *silence)
{
  HbwRequest *request = find_request (ingress, silence->sequence);
  const HbwAttemptEnd end
      = { .outcome = HBW_OUTCOME_TIMED_OUT, .response_started = TRUE };
  if (request == NULL || request->state != HBW_REQUEST_RUNNING
      || request->attempt != silence->attempt
      || !may_retry (ingress, context, request, &end))
    return;
  request->has_retry = TRUE;
  hbw_effects_add (context->effects, HBW_EFFECT_CANCEL_ATTEMPT)->sequence
      = request->sequence;
}

static void
end_attempt (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
             const HbwAttemptEnd *end)
{
  if (end->outcome == HBW_OUTCOME_REFUSED)
    hbw_server_notices_handle_refusal (context->server_notices, context,
                                       request->server);
  HbwAttemptEnd reported = *end;
  gboolean is_path_failure = hbw_ingress_path_handle_end (context, request, end);
  if (is_path_failure)
    reported.outcome = HBW_OUTCOME_UNUSED;
  hbw_request_send_done (request, context, &reported);
  hbw_request_count_wasted (request, context, end);
  hbw_capacity_record_output (context, &request->spec, end->tokens);
  if (!is_path_failure)
    hbw_ingress_suspects_handle_end (ingress->suspects, context, request, end);
  gboolean not_executed = hbw_outcome_proves_not_executed (end->outcome);
  if (not_executed)
    request->unexecuted_attempts++;
  if (!not_executed || end->outcome == HBW_OUTCOME_REFUSED)
    request->sent_attempts++;
  request->may_have_run |= !not_executed;
  gboolean complete = end->outcome == HBW_OUTCOME_COMPLETE;
  gboolean again = !complete && may_retry (ingress, context, request, end);
  hbw_request_log_attempt_ended (request, context, end,
                                 again      ? "retry"
                                 : complete ? "done"
                                            : "give_up");
  if (complete)
    finish_request (ingress, context, request, end);
  else if (again)
    {
      const HbwFingerprint fingerprint = request->spec.fingerprint;
      retry_request (ingress, context, request, end->outcome, is_path_failure);
      /* Another request with it may be running here. */
      if (end->outcome == HBW_OUTCOME_BROKEN)
        hbw_ingress_suspects_update (ingress->suspects, context, &fingerprint);
    }
  else
    end_without_retry (ingress, context, request, end);
}

/* Returns whether the response is complete although its server refuses connections:
   one that leaves exits after its last response. */
static gboolean
is_last_response (const HbwIngress *ingress, const HbwRequest *request,
                  const HbwAttemptEnd *end)
{
  HbwShardKey key;
  if (end->outcome != HBW_OUTCOME_BROKEN
      || end->response_end != HBW_RESPONSE_END_CLOSE)
    return FALSE;
  const HbwServerEntry *server
      = ingress->topology != NULL
            ? hbw_topology_find_server (ingress->topology, request->server, &key)
            : NULL;
  return server == NULL || server->leaving;
}

void
hbw_ingress_handle_attempt_end (HbwIngress *ingress, HbwContext *context,
                                const HbwAttemptEnd *end)
{
  HbwRequest *request = find_request (ingress, end->sequence);
  HbwAttemptEnd judged = *end;
  if (request == NULL || request->state != HBW_REQUEST_RUNNING
      || request->attempt != end->attempt)
    return;
  if (is_last_response (ingress, request, end))
    judged.outcome = HBW_OUTCOME_COMPLETE;
  if (shows_begun (&judged))
    record_begun (context, request);
  end_attempt (ingress, context, request, &judged);
}

static void
fill_start (HbwIngress *ingress, HbwContext *context, HbwRequest *request,
            const HbwGrant *grant, HbwStartAttempt *start)
{
  hbw_ingress_path_choose (context, request, start);
  start->sequence = request->sequence;
  start->attempt = request->attempt;
  start->valid_for_us = MIN (grant->valid_for_us, G_GINT64_CONSTANT (1000000));
  start->tier = request->spec.tier;
  start->first_byte_timeout_us = silence_timeout_us (
      ingress, context, request, request->spec.first_token_target_us);
  start->stall_timeout_us
      = request->spec.resumable ? silence_timeout_us (
            ingress, context, request, request->spec.inter_token_target_us)
                                : 0;
  g_strlcpy (start->server, grant->server, sizeof start->server);
  g_strlcpy (start->address, grant->address, sizeof start->address);
}

void
hbw_ingress_handle_grant (HbwIngress *ingress, HbwContext *context, guint64 from,
                          const HbwGrant *grant)
{
  HbwRequest *request = find_request (ingress, grant->id.sequence);
  gboolean same = request != NULL && grant->id.instance == context->self
                  && request->attempt == grant->attempt;
  if (same && request->state == HBW_REQUEST_RUNNING && request->granter == from
      && strcmp (request->server, grant->server) == 0)
    return;
  if (!same || request->state != HBW_REQUEST_WAITING || grant->valid_for_us <= 0)
    {
      return_unused_grant (context, from, grant);
      return;
    }
  if (!hbw_ingress_streams_accepts (ingress->topology, request, grant))
    {
      return_unused_grant (context, from, grant);
      return;
    }
  if (hbw_ingress_suspects_may_not_run (context, request))
    {
      return_unused_grant (context, from, grant);
      if (refuse_for_part (ingress, context, request))
        return;
      if (from == context->self)
        request_next_grant (ingress, context, request);
      return;
    }
  set_spilled (ingress, request, FALSE);
  request->state = HBW_REQUEST_RUNNING;
  request->first_token_seen = FALSE;
  request->has_retry = FALSE;
  request->refresh_interval_us = HBW_REFRESH_INTERVAL_MAX_US;
  request->granter = from;
  request->shard = grant->shard;
  request->started_us = context->now_us;
  request->owner_notified_us = context->now_us;
  g_strlcpy (request->server, grant->server, sizeof request->server);
  g_strlcpy (request->address, grant->address, sizeof request->address);
  request->facts = grant->facts;
  hbw_ingress_streams_start_attempt (ingress->topology, request);
  hbw_ingress_suspects_update (ingress->suspects, context,
                               &request->spec.fingerprint);
  HbwStartAttempt start = { 0 };
  fill_start (ingress, context, request, grant, &start);
  hbw_request_log_attempt_started (request, context);
  hbw_request_count_started (request, context);
  hbw_effects_add (context->effects, HBW_EFFECT_START_ATTEMPT)->start = start;
}

void
hbw_ingress_handle_refusal (HbwIngress *ingress, HbwContext *context,
                            const HbwRefusal *refusal)
{
  HbwRequest *request = find_request (ingress, refusal->id.sequence);
  if (request == NULL || refusal->id.instance != context->self
      || request->state != HBW_REQUEST_WAITING
      || request->attempt != refusal->attempt)
    return;
  gboolean spilled = strcmp (request->shard.data_centre, context->data_centre) != 0;
  if (spilled && refusal->reason == HBW_REASON_QUEUE_FULL)
    {
      request->spill_allowed = FALSE;
      request_next_grant (ingress, context, request);
      return;
    }
  refuse_request (ingress, context, request, refusal->reason,
                  refusal->retry_after_us);
}

static void
retry_limiter (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (hbw_limiter_try_acquire (ingress->limiter, context, &request->spec))
    {
      hbw_limiter_remove_waiter (ingress->limiter, &request->spec);
      request->limit_held = TRUE;
      request->state = HBW_REQUEST_WAITING;
      request_grant (ingress, context, request);
      return;
    }
  gint64 wait
      = hbw_limiter_expected_wait_us (ingress->limiter, context, &request->spec);
  if (wait < 0 || request->spec.deadline_us == 0)
    return;
  if (wait > hbw_request_remaining_us (request, request->spec.deadline_us,
                                       context->now_us))
    refuse_request (ingress, context, request, HBW_REASON_LIMIT, wait);
}

static void
refresh_owner (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  gboolean due
      = context->now_us - request->owner_notified_us >= request->refresh_interval_us;
  if (epoch == request->owner_epoch && !due)
    return;
  request->owner_epoch = epoch;
  guint64 owner = lookup_owner (ingress, request);
  if (owner == request->owner && !due)
    return;
  request->refresh_interval_us
      = MIN (2 * request->refresh_interval_us, HBW_REFRESH_INTERVAL_MAX_US);
  if (owner != request->owner && request->state == HBW_REQUEST_WAITING)
    request->refresh_interval_us = HBW_REFRESH_INTERVAL_US;
  if (request->state == HBW_REQUEST_RUNNING)
    {
      hbw_request_send_active (request, context, owner);
      return;
    }
  if (owner != request->owner)
    hbw_request_send_withdraw (request, context);
  hbw_request_send_want (request, context, owner);
}

/* Ends a request that reached its timeout while an attempt is in progress. */
static void
end_timed_out_attempt (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  HbwAttemptEnd end = { .sequence = request->sequence };
  end.attempt = request->attempt;
  end.outcome
      = request->first_token_seen ? HBW_OUTCOME_CANCELLED : HBW_OUTCOME_TIMED_OUT;
  request->may_have_run = TRUE;
  hbw_ingress_suspects_check_silent (ingress->suspects, context, request);
  hbw_request_send_done (request, context, &end);
  refuse_request (ingress, context, request, HBW_REASON_TIMEOUT,
                  RETRY_AFTER_DEFAULT_US);
}

static gboolean
is_past_timeout (const HbwRequest *request, gint64 now_us)
{
  gint64 timeout = request->spec.timeout_us;
  return timeout > 0 && now_us - request->arrived_us >= timeout;
}

static void
tick_request (HbwIngress *ingress, HbwContext *context, HbwRequest *request)
{
  if (request->state == HBW_REQUEST_RUNNING)
    hbw_ingress_streams_refresh (context, request);
  if (request->state == HBW_REQUEST_RUNNING
      && is_past_timeout (request, context->now_us))
    {
      end_timed_out_attempt (ingress, context, request);
      return;
    }
  if (request->state != HBW_REQUEST_RUNNING
      && refuse_for_drain (ingress, context, request))
    return;
  if (request->state != HBW_REQUEST_RUNNING
      && hbw_request_is_past_deadline (request, context->now_us))
    refuse_request (ingress, context, request, HBW_REASON_DEADLINE,
                    RETRY_AFTER_DEFAULT_US);
  else if (request->state == HBW_REQUEST_ASKING)
    handle_resumption (ingress, context, request,
                       hbw_ingress_streams_update (context, request));
  else if (request->state == HBW_REQUEST_LIMITED)
    retry_limiter (ingress, context, request);
  else if (request->state == HBW_REQUEST_WAITING
           && !hbw_ingress_streams_has_server (context, ingress->topology, request))
    refuse_request (ingress, context, request, HBW_REASON_VERSION_GONE,
                    RETRY_AFTER_DEFAULT_US);
  else
    refresh_owner (ingress, context, request);
}

static void
refuse_waiting_for_parts (HbwIngress *ingress, HbwContext *context)
{
  HbwRequest *request;
  HbwRequest *next;
  cds_list_for_each_entry_safe (request, next, &ingress->order, link)
    if (request->state != HBW_REQUEST_RUNNING)
      refuse_for_part (ingress, context, request);
}

static void
sample_demand (HbwIngress *ingress, HbwContext *context)
{
  const HbwRequest *request;
  if (!hbw_capacity_begin_sample (context))
    return;
  /* More servers do not help a request that waits for its organisation's limits. */
  cds_list_for_each_entry (request, &ingress->order, link)
    if (request->state != HBW_REQUEST_LIMITED)
      hbw_capacity_sample (context, &request->spec,
                           request->state == HBW_REQUEST_RUNNING);
}

void
hbw_ingress_tick (HbwIngress *ingress, HbwContext *context)
{
  HbwRequest *request;
  HbwRequest *next;
  if (hbw_ingress_suspects_take_verdicts (ingress->suspects, context))
    refuse_waiting_for_parts (ingress, context);
  cds_list_for_each_entry_safe (request, next, &ingress->order, link)
    tick_request (ingress, context, request);
  hbw_limiter_tick (ingress->limiter, context);
  hbw_ingress_path_tick (context, ingress->topology, &ingress->order);
  hbw_ingress_suspects_tick (ingress->suspects, context, ingress->topology);
  sample_demand (ingress, context);
}

void
hbw_ingress_drain (HbwIngress *ingress, gint64 closed_at_us, gint64 waiting_until_us)
{
  ingress->waiting_until_us = waiting_until_us;
  ingress->closed_at_us = closed_at_us;
}

guint
hbw_ingress_request_count (const HbwIngress *ingress)
{
  return g_hash_table_size (ingress->requests);
}

HbwLimiter *
hbw_ingress_limiter (HbwIngress *ingress)
{
  return ingress->limiter;
}

HbwShardRouter *
hbw_ingress_shard_router (HbwIngress *ingress)
{
  return ingress->shard_router;
}
