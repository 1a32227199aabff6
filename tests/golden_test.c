/*
 * golden_test - whole sessions of an instance whose clock stands still
 *
 * Each *.session file is sent line by line; the answers, the log events of each step
 * and the counters at the end are compared with the *.golden file beside it.
 * --update writes the golden files anew, to be read as a diff.
 */
#include "hornbeamwall/common/log.h"
#include "rig.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *lines; /* log lines since the last look */

static void
catch_line (const HbwLogEntry *entry, const char *text, void *data G_GNUC_UNUSED)
{
  pthread_mutex_lock (&lock);
  g_string_append_printf (lines, "log %d %s %s\n", (int) entry->number, entry->name,
                          text);
  pthread_mutex_unlock (&lock);
}

static void
move_lines (GString *target)
{
  pthread_mutex_lock (&lock);
  if (target != NULL)
    g_string_append (target, lines->str);
  g_string_truncate (lines, 0);
  pthread_mutex_unlock (&lock);
}

static void
wait_until_idle (Rig *rig)
{
  HbwControl *control = hbw_instance_control (rig->instance);
  for (guint i = 0; i < 1000 && hbw_control_request_count (control) > 0; i++)
    g_usleep (1000);
}

static void
run_step (Rig *rig, const char *line, GString *out)
{
  char **words = g_strsplit (line, " ", 4);
  gboolean is_get = strcmp (words[0], "GET") == 0;
  g_string_append_printf (out, "> %s\n", line);
  RigAnswer answer = is_get ? rig_get (rig, words[1])
                            : rig_call (rig, words[1], words[2], words[3], NULL);
  wait_until_idle (rig);
  g_string_append_printf (out, "%ld\n%s\n", answer.status, answer.body);
  move_lines (out);
  g_string_append_c (out, '\n');
  rig_answer_clear (&answer);
  g_strfreev (words);
}

/* Counters that are not zero; times are left out, for the clock stands still. */
static void
add_counters (Rig *rig, GString *out)
{
  RigAnswer answer = rig_admin (rig, "GET", "/metrics", NULL, NULL);
  char **rows = g_strsplit (answer.body, "\n", -1);
  for (guint i = 0; rows[i] != NULL; i++)
    if (strstr (rows[i], "_total{class=") != NULL
        && !g_str_has_suffix (rows[i], " 0"))
      g_string_append_printf (out, "%s\n", rows[i]);
  g_strfreev (rows);
  rig_answer_clear (&answer);
}

static char *
run_session (const char *text)
{
  GString *out = g_string_new (NULL);
  Rig *rig = rig_create_paused (1, 4);
  move_lines (NULL);
  char **steps = g_strsplit (text, "\n", -1);
  for (guint i = 0; steps[i] != NULL; i++)
    if (*steps[i] != '\0' && *steps[i] != '#')
      run_step (rig, steps[i], out);
  g_strfreev (steps);
  add_counters (rig, out);
  rig_destroy (rig);
  return g_string_free (out, FALSE);
}

static gboolean
check_session (const char *path, gboolean update)
{
  char *text = NULL;
  char *expected = NULL;
  char *stem = g_strndup (path, strlen (path) - strlen (".session"));
  char *golden = g_strconcat (stem, ".golden", NULL);
  gboolean same = g_file_get_contents (path, &text, NULL, NULL);
  char *found = run_session (same ? text : "");
  if (update)
    same = g_file_set_contents (golden, found, -1, NULL);
  else
    same = g_file_get_contents (golden, &expected, NULL, NULL)
           && strcmp (expected, found) == 0;
  if (!same)
    printf ("%s differs; found:\n%s\n", golden, found);
  g_free (found);
  g_free (expected);
  g_free (golden);
  g_free (stem);
  g_free (text);
  return same;
}

int
main (int argc, char **argv)
{
  gboolean update = argc > 1 && strcmp (argv[1], "--update") == 0;
  static const char *const names[] = { "answers", "failures" };
  guint passed = 0;
  lines = g_string_new (NULL);
  hbw_log_set_hook (catch_line, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_strdup_printf ("%s/%s.session", GOLDEN_DIR, names[i]);
      if (check_session (path, update))
        passed++;
      g_free (path);
    }
  hbw_log_set_hook (NULL, NULL);
  g_string_free (lines, TRUE);
  printf ("%u passed, %zu failed\n", passed, G_N_ELEMENTS (names) - passed);
  return passed == G_N_ELEMENTS (names) ? 0 : 1;
}
