#include "hornbeamwall/core/topology.h"

#include <string.h>

typedef struct
{
  HbwShardKey key;
  char key_text[HBW_SHARD_KEY_TEXT_MAX];
  GPtrArray *servers; /* borrowed */
} Shard;

struct HbwTopology
{
  GPtrArray *servers;
  GPtrArray *shards;        /* Shard, in order of pool, data centre and index */
  GHashTable *by_key;       /* key text -> Shard */
  GHashTable *shard_counts; /* "pool/data centre" -> number of shards */
  GPtrArray *data_centres;
  const char *override_data_centre; /* data centre that all servers are assigned to,
                                       or NULL */
};

static int
compare_servers (gconstpointer a, gconstpointer b)
{
  const HbwServerEntry *left = *(HbwServerEntry *const *) a;
  const HbwServerEntry *right = *(HbwServerEntry *const *) b;
  int result = strcmp (left->pool, right->pool);
  if (result == 0)
    result = strcmp (left->data_centre, right->data_centre);
  if (result == 0)
    result = strcmp (left->id, right->id);
  return result;
}

static void
shard_free (gpointer data)
{
  Shard *shard = data;
  g_ptr_array_free (shard->servers, TRUE);
  g_free (shard);
}

static gboolean
is_same_group (const HbwTopology *topology, const HbwServerEntry *a,
               const HbwServerEntry *b)
{
  return strcmp (a->pool, b->pool) == 0
         && (topology->override_data_centre != NULL
             || strcmp (a->data_centre, b->data_centre) == 0);
}

static void
add_data_centre (HbwTopology *topology, const char *name)
{
  for (guint i = 0; i < topology->data_centres->len; i++)
    if (strcmp (g_ptr_array_index (topology->data_centres, i), name) == 0)
      return;
  g_ptr_array_add (topology->data_centres, g_strdup (name));
}

static void
add_shards (HbwTopology *topology, guint first, guint count)
{
  const HbwServerEntry *first_server = g_ptr_array_index (topology->servers, first);
  const char *data_centre = topology->override_data_centre != NULL
                                ? topology->override_data_centre
                                : first_server->data_centre;
  guint shards = topology->override_data_centre != NULL
                     ? 1
                     : (count + HBW_SHARD_SERVERS_MAX - 1) / HBW_SHARD_SERVERS_MAX;
  for (guint i = 0; i < shards; i++)
    {
      Shard *shard = g_new0 (Shard, 1);
      g_strlcpy (shard->key.pool, first_server->pool, sizeof shard->key.pool);
      g_strlcpy (shard->key.data_centre, data_centre, sizeof shard->key.data_centre);
      shard->key.index = i;
      hbw_shard_key_format (&shard->key, shard->key_text, sizeof shard->key_text);
      shard->servers = g_ptr_array_new ();
      for (guint k = i * count / shards; k < (i + 1) * count / shards; k++)
        g_ptr_array_add (shard->servers,
                         g_ptr_array_index (topology->servers, first + k));
      g_ptr_array_add (topology->shards, shard);
      g_hash_table_insert (topology->by_key, shard->key_text, shard);
    }
  g_hash_table_insert (topology->shard_counts,
                       g_strconcat (first_server->pool, "/", data_centre, NULL),
                       GUINT_TO_POINTER (shards));
  add_data_centre (topology, data_centre);
}

HbwTopology *
hbw_topology_create (GPtrArray *servers, const char *override_data_centre)
{
  HbwTopology *topology = g_new0 (HbwTopology, 1);
  topology->servers = servers;
  topology->override_data_centre = override_data_centre;
  topology->shards = g_ptr_array_new_with_free_func (shard_free);
  topology->by_key = g_hash_table_new (g_str_hash, g_str_equal);
  topology->shard_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  topology->data_centres = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_sort (servers, compare_servers);
  guint first = 0;
  for (guint i = 1; i <= servers->len; i++)
    {
      if (i < servers->len
          && is_same_group (topology, g_ptr_array_index (servers, first),
                            g_ptr_array_index (servers, i)))
        continue;
      add_shards (topology, first, i - first);
      first = i;
    }
  return topology;
}

void
hbw_topology_destroy (HbwTopology *topology)
{
  g_hash_table_destroy (topology->by_key);
  g_hash_table_destroy (topology->shard_counts);
  g_ptr_array_free (topology->shards, TRUE);
  g_ptr_array_free (topology->data_centres, TRUE);
  g_ptr_array_free (topology->servers, TRUE);
  g_free (topology);
}

guint
hbw_topology_shard_count (const HbwTopology *topology, const char *pool,
                          const char *data_centre)
{
  char name[2 * HBW_NAME_MAX];
  g_snprintf (name, sizeof name, "%s/%s", pool, data_centre);
  return GPOINTER_TO_UINT (g_hash_table_lookup (topology->shard_counts, name));
}

const GPtrArray *
hbw_topology_shard_servers (const HbwTopology *topology, const HbwShardKey *key)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  const Shard *shard = g_hash_table_lookup (topology->by_key, text);
  return shard != NULL ? shard->servers : NULL;
}

const HbwServerEntry *
hbw_topology_find_server (const HbwTopology *topology, const char *id,
                          HbwShardKey *key)
{
  for (guint i = 0; i < topology->shards->len; i++)
    {
      const Shard *shard = g_ptr_array_index (topology->shards, i);
      for (guint k = 0; k < shard->servers->len; k++)
        {
          const HbwServerEntry *server = g_ptr_array_index (shard->servers, k);
          if (strcmp (server->id, id) != 0)
            continue;
          *key = shard->key;
          return server;
        }
    }
  return NULL;
}

gboolean
hbw_topology_find_version (const HbwTopology *topology, const HbwRequestSpec *spec,
                           const char *data_centre, const char *avoid_server,
                           HbwShardKey *key)
{
  int best = -1;
  for (guint i = 0; i < topology->shards->len; i++)
    {
      const Shard *shard = g_ptr_array_index (topology->shards, i);
      for (guint k = 0; k < shard->servers->len; k++)
        {
          const HbwServerEntry *server = g_ptr_array_index (shard->servers, k);
          if (server->leaving || server->version_hash != spec->version_hash)
            continue;
          int value = 2 * (strcmp (server->id, avoid_server) != 0)
                      + (strcmp (server->data_centre, data_centre) == 0);
          if (value <= best)
            continue;
          best = value;
          *key = shard->key;
        }
    }
  return best >= 0;
}

const HbwServerEntry *
hbw_topology_find_server_by_hash (const HbwTopology *topology, guint64 hash)
{
  for (guint i = 0; i < topology->servers->len; i++)
    {
      const HbwServerEntry *server = g_ptr_array_index (topology->servers, i);
      if (hbw_rendezvous_weight (0, server->id) == hash)
        return server;
    }
  return NULL;
}

const GPtrArray *
hbw_topology_data_centres (const HbwTopology *topology)
{
  return topology->data_centres;
}

void
hbw_topology_foreach_shard (const HbwTopology *topology,
                            void (*visit) (const HbwShardKey *key, void *data),
                            void *data)
{
  for (guint i = 0; i < topology->shards->len; i++)
    {
      const Shard *shard = g_ptr_array_index (topology->shards, i);
      visit (&shard->key, data);
    }
}
