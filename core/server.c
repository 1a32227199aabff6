#include "hornbeamwall/core/server.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>

/* Weight of the newest measurement in a moving average. */
#define AVERAGE_WEIGHT 0.2

#define FAILURE_RATE_WEIGHT 0.15

/* Multiplicative decrease of the limit and its minimum interval. */
#define DECREASE_FACTOR 0.9
#define DECREASE_INTERVAL_US (250 * HBW_US_PER_MS)

/* Additive increase of the limit, spread over as many successes as the limit. */
#define INCREASE_STEP 1.0

/* Bounds of the exponential backoff before a failed server is probed. */
#define PROBE_BACKOFF_MIN_US (500 * HBW_US_PER_MS)
#define PROBE_BACKOFF_MAX_US (8 * HBW_US_PER_S)

/* Added delay before a failed server is probed with a request that is not idempotent
   or that has failed a server, so that a load report or another one can probe it
   first. */
#define RISKY_PROBE_DELAY_US (1 * HBW_US_PER_S)

/* Consecutive broken responses that mark a server down while it has other requests
   in progress. */
#define FAILURES_DOWN_MIN 2

/* Fraction of the headroom below the inter-token target that overcommitment may
   use. */
#define OVERCOMMIT_HEADROOM_FRACTION 0.8

/* Older load reports are ignored. */
#define REPORT_AGE_MAX_US (3 * HBW_US_PER_S)

/* Ratios to the shard's median inter-token time above which a server becomes a
   straggler and below which it ceases to be one. */
#define STRAGGLER_RATIO_ENTER 2.0
#define STRAGGLER_RATIO_LEAVE 1.5

static const char *const state_names[] = { "up", "down", "probing" };

static void
update_average (double *value, gint64 sample_us)
{
  if (sample_us <= 0)
    return;
  if (*value <= 0)
    *value = (double) sample_us;
  else
    *value += AVERAGE_WEIGHT * ((double) sample_us - *value);
}

static void
lower_limit (HbwServer *server, gint64 now_us)
{
  if (now_us - server->last_decrease_us < DECREASE_INTERVAL_US)
    return;
  server->last_decrease_us = now_us;
  server->concurrency_limit = MAX (1.0, server->concurrency_limit * DECREASE_FACTOR);
}

static void
raise_limit (HbwServer *server)
{
  if ((double) server->in_progress + 1.0 < server->concurrency_limit)
    return;
  server->concurrency_limit
      = MIN ((double) server->entry.slots,
             server->concurrency_limit + INCREASE_STEP / server->concurrency_limit);
}

static void
update_failure_rate (HbwServer *server, HbwOutcome outcome)
{
  gboolean failed = outcome == HBW_OUTCOME_FAILED || outcome == HBW_OUTCOME_BROKEN
                    || outcome == HBW_OUTCOME_TIMED_OUT
                    || outcome == HBW_OUTCOME_NOT_CONNECTED
                    || outcome == HBW_OUTCOME_MISDIRECTED;
  if (!failed && outcome != HBW_OUTCOME_COMPLETE)
    return;
  server->failure_rate
      += FAILURE_RATE_WEIGHT * ((failed ? 1.0 : 0.0) - server->failure_rate);
}

/* A complete response shows that the server is up, even if it reports an error. */
static void
handle_success (HbwServer *server, const HbwAttemptResult *done, gint64 target_us,
                gint64 now_us)
{
  server->consecutive_failures = 0;
  server->state = HBW_SERVER_UP;
  update_average (&server->average_first_token_us, done->first_token_us);
  update_average (&server->average_inter_token_us, done->inter_token_us);
  if (done->inter_token_us > target_us && target_us > 0 && !server->straggler)
    lower_limit (server, now_us);
  else
    raise_limit (server);
}

/* A single broken response does not mark down a server that has other requests in
   progress.  A server that cannot be connected to, or had no other request in
   progress, is down. */
static void
handle_failure (HbwServer *server, HbwOutcome outcome, gint64 now_us)
{
  if (server->state == HBW_SERVER_DOWN)
    return;
  server->consecutive_failures++;
  gboolean probing = server->state == HBW_SERVER_PROBING;
  if (server->consecutive_failures < FAILURES_DOWN_MIN && server->in_progress > 0
      && !probing && outcome != HBW_OUTCOME_NOT_CONNECTED
      && outcome != HBW_OUTCOME_MISDIRECTED)
    return;
  guint doublings = MIN (server->consecutive_failures - 1, 4);
  gint64 wait = PROBE_BACKOFF_MIN_US << doublings;
  server->state = HBW_SERVER_DOWN;
  hbw_server_pace_reset (&server->pace);
  server->probe_at_us = now_us + MIN (wait, PROBE_BACKOFF_MAX_US);
}

/* Returns by which fraction the limit may be exceeded.  Each added request slows all
   streams of the server in proportion, so the headroom below the inter-token target
   bounds how many may be added. */
static double
overcommit_factor (const HbwServer *server, gint64 inter_token_target_us)
{
  double factor_max = HBW_SERVER_OVERCOMMIT_PERCENT / 100.0;
  if (server->average_inter_token_us <= 0 || inter_token_target_us <= 0)
    return factor_max;
  double headroom
      = (double) inter_token_target_us / server->average_inter_token_us - 1.0;
  return CLAMP (headroom * OVERCOMMIT_HEADROOM_FRACTION, 0, factor_max);
}

static guint
effective_limit (const HbwServer *server, const HbwRequestSpec *spec,
                 gboolean overcommit)
{
  guint limit = MAX (1, (guint) server->concurrency_limit);
  if (server->straggler
      && (double) spec->inter_token_target_us < server->average_inter_token_us)
    return (guint) MIN ((double) limit, server->straggler_limit);
  if (overcommit)
    limit
        += (guint) (limit * overcommit_factor (server, spec->inter_token_target_us));
  return limit;
}

gboolean
hbw_server_is_usable (const HbwServer *server)
{
  return !server->stopping && server->state == HBW_SERVER_UP;
}

guint64
hbw_server_hash_id (const char *id)
{
  return hbw_rendezvous_weight (0, id);
}

HbwServer *
hbw_server_create (const HbwServerEntry *entry)
{
  HbwServer *server = g_new0 (HbwServer, 1);
  server->entry = *entry;
  server->id_hash = hbw_server_hash_id (entry->id);
  server->concurrency_limit = entry->slots;
  server->stopping = entry->leaving;
  server->cached_prompts = hbw_prompt_cache_create ();
  server->memory = hbw_engine_memory_create ();
  return server;
}

void
hbw_server_destroy (HbwServer *server)
{
  hbw_prompt_cache_destroy (server->cached_prompts);
  hbw_engine_memory_destroy (server->memory);
  g_free (server);
}

void
hbw_server_update (HbwServer *server, const HbwServerEntry *entry)
{
  gboolean restarted = server->entry.start_number != entry->start_number;
  gboolean resized = server->entry.slots != entry->slots;
  server->entry = *entry;
  if (resized)
    server->concurrency_limit = entry->slots;
  if (!restarted)
    return;
  server->state = HBW_SERVER_UP;
  server->consecutive_failures = 0;
  server->straggler = FALSE;
  server->concurrency_limit = entry->slots;
  server->average_first_token_us = 0;
  server->average_inter_token_us = 0;
  server->others_in_progress = 0;
  server->failure_rate = 0;
  memset (server->prefixes, 0, sizeof server->prefixes);
  hbw_prompt_cache_clear (server->cached_prompts);
  hbw_server_pace_reset (&server->pace);
  hbw_engine_memory_clear (server->memory);
  server->stream_targets = (HbwStreamTargets){ 0 };
}

guint
hbw_server_uncached_tokens (const HbwServer *server, const HbwRequestSpec *spec)
{
  guint cached = hbw_prompt_cache_count_cached_tokens (server->cached_prompts, spec);
  return spec->prompt_tokens - MIN (cached, spec->prompt_tokens);
}

gboolean
hbw_server_has_version (const HbwServer *server, const HbwRequestSpec *spec)
{
  return spec->version_hash == 0 || spec->version_hash == server->entry.version_hash;
}

gboolean
hbw_server_has_room (const HbwServer *server, const HbwRequestSpec *spec,
                     gboolean overcommit, gint64 now_us)
{
  if (server->stopping || server->state == HBW_SERVER_PROBING)
    return FALSE;
  gboolean is_risky = !spec->idempotent || spec->server_failures > 0;
  if (server->state == HBW_SERVER_DOWN)
    return now_us >= server->probe_at_us + (is_risky ? RISKY_PROBE_DELAY_US : 0);
  return server->in_progress < effective_limit (server, spec, overcommit);
}

void
hbw_server_begin_request (HbwServer *server, const HbwRequestSpec *spec)
{
  server->in_progress++;
  server->granted_since_report++;
  if (server->state == HBW_SERVER_DOWN)
    server->state = HBW_SERVER_PROBING;
  hbw_prompt_cache_add_prompt (server->cached_prompts, spec);
  if (spec->prefix_hash == 0 || hbw_server_has_prefix (server, spec->prefix_hash))
    return;
  server->prefixes[server->next_prefix] = spec->prefix_hash;
  server->next_prefix = (server->next_prefix + 1) % HBW_SERVER_PREFIXES_MAX;
}

void
hbw_server_end_request (HbwServer *server, const HbwAttemptResult *done,
                        gint64 target_us, gint64 now_us)
{
  if (server->in_progress > 0)
    server->in_progress--;
  update_failure_rate (server, done->outcome);
  switch (done->outcome)
    {
    case HBW_OUTCOME_COMPLETE:
    case HBW_OUTCOME_FAILED:
      handle_success (server, done, target_us, now_us);
      break;
    case HBW_OUTCOME_REFUSED:
      if (server->state == HBW_SERVER_PROBING)
        server->state = HBW_SERVER_UP;
      lower_limit (server, now_us);
      break;
    case HBW_OUTCOME_NOT_CONNECTED:
    case HBW_OUTCOME_MISDIRECTED:
    case HBW_OUTCOME_BROKEN:
    case HBW_OUTCOME_TIMED_OUT:
      handle_failure (server, done->outcome, now_us);
      break;
    default:
      if (server->state == HBW_SERVER_PROBING)
        {
          server->state = HBW_SERVER_DOWN;
          server->probe_at_us = now_us;
        }
      break;
    }
}

void
hbw_server_handle_load_report (HbwServer *server, const HbwLoadReport *load,
                               gint64 now_us)
{
  if (load->age_us > REPORT_AGE_MAX_US)
    return;
  if (server->state == HBW_SERVER_DOWN && now_us >= server->probe_at_us)
    server->state = HBW_SERVER_UP;
  server->reported_running = load->running;
  server->reported_waiting = load->waiting;
  server->reported_at_us = now_us - load->age_us;
  server->granted_since_report = 0;
  hbw_server_pace_set_moment (&server->pace, load->pace_percent, now_us);
  guint total = load->running + load->waiting;
  server->others_in_progress = total - MIN (total, server->in_progress);
  if (load->waiting > 0)
    lower_limit (server, now_us);
}

gboolean
hbw_server_update_straggler (HbwServer *server, double median_us)
{
  double ratio = median_us > 0 ? server->average_inter_token_us / median_us : 0;
  gboolean was_straggler = server->straggler;
  if (ratio > STRAGGLER_RATIO_ENTER)
    server->straggler = TRUE;
  else if (ratio < STRAGGLER_RATIO_LEAVE)
    server->straggler = FALSE;
  if (server->straggler)
    server->straggler_limit = MAX (1.0, server->entry.slots / ratio);
  return server->straggler != was_straggler;
}

gboolean
hbw_server_has_prefix (const HbwServer *server, guint64 prefix)
{
  for (guint i = 0; i < HBW_SERVER_PREFIXES_MAX; i++)
    if (server->prefixes[i] == prefix)
      return TRUE;
  return FALSE;
}

guint
hbw_server_free_slots (const HbwServer *server)
{
  guint limit = MAX (1, (guint) server->concurrency_limit);
  if (!hbw_server_is_usable (server) || server->in_progress >= limit)
    return 0;
  return limit - server->in_progress;
}

const char *
hbw_server_state_name (HbwServerState state)
{
  return state_names[state];
}
