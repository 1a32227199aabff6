#include "hornbeamwall/core/message.h"

static const char *const message_names[HBW_MESSAGE_COUNT] = {
  [HBW_MESSAGE_PING] = "ping",
  [HBW_MESSAGE_ACK] = "ack",
  [HBW_MESSAGE_PROBE_FOR] = "probe_for",
  [HBW_MESSAGE_WANT] = "want",
  [HBW_MESSAGE_WITHDRAW] = "withdraw",
  [HBW_MESSAGE_GRANT] = "grant",
  [HBW_MESSAGE_REFUSAL] = "refusal",
  [HBW_MESSAGE_ACTIVE] = "active",
  [HBW_MESSAGE_DONE] = "done",
  [HBW_MESSAGE_DOCUMENT_ASK] = "document_ask",
  [HBW_MESSAGE_DOCUMENT] = "document",
  [HBW_MESSAGE_SUSPECT] = "suspect",
  [HBW_MESSAGE_DEMAND] = "demand",
  [HBW_MESSAGE_SHARE] = "share",
  [HBW_MESSAGE_BEGUN] = "begun",
  [HBW_MESSAGE_LOADS] = "loads",
  [HBW_MESSAGE_SERVER_NOTICE] = "server_notice",
  [HBW_MESSAGE_CLEARED_PARTS] = "cleared_parts",
  [HBW_MESSAGE_STREAM_VERSION] = "stream_version",
  [HBW_MESSAGE_LOAD_SUMS] = "load_sums",
  [HBW_MESSAGE_DUTY_STATUS] = "duty_status",
  [HBW_MESSAGE_USAGE_COUNTS] = "usage_counts",
  [HBW_MESSAGE_POOL_DEMAND] = "pool_demand",
};

static const char *const document_names[HBW_DOCUMENT_COUNT] = {
  [HBW_DOCUMENT_CATALOGUE] = "catalogue",
  [HBW_DOCUMENT_SERVERS] = "servers",
  [HBW_DOCUMENT_INSTANCES] = "instances",
  [HBW_DOCUMENT_STOPS] = "stops",
};

static gboolean
has_body (const HbwMessage *message)
{
  return message->kind == HBW_MESSAGE_DOCUMENT && message->document.body != NULL;
}

void
hbw_message_copy (HbwMessage *target, const HbwMessage *source)
{
  *target = *source;
  if (has_body (target))
    g_bytes_ref (target->document.body);
}

void
hbw_message_clear (HbwMessage *message)
{
  if (has_body (message))
    g_clear_pointer (&message->document.body, g_bytes_unref);
}

const char *
hbw_message_kind_name (HbwMessageKind kind)
{
  return (guint) kind < HBW_MESSAGE_COUNT ? message_names[kind] : "unknown";
}

const char *
hbw_document_kind_name (HbwDocumentKind kind)
{
  return (guint) kind < HBW_DOCUMENT_COUNT ? document_names[kind] : "unknown";
}

void
hbw_shard_key_format (const HbwShardKey *key, char *buffer, gsize size)
{
  g_snprintf (buffer, size, "%s/%s/%u", key->pool, key->data_centre, key->index);
}
