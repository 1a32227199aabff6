/*
 * client - calls of the subcommands to the administration API
 */
#ifndef HORNBEAMWALL_CLIENT_H
#define HORNBEAMWALL_CLIENT_H

#include "hornbeamwall/common/error.h"

/* Where the administration API is, and the token for it. */
typedef struct
{
  char *address;
  char *token; /* NULL takes the environment variable HORNBEAMWALL_TOKEN */
} HbwClientOptions;

typedef struct
{
  int status;
  char *body; /* owned */
  char *etag; /* owned; NULL where there was none */
} HbwClientAnswer;

/* Adds --address and --token to a list of GOptionEntry. */
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

/* Makes one call; BODY and IF_MATCH may be NULL.  Returns FALSE where there was no
   answer. */
gboolean hbw_client_call (const HbwClientOptions *options, const char *method,
                          const char *path, const char *body, const char *if_match,
                          HbwClientAnswer *answer, HbwError *error);

void hbw_client_answer_clear (HbwClientAnswer *answer);

/* Makes one call and prints its answer; returns the exit status. */
int hbw_client_run (const HbwClientOptions *options, const char *method,
                    const char *path, const char *body, const char *if_match);

void hbw_client_options_clear (HbwClientOptions *options);

#endif
