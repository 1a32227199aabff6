#include "hornbeamwall/core/placement.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/prompt_partition.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/shard_estimate.h"

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

struct HbwPlacement
{
  const HbwShard *shard;
  const HbwContext *context;
  const HbwGrantRequest *want;
  guint64 awaited_server;
  HbwPromptLength prompt_length;
  guint memory_tokens;               /* of each server's memory; 0 if unknown */
  const HbwServer *preferred_server; /* preferred for the shared prefix, or NULL */
};

static gboolean
is_model_request (const HbwRequestSpec *spec)
{
  return spec->prompt_tokens > 0;
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

static HbwPromptLength
find_partition (const HbwPlacement *placement, const HbwServer *server)
{
  return hbw_prompt_partition_of (placement->shard, server,
                                  placement->prompt_length);
}

static const HbwServer *
find_affinity_server (const HbwPlacement *placement)
{
  const HbwShard *shard = placement->shard;
  guint64 hash = find_shared_prefix_hash (&placement->want->spec);
  const HbwServer *affinity_server = NULL;
  guint64 highest = 0;
  for (guint i = 0; hash != 0 && i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!hbw_server_is_usable (server)
          || find_partition (placement, server) != placement->prompt_length)
        continue;
      guint64 weight = hbw_rendezvous_weight (hash, server->entry.id);
      if (weight < highest)
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

/* Returns how long SERVER takes to read so many TOKENS. */
static double
estimate_reading_us (const HbwPlacement *placement, const HbwServer *server,
                     double tokens)
{
  gint64 now_us = placement->context->now_us;
  return tokens * HBW_US_PER_S / placement->shard->prompt_tokens_per_s
         * hbw_server_pace_prompt_factor (&server->pace, now_us)
         * hbw_server_pace_moment (&server->pace, now_us);
}

/* Returns what the output loses while the server is slower than usual, which is
   expected to last as long as its report is valid. */
static double
estimate_moment_cost_us (const HbwPlacement *placement, const HbwServer *server)
{
  double moment = hbw_server_pace_moment (&server->pace, placement->context->now_us);
  return moment > 1.0 ? (1.0 - 1.0 / moment) * HBW_PACE_MOMENT_US : 0;
}

/* Returns the time that the streams of SERVER lose while it reads the prompt. */
static double
estimate_stall_cost_us (const HbwPlacement *placement, const HbwServer *server,
                        const HbwServerWork *work)
{
  const HbwShard *shard = placement->shard;
  gint64 now_us = placement->context->now_us;
  double moment = hbw_server_pace_moment (&server->pace, now_us);
  HbwStall stall = { .streams = work->in_progress, .target_ms = work->target_ms };
  if (work->target_ms == 0 || work->in_progress == 0)
    return 0;
  stall.unread_tokens = hbw_server_uncached_tokens (server, &placement->want->spec);
  stall.reading_us = shard->pace.reading_us * moment
                     * hbw_server_pace_prompt_factor (&server->pace, now_us);
  stall.step_us
      = hbw_pool_pace_step_us (&shard->pace, find_partition (placement, server),
                               work->in_progress)
        * moment * hbw_server_pace_step_factor (&server->pace, now_us);
  return hbw_stall_cost_us (&stall);
}

/* Every server has to process the unshared part of the prompt.  Processing shared
   parts again on a server that has not cached them is wasted work, which costs
   extra. */
static double
estimate_prompt_cost_us (const HbwPlacement *placement, const HbwServer *server,
                         const HbwServerWork *work)
{
  const HbwRequestSpec *spec = &placement->want->spec;
  guint unread = hbw_server_uncached_tokens (server, spec);
  guint reread = count_shared_tokens (spec, unread);
  double tokens = (double) work->unread_tokens + unread;
  double time = estimate_reading_us (placement, server, tokens)
                + (double) reread * REREAD_COST_FACTOR * HBW_US_PER_S
                      / placement->shard->prompt_tokens_per_s;
  return server == placement->preferred_server ? time : time + NO_AFFINITY_COST_US;
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

/* Returns how long the request would wait for a slot. */
static double
estimate_slot_wait_us (const HbwPlacement *placement, const HbwServer *server,
                       const HbwServerWork *work)
{
  guint slots = MIN (hbw_placement_count_slots (placement, server),
                     MAX (1, server->entry.slots));
  guint ahead = work->in_progress + work->waiting;
  if (ahead < slots)
    return 0;
  return (double) (ahead - slots + 1) * placement->shard->average_service_us / slots
         * hbw_server_pace_step_factor (&server->pace, placement->context->now_us);
}

static double
find_partition_cost_us (const HbwPlacement *placement, const HbwServer *server)
{
  return (double) partition_costs_us[placement->prompt_length]
                                    [find_partition (placement, server)];
}

HbwPlacement *
hbw_placement_create (const HbwShard *shard, const HbwContext *context,
                      const HbwGrantRequest *want, guint64 awaited_server)
{
  HbwPlacement *placement = g_new0 (HbwPlacement, 1);
  placement->shard = shard;
  placement->context = context;
  placement->want = want;
  placement->awaited_server = awaited_server;
  placement->prompt_length = hbw_shard_classify_prompt (shard, &want->spec);
  placement->memory_tokens
      = hbw_catalogue_engine_memory (context->catalogue, shard->key.pool);
  placement->preferred_server = find_affinity_server (placement);
  return placement;
}

void
hbw_placement_destroy (HbwPlacement *placement)
{
  g_free (placement);
}

gboolean
hbw_placement_has_usable_server (const HbwPlacement *placement)
{
  const GPtrArray *servers = placement->shard->servers;
  for (guint i = 0; i < servers->len; i++)
    if (hbw_server_is_usable (g_ptr_array_index (servers, i)))
      return TRUE;
  return FALSE;
}

/* Returns what requests that no instance has told hold, if each holds as much as the
   others of the WORK do on average. */
static guint
estimate_untold_memory (const HbwServerWork *work, guint untold)
{
  guint told = work->in_progress;
  return told > 0 ? (guint) ((guint64) work->memory_tokens * untold / told) : 0;
}

/* The server's own report covers instances whose messages do not arrive. */
static HbwServerWork
sum_work (const HbwContext *context, const HbwServer *server)
{
  HbwServerWork work = { 0 };
  if (context->load_share != NULL)
    work = hbw_load_share_sum_peers (context->load_share, server, context->now_us);
  guint untold = 0;
  if (context->now_us - server->reported_at_us < REPORT_AGE_MAX_US)
    untold = server->others_in_progress
             - MIN (server->others_in_progress, work.in_progress);
  work.target_ms = hbw_stream_targets_min_ms (
      work.target_ms, hbw_stream_targets_shortest_ms (&server->stream_targets));
  work.in_progress += server->in_progress;
  work.unread_tokens += server->unread_tokens;
  work.memory_tokens += hbw_engine_memory_unshared_tokens (server->memory);
  work.waiting += server->waiting;
  work.memory_tokens += estimate_untold_memory (&work, untold);
  work.in_progress += untold;
  return work;
}

static guint
count_slots (const HbwContext *context, const HbwRequestSpec *spec,
             const HbwServer *server)
{
  guint brittle_percent = hbw_server_notices_slots_percent (
      context->server_notices, &server->entry, spec->tier, context->now_us);
  guint percent = MIN (usable_slots_percent (spec), brittle_percent);
  return MAX (1, server->entry.slots) * percent / 100;
}

/* Returns by how much a request of SPEC, after so many others AHEAD that wait, would
   exceed its part of a memory of CAPACITY.  An idle server takes any request. */
static guint
count_missing_memory (const HbwRequestSpec *spec, const HbwServer *server,
                      const HbwServerWork *work, guint capacity, guint ahead)
{
  if (spec->output_tokens == 0 || capacity == 0 || work->in_progress == 0)
    return 0;
  guint64 needed = hbw_engine_memory_needed_tokens (server->memory, spec);
  guint64 held = (guint64) work->memory_tokens
                 + hbw_engine_memory_shared_tokens (server->memory);
  guint64 limit = hbw_engine_memory_limit (spec, capacity);
  guint64 total = held + needed * (1 + ahead);
  return total > limit ? (guint) MIN (total - limit, G_MAXINT32) : 0;
}

/* Returns how long the request would wait for memory: what is held is freed within
   the time of an average request. */
static double
estimate_memory_wait_us (const HbwPlacement *placement, const HbwServer *server,
                         const HbwServerWork *work)
{
  guint missing = count_missing_memory (&placement->want->spec, server, work,
                                        placement->memory_tokens, work->waiting);
  guint held
      = work->memory_tokens + hbw_engine_memory_shared_tokens (server->memory);
  if (missing == 0)
    return 0;
  return (double) missing / MAX (held, 1) * placement->shard->average_service_us
         * hbw_server_pace_step_factor (&server->pace, placement->context->now_us);
}

gboolean
hbw_placement_has_memory (const HbwPlacement *placement, const HbwServer *server,
                          const HbwServerWork *work)
{
  return count_missing_memory (&placement->want->spec, server, work,
                               placement->memory_tokens, 0)
         == 0;
}

gboolean
hbw_placement_has_slot (const HbwContext *context, const HbwRequestSpec *spec,
                        const HbwServer *server)
{
  const HbwServerWork work = sum_work (context, server);
  guint capacity = hbw_catalogue_engine_memory (context->catalogue, spec->pool);
  return work.in_progress < count_slots (context, spec, server)
         && count_missing_memory (spec, server, &work, capacity, 0) == 0;
}

HbwServerWork
hbw_placement_sum_work (const HbwPlacement *placement, const HbwServer *server)
{
  hbw_metrics_control (placement->context->metrics)->servers_compared++;
  HbwServerWork work = sum_work (placement->context, server);
  if (placement->awaited_server == server->id_hash)
    work.waiting -= MIN (work.waiting, 1);
  return work;
}

guint
hbw_placement_count_slots (const HbwPlacement *placement, const HbwServer *server)
{
  return count_slots (placement->context, &placement->want->spec, server);
}

double
hbw_placement_estimate_cost_us (const HbwPlacement *placement,
                                const HbwServer *server, const HbwServerWork *work)
{
  double cost = (double) work->in_progress * LOAD_COST_US
                + estimate_slot_wait_us (placement, server, work)
                + server->failure_rate * FAILURE_COST_US;
  if (is_model_request (&placement->want->spec))
    cost += estimate_prompt_cost_us (placement, server, work)
            + find_partition_cost_us (placement, server)
            + estimate_moment_cost_us (placement, server)
            + estimate_stall_cost_us (placement, server, work)
            + estimate_memory_wait_us (placement, server, work);
  if (strcmp (server->entry.data_centre, placement->context->data_centre) != 0)
    cost += REMOTE_COST_US;
  return cost;
}

double
hbw_placement_estimate_wait_us (const HbwPlacement *placement,
                                const HbwServer *server, const HbwServerWork *work)
{
  const HbwRequestSpec *spec = &placement->want->spec;
  guint unread = hbw_server_uncached_tokens (server, spec);
  double tokens = (double) work->unread_tokens + count_shared_tokens (spec, unread);
  return estimate_reading_us (placement, server, tokens);
}
