/*
 * http - a listener with a thread for each connection, over libmicrohttpd
 *
 * The handler gets each request whole and may block while it waits for an answer.
 */
#ifndef HORNBEAMWALL_NET_HTTP_H
#define HORNBEAMWALL_NET_HTTP_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/net/problem.h"

#include <microhttpd.h>

/* Longest path with its query, in bytes. */
#define HBW_PATH_MAX 2000

typedef struct
{
  struct MHD_Connection *connection;
  char *target; /* path and query as they came */
  const char *method;
  const char *path;
  GByteArray *body;
  gboolean begun;
  gboolean too_large;
} HbwHttpRequest;

typedef enum MHD_Result (*HbwHttpHandler) (HbwHttpRequest *request, void *data);

typedef struct
{
  const char *address; /* IP number and port; port 0 takes any */
  guint connection_limit;
  guint timeout_s; /* of a caller that sends or takes nothing */
  gsize body_max;
  HbwHttpHandler handler;
  void *data;
} HbwHttpConfig;

typedef struct HbwHttp HbwHttp;

HbwHttp *hbw_http_create (const HbwHttpConfig *config, HbwError *error);

/* Takes no more connections; those that are open go on. */
void hbw_http_quiesce (HbwHttp *http);

/* Waits for the threads of all connections. */
void hbw_http_destroy (HbwHttp *http);

/* Returns the port that was bound. */
guint hbw_http_port (const HbwHttp *http);

/* Returns a request header, or NULL. */
const char *hbw_http_header (const HbwHttpRequest *request, const char *name);

/* Returns the bearer token of a request, or NULL. */
const char *hbw_http_bearer (const HbwHttpRequest *request);

/* Returns the caller's socket. */
int hbw_http_caller_fd (const HbwHttpRequest *request);

/* Queues an answer with a copy of BODY. */
enum MHD_Result hbw_http_answer (HbwHttpRequest *request, guint status,
                                 const char *content_type, const char *body,
                                 gsize length);

/* Queues an answer with a text and its VERSION as ETag. */
enum MHD_Result hbw_http_answer_tagged (HbwHttpRequest *request, guint status,
                                        const char *content_type, const char *text,
                                        gint64 version);

enum MHD_Result hbw_http_problem (HbwHttpRequest *request,
                                  const HbwProblem *problem);

#endif
