#include "hornbeamwall/runtime/watch.h"

#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/platform/store_adapter.h"
#include "hornbeamwall/runtime/condition.h"
#include "hornbeamwall/runtime/feed.h"

#include <stdatomic.h>
#include <string.h>

/* Longest timeout of one watch, in milliseconds. */
static const guint watch_timeout_max_ms[HBW_DOCUMENT_COUNT] = {
  [HBW_DOCUMENT_CATALOGUE] = 900,
  [HBW_DOCUMENT_SERVERS] = 2000,
  [HBW_DOCUMENT_INSTANCES] = 1000,
  [HBW_DOCUMENT_STOPS] = 1000,
};

/* The store drops the entry of a server that was silent for this many heartbeats. */
#define LAPSE_HEARTBEATS 3

/* Pause after a change of the servers, which coalesces further changes because many
   servers start at the same time. */
#define COALESCE_US (150 * HBW_US_PER_MS)

/* Timeout of a watch of the catalogue if its age is bounded.  An unchanged catalogue
   is confirmed only when its watch ends, by its age then. */
#define CONFIRMING_WATCH_TIMEOUT_MS 500

/* Timeout of the first watch after others had confirmed the documents. */
#define FIRST_WATCH_TIMEOUT_MS 50

/* Interval at which an instance that is not a watcher checks its role again. */
#define NON_WATCHER_PAUSE_US (100 * HBW_US_PER_MS)

/* Exponential backoff after a failed call. */
#define BACKOFF_MIN_US (200 * HBW_US_PER_MS)
#define BACKOFF_MAX_US (600 * HBW_US_PER_MS)

/* Pause before reading an object that does not exist again. */
#define NOT_FOUND_PAUSE_US (1 * HBW_US_PER_S)

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
  HbwFeed *feed;    /* NULL if the store does not provide the document */
  guint timeout_ms; /* of one watch */
  pthread_t thread;
  gboolean started;
} DocumentWatch;

struct HbwWatch
{
  HbwControl *control;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  atomic_bool stopping;
  gboolean peers_have_documents; /* nothing has to be read at the start */
  DocumentWatch document_watches[HBW_DOCUMENT_COUNT];
};

static void
wait_or_stop (HbwWatch *watch, gint64 duration_us)
{
  pthread_mutex_lock (&watch->lock);
  if (!atomic_load (&watch->stopping))
    hbw_condition_wait_for (&watch->wake, &watch->lock, duration_us);
  pthread_mutex_unlock (&watch->lock);
}

static void
submit_store_state (HbwWatch *watch, HbwDocumentKind kind,
                    const HbwFeedResult *result)
{
  HbwEvent event = { .kind = HBW_EVENT_STORE_STATE };
  event.store.document = kind;
  event.store.calls = result->call_count;
  event.store.cut_watches = result->cut_watch_count;
  event.store.outages = result->outage_count;
  event.store.kept = result->kept_count;
  event.store.failed_after_us = result->failed_after_us;
  event.store.up = result->status != HBW_STORE_FAILED;
  event.store.era = result->era;
  hbw_control_submit (watch->control, &event, NULL);
}

static void
submit_document (HbwWatch *watch, HbwDocumentKind kind, const HbwFeedResult *result)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
  event.document.kind = kind;
  event.document.version = result->version;
  event.document.body = result->body;
  hbw_control_submit (watch->control, &event, NULL);
}

static void
submit_confirmation (HbwWatch *watch, gint64 asked_us, const HbwFeedResult *result)
{
  HbwEvent event = { .kind = HBW_EVENT_CATALOGUE_CONFIRMED };
  event.confirmation.requested_us = asked_us;
  event.confirmation.version = result->version;
  event.confirmation.era = result->era;
  hbw_control_submit (watch->control, &event, NULL);
}

/* Waits up to TIMEOUT_MS for a newer version and submits the result.  Returns the
   pause before the next call, in microseconds.  BACKOFF_US holds the pause after a
   failure. */
static gint64
poll_document (DocumentWatch *document_watch, guint timeout_ms, gint64 *backoff_us)
{
  HbwWatch *watch = document_watch->watch;
  HbwError error = { HBW_ERROR_NONE, "" };
  gint64 asked_us = hbw_clock_now (hbw_control_clock (watch->control));
  HbwFeedResult result = document_watch->feed->class->wait_next (
      document_watch->feed, timeout_ms, &error);
  gboolean failed = result.status == HBW_STORE_FAILED;
  submit_store_state (watch, document_watch->kind, &result);
  if (result.status == HBW_STORE_OK)
    {
      submit_document (watch, document_watch->kind, &result);
      g_bytes_unref (result.body);
    }
  else if (result.status == HBW_STORE_NOT_FOUND
           && hbw_control_document_version (watch->control, document_watch->kind)
                  < 0)
    {
      result.version = 0; /* known not to exist */
      submit_document (watch, document_watch->kind, &result);
    }
  if (result.confirmed && document_watch->kind == HBW_DOCUMENT_CATALOGUE)
    submit_confirmation (watch, asked_us, &result);
  if (!failed)
    {
      *backoff_us = BACKOFF_MIN_US;
      if (result.status == HBW_STORE_NOT_FOUND)
        return NOT_FOUND_PAUSE_US;
      return result.status == HBW_STORE_OK
                     && document_watch->kind == HBW_DOCUMENT_SERVERS
                 ? COALESCE_US
                 : 0;
    }
  gint64 pause = *backoff_us;
  *backoff_us = MIN (BACKOFF_MAX_US, 2 * *backoff_us);
  return pause;
}

static guint
select_timeout_ms (const DocumentWatch *document_watch, gboolean was_idle)
{
  if (was_idle)
    return FIRST_WATCH_TIMEOUT_MS;
  if (document_watch->watch->peers_have_documents
      && document_watch->kind == HBW_DOCUMENT_CATALOGUE)
    return CONFIRMING_WATCH_TIMEOUT_MS;
  return document_watch->timeout_ms;
}

static void *
run_document_watch (void *data)
{
  DocumentWatch *document_watch = data;
  HbwWatch *watch = document_watch->watch;
  gboolean has_read = watch->peers_have_documents;
  gboolean was_idle = FALSE;
  gint64 backoff_us = BACKOFF_MIN_US;
  while (!atomic_load (&watch->stopping))
    {
      gboolean is_idle = has_read && !hbw_control_is_store_watcher (watch->control);
      guint timeout_ms = select_timeout_ms (document_watch, was_idle);
      gint64 pause = is_idle
                         ? NON_WATCHER_PAUSE_US
                         : poll_document (document_watch, timeout_ms, &backoff_us);
      was_idle = is_idle;
      /* After a failed call or a missing object, the pause is at least this long. */
      if (!is_idle && pause < BACKOFF_MIN_US)
        has_read = TRUE;
      if (pause > 0)
        wait_or_stop (watch, pause);
    }
  return NULL;
}

/* Returns the shortest outage of the store in which an entry may lapse: its server
   may have been silent for up to half of the time before the store went away. */
static gint64
shortest_outage_us (const HbwSettings *settings)
{
  return LAPSE_HEARTBEATS * settings->server_heartbeat_us / 2;
}

/* A watch of servers ends when half of the shortest outage has passed, so that one
   that is cut off at its end is not taken for an outage. */
static guint
watch_timeout_ms (const HbwSettings *settings, HbwDocumentKind kind)
{
  guint longest_ms = watch_timeout_max_ms[kind];
  if (kind != HBW_DOCUMENT_SERVERS)
    return longest_ms;
  return (guint) MIN (longest_ms, shortest_outage_us (settings) / 2 / HBW_US_PER_MS);
}

static HbwFeed *
create_feed (HbwWatch *watch, const HbwSettings *settings, HbwDocumentKind kind,
             HbwError *error)
{
  const char *address = settings->platform_address;
  if (strcmp (settings->interface, HBW_INTERFACE_NATIVE) == 0)
    return hbw_object_feed_create (address, object_names[kind], error);
  const HbwStoreAdapter *adapter = hbw_platform_store_adapter (kind);
  if (adapter == NULL)
    return NULL;
  return hbw_list_watch_feed_create (
      address, adapter, watch_timeout_ms (settings, kind),
      shortest_outage_us (settings), hbw_control_clock (watch->control), error);
}

/* A document that the store does not provide is treated as empty. */
static void
submit_not_found (HbwWatch *watch, HbwDocumentKind kind)
{
  const HbwFeedResult not_found = { .version = HBW_VERSION_ABSENT };
  submit_document (watch, kind, &not_found);
}

static void
start_document_watch (HbwWatch *watch, const HbwSettings *settings,
                      HbwDocumentKind kind, HbwError *error)
{
  DocumentWatch *document_watch = &watch->document_watches[kind];
  document_watch->watch = watch;
  document_watch->kind = kind;
  document_watch->timeout_ms = watch_timeout_ms (settings, kind);
  document_watch->feed = create_feed (watch, settings, kind, error);
  if (document_watch->feed != NULL)
    document_watch->started = pthread_create (&document_watch->thread, NULL,
                                              run_document_watch, document_watch)
                              == 0;
  else if (error->kind == HBW_ERROR_NONE)
    submit_not_found (watch, kind);
}

HbwWatch *
hbw_watch_create (HbwControl *control, const HbwSettings *settings, HbwError *error)
{
  HbwWatch *watch = g_new0 (HbwWatch, 1);
  watch->control = control;
  watch->peers_have_documents = settings->max_revocation_delay_us > 0;
  hbw_condition_init (&watch->wake);
  pthread_mutex_init (&watch->lock, NULL);
  error->kind = HBW_ERROR_NONE;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    start_document_watch (watch, settings, (HbwDocumentKind) i, error);
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
    if (watch->document_watches[i].started)
      pthread_join (watch->document_watches[i].thread, NULL);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    if (watch->document_watches[i].feed != NULL)
      watch->document_watches[i].feed->class->destroy (
          watch->document_watches[i].feed);
  pthread_cond_destroy (&watch->wake);
  pthread_mutex_destroy (&watch->lock);
  g_free (watch);
}

const char *
hbw_watch_object_name (HbwDocumentKind kind)
{
  return object_names[kind];
}
