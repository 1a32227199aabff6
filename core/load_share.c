#include "hornbeamwall/core/load_share.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/load_route.h"
#include "hornbeamwall/core/membership/membership.h"

#include <math.h>
#include <string.h>
#include <urcu/list.h>

/* The message interval grows by HBW_LOAD_SHARE_INTERVAL_US for each this many
   receivers. */
#define RECEIVERS_PER_INTERVAL 8

/* A load counts in the relay's sums after this time. */
#define RELAY_ROUND_TRIP_US (4 * HBW_US_PER_MS)

/* Messages that a relay sends to each receiver at a time. */
#define SUM_MESSAGES_MAX 4

/* Percentage of the link that loads may take; the rest is for requests. */
#define LINK_PERCENT 50

/* Sizes of a message, of the load of a server and of a part in it, in bytes. */
#define MESSAGE_BYTES 100
#define LOAD_BYTES 20
#define PART_BYTES 20

/* Size of what is told of an engine in addition, in bytes. */
#define ENGINE_BYTES 16

/* Parts that wait to be told; further ones are told when they are used again. */
#define PARTS_WAITING_MAX 2048

/* A part that was sent to a server is told again after one to two of these. */
#define PART_REPEAT_INTERVAL_US (1 * HBW_US_PER_S)

/* Load on one server that one peer has reported. */
typedef struct
{
  guint64 peer;
  gboolean is_sum; /* by a relay, of several other instances */
  HbwServerWork load;
  gint64 heard_us;
} PeerLoad;

typedef struct
{
  struct cds_list_head due_link; /* in Outbox.due, or empty */
  gboolean is_due;
} DueLink;

/* What one kind of receivers has not been sent yet. */
typedef struct
{
  struct cds_list_head due; /* DueLink of ServerAccount */
  GArray *parts;            /* HbwPromptPlacement, latest last */
} Outbox;

typedef struct
{
  guint64 server; /* hash of its id */
  HbwServerWork local_load;
  HbwServerWork sent_load;
  HbwServerWork earlier_load; /* sent before that */
  gint64 sent_us;
  GArray *peer_loads; /* PeerLoad */
  HbwServerPace pace; /* its momentary part only */
  DueLink near;       /* for the receivers of Outbox near */
  DueLink remote;     /* for the relays of other data centres */
} ServerAccount;

struct HbwLoadShare
{
  GHashTable *servers_by_hash; /* server hash -> ServerAccount */
  HbwLoadRoute *route;
  Outbox near;   /* for all instances, for the relay, or from it for its own */
  Outbox remote; /* for the relays of other data centres */
  GHashTable *recent_parts; /* hashes of placements that were told */
  GHashTable *older_parts;
  gint64 last_message_us;
  guint64 last_message_bytes; /* sent then, to all receivers together */
  gint64 last_resend_us;
  gint64 parts_since_us; /* when the recent parts began */
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

static GHashTable *
create_part_set (void)
{
  return g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
init_outbox (Outbox *outbox)
{
  CDS_INIT_LIST_HEAD (&outbox->due);
  outbox->parts = g_array_new (FALSE, FALSE, sizeof (HbwPromptPlacement));
}

HbwLoadShare *
hbw_load_share_create (void)
{
  HbwLoadShare *share = g_new0 (HbwLoadShare, 1);
  share->servers_by_hash = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                                  server_account_free);
  share->route = hbw_load_route_create ();
  share->recent_parts = create_part_set ();
  share->older_parts = create_part_set ();
  init_outbox (&share->near);
  init_outbox (&share->remote);
  return share;
}

void
hbw_load_share_destroy (HbwLoadShare *share)
{
  g_hash_table_destroy (share->servers_by_hash);
  g_hash_table_destroy (share->recent_parts);
  g_hash_table_destroy (share->older_parts);
  g_array_free (share->near.parts, TRUE);
  g_array_free (share->remote.parts, TRUE);
  hbw_load_route_destroy (share->route);
  g_free (share);
}

static void
set_due (Outbox *outbox, DueLink *link)
{
  if (link->is_due)
    return;
  link->is_due = TRUE;
  cds_list_add_tail (&link->due_link, &outbox->due);
}

static void
set_account_due (HbwLoadShare *share, ServerAccount *account)
{
  set_due (&share->near, &account->near);
  set_due (&share->remote, &account->remote);
}

void
hbw_load_share_update_local (HbwLoadShare *share, const HbwServer *server)
{
  ServerAccount *account = ensure_account (share, server->id_hash);
  account->local_load.in_progress = server->in_progress;
  account->local_load.unread_tokens = server->unread_tokens;
  account->local_load.waiting = server->waiting;
  account->local_load.target_ms
      = hbw_stream_targets_shortest_ms (&server->stream_targets);
  account->local_load.memory_tokens
      = hbw_engine_memory_unshared_tokens (server->memory);
  account->pace = server->pace;
  set_account_due (share, account);
}

static void
add_part (Outbox *outbox, const HbwPromptPlacement *part)
{
  if (outbox->parts->len < PARTS_WAITING_MAX)
    g_array_append_val (outbox->parts, *part);
}

/* Returns whether PART was not told recently, and counts it as told. */
static gboolean
is_news (HbwLoadShare *share, const HbwPromptPlacement *part)
{
  guint64 hash = part->server_hash ^ part->part_hash;
  if (g_hash_table_contains (share->older_parts, &hash))
    return FALSE;
  return g_hash_table_add (share->recent_parts, g_memdup2 (&hash, sizeof hash));
}

static void
tell_part (HbwLoadShare *share, const HbwPromptPlacement *part)
{
  if (!is_news (share, part))
    return;
  add_part (&share->near, part);
  add_part (&share->remote, part);
}

void
hbw_load_share_record_prompt (HbwLoadShare *share, const HbwServer *server,
                              const HbwRequestSpec *spec)
{
  for (guint i = 0; i + 1 < spec->part_count; i++)
    {
      guint tokens = spec->output_tokens > 0 ? spec->parts[i].tokens : 0;
      const HbwPromptPlacement part
          = { server->id_hash, spec->parts[i].hash, tokens };
      tell_part (share, &part);
    }
}

typedef struct
{
  HbwLoadShare *share;
  const HbwServer *server;
} PartTeller;

static void
tell_held_part (guint64 hash, guint tokens, void *data)
{
  const PartTeller *teller = data;
  const HbwPromptPlacement part = { teller->server->id_hash, hash, tokens };
  tell_part (teller->share, &part);
}

void
hbw_load_share_repeat_parts (HbwLoadShare *share, const HbwServer *server)
{
  PartTeller teller = { share, server };
  hbw_engine_memory_foreach_part (server->memory, tell_held_part, &teller);
}

static void
forget_old_parts (HbwLoadShare *share, gint64 now_us)
{
  if (now_us - share->parts_since_us < PART_REPEAT_INTERVAL_US)
    return;
  share->parts_since_us = now_us;
  g_hash_table_destroy (share->older_parts);
  share->older_parts = share->recent_parts;
  share->recent_parts = create_part_set ();
}

static void
add_work (HbwServerWork *sum, const HbwServerWork *work)
{
  sum->in_progress += work->in_progress;
  sum->unread_tokens += work->unread_tokens;
  sum->waiting += work->waiting;
  sum->memory_tokens
      = MIN (sum->memory_tokens + (guint64) work->memory_tokens, G_MAXINT32);
  sum->target_ms = hbw_stream_targets_min_ms (sum->target_ms, work->target_ms);
}

/* The shortest target of a sum stays: whose it is is not known. */
static void
subtract_work (HbwServerWork *sum, const HbwServerWork *work)
{
  sum->in_progress -= MIN (sum->in_progress, work->in_progress);
  sum->unread_tokens -= MIN (sum->unread_tokens, work->unread_tokens);
  sum->waiting -= MIN (sum->waiting, work->waiting);
  sum->memory_tokens -= MIN (sum->memory_tokens, work->memory_tokens);
}

static gboolean
is_remote_relay (const HbwLoadShare *share, guint64 peer)
{
  const GArray *relays = share->route->remote_relays;
  for (guint i = 0; i < relays->len; i++)
    if (g_array_index (relays, guint64, i) == peer)
      return TRUE;
  return FALSE;
}

/* Returns the sum of what instances have reported themselves, and of what the relays
   of other data centres have reported if WITH_REMOTE. */
static HbwServerWork
sum_peer_loads (const HbwLoadShare *share, const ServerAccount *account,
                gboolean with_remote, gint64 now_us)
{
  HbwServerWork sum = { 0 };
  for (guint i = 0; i < account->peer_loads->len; i++)
    {
      const PeerLoad *peer_load = &g_array_index (account->peer_loads, PeerLoad, i);
      gboolean counts = peer_load->is_sum
                            ? with_remote && is_remote_relay (share, peer_load->peer)
                            : TRUE;
      if (counts && now_us - peer_load->heard_us <= HBW_LOAD_AGE_MAX_US)
        add_work (&sum, &peer_load->load);
    }
  return sum;
}

typedef enum
{
  SCOPE_INSTANCE,
  SCOPE_DATA_CENTRE,
  SCOPE_FLEET,
} Scope;

static HbwServerWork
sum_scope (const HbwLoadShare *share, const ServerAccount *account, Scope scope,
           gint64 now_us)
{
  HbwServerWork sum = account->local_load;
  if (scope == SCOPE_INSTANCE)
    return sum;
  const HbwServerWork peers
      = sum_peer_loads (share, account, scope == SCOPE_FLEET, now_us);
  add_work (&sum, &peers);
  return sum;
}

static void
fill_pace (HbwServerLoad *load, const ServerAccount *account, gint64 now_us)
{
  gint64 left_us = account->pace.moment_until_us - now_us;
  if (left_us < HBW_US_PER_MS)
    return;
  load->pace_percent = (guint) lround (account->pace.moment * 100.0);
  load->pace_left_ms = (guint) (left_us / HBW_US_PER_MS);
}

static gboolean
is_idle (const HbwServerWork *load)
{
  return load->in_progress == 0 && load->waiting == 0;
}

/* Adds the loads of the accounts that are due, up to the capacity of the message. */
static void
take_near_loads (HbwLoadShare *share, HbwLoadUpdate *loads, Scope scope,
                 gint64 now_us)
{
  guint max = scope == SCOPE_INSTANCE ? HBW_LOADS_MAX : HBW_LOAD_SUMS_MAX;
  while (!cds_list_empty (&share->near.due) && loads->load_count < max)
    {
      ServerAccount *account
          = cds_list_first_entry (&share->near.due, ServerAccount, near.due_link);
      cds_list_del (&account->near.due_link);
      account->near.is_due = FALSE;
      account->earlier_load = account->sent_load;
      account->sent_load = account->local_load;
      account->sent_us = now_us;
      HbwServerLoad *load = &loads->loads[loads->load_count++];
      load->server_hash = account->server;
      load->load = sum_scope (share, account, scope, now_us);
      fill_pace (load, account, now_us);
    }
}

static void
take_remote_loads (HbwLoadShare *share, HbwLoadUpdate *loads, gint64 now_us)
{
  while (!cds_list_empty (&share->remote.due)
         && loads->load_count < HBW_LOAD_SUMS_MAX)
    {
      ServerAccount *account = cds_list_first_entry (&share->remote.due,
                                                     ServerAccount, remote.due_link);
      cds_list_del (&account->remote.due_link);
      account->remote.is_due = FALSE;
      HbwServerLoad *load = &loads->loads[loads->load_count++];
      load->server_hash = account->server;
      load->load = sum_scope (share, account, SCOPE_DATA_CENTRE, now_us);
      fill_pace (load, account, now_us);
    }
}

static void
take_parts (Outbox *outbox, HbwLoadUpdate *loads)
{
  loads->part_count = MIN (outbox->parts->len, HBW_LOAD_PARTS_MAX);
  if (loads->part_count == 0)
    return;
  guint first = outbox->parts->len - loads->part_count;
  memcpy (loads->parts, &g_array_index (outbox->parts, HbwPromptPlacement, first),
          loads->part_count * sizeof loads->parts[0]);
  g_array_set_size (outbox->parts, first);
}

static guint
count_engines (const HbwLoadUpdate *loads)
{
  guint count = 0;
  for (guint i = 0; i < loads->load_count; i++)
    count += loads->loads[i].load.target_ms > 0;
  return count;
}

/* Counts the bytes of a message with LOADS to so many RECEIVERS. */
static void
count_bytes (HbwLoadShare *share, const HbwLoadUpdate *loads, guint receivers)
{
  share->last_message_bytes
      += (guint64) receivers
         * (MESSAGE_BYTES + loads->load_count * LOAD_BYTES
            + count_engines (loads) * ENGINE_BYTES + loads->part_count * PART_BYTES);
}

static gboolean
is_empty (const HbwLoadUpdate *loads)
{
  return loads->load_count == 0 && loads->part_count == 0;
}

/* Sends its own loads to all other instances, or to the relay. */
static void
send_own_loads (HbwLoadShare *share, HbwContext *context)
{
  HbwMessage message = { .kind = HBW_MESSAGE_LOADS };
  take_near_loads (share, &message.loads, SCOPE_INSTANCE, context->now_us);
  take_parts (&share->near, &message.loads);
  if (is_empty (&message.loads))
    return;
  count_bytes (share, &message.loads,
               share->route->is_direct ? share->route->receivers : 1);
  if (share->route->is_direct)
    hbw_membership_broadcast (context->membership, context, NULL, &message);
  else
    hbw_context_send (context, share->route->relay, &message);
}

static void
send_sums_near (HbwLoadShare *share, HbwContext *context)
{
  HbwMessage message = { .kind = HBW_MESSAGE_LOAD_SUMS };
  take_near_loads (share, &message.loads, SCOPE_FLEET, context->now_us);
  take_parts (&share->near, &message.loads);
  if (is_empty (&message.loads))
    return;
  count_bytes (share, &message.loads, share->route->receivers);
  hbw_membership_broadcast (context->membership, context, context->data_centre,
                            &message);
}

static void
send_sums_remote (HbwLoadShare *share, HbwContext *context)
{
  HbwMessage message = { .kind = HBW_MESSAGE_LOAD_SUMS };
  const GArray *relays = share->route->remote_relays;
  take_remote_loads (share, &message.loads, context->now_us);
  take_parts (&share->remote, &message.loads);
  if (is_empty (&message.loads))
    return;
  count_bytes (share, &message.loads, relays->len);
  for (guint i = 0; i < relays->len; i++)
    hbw_context_send (context, g_array_index (relays, guint64, i), &message);
}

static void
send_sums (HbwLoadShare *share, HbwContext *context)
{
  for (guint i = 0; i < SUM_MESSAGES_MAX; i++)
    {
      send_sums_near (share, context);
      send_sums_remote (share, context);
    }
}

static void
resend_loads (HbwLoadShare *share, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (now_us - share->last_resend_us < HBW_LOAD_RESEND_INTERVAL_US)
    return;
  share->last_resend_us = now_us;
  g_hash_table_iter_init (&iter, share->servers_by_hash);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const HbwServerWork sum = sum_scope (share, value, SCOPE_FLEET, now_us);
      if (!is_idle (&sum))
        set_account_due (share, value);
    }
}

/* Returns how long the last messages hold back the next ones, so that they take no
   more than their part of the link. */
static gint64
find_interval_us (const HbwLoadShare *share, const HbwContext *context)
{
  gint64 interval_us = HBW_LOAD_SHARE_INTERVAL_US * share->route->slowdown
                       * (1 + share->route->receivers / RECEIVERS_PER_INTERVAL);
  guint mbps = hbw_membership_link_mbps (context->membership);
  if (mbps == 0)
    return interval_us;
  /* A Mbit/s is a bit in a microsecond. */
  double link_us
      = (double) share->last_message_bytes * 8 / mbps * 100 / LINK_PERCENT;
  return MAX (interval_us, (gint64) link_us);
}

void
hbw_load_share_send (HbwLoadShare *share, HbwContext *context)
{
  if (context->now_us - share->last_message_us < find_interval_us (share, context))
    return;
  hbw_load_route_update (share->route, context);
  resend_loads (share, context->now_us);
  forget_old_parts (share, context->now_us);
  if (cds_list_empty (&share->near.due) && share->near.parts->len == 0)
    return;
  share->last_message_us = context->now_us;
  share->last_message_bytes = 0;
  if (hbw_load_route_is_relay (share->route, context))
    send_sums (share, context);
  else
    send_own_loads (share, context);
}

static void
set_peer_load (ServerAccount *account, const PeerLoad *peer_load)
{
  for (guint i = account->peer_loads->len; i > 0; i--)
    {
      PeerLoad *other = &g_array_index (account->peer_loads, PeerLoad, i - 1);
      if (other->peer == peer_load->peer
          || peer_load->heard_us - other->heard_us > HBW_LOAD_AGE_MAX_US)
        g_array_remove_index_fast (account->peer_loads, i - 1);
    }
  if (!is_idle (&peer_load->load))
    g_array_append_vals (account->peer_loads, peer_load, 1);
}

/* Returns LOAD, a sum of the fleet, without the share of this instance. */
static HbwServerWork
subtract_own_load (const ServerAccount *account, const HbwServerWork *load,
                   gint64 now_us)
{
  HbwServerWork others = *load;
  gboolean is_counted = now_us - account->sent_us >= RELAY_ROUND_TRIP_US;
  subtract_work (&others, is_counted ? &account->sent_load : &account->earlier_load);
  return others;
}

/* A relay passes on what it hears: to the instances of its data centre, and to the
   other relays if it comes from one of these instances. */
void
hbw_load_share_handle_message (HbwLoadShare *share, HbwContext *context,
                               const HbwMessage *message)
{
  const HbwLoadUpdate *loads = &message->loads;
  gboolean is_sum = message->kind == HBW_MESSAGE_LOAD_SUMS;
  gboolean is_relay = hbw_load_route_is_relay (share->route, context);
  for (guint i = 0; i < loads->load_count; i++)
    {
      ServerAccount *account = ensure_account (share, loads->loads[i].server_hash);
      PeerLoad peer_load
          = { message->from, is_sum, loads->loads[i].load, context->now_us };
      if (is_sum && !is_relay)
        peer_load.load
            = subtract_own_load (account, &peer_load.load, context->now_us);
      set_peer_load (account, &peer_load);
      hbw_server_pace_set_peer_moment (
          &account->pace, loads->loads[i].pace_percent,
          (gint64) loads->loads[i].pace_left_ms * HBW_US_PER_MS, context->now_us);
      if (is_relay)
        set_due (&share->near, &account->near);
      if (is_relay && !is_sum)
        set_due (&share->remote, &account->remote);
    }
  for (guint i = 0; i < loads->part_count && is_relay; i++)
    {
      if (!is_news (share, &loads->parts[i]))
        continue;
      add_part (&share->near, &loads->parts[i]);
      if (!is_sum)
        add_part (&share->remote, &loads->parts[i]);
    }
}

/* Returns the load of all others by the relay's last sum, or NULL. */
static const HbwServerWork *
find_relayed_load (const HbwLoadShare *share, const ServerAccount *account,
                   gint64 now_us)
{
  for (guint i = 0; i < account->peer_loads->len; i++)
    {
      const PeerLoad *peer_load = &g_array_index (account->peer_loads, PeerLoad, i);
      if (peer_load->is_sum && peer_load->peer == share->route->relay
          && now_us - peer_load->heard_us <= HBW_LOAD_AGE_MAX_US)
        return &peer_load->load;
    }
  return NULL;
}

HbwServerWork
hbw_load_share_sum_peers (const HbwLoadShare *share, const HbwServer *server,
                          gint64 now_us)
{
  const HbwServerWork none = { 0 };
  const ServerAccount *account
      = g_hash_table_lookup (share->servers_by_hash, &server->id_hash);
  if (account == NULL)
    return none;
  const HbwServerWork *relayed = find_relayed_load (share, account, now_us);
  return relayed != NULL ? *relayed : sum_peer_loads (share, account, TRUE, now_us);
}
