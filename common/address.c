#include "hornbeamwall/common/address.h"

#include <arpa/inet.h>
#include <string.h>

gboolean
hbw_address_parse (const char *text, HbwHostPort *address)
{
  struct in_addr binary;
  guint64 port;
  const char *colon = text != NULL ? strrchr (text, ':') : NULL;
  if (colon == NULL || (gsize) (colon - text) >= sizeof address->host)
    return FALSE;
  g_strlcpy (address->host, text, (gsize) (colon - text) + 1);
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &port, NULL))
    return FALSE;
  address->port = (guint) port;
  return inet_pton (AF_INET, address->host, &binary) == 1;
}

gboolean
hbw_address_to_socket (const char *text, struct sockaddr_in *address)
{
  HbwHostPort parts;
  if (!hbw_address_parse (text, &parts))
    return FALSE;
  memset (address, 0, sizeof *address);
  address->sin_family = AF_INET;
  address->sin_port = htons ((guint16) parts.port);
  return inet_pton (AF_INET, parts.host, &address->sin_addr) == 1;
}
