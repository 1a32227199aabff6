/*
 * admission - what a caller's request asks for, and whether it may go on
 *
 * A pure function of the catalogue in force, how sure this instance is that it is
 * the newest one, and what the caller sent.  It answers a burst of requests with a
 * key that was just taken away, or for an endpoint that was just added, while this
 * instance is cut off from the store: what it cannot know it does not claim.
 */
#ifndef HORNBEAMWALL_CORE_ADMISSION_H
#define HORNBEAMWALL_CORE_ADMISSION_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/message.h"

/* What the caller sent; strings are borrowed and NULL where it sent nothing. */
typedef struct
{
  const char *host; /* in lower case, without a port */
  const char *path; /* as it came, without its query */
  const char *key;
  gint64 deadline_us; /* until the caller stops waiting; 0 is not said */
  guint prompt_tokens;
  guint answer_tokens; /* most; 0 is not said */
  guint part_count;
  HbwPromptPart parts[HBW_PROMPT_PARTS_MAX];
  guint64 digest; /* of the path and the body */
  guint32 draw;   /* random, for the split over pools */
} HbwAsk;

/* How old the knowledge of the catalogue is. */
typedef struct
{
  gint64 age_us;        /* since the newest version was last confirmed */
  gint64 revocation_us; /* a key must be refused so long after it was taken away;
                           0 is no bound */
} HbwFreshness;

/* Catalogue knowledge older than this refuses no caller for what is not in it. */
#define HBW_DENY_AGE_US (G_GINT64_CONSTANT (1900) * 1000)

/* Part of the bound on revocation after which keys are not accepted any more. */
#define HBW_REVOCATION_PERCENT 85

/* Fills in SPEC and returns HBW_REASON_COUNT where the request may go on; otherwise
   returns why not.  CATALOGUE may be NULL. */
HbwReason hbw_admit (const HbwCatalogue *catalogue, const HbwFreshness *freshness,
                     const HbwAsk *ask, HbwRequestSpec *spec);

/* Returns whether keys are still accepted with knowledge of that age. */
gboolean hbw_freshness_accepts_keys (const HbwFreshness *freshness);

#endif
