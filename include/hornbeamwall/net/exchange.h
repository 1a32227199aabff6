/*
 * exchange - one request, from its head to the end of its answer
 *
 * It carries out the reducer's orders: it sends the request to the server that an
 * order names, passes the answer on, and reports how each attempt ended.  A request
 * is sent only by an order, and a refusal is told only while nothing is being sent,
 * so that what a caller is told about its request stays true.
 */
#ifndef HORNBEAMWALL_NET_EXCHANGE_H
#define HORNBEAMWALL_NET_EXCHANGE_H

#include "hornbeamwall/net/parser.h"
#include "hornbeamwall/net/traffic_state.h"
#include "hornbeamwall/runtime/order.h"

/* Takes over HEAD. */
HbwExchange *hbw_exchange_create (HbwTraffic *traffic, HbwDownstream *caller,
                                  HbwHead *head);

void hbw_exchange_destroy (HbwExchange *exchange);

/* Adds a piece of the request's body; returns its length so far. */
gsize hbw_exchange_add_body (HbwExchange *exchange, const char *bytes, gsize length);

/* The request is whole. */
void hbw_exchange_submit (HbwExchange *exchange);

/* The caller has gone. */
void hbw_exchange_handle_gone (HbwExchange *exchange);

/* All that was written to the caller has been sent. */
void hbw_exchange_handle_drained (HbwExchange *exchange);

void hbw_exchange_handle_order (HbwExchange *exchange, const HbwOrder *order);

/* Tells the caller why its request is not served, without asking the reducer. */
void hbw_exchange_refuse (HbwExchange *exchange, const HbwRefuse *refuse);

#endif
