/*
 * loop - an epoll event loop with timers and tasks from other threads
 *
 * Timers use the runtime's clock.  A timer runs only after all that had arrived by
 * the time it was due has been handled: events of all descriptors, and tasks.  All
 * functions except hbw_loop_post() must be called on the thread that runs the loop.
 */
#ifndef HORNBEAMWALL_NET_LOOP_H
#define HORNBEAMWALL_NET_LOOP_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/common/error.h"

#include <urcu/wfcqueue.h>

typedef struct HbwLoop HbwLoop;

/* A watched descriptor; embedded in its owner.  If it is writable, handle_ready() is
   called a second time for that alone, unless the first call stopped watching. */
typedef struct HbwWatcher HbwWatcher;
struct HbwWatcher
{
  void (*handle_ready) (HbwWatcher *watcher, guint events);
  int fd;
  guint events;
};

/* A one-shot timer; embedded in its owner. */
typedef struct HbwTimer HbwTimer;
struct HbwTimer
{
  void (*handle_due) (HbwTimer *timer);
  gint64 due_us;
  GSequenceIter *queue_entry; /* NULL while the timer is not set */
};

/* A task that runs on the loop's thread; freed by handle(). */
typedef struct HbwTask HbwTask;
struct HbwTask
{
  struct cds_wfcq_node node;
  void (*handle) (HbwTask *task, void *data);
};

/* Creates a loop on CLOCK; DATA is passed to every task.  Returns NULL and sets
   ERROR if the process has no free descriptors. */
HbwLoop *hbw_loop_create (HbwClock *clock, void *data, HbwError *error);

/* Frees the loop; calls DISCARD, unless NULL, for each task that has not run. */
void hbw_loop_destroy (HbwLoop *loop, void (*discard) (HbwTask *task));

HbwClock *hbw_loop_clock (HbwLoop *loop);

/* Returns the time at which the current iteration began, in microseconds. */
gint64 hbw_loop_now (HbwLoop *loop);

/* Calls HANDLE with the loop's data at the end of each iteration, when no callback
   is in progress. */
void hbw_loop_set_iteration_handler (HbwLoop *loop, void (*handle) (void *data));

/* Runs until hbw_loop_stop() is called. */
void hbw_loop_run (HbwLoop *loop);

/* Makes hbw_loop_run() return after the current iteration. */
void hbw_loop_stop (HbwLoop *loop);

/* Watches the descriptor of WATCHER for EVENTS (EPOLLIN, EPOLLOUT).  Returns FALSE
   if epoll does not accept it. */
gboolean hbw_loop_watch (HbwLoop *loop, HbwWatcher *watcher, guint events);

/* Changes the events that WATCHER waits for. */
void hbw_loop_set_events (HbwLoop *loop, HbwWatcher *watcher, guint events);

/* Stops watching; events of the current iteration are not delivered any more. */
void hbw_loop_unwatch (HbwLoop *loop, HbwWatcher *watcher);

/* Sets TIMER to DELAY_US microseconds from now, which is positive; replaces an
   earlier setting. */
void hbw_loop_set_timer (HbwLoop *loop, HbwTimer *timer, gint64 delay_us);
void hbw_loop_clear_timer (HbwLoop *loop, HbwTimer *timer);

/* Queues TASK for the loop's thread.  Thread-safe. */
void hbw_loop_post (HbwLoop *loop, HbwTask *task);

#endif
