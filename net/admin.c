#include "hornbeamwall/net/admin.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/net/document_edit.h"
#include "hornbeamwall/runtime/watch.h"

#include <string.h>

/* Maximum number and idle timeout of connections from operators and the metrics
   collector. */
#define ADMIN_CONNECTIONS 64
#define ADMIN_TIMEOUT_S 30

/* How long instances have to report their document versions, in microseconds. */
#define VERSION_REPORT_WAIT_US 1000000

#define CATALOGUE_PATH "/admin/v1/catalogue"
#define STOPS_PATH "/admin/v1/stops"

struct HbwAdmin
{
  HbwControl *control;
  const HbwSettings *settings;
  HbwStoreClient *client;
  HbwHttpServer *server;
};

/* A change of one catalogue entry, or of the whole catalogue if SECTION is NULL. */
typedef struct
{
  char *section;
  char *name;
  json_t *value; /* NULL removes the entry */
} EntryChange;

typedef struct
{
  const char *name;
  gboolean add;
} StopChange;

static enum MHD_Result
respond_with_problem (HbwHttpRequest *request, guint status, const char *title,
                      const char *remedy)
{
  const HbwProblem value = { .status = status, .title = title, .remedy = remedy };
  return hbw_http_request_respond_with_problem (request, &value);
}

static enum MHD_Result
respond_with_error (HbwHttpRequest *request, const HbwError *error)
{
  static const struct
  {
    HbwErrorKind kind;
    guint status;
    const char *title;
  } responses[] = {
    { HBW_ERROR_CONFLICT, 409, "another change came first" },
    { HBW_ERROR_DOCUMENT, 422, "the document would not be valid" },
    { HBW_ERROR_NOT_FOUND, 404, "no such entry" },
  };
  hbw_log_write (HBW_LOG_ADMIN_REFUSED, error->message);
  for (gsize i = 0; i < G_N_ELEMENTS (responses); i++)
    if (responses[i].kind == error->kind)
      return respond_with_problem (request, responses[i].status, responses[i].title,
                                   error->message);
  return respond_with_problem (
      request, 503, "the platform's store did not take the change", error->message);
}

static enum MHD_Result
respond_with_query (HbwAdmin *admin, HbwHttpRequest *request, HbwQueryKind kind,
                    const char *content_type)
{
  char *text = hbw_control_query (admin->control, kind);
  enum MHD_Result result
      = hbw_http_request_respond (request, 200, content_type, text, strlen (text));
  g_free (text);
  return result;
}

static gboolean
is_authorized (HbwAdmin *admin, const HbwHttpRequest *request)
{
  const char *token = hbw_http_request_bearer_token (request);
  if (token == NULL)
    return FALSE;
  char *hash = hbw_catalogue_hash_key (token);
  gboolean equal = strcmp (hash, admin->settings->admin_token_hash) == 0;
  g_free (hash);
  return equal;
}

static gint64
expected_version (const HbwHttpRequest *request)
{
  const char *tag = hbw_http_request_header (request, "If-Match");
  if (tag == NULL)
    return 0;
  return g_ascii_strtoll (*tag == '"' ? tag + 1 : tag, NULL, 10);
}

/* Applies an accepted document to this instance immediately; peers learn of it from
   this instance. */
static void
submit_document (HbwAdmin *admin, HbwDocumentKind kind,
                 const HbwDocumentEditResult *result)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
  event.document.kind = kind;
  event.document.version = result->version;
  event.document.body = g_bytes_new (result->body, strlen (result->body));
  hbw_control_submit (admin->control, &event, NULL);
  g_bytes_unref (event.document.body);
}

static enum MHD_Result
run_document_edit (HbwAdmin *admin, HbwHttpRequest *request, HbwDocumentKind kind,
                   HbwDocumentEdit *edit)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  edit->object_name = hbw_watch_object_name (kind);
  edit->expected_version = expected_version (request);
  HbwDocumentEditResult result = hbw_document_edit_run (admin->client, edit, &error);
  if (!result.accepted)
    return respond_with_error (request, &error);
  submit_document (admin, kind, &result);
  char text[128];
  g_snprintf (text, sizeof text, "{\"revision\":%" G_GINT64_FORMAT "}",
              result.version);
  hbw_log_write (HBW_LOG_ADMIN_CHANGE, text);
  g_free (result.body);
  return hbw_http_request_respond_with_etag (request, 200, "application/json", text,
                                             result.version);
}

/* --- catalogue ----------------------------------------------------------- */

static gboolean
check_catalogue (const char *text, gsize length, HbwError *error)
{
  HbwCatalogue *catalogue = hbw_catalogue_parse (text, length, 1, error);
  if (catalogue == NULL)
    return FALSE;
  hbw_catalogue_unref (catalogue);
  return TRUE;
}

static gboolean
change_entry (json_t *root, void *data, HbwError *error)
{
  const EntryChange *change = data;
  if (change->section == NULL)
    {
      json_t *changes = json_incref (json_object_get (root, "changes"));
      json_object_clear (root);
      json_object_update (root, change->value);
      if (changes != NULL)
        json_object_set_new (root, "changes", changes);
      return TRUE;
    }
  json_t *section = json_object_get (root, change->section);
  if (!json_is_object (section)
      || (change->value == NULL && json_object_get (section, change->name) == NULL))
    {
      hbw_error_set (error, HBW_ERROR_NOT_FOUND,
                     "name classes/NAME, pools/NAME or organisations/NAME");
      return FALSE;
    }
  if (change->value != NULL)
    json_object_set (section, change->name, change->value);
  else
    json_object_del (section, change->name);
  return TRUE;
}

static gboolean
parse_entry_path (const char *path, EntryChange *change)
{
  if (*path == '\0')
    return TRUE;
  char **parts = g_strsplit (path + 1, "/", 2);
  gboolean valid = *path == '/' && parts[0] != NULL && parts[1] != NULL
                   && *parts[0] != '\0' && *parts[1] != '\0';
  if (valid)
    {
      change->section = g_strdup (parts[0]);
      change->name = g_strdup (parts[1]);
    }
  g_strfreev (parts);
  return valid;
}

static enum MHD_Result
edit_catalogue (HbwAdmin *admin, HbwHttpRequest *request, EntryChange *change)
{
  gboolean is_delete = strcmp (request->method, "DELETE") == 0;
  if (!is_delete)
    change->value = json_loadb ((const char *) request->body->data,
                                request->body->len, JSON_REJECT_DUPLICATES, NULL);
  if (!is_delete && !json_is_object (change->value))
    return respond_with_problem (request, 400, "request body not valid",
                                 "send a JSON object");
  if (is_delete && change->section == NULL)
    return respond_with_problem (request, 405, "the catalogue cannot be removed",
                                 "remove its entries");
  HbwDocumentEdit edit
      = { .initial_text = "{\"classes\":{},\"pools\":{},\"organisations\":{}}",
          .change = change_entry,
          .data = change,
          .check = check_catalogue };
  return run_document_edit (admin, request, HBW_DOCUMENT_CATALOGUE, &edit);
}

static enum MHD_Result
read_catalogue (HbwAdmin *admin, HbwHttpRequest *request, const EntryChange *entry)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwStoreResponse response = hbw_store_client_get (
      admin->client, hbw_watch_object_name (HBW_DOCUMENT_CATALOGUE), &error);
  if (response.result == HBW_STORE_NOT_FOUND)
    return respond_with_problem (request, 404, "there is no catalogue yet",
                                 "put one");
  if (response.result != HBW_STORE_OK)
    return respond_with_error (request, &error);
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  json_t *root = json_loadb (text, length, 0, NULL);
  json_t *value
      = entry->section == NULL
            ? root
            : json_object_get (json_object_get (root, entry->section), entry->name);
  char *dump = value != NULL ? json_dumps (value, JSON_INDENT (2)) : NULL;
  enum MHD_Result result
      = dump != NULL ? hbw_http_request_respond_with_etag (
            request, 200, "application/json", dump, response.version)
                     : respond_with_problem (request, 404, "no such entry",
                                             "name classes/NAME, pools/NAME or "
                                             "organisations/NAME");
  free (dump);
  json_decref (root);
  g_bytes_unref (response.body);
  return result;
}

static enum MHD_Result
handle_catalogue (HbwAdmin *admin, HbwHttpRequest *request)
{
  EntryChange change = { NULL, NULL, NULL };
  enum MHD_Result result;
  if (!parse_entry_path (request->path + strlen (CATALOGUE_PATH), &change))
    result = respond_with_problem (
        request, 404, "no such entry",
        "name classes/NAME, pools/NAME or organisations/NAME");
  else if (strcmp (request->method, "GET") == 0)
    result = read_catalogue (admin, request, &change);
  else if (strcmp (request->method, "PUT") == 0
           || strcmp (request->method, "DELETE") == 0)
    result = edit_catalogue (admin, request, &change);
  else
    result = respond_with_problem (request, 405, "method not allowed",
                                   "use GET, PUT or DELETE");
  json_decref (change.value);
  g_free (change.section);
  g_free (change.name);
  return result;
}

/* --- planned stops ------------------------------------------------------- */

static gboolean
check_stops (const char *text, gsize length, HbwError *error)
{
  GHashTable *stops = hbw_directory_parse_stops (text, length, error);
  if (stops == NULL)
    return FALSE;
  g_hash_table_unref (stops);
  return TRUE;
}

static gboolean
change_stops (json_t *root, void *data, HbwError *error)
{
  const StopChange *change = data;
  json_t *stops = json_object_get (root, "stops");
  size_t index;
  json_t *value;
  gboolean found = FALSE;
  json_array_foreach (stops, index, value)
    {
      if (g_strcmp0 (json_string_value (value), change->name) != 0)
        continue;
      found = TRUE;
      if (!change->add)
        json_array_remove (stops, index--);
    }
  if (change->add && !found)
    json_array_append_new (stops, json_string (change->name));
  if (change->add || found)
    return TRUE;
  hbw_error_set (error, HBW_ERROR_NOT_FOUND, "no planned stop has this name");
  return FALSE;
}

static gboolean
document_mentions (HbwAdmin *admin, HbwDocumentKind kind, const char *name)
{
  HbwError error;
  HbwStoreResponse response
      = hbw_store_client_get (admin->client, hbw_watch_object_name (kind), &error);
  if (response.result != HBW_STORE_OK)
    return FALSE;
  gsize length;
  const char *text = g_bytes_get_data (response.body, &length);
  char *quoted = g_strdup_printf ("\"%s\"", name);
  gboolean found = g_strstr_len (text, (gssize) length, quoted) != NULL;
  g_free (quoted);
  g_bytes_unref (response.body);
  return found;
}

static enum MHD_Result
handle_stops (HbwAdmin *admin, HbwHttpRequest *request)
{
  const char *name = request->path + strlen (STOPS_PATH);
  if (strcmp (request->method, "GET") == 0 && *name == '\0')
    return respond_with_query (admin, request, HBW_QUERY_STOPS, "application/json");
  gboolean add = strcmp (request->method, "PUT") == 0;
  if ((!add && strcmp (request->method, "DELETE") != 0) || *name != '/'
      || name[1] == '\0')
    return respond_with_problem (request, 405, "method not allowed",
                                 "use PUT or DELETE with " STOPS_PATH "/NAME");
  StopChange change = { name + 1, add };
  if (add && !document_mentions (admin, HBW_DOCUMENT_SERVERS, change.name)
      && !document_mentions (admin, HBW_DOCUMENT_INSTANCES, change.name))
    return respond_with_problem (
        request, 404, "no such backend server or instance",
        "name one of the platform's lists, when its store answers");
  HbwDocumentEdit edit = { .initial_text = "{\"stops\":[]}",
                           .change = change_stops,
                           .data = &change,
                           .check = check_stops };
  return run_document_edit (admin, request, HBW_DOCUMENT_STOPS, &edit);
}

/* --- rollout ------------------------------------------------------------- */

static enum MHD_Result
handle_rollout (HbwAdmin *admin, HbwHttpRequest *request)
{
  const HbwEvent event = { .kind = HBW_EVENT_COLLECT_VERSIONS };
  hbw_control_submit (admin->control, &event, NULL);
  g_usleep (VERSION_REPORT_WAIT_US);
  return respond_with_query (admin, request, HBW_QUERY_ROLLOUT, "application/json");
}

static enum MHD_Result
handle_request (HbwHttpRequest *request, void *data)
{
  HbwAdmin *admin = data;
  if (strcmp (request->path, "/metrics") == 0)
    return respond_with_query (admin, request, HBW_QUERY_METRICS,
                               "text/plain; version=0.0.4");
  if (!is_authorized (admin, request))
    return respond_with_problem (
        request, 401, "token not known",
        "send Authorization: Bearer with the administration token");
  if (strcmp (request->path, "/admin/v1/status") == 0)
    return respond_with_query (admin, request, HBW_QUERY_STATUS, "application/json");
  if (strcmp (request->path, "/admin/v1/rollout") == 0)
    return handle_rollout (admin, request);
  if (g_str_has_prefix (request->path, CATALOGUE_PATH))
    return handle_catalogue (admin, request);
  if (g_str_has_prefix (request->path, STOPS_PATH))
    return handle_stops (admin, request);
  return respond_with_problem (request, 404, "no such path",
                               "see docs/OPERATORS.md");
}

HbwAdmin *
hbw_admin_create (HbwControl *control, const HbwSettings *settings, HbwError *error)
{
  HbwStoreClient *client
      = hbw_store_client_create (settings->platform_address, error);
  if (client == NULL)
    return NULL;
  HbwAdmin *admin = g_new0 (HbwAdmin, 1);
  admin->control = control;
  admin->settings = settings;
  admin->client = client;
  const HbwHttpServerConfig config = {
    .address = settings->admin_address,
    .connection_limit = ADMIN_CONNECTIONS,
    .timeout_s = ADMIN_TIMEOUT_S,
    .body_max = HBW_DOCUMENT_SIZE_MAX,
    .handler = handle_request,
    .data = admin,
  };
  admin->server = hbw_http_server_create (&config, error);
  if (admin->server != NULL)
    return admin;
  hbw_store_client_destroy (client);
  g_free (admin);
  return NULL;
}

void
hbw_admin_destroy (HbwAdmin *admin)
{
  hbw_http_server_destroy (admin->server);
  hbw_store_client_destroy (admin->client);
  g_free (admin);
}

guint
hbw_admin_port (const HbwAdmin *admin)
{
  return hbw_http_server_port (admin->server);
}
