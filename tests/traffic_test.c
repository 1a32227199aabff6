/*
 * Tests of the data path on the users' platform over HTTP: a caller on plain
 * sockets, one instance, two backend servers and the object store.
 */
#include "bed.h"
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

START_TEST (request_is_forwarded_without_forged_fields)
{
  Bed *fixture = bed_create ();
  Answer response = bed_ask (fixture, "/safe/a%20b/ok?x=%2F&y",
                             BED_KEY "X-Hornbeamwall-Tenant: forged\r\nX-Own: 7\r\n",
                             "the body");
  answer_expect (response, 200, "POST /safe/a%20b/ok?x=%2F&y the body");
  for (guint i = 0; i < BED_SERVERS; i++)
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
  int fd = bed_dial (fixture);
  caller_say (
      fd,
      "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" BED_KEY
      "X-Hornbeamwall-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  g_usleep (20000);
  caller_say (fd, "c\r\n4\r\ndefg\r\n0\r\n\r\n");
  answer_expect (caller_hear (fd), 200, "POST /safe/ok abcdefg");
  close (fd);
  bed_destroy (fixture);
}
END_TEST

START_TEST (smuggled_request_is_not_executed)
{
  Bed *fixture = bed_create ();
  int fd = bed_dial (fixture);
  caller_say (
      fd, "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" BED_KEY
          "X-Hornbeamwall-Attempt-Id: s\r\nContent-Length: 5\r\n"
          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /safe/in/ok HTTP/1.1\r\n"
          "Host: h.example\r\n\r\n");
  Answer response = caller_hear (fd);
  ck_assert_uint_eq (response.status, 400);
  g_free (response.text);
  close (fd);
  answer_expect (bed_ask (fixture, "/safe/with/ok", BED_KEY,
                          "POST /safe/in/ok HTTP/1.1\r\nHost: h.example\r\n\r\n"),
                 200, NULL);
  ck_assert_uint_eq (bed_runs (fixture, "/safe/in/ok"), 0);
  ck_assert_uint_eq (bed_runs (fixture, "/safe/ok"), 0);
  bed_destroy (fixture);
}
END_TEST

START_TEST (connections_to_servers_are_reused)
{
  Bed *fixture = bed_create ();
  int fd = bed_dial (fixture);
  for (guint i = 0; i < 20; i++)
    {
      Answer response = caller_ask (fd, "/safe/ok", BED_KEY, "b");
      answer_expect (response, 200, NULL);
    }
  close (fd);
  ck_assert_uint_eq (bed_runs (fixture, "/safe/ok"), 20);
  ck_assert_uint_le (bed_connections (fixture), 2 * BED_SERVERS);
  bed_destroy (fixture);
}
END_TEST

/* A behaviour of the backend server and what the caller and the servers must see. */
typedef struct
{
  const char *path;
  guint status;
  guint runs;
  const char *text;
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
  Bed *fixture = bed_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Answer response = bed_ask (fixture, cases[i].path, BED_KEY, "b");
      ck_assert_msg (response.status == cases[i].status, "%s: %u %s", cases[i].path,
                     response.status, response.text);
      if (cases[i].text != NULL)
        ck_assert_msg (strstr (response.text, cases[i].text) != NULL, "%s: %s",
                       cases[i].path, response.text);
      ck_assert_msg (bed_runs (fixture, cases[i].path) == cases[i].runs,
                     "%s ran %u times", cases[i].path,
                     bed_runs (fixture, cases[i].path));
      g_free (response.text);
    }
  bed_destroy (fixture);
}
END_TEST

START_TEST (truncated_response_never_looks_complete)
{
  Bed *fixture = bed_create ();
  Answer response = bed_ask (fixture, "/unsafe/a/torn", BED_KEY, "b");
  ck_assert_msg (!answer_is_whole (response.text) || response.status != 200, "%s",
                 response.text);
  g_free (response.text);
  response = bed_ask (fixture, "/once/a/cut", BED_KEY, "b");
  ck_assert_uint_eq (response.status, 200);
  ck_assert (response.closed);
  ck_assert (!answer_is_whole (response.text));
  ck_assert (strstr (response.text, "id: 2\n") != NULL);
  ck_assert (strstr (response.text, "id: 3\n") == NULL);
  g_free (response.text);
  bed_destroy (fixture);
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

START_TEST (stream_resumes_on_another_server_after_break)
{
  Bed *fixture = bed_create ();
  Answer response = bed_ask (fixture, "/stream/a/cut1", BED_KEY, "b");
  ck_assert_uint_eq (response.status, 200);
  ck_assert_msg (answer_is_whole (response.text), "%s", response.text);
  check_each_event_once (response.text);
  ck_assert (strstr (strstr (response.text, "HTTP/1.1") + 1, "HTTP/1.1") == NULL);
  g_free (response.text);
  bed_destroy (fixture);
}
END_TEST

/* Guards against inc-a006 of kerlann-ring: a zone was cut off in the middle of a
   stream and the connection was not reset. */
START_TEST (stalled_stream_resumes_on_another_server)
{
  Bed *fixture = bed_create ();
  Answer response = bed_ask (fixture, "/stream/a/mute1", BED_KEY, "b");
  ck_assert_uint_eq (response.status, 200);
  ck_assert_msg (answer_is_whole (response.text), "%s", response.text);
  check_each_event_once (response.text);
  ck_assert (bed_wait_until_idle (fixture));
  g_free (response.text);
  bed_destroy (fixture);
}
END_TEST

START_TEST (extra_response_is_not_passed_to_another_request)
{
  Bed *fixture = bed_create ();
  int fd = bed_dial (fixture);
  for (guint i = 0; i < 30; i++)
    {
      char path[64];
      char expected[96];
      g_snprintf (path, sizeof path, "/unsafe/%u/%s", i,
                  i % 2 == 0 ? "extra" : "ok");
      g_snprintf (expected, sizeof expected, "POST %s", path);
      if (i % 3 == 0)
        g_usleep (4000); /* in some rounds the extra response arrives first */
      Answer response = caller_ask (fd, path, BED_KEY, "b");
      if (response.status == 200)
        ck_assert_msg (strstr (response.text, expected) != NULL, "%s",
                       response.text);
      g_free (response.text);
      ck_assert_uint_le (bed_runs (fixture, path), 1);
    }
  close (fd);
  bed_destroy (fixture);
}
END_TEST

static gboolean
wait_for_run (Bed *fixture, const char *path)
{
  for (guint i = 0; i < BED_WAIT_STEPS; i++)
    {
      if (bed_runs (fixture, path) > 0)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (request_is_cancelled_when_caller_disconnects)
{
  Bed *fixture = bed_create ();
  int fd = bed_dial (fixture);
  char *request = caller_request ("POST", "/safe/a/hang", BED_KEY, "b");
  caller_say (fd, request);
  ck_assert (wait_for_run (fixture, "/safe/a/hang"));
  close (fd);
  ck_assert (bed_wait_until_idle (fixture));
  ck_assert_uint_eq (bed_runs (fixture, "/safe/a/hang"), 1);
  g_free (request);
  bed_destroy (fixture);
}
END_TEST

START_TEST (requests_are_denied_with_the_matching_status)
{
  Bed *fixture = bed_create ();
  answer_expect (bed_ask (fixture, "/safe/ok", "", "b"), 401, NULL);
  answer_expect (bed_ask (fixture, "/safe/ok", "X-Hornbeamwall-Key: no\r\n", "b"),
                 401, NULL);
  answer_expect (bed_ask (fixture, "/none/ok", BED_KEY, "b"), 404, NULL);
  answer_expect (bed_ask (fixture, "/open/ok", "", "b"), 200, NULL);
  char *large = g_strnfill (100001, 'x');
  answer_expect (bed_ask (fixture, "/safe/ok", BED_KEY, large), 413, NULL);
  g_free (large);
  char *wide = g_strnfill (5000, 'x');
  char *field = g_strconcat ("X-Wide: ", wide, "\r\n", NULL);
  answer_expect (bed_ask (fixture, "/safe/ok", field, "b"), 431, NULL);
  g_free (field);
  g_free (wide);
  ck_assert_uint_eq (bed_runs (fixture, "/safe/ok"), 0);
  bed_destroy (fixture);
}
END_TEST

/* Posts to PATH until the response has STATUS. Returns FALSE on timeout. */
static gboolean
wait_for_status (Bed *fixture, const char *path, const char *extra_fields,
                 guint status)
{
  for (guint i = 0; i < BED_WAIT_STEPS; i++)
    {
      Answer response = bed_ask (fixture, path, extra_fields, "b");
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
  Bed *fixture = bed_create ();
  answer_expect (bed_ask (fixture, "/safe/ok", BED_KEY, "b"), 200, NULL);
  bed_put_config (fixture, 9, "\"k2\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", BED_KEY, 401));
  answer_expect (bed_ask (fixture, "/safe/ok", "X-Hornbeamwall-Key: k2\r\n", "b"),
                 200, NULL);
  objects_compact_history (fixture->objects);
  bed_put_config (fixture, 12, "\"k1\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", BED_KEY, 200));
  bed_put_config (fixture, 10, "\"k2\"");
  g_usleep (100000);
  answer_expect (bed_ask (fixture, "/safe/ok", BED_KEY, "b"), 200, NULL);
  objects_set_behaviour (fixture->objects, OBJECTS_UNAVAILABLE);
  answer_expect (bed_ask (fixture, "/safe/ok", BED_KEY, "b"), 200, NULL);
  objects_set_behaviour (fixture->objects, OBJECTS_NORMAL);
  bed_put_config (fixture, 20, "\"k2\"");
  ck_assert (wait_for_status (fixture, "/safe/ok", BED_KEY, 401));
  bed_destroy (fixture);
}
END_TEST

START_TEST (draining_server_gets_no_new_requests)
{
  Bed *fixture = bed_create ();
  bed_put_server (fixture, 0, "draining");
  char path[64];
  guint consecutive = 0;
  for (guint i = 0; i < BED_WAIT_STEPS; i++)
    {
      g_snprintf (path, sizeof path, "/safe/%u/ok", i);
      answer_expect (bed_ask (fixture, path, BED_KEY, "b"), 200, NULL);
      consecutive = replica_run_count (fixture->replicas[1], path) == 1
                        ? consecutive + 1
                        : 0;
      if (consecutive == 40)
        break;
      if (consecutive == 0)
        g_usleep (10000); /* the new server list has not arrived yet */
    }
  ck_assert_uint_eq (consecutive, 40);
  objects_set (fixture->objects, "servers", "i-1", NULL);
  ck_assert (wait_for_status (fixture, "/safe/ok", BED_KEY, 503));
  bed_put_server (fixture, 0, "ready");
  ck_assert (wait_for_status (fixture, "/safe/ok", BED_KEY, 200));
  bed_destroy (fixture);
}
END_TEST

START_TEST (draining_instance_completes_open_requests)
{
  Bed *fixture = bed_create ();
  int idle = bed_dial (fixture);
  answer_expect (caller_ask (idle, "/safe/ok", BED_KEY, "b"), 200, NULL);
  int fd = bed_dial (fixture);
  char *request = caller_request ("POST", "/stream/a/events", BED_KEY, "b");
  caller_say (fd, request);
  hbw_instance_drain (fixture->instance);
  Answer response = caller_hear (fd);
  ck_assert_uint_eq (response.status, 200);
  ck_assert (answer_is_whole (response.text));
  g_free (response.text);
  close (fd);
  close (idle);
  g_free (request);
  bed_destroy (fixture);
}
END_TEST

/* A sink whose post() takes 50 ms. */
typedef struct
{
  HbwRequestCommandSink sink;
  atomic_bool entered;
  atomic_bool left;
} SlowSink;

static void
post_order_slowly (HbwRequestCommandSink *sink, guint64 sequence G_GNUC_UNUSED,
                   const HbwRequestCommand *order G_GNUC_UNUSED)
{
  SlowSink *slow = caa_container_of (sink, SlowSink, sink);
  atomic_store (&slow->entered, TRUE);
  g_usleep (50000);
  atomic_store (&slow->left, TRUE);
}

/* Guards against a use after free seen on a loaded machine: the event loop was freed
   while the control thread posted to it. */
START_TEST (removed_sink_is_no_longer_called)
{
  static const HbwRequestCommandSinkClass class = { post_order_slowly };
  SlowSink slow = { .sink = { &class } };
  Bed *fixture = bed_create ();
  HbwControl *control = hbw_instance_control (fixture->instance);
  hbw_control_set_command_sink (control, &slow.sink);
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = hbw_control_next_request_sequence (control);
  g_strlcpy (event.arrival.spec.pool, "nowhere", sizeof event.arrival.spec.pool);
  hbw_control_submit (control, &event, NULL);
  for (guint i = 0; i < BED_WAIT_STEPS && !atomic_load (&slow.entered); i++)
    g_usleep (1000);
  ck_assert (atomic_load (&slow.entered));
  hbw_control_set_command_sink (control, NULL);
  ck_assert (atomic_load (&slow.left));
  bed_destroy (fixture);
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
  tcase_add_test (tests, stalled_stream_resumes_on_another_server);
  tcase_add_test (tests, extra_response_is_not_passed_to_another_request);
  tcase_add_test (tests, request_is_cancelled_when_caller_disconnects);
  tcase_add_test (tests, requests_are_denied_with_the_matching_status);
  tcase_add_test (tests, config_changes_take_effect);
  tcase_add_test (tests, draining_server_gets_no_new_requests);
  tcase_add_test (tests, draining_instance_completes_open_requests);
  tcase_add_test (tests, removed_sink_is_no_longer_called);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
