#include "hornbeamwall/net/caller_listener.h"

#include "hornbeamwall/core/request_spec.h"
#include "hornbeamwall/net/key_claim.h"
#include "hornbeamwall/net/relay.h"

#include <jansson.h>
#include <string.h>

#define SERVICES_PREFIX "/services/"

struct HbwCallerListener
{
  HbwControl *control;
  const HbwSettings *settings;
  HbwHttpServer *server;
};

static enum MHD_Result
respond_with_problem (HbwHttpRequest *request, guint status, const char *title,
                      const char *remedy)
{
  const HbwProblem value
      = { .status = status, .title = title, .remedy = remedy, .executed = "no" };
  return hbw_http_request_respond_with_problem (request, &value);
}

static enum MHD_Result
respond_not_ready (HbwHttpRequest *request)
{
  const HbwProblem value = { .status = 503,
                             .title = "this instance has no catalogue yet",
                             .remedy = "send it again after retry_after_ms",
                             .executed = "no",
                             .retry_after_us = HBW_US_PER_S };
  return hbw_http_request_respond_with_problem (request, &value);
}

static enum MHD_Result
respond_with_spec_error (HbwHttpRequest *request, HbwRequestSpecResult result,
                         const HbwError *error)
{
  switch (result)
    {
    case HBW_REQUEST_SPEC_NO_POOL:
      return respond_with_problem (request, 404, "no such model or service",
                                   error->message);
    case HBW_REQUEST_SPEC_NO_CLASS:
      return respond_with_problem (request, 400, "no such class", error->message);
    case HBW_REQUEST_SPEC_CLASS_FORBIDDEN:
      return respond_with_problem (request, 403, "class not allowed",
                                   error->message);
    default:
      return respond_with_problem (request, 400, "request header not valid",
                                   error->message);
    }
}

/* Returns the request body for the engine, with the tier as its priority. */
static char *
format_engine_body (json_t *root, HbwTier tier)
{
  json_object_set_new (root, "priority", json_integer (tier));
  return json_dumps (root, JSON_COMPACT);
}

/* Fills in CONFIG from the request.  Returns FALSE if the request is refused; the
   response is then queued and RESULT set. */
static gboolean
fill_relay_config (HbwCallerListener *listener, HbwHttpRequest *request,
                   const HbwCatalogue *catalogue,
                   const HbwOrganisation *organisation, HbwRequestSpecInput *input,
                   HbwRelayConfig *config, enum MHD_Result *result)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  input->class_name = hbw_http_request_header (request, "Hornbeamwall-Class");
  input->idempotent = hbw_http_request_header (request, "Hornbeamwall-Idempotent");
  input->deadline_ms = hbw_http_request_header (request, "Hornbeamwall-Deadline-Ms");
  input->path = config->path;
  input->body = (const char *) request->body->data;
  input->body_length = request->body->len;
  HbwRequestSpecResult filled = hbw_request_spec_fill (&config->spec, catalogue,
                                                       organisation, input, &error);
  if (filled != HBW_REQUEST_SPEC_OK)
    {
      *result = respond_with_spec_error (request, filled, &error);
      return FALSE;
    }
  const char *key = hbw_http_request_header (request, "Idempotency-Key");
  if (key != NULL && strlen (key) > HBW_IDEMPOTENCY_KEY_MAX)
    {
      *result = respond_with_problem (request, 400, "Idempotency-Key too long",
                                      "send a shorter key");
      return FALSE;
    }
  if (!config->spec.idempotent)
    config->idempotency_key = key;
  config->control = listener->control;
  config->settings = listener->settings;
  return TRUE;
}

static enum MHD_Result
handle_completion (HbwCallerListener *listener, HbwHttpRequest *request,
                   const HbwCatalogue *catalogue,
                   const HbwOrganisation *organisation)
{
  json_t *root = json_loadb ((const char *) request->body->data, request->body->len,
                             JSON_REJECT_DUPLICATES, NULL);
  const char *model = json_string_value (json_object_get (root, "model"));
  if (model == NULL)
    {
      json_decref (root);
      return respond_with_problem (request, 400, "request body not valid",
                                   "send a JSON object with a model");
    }
  HbwRequestSpecInput input = { .pool = model };
  input.max_tokens = json_integer_value (json_object_get (root, "max_tokens"));
  HbwRelayConfig config = { .path = request->path };
  enum MHD_Result result;
  gboolean filled = fill_relay_config (listener, request, catalogue, organisation,
                                       &input, &config, &result);
  char *body = filled ? format_engine_body (root, config.spec.tier) : NULL;
  json_decref (root);
  if (!filled)
    return result;
  config.body = body;
  config.body_length = strlen (body);
  result = hbw_relay_run (&config, request);
  free (body);
  return result;
}

static enum MHD_Result
handle_service (HbwCallerListener *listener, HbwHttpRequest *request,
                const HbwCatalogue *catalogue, const HbwOrganisation *organisation)
{
  const char *name = request->target + strlen (SERVICES_PREFIX);
  const char *rest = strpbrk (name, "/?");
  if (rest == NULL)
    rest = name + strlen (name);
  char *service = g_strndup (name, (gsize) (rest - name));
  char *path = g_strconcat (*rest == '/' ? "" : "/", rest, NULL);
  HbwRequestSpecInput input = { .pool = service };
  HbwRelayConfig config = { .path = path };
  config.body = (const char *) request->body->data;
  config.body_length = request->body->len;
  const HbwPool *pool = hbw_catalogue_find_pool (catalogue, service);
  enum MHD_Result result;
  if (pool != NULL && !pool->is_service)
    result = respond_with_problem (request, 404, "no such service",
                                   "call models under /v1/chat/completions");
  else if (fill_relay_config (listener, request, catalogue, organisation, &input,
                              &config, &result))
    result = hbw_relay_run (&config, request);
  g_free (path);
  g_free (service);
  return result;
}

static enum MHD_Result
handle_models (HbwHttpRequest *request, const HbwCatalogue *catalogue)
{
  json_t *list = json_array ();
  GList *names = hbw_catalogue_pool_names (catalogue);
  for (GList *item = names; item != NULL; item = item->next)
    json_array_append_new (
        list, json_pack ("{s:s, s:s}", "id", item->data, "object",
                         hbw_catalogue_find_pool (catalogue, item->data)->is_service
                             ? "service"
                             : "model"));
  g_list_free (names);
  json_t *root = json_pack ("{s:s, s:o}", "object", "list", "data", list);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  enum MHD_Result result = hbw_http_request_respond (
      request, 200, "application/json", text, strlen (text));
  free (text);
  return result;
}

static enum MHD_Result
route_request (HbwCallerListener *listener, HbwHttpRequest *request,
               const HbwCatalogue *catalogue, const HbwOrganisation *organisation)
{
  gboolean is_post = strcmp (request->method, "POST") == 0;
  gboolean is_get = strcmp (request->method, "GET") == 0;
  if (g_str_has_prefix (request->target, SERVICES_PREFIX))
    return handle_service (listener, request, catalogue, organisation);
  if (is_get && strcmp (request->path, "/v1/models") == 0)
    return handle_models (request, catalogue);
  if (is_post
      && (strcmp (request->path, "/v1/chat/completions") == 0
          || strcmp (request->path, "/v1/completions") == 0))
    return handle_completion (listener, request, catalogue, organisation);
  return respond_with_problem (
      request, 404, "no such path",
      "use /v1/chat/completions, /v1/completions, /v1/models or "
      "/services/NAME/");
}

static enum MHD_Result
handle_health (HbwCallerListener *listener, HbwHttpRequest *request)
{
  static const char text[] = "ok\n";
  gboolean wants_ready = strcmp (request->path, "/readyz") == 0;
  if (wants_ready && !hbw_control_is_ready (listener->control))
    return respond_not_ready (request);
  return hbw_http_request_respond (request, 200, "text/plain", text, strlen (text));
}

static enum MHD_Result
handle_request (HbwHttpRequest *request, void *data)
{
  HbwCallerListener *listener = data;
  if (strcmp (request->path, "/healthz") == 0
      || strcmp (request->path, "/readyz") == 0)
    return handle_health (listener, request);
  HbwCatalogue *catalogue
      = hbw_snapshot_acquire (hbw_control_snapshot (listener->control));
  if (catalogue == NULL)
    return respond_not_ready (request);
  const char *key = hbw_http_request_bearer_token (request);
  const HbwOrganisation *organisation
      = key != NULL ? hbw_catalogue_authenticate (catalogue, key) : NULL;
  enum MHD_Result result
      = organisation != NULL
            ? route_request (listener, request, catalogue, organisation)
            : respond_with_problem (
                request, 401, "key not known",
                "send Authorization: Bearer with a key of the catalogue");
  hbw_catalogue_unref (catalogue);
  return result;
}

HbwCallerListener *
hbw_caller_listener_create (HbwControl *control, const HbwSettings *settings,
                            HbwError *error)
{
  HbwCallerListener *listener = g_new0 (HbwCallerListener, 1);
  listener->control = control;
  listener->settings = settings;
  const HbwHttpServerConfig config = {
    .address = settings->caller_address,
    .connection_limit = settings->connection_limit,
    .timeout_s = settings->caller_timeout_s,
    .body_max = settings->request_body_max,
    .handler = handle_request,
    .data = listener,
  };
  listener->server = hbw_http_server_create (&config, error);
  if (listener->server == NULL)
    g_clear_pointer (&listener, g_free);
  return listener;
}

void
hbw_caller_listener_quiesce (HbwCallerListener *listener)
{
  hbw_http_server_quiesce (listener->server);
}

void
hbw_caller_listener_destroy (HbwCallerListener *listener)
{
  hbw_http_server_destroy (listener->server);
  g_free (listener);
}

guint
hbw_caller_listener_port (const HbwCallerListener *listener)
{
  return hbw_http_server_port (listener->server);
}
