#include "hornbeamwall/core/admission.h"

#include <string.h>
#include <xxhash.h>

/* Seeds of the two halves of a fingerprint. */
#define HIGH_SEED 1
#define LOW_SEED 2

/* Targets without a pool of their own get this weight in fair shares. */
#define WEIGHT_DEFAULT 1

/* Name under which requests without a key share a flow. */
#define ANONYMOUS ""

static const HbwEndpointTarget *
choose_target (const HbwEndpoint *endpoint, guint32 draw)
{
  guint total = 0;
  for (guint i = 0; i < endpoint->target_count; i++)
    total += endpoint->targets[i].weight;
  if (total == 0)
    return endpoint->target_count > 0 ? &endpoint->targets[0] : NULL;
  guint at = draw % total;
  for (guint i = 0; i < endpoint->target_count; i++)
    {
      if (at < endpoint->targets[i].weight)
        return &endpoint->targets[i];
      at -= endpoint->targets[i].weight;
    }
  return NULL;
}

static void
fill_class (HbwRequestSpec *spec, const HbwClass *class)
{
  g_strlcpy (spec->class_name, class->name, sizeof spec->class_name);
  spec->tier = class->tier;
  spec->queue_bound = class->queue_bound;
  spec->target_us = class->first_token_us;
  spec->inter_token_us = class->inter_token_us;
}

static void
fill_organisation (HbwRequestSpec *spec, const HbwOrganisation *organisation)
{
  if (organisation == NULL)
    {
      spec->weight = WEIGHT_DEFAULT;
      g_strlcpy (spec->organisation, ANONYMOUS, sizeof spec->organisation);
      return;
    }
  spec->weight = organisation->weight;
  g_strlcpy (spec->organisation, organisation->name, sizeof spec->organisation);
  if (organisation->tier != HBW_TIER_OF_CLASS)
    spec->tier = (HbwTier) organisation->tier;
}

static void
fill_prompt (HbwRequestSpec *spec, const HbwClass *class, const HbwAsk *ask)
{
  spec->prompt_tokens = ask->prompt_tokens;
  spec->part_count = ask->part_count;
  memcpy (spec->parts, ask->parts, sizeof spec->parts);
  if (ask->part_count > 0)
    spec->prefix = ask->parts[0].hash;
  spec->cost_tokens = class->expected_tokens;
  if (ask->prompt_tokens > 0)
    spec->cost_tokens = MAX (1, ask->answer_tokens);
}

static void
fill_bounds (HbwRequestSpec *spec, const HbwEndpoint *endpoint, const HbwAsk *ask)
{
  spec->timeout_us = endpoint->timeout_us;
  spec->deadline_us = endpoint->timeout_us;
  if (ask->deadline_us > 0)
    spec->deadline_us = MIN (spec->deadline_us, ask->deadline_us);
  spec->attempts_max = endpoint->attempts_max;
  spec->idempotent = endpoint->repeat != HBW_REPEAT_NEVER;
  spec->resumable = endpoint->repeat == HBW_REPEAT_RESUME;
}

static void
fill_fingerprint (HbwRequestSpec *spec, const HbwAsk *ask)
{
  guint64 digest = ask->digest;
  spec->fingerprint.high = XXH3_64bits_withSeed (&digest, sizeof digest, HIGH_SEED);
  spec->fingerprint.low = XXH3_64bits_withSeed (
      spec->organisation, strlen (spec->organisation), digest ^ LOW_SEED);
}

gboolean
hbw_freshness_accepts_keys (const HbwFreshness *freshness)
{
  return freshness->revocation_us == 0
         || freshness->age_us
                < freshness->revocation_us / 100 * HBW_REVOCATION_PERCENT;
}

static HbwReason
check_key (const HbwCatalogue *catalogue, const HbwFreshness *freshness,
           const HbwAsk *ask, const HbwEndpoint *endpoint,
           const HbwOrganisation **organisation)
{
  *organisation
      = ask->key != NULL ? hbw_catalogue_authenticate (catalogue, ask->key) : NULL;
  gboolean needs_key = !endpoint->anonymous && hbw_catalogue_has_keys (catalogue);
  if (!hbw_freshness_accepts_keys (freshness))
    {
      *organisation = NULL;
      return needs_key ? HBW_REASON_NO_CATALOGUE : HBW_REASON_COUNT;
    }
  if (!needs_key || *organisation != NULL)
    return HBW_REASON_COUNT;
  return freshness->age_us > HBW_DENY_AGE_US ? HBW_REASON_NO_CATALOGUE
                                             : HBW_REASON_NO_KEY;
}

HbwReason
hbw_admit (const HbwCatalogue *catalogue, const HbwFreshness *freshness,
           const HbwAsk *ask, HbwRequestSpec *spec)
{
  memset (spec, 0, sizeof *spec);
  if (catalogue == NULL)
    return HBW_REASON_NO_CATALOGUE;
  const HbwEndpoint *endpoint
      = ask->host != NULL ? hbw_catalogue_endpoint (catalogue, ask->host, ask->path)
                          : NULL;
  if (endpoint == NULL)
    return freshness->age_us > HBW_DENY_AGE_US ? HBW_REASON_NO_CATALOGUE
                                               : HBW_REASON_NO_ENDPOINT;
  const HbwOrganisation *organisation;
  HbwReason reason = check_key (catalogue, freshness, ask, endpoint, &organisation);
  if (reason != HBW_REASON_COUNT)
    return reason;
  const HbwClass *class = hbw_catalogue_class (catalogue, endpoint->class_name);
  const HbwEndpointTarget *target = choose_target (endpoint, ask->draw);
  if (class == NULL || target == NULL)
    return HBW_REASON_NO_SERVER;
  fill_class (spec, class);
  fill_organisation (spec, organisation);
  fill_prompt (spec, class, ask);
  fill_bounds (spec, endpoint, ask);
  fill_fingerprint (spec, ask);
  g_strlcpy (spec->pool, target->pool, sizeof spec->pool);
  return HBW_REASON_COUNT;
}
