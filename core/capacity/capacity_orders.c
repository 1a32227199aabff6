#include "hornbeamwall/core/capacity/capacity_orders.h"

void
hbw_order_state_place (HbwOrderState *state, guint desired, gint64 now_us)
{
  state->has_order = TRUE;
  state->is_loaded = FALSE;
  state->desired = desired;
  state->ready_before = state->listed_ready;
  state->ordered_us = now_us;
  state->unknown_count = 0;
}

void
hbw_order_state_mark_unavailable (HbwOrderState *state, gint64 now_us)
{
  state->unavailable_until_us = now_us + HBW_UNAVAILABLE_US;
}

/* Returns how many servers are gone that the last order did not give back, if READY
   are left. */
static guint
count_lost (const HbwOrderState *state, guint ready)
{
  gboolean gives_back = state->has_order && state->desired < state->ready_before;
  guint expected
      = gives_back ? MIN (state->desired, state->listed_ready) : state->listed_ready;
  return expected > ready ? expected - ready : 0;
}

HbwAvailabilityChange
hbw_order_state_observe (HbwOrderState *state, guint ready, guint leaving,
                         gboolean is_reclaimable, gint64 now_us)
{
  guint lost = count_lost (state, ready);
  gboolean is_taken = is_reclaimable && lost > 0 && leaving > state->listed_leaving
                      && leaving >= ready;
  state->listed_ready = ready;
  state->listed_leaving = leaving;
  /* What was lost is not starting. */
  state->desired -= MIN (state->desired, lost);
  if (!is_taken)
    return HBW_AVAILABILITY_UNCHANGED;
  state->has_order = FALSE;
  hbw_order_state_mark_unavailable (state, now_us);
  return HBW_AVAILABILITY_TAKEN;
}

HbwAvailabilityChange
hbw_order_state_expire (HbwOrderState *state, gint64 startup_us, gint64 now_us)
{
  gint64 age_us = now_us - state->ordered_us;
  if (!state->has_order || age_us < startup_us + HBW_ORDER_MARGIN_US)
    return HBW_AVAILABILITY_UNCHANGED;
  state->has_order = FALSE;
  gboolean has_failed = !state->is_loaded && state->desired > state->ready_before
                        && state->listed_ready <= state->ready_before;
  if (!has_failed)
    return HBW_AVAILABILITY_UNCHANGED;
  hbw_order_state_mark_unavailable (state, now_us);
  return HBW_AVAILABILITY_FAILED;
}

HbwServerGroup
hbw_order_state_group (const HbwOrderState *state, gint64 now_us)
{
  HbwServerGroup group = { .ready = state->listed_ready };
  group.leaving = state->listed_leaving;
  group.is_unavailable = now_us < state->unavailable_until_us;
  if (!state->has_order)
    return group;
  if (state->desired > state->listed_ready)
    group.starting = state->desired - state->listed_ready;
  else
    group.ready = state->desired; /* the others are about to leave */
  return group;
}
