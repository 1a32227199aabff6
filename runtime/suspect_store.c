#include "hornbeamwall/runtime/suspect_store.h"

#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/platform/store_adapter.h"
#include "hornbeamwall/runtime/condition.h"
#include "hornbeamwall/runtime/shared_object.h"

#include <string.h>

/* Name of the object in the store of the native interface. */
#define OBJECT_NAME "hornbeamwall-suspects"

/* Pause before a read is tried again. */
#define READ_PAUSE_US (300 * HBW_US_PER_MS)

struct HbwSuspectStore
{
  HbwControl *control;
  HbwSharedObject *object;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GQueue calls; /* HbwStoreSuspects; a read has no body */
  gboolean stopping;
  pthread_t thread;
  gboolean started;
};

static void
submit (HbwSuspectStore *store, HbwEventKind kind, const HbwStoredSuspects *suspects)
{
  HbwEvent event = { .kind = kind, .suspects = *suspects };
  hbw_control_submit (store->control, &event, NULL);
}

/* Returns whether the object was read, or is known not to exist. */
static gboolean
read_object (HbwSuspectStore *store)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwStoreResponse response = store->object->class->read (store->object, &error);
  HbwStoredSuspects suspects = { .calls = 1, .era = response.era };
  suspects.version
      = response.result == HBW_STORE_OK ? response.version : HBW_VERSION_ABSENT;
  suspects.body = response.body;
  gboolean known
      = response.result == HBW_STORE_OK || response.result == HBW_STORE_NOT_FOUND;
  if (known)
    submit (store, HBW_EVENT_SUSPECTS_READ, &suspects);
  g_clear_pointer (&response.body, g_bytes_unref);
  return known;
}

static void
write_object (HbwSuspectStore *store, const HbwStoreSuspects *write)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwStoreResponse response = store->object->class->write (
      store->object, write->base_version, write->body, &error);
  HbwStoredSuspects suspects
      = { .calls = 1, .version = response.version, .era = response.era };
  suspects.written = response.result == HBW_STORE_OK;
  if (!suspects.written)
    read_object (store);
  submit (store, HBW_EVENT_SUSPECTS_WRITTEN, &suspects);
}

/* Waits before the next read; returns FALSE if the thread has to end. */
static gboolean
pause_reading (HbwSuspectStore *store)
{
  pthread_mutex_lock (&store->lock);
  if (!store->stopping)
    hbw_condition_wait_for (&store->wake, &store->lock, READ_PAUSE_US);
  gboolean stopping = store->stopping;
  pthread_mutex_unlock (&store->lock);
  return !stopping;
}

static HbwStoreSuspects *
next_call (HbwSuspectStore *store)
{
  pthread_mutex_lock (&store->lock);
  while (g_queue_is_empty (&store->calls) && !store->stopping)
    pthread_cond_wait (&store->wake, &store->lock);
  HbwStoreSuspects *call = store->stopping ? NULL : g_queue_pop_head (&store->calls);
  pthread_mutex_unlock (&store->lock);
  return call;
}

static void
call_free (gpointer data)
{
  HbwStoreSuspects *call = data;
  g_clear_pointer (&call->body, g_bytes_unref);
  g_free (call);
}

/* Returns FALSE if the thread has to end. */
static gboolean
read_until_known (HbwSuspectStore *store)
{
  while (!read_object (store))
    if (!pause_reading (store))
      return FALSE;
  return TRUE;
}

static void *
run_store_thread (void *data)
{
  HbwSuspectStore *store = data;
  gboolean is_running = read_until_known (store);
  HbwStoreSuspects *call;
  while (is_running && (call = next_call (store)) != NULL)
    {
      if (call->body != NULL)
        write_object (store, call);
      else
        is_running = read_until_known (store);
      call_free (call);
    }
  return NULL;
}

static HbwSharedObject *
create_object (const HbwSettings *settings, HbwError *error)
{
  const char *address = settings->platform_address;
  if (strcmp (settings->interface, HBW_INTERFACE_NATIVE) == 0)
    return hbw_shared_object_create (address, OBJECT_NAME, error);
  return hbw_shared_object_create_adapted (address, hbw_platform_suspects_adapter (),
                                           error);
}

HbwSuspectStore *
hbw_suspect_store_create (HbwControl *control, const HbwSettings *settings,
                          HbwError *error)
{
  HbwSharedObject *object = create_object (settings, error);
  if (object == NULL)
    return NULL;
  HbwSuspectStore *store = g_new0 (HbwSuspectStore, 1);
  store->control = control;
  store->object = object;
  g_queue_init (&store->calls);
  pthread_mutex_init (&store->lock, NULL);
  hbw_condition_init (&store->wake);
  int code = pthread_create (&store->thread, NULL, run_store_thread, store);
  store->started = code == 0;
  if (store->started)
    return store;
  hbw_error_set (error, HBW_ERROR_NETWORK,
                 "cannot start the thread for the platform's store: %s; raise the "
                 "thread limit",
                 g_strerror (code));
  hbw_suspect_store_destroy (store);
  return NULL;
}

void
hbw_suspect_store_destroy (HbwSuspectStore *store)
{
  pthread_mutex_lock (&store->lock);
  store->stopping = TRUE;
  pthread_cond_broadcast (&store->wake);
  pthread_mutex_unlock (&store->lock);
  if (store->started)
    pthread_join (store->thread, NULL);
  store->object->class->destroy (store->object);
  g_queue_clear_full (&store->calls, call_free);
  pthread_cond_destroy (&store->wake);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

/* Takes ownership of CALL. */
static void
enqueue (HbwSuspectStore *store, HbwStoreSuspects *call)
{
  pthread_mutex_lock (&store->lock);
  g_queue_push_tail (&store->calls, call);
  pthread_cond_signal (&store->wake);
  pthread_mutex_unlock (&store->lock);
}

void
hbw_suspect_store_enqueue (HbwSuspectStore *store, const HbwStoreSuspects *write)
{
  HbwStoreSuspects *copy = g_new (HbwStoreSuspects, 1);
  copy->base_version = write->base_version;
  copy->body = g_bytes_ref (write->body);
  enqueue (store, copy);
}

void
hbw_suspect_store_enqueue_read (HbwSuspectStore *store)
{
  enqueue (store, g_new0 (HbwStoreSuspects, 1));
}
