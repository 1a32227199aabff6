#include "hornbeamwall/net/codec_fields.h"

#include <string.h>

/* Earlier versions count a server that is named again after two seconds as another
   failure. */
#define LEGACY_FAILURE_AGE_MAX_US ((gint64) 1000000)

/* Fields of loads in addition to those in field_counts, if any load has them. */
#define ENGINE_LOAD_FIELDS 4

static void
pack_text (msgpack_packer *packer, const char *text)
{
  size_t length = strlen (text);
  msgpack_pack_str (packer, length);
  msgpack_pack_str_body (packer, text, length);
}

static void
pack_id (msgpack_packer *packer, const HbwRequestId *id, guint attempt)
{
  msgpack_pack_uint64 (packer, id->instance);
  msgpack_pack_uint64 (packer, id->sequence);
  msgpack_pack_uint32 (packer, attempt);
}

static void
pack_shard (msgpack_packer *packer, const HbwShardKey *key)
{
  pack_text (packer, key->pool);
  pack_text (packer, key->data_centre);
  msgpack_pack_uint32 (packer, key->index);
}

static void
pack_fingerprint (msgpack_packer *packer, const HbwFingerprint *fingerprint)
{
  msgpack_pack_uint64 (packer, fingerprint->high);
  msgpack_pack_uint64 (packer, fingerprint->low);
}

static void
pack_member (msgpack_packer *packer, const HbwMemberUpdate *member)
{
  msgpack_pack_array (packer, 9);
  msgpack_pack_uint64 (packer, member->identity);
  pack_text (packer, member->name);
  pack_text (packer, member->data_centre);
  pack_text (packer, member->address);
  msgpack_pack_uint8 (packer, (guint8) member->state);
  msgpack_pack_uint32 (packer, member->incarnation);
  msgpack_pack_uint16 (packer, member->tunnel_port);
  msgpack_pack_uint32 (packer, member->link_mbps);
  msgpack_pack_uint32 (packer, member->processor_percent);
}

static void
pack_summary (msgpack_packer *packer, const HbwShardSummary *summary)
{
  msgpack_pack_array (packer, 6 + HBW_TIER_COUNT);
  pack_shard (packer, &summary->key);
  msgpack_pack_int64 (packer, summary->age_us);
  msgpack_pack_uint32 (packer, MIN (summary->free_slots, HBW_FREE_SLOTS_MAX));
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    msgpack_pack_int64 (packer, summary->expected_wait_us[i]);
  msgpack_pack_uint32 (packer, summary->draining_requests);
}

static void
pack_ping (msgpack_packer *packer, const HbwPing *ping)
{
  msgpack_pack_uint64 (packer, ping->probe_number);
  msgpack_pack_uint64 (packer, ping->on_behalf_of);
  msgpack_pack_uint64 (packer, ping->subject);
  msgpack_pack_array (packer, HBW_DOCUMENT_COUNT);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    msgpack_pack_int64 (packer, ping->versions[i]);
  msgpack_pack_array (packer, ping->member_count);
  for (guint i = 0; i < ping->member_count; i++)
    pack_member (packer, &ping->members[i]);
  msgpack_pack_array (packer, ping->summary_count);
  for (guint i = 0; i < ping->summary_count; i++)
    pack_summary (packer, &ping->summaries[i]);
  msgpack_pack_int64 (packer, ping->catalogue_age_us);
  msgpack_pack_uint64 (packer, ping->suspects_digest);
  msgpack_pack_int64 (packer, ping->store_era);
  msgpack_pack_int64 (packer, ping->store_era_age_us);
}

static void
pack_part (msgpack_packer *packer, const HbwPromptPart *part)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, part->hash);
  msgpack_pack_uint32 (packer, part->tokens);
}

static void
pack_spec (msgpack_packer *packer, const HbwRequestSpec *spec)
{
  pack_text (packer, spec->organisation);
  pack_text (packer, spec->class_name);
  pack_text (packer, spec->pool);
  msgpack_pack_uint8 (packer, spec->tier);
  msgpack_pack_uint8 (packer, spec->idempotent ? 1 : 0);
  msgpack_pack_uint32 (packer, spec->weight);
  msgpack_pack_uint32 (packer, spec->cost_tokens);
  msgpack_pack_uint32 (packer, spec->queue_bound);
  msgpack_pack_int64 (packer, spec->first_token_target_us);
  msgpack_pack_int64 (packer, spec->inter_token_target_us);
  msgpack_pack_int64 (packer, spec->deadline_us);
  msgpack_pack_uint64 (packer, spec->prefix_hash);
  pack_fingerprint (packer, &spec->fingerprint);
  msgpack_pack_uint32 (packer, spec->server_failures);
}

/* Packs the fields that later versions have appended to the message. */
static void
pack_spec_extension (msgpack_packer *packer, const HbwRequestSpec *spec)
{
  msgpack_pack_int64 (packer, spec->timeout_us);
  msgpack_pack_uint32 (packer, spec->attempts_max);
  msgpack_pack_uint8 (packer, spec->resumable ? 1 : 0);
  msgpack_pack_uint32 (packer, spec->prompt_tokens);
  msgpack_pack_array (packer, spec->part_count);
  for (guint i = 0; i < spec->part_count; i++)
    pack_part (packer, &spec->parts[i]);
  msgpack_pack_uint64 (packer, spec->version_hash);
  msgpack_pack_uint8 (packer, spec->class_tier);
}

static void
pack_grant (msgpack_packer *packer, const HbwGrant *grant)
{
  pack_id (packer, &grant->id, grant->attempt);
  pack_shard (packer, &grant->shard);
  pack_text (packer, grant->server);
  pack_text (packer, grant->address);
  msgpack_pack_int64 (packer, grant->valid_for_us);
  msgpack_pack_uint32 (packer, grant->facts.in_progress);
  msgpack_pack_uint32 (packer, grant->facts.others);
  msgpack_pack_uint32 (packer, grant->facts.unread_tokens);
  msgpack_pack_uint32 (packer, grant->facts.waiting);
  msgpack_pack_int64 (packer, grant->facts.report_age_us);
}

static void
pack_refusal (msgpack_packer *packer, const HbwRefusal *refusal)
{
  pack_id (packer, &refusal->id, refusal->attempt);
  msgpack_pack_uint8 (packer, (guint8) refusal->reason);
  msgpack_pack_int64 (packer, refusal->retry_after_us);
}

static void
pack_active (msgpack_packer *packer, const HbwActiveAttempt *active)
{
  pack_id (packer, &active->id, active->attempt);
  pack_shard (packer, &active->shard);
  pack_text (packer, active->server);
  msgpack_pack_uint8 (packer, active->tier);
  pack_fingerprint (packer, &active->fingerprint);
}

static void
pack_done (msgpack_packer *packer, const HbwAttemptResult *done)
{
  pack_id (packer, &done->id, done->attempt);
  pack_shard (packer, &done->shard);
  pack_text (packer, done->server);
  msgpack_pack_uint8 (packer, (guint8) done->outcome);
  msgpack_pack_int64 (packer, done->first_token_us);
  msgpack_pack_int64 (packer, done->inter_token_us);
  msgpack_pack_uint32 (packer, done->tokens);
}

static void
pack_document (msgpack_packer *packer, const HbwDocument *document)
{
  gsize size = 0;
  const void *bytes
      = document->body != NULL ? g_bytes_get_data (document->body, &size) : NULL;
  msgpack_pack_uint8 (packer, (guint8) document->kind);
  msgpack_pack_int64 (packer, document->version);
  msgpack_pack_bin (packer, size);
  msgpack_pack_bin_body (packer, bytes, size);
  msgpack_pack_int64 (packer, document->base_version);
}

/* A receiver rejects larger numbers. */
static gboolean
has_engine_load (const HbwLoadUpdate *loads)
{
  for (guint i = 0; i < loads->load_count; i++)
    if (loads->loads[i].load.target_ms > 0 || loads->loads[i].load.memory_tokens > 0
        || loads->loads[i].pace_left_ms > 0)
      return TRUE;
  for (guint i = 0; i < loads->part_count; i++)
    if (loads->parts[i].tokens > 0)
      return TRUE;
  return FALSE;
}

/* Only what is told of engines makes the message longer. */
static void
pack_engine_loads (msgpack_packer *packer, const HbwLoadUpdate *loads)
{
  if (!has_engine_load (loads))
    return;
  msgpack_pack_array (packer, loads->load_count);
  for (guint i = 0; i < loads->load_count; i++)
    msgpack_pack_uint32 (packer,
                         MIN (loads->loads[i].load.target_ms, HBW_LOAD_TOKENS_MAX));
  msgpack_pack_array (packer, loads->load_count);
  for (guint i = 0; i < loads->load_count; i++)
    msgpack_pack_uint32 (
        packer, MIN (loads->loads[i].load.memory_tokens, HBW_LOAD_TOKENS_MAX));
  msgpack_pack_array (packer, loads->part_count);
  for (guint i = 0; i < loads->part_count; i++)
    msgpack_pack_uint32 (packer, MIN (loads->parts[i].tokens, HBW_LOAD_TOKENS_MAX));
  msgpack_pack_array (packer, 2 * loads->load_count);
  for (guint i = 0; i < loads->load_count; i++)
    {
      msgpack_pack_uint32 (packer, loads->loads[i].pace_percent);
      msgpack_pack_uint32 (packer, loads->loads[i].pace_left_ms);
    }
}

static void
pack_loads (msgpack_packer *packer, const HbwLoadUpdate *loads)
{
  msgpack_pack_array (packer, 3 * loads->load_count);
  for (guint i = 0; i < loads->load_count; i++)
    {
      const HbwServerWork *load = &loads->loads[i].load;
      msgpack_pack_uint64 (packer, loads->loads[i].server_hash);
      msgpack_pack_uint32 (packer, MIN (load->in_progress, HBW_LOAD_REQUESTS_MAX));
      msgpack_pack_uint32 (packer, MIN (load->unread_tokens, HBW_LOAD_TOKENS_MAX));
    }
  msgpack_pack_array (packer, 2 * loads->part_count);
  for (guint i = 0; i < loads->part_count; i++)
    {
      msgpack_pack_uint64 (packer, loads->parts[i].server_hash);
      msgpack_pack_uint64 (packer, loads->parts[i].part_hash);
    }
  msgpack_pack_array (packer, loads->load_count);
  for (guint i = 0; i < loads->load_count; i++)
    msgpack_pack_uint32 (packer,
                         MIN (loads->loads[i].load.waiting, HBW_LOAD_REQUESTS_MAX));
  pack_engine_loads (packer, loads);
}

/* Packs what earlier versions read instead of the list of failures: a change, the
   number of failures, and the server of a failure that just happened. */
static void
pack_suspicion_summary (msgpack_packer *packer, const HbwSuspicionReport *report)
{
  guint64 server = 0;
  guint count = 0;
  for (guint i = 0; i < report->failure_count; i++)
    {
      const HbwFailureReport *failure = &report->failures[i];
      if (failure->is_dismissed)
        continue;
      count++;
      if (failure->failed_ago_us < LEGACY_FAILURE_AGE_MAX_US)
        server = failure->server_hash;
    }
  HbwLegacySuspicion change = HBW_LEGACY_SUSPICION_FAILED;
  if (count == 0)
    change = HBW_LEGACY_SUSPICION_CLEARED;
  else if (report->activity == HBW_SUSPECT_IDLE && server == 0)
    change = HBW_LEGACY_SUSPICION_ENDED;
  msgpack_pack_uint32 (packer, change);
  msgpack_pack_uint32 (packer, count);
  msgpack_pack_int64 (packer, report->remaining_us);
  msgpack_pack_uint64 (packer, server);
}

static void
pack_suspicion (msgpack_packer *packer, const HbwSuspicionReport *report)
{
  pack_fingerprint (packer, &report->fingerprint);
  pack_suspicion_summary (packer, report);
  msgpack_pack_uint32 (packer, report->verdict);
  msgpack_pack_uint32 (packer, report->activity);
  msgpack_pack_uint64 (packer, report->running_server_hash);
  msgpack_pack_uint32 (packer, report->is_stored);
  msgpack_pack_int64 (packer, report->completed_ago_us);
  msgpack_pack_array (packer, report->failure_count);
  for (guint i = 0; i < report->failure_count; i++)
    {
      const HbwFailureReport *failure = &report->failures[i];
      msgpack_pack_array (packer, 7);
      msgpack_pack_uint64 (packer, failure->id);
      msgpack_pack_uint64 (packer, failure->server_hash);
      msgpack_pack_int64 (packer, failure->started_ago_us);
      msgpack_pack_int64 (packer, failure->failed_ago_us);
      msgpack_pack_uint32 (packer, failure->is_dismissed);
      msgpack_pack_uint32 (packer, failure->is_refused);
      msgpack_pack_uint64 (packer, failure->source);
    }
  msgpack_pack_uint64 (packer, report->pool_hash);
  msgpack_pack_array (packer, report->part_ids.count);
  for (guint i = 0; i < report->part_ids.count; i++)
    msgpack_pack_uint64 (packer, report->part_ids.ids[i]);
}

static void
pack_cleared_parts (msgpack_packer *packer, const HbwClearedParts *cleared)
{
  msgpack_pack_array (packer, 2 * cleared->count);
  for (guint i = 0; i < cleared->count; i++)
    {
      msgpack_pack_uint64 (packer, cleared->parts[i].id);
      msgpack_pack_int64 (packer, cleared->parts[i].completed_ago_us);
    }
}

static void
pack_notice (msgpack_packer *packer, const HbwServerNoticeReport *report)
{
  pack_text (packer, report->server);
  msgpack_pack_uint64 (packer, report->start_number);
  msgpack_pack_uint32 (packer, report->has_limit);
  msgpack_pack_double (packer, report->limit);
  msgpack_pack_int64 (packer, report->limit_age_us);
  msgpack_pack_uint32 (packer, report->is_leaving);
  msgpack_pack_uint32 (packer, report->permits_wanted);
  msgpack_pack_uint32 (packer, report->permits_given);
  msgpack_pack_uint32 (packer, report->brittle);
  msgpack_pack_int64 (packer, report->turned_away_ago_us);
}

static void
pack_duty_status (msgpack_packer *packer, const HbwDutyStatus *status)
{
  msgpack_pack_uint64 (packer, status->fencing_token);
  msgpack_pack_uint64 (packer, status->deputy);
  msgpack_pack_int64 (packer, status->window);
  msgpack_pack_int64 (packer, status->window_age_us);
}

static void
pack_usage (msgpack_packer *packer, const HbwUsageCounts *usage)
{
  msgpack_pack_int64 (packer, usage->window);
  msgpack_pack_int64 (packer, usage->first_window);
  msgpack_pack_int64 (packer, usage->wall_us);
  msgpack_pack_uint8 (packer, usage->is_final ? 1 : 0);
  msgpack_pack_uint8 (packer, usage->is_receipt ? 1 : 0);
  msgpack_pack_uint64 (packer, usage->total_requests);
  msgpack_pack_array (packer, 2 * usage->count);
  for (guint i = 0; i < usage->count; i++)
    {
      pack_text (packer, usage->counts[i].organisation);
      msgpack_pack_uint64 (packer,
                           MIN (usage->counts[i].requests, HBW_USAGE_REQUESTS_MAX));
    }
}

static void
pack_pool_demand (msgpack_packer *packer, const HbwPoolDemand *demand)
{
  pack_text (packer, demand->pool);
  msgpack_pack_double (packer, demand->pace_tokens_per_s);
  msgpack_pack_array (packer, HBW_TIER_COUNT);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    {
      const HbwTierDemand *tier = &demand->tiers[i];
      msgpack_pack_array (packer, 8);
      msgpack_pack_double (packer, tier->prompt_tokens_per_s);
      msgpack_pack_double (packer, tier->output_tokens_per_s);
      msgpack_pack_double (packer, tier->requests_per_s);
      msgpack_pack_double (packer, tier->refused_per_s);
      msgpack_pack_double (packer, tier->late_per_s);
      msgpack_pack_double (packer, tier->memory_tokens);
      msgpack_pack_uint32 (packer, tier->in_progress);
      msgpack_pack_uint32 (packer, tier->waiting);
    }
}

static void
pack_fields (msgpack_packer *packer, const HbwMessage *message)
{
  switch (message->kind)
    {
    case HBW_MESSAGE_PING:
    case HBW_MESSAGE_ACK:
    case HBW_MESSAGE_PROBE_FOR:
      pack_ping (packer, &message->ping);
      break;
    case HBW_MESSAGE_WANT:
      pack_id (packer, &message->want.id, message->want.attempt);
      pack_shard (packer, &message->want.shard);
      pack_spec (packer, &message->want.spec);
      pack_text (packer, message->want.avoid_server);
      pack_spec_extension (packer, &message->want.spec);
      break;
    case HBW_MESSAGE_GRANT:
      pack_grant (packer, &message->grant);
      break;
    case HBW_MESSAGE_REFUSAL:
    case HBW_MESSAGE_WITHDRAW:
      pack_refusal (packer, &message->refusal);
      break;
    case HBW_MESSAGE_ACTIVE:
      pack_active (packer, &message->active);
      break;
    case HBW_MESSAGE_BEGUN:
      pack_id (packer, &message->begun.id, message->begun.attempt);
      pack_shard (packer, &message->begun.shard);
      msgpack_pack_int64 (packer, message->begun.first_token_us);
      break;
    case HBW_MESSAGE_LOADS:
    case HBW_MESSAGE_LOAD_SUMS:
      pack_loads (packer, &message->loads);
      break;
    case HBW_MESSAGE_DONE:
      pack_done (packer, &message->done);
      break;
    case HBW_MESSAGE_DOCUMENT_ASK:
    case HBW_MESSAGE_DOCUMENT:
      pack_document (packer, &message->document);
      break;
    case HBW_MESSAGE_SUSPECT:
      pack_suspicion (packer, &message->suspect);
      break;
    case HBW_MESSAGE_SERVER_NOTICE:
      pack_notice (packer, &message->notice);
      break;
    case HBW_MESSAGE_CLEARED_PARTS:
      pack_cleared_parts (packer, &message->cleared_parts);
      break;
    case HBW_MESSAGE_STREAM_VERSION:
      msgpack_pack_uint64 (packer, message->stream_version.key);
      msgpack_pack_uint64 (packer, message->stream_version.fingerprint_key);
      msgpack_pack_uint64 (packer, message->stream_version.version_hash);
      break;
    case HBW_MESSAGE_DUTY_STATUS:
      pack_duty_status (packer, &message->duty_status);
      break;
    case HBW_MESSAGE_USAGE_COUNTS:
      pack_usage (packer, &message->usage);
      break;
    case HBW_MESSAGE_POOL_DEMAND:
      pack_pool_demand (packer, &message->pool_demand);
      break;
    default: /* HBW_MESSAGE_DEMAND or HBW_MESSAGE_SHARE */
      msgpack_pack_uint32 (packer, message->rates.level);
      pack_text (packer, message->rates.organisation);
      msgpack_pack_double (packer, message->rates.requests_per_s);
      msgpack_pack_double (packer, message->rates.tokens_per_s);
      msgpack_pack_double (packer, message->rates.in_progress);
      break;
    }
}

/* Number of fields that pack_fields() packs at least, by kind. */
static const guint field_counts[HBW_MESSAGE_COUNT] = {
  [HBW_MESSAGE_PING] = 10,          [HBW_MESSAGE_ACK] = 10,
  [HBW_MESSAGE_PROBE_FOR] = 10,     [HBW_MESSAGE_WANT] = 29,
  [HBW_MESSAGE_WITHDRAW] = 5,       [HBW_MESSAGE_GRANT] = 14,
  [HBW_MESSAGE_REFUSAL] = 5,        [HBW_MESSAGE_ACTIVE] = 10,
  [HBW_MESSAGE_DONE] = 11,          [HBW_MESSAGE_DOCUMENT_ASK] = 4,
  [HBW_MESSAGE_DOCUMENT] = 4,       [HBW_MESSAGE_SUSPECT] = 14,
  [HBW_MESSAGE_DEMAND] = 5,         [HBW_MESSAGE_SHARE] = 5,
  [HBW_MESSAGE_BEGUN] = 7,          [HBW_MESSAGE_LOADS] = 3,
  [HBW_MESSAGE_SERVER_NOTICE] = 10, [HBW_MESSAGE_CLEARED_PARTS] = 1,
  [HBW_MESSAGE_STREAM_VERSION] = 3, [HBW_MESSAGE_LOAD_SUMS] = 3,
  [HBW_MESSAGE_DUTY_STATUS] = 4,    [HBW_MESSAGE_USAGE_COUNTS] = 7,
  [HBW_MESSAGE_POOL_DEMAND] = 3,
};

static guint
count_fields (const HbwMessage *message)
{
  guint count = field_counts[message->kind];
  gboolean is_load
      = message->kind == HBW_MESSAGE_LOADS || message->kind == HBW_MESSAGE_LOAD_SUMS;
  return is_load && has_engine_load (&message->loads) ? count + ENGINE_LOAD_FIELDS
                                                      : count;
}

void
hbw_message_pack (msgpack_packer *packer, const HbwMessage *message)
{
  msgpack_pack_array (packer, 1 + count_fields (message));
  msgpack_pack_uint8 (packer, (guint8) message->kind);
  pack_fields (packer, message);
}
