/*
 * Tests of the clients that read responses through a library: attempts of the native
 * interface, calls of the duties, the store, orders to servers, and the command
 * line. Each of them rejects a malformed response.
 */
#include "standin/canned_server.h"
#include "standin/store.h"
#include "suite.h"

#include "hornbeamwall/client.h"
#include "hornbeamwall/net/attempt.h"
#include "hornbeamwall/net/server_orders.h"
#include "hornbeamwall/net/store_client.h"
#include "hornbeamwall/platform/duty_adapter.h"
#include "hornbeamwall/runtime/duty_sender.h"

#include <string.h>

#define TIMEOUT_MS 10000

/* More than the buffers of a connection hold, in bytes. */
#define UPLOAD_SIZE ((gsize) 8 * 1024 * 1024)

/* Status lines without a valid status code. */
static const char *const invalid_status_lines[] = {
  "HTTP/1.1 000\r\n",     "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 001 Odd\r\n",
  "HTTP/1.1 099 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 999 Odd\r\n",
  "HTTP/1.1 0 Odd\r\n",   "HTTP/1.1 20 OK\r\n",   "HTTP/1.1 2 OK\r\n",
  "HTTP/1.1 0200 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 +200 OK\r\n",
  "HTTP/1.1 -200 OK\r\n", "HTTP/1.1 2x0 OK\r\n",  "HTTP/1.1 200.1 OK\r\n",
  "HTTP/1.1\r\n",         "HTTP/1.1 200OK\r\n",   "HTTP/3.1 200 OK\r\n",
  "200 OK\r\n",
};

#define WITH_LENGTH "Content-Length: 2\r\n\r\n{}"
#define WITH_CHUNKS "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"

/* Truncated anywhere before its last byte, a head says nothing. */
static const char whole_head[] = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
                                 "Content-Type: application/json\r\n"
                                 "Content-Length: 0\r\n\r\n";
static const char whole_empty_head[]
    = "HTTP/1.1 204 No Content\r\nETag: \"7\"\r\n\r\n";

/* A lenient reader may take these for the status 200 (RFC 9112, 4). */
static const char *const lenient_status_lines[] = {
  "HTTP/1.1  200 OK\r\n",
  "HTTP/1.1 \t200 OK\r\n",
};

typedef void (*CheckAnswer) (CannedServer *server, const char *name);

static void
answer_with (CannedServer *server, const char *text, gsize length,
             CannedResponseEnd end)
{
  const CannedResponse answer = { .text = text, .length = length, .end = end };
  canned_server_set_answer (server, &answer);
}

static void
check_status_lines (const char *const *lines, gsize count, CheckAnswer check)
{
  CannedServer *server = canned_server_create ();
  for (gsize i = 0; i < count; i++)
    {
      char *text = g_strconcat (lines[i], WITH_LENGTH, NULL);
      answer_with (server, text, strlen (text), CANNED_RESPONSE_CLOSES);
      check (server, lines[i]);
      char *late = g_strconcat ("HTTP/1.1 103 Early\r\n\r\n", text, NULL);
      answer_with (server, late, strlen (late), CANNED_RESPONSE_CLOSES);
      check (server, late);
      g_free (late);
      g_free (text);
    }
  canned_server_destroy (server);
}

static void
check_truncated_heads (CheckAnswer check)
{
  static const char *const heads[] = { whole_head, whole_empty_head };
  CannedServer *server = canned_server_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (heads); i++)
    for (gsize length = 0; length < strlen (heads[i]); length++)
      {
        char *name = g_strndup (heads[i], length);
        answer_with (server, heads[i], length,
                     length % 2 == 0 ? CANNED_RESPONSE_CLOSES
                                     : CANNED_RESPONSE_RESETS);
        check (server, name);
        answer_with (server, heads[i], length,
                     length % 2 == 0 ? CANNED_RESPONSE_RESETS
                                     : CANNED_RESPONSE_CLOSES);
        check (server, name);
        g_free (name);
      }
  canned_server_destroy (server);
}

/* Responses whose body stops before its end. */
static const CannedResponse truncated_bodies[] = {
  { .text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
    .end = CANNED_RESPONSE_CLOSES },
  { .text = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
    .end = CANNED_RESPONSE_RESETS },
  { .text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    .end = CANNED_RESPONSE_CLOSES },
  { .text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n{}",
    .end = CANNED_RESPONSE_CLOSES },
  { .text = "HTTP/1.1 200 OK\r\n\r\n{}", .end = CANNED_RESPONSE_RESETS },
};

static void
check_truncated_bodies (CheckAnswer check)
{
  CannedServer *server = canned_server_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (truncated_bodies); i++)
    {
      const CannedResponse *answer = &truncated_bodies[i];
      answer_with (server, answer->text, strlen (answer->text), answer->end);
      check (server, answer->text);
    }
  canned_server_destroy (server);
}

/* --- attempts of the native interface ---------------------------------------- */

static HbwOutcome
run_attempt_with_body (CannedServer *server, const char *method, const char *body)
{
  char bytes[1024];
  HbwAttemptEnd end = { .response_started = FALSE };
  HbwClock *clock = hbw_clock_create_system ();
  HbwMailbox *mailbox = hbw_mailbox_create (1);
  const HbwAttemptConfig config = { .method = method,
                                    .address = canned_server_address (server),
                                    .path = "/",
                                    .body = body,
                                    .body_length = strlen (body),
                                    .attempt_id = "a",
                                    .expires_us = G_MAXINT64,
                                    .connect_timeout_ms = TIMEOUT_MS,
                                    .first_byte_timeout_ms = TIMEOUT_MS,
                                    .stall_timeout_ms = TIMEOUT_MS,
                                    .buffered_response_max = 1024,
                                    .clock = clock,
                                    .mailbox = mailbox,
                                    .caller_fd = -1 };
  HbwAttempt *attempt = hbw_attempt_create (&config);
  hbw_attempt_begin (attempt);
  while (!hbw_attempt_has_ended (attempt)
         && hbw_attempt_read (attempt, bytes, sizeof bytes) > 0)
    continue; /* a stream */
  hbw_attempt_result (attempt, &end);
  hbw_attempt_destroy (attempt);
  hbw_mailbox_unref (mailbox);
  hbw_clock_destroy (clock);
  return end.outcome;
}

static HbwOutcome
run_attempt (CannedServer *server, const char *method)
{
  return run_attempt_with_body (server, method,
                                strcmp (method, "POST") == 0 ? "b" : "");
}

static void
check_post (CannedServer *server, const char *name)
{
  ck_assert_msg (run_attempt (server, "POST") == HBW_OUTCOME_BROKEN, "%s", name);
}

static void
check_attempt (CannedServer *server, const char *name)
{
  check_post (server, name);
  ck_assert_msg (run_attempt (server, "HEAD") == HBW_OUTCOME_BROKEN, "HEAD: %s",
                 name);
}

START_TEST (attempt_rejects_invalid_status)
{
  check_status_lines (invalid_status_lines, G_N_ELEMENTS (invalid_status_lines),
                      check_attempt);
  check_status_lines (lenient_status_lines, G_N_ELEMENTS (lenient_status_lines),
                      check_attempt);
}
END_TEST

START_TEST (attempt_rejects_truncated_head)
{
  check_truncated_heads (check_attempt);
}
END_TEST

/* Checks that each of COUNT responses is rejected. */
static void
check_rejected_attempts (const char *const *texts, gsize count)
{
  CannedServer *server = canned_server_create ();
  for (gsize i = 0; i < count; i++)
    {
      answer_with (server, texts[i], strlen (texts[i]), CANNED_RESPONSE_CLOSES);
      check_post (server, texts[i]);
    }
  canned_server_destroy (server);
}

START_TEST (attempt_rejects_invalid_field_line)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nX\001Odd: 1\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nX-Odd\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n" WITH_LENGTH,
  };
  check_rejected_attempts (texts, G_N_ELEMENTS (texts));
}
END_TEST

START_TEST (attempt_rejects_ambiguous_framing)
{
  static const char *const texts[] = {
    "HTTP/1.0 200 OK\r\n" WITH_CHUNKS,
    "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" WITH_CHUNKS,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
    "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" WITH_CHUNKS,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" WITH_CHUNKS,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: gzip\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: identity\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" WITH_LENGTH,
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n" WITH_LENGTH,
  };
  check_rejected_attempts (texts, G_N_ELEMENTS (texts));
}
END_TEST

/* Guards against a response that only the end of the connection ends. */
START_TEST (attempt_rejects_truncated_body)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
  };
  check_truncated_bodies (check_post);
  check_rejected_attempts (texts, G_N_ELEMENTS (texts));
}
END_TEST

/* Guards against the part of a response before a reset that ends it as if it had
   ended by itself, while the upload is still being written. */
START_TEST (attempt_rejects_response_that_is_reset_within_the_upload)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: 1\n\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
  };
  static const gulong pauses_us[] = { 0, 3000, 60000 };
  CannedServer *server = canned_server_create ();
  char *body = g_strnfill (UPLOAD_SIZE, 'x');
  canned_server_answer_early (server);
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (pauses_us); j++)
      {
        const CannedResponse response = { .text = texts[i],
                                          .length = strlen (texts[i]),
                                          .pause_us = pauses_us[j],
                                          .end = CANNED_RESPONSE_RESETS };
        canned_server_set_answer (server, &response);
        HbwOutcome outcome = run_attempt_with_body (server, "POST", body);
        ck_assert_msg (outcome == HBW_OUTCOME_BROKEN, "%d, pause %lu: %s",
                       (int) outcome, pauses_us[j], texts[i]);
      }
  g_free (body);
  canned_server_destroy (server);
}
END_TEST

/* Guards against trailers that are not checked because they are not forwarded. */
START_TEST (attempt_rejects_invalid_trailer)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2\r\n{}\r\n0\r\n";
  static const char *const trailers[] = {
    "X Odd: 1\r\n",
    "X-Odd : 1\r\n",
    "X\001Odd: 1\r\n",
    "X-Odd\r\n",
    " X-Odd: 1\r\n",
    "X-Valid: 1\r\n X-Odd: 1\r\n",
    "X Odd: 1\r\nX-Valid: 1\r\n",
  };
  char *texts[G_N_ELEMENTS (trailers)];
  for (gsize i = 0; i < G_N_ELEMENTS (trailers); i++)
    texts[i] = g_strconcat (head, trailers[i], "\r\n", NULL);
  check_rejected_attempts ((const char *const *) texts, G_N_ELEMENTS (texts));
  for (gsize i = 0; i < G_N_ELEMENTS (trailers); i++)
    g_free (texts[i]);
}
END_TEST

START_TEST (attempt_accepts_valid_responses)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n" WITH_LENGTH,
          "HTTP/1.0 200 OK\r\n" WITH_LENGTH,
          "HTTP/1.1 200\r\n" WITH_LENGTH,
          "HTTP/1.1 599 Other\r\n" WITH_LENGTH,
          "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" WITH_LENGTH,
          "HTTP/1.1 200 OK\r\n" WITH_CHUNKS,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
          "0\r\nX-Trailer: 1\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
          "0\r\nX-Trailer: 1\r\nContent-Length: 9\r\n\r\n",
          "HTTP/1.1 204 No Content\r\n\r\n" };
  CannedServer *server = canned_server_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      answer_with (server, texts[i], strlen (texts[i]), CANNED_RESPONSE_CLOSES);
      ck_assert_msg (run_attempt (server, "POST") == HBW_OUTCOME_COMPLETE, "%s",
                     texts[i]);
    }
  canned_server_destroy (server);
}
END_TEST

/* --- calls of the duties ------------------------------------------------------ */

static void
check_duty (CannedServer *server, const char *name)
{
  HbwClock *clock = hbw_clock_create_system ();
  const HbwDutySender sender
      = { hbw_platform_duty_adapter (), canned_server_address (server), "i1", clock,
          TIMEOUT_MS * HBW_US_PER_MS };
  HbwSendDutyCall send = { .fencing_token = 1, .send_before_us = G_MAXINT64 };
  send.call.kind = HBW_DUTY_CALL_ORDER;
  HbwDutyOutcome outcome = hbw_duty_sender_send (&sender, &send);
  ck_assert_msg (outcome == HBW_DUTY_UNKNOWN, "%d: %s", outcome, name);
  hbw_clock_destroy (clock);
}

START_TEST (duty_call_rejects_invalid_status)
{
  check_status_lines (invalid_status_lines, G_N_ELEMENTS (invalid_status_lines),
                      check_duty);
  check_status_lines (lenient_status_lines, G_N_ELEMENTS (lenient_status_lines),
                      check_duty);
}
END_TEST

START_TEST (duty_call_rejects_truncated_head) { check_truncated_heads (check_duty); }
END_TEST

/* --- the store ---------------------------------------------------------------- */

typedef enum
{
  STORE_GET,   /* an object */
  STORE_PATH,  /* a list, or a server's load report */
  STORE_WATCH, /* an object that changes */
  STORE_PUT,
  STORE_CALLS
} StoreCall;

static HbwStoreResponse
make_store_call (HbwStoreClient *client, StoreCall call, HbwError *error)
{
  switch (call)
    {
    case STORE_PATH:
      return hbw_store_client_get_path (client, "/load", error);
    case STORE_WATCH:
      return hbw_store_client_watch (client, "o", 6, TIMEOUT_MS, error);
    case STORE_PUT:
      return hbw_store_client_put (client, "o", 6, "{}", 2, error);
    default:
      return hbw_store_client_get (client, "o", error);
    }
}

static HbwStoreResult
call_store (CannedServer *server, gboolean keeps, StoreCall call)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwStoreClient *client
      = hbw_store_client_create (canned_server_address (server), &error);
  if (keeps)
    hbw_store_client_keep_connection (client, 0);
  HbwStoreResponse response = make_store_call (client, call, &error);
  g_clear_pointer (&response.body, g_bytes_unref);
  hbw_store_client_destroy (client);
  return response.result;
}

/* A write whose response is malformed may have taken effect. */
static void
check_store (CannedServer *server, const char *name)
{
  for (guint keeps = 0; keeps < 2; keeps++)
    for (StoreCall call = STORE_GET; call < STORE_CALLS; call++)
      {
        HbwStoreResult result = call_store (server, keeps == 1, call);
        HbwStoreResult expected
            = call == STORE_PUT ? HBW_STORE_UNKNOWN : HBW_STORE_FAILED;
        ck_assert_msg (result == expected, "call %d, %d: %s", call, result, name);
      }
}

START_TEST (store_client_rejects_invalid_status)
{
  check_status_lines (invalid_status_lines, G_N_ELEMENTS (invalid_status_lines),
                      check_store);
}
END_TEST

START_TEST (store_client_rejects_truncated_head)
{
  check_truncated_heads (check_store);
}
END_TEST

/* Guards against a part of a list or of an object that is taken for the whole. */
START_TEST (store_client_rejects_truncated_body)
{
  check_truncated_bodies (check_store);
}
END_TEST

/* --- orders to servers -------------------------------------------------------- */

/* Returns how many orders are sent in two rounds; an order that the server has
   confirmed in the first one is not sent again. */
static guint
send_orders_twice (CannedServer *server)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  Store *store = store_create ("127.0.0.1:0");
  HbwClock *clock = hbw_clock_create_manual (1000);
  char *address = g_strdup_printf ("127.0.0.1:%u", store_port (store));
  char *servers
      = g_strdup_printf ("{\"servers\":[{\"id\":\"e\",\"data_centre\":\"a\","
                         "\"address\":\"%s\",\"start\":1}]}",
                         canned_server_address (server));
  store_set (store, "servers", servers);
  store_set (store, "hornbeamwall-orders", "{\"orders\":{\"e\":{\"model\":\"x\"}}}");
  const HbwServerOrdersConfig config = { address, "a", 100, clock };
  HbwServerOrders *orders = hbw_server_orders_create (&config, &error);
  hbw_server_orders_update_lease (orders);
  guint sent = hbw_server_orders_send (orders);
  sent += hbw_server_orders_send (orders);
  hbw_server_orders_destroy (orders);
  hbw_clock_destroy (clock);
  store_destroy (store);
  g_free (servers);
  g_free (address);
  return sent;
}

static void
check_order (CannedServer *server, const char *name)
{
  guint sent = send_orders_twice (server);
  ck_assert_msg (sent == 2, "%u: %s", sent, name);
}

START_TEST (order_is_not_confirmed_by_invalid_status)
{
  check_status_lines (invalid_status_lines, G_N_ELEMENTS (invalid_status_lines),
                      check_order);
}
END_TEST

START_TEST (order_is_not_confirmed_by_truncated_head)
{
  check_truncated_heads (check_order);
}
END_TEST

START_TEST (order_is_confirmed_by_valid_response)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n" WITH_LENGTH;
  CannedServer *server = canned_server_create ();
  answer_with (server, text, strlen (text), CANNED_RESPONSE_CLOSES);
  ck_assert_uint_eq (send_orders_twice (server), 1);
  canned_server_destroy (server);
}
END_TEST

/* --- the command line --------------------------------------------------------- */

static gboolean
call_administration (CannedServer *server)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClientResponse response;
  const HbwClientOptions options
      = { .address = (char *) canned_server_address (server) };
  gboolean is_ok = hbw_client_call (&options, "GET", "/admin/v1/status", NULL, NULL,
                                    &response, &error);
  hbw_client_response_clear (&response);
  return is_ok;
}

static void
check_command (CannedServer *server, const char *name)
{
  ck_assert_msg (!call_administration (server), "%s", name);
}

START_TEST (command_rejects_invalid_status)
{
  check_status_lines (invalid_status_lines, G_N_ELEMENTS (invalid_status_lines),
                      check_command);
}
END_TEST

START_TEST (command_rejects_truncated_head)
{
  check_truncated_heads (check_command);
}
END_TEST

START_TEST (command_accepts_valid_response)
{
  static const char text[] = "HTTP/1.1 200 OK\r\n" WITH_LENGTH;
  CannedServer *server = canned_server_create ();
  answer_with (server, text, strlen (text), CANNED_RESPONSE_CLOSES);
  ck_assert (call_administration (server));
  canned_server_destroy (server);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("malformed_response_client");
  suite_add_test (suite, "attempt_rejects_invalid_status",
                  attempt_rejects_invalid_status);
  suite_add_test (suite, "attempt_rejects_truncated_head",
                  attempt_rejects_truncated_head);
  suite_add_test (suite, "attempt_rejects_invalid_field_line",
                  attempt_rejects_invalid_field_line);
  suite_add_test (suite, "attempt_rejects_ambiguous_framing",
                  attempt_rejects_ambiguous_framing);
  suite_add_test (suite, "attempt_rejects_truncated_body",
                  attempt_rejects_truncated_body);
  suite_add_test (suite, "attempt_rejects_response_that_is_reset_within_the_upload",
                  attempt_rejects_response_that_is_reset_within_the_upload);
  suite_add_test (suite, "attempt_rejects_invalid_trailer",
                  attempt_rejects_invalid_trailer);
  suite_add_test (suite, "attempt_accepts_valid_responses",
                  attempt_accepts_valid_responses);
  suite_add_test (suite, "duty_call_rejects_invalid_status",
                  duty_call_rejects_invalid_status);
  suite_add_test (suite, "duty_call_rejects_truncated_head",
                  duty_call_rejects_truncated_head);
  suite_add_test (suite, "store_client_rejects_invalid_status",
                  store_client_rejects_invalid_status);
  suite_add_test (suite, "store_client_rejects_truncated_head",
                  store_client_rejects_truncated_head);
  suite_add_test (suite, "store_client_rejects_truncated_body",
                  store_client_rejects_truncated_body);
  suite_add_test (suite, "order_is_not_confirmed_by_invalid_status",
                  order_is_not_confirmed_by_invalid_status);
  suite_add_test (suite, "order_is_not_confirmed_by_truncated_head",
                  order_is_not_confirmed_by_truncated_head);
  suite_add_test (suite, "order_is_confirmed_by_valid_response",
                  order_is_confirmed_by_valid_response);
  suite_add_test (suite, "command_rejects_invalid_status",
                  command_rejects_invalid_status);
  suite_add_test (suite, "command_rejects_truncated_head",
                  command_rejects_truncated_head);
  suite_add_test (suite, "command_accepts_valid_response",
                  command_accepts_valid_response);
  return suite_run (suite);
}
