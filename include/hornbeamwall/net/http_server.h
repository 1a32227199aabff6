/*
 * http_server - an HTTP listener with one thread per connection, over libmicrohttpd
 *
 * The handler is called with each complete request and may block.
 */
#ifndef HORNBEAMWALL_NET_HTTP_SERVER_H
#define HORNBEAMWALL_NET_HTTP_SERVER_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/net/problem.h"

#include <microhttpd.h>

/* Longest path including the query, in bytes. */
#define HBW_PATH_MAX 2000

typedef struct
{
  struct MHD_Connection *connection;
  char *target; /* path and query as received */
  const char *method;
  const char *path;
  GByteArray *body;
  gboolean headers_seen;
  gboolean body_too_large;
} HbwHttpRequest;

/* Handles REQUEST by queueing a response; returns the result of that. */
typedef enum MHD_Result (*HbwHttpHandler) (HbwHttpRequest *request, void *data);

typedef struct
{
  const char *address; /* IP address and port; port 0 takes any */
  guint connection_limit;
  guint timeout_s; /* of a connection without activity */
  gsize body_max;  /* largest request body, in bytes */
  HbwHttpHandler handler;
  void *data;
} HbwHttpServerConfig;

typedef struct HbwHttpServer HbwHttpServer;

/* Starts the server.  Returns NULL and sets ERROR if it cannot listen. */
HbwHttpServer *hbw_http_server_create (const HbwHttpServerConfig *config,
                                       HbwError *error);

/* Stops accepting connections; open connections stay open. */
void hbw_http_server_quiesce (HbwHttpServer *server);

/* Waits for the threads of all connections, then frees the server. */
void hbw_http_server_destroy (HbwHttpServer *server);

/* Returns the port that was bound. */
guint hbw_http_server_port (const HbwHttpServer *server);

/* Returns the value of a request header (borrowed), or NULL. */
const char *hbw_http_request_header (const HbwHttpRequest *request,
                                     const char *name);

/* Returns the bearer token of a request (borrowed), or NULL. */
const char *hbw_http_request_bearer_token (const HbwHttpRequest *request);

/* Returns the descriptor of the connection, which stays owned by the server. */
int hbw_http_request_fd (const HbwHttpRequest *request);

/* Queues a response with a copy of BODY. */
enum MHD_Result hbw_http_request_respond (HbwHttpRequest *request, guint status,
                                          const char *content_type, const char *body,
                                          gsize length);

/* Queues a response with a copy of TEXT and with VERSION as its ETag. */
enum MHD_Result hbw_http_request_respond_with_etag (HbwHttpRequest *request,
                                                    guint status,
                                                    const char *content_type,
                                                    const char *text,
                                                    gint64 version);

/* Queues a response with PROBLEM as problem JSON. */
enum MHD_Result hbw_http_request_respond_with_problem (HbwHttpRequest *request,
                                                       const HbwProblem *problem);

#endif
