/*
 * odd_server - a server that gives each request the same odd answer
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_ODD_SERVER_H
#define HORNBEAMWALL_TESTS_STANDIN_ODD_SERVER_H

#include "odd_answer.h"

typedef struct OddServer OddServer;

/* Listens on a free port of 127.0.0.1. */
OddServer *odd_server_create (void);
void odd_server_destroy (OddServer *server);

/* Returns its address and port; borrowed. */
const char *odd_server_address (const OddServer *server);

/* Sets the answer to further requests, after which the connection is ended. */
void odd_server_set_answer (OddServer *server, const OddAnswer *answer);

/* Returns how many requests were answered. */
guint odd_server_count (OddServer *server);

#endif
