/*
 * tunnel_test - an instance without a path to the servers, and another one with
 */
#include "platform_fixture.h"
#include "standin/canned_replica.h"
#include "suite.h"
#include "tunnel_fixture.h"

#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/tunnel.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUESTS 12

START_TEST (requests_without_a_path_go_through_another_instance)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  guint served = 0;
  tunnel_fixture_cut (&fixture, PROXY_RESET);
  for (guint i = 0; i < REQUESTS; i++)
    {
      char *path = g_strdup_printf ("/%s/x%u/ok", i % 2 == 0 ? "safe" : "unsafe", i);
      RawResponse response
          = platform_fixture_post (fixture.cut, path, API_KEY_FIELD, "body");
      served += response.status == 200;
      ck_assert_uint_le (platform_fixture_count_runs (fixture.peer, path), 1);
      g_free (response.text);
      g_free (path);
    }
  raw_response_check (
      platform_fixture_post (fixture.cut, "/stream/a/events", API_KEY_FIELD, "b"),
      200, "id: 6");
  tunnel_fixture_destroy (&fixture);
}
END_TEST

START_TEST (response_that_breaks_in_a_tunnel_is_not_whole)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  tunnel_fixture_use_tunnels (&fixture);
  RawResponse response
      = platform_fixture_post (fixture.cut, "/unsafe/a/torn", API_KEY_FIELD, "b");
  ck_assert (!raw_response_is_complete (response.text) || response.status >= 500);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture.peer, "/unsafe/a/torn"),
                     1);
  g_free (response.text);
  response = platform_fixture_post (fixture.cut, "/once/a/cut", API_KEY_FIELD, "b");
  ck_assert (!raw_response_is_complete (response.text));
  g_free (response.text);
  tunnel_fixture_destroy (&fixture);
}
END_TEST

static void
end_peer (TunnelFixture *fixture)
{
  hbw_instance_destroy (fixture->peer->instance);
  fixture->peer->instance = NULL;
}

/* Guards against an end of the instance between that is taken for the server's. */
START_TEST (stream_through_an_instance_that_ends_is_not_complete)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  tunnel_fixture_use_tunnels (&fixture);
  int fd = platform_fixture_connect (fixture.cut);
  char *request
      = caller_format_request ("POST", "/once/a/openpause", API_KEY_FIELD, "b");
  caller_send (fd, request);
  g_usleep (REPLICA_PAUSE_US / 2);
  end_peer (&fixture);
  RawResponse response = caller_receive (fd);
  ck_assert_uint_eq (response.status, 200);
  ck_assert_ptr_nonnull (strstr (response.text, "id: 2"));
  ck_assert (!raw_response_is_complete (response.text));
  g_free (response.text);
  g_free (request);
  close (fd);
  tunnel_fixture_destroy (&fixture);
}
END_TEST

/* The server's own end still completes a response. */
START_TEST (stream_without_a_length_is_complete_through_a_tunnel)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  tunnel_fixture_use_tunnels (&fixture);
  RawResponse response = platform_fixture_post (fixture.cut, "/once/a/openevents",
                                                API_KEY_FIELD, "b");
  ck_assert (raw_response_is_complete (response.text));
  raw_response_check (response, 200, "id: 6");
  tunnel_fixture_destroy (&fixture);
}
END_TEST

/* Guards against an orderly end where an earlier version, which knows no frames,
   would take it for the server's. */
START_TEST (tunnel_without_frames_that_is_cut_is_reset)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  char text[4096];
  char *request = caller_format_request ("POST", "/once/a/openpause",
                                         "Connection: close\r\n", "b");
  int fd = caller_connect (fixture.tunnel_port);
  caller_send (fd, "i-0\n");
  ck_assert_int_eq (recv (fd, text, 1, 0), 1);
  ck_assert_int_eq (*text, HBW_TUNNEL_OPEN);
  caller_send (fd, request);
  ck_assert_int_gt (recv (fd, text, sizeof text, 0), 0);
  end_peer (&fixture);
  ssize_t count;
  while ((count = recv (fd, text, sizeof text, 0)) > 0)
    continue;
  ck_assert_int_lt (count, 0);
  close (fd);
  g_free (request);
  tunnel_fixture_destroy (&fixture);
}
END_TEST

#define OWN_FIELDS                                                                  \
  "X-Hornbeamwall-Attempt-Id: " CANNED_RESPONSE_ID "\r\n"                           \
  "X-Hornbeamwall-Response-Seal: 1.2.3\r\n"

/* An upload that no buffer on its way holds, in bytes, and how often it is sent. */
#define UPLOAD_SIZE ((gsize) 4 * 1024 * 1024)
#define UPLOADS 12

/* Posts BODY to servers that answer TEXT and end the connection as END says.  Checks
   that what comes is not a whole answer. */
static void
check_canned_response (TunnelFixture *fixture, const char *path, const char *body,
                       const CannedResponse *answer)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    replica_set_canned_response (fixture->peer->replicas[i], answer);
  RawResponse response
      = platform_fixture_post (fixture->cut, path, API_KEY_FIELD, body);
  ck_assert_msg (response.status == 502 || !raw_response_is_complete (response.text),
                 "%s: %s", answer->text, response.text);
  g_free (response.text);
}

START_TEST (malformed_response_through_a_tunnel_is_rejected)
{
  static const char *const texts[]
      = { "HTTP/1.1 000 Odd\r\n" OWN_FIELDS "Content-Length: 3\r\n\r\nodd",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "X Odd: 1\r\n\r\nodd",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 0\r\n",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS,
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 20" };
  TunnelFixture fixture = tunnel_fixture_create ();
  tunnel_fixture_use_tunnels (&fixture);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      const CannedResponse answer = { .text = texts[i],
                                      .length = strlen (texts[i]),
                                      .end = CANNED_RESPONSE_CLOSES };
      char *path = g_strdup_printf ("/unsafe/n%zu/canned", i);
      check_canned_response (&fixture, path, "b", &answer);
      ck_assert_uint_eq (platform_fixture_count_runs (fixture.peer, path), 1);
      g_free (path);
    }
  tunnel_fixture_destroy (&fixture);
}
END_TEST

/* Guards against a server's reset that the instance between takes for its end. */
START_TEST (reset_within_upload_through_a_tunnel_does_not_complete_the_response)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n" OWN_FIELDS "\r\npart";
  TunnelFixture fixture = tunnel_fixture_create ();
  fixture.peer->body_max = 2 * UPLOAD_SIZE;
  platform_fixture_put_config (fixture.peer, 4, "\"k1\",\"k2\"");
  tunnel_fixture_use_tunnels (&fixture);
  char *body = g_strnfill (UPLOAD_SIZE, 'x');
  for (guint i = 0; i < UPLOADS; i++)
    {
      const CannedResponse answer = { .text = text,
                                      .length = strlen (text),
                                      .pause_us = i * 3000,
                                      .end = CANNED_RESPONSE_RESETS };
      char *path = g_strdup_printf ("/unsafe/u%u/earlycanned", i);
      check_canned_response (&fixture, path, body, &answer);
      ck_assert_uint_eq (platform_fixture_count_runs (fixture.peer, path), 1);
      g_free (path);
    }
  g_free (body);
  tunnel_fixture_destroy (&fixture);
}
END_TEST

/* Sends requests until the path is found lost or found again, and then some more.
   Returns how many of the latter were served. */
static guint
count_served (const TunnelFixture *fixture, const char *prefix)
{
  guint served = 0;
  for (guint i = 0; i < TUNNEL_FIXTURE_SETTLING_REQUESTS + REQUESTS; i++)
    {
      char *path = g_strdup_printf ("/safe/%s%u/ok", prefix, i);
      RawResponse response
          = platform_fixture_post (fixture->cut, path, API_KEY_FIELD, "body");
      served += i >= TUNNEL_FIXTURE_SETTLING_REQUESTS && response.status == 200;
      g_free (response.text);
      g_free (path);
    }
  return served;
}

START_TEST (path_that_accepts_and_never_answers_is_left)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  tunnel_fixture_cut (&fixture, PROXY_ABSORB);
  guint served = count_served (&fixture, "cut");
  tunnel_fixture_cut (&fixture, PROXY_PASS);
  guint served_again = count_served (&fixture, "whole");
  tunnel_fixture_destroy (&fixture);
  ck_assert_uint_eq (served, REQUESTS);
  ck_assert_uint_eq (served_again, REQUESTS);
}
END_TEST

/* Returns what the peer answers to TEXT at its tunnel address; '\0' if it closes. */
static char
ask_for_tunnel (const TunnelFixture *fixture, const char *text)
{
  char answer = '\0';
  int fd = caller_connect (fixture->tunnel_port);
  ck_assert_int_ge (fd, 0);
  caller_send (fd, text);
  if (recv (fd, &answer, 1, 0) != 1)
    answer = '\0';
  close (fd);
  return answer;
}

START_TEST (tunnels_lead_to_listed_servers_only)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  char long_name[2 * HBW_NAME_MAX];
  memset (long_name, 'i', sizeof long_name);
  long_name[sizeof long_name - 1] = '\0';
  ck_assert_int_eq (ask_for_tunnel (&fixture, "i-0\n"), HBW_TUNNEL_OPEN);
  ck_assert_int_eq (ask_for_tunnel (&fixture, "i-9\n"), HBW_TUNNEL_UNAVAILABLE);
  ck_assert_int_eq (ask_for_tunnel (&fixture, "127.0.0.1:80\n"),
                    HBW_TUNNEL_UNAVAILABLE);
  ck_assert_int_eq (ask_for_tunnel (&fixture, "\n"), HBW_TUNNEL_UNAVAILABLE);
  ck_assert_int_eq (ask_for_tunnel (&fixture, "i-0\nmore"), '\0');
  ck_assert_int_eq (ask_for_tunnel (&fixture, long_name), '\0');
  tunnel_fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tunnel");
  suite_add_test (suite, "requests_without_a_path_go_through_another_instance",
                  requests_without_a_path_go_through_another_instance);
  suite_add_test (suite, "response_that_breaks_in_a_tunnel_is_not_whole",
                  response_that_breaks_in_a_tunnel_is_not_whole);
  suite_add_test (suite, "stream_through_an_instance_that_ends_is_not_complete",
                  stream_through_an_instance_that_ends_is_not_complete);
  suite_add_test (suite, "stream_without_a_length_is_complete_through_a_tunnel",
                  stream_without_a_length_is_complete_through_a_tunnel);
  suite_add_test (suite, "tunnel_without_frames_that_is_cut_is_reset",
                  tunnel_without_frames_that_is_cut_is_reset);
  suite_add_test (suite, "malformed_response_through_a_tunnel_is_rejected",
                  malformed_response_through_a_tunnel_is_rejected);
  suite_add_test (
      suite, "reset_within_upload_through_a_tunnel_does_not_complete_the_response",
      reset_within_upload_through_a_tunnel_does_not_complete_the_response);
  suite_add_test (suite, "path_that_accepts_and_never_answers_is_left",
                  path_that_accepts_and_never_answers_is_left);
  suite_add_test (suite, "tunnels_lead_to_listed_servers_only",
                  tunnels_lead_to_listed_servers_only);
  return suite_run (suite);
}
