#include "hornbeamwall/runtime/load.h"

#include "hornbeamwall/net/platform.h"

#include <jansson.h>
#include <pthread.h>

/* Calls at once; more wait. */
#define POLL_THREADS 4

/* Calls that wait before more are dropped, to be asked again later. */
#define POLL_BACKLOG 256

struct HbwLoad
{
  HbwControl *control;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GQueue waiting; /* HbwPoll */
  gboolean stopping;
  pthread_t threads[POLL_THREADS];
  guint thread_count;
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
poll_one (HbwLoad *load, const HbwPoll *poll)
{
  HbwError error;
  HbwClock *clock = hbw_control_clock (load->control);
  gint64 asked_us = hbw_clock_now (clock);
  HbwPlatform *client = hbw_platform_create (poll->address, &error);
  if (client == NULL)
    return;
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

static HbwPoll *
next_poll (HbwLoad *load)
{
  pthread_mutex_lock (&load->lock);
  while (g_queue_is_empty (&load->waiting) && !load->stopping)
    pthread_cond_wait (&load->wake, &load->lock);
  HbwPoll *poll = load->stopping ? NULL : g_queue_pop_head (&load->waiting);
  pthread_mutex_unlock (&load->lock);
  return poll;
}

static void *
run (void *data)
{
  HbwLoad *load = data;
  HbwPoll *poll;
  while ((poll = next_poll (load)) != NULL)
    {
      poll_one (load, poll);
      g_free (poll);
    }
  return NULL;
}

HbwLoad *
hbw_load_create (HbwControl *control)
{
  HbwLoad *load = g_new0 (HbwLoad, 1);
  load->control = control;
  pthread_mutex_init (&load->lock, NULL);
  pthread_cond_init (&load->wake, NULL);
  g_queue_init (&load->waiting);
  return load;
}

void
hbw_load_destroy (HbwLoad *load)
{
  pthread_mutex_lock (&load->lock);
  load->stopping = TRUE;
  pthread_cond_broadcast (&load->wake);
  pthread_mutex_unlock (&load->lock);
  for (guint i = 0; i < load->thread_count; i++)
    pthread_join (load->threads[i], NULL);
  g_queue_clear_full (&load->waiting, g_free);
  pthread_cond_destroy (&load->wake);
  pthread_mutex_destroy (&load->lock);
  g_free (load);
}

/* Where servers tell their load with each answer, nothing is ever asked. */
static void
ensure_threads (HbwLoad *load)
{
  if (load->thread_count > 0)
    return;
  for (guint i = 0; i < POLL_THREADS; i++)
    if (pthread_create (&load->threads[load->thread_count], NULL, run, load) == 0)
      load->thread_count++;
}

void
hbw_load_poll (HbwLoad *load, const HbwPoll *poll)
{
  ensure_threads (load);
  pthread_mutex_lock (&load->lock);
  if (g_queue_get_length (&load->waiting) < POLL_BACKLOG)
    {
      HbwPoll *copy = g_new (HbwPoll, 1);
      *copy = *poll;
      g_queue_push_tail (&load->waiting, copy);
      pthread_cond_signal (&load->wake);
    }
  pthread_mutex_unlock (&load->lock);
}
