#include "engine.h"

#include "listen.h"

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define STREAM_BLOCK ((size_t) 4096)

struct Engine
{
  EngineConfig config;
  struct MHD_Daemon *daemon;
  pthread_mutex_t lock;
  pthread_cond_t slot_free;
  GHashTable *runs; /* tag -> count */
  guint running;
  guint waiting;
  guint peak_running;
  guint started_count;
  guint order_count;
  guint64 highest_fencing_number;
  guint64 last_fencing_number;
  atomic_bool crashed;
};

typedef struct
{
  Engine *engine;
  GByteArray *body;
  char tag[128];
  char fault[32];
  char id[96];
  guint tokens;
  guint next_token; /* index of the next token */
  gboolean stream;
  gboolean holds_slot;
  gboolean begun;
  gboolean done_sent;
  GString *pending_output;
} Job;

static void
acquire_slot (Job *job)
{
  Engine *engine = job->engine;
  pthread_mutex_lock (&engine->lock);
  engine->waiting++;
  while (engine->running >= engine->config.slots && !atomic_load (&engine->crashed))
    pthread_cond_wait (&engine->slot_free, &engine->lock);
  engine->waiting--;
  engine->running++;
  engine->peak_running = MAX (engine->peak_running, engine->running);
  job->holds_slot = TRUE;
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (engine->runs, job->tag));
  g_hash_table_replace (engine->runs, g_strdup (job->tag),
                        GUINT_TO_POINTER (count + 1));
  gboolean cut = engine->config.truncate_every > 0
                 && ++engine->started_count % engine->config.truncate_every == 0;
  pthread_mutex_unlock (&engine->lock);
  if (cut)
    g_strlcpy (job->fault, job->stream ? "cut" : "reset", sizeof job->fault);
}

static void
release_slot (Job *job)
{
  Engine *engine = job->engine;
  if (!job->holds_slot)
    return;
  pthread_mutex_lock (&engine->lock);
  engine->running--;
  job->holds_slot = FALSE;
  pthread_cond_signal (&engine->slot_free);
  pthread_mutex_unlock (&engine->lock);
}

static void
job_free (void *data)
{
  Job *job = data;
  release_slot (job);
  g_byte_array_free (job->body, TRUE);
  g_string_free (job->pending_output, TRUE);
  g_free (job);
}

static void
parse_job (Job *job)
{
  json_t *root
      = json_loadb ((const char *) job->body->data, job->body->len, 0, NULL);
  const char *tag = json_string_value (json_object_get (root, "tag"));
  const char *fault = json_string_value (json_object_get (root, "fault"));
  g_strlcpy (job->tag, tag != NULL ? tag : "none", sizeof job->tag);
  g_strlcpy (job->fault, fault != NULL ? fault : "", sizeof job->fault);
  job->stream = json_is_true (json_object_get (root, "stream"));
  json_int_t tokens = json_integer_value (json_object_get (root, "max_tokens"));
  job->tokens = tokens > 0 ? (guint) tokens : 4;
  json_decref (root);
}

static gboolean
has_fault (const Job *job, const char *name)
{
  return strcmp (job->fault, name) == 0;
}

static void
sleep_ms (guint milliseconds)
{
  g_usleep ((gulong) milliseconds * 1000);
}

static void
crash (Engine *engine)
{
  if (engine->config.exit_on_crash)
    _exit (1);
  engine_set_crashed (engine, TRUE);
}

static void
append_next_token (Job *job)
{
  if (job->next_token > 0)
    sleep_ms (job->engine->config.token_ms);
  if (job->next_token < job->tokens)
    g_string_printf (
        job->pending_output,
        "data: {\"choices\":[{\"delta\":{\"content\":\"%s:%u \"}}]}\n\n", job->tag,
        job->next_token++);
  else if (!job->done_sent)
    {
      job->done_sent = TRUE;
      g_string_assign (job->pending_output,
                       has_fault (job, "no_done") ? "" : "data: [DONE]\n\n");
    }
}

static ssize_t
read_stream (void *data, uint64_t position G_GNUC_UNUSED, char *buffer, size_t size)
{
  Job *job = data;
  if (has_fault (job, "crash") && job->next_token == 2)
    crash (job->engine);
  if (atomic_load (&job->engine->crashed)
      || (has_fault (job, "cut") && job->next_token == 2))
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (has_fault (job, "stall") && job->next_token == 2)
    sleep_ms (3000);
  if (job->pending_output->len == 0)
    append_next_token (job);
  if (job->pending_output->len == 0)
    return MHD_CONTENT_READER_END_OF_STREAM;
  size_t length = MIN (size, job->pending_output->len);
  memcpy (buffer, job->pending_output->str, length);
  g_string_erase (job->pending_output, 0, (gssize) length);
  return (ssize_t) length;
}

static ssize_t
read_truncated (void *data, uint64_t position, char *buffer, size_t size)
{
  Job *job = data;
  if (position > 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t length = MIN (size, job->pending_output->len / 2);
  memcpy (buffer, job->pending_output->str, length);
  return (ssize_t) length;
}

static void
format_completion (Job *job)
{
  g_string_assign (job->pending_output,
                   "{\"choices\":[{\"message\":{\"content\":\"");
  for (guint i = 0; i < job->tokens; i++)
    g_string_append_printf (job->pending_output, "%s:%u ", job->tag, i);
  g_string_append_printf (job->pending_output,
                          "\"}}],\"usage\":{\"completion_tokens\":%u}}",
                          job->tokens);
}

static enum MHD_Result
queue_response (struct MHD_Connection *connection, Job *job, unsigned status,
                struct MHD_Response *response, const char *type)
{
  MHD_add_response_header (response, "Content-Type", type);
  MHD_add_response_header (response, "X-Request-Id",
                           has_fault (job, "wrong_id") ? "another" : job->id);
  if (status == 503)
    MHD_add_response_header (response, "X-Request-Executed", "no");
  enum MHD_Result result = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_completion (struct MHD_Connection *connection, Job *job)
{
  Engine *engine = job->engine;
  if (has_fault (job, "refuse"))
    return queue_response (
        connection, job, 503,
        MHD_create_response_from_buffer (2, (void *) "no", MHD_RESPMEM_PERSISTENT),
        "text/plain");
  acquire_slot (job);
  sleep_ms (engine->config.first_token_ms);
  if (has_fault (job, "crash") && !job->stream)
    crash (engine);
  if (atomic_load (&engine->crashed) || has_fault (job, "reset"))
    return MHD_NO;
  if (has_fault (job, "stall") && !job->stream)
    sleep_ms (3000);
  if (job->stream)
    return queue_response (
        connection, job, 200,
        MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK,
                                           read_stream, job, NULL),
        "text/event-stream");
  for (guint i = 1; i < job->tokens && !atomic_load (&engine->crashed); i++)
    sleep_ms (engine->config.token_ms);
  if (atomic_load (&engine->crashed))
    return MHD_NO;
  format_completion (job);
  struct MHD_Response *response
      = has_fault (job, "truncate")
            ? MHD_create_response_from_callback (
                job->pending_output->len, STREAM_BLOCK, read_truncated, job, NULL)
            : MHD_create_response_from_buffer (job->pending_output->len,
                                               job->pending_output->str,
                                               MHD_RESPMEM_MUST_COPY);
  return queue_response (connection, job, 200, response, "application/json");
}

static enum MHD_Result
respond_with_text (struct MHD_Connection *connection, char *text)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  enum MHD_Result result = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle_query (Engine *engine, struct MHD_Connection *connection, const char *url)
{
  const char *tag
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, "tag");
  char *text = NULL;
  if (strcmp (url, "/runs") == 0 && tag != NULL)
    return respond_with_text (
        connection, g_strdup_printf ("%u", engine_run_count (engine, tag)));
  pthread_mutex_lock (&engine->lock);
  if (asprintf (&text, "{\"running\":%u,\"waiting\":%u}", engine->running,
                engine->waiting)
      < 0)
    text = strdup ("");
  pthread_mutex_unlock (&engine->lock);
  return respond_with_text (connection, text);
}

static enum MHD_Result
handle_order (Engine *engine, struct MHD_Connection *connection)
{
  const char *text = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                  "X-Fencing-Number");
  guint64 fencing_number = text != NULL ? g_ascii_strtoull (text, NULL, 10) : 0;
  pthread_mutex_lock (&engine->lock);
  gboolean old = engine->config.check_fencing_number
                 && fencing_number < engine->highest_fencing_number;
  if (!old)
    {
      engine->order_count++;
      engine->last_fencing_number = fencing_number;
      engine->highest_fencing_number
          = MAX (engine->highest_fencing_number, fencing_number);
    }
  pthread_mutex_unlock (&engine->lock);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (0, (void *) "", MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result
      = MHD_queue_response (connection, old ? 409 : 200, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
handle (void *data, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version G_GNUC_UNUSED, const char *upload,
        size_t *upload_size, void **state)
{
  Engine *engine = data;
  Job *job = *state;
  if (atomic_load (&engine->crashed))
    return MHD_NO;
  if (job == NULL)
    {
      job = g_new0 (Job, 1);
      job->engine = engine;
      job->body = g_byte_array_new ();
      job->pending_output = g_string_new (NULL);
      *state = job;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      g_byte_array_append (job->body, (const guint8 *) upload, (guint) *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (strcmp (method, "GET") == 0)
    return handle_query (engine, connection, url);
  if (strcmp (method, "PUT") == 0 && strcmp (url, "/orders") == 0)
    return handle_order (engine, connection);
  const char *id
      = MHD_lookup_connection_value (connection, MHD_HEADER_KIND, "X-Request-Id");
  g_strlcpy (job->id, id != NULL ? id : "", sizeof job->id);
  parse_job (job);
  return handle_completion (connection, job);
}

static void
completed (void *data G_GNUC_UNUSED, struct MHD_Connection *connection G_GNUC_UNUSED,
           void **state, enum MHD_RequestTerminationCode code G_GNUC_UNUSED)
{
  if (*state != NULL)
    job_free (*state);
  *state = NULL;
}

Engine *
engine_create (const EngineConfig *config)
{
  Engine *engine = g_new0 (Engine, 1);
  engine->config = *config;
  pthread_mutex_init (&engine->lock, NULL);
  pthread_cond_init (&engine->slot_free, NULL);
  engine->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  engine->daemon = standin_listen (config->address, handle, completed, engine);
  if (engine->daemon != NULL)
    return engine;
  g_hash_table_destroy (engine->runs);
  g_free (engine);
  return NULL;
}

void
engine_destroy (Engine *engine)
{
  MHD_stop_daemon (engine->daemon);
  g_hash_table_destroy (engine->runs);
  pthread_cond_destroy (&engine->slot_free);
  pthread_mutex_destroy (&engine->lock);
  g_free (engine);
}

guint
engine_port (const Engine *engine)
{
  return standin_port (engine->daemon);
}

guint
engine_run_count (Engine *engine, const char *tag)
{
  pthread_mutex_lock (&engine->lock);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (engine->runs, tag));
  pthread_mutex_unlock (&engine->lock);
  return count;
}

guint
engine_peak_concurrency (Engine *engine)
{
  pthread_mutex_lock (&engine->lock);
  guint peak = engine->peak_running;
  pthread_mutex_unlock (&engine->lock);
  return peak;
}

guint
engine_order_count (Engine *engine, guint64 *fencing_number)
{
  pthread_mutex_lock (&engine->lock);
  guint count = engine->order_count;
  *fencing_number = engine->last_fencing_number;
  pthread_mutex_unlock (&engine->lock);
  return count;
}

void
engine_set_crashed (Engine *engine, gboolean crashed)
{
  atomic_store (&engine->crashed, crashed);
  pthread_mutex_lock (&engine->lock);
  pthread_cond_broadcast (&engine->slot_free);
  pthread_mutex_unlock (&engine->lock);
}
