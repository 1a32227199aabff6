#include "store.h"

#include "listen.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define PREFIX "/objects/"

typedef struct
{
  gint64 version;
  char *body;
  char *previous_body; /* body of the previous version */
} Object;

struct Store
{
  struct MHD_Daemon *daemon;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GHashTable *objects;
  GHashTable *copy; /* objects to restore, or NULL */
  gint64 era;       /* how often the store was restored */
  atomic_bool down;
  atomic_bool stale;
  atomic_bool stopping;
  atomic_uint responses_to_drop;
  _Atomic guint64 call_count;
};

static void
object_free (gpointer data)
{
  Object *object = data;
  g_free (object->body);
  g_free (object->previous_body);
  g_free (object);
}

static GHashTable *
create_table (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, object_free);
}

static enum MHD_Result
respond (const Store *store, struct MHD_Connection *connection, unsigned status,
         gint64 version, const char *body)
{
  char etag[32];
  char era[32];
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (body), (void *) body, MHD_RESPMEM_MUST_COPY);
  g_snprintf (etag, sizeof etag, "\"%" G_GINT64_FORMAT "\"", version);
  g_snprintf (era, sizeof era, "%" G_GINT64_FORMAT, store->era);
  if (version > 0)
    MHD_add_response_header (response, "ETag", etag);
  if (store->era > 0)
    MHD_add_response_header (response, "X-Store-Era", era);
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static gint64
number_argument (struct MHD_Connection *connection, const char *name)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : 0;
}

static void
wait_for_change (Store *store, const char *name, gint64 version, gint64 timeout_ms)
{
  struct timespec deadline;
  clock_gettime (CLOCK_REALTIME, &deadline);
  deadline.tv_sec += timeout_ms / 1000;
  deadline.tv_nsec += (timeout_ms % 1000) * 1000000;
  if (deadline.tv_nsec >= 1000000000)
    {
      deadline.tv_sec++;
      deadline.tv_nsec -= 1000000000;
    }
  for (;;)
    {
      const Object *object = g_hash_table_lookup (store->objects, name);
      if ((object != NULL && object->version > version)
          || atomic_load (&store->stopping) || atomic_load (&store->down))
        return;
      if (pthread_cond_timedwait (&store->changed, &store->lock, &deadline) != 0)
        return;
    }
}

static enum MHD_Result
read_object (Store *store, struct MHD_Connection *connection, const char *name)
{
  gint64 version = number_argument (connection, "watch");
  gint64 timeout_ms = number_argument (connection, "timeout_ms");
  enum MHD_Result result;
  pthread_mutex_lock (&store->lock);
  if (timeout_ms > 0)
    wait_for_change (store, name, version, timeout_ms);
  const Object *object = g_hash_table_lookup (store->objects, name);
  gboolean stale = atomic_load (&store->stale) && object != NULL
                   && object->previous_body != NULL;
  if (atomic_load (&store->down))
    result = respond (store, connection, 503, 0, "down");
  else if (object == NULL)
    result = respond (store, connection, 404, 0, "absent");
  else if (timeout_ms > 0 && object->version <= version)
    result = respond (store, connection, 304, object->version, "");
  else
    result = respond (store, connection, 200, object->version - (stale ? 1 : 0),
                      stale ? object->previous_body : object->body);
  pthread_mutex_unlock (&store->lock);
  return result;
}

static gint64
write_locked (Store *store, const char *name, const char *body)
{
  Object *object = g_hash_table_lookup (store->objects, name);
  if (object == NULL)
    {
      object = g_new0 (Object, 1);
      g_hash_table_insert (store->objects, g_strdup (name), object);
    }
  g_free (object->previous_body);
  object->previous_body = object->body;
  object->body = g_strdup (body);
  object->version++;
  pthread_cond_broadcast (&store->changed);
  return object->version;
}

static enum MHD_Result
write_object (Store *store, struct MHD_Connection *connection, const char *name,
              const char *body)
{
  const char *if_match
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "If-Match");
  gint64 expected = if_match != NULL ? g_ascii_strtoll (if_match + 1, NULL, 10) : 0;
  pthread_mutex_lock (&store->lock);
  const Object *object = g_hash_table_lookup (store->objects, name);
  gint64 current = object != NULL ? object->version : 0;
  gint64 version = expected == current ? write_locked (store, name, body) : 0;
  pthread_mutex_unlock (&store->lock);
  if (version == 0)
    return respond (store, connection, 412, current, "conflict");
  if (atomic_load (&store->responses_to_drop) > 0)
    {
      atomic_fetch_sub (&store->responses_to_drop, 1);
      return MHD_NO;
    }
  return respond (store, connection, 200, version, "");
}

static enum MHD_Result
handle (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version G_GNUC_UNUSED, const char *upload,
        size_t *upload_size, void **state)
{
  Store *store = data;
  GString *body = *state;
  if (body == NULL)
    {
      *state = g_string_new (NULL);
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_string_append_len (body, upload, (gssize) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  atomic_fetch_add (&store->call_count, 1);
  if (atomic_load (&store->down))
    return respond (store, connection, 503, 0, "down");
  if (!g_str_has_prefix (url, PREFIX))
    return respond (store, connection, 404, 0, "absent");
  const char *name = url + strlen (PREFIX);
  if (strcmp (method, "PUT") == 0)
    return write_object (store, connection, name, body->str);
  return read_object (store, connection, name);
}

static void
completed (void *data G_GNUC_UNUSED, struct MHD_Connection *connection G_GNUC_UNUSED,
           void **state, enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
  if (*state != NULL)
    g_string_free (*state, TRUE);
  *state = NULL;
}

Store *
store_create (const char *text)
{
  Store *store = g_new0 (Store, 1);
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->objects = create_table ();
  store->daemon = standin_listen (text, handle, completed, store);
  return store;
}

void
store_destroy (Store *store)
{
  pthread_mutex_lock (&store->lock);
  atomic_store (&store->stopping, TRUE);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
  if (store->daemon != NULL)
    MHD_stop_daemon (store->daemon);
  g_hash_table_destroy (store->objects);
  g_clear_pointer (&store->copy, g_hash_table_destroy);
  pthread_cond_destroy (&store->changed);
  pthread_mutex_destroy (&store->lock);
  g_free (store);
}

guint
store_port (const Store *store)
{
  return standin_port (store->daemon);
}

gint64
store_set (Store *store, const char *name, const char *body)
{
  pthread_mutex_lock (&store->lock);
  gint64 version = write_locked (store, name, body);
  pthread_mutex_unlock (&store->lock);
  return version;
}

void
store_copy (Store *store)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  pthread_mutex_lock (&store->lock);
  g_clear_pointer (&store->copy, g_hash_table_destroy);
  store->copy = create_table ();
  g_hash_table_iter_init (&iter, store->objects);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Object *object = value;
      Object *saved = g_new0 (Object, 1);
      saved->version = object->version;
      saved->body = g_strdup (object->body);
      g_hash_table_insert (store->copy, g_strdup (name), saved);
    }
  pthread_mutex_unlock (&store->lock);
}

void
store_restore (Store *store)
{
  pthread_mutex_lock (&store->lock);
  g_hash_table_destroy (store->objects);
  store->objects = g_steal_pointer (&store->copy);
  store->era++;
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

char *
store_get (Store *store, const char *name)
{
  pthread_mutex_lock (&store->lock);
  const Object *object = g_hash_table_lookup (store->objects, name);
  char *body = object != NULL ? g_strdup (object->body) : NULL;
  pthread_mutex_unlock (&store->lock);
  return body;
}

void
store_set_down (Store *store, gboolean down)
{
  pthread_mutex_lock (&store->lock);
  atomic_store (&store->down, down);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_drop_write_responses (Store *store, guint count)
{
  atomic_store (&store->responses_to_drop, count);
}

void
store_set_stale (Store *store, gboolean stale)
{
  atomic_store (&store->stale, stale);
}

guint64
store_call_count (Store *store)
{
  return atomic_load (&store->call_count);
}
