/*
 * Unit tests of the HTTP message parser and the event stream splitter.
 */
#include "suite.h"

#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/http_parser.h"

#include <string.h>

/* The results that a parser has reported. */
typedef struct
{
  HbwHttpParserHandler handler;
  GString *body;
  guint head_count;
  guint status;
  char target[64];
  gboolean keep_alive;
} ParserRecord;

static void
record_head (HbwHttpParserHandler *handler, HbwHttpHead *head)
{
  ParserRecord *record = (ParserRecord *) handler;
  record->head_count++;
  record->status = head->status;
  record->keep_alive = head->keep_alive;
  g_strlcpy (record->target, head->target, sizeof record->target);
}

static void
record_body (HbwHttpParserHandler *handler, const char *bytes, gsize length)
{
  g_string_append_len (((ParserRecord *) handler)->body, bytes, (gssize) length);
}

static const HbwHttpParserHandlerClass record_class = { record_head, record_body };

/* Parses TEXT in pieces of PIECE_SIZE bytes and fills RECORD, whose body the caller
   frees. Returns the last state and in USED the number of bytes consumed. */
static HbwHttpParserState
feed (ParserRecord *record, HbwHttpParserKind kind, const char *text,
      gsize piece_size, gsize *used)
{
  record->handler.class = &record_class;
  record->body = g_string_new (NULL);
  HbwHttpParser *parser = hbw_http_parser_create (kind, &record->handler);
  HbwHttpParserState state = HBW_HTTP_PARSER_INCOMPLETE;
  gsize length = strlen (text);
  *used = 0;
  while (*used < length && state == HBW_HTTP_PARSER_INCOMPLETE)
    {
      gsize consumed;
      state = hbw_http_parser_feed (parser, text + *used,
                                    MIN (piece_size, length - *used), &consumed);
      *used += consumed;
    }
  hbw_http_parser_destroy (parser);
  return state;
}

START_TEST (parsed_message_does_not_depend_on_piece_size)
{
  static const char text[]
      = "POST /a%20b?x=%2F HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: v\r\n\r\nGET /";
  for (gsize piece_size = 1; piece_size < 12; piece_size++)
    {
      ParserRecord record = { .head_count = 0 };
      gsize used;
      ck_assert_int_eq (
          feed (&record, HBW_HTTP_PARSER_REQUEST, text, piece_size, &used),
          HBW_HTTP_PARSER_COMPLETE);
      ck_assert_str_eq (record.target, "/a%20b?x=%2F");
      ck_assert_str_eq (record.body->str, "abcde");
      ck_assert_uint_eq (record.head_count, 1);
      ck_assert_uint_eq (used, strlen (text) - strlen ("GET /"));
      g_string_free (record.body, TRUE);
    }
}
END_TEST

START_TEST (message_with_invalid_framing_is_rejected)
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
      ParserRecord record = { .head_count = 0 };
      gsize used;
      HbwHttpParserState state
          = feed (&record, HBW_HTTP_PARSER_REQUEST, texts[i], 4096, &used);
      ck_assert_msg (state == HBW_HTTP_PARSER_ERROR, "%zu: %d", i, state);
      g_string_free (record.body, TRUE);
    }
}
END_TEST

START_TEST (response_without_length_ends_when_connection_closes)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nX: y\r\n\r\nhello";
  ParserRecord record = { .handler = { &record_class } };
  gsize used;
  record.body = g_string_new (NULL);
  HbwHttpParser *parser
      = hbw_http_parser_create (HBW_HTTP_PARSER_RESPONSE, &record.handler);
  ck_assert_int_eq (hbw_http_parser_feed (parser, text, strlen (text), &used),
                    HBW_HTTP_PARSER_INCOMPLETE);
  ck_assert (hbw_http_parser_handle_eof (parser));
  ck_assert_str_eq (record.body->str, "hello");
  hbw_http_parser_reset (parser, FALSE);
  static const char truncated[]
      = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello";
  ck_assert_int_eq (
      hbw_http_parser_feed (parser, truncated, strlen (truncated), &used),
      HBW_HTTP_PARSER_INCOMPLETE);
  ck_assert (!hbw_http_parser_handle_eof (parser));
  hbw_http_parser_destroy (parser);
  g_string_free (record.body, TRUE);
}
END_TEST

START_TEST (resumed_stream_has_each_event_once)
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
  ck_assert (hbw_event_stream_has_partial (stream));
  hbw_event_stream_discard_partial (stream);
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
  tcase_add_test (tests, parsed_message_does_not_depend_on_piece_size);
  tcase_add_test (tests, message_with_invalid_framing_is_rejected);
  tcase_add_test (tests, response_without_length_ends_when_connection_closes);
  tcase_add_test (tests, resumed_stream_has_each_event_once);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
