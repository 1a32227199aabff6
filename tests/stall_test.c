/*
 * Tests of an instance that stands still for a while, as a process that is stopped
 * or gets no processor time: what arrives meanwhile waits in the kernel.
 *
 * The clock_gettime() below takes the place of the C library's in this process: a
 * thread of the instance stands still from its next look at the clock.
 */
#include "platform_fixture.h"
#include "suite.h"

#include <pthread.h>
#include <string.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS 40

#define HEADER_TIMEOUT_MS 1000
#define IDLE_TIMEOUT_MS 2000

/* From the first request, or a part of it, in milliseconds. */
#define STALL_BEGIN_MS 1450
#define SECOND_REQUEST_MS 1600 /* four fifths of IDLE_TIMEOUT_MS */
#define STALL_END_MS 2450
#define LONG_STALL_END_MS 8500 /* longer than the connection would be kept */

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t resumed = PTHREAD_COND_INITIALIZER;
static gboolean stalled;

int
clock_gettime (clockid_t clock, struct timespec *time)
{
  if (clock == CLOCK_BOOTTIME)
    {
      pthread_mutex_lock (&lock);
      while (stalled)
        pthread_cond_wait (&resumed, &lock);
      pthread_mutex_unlock (&lock);
    }
  return (int) syscall (SYS_clock_gettime, clock, time);
}

static void
set_stalled (gboolean value)
{
  pthread_mutex_lock (&lock);
  stalled = value;
  pthread_cond_broadcast (&resumed);
  pthread_mutex_unlock (&lock);
}

static void
sleep_until (gint64 time_us)
{
  gint64 left_us = time_us - g_get_monotonic_time ();
  if (left_us > 0)
    g_usleep ((gulong) left_us);
}

/* Stalls the instance from BEGIN_MS after START_US.  A caller that connects wakes
   the traffic thread, so that it stands still between a poll and its timers. */
static int
begin_stall (PlatformFixture *fixture, gint64 start_us, guint begin_ms)
{
  sleep_until (start_us + begin_ms * HBW_US_PER_MS);
  set_stalled (TRUE);
  return platform_fixture_connect (fixture);
}

static void
end_stall (int waking_fd, gint64 start_us, guint end_ms)
{
  sleep_until (start_us + end_ms * HBW_US_PER_MS);
  set_stalled (FALSE);
  close (waking_fd);
}

static PlatformFixture *
create_fixture (void)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_set_timeouts (fixture, 4, HEADER_TIMEOUT_MS, IDLE_TIMEOUT_MS);
  return fixture;
}

/* Receives a response from each connection and closes it. */
static void
check_all_answered (const int *fds)
{
  guint closed = 0;
  guint other = 0;
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      RawResponse response = caller_receive (fds[i]);
      closed += response.status == 0;
      other += response.status != 0 && response.status != 200;
      g_free (response.text);
      close (fds[i]);
    }
  ck_assert_msg (closed + other == 0,
                 "%u of %d closed without an answer, %u refused", closed,
                 CONNECTIONS, other);
}

/* Sends a second request on each connection while the instance is stalled until
   STALL_END_MS. */
static void
check_second_request (guint stall_end_ms)
{
  PlatformFixture *fixture = create_fixture ();
  int fds[CONNECTIONS];
  for (guint i = 0; i < CONNECTIONS; i++)
    fds[i] = platform_fixture_connect (fixture);
  for (guint i = 0; i < CONNECTIONS; i++)
    raw_response_check (caller_post (fds[i], "/safe/ok", API_KEY_FIELD, ""), 200,
                        NULL);
  gint64 start_us = g_get_monotonic_time ();
  int waking_fd = begin_stall (fixture, start_us, STALL_BEGIN_MS);
  sleep_until (start_us + SECOND_REQUEST_MS * HBW_US_PER_MS);
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      char *request = caller_format_request ("POST", "/safe/ok", API_KEY_FIELD, "");
      caller_send (fds[i], request);
      g_free (request);
    }
  end_stall (waking_fd, start_us, stall_end_ms);
  check_all_answered (fds);
  platform_fixture_destroy (fixture);
}

START_TEST (request_on_kept_connection_is_answered_after_a_stall)
{
  check_second_request (STALL_END_MS);
}
END_TEST

START_TEST (request_on_kept_connection_is_answered_after_a_long_stall)
{
  check_second_request (LONG_STALL_END_MS);
}
END_TEST

/* Sends requests in two parts, the second one while the instance is stalled beyond
   TIMEOUT_MS, which its timer for the rest of the request has. */
static void
check_request_in_parts (const char *first, const char *second, guint timeout_ms)
{
  PlatformFixture *fixture = create_fixture ();
  int fds[CONNECTIONS];
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      fds[i] = platform_fixture_connect (fixture);
      caller_send (fds[i], first);
    }
  gint64 start_us = g_get_monotonic_time ();
  int waking_fd = begin_stall (fixture, start_us, timeout_ms / 2);
  sleep_until (start_us + timeout_ms * 3 / 4 * HBW_US_PER_MS);
  for (guint i = 0; i < CONNECTIONS; i++)
    caller_send (fds[i], second);
  end_stall (waking_fd, start_us, timeout_ms * 5 / 4);
  check_all_answered (fds);
  platform_fixture_destroy (fixture);
}

START_TEST (rest_of_a_head_is_read_after_a_stall)
{
  check_request_in_parts (
      "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD,
      "X-Hornbeamwall-Attempt-Id: a\r\nContent-Length: 0\r\n\r\n",
      HEADER_TIMEOUT_MS);
}
END_TEST

START_TEST (rest_of_a_body_is_read_after_a_stall)
{
  check_request_in_parts (
      "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD
      "X-Hornbeamwall-Attempt-Id: a\r\nContent-Length: 4\r\n\r\nab",
      "cd", IDLE_TIMEOUT_MS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stall");
  suite_add_test (suite, "request_on_kept_connection_is_answered_after_a_stall",
                  request_on_kept_connection_is_answered_after_a_stall);
  suite_add_test (suite, "request_on_kept_connection_is_answered_after_a_long_stall",
                  request_on_kept_connection_is_answered_after_a_long_stall);
  suite_add_test (suite, "rest_of_a_head_is_read_after_a_stall",
                  rest_of_a_head_is_read_after_a_stall);
  suite_add_test (suite, "rest_of_a_body_is_read_after_a_stall",
                  rest_of_a_body_is_read_after_a_stall);
  return suite_run (suite);
}
