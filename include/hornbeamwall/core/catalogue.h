/*
 * catalogue - classes, pools and organisations, as one immutable snapshot
 *
 * A catalogue is parsed from the platform's catalogue document, checked as a
 * whole, and never changed afterwards.  It is counted by references and may be
 * read from any thread.
 */
#ifndef HORNBEAMWALL_CORE_CATALOGUE_H
#define HORNBEAMWALL_CORE_CATALOGUE_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/types.h"

/* Largest catalogue document, in bytes: a value of the platform's store. */
#define HBW_DOCUMENT_MAX (1024 * 1024)

/* Longest name of a host, in bytes, with its end mark. */
#define HBW_HOSTNAME_MAX 256

typedef struct
{
  char name[HBW_NAME_MAX];
  HbwTier tier;
  gint64 first_token_us; /* target */
  gint64 inter_token_us; /* target */
  gint64 deadline_us;    /* default deadline of a request; 0 is none */
  guint queue_bound;     /* waiting requests a shard */
  guint expected_tokens; /* cost estimate before anything is measured */
} HbwClass;

typedef struct
{
  char name[HBW_NAME_MAX];
  gboolean is_service; /* a plain service, not a model pool */
  gboolean idempotent; /* whether its calls may be repeated by default */
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
  gint tier;    /* goes before that of the class; HBW_TIER_OF_CLASS is none */
  HbwLimits limits;
  GPtrArray *class_names; /* classes it may use; the first is its default */
} HbwOrganisation;

#define HBW_TIER_OF_CLASS (-1)

/* How often a request of an endpoint may run. */
typedef enum
{
  HBW_REPEAT_ALWAYS,
  HBW_REPEAT_NEVER,
  HBW_REPEAT_RESUME, /* only from where its stream broke off */
} HbwRepeat;

/* Most pools that one endpoint's requests are split over. */
#define HBW_ENDPOINT_TARGETS_MAX 8

typedef struct
{
  char pool[HBW_NAME_MAX];
  guint weight;
} HbwEndpointTarget;

/* Where callers send requests of one class: a host, and a prefix of the path. */
typedef struct
{
  char name[HBW_NAME_MAX];
  char host[HBW_HOSTNAME_MAX];
  char *path_prefix;
  char class_name[HBW_NAME_MAX];
  guint target_count;
  HbwEndpointTarget targets[HBW_ENDPOINT_TARGETS_MAX];
  HbwRepeat repeat;
  gboolean streaming;
  gboolean anonymous; /* needs no key */
  guint attempts_max; /* servers that one request may be sent to */
  gint64 timeout_us;  /* until the caller must have a whole answer */
} HbwEndpoint;

/* What callers may send and how long they may take; 0 is the default of the
   settings. */
typedef struct
{
  guint header_max; /* bytes */
  guint body_max;   /* bytes */
  gint64 header_timeout_us;
  gint64 idle_timeout_us;
} HbwCallerLimits;

typedef struct HbwCatalogue HbwCatalogue;

/* Parses and checks TEXT, the document's VERSION.  Returns NULL with every error
   in one message where it is not acceptable. */
HbwCatalogue *hbw_catalogue_parse (const char *text, gsize length, gint64 version,
                                   HbwError *error);

HbwCatalogue *hbw_catalogue_ref (HbwCatalogue *catalogue);
void hbw_catalogue_unref (HbwCatalogue *catalogue);

gint64 hbw_catalogue_version (const HbwCatalogue *catalogue);

/* Look-ups return NULL where there is no such entry. */
const HbwClass *hbw_catalogue_class (const HbwCatalogue *catalogue,
                                     const char *name);
const HbwPool *hbw_catalogue_pool (const HbwCatalogue *catalogue, const char *name);
const HbwOrganisation *hbw_catalogue_organisation (const HbwCatalogue *catalogue,
                                                   const char *name);

/* Returns the organisation that owns KEY, a caller's bearer token in the clear. */
const HbwOrganisation *hbw_catalogue_authenticate (const HbwCatalogue *catalogue,
                                                   const char *key);

/* Returns the endpoint of HOST (in lower case, without a port) whose prefix is the
   longest that begins PATH (without its query), or NULL. */
const HbwEndpoint *hbw_catalogue_endpoint (const HbwCatalogue *catalogue,
                                           const char *host, const char *path);

/* Returns whether any organisation has a key. */
gboolean hbw_catalogue_has_keys (const HbwCatalogue *catalogue);

const HbwCallerLimits *hbw_catalogue_caller_limits (const HbwCatalogue *catalogue);

/* Returns whether ORGANISATION may send requests of the class NAME. */
gboolean hbw_organisation_may_use (const HbwOrganisation *organisation,
                                   const char *name);

/* Returns a new list of pool names, sorted; free with g_list_free(). */
GList *hbw_catalogue_pool_names (const HbwCatalogue *catalogue);

/* Returns the SHA-256 of KEY in lower-case hexadecimal, as a new string. */
char *hbw_catalogue_hash_key (const char *key);

#endif
