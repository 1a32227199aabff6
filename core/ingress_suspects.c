#include "hornbeamwall/core/ingress_suspects.h"

#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/quarantine_lost.h"
#include "hornbeamwall/core/server.h"
#include "hornbeamwall/core/server_check.h"
#include "hornbeamwall/core/server_path.h"
#include "hornbeamwall/core/suspect_share.h"

#include <xxhash.h>

/* A part of a prompt that makes a server fail does so before the answer has been
   written for so long. */
#define ANSWER_BEGINNING_US (1 * HBW_US_PER_S)

/* Failures that are kept until it is known whether the path was lost. */
#define OWN_FAILURES_MAX 256
#define OWN_FAILURE_KEEP_US (3 * HBW_US_PER_S)

/* Connections may have been reset this long before the path became doubtful. */
#define PATH_DOUBT_US (1 * HBW_US_PER_S)

/* A failure that this instance has recorded. */
typedef struct
{
  HbwFingerprint fingerprint;
  guint64 id;
  gint64 failed_us;
} OwnFailure;

struct HbwIngressSuspects
{
  const struct cds_list_head *requests;
  HbwServerChecks *server_checks;
  guint64 part_verdicts;   /* that were known at the last look */
  GArray *recent_failures; /* OwnFailure, oldest first */
};

HbwIngressSuspects *
hbw_ingress_suspects_create (const struct cds_list_head *requests)
{
  HbwIngressSuspects *suspects = g_new0 (HbwIngressSuspects, 1);
  suspects->requests = requests;
  suspects->server_checks = hbw_server_checks_create ();
  suspects->recent_failures = g_array_new (FALSE, FALSE, sizeof (OwnFailure));
  return suspects;
}

void
hbw_ingress_suspects_destroy (HbwIngressSuspects *suspects)
{
  hbw_server_checks_destroy (suspects->server_checks);
  g_array_free (suspects->recent_failures, TRUE);
  g_free (suspects);
}

void
hbw_ingress_suspects_update (const HbwIngressSuspects *suspects, HbwContext *context,
                             const HbwFingerprint *fingerprint)
{
  if (!hbw_quarantine_is_suspect (context->quarantine, fingerprint, context->now_us))
    return;
  HbwSuspectActivity activity = HBW_SUSPECT_IDLE;
  guint64 server = 0;
  const HbwRequest *request;
  cds_list_for_each_entry (request, suspects->requests, link)
    {
      if (!hbw_fingerprint_equal (&request->spec.fingerprint, fingerprint))
        continue;
      gboolean runs = request->state == HBW_REQUEST_RUNNING;
      activity = MAX (activity, runs ? HBW_SUSPECT_RUNNING : HBW_SUSPECT_WAITING);
      if (runs)
        server = hbw_server_hash_id (request->server);
    }
  hbw_quarantine_set_activity (context->quarantine, fingerprint, activity, server,
                               context->now_us);
}

/* Returns a number that identifies the current attempt of REQUEST in all
   instances. */
static guint64
compute_attempt_id (const HbwContext *context, const HbwRequest *request)
{
  const guint64 parts[] = { context->self, request->sequence, request->attempt };
  return XXH64 (parts, sizeof parts, 0);
}

static HbwServerFailure
describe_failure (const HbwContext *context, const HbwRequest *request)
{
  const HbwServerFailure failure = { .id = compute_attempt_id (context, request),
                                     .server = hbw_server_hash_id (request->server),
                                     .started_us = request->started_us,
                                     .failed_us = context->now_us };
  return failure;
}

static HbwSilentAttempt
describe_attempt (const HbwContext *context, const HbwRequest *request)
{
  HbwSilentAttempt attempt = { .fingerprint = request->spec.fingerprint,
                               .failure = describe_failure (context, request) };
  attempt.part_ids = request->spec.part_ids;
  attempt.pool_hash = hbw_rendezvous_weight (0, request->spec.pool);
  g_strlcpy (attempt.server, request->server, sizeof attempt.server);
  g_strlcpy (attempt.address, request->address, sizeof attempt.address);
  g_strlcpy (attempt.caller_request_id, request->caller_request_id,
             sizeof attempt.caller_request_id);
  return attempt;
}

void
hbw_ingress_suspects_check_silent (HbwIngressSuspects *suspects, HbwContext *context,
                                   const HbwRequest *request)
{
  const HbwSilentAttempt attempt = describe_attempt (context, request);
  if (context->now_us - request->started_us >= HBW_SERVER_SILENT_MIN_US)
    hbw_server_checks_add (suspects->server_checks, context, &attempt);
}

/* The server may have failed instead of ending its response. */
static void
check_unproved_end (HbwIngressSuspects *suspects, HbwContext *context,
                    const HbwRequest *request)
{
  const HbwSilentAttempt attempt = describe_attempt (context, request);
  hbw_server_checks_add_unproved (suspects->server_checks, context, &attempt);
}

/* A complete response clears the request, and the parts of its prompt. */
static void
record_response (HbwContext *context, const HbwRequest *request,
                 const HbwAttemptEnd *end)
{
  HbwQuarantine *quarantine = context->quarantine;
  gint64 now_us = context->now_us;
  hbw_quarantine_clear (quarantine, &request->spec.fingerprint, now_us);
  if (!end->is_rejected)
    hbw_quarantine_clear_parts (quarantine, &request->spec.part_ids,
                                hbw_rendezvous_weight (0, request->spec.pool),
                                request->started_us, now_us);
  hbw_quarantine_handle_response (quarantine, hbw_server_hash_id (request->server),
                                  request->started_us, now_us);
}

static char *
format_parts (const HbwPartIds *parts)
{
  GString *text = g_string_new (parts->count > 0 ? " parts=" : NULL);
  for (guint i = 0; i < parts->count; i++)
    g_string_append_printf (text, "%s%" G_GINT64_MODIFIER "x", i > 0 ? "," : "",
                            parts->ids[i]);
  return g_string_free (text, FALSE);
}

/* Returns whether the answer had been written for so long that its prompt did not
   make the server fail. */
static gboolean
is_past_prompt (const HbwContext *context, const HbwRequest *request,
                const HbwAttemptEnd *end)
{
  return end->first_token_us > 0 && !end->server_silent
         && context->now_us - request->started_us - end->first_token_us
                >= ANSWER_BEGINNING_US;
}

static void
note_failure (HbwIngressSuspects *suspects, const HbwFingerprint *fingerprint,
              const HbwServerFailure *details)
{
  const OwnFailure failure = { *fingerprint, details->id, details->failed_us };
  GArray *failures = suspects->recent_failures;
  while (
      failures->len > 0
      && (failures->len >= OWN_FAILURES_MAX
          || details->failed_us - g_array_index (failures, OwnFailure, 0).failed_us
                 > OWN_FAILURE_KEEP_US))
    g_array_remove_index (failures, 0);
  g_array_append_val (failures, failure);
}

static void
record_failure (HbwIngressSuspects *suspects, HbwContext *context,
                const HbwRequest *request, const HbwAttemptEnd *end)
{
  const HbwRequestSpec *spec = &request->spec;
  const HbwServerFailure failure = describe_failure (context, request);
  if (request->tunnel_peer == 0)
    note_failure (suspects, &spec->fingerprint, &failure);
  guint failures = hbw_quarantine_add_failure (
      context->quarantine, &spec->fingerprint, &failure, context->now_us);
  if (!is_past_prompt (context, request, end))
    hbw_quarantine_charge_parts (
        context->quarantine, &spec->fingerprint, failure.id, &spec->part_ids,
        hbw_rendezvous_weight (0, spec->pool), context->now_us);
  char *parts = format_parts (&spec->part_ids);
  hbw_effects_log (context->effects, HBW_LOG_REQUEST_SUSPECT,
                   "request=%s fingerprint=%016" G_GINT64_MODIFIER
                   "x organisation=\"%s\" class=%s server=%s failures=%u%s",
                   request->caller_request_id, spec->fingerprint.low,
                   spec->organisation, spec->class_name, request->server, failures,
                   parts);
  g_free (parts);
}

void
hbw_ingress_suspects_handle_end (HbwIngressSuspects *suspects, HbwContext *context,
                                 const HbwRequest *request, const HbwAttemptEnd *end)
{
  if (end->outcome == HBW_OUTCOME_COMPLETE
      && end->response_end == HBW_RESPONSE_END_CLOSE)
    check_unproved_end (suspects, context, request);
  else if (end->outcome == HBW_OUTCOME_COMPLETE)
    record_response (context, request, end);
  guint64 server = hbw_server_hash_id (request->server);
  if (hbw_outcome_proves_not_executed (end->outcome))
    hbw_quarantine_forget_attempt (context->quarantine, &request->spec.fingerprint,
                                   server, context->now_us);
  if (end->outcome == HBW_OUTCOME_NOT_CONNECTED)
    hbw_quarantine_handle_refused_connection (context->quarantine, server,
                                              context->now_us);
  if (end->outcome == HBW_OUTCOME_BROKEN)
    {
      record_failure (suspects, context, request, end);
      hbw_server_checks_add_broken (suspects->server_checks, context,
                                    request->server, request->address,
                                    end->server_silent);
    }
  else if (end->server_silent)
    hbw_ingress_suspects_check_silent (suspects, context, request);
}

typedef struct
{
  const HbwIngressSuspects *suspects;
  HbwContext *context;
} SuspectVisit;

static void
handle_checked_suspect (const HbwSilentAttempt *attempt, void *data)
{
  const SuspectVisit *visit = data;
  hbw_ingress_suspects_update (visit->suspects, visit->context,
                               &attempt->fingerprint);
}

void
hbw_ingress_suspects_handle_check (HbwIngressSuspects *suspects, HbwContext *context,
                                   const HbwServerCheckResult *result)
{
  SuspectVisit visit = { suspects, context };
  HbwServerCheckResult evidence = *result;
  /* Without a path, connections are refused on the way. */
  if (hbw_server_path_state (context->server_path) == HBW_PATH_LOST
      && result->kind == HBW_SERVER_CHECK_REFUSED)
    evidence.kind = HBW_SERVER_CHECK_NO_ANSWER;
  hbw_server_checks_handle_result (suspects->server_checks, context, &evidence,
                                   handle_checked_suspect, &visit);
}

gboolean
hbw_ingress_suspects_may_not_run (const HbwContext *context,
                                  const HbwRequest *request)
{
  guint64 part;
  gint64 remaining_us;
  HbwQuarantineStatus status
      = hbw_quarantine_check (context->quarantine, &request->spec.fingerprint,
                              context->self, context->now_us);
  return !hbw_suspect_share_is_complete (context->suspect_share)
         || hbw_quarantine_find_part (context->quarantine, &request->spec.part_ids,
                                      &part, &remaining_us, context->now_us)
         || status == HBW_QUARANTINE_STATUS_HELD
         || status == HBW_QUARANTINE_STATUS_QUARANTINED;
}

gboolean
hbw_ingress_suspects_is_part_refused (const HbwContext *context,
                                      const HbwRequest *request,
                                      gint64 *retry_after_us)
{
  guint64 part;
  if (!hbw_quarantine_find_part (context->quarantine, &request->spec.part_ids, &part,
                                 retry_after_us, context->now_us))
    return FALSE;
  hbw_effects_log (context->effects, HBW_LOG_PART_REFUSED,
                   "request=%s sequence=%" G_GUINT64_FORMAT
                   " part=%" G_GINT64_MODIFIER "x fingerprint=%016" G_GINT64_MODIFIER
                   "x",
                   request->caller_request_id, request->sequence, part,
                   request->spec.fingerprint.low);
  return TRUE;
}

gboolean
hbw_ingress_suspects_is_refused (const HbwContext *context,
                                 const HbwRequest *request, gint64 *retry_after_us)
{
  const HbwFingerprint *fingerprint = &request->spec.fingerprint;
  if (hbw_quarantine_check (context->quarantine, fingerprint, context->self,
                            context->now_us)
      != HBW_QUARANTINE_STATUS_QUARANTINED)
    return hbw_ingress_suspects_is_part_refused (context, request, retry_after_us);
  *retry_after_us = hbw_quarantine_remaining_us (context->quarantine, fingerprint,
                                                 context->now_us);
  return TRUE;
}

gboolean
hbw_ingress_suspects_take_verdicts (HbwIngressSuspects *suspects,
                                    const HbwContext *context)
{
  guint64 known = suspects->part_verdicts;
  suspects->part_verdicts = hbw_quarantine_part_verdicts (context->quarantine);
  return suspects->part_verdicts != known;
}

/* Withdraws the failures that this instance has recorded since its path to the
   servers became doubtful. */
static void
withdraw_failures (HbwIngressSuspects *suspects, HbwContext *context)
{
  gint64 since_us
      = hbw_server_path_doubted_us (context->server_path) - PATH_DOUBT_US;
  for (guint i = 0; i < suspects->recent_failures->len; i++)
    {
      const OwnFailure *failure
          = &g_array_index (suspects->recent_failures, OwnFailure, i);
      if (failure->failed_us >= since_us)
        hbw_quarantine_withdraw_failure (context->quarantine, &failure->fingerprint,
                                         failure->id, context->now_us);
    }
  g_array_set_size (suspects->recent_failures, 0);
}

void
hbw_ingress_suspects_tick (HbwIngressSuspects *suspects, HbwContext *context,
                           const HbwTopology *topology)
{
  SuspectVisit visit = { suspects, context };
  if (hbw_server_path_state (context->server_path) == HBW_PATH_LOST)
    withdraw_failures (suspects, context);
  hbw_server_checks_tick (suspects->server_checks, context);
  hbw_quarantine_handle_lost (context, suspects->server_checks, topology,
                              handle_checked_suspect, &visit);
}
