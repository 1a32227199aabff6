#include "hornbeamwall/core/reducer_state.h"

#include "hornbeamwall/core/capacity/capacity_task.h"
#include "hornbeamwall/core/duty/duty.h"
#include "hornbeamwall/core/duty/usage_task.h"

void
hbw_reducer_create_duties (HbwReducer *reducer, const HbwReducerConfig *config)
{
  HbwContext *context = &reducer->context;
  if (config->duty_lease_us == 0)
    return;
  HbwDutyConfig duty = { .identity = config->self.identity,
                         .lease_us = config->duty_lease_us,
                         .calls_per_s = config->duty_calls_per_s };
  g_strlcpy (duty.name, config->self.name, sizeof duty.name);
  context->duty = hbw_duty_create (&duty, config->now_us);
  if (config->usage.window_us > 0)
    {
      context->usage = hbw_usage_task_create (&config->usage);
      hbw_duty_add_task (context->duty, context->usage);
    }
  if (config->orders_servers)
    {
      context->capacity = hbw_capacity_task_create ();
      hbw_duty_add_task (context->duty, context->capacity);
    }
}

void
hbw_reducer_destroy_duties (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  context->usage = NULL;
  context->capacity = NULL;
  g_clear_pointer (&context->duty, hbw_duty_destroy);
}

/* Tells the tasks which instance holds the lease. */
static void
update_holder (HbwContext *context)
{
  guint64 holder = hbw_duty_holder (context->duty);
  if (context->usage != NULL)
    hbw_usage_handle_status (context->usage, context, holder,
                             hbw_duty_deputy (context->duty), 0, 0);
  if (context->capacity != NULL)
    hbw_capacity_set_holder (context->capacity, holder);
}

void
hbw_reducer_tick_duties (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  gint64 window;
  gint64 age_us;
  if (context->duty == NULL)
    return;
  update_holder (context);
  hbw_duty_tick (context->duty, context, reducer->draining);
  if (context->usage != NULL
      && hbw_usage_current_window (context->usage, context->now_us, &window,
                                   &age_us))
    hbw_duty_set_window (context->duty, window, age_us);
}

void
hbw_reducer_handle_duty_event (HbwReducer *reducer, const HbwEvent *event)
{
  HbwContext *context = &reducer->context;
  if (event->kind == HBW_EVENT_DUTY_STORE)
    hbw_reducer_observe_store_era (reducer, event->duty_store.era, 0);
  if (context->duty == NULL)
    return;
  if (event->kind == HBW_EVENT_DUTY_STORE)
    hbw_duty_handle_store (context->duty, context, &event->duty_store);
  else
    hbw_duty_handle_call (context->duty, context, &event->duty_call);
}

static void
handle_status (HbwContext *context, const HbwMessage *message)
{
  const HbwDutyStatus *status = &message->duty_status;
  hbw_duty_handle_status (context->duty, context, message);
  if (hbw_duty_holder (context->duty) != message->from || context->usage == NULL)
    return; /* an older holder */
  hbw_usage_handle_status (context->usage, context, message->from, status->deputy,
                           status->window, status->window_age_us);
}

void
hbw_reducer_handle_duty_message (HbwReducer *reducer, const HbwMessage *message)
{
  HbwContext *context = &reducer->context;
  if (context->duty == NULL)
    return;
  if (message->kind == HBW_MESSAGE_DUTY_STATUS)
    handle_status (context, message);
  else if (message->kind == HBW_MESSAGE_USAGE_COUNTS && context->usage != NULL)
    hbw_usage_handle_counts (context->usage, context, message->from,
                             &message->usage);
  else if (message->kind == HBW_MESSAGE_POOL_DEMAND)
    hbw_capacity_handle_demand (context, message);
}
