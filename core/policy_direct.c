#include "hornbeamwall/core/policy_direct.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/shard_estimate.h"
#include "hornbeamwall/core/suspect_placement.h"

#include <string.h>

/* Added cost of another data centre: the round trip and the bandwidth. */
#define REMOTE_COST_US (2 * HBW_US_PER_MS)

/* Delay that each request in progress on a server adds to another one. */
#define LOAD_COST_US (1 * HBW_US_PER_MS)

/* Cost of a failure and the retry on another server. */
#define FAILURE_COST_US (400 * HBW_US_PER_MS)

/* Cost of a server other than the one that cache affinity selects for the prompt. */
#define NO_AFFINITY_COST_US (50 * HBW_US_PER_MS)

/* Added cost, in tokens, of each shared prompt token that is processed again: the
   server could process other prompts in that time. */
#define REREAD_COST_FACTOR 9

/* Percentage of its slots up to which a server gets requests without a prompt.  It
   queues those beyond its slots itself. */
#define PLAIN_SLOTS_PERCENT 150

/* Percentage of its slots up to which an engine gets requests with a prompt.  An
   engine without a free slot preempts other requests for one of the highest tier and
   processes their prompts again.  The lower tiers therefore leave some slots free,
   because the load of other instances is known only after a delay. */
#define MODEL_SLOTS_PERCENT 90
#define MODEL_SLOTS_TOP_TIER_PERCENT 100

/* Smallest share of the servers in the partition of each prompt length.  The rest is
   divided in proportion to the prompt tokens of each length. */
#define PARTITION_SHARE_MIN 0.1

/* A shard with fewer servers is not partitioned. */
#define PARTITION_SERVERS_MIN 6

/* Cost of a server in a partition, by prompt length and partition. */
static const gint64 partition_costs_us[HBW_PROMPT_LENGTH_COUNT]
                                      [HBW_PROMPT_LENGTH_COUNT]
    = {
        [HBW_PROMPT_LENGTH_LONG] = { 0, 2000 * HBW_US_PER_MS, 4000 * HBW_US_PER_MS },
        [HBW_PROMPT_LENGTH_MEDIUM]
        = { 200 * HBW_US_PER_MS, 0, 1000 * HBW_US_PER_MS },
        [HBW_PROMPT_LENGTH_SHORT] = { 600 * HBW_US_PER_MS, 200 * HBW_US_PER_MS, 0 },
      };

/* A server's load report is ignored after this time. */
#define REPORT_AGE_MAX_US (500 * HBW_US_PER_MS)

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
  const HbwGrantRequest *want;
  gboolean suspect;
  GHashTable *used_servers; /* hashes of servers on which other suspects run */
  HbwServerSlice slice;
  gboolean ignore_state; /* servers that are down are candidates too */
  HbwPromptLength prompt_length;
  const HbwServer *preferred_server; /* preferred for the shared prefix, or NULL */
  GArray *usable_hashes; /* hashes of the usable servers, ascending; guint64 */
} Selection;

static gboolean
is_model_request (const HbwRequestSpec *spec)
{
  return spec->prompt_tokens > 0;
}

/* Adds the load of this instance and its peers.  The server's own report covers
   instances whose messages do not arrive. */
static HbwServerWork
estimate_server_load (const Selection *selection, const HbwServer *server)
{
  gint64 now_us = selection->context->now_us;
  HbwServerWork load = { 0, 0 };
  if (selection->context->load_share != NULL)
    load = hbw_load_share_sum_peers (selection->context->load_share, server, now_us);
  if (now_us - server->reported_at_us < REPORT_AGE_MAX_US)
    load.in_progress = MAX (load.in_progress, server->others_in_progress);
  load.in_progress += server->in_progress;
  load.unread_tokens += server->unread_tokens;
  return load;
}

/* Returns the hash of the prompt without its last part, which belongs to one request
   or session.  Returns the hash of the whole prompt if it has only one part, and 0
   without parts. */
static guint64
find_shared_prefix_hash (const HbwRequestSpec *spec)
{
  if (spec->part_count == 0)
    return 0;
  return spec->parts[spec->part_count > 1 ? spec->part_count - 2 : 0].hash;
}

static int
compare_hashes (gconstpointer a, gconstpointer b)
{
  guint64 left = *(const guint64 *) a;
  guint64 right = *(const guint64 *) b;
  return left < right ? -1 : left > right;
}

static GArray *
sort_usable_hashes (const HbwShard *shard)
{
  GArray *hashes
      = g_array_sized_new (FALSE, FALSE, sizeof (guint64), shard->servers->len);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (hbw_server_is_usable (server))
        g_array_append_val (hashes, server->id_hash);
    }
  g_array_sort (hashes, compare_hashes);
  return hashes;
}

/* Returns how many of the sorted HASHES are lower than HASH. */
static guint
count_lower_hashes (const GArray *hashes, guint64 hash)
{
  guint low = 0;
  guint high = hashes->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (g_array_index (hashes, guint64, middle) < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the position of SERVER in the sorted usable servers, from 0 to 1. */
static double
compute_relative_position (const Selection *selection, const HbwServer *server)
{
  guint others
      = selection->usable_hashes->len - (hbw_server_is_usable (server) ? 1 : 0);
  guint before = count_lower_hashes (selection->usable_hashes, server->id_hash);
  return others > 0 ? (double) before / others : 0;
}

/* Returns the prompt length to whose partition SERVER belongs. */
static HbwPromptLength
find_partition (const Selection *selection, const HbwServer *server)
{
  if (selection->shard->servers->len < PARTITION_SERVERS_MIN)
    return selection->prompt_length;
  double position = compute_relative_position (selection, server);
  double end = 0;
  for (guint length = 0; length + 1 < HBW_PROMPT_LENGTH_COUNT; length++)
    {
      end += PARTITION_SHARE_MIN
             + (1.0 - PARTITION_SHARE_MIN * HBW_PROMPT_LENGTH_COUNT)
                   * selection->shard->prompt_length_shares[length];
      if (position < end)
        return (HbwPromptLength) length;
    }
  return HBW_PROMPT_LENGTH_COUNT - 1;
}

static const HbwServer *
find_affinity_server (const Selection *selection)
{
  const HbwShard *shard = selection->shard;
  guint64 hash = find_shared_prefix_hash (&selection->want->spec);
  const HbwServer *affinity_server = NULL;
  guint64 highest = 0;
  for (guint i = 0; hash != 0 && i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      guint64 weight = hbw_rendezvous_weight (hash, server->entry.id);
      if (!hbw_server_is_usable (server) || weight < highest
          || find_partition (selection, server) != selection->prompt_length)
        continue;
      affinity_server = server;
      highest = weight;
    }
  return affinity_server;
}

/* Returns how many of the UNREAD tokens of a prompt belong to shared parts. */
static guint
count_shared_tokens (const HbwRequestSpec *spec, guint unread)
{
  guint own = spec->part_count > 0 ? spec->parts[spec->part_count - 1].tokens
                                   : spec->prompt_tokens;
  return unread - MIN (unread, own);
}

/* Every server has to process the unshared part of the prompt.  Processing shared
   parts again on a server that has not cached them is wasted work, which costs
   extra. */
static double
estimate_prompt_cost_us (const Selection *selection, const HbwServer *server,
                         const HbwServerWork *load)
{
  const HbwRequestSpec *spec = &selection->want->spec;
  guint unread = hbw_server_uncached_tokens (server, spec);
  guint reread = count_shared_tokens (spec, unread);
  double tokens
      = (double) load->unread_tokens + unread + reread * REREAD_COST_FACTOR;
  double time = tokens * HBW_US_PER_S / selection->shard->prompt_tokens_per_s;
  return server == selection->preferred_server ? time : time + NO_AFFINITY_COST_US;
}

static double
estimate_queue_cost_us (const Selection *selection, const HbwServer *server,
                        guint load)
{
  guint slots = MAX (1, server->entry.slots);
  double wait = (double) load * LOAD_COST_US;
  if (load >= slots)
    wait += (double) (load - slots + 1) * selection->shard->average_service_us
            / slots;
  return wait;
}

/* All instances sort the servers alike and divide them into one partition for each
   prompt length, because streams on a server pause while it processes a long
   prompt. */
static double
find_partition_cost_us (const Selection *selection, const HbwServer *server)
{
  return (double) partition_costs_us[selection->prompt_length]
                                    [find_partition (selection, server)];
}

static double
estimate_cost_us (const Selection *selection, const HbwServer *server,
                  const HbwServerWork *load)
{
  double cost = estimate_queue_cost_us (selection, server, load->in_progress)
                + server->failure_rate * FAILURE_COST_US;
  if (is_model_request (&selection->want->spec))
    cost += estimate_prompt_cost_us (selection, server, load)
            + find_partition_cost_us (selection, server);
  if (strcmp (server->entry.data_centre, selection->context->data_centre) != 0)
    cost += REMOTE_COST_US;
  return cost;
}

static guint
usable_slots_percent (const HbwRequestSpec *spec)
{
  if (!is_model_request (spec))
    return PLAIN_SLOTS_PERCENT;
  /* A request that is bound to a version may have few servers to choose from. */
  gboolean uses_all = spec->tier == 0 || spec->version_hash != 0;
  return uses_all ? MODEL_SLOTS_TOP_TIER_PERCENT : MODEL_SLOTS_PERCENT;
}

static gboolean
has_room (const Selection *selection, const HbwServer *server,
          const HbwServerWork *load)
{
  const HbwRequestSpec *spec = &selection->want->spec;
  if (server->stopping || !hbw_server_has_version (server, spec))
    return FALSE;
  if (!selection->ignore_state
      && !hbw_server_has_room (server, spec, spec->tier == 0,
                               selection->context->now_us))
    return FALSE;
  if (!hbw_shard_may_probe (selection->shard, server, selection->suspect))
    return FALSE;
  if (selection->suspect
      && (server->suspect_requests > 0
          || g_hash_table_contains (selection->used_servers, &server->id_hash)))
    return FALSE;
  guint brittle_percent = hbw_server_notices_slots_percent (
      selection->context->server_notices, &server->entry, spec->tier,
      selection->context->now_us);
  guint percent = MIN (usable_slots_percent (spec), brittle_percent);
  return load->in_progress < MAX (1, server->entry.slots) * percent / 100
         && hbw_server_notices_allow (selection->context->server_notices,
                                      &server->entry, selection->context->now_us);
}

/* Returns whether no other waiting suspect may choose SERVER. */
static gboolean
is_in_slice (const Selection *selection, const HbwServer *server)
{
  const GPtrArray *servers = selection->shard->servers;
  guint position = 0;
  guint count = 0;
  if (!selection->suspect || selection->slice.count <= 1)
    return TRUE;
  for (guint i = 0; i < servers->len; i++)
    {
      const HbwServer *other = g_ptr_array_index (servers, i);
      if (!hbw_server_has_version (other, &selection->want->spec))
        continue;
      count++;
      position += other->id_hash < server->id_hash;
    }
  return hbw_server_slice_has (&selection->slice, position, count);
}

static HbwServer *
select_cheapest_server (const Selection *selection)
{
  const HbwShard *shard = selection->shard;
  HbwServer *best = NULL;
  HbwServer *avoided = NULL;
  double lowest = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      const HbwServerWork load = estimate_server_load (selection, server);
      if (!has_room (selection, server, &load) || !is_in_slice (selection, server))
        continue;
      if (strcmp (server->entry.id, selection->want->avoid_server) == 0)
        {
          avoided = server;
          continue;
        }
      double cost = estimate_cost_us (selection, server, &load);
      if (best != NULL && cost >= lowest)
        continue;
      best = server;
      lowest = cost;
    }
  return best != NULL ? best : avoided;
}

HbwServer *
hbw_policy_direct_select_server (HbwShard *shard, HbwContext *context,
                                 const HbwTicket *ticket)
{
  const HbwGrantRequest *want = &ticket->want;
  Selection selection = { .shard = shard, .context = context, .want = want };
  selection.prompt_length = hbw_shard_classify_prompt (shard, &want->spec);
  selection.usable_hashes = sort_usable_hashes (shard);
  selection.preferred_server = find_affinity_server (&selection);
  selection.suspect = hbw_shard_is_suspect (context, &want->spec);
  selection.used_servers = g_hash_table_new (g_int64_hash, g_int64_equal);
  if (selection.suspect)
    {
      hbw_quarantine_add_used_servers (context->quarantine, &want->spec.fingerprint,
                                       selection.used_servers, context->now_us);
      selection.slice = hbw_suspect_find_slice (
          context->quarantine, &want->spec.fingerprint, context->now_us);
    }
  selection.ignore_state = selection.usable_hashes->len == 0;
  HbwServer *server = select_cheapest_server (&selection);
  g_hash_table_destroy (selection.used_servers);
  g_array_free (selection.usable_hashes, TRUE);
  return server;
}

gint64
hbw_policy_direct_expected_wait_us (HbwShard *shard, HbwContext *context,
                                    const HbwGrantRequest *want)
{
  const Selection selection = { .shard = shard, .context = context, .want = want };
  double lowest = -1;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!hbw_server_is_usable (server)
          || !hbw_server_has_version (server, &want->spec))
        continue;
      const HbwServerWork load = estimate_server_load (&selection, server);
      guint unread = hbw_server_uncached_tokens (server, &want->spec);
      double tokens
          = (double) load.unread_tokens + count_shared_tokens (&want->spec, unread);
      double expected = tokens * HBW_US_PER_S / shard->prompt_tokens_per_s;
      if (lowest < 0 || expected < lowest)
        lowest = expected;
    }
  return (gint64) MAX (lowest, 0);
}
