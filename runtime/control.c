#include "hornbeamwall/runtime/control.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/common/tsan.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/reducer.h"
#include "hornbeamwall/net/peer_transport.h"
#include "hornbeamwall/runtime/duty_client.h"
#include "hornbeamwall/runtime/load_poller.h"
#include "hornbeamwall/runtime/suspect_store.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/wfcqueue.h>

#define CONTROL_STACK_BYTES (1024 * 1024)

/* A tick that is later than this comes after a stall of the process. */
#define LATE_TICK_US (4 * HBW_TICK_US)

/* Number of low bits of an identity that are random; the bits above hold the start
   time. */
#define IDENTITY_RANDOM_BITS 12

typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t done;
  HbwQueryKind kind;
  char *text;
} Query;

typedef struct
{
  struct cds_wfcq_node node;
  HbwEvent event;
  HbwMailbox *mailbox; /* reference, or NULL */
  Query *query;        /* owned by hbw_control_query(), or NULL */
} Submission;

struct HbwControl
{
  HbwClock *clock;
  HbwReducer *reducer;
  HbwEffects *effects;
  HbwPeerTransport *peer;
  HbwSnapshot *snapshot;
  HbwLoadPoller *load_poller;
  HbwSuspectStore *suspect_store;
  HbwDutyClient *duty_client; /* NULL without a duty interface */
  GHashTable *mailboxes;      /* sequence -> HbwMailbox */
  struct cds_wfcq_head queue_head;
  struct cds_wfcq_tail queue_tail;
  int wake_fd;
  pthread_t thread;
  gboolean started;
  guint64 identity;
  gint64 next_tick_us;
  gboolean tick_deferred;
  atomic_bool stopping;
  atomic_bool ready;
  atomic_bool store_watcher;
  atomic_bool draining;
  atomic_bool order_sender;
  atomic_uint request_count;
  _Atomic gint64 document_versions[HBW_DOCUMENT_COUNT];
  _Atomic guint64 last_sequence;
  _Atomic gint64 catalogue_confirmed_us;
  gint64 max_revocation_delay_us;
  pthread_mutex_t command_sink_lock; /* held while the sink is in use */
  HbwRequestCommandSink *command_sink;
};

static void
post_to_sink (HbwControl *control, guint64 sequence,
              const HbwRequestCommand *command)
{
  pthread_mutex_lock (&control->command_sink_lock);
  if (control->command_sink != NULL)
    control->command_sink->class->post (control->command_sink, sequence, command);
  pthread_mutex_unlock (&control->command_sink_lock);
}

static void
post_command (HbwControl *control, guint64 sequence,
              const HbwRequestCommand *command)
{
  HbwMailbox *mailbox = g_hash_table_lookup (control->mailboxes, &sequence);
  if (mailbox == NULL)
    {
      post_to_sink (control, sequence, command);
      return;
    }
  hbw_mailbox_post (mailbox, command);
  if (command->kind == HBW_REQUEST_COMMAND_REFUSE
      || command->kind == HBW_REQUEST_COMMAND_FINISH)
    g_hash_table_remove (control->mailboxes, &sequence);
}

/* Without a sink there is no result, which is no evidence. */
static void
post_check_to_sink (HbwControl *control, const HbwCheckServer *check)
{
  pthread_mutex_lock (&control->command_sink_lock);
  if (control->command_sink != NULL)
    control->command_sink->class->post_check (control->command_sink, check);
  pthread_mutex_unlock (&control->command_sink_lock);
}

static void
post_tunnel_answer_to_sink (HbwControl *control, const HbwAnswerTunnel *answer)
{
  pthread_mutex_lock (&control->command_sink_lock);
  if (control->command_sink != NULL)
    control->command_sink->class->post_tunnel_answer (control->command_sink, answer);
  pthread_mutex_unlock (&control->command_sink_lock);
}

static void
execute_effect (HbwControl *control, const HbwEffect *effect, gint64 now_us)
{
  HbwRequestCommand command = { HBW_REQUEST_COMMAND_NONE };
  switch (effect->kind)
    {
    case HBW_EFFECT_START_ATTEMPT:
      command.kind = HBW_REQUEST_COMMAND_START;
      command.start = effect->start;
      command.expires_us = now_us + effect->start.valid_for_us;
      post_command (control, effect->start.sequence, &command);
      break;
    case HBW_EFFECT_CANCEL_ATTEMPT:
      command.kind = HBW_REQUEST_COMMAND_CANCEL;
      post_command (control, effect->sequence, &command);
      break;
    case HBW_EFFECT_REFUSE_REQUEST:
      command.kind = HBW_REQUEST_COMMAND_REFUSE;
      command.refuse = effect->refuse;
      post_command (control, effect->refuse.sequence, &command);
      break;
    case HBW_EFFECT_FINISH_REQUEST:
      command.kind = HBW_REQUEST_COMMAND_FINISH;
      command.is_complete = effect->finish.is_complete;
      post_command (control, effect->finish.sequence, &command);
      break;
    case HBW_EFFECT_SEND_MESSAGE:
      hbw_peer_transport_post (control->peer, effect->send.address,
                               &effect->send.message);
      break;
    case HBW_EFFECT_POLL_LOAD:
      hbw_load_poller_enqueue (control->load_poller, &effect->poll);
      break;
    case HBW_EFFECT_CHECK_SERVER:
      post_check_to_sink (control, &effect->check);
      break;
    case HBW_EFFECT_ANSWER_TUNNEL:
      post_tunnel_answer_to_sink (control, &effect->tunnel);
      break;
    case HBW_EFFECT_PUBLISH_CATALOGUE:
      hbw_snapshot_publish (control->snapshot, effect->catalogue);
      break;
    case HBW_EFFECT_STORE_SUSPECTS:
      hbw_suspect_store_enqueue (control->suspect_store, &effect->suspects);
      break;
    case HBW_EFFECT_READ_SUSPECTS:
      hbw_suspect_store_enqueue_read (control->suspect_store);
      break;
    case HBW_EFFECT_LOG:
      hbw_log_write (effect->log.number, effect->log.text);
      break;
    case HBW_EFFECT_DUTY_STORE:
      hbw_duty_client_enqueue_store (control->duty_client, &effect->duty_store);
      break;
    case HBW_EFFECT_DUTY_CALL:
      hbw_duty_client_enqueue_call (control->duty_client, &effect->duty_call);
      break;
    }
}

static void
publish_state (HbwControl *control)
{
  const HbwReducer *reducer = control->reducer;
  atomic_store (&control->ready, hbw_reducer_is_ready (reducer));
  atomic_store (&control->draining, hbw_reducer_is_draining (reducer));
  atomic_store (&control->catalogue_confirmed_us,
                hbw_reducer_catalogue_confirmed_us (reducer));
  atomic_store (&control->request_count, hbw_reducer_request_count (reducer));
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    atomic_store (&control->document_versions[i],
                  hbw_reducer_document_version (reducer, (HbwDocumentKind) i));
}

static void
run_reducer (HbwControl *control, HbwEvent *event)
{
  event->now_us = hbw_clock_now (control->clock);
  event->wall_us = g_get_real_time ();
  hbw_reducer_step (control->reducer, event, control->effects);
  for (guint i = 0; i < hbw_effects_count (control->effects); i++)
    execute_effect (control, hbw_effects_get (control->effects, i), event->now_us);
  hbw_effects_clear (control->effects);
}

static void
answer_query (HbwControl *control, Query *query)
{
  GString *text = g_string_new (NULL);
  if (query->kind == HBW_QUERY_METRICS)
    {
      hbw_reducer_render_metrics (control->reducer, text);
      g_string_append_printf (
          text,
          "hornbeamwall_peer_bytes_sent_total %" G_GUINT64_FORMAT "\n"
          "hornbeamwall_peer_bytes_received_total %" G_GUINT64_FORMAT "\n",
          hbw_peer_transport_bytes_sent (control->peer),
          hbw_peer_transport_bytes_received (control->peer));
    }
  else if (query->kind == HBW_QUERY_STOPS)
    hbw_reducer_render_stops (control->reducer, text);
  else if (query->kind == HBW_QUERY_ROLLOUT)
    hbw_reducer_render_rollout (control->reducer, text);
  else
    hbw_reducer_render_status (control->reducer, text);
  pthread_mutex_lock (&query->lock);
  query->text = g_string_free (text, FALSE);
  pthread_cond_signal (&query->done);
  pthread_mutex_unlock (&query->lock);
}

/* Returns the member of EVENT that holds a reference to a body, or NULL. */
static GBytes **
find_body (HbwEvent *event)
{
  GBytes **body = NULL;
  if (event->kind == HBW_EVENT_DOCUMENT_READ)
    body = &event->document.body;
  else if (event->kind == HBW_EVENT_SUSPECTS_READ)
    body = &event->suspects.body;
  else if (event->kind == HBW_EVENT_DUTY_STORE)
    body = &event->duty_store.body;
  return body != NULL && *body != NULL ? body : NULL;
}

static void
release_body (HbwEvent *event)
{
  GBytes **body = find_body (event);
  if (body != NULL)
    g_clear_pointer (body, g_bytes_unref);
}

static void
handle_submission (HbwControl *control, Submission *submission)
{
  if (submission->query != NULL)
    {
      answer_query (control, submission->query);
      g_free (submission);
      return;
    }
  if (submission->mailbox != NULL)
    {
      guint64 *key = g_new (guint64, 1);
      *key = submission->event.arrival.sequence;
      g_hash_table_insert (control->mailboxes, key, submission->mailbox);
    }
  run_reducer (control, &submission->event);
  release_body (&submission->event);
  g_free (submission);
}

static void
handle_submissions (HbwControl *control)
{
  guint64 count;
  if (read (control->wake_fd, &count, sizeof count) < 0)
    count = 0; /* not signalled; the queue is checked anyway */
  struct cds_wfcq_node *node;
  while ((node
          = __cds_wfcq_dequeue_blocking (&control->queue_head, &control->queue_tail))
         != NULL)
    {
      Submission *submission = caa_container_of (node, Submission, node);
      HBW_TSAN_ACQUIRE (submission);
      handle_submission (control, submission);
    }
}

static void
handle_peer_message (const HbwMessage *message, void *data)
{
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE, .message = *message };
  run_reducer (data, &event);
}

static void
receive_peer_messages (HbwControl *control)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  guint invalid = hbw_peer_transport_receive (control->peer, handle_peer_message,
                                              control, &error);
  if (invalid > 0)
    hbw_log_write (HBW_LOG_MESSAGE_REJECTED, error.message);
}

/* Timeouts are decided by ticks.  After a stall, what the other threads and the
   peers have to say is heard first, so the tick is deferred once. */
static void
tick_if_due (HbwControl *control)
{
  gint64 now_us = hbw_clock_now (control->clock);
  if (now_us < control->next_tick_us)
    return;
  gboolean is_late
      = control->next_tick_us > 0 && now_us - control->next_tick_us > LATE_TICK_US;
  control->next_tick_us = now_us + HBW_TICK_US;
  if (is_late && !control->tick_deferred)
    {
      control->tick_deferred = TRUE;
      return;
    }
  control->tick_deferred = FALSE;
  HbwEvent event = { .kind = HBW_EVENT_TICK };
  run_reducer (control, &event);
  atomic_store (&control->store_watcher,
                hbw_reducer_is_store_watcher (control->reducer));
  atomic_store (&control->order_sender,
                hbw_reducer_is_order_sender (control->reducer));
}

static void *
run_control_thread (void *data)
{
  HbwControl *control = data;
  while (!atomic_load (&control->stopping))
    {
      hbw_peer_transport_wait (control->peer, control->wake_fd,
                               HBW_TICK_US / HBW_US_PER_MS);
      handle_submissions (control);
      receive_peer_messages (control);
      tick_if_due (control);
      publish_state (control);
      hbw_peer_transport_flush (control->peer, hbw_clock_now (control->clock));
    }
  return NULL;
}

static void
wake_control_thread (HbwControl *control)
{
  const guint64 one = 1;
  if (write (control->wake_fd, &one, sizeof one) < 0)
    return; /* the counter is full, so the thread wakes up anyway */
}

static void
enqueue (HbwControl *control, Submission *submission)
{
  cds_wfcq_node_init (&submission->node);
  HBW_TSAN_RELEASE (submission);
  cds_wfcq_enqueue (&control->queue_head, &control->queue_tail, &submission->node);
  wake_control_thread (control);
}

/* Returns an identity that is higher after each restart, so that peers can tell
   which of two instances at one address is the newer one. */
static guint64
create_identity (void)
{
  guint64 start = (guint64) g_get_real_time ();
  return (start << IDENTITY_RANDOM_BITS)
         | (g_random_int () & ((1U << IDENTITY_RANDOM_BITS) - 1));
}

static void
set_duties (HbwReducerConfig *config, const HbwSettings *settings)
{
  if (*settings->duty_address == '\0')
    return;
  config->duty_lease_us = settings->duty_lease_us;
  config->duty_calls_per_s = settings->duty_calls_per_s;
  config->orders_servers = settings->orders_servers;
  if (!settings->reports_usage)
    return;
  config->usage.window_us = settings->usage_window_us;
  config->usage.tolerance = settings->usage_tolerance;
  config->usage.late_us = settings->usage_late_us;
}

static HbwReducer *
create_reducer (HbwControl *control, const HbwSettings *settings)
{
  HbwReducerConfig config = { .policy = hbw_policy_find (settings->policy) };
  config.self.identity = control->identity;
  config.seed = (guint32) control->identity;
  config.now_us = hbw_clock_now (control->clock);
  config.seeds = (const char *const *) settings->seeds->pdata;
  config.retry_limits = settings->retry_limits;
  config.max_revocation_delay_us = settings->max_revocation_delay_us;
  config.drain_grace_us = settings->stop_grace_us / 100 * HBW_STOP_ACCEPTING_PERCENT;
  config.drain_waiting_us = settings->stop_grace_us / 100 * HBW_STOP_WAITING_PERCENT;
  config.load_in_answers = settings->load_in_responses;
  config.ramps_servers = settings->ramps_servers;
  HbwHostPort tunnel;
  if (hbw_address_parse (settings->tunnel_address, &tunnel))
    config.self.tunnel_port = (guint16) tunnel.port;
  config.self.link_mbps = settings->link_mbps;
  config.self.processor_percent = settings->processor_percent;
  config.stores_suspects = TRUE;
  set_duties (&config, settings);
  g_strlcpy (config.self.name, settings->name, sizeof config.self.name);
  g_strlcpy (config.self.data_centre, settings->data_centre,
             sizeof config.self.data_centre);
  g_strlcpy (config.self.address, hbw_peer_transport_address (control->peer),
             sizeof config.self.address);
  return hbw_reducer_create (&config);
}

/* Returns FALSE and sets ERROR if that is not possible. */
static gboolean
create_duty_client (HbwControl *control, const HbwSettings *settings,
                    HbwError *error)
{
  if (*settings->duty_address == '\0')
    return TRUE;
  control->duty_client = hbw_duty_client_create (control, settings, error);
  return control->duty_client != NULL;
}

HbwControl *
hbw_control_create (const HbwSettings *settings, HbwClock *clock, HbwError *error)
{
  guint64 identity = create_identity ();
  HbwPeerTransport *peer
      = hbw_peer_transport_create (settings->peer_address, identity, error);
  if (peer == NULL)
    return NULL;
  HbwControl *control = g_new0 (HbwControl, 1);
  control->clock = clock;
  control->identity = identity;
  control->peer = peer;
  control->max_revocation_delay_us = settings->max_revocation_delay_us;
  pthread_mutex_init (&control->command_sink_lock, NULL);
  control->wake_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  control->effects = hbw_effects_create ();
  control->snapshot = hbw_snapshot_create ();
  control->mailboxes = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                              (GDestroyNotify) hbw_mailbox_unref);
  cds_wfcq_init (&control->queue_head, &control->queue_tail);
  control->reducer = create_reducer (control, settings);
  publish_state (control);
  control->load_poller = hbw_load_poller_create (control);
  control->suspect_store = hbw_suspect_store_create (control, settings, error);
  if (control->suspect_store == NULL
      || !create_duty_client (control, settings, error))
    g_clear_pointer (&control, hbw_control_destroy);
  return control;
}

gboolean
hbw_control_start (HbwControl *control, HbwError *error)
{
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, CONTROL_STACK_BYTES);
  int code
      = pthread_create (&control->thread, &attributes, run_control_thread, control);
  pthread_attr_destroy (&attributes);
  control->started = code == 0;
  if (code != 0)
    hbw_error_set (error, HBW_ERROR_NETWORK,
                   "cannot start the control thread: %s; raise the thread limit",
                   g_strerror (code));
  return control->started;
}

static void
discard_submissions (HbwControl *control)
{
  struct cds_wfcq_node *node;
  while ((node
          = __cds_wfcq_dequeue_blocking (&control->queue_head, &control->queue_tail))
         != NULL)
    {
      Submission *submission = caa_container_of (node, Submission, node);
      HBW_TSAN_ACQUIRE (submission);
      if (submission->mailbox != NULL)
        hbw_mailbox_unref (submission->mailbox);
      if (submission->query == NULL)
        release_body (&submission->event);
      g_free (submission);
    }
}

void
hbw_control_destroy (HbwControl *control)
{
  atomic_store (&control->stopping, TRUE);
  wake_control_thread (control);
  if (control->started)
    pthread_join (control->thread, NULL);
  hbw_load_poller_destroy (control->load_poller);
  if (control->suspect_store != NULL)
    hbw_suspect_store_destroy (control->suspect_store);
  g_clear_pointer (&control->duty_client, hbw_duty_client_destroy);
  discard_submissions (control);
  g_hash_table_destroy (control->mailboxes);
  hbw_reducer_destroy (control->reducer);
  hbw_effects_destroy (control->effects);
  hbw_snapshot_destroy (control->snapshot);
  hbw_peer_transport_destroy (control->peer);
  close (control->wake_fd);
  pthread_mutex_destroy (&control->command_sink_lock);
  g_free (control);
}

void
hbw_control_submit (HbwControl *control, const HbwEvent *event, HbwMailbox *mailbox)
{
  Submission *submission = g_new0 (Submission, 1);
  submission->event = *event;
  submission->mailbox = mailbox != NULL ? hbw_mailbox_ref (mailbox) : NULL;
  if (find_body (&submission->event) != NULL)
    g_bytes_ref (*find_body (&submission->event));
  enqueue (control, submission);
}

char *
hbw_control_query (HbwControl *control, HbwQueryKind kind)
{
  Query query = { .kind = kind };
  pthread_mutex_init (&query.lock, NULL);
  pthread_cond_init (&query.done, NULL);
  Submission *submission = g_new0 (Submission, 1);
  submission->query = &query;
  enqueue (control, submission);
  pthread_mutex_lock (&query.lock);
  while (query.text == NULL)
    pthread_cond_wait (&query.done, &query.lock);
  pthread_mutex_unlock (&query.lock);
  pthread_cond_destroy (&query.done);
  pthread_mutex_destroy (&query.lock);
  return query.text;
}

guint64
hbw_control_next_request_sequence (HbwControl *control)
{
  return atomic_fetch_add (&control->last_sequence, 1) + 1;
}

void
hbw_control_set_command_sink (HbwControl *control, HbwRequestCommandSink *sink)
{
  pthread_mutex_lock (&control->command_sink_lock);
  control->command_sink = sink;
  pthread_mutex_unlock (&control->command_sink_lock);
}

HbwFreshness
hbw_control_catalogue_freshness (const HbwControl *control)
{
  const HbwFreshness freshness
      = { hbw_clock_now (control->clock)
              - atomic_load (&control->catalogue_confirmed_us),
          control->max_revocation_delay_us };
  return freshness;
}

HbwSnapshot *
hbw_control_snapshot (HbwControl *control)
{
  return control->snapshot;
}

HbwClock *
hbw_control_clock (HbwControl *control)
{
  return control->clock;
}

guint64
hbw_control_identity (const HbwControl *control)
{
  return control->identity;
}

gboolean
hbw_control_is_ready (const HbwControl *control)
{
  return atomic_load (&control->ready);
}

gboolean
hbw_control_is_order_sender (const HbwControl *control)
{
  return atomic_load (&control->order_sender);
}

gboolean
hbw_control_is_draining (const HbwControl *control)
{
  return atomic_load (&control->draining);
}

gboolean
hbw_control_is_store_watcher (const HbwControl *control)
{
  return atomic_load (&control->store_watcher);
}

guint
hbw_control_request_count (const HbwControl *control)
{
  return atomic_load (&control->request_count);
}

gint64
hbw_control_document_version (const HbwControl *control, HbwDocumentKind kind)
{
  return atomic_load (&control->document_versions[kind]);
}
