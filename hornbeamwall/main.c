#include "hornbeamwall/commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const HbwCommand commands[] = {
  { "serve", "Run one instance of the router", hbw_command_serve },
  { "check-config", "Check a settings file", hbw_command_check_config },
  { "status", "Show the state of an instance", hbw_command_status },
  { "catalogue", "Read or edit the catalogue", hbw_command_catalogue },
  { "stop", "Declare or withdraw planned stops", hbw_command_stop },
  { "hash-key", "Print the hash of an API key or token", hbw_command_hash_key },
  { "events", "Print the list of log events", hbw_command_events },
};

static void
print_usage (FILE *out)
{
  fprintf (out, "Usage: hornbeamwall COMMAND [OPTION...]\n\nCommands:\n");
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-14s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nhornbeamwall COMMAND --help describes a command; "
                "hornbeamwall --version prints the version.\n");
}

gboolean
hbw_command_parse (int *argc, char ***argv, const GOptionEntry *entries,
                   const char *parameters, const char *summary)
{
  GError *parse_error = NULL;
  gboolean show_version = FALSE;
  const GOptionEntry common[] = { { "version", 0, 0, G_OPTION_ARG_NONE,
                                    &show_version, "Print the version", NULL },
                                  { NULL } };
  GOptionContext *context = g_option_context_new (parameters);
  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  gboolean valid = g_option_context_parse (context, argc, argv, &parse_error);
  g_option_context_free (context);
  if (!valid)
    {
      fprintf (stderr, "hornbeamwall: %s; see --help\n", parse_error->message);
      g_error_free (parse_error);
    }
  if (valid && show_version)
    {
      printf ("hornbeamwall %s\n", HBW_VERSION);
      exit (HBW_EXIT_OK);
    }
  return valid;
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return HBW_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "-h") == 0)
    {
      print_usage (stdout);
      return HBW_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      printf ("hornbeamwall %s\n", HBW_VERSION);
      return HBW_EXIT_OK;
    }
  for (gsize i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].handler (argc - 1, argv + 1);
  fprintf (stderr, "hornbeamwall: unknown command %s; see hornbeamwall --help\n",
           argv[1]);
  return HBW_EXIT_USAGE;
}
