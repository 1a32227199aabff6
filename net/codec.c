#include "hornbeamwall/net/codec.h"

#include <msgpack.h>
#include <string.h>

struct HbwFrame
{
  guint64 identity;
  msgpack_sbuffer body;
  msgpack_packer packer;
  guint count;
};

/* Reads the fields of one array in order; every error sticks. */
typedef struct
{
  const msgpack_object *items;
  guint count;
  guint next;
  gboolean failed;
} Fields;

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
  msgpack_pack_array (packer, 6);
  msgpack_pack_uint64 (packer, member->identity);
  pack_text (packer, member->name);
  pack_text (packer, member->data_centre);
  pack_text (packer, member->address);
  msgpack_pack_uint8 (packer, (guint8) member->state);
  msgpack_pack_uint32 (packer, member->incarnation);
}

static void
pack_summary (msgpack_packer *packer, const HbwShardSummary *summary)
{
  msgpack_pack_array (packer, 6 + HBW_TIER_COUNT);
  pack_shard (packer, &summary->key);
  msgpack_pack_int64 (packer, summary->age_us);
  msgpack_pack_uint32 (packer, summary->free_slots);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    msgpack_pack_int64 (packer, summary->expected_wait_us[i]);
  msgpack_pack_uint32 (packer, summary->draining);
}

static void
pack_ping (msgpack_packer *packer, const HbwPing *ping)
{
  msgpack_pack_uint64 (packer, ping->number);
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
  msgpack_pack_int64 (packer, spec->target_us);
  msgpack_pack_int64 (packer, spec->inter_token_us);
  msgpack_pack_int64 (packer, spec->deadline_us);
  msgpack_pack_uint64 (packer, spec->prefix);
  pack_fingerprint (packer, &spec->fingerprint);
  msgpack_pack_uint32 (packer, spec->failures);
}

static void
pack_grant (msgpack_packer *packer, const HbwGrant *grant)
{
  pack_id (packer, &grant->id, grant->attempt);
  pack_shard (packer, &grant->shard);
  pack_text (packer, grant->server);
  pack_text (packer, grant->address);
  msgpack_pack_int64 (packer, grant->valid_us);
}

static void
pack_refusal (msgpack_packer *packer, const HbwRefusal *refusal)
{
  pack_id (packer, &refusal->id, refusal->attempt);
  msgpack_pack_uint8 (packer, (guint8) refusal->reason);
  msgpack_pack_int64 (packer, refusal->retry_after_us);
}

static void
pack_active (msgpack_packer *packer, const HbwActive *active)
{
  pack_id (packer, &active->id, active->attempt);
  pack_shard (packer, &active->shard);
  pack_text (packer, active->server);
  msgpack_pack_uint8 (packer, active->tier);
  pack_fingerprint (packer, &active->fingerprint);
}

static void
pack_done (msgpack_packer *packer, const HbwDone *done)
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
  msgpack_pack_int64 (packer, document->base);
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
      pack_text (packer, message->want.avoid);
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
    case HBW_MESSAGE_DONE:
      pack_done (packer, &message->done);
      break;
    case HBW_MESSAGE_DOCUMENT_ASK:
    case HBW_MESSAGE_DOCUMENT:
      pack_document (packer, &message->document);
      break;
    case HBW_MESSAGE_SUSPECT:
      pack_fingerprint (packer, &message->suspect.fingerprint);
      msgpack_pack_uint32 (packer, message->suspect.failures);
      msgpack_pack_int64 (packer, message->suspect.remaining_us);
      msgpack_pack_uint64 (packer, message->suspect.server);
      break;
    default:
      msgpack_pack_uint32 (packer, message->rates.level);
      pack_text (packer, message->rates.organisation);
      msgpack_pack_double (packer, message->rates.requests_per_s);
      msgpack_pack_double (packer, message->rates.tokens_per_s);
      msgpack_pack_double (packer, message->rates.in_progress);
      break;
    }
}

/* Number of fields that pack_fields() writes, by kind. */
static const guint field_counts[HBW_MESSAGE_COUNT] = {
  [HBW_MESSAGE_PING] = 6,      [HBW_MESSAGE_ACK] = 6,
  [HBW_MESSAGE_PROBE_FOR] = 6, [HBW_MESSAGE_WANT] = 22,
  [HBW_MESSAGE_WITHDRAW] = 5,  [HBW_MESSAGE_GRANT] = 9,
  [HBW_MESSAGE_REFUSAL] = 5,   [HBW_MESSAGE_ACTIVE] = 10,
  [HBW_MESSAGE_DONE] = 11,     [HBW_MESSAGE_DOCUMENT_ASK] = 4,
  [HBW_MESSAGE_DOCUMENT] = 4,  [HBW_MESSAGE_SUSPECT] = 5,
  [HBW_MESSAGE_DEMAND] = 5,    [HBW_MESSAGE_SHARE] = 5,
};

static const msgpack_object *
next_field (Fields *fields)
{
  if (fields->failed || fields->next >= fields->count)
    {
      fields->failed = TRUE;
      return NULL;
    }
  return &fields->items[fields->next++];
}

static guint64
take_uint (Fields *fields, guint64 max)
{
  const msgpack_object *item = next_field (fields);
  if (item == NULL || item->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || item->via.u64 > max)
    {
      fields->failed = TRUE;
      return 0;
    }
  return item->via.u64;
}

static gint64
take_int (Fields *fields)
{
  const msgpack_object *item = next_field (fields);
  if (item != NULL && item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return item->via.i64;
  if (item == NULL || item->type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || item->via.u64 > G_MAXINT64)
    {
      fields->failed = TRUE;
      return 0;
    }
  return (gint64) item->via.u64;
}

static double
take_double (Fields *fields)
{
  const msgpack_object *item = next_field (fields);
  gboolean valid = item != NULL && item->type == MSGPACK_OBJECT_FLOAT64
                   && item->via.f64 >= 0 && item->via.f64 < 1e15;
  if (!valid)
    fields->failed = TRUE;
  return valid ? item->via.f64 : 0;
}

static void
take_text (Fields *fields, char *buffer, gsize size)
{
  const msgpack_object *item = next_field (fields);
  buffer[0] = '\0';
  if (item == NULL || item->type != MSGPACK_OBJECT_STR || item->via.str.size >= size
      || (item->via.str.size > 0
          && memchr (item->via.str.ptr, '\0', item->via.str.size) != NULL))
    {
      fields->failed = TRUE;
      return;
    }
  if (item->via.str.size > 0)
    memcpy (buffer, item->via.str.ptr, item->via.str.size);
  buffer[item->via.str.size] = '\0';
}

static Fields
take_array (Fields *fields, guint max)
{
  const msgpack_object *item = next_field (fields);
  Fields inner = { .failed = TRUE };
  if (item == NULL || item->type != MSGPACK_OBJECT_ARRAY
      || item->via.array.size > max)
    {
      fields->failed = TRUE;
      return inner;
    }
  inner.items = item->via.array.ptr;
  inner.count = item->via.array.size;
  inner.failed = FALSE;
  return inner;
}

static void
take_id (Fields *fields, HbwRequestId *id, guint *attempt)
{
  id->instance = take_uint (fields, G_MAXUINT64);
  id->sequence = take_uint (fields, G_MAXUINT64);
  *attempt = (guint) take_uint (fields, G_MAXUINT32);
}

static void
take_shard (Fields *fields, HbwShardKey *key)
{
  take_text (fields, key->pool, sizeof key->pool);
  take_text (fields, key->data_centre, sizeof key->data_centre);
  key->index = (guint) take_uint (fields, HBW_SHARDS_MAX - 1);
}

static void
take_fingerprint (Fields *fields, HbwFingerprint *fingerprint)
{
  fingerprint->high = take_uint (fields, G_MAXUINT64);
  fingerprint->low = take_uint (fields, G_MAXUINT64);
}

static void
take_member (Fields *fields, HbwMemberUpdate *member)
{
  Fields inner = take_array (fields, G_MAXUINT16);
  member->identity = take_uint (&inner, G_MAXUINT64);
  take_text (&inner, member->name, sizeof member->name);
  take_text (&inner, member->data_centre, sizeof member->data_centre);
  take_text (&inner, member->address, sizeof member->address);
  member->state = (HbwMemberState) take_uint (&inner, HBW_MEMBER_LEFT);
  member->incarnation = (guint32) take_uint (&inner, G_MAXUINT32);
  fields->failed |= inner.failed || member->identity == 0;
}

static void
take_summary (Fields *fields, HbwShardSummary *summary)
{
  Fields inner = take_array (fields, G_MAXUINT16);
  take_shard (&inner, &summary->key);
  summary->age_us = take_int (&inner);
  summary->free_slots = (guint) take_uint (&inner, G_MAXUINT16);
  for (guint i = 0; i < HBW_TIER_COUNT; i++)
    summary->expected_wait_us[i] = take_int (&inner);
  summary->draining = (guint) take_uint (&inner, G_MAXUINT32);
  fields->failed |= inner.failed;
}

static void
take_ping (Fields *fields, HbwPing *ping)
{
  ping->number = take_uint (fields, G_MAXUINT64);
  ping->on_behalf_of = take_uint (fields, G_MAXUINT64);
  ping->subject = take_uint (fields, G_MAXUINT64);
  Fields versions = take_array (fields, G_MAXUINT16);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    ping->versions[i] = take_int (&versions);
  Fields members = take_array (fields, HBW_PING_MEMBERS_MAX);
  while (!members.failed && members.next < members.count)
    take_member (&members, &ping->members[ping->member_count++]);
  Fields summaries = take_array (fields, HBW_PING_SUMMARIES_MAX);
  while (!summaries.failed && summaries.next < summaries.count)
    take_summary (&summaries, &ping->summaries[ping->summary_count++]);
  fields->failed |= versions.failed || members.failed || summaries.failed;
}

static void
take_spec (Fields *fields, HbwRequestSpec *spec)
{
  take_text (fields, spec->organisation, sizeof spec->organisation);
  take_text (fields, spec->class_name, sizeof spec->class_name);
  take_text (fields, spec->pool, sizeof spec->pool);
  spec->tier = (HbwTier) take_uint (fields, HBW_TIER_COUNT - 1);
  spec->idempotent = take_uint (fields, 1) != 0;
  spec->weight = (guint) take_uint (fields, G_MAXUINT32);
  spec->cost_tokens = (guint) take_uint (fields, G_MAXUINT32);
  spec->queue_bound = (guint) take_uint (fields, G_MAXUINT32);
  spec->target_us = take_int (fields);
  spec->inter_token_us = take_int (fields);
  spec->deadline_us = take_int (fields);
  spec->prefix = take_uint (fields, G_MAXUINT64);
  take_fingerprint (fields, &spec->fingerprint);
  spec->failures = (guint) take_uint (fields, G_MAXUINT16);
}

static void
take_grant (Fields *fields, HbwGrant *grant)
{
  take_id (fields, &grant->id, &grant->attempt);
  take_shard (fields, &grant->shard);
  take_text (fields, grant->server, sizeof grant->server);
  take_text (fields, grant->address, sizeof grant->address);
  grant->valid_us = take_int (fields);
}

static void
take_refusal (Fields *fields, HbwRefusal *refusal)
{
  take_id (fields, &refusal->id, &refusal->attempt);
  refusal->reason = (HbwReason) take_uint (fields, HBW_REASON_COUNT - 1);
  refusal->retry_after_us = take_int (fields);
}

static void
take_active (Fields *fields, HbwActive *active)
{
  take_id (fields, &active->id, &active->attempt);
  take_shard (fields, &active->shard);
  take_text (fields, active->server, sizeof active->server);
  active->tier = (HbwTier) take_uint (fields, HBW_TIER_COUNT - 1);
  take_fingerprint (fields, &active->fingerprint);
}

static void
take_done (Fields *fields, HbwDone *done)
{
  take_id (fields, &done->id, &done->attempt);
  take_shard (fields, &done->shard);
  take_text (fields, done->server, sizeof done->server);
  done->outcome = (HbwOutcome) take_uint (fields, HBW_OUTCOME_COUNT - 1);
  done->first_token_us = take_int (fields);
  done->inter_token_us = take_int (fields);
  done->tokens = (guint) take_uint (fields, G_MAXUINT32);
}

static void
take_document (Fields *fields, HbwDocument *document)
{
  document->kind = (HbwDocumentKind) take_uint (fields, HBW_DOCUMENT_COUNT - 1);
  document->version = take_int (fields);
  const msgpack_object *body = next_field (fields);
  if (body == NULL || body->type != MSGPACK_OBJECT_BIN)
    {
      fields->failed = TRUE;
      return;
    }
  document->body = g_bytes_new (body->via.bin.ptr, body->via.bin.size);
  document->base = take_int (fields);
}

static void
take_rates (Fields *fields, HbwRates *rates)
{
  rates->level = (guint) take_uint (fields, 1);
  take_text (fields, rates->organisation, sizeof rates->organisation);
  rates->requests_per_s = take_double (fields);
  rates->tokens_per_s = take_double (fields);
  rates->in_progress = take_double (fields);
}

static void
take_fields (Fields *fields, HbwMessage *message)
{
  switch (message->kind)
    {
    case HBW_MESSAGE_PING:
    case HBW_MESSAGE_ACK:
    case HBW_MESSAGE_PROBE_FOR:
      take_ping (fields, &message->ping);
      break;
    case HBW_MESSAGE_WANT:
      take_id (fields, &message->want.id, &message->want.attempt);
      take_shard (fields, &message->want.shard);
      take_spec (fields, &message->want.spec);
      take_text (fields, message->want.avoid, sizeof message->want.avoid);
      break;
    case HBW_MESSAGE_GRANT:
      take_grant (fields, &message->grant);
      break;
    case HBW_MESSAGE_REFUSAL:
    case HBW_MESSAGE_WITHDRAW:
      take_refusal (fields, &message->refusal);
      break;
    case HBW_MESSAGE_ACTIVE:
      take_active (fields, &message->active);
      break;
    case HBW_MESSAGE_DONE:
      take_done (fields, &message->done);
      break;
    case HBW_MESSAGE_DOCUMENT_ASK:
    case HBW_MESSAGE_DOCUMENT:
      take_document (fields, &message->document);
      break;
    case HBW_MESSAGE_SUSPECT:
      take_fingerprint (fields, &message->suspect.fingerprint);
      message->suspect.failures = (guint) take_uint (fields, G_MAXUINT16);
      message->suspect.remaining_us = take_int (fields);
      message->suspect.server = take_uint (fields, G_MAXUINT64);
      break;
    default:
      take_rates (fields, &message->rates);
      break;
    }
}

static gboolean
parse_message (Fields *messages, guint64 from, HbwMessageVisitor visit, void *data,
               HbwError *error)
{
  HbwMessage message = { .from = from };
  Fields fields = take_array (messages, G_MAXUINT16);
  guint64 kind = take_uint (&fields, G_MAXUINT16);
  if (!fields.failed && kind >= HBW_MESSAGE_COUNT)
    return TRUE; /* a kind of a newer version */
  message.kind = (HbwMessageKind) kind;
  if (!fields.failed)
    take_fields (&fields, &message);
  if (!fields.failed)
    visit (&message, data);
  if (message.kind == HBW_MESSAGE_DOCUMENT
      || message.kind == HBW_MESSAGE_DOCUMENT_ASK)
    g_clear_pointer (&message.document.body, g_bytes_unref);
  if (fields.failed)
    hbw_error_set (error, HBW_ERROR_MESSAGE,
                   "message of kind %s is not valid; check the versions of the "
                   "instances",
                   hbw_message_kind_name (message.kind));
  return !fields.failed;
}

HbwFrame *
hbw_frame_create (guint64 identity)
{
  HbwFrame *frame = g_new0 (HbwFrame, 1);
  frame->identity = identity;
  msgpack_sbuffer_init (&frame->body);
  msgpack_packer_init (&frame->packer, &frame->body, msgpack_sbuffer_write);
  return frame;
}

void
hbw_frame_destroy (HbwFrame *frame)
{
  msgpack_sbuffer_destroy (&frame->body);
  g_free (frame);
}

void
hbw_frame_add (HbwFrame *frame, const HbwMessage *message)
{
  msgpack_pack_array (&frame->packer, 1 + field_counts[message->kind]);
  msgpack_pack_uint8 (&frame->packer, (guint8) message->kind);
  pack_fields (&frame->packer, message);
  frame->count++;
}

guint
hbw_frame_count (const HbwFrame *frame)
{
  return frame->count;
}

gsize
hbw_frame_size (const HbwFrame *frame)
{
  return frame->body.size;
}

GBytes *
hbw_frame_finish (HbwFrame *frame)
{
  msgpack_sbuffer whole;
  msgpack_packer packer;
  msgpack_sbuffer_init (&whole);
  msgpack_packer_init (&packer, &whole, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint8 (&packer, HBW_CODEC_VERSION);
  msgpack_pack_uint64 (&packer, frame->identity);
  msgpack_pack_array (&packer, frame->count);
  msgpack_sbuffer_write (&whole, frame->body.data, frame->body.size);
  GBytes *bytes = g_bytes_new (whole.data, whole.size);
  msgpack_sbuffer_destroy (&whole);
  msgpack_sbuffer_clear (&frame->body);
  frame->count = 0;
  return bytes;
}

/* Size of the header at the beginning of an object, without its first byte, and what
   follows it: bytes of its own, or a count of more objects. */
typedef struct
{
  gsize header;
  guint64 bytes;
  guint64 objects;
} Extent;

static guint64
read_big_endian (const guint8 *bytes, gsize size)
{
  guint64 value = 0;
  for (gsize i = 0; i < size; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Types from 0xc4 on that are followed by a length or count of so many bytes. */
static gsize
length_size (guint8 type)
{
  switch (type)
    {
    case 0xc4: /* bin 8, str 8 */
    case 0xd9:
      return 1;
    case 0xc5: /* bin 16, str 16, array 16, map 16 */
    case 0xda:
    case 0xdc:
    case 0xde:
      return 2;
    case 0xc6: /* bin 32, str 32, array 32, map 32 */
    case 0xdb:
    case 0xdd:
    case 0xdf:
      return 4;
    default:
      return 0;
    }
}

static Extent
extent_of (const guint8 *at, gsize left)
{
  static const guint8 fixed[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 }; /* 0xca to 0xd3 */
  Extent extent = { length_size (*at), 0, 0 };
  guint8 type = *at;
  if (extent.header >= left)
    {
      extent.bytes = G_MAXUINT32;
      return extent;
    }
  guint64 length = read_big_endian (at + 1, extent.header);
  if (type >= 0xdc && type <= 0xdf)
    extent.objects = type >= 0xde ? 2 * length : length;
  else if (extent.header > 0)
    extent.bytes = length;
  else if (type >= 0xca && type <= 0xd3)
    extent.bytes = fixed[type - 0xca];
  else if (type >= 0xa0 && type <= 0xbf)
    extent.bytes = type & 0x1f;
  else if (type >= 0x80 && type <= 0x9f)
    extent.objects = (guint64) (type & 0x0f) * (type < 0x90 ? 2 : 1);
  return extent;
}

/* The library makes room for as many objects as a header announces.  A frame that
   announces more than it has bytes is refused before. */
static gboolean
counts_fit (const guint8 *bytes, gsize size)
{
  gsize at = 0;
  while (at < size)
    {
      Extent extent = extent_of (bytes + at, size - at);
      gsize left = size - at - 1;
      if (extent.header > left || extent.bytes > left - extent.header
          || extent.objects > left - extent.header)
        return FALSE;
      at += 1 + extent.header + (gsize) extent.bytes;
    }
  return TRUE;
}

static gboolean
parse_root (const msgpack_object *root, HbwMessageVisitor visit, void *data,
            HbwError *error)
{
  Fields outer = { .items = root, .count = 1 };
  Fields fields = take_array (&outer, G_MAXUINT16);
  guint64 version = take_uint (&fields, G_MAXUINT16);
  guint64 from = take_uint (&fields, G_MAXUINT64);
  Fields messages = take_array (&fields, HBW_FRAME_MESSAGES_MAX);
  if (fields.failed || version != HBW_CODEC_VERSION)
    {
      hbw_error_set (error, HBW_ERROR_MESSAGE,
                     "frame is not of version %d; check the versions of the "
                     "instances",
                     HBW_CODEC_VERSION);
      return FALSE;
    }
  while (messages.next < messages.count)
    if (!parse_message (&messages, from, visit, data, error))
      return FALSE;
  return TRUE;
}

gboolean
hbw_frame_parse (const void *bytes, gsize size, HbwMessageVisitor visit, void *data,
                 HbwError *error)
{
  msgpack_unpacked result;
  size_t offset = 0;
  msgpack_unpacked_init (&result);
  gboolean unpacked = size <= HBW_FRAME_MAX && counts_fit (bytes, size)
                      && msgpack_unpack_next (&result, bytes, size, &offset)
                             == MSGPACK_UNPACK_SUCCESS;
  gboolean valid = unpacked && parse_root (&result.data, visit, data, error);
  if (!unpacked)
    hbw_error_set (error, HBW_ERROR_MESSAGE,
                   "frame of %" G_GSIZE_FORMAT " bytes is not MessagePack", size);
  msgpack_unpacked_destroy (&result);
  return valid;
}
