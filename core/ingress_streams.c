#include "hornbeamwall/core/ingress_streams.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/stream_versions.h"

#include <string.h>

/* Without an answer for this long, more instances are asked. */
#define ASK_MORE_DELAY_US (60 * HBW_US_PER_MS)

/* Bounds of the interval at which the others are told again: the lower one if
   instances have come or gone, the upper one otherwise. */
#define TELL_INTERVAL_MIN_US (2 * HBW_US_PER_S)
#define TELL_INTERVAL_MAX_US (20 * HBW_US_PER_S)

static const HbwServerEntry *
find_entry (const HbwTopology *topology, const char *server)
{
  HbwShardKey key;
  return topology != NULL ? hbw_topology_find_server (topology, server, &key) : NULL;
}

static void
ask (HbwContext *context, const HbwRequest *request, guint count)
{
  hbw_stream_versions_ask (context->stream_versions, context, request->resumed_key,
                           hbw_stream_fingerprint_key (&request->spec.fingerprint),
                           count);
}

/* Returns whether the request names the stream that it resumes. */
static gboolean
is_named (const HbwRequest *request)
{
  return request->resumed_key
         != hbw_stream_fingerprint_key (&request->spec.fingerprint);
}

static void
tell (HbwContext *context, HbwRequest *request)
{
  request->told_us = context->now_us;
  request->told_epoch = hbw_membership_epoch (context->membership);
  hbw_stream_versions_tell (context->stream_versions, context, request->stream_key,
                            hbw_stream_fingerprint_key (&request->spec.fingerprint),
                            request->spec.version_hash);
}

HbwResumption
hbw_ingress_streams_prepare (HbwContext *context, HbwRequest *request,
                             const HbwArrival *arrival)
{
  const char *organisation = request->spec.organisation;
  if (!request->spec.resumable)
    return HBW_RESUMPTION_READY;
  request->stream_key = hbw_stream_key (organisation, request->caller_request_id);
  if (!arrival->is_resumption)
    return HBW_RESUMPTION_READY;
  request->resumed_key = hbw_stream_key (organisation, arrival->resumed_id);
  if (request->resumed_key == 0)
    request->resumed_key = hbw_stream_fingerprint_key (&request->spec.fingerprint);
  if (!is_named (request))
    {
      request->answers.asked_count = hbw_stream_versions_ask_all (
          context->stream_versions, context, request->resumed_key);
      return hbw_ingress_streams_update (context, request);
    }
  HbwResumption resumption = hbw_ingress_streams_update (context, request);
  if (resumption == HBW_RESUMPTION_ASKING)
    ask (context, request, HBW_STREAM_ASKED_FIRST);
  return resumption;
}

void
hbw_ingress_streams_handle_answer (HbwRequest *request, guint64 from)
{
  hbw_stream_answers_add (&request->answers, from);
}

/* Returns what is known for a request that names no stream. */
static HbwResumption
update_unnamed (HbwContext *context, HbwRequest *request, gint64 waited_us)
{
  guint64 version_hash;
  gboolean is_known
      = hbw_stream_versions_find (context->stream_versions, request->resumed_key,
                                  context->now_us, &version_hash);
  gboolean has_lost = hbw_membership_has_lost (
      context->membership, context->now_us - HBW_STREAM_VERSION_KEEP_US);
  gboolean is_complete = hbw_stream_answers_are_complete (&request->answers);
  if (has_lost || (is_known && version_hash == 0) || (is_complete && !is_known))
    return HBW_RESUMPTION_UNKNOWN;
  if (!is_complete)
    return waited_us < HBW_STREAM_ANSWER_TIMEOUT_US ? HBW_RESUMPTION_ASKING
                                                    : HBW_RESUMPTION_UNKNOWN;
  request->spec.version_hash = version_hash;
  return HBW_RESUMPTION_READY;
}

HbwResumption
hbw_ingress_streams_update (HbwContext *context, HbwRequest *request)
{
  gint64 waited_us = context->now_us - request->arrived_us;
  if (!is_named (request))
    return update_unnamed (context, request, waited_us);
  if (hbw_stream_versions_find (context->stream_versions, request->resumed_key,
                                context->now_us, &request->spec.version_hash))
    return request->spec.version_hash != 0 ? HBW_RESUMPTION_READY
                                           : HBW_RESUMPTION_UNKNOWN;
  if (waited_us >= HBW_STREAM_ANSWER_TIMEOUT_US)
    return HBW_RESUMPTION_UNKNOWN;
  if (waited_us >= ASK_MORE_DELAY_US && !request->has_asked_more)
    {
      request->has_asked_more = TRUE;
      ask (context, request, HBW_STREAM_ASKED_MAX);
    }
  return HBW_RESUMPTION_ASKING;
}

void
hbw_ingress_streams_start_attempt (const HbwTopology *topology, HbwRequest *request)
{
  const HbwServerEntry *entry = find_entry (topology, request->server);
  g_strlcpy (request->version, entry != NULL ? entry->version : "",
             sizeof request->version);
  request->attempt_version_hash = entry != NULL ? entry->version_hash : 0;
}

void
hbw_ingress_streams_handle_event (HbwContext *context, const HbwTopology *topology,
                                  HbwRequest *request)
{
  if (!request->spec.resumable)
    return;
  const HbwServerEntry *entry = find_entry (topology, request->server);
  /* The server may have started again under its id since the attempt started. */
  if (entry != NULL && entry->version_hash != request->attempt_version_hash)
    request->attempt_version_hash = 0;
  request->is_version_lost |= request->attempt_version_hash == 0;
  if (request->spec.version_hash == 0)
    request->spec.version_hash = request->attempt_version_hash;
  if (!request->is_version_lost)
    tell (context, request);
}

void
hbw_ingress_streams_refresh (HbwContext *context, HbwRequest *request)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  gint64 interval_us
      = epoch != request->told_epoch ? TELL_INTERVAL_MIN_US : TELL_INTERVAL_MAX_US;
  if (request->told_us == 0 || request->is_version_lost
      || context->now_us - request->told_us < interval_us)
    return;
  tell (context, request);
}

gboolean
hbw_ingress_streams_has_server (const HbwContext *context,
                                const HbwTopology *topology,
                                const HbwRequest *request)
{
  HbwShardKey key;
  if (request->is_version_lost)
    return FALSE;
  return request->spec.version_hash == 0
         || (topology != NULL
             && hbw_topology_find_version (topology, &request->spec,
                                           context->data_centre,
                                           request->avoid_server, &key));
}

gboolean
hbw_ingress_streams_accepts (const HbwTopology *topology, const HbwRequest *request,
                             const HbwGrant *grant)
{
  if (request->spec.version_hash == 0)
    return TRUE;
  const HbwServerEntry *entry = find_entry (topology, grant->server);
  return entry != NULL && entry->version_hash == request->spec.version_hash;
}
