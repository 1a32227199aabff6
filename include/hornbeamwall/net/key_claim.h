/*
 * key_claim - ensures that a request with an Idempotency-Key is executed only once
 *
 * Immediately before the first attempt of a request that must not be repeated, a
 * claim for its key is written to the platform's store, which all instances share.
 * Claims are spread over a fixed number of objects by the hash of the key; each
 * write removes expired claims.  If the store is unavailable, a request with a key
 * is refused as not executed.
 */
#ifndef HORNBEAMWALL_NET_KEY_CLAIM_H
#define HORNBEAMWALL_NET_KEY_CLAIM_H

#include "hornbeamwall/net/store_client.h"

/* Number of store objects over which claims are spread. */
#define HBW_KEY_CLAIM_OBJECTS 4096

/* How long a claim is kept, in seconds. */
#define HBW_KEY_CLAIM_TTL_S 600

/* Longest key, in bytes. */
#define HBW_IDEMPOTENCY_KEY_MAX 200

typedef enum
{
  HBW_CLAIM_GRANTED,
  HBW_CLAIM_DUPLICATE,   /* another request has claimed the key */
  HBW_CLAIM_UNAVAILABLE, /* the store could not be written */
} HbwClaimResult;

/* Claims KEY of ORGANISATION for the request OWNER.  Claiming a key again for the
   same owner succeeds.  Blocks. */
HbwClaimResult hbw_key_claim_acquire (HbwStoreClient *client,
                                      const char *organisation, const char *key,
                                      const char *owner);

/* Releases the claim of a request that was certainly not executed.  Blocks. */
void hbw_key_claim_release (HbwStoreClient *client, const char *organisation,
                            const char *key, const char *owner);

#endif
