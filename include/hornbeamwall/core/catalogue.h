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
  HbwLimits limits;
  GPtrArray *class_names; /* classes it may use; the first is its default */
} HbwOrganisation;

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

/* Returns whether ORGANISATION may send requests of the class NAME. */
gboolean hbw_organisation_may_use (const HbwOrganisation *organisation,
                                   const char *name);

/* Returns a new list of pool names, sorted; free with g_list_free(). */
GList *hbw_catalogue_pool_names (const HbwCatalogue *catalogue);

/* Returns the SHA-256 of KEY in lower-case hexadecimal, as a new string. */
char *hbw_catalogue_hash_key (const char *key);

#endif
