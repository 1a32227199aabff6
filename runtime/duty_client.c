#include "hornbeamwall/runtime/duty_client.h"

#include "hornbeamwall/platform/duty_adapter.h"
#include "hornbeamwall/runtime/condition.h"
#include "hornbeamwall/runtime/duty_sender.h"

#include <string.h>

/* A call may take this part of the lease. */
#define TIMEOUT_DIVISOR 3

/* A thread with the calls that it has to make. */
typedef struct
{
  HbwDutyClient *client;
  void (*make_call) (HbwDutyClient *client, gpointer call);
  GDestroyNotify free_call;
  pthread_mutex_t lock;
  pthread_cond_t wake;
  GQueue calls;
  gboolean stopping;
  pthread_t thread;
  gboolean started;
} Worker;

struct HbwDutyClient
{
  HbwControl *control;
  const HbwDutyAdapter *adapter;
  HbwStoreClient *store;
  HbwDutySender sender;
  char *address; /* of the duty interface */
  char *name;    /* of this instance */
  Worker store_worker;
  Worker call_worker;
};

/* --- threads ------------------------------------------------------------------- */

static gpointer
next_call (Worker *worker)
{
  pthread_mutex_lock (&worker->lock);
  while (g_queue_is_empty (&worker->calls) && !worker->stopping)
    pthread_cond_wait (&worker->wake, &worker->lock);
  gpointer call = worker->stopping ? NULL : g_queue_pop_head (&worker->calls);
  pthread_mutex_unlock (&worker->lock);
  return call;
}

static void *
run_worker (void *data)
{
  Worker *worker = data;
  gpointer call;
  while ((call = next_call (worker)) != NULL)
    {
      worker->make_call (worker->client, call);
      worker->free_call (call);
    }
  return NULL;
}

static gboolean
start_worker (Worker *worker, HbwError *error)
{
  int code = pthread_create (&worker->thread, NULL, run_worker, worker);
  worker->started = code == 0;
  if (code != 0)
    hbw_error_set (error, HBW_ERROR_NETWORK,
                   "cannot start a thread for the duties: %s; raise the thread "
                   "limit",
                   g_strerror (code));
  return worker->started;
}

static void
init_worker (Worker *worker, HbwDutyClient *client,
             void (*make_call) (HbwDutyClient *client, gpointer call),
             GDestroyNotify free_call)
{
  worker->client = client;
  worker->make_call = make_call;
  worker->free_call = free_call;
  g_queue_init (&worker->calls);
  pthread_mutex_init (&worker->lock, NULL);
  hbw_condition_init (&worker->wake);
}

static void
stop_worker (Worker *worker)
{
  pthread_mutex_lock (&worker->lock);
  worker->stopping = TRUE;
  pthread_cond_broadcast (&worker->wake);
  pthread_mutex_unlock (&worker->lock);
  if (worker->started)
    pthread_join (worker->thread, NULL);
  g_queue_clear_full (&worker->calls, worker->free_call);
  pthread_cond_destroy (&worker->wake);
  pthread_mutex_destroy (&worker->lock);
}

/* Takes ownership of CALL. */
static void
enqueue (Worker *worker, gpointer call)
{
  pthread_mutex_lock (&worker->lock);
  g_queue_push_tail (&worker->calls, call);
  pthread_cond_signal (&worker->wake);
  pthread_mutex_unlock (&worker->lock);
}

/* --- store --------------------------------------------------------------------- */

static HbwStoreResponse
read_object (HbwDutyClient *client, const HbwDutyStoreCall *call, HbwError *error)
{
  const char *path = call->kind == HBW_DUTY_STORE_READ_STALE
                         ? client->adapter->stale_path
                         : client->adapter->object->path;
  return hbw_store_client_get_path (client->store, path, error);
}

static HbwStoreResponse
write_object (HbwDutyClient *client, const HbwDutyStoreCall *call, HbwError *error)
{
  const HbwSharedObjectAdapter *object = client->adapter->object;
  char *text = object->format (call->base_revision, call->body);
  gboolean is_new = call->base_revision == 0;
  HbwStoreResponse response = hbw_store_client_send (
      client->store, is_new ? "POST" : "PUT",
      is_new ? object->create_path : object->path, text, strlen (text), error);
  g_free (text);
  return response;
}

static HbwDutyStoreOutcome
outcome_of (HbwStoreResult result)
{
  switch (result)
    {
    case HBW_STORE_OK:
      return HBW_DUTY_STORE_OK;
    case HBW_STORE_NOT_FOUND:
      return HBW_DUTY_STORE_ABSENT;
    case HBW_STORE_CONFLICT:
      return HBW_DUTY_STORE_CONFLICT;
    case HBW_STORE_UNKNOWN:
      return HBW_DUTY_STORE_UNKNOWN;
    default:
      return HBW_DUTY_STORE_FAILED;
    }
}

/* Sets the revision and the body of RESULT from the object in RESPONSE. */
static void
parse_object (const HbwDutyClient *client, const HbwStoreResponse *response,
              HbwDutyStoreResult *result, HbwError *error)
{
  gsize length;
  const char *text = g_bytes_get_data (response->body, &length);
  result->body
      = client->adapter->object->parse (text, length, &result->revision, error);
  if (result->body != NULL)
    return;
  /* A write without a revision in its response took effect or not. */
  result->outcome = result->kind == HBW_DUTY_STORE_WRITE ? HBW_DUTY_STORE_UNKNOWN
                                                         : HBW_DUTY_STORE_FAILED;
}

static void
make_store_call (HbwDutyClient *client, gpointer data)
{
  const HbwDutyStoreCall *call = data;
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwStoreResponse response = call->kind == HBW_DUTY_STORE_WRITE
                                  ? write_object (client, call, &error)
                                  : read_object (client, call, &error);
  HbwEvent event = { .kind = HBW_EVENT_DUTY_STORE };
  HbwDutyStoreResult *result = &event.duty_store;
  result->kind = call->kind;
  result->outcome = outcome_of (response.result);
  result->era = response.era;
  if (response.body != NULL)
    parse_object (client, &response, result, &error);
  hbw_control_submit (client->control, &event, NULL);
  g_clear_pointer (&result->body, g_bytes_unref);
  g_clear_pointer (&response.body, g_bytes_unref);
}

static void
store_call_free (gpointer data)
{
  HbwDutyStoreCall *call = data;
  g_clear_pointer (&call->body, g_bytes_unref);
  g_free (call);
}

/* --- duty interface ------------------------------------------------------------ */

static void
make_duty_call (HbwDutyClient *client, gpointer data)
{
  const HbwSendDutyCall *call = data;
  HbwEvent event = { .kind = HBW_EVENT_DUTY_CALL };
  event.duty_call.kind = call->call.kind;
  event.duty_call.id = call->call.id;
  event.duty_call.outcome = hbw_duty_sender_send (&client->sender, call);
  hbw_control_submit (client->control, &event, NULL);
}

static void
duty_call_free (gpointer data)
{
  HbwSendDutyCall *call = data;
  hbw_duty_call_clear (&call->call);
  g_free (call);
}

HbwDutyClient *
hbw_duty_client_create (HbwControl *control, const HbwSettings *settings,
                        HbwError *error)
{
  HbwStoreClient *store
      = hbw_store_client_create (settings->platform_address, error);
  if (store == NULL)
    return NULL;
  HbwDutyClient *client = g_new0 (HbwDutyClient, 1);
  gint64 timeout_us = settings->duty_lease_us / TIMEOUT_DIVISOR;
  client->control = control;
  client->adapter = hbw_platform_duty_adapter ();
  client->store = store;
  client->address = g_strdup (settings->duty_address);
  client->name = g_strdup (settings->name);
  client->sender = (HbwDutySender){ client->adapter, client->address, client->name,
                                    hbw_control_clock (control), timeout_us };
  hbw_store_client_set_era_field (store, client->adapter->object->era_field);
  hbw_store_client_set_timeout (store, (guint) (timeout_us / HBW_US_PER_MS));
  hbw_store_client_read_conflicts (store);
  init_worker (&client->store_worker, client, make_store_call, store_call_free);
  init_worker (&client->call_worker, client, make_duty_call, duty_call_free);
  if (!start_worker (&client->store_worker, error)
      || !start_worker (&client->call_worker, error))
    g_clear_pointer (&client, hbw_duty_client_destroy);
  return client;
}

void
hbw_duty_client_destroy (HbwDutyClient *client)
{
  stop_worker (&client->store_worker);
  stop_worker (&client->call_worker);
  hbw_store_client_destroy (client->store);
  g_free (client->address);
  g_free (client->name);
  g_free (client);
}

void
hbw_duty_client_enqueue_store (HbwDutyClient *client, const HbwDutyStoreCall *call)
{
  HbwDutyStoreCall *copy = g_new (HbwDutyStoreCall, 1);
  *copy = *call;
  if (copy->body != NULL)
    g_bytes_ref (copy->body);
  enqueue (&client->store_worker, copy);
}

void
hbw_duty_client_enqueue_call (HbwDutyClient *client, const HbwSendDutyCall *call)
{
  HbwSendDutyCall *copy = g_new (HbwSendDutyCall, 1);
  *copy = *call;
  hbw_duty_call_copy (&copy->call, &call->call);
  enqueue (&client->call_worker, copy);
}
