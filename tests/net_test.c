/*
 * Unit tests of the HTTP message parser, the event stream splitter and the event
 * loop.
 */
#include "suite.h"

#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/http_parser.h"
#include "hornbeamwall/net/loop.h"
#include "hornbeamwall/net/peer_transport.h"
#include "hornbeamwall/net/tunnel_frame.h"
#include "hornbeamwall/net/upstream.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

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
  g_strlcpy (record->target, hbw_http_head_target (head), sizeof record->target);
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
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\nX Odd: 1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\nX-Sound: 1\r\n X-Odd: 1\r\n\r\n",
    "POST / HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  };
  static const gsize piece_sizes[] = { 1, 7, 4096 };
  for (gsize i = 0; i < G_N_ELEMENTS (texts); i++)
    for (gsize j = 0; j < G_N_ELEMENTS (piece_sizes); j++)
      {
        ParserRecord record = { .head_count = 0 };
        gsize used;
        HbwHttpParserState state = feed (&record, HBW_HTTP_PARSER_REQUEST, texts[i],
                                         piece_sizes[j], &used);
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

/* Guards against a server's end that is read from a cut block, or missed. */
START_TEST (frames_say_when_the_server_has_ended)
{
  static const char frames[] = "\0\0\0\3abc\0\0\0\1d\0\0\0\0rest";
  const gsize end = sizeof frames - sizeof "rest";
  for (gsize split = 0; split < sizeof frames - 1; split++)
    {
      HbwTunnelFrameReader reader = { .ended = FALSE };
      char out[sizeof frames];
      gsize count = hbw_tunnel_frame_read (&reader, frames, split, out);
      ck_assert_int_eq (reader.ended, split >= end);
      count += hbw_tunnel_frame_read (&reader, frames + split,
                                      sizeof frames - 1 - split, out + count);
      ck_assert (reader.ended);
      ck_assert_uint_eq (count, 4);
      ck_assert_mem_eq (out, "abcd", count);
    }
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

/* More descriptors than one poll returns. */
#define PEERS 200

#define PEER_TIMEOUT_US (1 * HBW_US_PER_S)

typedef struct LoopRecord LoopRecord;

/* A descriptor that must become ready before a timer is due. */
typedef struct
{
  HbwWatcher watcher;
  HbwTimer timer;
  LoopRecord *record;
} Peer;

struct LoopRecord
{
  HbwClock *clock;
  HbwLoop *loop;
  HbwTask stall;
  HbwTimer last_timer;
  Peer peers[PEERS];
  guint ready_count;
  guint timeout_count;
  gboolean stays_ready; /* the descriptors are not read */
  gboolean last_timer_ran;
};

static void
peer_handle_ready (HbwWatcher *watcher, guint events G_GNUC_UNUSED)
{
  Peer *peer = caa_container_of (watcher, Peer, watcher);
  guint64 count;
  peer->record->ready_count++;
  if (peer->record->stays_ready)
    return;
  ck_assert_int_gt (read (watcher->fd, &count, sizeof count), 0);
  hbw_loop_clear_timer (peer->record->loop, &peer->timer);
}

static void
peer_handle_timeout (HbwTimer *timer)
{
  caa_container_of (timer, Peer, timer)->record->timeout_count++;
}

static void
handle_last_timer (HbwTimer *timer)
{
  LoopRecord *record = caa_container_of (timer, LoopRecord, last_timer);
  record->last_timer_ran = TRUE;
  hbw_loop_stop (record->loop);
}

/* All descriptors become ready and all timers due while the thread stands still. */
static void
handle_stall (HbwTask *task, void *data G_GNUC_UNUSED)
{
  LoopRecord *record = caa_container_of (task, LoopRecord, stall);
  const guint64 one = 1;
  for (guint i = 0; i < PEERS; i++)
    ck_assert_int_gt (write (record->peers[i].watcher.fd, &one, sizeof one), 0);
  hbw_clock_advance (record->clock, 2 * PEER_TIMEOUT_US);
}

/* Runs a loop until its last timer has run. */
static void
run_stalled_loop (LoopRecord *record)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  record->clock = hbw_clock_create_manual (HBW_US_PER_S);
  record->loop = hbw_loop_create (record->clock, NULL, &error);
  ck_assert_msg (record->loop != NULL, "%s", error.message);
  for (guint i = 0; i < PEERS; i++)
    {
      Peer *peer = &record->peers[i];
      peer->record = record;
      peer->watcher.fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
      peer->watcher.handle_ready = peer_handle_ready;
      peer->timer.handle_due = peer_handle_timeout;
      ck_assert (hbw_loop_watch (record->loop, &peer->watcher, EPOLLIN));
      hbw_loop_set_timer (record->loop, &peer->timer, PEER_TIMEOUT_US);
    }
  record->last_timer.handle_due = handle_last_timer;
  hbw_loop_set_timer (record->loop, &record->last_timer, PEER_TIMEOUT_US + 1);
  record->stall.handle = handle_stall;
  hbw_loop_post (record->loop, &record->stall);
  hbw_loop_run (record->loop);
  for (guint i = 0; i < PEERS; i++)
    {
      hbw_loop_unwatch (record->loop, &record->peers[i].watcher);
      close (record->peers[i].watcher.fd);
    }
  hbw_loop_destroy (record->loop, NULL);
  hbw_clock_destroy (record->clock);
}

START_TEST (timer_runs_after_what_arrived_in_a_stall_is_handled)
{
  LoopRecord record = { .stays_ready = FALSE };
  run_stalled_loop (&record);
  ck_assert_uint_eq (record.timeout_count, 0);
  ck_assert_uint_eq (record.ready_count, PEERS);
}
END_TEST

START_TEST (timers_run_while_all_descriptors_stay_ready)
{
  LoopRecord record = { .stays_ready = TRUE };
  run_stalled_loop (&record);
  ck_assert (record.last_timer_ran);
  ck_assert_uint_eq (record.timeout_count, PEERS);
  ck_assert_uint_ge (record.ready_count, PEERS);
}
END_TEST

/* More than the buffers of a socket hold. */
#define LONG_BODY_SIZE ((gsize) 16 * 1024 * 1024)

typedef struct
{
  HbwChannelHandler handler;
  HbwLoop *loop;
  gsize received;
} Sender;

static void
sender_handle_bytes (HbwChannelHandler *handler, const char *bytes G_GNUC_UNUSED,
                     gsize length)
{
  caa_container_of (handler, Sender, handler)->received += length;
}

static void
sender_handle_end (HbwChannelHandler *handler, gboolean clean G_GNUC_UNUSED)
{
  hbw_loop_stop (caa_container_of (handler, Sender, handler)->loop);
}

static const HbwChannelHandlerClass sender_class = {
  .handle_bytes = sender_handle_bytes,
  .handle_end = sender_handle_end,
};

/* Connects two sockets. */
static void
connect_pair (int fds[2])
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *) &address, size), 0);
  ck_assert_int_eq (listen (listener, 1), 0);
  ck_assert_int_eq (getsockname (listener, (struct sockaddr *) &address, &size), 0);
  fds[0] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ck_assert_int_eq (connect (fds[0], (struct sockaddr *) &address, size), 0);
  fds[1] = accept (listener, NULL, NULL);
  ck_assert_int_ge (fds[1], 0);
  close (listener);
}

/* The peer responds before it has read all, and closes the connection. */
START_TEST (response_to_half_a_request_is_read_before_the_reset)
{
  static const char response[] = "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_manual (HBW_US_PER_S);
  Sender sender = { .handler = { &sender_class } };
  sender.loop = hbw_loop_create (clock, NULL, &error);
  int fds[2];
  connect_pair (fds);
  HbwChannel *channel = hbw_channel_adopt (sender.loop, fds[0], &sender.handler);
  char *body = g_malloc0 (LONG_BODY_SIZE);
  hbw_channel_write (channel, body, LONG_BODY_SIZE);
  g_free (body);
  ck_assert_uint_gt (hbw_channel_pending_bytes (channel), 0);
  ck_assert_int_eq (send (fds[1], response, strlen (response), 0),
                    (ssize_t) strlen (response));
  close (fds[1]);
  hbw_loop_run (sender.loop);
  ck_assert_uint_eq (sender.received, strlen (response));
  hbw_channel_destroy (channel);
  hbw_loop_destroy (sender.loop, NULL);
  hbw_clock_destroy (clock);
}
END_TEST

/* A connection, and another one whose first bytes come before its end and make the
   loop write to it or look at it. */
typedef struct
{
  HbwChannelHandler handler;
  HbwChannelHandler other_handler;
  HbwLoop *loop;
  HbwChannel *channel;
  void (*handle_other_bytes) (HbwChannel *channel);
  gboolean is_clean;
} ResetWatch;

static void
reset_watch_handle_bytes (HbwChannelHandler *handler G_GNUC_UNUSED,
                          const char *bytes G_GNUC_UNUSED,
                          gsize length G_GNUC_UNUSED)
{
}

static void
reset_watch_handle_end (HbwChannelHandler *handler, gboolean clean)
{
  ResetWatch *watch = caa_container_of (handler, ResetWatch, handler);
  watch->is_clean = clean;
  hbw_loop_stop (watch->loop);
}

static void
reset_watch_handle_other_bytes (HbwChannelHandler *handler,
                                const char *bytes G_GNUC_UNUSED,
                                gsize length G_GNUC_UNUSED)
{
  ResetWatch *watch = caa_container_of (handler, ResetWatch, other_handler);
  watch->handle_other_bytes (watch->channel);
}

static void
write_byte (HbwChannel *channel)
{
  hbw_channel_write (channel, "x", 1);
}

static void
write_byte_with_tail (HbwChannel *channel)
{
  HbwByteBlocks *tail = hbw_byte_blocks_create ();
  hbw_channel_write_with_tail (channel, "x", 1, tail);
  hbw_byte_blocks_unref (tail);
}

static void
look_for_unread_bytes (HbwChannel *channel)
{
  hbw_channel_has_unread_bytes (channel);
}

static const HbwChannelHandlerClass reset_watch_class
    = { .handle_bytes = reset_watch_handle_bytes,
        .handle_end = reset_watch_handle_end };

static const HbwChannelHandlerClass reset_watch_other_class
    = { .handle_bytes = reset_watch_handle_other_bytes,
        .handle_end = reset_watch_handle_end };

static void
check_reset_is_no_clean_end (void (*handle_other_bytes) (HbwChannel *channel))
{
  const struct linger reset_on_close = { 1, 0 };
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_manual (HBW_US_PER_S);
  ResetWatch watch = { .handler = { &reset_watch_class },
                       .other_handler = { &reset_watch_other_class },
                       .handle_other_bytes = handle_other_bytes,
                       .is_clean = TRUE };
  int fds[2];
  int other_fds[2];
  watch.loop = hbw_loop_create (clock, NULL, &error);
  connect_pair (fds);
  connect_pair (other_fds);
  watch.channel = hbw_channel_adopt (watch.loop, fds[0], &watch.handler);
  HbwChannel *other
      = hbw_channel_adopt (watch.loop, other_fds[0], &watch.other_handler);
  ck_assert_int_eq (send (other_fds[1], "x", 1, 0), 1);
  setsockopt (fds[1], SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close (fds[1]);
  hbw_loop_run (watch.loop);
  ck_assert (!watch.is_clean);
  hbw_channel_destroy (watch.channel);
  hbw_channel_destroy (other);
  close (other_fds[1]);
  hbw_loop_destroy (watch.loop, NULL);
  hbw_clock_destroy (clock);
}

/* Guards against a reset that is taken for an orderly end, and so completes a
   response without a length, because a write has met it first. */
START_TEST (reset_that_a_write_meets_is_no_clean_end)
{
  check_reset_is_no_clean_end (write_byte);
  check_reset_is_no_clean_end (write_byte_with_tail);
}
END_TEST

START_TEST (reset_that_a_look_at_the_bytes_meets_is_no_clean_end)
{
  check_reset_is_no_clean_end (look_for_unread_bytes);
}
END_TEST

typedef struct
{
  HbwUpstreamHandler handler;
  HbwLoop *loop;
  guint ended;
} Requester;

static void
requester_handle_open (HbwUpstreamHandler *handler G_GNUC_UNUSED)
{
}

static HbwResponseAction
requester_handle_head (HbwUpstreamHandler *handler G_GNUC_UNUSED,
                       HbwHttpHead *head G_GNUC_UNUSED)
{
  return HBW_RESPONSE_ACCEPT;
}

static void
requester_handle_body (HbwUpstreamHandler *handler G_GNUC_UNUSED,
                       const char *bytes G_GNUC_UNUSED, gsize length G_GNUC_UNUSED)
{
}

static void
requester_handle_end (HbwUpstreamHandler *handler, HbwUpstreamEnd end)
{
  ck_assert_int_eq (end, HBW_UPSTREAM_COMPLETE);
  hbw_loop_stop (caa_container_of (handler, Requester, handler)->loop);
}

static const HbwUpstreamHandlerClass requester_class
    = { requester_handle_open, requester_handle_head, requester_handle_body,
        requester_handle_end };

/* Ends a loop that waits in vain. */
typedef struct
{
  HbwTimer timer;
  HbwLoop *loop;
  gboolean is_due;
} Stopper;

static void
stopper_handle_due (HbwTimer *timer)
{
  Stopper *stopper = caa_container_of (timer, Stopper, timer);
  stopper->is_due = TRUE;
  hbw_loop_stop (stopper->loop);
}

/* A request may come before the timer that closes the connection runs. */
START_TEST (server_connection_idle_for_too_long_is_not_reused)
{
  static const char response[]
      = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n";
  static const char request[] = "GET / HTTP/1.1\r\n\r\n";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_manual (HBW_US_PER_S);
  Requester requester = { .handler = { &requester_class } };
  requester.loop = hbw_loop_create (clock, NULL, &error);
  HbwUpstreamPool *pool = hbw_upstream_pool_create (requester.loop, "");
  int listener = hbw_listen ("127.0.0.1:0", &error);
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hbw_listen_port (listener));
  HbwUpstreamConfig config
      = { .server_name = "s", .address = address, .request_id = "first" };
  config.request = g_bytes_new_static (request, strlen (request));
  config.connect_timeout_us = HBW_US_PER_S;
  hbw_upstream_send (pool, &config, &requester.handler);
  int first = accept (listener, NULL, NULL);
  ck_assert_int_ge (first, 0);
  ck_assert_int_gt (send (first, response, strlen (response), 0), 0);
  hbw_loop_run (requester.loop);
  hbw_clock_advance (clock, HBW_US_PER_S);
  config.request_id = "second";
  hbw_upstream_send (pool, &config, &requester.handler);
  int second = accept (listener, NULL, NULL);
  ck_assert_int_ge (second, 0);
  close (second);
  close (first);
  close (listener);
  g_bytes_unref (config.request);
  hbw_upstream_pool_destroy (pool);
  hbw_loop_destroy (requester.loop, NULL);
  hbw_clock_destroy (clock);
}
END_TEST

/* A response that precedes the one to a HEAD request does not change that its body
   is announced only. */
START_TEST (response_to_head_request_ends_after_an_interim_one)
{
  static const char response[] = "HTTP/1.1 103 Early Hints\r\n\r\n"
                                 "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
  static const char request[] = "HEAD / HTTP/1.1\r\n\r\n";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_system ();
  Requester requester = { .handler = { &requester_class } };
  requester.loop = hbw_loop_create (clock, NULL, &error);
  HbwUpstreamPool *pool = hbw_upstream_pool_create (requester.loop, "");
  int listener = hbw_listen ("127.0.0.1:0", &error);
  char address[32];
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hbw_listen_port (listener));
  HbwUpstreamConfig config = { .server_name = "s",
                               .address = address,
                               .request_id = "first",
                               .is_head_request = TRUE };
  config.request = g_bytes_new_static (request, strlen (request));
  config.connect_timeout_us = HBW_US_PER_S;
  Stopper stopper = { .timer = { .handle_due = stopper_handle_due } };
  stopper.loop = requester.loop;
  hbw_loop_set_timer (requester.loop, &stopper.timer, HBW_US_PER_S);
  hbw_upstream_send (pool, &config, &requester.handler);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  ck_assert_int_gt (send (fd, response, strlen (response), 0), 0);
  hbw_loop_run (requester.loop);
  ck_assert (!stopper.is_due);
  hbw_loop_clear_timer (requester.loop, &stopper.timer);
  close (fd);
  close (listener);
  g_bytes_unref (config.request);
  hbw_upstream_pool_destroy (pool);
  hbw_loop_destroy (requester.loop, NULL);
  hbw_clock_destroy (clock);
}
END_TEST

#define OPEN_HEAD "HTTP/1.1 200 OK\r\n\r\n"
#define OPEN_FRAME "\0\0\0\x15" OPEN_HEAD "ab"

/* An instance between that answers ANSWER, and PAYLOAD to the request, and ends. */
typedef struct
{
  int listener;
  char answer;
  const char *payload;
  gsize length;
} Between;

static void
read_until (int fd, const char *end)
{
  gsize matched = 0;
  char byte;
  while (end[matched] != '\0' && recv (fd, &byte, 1, 0) == 1)
    matched = byte == end[matched] ? matched + 1 : byte == end[0];
}

static void *
run_between (void *data)
{
  const Between *between = data;
  int fd = accept (between->listener, NULL, NULL);
  read_until (fd, "\n");
  send (fd, &between->answer, 1, 0);
  read_until (fd, "\r\n\r\n");
  send (fd, between->payload, between->length, 0);
  close (fd);
  return NULL;
}

typedef struct
{
  HbwUpstreamHandler handler;
  HbwLoop *loop;
  HbwUpstreamEnd end;
} EndRecorder;

static void
recorder_handle_end (HbwUpstreamHandler *handler, HbwUpstreamEnd end)
{
  EndRecorder *recorder = caa_container_of (handler, EndRecorder, handler);
  recorder->end = end;
  hbw_loop_stop (recorder->loop);
}

static const HbwUpstreamHandlerClass recorder_class
    = { requester_handle_open, requester_handle_head, requester_handle_body,
        recorder_handle_end };

static HbwUpstreamEnd
request_through (char answer, const char *payload, gsize length)
{
  static const char request[] = "GET / HTTP/1.1\r\n\r\n";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_system ();
  EndRecorder recorder = { .handler = { &recorder_class } };
  recorder.loop = hbw_loop_create (clock, NULL, &error);
  HbwUpstreamPool *pool = hbw_upstream_pool_create (recorder.loop, "");
  Between between = { hbw_listen ("127.0.0.1:0", &error), answer, payload, length };
  char address[32];
  pthread_t thread;
  g_snprintf (address, sizeof address, "127.0.0.1:%u",
              hbw_listen_port (between.listener));
  const int flags = fcntl (between.listener, F_GETFL);
  fcntl (between.listener, F_SETFL, flags & ~O_NONBLOCK);
  pthread_create (&thread, NULL, run_between, &between);
  HbwUpstreamConfig config = { .server_name = "s",
                               .tunnel_address = address,
                               .request_id = "first",
                               .connect_timeout_us = HBW_US_PER_S };
  config.request = g_bytes_new_static (request, strlen (request));
  hbw_upstream_send (pool, &config, &recorder.handler);
  hbw_loop_run (recorder.loop);
  pthread_join (thread, NULL);
  close (between.listener);
  g_bytes_unref (config.request);
  hbw_upstream_pool_destroy (pool);
  hbw_loop_destroy (recorder.loop, NULL);
  hbw_clock_destroy (clock);
  return recorder.end;
}

/* Guards against the end of an instance between, also of an earlier version, that is
   taken for the server's. */
START_TEST (end_of_a_tunnel_completes_nothing_by_itself)
{
  static const char plain[] = OPEN_HEAD "ab";
  static const char cut[] = OPEN_FRAME;
  static const char whole[] = OPEN_FRAME "\0\0\0\0";
  ck_assert_int_eq (request_through ('+', plain, sizeof plain - 1),
                    HBW_UPSTREAM_BROKEN);
  ck_assert_int_eq (request_through ('*', cut, sizeof cut - 1), HBW_UPSTREAM_BROKEN);
  ck_assert_int_eq (request_through ('*', whole, sizeof whole - 1),
                    HBW_UPSTREAM_COMPLETE_BY_CLOSE);
}
END_TEST

static HbwUpstreamEnd
open_to (HbwUpstreamConfig *config)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_system ();
  EndRecorder recorder = { .handler = { &recorder_class } };
  recorder.loop = hbw_loop_create (clock, NULL, &error);
  HbwUpstreamPool *pool = hbw_upstream_pool_create (recorder.loop, "");
  config->server_name = "s";
  config->connect_timeout_us = HBW_US_PER_S;
  if (hbw_upstream_open (pool, config, &recorder.handler) != NULL)
    hbw_loop_run (recorder.loop);
  hbw_upstream_pool_destroy (pool);
  hbw_loop_destroy (recorder.loop, NULL);
  hbw_clock_destroy (clock);
  return recorder.end;
}

/* Guards against an instance between that is gone and is taken for the server. */
START_TEST (refused_connection_tells_of_the_server_only_if_it_is_direct)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  char address[32];
  int listener = hbw_listen ("127.0.0.1:0", &error);
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hbw_listen_port (listener));
  HbwUpstreamConfig direct = { .address = address };
  HbwUpstreamConfig tunnelled = { .tunnel_address = address };
  ck_assert_int_eq (open_to (&direct), HBW_UPSTREAM_COMPLETE);
  close (listener);
  ck_assert_int_eq (open_to (&direct), HBW_UPSTREAM_NOT_LISTENING);
  ck_assert_int_eq (open_to (&tunnelled), HBW_UPSTREAM_NO_TUNNEL);
}
END_TEST

/* More than the pool keeps in total, one to each server. */
#define IDLE_SERVERS 260
#define IDLE_KEPT_MAX 256

static void
last_requester_handle_end (HbwUpstreamHandler *handler, HbwUpstreamEnd end)
{
  Requester *requester = caa_container_of (handler, Requester, handler);
  ck_assert_int_eq (end, HBW_UPSTREAM_COMPLETE);
  if (++requester->ended == IDLE_SERVERS)
    hbw_loop_stop (requester->loop);
}

static const HbwUpstreamHandlerClass last_requester_class
    = { requester_handle_open, requester_handle_head, requester_handle_body,
        last_requester_handle_end };

/* They must leave descriptors for callers. */
START_TEST (idle_connections_to_all_servers_are_bounded)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  static const char request[] = "GET / HTTP/1.1\r\n\r\n";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwClock *clock = hbw_clock_create_manual (HBW_US_PER_S);
  Requester requester = { .handler = { &last_requester_class } };
  requester.loop = hbw_loop_create (clock, NULL, &error);
  HbwUpstreamPool *pool = hbw_upstream_pool_create (requester.loop, "");
  int listener = hbw_listen ("127.0.0.1:0", &error);
  char address[32];
  int fds[IDLE_SERVERS];
  guint open_count = 0;
  g_snprintf (address, sizeof address, "127.0.0.1:%u", hbw_listen_port (listener));
  HbwUpstreamConfig config = { .address = address };
  config.request = g_bytes_new_static (request, strlen (request));
  config.connect_timeout_us = HBW_US_PER_S;
  for (guint i = 0; i < IDLE_SERVERS; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "s%u", i);
      config.server_name = name;
      hbw_upstream_send (pool, &config, &requester.handler);
      fds[i] = accept (listener, NULL, NULL);
      ck_assert_int_ge (fds[i], 0);
      ck_assert_int_gt (send (fds[i], response, strlen (response), 0), 0);
    }
  hbw_loop_run (requester.loop);
  for (guint i = 0; i < IDLE_SERVERS; i++)
    {
      char bytes[sizeof request];
      ck_assert_int_gt (recv (fds[i], bytes, sizeof bytes, 0), 0);
      open_count += recv (fds[i], bytes, sizeof bytes, MSG_DONTWAIT) < 0;
      close (fds[i]);
    }
  ck_assert_uint_eq (open_count, IDLE_KEPT_MAX);
  close (listener);
  g_bytes_unref (config.request);
  hbw_upstream_pool_destroy (pool);
  hbw_loop_destroy (requester.loop, NULL);
  hbw_clock_destroy (clock);
}
END_TEST

/* Peers, the messages of each that are not read yet, and the memory for all. */
#define SENDERS 8
#define UNREAD_MESSAGES 800
#define UNREAD_BYTES_MAX (8 * 1024 * 1024)

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
/* Of the sanitizer's allocator interface; gcc brings no header for it. */
size_t __sanitizer_get_current_allocated_bytes (void);

/* The allocator of a sanitizer keeps freed memory, which does not count. */
static gsize
count_used_bytes (void)
{
  return __sanitizer_get_current_allocated_bytes ();
}
#else
static gsize
count_used_bytes (void)
{
  return suite_count_resident_bytes ();
}
#endif

/* The messages of hundreds of peers wait while the processor is busy. */
START_TEST (unread_peer_messages_take_little_memory)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwPeerTransport *to = hbw_peer_transport_create ("127.0.0.1:0", 1, &error);
  HbwPeerTransport *from[SENDERS];
  const HbwMessage message = { .kind = HBW_MESSAGE_LOADS, .loads.load_count = 8 };
  for (guint i = 0; i < SENDERS; i++)
    from[i] = hbw_peer_transport_create ("127.0.0.1:0", 2 + i, &error);
  gsize before = count_used_bytes ();
  for (guint i = 0; i < SENDERS * UNREAD_MESSAGES; i++)
    {
      HbwPeerTransport *peer = from[i % SENDERS];
      hbw_peer_transport_post (peer, hbw_peer_transport_address (to), &message);
      hbw_peer_transport_flush (peer, 0);
      g_usleep (50); /* so that they arrive one by one */
    }
  g_usleep (100000);
  gsize after = count_used_bytes ();
  for (guint i = 0; i < SENDERS; i++)
    hbw_peer_transport_destroy (from[i]);
  hbw_peer_transport_destroy (to);
  ck_assert_uint_le (after - MIN (before, after), UNREAD_BYTES_MAX);
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
  tcase_add_test (tests, frames_say_when_the_server_has_ended);
  tcase_add_test (tests, resumed_stream_has_each_event_once);
  tcase_add_test (tests, timer_runs_after_what_arrived_in_a_stall_is_handled);
  tcase_add_test (tests, timers_run_while_all_descriptors_stay_ready);
  suite_add_tcase (suite, tests);
  suite_add_test (suite, "end_of_a_tunnel_completes_nothing_by_itself",
                  end_of_a_tunnel_completes_nothing_by_itself);
  suite_add_test (suite,
                  "refused_connection_tells_of_the_server_only_if_it_is_direct",
                  refused_connection_tells_of_the_server_only_if_it_is_direct);
  suite_add_test (suite, "response_to_half_a_request_is_read_before_the_reset",
                  response_to_half_a_request_is_read_before_the_reset);
  suite_add_test (suite, "reset_that_a_write_meets_is_no_clean_end",
                  reset_that_a_write_meets_is_no_clean_end);
  suite_add_test (suite, "reset_that_a_look_at_the_bytes_meets_is_no_clean_end",
                  reset_that_a_look_at_the_bytes_meets_is_no_clean_end);
  suite_add_test (suite, "server_connection_idle_for_too_long_is_not_reused",
                  server_connection_idle_for_too_long_is_not_reused);
  suite_add_test (suite, "unread_peer_messages_take_little_memory",
                  unread_peer_messages_take_little_memory);
  suite_add_test (suite, "response_to_head_request_ends_after_an_interim_one",
                  response_to_head_request_ends_after_an_interim_one);
  suite_add_test (suite, "idle_connections_to_all_servers_are_bounded",
                  idle_connections_to_all_servers_are_bounded);
  return suite_run (suite);
}
