/*
 * scenario_test - runs scenario files
 *
 * Without arguments it runs every file of the folder it was built with, each with
 * its seeds.  --table prints what came out by class; --policy takes a baseline
 * instead.
 */
#include "scenario/script.h"

#include <stdio.h>
#include <string.h>

static gboolean show_table;
static gboolean show_trace;
static int only_seed;
static int most_seeds;
static char *policy;
static char *known_red; /* KNOWN-RED.txt */
static int passed;
static int failed;

static void
print_table (const World *world, guint seed)
{
  const GPtrArray *classes = world_classes (world);
  if (world_rollout (world, 0.99) > 0)
    printf (
        "seed %u: catalogue in force after %.2f s (median), %.2f s (99 of 100)\n",
        seed, world_rollout (world, 0.5), world_rollout (world, 0.99));
  for (guint i = 0; i < classes->len; i++)
    {
      const WorldClass *class = classes->pdata[i];
      guint64 refused = 0;
      for (guint k = 0; k < HBW_REASON_COUNT; k++)
        refused += class->refused[k];
      guint64 ended = class->arrived - class->open;
      double spent = (double) (class->good_tokens + class->wasted_tokens);
      printf ("| %u | %s | %u | %" G_GUINT64_FORMAT " | %.3f | %" G_GUINT64_FORMAT
              " | %.4f | %" G_GUINT64_FORMAT " | %" G_GUINT64_FORMAT " | %.1f |\n",
              seed, class->name, class->tier, class->arrived,
              ended > 0 ? (double) class->in_target / (double) ended : 1,
              class->good_tokens,
              spent > 0 ? (double) class->wasted_tokens / spent : 0, refused,
              class->open, (double) class->longest_gap_us / HBW_US_PER_S);
    }
}

static gboolean
run_seed (const Script *script, guint seed)
{
  const ScriptRun run = { .seed = seed, .policy = policy, .trace = show_trace };
  World *world = script_run (script, &run);
  if (world == NULL)
    return FALSE;
  char *miss = script_judge (script, world, &run);
  if (show_table)
    print_table (world, seed);
  if (miss != NULL)
    printf ("seed %u: %s\n", seed, miss);
  gboolean met = miss == NULL;
  g_free (miss);
  world_destroy (world);
  return met;
}

/* A line "scenario NAME: ..." of KNOWN-RED.txt names a fault that is not mended yet.
 */
static gboolean
is_known_red (const char *path)
{
  char *base = g_path_get_basename (path);
  base[strlen (base) - strlen (".scn")] = '\0';
  char *line = g_strdup_printf ("\nscenario %s:", base);
  gboolean known = known_red != NULL && strstr (known_red, line) != NULL;
  g_free (line);
  g_free (base);
  return known;
}

static void
run_file (const char *path)
{
  Script *script = script_load (path);
  gboolean met = script != NULL;
  if (met)
    {
      guint first;
      guint last;
      script_seeds (script, &first, &last);
      if (only_seed > 0)
        first = last = (guint) only_seed;
      if (most_seeds > 0)
        last = MIN (last, first + (guint) most_seeds - 1);
      if (show_table)
        printf (
            "\n%s, policy %s\n\n| seed | class | tier | arrived | in target | good "
            "tokens | wasted part | refused | open | longest gap s |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
            path, policy != NULL ? policy : "as in the file");
      for (guint seed = first; seed <= last; seed++)
        met &= run_seed (script, seed);
      script_destroy (script);
    }
  if (met)
    passed++;
  else if (is_known_red (path))
    printf ("known red: %s\n", path);
  else
    {
      failed++;
      printf ("FAILED: %s\n", path);
    }
}

static void
run_folder (const char *folder)
{
  GList *names = NULL;
  GDir *dir = g_dir_open (folder, 0, NULL);
  const char *name;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".scn"))
      names = g_list_insert_sorted (names, g_build_filename (folder, name, NULL),
                                    (GCompareFunc) strcmp);
  for (GList *at = names; at != NULL; at = at->next)
    run_file (at->data);
  g_list_free_full (names, g_free);
  if (dir != NULL)
    g_dir_close (dir);
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[]
      = { { "table", 0, 0, G_OPTION_ARG_NONE, &show_table, "Print figures", NULL },
          { "trace", 0, 0, G_OPTION_ARG_NONE, &show_trace, "Print steps", NULL },
          { "seed", 0, 0, G_OPTION_ARG_INT, &only_seed, "One seed only", "N" },
          { "most", 0, 0, G_OPTION_ARG_INT, &most_seeds, "At most so many seeds",
            "N" },
          { "policy", 0, 0, G_OPTION_ARG_STRING, &policy, "A baseline", "NAME" },
          { NULL } };
  GOptionContext *context = g_option_context_new ("[FILE...]");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, NULL))
    return 2;
  g_option_context_free (context);
  if (argc > 1)
    for (int i = 1; i < argc; i++)
      run_file (argv[i]);
  else
    {
      g_file_get_contents (KNOWN_RED, &known_red, NULL, NULL);
      run_folder (SCENARIO_DIR);
      g_free (known_red);
    }
  printf ("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
