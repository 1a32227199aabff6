#include "proxy.h"

#include "listen.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <sys/socket.h>
#include <unistd.h>

/* Concurrent connections; further ones are closed. */
#define CONNECTIONS_MAX 256

#define DELAY_US 20000

/* Values of the last byte of an address. */
#define SOURCES_MAX 256

typedef struct
{
  int ends[2];      /* sockets to the client and to the server */
  gboolean is_torn; /* some of its data was dropped */
  guint source;     /* last byte of the client's address */
} Connection;

struct Proxy
{
  int fd;
  guint port;
  atomic_uint target_port;
  atomic_int mode;
  atomic_int cuts[SOURCES_MAX]; /* ProxyMode, by the last byte of the address */
  atomic_bool stopping;
  gboolean (*is_up) (void *data); /* of the server; NULL: always */
  void *is_up_data;
  pthread_t thread;
  Connection connections[CONNECTIONS_MAX];
  guint connection_count;
};

static void
close_connection (Proxy *proxy, guint index, gboolean reset)
{
  const struct linger linger = { 1, 0 };
  for (guint i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt (proxy->connections[index].ends[i], SOL_SOCKET, SO_LINGER,
                    &linger, sizeof linger);
      close (proxy->connections[index].ends[i]);
    }
  proxy->connections[index] = proxy->connections[--proxy->connection_count];
}

static void
accept_connection (Proxy *proxy)
{
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  int client = accept (proxy->fd, (struct sockaddr *) &address, &size);
  if (client < 0)
    return;
  guint source = ntohl (address.sin_addr.s_addr) % SOURCES_MAX;
  int cut = atomic_load (&proxy->cuts[source]);
  if (cut != PROXY_PASS && cut != PROXY_ABSORB)
    {
      const struct linger linger = { 1, 0 };
      setsockopt (client, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
      close (client);
      return;
    }
  struct sockaddr_in target = standin_loopback (atomic_load (&proxy->target_port));
  int server = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (proxy->connection_count >= CONNECTIONS_MAX
      || connect (server, (struct sockaddr *) &target, sizeof target) != 0)
    {
      close (client);
      close (server);
      return;
    }
  proxy->connections[proxy->connection_count++]
      = (Connection){ { client, server }, FALSE, source };
}

typedef enum
{
  PROXY_CONNECTION_OPEN,
  PROXY_CONNECTION_CLOSED,
  PROXY_CONNECTION_RESET,
} ConnectionState;

/* Forwards available data from one end to the other.  A connection whose data was
   dropped ends with a reset.  Returns how it leaves the connection. */
static ConnectionState
forward (Proxy *proxy, Connection *connection, guint from)
{
  char bytes[8192];
  int cut = atomic_load (&proxy->cuts[connection->source]);
  int mode = cut != PROXY_PASS ? cut : atomic_load (&proxy->mode);
  ssize_t count = recv (connection->ends[from], bytes, sizeof bytes, MSG_DONTWAIT);
  if (count <= 0)
    return count == 0 && !connection->is_torn ? PROXY_CONNECTION_CLOSED
                                              : PROXY_CONNECTION_RESET;
  gboolean dropped = mode == PROXY_DROP_ALL || mode == PROXY_ABSORB
                     || (mode == PROXY_DROP_FROM_CLIENT && from == 0)
                     || (mode == PROXY_DROP_FROM_SERVER && from == 1);
  if (mode == PROXY_DELAY)
    g_usleep (DELAY_US);
  connection->is_torn |= dropped;
  if (dropped)
    return PROXY_CONNECTION_OPEN;
  if (connection->is_torn)
    return PROXY_CONNECTION_RESET;
  ssize_t sent
      = send (connection->ends[1 - from], bytes, (size_t) count, MSG_NOSIGNAL);
  return sent == count ? PROXY_CONNECTION_OPEN : PROXY_CONNECTION_RESET;
}

static void
serve_connections (Proxy *proxy, const struct pollfd *fds, guint count)
{
  for (guint i = count; i > 0; i--)
    {
      guint source = proxy->connections[i - 1].source;
      gboolean is_reset = atomic_load (&proxy->mode) == PROXY_RESET
                          || atomic_load (&proxy->cuts[source]) == PROXY_RESET;
      ConnectionState state
          = is_reset ? PROXY_CONNECTION_RESET : PROXY_CONNECTION_OPEN;
      for (guint end = 0; end < 2 && state == PROXY_CONNECTION_OPEN; end++)
        if (fds[2 * (i - 1) + end].revents != 0)
          state = forward (proxy, &proxy->connections[i - 1], end);
      if (state != PROXY_CONNECTION_OPEN)
        close_connection (proxy, i - 1, state == PROXY_CONNECTION_RESET);
    }
}

static void
open_listener (Proxy *proxy, guint port)
{
  const struct sockaddr_in address = standin_loopback (port);
  proxy->fd = standin_listen_socket (&address);
}

/* Refuses connections while the server does. */
static void
follow_server (Proxy *proxy)
{
  gboolean is_up = proxy->is_up == NULL || proxy->is_up (proxy->is_up_data);
  if (is_up && proxy->fd < 0)
    open_listener (proxy, proxy->port);
  else if (!is_up && proxy->fd >= 0)
    {
      close (proxy->fd);
      proxy->fd = -1;
    }
}

static void *
run_proxy (void *data)
{
  Proxy *proxy = data;
  struct pollfd fds[2 * CONNECTIONS_MAX + 1];
  while (!atomic_load (&proxy->stopping))
    {
      guint count = proxy->connection_count;
      follow_server (proxy);
      for (guint i = 0; i < 2 * count; i++)
        fds[i] = (struct pollfd){ proxy->connections[i / 2].ends[i % 2], POLLIN, 0 };
      fds[2 * count] = (struct pollfd){ proxy->fd, POLLIN, 0 };
      if (poll (fds, 2 * count + 1, 20) < 0)
        continue;
      serve_connections (proxy, fds, count);
      if (fds[2 * count].revents != 0)
        accept_connection (proxy);
    }
  while (proxy->connection_count > 0)
    close_connection (proxy, 0, FALSE);
  return NULL;
}

Proxy *
proxy_create (guint port)
{
  return proxy_create_following (0, port, NULL, NULL);
}

Proxy *
proxy_create_following (guint own_port, guint port, gboolean (*is_up) (void *data),
                        void *is_up_data)
{
  Proxy *proxy = g_new0 (Proxy, 1);
  struct sockaddr_in address;
  socklen_t size = sizeof address;
  atomic_store (&proxy->target_port, port);
  proxy->is_up = is_up;
  proxy->is_up_data = is_up_data;
  open_listener (proxy, own_port);
  getsockname (proxy->fd, (struct sockaddr *) &address, &size);
  proxy->port = ntohs (address.sin_port);
  pthread_create (&proxy->thread, NULL, run_proxy, proxy);
  return proxy;
}

void
proxy_destroy (Proxy *proxy)
{
  atomic_store (&proxy->stopping, TRUE);
  pthread_join (proxy->thread, NULL);
  if (proxy->fd >= 0)
    close (proxy->fd);
  g_free (proxy);
}

guint
proxy_port (const Proxy *proxy)
{
  return proxy->port;
}

void
proxy_set_mode (Proxy *proxy, ProxyMode mode)
{
  atomic_store (&proxy->mode, mode);
}

void
proxy_set_cut (Proxy *proxy, guint source, ProxyMode mode)
{
  atomic_store (&proxy->cuts[source % SOURCES_MAX], mode);
}

void
proxy_set_target (Proxy *proxy, guint port)
{
  atomic_store (&proxy->target_port, port);
}
