#include "world.h"

#include "action_queue.h"
#include "batch_engine.h"
#include "notice_check.h"
#include "part_watch.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/net/codec.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <xxhash.h>

#define TICK_US (25 * HBW_US_PER_MS)
#define STORE_POLL_US (300 * HBW_US_PER_MS)
#define START_US (1 * HBW_US_PER_S)

/* Percentage by which the batch of an engine may exceed its slots. */
#define BATCH_EXTRA_PERCENT 25

/* How long an instance waits for a connection. */
#define CONNECT_TIMEOUT_US (150 * HBW_US_PER_MS)

/* Requests that wait in a brittle server, and how long it takes to come back. */
#define BRITTLE_WAITING_MAX 2
#define TOPPLE_US (3 * HBW_US_PER_S)

/* Addresses that an instance knows at its start. */
#define SEEDS_MAX 2

/* Time that the store takes for a call. */
#define STORE_CALL_US (4 * HBW_US_PER_MS)

/* Delay before a caller retries a failed request. */
#define CALLER_RETRY_DELAY_US (200 * HBW_US_PER_MS)

/* Fingerprints from here on belong to the bodies of loads. */
#define SHARED_FINGERPRINT_MIN ((guint64) 1 << 30)

/* Hashes from here on belong to parts that only one request has. */
#define OWN_PARTS_MIN ((guint64) 1 << 32)

/* How long an instance keeps a connection without requests. */
#define IDLE_TIMEOUT_US (4 * HBW_US_PER_S)

/* Interval at which the traffic thread reports that a response goes on. */
#define RESPONSE_INTERVAL_US (100 * HBW_US_PER_MS)

/* How long a checked server keeps the connection open before it counts as
   accepted. */
#define CHECK_OPEN_US (50 * HBW_US_PER_MS)

/* Default time until a server that failed because of a poison request restarts. */
#define POISON_RESTART_US (15 * HBW_US_PER_S)

/* Processor time that a message between instances takes, and each KB of it. */
#define MESSAGE_PROCESSOR_US 45
#define KILOBYTE_PROCESSOR_US 15

/* Stands before the number of upgrades in a server's id. */
#define UPGRADE_SEPARATOR "."

typedef struct
{
  char name[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  guint index;
  guint64 identity; /* start time << 20 | index << 8 | start_count; 0 while not
                       running */
  guint start_count;
  HbwReducer *reducer;
  HbwEffects *effects;
  gint64 paused_until_us;
  gint64 versions[HBW_DOCUMENT_COUNT]; /* last adopted */
  gboolean has_read;
  gboolean draining;
  WorldMachine machine;
  gint64 free_us; /* when its machine is done with all messages */
} Instance;

typedef struct
{
  HbwServerEntry entry;
  gint64 prefill_us;
  gint64 token_us;
  double slowdown;
  double broken_share; /* of the responses of a server that works */
  gboolean failed;
  gboolean silent;         /* failed, and the connections to it are still open */
  gint64 leaving_since_us; /* 0: not draining */
  guint request_count;
  GPtrArray *running;      /* Attempt */
  GPtrArray *queue;        /* Attempt */
  GArray *turned_away_us;  /* gint64: when it turned a request away, while brittle */
  GHashTable *connections; /* identity of the instance -> Connection */
  NoticeCheck *notices;    /* what it says of itself since its start */
  BatchEngine *engine;     /* or NULL: it has no model of prompts */
} Server;

/* The oldest connection of an instance to a server. */
typedef struct
{
  gint64 opened_us;
  gint64 used_us;
} Connection;

typedef struct
{
  guint64 sequence;
  WorldClass *class;
  const WorldLoad *load;
  Instance *instance;
  guint64 identity; /* of the instance that accepted it */
  HbwRequestSpec spec;
  gint64 arrived_us;
  guint tokens;
  guint run_count;
  guint resend_count;
  gboolean ended;
  gboolean attempted;
  Stream *stream;            /* that its caller may resume, or NULL */
  gboolean response_started; /* the caller has an event of it */
  gboolean completed;
} Request;

typedef struct
{
  Request *request;
  Server *server;
  Instance *instance;
  guint64 identity;
  guint64 server_start;
  guint number;
  gint64 created_us;     /* time at which the instance created it */
  gint64 started_us;     /* time at which the engine started it */
  gint64 first_token_us; /* time to first token */
  gint64 token_us;
  gboolean ended;
  char server_id[HBW_NAME_MAX];         /* that the request names */
  char tunnel_address[HBW_ADDRESS_MAX]; /* "": direct */
  gboolean tunnel_failed;
} Attempt;

typedef struct
{
  char address[HBW_ADDRESS_MAX];
  HbwMessage message;
} Delivery;

typedef struct
{
  char verb[16];
  char subject[HBW_NAME_MAX];
  char argument[HBW_NAME_MAX];
} Fault;

struct World
{
  gint64 now_us;
  ActionQueue *actions;
  GRand *random;
  guint32 seed;
  const HbwPolicy *policy;
  WorldLink link;
  gboolean trace;
  GPtrArray *instances;
  GPtrArray *servers;
  GPtrArray *loads;
  GPtrArray *classes;
  GHashTable *requests; /* sequence -> Request */
  GPtrArray *attempts;  /* every Attempt; owned */
  guint64 last_sequence;
  GPtrArray *partitions;   /* "a|b": names that cannot reach each other */
  GBytes *stored_suspects; /* object of the store, or NULL */
  gint64 stored_suspects_version;
  gboolean store_down;
  gboolean store_stale;
  char *documents[HBW_DOCUMENT_COUNT];
  gint64 versions[HBW_DOCUMENT_COUNT];
  gint64 changed_us[HBW_DOCUMENT_COUNT];
  GHashTable *planned_stops;
  PartWatch *parts;
  StreamWatch *streams;
  PromptWatch *prompts;
  gboolean tunnel_accepted; /* the last that was asked for */
  gboolean part_refused;    /* the next refusal is because of a part */
  guint poisoned_server_count;
  gint64 revocation_us;        /* bound on the age of the catalogue; 0 is none */
  guint store_call_count;      /* polls of the store for its documents */
  guint toppled_count;         /* servers that failed as they turned too much away */
  gint64 poison_restart_us;    /* until a server restarts after a poison request */
  GHashTable *poison_failures; /* fingerprint -> number of servers made to fail */
  guint64 messages;
  gint64 longest_message_wait_us;
  gboolean measure_cost;
  WorldCost cost;
  GArray *rollout_delays; /* gint64: delay from a change of the catalogue to each
                             adoption */
  gint64 cost_since_us;
  char *violation;
};

/* --- scheduler ----------------------------------------------------------- */

static void
schedule (World *world, gint64 at_us, void (*run) (World *world, void *data),
          void *data)
{
  action_queue_add (world->actions, MAX (at_us, world->now_us), run, data);
}

static void G_GNUC_PRINTF (2, 3)
    report_violation (World *world, const char *format, ...)
{
  if (world->violation != NULL)
    return;
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  world->violation = g_strdup_printf ("at %.3f s: %s",
                                      (double) world->now_us / HBW_US_PER_S, text);
  g_free (text);
}

static void G_GNUC_PRINTF (2, 3) trace (const World *world, const char *format, ...)
{
  if (!world->trace)
    return;
  va_list args;
  va_start (args, format);
  printf ("%10.4f ", (double) world->now_us / HBW_US_PER_S);
  vprintf (format, args);
  putchar ('\n');
  va_end (args);
}

/* --- look-ups ------------------------------------------------------------ */

static Instance *
find_instance (const World *world, const char *name)
{
  for (guint i = 0; i < world->instances->len; i++)
    {
      Instance *instance = world->instances->pdata[i];
      if (strcmp (instance->name, name) == 0
          || strcmp (instance->address, name) == 0)
        return instance;
    }
  return NULL;
}

/* Returns the server by its name or an id that it has or had: the name, and after
   each upgrade the name with another suffix. */
static Server *
find_server (const World *world, const char *id)
{
  gsize length = strcspn (id, UPGRADE_SEPARATOR);
  for (guint i = 0; i < world->servers->len; i++)
    {
      Server *server = world->servers->pdata[i];
      if (strcspn (server->entry.id, UPGRADE_SEPARATOR) == length
          && strncmp (server->entry.id, id, length) == 0)
        return server;
    }
  return NULL;
}

static WorldClass *
find_or_create_class (World *world, const char *name, guint tier)
{
  for (guint i = 0; i < world->classes->len; i++)
    {
      WorldClass *class = world->classes->pdata[i];
      if (strcmp (class->name, name) == 0)
        return class;
    }
  WorldClass *class = g_new0 (WorldClass, 1);
  g_strlcpy (class->name, name, sizeof class->name);
  class->tier = tier;
  g_ptr_array_add (world->classes, class);
  return class;
}

static gboolean
is_partitioned (const World *world, const char *a, const char *b)
{
  for (guint i = 0; i < world->partitions->len; i++)
    {
      char **pair = g_strsplit (world->partitions->pdata[i], "|", 2);
      gboolean match = (strcmp (pair[0], a) == 0 && strcmp (pair[1], b) == 0)
                       || (strcmp (pair[0], b) == 0 && strcmp (pair[1], a) == 0);
      g_strfreev (pair);
      if (match)
        return TRUE;
    }
  return FALSE;
}

static gboolean
can_reach (const World *world, const Instance *from, const Instance *to)
{
  return !is_partitioned (world, from->data_centre, to->data_centre)
         && !is_partitioned (world, from->name, to->name)
         && !is_partitioned (world, from->name, "all")
         && !is_partitioned (world, to->name, "all");
}

/* Returns whether INSTANCE has no way to any server, but to everything else; HOW is
   "servers" if connections are reset, and "servers-silent" if nothing answers. */
static gboolean
is_cut_off (const World *world, const Instance *instance, const char *how)
{
  return is_partitioned (world, instance->name, how)
         || is_partitioned (world, instance->data_centre, how);
}

static gboolean
can_reach_store (const World *world, const Instance *instance)
{
  return !world->store_down
         && !is_partitioned (world, instance->data_centre, "store")
         && !is_partitioned (world, instance->name, "store");
}

/* --- requests ------------------------------------------------------------ */

static void
end_request (World *world, Request *request)
{
  if (request->ended)
    report_violation (world, "request %" G_GUINT64_FORMAT " ended twice",
                      request->sequence);
  request->ended = TRUE;
  request->class->in_progress--;
}

static void submit_request (World *world, void *data);

static void
schedule_caller_retry (World *world, Request *request)
{
  if (request->resend_count >= request->load->max_resends)
    return;
  Request *retry = g_new0 (Request, 1);
  *retry = *request;
  retry->resend_count++;
  retry->ended = retry->attempted = FALSE;
  retry->response_started = FALSE;
  retry->run_count = 0;
  schedule (world, world->now_us + CALLER_RETRY_DELAY_US, submit_request, retry);
}

static void
complete_request (const World *world, Request *request, const Attempt *attempt)
{
  WorldClass *class = request->class;
  gint64 first_token
      = attempt->started_us + attempt->first_token_us - request->arrived_us;
  class->completed++;
  request->completed = TRUE;
  /* A response after the deadline is useless to the caller. */
  gint64 deadline_us = request->spec.deadline_us;
  if (deadline_us > 0 && world->now_us > request->arrived_us + deadline_us)
    class->wasted_tokens += request->tokens;
  else
    class->good_tokens += request->tokens;
  if (first_token <= request->spec.first_token_target_us
      && attempt->token_us <= request->spec.inter_token_target_us)
    class->in_target++;
}

/* --- engines ------------------------------------------------------------- */

static void run_reducer (World *world, Instance *instance, HbwEvent *event);

static gboolean
is_running (const Instance *instance, guint64 identity)
{
  return instance->identity == identity && identity != 0;
}

/* Returns whether connections that INSTANCE opened before are silent. */
static gboolean
is_silenced (const World *world, const Attempt *attempt)
{
  return attempt->server->silent
         || (*attempt->tunnel_address == '\0'
             && is_cut_off (world, attempt->instance, "servers-silent"));
}

typedef struct
{
  Attempt *attempt;
  HbwOutcome outcome;
  guint tokens;
  gint64 first_token_us; /* of an answer to a prompt with parts that broke off */
  gboolean server_silent;
  gboolean is_unproved; /* the answer ended with its connection */
  gboolean has_response;
  NoticeCheckSays says; /* of the response */
} Report;

/* The instance reads what the server says of itself. */
static void
tell_instance (World *world, Attempt *attempt, const NoticeCheckSays *says)
{
  HbwEvent event = { .kind = HBW_EVENT_SERVER_NOTICE };
  g_strlcpy (event.notice.server, attempt->server->entry.id,
             sizeof event.notice.server);
  event.notice.limit_kind
      = says->limit >= 0 ? HBW_SERVER_LIMIT_NAMED : HBW_SERVER_LIMIT_NONE;
  event.notice.limit = MAX (says->limit, 0);
  event.notice.is_leaving = says->leaving;
  event.notice.pause_us = says->pause_us;
  event.notice.brittle = says->brittle;
  notice_check_told (attempt->server->notices, attempt->identity, says,
                     world->now_us);
  run_reducer (world, attempt->instance, &event);
}

static void
report_to_instance (World *world, void *data)
{
  Report *report = data;
  Attempt *attempt = report->attempt;
  Instance *instance = attempt->instance;
  if (is_running (instance, attempt->identity)
      && world->now_us < instance->paused_until_us)
    {
      schedule (world, instance->paused_until_us, report_to_instance, report);
      return;
    }
  if (is_running (instance, attempt->identity))
    {
      if (report->has_response)
        tell_instance (world, attempt, &report->says);
      HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED };
      event.end.sequence = attempt->request->sequence;
      event.end.attempt = attempt->number;
      event.end.outcome = report->outcome;
      event.end.tokens = report->tokens;
      event.end.server_silent = report->server_silent;
      event.end.response_end
          = report->is_unproved ? HBW_RESPONSE_END_CLOSE : HBW_RESPONSE_END_CHUNKS;
      event.end.response_started = attempt->request->response_started;
      event.end.tunnel_failed = attempt->tunnel_failed;
      if (report->outcome == HBW_OUTCOME_COMPLETE)
        {
          event.end.first_token_us
              = attempt->started_us + attempt->first_token_us - attempt->created_us;
          event.end.inter_token_us = attempt->token_us;
          complete_request (world, attempt->request, attempt);
        }
      else
        {
          event.end.first_token_us = report->first_token_us;
          attempt->request->class->wasted_tokens += report->tokens;
        }
      run_reducer (world, instance, &event);
    }
  else
    attempt->request->class->wasted_tokens += report->tokens;
  g_free (report);
}

static void
report_end (World *world, Attempt *attempt, HbwOutcome outcome, guint tokens)
{
  Report *report = g_new0 (Report, 1);
  report->attempt = attempt;
  report->outcome = outcome;
  report->tokens = tokens;
  report->has_response
      = outcome == HBW_OUTCOME_COMPLETE || outcome == HBW_OUTCOME_REFUSED;
  if (outcome == HBW_OUTCOME_BROKEN && tokens > 0
      && attempt->request->spec.part_ids.count > 0)
    report->first_token_us
        = attempt->started_us + attempt->first_token_us - attempt->created_us;
  report->server_silent = is_silenced (world, attempt);
  report->is_unproved
      = outcome == HBW_OUTCOME_COMPLETE && attempt->request->load->whole;
  report->says = *notice_check_says (attempt->server->notices);
  attempt->ended = TRUE;
  schedule (world, world->now_us + world->link.local_us, report_to_instance, report);
}

static guint
tokens_so_far (const World *world, const Attempt *attempt)
{
  gint64 since = world->now_us - attempt->started_us - attempt->first_token_us;
  if (since < 0)
    return 0;
  return (guint) MIN ((gint64) attempt->request->tokens,
                      1 + since / MAX (attempt->token_us, 1));
}

static void fill_batch (World *world, Server *server);

static void
complete_attempt (World *world, void *data)
{
  Attempt *attempt = data;
  if (attempt->ended)
    return;
  if (is_silenced (world, attempt))
    return;
  if (attempt->number == 1)
    part_watch_record_served (world->parts, attempt->request->arrived_us);
  g_ptr_array_remove (attempt->server->running, attempt);
  report_end (world, attempt, HBW_OUTCOME_COMPLETE, attempt->request->tokens);
  fill_batch (world, attempt->server);
}

/* Returns the connection, which is used now. */
static Connection *
find_connection (World *world, Attempt *attempt)
{
  GHashTable *connections = attempt->server->connections;
  Connection *connection = g_hash_table_lookup (connections, &attempt->identity);
  if (connection == NULL)
    {
      connection = g_new0 (Connection, 1);
      connection->used_us = world->now_us;
      g_hash_table_insert (connections,
                           g_memdup2 (&attempt->identity, sizeof attempt->identity),
                           connection);
    }
  if (connection->opened_us == 0
      || world->now_us - connection->used_us > IDLE_TIMEOUT_US)
    connection->opened_us = world->now_us;
  connection->used_us = world->now_us;
  return connection;
}

/* The traffic thread reports that bytes of the response came in. */
static void
report_response (World *world, void *data)
{
  Attempt *attempt = data;
  if (attempt->ended || is_silenced (world, attempt)
      || !is_running (attempt->instance, attempt->identity))
    return;
  if (world->now_us >= attempt->instance->paused_until_us)
    {
      HbwEvent event = { .kind = HBW_EVENT_SERVER_RESPONDED };
      g_strlcpy (event.response.server, attempt->server->entry.id,
                 sizeof event.response.server);
      event.response.connection_opened_us
          = find_connection (world, attempt)->opened_us;
      run_reducer (world, attempt->instance, &event);
    }
  schedule (world, world->now_us + RESPONSE_INTERVAL_US, report_response, attempt);
}

/* The server breaks the response to one request, and keeps working. */
static void
break_attempt (World *world, void *data)
{
  Attempt *attempt = data;
  if (attempt->ended || attempt->server->silent)
    return;
  g_ptr_array_remove (attempt->server->running, attempt);
  g_hash_table_remove (attempt->server->connections, &attempt->identity);
  report_end (world, attempt, HBW_OUTCOME_BROKEN, tokens_so_far (world, attempt));
  fill_batch (world, attempt->server);
}

static void
fail_server (World *world, Server *server, gboolean by_poison)
{
  server->failed = TRUE;
  if (server->engine != NULL)
    batch_engine_clear (server->engine);
  if (by_poison)
    world->poisoned_server_count++;
  if (server->silent)
    return;
  g_hash_table_remove_all (server->connections);
  for (guint i = 0; i < server->running->len; i++)
    {
      Attempt *attempt = server->running->pdata[i];
      if (server->leaving_since_us > 0 && !by_poison)
        report_violation (world, "the planned stop of server %s aborted a request",
                          server->entry.id);
      report_end (world, attempt, HBW_OUTCOME_BROKEN,
                  tokens_so_far (world, attempt));
    }
  for (guint i = 0; i < server->queue->len; i++)
    report_end (world, server->queue->pdata[i], HBW_OUTCOME_BROKEN, 0);
  g_ptr_array_set_size (server->running, 0);
  g_ptr_array_set_size (server->queue, 0);
}

static void publish_servers (World *world);

/* The connections to the process of before are reset. */
static void
end_silent_attempts (World *world, Server *server)
{
  g_hash_table_remove_all (server->connections);
  for (guint i = 0; i < server->running->len; i++)
    {
      Attempt *attempt = server->running->pdata[i];
      if (!attempt->ended)
        report_end (world, attempt, HBW_OUTCOME_BROKEN, 0);
    }
  g_ptr_array_set_size (server->running, 0);
  g_ptr_array_set_size (server->queue, 0);
  server->silent = FALSE;
}

static void
restart_server (World *world, void *data)
{
  Server *server = data;
  server->failed = FALSE;
  if (server->silent)
    end_silent_attempts (world, server);
  guint brittle = notice_check_says (server->notices)->brittle;
  server->entry.start_number++;
  notice_check_destroy (server->notices);
  server->notices = notice_check_create ();
  notice_check_says (server->notices)->brittle = brittle;
  publish_servers (world);
}

static void
fail_server_by_poison (World *world, void *data)
{
  Attempt *attempt = data;
  Server *server = attempt->server;
  if (attempt->ended || server->silent)
    return;
  trace (world, "server %s fails because of a poison request", server->entry.id);
  server->silent = attempt->request->load->silent;
  if (attempt->request->load->whole)
    {
      g_ptr_array_remove (server->running, attempt);
      report_end (world, attempt, HBW_OUTCOME_COMPLETE, attempt->request->tokens);
    }
  fail_server (world, server, TRUE);
  if (part_watch_is_harmful (world->parts, &attempt->request->spec))
    part_watch_record_failure (world->parts, world->now_us);
  gpointer key = GUINT_TO_POINTER ((guint) attempt->request->spec.fingerprint.low);
  guint failed
      = GPOINTER_TO_UINT (g_hash_table_lookup (world->poison_failures, key)) + 1;
  g_hash_table_replace (world->poison_failures, key, GUINT_TO_POINTER (failed));
  if (failed > HBW_QUARANTINE_FAILURES_MIN)
    report_violation (world,
                      "request %" G_GUINT64_FORMAT " made a third server fail",
                      attempt->request->sequence);
  schedule (world, world->now_us + world->poison_restart_us, restart_server, server);
}

/* The caller gets the first event that this attempt adds to its stream, unless it
   has got its final response. */
static void
deliver_first_event (World *world, void *data)
{
  Attempt *attempt = data;
  Request *request = attempt->request;
  if (attempt->ended || request->ended || is_silenced (world, attempt)
      || !is_running (attempt->instance, attempt->identity))
    return;
  request->response_started = TRUE;
  stream_watch_record_event (world->streams, request->stream, request->sequence,
                             attempt->server->entry.version);
  HbwEvent event = { .kind = HBW_EVENT_FIRST_TOKEN };
  event.first_token.sequence = request->sequence;
  event.first_token.attempt = attempt->number;
  event.first_token.first_token_us = world->now_us - attempt->created_us;
  event.first_token.is_event = TRUE;
  run_reducer (world, attempt->instance, &event);
}

static void
run_attempt (World *world, Attempt *attempt)
{
  Server *server = attempt->server;
  Request *request = attempt->request;
  g_ptr_array_add (server->running, attempt);
  double overload = MAX (1.0, (double) server->running->len / server->entry.slots);
  attempt->started_us = world->now_us;
  attempt->first_token_us
      = (gint64) ((double) server->prefill_us * server->slowdown);
  attempt->token_us
      = (gint64) ((double) server->token_us * server->slowdown * overload);
  request->run_count++;
  find_connection (world, attempt);
  if (!request->spec.idempotent && request->run_count > 1)
    report_violation (world,
                      "non-idempotent request %" G_GUINT64_FORMAT " ran %u times",
                      request->sequence, request->run_count);
  schedule (world,
            world->now_us + MAX (attempt->first_token_us, RESPONSE_INTERVAL_US),
            report_response, attempt);
  if (request->stream != NULL)
    schedule (world, world->now_us + attempt->first_token_us, deliver_first_event,
              attempt);
  if (request->load->poison || part_watch_is_harmful (world->parts, &request->spec))
    schedule (world, world->now_us + attempt->first_token_us, fail_server_by_poison,
              attempt);
  else if (server->broken_share > 0
           && g_rand_double (world->random) < server->broken_share)
    schedule (world, world->now_us + attempt->first_token_us, break_attempt,
              attempt);
  else
    schedule (world,
              world->now_us + attempt->first_token_us
                  + attempt->token_us * ((gint64) request->tokens - 1),
              complete_attempt, attempt);
}

/* The caller is gone at its deadline, and the connection to the server with it. */
static void
stop_late_attempt (World *world, void *data)
{
  Attempt *attempt = data;
  if (attempt->ended)
    return;
  batch_engine_remove (attempt->server->engine, attempt);
  g_ptr_array_remove (attempt->server->running, attempt);
  report_end (world, attempt, HBW_OUTCOME_CANCELLED, tokens_so_far (world, attempt));
}

static void
handle_engine_event (void *request, BatchEngineEvent engine_event, void *data)
{
  World *world = data;
  Attempt *attempt = request;
  if (engine_event == BATCH_ENGINE_COMPLETE)
    {
      gint64 generating_us
          = world->now_us - attempt->started_us - attempt->first_token_us;
      attempt->token_us = generating_us / MAX (1, attempt->request->tokens);
      complete_attempt (world, attempt);
      return;
    }
  attempt->first_token_us = world->now_us - attempt->started_us;
  attempt->token_us = attempt->server->token_us;
  if (!is_running (attempt->instance, attempt->identity))
    return;
  HbwEvent event = { .kind = HBW_EVENT_FIRST_TOKEN };
  event.first_token.sequence = attempt->request->sequence;
  event.first_token.attempt = attempt->number;
  event.first_token.first_token_us = world->now_us - attempt->created_us;
  run_reducer (world, attempt->instance, &event);
}

static void end_engine_step (World *world, void *data);

static void
begin_engine_step (World *world, Server *server)
{
  gint64 step_us = batch_engine_begin_step (server->engine);
  if (step_us > 0)
    schedule (world, world->now_us + (gint64) ((double) step_us * server->slowdown),
              end_engine_step, server);
}

static void
end_engine_step (World *world, void *data)
{
  Server *server = data;
  batch_engine_end_step (server->engine, handle_engine_event, world);
  begin_engine_step (world, server);
}

static void
pass_to_engine (World *world, Server *server, Attempt *attempt)
{
  Request *request = attempt->request;
  g_ptr_array_add (server->running, attempt);
  attempt->started_us = world->now_us;
  attempt->first_token_us = G_MAXINT64 / 2;
  find_connection (world, attempt);
  batch_engine_add (server->engine, attempt, &request->spec, request->tokens);
  schedule (world, request->arrived_us + request->spec.deadline_us,
            stop_late_attempt, attempt);
}

static void
fill_batch (World *world, Server *server)
{
  if (server->engine != NULL)
    {
      while (server->queue->len > 0)
        pass_to_engine (world, server, g_ptr_array_remove_index (server->queue, 0));
      begin_engine_step (world, server);
      return;
    }
  guint batch_max = server->entry.slots * (100 + BATCH_EXTRA_PERCENT) / 100;
  while (server->queue->len > 0 && server->running->len < batch_max)
    {
      guint best = 0;
      for (guint i = 1; i < server->queue->len; i++)
        if (((Attempt *) server->queue->pdata[i])->request->spec.tier
            < ((Attempt *) server->queue->pdata[best])->request->spec.tier)
          best = i;
      run_attempt (world, g_ptr_array_remove_index (server->queue, best));
    }
}

static gboolean
is_full_and_brittle (const Server *server)
{
  return notice_check_says (server->notices)->brittle > 0
         && server->running->len >= server->entry.slots
         && server->queue->len >= BRITTLE_WAITING_MAX;
}

/* Fails if it has turned away more in the last second than it bears. */
static void
turn_away (World *world, Attempt *attempt)
{
  Server *server = attempt->server;
  GArray *times = server->turned_away_us;
  guint brittle = notice_check_says (server->notices)->brittle;
  report_end (world, attempt, HBW_OUTCOME_REFUSED, 0);
  g_array_append_val (times, world->now_us);
  if (times->len <= brittle
      || world->now_us - g_array_index (times, gint64, times->len - 1 - brittle)
             >= HBW_US_PER_S)
    return;
  trace (world, "server %s topples", server->entry.id);
  world->toppled_count++;
  g_array_set_size (times, 0);
  fail_server (world, server, FALSE);
  schedule (world, world->now_us + TOPPLE_US, restart_server, server);
}

static void
enqueue_at_engine (World *world, void *data)
{
  Attempt *attempt = data;
  Server *server = attempt->server;
  if (attempt->ended)
    return;
  /* A silent server does not read what comes on the kept connection. */
  if (server->silent
      && g_hash_table_remove (server->connections, &attempt->identity))
    {
      g_ptr_array_add (server->running, attempt);
      return;
    }
  if (server->failed)
    {
      report_end (world, attempt, HBW_OUTCOME_NOT_CONNECTED, 0);
      return;
    }
  if (strcmp (server->entry.id, attempt->server_id) != 0)
    {
      report_end (world, attempt, HBW_OUTCOME_MISDIRECTED, 0);
      return;
    }
  attempt->server_start = server->entry.start_number;
  server->request_count++;
  if (part_watch_is_harmful (world->parts, &attempt->request->spec))
    part_watch_record_reached (world->parts, attempt->created_us);
  if (server->leaving_since_us > 0
      && world->now_us - server->leaving_since_us > WORLD_LEAVE_GRACE_US)
    report_violation (
        world, "server %s received a request %.1f s after it began to drain",
        server->entry.id,
        (double) (world->now_us - server->leaving_since_us) / HBW_US_PER_S);
  char *violation
      = notice_check_request (server->notices, attempt->identity,
                              attempt->request->arrived_us, world->now_us);
  if (violation != NULL)
    report_violation (world, "server %s %s", server->entry.id, violation);
  g_free (violation);
  if (notice_check_says (server->notices)->pause_us > 0)
    {
      report_end (world, attempt, HBW_OUTCOME_REFUSED, 0);
      return;
    }
  if (is_full_and_brittle (server))
    {
      turn_away (world, attempt);
      return;
    }
  g_ptr_array_add (server->queue, attempt);
  fill_batch (world, server);
}

/* Ends an attempt whose instance has died. */
static void
abort_attempt (World *world, Attempt *attempt)
{
  Server *server = attempt->server;
  if (attempt->ended)
    return;
  attempt->ended = TRUE;
  if (server->engine != NULL)
    batch_engine_remove (server->engine, attempt);
  if (g_ptr_array_remove (server->running, attempt))
    attempt->request->class->wasted_tokens += tokens_so_far (world, attempt);
  g_ptr_array_remove (server->queue, attempt);
  fill_batch (world, server);
}

/* --- effects ------------------------------------------------------------- */

static void
end_unconnected (World *world, void *data)
{
  Attempt *attempt = data;
  if (!attempt->ended)
    report_end (world, attempt, HBW_OUTCOME_NOT_CONNECTED, 0);
}

/* Connects the attempt through another instance, if that agrees. */
static void
open_tunnel (World *world, Attempt *attempt)
{
  HbwHostPort parts;
  Instance *peer = NULL;
  Instance *instance = attempt->instance;
  for (guint i = 0; i < world->instances->len; i++)
    {
      Instance *other = world->instances->pdata[i];
      if (strcspn (other->address, ":") == strcspn (attempt->tunnel_address, ":")
          && strncmp (other->address, attempt->tunnel_address,
                      strcspn (other->address, ":"))
                 == 0)
        peer = other;
    }
  attempt->tunnel_failed = peer == NULL || peer->identity == 0
                           || !can_reach (world, instance, peer)
                           || is_cut_off (world, peer, "servers")
                           || is_cut_off (world, peer, "servers-silent");
  HbwEvent event = { .kind = HBW_EVENT_TUNNEL_ASKED };
  hbw_address_parse (instance->address, &parts);
  g_strlcpy (event.tunnel.peer_host, parts.host, sizeof event.tunnel.peer_host);
  g_strlcpy (event.tunnel.server, attempt->server->entry.id,
             sizeof event.tunnel.server);
  world->tunnel_accepted = FALSE;
  if (!attempt->tunnel_failed)
    run_reducer (world, peer, &event);
  attempt->tunnel_failed |= !world->tunnel_accepted;
  if (attempt->tunnel_failed
      || is_partitioned (world, peer->data_centre,
                         attempt->server->entry.data_centre))
    end_unconnected (world, attempt);
  else
    schedule (world, world->now_us + 2 * world->link.remote_us, enqueue_at_engine,
              attempt);
}

/* Simulates the traffic thread, which checks the age of the grant directly before it
   connects. */
static void
connect_attempt (World *world, void *data)
{
  Attempt *attempt = data;
  Instance *instance = attempt->instance;
  if (!is_running (instance, attempt->identity))
    return;
  if (world->now_us < instance->paused_until_us)
    {
      schedule (world, instance->paused_until_us, connect_attempt, attempt);
      return;
    }
  if (world->now_us - attempt->created_us > HBW_GRANT_VALID_US)
    {
      report_end (world, attempt, HBW_OUTCOME_UNUSED, 0);
      return;
    }
  gboolean remote
      = strcmp (instance->data_centre, attempt->server->entry.data_centre) != 0;
  if (*attempt->tunnel_address != '\0')
    {
      open_tunnel (world, attempt);
      return;
    }
  if (is_cut_off (world, instance, "servers-silent"))
    {
      schedule (world, world->now_us + CONNECT_TIMEOUT_US, end_unconnected, attempt);
      return;
    }
  gboolean reachable = !is_partitioned (world, instance->data_centre,
                                        attempt->server->entry.data_centre)
                       && !is_cut_off (world, instance, "servers");
  if (!reachable)
    {
      report_end (world, attempt, HBW_OUTCOME_NOT_CONNECTED, 0);
      return;
    }
  schedule (world,
            world->now_us + (remote ? world->link.remote_us : world->link.local_us),
            enqueue_at_engine, attempt);
}

/* The server has sent nothing for as long as the instance waits. */
static void
end_silence (World *world, void *data)
{
  Attempt *attempt = data;
  if (attempt->ended || !is_silenced (world, attempt))
    return;
  g_ptr_array_remove (attempt->server->running, attempt);
  report_end (world, attempt, HBW_OUTCOME_TIMED_OUT, 0);
}

static void
start_attempt (World *world, Instance *instance, const HbwStartAttempt *start)
{
  Request *request = g_hash_table_lookup (world->requests, &start->sequence);
  Attempt *attempt = g_new0 (Attempt, 1);
  attempt->request = request;
  attempt->server = find_server (world, start->server);
  g_strlcpy (attempt->server_id, start->server, sizeof attempt->server_id);
  attempt->instance = instance;
  attempt->identity = instance->identity;
  attempt->number = start->attempt;
  g_strlcpy (attempt->tunnel_address, start->tunnel_address,
             sizeof attempt->tunnel_address);
  attempt->created_us = world->now_us;
  request->attempted = TRUE;
  request->class->last_attempt_us = world->now_us;
  g_ptr_array_add (world->attempts, attempt);
  schedule (world, world->now_us + g_rand_int_range (world->random, 50, 1000),
            connect_attempt, attempt);
  if (start->first_byte_timeout_us > 0)
    schedule (world, world->now_us + start->first_byte_timeout_us, end_silence,
              attempt);
}

static void
refuse_request (World *world, const HbwRefuseRequest *refuse)
{
  Request *request = g_hash_table_lookup (world->requests, &refuse->sequence);
  if (refuse->executed == HBW_EXECUTED_NO && request->run_count > 0)
    report_violation (
        world, "request %" G_GUINT64_FORMAT " ran but was reported as not executed",
        request->sequence);
  if (refuse->executed == HBW_EXECUTED_UNKNOWN)
    request->class->broken++;
  request->class->refused[refuse->reason]++;
  if (refuse->reason == HBW_REASON_QUARANTINED && world->part_refused
      && !part_watch_is_harmful (world->parts, &request->spec))
    part_watch_record_refused (world->parts);
  world->part_refused = FALSE;
  if (refuse->reason == HBW_REASON_DEADLINE
      && world->now_us < request->arrived_us + request->spec.deadline_us)
    report_violation (
        world, "request %" G_GUINT64_FORMAT " was refused before its deadline",
        request->sequence);
  end_request (world, request);
  schedule_caller_retry (world, request);
}

static gsize
count_encoded_bytes (const Instance *from, const HbwMessage *message)
{
  HbwFrame *frame = hbw_frame_create (from->identity);
  hbw_frame_add (frame, message);
  GBytes *bytes = hbw_frame_encode (frame);
  gsize size = g_bytes_get_size (bytes);
  g_bytes_unref (bytes);
  hbw_frame_destroy (frame);
  return size;
}

/* Keeps the machine of INSTANCE busy with a message that it sends or receives.
   Returns when it is done, after those before it. */
static gint64
pass_machine (World *world, Instance *instance, const HbwMessage *message)
{
  const WorldMachine *machine = &instance->machine;
  if (machine->processor_percent == 0)
    return world->now_us;
  gint64 bytes = (gint64) count_encoded_bytes (instance, message);
  gint64 processor_us = MESSAGE_PROCESSOR_US + bytes * KILOBYTE_PROCESSOR_US / 1024;
  gint64 starts_us = MAX (world->now_us, instance->free_us);
  instance->free_us = starts_us + processor_us * 100 / machine->processor_percent;
  world->longest_message_wait_us
      = MAX (world->longest_message_wait_us, starts_us - world->now_us);
  return instance->free_us;
}

static void
deliver (World *world, void *data)
{
  Delivery *delivery = data;
  Instance *instance = find_instance (world, delivery->address);
  if (instance != NULL && instance->identity != 0)
    {
      if (world->now_us < instance->paused_until_us)
        {
          schedule (world, instance->paused_until_us, deliver, delivery);
          return;
        }
      pass_machine (world, instance, &delivery->message);
      HbwEvent event = { .kind = HBW_EVENT_MESSAGE, .message = delivery->message };
      run_reducer (world, instance, &event);
    }
  hbw_message_clear (&delivery->message);
  g_free (delivery);
}

static void
send_message (World *world, Instance *from, const HbwSendMessage *send)
{
  const WorldLink *link = &world->link;
  const Instance *to = find_instance (world, send->address);
  world->messages++;
  gint64 sent_us = pass_machine (world, from, &send->message);
  if (world->measure_cost)
    {
      world->cost.bytes += count_encoded_bytes (from, &send->message);
      world->cost.messages++;
    }
  if (to == NULL || !can_reach (world, from, to))
    return;
  if (link->loss > 0 && g_rand_double (world->random) < link->loss)
    return;
  guint copies
      = link->duplicate > 0 && g_rand_double (world->random) < link->duplicate ? 2
                                                                               : 1;
  gboolean remote = strcmp (from->data_centre, to->data_centre) != 0;
  for (guint i = 0; i < copies; i++)
    {
      Delivery *delivery = g_new0 (Delivery, 1);
      g_strlcpy (delivery->address, send->address, sizeof delivery->address);
      hbw_message_copy (&delivery->message, &send->message);
      gint64 delay = remote ? link->remote_us : link->local_us;
      if (link->jitter_us > 0)
        delay += g_rand_int_range (world->random, 0, (gint32) link->jitter_us);
      schedule (world, sent_us + delay, deliver, delivery);
    }
}

typedef struct
{
  Instance *instance;
  guint64 identity;
  HbwLoadReport load;
} LoadPoll;

static void
deliver_load_report (World *world, void *data)
{
  LoadPoll *poll = data;
  if (is_running (poll->instance, poll->identity)
      && world->now_us >= poll->instance->paused_until_us)
    {
      HbwEvent event = { .kind = HBW_EVENT_LOAD_REPORT, .load = poll->load };
      run_reducer (world, poll->instance, &event);
    }
  g_free (poll);
}

static void
poll_load (World *world, Instance *instance, const HbwPollLoad *wanted)
{
  const Server *server = find_server (world, wanted->server);
  if (server == NULL || server->failed
      || is_partitioned (world, instance->data_centre, server->entry.data_centre))
    return;
  LoadPoll *poll = g_new0 (LoadPoll, 1);
  poll->instance = instance;
  poll->identity = instance->identity;
  g_strlcpy (poll->load.server, wanted->server, sizeof poll->load.server);
  poll->load.running = server->running->len;
  poll->load.waiting = server->queue->len;
  schedule (world, world->now_us + 2 * world->link.local_us, deliver_load_report,
            poll);
}

typedef struct
{
  Instance *instance;
  guint64 identity;
  HbwServerCheckResult result;
} ServerCheck;

/* The instance uses no connection of before. */
static void
close_connection (World *world, const ServerCheck *check)
{
  const Server *server = find_server (world, check->result.server);
  if (server != NULL)
    g_hash_table_remove (server->connections, &check->identity);
}

static void
deliver_check_result (World *world, void *data)
{
  ServerCheck *check = data;
  if (is_running (check->instance, check->identity)
      && world->now_us >= check->instance->paused_until_us)
    {
      HbwEvent event = { .kind = HBW_EVENT_SERVER_CHECKED, .check = check->result };
      if (check->result.kind == HBW_SERVER_CHECK_REFUSED)
        close_connection (world, check);
      run_reducer (world, check->instance, &event);
    }
  g_free (check);
}

static void
check_server (World *world, Instance *instance, const HbwCheckServer *wanted)
{
  const Server *server = find_server (world, wanted->server);
  if (server == NULL)
    return;
  gboolean remote = strcmp (instance->data_centre, server->entry.data_centre) != 0;
  ServerCheck *check = g_new0 (ServerCheck, 1);
  check->instance = instance;
  check->identity = instance->identity;
  check->result.kind
      = server->failed ? HBW_SERVER_CHECK_REFUSED : HBW_SERVER_CHECK_ACCEPTED;
  if (is_cut_off (world, instance, "servers"))
    check->result.kind = HBW_SERVER_CHECK_REFUSED;
  if (is_partitioned (world, instance->data_centre, server->entry.data_centre)
      || is_cut_off (world, instance, "servers-silent"))
    check->result.kind = HBW_SERVER_CHECK_NO_ANSWER;
  g_strlcpy (check->result.server, wanted->server, sizeof check->result.server);
  schedule (world,
            world->now_us + CHECK_OPEN_US
                + 2 * (remote ? world->link.remote_us : world->link.local_us),
            deliver_check_result, check);
}

typedef struct
{
  Instance *instance;
  guint64 identity;
  gint64 base_version;
  GBytes *body; /* NULL for a read */
} SuspectCall;

static void
suspect_call_free (SuspectCall *call)
{
  if (call->body != NULL)
    g_bytes_unref (call->body);
  g_free (call);
}

static void
submit_suspects (World *world, const SuspectCall *call, HbwEventKind kind,
                 gboolean written)
{
  if (!is_running (call->instance, call->identity))
    return;
  HbwEvent event = { .kind = kind };
  event.suspects.calls = 1;
  event.suspects.written = written;
  event.suspects.version = world->stored_suspects_version;
  event.suspects.body = world->stored_suspects;
  run_reducer (world, call->instance, &event);
}

/* Executes a call at the store.  A write whose version is not the current one is
   answered with the object, as by the runtime. */
static void
run_suspect_call (World *world, void *data)
{
  SuspectCall *call = data;
  gboolean reaches_store = can_reach_store (world, call->instance)
                           && world->now_us >= call->instance->paused_until_us;
  gboolean is_current = call->base_version == world->stored_suspects_version;
  if (!reaches_store && call->body == NULL
      && is_running (call->instance, call->identity))
    {
      schedule (world, world->now_us + STORE_POLL_US, run_suspect_call, call);
      return;
    }
  if (reaches_store && call->body != NULL && is_current)
    {
      g_clear_pointer (&world->stored_suspects, g_bytes_unref);
      world->stored_suspects = g_bytes_ref (call->body);
      world->stored_suspects_version++;
    }
  else if (reaches_store)
    submit_suspects (world, call, HBW_EVENT_SUSPECTS_READ, FALSE);
  if (call->body != NULL)
    submit_suspects (world, call, HBW_EVENT_SUSPECTS_WRITTEN,
                     reaches_store && is_current);
  suspect_call_free (call);
}

static void
call_suspect_store (World *world, Instance *instance, const HbwStoreSuspects *store)
{
  SuspectCall *call = g_new0 (SuspectCall, 1);
  call->instance = instance;
  call->identity = instance->identity;
  if (store != NULL)
    {
      call->base_version = store->base_version;
      call->body = g_bytes_ref (store->body);
    }
  schedule (world, world->now_us + STORE_CALL_US, run_suspect_call, call);
}

static void
execute_effect (World *world, Instance *instance, const HbwEffect *effect)
{
  Request *request;
  switch (effect->kind)
    {
    case HBW_EFFECT_START_ATTEMPT:
      trace (world, "%s starts %" G_GUINT64_FORMAT "/%u on %s", instance->name,
             effect->start.sequence, effect->start.attempt, effect->start.server);
      start_attempt (world, instance, &effect->start);
      break;
    case HBW_EFFECT_REFUSE_REQUEST:
      trace (world, "%s refuses %" G_GUINT64_FORMAT ": %s", instance->name,
             effect->refuse.sequence, hbw_reason_name (effect->refuse.reason));
      refuse_request (world, &effect->refuse);
      break;
    case HBW_EFFECT_FINISH_REQUEST:
      request = g_hash_table_lookup (world->requests, &effect->finish.sequence);
      end_request (world, request);
      if (request->stream != NULL && !request->completed)
        schedule_caller_retry (world, request);
      break;
    case HBW_EFFECT_SEND_MESSAGE:
      send_message (world, instance, &effect->send);
      break;
    case HBW_EFFECT_POLL_LOAD:
      poll_load (world, instance, &effect->poll);
      break;
    case HBW_EFFECT_CHECK_SERVER:
      check_server (world, instance, &effect->check);
      break;
    case HBW_EFFECT_ANSWER_TUNNEL:
      world->tunnel_accepted = *effect->tunnel.address != '\0';
      break;
    case HBW_EFFECT_READ_SUSPECTS:
      call_suspect_store (world, instance, NULL);
      break;
    case HBW_EFFECT_STORE_SUSPECTS:
      trace (world, "%s writes %" G_GSIZE_FORMAT " bytes of suspects",
             instance->name, g_bytes_get_size (effect->suspects.body));
      call_suspect_store (world, instance, &effect->suspects);
      break;
    case HBW_EFFECT_LOG:
      world->part_refused |= effect->log.number == HBW_LOG_PART_REFUSED;
      trace (world, "%s logs %s %s", instance->name,
             hbw_log_find_event (effect->log.number)->name, effect->log.text);
      break;
    default:
      break;
    }
}

static gint64
thread_cpu_ns (const World *world)
{
  struct timespec now = { 0, 0 };
  if (world->measure_cost)
    clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (gint64) now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
check_versions (World *world, Instance *instance)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      gint64 version
          = hbw_reducer_document_version (instance->reducer, (HbwDocumentKind) i);
      if (version < instance->versions[i])
        report_violation (world, "%s adopted an older version of document %s",
                          instance->name,
                          hbw_document_kind_name ((HbwDocumentKind) i));
      gboolean is_change = i == HBW_DOCUMENT_CATALOGUE && instance->versions[i] > 0
                           && version > instance->versions[i]
                           && version == world->versions[i];
      if (is_change)
        {
          gint64 lag_us = world->now_us - world->changed_us[i];
          g_array_append_val (world->rollout_delays, lag_us);
        }
      instance->versions[i] = version;
    }
}

static void
run_reducer (World *world, Instance *instance, HbwEvent *event)
{
  event->now_us = world->now_us;
  HbwEffects *effects = hbw_effects_create ();
  gint64 before_ns = thread_cpu_ns (world);
  hbw_reducer_step (instance->reducer, event, effects);
  world->cost.reducer_ns += thread_cpu_ns (world) - before_ns;
  for (guint i = 0; i < hbw_effects_count (effects); i++)
    execute_effect (world, instance, hbw_effects_get (effects, i));
  hbw_effects_destroy (effects);
  check_versions (world, instance);
}

/* --- instances ----------------------------------------------------------- */

static void
tick (World *world, void *data)
{
  Instance *instance = data;
  schedule (world, world->now_us + TICK_US, tick, instance);
  if (instance->identity == 0 || world->now_us < instance->paused_until_us)
    return;
  HbwEvent event = { .kind = HBW_EVENT_TICK };
  run_reducer (world, instance, &event);
}

/* The store reports that the catalogue that was just read is the newest. */
static void
confirm_catalogue (World *world, Instance *instance)
{
  HbwEvent event = { .kind = HBW_EVENT_CATALOGUE_CONFIRMED };
  event.confirmation.requested_us = world->now_us;
  event.confirmation.version = world->versions[HBW_DOCUMENT_CATALOGUE];
  run_reducer (world, instance, &event);
}

static void
poll_store (World *world, void *data)
{
  Instance *instance = data;
  schedule (world, world->now_us + STORE_POLL_US, poll_store, instance);
  if (instance->identity == 0 || world->now_us < instance->paused_until_us
      || !can_reach_store (world, instance))
    return;
  gboolean peers_have_documents = instance->has_read || world->revocation_us > 0;
  if (peers_have_documents && !hbw_reducer_is_store_watcher (instance->reducer))
    return;
  instance->has_read = TRUE;
  world->store_call_count++;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      gint64 offered_version = world->versions[i] - (world->store_stale ? 1 : 0);
      if (!world->store_stale
          && hbw_reducer_document_version (instance->reducer, (HbwDocumentKind) i)
                 >= offered_version)
        continue;
      HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
      event.document.kind = (HbwDocumentKind) i;
      event.document.version = offered_version;
      if (world->documents[i] != NULL)
        event.document.body
            = g_bytes_new (world->documents[i], strlen (world->documents[i]));
      GBytes *body = event.document.body;
      run_reducer (world, instance, &event);
      g_clear_pointer (&body, g_bytes_unref);
    }
  if (world->revocation_us > 0)
    confirm_catalogue (world, instance);
}

static void
start_instance (World *world, Instance *instance)
{
  const char *seeds[SEEDS_MAX + 1] = { NULL };
  gboolean same_for_all = world->revocation_us > 0;
  guint count = 0;
  for (guint i = 0; i < world->instances->len && count < SEEDS_MAX; i++)
    {
      const Instance *other = world->instances->pdata[i];
      if (other != instance || same_for_all)
        seeds[count++] = other->address;
    }
  instance->start_count++;
  instance->identity = ((guint64) world->now_us << 20)
                       | ((guint64) instance->index << 8) | instance->start_count;
  instance->has_read = FALSE;
  instance->draining = FALSE;
  instance->paused_until_us = 0;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    instance->versions[i] = -1;
  HbwReducerConfig config = { .policy = world->policy, .now_us = world->now_us };
  config.seeds = seeds;
  config.stores_suspects = TRUE;
  config.max_revocation_delay_us = world->revocation_us;
  config.seed = g_rand_int (world->random);
  config.self.identity = instance->identity;
  config.self.tunnel_port = 2;
  config.self.link_mbps = instance->machine.link_mbps;
  config.self.processor_percent = instance->machine.processor_percent;
  g_strlcpy (config.self.name, instance->name, sizeof config.self.name);
  g_strlcpy (config.self.data_centre, instance->data_centre,
             sizeof config.self.data_centre);
  g_strlcpy (config.self.address, instance->address, sizeof config.self.address);
  instance->reducer = hbw_reducer_create (&config);
  call_suspect_store (world, instance, NULL);
}

static void
stop_instance (World *world, Instance *instance)
{
  if (instance->identity == 0)
    return;
  guint64 identity = instance->identity;
  instance->identity = 0;
  for (guint i = 0; i < world->attempts->len; i++)
    {
      Attempt *attempt = world->attempts->pdata[i];
      if (attempt->identity == identity)
        abort_attempt (world, attempt);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, world->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Request *request = value;
      if (request->identity != identity || request->ended)
        continue;
      request->class->lost++;
      end_request (world, request);
      if (request->stream != NULL)
        schedule_caller_retry (world, request);
    }
  g_clear_pointer (&instance->reducer, hbw_reducer_destroy);
}

static Instance *
select_instance (World *world, const WorldLoad *load)
{
  guint count = world->instances->len;
  guint first_index = (guint) g_rand_int_range (world->random, 0, (gint32) count);
  for (guint i = 0; i < count; i++)
    {
      Instance *instance = world->instances->pdata[(first_index + i) % count];
      gboolean here = *load->data_centre == '\0'
                      || strcmp (load->data_centre, instance->data_centre) == 0;
      if (here && instance->identity != 0 && !instance->draining
          && world->now_us >= instance->paused_until_us
          && hbw_reducer_is_ready (instance->reducer))
        return instance;
    }
  return NULL;
}

/* Returns the length of a shared part, the same for each of its requests. */
static guint
shared_part_tokens (const WorldPrompt *prompt, guint64 hash)
{
  double exponent = (double) (XXH3_64bits (&hash, sizeof hash) % 2001) / 1000 - 1;
  return (guint) (prompt->shared_tokens * pow (prompt->spread, exponent));
}

static guint
draw_own_tokens (const WorldPrompt *prompt, GRand *random)
{
  if (prompt->spread <= 1)
    return (guint) g_rand_int_range (random, (gint32) prompt->own_min,
                                     (gint32) prompt->own_max + 1);
  return (guint) exp (g_rand_double_range (random, log (prompt->own_min),
                                           log (prompt->own_max + 1)));
}

/* Draws the shared part of a prompt, and adds one of the request's own. */
static void
fill_prompt (World *world, const WorldLoad *load, HbwRequestSpec *spec)
{
  const WorldPrompt *prompt = &load->prompt;
  if (prompt->shared_count == 0)
    return;
  guint64 shared
      = (guint64) g_rand_int_range (load->random, 0, (gint32) prompt->shared_count);
  spec->part_count = 2;
  spec->parts[0].hash = prompt->first_part + shared;
  spec->parts[0].tokens = shared_part_tokens (prompt, spec->parts[0].hash);
  spec->parts[1].hash = OWN_PARTS_MIN + world->last_sequence;
  spec->parts[1].tokens = draw_own_tokens (prompt, load->random);
  spec->prompt_tokens = spec->parts[0].tokens + spec->parts[1].tokens;
  spec->prefix_hash = spec->parts[0].hash;
}

static gboolean
fill_spec (World *world, const WorldLoad *load, Request *request)
{
  HbwError error;
  HbwCatalogue *catalogue = hbw_catalogue_parse (
      world->documents[HBW_DOCUMENT_CATALOGUE],
      strlen (world->documents[HBW_DOCUMENT_CATALOGUE]), 1, &error);
  const HbwClass *class = hbw_catalogue_find_class (catalogue, load->class_name);
  const HbwOrganisation *organisation
      = hbw_catalogue_find_organisation (catalogue, load->organisation);
  gboolean known = class != NULL && organisation != NULL;
  HbwRequestSpec *spec = &request->spec;
  if (known)
    {
      spec->class_tier = class->tier;
      spec->tier = organisation->tier != HBW_TIER_FROM_CLASS
                       ? (HbwTier) organisation->tier
                       : class->tier;
      spec->weight = organisation->weight;
      spec->cost_tokens = class->expected_tokens;
      spec->queue_bound = class->queue_bound;
      spec->first_token_target_us = class->first_token_target_us;
      spec->inter_token_target_us = class->inter_token_target_us;
      spec->deadline_us = class->deadline_us;
      spec->idempotent = !load->not_idempotent;
      spec->attempts_max = load->attempts_max;
      spec->resumable = load->resumable;
      spec->timeout_us = load->timeout_us;
      if (load->timeout_us > 0)
        spec->deadline_us = MIN (spec->deadline_us, load->timeout_us);
      g_strlcpy (spec->organisation, load->organisation, sizeof spec->organisation);
      g_strlcpy (spec->class_name, load->class_name, sizeof spec->class_name);
      g_strlcpy (spec->pool, load->pool, sizeof spec->pool);
      part_watch_fill (load->parts, load->random, spec);
      fill_prompt (world, load, spec);
    }
  hbw_catalogue_unref (catalogue);
  return known;
}

static void
submit_request (World *world, void *data)
{
  Request *request = data;
  Instance *instance = select_instance (world, request->load);
  if (instance == NULL)
    {
      g_free (request);
      return;
    }
  request->sequence = ++world->last_sequence;
  request->instance = instance;
  request->identity = instance->identity;
  request->arrived_us = world->now_us;
  request->class->arrived++;
  request->class->in_progress++;
  if (request->load->body > 0)
    request->spec.fingerprint.low = SHARED_FINGERPRINT_MIN + request->load->body;
  else if (request->spec.fingerprint.low == 0)
    request->spec.fingerprint.low = request->sequence;
  g_hash_table_insert (world->requests, &request->sequence, request);
  if (!part_watch_is_harmful (world->parts, &request->spec))
    part_watch_record_arrival (world->parts, world->now_us);
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = request->sequence;
  event.arrival.spec = request->spec;
  if (request->stream != NULL)
    stream_watch_fill (world->streams, request->stream, &event.arrival);
  run_reducer (world, instance, &event);
}

static void
generate_request (World *world, void *data)
{
  WorldLoad *load = data;
  if (world->now_us >= load->to_us)
    return;
  if (load->max_requests > 0 && load->sent_count++ >= load->max_requests)
    return;
  Request *request = g_new0 (Request, 1);
  request->load = load;
  request->tokens = load->tokens_min;
  if (load->tokens_max > load->tokens_min)
    request->tokens = (guint) g_rand_int_range (
        load->random, (gint32) load->tokens_min, (gint32) load->tokens_max + 1);
  if (load->resumable)
    request->stream = stream_watch_add (world->streams, load->unnamed);
  if (fill_spec (world, load, request))
    {
      request->class = find_or_create_class (world, load->class_name,
                                             request->spec.tier);
      submit_request (world, request);
    }
  else
    g_free (request);
  double interval_s = -log (1.0 - g_rand_double (load->random)) / load->rate;
  schedule (world, world->now_us + (gint64) (interval_s * HBW_US_PER_S) + 1,
            generate_request, data);
}

/* --- store and faults ---------------------------------------------------- */

/* Partitions between an instance and the store do not count, because the instance
   receives changes from its peers. */
static gboolean
has_instance_partition (const World *world)
{
  for (guint i = 0; i < world->partitions->len; i++)
    if (!g_str_has_suffix (world->partitions->pdata[i], "|store"))
      return TRUE;
  return FALSE;
}

static void
check_rollout (World *world, void *data)
{
  HbwDocumentKind kind = (HbwDocumentKind) GPOINTER_TO_INT (data);
  if (world->now_us - world->changed_us[kind] < WORLD_ROLLOUT_LIMIT_US)
    return;
  for (guint i = 0; i < world->instances->len; i++)
    {
      const Instance *instance = world->instances->pdata[i];
      if (instance->identity == 0 || world->store_down
          || has_instance_partition (world)
          || world->now_us < instance->paused_until_us + WORLD_ROLLOUT_LIMIT_US
          || (instance->identity >> 20)
                 > (guint64) (world->now_us - WORLD_ROLLOUT_LIMIT_US))
        continue;
      if (hbw_reducer_document_version (instance->reducer, kind)
          < world->versions[kind])
        report_violation (world, "%s has not adopted the newest %s", instance->name,
                          hbw_document_kind_name (kind));
    }
}

void
world_set_document (World *world, HbwDocumentKind kind, const char *body)
{
  g_free (world->documents[kind]);
  world->documents[kind] = g_strdup (body);
  world->versions[kind]++;
  world->changed_us[kind] = world->now_us;
  schedule (world, world->now_us + WORLD_ROLLOUT_LIMIT_US, check_rollout,
            GINT_TO_POINTER (kind));
}

static void
publish_servers (World *world)
{
  GString *text = g_string_new ("{\"servers\":[");
  for (guint i = 0; i < world->servers->len; i++)
    {
      const HbwServerEntry *entry = &((Server *) world->servers->pdata[i])->entry;
      g_string_append_printf (
          text,
          "%s{\"id\":\"%s\",\"pool\":\"%s\",\"data_centre\":\"%s\","
          "\"address\":\"%s\",\"slots\":%u,\"start\":%" G_GUINT64_FORMAT
          ",\"state\":\"%s\"%s%s%s}",
          i > 0 ? "," : "", entry->id, entry->pool, entry->data_centre,
          entry->address, entry->slots, entry->start_number,
          entry->leaving ? "leaving" : "live",
          *entry->version != '\0' ? ",\"version\":\"" : "", entry->version,
          *entry->version != '\0' ? "\"" : "");
    }
  g_string_append (text, "]}");
  world_set_document (world, HBW_DOCUMENT_SERVERS, text->str);
  g_string_free (text, TRUE);
}

static void
publish_stops (World *world)
{
  GString *text = g_string_new ("{\"stops\":[");
  GList *names = g_list_sort (g_hash_table_get_keys (world->planned_stops),
                              (GCompareFunc) g_strcmp0);
  for (GList *at = names; at != NULL; at = at->next)
    g_string_append_printf (text, "%s\"%s\"", at == names ? "" : ",",
                            (const char *) at->data);
  g_list_free (names);
  g_string_append (text, "]}");
  world_set_document (world, HBW_DOCUMENT_STOPS, text->str);
  g_string_free (text, TRUE);
}

static void
apply_notice (World *world, Server *server, const Fault *fault)
{
  NoticeCheckSays *says = notice_check_says (server->notices);
  gboolean ends = strcmp (fault->argument, "none") == 0;
  double number = g_ascii_strtod (fault->argument, NULL);
  if (strcmp (fault->verb, "limit") == 0)
    notice_check_set_limit (server->notices, ends ? -1 : number, world->now_us);
  else if (strcmp (fault->verb, "brittle") == 0)
    says->brittle = ends ? 0 : (guint) number;
  else if (strcmp (fault->verb, "announce") == 0)
    says->leaving = TRUE;
  else if (strcmp (fault->verb, "refuse") == 0)
    says->pause_us = ends ? 0 : (gint64) (number * HBW_US_PER_S);
}

static void
apply_server_fault (World *world, Server *server, const Fault *fault)
{
  const char *verb = fault->verb;
  if (strcmp (verb, "crash") == 0)
    fail_server (world, server, FALSE);
  else if (strcmp (verb, "restart") == 0)
    restart_server (world, server);
  else if (strcmp (verb, "upgrade") == 0)
    {
      fail_server (world, server, FALSE);
      g_strlcpy (server->entry.version, fault->argument,
                 sizeof server->entry.version);
      g_snprintf (server->entry.id, sizeof server->entry.id,
                  "%s" UPGRADE_SEPARATOR "%" G_GUINT64_FORMAT, fault->subject,
                  server->entry.start_number + 1);
      restart_server (world, server);
    }
  else if (strcmp (verb, "slow") == 0)
    server->slowdown = g_ascii_strtod (fault->argument, NULL);
  else if (strcmp (verb, "break") == 0)
    server->broken_share = g_ascii_strtod (fault->argument, NULL);
  else if (strcmp (verb, "leave") == 0)
    {
      server->entry.leaving = TRUE;
      server->leaving_since_us = world->now_us;
      publish_servers (world);
    }
  else if (strcmp (verb, "stop") == 0)
    {
      g_hash_table_add (world->planned_stops, g_strdup (server->entry.id));
      server->leaving_since_us = world->now_us;
      publish_stops (world);
    }
  else if (strcmp (verb, "unstop") == 0)
    {
      g_hash_table_remove (world->planned_stops, server->entry.id);
      server->leaving_since_us = 0;
      publish_stops (world);
    }
  else
    apply_notice (world, server, fault);
}

static void
apply_instance_fault (World *world, Instance *instance, const Fault *fault)
{
  const char *verb = fault->verb;
  if (strcmp (verb, "kill") == 0)
    stop_instance (world, instance);
  else if (strcmp (verb, "revive") == 0)
    {
      stop_instance (world, instance);
      start_instance (world, instance);
    }
  else if (strcmp (verb, "show") == 0 && instance->identity != 0)
    {
      GString *text = g_string_new (NULL);
      hbw_reducer_render_status (instance->reducer, text);
      trace (world, "%s: %s", instance->name, text->str);
      g_string_free (text, TRUE);
    }
  else if (strcmp (verb, "pause") == 0)
    instance->paused_until_us
        = world->now_us
          + (gint64) (g_ascii_strtod (fault->argument, NULL) * HBW_US_PER_S);
  else if (strcmp (verb, "drain") == 0 && instance->identity != 0)
    {
      HbwEvent event = { .kind = HBW_EVENT_DRAIN };
      instance->draining = TRUE;
      run_reducer (world, instance, &event);
    }
}

/* Ends the attempts of instances that have just lost all servers by a reset. */
static void
reset_connections (World *world)
{
  for (guint i = 0; i < world->attempts->len; i++)
    {
      Attempt *attempt = world->attempts->pdata[i];
      if (attempt->ended || !g_ptr_array_remove (attempt->server->running, attempt))
        continue;
      if (*attempt->tunnel_address == '\0'
          && is_cut_off (world, attempt->instance, "servers"))
        report_end (world, attempt, HBW_OUTCOME_BROKEN,
                    tokens_so_far (world, attempt));
      else
        g_ptr_array_add (attempt->server->running, attempt);
    }
}

static void
apply_fault (World *world, void *data)
{
  const Fault *fault = data;
  const char *verb = fault->verb;
  trace (world, "fault: %s %s %s", verb, fault->subject, fault->argument);
  Server *server = find_server (world, fault->subject);
  Instance *instance = find_instance (world, fault->subject);
  char *pair = g_strconcat (fault->subject, "|", fault->argument, NULL);
  if (strcmp (verb, "cut") == 0)
    {
      g_ptr_array_add (world->partitions, g_strdup (pair));
      reset_connections (world);
    }
  else if (strcmp (verb, "heal") == 0)
    {
      for (guint i = world->partitions->len; i > 0; i--)
        if (strcmp (world->partitions->pdata[i - 1], pair) == 0)
          g_ptr_array_remove_index (world->partitions, i - 1);
    }
  else if (strcmp (verb, "store-down") == 0)
    world->store_down = TRUE;
  else if (strcmp (verb, "store-up") == 0)
    world->store_down = world->store_stale = FALSE;
  else if (strcmp (verb, "store-old") == 0)
    world->store_stale = TRUE;
  else if (strcmp (verb, "edit") == 0)
    {
      char *body = g_strdup (world->documents[HBW_DOCUMENT_CATALOGUE]);
      world_set_document (world, HBW_DOCUMENT_CATALOGUE, body);
      g_free (body);
    }
  else if (server != NULL)
    apply_server_fault (world, server, fault);
  else if (instance != NULL)
    apply_instance_fault (world, instance, fault);
  g_free (pair);
}

/* --- progress ------------------------------------------------------------ */

/* Updates, once per second, the longest time for which each class had waiting
   requests but no attempt. */
static void
update_longest_gaps (World *world, void *data G_GNUC_UNUSED)
{
  schedule (world, world->now_us + HBW_US_PER_S, update_longest_gaps, NULL);
  for (guint i = 0; i < world->classes->len; i++)
    {
      WorldClass *class = world->classes->pdata[i];
      gint64 oldest = 0;
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, world->requests);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          const Request *request = value;
          if (request->class == class && !request->ended && !request->attempted
              && (oldest == 0 || request->arrived_us < oldest))
            oldest = request->arrived_us;
        }
      if (oldest > 0)
        class->longest_gap_us
            = MAX (class->longest_gap_us,
                   world->now_us - MAX (oldest, class->last_attempt_us));
    }
}

/* --- the world ----------------------------------------------------------- */

static void
load_free (gpointer data)
{
  WorldLoad *load = data;
  g_rand_free (load->random);
  g_free (load);
}

World *
world_create (guint32 seed, const char *policy)
{
  World *world = g_new0 (World, 1);
  world->actions = action_queue_create ();
  world->random = g_rand_new_with_seed (seed);
  world->seed = seed;
  world->policy = hbw_policy_find (policy);
  world->poison_restart_us = POISON_RESTART_US;
  world->link.local_us = HBW_US_PER_MS;
  world->link.remote_us = HBW_US_PER_MS;
  world->instances = g_ptr_array_new ();
  world->servers = g_ptr_array_new ();
  world->loads = g_ptr_array_new_with_free_func (load_free);
  world->classes = g_ptr_array_new_with_free_func (g_free);
  world->requests
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  world->attempts = g_ptr_array_new_with_free_func (g_free);
  world->partitions = g_ptr_array_new_with_free_func (g_free);
  world->rollout_delays = g_array_new (FALSE, FALSE, sizeof (gint64));
  world->poison_failures = g_hash_table_new (NULL, NULL);
  world->parts = part_watch_create ();
  world->streams = stream_watch_create ();
  world->prompts = prompt_watch_create ();
  world->planned_stops
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  schedule (world, HBW_US_PER_S, update_longest_gaps, NULL);
  return world;
}

static void
discard_action (const Action *action)
{
  if (action->run == deliver)
    {
      Delivery *delivery = action->data;
      hbw_message_clear (&delivery->message);
      g_free (delivery);
    }
  else if (action->run == run_suspect_call)
    suspect_call_free (action->data);
  else if (action->run == report_to_instance || action->run == apply_fault
           || action->run == deliver_load_report || action->run == submit_request)
    g_free (action->data);
}

void
world_destroy (World *world)
{
  Action action;
  while (action_queue_pop (world->actions, G_MAXINT64, &action))
    discard_action (&action);
  for (guint i = 0; i < world->instances->len; i++)
    {
      Instance *instance = world->instances->pdata[i];
      if (instance->reducer != NULL)
        hbw_reducer_destroy (instance->reducer);
      g_free (instance);
    }
  for (guint i = 0; i < world->servers->len; i++)
    {
      Server *server = world->servers->pdata[i];
      g_ptr_array_free (server->running, TRUE);
      g_ptr_array_free (server->queue, TRUE);
      g_hash_table_destroy (server->connections);
      g_array_free (server->turned_away_us, TRUE);
      notice_check_destroy (server->notices);
      g_clear_pointer (&server->engine, batch_engine_destroy);
      g_free (server);
    }
  action_queue_destroy (world->actions);
  g_ptr_array_free (world->instances, TRUE);
  g_ptr_array_free (world->servers, TRUE);
  g_ptr_array_free (world->attempts, TRUE);
  g_hash_table_destroy (world->requests);
  g_ptr_array_free (world->loads, TRUE);
  g_ptr_array_free (world->classes, TRUE);
  g_ptr_array_free (world->partitions, TRUE);
  g_array_free (world->rollout_delays, TRUE);
  g_hash_table_destroy (world->planned_stops);
  g_hash_table_destroy (world->poison_failures);
  part_watch_destroy (world->parts);
  stream_watch_destroy (world->streams);
  prompt_watch_destroy (world->prompts);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    g_free (world->documents[i]);
  g_rand_free (world->random);
  g_clear_pointer (&world->stored_suspects, g_bytes_unref);
  g_free (world->violation);
  g_free (world);
}

void
world_set_link (World *world, const WorldLink *link)
{
  world->link = *link;
}

void
world_set_trace (World *world, gboolean on)
{
  world->trace = on;
}

void
world_add_instances (World *world, const char *data_centre, guint count,
                     const WorldMachine *machine)
{
  guint number = 1;
  for (guint i = 0; i < world->instances->len; i++)
    {
      const Instance *instance = world->instances->pdata[i];
      number += strcmp (instance->data_centre, data_centre) == 0;
    }
  for (guint i = 0; i < count; i++)
    {
      Instance *instance = g_new0 (Instance, 1);
      instance->index = world->instances->len;
      instance->machine = *machine;
      g_snprintf (instance->name, sizeof instance->name, "%s%u", data_centre,
                  number + i);
      g_strlcpy (instance->data_centre, data_centre, sizeof instance->data_centre);
      g_snprintf (instance->address, sizeof instance->address, "10.0.%u.%u:1",
                  instance->index / 250, instance->index % 250 + 1);
      g_ptr_array_add (world->instances, instance);
    }
}

void
world_add_servers (World *world, const char *pool, const char *data_centre,
                   guint count, guint slots, gint64 prefill_us, gint64 token_us,
                   const char *version)
{
  for (guint i = 0; i < count; i++)
    {
      Server *server = g_new0 (Server, 1);
      g_snprintf (server->entry.id, sizeof server->entry.id, "%s-%s-%u", pool,
                  data_centre, i + 1);
      g_strlcpy (server->entry.pool, pool, sizeof server->entry.pool);
      g_strlcpy (server->entry.data_centre, data_centre,
                 sizeof server->entry.data_centre);
      g_snprintf (server->entry.address, sizeof server->entry.address, "10.9.0.%u:1",
                  i + 1);
      server->entry.slots = slots;
      server->entry.start_number = 1;
      g_strlcpy (server->entry.version, version, sizeof server->entry.version);
      server->prefill_us = prefill_us;
      server->token_us = token_us;
      server->slowdown = 1.0;
      server->notices = notice_check_create ();
      server->turned_away_us = g_array_new (FALSE, FALSE, sizeof (gint64));
      server->running = g_ptr_array_new ();
      server->queue = g_ptr_array_new ();
      server->connections
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
      g_ptr_array_add (world->servers, server);
    }
}

void
world_set_revocation (World *world, gint64 bound_us)
{
  world->revocation_us = bound_us;
}

guint
world_store_call_count (const World *world)
{
  return world->store_call_count;
}

void
world_set_engines (World *world, const char *pool, const BatchEngineSpec *spec)
{
  for (guint i = 0; i < world->servers->len; i++)
    {
      Server *server = world->servers->pdata[i];
      if (strcmp (server->entry.pool, pool) != 0)
        continue;
      server->token_us = spec->step_us;
      server->engine
          = batch_engine_create (spec, server->entry.slots, world->prompts);
    }
}

guint
world_limited_request_count (const World *world)
{
  guint count = 0;
  for (guint i = 0; i < world->servers->len; i++)
    {
      const Server *server = world->servers->pdata[i];
      count += notice_check_limited_count (server->notices);
    }
  return count;
}

guint
world_request_count (const World *world, const char *name)
{
  const Server *server = find_server (world, name);
  return server != NULL ? server->request_count : 0;
}

void
world_set_poison_restart (World *world, gint64 restart_us)
{
  world->poison_restart_us = restart_us;
}

void
world_add_load (World *world, const WorldLoad *load)
{
  WorldLoad *copy = g_new (WorldLoad, 1);
  *copy = *load;
  copy->random = g_rand_new_with_seed (world->seed * 31 + world->loads->len);
  g_ptr_array_add (world->loads, copy);
}

gboolean
world_add_fault (World *world, gint64 at_us, const char *verb, const char *subject,
                 const char *argument)
{
  static const char *const verbs[]
      = { "crash",      "restart",  "slow",   "leave",     "stop",    "unstop",
          "kill",       "revive",   "pause",  "drain",     "cut",     "heal",
          "store-down", "store-up", "edit",   "store-old", "show",    "break",
          "limit",      "announce", "refuse", "upgrade",   "brittle", NULL };
  gboolean needs_subject = !g_str_has_prefix (verb, "store-")
                           && strcmp (verb, "edit") != 0 && strcmp (verb, "cut") != 0
                           && strcmp (verb, "heal") != 0;
  if (!g_strv_contains (verbs, verb))
    return FALSE;
  if (needs_subject && find_server (world, subject) == NULL
      && find_instance (world, subject) == NULL)
    return FALSE;
  Fault *fault = g_new0 (Fault, 1);
  g_strlcpy (fault->verb, verb, sizeof fault->verb);
  g_strlcpy (fault->subject, subject, sizeof fault->subject);
  g_strlcpy (fault->argument, argument, sizeof fault->argument);
  schedule (world, START_US + at_us, apply_fault, fault);
  return TRUE;
}

static void
start_world (World *world)
{
  publish_servers (world);
  for (guint i = 0; i < world->instances->len; i++)
    {
      Instance *instance = world->instances->pdata[i];
      start_instance (world, instance);
      schedule (world, (gint64) i * 1000, tick, instance);
      schedule (world, (gint64) i * 1000, poll_store, instance);
    }
  for (guint i = 0; i < world->loads->len; i++)
    {
      WorldLoad *load = world->loads->pdata[i];
      load->from_us += START_US;
      load->to_us += START_US;
      schedule (world, load->from_us, generate_request, load);
    }
}

static int
compare_classes (gconstpointer a, gconstpointer b)
{
  const WorldClass *left = *(WorldClass *const *) a;
  const WorldClass *right = *(WorldClass *const *) b;
  return strcmp (left->name, right->name);
}

gboolean
world_run (World *world, gint64 until_us)
{
  if (world->now_us == 0)
    start_world (world);
  Action action;
  while (world->violation == NULL
         && action_queue_pop (world->actions, START_US + until_us, &action))
    {
      world->now_us = action.at_us;
      action.run (world, action.data);
      if (action.run == apply_fault)
        g_free (action.data);
    }
  g_ptr_array_sort (world->classes, compare_classes);
  return world->violation == NULL;
}

void
world_set_cost_measurement (World *world, gboolean measure)
{
  world->measure_cost = measure;
}

WorldCost
world_take_cost (World *world)
{
  WorldCost cost = world->cost;
  cost.virtual_us = world->now_us - world->cost_since_us;
  memset (&world->cost, 0, sizeof world->cost);
  world->cost_since_us = world->now_us;
  return cost;
}

const char *
world_violation (const World *world)
{
  return world->violation;
}

const GPtrArray *
world_classes (const World *world)
{
  return world->classes;
}

static int
compare_delays (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *) a;
  gint64 right = *(const gint64 *) b;
  return left < right ? -1 : left > right;
}

double
world_rollout_quantile_s (const World *world, double quantile)
{
  if (world->rollout_delays->len == 0)
    return 0;
  g_array_sort (world->rollout_delays, compare_delays);
  guint at = (guint) (quantile * (world->rollout_delays->len - 1));
  return (double) g_array_index (world->rollout_delays, gint64, at) / HBW_US_PER_S;
}

PartWatch *
world_part_watch (const World *world)
{
  return world->parts;
}

const StreamWatch *
world_stream_watch (const World *world)
{
  return world->streams;
}

const PromptWatch *
world_prompt_watch (const World *world)
{
  return world->prompts;
}

guint
world_toppled_count (const World *world)
{
  return world->toppled_count;
}

guint
world_poisoned_server_count (const World *world)
{
  return world->poisoned_server_count;
}

double
world_longest_message_wait_s (const World *world)
{
  return (double) world->longest_message_wait_us / HBW_US_PER_S;
}

double
world_comparisons_per_request (const World *world)
{
  guint64 compared = 0;
  for (guint i = 0; i < world->instances->len; i++)
    {
      const Instance *instance = world->instances->pdata[i];
      if (instance->reducer != NULL)
        compared
            += hbw_reducer_control_metrics (instance->reducer)->servers_compared;
    }
  return (double) compared / MAX (1, world->servers->len)
         / MAX (1, g_hash_table_size (world->requests));
}

double
world_message_rate (const World *world)
{
  return (double) world->messages / world->instances->len
         / ((double) world->now_us / HBW_US_PER_S);
}
