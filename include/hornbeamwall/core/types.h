/*
 * types - identities and small value types that all of core shares
 *
 * Times are microseconds on the runtime's clock; durations are microseconds.
 */
#ifndef HORNBEAMWALL_CORE_TYPES_H
#define HORNBEAMWALL_CORE_TYPES_H

#include <glib.h>

/* Longest name of a class, pool, organisation, server or data centre, in bytes,
   with its end mark. */
#define HBW_NAME_MAX 48

/* Service tiers; 0 has precedence over 1, and 1 over 2. */
#define HBW_TIER_COUNT 3
typedef guint8 HbwTier;

/* A request of one caller: the start number of the instance that holds the
   caller's connection, and a number that instance gave. */
typedef struct
{
  guint64 instance;
  guint64 sequence;
} HbwRequestId;

/* Hash of an organisation and a request body. */
typedef struct
{
  guint64 high;
  guint64 low;
} HbwFingerprint;

typedef enum
{
  HBW_OUTCOME_COMPLETE,      /* whole answer with its end marker */
  HBW_OUTCOME_NOT_CONNECTED, /* nothing was sent */
  HBW_OUTCOME_REFUSED,       /* the backend server said it did not run it */
  HBW_OUTCOME_BROKEN,        /* sent, then cut, truncated or mixed up */
  HBW_OUTCOME_TIMED_OUT,     /* sent, no complete answer in time */
  HBW_OUTCOME_CANCELLED,     /* the caller went away */
  HBW_OUTCOME_UNUSED,        /* the grant was given back or lapsed */
  HBW_OUTCOME_DENIED,        /* nothing was sent, and nothing may be */
  HBW_OUTCOME_MISDIRECTED,   /* another server has the address; it did not run it */
  HBW_OUTCOME_FAILED, /* a whole answer that reports the server's own failure */
  HBW_OUTCOME_COUNT,
} HbwOutcome;

/* Why a request ended without a backend server's answer. */
typedef enum
{
  HBW_REASON_QUEUE_FULL,
  HBW_REASON_DEADLINE,
  HBW_REASON_LIMIT,
  HBW_REASON_NO_SERVER,
  HBW_REASON_QUARANTINED,
  HBW_REASON_BROKEN,
  HBW_REASON_DRAINING,
  HBW_REASON_DUPLICATE_KEY,
  HBW_REASON_OVERLOADED,
  HBW_REASON_NO_STORE,
  HBW_REASON_TIMEOUT,      /* the operator's limit for the request is over */
  HBW_REASON_NO_CATALOGUE, /* nothing is known yet, or it is too old to go by */
  HBW_REASON_NO_ENDPOINT,
  HBW_REASON_NO_KEY,
  HBW_REASON_COUNT,
} HbwReason;

const char *hbw_outcome_name (HbwOutcome outcome);
const char *hbw_reason_name (HbwReason reason);

/* Returns whether OUTCOME proves that the request did not run. */
gboolean hbw_outcome_is_unrun (HbwOutcome outcome);

guint hbw_request_id_hash (gconstpointer id);
gboolean hbw_request_id_equal (gconstpointer a, gconstpointer b);

gboolean hbw_fingerprint_equal (const HbwFingerprint *a, const HbwFingerprint *b);

/* Weight of MEMBER for KEY in rendezvous hashing: the highest one wins. */
guint64 hbw_rendezvous_weight (guint64 member, const char *key);

#endif
