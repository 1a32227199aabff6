#include "hornbeamwall/core/status.h"

#include "hornbeamwall/core/membership.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/shard.h"

#include <jansson.h>

static const char *const member_states[] = { "alive", "suspect", "dead", "left" };

static json_t *
render_documents (const HbwDocuments *documents)
{
  json_t *object = json_object ();
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    json_object_set_new (
        object, hbw_document_kind_name ((HbwDocumentKind) i),
        json_integer (hbw_documents_version (documents, (HbwDocumentKind) i)));
  return object;
}

static void
add_member (const HbwMemberUpdate *member, void *data)
{
  json_t *item = json_pack ("{s:s, s:s, s:s, s:s}", "name", member->name,
                            "data_centre", member->data_centre, "address",
                            member->address, "state", member_states[member->state]);
  json_array_append_new (data, item);
}

static json_t *
render_server (const HbwServer *server)
{
  return json_pack ("{s:s, s:s, s:b, s:b, s:f, s:i, s:f, s:f}", "id",
                    server->entry.id, "state", hbw_server_state_name (server->state),
                    "stopping", server->stopping, "straggler", server->straggler,
                    "limit", server->limit, "in_progress", (int) server->in_progress,
                    "first_token_ms", server->first_token_us / HBW_US_PER_MS,
                    "inter_token_ms", server->inter_token_us / HBW_US_PER_MS);
}

static json_t *
render_shard (const HbwShard *shard)
{
  json_t *servers = json_array ();
  for (guint i = 0; i < shard->servers->len; i++)
    json_array_append_new (servers,
                           render_server (g_ptr_array_index (shard->servers, i)));
  json_t *waiting = json_array ();
  for (HbwTier tier = 0; tier < HBW_TIER_COUNT; tier++)
    json_array_append_new (
        waiting, json_integer (hbw_queue_tier_length (shard->queue, tier)));
  return json_pack ("{s:s, s:s, s:i, s:o, s:o}", "pool", shard->key.pool,
                    "data_centre", shard->key.data_centre, "index",
                    (int) shard->key.index, "waiting", waiting, "servers", servers);
}

static json_t *
render_shards (GHashTable *shards)
{
  json_t *list = json_array ();
  GList *keys
      = g_list_sort (g_hash_table_get_keys (shards), (GCompareFunc) g_strcmp0);
  for (GList *at = keys; at != NULL; at = at->next)
    json_array_append_new (list,
                           render_shard (g_hash_table_lookup (shards, at->data)));
  g_list_free (keys);
  return list;
}

static json_t *
render_stops (GHashTable *stops)
{
  json_t *list = json_array ();
  GList *names
      = g_list_sort (g_hash_table_get_keys (stops), (GCompareFunc) g_strcmp0);
  for (GList *at = names; at != NULL; at = at->next)
    json_array_append_new (list, json_string (at->data));
  g_list_free (names);
  return list;
}

void
hbw_status_render (const HbwStatusSource *source, GString *text)
{
  const HbwContext *context = source->context;
  json_t *members = json_array ();
  hbw_membership_foreach (context->membership, add_member, members);
  json_t *root = json_pack (
      "{s:s, s:b, s:b, s:i, s:i, s:o, s:o, s:o, s:o}", "data_centre",
      context->data_centre, "draining", source->draining, "store_up",
      source->store_up, "requests", (int) source->requests, "suspects",
      (int) hbw_quarantine_size (context->quarantine), "documents",
      render_documents (source->documents), "stops", render_stops (context->stops),
      "members", members, "shards", render_shards (source->shards));
  char *dump = json_dumps (root, JSON_INDENT (2));
  g_string_append (text, dump);
  free (dump);
  json_decref (root);
}
