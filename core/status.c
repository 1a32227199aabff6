#include "hornbeamwall/core/status.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/shard.h"

#include <jansson.h>

static const char *const member_state_names[]
    = { "alive", "suspect", "dead", "left" };

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
  json_t *item
      = json_pack ("{s:s, s:s, s:s, s:s}", "name", member->name, "data_centre",
                   member->data_centre, "address", member->address, "state",
                   member_state_names[member->state]);
  json_array_append_new (data, item);
}

static json_t *
render_server (const HbwServer *server)
{
  return json_pack ("{s:s, s:s, s:b, s:b, s:f, s:i, s:f, s:f}", "id",
                    server->entry.id, "state", hbw_server_state_name (server->state),
                    "stopping", server->stopping, "straggler", server->straggler,
                    "limit", server->concurrency_limit, "in_progress",
                    (int) server->in_progress, "first_token_ms",
                    server->average_first_token_us / HBW_US_PER_MS, "inter_token_ms",
                    server->average_inter_token_us / HBW_US_PER_MS);
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
  for (GList *item = keys; item != NULL; item = item->next)
    json_array_append_new (list,
                           render_shard (g_hash_table_lookup (shards, item->data)));
  g_list_free (keys);
  return list;
}

static json_t *
render_stops (GHashTable *stops)
{
  json_t *list = json_array ();
  GList *names
      = g_list_sort (g_hash_table_get_keys (stops), (GCompareFunc) g_strcmp0);
  for (GList *item = names; item != NULL; item = item->next)
    json_array_append_new (list, json_string (item->data));
  g_list_free (names);
  return list;
}

static void
append_json (GString *text, json_t *root)
{
  char *dump = json_dumps (root, JSON_INDENT (2));
  g_string_append (text, dump);
  free (dump);
  json_decref (root);
}

void
hbw_status_render (const HbwStatusSource *source, GString *text)
{
  const HbwContext *context = source->context;
  json_t *members = json_array ();
  hbw_membership_foreach (context->membership, add_member, members);
  json_t *root
      = json_pack ("{s:s, s:b, s:b, s:i, s:i, s:o, s:o, s:o, s:o}", "data_centre",
                   context->data_centre, "draining", source->draining, "store_up",
                   source->store_up, "requests", (int) source->requests, "suspects",
                   (int) hbw_quarantine_size (context->quarantine), "documents",
                   render_documents (source->documents), "stops",
                   render_stops (context->planned_stops), "members", members,
                   "shards", render_shards (source->shards));
  append_json (text, root);
}

static json_t *
render_stop (const HbwStatusSource *source, const char *name)
{
  HbwShardKey key;
  HbwShardSummary summary;
  json_t *item = json_pack ("{s:s}", "name", name);
  gboolean listed
      = source->topology != NULL
        && hbw_topology_find_server (source->topology, name, &key) != NULL;
  json_object_set_new (item, "backend_server", json_boolean (listed));
  if (!listed)
    return item;
  json_object_set_new (item, "pool", json_string (key.pool));
  json_object_set_new (item, "data_centre", json_string (key.data_centre));
  if (hbw_shard_router_find_summary (source->shard_router, &key,
                                     source->context->now_us, &summary))
    {
      json_object_set_new (item, "shard_in_progress",
                           json_integer (summary.draining_requests));
      json_object_set_new (item, "age_ms",
                           json_integer (summary.age_us / HBW_US_PER_MS));
    }
  return item;
}

void
hbw_status_render_stops (const HbwStatusSource *source, GString *text)
{
  json_t *list = json_array ();
  GList *names = g_list_sort (g_hash_table_get_keys (source->context->planned_stops),
                              (GCompareFunc) g_strcmp0);
  for (GList *item = names; item != NULL; item = item->next)
    json_array_append_new (list, render_stop (source, item->data));
  g_list_free (names);
  append_json (text, json_pack ("{s:I, s:o}", "revision",
                                (json_int_t) hbw_documents_version (
                                    source->documents, HBW_DOCUMENT_STOPS),
                                "stops", list));
}

/* An instance whose last report is older than this counts as silent. */
#define REPORTED_VERSION_MAX_AGE_US (5 * HBW_US_PER_S)

typedef struct
{
  const HbwStatusSource *source;
  json_t *data_centres;
  gint64 newest;
} RolloutCounts;

static void
count_instance (RolloutCounts *counts, const char *data_centre,
                gboolean has_reported, gint64 version)
{
  json_t *data_centre_counts = json_object_get (counts->data_centres, data_centre);
  if (data_centre_counts == NULL)
    {
      data_centre_counts = json_pack ("{s:i, s:i, s:i, s:i}", "instances", 0,
                                      "in_force", 0, "behind", 0, "silent", 0);
      json_object_set_new (counts->data_centres, data_centre, data_centre_counts);
    }
  const char *key = !has_reported               ? "silent"
                    : version >= counts->newest ? "in_force"
                                                : "behind";
  json_t *count = json_object_get (data_centre_counts, key);
  json_integer_set (count, json_integer_value (count) + 1);
  json_t *instances = json_object_get (data_centre_counts, "instances");
  json_integer_set (instances, json_integer_value (instances) + 1);
}

static void
count_member (const HbwMemberUpdate *member, void *data)
{
  RolloutCounts *counts = data;
  const HbwReportedVersion *reported
      = g_hash_table_lookup (counts->source->reported_versions, &member->identity);
  gboolean has_reported = reported != NULL
                          && counts->source->context->now_us - reported->reported_us
                                 < REPORTED_VERSION_MAX_AGE_US;
  count_instance (counts, member->data_centre, has_reported,
                  reported != NULL ? reported->version : 0);
}

void
hbw_status_render_rollout (const HbwStatusSource *source, GString *text)
{
  gint64 own_version
      = hbw_documents_version (source->documents, HBW_DOCUMENT_CATALOGUE);
  RolloutCounts counts = { source, json_object (), own_version };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, source->reported_versions);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    counts.newest = MAX (counts.newest, ((HbwReportedVersion *) value)->version);
  count_instance (&counts, source->context->data_centre, TRUE, own_version);
  hbw_membership_foreach (source->context->membership, count_member, &counts);
  append_json (text, json_pack ("{s:I, s:o}", "revision", (json_int_t) counts.newest,
                                "data_centres", counts.data_centres));
}
