/*
 * catalogue - immutable snapshot of classes, pools, organisations and endpoints
 *
 * A catalogue is parsed from the platform's catalogue document, validated as a
 * whole, and never changed afterwards.  It is reference-counted and may be read from
 * any thread.
 */
#ifndef HORNBEAMWALL_CORE_CATALOGUE_H
#define HORNBEAMWALL_CORE_CATALOGUE_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/capacity/capacity_scaling.h"
#include "hornbeamwall/core/types.h"

/* Maximum size of a document that comes from outside, in bytes, as limited by the
   platform's store. */
#define HBW_DOCUMENT_SIZE_MAX (1024 * 1024)

/* Maximum size of a catalogue, in bytes.  One that is made from a document of the
   platform is longer than that: each of its keys becomes a hash. */
#define HBW_CATALOGUE_SIZE_MAX (16 * 1024 * 1024)

/* Size of a host name, in bytes, including the terminating NUL. */
#define HBW_HOSTNAME_MAX 256

typedef struct
{
  char name[HBW_NAME_MAX];
  HbwTier tier;
  gint64 first_token_target_us;
  gint64 inter_token_target_us;
  gint64 deadline_us;    /* default deadline of a request; 0 is none */
  guint queue_bound;     /* maximum number of waiting requests in a shard */
  guint expected_tokens; /* initial estimate of a request's cost */
} HbwClass;

typedef struct
{
  char name[HBW_NAME_MAX];
  gboolean is_service; /* a plain service, not a model pool */
  gboolean idempotent; /* default for requests that do not specify it */
  HbwScaling *scaling; /* by which its servers are ordered; NULL: they are not */
  char *scaling_error; /* why the catalogue's scaling is left out, or NULL */
  guint engine_memory_tokens; /* memory of each of its engines; 0 if unknown */
} HbwPool;

typedef struct
{
  guint requests_per_s; /* 0 is no limit, here and below */
  guint tokens_per_s;
  guint in_progress;
} HbwLimits;

typedef struct
{
  char name[HBW_NAME_MAX];
  guint weight; /* share within a tier */
  gint tier;    /* overrides the tier of the class; HBW_TIER_FROM_CLASS: none */
  HbwLimits limits;
  GPtrArray *class_names; /* classes it may use; the first is the default */
} HbwOrganisation;

#define HBW_TIER_FROM_CLASS (-1)

/* Largest numbers in a catalogue. */
#define HBW_CATALOGUE_DURATION_MAX_MS 86400000
#define HBW_CATALOGUE_BYTES_MAX 100000000
#define HBW_ENDPOINT_ATTEMPTS_MAX 16
#define HBW_ENGINE_MEMORY_TOKENS_MAX 1000000000
#define HBW_ENDPOINT_WEIGHT_MAX 1000000

/* Size of a path prefix, in bytes, including the terminating NUL. */
#define HBW_PATH_PREFIX_MAX 1024

/* Whether an endpoint's request may be sent again after it may have run. */
typedef enum
{
  HBW_REPEAT_ALWAYS,
  HBW_REPEAT_NEVER,
  HBW_REPEAT_RESUME, /* only to continue its stream where it broke off */
} HbwRepeat;

typedef struct
{
  char pool[HBW_NAME_MAX];
  guint weight;
} HbwEndpointTarget;

/* A host and path prefix to which callers send requests of one class. */
typedef struct
{
  char name[HBW_NAME_MAX];
  char host[HBW_HOSTNAME_MAX];
  char *path_prefix;
  char class_name[HBW_NAME_MAX];
  guint target_count;
  HbwEndpointTarget *targets; /* over which the requests are split */
  HbwRepeat repeat;
  gboolean streaming;
  gboolean anonymous; /* no key is required */
  guint attempts_max; /* maximum number of servers that a request is sent to */
  gint64 timeout_us;  /* until the caller must have the complete response */
} HbwEndpoint;

/* Size limits and timeouts of requests from callers; 0 selects the default from the
   settings. */
typedef struct
{
  guint header_max; /* bytes */
  guint body_max;   /* bytes */
  gint64 header_timeout_us;
  gint64 idle_timeout_us;
} HbwCallerLimits;

typedef struct HbwCatalogue HbwCatalogue;

/* Parses and validates TEXT, the document with VERSION.  Returns a new reference, or
   NULL with all errors in the message of ERROR. */
HbwCatalogue *hbw_catalogue_parse (const char *text, gsize length, gint64 version,
                                   HbwError *error);

HbwCatalogue *hbw_catalogue_ref (HbwCatalogue *catalogue);
void hbw_catalogue_unref (HbwCatalogue *catalogue);

gint64 hbw_catalogue_version (const HbwCatalogue *catalogue);

/* Lookups return NULL if there is no such entry; the catalogue owns the result. */
const HbwClass *hbw_catalogue_find_class (const HbwCatalogue *catalogue,
                                          const char *name);
const HbwPool *hbw_catalogue_find_pool (const HbwCatalogue *catalogue,
                                        const char *name);
/* Returns the memory of each engine of the pool NAME, in tokens; 0 if unknown.
   CATALOGUE may be NULL. */
guint hbw_catalogue_engine_memory (const HbwCatalogue *catalogue, const char *name);
const HbwOrganisation *
hbw_catalogue_find_organisation (const HbwCatalogue *catalogue, const char *name);

/* Returns the organisation that owns KEY, a caller's bearer token in plain text, or
   NULL. */
const HbwOrganisation *hbw_catalogue_authenticate (const HbwCatalogue *catalogue,
                                                   const char *key);

/* Returns the endpoint of HOST (in lower case, without a port) with the longest
   prefix that matches PATH (without its query), or NULL. */
const HbwEndpoint *hbw_catalogue_find_endpoint (const HbwCatalogue *catalogue,
                                                const char *host, const char *path);

/* Returns whether endpoints that are not anonymous require a key, also if no
   organisation has one. */
gboolean hbw_catalogue_requires_keys (const HbwCatalogue *catalogue);

const HbwCallerLimits *hbw_catalogue_caller_limits (const HbwCatalogue *catalogue);

/* Returns whether ORGANISATION may send requests of class NAME. */
gboolean hbw_organisation_allows_class (const HbwOrganisation *organisation,
                                        const char *name);

/* Returns a sorted list of pool names; free it with g_list_free(). */
GList *hbw_catalogue_pool_names (const HbwCatalogue *catalogue);

/* Returns the SHA-256 of KEY in lower-case hexadecimal, as a new string. */
char *hbw_catalogue_hash_key (const char *key);

#endif
