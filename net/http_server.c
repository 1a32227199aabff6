#include "hornbeamwall/net/http_server.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/common/clock.h"

#include <jansson.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

/* Stack size of a connection's thread and memory for its headers, in bytes. */
#define CONNECTION_STACK_SIZE ((size_t) 256 * 1024)
#define CONNECTION_MEMORY_SIZE ((size_t) 32 * 1024)

struct HbwHttpServer
{
  struct MHD_Daemon *daemon;
  HbwHttpHandler handler;
  void *data;
  gsize body_max;
  MHD_socket quiesced_socket;
};

static void *
begin_request (void *data G_GNUC_UNUSED, const char *uri,
               struct MHD_Connection *connection)
{
  HbwHttpRequest *request = g_new0 (HbwHttpRequest, 1);
  request->connection = connection;
  request->target = g_strdup (uri);
  request->body = g_byte_array_new ();
  return request;
}

static void
end_request (void *data G_GNUC_UNUSED,
             struct MHD_Connection *connection G_GNUC_UNUSED, void **state,
             enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
  HbwHttpRequest *request = *state;
  if (request == NULL)
    return;
  g_byte_array_free (request->body, TRUE);
  g_free (request->target);
  g_free (request);
  *state = NULL;
}

static enum MHD_Result
respond_with_error (HbwHttpRequest *request, guint status, const char *title,
                    const char *remedy)
{
  const HbwProblem problem
      = { .status = status, .title = title, .remedy = remedy, .executed = "no" };
  return hbw_http_request_respond_with_problem (request, &problem);
}

static enum MHD_Result
handle_request (void *data, struct MHD_Connection *connection G_GNUC_UNUSED,
                const char *url, const char *method,
                const char *version G_GNUC_UNUSED, const char *upload,
                size_t *upload_size, void **state)
{
  HbwHttpServer *server = data;
  HbwHttpRequest *request = *state;
  request->method = method;
  request->path = url;
  if (!request->headers_seen)
    {
      request->headers_seen = TRUE;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      if (request->body->len + *upload_size > server->body_max)
        request->body_too_large = TRUE;
      else
        g_byte_array_append (request->body, (const guint8 *) upload,
                             (guint) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (request->body_too_large)
    return respond_with_error (request, 413, "request body too large",
                               "send a smaller body");
  if (strlen (request->target) > HBW_PATH_MAX)
    return respond_with_error (request, 414, "path too long", "send a shorter path");
  return server->handler (request, server->data);
}

HbwHttpServer *
hbw_http_server_create (const HbwHttpServerConfig *config, HbwError *error)
{
  struct sockaddr_in address;
  HbwHttpServer *server = g_new0 (HbwHttpServer, 1);
  server->handler = config->handler;
  server->data = config->data;
  server->body_max = config->body_max;
  server->quiesced_socket = MHD_INVALID_SOCKET;
  if (hbw_address_to_socket (config->address, &address))
    server->daemon = MHD_start_daemon (
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD
            | MHD_USE_POLL | MHD_USE_ITC,
        0, NULL, NULL, handle_request, server, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_URI_LOG_CALLBACK, begin_request, NULL,
        MHD_OPTION_NOTIFY_COMPLETED, end_request, NULL, MHD_OPTION_CONNECTION_LIMIT,
        config->connection_limit, MHD_OPTION_CONNECTION_TIMEOUT, config->timeout_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_SIZE,
        MHD_OPTION_THREAD_STACK_SIZE, CONNECTION_STACK_SIZE,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (server->daemon != NULL)
    return server;
  hbw_error_set (error, HBW_ERROR_NETWORK,
                 "cannot listen on %s; use a free IP address and port of this host",
                 config->address);
  g_free (server);
  return NULL;
}

void
hbw_http_server_quiesce (HbwHttpServer *server)
{
  if (server->quiesced_socket == MHD_INVALID_SOCKET)
    server->quiesced_socket = MHD_quiesce_daemon (server->daemon);
}

void
hbw_http_server_destroy (HbwHttpServer *server)
{
  MHD_stop_daemon (server->daemon);
  if (server->quiesced_socket != MHD_INVALID_SOCKET)
    close (server->quiesced_socket);
  g_free (server);
}

guint
hbw_http_server_port (const HbwHttpServer *server)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info != NULL ? info->port : 0;
}

const char *
hbw_http_request_header (const HbwHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

const char *
hbw_http_request_bearer_token (const HbwHttpRequest *request)
{
  static const char scheme[] = "Bearer ";
  const char *value = hbw_http_request_header (request, "Authorization");
  if (value == NULL || g_ascii_strncasecmp (value, scheme, strlen (scheme)) != 0)
    return NULL;
  return value + strlen (scheme);
}

int
hbw_http_request_fd (const HbwHttpRequest *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info != NULL ? info->connect_fd : -1;
}

/* Optional headers of a response. */
typedef struct
{
  gint64 retry_after_us; /* 0 is none */
  gint64 version;        /* sent as ETag; 0 is none */
} ResponseExtras;

static enum MHD_Result
queue_response (HbwHttpRequest *request, guint status, const char *content_type,
                const char *body, gsize length, const ResponseExtras *extras)
{
  char text[32];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      length, (void *) body, MHD_RESPMEM_MUST_COPY);
  if (content_type != NULL && *content_type != '\0')
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
  if (extras->retry_after_us > 0)
    {
      g_snprintf (text, sizeof text, "%" G_GINT64_FORMAT,
                  (extras->retry_after_us + HBW_US_PER_S - 1) / HBW_US_PER_S);
      MHD_add_response_header (response, MHD_HTTP_HEADER_RETRY_AFTER, text);
    }
  if (extras->version > 0)
    {
      g_snprintf (text, sizeof text, "\"%" G_GINT64_FORMAT "\"", extras->version);
      MHD_add_response_header (response, MHD_HTTP_HEADER_ETAG, text);
    }
  enum MHD_Result result
      = MHD_queue_response (request->connection, status, response);
  MHD_destroy_response (response);
  return result;
}

enum MHD_Result
hbw_http_request_respond (HbwHttpRequest *request, guint status,
                          const char *content_type, const char *body, gsize length)
{
  const ResponseExtras extras = { 0, 0 };
  return queue_response (request, status, content_type, body, length, &extras);
}

enum MHD_Result
hbw_http_request_respond_with_etag (HbwHttpRequest *request, guint status,
                                    const char *content_type, const char *text,
                                    gint64 version)
{
  const ResponseExtras extras = { 0, version };
  return queue_response (request, status, content_type, text, strlen (text),
                         &extras);
}

enum MHD_Result
hbw_http_request_respond_with_problem (HbwHttpRequest *request,
                                       const HbwProblem *problem)
{
  const ResponseExtras extras = { problem->retry_after_us, 0 };
  char *body = hbw_problem_format (problem);
  enum MHD_Result result
      = queue_response (request, problem->status, "application/problem+json", body,
                        strlen (body), &extras);
  g_free (body);
  return result;
}
