#include "hornbeamwall/runtime/load.h"

#include "hornbeamwall/net/platform.h"

#include <jansson.h>

/* Calls at once; more wait. */
#define POLL_THREADS 4

/* Calls that wait before more are dropped, to be asked again later. */
#define POLL_BACKLOG 256

struct HbwLoad
{
  HbwControl *control;
  GThreadPool *pool;
};

static void
submit_report (HbwLoad *load, const HbwPoll *poll, const char *text, gsize length,
               gint64 age_us)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  json_t *running = json_object_get (root, "running");
  json_t *waiting = json_object_get (root, "waiting");
  if (json_is_integer (running) && json_is_integer (waiting))
    {
      HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT };
      g_strlcpy (event.load.server, poll->server, sizeof event.load.server);
      event.load.running
          = (guint) CLAMP (json_integer_value (running), 0, G_MAXINT32);
      event.load.waiting
          = (guint) CLAMP (json_integer_value (waiting), 0, G_MAXINT32);
      event.load.age_us = age_us;
      hbw_control_submit (load->control, &event, NULL);
    }
  json_decref (root);
}

static void
poll_one (gpointer item, gpointer data)
{
  HbwPoll *poll = item;
  HbwLoad *load = data;
  HbwError error;
  HbwClock *clock = hbw_control_clock (load->control);
  gint64 asked_us = hbw_clock_now (clock);
  HbwPlatform *client = hbw_platform_create (poll->address, &error);
  if (client != NULL)
    {
      HbwStoreAnswer answer = hbw_platform_get_path (client, "/load", &error);
      if (answer.result == HBW_STORE_OK)
        {
          gsize length;
          const char *text = g_bytes_get_data (answer.body, &length);
          submit_report (load, poll, text, length, hbw_clock_now (clock) - asked_us);
          g_bytes_unref (answer.body);
        }
      hbw_platform_destroy (client);
    }
  g_free (poll);
}

HbwLoad *
hbw_load_create (HbwControl *control)
{
  HbwLoad *load = g_new0 (HbwLoad, 1);
  load->control = control;
  load->pool = g_thread_pool_new (poll_one, load, POLL_THREADS, FALSE, NULL);
  return load;
}

void
hbw_load_destroy (HbwLoad *load)
{
  g_thread_pool_free (load->pool, FALSE, TRUE);
  g_free (load);
}

void
hbw_load_poll (HbwLoad *load, const HbwPoll *poll)
{
  if (g_thread_pool_unprocessed (load->pool) >= POLL_BACKLOG)
    return;
  HbwPoll *copy = g_new (HbwPoll, 1);
  *copy = *poll;
  g_thread_pool_push (load->pool, copy, NULL);
}
