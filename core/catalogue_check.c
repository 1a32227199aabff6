#include "hornbeamwall/core/catalogue_check.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/common/json_reader.h"

#include <string.h>

/* Separates the path from the text in a line of an HbwErrorReport. */
#define REPORT_SEPARATOR ": found "

/* Separates the found value from the hint. */
#define HINT_SEPARATOR "; "

/* Precedes the text that the JSON library quotes. */
#define QUOTE_SEPARATOR " near '"

typedef struct
{
  const HbwCatalogue *catalogue;
  json_t *root;
  const HbwCheckSettings *settings;
  GPtrArray *findings;
} Check;

static const char *const kind_names[] = {
  [HBW_FINDING_INVALID] = "invalid",
  [HBW_FINDING_ENDPOINT_HIDDEN] = "endpoint_hidden",
  [HBW_FINDING_HOST_UNREACHABLE] = "host_unreachable",
  [HBW_FINDING_NO_TARGET] = "no_target",
  [HBW_FINDING_NO_KEY] = "no_key",
  [HBW_FINDING_CLASS_UNUSABLE] = "class_unusable",
  [HBW_FINDING_POOL_UNUSED] = "pool_unused",
  [HBW_FINDING_DEADLINE_TOO_SHORT] = "deadline_too_short",
  [HBW_FINDING_GAP_ABOVE_TIMEOUT] = "gap_above_timeout",
  [HBW_FINDING_ATTEMPTS_UNUSABLE] = "attempts_unusable",
  [HBW_FINDING_HEADER_ABOVE_BODY] = "header_above_body",
  [HBW_FINDING_PRICE_MISSING] = "price_missing",
  [HBW_FINDING_KEY_REPEATED] = "key_repeated",
  [HBW_FINDING_IGNORED] = "ignored",
};
G_STATIC_ASSERT (G_N_ELEMENTS (kind_names) == HBW_FINDING_COUNT);

static void
finding_free (gpointer data)
{
  HbwFinding *finding = data;
  g_free (finding->path);
  g_free (finding->text);
  g_free (finding);
}

static char *
make_path (const char *section, const char *name, const char *member)
{
  char *escaped = hbw_json_pointer_escape (name);
  char *path = g_strconcat ("/", section, "/", escaped, member, NULL);
  g_free (escaped);
  return path;
}

/* Adds a warning about MEMBER (a JSON pointer, "" for the entry itself) of the entry
   NAME of SECTION. */
static void G_GNUC_PRINTF (6, 7)
    warn (const Check *check, HbwFindingKind kind, const char *section,
          const char *name, const char *member, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  char *path = make_path (section, name, member);
  hbw_findings_add (check->findings, HBW_SEVERITY_WARNING, kind, path, "%s", text);
  g_free (path);
  g_free (text);
}

/* --- errors ---------------------------------------------------------------------
 */

/* Returns whether TEXT, which begins with "found VALUE", shows a string, a list or
   an object outside the sections that have no keys.  The operator may have put a key
   there. */
static gboolean
may_show_key (const char *path, const char *text)
{
  static const char *const sections[]
      = { "/classes/", "/pools/", "/endpoints/", "/caller_limits/" };
  for (gsize i = 0; i < G_N_ELEMENTS (sections); i++)
    if (g_str_has_prefix (path, sections[i]))
      return FALSE;
  return strpbrk (text, "\"[{") != NULL;
}

/* Returns the hint after VALUE, with its separator, or NULL.  The value may contain
   the separator, and is cut if it is long. */
static const char *
find_hint (const char *value)
{
  json_error_t position;
  gsize length = HBW_ERROR_FOUND_MAX;
  if (strlen (value) < length || !g_str_has_prefix (value + length, HINT_SEPARATOR))
    {
      json_t *parsed
          = json_loads (value, JSON_DECODE_ANY | JSON_DISABLE_EOF_CHECK, &position);
      json_decref (parsed);
      if (parsed == NULL)
        return NULL;
      length = (gsize) position.position;
    }
  return strstr (value + length, HINT_SEPARATOR);
}

/* The JSON library quotes the text around an error, which may be a key. */
static void
add_plain_line (GPtrArray *findings, const char *line)
{
  const char *quoted = strstr (line, QUOTE_SEPARATOR);
  gsize length = quoted != NULL ? (gsize) (quoted - line) : strlen (line);
  hbw_findings_add (findings, HBW_SEVERITY_ERROR, HBW_FINDING_INVALID, "", "%.*s",
                    (int) length, line);
}

static void
add_report_line (GPtrArray *findings, const char *line, gboolean has_keys)
{
  const char *found = strstr (line, REPORT_SEPARATOR);
  if (found == NULL)
    {
      add_plain_line (findings, line);
      return;
    }
  char *path = g_strndup (line, (gsize) (found - line));
  const char *text = found + strlen (": ");
  const char *hint = find_hint (text + strlen ("found "));
  if (!has_keys || !may_show_key (path, text))
    hbw_findings_add (findings, HBW_SEVERITY_ERROR, HBW_FINDING_INVALID, path, "%s",
                      text);
  else
    hbw_findings_add (findings, HBW_SEVERITY_ERROR, HBW_FINDING_INVALID, path,
                      "found a value that is not shown%s", hint != NULL ? hint : "");
  g_free (path);
}

/* --- endpoints ------------------------------------------------------------------
 */

static void
check_reachable (const Check *check, const char *name, json_t *value)
{
  const char *host = json_string_value (json_object_get (value, "host"));
  const char *prefix = json_string_value (json_object_get (value, "path_prefix"));
  char *lower = g_ascii_strdown (host, -1);
  const HbwEndpoint *found
      = hbw_catalogue_find_endpoint (check->catalogue, host, prefix);
  if (strcmp (host, lower) != 0)
    warn (check, HBW_FINDING_HOST_UNREACHABLE, "endpoints", name, "/host",
          "no request matches %s: hosts are compared in lower case", host);
  else if (found != NULL && strcmp (found->name, name) != 0)
    warn (check, HBW_FINDING_ENDPOINT_HIDDEN, "endpoints", name, "",
          "no request matches: %s has the same host and path prefix", found->name);
  g_free (lower);
}

static void
check_targets (const Check *check, const char *name, json_t *targets)
{
  size_t index;
  json_t *target;
  json_array_foreach (targets, index, target)
    {
      json_t *weight = json_object_get (target, "weight");
      if (weight == NULL || json_integer_value (weight) > 0)
        return;
    }
  warn (check, HBW_FINDING_NO_TARGET, "endpoints", name, "/targets",
        json_array_size (targets) == 0
            ? "requests are refused: there are no targets"
            : "the weight of every target is 0, so all requests go to the first");
}

static void
check_gap (const Check *check, const char *name, json_t *value)
{
  const char *class_name = json_string_value (json_object_get (value, "class"));
  const HbwClass *class = hbw_catalogue_find_class (check->catalogue, class_name);
  gint64 timeout_us
      = HBW_US_PER_MS * json_integer_value (json_object_get (value, "timeout_ms"));
  if (!json_is_true (json_object_get (value, "streaming")) || class == NULL
      || class->inter_token_target_us <= timeout_us)
    return;
  warn (check, HBW_FINDING_GAP_ABOVE_TIMEOUT, "endpoints", name, "/timeout_ms",
        "timeout of %" G_GINT64_FORMAT
        " ms is below the target between tokens, %" G_GINT64_FORMAT " ms",
        timeout_us / HBW_US_PER_MS, class->inter_token_target_us / HBW_US_PER_MS);
}

/* Returns the number of attempts, up to WANTED, that a budget which was not used yet
   allows one request.  Each request that is counted raises a budget with a
   percentage, so that it allows any number. */
static guint
count_attempts (const HbwRetryLimits *limits, guint wanted)
{
  guint attempts = 1;
  if (limits->percent > 0)
    return wanted;
  HbwRetryBudget *budget = hbw_retry_budget_create (limits);
  while (attempts < wanted
         && hbw_retry_budget_consume (budget, "", HBW_RETRY_MEMBERS_MIN, 0))
    attempts++;
  hbw_retry_budget_destroy (budget);
  return attempts;
}

static void
check_attempts (const Check *check, const char *name, json_t *value)
{
  guint wanted = (guint) json_integer_value (json_object_get (value, "attempts"));
  if (check->settings == NULL || wanted <= 1)
    return;
  guint allowed = count_attempts (&check->settings->retry_limits, wanted);
  if (allowed < wanted)
    warn (check, HBW_FINDING_ATTEMPTS_UNUSABLE, "endpoints", name, "/attempts",
          "%u attempts, but the retry budget of the settings allows %u in a window",
          wanted, allowed);
}

static void
check_endpoints (const Check *check)
{
  const char *name;
  json_t *value;
  json_object_foreach (json_object_get (check->root, "endpoints"), name, value)
    {
      check_reachable (check, name, value);
      check_targets (check, name, json_object_get (value, "targets"));
      check_gap (check, name, value);
      check_attempts (check, name, value);
    }
}

/* --- classes --------------------------------------------------------------------
 */

static gboolean
has_key (json_t *organisation)
{
  return json_array_size (json_object_get (organisation, "keys")) > 0;
}

/* Returns whether an organisation with a key may use CLASS_NAME; *ANY_KEY is set if
   there is an organisation with a key. */
static gboolean
organisations_allow (const Check *check, const char *class_name, gboolean *any_key)
{
  const char *name;
  json_t *value;
  *any_key = FALSE;
  json_object_foreach (json_object_get (check->root, "organisations"), name, value)
    {
      if (!has_key (value))
        continue;
      *any_key = TRUE;
      if (hbw_organisation_allows_class (
              hbw_catalogue_find_organisation (check->catalogue, name), class_name))
        return TRUE;
    }
  return FALSE;
}

/* An endpoint determines the class, whatever classes an organisation may use. */
static gboolean
class_is_usable (const Check *check, const char *class_name)
{
  const char *name;
  json_t *value;
  gboolean any_key;
  if (!hbw_catalogue_requires_keys (check->catalogue)
      || organisations_allow (check, class_name, &any_key))
    return TRUE;
  json_object_foreach (json_object_get (check->root, "endpoints"), name, value)
    {
      const char *used = json_string_value (json_object_get (value, "class"));
      if ((any_key || json_is_true (json_object_get (value, "anonymous")))
          && strcmp (used, class_name) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
check_classes (const Check *check)
{
  const char *name;
  json_t *value;
  json_object_foreach (json_object_get (check->root, "classes"), name, value)
    {
      const HbwClass *class = hbw_catalogue_find_class (check->catalogue, name);
      if (!class_is_usable (check, name))
        warn (check, HBW_FINDING_CLASS_UNUSABLE, "classes", name, "",
              "no organisation with a key may use this class, and no endpoint that "
              "can "
              "be called has it");
      if (class->deadline_us > 0
          && class->deadline_us < class->first_token_target_us)
        warn (check, HBW_FINDING_DEADLINE_TOO_SHORT, "classes", name, "/deadline_ms",
              "deadline of %" G_GINT64_FORMAT
              " ms is below the target to the first token, %" G_GINT64_FORMAT " ms",
              class->deadline_us / HBW_US_PER_MS,
              class->first_token_target_us / HBW_US_PER_MS);
    }
}

/* --- organisations, pools, limits -----------------------------------------------
 */

static void
check_organisations (const Check *check)
{
  const char *name;
  json_t *value;
  json_object_foreach (json_object_get (check->root, "organisations"), name, value)
    if (!has_key (value))
      warn (check, HBW_FINDING_NO_KEY, "organisations", name, "/keys",
            "the organisation has no key, so no caller can belong to it");
}

/* Returns the set of pools (borrowed names) that endpoints name. */
static GHashTable *
collect_used_pools (json_t *endpoints)
{
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);
  const char *name;
  json_t *value;
  json_object_foreach (endpoints, name, value)
    {
      size_t index;
      json_t *target;
      json_array_foreach (json_object_get (value, "targets"), index, target)
        g_hash_table_add (
            used, (char *) json_string_value (json_object_get (target, "pool")));
    }
  return used;
}

static gboolean
has_price (const HbwScaling *scaling, const char *data_centre)
{
  for (guint i = 0; i < scaling->price_count; i++)
    if (strcmp (scaling->prices[i].data_centre, data_centre) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the sorted data centres (borrowed) of the instance and of all prices. */
static GList *
list_data_centres (const Check *check, GList *pools)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  if (check->settings != NULL && check->settings->data_centre != NULL)
    g_hash_table_add (names, (char *) check->settings->data_centre);
  for (GList *item = pools; item != NULL; item = item->next)
    {
      const HbwPool *pool = hbw_catalogue_find_pool (check->catalogue, item->data);
      for (guint i = 0; pool->scaling != NULL && i < pool->scaling->price_count; i++)
        g_hash_table_add (names, pool->scaling->prices[i].data_centre);
    }
  GList *sorted
      = g_list_sort (g_hash_table_get_keys (names), (GCompareFunc) g_strcmp0);
  g_hash_table_destroy (names);
  return sorted;
}

static void
check_prices (const Check *check, const HbwPool *pool, GList *data_centres)
{
  for (GList *item = data_centres; item != NULL; item = item->next)
    if (!has_price (pool->scaling, item->data))
      warn (check, HBW_FINDING_PRICE_MISSING, "pools", pool->name, "/scaling/prices",
            "the price of %s is missing: the scaling is not used while the pool has "
            "servers there",
            (const char *) item->data);
}

static void
check_pools (const Check *check)
{
  json_t *endpoints = json_object_get (check->root, "endpoints");
  GHashTable *used = collect_used_pools (endpoints);
  GList *names = hbw_catalogue_pool_names (check->catalogue);
  GList *data_centres = list_data_centres (check, names);
  for (GList *item = names; item != NULL; item = item->next)
    {
      const HbwPool *pool = hbw_catalogue_find_pool (check->catalogue, item->data);
      /* Without endpoints, callers name pools themselves. */
      if (endpoints != NULL && !g_hash_table_contains (used, pool->name))
        warn (check, HBW_FINDING_POOL_UNUSED, "pools", pool->name, "",
              "it gets no requests: no endpoint names it");
      if (pool->scaling_error != NULL)
        hbw_findings_add_report (check->findings, pool->scaling_error, TRUE);
      if (pool->scaling != NULL)
        check_prices (check, pool, data_centres);
    }
  g_list_free (data_centres);
  g_list_free (names);
  g_hash_table_destroy (used);
}

static void
check_caller_limits (const Check *check)
{
  const HbwCallerLimits *limits = hbw_catalogue_caller_limits (check->catalogue);
  guint body_max = limits->body_max;
  if (body_max == 0 && check->settings != NULL)
    body_max = check->settings->body_max;
  if (body_max > 0 && limits->header_max > body_max)
    hbw_findings_add (check->findings, HBW_SEVERITY_WARNING,
                      HBW_FINDING_HEADER_ABOVE_BODY, "/caller_limits/header_max",
                      "header limit of %u bytes is above the body limit, %u bytes",
                      limits->header_max, body_max);
}

GPtrArray *
hbw_findings_create (void)
{
  return g_ptr_array_new_with_free_func (finding_free);
}

void
hbw_findings_add (GPtrArray *findings, HbwSeverity severity, HbwFindingKind kind,
                  const char *path, const char *format, ...)
{
  HbwFinding *finding = g_new0 (HbwFinding, 1);
  va_list arguments;
  finding->severity = severity;
  finding->kind = kind;
  finding->path = g_strdup (path);
  va_start (arguments, format);
  finding->text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_ptr_array_add (findings, finding);
}

void
hbw_findings_add_report (GPtrArray *findings, const char *report, gboolean has_keys)
{
  char **lines = g_strsplit (report, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    add_report_line (findings, *line, has_keys);
  g_strfreev (lines);
}

guint
hbw_findings_count (const GPtrArray *findings, HbwSeverity severity)
{
  guint count = 0;
  for (guint i = 0; i < findings->len; i++)
    {
      const HbwFinding *finding = g_ptr_array_index (findings, i);
      count += finding->severity == severity;
    }
  return count;
}

const char *
hbw_finding_kind_name (HbwFindingKind kind)
{
  return (guint) kind < HBW_FINDING_COUNT ? kind_names[kind] : "unknown";
}

char *
hbw_json_pointer_escape (const char *key)
{
  GString *escaped = g_string_new (key);
  g_string_replace (escaped, "~", "~0", 0);
  g_string_replace (escaped, "/", "~1", 0);
  return g_string_free (escaped, FALSE);
}

void
hbw_catalogue_check (const HbwCatalogue *catalogue, json_t *root,
                     const HbwCheckSettings *settings, GPtrArray *findings)
{
  const Check check = { catalogue, root, settings, findings };
  check_classes (&check);
  check_pools (&check);
  check_organisations (&check);
  check_endpoints (&check);
  check_caller_limits (&check);
}
