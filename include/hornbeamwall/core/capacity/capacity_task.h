/*
 * capacity_task - orders backend servers by the load (a duty of the lease holder)
 *
 * Every instance sends the holder its demand once per second; the holder adds it up
 * and orders the servers that the plan wants, one order at a time, the most urgent
 * first.  The stored state is the last orders:
 *
 *   {"orders": [{"pool": TEXT, "data_centre": TEXT, "reclaimable": BOOL,
 *                "desired": N}, ...]}
 *
 * Functions that take a context use its task and do nothing without one, unless they
 * say otherwise.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_TASK_H
#define HORNBEAMWALL_CORE_CAPACITY_TASK_H

#include "hornbeamwall/core/duty/duty_task.h"
#include "hornbeamwall/core/topology.h"

/* Creates the task; free it with its class's destroy. */
HbwDutyTask *hbw_capacity_task_create (void);

/* Sets the instance to which demand is sent; 0: none. */
void hbw_capacity_set_holder (HbwDutyTask *task, guint64 identity);

/* Handles a POOL_DEMAND message. */
void hbw_capacity_handle_demand (HbwContext *context, const HbwMessage *message);

/* Handles a new list of servers, or a new list of planned stops. */
void hbw_capacity_handle_servers (HbwContext *context, const HbwTopology *topology);

/* --- demand of this instance; see capacity_demand.h -----------------------------
 */

void hbw_capacity_record_arrival (HbwContext *context, const HbwRequestSpec *spec);
void hbw_capacity_record_placement (HbwContext *context, const HbwRequestSpec *spec,
                                    guint unread_tokens);

/* FIRST_TOKEN_US: from the arrival of the request. */
void hbw_capacity_record_first_token (HbwContext *context,
                                      const HbwRequestSpec *spec,
                                      gint64 first_token_us);
void hbw_capacity_record_output (HbwContext *context, const HbwRequestSpec *spec,
                                 guint tokens);

/* Counts the refusal if REASON is lack of room. */
void hbw_capacity_record_refusal (HbwContext *context, const HbwRequestSpec *spec,
                                  HbwReason reason);
void hbw_capacity_record_pace (HbwContext *context, const char *pool, guint tokens,
                               guint ahead_tokens, gint64 first_token_us);

/* Returns whether a sample of all requests is due; then begins one. */
gboolean hbw_capacity_begin_sample (HbwContext *context);
void hbw_capacity_sample (HbwContext *context, const HbwRequestSpec *spec,
                          gboolean is_running);

/* Appends servers and orders to TEXT in the Prometheus text format. */
void hbw_capacity_render_metrics (const HbwContext *context, GString *text);

#endif
