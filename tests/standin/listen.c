#include "listen.h"

#include "hornbeamwall/common/address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 128
#define LISTEN_TRIES 500
#define LISTEN_INTERVAL_US 10000

struct MHD_Daemon *
standin_listen (const char *text, MHD_AccessHandlerCallback handler,
                MHD_RequestCompletedCallback completed, void *data)
{
  struct sockaddr_in address;
  if (!hbw_address_to_socket (text, &address))
    return NULL;
  return MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION
                               | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                           0, NULL, NULL, handler, data, MHD_OPTION_SOCK_ADDR,
                           &address, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
                           MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

struct sockaddr_in
standin_loopback (unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons ((guint16) port);
  return address;
}

unsigned
standin_port (struct MHD_Daemon *daemon)
{
  return MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

int
standin_listen_socket (const struct sockaddr_in *address)
{
  const int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  for (unsigned i = 0; i < LISTEN_TRIES; i++)
    {
      if (bind (fd, (const struct sockaddr *) address, sizeof *address) == 0
          && listen (fd, LISTEN_BACKLOG) == 0)
        return fd;
      g_usleep (LISTEN_INTERVAL_US);
    }
  g_error ("cannot listen on port %u", ntohs (address->sin_port));
}

unsigned
standin_free_port (void)
{
  struct sockaddr_in address = standin_loopback (0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *) &address, sizeof address) != 0)
    g_error ("no free port");
  getsockname (fd, (struct sockaddr *) &address, &size);
  close (fd);
  return ntohs (address.sin_port);
}
