/*
 * client - client of the administration API for the subcommands
 */
#ifndef HORNBEAMWALL_CLIENT_H
#define HORNBEAMWALL_CLIENT_H

#include "hornbeamwall/common/error.h"

typedef struct
{
  char *address; /* IP:PORT */
  char *token;   /* NULL: the environment variable HORNBEAMWALL_TOKEN is used */
} HbwClientOptions;

typedef struct
{
  int http_status;
  char *body; /* owned */
  char *etag; /* owned; NULL if the response has none */
} HbwClientResponse;

/* GOptionEntry initializers for --address and --token. */
#define HBW_CLIENT_ENTRIES(options)                                                 \
  { "address",                                                                      \
    'a',                                                                            \
    0,                                                                              \
    G_OPTION_ARG_STRING,                                                            \
    &(options).address,                                                             \
    "Address of the administration API",                                            \
    "IP:PORT" },                                                                    \
  {                                                                                 \
    "token", 't', 0, G_OPTION_ARG_STRING, &(options).token,                         \
        "Administration token (else HORNBEAMWALL_TOKEN)", "TOKEN"                   \
  }

/* Makes one call; BODY and IF_MATCH may be NULL.  Returns FALSE if there was no
   response.  Clear RESPONSE with hbw_client_response_clear() in either case. */
gboolean hbw_client_call (const HbwClientOptions *options, const char *method,
                          const char *path, const char *body, const char *if_match,
                          HbwClientResponse *response, HbwError *error);

void hbw_client_response_clear (HbwClientResponse *response);

/* Makes one call and prints its response.  Returns the exit status. */
int hbw_client_run (const HbwClientOptions *options, const char *method,
                    const char *path, const char *body, const char *if_match);

void hbw_client_options_clear (HbwClientOptions *options);

#endif
