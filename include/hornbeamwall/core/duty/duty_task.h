/*
 * duty_task - work of the instance that holds the duty lease
 *
 * Every instance has all tasks; they make calls only where the lease is held.  The
 * state of a task is stored with the lease, so that the next holder goes on where
 * the last one was.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_DUTY_TASK_H
#define HORNBEAMWALL_CORE_DUTY_DUTY_TASK_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/duty/duty_call.h"

#include <jansson.h>

typedef struct HbwDutyTask HbwDutyTask;
typedef struct
{
  const char *name; /* key of its state in the store */

  /* Called at every tick on every instance. */
  void (*tick) (HbwDutyTask *task, HbwContext *context, gboolean is_holder);

  /* Handles that this instance has taken the lease.  STATE is what was stored last;
     NULL if there is none. */
  void (*load) (HbwDutyTask *task, HbwContext *context, json_t *state);

  /* Returns the state to store; the caller owns it. */
  json_t *(*save) (const HbwDutyTask *task);

  /* Returns a number that rises whenever the state changes. */
  guint64 (*state_number) (const HbwDutyTask *task);

  /* Fills in CALL if one is due and returns whether it is.  The store has the state
     of STORED_NUMBER: a call that depends on later state has to wait. */
  gboolean (*next_call) (HbwDutyTask *task, HbwContext *context,
                         guint64 stored_number, HbwDutyCall *call);

  void (*handle_result) (HbwDutyTask *task, HbwContext *context,
                         const HbwDutyResult *result);

  void (*destroy) (HbwDutyTask *task);
} HbwDutyTaskClass;
struct HbwDutyTask
{
  const HbwDutyTaskClass *class;
};

#endif
