#include "hornbeamwall/commands.h"
#include "hornbeamwall/runtime/settings.h"

#include <stdio.h>

int
hbw_command_check_config (int argc, char **argv)
{
  const GOptionEntry entries[] = { { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "FILE",
                          "Checks a settings file and prints every error in it."))
    return HBW_EXIT_USAGE;
  if (argc != 2)
    {
      fprintf (stderr, "hornbeamwall: expected one settings file; see --help\n");
      return HBW_EXIT_USAGE;
    }
  HbwError error;
  HbwSettings *settings = hbw_settings_load (argv[1], &error);
  if (settings == NULL)
    {
      fprintf (stderr, "%s\n", error.message);
      return HBW_EXIT_FAILED;
    }
  printf ("%s: instance %s of data centre %s\n", argv[1], settings->name,
          settings->data_centre);
  hbw_settings_destroy (settings);
  return HBW_EXIT_OK;
}
