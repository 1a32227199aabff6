/*
 * admission - admission control and the parameters of a request
 *
 * For requests of the platform interface; see request_spec.h for the native one.
 * The setting "interface" selects one of the two.
 *
 * A pure function of the active catalogue, its age and what the caller sent.  An
 * instance that is cut off from the store cannot know whether a key was just revoked
 * or an endpoint just added, and may get many such requests at once.  As soon as its
 * catalogue is too old, it refuses them for lack of a recent catalogue, not as an
 * unknown key or endpoint.
 */
#ifndef HORNBEAMWALL_CORE_ADMISSION_H
#define HORNBEAMWALL_CORE_ADMISSION_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/message.h"

/* What the caller sent; strings are borrowed, and NULL if absent. */
typedef struct
{
  const char *host; /* in lower case, without a port */
  const char *path; /* as received, without the query */
  const char *key;
  gint64 deadline_us; /* until the caller stops waiting; 0 if not given */
  guint prompt_tokens;
  guint max_tokens;  /* maximum length of the response; 0 if not given */
  guint length_hint; /* estimate of that length; 0 if not given */
  guint part_count;
  HbwPromptPart parts[HBW_PROMPT_PARTS_MAX];
  HbwPartIds part_ids;
  guint64 digest; /* of the path, with the query, and the body */
  guint32 random; /* random number, to select one of the pools */
} HbwAdmissionInput;

/* Age of the active catalogue. */
typedef struct
{
  gint64 age_us;                  /* since it was last confirmed to be the newest */
  gint64 max_revocation_delay_us; /* bound for refusing a revoked key; 0 is none */
} HbwFreshness;

/* Up to this age of the catalogue, a key or endpoint that it lacks is refused as
   unknown. */
#define HBW_DENY_MAX_AGE_US (G_GINT64_CONSTANT (1900) * 1000)

/* Percentage of the revocation bound at which keys are no longer accepted. */
#define HBW_REVOCATION_PERCENT 85

/* Fills in SPEC and returns HBW_REASON_COUNT if the request is admitted; otherwise
   returns the reason for the refusal.  CATALOGUE may be NULL. */
HbwReason hbw_admission_check (const HbwCatalogue *catalogue,
                               const HbwFreshness *freshness,
                               const HbwAdmissionInput *input, HbwRequestSpec *spec);

/* Returns whether keys are still accepted at that age of the catalogue. */
gboolean hbw_freshness_accepts_keys (const HbwFreshness *freshness);

#endif
