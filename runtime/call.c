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
  GQueue orders; /* HbwOrder, owned */
};

HbwCall *
hbw_call_create (guint64 sequence)
{
  int fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (fd < 0)
    return NULL;
  HbwCall *mailbox = g_new0 (HbwCall, 1);
  atomic_init (&mailbox->references, 1);
  mailbox->sequence = sequence;
  mailbox->fd = fd;
  pthread_mutex_init (&mailbox->lock, NULL);
  g_queue_init (&mailbox->orders);
  return mailbox;
}

HbwCall *
hbw_call_ref (HbwCall *mailbox)
{
  atomic_fetch_add (&mailbox->references, 1);
  return mailbox;
}

void
hbw_call_unref (HbwCall *mailbox)
{
  if (atomic_fetch_sub (&mailbox->references, 1) != 1)
    return;
  g_queue_clear_full (&mailbox->orders, g_free);
  pthread_mutex_destroy (&mailbox->lock);
  close (mailbox->fd);
  g_free (mailbox);
}

guint64
hbw_call_sequence (const HbwCall *mailbox)
{
  return mailbox->sequence;
}

int
hbw_call_descriptor (const HbwCall *mailbox)
{
  return mailbox->fd;
}

void
hbw_call_post (HbwCall *mailbox, const HbwOrder *command)
{
  const guint64 one = 1;
  HbwOrder *copy = g_new (HbwOrder, 1);
  *copy = *command;
  pthread_mutex_lock (&mailbox->lock);
  g_queue_push_tail (&mailbox->orders, copy);
  pthread_mutex_unlock (&mailbox->lock);
  /* A write to an eventfd fails only if its counter is full, in which case the
     descriptor is readable anyway. */
  if (write (mailbox->fd, &one, sizeof one) < 0)
    return;
}

gboolean
hbw_call_take (HbwCall *mailbox, HbwOrder *command)
{
  guint64 count;
  pthread_mutex_lock (&mailbox->lock);
  HbwOrder *next = g_queue_pop_head (&mailbox->orders);
  if (g_queue_is_empty (&mailbox->orders))
    while (read (mailbox->fd, &count, sizeof count) < 0 && errno == EINTR)
      continue;
  pthread_mutex_unlock (&mailbox->lock);
  if (next == NULL)
    return FALSE;
  *command = *next;
  g_free (next);
  return TRUE;
}

void
hbw_call_wait (HbwCall *mailbox, int caller_fd, int timeout_ms, HbwOrder *command)
{
  struct pollfd fds[] = { { mailbox->fd, POLLIN, 0 }, { caller_fd, POLLRDHUP, 0 } };
  command->kind = HBW_ORDER_NONE;
  while (!hbw_call_take (mailbox, command))
    {
      int ready = poll (fds, caller_fd >= 0 ? 2 : 1, timeout_ms);
      if (ready == 0)
        return;
      if (ready > 0 && (fds[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        {
          command->kind = HBW_ORDER_GONE;
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
