/*
 * relay - serves one accepted request: hands it to the reducer, carries out its
 * orders, and brings the answer to the caller
 */
#ifndef HORNBEAMWALL_NET_RELAY_H
#define HORNBEAMWALL_NET_RELAY_H

#include "hornbeamwall/net/http.h"
#include "hornbeamwall/runtime/control.h"

typedef struct
{
  HbwControl *control;
  const HbwSettings *settings;
  HbwRequestSpec spec;
  const char *path; /* at the backend server */
  const char *key;  /* Idempotency-Key of a request that may run once, or NULL */
  const char *body;
  gsize body_length;
} HbwRelayConfig;

/* Runs the request to its end, or until its answer is streaming. */
enum MHD_Result hbw_relay_run (const HbwRelayConfig *config,
                               HbwHttpRequest *request);

#endif
