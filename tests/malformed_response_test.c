/*
 * Tests of malformed responses of backend servers: callers never get one as a
 * complete response.
 */
#include "platform_fixture.h"
#include "standin/canned_replica.h"
#include "suite.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Fields of an answer that a server would vouch for. */
#define OWN_FIELDS                                                                  \
  "X-Hornbeamwall-Attempt-Id: " CANNED_RESPONSE_ID "\r\n"                           \
  "X-Hornbeamwall-Response-Seal: 1.2.3\r\n"

/* In the bodies of canned responses only. */
#define BODY_MARK "canned--"

#define WITH_LENGTH "Content-Length: 8\r\n\r\n" BODY_MARK
#define WITH_CLOSE "\r\n" BODY_MARK
#define WITH_CHUNKS                                                                 \
  "Transfer-Encoding: chunked\r\n\r\n8\r\n" BODY_MARK "\r\n0\r\n\r\n"
#define WITH_EVENTS                                                                 \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"           \
  "17\r\nid: 1\ndata: " BODY_MARK "\n\n\n\r\n0\r\n\r\n"

#define INTERIM "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

/* Size of an upload that no buffer of a connection holds, in bytes. */
#define UPLOAD_SIZE ((gsize) 8 * 1024 * 1024)

static void
set_canned_response (PlatformFixture *fixture, const CannedResponse *answer)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    replica_set_canned_response (fixture->replicas[i], answer);
}

/* Posts to PATH while the servers' canned response is TEXT, after which they close
   the connection. */
static RawResponse
post_canned (PlatformFixture *fixture, const char *path, const char *text,
             gsize length)
{
  const CannedResponse answer
      = { .text = text, .length = length, .end = CANNED_RESPONSE_CLOSES };
  set_canned_response (fixture, &answer);
  return platform_fixture_post (fixture, path, API_KEY_FIELD, "b");
}

/* Returns a path that was not requested before; the caller frees it. */
static char *
make_path (const char *route, const char *behaviour)
{
  static guint last_number;
  return g_strdup_printf ("/%s/n%u/%s", route, ++last_number, behaviour);
}

/* A request that may run twice is answered by another server. */
static void
check_retried (PlatformFixture *fixture, const char *name)
{
  char *path = make_path ("safe", "canned1");
  RawResponse response = platform_fixture_post (fixture, path, API_KEY_FIELD, "b");
  ck_assert_msg (response.status == 200, "%s: %s", name, response.text);
  ck_assert_msg (strstr (response.text, path) != NULL, "%s: %s", name,
                 response.text);
  ck_assert_msg (strstr (response.text, BODY_MARK) == NULL, "%s: %s", name,
                 response.text);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, path), 2);
  g_free (response.text);
  g_free (path);
}

/* The caller of one that may not learns that it may have run. */
static void
check_refused (PlatformFixture *fixture, const char *method, const char *name)
{
  char *path = make_path ("unsafe", "canned");
  char *request = caller_format_request (method, path, API_KEY_FIELD, "b");
  int fd = platform_fixture_connect (fixture);
  caller_send (fd, request);
  RawResponse response = caller_receive (fd);
  ck_assert_msg (response.status == 502, "%s: %s", name, response.text);
  ck_assert_msg (strstr (response.text, BODY_MARK) == NULL, "%s: %s", name,
                 response.text);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, path), 1);
  g_free (response.text);
  g_free (request);
  g_free (path);
  close (fd);
}

/* Serves a request, after which connections to the servers are kept. */
static void
open_kept_connections (PlatformFixture *fixture)
{
  raw_response_check (
      platform_fixture_post (fixture, "/safe/a/ok", API_KEY_FIELD, "b"), 200, NULL);
}

/* Checks that the server's response TEXT is rejected. */
static void
check_rejected (PlatformFixture *fixture, const char *text, gsize length)
{
  const CannedResponse answer
      = { .text = text, .length = length, .end = CANNED_RESPONSE_CLOSES };
  set_canned_response (fixture, &answer);
  open_kept_connections (fixture);
  check_refused (fixture, "POST", text);
  check_retried (fixture, text);
}

/* Checks that TEXT, sent by the server, does not reach the caller as a whole answer.
   Its body may have begun before the fault is seen. */
static void
check_not_whole (PlatformFixture *fixture, const char *text, gsize length)
{
  char *path = make_path ("unsafe", "canned");
  open_kept_connections (fixture);
  RawResponse response = post_canned (fixture, path, text, length);
  ck_assert_msg (response.status == 502 || !raw_response_is_complete (response.text),
                 "%s: %s", text, response.text);
  g_free (response.text);
  g_free (path);
}

/* Guards against an invalid status code that is forwarded to callers. */
START_TEST (invalid_status_is_rejected)
{
  static const char *const statuses[]
      = { "000",      "000 ",     "000 Odd", "001 Odd", "099 Odd", "600 Odd",
          "999 Odd",  "0 Odd",    "2 OK",    "20 OK",   "20",      "99 Odd",
          "0200 OK",  "00200 OK", "2000 OK", "+200 OK", "-200 OK", "2x0 OK",
          "200.1 OK", " 200 OK",  "" };
  static const char *const forms[]
      = { WITH_LENGTH, WITH_CLOSE, WITH_CHUNKS, WITH_EVENTS };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (forms); j++)
      {
        char *text = g_strdup_printf ("HTTP/1.1 %s\r\n" OWN_FIELDS "%s", statuses[i],
                                      forms[j]);
        check_rejected (fixture, text, strlen (text));
        g_free (text);
      }
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (invalid_status_after_interim_response_is_rejected)
{
  static const char text[]
      = INTERIM INTERIM "HTTP/1.1 000 Odd\r\n" OWN_FIELDS WITH_LENGTH;
  static const char single[] = "HTTP/1.1 000 Odd\r\n" OWN_FIELDS WITH_LENGTH;
  PlatformFixture *fixture = platform_fixture_create ();
  check_rejected (fixture, text, sizeof text - 1);
  const CannedResponse slow
      = { .text = single, .length = sizeof single - 1, .piece_size = 1 };
  set_canned_response (fixture, &slow);
  check_refused (fixture, "POST", "a byte at a time");
  check_refused (fixture, "HEAD", "HEAD");
  platform_fixture_destroy (fixture);
}
END_TEST

/* Shows that the other tests reject a response for the one fault in it. */
START_TEST (each_form_is_valid_by_itself)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_LENGTH,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_CHUNKS,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_EVENTS,
          INTERIM "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_LENGTH,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n\r\n"
          "8\r\n" BODY_MARK "\r\n0\r\nX-Valid: 1\r\n\r\n" };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *path = make_path ("unsafe", "canned");
      RawResponse response
          = post_canned (fixture, path, texts[i], strlen (texts[i]));
      ck_assert_msg (raw_response_is_complete (response.text), "%s: %s", texts[i],
                     response.text);
      raw_response_check (response, 200, BODY_MARK);
      g_free (path);
    }
  platform_fixture_destroy (fixture);
}
END_TEST

/* A status of each class is passed on as it is. */
START_TEST (unusual_status_is_forwarded)
{
  static const struct
  {
    const char *line;
    guint status;
  } cases[] = { { "200", 200 },       { "200 ", 200 },      { "299 Other", 299 },
                { "399 Other", 399 }, { "499 Other", 499 }, { "599 Other", 599 } };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf ("HTTP/1.1 %s\r\n" OWN_FIELDS WITH_LENGTH,
                                    cases[i].line);
      const CannedResponse answer = { .text = text, .length = strlen (text) };
      set_canned_response (fixture, &answer);
      char *path = make_path ("unsafe", "canned");
      raw_response_check (platform_fixture_post (fixture, path, API_KEY_FIELD, "b"),
                          cases[i].status, BODY_MARK);
      g_free (path);
      g_free (text);
    }
  platform_fixture_destroy (fixture);
}
END_TEST

/* A field line, and its size, as it may contain a null. */
typedef struct
{
  const char *text;
  gsize size;
} FieldLine;

#define FIELD_LINE(line)                                                            \
  {                                                                                 \
    line, sizeof line - 1                                                           \
  }

static const FieldLine invalid_lines[] = {
  FIELD_LINE ("X Odd: 1"),      FIELD_LINE ("X-Odd : 1"),
  FIELD_LINE (" X-Odd: 1"),     FIELD_LINE ("\tX-Odd: 1"),
  FIELD_LINE ("X\tOdd: 1"),     FIELD_LINE ("X\001Odd: 1"),
  FIELD_LINE ("X\037Odd: 1"),   FIELD_LINE ("X\177Odd: 1"),
  FIELD_LINE ("X\0Odd: 1"),     FIELD_LINE ("X\200Odd: 1"),
  FIELD_LINE ("\"X-Odd\": 1"),  FIELD_LINE (": 1"),
  FIELD_LINE ("X-Odd"),         FIELD_LINE ("X(Odd): 1"),
  FIELD_LINE ("X-Odd\r: 1"),    FIELD_LINE ("X-Odd: 1\0002"),
  FIELD_LINE ("X-Odd: 1\0012"),
};

/* Returns PREFIX, LINE and SUFFIX; the caller frees it. */
static GString *
join_line (const char *prefix, const FieldLine *line, const char *suffix)
{
  GString *text = g_string_new (prefix);
  g_string_append_len (text, line->text, (gssize) line->size);
  g_string_append (text, suffix);
  return text;
}

/* Guards against a line that the next reader takes for another field, or for the
   body. */
START_TEST (invalid_field_line_is_rejected)
{
  static const struct
  {
    const char *prefix;
    const char *suffix;
  } places[] = { { "HTTP/1.1 200 OK\r\n" OWN_FIELDS, "\r\n" WITH_LENGTH },
                 { "HTTP/1.1 200 OK\r\n", "\r\n" OWN_FIELDS WITH_CLOSE },
                 { "HTTP/1.1 103 Early\r\n",
                   "\r\n\r\nHTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_LENGTH } };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (invalid_lines); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (places); j++)
      {
        GString *text
            = join_line (places[j].prefix, &invalid_lines[i], places[j].suffix);
        check_rejected (fixture, text->str, text->len);
        g_string_free (text, TRUE);
      }
  platform_fixture_destroy (fixture);
}
END_TEST

/* Guards against trailers that are not checked because they are not forwarded. */
START_TEST (invalid_trailer_is_rejected)
{
  static const char head[]
      = "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: chunked\r\n\r\n"
        "8\r\n" BODY_MARK "\r\n0\r\n";
  static const char valid[] = "X-Valid: 1\r\n";
  char *after_valid = g_strconcat (head, valid, NULL);
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (invalid_lines); i++)
    {
      GString *texts[]
          = { join_line (head, &invalid_lines[i], "\r\n\r\n"),
              join_line (head, &invalid_lines[i], "\r\nX-Valid: 1\r\n\r\n"),
              join_line (after_valid, &invalid_lines[i], "\r\n\r\n") };
      for (gsize j = 0; j < G_N_ELEMENTS (texts); j++)
        {
          check_not_whole (fixture, texts[j]->str, texts[j]->len);
          g_string_free (texts[j], TRUE);
        }
    }
  g_free (after_valid);
  platform_fixture_destroy (fixture);
}
END_TEST

static void
check_each_not_whole (const char *const *texts, gsize count)
{
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < count; i++)
    check_not_whole (fixture, texts[i], strlen (texts[i]));
  platform_fixture_destroy (fixture);
}

/* Guards against a body whose end depends on the version that a reader assumes. */
START_TEST (chunks_in_http_1_0_are_rejected)
{
  static const char *const texts[] = { "HTTP/1.0 200 OK\r\n" OWN_FIELDS WITH_CHUNKS,
                                       "HTTP/1.0 200 OK\r\n" OWN_FIELDS
                                       "Connection: keep-alive\r\n" WITH_CHUNKS };
  check_each_not_whole (texts, G_N_ELEMENTS (texts));
}
END_TEST

/* Guards against a body whose coding or length readers may disagree on. */
START_TEST (ambiguous_length_or_coding_is_rejected)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Transfer-Encoding: gzip\r\n" WITH_CHUNKS,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Transfer-Encoding: chunked\r\n" WITH_CHUNKS,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n" WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Transfer-Encoding: chunked, chunked\r\n" WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 8\r\n" WITH_LENGTH,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: +8\r\n" WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 8, 8\r\n" WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 8\r\n" WITH_CHUNKS };
  check_each_not_whole (texts, G_N_ELEMENTS (texts));
}
END_TEST

/* Guards against a truncated head that the end of the connection completes. */
START_TEST (truncated_head_is_rejected)
{
  static const char *const heads[]
      = { "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Content-Type: text/event-stream\r\n\r\n" };
  static const CannedResponseEnd ends[]
      = { CANNED_RESPONSE_CLOSES, CANNED_RESPONSE_RESETS };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (heads); i++)
    for (gsize length = 1; length < strlen (heads[i]); length++)
      {
        const CannedResponse answer
            = { .text = heads[i], .length = length, .end = ends[length % 2] };
        char *name = g_strdup_printf ("%zu bytes of head %zu", length, i);
        set_canned_response (fixture, &answer);
        if (length % 3 == 0)
          open_kept_connections (fixture);
        check_refused (fixture, length % 5 == 0 ? "HEAD" : "POST", name);
        if (length % 10 == 0)
          check_retried (fixture, name);
        g_free (name);
      }
  platform_fixture_destroy (fixture);
}
END_TEST

/* Sends BODY to servers that send ANSWER and end the connection, and checks that
   what comes is not complete with a 2xx status. */
static void
check_upload_is_not_answered (PlatformFixture *fixture, const char *body,
                              const CannedResponse *answer)
{
  char *path = make_path ("unsafe", "earlycanned");
  char *request = caller_format_request ("POST", path, API_KEY_FIELD, body);
  set_canned_response (fixture, answer);
  int fd = platform_fixture_connect (fixture);
  gsize length = strlen (request);
  gsize sent = 0;
  while (sent < length)
    {
      ssize_t count = send (fd, request + sent, length - sent, MSG_NOSIGNAL);
      ck_assert_int_gt (count, 0);
      sent += (gsize) count;
    }
  RawResponse response = caller_receive (fd);
  ck_assert_msg (response.status != 200 || !raw_response_is_complete (response.text),
                 "%s: %s", answer->text, response.text);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, path), 1);
  close (fd);
  g_free (response.text);
  g_free (request);
  g_free (path);
}

/* Guards against the part of an answer before a reset that ends it as if it had
   ended by itself. */
START_TEST (reset_within_upload_does_not_complete_the_response)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n" OWN_FIELDS WITH_CLOSE,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS
          "Transfer-Encoding: chunked\r\n\r\n8\r\n" BODY_MARK "\r\n",
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Length: 9\r\n\r\n" BODY_MARK };
  static const gulong pauses_us[] = { 0, 1000, 30000, 300000 };
  PlatformFixture *fixture
      = platform_fixture_create_with_memory (0, 4096, 2 * UPLOAD_SIZE);
  char *body = g_strnfill (UPLOAD_SIZE, 'x');
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (pauses_us); j++)
      {
        CannedResponse answer = { .text = texts[i],
                                  .length = strlen (texts[i]),
                                  .pause_us = pauses_us[j],
                                  .end = CANNED_RESPONSE_RESETS };
        check_upload_is_not_answered (fixture, "small", &answer);
        check_upload_is_not_answered (fixture, body, &answer);
        answer.end = CANNED_RESPONSE_CLOSES; /* a reset, too, as bytes are unread */
        check_upload_is_not_answered (fixture, body, &answer);
      }
  g_free (body);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Guards against a malformed response that is taken for the rest of a stream. */
START_TEST (malformed_continuation_of_a_stream_is_rejected)
{
  static const char *const texts[]
      = { "HTTP/1.1 000 Odd\r\n" OWN_FIELDS WITH_EVENTS,
          "HTTP/1.1 0200 OK\r\n" OWN_FIELDS WITH_EVENTS,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "X Odd: 1\r\n" WITH_EVENTS,
          "HTTP/1.1 200 OK\r\n" OWN_FIELDS "Content-Type: text/event-stream\r\n" };
  PlatformFixture *fixture = platform_fixture_create ();
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      char *path = make_path ("stream", "cutcanned");
      RawResponse response
          = post_canned (fixture, path, texts[i], strlen (texts[i]));
      ck_assert_msg (strstr (response.text, "id: 2\n") != NULL, "%s", response.text);
      ck_assert_msg (strstr (response.text, BODY_MARK) == NULL, "%s", response.text);
      ck_assert_msg (!raw_response_is_complete (response.text), "%s", response.text);
      ck_assert_uint_eq (platform_fixture_count_runs (fixture, path), 2);
      g_free (response.text);
      g_free (path);
    }
  platform_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("malformed_response");
  suite_add_test (suite, "invalid_status_is_rejected", invalid_status_is_rejected);
  suite_add_test (suite, "invalid_status_after_interim_response_is_rejected",
                  invalid_status_after_interim_response_is_rejected);
  suite_add_test (suite, "each_form_is_valid_by_itself",
                  each_form_is_valid_by_itself);
  suite_add_test (suite, "unusual_status_is_forwarded", unusual_status_is_forwarded);
  suite_add_test (suite, "invalid_field_line_is_rejected",
                  invalid_field_line_is_rejected);
  suite_add_test (suite, "invalid_trailer_is_rejected", invalid_trailer_is_rejected);
  suite_add_test (suite, "chunks_in_http_1_0_are_rejected",
                  chunks_in_http_1_0_are_rejected);
  suite_add_test (suite, "ambiguous_length_or_coding_is_rejected",
                  ambiguous_length_or_coding_is_rejected);
  suite_add_test (suite, "truncated_head_is_rejected", truncated_head_is_rejected);
  suite_add_test (suite, "reset_within_upload_does_not_complete_the_response",
                  reset_within_upload_does_not_complete_the_response);
  suite_add_test (suite, "malformed_continuation_of_a_stream_is_rejected",
                  malformed_continuation_of_a_stream_is_rejected);
  return suite_run (suite);
}
