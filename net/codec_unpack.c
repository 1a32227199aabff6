#include "hornbeamwall/net/codec_fields.h"

#include <string.h>

static const msgpack_object *
next_field (HbwFieldReader *reader)
{
  if (reader->failed || reader->next >= reader->count)
    {
      reader->failed = TRUE;
      return NULL;
    }
  return &reader->items[reader->next++];
}

guint64
hbw_field_reader_unpack_uint (HbwFieldReader *reader, guint64 max)
{
  const msgpack_object *item = next_field (reader);
  if (item == NULL || item->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || item->via.u64 > max)
    {
      reader->failed = TRUE;
      return 0;
    }
  return item->via.u64;
}

static gint64
unpack_int (HbwFieldReader *reader)
{
  const msgpack_object *item = next_field (reader);
  if (item != NULL && item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return item->via.i64;
  if (item == NULL || item->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || item->via.u64 > G_MAXINT64)
    {
      reader->failed = TRUE;
      return 0;
    }
  return (gint64) item->via.u64;
}

static double
unpack_double (HbwFieldReader *reader)
{
  const msgpack_object *item = next_field (reader);
  gboolean valid = item != NULL && item->type == MSGPACK_OBJECT_FLOAT64
                   && item->via.f64 >= 0 && item->via.f64 < 1e15;
  if (!valid)
    reader->failed = TRUE;
  return valid ? item->via.f64 : 0;
}

static void
unpack_text (HbwFieldReader *reader, char *buffer, gsize size)
{
  const msgpack_object *item = next_field (reader);
  buffer[0] = '\0';
  if (item == NULL || item->type != MSGPACK_OBJECT_STR || item->via.str.size >= size
      || (item->via.str.size > 0
          && memchr (item->via.str.ptr, '\0', item->via.str.size) != NULL))
    {
      reader->failed = TRUE;
      return;
    }
  if (item->via.str.size > 0)
    memcpy (buffer, item->via.str.ptr, item->via.str.size);
  buffer[item->via.str.size] = '\0';
}

HbwFieldReader
hbw_field_reader_unpack_array (HbwFieldReader *reader, guint max)
{
  const msgpack_object *item = next_field (reader);
  HbwFieldReader inner = { .failed = TRUE };
  if (item == NULL || item->type != MSGPACK_OBJECT_ARRAY
      || item->via.array.size > max)
    {
      reader->failed = TRUE;
      return inner;
    }
  inner.items = item->via.array.ptr;
  inner.count = item->via.array.size;
  inner.failed = FALSE;
  return inner;
}

static void
unpack_id (HbwFieldReader *reader, HbwRequestId *id, guint *attempt)
{
  id->instance = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  id->sequence = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  *attempt = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
}

static void
unpack_shard (HbwFieldReader *reader, HbwShardKey *key)
{
  unpack_text (reader, key->pool, sizeof key->pool);
  unpack_text (reader, key->data_centre, sizeof key->data_centre);
  key->index = (guint) hbw_field_reader_unpack_uint (reader, HBW_SHARDS_MAX - 1);
}

static void
unpack_fingerprint (HbwFieldReader *reader, HbwFingerprint *fingerprint)
{
  fingerprint->high = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  fingerprint->low = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
}

static void
unpack_member (HbwFieldReader *reader, HbwMemberUpdate *member)
{
  HbwFieldReader inner = hbw_field_reader_unpack_array (reader, G_MAXUINT16);
  member->identity = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
  unpack_text (&inner, member->name, sizeof member->name);
  unpack_text (&inner, member->data_centre, sizeof member->data_centre);
  unpack_text (&inner, member->address, sizeof member->address);
  member->state
      = (HbwMemberState) hbw_field_reader_unpack_uint (&inner, HBW_MEMBER_LEFT);
  member->incarnation = (guint32) hbw_field_reader_unpack_uint (&inner, G_MAXUINT32);
  if (!inner.failed && inner.next < inner.count) /* older versions do not send it */
    member->tunnel_port
        = (guint16) hbw_field_reader_unpack_uint (&inner, G_MAXUINT16);
  if (!inner.failed && inner.next + 1 < inner.count)
    {
      member->link_mbps
          = (guint32) hbw_field_reader_unpack_uint (&inner, G_MAXUINT32);
      member->processor_percent
          = (guint32) hbw_field_reader_unpack_uint (&inner, G_MAXUINT32);
    }
  reader->failed |= inner.failed || member->identity == 0;
}

static void
unpack_summary (HbwFieldReader *reader, HbwShardSummary *summary)
{
  HbwFieldReader inner = hbw_field_reader_unpack_array (reader, G_MAXUINT16);
  unpack_shard (&inner, &summary->key);
  summary->age_us = unpack_int (&inner);
  summary->free_slots
      = (guint) hbw_field_reader_unpack_uint (&inner, HBW_FREE_SLOTS_MAX);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    summary->expected_wait_us[i] = unpack_int (&inner);
  summary->draining_requests
      = (guint) hbw_field_reader_unpack_uint (&inner, G_MAXUINT32);
  reader->failed |= inner.failed;
}

static void
unpack_ping (HbwFieldReader *reader, HbwPing *ping)
{
  ping->probe_number = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  ping->on_behalf_of = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  ping->subject = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  HbwFieldReader versions = hbw_field_reader_unpack_array (reader, G_MAXUINT16);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    ping->versions[i] = unpack_int (&versions);
  HbwFieldReader members
      = hbw_field_reader_unpack_array (reader, HBW_PING_MEMBERS_MAX);
  while (!members.failed && members.next < members.count)
    unpack_member (&members, &ping->members[ping->member_count++]);
  HbwFieldReader summaries
      = hbw_field_reader_unpack_array (reader, HBW_PING_SUMMARIES_MAX);
  while (!summaries.failed && summaries.next < summaries.count)
    unpack_summary (&summaries, &ping->summaries[ping->summary_count++]);
  ping->catalogue_age_us = -1; /* older versions do not send it */
  if (!reader->failed && reader->next < reader->count)
    ping->catalogue_age_us = unpack_int (reader);
  if (!reader->failed && reader->next < reader->count)
    ping->suspects_digest = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  if (!reader->failed && reader->next < reader->count)
    {
      ping->store_era = unpack_int (reader);
      gint64 age_us = unpack_int (reader);
      ping->store_era_age_us = MAX (0, age_us);
    }
  reader->failed |= versions.failed || members.failed || summaries.failed;
}

static void
unpack_spec (HbwFieldReader *reader, HbwRequestSpec *spec)
{
  unpack_text (reader, spec->organisation, sizeof spec->organisation);
  unpack_text (reader, spec->class_name, sizeof spec->class_name);
  unpack_text (reader, spec->pool, sizeof spec->pool);
  spec->tier = (HbwTier) hbw_field_reader_unpack_uint (reader, HBW_TIER_COUNT - 1);
  spec->idempotent = hbw_field_reader_unpack_uint (reader, 1) != 0;
  spec->weight = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  spec->cost_tokens = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  spec->queue_bound = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  spec->first_token_target_us = unpack_int (reader);
  spec->inter_token_target_us = unpack_int (reader);
  spec->deadline_us = unpack_int (reader);
  spec->prefix_hash = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  unpack_fingerprint (reader, &spec->fingerprint);
  spec->server_failures = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
}

/* Unpacks the fields that older versions do not send. */
static void
unpack_spec_extension (HbwFieldReader *reader, HbwRequestSpec *spec)
{
  if (reader->failed || reader->next >= reader->count)
    return;
  spec->timeout_us = unpack_int (reader);
  spec->attempts_max = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
  spec->resumable = hbw_field_reader_unpack_uint (reader, 1) != 0;
  spec->prompt_tokens = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  HbwFieldReader parts
      = hbw_field_reader_unpack_array (reader, HBW_PROMPT_PARTS_MAX);
  while (!parts.failed && parts.next < parts.count)
    {
      HbwPromptPart *part = &spec->parts[spec->part_count++];
      HbwFieldReader inner = hbw_field_reader_unpack_array (&parts, G_MAXUINT16);
      part->hash = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
      part->tokens = (guint) hbw_field_reader_unpack_uint (&inner, G_MAXUINT32);
      parts.failed |= inner.failed;
    }
  reader->failed |= parts.failed;
  if (!reader->failed && reader->next < reader->count)
    spec->version_hash = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  if (!reader->failed && reader->next < reader->count)
    spec->class_tier
        = (HbwTier) hbw_field_reader_unpack_uint (reader, HBW_TIER_COUNT - 1);
}

static void
unpack_grant (HbwFieldReader *reader, HbwGrant *grant)
{
  unpack_id (reader, &grant->id, &grant->attempt);
  unpack_shard (reader, &grant->shard);
  unpack_text (reader, grant->server, sizeof grant->server);
  unpack_text (reader, grant->address, sizeof grant->address);
  grant->valid_for_us = unpack_int (reader);
  if (reader->failed || reader->next >= reader->count)
    return; /* older versions do not send the rest */
  grant->facts.in_progress
      = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  grant->facts.others = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  grant->facts.unread_tokens
      = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  grant->facts.waiting = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
  grant->facts.report_age_us = unpack_int (reader);
}

static void
unpack_refusal (HbwFieldReader *reader, HbwRefusal *refusal)
{
  unpack_id (reader, &refusal->id, &refusal->attempt);
  refusal->reason
      = (HbwReason) hbw_field_reader_unpack_uint (reader, HBW_REASON_COUNT - 1);
  refusal->retry_after_us = unpack_int (reader);
}

static void
unpack_active (HbwFieldReader *reader, HbwActiveAttempt *active)
{
  unpack_id (reader, &active->id, &active->attempt);
  unpack_shard (reader, &active->shard);
  unpack_text (reader, active->server, sizeof active->server);
  active->tier = (HbwTier) hbw_field_reader_unpack_uint (reader, HBW_TIER_COUNT - 1);
  unpack_fingerprint (reader, &active->fingerprint);
}

static void
unpack_done (HbwFieldReader *reader, HbwAttemptResult *done)
{
  unpack_id (reader, &done->id, &done->attempt);
  unpack_shard (reader, &done->shard);
  unpack_text (reader, done->server, sizeof done->server);
  done->outcome
      = (HbwOutcome) hbw_field_reader_unpack_uint (reader, HBW_OUTCOME_COUNT - 1);
  done->first_token_us = unpack_int (reader);
  done->inter_token_us = unpack_int (reader);
  done->tokens = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT32);
}

static void
unpack_document (HbwFieldReader *reader, HbwDocument *document)
{
  document->kind = (HbwDocumentKind) hbw_field_reader_unpack_uint (
      reader, HBW_DOCUMENT_COUNT - 1);
  document->version = unpack_int (reader);
  const msgpack_object *body = next_field (reader);
  if (body == NULL || body->type != MSGPACK_OBJECT_BIN)
    {
      reader->failed = TRUE;
      return;
    }
  document->body = g_bytes_new (body->via.bin.ptr, body->via.bin.size);
  document->base_version = unpack_int (reader);
}

static void
unpack_rates (HbwFieldReader *reader, HbwRates *rates)
{
  rates->level = (guint) hbw_field_reader_unpack_uint (reader, 1);
  unpack_text (reader, rates->organisation, sizeof rates->organisation);
  rates->requests_per_s = unpack_double (reader);
  rates->tokens_per_s = unpack_double (reader);
  rates->in_progress = unpack_double (reader);
}

/* Unpacks what is told of engines, which earlier versions do not send. */
static void
unpack_engine_loads (HbwFieldReader *reader, HbwLoadUpdate *loads)
{
  if (reader->failed || reader->next >= reader->count)
    return;
  HbwFieldReader targets = hbw_field_reader_unpack_array (reader, HBW_LOAD_SUMS_MAX);
  for (guint i = 0; i < MIN (targets.count, loads->load_count); i++)
    loads->loads[i].load.target_ms
        = (guint) hbw_field_reader_unpack_uint (&targets, HBW_LOAD_TOKENS_MAX);
  HbwFieldReader memory = hbw_field_reader_unpack_array (reader, HBW_LOAD_SUMS_MAX);
  for (guint i = 0; i < MIN (memory.count, loads->load_count); i++)
    loads->loads[i].load.memory_tokens
        = (guint) hbw_field_reader_unpack_uint (&memory, HBW_LOAD_TOKENS_MAX);
  HbwFieldReader parts = hbw_field_reader_unpack_array (reader, HBW_LOAD_PARTS_MAX);
  for (guint i = 0; i < MIN (parts.count, loads->part_count); i++)
    loads->parts[i].tokens
        = (guint) hbw_field_reader_unpack_uint (&parts, HBW_LOAD_TOKENS_MAX);
  HbwFieldReader paces
      = hbw_field_reader_unpack_array (reader, 2 * HBW_LOAD_SUMS_MAX);
  for (guint i = 0; i < MIN (paces.count / 2, loads->load_count); i++)
    {
      loads->loads[i].pace_percent
          = (guint) hbw_field_reader_unpack_uint (&paces, G_MAXINT32);
      loads->loads[i].pace_left_ms
          = (guint) hbw_field_reader_unpack_uint (&paces, G_MAXINT32);
    }
  reader->failed |= targets.failed || memory.failed || parts.failed || paces.failed;
}

static void
unpack_loads (HbwFieldReader *reader, HbwLoadUpdate *loads)
{
  HbwFieldReader inner
      = hbw_field_reader_unpack_array (reader, 3 * HBW_LOAD_SUMS_MAX);
  while (!inner.failed && inner.next < inner.count)
    {
      HbwServerLoad *load = &loads->loads[loads->load_count++];
      load->server_hash = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
      load->load.in_progress
          = (guint) hbw_field_reader_unpack_uint (&inner, HBW_LOAD_REQUESTS_MAX);
      load->load.unread_tokens
          = (guint) hbw_field_reader_unpack_uint (&inner, HBW_LOAD_TOKENS_MAX);
    }
  HbwFieldReader parts
      = hbw_field_reader_unpack_array (reader, 2 * HBW_LOAD_PARTS_MAX);
  while (!parts.failed && parts.next < parts.count)
    {
      HbwPromptPlacement *part = &loads->parts[loads->part_count++];
      part->server_hash = hbw_field_reader_unpack_uint (&parts, G_MAXUINT64);
      part->part_hash = hbw_field_reader_unpack_uint (&parts, G_MAXUINT64);
    }
  reader->failed |= inner.failed || parts.failed;
  if (reader->failed || reader->next >= reader->count)
    return;
  /* Earlier versions do not send these. */
  HbwFieldReader waiting = hbw_field_reader_unpack_array (reader, HBW_LOAD_SUMS_MAX);
  for (guint i = 0; i < MIN (waiting.count, loads->load_count); i++)
    loads->loads[i].load.waiting
        = (guint) hbw_field_reader_unpack_uint (&waiting, HBW_LOAD_REQUESTS_MAX);
  reader->failed |= waiting.failed;
  unpack_engine_loads (reader, loads);
}

/* Unpacks the fields that earlier versions send.  They send one failure at a time;
   its id is derived from the request and the server. */
static void
unpack_suspicion_summary (HbwFieldReader *reader, HbwSuspicionReport *report)
{
  unpack_fingerprint (reader, &report->fingerprint);
  guint64 change
      = hbw_field_reader_unpack_uint (reader, HBW_LEGACY_SUSPICION_COUNT - 1);
  hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
  report->remaining_us = unpack_int (reader);
  guint64 server = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  report->completed_ago_us = change == HBW_LEGACY_SUSPICION_CLEARED ? 0 : -1;
  if (change != HBW_LEGACY_SUSPICION_FAILED || server == 0)
    return;
  report->activity = HBW_SUSPECT_WAITING;
  report->failure_count = 1;
  report->failures[0].id = report->fingerprint.low ^ server;
  report->failures[0].server_hash = server;
}

/* Unpacks what earlier versions do not send. */
static void
unpack_suspicion_parts (HbwFieldReader *reader, HbwSuspicionReport *report)
{
  if (reader->failed || reader->next >= reader->count)
    return;
  report->pool_hash = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  HbwFieldReader parts = hbw_field_reader_unpack_array (reader, HBW_PART_IDS_MAX);
  while (!parts.failed && parts.next < parts.count)
    report->part_ids.ids[report->part_ids.count++]
        = hbw_field_reader_unpack_uint (&parts, G_MAXUINT64);
  reader->failed |= parts.failed;
}

static void
unpack_suspicion (HbwFieldReader *reader, HbwSuspicionReport *report)
{
  unpack_suspicion_summary (reader, report);
  if (reader->failed || reader->next >= reader->count)
    return;
  report->verdict
      = (HbwVerdict) hbw_field_reader_unpack_uint (reader, HBW_VERDICT_COUNT - 1);
  report->activity = (HbwSuspectActivity) hbw_field_reader_unpack_uint (
      reader, HBW_SUSPECT_ACTIVITY_COUNT - 1);
  report->running_server_hash = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  report->is_stored = hbw_field_reader_unpack_uint (reader, 1) != 0;
  report->completed_ago_us = unpack_int (reader);
  HbwFieldReader failures
      = hbw_field_reader_unpack_array (reader, HBW_SUSPECT_FAILURES_MAX);
  report->failure_count = 0;
  while (!failures.failed && failures.next < failures.count)
    {
      HbwFailureReport *failure = &report->failures[report->failure_count++];
      HbwFieldReader inner = hbw_field_reader_unpack_array (&failures, G_MAXUINT16);
      failure->id = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
      failure->server_hash = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
      failure->started_ago_us = unpack_int (&inner);
      failure->failed_ago_us = unpack_int (&inner);
      if (inner.next < inner.count) /* older versions do not send it */
        failure->is_dismissed = hbw_field_reader_unpack_uint (&inner, 1) != 0;
      if (inner.next < inner.count)
        failure->is_refused = hbw_field_reader_unpack_uint (&inner, 1) != 0;
      if (inner.next < inner.count)
        failure->source = hbw_field_reader_unpack_uint (&inner, G_MAXUINT64);
      failures.failed |= inner.failed || failure->id == 0;
    }
  reader->failed |= failures.failed;
  unpack_suspicion_parts (reader, report);
}

static void
unpack_cleared_parts (HbwFieldReader *reader, HbwClearedParts *cleared)
{
  HbwFieldReader parts
      = hbw_field_reader_unpack_array (reader, 2 * HBW_CLEARED_PARTS_MAX);
  while (!parts.failed && parts.next < parts.count)
    {
      HbwClearedPart *part = &cleared->parts[cleared->count++];
      part->id = hbw_field_reader_unpack_uint (&parts, G_MAXUINT64);
      part->completed_ago_us = unpack_int (&parts);
      parts.failed |= part->completed_ago_us < 0;
    }
  reader->failed |= parts.failed;
}

static void
unpack_usage (HbwFieldReader *reader, HbwUsageCounts *usage)
{
  usage->window = unpack_int (reader);
  usage->first_window = unpack_int (reader);
  usage->wall_us = unpack_int (reader);
  usage->is_final = hbw_field_reader_unpack_uint (reader, 1) != 0;
  usage->is_receipt = hbw_field_reader_unpack_uint (reader, 1) != 0;
  usage->total_requests = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  HbwFieldReader counts
      = hbw_field_reader_unpack_array (reader, 2 * HBW_USAGE_COUNTS_MAX);
  while (!counts.failed && counts.next < counts.count)
    {
      HbwOrganisationCount *count = &usage->counts[usage->count++];
      unpack_text (&counts, count->organisation, sizeof count->organisation);
      count->requests
          = hbw_field_reader_unpack_uint (&counts, HBW_USAGE_REQUESTS_MAX);
    }
  reader->failed |= counts.failed;
}

static void
unpack_notice (HbwFieldReader *reader, HbwServerNoticeReport *report)
{
  unpack_text (reader, report->server, sizeof report->server);
  report->start_number = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  report->has_limit = hbw_field_reader_unpack_uint (reader, 1) != 0;
  report->limit = unpack_double (reader);
  report->limit_age_us = unpack_int (reader);
  report->is_leaving = hbw_field_reader_unpack_uint (reader, 1) != 0;
  report->permits_wanted
      = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
  report->permits_given = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
  reader->failed |= *report->server == '\0';
  report->turned_away_ago_us = -1; /* older versions do not send it */
  if (reader->failed || reader->next >= reader->count)
    return;
  report->brittle = (guint) hbw_field_reader_unpack_uint (reader, G_MAXUINT16);
  report->turned_away_ago_us = unpack_int (reader);
}

static void
unpack_duty_status (HbwFieldReader *reader, HbwDutyStatus *status)
{
  status->fencing_token = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  status->deputy = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
  status->window = unpack_int (reader);
  status->window_age_us = unpack_int (reader);
}

static void
unpack_pool_demand (HbwFieldReader *reader, HbwPoolDemand *demand)
{
  unpack_text (reader, demand->pool, sizeof demand->pool);
  demand->pace_tokens_per_s = unpack_double (reader);
  HbwFieldReader tiers = hbw_field_reader_unpack_array (reader, G_MAXUINT16);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    {
      HbwTierDemand *tier = &demand->tiers[i];
      HbwFieldReader inner = hbw_field_reader_unpack_array (&tiers, G_MAXUINT16);
      tier->prompt_tokens_per_s = unpack_double (&inner);
      tier->output_tokens_per_s = unpack_double (&inner);
      tier->requests_per_s = unpack_double (&inner);
      tier->refused_per_s = unpack_double (&inner);
      tier->late_per_s = unpack_double (&inner);
      tier->memory_tokens = unpack_double (&inner);
      tier->in_progress = (guint) hbw_field_reader_unpack_uint (&inner, G_MAXUINT16);
      tier->waiting = (guint) hbw_field_reader_unpack_uint (&inner, G_MAXUINT16);
      tiers.failed |= inner.failed;
    }
  reader->failed |= tiers.failed;
}

void
hbw_message_unpack (HbwFieldReader *reader, HbwMessage *message)
{
  switch (message->kind)
    {
    case HBW_MESSAGE_PING:
    case HBW_MESSAGE_ACK:
    case HBW_MESSAGE_PROBE_FOR:
      unpack_ping (reader, &message->ping);
      break;
    case HBW_MESSAGE_WANT:
      unpack_id (reader, &message->want.id, &message->want.attempt);
      unpack_shard (reader, &message->want.shard);
      unpack_spec (reader, &message->want.spec);
      unpack_text (reader, message->want.avoid_server,
                   sizeof message->want.avoid_server);
      unpack_spec_extension (reader, &message->want.spec);
      break;
    case HBW_MESSAGE_GRANT:
      unpack_grant (reader, &message->grant);
      break;
    case HBW_MESSAGE_REFUSAL:
    case HBW_MESSAGE_WITHDRAW:
      unpack_refusal (reader, &message->refusal);
      break;
    case HBW_MESSAGE_ACTIVE:
      unpack_active (reader, &message->active);
      break;
    case HBW_MESSAGE_BEGUN:
      unpack_id (reader, &message->begun.id, &message->begun.attempt);
      unpack_shard (reader, &message->begun.shard);
      message->begun.first_token_us = unpack_int (reader);
      break;
    case HBW_MESSAGE_LOADS:
    case HBW_MESSAGE_LOAD_SUMS:
      unpack_loads (reader, &message->loads);
      break;
    case HBW_MESSAGE_DONE:
      unpack_done (reader, &message->done);
      break;
    case HBW_MESSAGE_DOCUMENT_ASK:
    case HBW_MESSAGE_DOCUMENT:
      unpack_document (reader, &message->document);
      break;
    case HBW_MESSAGE_SUSPECT:
      unpack_suspicion (reader, &message->suspect);
      break;
    case HBW_MESSAGE_SERVER_NOTICE:
      unpack_notice (reader, &message->notice);
      break;
    case HBW_MESSAGE_CLEARED_PARTS:
      unpack_cleared_parts (reader, &message->cleared_parts);
      break;
    case HBW_MESSAGE_STREAM_VERSION:
      message->stream_version.key
          = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
      message->stream_version.fingerprint_key
          = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
      message->stream_version.version_hash
          = hbw_field_reader_unpack_uint (reader, G_MAXUINT64);
      break;
    case HBW_MESSAGE_DUTY_STATUS:
      unpack_duty_status (reader, &message->duty_status);
      break;
    case HBW_MESSAGE_USAGE_COUNTS:
      unpack_usage (reader, &message->usage);
      break;
    case HBW_MESSAGE_POOL_DEMAND:
      unpack_pool_demand (reader, &message->pool_demand);
      break;
    default: /* HBW_MESSAGE_DEMAND or HBW_MESSAGE_SHARE */
      unpack_rates (reader, &message->rates);
      break;
    }
}
