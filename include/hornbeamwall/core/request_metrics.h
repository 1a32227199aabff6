/*
 * request_metrics - counts what happens to a request, for its class and organisation
 *
 * Internal to core/ingress.c.
 */
#ifndef HORNBEAMWALL_CORE_REQUEST_METRICS_H
#define HORNBEAMWALL_CORE_REQUEST_METRICS_H

#include "hornbeamwall/core/request.h"

void hbw_request_count_arrived (const HbwRequest *request, HbwContext *context);
void hbw_request_count_refused (const HbwRequest *request, HbwContext *context,
                                HbwReason reason);
void hbw_request_count_retry (const HbwRequest *request, HbwContext *context);
void hbw_request_count_caller_gone (const HbwRequest *request, HbwContext *context);

/* Records how long the request waited for the attempt that starts now. */
void hbw_request_count_started (const HbwRequest *request, HbwContext *context);

/* Records the tokens of an attempt that did not complete. */
void hbw_request_count_wasted (const HbwRequest *request, HbwContext *context,
                               const HbwAttemptEnd *end);

/* Records how the request ended with its last attempt. */
void hbw_request_count_ended (const HbwRequest *request, HbwContext *context,
                              const HbwAttemptEnd *end);

#endif
