#include "hornbeamwall/core/policy_direct.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/shard_estimate.h"

#include <string.h>

/* What a request costs more in another data centre: the way there and back, and the
   bytes that cross. */
#define REMOTE_US (2 * HBW_US_PER_MS)

/* What each request that a server works on adds to the time of another one. */
#define LOADED_US (1 * HBW_US_PER_MS)

/* What it costs to meet a failure and to try again elsewhere. */
#define FAILURE_US (400 * HBW_US_PER_MS)

/* What it costs to send a prompt elsewhere than where prompts with the same
   beginning are drawn to. */
#define NOT_HOME_US (50 * HBW_US_PER_MS)

/* What a token of a shared part that is read once more costs besides its time, in
   tokens: the server could have read something else. */
#define READ_AGAIN_FACTOR 9

/* Percent of its slots up to which a plain server is given work; its own queue takes
   what is over. */
#define PLAIN_ROOM_PERCENT 150

/* Percent of its slots up to which an engine is given work.  What the highest tier
   finds no slot for makes the engine break off others and read their prompts anew,
   so the rest leaves it some: other instances' work is known a moment late. */
#define MODEL_ROOM_PERCENT 90
#define MODEL_ROOM_FIRST_PERCENT 100

/* Each length of prompt is drawn to its own part of the servers: this much, and the
   rest in proportion to the prompt tokens that came in prompts of that length. */
#define PART_MIN 0.1

/* Fewer servers are not divided. */
#define PARTS_SERVERS_MIN 6

/* What a server of another length's part costs, by the prompt's length and the
   part's. */
static const gint64 stray_us[HBW_LENGTH_COUNT][HBW_LENGTH_COUNT] = {
  [HBW_LENGTH_LONG] = { 0, 2000 * HBW_US_PER_MS, 4000 * HBW_US_PER_MS },
  [HBW_LENGTH_MEDIUM] = { 200 * HBW_US_PER_MS, 0, 1000 * HBW_US_PER_MS },
  [HBW_LENGTH_SHORT] = { 600 * HBW_US_PER_MS, 200 * HBW_US_PER_MS, 0 },
};

/* A server's report is used for so long. */
#define REPORT_AGE_MAX_US (500 * HBW_US_PER_MS)

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
  const HbwWant *want;
  gboolean suspect;
  gboolean any_state; /* servers that are taken for failed are used too */
  HbwLength length;
  const HbwServer *home; /* where the prompt's beginning falls to, or NULL */
  GArray *order;         /* hashes of the usable servers, rising; guint64 */
} Choice;

static gboolean
is_model (const HbwRequestSpec *spec)
{
  return spec->prompt_tokens > 0;
}

/* Other instances tell what they have in progress; a server's own report counts for
   those that cannot be heard. */
static HbwLoadSum
load_of (const Choice *choice, const HbwServer *server)
{
  gint64 now_us = choice->context->now_us;
  HbwLoadSum load = { 0, 0 };
  if (choice->context->loads != NULL)
    load = hbw_load_share_sum (choice->context->loads, server, now_us);
  if (now_us - server->reported_at_us < REPORT_AGE_MAX_US)
    load.in_progress = MAX (load.in_progress, server->others);
  load.in_progress += server->in_progress;
  load.unread_tokens += server->unread_tokens;
  return load;
}

/* The last part of a prompt is its own or its session's; those before are shared. */
static guint64
shared_hash (const HbwRequestSpec *spec)
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
make_order (const HbwShard *shard)
{
  GArray *order
      = g_array_sized_new (FALSE, FALSE, sizeof (guint64), shard->servers->len);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (hbw_server_is_usable (server))
        g_array_append_val (order, server->hash);
    }
  g_array_sort (order, compare_hashes);
  return order;
}

/* Returns how many hashes of ORDER are lower than HASH. */
static guint
count_before (const GArray *order, guint64 hash)
{
  guint low = 0;
  guint high = order->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (g_array_index (order, guint64, middle) < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the server's place in the order, from 0 to 1. */
static double
place_of (const Choice *choice, const HbwServer *server)
{
  guint others = choice->order->len - (hbw_server_is_usable (server) ? 1 : 0);
  guint before = count_before (choice->order, server->hash);
  return others > 0 ? (double) before / others : 0;
}

/* Returns which length's part the server stands in. */
static HbwLength
part_of (const Choice *choice, const HbwServer *server)
{
  if (choice->shard->servers->len < PARTS_SERVERS_MIN)
    return choice->length;
  double place = place_of (choice, server);
  double end = 0;
  for (guint length = 0; length + 1 < HBW_LENGTH_COUNT; length++)
    {
      end += PART_MIN
             + (1.0 - PART_MIN * HBW_LENGTH_COUNT) * choice->shard->shares[length];
      if (place < end)
        return (HbwLength) length;
    }
  return HBW_LENGTH_COUNT - 1;
}

static const HbwServer *
find_home (const Choice *choice)
{
  const HbwShard *shard = choice->shard;
  guint64 hash = shared_hash (&choice->want->spec);
  const HbwServer *home = NULL;
  guint64 highest = 0;
  for (guint i = 0; hash != 0 && i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      guint64 weight = hbw_rendezvous_weight (hash, server->entry.id);
      if (!hbw_server_is_usable (server) || weight < highest
          || part_of (choice, server) != choice->length)
        continue;
      home = server;
      highest = weight;
    }
  return home;
}

/* Returns how many of the UNREAD tokens of a prompt other requests share. */
static guint
shared_tokens (const HbwRequestSpec *spec, guint unread)
{
  guint own = spec->part_count > 0 ? spec->parts[spec->part_count - 1].tokens
                                   : spec->prompt_tokens;
  return unread - MIN (unread, own);
}

/* The part of the prompt that is no other request's is read wherever it goes; the
   shared parts are read once more for nothing where they are not at hand. */
static double
prompt_us (const Choice *choice, const HbwServer *server, const HbwLoadSum *load)
{
  const HbwRequestSpec *spec = &choice->want->spec;
  guint unread = hbw_server_uncached (server, spec);
  guint again = shared_tokens (spec, unread);
  double tokens = (double) load->unread_tokens + unread + again * READ_AGAIN_FACTOR;
  double time = tokens * HBW_US_PER_S / choice->shard->prompt_rate;
  return server == choice->home ? time : time + NOT_HOME_US;
}

static double
queue_us (const Choice *choice, const HbwServer *server, guint load)
{
  guint slots = MAX (1, server->entry.slots);
  double wait = (double) load * LOADED_US;
  if (load >= slots)
    wait += (double) (load - slots + 1) * choice->shard->service_us / slots;
  return wait;
}

/* Servers stand in an order that is the same for all instances, cut into a part for
   each length of prompt: while a server reads a long prompt, the streams beside it
   pause. */
static double
position_us (const Choice *choice, const HbwServer *server)
{
  return (double) stray_us[choice->length][part_of (choice, server)];
}

static double
cost_us (const Choice *choice, const HbwServer *server, const HbwLoadSum *load)
{
  double cost
      = queue_us (choice, server, load->in_progress) + server->failing * FAILURE_US;
  if (is_model (&choice->want->spec))
    cost += prompt_us (choice, server, load) + position_us (choice, server);
  if (strcmp (server->entry.data_centre, choice->context->data_centre) != 0)
    cost += REMOTE_US;
  return cost;
}

static guint
room_percent (const HbwRequestSpec *spec)
{
  if (!is_model (spec))
    return PLAIN_ROOM_PERCENT;
  return spec->tier == 0 ? MODEL_ROOM_FIRST_PERCENT : MODEL_ROOM_PERCENT;
}

static gboolean
has_room (const Choice *choice, const HbwServer *server, const HbwLoadSum *load)
{
  const HbwRequestSpec *spec = &choice->want->spec;
  if (server->stopping)
    return FALSE;
  if (!choice->any_state
      && !hbw_server_has_room (server, spec, spec->tier == 0,
                               choice->context->now_us))
    return FALSE;
  if (choice->suspect && server->suspects > 0)
    return FALSE;
  guint percent = room_percent (spec);
  return load->in_progress < MAX (1, server->entry.slots) * percent / 100;
}

static HbwServer *
cheapest (const Choice *choice)
{
  const HbwShard *shard = choice->shard;
  HbwServer *best = NULL;
  HbwServer *avoided = NULL;
  double least = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      const HbwLoadSum load = load_of (choice, server);
      if (!has_room (choice, server, &load))
        continue;
      if (strcmp (server->entry.id, choice->want->avoid) == 0)
        {
          avoided = server;
          continue;
        }
      double cost = cost_us (choice, server, &load);
      if (best != NULL && cost >= least)
        continue;
      best = server;
      least = cost;
    }
  return best != NULL ? best : avoided;
}

HbwServer *
hbw_direct_select_server (HbwShard *shard, HbwContext *context,
                          const HbwTicket *ticket)
{
  const HbwWant *want = &ticket->want;
  Choice choice = { .shard = shard, .context = context, .want = want };
  choice.length = hbw_shard_length_of (shard, &want->spec);
  choice.order = make_order (shard);
  choice.home = find_home (&choice);
  choice.suspect = hbw_quarantine_judge (context->quarantine,
                                         &want->spec.fingerprint, context->now_us)
                   != HBW_VERDICT_NONE;
  choice.any_state = choice.order->len == 0;
  HbwServer *server = cheapest (&choice);
  g_array_free (choice.order, TRUE);
  return server;
}

gint64
hbw_direct_expected_wait (HbwShard *shard, HbwContext *context, const HbwWant *want)
{
  const Choice choice = { .shard = shard, .context = context, .want = want };
  double least = -1;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!hbw_server_is_usable (server))
        continue;
      const HbwLoadSum load = load_of (&choice, server);
      guint unread = hbw_server_uncached (server, &want->spec);
      double tokens
          = (double) load.unread_tokens + shared_tokens (&want->spec, unread);
      double expected = tokens * HBW_US_PER_S / shard->prompt_rate;
      if (least < 0 || expected < least)
        least = expected;
    }
  return (gint64) MAX (least, 0);
}
