#include "hornbeamwall/runtime/order_sender.h"

#include "hornbeamwall/net/server_orders.h"

#include <pthread.h>
#include <stdatomic.h>

/* Interval between checks of the lease and the orders. */
#define CHECK_INTERVAL_US (2 * HBW_US_PER_S)

/* Interval between checks of the stop flag. */
#define SLEEP_US (100 * HBW_US_PER_MS)

struct HbwOrderSender
{
  HbwControl *control;
  HbwServerOrders *orders;
  pthread_t thread;
  gboolean started;
  atomic_bool stopping;
};

static void *
run_order_sender (void *data)
{
  HbwOrderSender *sender = data;
  HbwClock *clock = hbw_control_clock (sender->control);
  gint64 next_check_us = 0;
  while (!atomic_load (&sender->stopping))
    {
      g_usleep (SLEEP_US);
      if (!hbw_control_is_order_sender (sender->control)
          || hbw_clock_now (clock) < next_check_us)
        continue;
      next_check_us = hbw_clock_now (clock) + CHECK_INTERVAL_US;
      if (!hbw_server_orders_are_declared (sender->orders))
        continue;
      hbw_server_orders_update_lease (sender->orders);
      hbw_server_orders_send (sender->orders);
    }
  return NULL;
}

HbwOrderSender *
hbw_order_sender_create (HbwControl *control, const HbwSettings *settings,
                         HbwError *error)
{
  const HbwServerOrdersConfig config
      = { .platform_address = settings->platform_address,
          .data_centre = settings->data_centre,
          .identity = hbw_control_identity (control),
          .clock = hbw_control_clock (control) };
  HbwServerOrders *orders = hbw_server_orders_create (&config, error);
  if (orders == NULL)
    return NULL;
  HbwOrderSender *sender = g_new0 (HbwOrderSender, 1);
  sender->control = control;
  sender->orders = orders;
  sender->started
      = pthread_create (&sender->thread, NULL, run_order_sender, sender) == 0;
  return sender;
}

void
hbw_order_sender_destroy (HbwOrderSender *sender)
{
  atomic_store (&sender->stopping, TRUE);
  if (sender->started)
    pthread_join (sender->thread, NULL);
  hbw_server_orders_destroy (sender->orders);
  g_free (sender);
}
