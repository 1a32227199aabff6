/*
 * Tests of planned stops and of slow callers: each request that was read gets an
 * answer, and each answer that was begun is sent.
 */
#include "platform_fixture.h"
#include "suite.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/runtime/drain.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define GRACE_US (8 * HBW_US_PER_S)

/* More than the servers take at the same time. */
#define REQUESTS 60

/* Callers that send one request after the other. */
#define CALLERS 16

/* How much a slow caller reads at once, and the pause before it reads again. */
#define READ_BYTES 4096
#define READ_PAUSE_US 4000
#define CALLER_BUFFER_BYTES (256 * 1024)

/* How long a reset may follow an orderly end. */
#define RESET_TIMEOUT_MS 1000

/* A pause of a caller. */
#define CALLER_PAUSE_US (6 * HBW_US_PER_S)

static gboolean
wait_for_interval (void *data G_GNUC_UNUSED)
{
  g_usleep (HBW_DRAIN_INTERVAL_US);
  return TRUE;
}

static void
stop_instance (PlatformFixture *fixture)
{
  hbw_drain_run (fixture->instance, GRACE_US, fixture->clock, wait_for_interval,
                 NULL);
  g_clear_pointer (&fixture->instance, hbw_instance_destroy);
}

static void *
run_stop (void *data)
{
  stop_instance (data);
  return NULL;
}

static void
put_config (PlatformFixture *fixture)
{
  objects_set (
      fixture->object_store, "config", "main",
      "{\"version\":9,\"routes\":[{\"name\":\"long\",\"hostname\":\"h.example\","
      "\"path_prefix\":\"/long/\",\"route_type\":\"unsafe\",\"timeout_ms\":20000,"
      "\"latency_goal_ms\":100,\"priority\":0,\"backend\":\"b\",\"max_attempts\":1}]"
      ","
      "\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]}]}");
  g_usleep (1000000); /* it is in force */
}

/* Returns FALSE if the connection was reset before. */
static gboolean
try_send_request (int fd, const char *path)
{
  char *request = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD
      "X-Hornbeamwall-Attempt-Id: %s\r\nX-Hornbeamwall-Deadline-Ms: 18000\r\n"
      "Content-Length: 1\r\n\r\nb",
      path, path + 1);
  gboolean is_sent = caller_try_send (fd, request);
  g_free (request);
  return is_sent;
}

static void
send_request (int fd, const char *path)
{
  ck_assert (try_send_request (fd, path));
}

/* Guards against an exit that closes requests which no server has got, where their
   callers could be told so. */
START_TEST (request_that_waits_at_a_stop_is_refused)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fds[REQUESTS];
  guint waited = 0;
  put_config (fixture);
  for (guint i = 0; i < REQUESTS; i++)
    {
      char path[32];
      g_snprintf (path, sizeof path, "/long/%u/hang", i);
      fds[i] = platform_fixture_connect (fixture);
      send_request (fds[i], path);
    }
  g_usleep (200000);
  stop_instance (fixture);
  for (guint i = 0; i < REQUESTS; i++)
    {
      char path[32];
      g_snprintf (path, sizeof path, "/long/%u/hang", i);
      RawResponse response = caller_receive (fds[i]);
      if (platform_fixture_count_runs (fixture, path) == 0)
        {
          waited++;
          ck_assert_uint_eq (response.status, 503);
        }
      g_free (response.text);
      close (fds[i]);
    }
  ck_assert_uint_gt (waited, 0);
  platform_fixture_destroy (fixture);
}
END_TEST

typedef struct
{
  guint port;
  guint unanswered; /* requests that were read */
} Caller;

/* Waits for a reset, which follows the orderly end of a connection that was closed
   before the request arrived. */
static gboolean
is_reset (int fd)
{
  struct pollfd state = { fd, 0, 0 };
  return poll (&state, 1, RESET_TIMEOUT_MS) > 0 && (state.revents & POLLERR) != 0;
}

/* Returns whether the request on FD was read and gets no response.  One that was not
   read is reset. */
static gboolean
is_unanswered (int fd)
{
  RawResponse response = caller_receive (fd);
  g_free (response.text);
  return response.status == 0 && !response.reset && !is_reset (fd);
}

/* Sends requests on new connections until none is accepted.  A connection that was
   not taken from the backlog is reset, perhaps before the request is sent. */
static void *
run_caller (void *data)
{
  Caller *caller = data;
  int fd;
  while ((fd = caller_connect (caller->port)) >= 0)
    {
      if (try_send_request (fd, "/long/a/shed"))
        caller->unanswered += is_unanswered (fd);
      close (fd);
    }
  return NULL;
}

/* Guards against requests that are read and not answered, as the instance exits. */
START_TEST (request_that_is_read_before_the_exit_is_answered)
{
  PlatformFixture *fixture = platform_fixture_create ();
  Caller callers[CALLERS];
  pthread_t threads[CALLERS];
  guint unanswered = 0;
  put_config (fixture);
  for (guint i = 0; i < CALLERS; i++)
    {
      callers[i] = (Caller){ hbw_instance_caller_port (fixture->instance), 0 };
      pthread_create (&threads[i], NULL, run_caller, &callers[i]);
    }
  stop_instance (fixture);
  for (guint i = 0; i < CALLERS; i++)
    {
      pthread_join (threads[i], NULL);
      unanswered += callers[i].unanswered;
    }
  ck_assert_uint_eq (unanswered, 0);
  platform_fixture_destroy (fixture);
}
END_TEST

/* How long the thread that serves callers is stalled: for longer than the drain
   checks for requests after it has closed idle connections. */
#define STALL_US (400 * HBW_US_PER_MS)

/* What a drain has waited for when it has closed idle connections, in percent of the
   grace period. */
#define WAITED_PERCENT 50

/* A drain, beside a stall of the thread that serves callers. */
typedef struct
{
  HbwClock *clock;    /* of the drain */
  int closed_fd;      /* of a connection whose end starts the stall */
  int request_fd;     /* of one on which a request is sent within the stall */
  guint waits;        /* of the drain */
  atomic_bool is_due; /* the next connection that is closed starts the stall */
} StalledDrain;

/* Runs on the thread that serves callers. */
static void
stall_at_close (const HbwLogEventInfo *info, const char *text G_GNUC_UNUSED,
                void *data)
{
  StalledDrain *stalled = data;
  if (info->number == HBW_LOG_CONNECTION_CLOSED
      && atomic_exchange (&stalled->is_due, FALSE))
    g_usleep (STALL_US);
}

/* A connection that is closed within a request is logged. */
static void
begin_stall (StalledDrain *stalled)
{
  atomic_store (&stalled->is_due, TRUE);
  caller_send (stalled->closed_fd, "POST");
  close (stalled->closed_fd);
  while (atomic_load (&stalled->is_due))
    g_usleep (1000);
  send_request (stalled->request_fd, "/long/a/ok");
}

/* By the drain's clock the first wait is a long one, so that idle connections are
   closed after the second one. */
static gboolean
wait_with_stall (void *data)
{
  StalledDrain *stalled = data;
  g_usleep (HBW_DRAIN_INTERVAL_US);
  stalled->waits++;
  if (stalled->waits == 1)
    hbw_clock_advance (stalled->clock, GRACE_US / 100 * WAITED_PERCENT);
  else if (stalled->waits == 2)
    begin_stall (stalled);
  return TRUE;
}

/* Guards against an exit after a check that was made before the last request was
   read, as the thread that reads requests was not scheduled. */
START_TEST (request_that_arrives_in_a_stall_is_answered)
{
  StalledDrain stalled = { .clock = hbw_clock_create_manual (0) };
  hbw_log_set_hook (stall_at_close, &stalled);
  PlatformFixture *fixture = platform_fixture_create ();
  put_config (fixture);
  stalled.closed_fd = platform_fixture_connect (fixture);
  stalled.request_fd = platform_fixture_connect (fixture);
  hbw_drain_run (fixture->instance, GRACE_US, stalled.clock, wait_with_stall,
                 &stalled);
  g_clear_pointer (&fixture->instance, hbw_instance_destroy);
  raw_response_check (caller_receive (stalled.request_fd), 200, NULL);
  close (stalled.request_fd);
  platform_fixture_destroy (fixture);
  hbw_log_set_hook (NULL, NULL);
  hbw_clock_destroy (stalled.clock);
}
END_TEST

/* Reads slowly until the end, or until there are at least COUNT_MAX bytes. */
static gsize
count_bytes (int fd, gsize count_max)
{
  char bytes[READ_BYTES];
  gsize total = 0;
  ssize_t count;
  while (total < count_max && (count = recv (fd, bytes, sizeof bytes, 0)) > 0)
    {
      total += (gsize) count;
      g_usleep (READ_PAUSE_US);
    }
  return total;
}

/* Sends a request for a large response on a connection that buffers little of it. */
static int
connect_slow_caller (PlatformFixture *fixture)
{
  const int size = CALLER_BUFFER_BYTES;
  int fd = platform_fixture_connect (fixture);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  send_request (fd, "/long/a/large");
  return fd;
}

/* Guards against an exit that discards what a slow caller has still to read. */
START_TEST (response_is_sent_to_a_slow_caller_before_the_exit)
{
  PlatformFixture *fixture = platform_fixture_create ();
  put_config (fixture);
  int fd = connect_slow_caller (fixture);
  pthread_t thread;
  pthread_create (&thread, NULL, run_stop, fixture);
  ck_assert_uint_gt (count_bytes (fd, G_MAXSIZE), REPLICA_LARGE_BYTES);
  pthread_join (thread, NULL);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Guards against a reset of a caller that only pauses. */
START_TEST (caller_that_pauses_gets_the_whole_response)
{
  PlatformFixture *fixture = platform_fixture_create ();
  put_config (fixture);
  int fd = connect_slow_caller (fixture);
  g_usleep (CALLER_PAUSE_US);
  ck_assert_uint_ge (count_bytes (fd, REPLICA_LARGE_BYTES), REPLICA_LARGE_BYTES);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("drain");
  suite_add_test (suite, "request_that_waits_at_a_stop_is_refused",
                  request_that_waits_at_a_stop_is_refused);
  suite_add_test (suite, "request_that_arrives_in_a_stall_is_answered",
                  request_that_arrives_in_a_stall_is_answered);
  suite_add_test (suite, "request_that_is_read_before_the_exit_is_answered",
                  request_that_is_read_before_the_exit_is_answered);
  suite_add_test (suite, "response_is_sent_to_a_slow_caller_before_the_exit",
                  response_is_sent_to_a_slow_caller_before_the_exit);
  suite_add_test (suite, "caller_that_pauses_gets_the_whole_response",
                  caller_that_pauses_gets_the_whole_response);
  return suite_run (suite);
}
