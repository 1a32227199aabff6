#include "hornbeamwall/runtime/orderer.h"

#include "hornbeamwall/net/orders.h"

#include <pthread.h>
#include <stdatomic.h>

/* How often the lease and the orders are looked at. */
#define LOOK_US (2 * HBW_US_PER_S)

/* Longest wait before a stop is noticed. */
#define STEP_US (100 * HBW_US_PER_MS)

struct HbwOrderer
{
  HbwControl *control;
  HbwOrders *orders;
  pthread_t thread;
  gboolean started;
  atomic_bool stopping;
};

static void *
run (void *data)
{
  HbwOrderer *orderer = data;
  HbwClock *clock = hbw_control_clock (orderer->control);
  gint64 look_at_us = 0;
  while (!atomic_load (&orderer->stopping))
    {
      g_usleep (STEP_US);
      if (!hbw_control_is_orderer (orderer->control)
          || hbw_clock_now (clock) < look_at_us)
        continue;
      look_at_us = hbw_clock_now (clock) + LOOK_US;
      if (!hbw_orders_are_declared (orderer->orders))
        continue;
      hbw_orders_keep_lease (orderer->orders);
      hbw_orders_send (orderer->orders);
    }
  return NULL;
}

HbwOrderer *
hbw_orderer_create (HbwControl *control, const HbwSettings *settings,
                    HbwError *error)
{
  const HbwOrdersConfig config = { .platform_address = settings->platform_address,
                                   .data_centre = settings->data_centre,
                                   .identity = hbw_control_identity (control),
                                   .clock = hbw_control_clock (control) };
  HbwOrders *orders = hbw_orders_create (&config, error);
  if (orders == NULL)
    return NULL;
  HbwOrderer *orderer = g_new0 (HbwOrderer, 1);
  orderer->control = control;
  orderer->orders = orders;
  orderer->started = pthread_create (&orderer->thread, NULL, run, orderer) == 0;
  return orderer;
}

void
hbw_orderer_destroy (HbwOrderer *orderer)
{
  atomic_store (&orderer->stopping, TRUE);
  if (orderer->started)
    pthread_join (orderer->thread, NULL);
  hbw_orders_destroy (orderer->orders);
  g_free (orderer);
}
