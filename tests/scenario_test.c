/*
 * scenario_test - runs scenario files
 *
 * Without arguments, runs every file of SCENARIO_DIR with the seeds that it names,
 * or with --part N/COUNT those at position N, N + COUNT, ... of the list.
 * --table prints the results of each class; --policy replaces the placement policy
 * of the files by a baseline.
 */
#include "scenario/script.h"

#include <stdio.h>
#include <string.h>

static gboolean show_table;
static gboolean show_trace;
static int only_seed;
static int seed_count_max;
static char *policy;
static char *part;
static char *known_failures; /* contents of KNOWN-RED.txt, or NULL */
static int passed;
static int failed;

static void
print_table (const World *world, guint seed)
{
  const GPtrArray *classes = world_classes (world);
  if (world_rollout_quantile_s (world, 0.99) > 0)
    printf ("seed %u: catalogue in force after %.2f s (median), %.2f s (p99)\n",
            seed, world_rollout_quantile_s (world, 0.5),
            world_rollout_quantile_s (world, 0.99));
  for (guint i = 0; i < classes->len; i++)
    {
      const WorldClass *class = classes->pdata[i];
      guint64 refused = 0;
      for (guint k = 0; k < HBW_REASON_COUNT; k++)
        refused += class->refused[k];
      guint64 ended = class->arrived - class->in_progress;
      double tokens_spent = (double) (class->good_tokens + class->wasted_tokens);
      printf ("| %u | %s | %u | %" G_GUINT64_FORMAT " | %.3f | %" G_GUINT64_FORMAT
              " | %.4f | %" G_GUINT64_FORMAT " | %" G_GUINT64_FORMAT " | %.1f |\n",
              seed, class->name, class->tier, class->arrived,
              ended > 0 ? (double) class->in_target / (double) ended : 1,
              class->good_tokens,
              tokens_spent > 0 ? (double) class->wasted_tokens / tokens_spent : 0,
              refused, class->in_progress,
              (double) class->longest_gap_us / HBW_US_PER_S);
    }
}

static gboolean
run_seed (const Script *script, const char *name, guint seed)
{
  const ScriptOptions run = { .seed = seed, .policy = name, .trace = show_trace };
  World *world = script_run (script, &run);
  if (world == NULL)
    return FALSE;
  char *unmet = script_check_expectations (script, world, &run);
  if (show_table)
    print_table (world, seed);
  if (unmet != NULL)
    printf ("seed %u, policy %s: %s\n", seed, name, unmet);
  gboolean passes = unmet == NULL;
  g_free (unmet);
  world_destroy (world);
  return passes;
}

/* Returns whether KNOWN-RED.txt has a line "scenario NAME: ..." for the file, or
   "scenario NAME seed SEED: ..." if SEED is not 0: a fault that is known and not
   fixed yet. */
static gboolean
is_known_failure (const char *path, guint seed)
{
  char *file_name = g_path_get_basename (path);
  file_name[strlen (file_name) - strlen (".scn")] = '\0';
  char *line = seed == 0
                   ? g_strdup_printf ("\nscenario %s:", file_name)
                   : g_strdup_printf ("\nscenario %s seed %u:", file_name, seed);
  gboolean is_listed
      = known_failures != NULL && strstr (known_failures, line) != NULL;
  g_free (line);
  g_free (file_name);
  return is_listed;
}

static gboolean
run_policy (const Script *script, const char *path, const char *name)
{
  gboolean passes = TRUE;
  guint first;
  guint last;
  script_seed_range (script, &first, &last);
  if (only_seed > 0)
    first = last = (guint) only_seed;
  if (seed_count_max > 0)
    last = MIN (last, first + (guint) seed_count_max - 1);
  if (show_table)
    printf ("\n%s, policy %s\n\n| seed | class | tier | arrived | in target | good "
            "tokens | wasted part | refused | open | longest gap s |\n"
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
            path, name);
  for (guint seed = first; seed <= last; seed++)
    {
      if (run_seed (script, name, seed))
        continue;
      if (is_known_failure (path, seed))
        printf ("known red: %s seed %u\n", path, seed);
      else
        passes = FALSE;
    }
  return passes;
}

static void
run_file (const char *path)
{
  Script *script = script_load (path);
  gboolean passes = script != NULL;
  if (passes)
    {
      char **names
          = policy != NULL ? g_strsplit (policy, ",", -1) : script_policies (script);
      for (guint i = 0; names[i] != NULL; i++)
        passes &= run_policy (script, path, names[i]);
      g_strfreev (names);
      script_destroy (script);
    }
  if (passes)
    passed++;
  else if (is_known_failure (path, 0))
    printf ("known red: %s\n", path);
  else
    {
      failed++;
      printf ("FAILED: %s\n", path);
    }
}

static gboolean
is_in_part (guint position)
{
  char *end;
  if (part == NULL)
    return TRUE;
  guint64 number = g_ascii_strtoull (part, &end, 10);
  guint64 count = *end == '/' ? g_ascii_strtoull (end + 1, NULL, 10) : 1;
  return position % MAX (count, 1) == number % MAX (count, 1);
}

static void
run_directory (const char *directory)
{
  GList *names = NULL;
  GDir *dir = g_dir_open (directory, 0, NULL);
  const char *name;
  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    if (g_str_has_suffix (name, ".scn"))
      names = g_list_insert_sorted (names, g_build_filename (directory, name, NULL),
                                    (GCompareFunc) strcmp);
  guint position = 0;
  for (GList *node = names; node != NULL; node = node->next)
    if (is_in_part (position++))
      run_file (node->data);
  g_list_free_full (names, g_free);
  if (dir != NULL)
    g_dir_close (dir);
}

int
main (int argc, char **argv)
{
  const GOptionEntry entries[] = {
    { "table", 0, 0, G_OPTION_ARG_NONE, &show_table, "Print results by class",
      NULL },
    { "trace", 0, 0, G_OPTION_ARG_NONE, &show_trace, "Print each event", NULL },
    { "seed", 0, 0, G_OPTION_ARG_INT, &only_seed, "Run one seed", "N" },
    { "most", 0, 0, G_OPTION_ARG_INT, &seed_count_max, "Run at most N seeds", "N" },
    { "policy", 0, 0, G_OPTION_ARG_STRING, &policy, "Baseline policy", "NAME" },
    { "part", 0, 0, G_OPTION_ARG_STRING, &part, "Run a part of all files",
      "N/COUNT" },
    { NULL }
  };
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
      g_file_get_contents (KNOWN_RED, &known_failures, NULL, NULL);
      run_directory (SCENARIO_DIR);
      g_free (known_failures);
    }
  printf ("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
