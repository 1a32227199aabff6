/*
 * loop - one thread's event loop: sockets, timers, and tasks from other threads
 *
 * Sockets are watched with epoll.  Timers run on the runtime's clock.  All functions
 * but hbw_loop_post() belong to the thread that runs the loop.
 */
#ifndef HORNBEAMWALL_NET_LOOP_H
#define HORNBEAMWALL_NET_LOOP_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/common/error.h"

#include <urcu/wfcqueue.h>

typedef struct HbwLoop HbwLoop;

/* A descriptor that is watched; embedded in its owner. */
typedef struct HbwWatcher HbwWatcher;
struct HbwWatcher
{
  void (*handle_ready) (HbwWatcher *watcher, guint events);
  int fd;
  guint events;
};

/* A point in time; embedded in its owner. */
typedef struct HbwTimer HbwTimer;
struct HbwTimer
{
  void (*handle_due) (HbwTimer *timer);
  gint64 due_us;
  GSequenceIter *place; /* NULL while it is not set */
};

/* Something that another thread wants done; freed by handle(). */
typedef struct HbwTask HbwTask;
struct HbwTask
{
  struct cds_wfcq_node node;
  void (*handle) (HbwTask *task, void *data);
};

/* Creates a loop on CLOCK; DATA is given to every task. */
HbwLoop *hbw_loop_create (HbwClock *clock, void *data, HbwError *error);

/* Frees the loop; tasks that were not handled are handed to DISCARD. */
void hbw_loop_destroy (HbwLoop *loop, void (*discard) (HbwTask *task));

HbwClock *hbw_loop_clock (HbwLoop *loop);

/* Returns the time at which the present round began, in microseconds. */
gint64 hbw_loop_now (HbwLoop *loop);

/* Runs until hbw_loop_stop(). */
void hbw_loop_run (HbwLoop *loop);

/* Ends hbw_loop_run() after the present round. */
void hbw_loop_stop (HbwLoop *loop);

/* Watches the descriptor of WATCHER for EVENTS (EPOLLIN, EPOLLOUT).  Returns FALSE
   where the system has no room for it. */
gboolean hbw_loop_watch (HbwLoop *loop, HbwWatcher *watcher, guint events);
void hbw_loop_change (HbwLoop *loop, HbwWatcher *watcher, guint events);
void hbw_loop_unwatch (HbwLoop *loop, HbwWatcher *watcher);

/* Sets TIMER to DELAY_US from now, in place of what it was set to. */
void hbw_loop_set_timer (HbwLoop *loop, HbwTimer *timer, gint64 delay_us);
void hbw_loop_clear_timer (HbwLoop *loop, HbwTimer *timer);

/* Hands TASK to the loop's thread; may be called from any thread. */
void hbw_loop_post (HbwLoop *loop, HbwTask *task);

#endif
