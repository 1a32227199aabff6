#include "hornbeamwall/client.h"
#include "hornbeamwall/commands.h"

#include <stdio.h>
#include <string.h>

#define CATALOGUE_PATH "/admin/v1/catalogue"

static int
get_entry (const HbwClientOptions *options, int argc, char **argv)
{
  char *path = argc > 0 ? g_strconcat (CATALOGUE_PATH "/", argv[0], NULL)
                        : g_strdup (CATALOGUE_PATH);
  HbwClientResponse response;
  HbwError error;
  int status = HBW_EXIT_FAILED;
  if (!hbw_client_call (options, "GET", path, NULL, NULL, &response, &error))
    fprintf (stderr, "hornbeamwall: %s\n", error.message);
  else if (response.http_status != 200)
    fprintf (stderr, "%s\n", response.body);
  else
    {
      fprintf (stderr, "revision %s\n",
               response.etag != NULL ? response.etag : "none");
      printf ("%s\n", response.body);
      status = HBW_EXIT_OK;
    }
  hbw_client_response_clear (&response);
  g_free (path);
  return status;
}

static int
put_entry (const HbwClientOptions *options, const char *revision, int argc,
           char **argv)
{
  char *body;
  GError *file_error = NULL;
  const char *file = argc > 1 ? argv[1] : argv[0];
  if (!g_file_get_contents (file, &body, NULL, &file_error))
    {
      fprintf (stderr, "hornbeamwall: %s\n", file_error->message);
      g_error_free (file_error);
      return HBW_EXIT_FAILED;
    }
  char *path = argc > 1 ? g_strconcat (CATALOGUE_PATH "/", argv[0], NULL)
                        : g_strdup (CATALOGUE_PATH);
  char *etag = revision != NULL ? g_strdup_printf ("\"%s\"", revision) : NULL;
  int status = hbw_client_run (options, "PUT", path, body, etag);
  g_free (etag);
  g_free (path);
  g_free (body);
  return status;
}

static int
delete_entry (const HbwClientOptions *options, const char *revision, char **argv)
{
  char *path = g_strconcat (CATALOGUE_PATH "/", argv[0], NULL);
  char *etag = revision != NULL ? g_strdup_printf ("\"%s\"", revision) : NULL;
  int status = hbw_client_run (options, "DELETE", path, NULL, etag);
  g_free (etag);
  g_free (path);
  return status;
}

int
hbw_command_catalogue (int argc, char **argv)
{
  HbwClientOptions options = { NULL, NULL };
  char *revision = NULL;
  int status = HBW_EXIT_USAGE;
  const GOptionEntry entries[]
      = { HBW_CLIENT_ENTRIES (options),
          { "revision", 'r', 0, G_OPTION_ARG_STRING, &revision,
            "Edit only if this is the revision", "N" },
          { NULL } };
  if (!hbw_command_parse (
          &argc, &argv, entries, "get|put|delete|rollout [SECTION/NAME] [FILE]",
          "get prints the catalogue or an entry; put replaces it with FILE; delete "
          "removes an entry; rollout shows which data centres use the newest "
          "revision.  An entry is classes/NAME, pools/NAME or organisations/NAME."))
    return HBW_EXIT_USAGE;
  if (argc >= 2 && strcmp (argv[1], "get") == 0)
    status = get_entry (&options, argc - 2, argv + 2);
  else if (argc >= 3 && strcmp (argv[1], "put") == 0)
    status = put_entry (&options, revision, argc - 2, argv + 2);
  else if (argc == 3 && strcmp (argv[1], "delete") == 0)
    status = delete_entry (&options, revision, argv + 2);
  else if (argc == 2 && strcmp (argv[1], "rollout") == 0)
    status = hbw_client_run (&options, "GET", "/admin/v1/rollout", NULL, NULL);
  else
    fprintf (stderr, "hornbeamwall: expected get, put FILE, delete ENTRY or "
                     "rollout; see --help\n");
  hbw_client_options_clear (&options);
  g_free (revision);
  return status;
}
