/*
 * canned_server - a server that gives each request the same canned response
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_CANNED_SERVER_H
#define HORNBEAMWALL_TESTS_STANDIN_CANNED_SERVER_H

#include "canned_response.h"

typedef struct CannedServer CannedServer;

/* Listens on a free port of 127.0.0.1. */
CannedServer *canned_server_create (void);
void canned_server_destroy (CannedServer *server);

/* Returns its address and port; borrowed. */
const char *canned_server_address (const CannedServer *server);

/* Sets the response to further requests, after which the connection is ended. */
void canned_server_set_answer (CannedServer *server, const CannedResponse *answer);

/* Answers further requests once their heads have come, and reads no body. */
void canned_server_answer_early (CannedServer *server);

/* Returns how many requests were answered. */
guint canned_server_count (CannedServer *server);

#endif
