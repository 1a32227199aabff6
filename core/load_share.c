#include "hornbeamwall/core/load_share.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/membership.h"

#include <string.h>

/* The message interval grows by HBW_LOAD_SHARE_INTERVAL_US for each this many
   members. */
#define MEMBERS_PER_INTERVAL 8

/* Load on one server that one peer has reported. */
typedef struct
{
  guint64 peer;
  HbwServerWork load;
  gint64 heard_us;
} PeerLoad;

typedef struct
{
  guint64 server; /* hash of its id */
  HbwServerWork local_load;
  HbwServerWork sent_load;
  gint64 last_sent_us;
  GArray *peer_loads; /* PeerLoad */
} ServerAccount;

struct HbwLoadShare
{
  GHashTable *servers_by_hash; /* server hash -> ServerAccount */
  HbwLoadUpdate unsent_parts;  /* prompt parts that are not sent yet */
  gint64 last_message_us;
};

static void
server_account_free (gpointer data)
{
  ServerAccount *account = data;
  g_array_free (account->peer_loads, TRUE);
  g_free (account);
}

static ServerAccount *
ensure_account (HbwLoadShare *share, guint64 server)
{
  ServerAccount *account = g_hash_table_lookup (share->servers_by_hash, &server);
  if (account != NULL)
    return account;
  account = g_new0 (ServerAccount, 1);
  account->server = server;
  account->peer_loads = g_array_new (FALSE, FALSE, sizeof (PeerLoad));
  g_hash_table_insert (share->servers_by_hash, &account->server, account);
  return account;
}

HbwLoadShare *
hbw_load_share_create (void)
{
  HbwLoadShare *share = g_new0 (HbwLoadShare, 1);
  share->servers_by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                                  server_account_free);
  return share;
}

void
hbw_load_share_destroy (HbwLoadShare *share)
{
  g_hash_table_destroy (share->servers_by_hash);
  g_free (share);
}

void
hbw_load_share_update_local (HbwLoadShare *share, const HbwServer *server)
{
  ServerAccount *account = ensure_account (share, server->id_hash);
  account->local_load.in_progress = server->in_progress;
  account->local_load.unread_tokens = server->unread_tokens + server->waiting_tokens;
  account->local_load.waiting = server->waiting;
}

void
hbw_load_share_record_prompt (HbwLoadShare *share, const HbwServer *server,
                              const HbwRequestSpec *spec)
{
  HbwLoadUpdate *pending = &share->unsent_parts;
  for (guint i = 0; i + 1 < spec->part_count; i++)
    {
      if (pending->part_count >= HBW_LOAD_PARTS_MAX)
        return;
      HbwPromptPlacement *part = &pending->parts[pending->part_count++];
      part->server_hash = server->id_hash;
      part->part_hash = spec->parts[i].hash;
    }
}

static gboolean
is_idle (const HbwServerWork *load)
{
  return load->in_progress == 0 && load->waiting == 0;
}

static gboolean
is_due (const ServerAccount *account, gint64 now_us)
{
  if (memcmp (&account->local_load, &account->sent_load, sizeof account->local_load)
      != 0)
    return TRUE;
  return !is_idle (&account->local_load)
         && now_us - account->last_sent_us >= HBW_LOAD_RESEND_INTERVAL_US;
}

/* Adds the loads that are due to LOADS, up to its capacity. */
static void
collect_due_loads (HbwLoadShare *share, HbwLoadUpdate *loads, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, share->servers_by_hash);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ServerAccount *account = value;
      if (!is_due (account, now_us))
        continue;
      if (loads->load_count >= HBW_LOADS_MAX)
        return;
      HbwServerLoad *load = &loads->loads[loads->load_count++];
      load->server_hash = account->server;
      load->load = account->local_load;
      account->sent_load = account->local_load;
      account->last_sent_us = now_us;
    }
}

void
hbw_load_share_send (HbwLoadShare *share, HbwContext *context)
{
  guint members = hbw_membership_count_alive (context->membership, NULL);
  gint64 interval_us
      = HBW_LOAD_SHARE_INTERVAL_US * (1 + members / MEMBERS_PER_INTERVAL);
  if (context->now_us - share->last_message_us < interval_us)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_LOADS };
  HbwLoadUpdate *loads = &message.loads;
  *loads = share->unsent_parts;
  collect_due_loads (share, loads, context->now_us);
  if (loads->load_count == 0 && loads->part_count == 0)
    return;
  share->unsent_parts.part_count = 0;
  share->last_message_us = context->now_us;
  hbw_membership_broadcast (context->membership, context, NULL, &message);
}

static void
set_peer_load (ServerAccount *account, guint64 peer, const HbwServerWork *load,
               gint64 now_us)
{
  const PeerLoad peer_load = { peer, *load, now_us };
  for (guint i = account->peer_loads->len; i > 0; i--)
    {
      PeerLoad *other = &g_array_index (account->peer_loads, PeerLoad, i - 1);
      if (other->peer == peer || now_us - other->heard_us > HBW_LOAD_AGE_MAX_US)
        g_array_remove_index_fast (account->peer_loads, i - 1);
    }
  if (!is_idle (load))
    g_array_append_val (account->peer_loads, peer_load);
}

void
hbw_load_share_handle_message (HbwLoadShare *share, HbwContext *context,
                               const HbwMessage *message)
{
  const HbwLoadUpdate *loads = &message->loads;
  for (guint i = 0; i < loads->load_count; i++)
    set_peer_load (ensure_account (share, loads->loads[i].server_hash),
                   message->from, &loads->loads[i].load, context->now_us);
}

HbwServerWork
hbw_load_share_sum_peers (const HbwLoadShare *share, const HbwServer *server,
                          gint64 now_us)
{
  HbwServerWork sum = { 0 };
  const ServerAccount *account
      = g_hash_table_lookup (share->servers_by_hash, &server->id_hash);
  for (guint i = 0; account != NULL && i < account->peer_loads->len; i++)
    {
      const PeerLoad *peer_load = &g_array_index (account->peer_loads, PeerLoad, i);
      if (now_us - peer_load->heard_us > HBW_LOAD_AGE_MAX_US)
        continue;
      sum.in_progress += peer_load->load.in_progress;
      sum.unread_tokens += peer_load->load.unread_tokens;
      sum.waiting += peer_load->load.waiting;
    }
  return sum;
}
