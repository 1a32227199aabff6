#include "hornbeamwall/net/admin.h"

#include "hornbeamwall/net/platform.h"

#include <string.h>

/* Connections and idle time of operators and of the metrics collector. */
#define ADMIN_CONNECTIONS 64
#define ADMIN_TIMEOUT_S 30

struct HbwAdmin
{
  HbwControl *control;
  const HbwSettings *settings;
  HbwPlatform *platform;
  HbwHttp *http;
};

static enum MHD_Result
problem (HbwHttpRequest *request, guint status, const char *title,
         const char *remedy)
{
  const HbwProblem value = { .status = status, .title = title, .remedy = remedy };
  return hbw_http_problem (request, &value);
}

static enum MHD_Result
answer_query (HbwAdmin *admin, HbwHttpRequest *request, HbwQueryKind kind,
              const char *content_type)
{
  char *text = hbw_control_query (admin->control, kind);
  enum MHD_Result result
      = hbw_http_answer (request, 200, content_type, text, strlen (text));
  g_free (text);
  return result;
}

static gboolean
is_authorized (HbwAdmin *admin, const HbwHttpRequest *request)
{
  const char *token = hbw_http_bearer (request);
  if (token == NULL)
    return FALSE;
  char *hash = hbw_catalogue_hash_key (token);
  gboolean equal = strcmp (hash, admin->settings->admin_token_hash) == 0;
  g_free (hash);
  return equal;
}

static enum MHD_Result
handle (HbwHttpRequest *request, void *data)
{
  HbwAdmin *admin = data;
  if (strcmp (request->path, "/metrics") == 0)
    return answer_query (admin, request, HBW_QUERY_METRICS,
                         "text/plain; version=0.0.4");
  if (!is_authorized (admin, request))
    return problem (request, 401, "token not known",
                    "send Authorization: Bearer with the administration token");
  if (strcmp (request->path, "/admin/v1/status") == 0)
    return answer_query (admin, request, HBW_QUERY_STATUS, "application/json");
  return problem (request, 404, "no such path", "see docs/OPERATORS.md");
}

HbwAdmin *
hbw_admin_create (HbwControl *control, const HbwSettings *settings, HbwError *error)
{
  HbwPlatform *platform = hbw_platform_create (settings->platform_address, error);
  if (platform == NULL)
    return NULL;
  HbwAdmin *admin = g_new0 (HbwAdmin, 1);
  admin->control = control;
  admin->settings = settings;
  admin->platform = platform;
  const HbwHttpConfig config = {
    .address = settings->admin_address,
    .connection_limit = ADMIN_CONNECTIONS,
    .timeout_s = ADMIN_TIMEOUT_S,
    .body_max = HBW_DOCUMENT_MAX,
    .handler = handle,
    .data = admin,
  };
  admin->http = hbw_http_create (&config, error);
  if (admin->http != NULL)
    return admin;
  hbw_platform_destroy (platform);
  g_free (admin);
  return NULL;
}

void
hbw_admin_destroy (HbwAdmin *admin)
{
  hbw_http_destroy (admin->http);
  hbw_platform_destroy (admin->platform);
  g_free (admin);
}

guint
hbw_admin_port (const HbwAdmin *admin)
{
  return hbw_http_port (admin->http);
}
