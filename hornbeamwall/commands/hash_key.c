#include "hornbeamwall/commands.h"
#include "hornbeamwall/core/catalogue.h"

#include <stdio.h>

/* Buffer size for a key, in bytes with the terminating NUL. */
#define KEY_MAX 1024

int
hbw_command_hash_key (int argc, char **argv)
{
  const GOptionEntry entries[] = { { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "",
                          "Reads a key from standard input and prints the hash by "
                          "which the catalogue and the settings refer to it."))
    return HBW_EXIT_USAGE;
  char key[KEY_MAX];
  if (fgets (key, sizeof key, stdin) == NULL || *g_strchomp (key) == '\0')
    {
      fprintf (stderr, "hornbeamwall: no key on standard input\n");
      return HBW_EXIT_FAILED;
    }
  char *hash = hbw_catalogue_hash_key (key);
  printf ("%s\n", hash);
  g_free (hash);
  return HBW_EXIT_OK;
}
