#include "hornbeamwall/net/store_client.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/net/response_status.h"

#include <neon/ne_request.h>
#include <neon/ne_session.h>
#include <neon/ne_socket.h>
#include <pthread.h>
#include <string.h>

/* How long the store may take to accept a connection and to respond, in seconds. */
#define CONNECT_TIMEOUT_S 2
#define READ_TIMEOUT_S 5

/* Largest response that is read, in bytes.  An object may have 1 MB, and a page or a
   watch has several. */
#define RESPONSE_MAX (4 * 1024 * 1024)

/* The same for a client that keeps its connection, where a dead connection must be
   detected sooner. */
#define PERSISTENT_CONNECT_TIMEOUT_S 1
#define PERSISTENT_READ_TIMEOUT_S 1

/* Header field with the era of the native interface's store. */
#define ERA_FIELD "X-Store-Era"

struct HbwStoreClient
{
  HbwHostPort address;
  ne_session *persistent_session; /* reused for all calls, or NULL */
  const char *era_field;          /* borrowed */
  int connect_timeout_s;
  int read_timeout_s;
  gboolean reads_conflicts;
};

typedef struct
{
  GByteArray *body;
  gboolean too_large;
} ResponseBody;

static pthread_once_t neon_once = PTHREAD_ONCE_INIT;

static void
init_neon (void)
{
  ne_sock_init ();
}

static int
handle_body_block (void *data, const char *bytes, size_t length)
{
  ResponseBody *response_body = data;
  if (response_body->body->len + length > RESPONSE_MAX)
    {
      response_body->too_large = TRUE;
      return NE_ERROR;
    }
  g_byte_array_append (response_body->body, (const guint8 *) bytes, (guint) length);
  return 0;
}

/* Accepts the body of a response that has an object. */
static int
accept_result (void *data, ne_request *request, const ne_status *status)
{
  return status->code == 409 || ne_accept_2xx (data, request, status);
}

gint64
hbw_store_version (gint64 era, gint64 revision)
{
  return (CLAMP (era, 0, HBW_STORE_VERSION_ERA_MAX) << HBW_STORE_VERSION_ERA_SHIFT)
         + CLAMP (revision, 0, HBW_STORE_VERSION_REVISION_MAX);
}

static gint64
revision_of (gint64 version)
{
  return version < 0 ? version : version & HBW_STORE_VERSION_REVISION_MAX;
}

static gint64
get_version (ne_request *request, gint64 era)
{
  const char *tag = ne_get_response_header (request, "ETag");
  if (tag == NULL)
    return 0;
  return hbw_store_version (era,
                            g_ascii_strtoll (*tag == '"' ? tag + 1 : tag, NULL, 10));
}

static gint64
get_era (const HbwStoreClient *client, ne_request *request)
{
  const char *text = ne_get_response_header (request, client->era_field);
  return text != NULL ? MAX (0, g_ascii_strtoll (text, NULL, 10)) : 0;
}

static HbwStoreResult
result_of_status (guint status)
{
  switch (status)
    {
    case 200:
    case 201:
      return HBW_STORE_OK;
    case 304:
      return HBW_STORE_NOT_MODIFIED;
    case 404:
      return HBW_STORE_NOT_FOUND;
    case 410:
      return HBW_STORE_GONE;
    case 409:
    case 412:
      return HBW_STORE_CONFLICT;
    default:
      return HBW_STORE_FAILED;
    }
}

static ne_session *
open_session (HbwStoreClient *client, int extra_wait_s)
{
  if (client->persistent_session != NULL)
    return client->persistent_session;
  ne_session *session
      = ne_session_create ("http", client->address.host, client->address.port);
  ne_set_session_flag (session, NE_SESSFLAG_PERSIST, 0);
  ne_set_connect_timeout (session, client->connect_timeout_s);
  ne_set_read_timeout (session, client->read_timeout_s + extra_wait_s);
  return session;
}

static void
close_session (HbwStoreClient *client, ne_session *session)
{
  if (session != client->persistent_session)
    ne_session_destroy (session);
}

static HbwStoreResponse
dispatch (const HbwStoreClient *client, ne_session *session, ne_request *request,
          gboolean is_write, HbwError *error)
{
  HbwStoreResponse response = { .result = HBW_STORE_FAILED };
  ResponseBody response_body = { g_byte_array_new (), FALSE };
  ne_add_response_body_reader (
      request, client->reads_conflicts ? accept_result : ne_accept_2xx,
      handle_body_block, &response_body);
  int code = ne_request_dispatch (request);
  guint status = code == NE_OK ? hbw_response_status (request) : 0;
  if (status != 0)
    {
      response.result = result_of_status (status);
      response.era = get_era (client, request);
      response.version = get_version (request, response.era);
    }
  else if (is_write && code != NE_LOOKUP && code != NE_CONNECT)
    response.result = HBW_STORE_UNKNOWN;
  if (code != NE_OK)
    hbw_error_set (error, HBW_ERROR_STORE,
                   "platform store: %s; try again when it answers",
                   ne_get_error (session));
  else if (status == 0)
    hbw_error_set (
        error, HBW_ERROR_STORE,
        "platform store: a response without a valid status; check the store");
  else if (response.result == HBW_STORE_FAILED)
    hbw_error_set (error, HBW_ERROR_STORE,
                   "platform store: answer %u; try again later", status);
  if (response.result == HBW_STORE_OK
      || (response.result == HBW_STORE_CONFLICT && client->reads_conflicts))
    response.body = g_byte_array_free_to_bytes (response_body.body);
  else
    g_byte_array_free (response_body.body, TRUE);
  return response;
}

HbwStoreClient *
hbw_store_client_create (const char *address, HbwError *error)
{
  pthread_once (&neon_once, init_neon);
  HbwHostPort parts;
  if (!hbw_address_parse (address, &parts) || parts.port == 0)
    {
      hbw_error_set (error, HBW_ERROR_SETTINGS,
                     "address %s: not an IP address and port", address);
      return NULL;
    }
  HbwStoreClient *client = g_new0 (HbwStoreClient, 1);
  client->address = parts;
  client->era_field = ERA_FIELD;
  client->connect_timeout_s = CONNECT_TIMEOUT_S;
  client->read_timeout_s = READ_TIMEOUT_S;
  return client;
}

void
hbw_store_client_destroy (HbwStoreClient *client)
{
  if (client->persistent_session != NULL)
    ne_session_destroy (client->persistent_session);
  g_free (client);
}

void
hbw_store_client_keep_connection (HbwStoreClient *client, guint wait_ms)
{
  ne_session *session
      = ne_session_create ("http", client->address.host, client->address.port);
  ne_set_connect_timeout (session, PERSISTENT_CONNECT_TIMEOUT_S);
  ne_set_read_timeout (session,
                       PERSISTENT_READ_TIMEOUT_S + (int) ((wait_ms + 999) / 1000));
  client->persistent_session = session;
}

void
hbw_store_client_set_era_field (HbwStoreClient *client, const char *field)
{
  client->era_field = field;
}

void
hbw_store_client_set_timeout (HbwStoreClient *client, guint timeout_ms)
{
  client->connect_timeout_s = (int) ((timeout_ms + 999) / 1000);
  client->read_timeout_s = client->connect_timeout_s;
}

void
hbw_store_client_read_conflicts (HbwStoreClient *client)
{
  client->reads_conflicts = TRUE;
}

void
hbw_store_client_close_connection (HbwStoreClient *client)
{
  if (client->persistent_session != NULL)
    ne_close_connection (client->persistent_session);
}

static HbwStoreResponse
read_object (HbwStoreClient *client, const char *path, int extra_wait_s,
             HbwError *error)
{
  ne_session *session = open_session (client, extra_wait_s);
  ne_request *request = ne_request_create (session, "GET", path);
  HbwStoreResponse response = dispatch (client, session, request, FALSE, error);
  ne_request_destroy (request);
  if (response.result == HBW_STORE_FAILED && client->persistent_session != NULL)
    ne_close_connection (session); /* may still receive a late response */
  close_session (client, session);
  return response;
}

HbwStoreResponse
hbw_store_client_get (HbwStoreClient *client, const char *name, HbwError *error)
{
  char *path = g_strdup_printf ("/objects/%s", name);
  HbwStoreResponse response = read_object (client, path, 0, error);
  g_free (path);
  return response;
}

HbwStoreResponse
hbw_store_client_get_path (HbwStoreClient *client, const char *path, HbwError *error)
{
  return read_object (client, path, 0, error);
}

HbwStoreResponse
hbw_store_client_get_path_once (HbwStoreClient *client, const char *path,
                                HbwError *error)
{
  hbw_store_client_close_connection (client);
  return read_object (client, path, 0, error);
}

HbwStoreResponse
hbw_store_client_watch (HbwStoreClient *client, const char *name, gint64 version,
                        guint timeout_ms, HbwError *error)
{
  char *path
      = g_strdup_printf ("/objects/%s?watch=%" G_GINT64_FORMAT "&timeout_ms=%u",
                         name, revision_of (version), timeout_ms);
  HbwStoreResponse response
      = read_object (client, path, (int) (timeout_ms / 1000) + 1, error);
  g_free (path);
  return response;
}

/* Sends a write with the header field FIELD, if it is not NULL. */
static HbwStoreResponse
write_object (HbwStoreClient *client, const char *method, const char *path,
              const char *field, const char *value, const char *body, gsize length,
              HbwError *error)
{
  ne_session *session = open_session (client, 0);
  ne_request *request = ne_request_create (session, method, path);
  ne_set_request_flag (request, NE_REQFLAG_IDEMPOTENT, 0);
  ne_set_request_body_buffer (request, body, length);
  ne_add_request_header (request, "Content-Type", "application/json");
  if (field != NULL)
    ne_add_request_header (request, field, value);
  HbwStoreResponse response = dispatch (client, session, request, TRUE, error);
  ne_request_destroy (request);
  if (response.result == HBW_STORE_UNKNOWN && client->persistent_session != NULL)
    ne_close_connection (session); /* may still receive a late response */
  close_session (client, session);
  return response;
}

HbwStoreResponse
hbw_store_client_send (HbwStoreClient *client, const char *method, const char *path,
                       const char *body, gsize length, HbwError *error)
{
  return write_object (client, method, path, NULL, NULL, body, length, error);
}

HbwStoreResponse
hbw_store_client_put (HbwStoreClient *client, const char *name, gint64 version,
                      const char *body, gsize length, HbwError *error)
{
  char *path = g_strdup_printf ("/objects/%s", name);
  char *tag = g_strdup_printf ("\"%" G_GINT64_FORMAT "\"", revision_of (version));
  HbwStoreResponse response
      = version > 0 ? write_object (client, "PUT", path, "If-Match", tag, body,
                                    length, error)
                    : write_object (client, "PUT", path, "If-None-Match", "*", body,
                                    length, error);
  g_clear_pointer (&response.body, g_bytes_unref);
  g_free (tag);
  g_free (path);
  return response;
}
