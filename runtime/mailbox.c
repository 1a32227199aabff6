#include "hornbeamwall/runtime/mailbox.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

struct HbwMailbox
{
  atomic_int ref_count;
  guint64 sequence;
  int event_fd;
  pthread_mutex_t lock;
  GQueue commands; /* HbwRequestCommand, owned */
};

HbwMailbox *
hbw_mailbox_create (guint64 sequence)
{
  int fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (fd < 0)
    return NULL;
  HbwMailbox *mailbox = g_new0 (HbwMailbox, 1);
  atomic_init (&mailbox->ref_count, 1);
  mailbox->sequence = sequence;
  mailbox->event_fd = fd;
  pthread_mutex_init (&mailbox->lock, NULL);
  g_queue_init (&mailbox->commands);
  return mailbox;
}

HbwMailbox *
hbw_mailbox_ref (HbwMailbox *mailbox)
{
  atomic_fetch_add (&mailbox->ref_count, 1);
  return mailbox;
}

void
hbw_mailbox_unref (HbwMailbox *mailbox)
{
  if (atomic_fetch_sub (&mailbox->ref_count, 1) != 1)
    return;
  g_queue_clear_full (&mailbox->commands, g_free);
  pthread_mutex_destroy (&mailbox->lock);
  close (mailbox->event_fd);
  g_free (mailbox);
}

guint64
hbw_mailbox_request_sequence (const HbwMailbox *mailbox)
{
  return mailbox->sequence;
}

int
hbw_mailbox_event_fd (const HbwMailbox *mailbox)
{
  return mailbox->event_fd;
}

void
hbw_mailbox_post (HbwMailbox *mailbox, const HbwRequestCommand *command)
{
  const guint64 one = 1;
  HbwRequestCommand *copy = g_new (HbwRequestCommand, 1);
  *copy = *command;
  pthread_mutex_lock (&mailbox->lock);
  g_queue_push_tail (&mailbox->commands, copy);
  pthread_mutex_unlock (&mailbox->lock);
  /* A write to an eventfd fails only if its counter is full, in which case the
     descriptor is readable anyway. */
  if (write (mailbox->event_fd, &one, sizeof one) < 0)
    return;
}

gboolean
hbw_mailbox_pop (HbwMailbox *mailbox, HbwRequestCommand *command)
{
  guint64 count;
  pthread_mutex_lock (&mailbox->lock);
  HbwRequestCommand *next = g_queue_pop_head (&mailbox->commands);
  if (g_queue_is_empty (&mailbox->commands))
    while (read (mailbox->event_fd, &count, sizeof count) < 0 && errno == EINTR)
      continue;
  pthread_mutex_unlock (&mailbox->lock);
  if (next == NULL)
    return FALSE;
  *command = *next;
  g_free (next);
  return TRUE;
}

void
hbw_mailbox_wait (HbwMailbox *mailbox, int caller_fd, int timeout_ms,
                  HbwRequestCommand *command)
{
  struct pollfd fds[]
      = { { mailbox->event_fd, POLLIN, 0 }, { caller_fd, POLLRDHUP, 0 } };
  command->kind = HBW_REQUEST_COMMAND_NONE;
  while (!hbw_mailbox_pop (mailbox, command))
    {
      int ready = poll (fds, caller_fd >= 0 ? 2 : 1, timeout_ms);
      if (ready == 0)
        return;
      if (ready > 0 && (fds[1].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        {
          command->kind = HBW_REQUEST_COMMAND_CALLER_GONE;
          return;
        }
    }
}

gboolean
hbw_socket_is_closed_by_peer (int fd)
{
  struct pollfd poll_fd = { fd, POLLRDHUP, 0 };
  return fd >= 0 && poll (&poll_fd, 1, 0) > 0
         && (poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}
