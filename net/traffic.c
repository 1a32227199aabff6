#include "hornbeamwall/net/traffic.h"

#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/downstream.h"
#include "hornbeamwall/net/exchange.h"
#include "hornbeamwall/net/server_check.h"
#include "hornbeamwall/net/tunnel.h"

#include <errno.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Stack size of the thread, in bytes. */
#define TRAFFIC_STACK_SIZE ((size_t) 256 * 1024)

/* Connections that are accepted in one loop iteration, so that other events are
   handled in between. */
#define ACCEPTS_PER_ITERATION 32

/* How long no connections are accepted after that has failed, as when no descriptor
   is left. */
#define ACCEPT_RETRY_US (50 * HBW_US_PER_MS)

/* How often it is checked whether anything is in progress, while draining. */
#define USE_INTERVAL_US (20 * HBW_US_PER_MS)

/* Limits for callers if the catalogue sets none. */
#define HEADER_MAX_DEFAULT ((guint) 64 * 1024)
#define HEADER_TIMEOUT_DEFAULT_US (10 * HBW_US_PER_S)

typedef struct
{
  HbwWatcher watcher;
  HbwTimer retry_timer; /* accepting connections has failed */
  HbwTraffic *traffic;
  void (*adopt) (HbwTraffic *traffic, int fd);
} Listener;

typedef struct
{
  HbwTraffic traffic;
  Listener caller_listener;
  Listener readiness_listener;
  Listener tunnel_listener;
  pthread_t thread;
  gboolean started;
} TrafficThread;

typedef struct
{
  HbwTask task;
  guint64 sequence;
  HbwRequestCommand command;
} CommandTask;

typedef struct
{
  HbwTask task;
  HbwCheckServer check;
} CheckTask;

typedef struct
{
  HbwTask task;
  HbwAnswerTunnel answer;
} TunnelTask;

static void
handle_iteration (void *data)
{
  HbwTraffic *traffic = data;
  hbw_memory_budget_make_room (traffic->memory);
  hbw_memory_reporter_update (traffic->memory_reporter, traffic->memory,
                              hbw_loop_now (traffic->loop));
}

static TrafficThread *
thread_of (HbwTraffic *traffic)
{
  return caa_container_of (traffic, TrafficThread, traffic);
}

static void
handle_command (HbwTask *task, void *data)
{
  CommandTask *command_task = caa_container_of (task, CommandTask, task);
  HbwTraffic *traffic = data;
  HbwExchange *exchange
      = g_hash_table_lookup (traffic->exchanges, &command_task->sequence);
  if (exchange != NULL)
    hbw_exchange_handle_command (exchange, &command_task->command);
  g_free (command_task);
}

static void
post_command (HbwRequestCommandSink *command_sink, guint64 sequence,
              const HbwRequestCommand *command)
{
  HbwTraffic *traffic = caa_container_of (command_sink, HbwTraffic, command_sink);
  CommandTask *command_task = g_new0 (CommandTask, 1);
  command_task->task.handle = handle_command;
  command_task->sequence = sequence;
  command_task->command = *command;
  hbw_loop_post (traffic->loop, &command_task->task);
}

static void
handle_check (HbwTask *task, void *data)
{
  CheckTask *check_task = caa_container_of (task, CheckTask, task);
  hbw_server_check_start (data, &check_task->check);
  g_free (check_task);
}

static void
post_check (HbwRequestCommandSink *command_sink, const HbwCheckServer *check)
{
  HbwTraffic *traffic = caa_container_of (command_sink, HbwTraffic, command_sink);
  CheckTask *check_task = g_new0 (CheckTask, 1);
  check_task->task.handle = handle_check;
  check_task->check = *check;
  hbw_loop_post (traffic->loop, &check_task->task);
}

static void
handle_tunnel_answer (HbwTask *task, void *data)
{
  TunnelTask *tunnel_task = caa_container_of (task, TunnelTask, task);
  hbw_tunnel_handle_answer (data, &tunnel_task->answer);
  g_free (tunnel_task);
}

static void
post_tunnel_answer (HbwRequestCommandSink *command_sink,
                    const HbwAnswerTunnel *answer)
{
  HbwTraffic *traffic = caa_container_of (command_sink, HbwTraffic, command_sink);
  TunnelTask *tunnel_task = g_new0 (TunnelTask, 1);
  tunnel_task->task.handle = handle_tunnel_answer;
  tunnel_task->answer = *answer;
  hbw_loop_post (traffic->loop, &tunnel_task->task);
}

static const HbwRequestCommandSinkClass command_sink_class
    = { post_command, post_check, post_tunnel_answer };

static void
close_listener (HbwLoop *loop, Listener *listener)
{
  if (listener->watcher.fd < 0)
    return;
  hbw_loop_clear_timer (loop, &listener->retry_timer);
  hbw_loop_unwatch (loop, &listener->watcher);
  close (listener->watcher.fd);
  listener->watcher.fd = -1;
}

static void
handle_use_timer (HbwTimer *timer)
{
  HbwTraffic *traffic = caa_container_of (timer, HbwTraffic, use_timer);
  atomic_store (&traffic->is_in_use, hbw_downstream_any_in_use (traffic)
                                         || hbw_tunnel_any_in_use (traffic));
  if (traffic->has_closed_idle)
    atomic_store (&traffic->is_closing_idle, FALSE);
  hbw_loop_set_timer (traffic->loop, timer, USE_INTERVAL_US);
}

static void
handle_drain (HbwTask *task, void *data)
{
  HbwTraffic *traffic = data;
  traffic->draining = TRUE;
  traffic->use_timer.handle_due = handle_use_timer;
  hbw_loop_set_timer (traffic->loop, &traffic->use_timer, USE_INTERVAL_US);
  g_free (task);
}

static void
handle_close_idle (HbwTask *task, void *data)
{
  HbwTraffic *traffic = data;
  TrafficThread *thread = thread_of (traffic);
  close_listener (traffic->loop, &thread->caller_listener);
  close_listener (traffic->loop, &thread->tunnel_listener);
  hbw_downstream_close_idle (traffic);
  traffic->has_closed_idle = TRUE;
  /* A timer that is set now waits until all that has arrived was read. */
  hbw_loop_set_timer (traffic->loop, &traffic->use_timer, USE_INTERVAL_US);
  g_free (task);
}

static void
handle_stop (HbwTask *task, void *data)
{
  HbwTraffic *traffic = data;
  hbw_loop_stop (traffic->loop);
  g_free (task);
}

static void
post_task (HbwTraffic *traffic, void (*handle) (HbwTask *task, void *data))
{
  HbwTask *task = g_new0 (HbwTask, 1);
  task->handle = handle;
  hbw_loop_post (traffic->loop, task);
}

static void
discard_task (HbwTask *task)
{
  g_free (task); /* the task is the first member of its allocation */
}

/* A connection past its idle timeout makes room for a new one. */
static void
adopt_caller (HbwTraffic *traffic, int fd)
{
  if (traffic->downstream_count < traffic->settings->connection_limit
      || hbw_downstream_close_past_limit (traffic))
    hbw_downstream_adopt (traffic, fd);
  else
    hbw_downstream_turn_away (fd);
}

static void
handle_retry (HbwTimer *timer)
{
  Listener *listener = caa_container_of (timer, Listener, retry_timer);
  hbw_loop_set_events (listener->traffic->loop, &listener->watcher, EPOLLIN);
}

/* A connection past its idle timeout frees its descriptor.  Without one, the
   listening socket stays ready, so it is not watched for a while. */
static void
handle_accept_failure (Listener *listener, int code)
{
  HbwTraffic *traffic = listener->traffic;
  if (code == EAGAIN || code == EWOULDBLOCK || code == EINTR || code == ECONNABORTED
      || hbw_downstream_close_past_limit (traffic))
    return;
  hbw_loop_set_events (traffic->loop, &listener->watcher, 0);
  hbw_loop_set_timer (traffic->loop, &listener->retry_timer, ACCEPT_RETRY_US);
}

static void
handle_accept (HbwWatcher *watcher, guint events G_GNUC_UNUSED)
{
  Listener *listener = caa_container_of (watcher, Listener, watcher);
  HbwTraffic *traffic = listener->traffic;
  for (guint i = 0; i < ACCEPTS_PER_ITERATION; i++)
    {
      int fd = accept4 (watcher->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        {
          handle_accept_failure (listener, errno);
          return;
        }
      listener->adopt (traffic, fd);
    }
}

static gboolean
open_listener (HbwTraffic *traffic, Listener *listener, const char *address,
               void (*adopt) (HbwTraffic *traffic, int fd), HbwError *error)
{
  listener->traffic = traffic;
  listener->adopt = adopt;
  listener->watcher.fd = -1;
  if (*address == '\0')
    return TRUE;
  listener->watcher.fd = hbw_listen (address, error);
  listener->watcher.handle_ready = handle_accept;
  listener->retry_timer.handle_due = handle_retry;
  return listener->watcher.fd >= 0
         && hbw_loop_watch (traffic->loop, &listener->watcher, EPOLLIN);
}

static void
destroy_exchanges (HbwTraffic *traffic)
{
  GList *exchanges = g_hash_table_get_values (traffic->exchanges);
  for (GList *item = exchanges; item != NULL; item = item->next)
    hbw_exchange_destroy (item->data);
  g_list_free (exchanges);
}

static void *
run_thread (void *data)
{
  HbwTraffic *traffic = data;
  hbw_loop_run (traffic->loop);
  return NULL;
}

static gboolean
start_thread (TrafficThread *thread, HbwError *error)
{
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, TRAFFIC_STACK_SIZE);
  int code
      = pthread_create (&thread->thread, &attributes, run_thread, &thread->traffic);
  pthread_attr_destroy (&attributes);
  thread->started = code == 0;
  if (code != 0)
    hbw_error_set (error, HBW_ERROR_NETWORK,
                   "cannot start the traffic thread: %s; raise the limit on threads",
                   g_strerror (code));
  return thread->started;
}

static gboolean
set_up_thread (TrafficThread *thread, HbwError *error)
{
  HbwTraffic *traffic = &thread->traffic;
  const HbwSettings *settings = traffic->settings;
  traffic->loop
      = hbw_loop_create (hbw_control_clock (traffic->control), traffic, error);
  if (traffic->loop == NULL)
    return FALSE;
  traffic->upstream_pool
      = hbw_upstream_pool_create (traffic->loop, settings->source_address);
  hbw_upstream_pool_set_memory (traffic->upstream_pool, traffic->memory);
  hbw_loop_set_iteration_handler (traffic->loop, handle_iteration);
  if (!open_listener (traffic, &thread->caller_listener, settings->caller_address,
                      adopt_caller, error)
      || !open_listener (traffic, &thread->readiness_listener,
                         settings->ready_address, adopt_caller, error)
      || !open_listener (traffic, &thread->tunnel_listener, settings->tunnel_address,
                         hbw_tunnel_adopt, error))
    return FALSE;
  hbw_control_set_command_sink (traffic->control, &traffic->command_sink);
  return start_thread (thread, error);
}

HbwTraffic *
hbw_traffic_create (HbwControl *control, const HbwSettings *settings,
                    HbwProtocolAdapter *adapter, HbwError *error)
{
  TrafficThread *thread = g_new0 (TrafficThread, 1);
  HbwTraffic *traffic = &thread->traffic;
  traffic->command_sink.class = &command_sink_class;
  traffic->control = control;
  traffic->settings = settings;
  traffic->adapter = adapter;
  traffic->notice_reporter = hbw_notice_reporter_create (control);
  traffic->memory_reporter = hbw_memory_reporter_create (control);
  traffic->memory
      = hbw_memory_budget_create (settings->memory_bytes / HBW_MEMORY_SHARE_DIVISOR);
  thread->caller_listener.watcher.fd = thread->readiness_listener.watcher.fd = -1;
  thread->tunnel_listener.watcher.fd = -1;
  traffic->exchanges = g_hash_table_new (g_int64_hash, g_int64_equal);
  CDS_INIT_LIST_HEAD (&traffic->downstreams);
  CDS_INIT_LIST_HEAD (&traffic->idle_downstreams);
  CDS_INIT_LIST_HEAD (&traffic->server_checks);
  CDS_INIT_LIST_HEAD (&traffic->tunnels);
  if (set_up_thread (thread, error))
    return traffic;
  hbw_traffic_destroy (traffic);
  return NULL;
}

void
hbw_traffic_destroy (HbwTraffic *traffic)
{
  TrafficThread *thread = thread_of (traffic);
  if (thread->started)
    {
      post_task (traffic, handle_stop);
      pthread_join (thread->thread, NULL);
    }
  hbw_control_set_command_sink (traffic->control, NULL);
  hbw_downstream_abort_all (traffic);
  destroy_exchanges (traffic);
  hbw_server_check_abort_all (traffic);
  hbw_tunnel_abort_all (traffic);
  g_hash_table_destroy (traffic->exchanges);
  hbw_notice_reporter_destroy (traffic->notice_reporter);
  if (traffic->upstream_pool != NULL)
    hbw_upstream_pool_destroy (traffic->upstream_pool);
  hbw_memory_budget_destroy (traffic->memory);
  hbw_memory_reporter_destroy (traffic->memory_reporter);
  close_listener (traffic->loop, &thread->caller_listener);
  close_listener (traffic->loop, &thread->readiness_listener);
  close_listener (traffic->loop, &thread->tunnel_listener);
  if (traffic->loop != NULL)
    hbw_loop_destroy (traffic->loop, discard_task);
  g_free (thread);
}

void
hbw_traffic_drain (HbwTraffic *traffic)
{
  atomic_store (&traffic->is_in_use, TRUE);
  post_task (traffic, handle_drain);
}

/* The order matters: a check stores its result before it ends the closing. */
gboolean
hbw_traffic_is_in_use (const HbwTraffic *traffic)
{
  return atomic_load (&traffic->is_closing_idle)
         || atomic_load (&traffic->is_in_use);
}

void
hbw_traffic_close_idle (HbwTraffic *traffic)
{
  atomic_store (&traffic->is_closing_idle, TRUE);
  post_task (traffic, handle_close_idle);
}

guint
hbw_traffic_port (const HbwTraffic *traffic)
{
  const TrafficThread *thread = caa_container_of (traffic, TrafficThread, traffic);
  return hbw_listen_port (thread->caller_listener.watcher.fd);
}

HbwCallerLimits
hbw_traffic_caller_limits (HbwTraffic *traffic)
{
  HbwCallerLimits limits = { 0 };
  HbwCatalogue *catalogue
      = hbw_snapshot_acquire (hbw_control_snapshot (traffic->control));
  if (catalogue != NULL)
    {
      limits = *hbw_catalogue_caller_limits (catalogue);
      hbw_catalogue_unref (catalogue);
    }
  if (limits.header_max == 0)
    limits.header_max = HEADER_MAX_DEFAULT;
  if (limits.body_max == 0)
    limits.body_max = traffic->settings->request_body_max;
  if (limits.header_timeout_us == 0)
    limits.header_timeout_us = HEADER_TIMEOUT_DEFAULT_US;
  if (limits.idle_timeout_us == 0)
    limits.idle_timeout_us = traffic->settings->caller_timeout_s * HBW_US_PER_S;
  return limits;
}
