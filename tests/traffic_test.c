/*
 * Tests of the data path on the users' platform (interface "platform" in the
 * settings) over HTTP: a caller on plain sockets, one instance, two backend servers
 * and the object store.
 */
#include "platform_fixture.h"
#include "suite.h"

#include "hornbeamwall/runtime/request_command.h"

#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/compiler.h>

/* Memory that responses without end may take. */
#define FLOOD_BYTES_MAX ((gsize) 16 * 1024 * 1024)

START_TEST (request_is_forwarded_without_forged_fields)
{
  PlatformFixture *fixture = platform_fixture_create ();
  RawResponse response = platform_fixture_post (
      fixture, "/safe/a%20b/ok?x=%2F&y",
      API_KEY_FIELD "X-Hornbeamwall-Tenant: forged\r\nX-Own: 7\r\n", "the body");
  raw_response_check (response, 200, "POST /safe/a%20b/ok?x=%2F&y the body");
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    {
      char *head = replica_last_request_head (fixture->replicas[i]);
      if (head == NULL)
        continue;
      ck_assert (strstr (head, "X-Hornbeamwall-Tenant: t\r\n") != NULL);
      ck_assert (strstr (head, "forged") == NULL);
      ck_assert (strstr (head, "k1") == NULL);
      ck_assert (strstr (head, "X-Own: 7\r\n") != NULL);
      ck_assert (strstr (head, "X-Hornbeamwall-Expect-Instance: i-") != NULL);
      ck_assert (strstr (head, "X-Hornbeamwall-Deadline-Ms: 2") != NULL);
      g_free (head);
    }
  int fd = platform_fixture_connect (fixture);
  caller_send (
      fd,
      "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD
      "X-Hornbeamwall-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  g_usleep (20000);
  caller_send (fd, "c\r\n4\r\ndefg\r\n0\r\n\r\n");
  raw_response_check (caller_receive (fd), 200, "POST /safe/ok abcdefg");
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (smuggled_request_is_not_executed)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  caller_send (
      fd, "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD
          "X-Hornbeamwall-Attempt-Id: s\r\nContent-Length: 5\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /safe/in/ok HTTP/1.1\r\n"
          "Host: h.example\r\n\r\n");
  RawResponse response = caller_receive (fd);
  ck_assert_uint_eq (response.status, 400);
  g_free (response.text);
  close (fd);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/with/ok", API_KEY_FIELD,
                             "POST /safe/in/ok HTTP/1.1\r\nHost: h.example\r\n\r\n"),
      200, NULL);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/in/ok"), 0);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/ok"), 0);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (connections_to_servers_are_reused)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  for (guint i = 0; i < 20; i++)
    {
      RawResponse response = caller_post (fd, "/safe/ok", API_KEY_FIELD, "b");
      raw_response_check (response, 200, NULL);
    }
  close (fd);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/ok"), 20);
  ck_assert_uint_le (platform_fixture_count_connections (fixture),
                     2 * PLATFORM_FIXTURE_SERVERS);
  platform_fixture_destroy (fixture);
}
END_TEST

/* A behaviour of the backend server and what the caller and the servers must see. */
typedef struct
{
  const char *path;
  guint expected_status;
  guint expected_runs;
  const char *expected_text;
} FaultCase;

START_TEST (broken_response_is_retried_only_where_allowed)
{
  static const FaultCase cases[] = {
    { "/safe/a/reset1", 200, 2, "POST" },
    { "/safe/a/close1", 200, 2, "POST" },
    { "/safe/a/short1", 200, 2, "POST" },
    { "/safe/a/noseal1", 200, 2, "POST" },
    { "/safe/a/fail1", 200, 2, "POST" },
    { "/safe/a/fail", 500, 2, "own" },
    { "/safe/a/reset", 502, 2, NULL },
    { "/unsafe/a/reset1", 502, 1, NULL },
    { "/unsafe/a/close", 502, 1, NULL },
    { "/unsafe/a/short", 502, 1, NULL },
    { "/unsafe/a/noseal", 502, 1, NULL },
    { "/unsafe/a/fail", 500, 1, "X-Hornbeamwall-Response-Seal" },
    { "/unsafe/a/shed", 503, 0, "Retry-After: " },
    { "/safe/a/open", 200, 1, "unframed" },
    { "/safe/a/early", 200, 1, "early" },
    { "/brief/a/hang", 504, 1, NULL },
  };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, cases[i].path, API_KEY_FIELD, "b");
      ck_assert_msg (response.status == cases[i].expected_status, "%s: %u %s",
                     cases[i].path, response.status, response.text);
      if (cases[i].expected_text != NULL)
        ck_assert_msg (strstr (response.text, cases[i].expected_text) != NULL,
                       "%s: %s", cases[i].path, response.text);
      ck_assert_msg (platform_fixture_count_runs (fixture, cases[i].path)
                         == cases[i].expected_runs,
                     "%s ran %u times", cases[i].path,
                     platform_fixture_count_runs (fixture, cases[i].path));
      g_free (response.text);
    }
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (truncated_response_never_looks_complete)
{
  PlatformFixture *fixture = platform_fixture_create ();
  RawResponse response
      = platform_fixture_post (fixture, "/unsafe/a/torn", API_KEY_FIELD, "b");
  ck_assert_msg (!raw_response_is_complete (response.text) || response.status != 200,
                 "%s", response.text);
  g_free (response.text);
  response = platform_fixture_post (fixture, "/once/a/cut", API_KEY_FIELD, "b");
  ck_assert_uint_eq (response.status, 200);
  ck_assert (response.closed_by_peer);
  ck_assert (!raw_response_is_complete (response.text));
  ck_assert (strstr (response.text, "id: 2\n") != NULL);
  ck_assert (strstr (response.text, "id: 3\n") == NULL);
  g_free (response.text);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Checks that TEXT has all six events in order, each once. */
static void
check_each_event_once (const char *text)
{
  const char *previous = text;
  for (guint i = 1; i <= 6; i++)
    {
      char event[16];
      g_snprintf (event, sizeof event, "id: %u\n", i);
      const char *position = strstr (text, event);
      ck_assert_msg (position != NULL && position > previous, "%s: %s", event, text);
      ck_assert_msg (strstr (position + 1, event) == NULL, "%s twice: %s", event,
                     text);
      previous = position;
    }
}

/* Sends a stream whose first server behaves as PATH says, and checks that the caller
   gets the whole of it as one response. */
static void
check_stream_resumes (const char *path)
{
  PlatformFixture *fixture = platform_fixture_create ();
  RawResponse response = platform_fixture_post (fixture, path, API_KEY_FIELD, "b");
  ck_assert_uint_eq (response.status, 200);
  ck_assert_msg (raw_response_is_complete (response.text), "%s", response.text);
  check_each_event_once (response.text);
  ck_assert (strstr (strstr (response.text, "HTTP/1.1") + 1, "HTTP/1.1") == NULL);
  ck_assert (platform_fixture_wait_until_idle (fixture));
  g_free (response.text);
  platform_fixture_destroy (fixture);
}

/* Guards against a body of another server within a stream, and against an end that
   such a server only seems to state. */
START_TEST (odd_continuation_of_a_stream_does_not_complete_it)
{
  PlatformFixture *fixture = platform_fixture_create ();
  static const char *const paths[] = { "/stream/a/cutbody", "/stream/a/cutempty" };
  for (gsize i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, paths[i], API_KEY_FIELD, "b");
      ck_assert_ptr_nonnull (strstr (response.text, "id: 2"));
      ck_assert_ptr_null (strstr (response.text, "POST"));
      ck_assert (!raw_response_is_complete (response.text));
      ck_assert_uint_eq (platform_fixture_count_runs (fixture, paths[i]), 2);
      g_free (response.text);
    }
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (stream_resumes_on_another_server_after_break)
{
  check_stream_resumes ("/stream/a/cut1");
}
END_TEST

/* A server that is cut off falls silent without a reset. */
START_TEST (stalled_stream_resumes_on_another_server)
{
  check_stream_resumes ("/stream/a/mute1");
}
END_TEST

START_TEST (stream_of_single_bytes_resumes_on_another_server)
{
  check_stream_resumes ("/stream/a/dribble1");
}
END_TEST

/* Guards against the orderly end of a killed server's connection that is taken for
   the end of its stream. */
START_TEST (stream_of_a_killed_server_is_not_complete)
{
  PlatformFixture *fixture = platform_fixture_create ();
  RawResponse response
      = platform_fixture_post (fixture, "/once/a/opencut", API_KEY_FIELD, "b");
  ck_assert_ptr_nonnull (strstr (response.text, "id: 2"));
  ck_assert (!raw_response_is_complete (response.text));
  g_free (response.text);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (stream_of_a_killed_server_goes_on_at_another)
{
  check_stream_resumes ("/stream/a/opencut1");
}
END_TEST

/* A server that leaves exits after its last stream, which is complete. */
START_TEST (last_stream_of_a_leaving_server_is_complete)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  char *request
      = caller_format_request ("POST", "/once/a/openlast", API_KEY_FIELD, "b");
  caller_send (fd, request);
  g_usleep (REPLICA_PAUSE_US / 2);
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    platform_fixture_put_server (fixture, i, "draining");
  RawResponse response = caller_receive (fd);
  ck_assert (raw_response_is_complete (response.text));
  raw_response_check (response, 200, "id: 6");
  g_free (request);
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Guards against a chunk after a response without a body, which the caller takes for
   a part of its next response. */
START_TEST (response_without_a_body_is_followed_by_the_next_one)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  char *requests[]
      = { caller_format_request ("POST", "/safe/a/nobody", API_KEY_FIELD, "b"),
          caller_format_request ("HEAD", "/safe/a/openevents", API_KEY_FIELD, ""),
          caller_format_request ("POST", "/safe/a/ok", API_KEY_FIELD, "b") };
  static const guint statuses[] = { 204, 200, 200 };
  for (gsize i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      char text[1024];
      guint status = 0;
      caller_send (fd, requests[i]);
      g_usleep (200000);
      ssize_t count = recv (fd, text, sizeof text - 1, MSG_DONTWAIT);
      ck_assert_int_gt (count, 0);
      text[count] = '\0';
      ck_assert_int_eq (sscanf (text, "HTTP/1.1 %u", &status), 1);
      ck_assert_uint_eq (status, statuses[i]);
      ck_assert_ptr_null (strstr (text, "\r\n0\r\n"));
      g_free (requests[i]);
    }
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (extra_response_is_not_passed_to_another_request)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  for (guint i = 0; i < 30; i++)
    {
      char path[64];
      char expected[96];
      g_snprintf (path, sizeof path, "/unsafe/%u/%s", i,
                  i % 2 == 0 ? "extra" : "ok");
      g_snprintf (expected, sizeof expected, "POST %s", path);
      if (i % 3 == 0)
        g_usleep (4000); /* in some rounds the extra response arrives first */
      RawResponse response = caller_post (fd, path, API_KEY_FIELD, "b");
      if (response.status == 200)
        ck_assert_msg (strstr (response.text, expected) != NULL, "%s",
                       response.text);
      g_free (response.text);
      ck_assert_uint_le (platform_fixture_count_runs (fixture, path), 1);
    }
  close (fd);
  platform_fixture_destroy (fixture);
}
END_TEST

static gboolean
wait_for_run (PlatformFixture *fixture, const char *path)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      if (platform_fixture_count_runs (fixture, path) > 0)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (request_is_cancelled_when_caller_disconnects)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  char *request = caller_format_request ("POST", "/safe/a/hang", API_KEY_FIELD, "b");
  caller_send (fd, request);
  ck_assert (wait_for_run (fixture, "/safe/a/hang"));
  close (fd);
  ck_assert (platform_fixture_wait_until_idle (fixture));
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/a/hang"), 1);
  g_free (request);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Bytes that are still on their way into a cut link are dropped with a reset, and
   retransmitted after a clean end of the connection. */
START_TEST (connection_of_given_up_request_is_reset)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fd = platform_fixture_connect (fixture);
  char *request = caller_format_request ("POST", "/safe/a/hang", API_KEY_FIELD, "");
  caller_send (fd, request);
  g_free (request);
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX
                    && platform_fixture_count_runs (fixture, "/safe/a/hang") == 0;
       i++)
    g_usleep (1000);
  close (fd);
  ck_assert (platform_fixture_wait_until_idle (fixture));
  ck_assert_uint_eq (replica_reset_count (fixture->replicas[0])
                         + replica_reset_count (fixture->replicas[1]),
                     1);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (requests_are_denied_with_the_matching_status)
{
  PlatformFixture *fixture = platform_fixture_create ();
  raw_response_check (platform_fixture_post (fixture, "/safe/ok", "", "b"), 401,
                      NULL);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", "X-Hornbeamwall-Key: no\r\n", "b"),
      401, NULL);
  raw_response_check (
      platform_fixture_post (fixture, "/none/ok", API_KEY_FIELD, "b"), 404, NULL);
  raw_response_check (platform_fixture_post (fixture, "/open/ok", "", "b"), 200,
                      NULL);
  char *large = g_strnfill (100001, 'x');
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, large), 413, NULL);
  g_free (large);
  char *wide = g_strnfill (5000, 'x');
  char *field = g_strconcat ("X-Wide: ", wide, "\r\n", NULL);
  raw_response_check (platform_fixture_post (fixture, "/safe/ok", field, "b"), 431,
                      NULL);
  g_free (field);
  g_free (wide);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/ok"), 0);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Posts to PATH until the response has STATUS. Returns FALSE on timeout. */
static gboolean
wait_for_status (PlatformFixture *fixture, const char *path,
                 const char *extra_fields, guint status)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, path, extra_fields, "b");
      guint got = response.status;
      g_free (response.text);
      if (got == status)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (config_changes_take_effect)
{
  PlatformFixture *fixture = platform_fixture_create ();
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, "b"), 200, NULL);
  platform_fixture_put_config (fixture, 9, "\"k2\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", API_KEY_FIELD, 401));
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", "X-Hornbeamwall-Key: k2\r\n", "b"),
      200, NULL);
  objects_compact_history (fixture->object_store);
  platform_fixture_put_config (fixture, 12, "\"k1\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", API_KEY_FIELD, 200));
  platform_fixture_put_config (fixture, 10, "\"k2\"");
  g_usleep (100000);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, "b"), 200, NULL);
  objects_set_behaviour (fixture->object_store, OBJECTS_UNAVAILABLE);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, "b"), 200, NULL);
  objects_set_behaviour (fixture->object_store, OBJECTS_NORMAL);
  platform_fixture_put_config (fixture, 20, "\"k2\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", API_KEY_FIELD, 401));
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (draining_server_gets_no_new_requests)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_put_server (fixture, 0, "draining");
  char path[64];
  guint consecutive = 0;
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      g_snprintf (path, sizeof path, "/safe/%u/ok", i);
      raw_response_check (platform_fixture_post (fixture, path, API_KEY_FIELD, "b"),
                          200, NULL);
      consecutive = replica_run_count (fixture->replicas[1], path) == 1
                        ? consecutive + 1
                        : 0;
      if (consecutive == 40)
        break;
      if (consecutive == 0)
        g_usleep (10000); /* the new server list has not arrived yet */
    }
  ck_assert_uint_eq (consecutive, 40);
  objects_set (fixture->object_store, "servers", "i-1", NULL);
  ck_assert (wait_for_status (fixture, "/safe/ok", API_KEY_FIELD, 503));
  platform_fixture_put_server (fixture, 0, "ready");
  ck_assert (wait_for_status (fixture, "/safe/ok", API_KEY_FIELD, 200));
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (draining_instance_completes_open_requests)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int idle = platform_fixture_connect (fixture);
  raw_response_check (caller_post (idle, "/safe/ok", API_KEY_FIELD, "b"), 200, NULL);
  int fd = platform_fixture_connect (fixture);
  char *request
      = caller_format_request ("POST", "/stream/a/events", API_KEY_FIELD, "b");
  caller_send (fd, request);
  hbw_instance_drain (fixture->instance);
  RawResponse response = caller_receive (fd);
  ck_assert_uint_eq (response.status, 200);
  ck_assert (raw_response_is_complete (response.text));
  g_free (response.text);
  close (fd);
  close (idle);
  g_free (request);
  platform_fixture_destroy (fixture);
}
END_TEST

/* A sink whose post() takes 50 ms. */
typedef struct
{
  HbwRequestCommandSink sink;
  atomic_bool entered;
  atomic_bool finished;
} SlowSink;

static void
post_command_slowly (HbwRequestCommandSink *sink, guint64 sequence G_GNUC_UNUSED,
                     const HbwRequestCommand *command G_GNUC_UNUSED)
{
  SlowSink *slow = caa_container_of (sink, SlowSink, sink);
  atomic_store (&slow->entered, TRUE);
  g_usleep (50000);
  atomic_store (&slow->finished, TRUE);
}

/* Guards against a use after free seen on a loaded machine: the event loop was freed
   while the control thread posted to it. */
static void
wait_for_stored_suspects (PlatformFixture *fixture, guint64 writes)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX
                    && objects_write_count (fixture->object_store) < writes;
       i++)
    g_usleep (10000);
  ck_assert_uint_ge (objects_write_count (fixture->object_store), writes);
}

static gboolean
all_are_up (PlatformFixture *fixture)
{
  return replica_is_up (fixture->replicas[0])
         && replica_is_up (fixture->replicas[1]);
}

static void
wait_until_up (PlatformFixture *fixture)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX && !all_are_up (fixture); i++)
    g_usleep (10000);
}

/* The only instance is restarted after the request has failed two servers. What it
   knew is in the store, also if the response to the first write was lost. */
START_TEST (quarantined_request_is_refused_after_restart)
{
  for (guint lost_responses = 0; lost_responses <= 1; lost_responses++)
    {
      PlatformFixture *fixture = platform_fixture_create ();
      objects_drop_write_responses (fixture->object_store, lost_responses);
      RawResponse response
          = platform_fixture_post (fixture, "/safe/a/crash", API_KEY_FIELD, "b");
      ck_assert_uint_ne (response.status, 200);
      g_free (response.text);
      ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/a/crash"), 2);
      wait_for_stored_suspects (fixture, 1);
      platform_fixture_restart_instance (fixture);
      response
          = platform_fixture_post (fixture, "/safe/a/crash", API_KEY_FIELD, "b");
      raw_response_check (response, 503, "quarantined");
      ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/a/crash"), 2);
      wait_until_up (fixture);
      response = platform_fixture_post (fixture, "/safe/a/ok", API_KEY_FIELD, "b");
      raw_response_check (response, 200, NULL);
      platform_fixture_destroy (fixture);
    }
}
END_TEST

static guint
count_crashes (PlatformFixture *fixture)
{
  return replica_crash_count (fixture->replicas[0])
         + replica_crash_count (fixture->replicas[1]);
}

/* A request makes its servers fall silent, which looks like a slow server. */
START_TEST (request_that_silences_servers_is_quarantined)
{
  PlatformFixture *fixture = platform_fixture_create ();
  for (guint i = 0; i < 3; i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, "/safe/a/silent", API_KEY_FIELD, "");
      ck_assert_uint_ge (response.status, 400);
      g_free (response.text);
      wait_until_up (fixture);
      /* The servers are probed by other requests. */
      for (guint k = 0; k < 12; k++)
        {
          response
              = platform_fixture_post (fixture, "/safe/b/ok", API_KEY_FIELD, "");
          g_free (response.text);
          g_usleep (100000);
        }
    }
  ck_assert_uint_eq (count_crashes (fixture), 2);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/b/ok", API_KEY_FIELD, ""), 200, NULL);
  platform_fixture_destroy (fixture);
}
END_TEST

/* A slow server answers nothing for a while, but still accepts connections. */
START_TEST (request_that_times_out_on_slow_servers_is_not_quarantined)
{
  PlatformFixture *fixture = platform_fixture_create ();
  for (guint i = 0; i < 3; i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, "/safe/a/hang4", API_KEY_FIELD, "");
      g_free (response.text);
    }
  raw_response_check (
      platform_fixture_post (fixture, "/safe/a/hang4", API_KEY_FIELD, ""), 200,
      NULL);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Sends requests for SECONDS; returns how many of them server 0 received.  Sets SENT
   to their number. */
static guint
count_received_of (PlatformFixture *fixture, double seconds, guint *sent)
{
  int fd = platform_fixture_connect (fixture);
  guint before = replica_received_count (fixture->replicas[0]);
  gint64 end_us = g_get_monotonic_time () + (gint64) (seconds * G_USEC_PER_SEC);
  for (*sent = 0; g_get_monotonic_time () < end_us; (*sent)++)
    {
      raw_response_check (caller_post (fd, "/safe/b/ok", API_KEY_FIELD, ""), 200,
                          NULL);
      g_usleep (10000);
    }
  close (fd);
  return replica_received_count (fixture->replicas[0]) - before;
}

static guint
count_received_in (PlatformFixture *fixture, double seconds)
{
  guint sent;
  return count_received_of (fixture, seconds, &sent);
}

/* Checks that server 0 gets a share of the requests that no limit and no pause would
   leave to it, however many the machine can send. */
static void
check_unlimited (PlatformFixture *fixture)
{
  guint sent;
  guint received = count_received_of (fixture, 2, &sent);
  ck_assert_msg (4 * received >= sent && received >= 3, "%u of %u", received, sent);
}

START_TEST (limit_of_server_is_kept_until_it_is_lifted)
{
  PlatformFixture *fixture = platform_fixture_create ();
  replica_set_fields (fixture->replicas[0], "Server-Limit: 2\r\n");
  count_received_in (fixture, 0.5);
  ck_assert_uint_le (count_received_in (fixture, 3), 11);
  /* A limit that cannot be read changes nothing. */
  replica_set_fields (fixture->replicas[0], "Server-Limit: -3\r\n");
  ck_assert_uint_le (count_received_in (fixture, 2), 8);
  replica_set_fields (fixture->replicas[0], "");
  count_received_in (fixture, 1.5);
  check_unlimited (fixture);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (server_that_says_that_it_is_leaving_gets_no_requests)
{
  PlatformFixture *fixture = platform_fixture_create ();
  replica_set_fields (fixture->replicas[0], "Server-Leaving: 1\r\n");
  ck_assert_uint_ge (count_received_in (fixture, 0.5), 1);
  ck_assert_uint_eq (count_received_in (fixture, 1), 0);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (server_gets_no_requests_in_the_pause_that_it_asks_for)
{
  static const char *const ignored[]
      = { "-1", "abc", "", "1.5.2", "Fri, 04 Dec 2026 09:00:00 GMT" };
  PlatformFixture *fixture = platform_fixture_create ();
  replica_set_refusing (fixture->replicas[0], TRUE);
  for (guint i = 0; i < G_N_ELEMENTS (ignored); i++)
    {
      char *fields = g_strdup_printf ("Retry-After: %s\r\n", ignored[i]);
      replica_set_fields (fixture->replicas[0], fields);
      ck_assert_uint_ge (count_received_in (fixture, 0.6), 3);
      g_free (fields);
    }
  replica_set_fields (fixture->replicas[0], "Retry-After: 1.5\r\n");
  count_received_in (fixture, 0.2);
  replica_set_refusing (fixture->replicas[0], FALSE);
  ck_assert_uint_eq (count_received_in (fixture, 1), 0);
  count_received_in (fixture, 0.5);
  check_unlimited (fixture);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (bytes_without_end_are_cut_off)
{
  static const char *const paths[]
      = { "/safe/a/flood", "/safe/a/headflood", "/safe/a/bodyflood",
          "/stream/a/headflood", "/stream/a/bodyflood" };
  PlatformFixture *fixture = platform_fixture_create ();
  gsize before = suite_count_resident_bytes (); /* of instance and servers */
  for (guint i = 0; i < G_N_ELEMENTS (paths); i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, paths[i], API_KEY_FIELD, "");
      ck_assert_msg (response.status != 200, "%s", paths[i]);
      g_free (response.text);
      raw_response_check (
          platform_fixture_post (fixture, "/safe/b/ok", API_KEY_FIELD, ""), 200,
          NULL);
      ck_assert (platform_fixture_wait_until_idle (fixture));
    }
  ck_assert_uint_le (suite_count_resident_bytes (), before + FLOOD_BYTES_MAX);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (removed_sink_is_no_longer_called)
{
  static const HbwRequestCommandSinkClass class = { post_command_slowly };
  SlowSink slow = { .sink = { &class } };
  PlatformFixture *fixture = platform_fixture_create ();
  HbwControl *control = hbw_instance_control (fixture->instance);
  hbw_control_set_command_sink (control, &slow.sink);
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = hbw_control_next_request_sequence (control);
  g_strlcpy (event.arrival.spec.pool, "nowhere", sizeof event.arrival.spec.pool);
  hbw_control_submit (control, &event, NULL);
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX && !atomic_load (&slow.entered);
       i++)
    g_usleep (1000);
  ck_assert (atomic_load (&slow.entered));
  hbw_control_set_command_sink (control, NULL);
  ck_assert (atomic_load (&slow.finished));
  platform_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("traffic");
  TCase *tests = tcase_create ("traffic");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, request_is_forwarded_without_forged_fields);
  tcase_add_test (tests, smuggled_request_is_not_executed);
  tcase_add_test (tests, connections_to_servers_are_reused);
  tcase_add_test (tests, broken_response_is_retried_only_where_allowed);
  tcase_add_test (tests, truncated_response_never_looks_complete);
  tcase_add_test (tests, stream_resumes_on_another_server_after_break);
  tcase_add_test (tests, odd_continuation_of_a_stream_does_not_complete_it);
  tcase_add_test (tests, stalled_stream_resumes_on_another_server);
  tcase_add_test (tests, stream_of_single_bytes_resumes_on_another_server);
  tcase_add_test (tests, stream_of_a_killed_server_is_not_complete);
  tcase_add_test (tests, stream_of_a_killed_server_goes_on_at_another);
  tcase_add_test (tests, last_stream_of_a_leaving_server_is_complete);
  tcase_add_test (tests, response_without_a_body_is_followed_by_the_next_one);
  tcase_add_test (tests, extra_response_is_not_passed_to_another_request);
  tcase_add_test (tests, request_is_cancelled_when_caller_disconnects);
  tcase_add_test (tests, connection_of_given_up_request_is_reset);
  tcase_add_test (tests, requests_are_denied_with_the_matching_status);
  tcase_add_test (tests, config_changes_take_effect);
  tcase_add_test (tests, draining_server_gets_no_new_requests);
  tcase_add_test (tests, draining_instance_completes_open_requests);
  tcase_add_test (tests, quarantined_request_is_refused_after_restart);
  tcase_add_test (tests, request_that_silences_servers_is_quarantined);
  tcase_add_test (tests, request_that_times_out_on_slow_servers_is_not_quarantined);
  tcase_add_test (tests, limit_of_server_is_kept_until_it_is_lifted);
  tcase_add_test (tests, server_that_says_that_it_is_leaving_gets_no_requests);
  tcase_add_test (tests, server_gets_no_requests_in_the_pause_that_it_asks_for);
  tcase_add_test (tests, bytes_without_end_are_cut_off);
  tcase_add_test (tests, removed_sink_is_no_longer_called);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
