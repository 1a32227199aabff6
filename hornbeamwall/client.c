#include "hornbeamwall/client.h"

#include "hornbeamwall/commands.h"
#include "hornbeamwall/common/address.h"
#include "hornbeamwall/net/response_status.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <neon/ne_utils.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_TIMEOUT_S 30

static int
append_body (void *data, const char *bytes, size_t length)
{
  g_string_append_len (data, bytes, (gssize) length);
  return 0;
}

static void
add_headers (ne_request *request, const HbwClientOptions *options, const char *body,
             const char *if_match)
{
  const char *token
      = options->token != NULL ? options->token : getenv ("HORNBEAMWALL_TOKEN");
  ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, 0);
  if (token != NULL)
    ne_print_request_header (request, "Authorization", "Bearer %s", token);
  if (if_match != NULL)
    ne_add_request_header (request, "If-Match", if_match);
  if (body == NULL)
    return;
  ne_add_request_header (request, "Content-Type", "application/json");
  ne_set_request_body_buffer (request, body, strlen (body));
}

gboolean
hbw_client_call (const HbwClientOptions *options, const char *method,
                 const char *path, const char *body, const char *if_match,
                 HbwClientResponse *response, HbwError *error)
{
  HbwHostPort address;
  memset (response, 0, sizeof *response);
  if (!hbw_address_parse (options->address, &address) || address.port == 0)
    {
      hbw_error_set (error, HBW_ERROR_USAGE,
                     "set the administration address with --address IP:PORT");
      return FALSE;
    }
  ne_sock_init ();
  ne_session *session = ne_session_create ("http", address.host, address.port);
  ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  ne_set_read_timeout (session, READ_TIMEOUT_S);
  ne_request *request = ne_request_create (session, method, path);
  add_headers (request, options, body, if_match);
  GString *text = g_string_new (NULL);
  ne_add_response_body_reader (request, ne_accept_always, append_body, text);
  gboolean is_read = ne_request_dispatch (request) == NE_OK;
  response->http_status = is_read ? (int) hbw_response_status (request) : 0;
  if (response->http_status != 0)
    response->etag = g_strdup (ne_get_response_header (request, "ETag"));
  else if (is_read)
    hbw_error_set (error, HBW_ERROR_NETWORK,
                   "%s: a response without a valid status; check the address",
                   options->address);
  else
    hbw_error_set (error, HBW_ERROR_NETWORK,
                   "%s: %s; check the address and that the instance is running",
                   options->address, ne_get_error (session));
  response->body = g_string_free (text, FALSE);
  ne_request_destroy (request);
  ne_session_destroy (session);
  return response->http_status != 0;
}

void
hbw_client_response_clear (HbwClientResponse *response)
{
  g_clear_pointer (&response->body, g_free);
  g_clear_pointer (&response->etag, g_free);
}

int
hbw_client_run (const HbwClientOptions *options, const char *method,
                const char *path, const char *body, const char *if_match)
{
  HbwClientResponse response;
  HbwError error;
  if (!hbw_client_call (options, method, path, body, if_match, &response, &error))
    {
      fprintf (stderr, "hornbeamwall: %s\n", error.message);
      hbw_client_response_clear (&response);
      return HBW_EXIT_FAILED;
    }
  gboolean accepted = response.http_status >= 200 && response.http_status < 300;
  FILE *out = accepted ? stdout : stderr;
  fprintf (out, "%s\n", response.body);
  hbw_client_response_clear (&response);
  return accepted ? HBW_EXIT_OK : HBW_EXIT_FAILED;
}

void
hbw_client_options_clear (HbwClientOptions *options)
{
  g_clear_pointer (&options->address, g_free);
  g_clear_pointer (&options->token, g_free);
}
