#include "hornbeamwall/core/request_spec.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>
#include <xxhash.h>

/* Number of bytes at the start of a body that represent its prompt prefix. */
#define PREFIX_BYTES 512

static const char *
select_class_name (const HbwOrganisation *organisation,
                   const HbwRequestSpecInput *input)
{
  if (input->class_name != NULL)
    return input->class_name;
  return g_ptr_array_index (organisation->class_names, 0);
}

static gboolean
parse_flag (const char *text, gboolean fallback, gboolean *is_valid)
{
  if (text == NULL)
    return fallback;
  gboolean is_true = g_ascii_strcasecmp (text, "true") == 0;
  if (!is_true && g_ascii_strcasecmp (text, "false") != 0)
    *is_valid = FALSE;
  return is_true;
}

static gint64
parse_deadline (const char *text, gint64 fallback_us, gboolean *is_valid)
{
  if (text == NULL)
    return fallback_us;
  guint64 milliseconds;
  if (!g_ascii_string_to_unsigned (text, 10, 1, HBW_DEADLINE_MAX_MS, &milliseconds,
                                   NULL))
    {
      *is_valid = FALSE;
      return fallback_us;
    }
  return (gint64) milliseconds * HBW_US_PER_MS;
}

static HbwFingerprint
compute_fingerprint (const char *organisation, const HbwRequestSpecInput *input)
{
  XXH64_hash_t seed = XXH64 (organisation, strlen (organisation), 0);
  seed = XXH64 (input->path, strlen (input->path), seed);
  XXH128_hash_t hash = XXH3_128bits_withSeed (input->body, input->body_length, seed);
  const HbwFingerprint fingerprint = { hash.high64, hash.low64 };
  return fingerprint;
}

static void
set_class (HbwRequestSpec *spec, const HbwClass *class,
           const HbwRequestSpecInput *input)
{
  g_strlcpy (spec->class_name, class->name, sizeof spec->class_name);
  spec->tier = class->tier;
  spec->class_tier = class->tier;
  spec->queue_bound = class->queue_bound;
  spec->first_token_target_us = class->first_token_target_us;
  spec->inter_token_target_us = class->inter_token_target_us;
  spec->cost_tokens = class->expected_tokens;
  if (input->max_tokens > 0 && input->max_tokens < class->expected_tokens)
    spec->cost_tokens = (guint) input->max_tokens;
}

HbwRequestSpecResult
hbw_request_spec_fill (HbwRequestSpec *spec, const HbwCatalogue *catalogue,
                       const HbwOrganisation *organisation,
                       const HbwRequestSpecInput *input, HbwError *error)
{
  memset (spec, 0, sizeof *spec);
  const HbwPool *pool = input->pool != NULL
                            ? hbw_catalogue_find_pool (catalogue, input->pool)
                            : NULL;
  if (pool == NULL)
    {
      hbw_error_set (error, HBW_ERROR_NOT_FOUND,
                     "name one of the models or services that /v1/models lists");
      return HBW_REQUEST_SPEC_NO_POOL;
    }
  const char *class_name = select_class_name (organisation, input);
  const HbwClass *class = hbw_catalogue_find_class (catalogue, class_name);
  if (class == NULL)
    {
      hbw_error_set (error, HBW_ERROR_NOT_FOUND,
                     "name a class of the catalogue in Hornbeamwall-Class");
      return HBW_REQUEST_SPEC_NO_CLASS;
    }
  if (!hbw_organisation_allows_class (organisation, class_name))
    {
      hbw_error_set (error, HBW_ERROR_USAGE,
                     "use a class that the catalogue lists for organisation %s",
                     organisation->name);
      return HBW_REQUEST_SPEC_CLASS_FORBIDDEN;
    }
  gboolean is_valid = TRUE;
  set_class (spec, class, input);
  spec->idempotent = parse_flag (input->idempotent, pool->idempotent, &is_valid);
  spec->deadline_us
      = parse_deadline (input->deadline_ms, class->deadline_us, &is_valid);
  spec->weight = organisation->weight;
  spec->fingerprint = compute_fingerprint (organisation->name, input);
  if (!pool->is_service && input->body_length > 0)
    spec->prefix_hash
        = XXH3_64bits (input->body, MIN (input->body_length, PREFIX_BYTES));
  g_strlcpy (spec->organisation, organisation->name, sizeof spec->organisation);
  g_strlcpy (spec->pool, pool->name, sizeof spec->pool);
  if (is_valid)
    return HBW_REQUEST_SPEC_OK;
  hbw_error_set (error, HBW_ERROR_USAGE,
                 "give Hornbeamwall-Idempotent as true or false and "
                 "Hornbeamwall-Deadline-Ms as a number from 1 to %d",
                 HBW_DEADLINE_MAX_MS);
  return HBW_REQUEST_SPEC_BAD_HEADER;
}
