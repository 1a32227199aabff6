/*
 * Tests of the log on standard output: a reader that stalls does not block the
 * instance, and repeated lines of one event are limited in rate and counted.
 */
#include "platform_fixture.h"
#include "standin/canned_replica.h"
#include "suite.h"

#include "hornbeamwall/common/log.h"

#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
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

/* Reads OUTPUT until it has a line of EVENT whose members begin with TEXT; returns
   the line, which the caller frees. */
static json_t *
read_event (const CapturedOutput *output, const char *event, const char *text)
{
  GString *lines = g_string_new (NULL);
  char *expected = g_strdup_printf ("\"event\":\"%s\",%s", event, text);
  fcntl (output->read_fd, F_SETFL, O_NONBLOCK);
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      char bytes[4096];
      ssize_t length = read (output->read_fd, bytes, sizeof bytes);
      if (length > 0)
        g_string_append_len (lines, bytes, length);
      const char *found = strstr (lines->str, expected);
      if (found != NULL && strchr (found, '\n') != NULL)
        break;
      if (length <= 0)
        g_usleep (10000);
    }
  char *found = strstr (lines->str, expected);
  ck_assert_msg (found != NULL, "no %s in %.2000s", expected, lines->str);
  const char *begin = found;
  while (begin > lines->str && begin[-1] != '\n')
    begin--;
  json_t *line = json_loadb (begin, strcspn (begin, "\n"), 0, NULL);
  ck_assert (line != NULL);
  g_free (expected);
  g_string_free (lines, TRUE);
  return line;
}

/* The same for the end of a connection. */
static json_t *
read_close (const CapturedOutput *output, const char *text)
{
  return read_event (output, "CONNECTION_CLOSED", text);
}

/* Reads OUTPUT until it has a CONNECTION_CLOSED line with TEXT. */
static void
wait_for_close (const CapturedOutput *output, const char *text)
{
  json_decref (read_close (output, text));
}

static json_int_t
get_number (const json_t *line, const char *field)
{
  const json_t *value = json_object_get (line, field);
  ck_assert_msg (json_is_integer (value), "no number %s", field);
  return json_integer_value (value);
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

/* Guards against a 502 of which no line tells what the server had sent. */
START_TEST (dropped_response_is_logged_with_its_fault)
{
  static const struct
  {
    const char *text;
    CannedResponseEnd end;
    const char *fault;
    const char *part;
  } cases[]
      = { { "HTTP/1.1 000 Odd\r\n\r\n", CANNED_RESPONSE_CLOSES, "invalid",
            "status" },
          { "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", CANNED_RESPONSE_CLOSES, "invalid",
            "field" },
          { "HTTP/1.1 200 OK\r\n\r\n", CANNED_RESPONSE_CLOSES, "rejected", "body" },
          { "HTTP/1.1 200 OK\r\nContent-Length", CANNED_RESPONSE_CLOSES, "ended",
            "field" },
          { "HTTP/1.1 20", CANNED_RESPONSE_RESETS, "reset", "status" } };
  PlatformFixture *fixture = platform_fixture_create ();
  CapturedOutput output = output_capture ();
  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const CannedResponse answer = { .text = cases[i].text,
                                      .length = strlen (cases[i].text),
                                      .pause_us = 100000,
                                      .end = cases[i].end };
      for (guint j = 0; j < PLATFORM_FIXTURE_SERVERS; j++)
        replica_set_canned_response (fixture->replicas[j], &answer);
      char *path = g_strdup_printf ("/unsafe/%u/canned", i);
      raw_response_check (platform_fixture_post (fixture, path, API_KEY_FIELD, "b"),
                          502, NULL);
      json_t *line = read_event (&output, "RESPONSE_FAULTY", "\"request\":\"id");
      ck_assert_str_eq (json_string_value (json_object_get (line, "fault")),
                        cases[i].fault);
      ck_assert_str_eq (json_string_value (json_object_get (line, "part")),
                        cases[i].part);
      ck_assert (g_str_has_prefix (
          json_string_value (json_object_get (line, "server")), "i-"));
      json_decref (line);
      g_free (path);
    }
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

#define REQUEST_WITH_ID(path, id)                                                   \
  "POST " path " HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamwall-Attempt-Id: " id     \
  "\r\n" API_KEY_FIELD "Content-Length: 0\r\n"

/* Bytes after a request that asks for the end of the connection. */
#define LATER_BYTES "POST "

START_TEST (closed_connection_is_logged_with_what_was_written)
{
  PlatformFixture *fixture = platform_fixture_create ();
  CapturedOutput output = output_capture ();
  int broken = platform_fixture_connect (fixture);
  caller_send (broken, REQUEST_WITH_ID ("/once/cut", "closed-1") "\r\n");
  RawResponse response = caller_receive (broken);
  json_t *line = read_close (
      &output, "\"cause\":\"abort\",\"state\":\"response\",\"requests\":1,");
  ck_assert_str_eq (json_string_value (json_object_get (line, "request")),
                    "closed-1");
  ck_assert_int_gt (get_number (line, "response_bytes"), 0);
  ck_assert_int_eq (get_number (line, "unsent_bytes"), 0);
  json_decref (line);
  g_free (response.text);
  close (broken);
  int unanswered = platform_fixture_connect (fixture);
  caller_send (unanswered, REQUEST_WITH_ID ("/safe/hang", "closed-2") "\r\n");
  while (platform_fixture_count_runs (fixture, "/safe/hang") == 0)
    g_usleep (10000);
  close (unanswered);
  line = read_close (&output, "\"cause\":\"caller_end\",\"state\":\"response\",");
  ck_assert_str_eq (json_string_value (json_object_get (line, "request")),
                    "closed-2");
  ck_assert_int_eq (get_number (line, "response_bytes"), 0);
  json_decref (line);
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

/* Bytes behind the last request that is answered are not parsed. */
START_TEST (closed_connection_is_logged_with_what_was_left)
{
  PlatformFixture *fixture = platform_fixture_create ();
  CapturedOutput output = output_capture ();
  int fd = platform_fixture_connect (fixture);
  caller_send (fd,
               REQUEST_WITH_ID ("/safe/ok",
                                "closed-3") "Connection: close\r\n\r\n" LATER_BYTES);
  raw_response_check (caller_receive (fd), 200, NULL);
  close (fd);
  json_t *line = read_close (&output, "\"cause\":\"asked\",\"state\":\"idle\",");
  ck_assert_int_eq (get_number (line, "buffered_bytes"), strlen (LATER_BYTES));
  ck_assert_int_gt (get_number (line, "response_bytes"), 0);
  json_decref (line);
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

/* More than the buffers of a connection hold, of responses that are written without
   a pause. */
#define UNREAD_RESPONSES 200
#define UNREAD_BODY_SIZE 60000
#define UNREAD_BUFFER_SIZE 4096

START_TEST (closed_connection_is_logged_with_what_was_not_sent)
{
  const int buffer_size = UNREAD_BUFFER_SIZE;
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
  char *body = g_strnfill (UNREAD_BODY_SIZE, 'b');
  for (guint i = 0; i < UNREAD_RESPONSES; i++)
    {
      char *request
          = caller_format_request ("POST", "/safe/ok", API_KEY_FIELD, body);
      caller_send (fd, request);
      g_free (request);
    }
  while (platform_fixture_count_runs (fixture, "/safe/ok") < UNREAD_RESPONSES)
    g_usleep (10000);
  ck_assert (platform_fixture_wait_until_idle (fixture));
  /* Lines that nobody reads are dropped, so that those of the requests go elsewhere.
   */
  CapturedOutput output = output_capture ();
  close (fd);
  json_t *line
      = read_close (&output, "\"cause\":\"caller_reset\",\"state\":\"idle\",");
  ck_assert_int_gt (get_number (line, "unsent_bytes"), 0);
  json_decref (line);
  g_free (body);
  platform_fixture_destroy (fixture);
  output_restore (&output);
}
END_TEST

START_TEST (connection_beyond_the_limit_is_logged)
{
  PlatformFixture *fixture = platform_fixture_create ();
  fixture->settings->connection_limit = 1;
  platform_fixture_restart_instance (fixture);
  CapturedOutput output = output_capture ();
  int first = platform_fixture_connect (fixture);
  raw_response_check (caller_post (first, "/safe/ok", API_KEY_FIELD, ""), 200, NULL);
  int second = platform_fixture_connect (fixture);
  RawResponse response = caller_receive (second);
  ck_assert_uint_eq (response.status, 0);
  wait_for_close (&output, "\"cause\":\"limit\"");
  g_free (response.text);
  close (second);
  close (first);
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
  tcase_add_test (tests, dropped_response_is_logged_with_its_fault);
  tcase_add_test (tests, closed_connection_is_logged_with_what_was_read);
  tcase_add_test (tests, closed_connection_is_logged_with_what_was_written);
  tcase_add_test (tests, closed_connection_is_logged_with_what_was_left);
  tcase_add_test (tests, closed_connection_is_logged_with_what_was_not_sent);
  tcase_add_test (tests, connection_beyond_the_limit_is_logged);
  tcase_add_test (tests, repeated_event_is_rate_limited_and_counted);
  suite_add_tcase (suite, tests);
  hbw_log_open ();
  int status = suite_run (suite);
  hbw_log_close ();
  return status;
}
