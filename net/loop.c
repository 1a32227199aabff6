#include "hornbeamwall/net/loop.h"

#include "hornbeamwall/common/tsan.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

/* Maximum number of events per iteration. */
#define EVENTS_MAX 64

/* Longest wait of one iteration, in milliseconds, so that a change of a manual test
   clock is noticed. */
#define WAIT_MAX_MS 1000

struct HbwLoop
{
  HbwClock *clock;
  void *data;
  void (*handle_iteration) (void *data); /* or NULL */
  int epoll_fd;
  HbwWatcher wake_watcher; /* an eventfd that other threads write to */
  GSequence *timers;       /* HbwTimer, by due_us */
  struct cds_wfcq_head task_head;
  struct cds_wfcq_tail task_tail;
  struct epoll_event events[EVENTS_MAX];
  guint event_count;
  guint watcher_count;
  /* A round polls every descriptor at least once.  It takes several polls if more
     than EVENTS_MAX descriptors are ready. */
  gint64 round_began_us;
  guint round_left; /* descriptors that it may not have polled yet; 0 is no round */
  gint64 polled_us; /* all that had arrived by then has been handled */
  gint64 now_us;
  gboolean stopped;
};

static int
compare_timers (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  const HbwTimer *left = a;
  const HbwTimer *right = b;
  return left->due_us < right->due_us ? -1 : left->due_us > right->due_us;
}

static void
handle_tasks (HbwLoop *loop)
{
  struct cds_wfcq_node *node;
  while ((node = __cds_wfcq_dequeue_blocking (&loop->task_head, &loop->task_tail))
         != NULL)
    {
      HbwTask *task = caa_container_of (node, HbwTask, node);
      HBW_TSAN_ACQUIRE (task);
      task->handle (task, loop->data);
    }
}

static void
handle_wake (HbwWatcher *watcher, guint events G_GNUC_UNUSED)
{
  guint64 count;
  HbwLoop *loop = caa_container_of (watcher, HbwLoop, wake_watcher);
  if (read (watcher->fd, &count, sizeof count) < 0)
    count = 0; /* nothing to read; the queue is checked anyway */
  handle_tasks (loop);
}

static HbwTimer *
first_timer (const HbwLoop *loop)
{
  GSequenceIter *first = g_sequence_get_begin_iter (loop->timers);
  return g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
}

/* After a stall of the process, what would have cleared a timer may not have been
   read, so a timer that is due waits for a round that begins later. */
static void
handle_timers (HbwLoop *loop)
{
  HbwTimer *timer;
  while ((timer = first_timer (loop)) != NULL && timer->due_us <= loop->polled_us)
    {
      hbw_loop_clear_timer (loop, timer);
      timer->handle_due (timer);
    }
}

static int
poll_timeout_ms (const HbwLoop *loop, gint64 now_us)
{
  const HbwTimer *timer = first_timer (loop);
  if (timer == NULL)
    return WAIT_MAX_MS;
  gint64 remaining_us = timer->due_us - now_us;
  gint64 rounded_up = (remaining_us + HBW_US_PER_MS - 1) / HBW_US_PER_MS;
  return (int) CLAMP (rounded_up, 0, WAIT_MAX_MS);
}

/* Records a poll that began at BEGAN_US and returned COUNT events.  The descriptors
   that are ready first come first, so that those that were ready when the round
   began are among as many events as there are descriptors. */
static void
record_poll (HbwLoop *loop, gint64 began_us, guint count)
{
  if (count < EVENTS_MAX)
    {
      loop->polled_us = began_us;
      loop->round_left = 0;
      return;
    }
  loop->round_left -= MIN (loop->round_left, count);
  if (loop->round_left == 0)
    loop->polled_us = loop->round_began_us;
}

/* A poll that was interrupted has polled nothing. */
static void
poll_events (HbwLoop *loop)
{
  gint64 began_us = hbw_clock_now (loop->clock);
  if (loop->round_left == 0)
    {
      loop->round_began_us = began_us;
      loop->round_left = loop->watcher_count;
    }
  int count = epoll_wait (loop->epoll_fd, loop->events, EVENTS_MAX,
                          poll_timeout_ms (loop, began_us));
  loop->now_us = hbw_clock_now (loop->clock);
  loop->event_count = count > 0 ? (guint) count : 0;
  if (count >= 0)
    record_poll (loop, began_us, loop->event_count);
}

static void
handle_event (const struct epoll_event *event, guint events)
{
  HbwWatcher *watcher = event->data.ptr;
  if (watcher != NULL && events != 0)
    watcher->handle_ready (watcher, events);
}

/* What arrived comes first: an error of the writable side may hide it. */
static void
run_iteration (HbwLoop *loop)
{
  poll_events (loop);
  for (guint i = 0; i < loop->event_count; i++)
    {
      const struct epoll_event *event = &loop->events[i];
      handle_event (event, event->events & ~(guint) EPOLLOUT);
      handle_event (event, event->events & EPOLLOUT);
    }
  loop->event_count = 0;
  handle_timers (loop);
  if (loop->handle_iteration != NULL)
    loop->handle_iteration (loop->data);
}

HbwLoop *
hbw_loop_create (HbwClock *clock, void *data, HbwError *error)
{
  HbwLoop *loop = g_new0 (HbwLoop, 1);
  loop->clock = clock;
  loop->data = data;
  loop->now_us = hbw_clock_now (clock);
  loop->timers = g_sequence_new (NULL);
  cds_wfcq_init (&loop->task_head, &loop->task_tail);
  loop->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  loop->wake_watcher.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  loop->wake_watcher.handle_ready = handle_wake;
  if (loop->epoll_fd >= 0 && loop->wake_watcher.fd >= 0
      && hbw_loop_watch (loop, &loop->wake_watcher, EPOLLIN))
    return loop;
  hbw_error_set (error, HBW_ERROR_NETWORK,
                 "cannot create the event loop: %s; raise the limit on open files",
                 strerror (errno));
  hbw_loop_destroy (loop, NULL);
  return NULL;
}

void
hbw_loop_destroy (HbwLoop *loop, void (*discard) (HbwTask *task))
{
  struct cds_wfcq_node *node;
  while ((node = __cds_wfcq_dequeue_blocking (&loop->task_head, &loop->task_tail))
         != NULL)
    {
      HbwTask *task = caa_container_of (node, HbwTask, node);
      HBW_TSAN_ACQUIRE (task);
      if (discard != NULL)
        discard (task);
    }
  if (loop->wake_watcher.fd >= 0)
    close (loop->wake_watcher.fd);
  if (loop->epoll_fd >= 0)
    close (loop->epoll_fd);
  g_sequence_free (loop->timers);
  g_free (loop);
}

HbwClock *
hbw_loop_clock (HbwLoop *loop)
{
  return loop->clock;
}

gint64
hbw_loop_now (HbwLoop *loop)
{
  return loop->now_us;
}

void
hbw_loop_set_iteration_handler (HbwLoop *loop, void (*handle) (void *data))
{
  loop->handle_iteration = handle;
}

void
hbw_loop_run (HbwLoop *loop)
{
  while (!loop->stopped)
    run_iteration (loop);
}

void
hbw_loop_stop (HbwLoop *loop)
{
  loop->stopped = TRUE;
}

gboolean
hbw_loop_watch (HbwLoop *loop, HbwWatcher *watcher, guint events)
{
  struct epoll_event event = { .events = events, .data.ptr = watcher };
  watcher->events = events;
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_ADD, watcher->fd, &event) != 0)
    return FALSE;
  loop->watcher_count++;
  return TRUE;
}

void
hbw_loop_set_events (HbwLoop *loop, HbwWatcher *watcher, guint events)
{
  if (watcher->events == events)
    return;
  struct epoll_event event = { .events = events, .data.ptr = watcher };
  watcher->events = events;
  epoll_ctl (loop->epoll_fd, EPOLL_CTL_MOD, watcher->fd, &event);
}

void
hbw_loop_unwatch (HbwLoop *loop, HbwWatcher *watcher)
{
  if (epoll_ctl (loop->epoll_fd, EPOLL_CTL_DEL, watcher->fd, NULL) == 0)
    loop->watcher_count--;
  for (guint i = 0; i < loop->event_count; i++)
    if (loop->events[i].data.ptr == watcher)
      loop->events[i].data.ptr = NULL; /* cancels its event of this iteration */
}

void
hbw_loop_set_timer (HbwLoop *loop, HbwTimer *timer, gint64 delay_us)
{
  hbw_loop_clear_timer (loop, timer);
  timer->due_us = hbw_clock_now (loop->clock) + delay_us;
  timer->queue_entry
      = g_sequence_insert_sorted (loop->timers, timer, compare_timers, NULL);
}

void
hbw_loop_clear_timer (HbwLoop *loop G_GNUC_UNUSED, HbwTimer *timer)
{
  if (timer->queue_entry == NULL)
    return;
  g_sequence_remove (timer->queue_entry);
  timer->queue_entry = NULL;
}

void
hbw_loop_post (HbwLoop *loop, HbwTask *task)
{
  const guint64 one = 1;
  cds_wfcq_node_init (&task->node);
  HBW_TSAN_RELEASE (task);
  cds_wfcq_enqueue (&loop->task_head, &loop->task_tail, &task->node);
  if (write (loop->wake_watcher.fd, &one, sizeof one) < 0)
    return; /* the counter is at its maximum, so a wakeup is pending */
}
