#include "hornbeamwall/runtime/call.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

struct HbwCall
{
  atomic_int references;
  guint64 sequence;
  int fd;
  pthread_mutex_t lock;
  GQueue orders; /* HbwOrder */
};

HbwCall *
hbw_call_create (guint64 sequence)
{
  int fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (fd < 0)
    return NULL;
  HbwCall *call = g_new0 (HbwCall, 1);
  atomic_init (&call->references, 1);
  call->sequence = sequence;
  call->fd = fd;
  pthread_mutex_init (&call->lock, NULL);
  g_queue_init (&call->orders);
  return call;
}

HbwCall *
hbw_call_ref (HbwCall *call)
{
  atomic_fetch_add (&call->references, 1);
  return call;
}

void
hbw_call_unref (HbwCall *call)
{
  if (atomic_fetch_sub (&call->references, 1) != 1)
    return;
  g_queue_clear_full (&call->orders, g_free);
  pthread_mutex_destroy (&call->lock);
  close (call->fd);
  g_free (call);
}

guint64
hbw_call_sequence (const HbwCall *call)
{
  return call->sequence;
}

int
hbw_call_descriptor (const HbwCall *call)
{
  return call->fd;
}

void
hbw_call_post (HbwCall *call, const HbwOrder *order)
{
  const guint64 one = 1;
  HbwOrder *copy = g_new (HbwOrder, 1);
  *copy = *order;
  pthread_mutex_lock (&call->lock);
  g_queue_push_tail (&call->orders, copy);
  pthread_mutex_unlock (&call->lock);
  /* An eventfd write of 1 only fails when the counter is full, and then the reader
     is woken anyway. */
  if (write (call->fd, &one, sizeof one) < 0)
    return;
}

gboolean
hbw_call_take (HbwCall *call, HbwOrder *order)
{
  guint64 count;
  pthread_mutex_lock (&call->lock);
  HbwOrder *next = g_queue_pop_head (&call->orders);
  if (g_queue_is_empty (&call->orders))
    while (read (call->fd, &count, sizeof count) < 0 && errno == EINTR)
      continue;
  pthread_mutex_unlock (&call->lock);
  if (next == NULL)
    return FALSE;
  *order = *next;
  g_free (next);
  return TRUE;
}

void
hbw_call_wait (HbwCall *call, int caller_fd, int timeout_ms, HbwOrder *order)
{
  struct pollfd fds[] = { { call->fd, POLLIN, 0 }, { caller_fd, POLLRDHUP, 0 } };
  order->kind = HBW_ORDER_NONE;
  while (!hbw_call_take (call, order))
    {
      int ready = poll (fds, caller_fd >= 0 ? 2 : 1, timeout_ms);
      if (ready == 0)
        return;
      if (ready > 0 && (fds[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        {
          order->kind = HBW_ORDER_GONE;
          return;
        }
    }
}

gboolean
hbw_caller_is_gone (int fd)
{
  struct pollfd poll_fd = { fd, POLLRDHUP, 0 };
  return fd >= 0 && poll (&poll_fd, 1, 0) > 0
         && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
