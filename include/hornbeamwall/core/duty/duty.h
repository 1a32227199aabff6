/*
 * duty - work that one instance of the fleet does for all: holds the duty lease and
 * makes the calls of the tasks under it
 *
 * All instances have an HbwDuty with the same tasks.  The three live instances with
 * the largest machines are candidates for the lease.  Calls are made one at a time;
 * after a call that was neither accepted nor answered with "unavailable" the next
 * one is delayed, twice as long each time.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_H

#include "hornbeamwall/core/duty/duty_task.h"

typedef struct
{
  guint64 identity;
  char name[HBW_NAME_MAX]; /* of this instance */
  gint64 lease_us;
  double calls_per_s; /* to the duty interface, from the whole fleet; 0: no limit */
} HbwDutyConfig;

HbwDuty *hbw_duty_create (const HbwDutyConfig *config, gint64 now_us);

/* Destroys the tasks too. */
void hbw_duty_destroy (HbwDuty *duty);

/* Adds TASK, which DUTY owns from now on.  All tasks are added before the first
   tick. */
void hbw_duty_add_task (HbwDuty *duty, HbwDutyTask *task);

/* Ticks the tasks, and adds the effects of calls that are due.  IS_DRAINING: the
   lease is released once the call in progress has ended, and not taken again. */
void hbw_duty_tick (HbwDuty *duty, HbwContext *context, gboolean is_draining);

/* Handles the result of HBW_EFFECT_DUTY_STORE. */
void hbw_duty_handle_store (HbwDuty *duty, HbwContext *context,
                            const HbwDutyStoreResult *result);

/* Handles the result of HBW_EFFECT_DUTY_CALL. */
void hbw_duty_handle_call (HbwDuty *duty, HbwContext *context,
                           const HbwDutyResult *result);

/* Handles HBW_MESSAGE_DUTY_STATUS. */
void hbw_duty_handle_status (HbwDuty *duty, HbwContext *context,
                             const HbwMessage *message);

/* Sets the usage window that DUTY_STATUS reports: its NUMBER, and how long ago it
   began; its age counts on from there.  For the functions of a task, as the age is
   taken as of the current call into DUTY. */
void hbw_duty_set_window (HbwDuty *duty, gint64 number, gint64 age_us);

/* Returns the identity of the instance that holds the lease, as last known, or 0;
   and of its deputy. */
guint64 hbw_duty_holder (const HbwDuty *duty);
guint64 hbw_duty_deputy (const HbwDuty *duty);

/* Returns the last DUTY_STATUS (borrowed), also one that this instance has sent; all
   0 if there is none. */
const HbwDutyStatus *hbw_duty_last_status (const HbwDuty *duty);

/* Returns whether this instance certainly holds the lease at NOW_US. */
gboolean hbw_duty_is_holder (const HbwDuty *duty, gint64 now_us);

/* Appends the metrics in the Prometheus text format. */
void hbw_duty_render_metrics (const HbwDuty *duty, gint64 now_us, GString *text);

#endif
