/*
 * Tests of servers that answer a long upload before they have read it, and reset the
 * connection while it is still being written: no caller may take the part of the
 * response that came for the whole one, directly or through another instance.
 */
#include "platform_fixture.h"
#include "standin/canned_replica.h"
#include "suite.h"
#include "tunnel_fixture.h"

#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* More than the buffers of a connection hold, in bytes. */
#define UPLOAD_SIZE ((gsize) 2 * 1024 * 1024)

/* How long a caller that pauses keeps the second half of its upload back. */
#define HOLD_US 60000

/* Size of the pieces in which a response is sent, each after a pause. */
#define PIECE_SIZE 60

#define OWN_FIELDS                                                                  \
  "X-Hornbeamwall-Attempt-Id: " CANNED_RESPONSE_ID "\r\n"                           \
  "X-Hornbeamwall-Response-Seal: 1.2.3\r\n"
#define HEAD "HTTP/1.1 200 OK\r\n" OWN_FIELDS

/* Responses that have not ended where they stop. */
static const char *const responses[]
    = { HEAD "\r\n",
        HEAD "\r\npart of a body",
        HEAD "Connection: close\r\n\r\npart of a body",
        "HTTP/1.0 200 OK\r\n" OWN_FIELDS "\r\npart of a body",
        HEAD "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
        HEAD "Transfer-Encoding: chunked\r\n\r\n",
        HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        HEAD "Content-Length: 5\r\n\r\npart" };

/* When the server resets the connection, after its last byte. */
static const gulong pauses_us[] = { 0, 3000, 2 * HOLD_US };

/* Server's behaviours: before any of the upload is read, and after half of it. */
static const char *const behaviours[] = { "earlycanned", "halfcanned" };

/* Sends LENGTH bytes unless the connection ends before. */
static void
send_bytes (int fd, const char *bytes, gsize length)
{
  struct pollfd output = { fd, POLLOUT, 0 };
  gsize sent = 0;
  while (sent < length && poll (&output, 1, 1000) > 0)
    {
      ssize_t count
          = send (fd, bytes + sent, length - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count <= 0)
        return;
      sent += (gsize) count;
    }
}

/* Uploads BODY, the second half HOLD after the first one, and receives the
   response. */
static RawResponse
upload (PlatformFixture *fixture, const char *path, const char *body, gulong hold_us)
{
  char *request = caller_format_request ("POST", path, API_KEY_FIELD, body);
  gsize length = strlen (request);
  int fd = platform_fixture_connect (fixture);
  send_bytes (fd, request, length / 2);
  g_usleep (hold_us);
  send_bytes (fd, request + length / 2, length - length / 2);
  RawResponse response = caller_receive (fd);
  close (fd);
  g_free (request);
  return response;
}

/* Uploads through CALLED while the servers of OWNER answer with RESPONSE, and checks
   that what comes is not a whole answer, and that the request ran once. */
static void
check_upload (PlatformFixture *called, PlatformFixture *owner, const char *behaviour,
              const CannedResponse *response, const char *body, gulong hold_us)
{
  static guint number;
  char *path = g_strdup_printf ("/unsafe/u%u/%s", number++, behaviour);
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    replica_set_canned_response (owner->replicas[i], response);
  RawResponse received = upload (called, path, body, hold_us);
  ck_assert_msg (received.status != 200 || !raw_response_is_complete (received.text),
                 "%s, hold %lu, pause %lu, piece %zu: %s", behaviour, hold_us,
                 response->pause_us, response->piece_size, response->text);
  ck_assert_uint_eq (platform_fixture_count_runs (owner, path), 1);
  g_free (received.text);
  g_free (path);
}

/* Checks each response with each pause, in one piece and in several, to callers that
   send their upload at once and to some that pause within it. */
static void
check_all_uploads (PlatformFixture *called, PlatformFixture *owner)
{
  char *body = g_strnfill (UPLOAD_SIZE, 'x');
  guint number = 0;
  for (gsize i = 0; i < G_N_ELEMENTS (responses); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (pauses_us); j++)
      for (gsize k = 0; k < G_N_ELEMENTS (behaviours); k++, number++)
        {
          CannedResponse response = { .text = responses[i],
                                      .length = strlen (responses[i]),
                                      .pause_us = pauses_us[j],
                                      .end = CANNED_RESPONSE_RESETS };
          check_upload (called, owner, behaviours[k], &response, body, 0);
          check_upload (called, owner, behaviours[k], &response, body, HOLD_US);
          response.piece_size = PIECE_SIZE;
          check_upload (called, owner, behaviours[k], &response, body,
                        number % 2 == 0 ? 0 : HOLD_US);
        }
  g_free (body);
}

/* Guards against MIXED as other systems showed it: the part of a 200 without a
   length that came before a reset within the upload is the answer. */
START_TEST (reset_within_upload_is_not_the_end_of_a_response)
{
  PlatformFixture *fixture
      = platform_fixture_create_with_memory (0, 4096, 2 * UPLOAD_SIZE);
  check_all_uploads (fixture, fixture);
  platform_fixture_destroy (fixture);
}
END_TEST

/* The same where the connection to the server goes through another instance. */
START_TEST (reset_within_upload_through_a_tunnel_is_not_the_end_of_a_response)
{
  TunnelFixture fixture = tunnel_fixture_create ();
  fixture.peer->body_max = 2 * UPLOAD_SIZE;
  platform_fixture_put_config (fixture.peer, 4, "\"k1\",\"k2\"");
  tunnel_fixture_use_tunnels (&fixture);
  check_all_uploads (fixture.cut, fixture.peer);
  tunnel_fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("uploads");
  suite_add_test (suite, "reset_within_upload_is_not_the_end_of_a_response",
                  reset_within_upload_is_not_the_end_of_a_response);
  suite_add_test (
      suite, "reset_within_upload_through_a_tunnel_is_not_the_end_of_a_response",
      reset_within_upload_through_a_tunnel_is_not_the_end_of_a_response);
  return suite_run (suite);
}
