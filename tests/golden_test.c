/*
 * golden_test - compares sessions with recorded output
 *
 * Sends each request of a .session file to an instance with a manual clock. The
 * responses, the log events of each request and the final counters must match the
 * .golden file of the same name. --update rewrites the .golden files, so that
 * changes can be reviewed as a diff.
 */
#include "hornbeamwall/common/log.h"
#include "native_fixture.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GString *log_lines; /* lines since the last move_log_lines() */

static void
record_log_line (const HbwLogEventInfo *entry, const char *text,
                 void *data G_GNUC_UNUSED)
{
  pthread_mutex_lock (&lock);
  g_string_append_printf (log_lines, "log %d %s %s\n", (int) entry->number,
                          entry->name, text);
  pthread_mutex_unlock (&lock);
}

/* Moves the recorded log lines to TARGET; discards them if it is NULL. */
static void
move_log_lines (GString *target)
{
  pthread_mutex_lock (&lock);
  if (target != NULL)
    g_string_append (target, log_lines->str);
  g_string_truncate (log_lines, 0);
  pthread_mutex_unlock (&lock);
}

static void
wait_until_idle (NativeFixture *fixture)
{
  HbwControl *control = hbw_instance_control (fixture->instance);
  for (guint i = 0; i < 1000 && hbw_control_request_count (control) > 0; i++)
    g_usleep (1000);
}

static void
run_request (NativeFixture *fixture, const char *line, GString *output)
{
  char **fields = g_strsplit (line, " ", 4);
  gboolean is_get = strcmp (fields[0], "GET") == 0;
  g_string_append_printf (output, "> %s\n", line);
  NativeFixtureResponse response
      = is_get
            ? native_fixture_get (fixture, fields[1])
            : native_fixture_post (fixture, fields[1], fields[2], fields[3], NULL);
  wait_until_idle (fixture);
  g_string_append_printf (output, "%ld\n%s\n", response.status, response.body);
  move_log_lines (output);
  g_string_append_c (output, '\n');
  native_fixture_response_clear (&response);
  g_strfreev (fields);
}

/* Appends the counters that are not zero. Durations are left out, because the manual
   clock does not advance. */
static void
append_counters (NativeFixture *fixture, GString *output)
{
  NativeFixtureResponse response
      = native_fixture_request_admin (fixture, "GET", "/metrics", NULL, NULL);
  char **metric_lines = g_strsplit (response.body, "\n", -1);
  for (guint i = 0; metric_lines[i] != NULL; i++)
    if (strstr (metric_lines[i], "_total{class=") != NULL
        && !g_str_has_suffix (metric_lines[i], " 0"))
      g_string_append_printf (output, "%s\n", metric_lines[i]);
  g_strfreev (metric_lines);
  native_fixture_response_clear (&response);
}

static char *
run_session (const char *text)
{
  GString *output = g_string_new (NULL);
  NativeFixture *fixture = native_fixture_create_with_manual_clock (1, 4);
  move_log_lines (NULL);
  char **requests = g_strsplit (text, "\n", -1);
  for (guint i = 0; requests[i] != NULL; i++)
    if (*requests[i] != '\0' && *requests[i] != '#')
      run_request (fixture, requests[i], output);
  g_strfreev (requests);
  append_counters (fixture, output);
  native_fixture_destroy (fixture);
  return g_string_free (output, FALSE);
}

static gboolean
check_session (const char *path, gboolean update)
{
  char *text = NULL;
  char *expected = NULL;
  char *path_stem = g_strndup (path, strlen (path) - strlen (".session"));
  char *golden_path = g_strconcat (path_stem, ".golden", NULL);
  gboolean matches = g_file_get_contents (path, &text, NULL, NULL);
  char *actual = run_session (matches ? text : "");
  if (update)
    matches = g_file_set_contents (golden_path, actual, -1, NULL);
  else
    matches = g_file_get_contents (golden_path, &expected, NULL, NULL)
              && strcmp (expected, actual) == 0;
  if (!matches)
    printf ("%s differs; actual output:\n%s\n", golden_path, actual);
  g_free (actual);
  g_free (expected);
  g_free (golden_path);
  g_free (path_stem);
  g_free (text);
  return matches;
}

int
main (int argc, char **argv)
{
  gboolean update = argc > 1 && strcmp (argv[1], "--update") == 0;
  static const char *const names[] = { "answers", "failures" };
  guint passed = 0;
  log_lines = g_string_new (NULL);
  hbw_log_set_hook (record_log_line, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = g_strdup_printf ("%s/%s.session", GOLDEN_DIR, names[i]);
      if (check_session (path, update))
        passed++;
      g_free (path);
    }
  hbw_log_set_hook (NULL, NULL);
  g_string_free (log_lines, TRUE);
  printf ("%u passed, %zu failed\n", passed, G_N_ELEMENTS (names) - passed);
  return passed == G_N_ELEMENTS (names) ? 0 : 1;
}
