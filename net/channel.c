#include "hornbeamwall/net/channel.h"

#include "hornbeamwall/common/address.h"
#include "hornbeamwall/net/byte_buffer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

/* Connections that may wait to be accepted on a listening socket. */
#define LISTEN_BACKLOG 512

/* How long sent bytes may stay unacknowledged before the connection is closed, in
   milliseconds: after a network partition the peer sends no reset. */
#define USER_TIMEOUT_MS 4000

/* Parts of what is buffered that are sent at once. */
#define PARTS_MAX 17

struct HbwChannel
{
  HbwWatcher watcher;
  HbwLoop *loop;
  HbwChannelHandler *handler;
  HbwByteBuffer send_buffer;
  gsize sent_bytes;    /* bytes of send_buffer that were sent */
  HbwByteBlocks *tail; /* sent after send_buffer; or NULL */
  gsize sent_tail_bytes;
  gboolean connecting;
  gboolean refused; /* the connection */
  gboolean reading;
  gboolean send_failed; /* what had arrived before can still be read */
  gboolean shutdown_requested;
  gboolean shutdown_done;
};

static void
set_options (int fd)
{
  const int on = 1;
  const unsigned timeout = USER_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static void
update_events (HbwChannel *channel)
{
  guint events = 0;
  if (channel->reading && !channel->connecting)
    events |= EPOLLIN;
  if (channel->connecting
      || (!channel->send_failed && hbw_channel_pending_bytes (channel) > 0))
    events |= EPOLLOUT;
  hbw_loop_set_events (channel->loop, &channel->watcher, events);
}

static void
shut_down_if_requested (HbwChannel *channel)
{
  if (!channel->shutdown_requested || channel->shutdown_done)
    return;
  channel->shutdown_done = TRUE;
  shutdown (channel->watcher.fd, SHUT_WR);
}

static gsize
count_unsent_tail (const HbwChannel *channel)
{
  return channel->tail != NULL
             ? hbw_byte_blocks_length (channel->tail) - channel->sent_tail_bytes
             : 0;
}

/* Records that COUNT more bytes were sent.  The buffer is moved only once most of it
   has been, so that each byte is moved once. */
static void
record_sent (HbwChannel *channel, gsize count)
{
  gsize buffered = MIN (count, channel->send_buffer.length - channel->sent_bytes);
  channel->sent_bytes += buffered;
  channel->sent_tail_bytes += count - buffered;
  if (2 * channel->sent_bytes >= channel->send_buffer.length)
    {
      hbw_byte_buffer_remove (&channel->send_buffer, channel->sent_bytes);
      channel->sent_bytes = 0;
    }
  if (channel->tail == NULL || count_unsent_tail (channel) > 0)
    return;
  g_clear_pointer (&channel->tail, hbw_byte_blocks_unref);
  channel->sent_tail_bytes = 0;
}

static ssize_t
send_pending (const HbwChannel *channel)
{
  struct iovec parts[PARTS_MAX];
  guint count = 0;
  gsize buffered = channel->send_buffer.length - channel->sent_bytes;
  if (buffered > 0)
    {
      parts[0].iov_base = channel->send_buffer.bytes + channel->sent_bytes;
      parts[0].iov_len = buffered;
      count = 1;
    }
  if (channel->tail != NULL)
    count += hbw_byte_blocks_fill_parts (channel->tail, channel->sent_tail_bytes,
                                         parts + count, PARTS_MAX - count);
  const struct msghdr message = { .msg_iov = parts, .msg_iovlen = count };
  return sendmsg (channel->watcher.fd, &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

/* Sends buffered bytes; returns FALSE if the connection is broken. */
static gboolean
flush_send_buffer (HbwChannel *channel)
{
  while (hbw_channel_pending_bytes (channel) > 0)
    {
      ssize_t count = send_pending (channel);
      if (count < 0 && errno == EINTR)
        continue;
      if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK;
      record_sent (channel, (gsize) count);
    }
  shut_down_if_requested (channel);
  return TRUE;
}

/* Returns how many of BYTES the socket has taken.  The kernel reports a reset only
   once, so it is recorded for the next read. */
static gsize
send_directly (HbwChannel *channel, const char *bytes, gsize length)
{
  ssize_t count;
  if (channel->connecting || hbw_channel_pending_bytes (channel) > 0)
    return 0;
  do
    count = send (channel->watcher.fd, bytes, length, MSG_NOSIGNAL | MSG_DONTWAIT);
  while (count < 0 && errno == EINTR);
  if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
    channel->send_failed = TRUE;
  return count > 0 ? (gsize) count : 0;
}

/* Further bytes come after those of the tail. */
static void
buffer_tail (HbwChannel *channel)
{
  struct iovec part;
  while (count_unsent_tail (channel) > 0
         && hbw_byte_blocks_fill_parts (channel->tail, channel->sent_tail_bytes,
                                        &part, 1)
                > 0)
    {
      hbw_byte_buffer_append (&channel->send_buffer, part.iov_base, part.iov_len);
      channel->sent_tail_bytes += part.iov_len;
    }
  g_clear_pointer (&channel->tail, hbw_byte_blocks_unref);
  channel->sent_tail_bytes = 0;
}

static void
handle_end_of_connection (HbwChannel *channel, gboolean clean)
{
  channel->reading = FALSE;
  update_events (channel);
  channel->handler->class->handle_end (channel->handler, clean);
}

static void
handle_readable (HbwChannel *channel)
{
  char bytes[HBW_CHANNEL_READ_SIZE];
  ssize_t count = recv (channel->watcher.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (count > 0)
    channel->handler->class->handle_bytes (channel->handler, bytes, (gsize) count);
  else if (channel->send_failed)
    handle_end_of_connection (channel, FALSE);
  else if (count == 0)
    handle_end_of_connection (channel, TRUE);
  else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR)
    handle_end_of_connection (channel, FALSE);
}

static void
handle_connect_result (HbwChannel *channel)
{
  int code = 0;
  socklen_t size = sizeof code;
  getsockopt (channel->watcher.fd, SOL_SOCKET, SO_ERROR, &code, &size);
  if (code != 0)
    {
      channel->refused = code == ECONNREFUSED;
      handle_end_of_connection (channel, FALSE);
      return;
    }
  channel->connecting = FALSE;
  update_events (channel);
  channel->handler->class->handle_connected (channel->handler);
}

/* The peer may have responded before it closed the connection. */
static void
handle_send_failure (HbwChannel *channel)
{
  channel->send_failed = TRUE;
  update_events (channel);
  if (channel->reading)
    handle_readable (channel);
  else
    handle_end_of_connection (channel, FALSE);
}

static void
handle_writable (HbwChannel *channel)
{
  if (channel->send_failed)
    return;
  if (!flush_send_buffer (channel))
    {
      handle_send_failure (channel);
      return;
    }
  update_events (channel);
  if (hbw_channel_pending_bytes (channel) == 0
      && channel->handler->class->handle_drained != NULL)
    channel->handler->class->handle_drained (channel->handler);
}

static void
handle_ready (HbwWatcher *watcher, guint events)
{
  HbwChannel *channel = caa_container_of (watcher, HbwChannel, watcher);
  if (channel->connecting)
    handle_connect_result (channel);
  else if ((events & EPOLLOUT) != 0)
    handle_writable (channel);
  else if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0 && channel->reading)
    handle_readable (channel);
  else if ((events & (EPOLLHUP | EPOLLERR)) != 0)
    handle_end_of_connection (channel, FALSE);
}

static HbwChannel *
channel_create (HbwLoop *loop, int fd, HbwChannelHandler *handler,
                gboolean connecting)
{
  HbwChannel *channel = g_new0 (HbwChannel, 1);
  channel->loop = loop;
  channel->handler = handler;
  channel->watcher.fd = fd;
  channel->watcher.handle_ready = handle_ready;
  channel->connecting = connecting;
  channel->reading = TRUE;
  set_options (fd);
  if (hbw_loop_watch (loop, &channel->watcher, connecting ? EPOLLOUT : EPOLLIN))
    return channel;
  hbw_channel_destroy (channel);
  return NULL;
}

HbwChannel *
hbw_channel_adopt (HbwLoop *loop, int fd, HbwChannelHandler *handler)
{
  return channel_create (loop, fd, handler, FALSE);
}

HbwChannel *
hbw_channel_connect (HbwLoop *loop, const char *address, const char *source,
                     HbwChannelHandler *handler)
{
  gboolean is_refused;
  return hbw_channel_connect_checked (loop, address, source, handler, &is_refused);
}

/* The port is chosen when the socket is connected. */
static gboolean
bind_source (int fd, const char *source)
{
  const int on = 1;
  struct sockaddr_in address = { .sin_family = AF_INET };
  if (*source == '\0')
    return TRUE;
  setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
  return inet_pton (AF_INET, source, &address.sin_addr) == 1
         && bind (fd, (struct sockaddr *) &address, sizeof address) == 0;
}

HbwChannel *
hbw_channel_connect_checked (HbwLoop *loop, const char *address, const char *source,
                             HbwChannelHandler *handler, gboolean *is_refused)
{
  struct sockaddr_in target;
  *is_refused = FALSE;
  if (!hbw_address_to_socket (address, &target))
    return NULL;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (bind_source (fd, source)
      && (connect (fd, (struct sockaddr *) &target, sizeof target) == 0
          || errno == EINPROGRESS))
    return channel_create (loop, fd, handler, TRUE);
  *is_refused = errno == ECONNREFUSED;
  close (fd);
  return NULL;
}

gboolean
hbw_channel_is_refused (const HbwChannel *channel)
{
  return channel->refused;
}

void
hbw_channel_destroy (HbwChannel *channel)
{
  hbw_loop_unwatch (channel->loop, &channel->watcher);
  close (channel->watcher.fd);
  hbw_byte_buffer_clear (&channel->send_buffer);
  g_clear_pointer (&channel->tail, hbw_byte_blocks_unref);
  g_free (channel);
}

void
hbw_channel_abort (HbwChannel *channel)
{
  const struct linger reset_on_close = { 1, 0 };
  setsockopt (channel->watcher.fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
              sizeof reset_on_close);
  hbw_channel_destroy (channel);
}

/* Errors are handled at the next event. */
void
hbw_channel_write (HbwChannel *channel, const char *bytes, gsize length)
{
  gsize sent = send_directly (channel, bytes, length);
  buffer_tail (channel);
  hbw_byte_buffer_append (&channel->send_buffer, bytes + sent, length - sent);
  update_events (channel);
}

void
hbw_channel_write_with_tail (HbwChannel *channel, const char *bytes, gsize length,
                             HbwByteBlocks *tail)
{
  buffer_tail (channel);
  hbw_byte_buffer_append (&channel->send_buffer, bytes, length);
  if (hbw_byte_blocks_length (tail) > 0)
    channel->tail = hbw_byte_blocks_ref (tail);
  if (!channel->connecting && !flush_send_buffer (channel))
    channel->send_failed = TRUE;
  update_events (channel);
}

void
hbw_channel_shutdown_write (HbwChannel *channel)
{
  channel->shutdown_requested = TRUE;
  if (hbw_channel_pending_bytes (channel) == 0)
    shut_down_if_requested (channel);
}

gboolean
hbw_channel_is_idle (const HbwChannel *channel)
{
  char byte;
  return recv (channel->watcher.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

gboolean
hbw_channel_has_unread_bytes (const HbwChannel *channel)
{
  int count = 0; /* recv() would clear a pending socket error */
  return ioctl (channel->watcher.fd, FIONREAD, &count) == 0 && count > 0;
}

gsize
hbw_channel_pending_bytes (const HbwChannel *channel)
{
  return channel->send_buffer.length - channel->sent_bytes
         + count_unsent_tail (channel);
}

gsize
hbw_channel_cost (const HbwChannel *channel)
{
  return sizeof *channel + channel->send_buffer.capacity;
}

void
hbw_channel_get_peer_host (const HbwChannel *channel, char *host, gsize size)
{
  struct sockaddr_in address;
  socklen_t length = sizeof address;
  *host = '\0';
  if (getpeername (channel->watcher.fd, (struct sockaddr *) &address, &length) == 0)
    inet_ntop (AF_INET, &address.sin_addr, host, (socklen_t) size);
}

void
hbw_channel_set_user_timeout (HbwChannel *channel, guint timeout_ms)
{
  setsockopt (channel->watcher.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
}

void
hbw_channel_set_reading (HbwChannel *channel, gboolean reading)
{
  channel->reading = reading;
  update_events (channel);
}

int
hbw_listen (const char *address, HbwError *error)
{
  const int on = 1;
  struct sockaddr_in target;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd >= 0 && hbw_address_to_socket (address, &target)
      && bind (fd, (struct sockaddr *) &target, sizeof target) == 0
      && listen (fd, LISTEN_BACKLOG) == 0)
    return fd;
  hbw_error_set (
      error, HBW_ERROR_NETWORK,
      "cannot listen on %s: %s; use a free IP address and port of this host",
      address, strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

guint
hbw_listen_port (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  if (getsockname (fd, (struct sockaddr *) &address, &size) != 0)
    return 0;
  return ntohs (address.sin_port);
}
