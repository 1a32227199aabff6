#include "hornbeamwall/client.h"
#include "hornbeamwall/commands.h"

int
hbw_command_status (int argc, char **argv)
{
  HbwClientOptions options = { NULL, NULL };
  const GOptionEntry entries[] = { HBW_CLIENT_ENTRIES (options), { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "",
                          "Shows documents, members, shards and servers as one "
                          "instance sees them."))
    return HBW_EXIT_USAGE;
  int status = hbw_client_run (&options, "GET", "/admin/v1/status", NULL, NULL);
  hbw_client_options_clear (&options);
  return status;
}
