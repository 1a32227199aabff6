#include "hornbeamwall/runtime/watch.h"

#include "hornbeamwall/core/documents.h"
#include "hornbeamwall/platform/store.h"
#include "hornbeamwall/runtime/feed.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

/* How long one watch stays open, in milliseconds.  Only the end of a watch on the
   catalogue confirms that nothing has changed. */
static const guint watch_ms[HBW_DOCUMENT_COUNT] = {
  [HBW_DOCUMENT_CATALOGUE] = 900,
  [HBW_DOCUMENT_SERVERS] = 2000,
  [HBW_DOCUMENT_INSTANCES] = 1000,
  [HBW_DOCUMENT_STOPS] = 1000,
};

/* Pause after a change, in which others gather: many servers come at once. */
#define GATHER_US (150 * HBW_US_PER_MS)

/* Pause of an instance that does not watch, in microseconds. */
#define IDLE_US (100 * HBW_US_PER_MS)

/* Pauses after a call that failed. */
#define RETRY_MIN_US (200 * HBW_US_PER_MS)
#define RETRY_MAX_US (600 * HBW_US_PER_MS)

/* Pause before an object that does not exist is looked for again. */
#define ABSENT_US (1 * HBW_US_PER_S)

static const char *const object_names[HBW_DOCUMENT_COUNT] = {
  [HBW_DOCUMENT_CATALOGUE] = "hornbeamwall-catalogue",
  [HBW_DOCUMENT_SERVERS] = "servers",
  [HBW_DOCUMENT_INSTANCES] = "instances",
  [HBW_DOCUMENT_STOPS] = "hornbeamwall-stops",
};

typedef struct
{
  HbwWatch *watch;
  HbwDocumentKind kind;
  HbwFeed *feed; /* NULL where the store has no such document */
  pthread_t thread;
  gboolean started;
  gint64 seen; /* highest version that was read, adopted or not; -1 is none */
} Follower;

struct HbwWatch
{
  HbwControl *control;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  atomic_bool stopping;
  Follower followers[HBW_DOCUMENT_COUNT];
};

static void
pause_for (HbwWatch *watch, gint64 duration_us)
{
  struct timespec until;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += duration_us / HBW_US_PER_S;
  until.tv_nsec += (duration_us % HBW_US_PER_S) * 1000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_mutex_lock (&watch->lock);
  if (!atomic_load (&watch->stopping))
    pthread_cond_timedwait (&watch->wake, &watch->lock, &until);
  pthread_mutex_unlock (&watch->lock);
}

static void
submit_state (HbwWatch *watch, HbwDocumentKind kind, const HbwFeedAnswer *answer)
{
  HbwEvent event = { .kind = HBW_EVENT_STORE_STATE };
  event.store.document = kind;
  event.store.calls = answer->calls;
  event.store.up = answer->result != HBW_STORE_FAILED;
  hbw_control_submit (watch->control, &event, NULL);
}

static void
submit_document (HbwWatch *watch, HbwDocumentKind kind, const HbwFeedAnswer *answer)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT };
  event.document.kind = kind;
  event.document.version = answer->version;
  event.document.body = answer->body;
  hbw_control_submit (watch->control, &event, NULL);
}

/* Makes one call; returns the pause before the next one. */
static gint64
follow_once (Follower *follower, gint64 *failed_us)
{
  HbwWatch *watch = follower->watch;
  HbwError error = { HBW_ERROR_NONE, "" };
  gint64 version
      = MAX (hbw_control_version (watch->control, follower->kind), follower->seen);
  gint64 asked_us = hbw_clock_now (hbw_control_clock (watch->control));
  HbwFeedAnswer answer = follower->feed->class->next (
      follower->feed, version, watch_ms[follower->kind], &error);
  gboolean failed = answer.result == HBW_STORE_FAILED;
  submit_state (watch, follower->kind, &answer);
  if (answer.result == HBW_STORE_OK)
    {
      submit_document (watch, follower->kind, &answer);
      follower->seen = MAX (follower->seen, answer.version);
      g_bytes_unref (answer.body);
    }
  else if (answer.result == HBW_STORE_ABSENT && version < 0)
    {
      answer.version = 0;
      submit_document (watch, follower->kind, &answer);
    }
  if (answer.confirmed && follower->kind == HBW_DOCUMENT_CATALOGUE)
    hbw_control_confirm (watch->control, asked_us, follower->seen);
  if (!failed)
    {
      *failed_us = RETRY_MIN_US;
      if (answer.result == HBW_STORE_ABSENT)
        return ABSENT_US;
      return answer.result == HBW_STORE_OK && follower->kind == HBW_DOCUMENT_SERVERS
                 ? GATHER_US
                 : 0;
    }
  gint64 pause = *failed_us;
  *failed_us = MIN (RETRY_MAX_US, 2 * *failed_us);
  return pause;
}

static void *
follow (void *data)
{
  Follower *follower = data;
  HbwWatch *watch = follower->watch;
  gboolean has_read = FALSE;
  gint64 failed_us = RETRY_MIN_US;
  while (!atomic_load (&watch->stopping))
    {
      gboolean idle = has_read && !hbw_control_is_watcher (watch->control);
      gint64 pause = idle ? IDLE_US : follow_once (follower, &failed_us);
      if (!idle && pause < RETRY_MIN_US)
        has_read = TRUE;
      if (pause > 0)
        pause_for (watch, pause);
    }
  return NULL;
}

static HbwFeed *
open_feed (HbwWatch *watch, const HbwSettings *settings, HbwDocumentKind kind,
           HbwError *error)
{
  const char *address = settings->platform_address;
  if (strcmp (settings->interface, HBW_INTERFACE_NATIVE) == 0)
    return hbw_object_feed_create (address, object_names[kind], error);
  const HbwStoreForm *form = hbw_platform_store_form (kind);
  if (form == NULL)
    return NULL;
  return hbw_listing_feed_create (address, form, watch_ms[kind],
                                  hbw_control_clock (watch->control), error);
}

/* A document that this kind of store does not keep counts as one that is empty. */
static void
submit_absent (HbwWatch *watch, HbwDocumentKind kind)
{
  const HbwFeedAnswer absent = { .version = HBW_VERSION_ABSENT };
  submit_document (watch, kind, &absent);
}

static void
start_follower (HbwWatch *watch, const HbwSettings *settings, HbwDocumentKind kind,
                HbwError *error)
{
  Follower *follower = &watch->followers[kind];
  follower->watch = watch;
  follower->kind = kind;
  follower->seen = -1;
  follower->feed = open_feed (watch, settings, kind, error);
  if (follower->feed != NULL)
    follower->started
        = pthread_create (&follower->thread, NULL, follow, follower) == 0;
  else if (error->kind == HBW_ERROR_NONE)
    submit_absent (watch, kind);
}

HbwWatch *
hbw_watch_create (HbwControl *control, const HbwSettings *settings, HbwError *error)
{
  HbwWatch *watch = g_new0 (HbwWatch, 1);
  watch->control = control;
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&watch->wake, &attributes);
  pthread_condattr_destroy (&attributes);
  pthread_mutex_init (&watch->lock, NULL);
  error->kind = HBW_ERROR_NONE;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    start_follower (watch, settings, (HbwDocumentKind) i, error);
  if (error->kind != HBW_ERROR_NONE)
    g_clear_pointer (&watch, hbw_watch_destroy);
  return watch;
}

void
hbw_watch_stop (HbwWatch *watch)
{
  pthread_mutex_lock (&watch->lock);
  atomic_store (&watch->stopping, TRUE);
  pthread_cond_broadcast (&watch->wake);
  pthread_mutex_unlock (&watch->lock);
}

void
hbw_watch_destroy (HbwWatch *watch)
{
  hbw_watch_stop (watch);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    if (watch->followers[i].started)
      pthread_join (watch->followers[i].thread, NULL);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    if (watch->followers[i].feed != NULL)
      watch->followers[i].feed->class->destroy (watch->followers[i].feed);
  pthread_cond_destroy (&watch->wake);
  pthread_mutex_destroy (&watch->lock);
  g_free (watch);
}

const char *
hbw_watch_object_name (HbwDocumentKind kind)
{
  return object_names[kind];
}
