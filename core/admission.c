#include "hornbeamwall/core/admission.h"

#include <string.h>
#include <xxhash.h>

/* Seeds of the two halves of a fingerprint. */
#define HIGH_SEED 1
#define LOW_SEED 2

/* Fair-share weight of requests without an organisation. */
#define ANONYMOUS_WEIGHT 1

/* Organisation name of requests without a key, which share one flow. */
#define ANONYMOUS_ORGANISATION ""

static const HbwEndpointTarget *
select_target (const HbwEndpoint *endpoint, guint32 random)
{
  guint64 total = 0;
  for (guint i = 0; i < endpoint->target_count; i++)
    total += endpoint->targets[i].weight;
  if (total == 0)
    return endpoint->target_count > 0 ? &endpoint->targets[0] : NULL;
  guint64 offset = random % total;
  for (guint i = 0; i < endpoint->target_count; i++)
    {
      if (offset < endpoint->targets[i].weight)
        return &endpoint->targets[i];
      offset -= endpoint->targets[i].weight;
    }
  return NULL;
}

static void
set_class (HbwRequestSpec *spec, const HbwClass *class)
{
  g_strlcpy (spec->class_name, class->name, sizeof spec->class_name);
  spec->tier = class->tier;
  spec->class_tier = class->tier;
  spec->queue_bound = class->queue_bound;
  spec->first_token_target_us = class->first_token_target_us;
  spec->inter_token_target_us = class->inter_token_target_us;
}

static void
set_organisation (HbwRequestSpec *spec, const HbwOrganisation *organisation)
{
  if (organisation == NULL)
    {
      spec->weight = ANONYMOUS_WEIGHT;
      g_strlcpy (spec->organisation, ANONYMOUS_ORGANISATION,
                 sizeof spec->organisation);
      return;
    }
  spec->weight = organisation->weight;
  g_strlcpy (spec->organisation, organisation->name, sizeof spec->organisation);
  if (organisation->tier != HBW_TIER_FROM_CLASS)
    spec->tier = (HbwTier) organisation->tier;
}

static void
set_prompt (HbwRequestSpec *spec, const HbwClass *class,
            const HbwAdmissionInput *input)
{
  spec->prompt_tokens = input->prompt_tokens;
  spec->part_count = input->part_count;
  memcpy (spec->parts, input->parts, sizeof spec->parts);
  spec->part_ids = input->part_ids;
  if (input->part_count > 0)
    spec->prefix_hash = input->parts[0].hash;
  spec->max_tokens = input->max_tokens;
  spec->length_hint = input->length_hint;
  spec->cost_tokens = class->expected_tokens;
  if (input->prompt_tokens > 0)
    spec->cost_tokens = MAX (1, input->max_tokens);
}

static void
set_limits (HbwRequestSpec *spec, const HbwEndpoint *endpoint,
            const HbwAdmissionInput *input)
{
  spec->timeout_us = endpoint->timeout_us;
  spec->deadline_us = endpoint->timeout_us;
  if (input->deadline_us > 0)
    spec->deadline_us = MIN (spec->deadline_us, input->deadline_us);
  spec->attempts_max = endpoint->attempts_max;
  spec->idempotent = endpoint->repeat != HBW_REPEAT_NEVER;
  spec->resumable = endpoint->repeat == HBW_REPEAT_RESUME;
}

/* Without a required key, the caller is identified by the key as it was sent: whose
   it is may not be known while the catalogue is old. */
static void
set_fingerprint (HbwRequestSpec *spec, const HbwAdmissionInput *input,
                 gboolean needs_key)
{
  guint64 digest = input->digest;
  const char *key = input->key != NULL ? input->key : "";
  const char *caller = needs_key ? spec->organisation : key;
  spec->fingerprint.high = XXH3_64bits_withSeed (&digest, sizeof digest, HIGH_SEED);
  spec->fingerprint.low
      = XXH3_64bits_withSeed (caller, strlen (caller), digest ^ LOW_SEED);
}

gboolean
hbw_freshness_accepts_keys (const HbwFreshness *freshness)
{
  return freshness->max_revocation_delay_us == 0
         || freshness->age_us
                < freshness->max_revocation_delay_us / 100 * HBW_REVOCATION_PERCENT;
}

static gboolean
requires_key (const HbwCatalogue *catalogue, const HbwEndpoint *endpoint)
{
  return !endpoint->anonymous && hbw_catalogue_requires_keys (catalogue);
}

static HbwReason
check_key (const HbwCatalogue *catalogue, const HbwFreshness *freshness,
           const HbwAdmissionInput *input, const HbwEndpoint *endpoint,
           const HbwOrganisation **organisation)
{
  *organisation = input->key != NULL
                      ? hbw_catalogue_authenticate (catalogue, input->key)
                      : NULL;
  gboolean needs_key = requires_key (catalogue, endpoint);
  if (!hbw_freshness_accepts_keys (freshness))
    {
      *organisation = NULL;
      return needs_key ? HBW_REASON_NO_CATALOGUE : HBW_REASON_COUNT;
    }
  if (!needs_key || *organisation != NULL)
    return HBW_REASON_COUNT;
  return freshness->age_us > HBW_DENY_MAX_AGE_US ? HBW_REASON_NO_CATALOGUE
                                                 : HBW_REASON_NO_KEY;
}

HbwReason
hbw_admission_check (const HbwCatalogue *catalogue, const HbwFreshness *freshness,
                     const HbwAdmissionInput *input, HbwRequestSpec *spec)
{
  memset (spec, 0, sizeof *spec);
  if (catalogue == NULL)
    return HBW_REASON_NO_CATALOGUE;
  const HbwEndpoint *endpoint
      = input->host != NULL
            ? hbw_catalogue_find_endpoint (catalogue, input->host, input->path)
            : NULL;
  if (endpoint == NULL)
    return freshness->age_us > HBW_DENY_MAX_AGE_US ? HBW_REASON_NO_CATALOGUE
                                                   : HBW_REASON_NO_ENDPOINT;
  const HbwOrganisation *organisation;
  HbwReason reason
      = check_key (catalogue, freshness, input, endpoint, &organisation);
  if (reason != HBW_REASON_COUNT)
    return reason;
  const HbwClass *class = hbw_catalogue_find_class (catalogue, endpoint->class_name);
  const HbwEndpointTarget *target = select_target (endpoint, input->random);
  if (class == NULL || target == NULL)
    return HBW_REASON_NO_SERVER;
  set_class (spec, class);
  set_organisation (spec, organisation);
  set_prompt (spec, class, input);
  set_limits (spec, endpoint, input);
  set_fingerprint (spec, input, requires_key (catalogue, endpoint));
  g_strlcpy (spec->pool, target->pool, sizeof spec->pool);
  return HBW_REASON_COUNT;
}
