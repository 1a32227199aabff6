/*
 * Tests of the log on standard output: a reader that stalls does not block the
 * instance, and repeated lines of one event are limited in rate and counted.
 */
#include "platform_fixture.h"
#include "suite.h"

#include "hornbeamwall/common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Limit of lines of one event in a second, as documented in OPERATIONS.md. */
#define LINES_PER_S_MAX 200

#define LINES_WRITTEN 5000

/* Standard output, redirected into a pipe during a test. */
typedef struct
{
  int saved_fd;
  int read_fd;
  int write_fd;
} CapturedOutput;

static CapturedOutput
output_capture (void)
{
  int pipe_fds[2];
  fflush (stdout);
  ck_assert_int_eq (pipe2 (pipe_fds, O_CLOEXEC), 0);
  CapturedOutput output = { dup (STDOUT_FILENO), pipe_fds[0], pipe_fds[1] };
  ck_assert_int_eq (dup2 (output.write_fd, STDOUT_FILENO), STDOUT_FILENO);
  return output;
}

static void
output_restore (const CapturedOutput *output)
{
  dup2 (output->saved_fd, STDOUT_FILENO);
  close (output->saved_fd);
  close (output->read_fd);
  close (output->write_fd);
}

/* Fills the pipe, so that writing one more byte would block. */
static void
output_fill_pipe (const CapturedOutput *output)
{
  static const char zeros[4096];
  int flags = fcntl (output->write_fd, F_GETFL);
  fcntl (output->write_fd, F_SETFL, flags | O_NONBLOCK);
  while (write (output->write_fd, zeros, sizeof zeros) > 0)
    continue;
  while (write (output->write_fd, zeros, 1) > 0)
    continue;
  ck_assert_int_eq (errno, EAGAIN);
  fcntl (output->write_fd, F_SETFL, flags);
}

START_TEST (unread_output_does_not_block_requests)
{
  CapturedOutput output = output_capture ();
  output_fill_pipe (&output);
  PlatformFixture *fixture = platform_fixture_create ();
  for (guint i = 0; i < 50; i++)
    raw_response_check (
        platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, ""), 200, NULL);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/ok"), 50);
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

typedef struct
{
  guint written;
  guint64 folded; /* suppressed lines, as LINES_FOLDED reports them */
} LineCount;

static void
count_line (const char *text, LineCount *count)
{
  json_t *line = json_loads (text, 0, NULL);
  ck_assert_msg (line != NULL, "%s", text);
  const char *event = json_string_value (json_object_get (line, "event"));
  if (strcmp (event, "SERVER_DOWN") == 0)
    count->written++;
  if (strcmp (event, "LINES_FOLDED") == 0)
    count->folded += (guint64) json_integer_value (json_object_get (line, "lines"));
  json_decref (line);
}

/* Reads the output written so far and counts its lines; keeps an incomplete last
   line in PARTIAL_LINE. */
static void
count_available_lines (const CapturedOutput *output, GString *partial_line,
                       LineCount *count)
{
  char bytes[65536];
  fcntl (output->read_fd, F_SETFL, O_NONBLOCK);
  ssize_t length;
  while ((length = read (output->read_fd, bytes, sizeof bytes)) > 0)
    g_string_append_len (partial_line, bytes, length);
  char *end;
  while ((end = strchr (partial_line->str, '\n')) != NULL)
    {
      *end = '\0';
      count_line (partial_line->str, count);
      g_string_erase (partial_line, 0, end - partial_line->str + 1);
    }
}

/* Reads OUTPUT until it has a CONNECTION_CLOSED line with TEXT. */
static void
wait_for_close (const CapturedOutput *output, const char *text)
{
  GString *lines = g_string_new (NULL);
  char *expected = g_strdup_printf ("\"event\":\"CONNECTION_CLOSED\",%s", text);
  fcntl (output->read_fd, F_SETFL, O_NONBLOCK);
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      char bytes[4096];
      ssize_t length = read (output->read_fd, bytes, sizeof bytes);
      if (length > 0)
        g_string_append_len (lines, bytes, length);
      if (strstr (lines->str, expected) != NULL)
        break;
      if (length <= 0)
        g_usleep (10000);
    }
  ck_assert_msg (strstr (lines->str, expected) != NULL, "no %s in %s", expected,
                 lines->str);
  g_free (expected);
  g_string_free (lines, TRUE);
}

START_TEST (closed_connection_is_logged_with_what_was_read)
{
  PlatformFixture *fixture = platform_fixture_create ();
  CapturedOutput output = output_capture ();
  int left = platform_fixture_connect (fixture);
  raw_response_check (caller_post (left, "/safe/ok", API_KEY_FIELD, ""), 200, NULL);
  caller_send (left, "POST ");
  close (left);
  wait_for_close (&output,
                  "\"cause\":\"caller_end\",\"state\":\"head\",\"requests\":1,"
                  "\"request_bytes\":5,");
  platform_fixture_set_timeouts (fixture, 4, 300, 1000);
  int idle = platform_fixture_connect (fixture);
  raw_response_check (caller_post (idle, "/safe/ok", API_KEY_FIELD, ""), 200, NULL);
  wait_for_close (&output, "\"cause\":\"idle\",\"state\":\"idle\",\"requests\":1,");
  close (idle);
  int slow = platform_fixture_connect (fixture);
  caller_send (slow, "POST ");
  wait_for_close (&output, "\"cause\":\"timeout\",\"state\":\"head\",\"requests\":0,"
                           "\"request_bytes\":5,");
  close (slow);
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

START_TEST (repeated_event_is_rate_limited_and_counted)
{
  CapturedOutput output = output_capture ();
  GString *partial_line = g_string_new (NULL);
  LineCount count = { 0, 0 };
  gint64 first_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  for (guint i = 0; i < LINES_WRITTEN; i++)
    {
      hbw_log_write (HBW_LOG_SERVER_DOWN, "server=s pool=p");
      if (i % 100 == 0)
        count_available_lines (&output, partial_line, &count);
    }
  gint64 last_s = g_get_monotonic_time () / G_USEC_PER_SEC;
  count_available_lines (&output, partial_line, &count);
  const LineCount burst_count = count;
  while (g_get_monotonic_time () / G_USEC_PER_SEC == last_s)
    g_usleep (10000);
  hbw_log_write (HBW_LOG_SERVER_DOWN, "server=s pool=p");
  count_available_lines (&output, partial_line, &count);
  g_string_free (partial_line, TRUE);
  output_restore (&output);
  ck_assert_uint_ge (burst_count.written, LINES_PER_S_MAX);
  ck_assert_uint_le (burst_count.written,
                     LINES_PER_S_MAX * (guint) (last_s - first_s + 1));
  ck_assert_uint_eq (count.written + count.folded, LINES_WRITTEN + 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tests = tcase_create ("log");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, unread_output_does_not_block_requests);
  tcase_add_test (tests, closed_connection_is_logged_with_what_was_read);
  tcase_add_test (tests, repeated_event_is_rate_limited_and_counted);
  suite_add_tcase (suite, tests);
  hbw_log_open ();
  int status = suite_run (suite);
  hbw_log_close ();
  return status;
}
