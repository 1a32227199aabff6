/*
 * types - identifiers and small value types shared by all of core
 *
 * Times are microseconds on the runtime's clock; durations are microseconds.
 */
#ifndef HORNBEAMWALL_CORE_TYPES_H
#define HORNBEAMWALL_CORE_TYPES_H

#include <glib.h>

/* Size of the name of a class, pool, organisation, server or data centre, in bytes,
   including the terminating NUL. */
#define HBW_NAME_MAX 48

/* Service tiers; a lower number has precedence. */
#define HBW_TIER_COUNT 3
typedef guint8 HbwTier;

/* Identifies a request: the identity of the instance that holds the caller's
   connection, and a sequence number assigned by that instance. */
typedef struct
{
  guint64 instance;
  guint64 sequence;
} HbwRequestId;

/* Hash of a request's caller, path and body. */
typedef struct
{
  guint64 high;
  guint64 low;
} HbwFingerprint;

typedef enum
{
  HBW_OUTCOME_COMPLETE,      /* complete response with its end marker */
  HBW_OUTCOME_NOT_CONNECTED, /* nothing was sent */
  HBW_OUTCOME_REFUSED,       /* the backend server reported it as not executed */
  HBW_OUTCOME_BROKEN,        /* sent; the response was cut off or is invalid */
  HBW_OUTCOME_TIMED_OUT,     /* sent; no complete response in time */
  HBW_OUTCOME_CANCELLED,     /* the caller disconnected */
  HBW_OUTCOME_UNUSED,        /* the grant was returned or has expired */
  HBW_OUTCOME_DENIED,        /* nothing was sent, and a retry is not allowed */
  HBW_OUTCOME_MISDIRECTED,   /* another server has the address; not executed */
  HBW_OUTCOME_FAILED, /* a complete response that reports an error of the server */
  HBW_OUTCOME_COUNT,
} HbwOutcome;

/* Why a request ended without a response from a backend server. */
typedef enum
{
  HBW_REASON_QUEUE_FULL,
  HBW_REASON_DEADLINE,
  HBW_REASON_LIMIT, /* a limit of the organisation */
  HBW_REASON_NO_SERVER,
  HBW_REASON_QUARANTINED,
  HBW_REASON_BROKEN, /* an attempt failed that may have run */
  HBW_REASON_DRAINING,
  HBW_REASON_DUPLICATE_KEY, /* idempotency key that was used before */
  HBW_REASON_OVERLOADED,
  HBW_REASON_NO_STORE,
  HBW_REASON_TIMEOUT,      /* the endpoint's timeout has passed */
  HBW_REASON_NO_CATALOGUE, /* none is known yet, or it is too old to decide */
  HBW_REASON_NO_ENDPOINT,
  HBW_REASON_NO_KEY,         /* API key missing or unknown */
  HBW_REASON_STREAM_UNKNOWN, /* nobody says which version began the stream */
  HBW_REASON_VERSION_GONE,   /* no server of that version is in service */
  HBW_REASON_COUNT,
} HbwReason;

/* Returns whether TEXT may be the name of a class, a pool or an endpoint: 1 to
   HBW_NAME_MAX - 1 bytes without spaces, quotes, braces or slashes. */
gboolean hbw_is_name (const char *text);

/* The same for an organisation, whose name may also hold spaces, braces and slashes.
 */
gboolean hbw_is_organisation_name (const char *text);

const char *hbw_outcome_name (HbwOutcome outcome);
const char *hbw_reason_name (HbwReason reason);

/* Returns whether OUTCOME proves that the request did not run. */
gboolean hbw_outcome_proves_not_executed (HbwOutcome outcome);

guint hbw_request_id_hash (gconstpointer id);
gboolean hbw_request_id_equal (gconstpointer a, gconstpointer b);

gboolean hbw_fingerprint_equal (const HbwFingerprint *a, const HbwFingerprint *b);

/* Returns the weight of MEMBER for KEY in rendezvous hashing; the member with the
   highest weight is selected. */
guint64 hbw_rendezvous_weight (guint64 member, const char *key);

#endif
