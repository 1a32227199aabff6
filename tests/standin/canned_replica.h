/*
 * canned_replica - a simulated backend server that sends a canned response
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_CANNED_REPLICA_H
#define HORNBEAMWALL_TESTS_STANDIN_CANNED_REPLICA_H

#include "canned_response.h"
#include "replica.h"

/* Sets what the behaviour "canned" of REPLICA sends. */
void replica_set_canned_response (Replica *replica, const CannedResponse *response);

#endif
