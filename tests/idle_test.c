/*
 * Tests of how long a connection of a caller is kept after a response, while the
 * config changes the limit.
 */
#include "platform_fixture.h"
#include "suite.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS 20

/* Longer than the instance keeps a connection whose limit is 1 s. */
#define LONG_WAIT_MS 7500
#define LONG_LIMIT_MS 8000

/* Longest time after a limit of 1 s until a connection is closed, in milliseconds.
 */
#define CLOSE_TIME_MAX_MS 10000

static RawResponse
post (int fd)
{
  return caller_post (fd, "/safe/ok", API_KEY_FIELD, "");
}

/* Sends a second request on each connection WAIT_MS after the first one, while the
   config changes the limit after the first request. */
static void
check_second_request (guint limit_ms, guint next_limit_ms, guint wait_ms)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_set_timeouts (fixture, 4, 3000, limit_ms);
  int fds[CONNECTIONS];
  guint closed = 0;
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      fds[i] = platform_fixture_connect (fixture);
      raw_response_check (post (fds[i]), 200, NULL);
    }
  gint64 start_us = g_get_monotonic_time ();
  if (next_limit_ms != limit_ms)
    platform_fixture_set_timeouts (fixture, 5, 3000, next_limit_ms);
  g_usleep ((gulong) (start_us + wait_ms * HBW_US_PER_MS - g_get_monotonic_time ()));
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      RawResponse response = post (fds[i]);
      closed += response.status != 200;
      g_free (response.text);
      close (fds[i]);
    }
  ck_assert_msg (closed == 0, "%u of %d closed", closed, CONNECTIONS);
  platform_fixture_destroy (fixture);
}

START_TEST (request_at_the_limit_is_answered)
{
  check_second_request (1000, 1000, 1000);
}
END_TEST

START_TEST (raised_limit_holds_for_idle_connections)
{
  check_second_request (1000, LONG_LIMIT_MS, LONG_WAIT_MS);
}
END_TEST

START_TEST (lowered_limit_does_not_hold_for_idle_connections)
{
  check_second_request (LONG_LIMIT_MS, 1000, LONG_WAIT_MS);
}
END_TEST

START_TEST (response_names_the_limit)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  raw_response_check (post (fd), 200, "\r\nKeep-Alive: timeout=15\r\n");
  platform_fixture_set_timeouts (fixture, 4, 3000, 2999);
  raw_response_check (post (fd), 200, "\r\nKeep-Alive: timeout=2\r\n");
  platform_fixture_set_timeouts (fixture, 5, 3000, 999);
  RawResponse response = post (fd);
  ck_assert (strstr (response.text, "Keep-Alive") == NULL);
  g_free (response.text);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (idle_connection_is_closed)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_set_timeouts (fixture, 4, 3000, 1000);
  int fd = platform_fixture_connect (fixture);
  raw_response_check (post (fd), 200, NULL);
  struct pollfd input = { fd, POLLIN, 0 };
  ck_assert_int_eq (poll (&input, 1, 1000), 0);
  ck_assert_int_eq (poll (&input, 1, CLOSE_TIME_MAX_MS), 1);
  RawResponse response = post (fd);
  ck_assert_uint_eq (response.status, 0);
  g_free (response.text);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Connections that nobody uses any more keep no new caller out. */
START_TEST (new_caller_is_answered_beside_connections_past_the_limit)
{
  PlatformFixture *fixture = platform_fixture_create ();
  fixture->settings->connection_limit = CONNECTIONS;
  platform_fixture_restart_instance (fixture);
  platform_fixture_set_timeouts (fixture, 4, 3000, 1000);
  int fds[CONNECTIONS];
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      fds[i] = platform_fixture_connect (fixture);
      raw_response_check (post (fds[i]), 200, NULL);
    }
  g_usleep (2500 * HBW_US_PER_MS);
  int fd = platform_fixture_connect (fixture);
  raw_response_check (post (fd), 200, NULL);
  close (fd);
  for (guint i = 0; i < CONNECTIONS; i++)
    close (fds[i]);
  platform_fixture_destroy (fixture);
}
END_TEST

/* An empty line after a request begins no head. */
START_TEST (empty_line_after_a_request_shortens_no_limit)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_set_timeouts (fixture, 4, 1000, LONG_LIMIT_MS);
  int fd = platform_fixture_connect (fixture);
  raw_response_check (post (fd), 200, NULL);
  caller_send (fd, "\r\n");
  g_usleep (2500 * HBW_US_PER_MS);
  raw_response_check (post (fd), 200, NULL);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

/* More than the buffers of a connection hold. */
#define LONG_RESPONSES 130
#define LONG_BODY_SIZE 60000 /* at most 64 KB, so that no response pauses */

/* How a slow caller reads, for longer than an idle connection is kept. */
#define SLOW_READ_SIZE 40000
#define SLOW_READ_INTERVAL_US (100 * HBW_US_PER_MS)
#define SLOW_READS 80

#define SLOW_BUFFER_SIZE 65536

/* Receives bytes into TEXT; returns FALSE at the end of the connection. */
static gboolean
receive_some (int fd, GString *text)
{
  char bytes[SLOW_READ_SIZE];
  ssize_t count = recv (fd, bytes, sizeof bytes, 0);
  if (count <= 0)
    return FALSE;
  g_string_append_len (text, bytes, count);
  return TRUE;
}

static guint
count_responses (const GString *text)
{
  guint count = 0;
  for (const char *next = text->str; (next = strstr (next, "HTTP/1.1 200")) != NULL;
       next++)
    count++;
  return count;
}

/* The idle time begins when the last response has been sent. */
START_TEST (caller_that_reads_slowly_gets_all_responses)
{
  const int buffer_size = SLOW_BUFFER_SIZE;
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_set_timeouts (fixture, 4, 3000, 1000);
  GString *text = g_string_new (NULL);
  char *body = g_strnfill (LONG_BODY_SIZE, 'b');
  int fd = platform_fixture_connect (fixture);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer_size, sizeof buffer_size);
  for (guint i = 0; i < LONG_RESPONSES; i++)
    {
      char *request
          = caller_format_request ("POST", "/safe/ok", API_KEY_FIELD, body);
      caller_send (fd, request);
      g_free (request);
    }
  gboolean is_open = TRUE;
  for (guint i = 0; i < SLOW_READS && is_open; i++)
    {
      g_usleep (SLOW_READ_INTERVAL_US);
      is_open = receive_some (fd, text);
    }
  while (is_open && count_responses (text) < LONG_RESPONSES)
    is_open = receive_some (fd, text);
  ck_assert_uint_eq (count_responses (text), LONG_RESPONSES);
  close (fd);
  g_free (body);
  g_string_free (text, TRUE);
  platform_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("idle");
  suite_add_test (suite, "request_at_the_limit_is_answered",
                  request_at_the_limit_is_answered);
  suite_add_test (suite, "raised_limit_holds_for_idle_connections",
                  raised_limit_holds_for_idle_connections);
  suite_add_test (suite, "lowered_limit_does_not_hold_for_idle_connections",
                  lowered_limit_does_not_hold_for_idle_connections);
  suite_add_test (suite, "response_names_the_limit", response_names_the_limit);
  suite_add_test (suite, "idle_connection_is_closed", idle_connection_is_closed);
  suite_add_test (suite, "new_caller_is_answered_beside_connections_past_the_limit",
                  new_caller_is_answered_beside_connections_past_the_limit);
  suite_add_test (suite, "empty_line_after_a_request_shortens_no_limit",
                  empty_line_after_a_request_shortens_no_limit);
  suite_add_test (suite, "caller_that_reads_slowly_gets_all_responses",
                  caller_that_reads_slowly_gets_all_responses);
  return suite_run (suite);
}
