/*
 * admission - admission control and the parameters of a request
 *
 * A pure function of the active catalogue, its age and what the caller sent.  While
 * this instance is cut off from the store, it may get a burst of requests with a key
 * that was just revoked, or for an endpoint that was just added.  Such requests are
 * refused for lack of a recent catalogue, not as an unknown key or endpoint.
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
  guint max_tokens; /* maximum; 0 if not given */
  guint part_count;
  HbwPromptPart parts[HBW_PROMPT_PARTS_MAX];
  guint64 digest; /* of the path and the body */
  guint32 random; /* random number, to select one of the pools */
} HbwAdmissionInput;

/* Age of the active catalogue. */
typedef struct
{
  gint64 age_us;                  /* since it was last confirmed to be the newest */
  gint64 max_revocation_delay_us; /* a revoked key must be refused within this time;
                           0 is no bound */
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
