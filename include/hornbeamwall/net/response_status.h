/*
 * response_status - the status of a response that neon has read
 *
 * neon accepts any three digits as a status, and any version of HTTP.
 */
#ifndef HORNBEAMWALL_NET_RESPONSE_STATUS_H
#define HORNBEAMWALL_NET_RESPONSE_STATUS_H

#include <glib.h>
#include <neon/ne_request.h>

/* Returns the status of the response to REQUEST, which was dispatched successfully;
   0 if it has no valid status, or is not of HTTP/1. */
guint hbw_response_status (ne_request *request);

#endif
