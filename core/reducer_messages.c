#include "hornbeamwall/core/reducer_state.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/status.h"
#include "hornbeamwall/core/stream_versions.h"
#include "hornbeamwall/core/suspect_share.h"

static void
record_reported_version (HbwReducer *reducer, guint64 from, gint64 version)
{
  HbwReportedVersion *reported
      = g_hash_table_lookup (reducer->reported_versions, &from);
  if (reported == NULL)
    {
      reported = g_new0 (HbwReportedVersion, 1);
      reported->identity = from;
      g_hash_table_insert (reducer->reported_versions, &reported->identity,
                           reported);
    }
  reported->version = version;
  reported->reported_us = reducer->context.now_us;
}

static void
handle_ping (HbwReducer *reducer, const HbwMessage *message)
{
  HbwContext *context = &reducer->context;
  const HbwPing *ping = &message->ping;
  HbwShardRouter *router = hbw_ingress_shard_router (reducer->ingress);
  hbw_reducer_observe_store_era (reducer, ping->store_era, ping->store_era_age_us);
  record_reported_version (reducer, message->from,
                           ping->versions[HBW_DOCUMENT_CATALOGUE]);
  for (guint i = 0; i < ping->summary_count; i++)
    if (hbw_reducer_find_owner (&ping->summaries[i].key, reducer) != context->self)
      hbw_shard_router_update_summary (router, &ping->summaries[i], context->now_us);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    if (ping->versions[i] == HBW_VERSION_ABSENT)
      {
        const HbwDocument absent = { .kind = (HbwDocumentKind) i };
        hbw_reducer_handle_document (reducer, &absent, message->from);
      }
  hbw_documents_handle_ping (reducer->documents, context, message->from, ping);
  hbw_suspect_share_handle_ping (context->suspect_share, context, message);
}

static void
handle_loads (HbwReducer *reducer, const HbwMessage *message)
{
  HbwContext *context = &reducer->context;
  if (context->load_share == NULL)
    return;
  hbw_load_share_handle_message (context->load_share, context, message);
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard))
    {
      hbw_shard_record_remote_prompts (shard, &message->loads, context->now_us);
      hbw_shard_record_remote_pace (shard, &message->loads, context->now_us);
    }
}

static void
handle_withdrawal (HbwReducer *reducer, const HbwMessage *message)
{
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard))
    hbw_shard_handle_withdrawal (shard, &reducer->context, &message->refusal);
}

static void
handle_done (HbwReducer *reducer, const HbwAttemptResult *done)
{
  HbwShard *shard = hbw_reducer_find_shard (reducer, &done->shard);
  if (shard != NULL)
    hbw_shard_handle_done (shard, &reducer->context, done);
}

void
hbw_reducer_handle_message (HbwReducer *reducer, const HbwMessage *message)
{
  HbwContext *context = &reducer->context;
  HbwLimiter *limiter = hbw_ingress_limiter (reducer->ingress);
  if ((guint) message->kind >= HBW_MESSAGE_COUNT)
    return;
  hbw_metrics_control (context->metrics)->messages_received[message->kind]++;
  hbw_membership_handle_message (context->membership, context, message);
  switch (message->kind)
    {
    case HBW_MESSAGE_ACK:
      hbw_freshness_monitor_handle_ack (
          reducer->freshness_monitor, context, message,
          hbw_documents_version (reducer->documents, HBW_DOCUMENT_CATALOGUE));
      handle_ping (reducer, message);
      break;
    case HBW_MESSAGE_PING:
      handle_ping (reducer, message);
      break;
    case HBW_MESSAGE_WANT:
      hbw_shard_handle_want (
          hbw_reducer_ensure_shard (reducer, &message->want.shard), context,
          message->from, &message->want);
      break;
    case HBW_MESSAGE_WITHDRAW:
      handle_withdrawal (reducer, message);
      break;
    case HBW_MESSAGE_GRANT:
      hbw_ingress_handle_grant (reducer->ingress, context, message->from,
                                &message->grant);
      break;
    case HBW_MESSAGE_REFUSAL:
      hbw_ingress_handle_refusal (reducer->ingress, context, &message->refusal);
      break;
    case HBW_MESSAGE_ACTIVE:
      hbw_shard_handle_active (
          hbw_reducer_ensure_shard (reducer, &message->active.shard), context,
          message->from, &message->active);
      break;
    case HBW_MESSAGE_BEGUN:
      {
        HbwShard *shard = hbw_reducer_find_shard (reducer, &message->begun.shard);
        if (shard != NULL)
          hbw_shard_handle_begun (shard, context, &message->begun);
        break;
      }
    case HBW_MESSAGE_DONE:
      handle_done (reducer, &message->done);
      break;
    case HBW_MESSAGE_LOADS:
    case HBW_MESSAGE_LOAD_SUMS:
      handle_loads (reducer, message);
      break;
    case HBW_MESSAGE_DOCUMENT_ASK:
      hbw_documents_handle_request (reducer->documents, context, message->from,
                                    &message->document);
      break;
    case HBW_MESSAGE_DOCUMENT:
      hbw_documents_handle_answer (reducer->documents, message->from,
                                   message->document.kind);
      hbw_reducer_handle_document (reducer, &message->document, message->from);
      break;
    case HBW_MESSAGE_SUSPECT:
      hbw_suspect_share_handle_report (context->suspect_share, context, message);
      hbw_ingress_handle_suspect (reducer->ingress, context,
                                  &message->suspect.fingerprint);
      break;
    case HBW_MESSAGE_STREAM_VERSION:
      hbw_stream_versions_handle_message (context->stream_versions, context,
                                          message);
      if (message->stream_version.version_hash != 0)
        hbw_ingress_handle_stream_version (reducer->ingress, context, message->from,
                                           message->stream_version.key);
      break;
    case HBW_MESSAGE_CLEARED_PARTS:
      hbw_quarantine_merge_cleared_parts (context->quarantine,
                                          &message->cleared_parts, context->now_us);
      break;
    case HBW_MESSAGE_SERVER_NOTICE:
      hbw_server_notices_handle_message (context->server_notices, context, message);
      break;
    case HBW_MESSAGE_DUTY_STATUS:
    case HBW_MESSAGE_USAGE_COUNTS:
    case HBW_MESSAGE_POOL_DEMAND:
      hbw_reducer_handle_duty_message (reducer, message);
      break;
    default:
      hbw_limiter_handle_message (limiter, context, message);
      break;
    }
}
