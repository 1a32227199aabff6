#include "hornbeamwall/core/server_path.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/core/membership/membership.h"

#include <string.h>

/* Failures within this time count together. */
#define FAILURE_WINDOW_US (1 * HBW_US_PER_S)

/* Servers that are checked at once while the path is doubtful. */
#define CHECKED_SERVERS 3

/* Interval of the checks after the first ones, and how many have to succeed in a row
   before a path that was lost is used again. */
#define CHECK_INTERVAL_US (400 * HBW_US_PER_MS)

/* A server in reach has accepted a connection by then. */
#define CHECK_ANSWER_US (150 * HBW_US_PER_MS)
#define LOST_CHECKS_ACCEPTED 2

/* An instance that could not open a tunnel is not asked again for this long. */
#define TUNNEL_RETRY_US (1 * HBW_US_PER_S)

/* If tunnels fail, and none has been opened for this long, no requests reach
   servers.  A failure does not count after some time, as there may be no requests to
   try with. */
#define TUNNEL_USABLE_US (2 * HBW_US_PER_S)
#define TUNNEL_FAILURE_KEEP_US (3 * HBW_US_PER_S)

struct HbwServerPath
{
  HbwPathState state;
  gint64 heard_us;
  gint64 doubted_us;                /* as hbw_server_path_doubted_us() */
  gint64 found_us;                  /* when it was found again; 0 is never lost */
  char failed_server[HBW_NAME_MAX]; /* last one without a connection */
  gint64 failed_us;
  gint64 checked_us;       /* when checks were last requested; 0 in a new doubt */
  gint64 first_checked_us; /* in this doubt; 0 before */
  guint checks_accepted;   /* in a row, while it is lost */
  char proof_server[HBW_NAME_MAX]; /* answered through a tunnel, and is checked */
  GHashTable *tunnel_failures;     /* identity of a peer -> gint64, when it failed */
  gint64 tunnel_opened_us;
  gint64 tunnel_failed_us;
};

HbwServerPath *
hbw_server_path_create (void)
{
  HbwServerPath *path = g_new0 (HbwServerPath, 1);
  path->tunnel_failures
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  return path;
}

void
hbw_server_path_destroy (HbwServerPath *path)
{
  g_hash_table_destroy (path->tunnel_failures);
  g_free (path);
}

HbwPathState
hbw_server_path_state (const HbwServerPath *path)
{
  return path->state;
}

gint64
hbw_server_path_doubted_us (const HbwServerPath *path)
{
  return path->doubted_us;
}

void
hbw_server_path_handle_heard (HbwServerPath *path, gint64 now_us)
{
  path->heard_us = now_us;
}

/* --- states ---------------------------------------------------------------- */

static void
set_doubtful (HbwServerPath *path, gint64 since_us)
{
  if (path->state != HBW_PATH_DIRECT)
    return;
  path->state = HBW_PATH_DOUBTFUL;
  path->doubted_us = since_us;
  path->checked_us = 0;
  path->first_checked_us = 0;
  *path->proof_server = '\0';
}

static void
set_direct (HbwServerPath *path, HbwContext *context)
{
  gboolean was_lost = path->state == HBW_PATH_LOST;
  path->state = HBW_PATH_DIRECT;
  path->heard_us = context->now_us;
  *path->failed_server = '\0';
  if (!was_lost)
    return;
  path->found_us = context->now_us;
  hbw_effects_log (context->effects, HBW_LOG_PATH_FOUND, "lost_ms=%" G_GINT64_FORMAT,
                   (context->now_us - path->doubted_us) / HBW_US_PER_MS);
}

static void
set_lost (HbwServerPath *path, HbwContext *context)
{
  path->state = HBW_PATH_LOST;
  path->checks_accepted = 0;
  path->tunnel_opened_us = context->now_us;
  hbw_effects_log (context->effects, HBW_LOG_PATH_LOST,
                   "doubted_ms=%" G_GINT64_FORMAT " server=%s",
                   (context->now_us - path->doubted_us) / HBW_US_PER_MS,
                   path->proof_server);
}

void
hbw_server_path_handle_unconnected (HbwServerPath *path, HbwContext *context,
                                    const char *server)
{
  gboolean is_another
      = *path->failed_server != '\0' && strcmp (path->failed_server, server) != 0;
  gint64 since_us = path->failed_us;
  path->failed_us = context->now_us;
  g_strlcpy (path->failed_server, server, sizeof path->failed_server);
  if (is_another && context->now_us - since_us < FAILURE_WINDOW_US)
    set_doubtful (path, since_us);
}

void
hbw_server_path_handle_waiting (HbwServerPath *path, HbwContext *context,
                                guint count)
{
  if (count >= HBW_PATH_SERVERS_MIN
      && context->now_us - path->heard_us >= HBW_PATH_SILENT_US)
    set_doubtful (path, context->now_us - HBW_PATH_SILENT_US);
}

void
hbw_server_path_handle_check (HbwServerPath *path, HbwContext *context,
                              const HbwServerCheckResult *result)
{
  gboolean accepted = result->kind == HBW_SERVER_CHECK_ACCEPTED;
  gboolean is_proof = strcmp (path->proof_server, result->server) == 0;
  switch (path->state)
    {
    case HBW_PATH_DIRECT:
      break;
    case HBW_PATH_DOUBTFUL:
      if (accepted)
        set_direct (path, context);
      else if (is_proof)
        set_lost (path, context);
      break;
    case HBW_PATH_LOST:
      path->checks_accepted = accepted ? path->checks_accepted + 1 : 0;
      if (path->checks_accepted >= LOST_CHECKS_ACCEPTED)
        set_direct (path, context);
      break;
    }
}

/* --- checks ---------------------------------------------------------------- */

typedef struct
{
  const HbwTopology *topology;
  GPtrArray *servers; /* HbwServerEntry, borrowed */
} ServerSearch;

static void
add_servers (const HbwShardKey *key, void *data)
{
  const ServerSearch *search = data;
  const GPtrArray *servers = hbw_topology_shard_servers (search->topology, key);
  for (guint i = 0; i < servers->len; i++)
    g_ptr_array_add (search->servers, g_ptr_array_index (servers, i));
}

/* Removes and returns a random server, if possible of DATA_CENTRE. */
static const HbwServerEntry *
take_server (GPtrArray *servers, GRand *random, const char *data_centre)
{
  guint chosen = (guint) g_rand_int_range (random, 0, (gint32) servers->len);
  for (guint i = 0; i < servers->len; i++)
    {
      guint index = (chosen + i) % servers->len;
      const HbwServerEntry *server = g_ptr_array_index (servers, index);
      if (strcmp (server->data_centre, data_centre) != 0)
        continue;
      chosen = index;
      break;
    }
  return g_ptr_array_remove_index_fast (servers, chosen);
}

static void
check_server (HbwContext *context, const char *server, const char *address)
{
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_CHECK_SERVER);
  g_strlcpy (effect->check.server, server, sizeof effect->check.server);
  g_strlcpy (effect->check.address, address, sizeof effect->check.address);
}

static void
check_servers (HbwServerPath *path, HbwContext *context, const HbwTopology *topology,
               guint count)
{
  ServerSearch search = { topology, g_ptr_array_new () };
  hbw_topology_foreach_shard (topology, add_servers, &search);
  path->checked_us = context->now_us;
  for (guint i = 0; i < count && search.servers->len > 0; i++)
    {
      const HbwServerEntry *server = take_server (
          search.servers, context->random, i == 0 ? context->data_centre : "");
      check_server (context, server->id, server->address);
    }
  g_ptr_array_free (search.servers, TRUE);
}

void
hbw_server_path_tick (HbwServerPath *path, HbwContext *context,
                      const HbwTopology *topology)
{
  if (topology == NULL || path->state == HBW_PATH_DIRECT)
    return;
  if (path->checked_us == 0)
    {
      check_servers (path, context, topology, CHECKED_SERVERS);
      path->first_checked_us = context->now_us;
    }
  else if (context->now_us - path->checked_us >= CHECK_INTERVAL_US)
    check_servers (path, context, topology, 1);
}

/* --- tunnels --------------------------------------------------------------- */

void
hbw_server_path_handle_tunnel (HbwServerPath *path, HbwContext *context,
                               guint64 peer, const char *server, const char *address)
{
  path->tunnel_opened_us = context->now_us;
  g_hash_table_remove (path->tunnel_failures, &peer);
  if (path->state != HBW_PATH_DOUBTFUL || *path->proof_server != '\0'
      || path->first_checked_us == 0
      || context->now_us - path->first_checked_us < CHECK_ANSWER_US)
    return;
  g_strlcpy (path->proof_server, server, sizeof path->proof_server);
  check_server (context, server, address);
}

void
hbw_server_path_handle_no_tunnel (HbwServerPath *path, guint64 peer, gint64 now_us)
{
  path->tunnel_failed_us = now_us;
  g_hash_table_replace (path->tunnel_failures, g_memdup2 (&peer, sizeof peer),
                        g_memdup2 (&now_us, sizeof now_us));
}

typedef struct
{
  const HbwServerPath *path;
  HbwContext *context;
  HbwPathChoice *choice;
  gint32 count; /* of the instances that may be chosen */
} TunnelSearch;

static void
consider_peer (const HbwMemberUpdate *member, void *data)
{
  TunnelSearch *search = data;
  HbwHostPort parts;
  const gint64 *failed_us
      = g_hash_table_lookup (search->path->tunnel_failures, &member->identity);
  if (member->tunnel_port == 0 || !hbw_address_parse (member->address, &parts)
      || (failed_us != NULL
          && search->context->now_us - *failed_us < TUNNEL_RETRY_US))
    return;
  search->count++;
  if (g_rand_int_range (search->context->random, 0, search->count) != 0)
    return;
  search->choice->peer = member->identity;
  g_snprintf (search->choice->address, sizeof search->choice->address, "%.40s:%u",
              parts.host, member->tunnel_port);
}

void
hbw_server_path_choose (HbwServerPath *path, HbwContext *context,
                        HbwPathChoice *choice)
{
  TunnelSearch search = { path, context, choice, 0 };
  memset (choice, 0, sizeof *choice);
  choice->opened_since_us = path->found_us;
  if (path->state != HBW_PATH_DIRECT)
    hbw_membership_foreach (context->membership, consider_peer, &search);
}

gboolean
hbw_server_path_is_usable (const HbwServerPath *path, gint64 now_us)
{
  gboolean failed = path->tunnel_failed_us > path->tunnel_opened_us
                    && now_us - path->tunnel_failed_us < TUNNEL_FAILURE_KEEP_US;
  return path->state != HBW_PATH_LOST || !failed
         || now_us - path->tunnel_opened_us < TUNNEL_USABLE_US;
}
