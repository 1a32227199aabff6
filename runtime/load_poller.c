#include "hornbeamwall/runtime/load_poller.h"

#include "hornbeamwall/net/store_client.h"

#include <jansson.h>
#include <pthread.h>

#define POLL_THREADS 4

/* Queued polls; further ones are dropped, since the control thread polls again. */
#define POLL_BACKLOG 256

struct HbwLoadPoller
{
  HbwControl *control;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GQueue pending_polls; /* HbwPollLoad */
  gboolean stopping;
  pthread_t threads[POLL_THREADS];
  guint thread_count;
};

static guint
get_count (json_t *number)
{
  return (guint) CLAMP (json_integer_value (number), 0, G_MAXINT32);
}

gboolean
hbw_load_report_parse (HbwLoadReport *report, const char *text, gsize length)
{
  json_t *root = json_loadb (text, length, 0, NULL);
  json_t *running = json_object_get (root, "running");
  json_t *waiting = json_object_get (root, "waiting");
  gboolean valid = json_is_integer (running) && json_is_integer (waiting);
  report->running = get_count (running);
  report->waiting = get_count (waiting);
  json_decref (root);
  return valid;
}

static void
submit_report (HbwLoadPoller *poller, const HbwPollLoad *poll, const char *text,
               gsize length, gint64 age_us)
{
  HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT, .load.age_us = age_us };
  g_strlcpy (event.load.server, poll->server, sizeof event.load.server);
  if (hbw_load_report_parse (&event.load, text, length))
    hbw_control_submit (poller->control, &event, NULL);
}

static void
poll_server (HbwLoadPoller *poller, const HbwPollLoad *poll)
{
  HbwError error;
  HbwClock *clock = hbw_control_clock (poller->control);
  gint64 sent_us = hbw_clock_now (clock);
  HbwStoreClient *client = hbw_store_client_create (poll->address, &error);
  if (client == NULL)
    return;
  HbwStoreResponse response = hbw_store_client_get_path (client, "/load", &error);
  if (response.result == HBW_STORE_OK)
    {
      gsize length;
      const char *text = g_bytes_get_data (response.body, &length);
      submit_report (poller, poll, text, length, hbw_clock_now (clock) - sent_us);
      g_bytes_unref (response.body);
    }
  hbw_store_client_destroy (client);
}

static HbwPollLoad *
next_poll (HbwLoadPoller *poller)
{
  pthread_mutex_lock (&poller->lock);
  while (g_queue_is_empty (&poller->pending_polls) && !poller->stopping)
    pthread_cond_wait (&poller->wake, &poller->lock);
  HbwPollLoad *poll
      = poller->stopping ? NULL : g_queue_pop_head (&poller->pending_polls);
  pthread_mutex_unlock (&poller->lock);
  return poll;
}

static void *
run_poll_thread (void *data)
{
  HbwLoadPoller *poller = data;
  HbwPollLoad *poll;
  while ((poll = next_poll (poller)) != NULL)
    {
      poll_server (poller, poll);
      g_free (poll);
    }
  return NULL;
}

HbwLoadPoller *
hbw_load_poller_create (HbwControl *control)
{
  HbwLoadPoller *poller = g_new0 (HbwLoadPoller, 1);
  poller->control = control;
  pthread_mutex_init (&poller->lock, NULL);
  pthread_cond_init (&poller->wake, NULL);
  g_queue_init (&poller->pending_polls);
  return poller;
}

void
hbw_load_poller_destroy (HbwLoadPoller *poller)
{
  pthread_mutex_lock (&poller->lock);
  poller->stopping = TRUE;
  pthread_cond_broadcast (&poller->wake);
  pthread_mutex_unlock (&poller->lock);
  for (guint i = 0; i < poller->thread_count; i++)
    pthread_join (poller->threads[i], NULL);
  g_queue_clear_full (&poller->pending_polls, g_free);
  pthread_cond_destroy (&poller->wake);
  pthread_mutex_destroy (&poller->lock);
  g_free (poller);
}

/* Starts the threads with the first poll: there are no polls if servers report their
   load in each response. */
static void
start_threads (HbwLoadPoller *poller)
{
  if (poller->thread_count > 0)
    return;
  for (guint i = 0; i < POLL_THREADS; i++)
    if (pthread_create (&poller->threads[poller->thread_count], NULL,
                        run_poll_thread, poller)
        == 0)
      poller->thread_count++;
}

void
hbw_load_poller_enqueue (HbwLoadPoller *poller, const HbwPollLoad *poll)
{
  start_threads (poller);
  pthread_mutex_lock (&poller->lock);
  if (g_queue_get_length (&poller->pending_polls) < POLL_BACKLOG)
    {
      HbwPollLoad *copy = g_new (HbwPollLoad, 1);
      *copy = *poll;
      g_queue_push_tail (&poller->pending_polls, copy);
      pthread_cond_signal (&poller->wake);
    }
  pthread_mutex_unlock (&poller->lock);
}
