/*
 * key_claim - one run for each Idempotency-Key, whichever instance it comes through
 *
 * A claim is written to the platform's store directly before the first attempt of a
 * request that may run once only.  Claims lie in a fixed number of objects, chosen
 * by the key's hash; each write drops those that have expired.  Without the store a
 * request with a key is refused, as not run.
 */
#ifndef HORNBEAMWALL_NET_KEY_CLAIM_H
#define HORNBEAMWALL_NET_KEY_CLAIM_H

#include "hornbeamwall/net/platform.h"

/* Objects over which claims are spread. */
#define HBW_KEY_SLOTS 4096

/* How long a key is remembered, in seconds. */
#define HBW_KEY_LIFE_S 600

/* Longest key, in bytes. */
#define HBW_KEY_MAX 200

typedef enum
{
  HBW_CLAIM_GRANTED,
  HBW_CLAIM_DUPLICATE,   /* another request has claimed the key */
  HBW_CLAIM_UNAVAILABLE, /* the store does not answer */
} HbwClaimResult;

/* Claims KEY of ORGANISATION for the request OWNER.  Blocks. */
HbwClaimResult hbw_key_claim (HbwPlatform *platform, const char *organisation,
                              const char *key, const char *owner);

/* Gives a claim back for a request that surely did not run. */
void hbw_key_release (HbwPlatform *platform, const char *organisation,
                      const char *key, const char *owner);

#endif
