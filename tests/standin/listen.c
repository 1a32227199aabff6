#include "listen.h"

#include "hornbeamwall/common/address.h"

#include <arpa/inet.h>

struct MHD_Daemon *
standin_listen (const char *text, MHD_AccessHandlerCallback handler,
                MHD_RequestCompletedCallback completed, void *data)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  HbwHostPort parts;
  if (!hbw_address_parse (text, &parts))
    return NULL;
  address.sin_port = htons ((guint16) parts.port);
  inet_pton (AF_INET, parts.host, &address.sin_addr);
  return MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION
                               | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                           0, NULL, NULL, handler, data, MHD_OPTION_SOCK_ADDR,
                           &address, MHD_OPTION_NOTIFY_COMPLETED, completed, NULL,
                           MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

unsigned
standin_port (struct MHD_Daemon *daemon)
{
  return MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}
