/*
 * Tests of the data path on the users' platform: a caller, one instance, two backend
 * servers and the object store, over HTTP on plain sockets.
 */
#include "suite.h"

#include "hornbeamwall/runtime/instance.h"
#include "hornbeamwall/runtime/order.h"
#include "standin/listen.h"
#include "standin/objects.h"
#include "standin/replica.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/compiler.h>

/* How long a test waits for something to happen, in steps of 10 ms. */
#define WAIT_STEPS 1000

#define SERVERS 2

typedef struct
{
  Objects *objects;
  Replica *replicas[SERVERS];
  HbwClock *clock;
  HbwSettings *settings;
  HbwInstance *instance;
} Bed;

static void
put_config (Bed *bed, guint version, const char *keys)
{
  char *text = g_strdup_printf (
      "{\"version\":%u,\"routes\":["
      "{\"name\":\"safe\",\"hostname\":\"h.example\",\"path_prefix\":\"/safe/\","
      "\"route_type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"unsafe\",\"hostname\":\"h.example\",\"path_prefix\":\"/unsafe/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1},"
      "{\"name\":\"brief\",\"hostname\":\"h.example\",\"path_prefix\":\"/brief/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":200,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":1},"
      "{\"name\":\"stream\",\"hostname\":\"h.example\",\"path_prefix\":\"/stream/\","
      "\"route_type\":\"streaming\",\"resumable\":true,\"timeout_ms\":3000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"once\",\"hostname\":\"h.example\",\"path_prefix\":\"/once/\","
      "\"route_type\":\"streaming\",\"resumable\":false,\"timeout_ms\":3000,"
      "\"latency_goal_ms\":100,\"gap_target_ms\":250,\"priority\":0,"
      "\"backend\":\"b\",\"max_attempts\":2},"
      "{\"name\":\"open\",\"hostname\":\"h.example\",\"path_prefix\":\"/open/\","
      "\"route_type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":2,\"anonymous\":true}],"
      "\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\"}],"
      "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[%s]}]}",
      version, keys);
  objects_set (bed->objects, "config", "main", text);
  g_free (text);
}

static void
put_server (Bed *bed, guint index, const char *state)
{
  char name[16];
  g_snprintf (name, sizeof name, "i-%u", index);
  char *text = g_strdup_printf (
      "{\"backend\":\"b\",\"address\":\"127.0.0.1:%u\",\"zone\":\"z\",\"slots\":8,"
      "\"state\":\"%s\",\"sequence\":1,\"born\":1}",
      replica_port (bed->replicas[index]), state);
  objects_set (bed->objects, "servers", name, text);
  g_free (text);
}

static HbwSettings *
make_settings (const Bed *bed)
{
  HbwError error;
  char *text = g_strdup_printf (
      "{\"name\":\"i1\",\"data_centre\":\"z\",\"interface\":\"platform\","
      "\"policy\":\"direct\",\"caller_address\":\"127.0.0.1:0\","
      "\"admin_address\":\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:0\","
      "\"platform_address\":\"127.0.0.1:%u\",\"load_in_answers\":true,"
      "\"revocation_ms\":60000,\"retry_ratio\":1.0,\"retry_extra\":1000,"
      "\"connect_timeout_ms\":500,\"stop_grace_s\":8}",
      objects_port (bed->objects));
  HbwSettings *settings = hbw_settings_parse (text, strlen (text), &error);
  ck_assert_msg (settings != NULL, "%s", error.message);
  g_free (text);
  return settings;
}

static gboolean
is_ready (Bed *bed)
{
  return hbw_control_is_ready (hbw_instance_control (bed->instance));
}

static Bed *
bed_create (void)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  Bed *bed = g_new0 (Bed, 1);
  bed->objects = objects_create ("127.0.0.1:0", 1);
  for (guint i = 0; i < SERVERS; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "i-%u", i);
      bed->replicas[i] = replica_create ("127.0.0.1:0", id);
    }
  /* What other writers left behind names no server; the others hold. */
  objects_set (bed->objects, "servers", "a-odd", "{\"backend\":[],\"slots\":null}");
  objects_set (bed->objects, "servers", "z-odd", "\"text\"");
  for (guint i = 0; i < SERVERS; i++)
    put_server (bed, i, "ready");
  put_config (bed, 3, "\"k1\",\"k2\"");
  bed->settings = make_settings (bed);
  bed->clock = hbw_clock_create_system ();
  bed->instance = hbw_instance_create (bed->settings, bed->clock, &error);
  ck_assert_msg (bed->instance != NULL, "%s", error.message);
  for (guint i = 0; i < WAIT_STEPS && !is_ready (bed); i++)
    g_usleep (10000);
  ck_assert (is_ready (bed));
  return bed;
}

static void
bed_destroy (Bed *bed)
{
  hbw_instance_destroy (bed->instance);
  hbw_settings_destroy (bed->settings);
  hbw_clock_destroy (bed->clock);
  for (guint i = 0; i < SERVERS; i++)
    replica_destroy (bed->replicas[i]);
  objects_destroy (bed->objects);
  g_free (bed);
}

static guint
runs (Bed *bed, const char *path)
{
  return replica_runs_at_all (bed->replicas, SERVERS, path);
}

static guint
connections (Bed *bed)
{
  guint count = 0;
  for (guint i = 0; i < SERVERS; i++)
    count += replica_connections (bed->replicas[i]);
  return count;
}

/* --- a caller
 * ------------------------------------------------------------------------- */

static int
dial (Bed *bed)
{
  const struct sockaddr_in address
      = standin_loopback (hbw_instance_caller_port (bed->instance));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *) &address, sizeof address), 0);
  return fd;
}

static void
say (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), strlen (text));
}

typedef struct
{
  guint status;
  char *text;      /* head and body, chunks as they came */
  gboolean closed; /* by the other side */
  gboolean reset;
} Answer;

static gboolean
is_whole (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  if (end == NULL)
    return FALSE;
  const char *length = strstr (text, "Content-Length: ");
  if (length != NULL && length < end)
    return strlen (end + 4) >= strtoul (length + 16, NULL, 10);
  return g_str_has_suffix (text, "0\r\n\r\n") && strlen (end) > 4;
}

/* Reads one answer, or up to the end of the connection. */
static Answer
hear (int fd)
{
  Answer answer = { 0, NULL, FALSE, FALSE };
  GString *text = g_string_new (NULL);
  struct pollfd input = { fd, POLLIN, 0 };
  while (!is_whole (text->str))
    {
      char bytes[4096];
      ck_assert_msg (poll (&input, 1, 20000) > 0, "no answer: %s", text->str);
      ssize_t count = recv (fd, bytes, sizeof bytes, 0);
      answer.reset = count < 0;
      answer.closed = count <= 0;
      if (count <= 0)
        break;
      g_string_append_len (text, bytes, count);
    }
  sscanf (text->str, "HTTP/1.1 %u", &answer.status);
  answer.text = g_string_free (text, FALSE);
  return answer;
}

static guint last_id;

static char *
make_request (const char *method, const char *path, const char *more,
              const char *body)
{
  return g_strdup_printf ("%s %s HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Hornbeamwall-Attempt-Id: id%u\r\n"
                          "X-Hornbeamwall-Deadline-Ms: 2500\r\n"
                          "%sContent-Length: %zu\r\n\r\n%s",
                          method, path, ++last_id, more, strlen (body), body);
}

#define KEY "X-Hornbeamwall-Key: k1\r\n"

static Answer
ask_on (int fd, const char *path, const char *more, const char *body)
{
  char *request = make_request ("POST", path, more, body);
  say (fd, request);
  g_free (request);
  return hear (fd);
}

static Answer
ask (Bed *bed, const char *path, const char *more, const char *body)
{
  int fd = dial (bed);
  Answer answer = ask_on (fd, path, more, body);
  close (fd);
  return answer;
}

static void
expect (Answer answer, guint status, const char *text)
{
  ck_assert_msg (answer.status == status, "%u: %s", answer.status, answer.text);
  if (text != NULL)
    ck_assert_msg (strstr (answer.text, text) != NULL, "%s", answer.text);
  g_free (answer.text);
}

/* --- tests
 * ------------------------------------------------------------------------------ */

static gboolean
wait_until_idle (Bed *bed)
{
  for (guint i = 0; i < WAIT_STEPS; i++)
    {
      if (replica_busy (bed->replicas[0]) + replica_busy (bed->replicas[1]) == 0)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (request_reaches_the_server_as_it_came)
{
  Bed *bed = bed_create ();
  Answer answer
      = ask (bed, "/safe/a%20b/ok?x=%2F&y",
             KEY "X-Hornbeamwall-Tenant: forged\r\nX-Own: 7\r\n", "the body");
  expect (answer, 200, "POST /safe/a%20b/ok?x=%2F&y the body");
  for (guint i = 0; i < SERVERS; i++)
    {
      char *head = replica_last_head (bed->replicas[i]);
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
  int fd = dial (bed);
  say (fd,
       "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" KEY
       "X-Hornbeamwall-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab");
  g_usleep (20000);
  say (fd, "c\r\n4\r\ndefg\r\n0\r\n\r\n");
  expect (hear (fd), 200, "POST /safe/ok abcdefg");
  close (fd);
  bed_destroy (bed);
}
END_TEST

START_TEST (smuggled_requests_run_nowhere)
{
  Bed *bed = bed_create ();
  int fd = dial (bed);
  say (fd, "POST /safe/ok HTTP/1.1\r\nHost: h.example\r\n" KEY
           "X-Hornbeamwall-Attempt-Id: s\r\nContent-Length: 5\r\n"
           "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /safe/in/ok HTTP/1.1\r\n"
           "Host: h.example\r\n\r\n");
  Answer answer = hear (fd);
  ck_assert_uint_eq (answer.status, 400);
  g_free (answer.text);
  close (fd);
  expect (ask (bed, "/safe/with/ok", KEY,
               "POST /safe/in/ok HTTP/1.1\r\nHost: h.example\r\n\r\n"),
          200, NULL);
  ck_assert_uint_eq (runs (bed, "/safe/in/ok"), 0);
  ck_assert_uint_eq (runs (bed, "/safe/ok"), 0);
  bed_destroy (bed);
}
END_TEST

START_TEST (connections_to_servers_are_kept)
{
  Bed *bed = bed_create ();
  int fd = dial (bed);
  for (guint i = 0; i < 20; i++)
    {
      Answer answer = ask_on (fd, "/safe/ok", KEY, "b");
      expect (answer, 200, NULL);
    }
  close (fd);
  ck_assert_uint_eq (runs (bed, "/safe/ok"), 20);
  ck_assert_uint_le (connections (bed), 2 * SERVERS);
  bed_destroy (bed);
}
END_TEST

/* What a server may do, and what the caller and the servers must then see. */
typedef struct
{
  const char *path;
  guint status;
  guint runs;
  const char *text;
} Case;

START_TEST (broken_answers_are_repeated_only_where_allowed)
{
  static const Case cases[] = {
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
  Bed *bed = bed_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      Answer answer = ask (bed, cases[i].path, KEY, "b");
      ck_assert_msg (answer.status == cases[i].status, "%s: %u %s", cases[i].path,
                     answer.status, answer.text);
      if (cases[i].text != NULL)
        ck_assert_msg (strstr (answer.text, cases[i].text) != NULL, "%s: %s",
                       cases[i].path, answer.text);
      ck_assert_msg (runs (bed, cases[i].path) == cases[i].runs, "%s ran %u times",
                     cases[i].path, runs (bed, cases[i].path));
      g_free (answer.text);
    }
  bed_destroy (bed);
}
END_TEST

START_TEST (torn_answer_never_looks_whole)
{
  Bed *bed = bed_create ();
  Answer answer = ask (bed, "/unsafe/a/torn", KEY, "b");
  ck_assert_msg (!is_whole (answer.text) || answer.status != 200, "%s", answer.text);
  g_free (answer.text);
  answer = ask (bed, "/once/a/cut", KEY, "b");
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (answer.closed);
  ck_assert (!is_whole (answer.text));
  ck_assert (strstr (answer.text, "id: 2\n") != NULL);
  ck_assert (strstr (answer.text, "id: 3\n") == NULL);
  g_free (answer.text);
  bed_destroy (bed);
}
END_TEST

/* Events are all there, in their order, and none twice. */
static void
expect_each_event_once (const char *text)
{
  const char *before = text;
  for (guint i = 1; i <= 6; i++)
    {
      char event[16];
      g_snprintf (event, sizeof event, "id: %u\n", i);
      const char *at = strstr (text, event);
      ck_assert_msg (at != NULL && at > before, "%s: %s", event, text);
      ck_assert_msg (strstr (at + 1, event) == NULL, "%s twice: %s", event, text);
      before = at;
    }
}

START_TEST (stream_goes_on_at_another_server)
{
  Bed *bed = bed_create ();
  Answer answer = ask (bed, "/stream/a/cut1", KEY, "b");
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_msg (is_whole (answer.text), "%s", answer.text);
  expect_each_event_once (answer.text);
  ck_assert (strstr (strstr (answer.text, "HTTP/1.1") + 1, "HTTP/1.1") == NULL);
  g_free (answer.text);
  bed_destroy (bed);
}
END_TEST

/* Seen in inc-a006 of kerlann-ring: a zone was cut off in mid-stream, without a
 * reset. */
START_TEST (silent_server_is_left_for_another)
{
  Bed *bed = bed_create ();
  Answer answer = ask (bed, "/stream/a/mute1", KEY, "b");
  ck_assert_uint_eq (answer.status, 200);
  ck_assert_msg (is_whole (answer.text), "%s", answer.text);
  expect_each_event_once (answer.text);
  ck_assert (wait_until_idle (bed));
  g_free (answer.text);
  bed_destroy (bed);
}
END_TEST

START_TEST (second_answers_belong_to_no_request)
{
  Bed *bed = bed_create ();
  int fd = dial (bed);
  for (guint i = 0; i < 30; i++)
    {
      char path[64];
      char expected[96];
      g_snprintf (path, sizeof path, "/unsafe/%u/%s", i,
                  i % 2 == 0 ? "extra" : "ok");
      g_snprintf (expected, sizeof expected, "POST %s", path);
      if (i % 3 == 0)
        g_usleep (4000); /* sometimes the second answer has come, sometimes not */
      Answer answer = ask_on (fd, path, KEY, "b");
      if (answer.status == 200)
        ck_assert_msg (strstr (answer.text, expected) != NULL, "%s", answer.text);
      g_free (answer.text);
      ck_assert_uint_le (runs (bed, path), 1);
    }
  close (fd);
  bed_destroy (bed);
}
END_TEST

static gboolean
wait_for_run (Bed *bed, const char *path)
{
  for (guint i = 0; i < WAIT_STEPS; i++)
    {
      if (runs (bed, path) > 0)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (server_hears_that_the_caller_has_gone)
{
  Bed *bed = bed_create ();
  int fd = dial (bed);
  char *request = make_request ("POST", "/safe/a/hang", KEY, "b");
  say (fd, request);
  ck_assert (wait_for_run (bed, "/safe/a/hang"));
  close (fd);
  ck_assert (wait_until_idle (bed));
  ck_assert_uint_eq (runs (bed, "/safe/a/hang"), 1);
  g_free (request);
  bed_destroy (bed);
}
END_TEST

START_TEST (callers_are_denied_only_for_what_is_known)
{
  Bed *bed = bed_create ();
  expect (ask (bed, "/safe/ok", "", "b"), 401, NULL);
  expect (ask (bed, "/safe/ok", "X-Hornbeamwall-Key: no\r\n", "b"), 401, NULL);
  expect (ask (bed, "/none/ok", KEY, "b"), 404, NULL);
  expect (ask (bed, "/open/ok", "", "b"), 200, NULL);
  char *large = g_strnfill (100001, 'x');
  expect (ask (bed, "/safe/ok", KEY, large), 413, NULL);
  g_free (large);
  char *wide = g_strnfill (5000, 'x');
  char *field = g_strconcat ("X-Wide: ", wide, "\r\n", NULL);
  expect (ask (bed, "/safe/ok", field, "b"), 431, NULL);
  g_free (field);
  g_free (wide);
  ck_assert_uint_eq (runs (bed, "/safe/ok"), 0);
  bed_destroy (bed);
}
END_TEST

/* Polls until KEY gets STATUS. */
static gboolean
wait_for_status (Bed *bed, const char *path, const char *more, guint status)
{
  for (guint i = 0; i < WAIT_STEPS; i++)
    {
      Answer answer = ask (bed, path, more, "b");
      guint got = answer.status;
      g_free (answer.text);
      if (got == status)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (changes_of_the_config_are_followed)
{
  Bed *bed = bed_create ();
  expect (ask (bed, "/safe/ok", KEY, "b"), 200, NULL);
  put_config (bed, 9, "\"k2\"");
  ck_assert (wait_for_status (bed, "/safe/ok", KEY, 401));
  expect (ask (bed, "/safe/ok", "X-Hornbeamwall-Key: k2\r\n", "b"), 200, NULL);
  objects_forget (bed->objects);
  put_config (bed, 12, "\"k1\"");
  ck_assert (wait_for_status (bed, "/safe/ok", KEY, 200));
  put_config (bed, 10, "\"k2\"");
  g_usleep (100000);
  expect (ask (bed, "/safe/ok", KEY, "b"), 200, NULL);
  objects_set_mood (bed->objects, OBJECTS_BUSY);
  expect (ask (bed, "/safe/ok", KEY, "b"), 200, NULL);
  objects_set_mood (bed->objects, OBJECTS_WELL);
  put_config (bed, 20, "\"k2\"");
  ck_assert (wait_for_status (bed, "/safe/ok", KEY, 401));
  bed_destroy (bed);
}
END_TEST

START_TEST (leaving_server_gets_nothing_new)
{
  Bed *bed = bed_create ();
  put_server (bed, 0, "draining");
  char path[64];
  guint before = 0;
  for (guint i = 0; i < WAIT_STEPS; i++)
    {
      g_snprintf (path, sizeof path, "/safe/%u/ok", i);
      expect (ask (bed, path, KEY, "b"), 200, NULL);
      before = replica_runs (bed->replicas[1], path) == 1 ? before + 1 : 0;
      if (before == 40)
        break;
    }
  ck_assert_uint_eq (before, 40);
  objects_set (bed->objects, "servers", "i-1", NULL);
  ck_assert (wait_for_status (bed, "/safe/ok", KEY, 503));
  put_server (bed, 0, "ready");
  ck_assert (wait_for_status (bed, "/safe/ok", KEY, 200));
  bed_destroy (bed);
}
END_TEST

START_TEST (planned_stop_answers_what_it_has)
{
  Bed *bed = bed_create ();
  int idle = dial (bed);
  expect (ask_on (idle, "/safe/ok", KEY, "b"), 200, NULL);
  int fd = dial (bed);
  char *request = make_request ("POST", "/stream/a/events", KEY, "b");
  say (fd, request);
  hbw_instance_drain (bed->instance);
  Answer answer = hear (fd);
  ck_assert_uint_eq (answer.status, 200);
  ck_assert (is_whole (answer.text));
  g_free (answer.text);
  close (fd);
  close (idle);
  g_free (request);
  bed_destroy (bed);
}
END_TEST

/* A sink that is slow to take an order. */
typedef struct
{
  HbwOrderSink sink;
  atomic_bool entered;
  atomic_bool left;
} SlowSink;

static void
post_slowly (HbwOrderSink *sink, guint64 sequence G_GNUC_UNUSED,
             const HbwOrder *order G_GNUC_UNUSED)
{
  SlowSink *slow = caa_container_of (sink, SlowSink, sink);
  atomic_store (&slow->entered, TRUE);
  g_usleep (50000);
  atomic_store (&slow->left, TRUE);
}

/* Seen in the checks beside a busy bench: the loop was freed while the control
 * thread posted to it. */
START_TEST (sink_is_not_in_use_once_it_is_taken_away)
{
  static const HbwOrderSinkClass class = { post_slowly };
  SlowSink slow = { .sink = { &class } };
  Bed *bed = bed_create ();
  HbwControl *control = hbw_instance_control (bed->instance);
  hbw_control_set_sink (control, &slow.sink);
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = hbw_control_next_sequence (control);
  g_strlcpy (event.arrival.spec.pool, "nowhere", sizeof event.arrival.spec.pool);
  hbw_control_submit (control, &event, NULL);
  for (guint i = 0; i < WAIT_STEPS && !atomic_load (&slow.entered); i++)
    g_usleep (1000);
  ck_assert (atomic_load (&slow.entered));
  hbw_control_set_sink (control, NULL);
  ck_assert (atomic_load (&slow.left));
  bed_destroy (bed);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("traffic");
  TCase *tests = tcase_create ("traffic");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, request_reaches_the_server_as_it_came);
  tcase_add_test (tests, smuggled_requests_run_nowhere);
  tcase_add_test (tests, connections_to_servers_are_kept);
  tcase_add_test (tests, broken_answers_are_repeated_only_where_allowed);
  tcase_add_test (tests, torn_answer_never_looks_whole);
  tcase_add_test (tests, stream_goes_on_at_another_server);
  tcase_add_test (tests, silent_server_is_left_for_another);
  tcase_add_test (tests, second_answers_belong_to_no_request);
  tcase_add_test (tests, server_hears_that_the_caller_has_gone);
  tcase_add_test (tests, callers_are_denied_only_for_what_is_known);
  tcase_add_test (tests, changes_of_the_config_are_followed);
  tcase_add_test (tests, leaving_server_gets_nothing_new);
  tcase_add_test (tests, planned_stop_answers_what_it_has);
  tcase_add_test (tests, sink_is_not_in_use_once_it_is_taken_away);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
