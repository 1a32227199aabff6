#include "hornbeamwall/core/catalogue.h"

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/endpoint.h"

#include <stdatomic.h>
#include <string.h>

/* Limits and defaults of numbers in the catalogue. */
#define QUEUE_BOUND_MAX 100000
#define QUEUE_BOUND_DEFAULT 1000
#define TOKENS_MAX 1000000
#define EXPECTED_TOKENS_DEFAULT 256
#define RATE_MAX 100000000
#define WEIGHT_MAX 1000

/* An organisation with this entry in its list of classes may use every class. */
#define ALL_CLASSES "*"

struct HbwCatalogue
{
  atomic_int references;
  gint64 version;
  GHashTable *classes;       /* name -> HbwClass */
  GHashTable *pools;         /* name -> HbwPool */
  GHashTable *organisations; /* name -> HbwOrganisation */
  GHashTable *keys;          /* key hash -> HbwOrganisation (borrowed) */
  HbwEndpoints *endpoints;
  gboolean keys_required; /* also without organisations */
  HbwCallerLimits caller_limits;
};

static void
organisation_free (gpointer data)
{
  HbwOrganisation *organisation = data;
  g_ptr_array_free (organisation->class_names, TRUE);
  g_free (organisation);
}

static void
pool_free (gpointer data)
{
  HbwPool *pool = data;
  g_free (pool->scaling);
  g_free (pool->scaling_error);
  g_free (pool);
}

static HbwCatalogue *
catalogue_create (gint64 version)
{
  HbwCatalogue *catalogue = g_new0 (HbwCatalogue, 1);
  atomic_init (&catalogue->references, 1);
  catalogue->version = version;
  catalogue->classes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  catalogue->pools
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, pool_free);
  catalogue->organisations
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, organisation_free);
  catalogue->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  catalogue->endpoints = hbw_endpoints_create ();
  return catalogue;
}

static void
report_name (HbwErrorReport *report, const char *location, const char *name,
             const char *hint)
{
  json_t *found = json_string (name);
  hbw_error_report_add (report, location, found, hint);
  json_decref (found);
}

static gboolean
check_name (HbwErrorReport *report, const char *location, const char *name)
{
  if (hbw_is_name (name))
    return TRUE;
  report_name (report, location, name,
               "expected a name of 1 to 47 bytes without spaces, quotes, braces or "
               "slashes");
  return FALSE;
}

static gboolean
check_organisation_name (HbwErrorReport *report, const char *location,
                         const char *name)
{
  if (hbw_is_organisation_name (name))
    return TRUE;
  report_name (report, location, name,
               "expected a name of 1 to 47 bytes without quotes or backslashes");
  return FALSE;
}

static void
parse_class (HbwCatalogue *catalogue, HbwErrorReport *report, const char *name,
             json_t *value, const char *location)
{
  HbwClass *class = g_new0 (HbwClass, 1);
  g_strlcpy (class->name, name, sizeof class->name);
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  class->tier = (HbwTier) hbw_json_reader_required_int (reader, "tier", 0,
                                                        HBW_TIER_COUNT - 1);
  class->first_token_target_us
      = HBW_US_PER_MS
        * hbw_json_reader_required_int (reader, "first_token_ms", 1,
                                        HBW_CATALOGUE_DURATION_MAX_MS);
  class->inter_token_target_us
      = HBW_US_PER_MS
        * hbw_json_reader_required_int (reader, "inter_token_ms", 1,
                                        HBW_CATALOGUE_DURATION_MAX_MS);
  class->deadline_us = HBW_US_PER_MS
                       * hbw_json_reader_int (reader, "deadline_ms", 0,
                                              HBW_CATALOGUE_DURATION_MAX_MS, 0);
  class->queue_bound = (guint) hbw_json_reader_int (
      reader, "queue_bound", 1, QUEUE_BOUND_MAX, QUEUE_BOUND_DEFAULT);
  class->expected_tokens = (guint) hbw_json_reader_int (
      reader, "expected_tokens", 1, TOKENS_MAX, EXPECTED_TOKENS_DEFAULT);
  hbw_json_reader_destroy (reader);
  g_hash_table_replace (catalogue->classes, class->name, class);
}

/* An invalid scaling does not make the catalogue invalid. */
static void
parse_scaling (HbwPool *pool, HbwJsonReader *parent)
{
  json_t *value = hbw_json_reader_any (parent, "scaling");
  if (value == NULL)
    return;
  HbwErrorReport report;
  hbw_error_report_init (&report);
  char *location = hbw_json_reader_location (parent, "scaling");
  pool->scaling = hbw_scaling_parse (value, location, &report);
  if (pool->scaling == NULL)
    pool->scaling_error = g_strdup (report.text->str);
  hbw_error_report_clear (&report);
  g_free (location);
}

static void
parse_pool (HbwCatalogue *catalogue, HbwErrorReport *report, const char *name,
            json_t *value, const char *location)
{
  HbwPool *pool = g_new0 (HbwPool, 1);
  g_strlcpy (pool->name, name, sizeof pool->name);
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  char kind[16];
  hbw_json_reader_string (reader, "kind", kind, sizeof kind, NULL);
  pool->is_service = strcmp (kind, "service") == 0;
  if (!pool->is_service && strcmp (kind, "model") != 0)
    {
      char *kind_location = hbw_json_reader_location (reader, "kind");
      hbw_error_report_add (report, kind_location, json_object_get (value, "kind"),
                            "expected \"model\" or \"service\"");
      g_free (kind_location);
    }
  pool->idempotent = hbw_json_reader_bool (reader, "idempotent", !pool->is_service);
  parse_scaling (pool, reader);
  pool->engine_memory_tokens = (guint) hbw_json_reader_int (
      reader, "engine_memory_tokens", 0, HBW_ENGINE_MEMORY_TOKENS_MAX, 0);
  hbw_json_reader_destroy (reader);
  g_hash_table_replace (catalogue->pools, pool->name, pool);
}

static void
parse_key (HbwCatalogue *catalogue, HbwErrorReport *report,
           HbwOrganisation *organisation, json_t *value, const char *location)
{
  const char *hash = json_string_value (value);
  if (hash == NULL || !hbw_is_sha256_hex (hash))
    {
      hbw_error_report_add (
          report, location, value,
          "expected the SHA-256 of the key in lower-case hexadecimal");
      return;
    }
  if (!g_hash_table_insert (catalogue->keys, g_strdup (hash), organisation))
    hbw_error_report_add (report, location, value,
                          "this key is listed twice; a key must have one owner");
}

static void
parse_class_name (HbwCatalogue *catalogue, HbwErrorReport *report,
                  HbwOrganisation *organisation, json_t *value, const char *location)
{
  const char *name = json_string_value (value);
  const HbwClass *class = name != NULL ? hbw_catalogue_find_class (catalogue, name)
                                       : NULL;
  if (class == NULL && g_strcmp0 (name, ALL_CLASSES) != 0)
    hbw_error_report_add (report, location, value,
                          "expected a class of this catalogue");
  else
    g_ptr_array_add (organisation->class_names, g_strdup (name));
}

typedef void (*ParseItem) (HbwCatalogue *catalogue, HbwErrorReport *report,
                           HbwOrganisation *organisation, json_t *value,
                           const char *location);

static void
parse_list (HbwCatalogue *catalogue, HbwJsonReader *reader, HbwErrorReport *report,
            HbwOrganisation *organisation, const char *key, ParseItem parse_item)
{
  json_t *list = hbw_json_reader_member (reader, key, JSON_ARRAY, TRUE);
  size_t index;
  json_t *value;
  json_array_foreach (list, index, value)
    {
      char *list_location = hbw_json_reader_location (reader, key);
      char *location = g_strdup_printf ("%s/%zu", list_location, index);
      parse_item (catalogue, report, organisation, value, location);
      g_free (location);
      g_free (list_location);
    }
}

static void
parse_limits (HbwJsonReader *parent, HbwErrorReport *report, HbwLimits *limits)
{
  json_t *value = hbw_json_reader_member (parent, "limits", JSON_OBJECT, FALSE);
  if (value == NULL)
    return;
  char *location = hbw_json_reader_location (parent, "limits");
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  limits->requests_per_s
      = (guint) hbw_json_reader_int (reader, "requests_per_s", 0, RATE_MAX, 0);
  limits->tokens_per_s
      = (guint) hbw_json_reader_int (reader, "tokens_per_s", 0, RATE_MAX, 0);
  limits->in_progress
      = (guint) hbw_json_reader_int (reader, "in_progress", 0, RATE_MAX, 0);
  hbw_json_reader_destroy (reader);
  g_free (location);
}

static void
parse_organisation (HbwCatalogue *catalogue, HbwErrorReport *report,
                    const char *name, json_t *value, const char *location)
{
  HbwOrganisation *organisation = g_new0 (HbwOrganisation, 1);
  g_strlcpy (organisation->name, name, sizeof organisation->name);
  organisation->class_names = g_ptr_array_new_with_free_func (g_free);
  HbwJsonReader *reader = hbw_json_reader_create (report, value, location);
  organisation->weight
      = (guint) hbw_json_reader_int (reader, "weight", 1, WEIGHT_MAX, 1);
  organisation->tier = (gint) hbw_json_reader_int (
      reader, "tier", 0, HBW_TIER_COUNT - 1, HBW_TIER_FROM_CLASS);
  parse_list (catalogue, reader, report, organisation, "keys", parse_key);
  parse_list (catalogue, reader, report, organisation, "classes", parse_class_name);
  parse_limits (reader, report, &organisation->limits);
  hbw_json_reader_destroy (reader);
  if (organisation->class_names->len == 0)
    hbw_error_report_add (report, location, NULL, "expected at least one class");
  g_hash_table_replace (catalogue->organisations, organisation->name, organisation);
}

static void
parse_endpoint (HbwCatalogue *catalogue, HbwErrorReport *report, const char *name,
                json_t *value, const char *location)
{
  const HbwEndpoint *endpoint
      = hbw_endpoints_add (catalogue->endpoints, report, name, value, location);
  if (hbw_catalogue_find_class (catalogue, endpoint->class_name) == NULL)
    hbw_error_report_add (report, location, json_object_get (value, "class"),
                          "expected a class of this catalogue");
  for (guint i = 0; i < endpoint->target_count; i++)
    if (hbw_catalogue_find_pool (catalogue, endpoint->targets[i].pool) == NULL)
      hbw_error_report_add (report, location, json_object_get (value, "targets"),
                            "expected pools of this catalogue");
}

static void
parse_caller_limits (HbwCatalogue *catalogue, HbwJsonReader *parent,
                     HbwErrorReport *report)
{
  json_t *value
      = hbw_json_reader_member (parent, "caller_limits", JSON_OBJECT, FALSE);
  if (value == NULL)
    return;
  HbwCallerLimits *limits = &catalogue->caller_limits;
  HbwJsonReader *reader = hbw_json_reader_create (report, value, "/caller_limits");
  limits->header_max = (guint) hbw_json_reader_int (reader, "header_max", 0,
                                                    HBW_CATALOGUE_BYTES_MAX, 0);
  limits->body_max = (guint) hbw_json_reader_int (reader, "body_max", 0,
                                                  HBW_CATALOGUE_BYTES_MAX, 0);
  limits->header_timeout_us
      = HBW_US_PER_MS
        * hbw_json_reader_int (reader, "header_timeout_ms", 0,
                               HBW_CATALOGUE_DURATION_MAX_MS, 0);
  limits->idle_timeout_us = HBW_US_PER_MS
                            * hbw_json_reader_int (reader, "idle_timeout_ms", 0,
                                                   HBW_CATALOGUE_DURATION_MAX_MS, 0);
  hbw_json_reader_destroy (reader);
}

typedef gboolean (*CheckName) (HbwErrorReport *report, const char *location,
                               const char *name);
typedef void (*ParseEntry) (HbwCatalogue *catalogue, HbwErrorReport *report,
                            const char *name, json_t *value, const char *location);

static void
parse_section (HbwCatalogue *catalogue, HbwJsonReader *reader,
               HbwErrorReport *report, const char *key, gboolean required,
               CheckName check, ParseEntry parse_entry)
{
  json_t *section = hbw_json_reader_member (reader, key, JSON_OBJECT, required);
  const char *name;
  json_t *value;
  json_object_foreach (section, name, value)
    {
      char *location = g_strdup_printf ("/%s/%s", key, name);
      if (check (report, location, name))
        parse_entry (catalogue, report, name, value, location);
      g_free (location);
    }
}

/* Reads additions to pools from CHANGES, beside the change ids of
   net/document_edit.c: earlier versions reject an unknown member of a pool, but not
   of this array. */
static void
parse_pool_additions (HbwCatalogue *catalogue, json_t *changes)
{
  size_t index;
  json_t *addition;
  json_array_foreach (changes, index, addition)
    {
      const char *name = json_string_value (json_object_get (addition, "pool"));
      json_int_t tokens
          = json_integer_value (json_object_get (addition, "engine_memory_tokens"));
      HbwPool *pool
          = name != NULL ? g_hash_table_lookup (catalogue->pools, name) : NULL;
      if (pool != NULL && tokens > 0 && tokens <= HBW_ENGINE_MEMORY_TOKENS_MAX)
        pool->engine_memory_tokens = (guint) tokens;
    }
}

static void
parse_catalogue (HbwCatalogue *catalogue, HbwErrorReport *report, json_t *root)
{
  HbwJsonReader *reader = hbw_json_reader_create (report, root, "");
  json_t *changes = hbw_json_reader_member (reader, "changes", JSON_ARRAY, FALSE);
  parse_section (catalogue, reader, report, "classes", TRUE, check_name,
                 parse_class);
  parse_section (catalogue, reader, report, "pools", TRUE, check_name, parse_pool);
  parse_section (catalogue, reader, report, "organisations", TRUE,
                 check_organisation_name, parse_organisation);
  parse_section (catalogue, reader, report, "endpoints", FALSE, check_name,
                 parse_endpoint);
  catalogue->keys_required = hbw_json_reader_bool (reader, "keys_required", FALSE);
  parse_caller_limits (catalogue, reader, report);
  parse_pool_additions (catalogue, changes);
  hbw_json_reader_destroy (reader);
}

HbwCatalogue *
hbw_catalogue_parse (const char *text, gsize length, gint64 version, HbwError *error)
{
  if (length > HBW_CATALOGUE_SIZE_MAX)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT,
                     "catalogue has %" G_GSIZE_FORMAT " bytes; the maximum is %d",
                     length, HBW_CATALOGUE_SIZE_MAX);
      return NULL;
    }
  json_t *root = hbw_json_parse (text, length, HBW_ERROR_DOCUMENT, error);
  if (root == NULL)
    return NULL;
  HbwCatalogue *catalogue = catalogue_create (version);
  HbwErrorReport report;
  hbw_error_report_init (&report);
  parse_catalogue (catalogue, &report, root);
  json_decref (root);
  if (report.error_count > 0)
    {
      hbw_error_set (error, HBW_ERROR_DOCUMENT, "%s", report.text->str);
      g_clear_pointer (&catalogue, hbw_catalogue_unref);
    }
  hbw_error_report_clear (&report);
  return catalogue;
}

HbwCatalogue *
hbw_catalogue_ref (HbwCatalogue *catalogue)
{
  atomic_fetch_add (&catalogue->references, 1);
  return catalogue;
}

void
hbw_catalogue_unref (HbwCatalogue *catalogue)
{
  if (atomic_fetch_sub (&catalogue->references, 1) != 1)
    return;
  hbw_endpoints_destroy (catalogue->endpoints);
  g_hash_table_destroy (catalogue->keys);
  g_hash_table_destroy (catalogue->organisations);
  g_hash_table_destroy (catalogue->pools);
  g_hash_table_destroy (catalogue->classes);
  g_free (catalogue);
}

gint64
hbw_catalogue_version (const HbwCatalogue *catalogue)
{
  return catalogue->version;
}

const HbwClass *
hbw_catalogue_find_class (const HbwCatalogue *catalogue, const char *name)
{
  return g_hash_table_lookup (catalogue->classes, name);
}

const HbwPool *
hbw_catalogue_find_pool (const HbwCatalogue *catalogue, const char *name)
{
  return g_hash_table_lookup (catalogue->pools, name);
}

const HbwOrganisation *
hbw_catalogue_find_organisation (const HbwCatalogue *catalogue, const char *name)
{
  return g_hash_table_lookup (catalogue->organisations, name);
}

const HbwOrganisation *
hbw_catalogue_authenticate (const HbwCatalogue *catalogue, const char *key)
{
  char *hash = hbw_catalogue_hash_key (key);
  const HbwOrganisation *organisation = g_hash_table_lookup (catalogue->keys, hash);
  g_free (hash);
  return organisation;
}

const HbwEndpoint *
hbw_catalogue_find_endpoint (const HbwCatalogue *catalogue, const char *host,
                             const char *path)
{
  return hbw_endpoints_find (catalogue->endpoints, host, path);
}

gboolean
hbw_catalogue_requires_keys (const HbwCatalogue *catalogue)
{
  return catalogue->keys_required
         || g_hash_table_size (catalogue->organisations) > 0;
}

const HbwCallerLimits *
hbw_catalogue_caller_limits (const HbwCatalogue *catalogue)
{
  return &catalogue->caller_limits;
}

gboolean
hbw_organisation_allows_class (const HbwOrganisation *organisation, const char *name)
{
  for (guint i = 0; i < organisation->class_names->len; i++)
    {
      const char *allowed = g_ptr_array_index (organisation->class_names, i);
      if (strcmp (allowed, name) == 0 || strcmp (allowed, ALL_CLASSES) == 0)
        return TRUE;
    }
  return FALSE;
}

guint
hbw_catalogue_engine_memory (const HbwCatalogue *catalogue, const char *name)
{
  const HbwPool *pool
      = catalogue != NULL ? hbw_catalogue_find_pool (catalogue, name) : NULL;
  return pool != NULL ? pool->engine_memory_tokens : 0;
}

GList *
hbw_catalogue_pool_names (const HbwCatalogue *catalogue)
{
  return g_list_sort (g_hash_table_get_keys (catalogue->pools),
                      (GCompareFunc) g_strcmp0);
}

char *
hbw_catalogue_hash_key (const char *key)
{
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
}
