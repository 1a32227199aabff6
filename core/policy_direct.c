#include "hornbeamwall/core/policy_direct.h"

#include "hornbeamwall/core/quarantine.h"

#include <string.h>

/* What a request costs more in another data centre: the way there and back, and the
   bytes that cross. */
#define REMOTE_US (2 * HBW_US_PER_MS)

/* What each request that a server works on adds to the time of another one. */
#define LOADED_US (1 * HBW_US_PER_MS)

/* What it costs to meet a failure and to try again elsewhere. */
#define FAILURE_US (400 * HBW_US_PER_MS)

/* Part of the prompt that a server which the prompt's beginning falls to is taken to
   know, in percent, before anything was sent there. */
#define HOME_PERCENT 60

/* Percent of its slots up to which a plain server is given work; its own queue takes
   what is over. */
#define PLAIN_ROOM_PERCENT 150

typedef struct
{
  HbwShard *shard;
  HbwContext *context;
  const HbwWant *want;
  gboolean suspect;
  const HbwServer *home; /* where the prompt's beginning falls to, or NULL */
} Choice;

static gboolean
is_model (const HbwRequestSpec *spec)
{
  return spec->prompt_tokens > 0;
}

static guint
load_of (const HbwServer *server)
{
  return server->in_progress + server->others;
}

/* The last part of a prompt is its own or its session's; those before are shared. */
static guint64
shared_hash (const HbwRequestSpec *spec)
{
  if (spec->part_count == 0)
    return 0;
  return spec->parts[spec->part_count > 1 ? spec->part_count - 2 : 0].hash;
}

static const HbwServer *
find_home (const HbwShard *shard, const HbwRequestSpec *spec)
{
  guint64 hash = shared_hash (spec);
  const HbwServer *home = NULL;
  guint64 highest = 0;
  for (guint i = 0; hash != 0 && i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      guint64 weight = hbw_rendezvous_weight (hash, server->entry.id);
      if (server->stopping || server->state != HBW_SERVER_UP || weight < highest)
        continue;
      home = server;
      highest = weight;
    }
  return home;
}

static guint
unread_at (const Choice *choice, const HbwServer *server)
{
  guint unread = hbw_server_uncached (server, &choice->want->spec);
  guint known_at_home
      = choice->want->spec.prompt_tokens / 100 * (100 - HOME_PERCENT);
  return server == choice->home ? MIN (unread, known_at_home) : unread;
}

static double
prompt_us (const Choice *choice, const HbwServer *server)
{
  double tokens = (double) server->unread_tokens + unread_at (choice, server);
  return tokens * HBW_US_PER_S / choice->shard->prompt_rate;
}

static double
queue_us (const Choice *choice, const HbwServer *server)
{
  guint load = load_of (server);
  guint slots = MAX (1, server->entry.slots);
  double wait = (double) load * LOADED_US;
  if (load >= slots)
    wait += (double) (load - slots + 1) * choice->shard->service_us / slots;
  return wait;
}

static double
cost_us (const Choice *choice, const HbwServer *server)
{
  double cost = queue_us (choice, server) + server->failing * FAILURE_US;
  if (is_model (&choice->want->spec))
    cost += prompt_us (choice, server);
  if (strcmp (server->entry.data_centre, choice->context->data_centre) != 0)
    cost += REMOTE_US;
  return cost;
}

static gboolean
has_room (const Choice *choice, const HbwServer *server)
{
  const HbwRequestSpec *spec = &choice->want->spec;
  if (!hbw_server_has_room (server, spec, spec->tier == 0, choice->context->now_us))
    return FALSE;
  if (choice->suspect && server->suspects > 0)
    return FALSE;
  guint percent = is_model (spec) ? 100 : PLAIN_ROOM_PERCENT;
  return load_of (server) < MAX (1, server->entry.slots) * percent / 100;
}

HbwServer *
hbw_direct_select_server (HbwShard *shard, HbwContext *context,
                          const HbwTicket *ticket)
{
  const HbwWant *want = &ticket->want;
  Choice choice = { shard, context, want, FALSE, find_home (shard, &want->spec) };
  choice.suspect = hbw_quarantine_is_suspect (
      context->quarantine, &want->spec.fingerprint, context->now_us);
  HbwServer *best = NULL;
  HbwServer *avoided = NULL;
  double least = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!has_room (&choice, server))
        continue;
      if (strcmp (server->entry.id, want->avoid) == 0)
        {
          avoided = server;
          continue;
        }
      double cost = cost_us (&choice, server);
      if (best != NULL && cost >= least)
        continue;
      best = server;
      least = cost;
    }
  return best != NULL ? best : avoided;
}
