/*
 * exchange - one request and its response
 *
 * Executes the reducer's commands: sends the request to the server that a command
 * names, forwards the response to the caller, and reports how each attempt ended.  A
 * request is sent only on a command, and a refusal is sent to the caller only while
 * no attempt is in progress, so that its statement about the execution of the
 * request holds.
 */
#ifndef HORNBEAMWALL_NET_EXCHANGE_H
#define HORNBEAMWALL_NET_EXCHANGE_H

#include "hornbeamwall/net/http_parser.h"
#include "hornbeamwall/net/traffic_state.h"
#include "hornbeamwall/runtime/request_command.h"

/* Creates the exchange for the request HEAD, which it takes ownership of. */
HbwExchange *hbw_exchange_create (HbwTraffic *traffic, HbwDownstream *caller,
                                  HbwHttpHead *head);

/* Frees the exchange; an attempt in progress is closed without a report. */
void hbw_exchange_destroy (HbwExchange *exchange);

/* Appends BYTES to the request body; returns the length of the body so far. */
gsize hbw_exchange_add_body (HbwExchange *exchange, const char *bytes, gsize length);

/* Returns the bytes that the exchange holds. */
gsize hbw_exchange_cost (const HbwExchange *exchange);

/* Returns the caller's own id of the request, "" if it has none. */
const char *hbw_exchange_caller_request_id (const HbwExchange *exchange);

/* Submits the request, which is complete, to the reducer, or answers it directly if
   it is a readiness probe or is refused by the admission check.  May destroy
   EXCHANGE. */
void hbw_exchange_submit (HbwExchange *exchange);

/* Handles that the caller has closed its connection.  May destroy EXCHANGE. */
void hbw_exchange_handle_caller_gone (HbwExchange *exchange);

/* Resumes reading from the server; the send buffer to the caller is empty. */
void hbw_exchange_handle_caller_drained (HbwExchange *exchange);

/* Executes COMMAND.  May destroy EXCHANGE. */
void hbw_exchange_handle_command (HbwExchange *exchange,
                                  const HbwRequestCommand *command);

/* Sends the refusal to the caller as the response to its request. */
void hbw_exchange_refuse (HbwExchange *exchange, const HbwRefuseRequest *refuse);

#endif
