#include "hornbeamwall/client.h"
#include "hornbeamwall/commands.h"

#include <stdio.h>
#include <string.h>

#define STOPS_PATH "/admin/v1/stops"

static int
change_stop (const HbwClientOptions *options, const char *method, const char *name)
{
  char *path = g_strconcat (STOPS_PATH "/", name, NULL);
  int status = hbw_client_run (options, method, path,
                               strcmp (method, "PUT") == 0 ? "{}" : NULL, NULL);
  g_free (path);
  return status;
}

int
hbw_command_stop (int argc, char **argv)
{
  HbwClientOptions options = { NULL, NULL };
  int status = HBW_EXIT_USAGE;
  const GOptionEntry entries[] = { HBW_CLIENT_ENTRIES (options), { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "list|add|remove [NAME]",
                          "Lists, declares or withdraws planned stops of backend "
                          "servers and instances."))
    return HBW_EXIT_USAGE;
  if (argc == 2 && strcmp (argv[1], "list") == 0)
    status = hbw_client_run (&options, "GET", STOPS_PATH, NULL, NULL);
  else if (argc == 3 && strcmp (argv[1], "add") == 0)
    status = change_stop (&options, "PUT", argv[2]);
  else if (argc == 3 && strcmp (argv[1], "remove") == 0)
    status = change_stop (&options, "DELETE", argv[2]);
  else
    fprintf (stderr,
             "hornbeamwall: expected list, add NAME or remove NAME; see --help\n");
  hbw_client_options_clear (&options);
  return status;
}
