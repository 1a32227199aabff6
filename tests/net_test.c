/*
 * Tests of the data path's small parts: messages as they arrive, streams of events.
 */
#include "suite.h"

#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/parser.h"

#include <string.h>

/* What a parser told its user. */
typedef struct
{
  HbwParserUser user;
  GString *body;
  guint heads;
  guint status;
  char target[64];
  gboolean keep_alive;
} Seen;

static void
see_head (HbwParserUser *user, HbwHead *head)
{
  Seen *seen = (Seen *) user;
  seen->heads++;
  seen->status = head->status;
  seen->keep_alive = head->keep_alive;
  g_strlcpy (seen->target, head->target, sizeof seen->target);
}

static void
see_body (HbwParserUser *user, const char *bytes, gsize length)
{
  g_string_append_len (((Seen *) user)->body, bytes, (gssize) length);
}

static const HbwParserUserClass seen_class = { see_head, see_body };

/* Feeds TEXT in pieces of STEP bytes; returns the last state and the bytes used. */
static HbwParserState
feed (Seen *seen, HbwParserKind kind, const char *text, gsize step, gsize *used)
{
  seen->user.class = &seen_class;
  seen->body = g_string_new (NULL);
  HbwParser *parser = hbw_parser_create (kind, &seen->user);
  HbwParserState state = HBW_PARSER_MORE;
  gsize length = strlen (text);
  *used = 0;
  while (*used < length && state == HBW_PARSER_MORE)
    {
      gsize taken;
      state = hbw_parser_feed (parser, text + *used, MIN (step, length - *used),
                               &taken);
      *used += taken;
    }
  hbw_parser_destroy (parser);
  return state;
}

START_TEST (message_is_the_same_in_any_pieces)
{
  static const char text[]
      = "POST /a%20b?x=%2F HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: v\r\n\r\nGET /";
  for (gsize step = 1; step < 12; step++)
    {
      Seen seen = { .heads = 0 };
      gsize used;
      ck_assert_int_eq (feed (&seen, HBW_PARSER_REQUEST, text, step, &used),
                        HBW_PARSER_ENDED);
      ck_assert_str_eq (seen.target, "/a%20b?x=%2F");
      ck_assert_str_eq (seen.body->str, "abcde");
      ck_assert_uint_eq (seen.heads, 1);
      ck_assert_uint_eq (used, strlen (text) - strlen ("GET /"));
      g_string_free (seen.body, TRUE);
    }
}
END_TEST

START_TEST (message_with_two_ends_is_refused)
{
  static const char *const texts[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: "
    "4\r\n\r\nabcd",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
    "garbage\r\n\r\n",
  };
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      Seen seen = { .heads = 0 };
      gsize used;
      HbwParserState state = feed (&seen, HBW_PARSER_REQUEST, texts[i], 4096, &used);
      ck_assert_msg (state == HBW_PARSER_ERROR, "%zu: %d", i, state);
      g_string_free (seen.body, TRUE);
    }
}
END_TEST

START_TEST (answer_without_length_ends_with_its_connection)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";
  Seen seen = { .user = { &seen_class } };
  gsize used;
  seen.body = g_string_new (NULL);
  HbwParser *parser = hbw_parser_create (HBW_PARSER_ANSWER, &seen.user);
  ck_assert_int_eq (hbw_parser_feed (parser, text, strlen (text), &used),
                    HBW_PARSER_MORE);
  ck_assert (hbw_parser_end (parser));
  ck_assert_str_eq (seen.body->str, "hello");
  hbw_parser_reset (parser, FALSE);
  static const char cut[] = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
  ck_assert_int_eq (hbw_parser_feed (parser, cut, strlen (cut), &used),
                    HBW_PARSER_MORE);
  ck_assert (!hbw_parser_end (parser));
  hbw_parser_destroy (parser);
  g_string_free (seen.body, TRUE);
}
END_TEST

START_TEST (events_are_whole_and_never_twice)
{
  static const char first[] = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndat";
  static const char second[] = "id: 2\ndata: b\n\nid: 3\ndata: c\n\n";
  HbwEventStream *stream = hbw_event_stream_create ();
  GByteArray *out = g_byte_array_new ();
  for (gsize i = 0; i < strlen (first); i++)
    {
      ck_assert (hbw_event_stream_feed (stream, first + i, 1));
      while (hbw_event_stream_next (stream, out))
        continue;
    }
  ck_assert_str_eq (hbw_event_stream_last_id (stream), "2");
  ck_assert (hbw_event_stream_is_cut (stream));
  hbw_event_stream_cut (stream);
  ck_assert (hbw_event_stream_feed (stream, second, strlen (second)));
  while (hbw_event_stream_next (stream, out))
    continue;
  g_byte_array_append (out, (const guint8 *) "", 1);
  ck_assert_str_eq ((const char *) out->data,
                    "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n");
  g_byte_array_free (out, TRUE);
  hbw_event_stream_destroy (stream);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("net");
  TCase *tests = tcase_create ("net");
  tcase_add_test (tests, message_is_the_same_in_any_pieces);
  tcase_add_test (tests, message_with_two_ends_is_refused);
  tcase_add_test (tests, answer_without_length_ends_with_its_connection);
  tcase_add_test (tests, events_are_whole_and_never_twice);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
