#include "hornbeamwall/net/downstream.h"

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/exchange.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes of pipelined requests that are buffered before reading pauses. */
#define PIPELINED_BYTES_MAX ((guint) 64 * 1024)

/* The same while much memory is used: no more is read than has come already. */
#define TIGHT_PIPELINED_BYTES_MAX ((guint) 0)

/* Bytes waiting for a slow caller, while much memory is used, above which neither
   the server's response nor the caller's next request is read. */
#define TIGHT_PENDING_BYTES_MAX ((gsize) 32 * 1024)

/* How much longer than the idle timeout a connection is kept, so that a request that
   the caller sends in time finds it open.  The caller may know of a longer timeout
   before this instance does. */
#define IDLE_GRACE_US (5 * HBW_US_PER_S)

/* After which a connection with unread bytes is looked at again. */
#define UNREAD_DELAY_US (1 * HBW_US_PER_MS)

/* After which a connection is looked at again while a response is being sent. */
#define SENDING_DELAY_US (1 * HBW_US_PER_S)

/* How long a caller may read nothing of a response, in milliseconds. */
#define PAUSE_MAX_MS 30000

/* How long a caller may take to close the connection after this side has. */
#define LINGER_TIMEOUT_US (1 * HBW_US_PER_S)

/* Retry-After of requests that are refused because too many bodies are in memory. */
#define RETRY_AFTER_US (500 * HBW_US_PER_MS)

/* Bytes that a connection occupies besides its own structures: the system's and the
   loop's entries. */
#define CONNECTION_OVERHEAD 1024

/* Bytes of all request bodies in memory, above which requests are refused if there
   is no memory budget. */
#define REQUEST_BODIES_MAX ((gsize) 32 * 1024 * 1024)

/* What a connection waits for. */
typedef enum
{
  WAIT_REQUEST,
  WAIT_HEAD, /* the rest of it */
  WAIT_BODY,
  WAIT_CALLER_END,
} Wait;

/* Why a connection is closed. */
typedef enum
{
  CLOSE_NONE,
  CLOSE_IDLE,         /* no request for the idle timeout */
  CLOSE_TIMEOUT,      /* the rest of a request did not come in time */
  CLOSE_REFUSAL,      /* a request was refused before it was read */
  CLOSE_DRAIN,        /* this instance is stopping */
  CLOSE_ASKED,        /* by the caller's request */
  CLOSE_ABORT,        /* the response cannot be completed */
  CLOSE_STOP,         /* this instance has stopped */
  CLOSE_CALLER_END,   /* the caller has closed it */
  CLOSE_CALLER_RESET, /* the caller has reset it, or is not reachable */
  CLOSE_LIMIT,        /* there is no room for another connection */
  CLOSE_MEMORY,       /* there is no memory for what it holds */
} CloseCause;

static const char *const close_cause_names[] = {
  "none",  "idle", "timeout",    "refusal",      "drain", "asked",
  "abort", "stop", "caller_end", "caller_reset", "limit", "memory",
};

struct HbwDownstream
{
  HbwChannelHandler channel_handler;
  HbwHttpParserHandler parser_handler;
  struct cds_list_head link;
  struct cds_list_head idle_link; /* in traffic->idle_downstreams, or in no list */
  HbwTraffic *traffic;
  HbwMemoryHolder memory;
  HbwChannel *channel;
  HbwHttpParser *parser;
  HbwCallerLimits limits; /* for the bytes that are being parsed */
  HbwTimer timer;         /* for wait */
  Wait wait;
  gint64 wait_began_us;
  gint64 wait_limit_us;  /* when it began */
  gint64 announced_us;   /* idle timeout in the last response */
  HbwByteBuffer input;   /* bytes received and not parsed yet */
  HbwExchange *exchange; /* for the request in progress, or NULL */
  CloseCause close_cause;
  const char *close_state; /* what had been read when the cause arose */
  gint64 close_wait_us;    /* how long it had waited when the cause arose */
  char close_request_id[HBW_CALLER_REQUEST_ID_MAX]; /* in progress then, or "" */
  guint request_count;
  gsize request_bytes;  /* of the request in progress that were parsed */
  gsize close_bytes;    /* request_bytes when the cause arose */
  gsize unparsed_bytes; /* discarded when this side began to close */
  gsize late_bytes;     /* received after this side began to close */
  gsize response_bytes; /* written, of the response in progress or the last one */
  gsize unsent_bytes;   /* of these, when the channel was destroyed */
  guint refusal_status; /* status with which the request is refused, or 0 */
  gboolean reading_request; /* the request in progress is incomplete */
  gboolean responding;
  gboolean response_chunked;
  gboolean close_after_response;
  gboolean closing;       /* the sending side is shut down */
  gboolean parsing_input; /* process_input() is running, so nothing may be freed */
  gboolean destroyed;
};

static void process_input (HbwDownstream *downstream);

static gint64
get_now (const HbwDownstream *downstream)
{
  return hbw_loop_now (downstream->traffic->loop);
}

static const char *
get_state_name (const HbwDownstream *downstream)
{
  if (downstream->exchange != NULL)
    return downstream->reading_request ? "body" : "response";
  return downstream->request_bytes > 0 ? "head" : "idle";
}

/* The first cause is kept. */
static void
set_close_cause (HbwDownstream *downstream, CloseCause cause)
{
  if (downstream->close_cause != CLOSE_NONE)
    return;
  downstream->close_cause = cause;
  downstream->close_state = get_state_name (downstream);
  downstream->close_bytes = downstream->request_bytes;
  downstream->close_wait_us = get_now (downstream) - downstream->wait_began_us;
  if (downstream->exchange != NULL)
    g_strlcpy (downstream->close_request_id,
               hbw_exchange_caller_request_id (downstream->exchange),
               sizeof downstream->close_request_id);
}

static HbwMemoryUse
get_memory_use (const HbwDownstream *downstream)
{
  gboolean has_pending = hbw_channel_pending_bytes (downstream->channel) > 0;
  if (has_pending || (downstream->responding && downstream->input.length > 0))
    return HBW_MEMORY_BACKLOG;
  if (downstream->responding || downstream->closing || downstream->exchange != NULL)
    return HBW_MEMORY_KEPT;
  return downstream->request_bytes > 0 ? HBW_MEMORY_HEAD : HBW_MEMORY_IDLE;
}

static void
update_memory (HbwDownstream *downstream)
{
  gsize bytes = sizeof *downstream + CONNECTION_OVERHEAD + downstream->input.capacity
                + hbw_http_parser_cost (downstream->parser)
                + hbw_channel_cost (downstream->channel);
  hbw_memory_holder_set (&downstream->memory, get_memory_use (downstream), bytes);
}

static gboolean
is_memory_tight (const HbwDownstream *downstream)
{
  return hbw_memory_budget_is_tight (downstream->traffic->memory);
}

/* Returns whether the caller has to take responses before its next request is read.
   Each of them may be small, but there is no bound on their number. */
static gboolean
must_catch_up (const HbwDownstream *downstream)
{
  return is_memory_tight (downstream)
         && hbw_channel_pending_bytes (downstream->channel)
                > TIGHT_PENDING_BYTES_MAX;
}

static void
write_response (HbwDownstream *downstream, const char *bytes, gsize length)
{
  downstream->response_bytes += length;
  hbw_channel_write (downstream->channel, bytes, length);
  update_memory (downstream);
}

/* A connection that was closed by the caller, or as it asked, between two requests
   is not worth a line. */
static gboolean
is_routine_close (const HbwDownstream *downstream)
{
  gboolean by_caller = downstream->close_cause == CLOSE_ASKED
                       || downstream->close_cause == CLOSE_CALLER_END
                       || downstream->close_cause == CLOSE_CALLER_RESET;
  return by_caller && downstream->exchange == NULL && downstream->request_bytes == 0
         && downstream->late_bytes == 0 && downstream->input.length == 0
         && downstream->unparsed_bytes == 0 && downstream->unsent_bytes == 0;
}

static void
log_close (const HbwDownstream *downstream)
{
  const char *id = downstream->close_request_id;
  char text[512];
  if (is_routine_close (downstream))
    return;
  g_snprintf (text, sizeof text,
              "cause=%s state=%s requests=%u request_bytes=%zu buffered_bytes=%zu "
              "late_bytes=%zu response_bytes=%zu unsent_bytes=%zu "
              "waited_ms=%" G_GINT64_FORMAT "%s%s",
              close_cause_names[downstream->close_cause], downstream->close_state,
              downstream->request_count, downstream->close_bytes,
              downstream->input.length + downstream->unparsed_bytes,
              downstream->late_bytes, downstream->response_bytes,
              downstream->unsent_bytes, downstream->close_wait_us / HBW_US_PER_MS,
              *id != '\0' ? " request=" : "", id);
  hbw_log_write (HBW_LOG_CONNECTION_CLOSED, text);
}

static void
downstream_destroy (HbwDownstream *downstream)
{
  HbwTraffic *traffic = downstream->traffic;
  HbwExchange *exchange = downstream->exchange;
  if (downstream->channel != NULL)
    downstream->unsent_bytes = hbw_channel_pending_bytes (downstream->channel);
  if (!downstream->destroyed)
    log_close (downstream);
  downstream->exchange = NULL;
  if (exchange != NULL)
    hbw_exchange_handle_caller_gone (exchange);
  downstream->destroyed = TRUE;
  if (downstream->parsing_input)
    return;
  hbw_loop_clear_timer (traffic->loop, &downstream->timer);
  hbw_memory_holder_clear (&downstream->memory);
  cds_list_del (&downstream->link);
  cds_list_del (&downstream->idle_link);
  traffic->downstream_count--;
  hbw_http_parser_destroy (downstream->parser);
  if (downstream->channel != NULL && downstream->close_cause == CLOSE_MEMORY)
    hbw_channel_abort (downstream->channel); /* a response may be incomplete */
  else if (downstream->channel != NULL)
    hbw_channel_destroy (downstream->channel);
  hbw_byte_buffer_clear (&downstream->input);
  g_free (downstream);
}

static gint64
get_limit_us (Wait wait, const HbwCallerLimits *limits)
{
  switch (wait)
    {
    case WAIT_HEAD:
      return limits->header_timeout_us;
    case WAIT_CALLER_END:
      return LINGER_TIMEOUT_US;
    default:
      return limits->idle_timeout_us;
    }
}

static gint64
get_grace_us (Wait wait)
{
  return wait == WAIT_REQUEST ? IDLE_GRACE_US : 0;
}

static void
set_timer (HbwDownstream *downstream, gint64 delay_us)
{
  hbw_loop_set_timer (downstream->traffic->loop, &downstream->timer, delay_us);
}

static void
update_idle_list (HbwDownstream *downstream, Wait wait)
{
  cds_list_del (&downstream->idle_link);
  CDS_INIT_LIST_HEAD (&downstream->idle_link);
  if (wait == WAIT_REQUEST)
    cds_list_add_tail (&downstream->idle_link,
                       &downstream->traffic->idle_downstreams);
}

static void
begin_wait (HbwDownstream *downstream, Wait wait, const HbwCallerLimits *limits)
{
  update_idle_list (downstream, wait);
  downstream->wait = wait;
  downstream->wait_began_us = get_now (downstream);
  downstream->wait_limit_us = get_limit_us (wait, limits);
  if (wait == WAIT_REQUEST)
    downstream->wait_limit_us
        = MAX (downstream->wait_limit_us, downstream->announced_us);
  set_timer (downstream, downstream->wait_limit_us + get_grace_us (wait));
}

/* Returns how much of the time for what the connection waits for is left, without
   the grace.  A limit that was raised meanwhile holds; one that was lowered does
   not. */
static gint64
get_limit_left (const HbwDownstream *downstream, const HbwCallerLimits *limits)
{
  gint64 limit_us
      = MAX (downstream->wait_limit_us, get_limit_us (downstream->wait, limits));
  return downstream->wait_began_us + limit_us - get_now (downstream);
}

static gint64
get_time_left (const HbwDownstream *downstream)
{
  const HbwCallerLimits limits = hbw_traffic_caller_limits (downstream->traffic);
  return get_limit_left (downstream, &limits) + get_grace_us (downstream->wait);
}

static void
discard_input (HbwDownstream *downstream, HbwByteBuffer *input)
{
  downstream->unparsed_bytes += input->length;
  hbw_byte_buffer_clear (input);
}

static void
begin_lingering_close (HbwDownstream *downstream)
{
  set_close_cause (downstream,
                   downstream->traffic->draining ? CLOSE_DRAIN : CLOSE_ASKED);
  downstream->closing = TRUE;
  discard_input (downstream, &downstream->input);
  hbw_http_parser_reset (downstream->parser, FALSE);
  hbw_channel_shutdown_write (downstream->channel);
  update_memory (downstream);
  begin_wait (downstream, WAIT_CALLER_END, &downstream->limits);
}

static void
begin_idle_wait (HbwDownstream *downstream)
{
  const HbwCallerLimits limits = hbw_traffic_caller_limits (downstream->traffic);
  begin_wait (downstream, WAIT_REQUEST, &limits);
}

/* Sends a response without a body to a request that was not submitted.  The
   connection is closed, because the request may not have been read completely. */
static void
respond_without_body (HbwDownstream *downstream, guint status)
{
  downstream->close_after_response = TRUE;
  char fields[64] = "";
  if (status == 503)
    g_snprintf (fields, sizeof fields, "Retry-After: %.3f\r\n",
                (double) RETRY_AFTER_US / HBW_US_PER_S);
  hbw_downstream_begin_response (downstream, status, fields, 0);
  hbw_downstream_end_response (downstream);
}

static HbwDownstream *
downstream_of_parser (HbwHttpParserHandler *handler)
{
  return caa_container_of (handler, HbwDownstream, parser_handler);
}

/* Returns whether the request can be forwarded unchanged and is unambiguous. */
static gboolean
is_forwardable (const HbwHttpHead *head)
{
  return *hbw_http_head_target (head) == '/'
         && hbw_http_head_count (head, "Host") == 1
         && hbw_http_head_count (head, "Content-Length") <= 1
         && hbw_http_head_count (head, "Transfer-Encoding") <= 1
         && strcmp (head->method, "CONNECT") != 0;
}

static void
handle_head (HbwHttpParserHandler *handler, HbwHttpHead *head)
{
  HbwDownstream *downstream = downstream_of_parser (handler);
  HbwTraffic *traffic = downstream->traffic;
  const HbwCallerLimits *limits = &downstream->limits;
  downstream->close_after_response |= !head->keep_alive || traffic->draining;
  begin_wait (downstream, WAIT_BODY, limits);
  if (head->size > limits->header_max)
    downstream->refusal_status = 431;
  else if (head->has_length && head->length > limits->body_max)
    downstream->refusal_status = 413;
  else if (!is_forwardable (head))
    downstream->refusal_status = 400;
  else if (!hbw_memory_budget_admit (traffic->memory,
                                     head->has_length ? (gsize) head->length : 0))
    downstream->refusal_status = 503;
  if (downstream->refusal_status != 0)
    return;
  const char *expect = hbw_http_head_find (head, "Expect");
  downstream->exchange = hbw_exchange_create (
      traffic, downstream, hbw_http_parser_steal_head (downstream->parser));
  downstream->reading_request = TRUE;
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    {
      static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
      hbw_channel_write (downstream->channel, continue_response,
                         strlen (continue_response));
    }
}

static void
handle_body (HbwHttpParserHandler *handler, const char *bytes, gsize length)
{
  HbwDownstream *downstream = downstream_of_parser (handler);
  const HbwCallerLimits *limits = &downstream->limits;
  if (downstream->exchange == NULL || downstream->refusal_status != 0)
    return;
  begin_wait (downstream, WAIT_BODY, limits);
  if (hbw_exchange_add_body (downstream->exchange, bytes, length) > limits->body_max)
    downstream->refusal_status = 413;
  else if (!hbw_memory_budget_has_limit (downstream->traffic->memory)
           && downstream->traffic->request_body_bytes > REQUEST_BODIES_MAX)
    downstream->refusal_status = 503;
}

static const HbwHttpParserHandlerClass parser_handler_class
    = { handle_head, handle_body };

/* Discards the request that is being read and responds with STATUS. */
static void
reject_request (HbwDownstream *downstream, guint status)
{
  HbwExchange *exchange = downstream->exchange;
  set_close_cause (downstream, CLOSE_REFUSAL);
  downstream->exchange = NULL;
  downstream->reading_request = FALSE;
  if (exchange != NULL)
    hbw_exchange_destroy (exchange);
  respond_without_body (downstream, status);
}

static void
submit_request (HbwDownstream *downstream)
{
  downstream->reading_request = FALSE;
  downstream->request_count++;
  downstream->responding = TRUE;
  hbw_loop_clear_timer (downstream->traffic->loop, &downstream->timer);
  hbw_exchange_submit (downstream->exchange);
}

/* Others may have become complete since the head was read. */
static void
handle_complete_request (HbwDownstream *downstream)
{
  gsize bytes = hbw_exchange_cost (downstream->exchange);
  if (hbw_memory_budget_admit (downstream->traffic->memory, bytes))
    submit_request (downstream);
  else
    reject_request (downstream, 503);
}

/* Parses BYTES; returns the number of bytes parsed. */
static gsize
parse_bytes (HbwDownstream *downstream, const char *bytes, gsize length)
{
  gsize used;
  downstream->limits = hbw_traffic_caller_limits (downstream->traffic);
  if (downstream->request_bytes == 0)
    downstream->response_bytes = 0;
  HbwHttpParserState state
      = hbw_http_parser_feed (downstream->parser, bytes, length, &used);
  if (downstream->destroyed)
    return used;
  if (downstream->wait == WAIT_REQUEST
      && hbw_http_parser_has_begun (downstream->parser))
    begin_wait (downstream, WAIT_HEAD, &downstream->limits);
  downstream->request_bytes += used;
  if (downstream->refusal_status != 0)
    reject_request (downstream, downstream->refusal_status);
  else if (state == HBW_HTTP_PARSER_ERROR)
    reject_request (downstream, 400);
  else if (state == HBW_HTTP_PARSER_COMPLETE)
    handle_complete_request (downstream);
  else if (hbw_http_parser_head_size (downstream->parser)
           > downstream->limits.header_max)
    reject_request (downstream, 431);
  return used;
}

static HbwDownstream *
downstream_of_channel (HbwChannelHandler *handler)
{
  return caa_container_of (handler, HbwDownstream, channel_handler);
}

static gboolean
can_parse (const HbwDownstream *downstream)
{
  return !downstream->destroyed && !downstream->responding && !downstream->closing
         && !must_catch_up (downstream);
}

/* Parses BYTES until a request is submitted; returns the number of bytes parsed. */
static gsize
parse_requests (HbwDownstream *downstream, const char *bytes, gsize length)
{
  gsize used = 0;
  while (used < length && can_parse (downstream))
    used += parse_bytes (downstream, bytes + used, length - used);
  return used;
}

static void
finish_parsing (HbwDownstream *downstream)
{
  guint buffered_max = is_memory_tight (downstream) ? TIGHT_PIPELINED_BYTES_MAX
                                                    : PIPELINED_BYTES_MAX;
  if (downstream->destroyed)
    {
      downstream_destroy (downstream);
      return;
    }
  if (downstream->input.length > buffered_max)
    hbw_channel_set_reading (downstream->channel, FALSE);
  update_memory (downstream);
}

static void
handle_bytes (HbwChannelHandler *handler, const char *bytes, gsize length)
{
  HbwDownstream *downstream = downstream_of_channel (handler);
  if (downstream->closing)
    {
      downstream->late_bytes += length;
      return;
    }
  if (downstream->input.length > 0 || !can_parse (downstream))
    {
      hbw_byte_buffer_append (&downstream->input, bytes, length);
      process_input (downstream);
      return;
    }
  downstream->parsing_input = TRUE;
  gsize used = parse_requests (downstream, bytes, length);
  downstream->parsing_input = FALSE;
  if (downstream->closing)
    downstream->unparsed_bytes += length - used;
  else
    hbw_byte_buffer_append (&downstream->input, bytes + used, length - used);
  finish_parsing (downstream);
}

/* Parses buffered bytes until a request is submitted.  Parsing may complete a
   response and destroy the connection. */
static void
process_input (HbwDownstream *downstream)
{
  if (downstream->parsing_input)
    return;
  HbwByteBuffer input = downstream->input;
  memset (&downstream->input, 0, sizeof downstream->input);
  downstream->parsing_input = TRUE;
  gsize used = parse_requests (downstream, input.bytes, input.length);
  downstream->parsing_input = FALSE;
  hbw_byte_buffer_remove (&input, used);
  if (downstream->closing)
    discard_input (downstream, &input);
  else
    downstream->input = input;
  finish_parsing (downstream);
}

static void
handle_end (HbwChannelHandler *handler, gboolean clean)
{
  HbwDownstream *downstream = downstream_of_channel (handler);
  set_close_cause (downstream, clean ? CLOSE_CALLER_END : CLOSE_CALLER_RESET);
  downstream_destroy (downstream);
}

static void
handle_drained (HbwChannelHandler *handler)
{
  HbwDownstream *downstream = downstream_of_channel (handler);
  if (downstream->exchange != NULL && downstream->responding)
    hbw_exchange_handle_caller_drained (downstream->exchange);
  else if (downstream->wait == WAIT_REQUEST)
    begin_idle_wait (downstream); /* the response has only been sent now */
  else if (downstream->wait == WAIT_CALLER_END)
    begin_wait (downstream, WAIT_CALLER_END, &downstream->limits);
  update_memory (downstream);
  if (downstream->responding || downstream->closing || downstream->input.length == 0)
    return;
  /* Its next requests waited for that. */
  hbw_channel_set_reading (downstream->channel, TRUE);
  process_input (downstream);
}

static const HbwChannelHandlerClass channel_handler_class = {
  .handle_bytes = handle_bytes,
  .handle_end = handle_end,
  .handle_drained = handle_drained,
};

static void
close_after_timeout (HbwDownstream *downstream)
{
  switch (downstream->wait)
    {
    case WAIT_REQUEST:
      /* A request that crosses the close is reset, as nobody has read it. */
      set_close_cause (downstream, CLOSE_IDLE);
      downstream_destroy (downstream);
      break;
    case WAIT_HEAD:
    case WAIT_BODY:
      set_close_cause (downstream, CLOSE_TIMEOUT);
      reject_request (downstream, 408);
      break;
    case WAIT_CALLER_END:
      downstream_destroy (downstream);
      break;
    }
}

/* A caller that is not reachable or reads nothing is reset by the system. */
static gboolean
is_sending_response (const HbwDownstream *downstream)
{
  gboolean has_response
      = downstream->wait == WAIT_REQUEST || downstream->wait == WAIT_CALLER_END;
  return has_response && hbw_channel_pending_bytes (downstream->channel) > 0;
}

static void
handle_timeout (HbwTimer *timer)
{
  HbwDownstream *downstream = caa_container_of (timer, HbwDownstream, timer);
  gint64 left_us = get_time_left (downstream);
  if (left_us > 0)
    set_timer (downstream, left_us);
  else if (is_sending_response (downstream))
    set_timer (downstream, SENDING_DELAY_US);
  else if (!downstream->closing && !hbw_channel_is_idle (downstream->channel))
    set_timer (downstream, UNREAD_DELAY_US);
  else
    close_after_timeout (downstream);
}

void
hbw_downstream_refuse_overload (HbwDownstream *downstream)
{
  set_close_cause (downstream, CLOSE_REFUSAL);
  reject_request (downstream, 503);
}

/* Returns whether nothing of a request has come, and no response is being sent. */
static gboolean
is_unused (const HbwDownstream *downstream)
{
  return downstream->wait == WAIT_REQUEST && downstream->exchange == NULL
         && downstream->input.length == 0
         && hbw_channel_is_idle (downstream->channel)
         && hbw_channel_pending_bytes (downstream->channel) == 0;
}

static void
release_memory (HbwMemoryHolder *holder, HbwMemoryUse use)
{
  HbwDownstream *downstream = caa_container_of (holder, HbwDownstream, memory);
  /* What has arrived meanwhile is read next. */
  if (use == HBW_MEMORY_IDLE && !is_unused (downstream))
    return;
  set_close_cause (downstream, CLOSE_MEMORY);
  downstream_destroy (downstream);
}

static const HbwMemoryHolderClass memory_class = { release_memory };

void
hbw_downstream_adopt (HbwTraffic *traffic, int fd)
{
  HbwDownstream *downstream = g_new0 (HbwDownstream, 1);
  downstream->channel_handler.class = &channel_handler_class;
  downstream->parser_handler.class = &parser_handler_class;
  downstream->traffic = traffic;
  downstream->timer.handle_due = handle_timeout;
  downstream->parser = hbw_http_parser_create (HBW_HTTP_PARSER_REQUEST,
                                               &downstream->parser_handler);
  CDS_INIT_LIST_HEAD (&downstream->idle_link);
  cds_list_add_tail (&downstream->link, &traffic->downstreams);
  hbw_memory_holder_init (&downstream->memory, traffic->memory, &memory_class);
  traffic->downstream_count++;
  downstream->channel
      = hbw_channel_adopt (traffic->loop, fd, &downstream->channel_handler);
  if (downstream->channel != NULL)
    {
      hbw_channel_set_user_timeout (downstream->channel, PAUSE_MAX_MS);
      begin_idle_wait (downstream);
      update_memory (downstream);
      return;
    }
  set_close_cause (downstream, CLOSE_LIMIT);
  downstream_destroy (downstream);
}

void
hbw_downstream_turn_away (int fd)
{
  char text[64];
  close (fd);
  g_snprintf (text, sizeof text, "cause=%s", close_cause_names[CLOSE_LIMIT]);
  hbw_log_write (HBW_LOG_CONNECTION_CLOSED, text);
}

/* Those that have waited longest come first.  No limit is shorter than the current
   one. */
gboolean
hbw_downstream_close_past_limit (HbwTraffic *traffic)
{
  const HbwCallerLimits limits = hbw_traffic_caller_limits (traffic);
  gint64 newest_us = hbw_loop_now (traffic->loop) - limits.idle_timeout_us;
  HbwDownstream *downstream;
  cds_list_for_each_entry (downstream, &traffic->idle_downstreams, idle_link)
    {
      if (downstream->wait_began_us > newest_us)
        return FALSE;
      if (get_limit_left (downstream, &limits) > 0
          || hbw_channel_pending_bytes (downstream->channel) > 0
          || !hbw_channel_is_idle (downstream->channel))
        continue;
      close_after_timeout (downstream);
      return TRUE;
    }
  return FALSE;
}

void
hbw_downstream_abort (HbwDownstream *downstream)
{
  set_close_cause (downstream, CLOSE_ABORT);
  downstream->exchange = NULL;
  if (downstream->channel != NULL)
    {
      downstream->unsent_bytes = hbw_channel_pending_bytes (downstream->channel);
      hbw_channel_abort (downstream->channel);
      downstream->channel = NULL;
    }
  downstream_destroy (downstream);
}

gboolean
hbw_downstream_any_in_use (const HbwTraffic *traffic)
{
  const HbwDownstream *downstream;
  cds_list_for_each_entry (downstream, &traffic->downstreams, link)
    if (downstream->exchange != NULL
        || hbw_channel_pending_bytes (downstream->channel) > 0)
      return TRUE;
  return FALSE;
}

/* A request that crosses the close is reset, as nobody has read it. */
void
hbw_downstream_close_idle (HbwTraffic *traffic)
{
  HbwDownstream *downstream;
  HbwDownstream *next;
  cds_list_for_each_entry_safe (downstream, next, &traffic->downstreams, link)
    if (is_unused (downstream))
      {
        set_close_cause (downstream, CLOSE_DRAIN);
        downstream_destroy (downstream);
      }
}

void
hbw_downstream_abort_all (HbwTraffic *traffic)
{
  HbwDownstream *downstream;
  HbwDownstream *next;
  cds_list_for_each_entry_safe (downstream, next, &traffic->downstreams, link)
    {
      set_close_cause (downstream, CLOSE_STOP);
      downstream_destroy (downstream);
    }
}

/* In whole seconds, unless there are none. */
static void
announce_idle_timeout (HbwDownstream *downstream, GString *head)
{
  const HbwCallerLimits limits = hbw_traffic_caller_limits (downstream->traffic);
  gint64 seconds = limits.idle_timeout_us / HBW_US_PER_S;
  downstream->announced_us = seconds * HBW_US_PER_S;
  if (seconds > 0)
    g_string_append_printf (head, "Keep-Alive: timeout=%" G_GINT64_FORMAT "\r\n",
                            seconds);
}

void
hbw_downstream_begin_response (HbwDownstream *downstream, guint status,
                               const char *fields, gint64 length)
{
  downstream->responding = TRUE;
  downstream->close_after_response |= downstream->traffic->draining;
  downstream->response_chunked = length < 0 && length != HBW_DOWNSTREAM_NO_BODY;
  GString *head = g_string_new (NULL);
  g_string_append_printf (head, "HTTP/1.1 %u \r\n%s", status, fields);
  if (length >= 0)
    g_string_append_printf (head, "Content-Length: %" G_GINT64_FORMAT "\r\n",
                            length);
  else if (downstream->response_chunked)
    g_string_append (head, "Transfer-Encoding: chunked\r\n");
  if (downstream->close_after_response)
    g_string_append (head, "Connection: close\r\n");
  else
    announce_idle_timeout (downstream, head);
  g_string_append (head, "\r\n");
  write_response (downstream, head->str, head->len);
  g_string_free (head, TRUE);
}

void
hbw_downstream_write_body (HbwDownstream *downstream, const guint8 *bytes,
                           gsize length)
{
  if (length == 0)
    return;
  if (!downstream->response_chunked)
    {
      write_response (downstream, (const char *) bytes, length);
      return;
    }
  GString *chunk = g_string_sized_new (length + 16);
  g_string_append_printf (chunk, "%zx\r\n", length);
  g_string_append_len (chunk, (const char *) bytes, (gssize) length);
  g_string_append (chunk, "\r\n");
  write_response (downstream, chunk->str, chunk->len);
  g_string_free (chunk, TRUE);
}

void
hbw_downstream_end_response (HbwDownstream *downstream)
{
  static const char last_chunk[] = "0\r\n\r\n";
  if (downstream->response_chunked)
    write_response (downstream, last_chunk, strlen (last_chunk));
  downstream->response_chunked = FALSE;
  downstream->exchange = NULL;
  downstream->responding = FALSE;
  downstream->refusal_status = 0;
  downstream->request_bytes = 0;
  if (downstream->close_after_response)
    {
      begin_lingering_close (downstream);
      return;
    }
  hbw_http_parser_reset (downstream->parser, FALSE);
  begin_idle_wait (downstream);
  hbw_channel_set_reading (downstream->channel, TRUE);
  process_input (downstream);
}

gboolean
hbw_downstream_is_backlogged (const HbwDownstream *downstream)
{
  gsize pending_max = is_memory_tight (downstream)
                          ? TIGHT_PENDING_BYTES_MAX
                          : HBW_DOWNSTREAM_PENDING_BYTES_MAX;
  return hbw_channel_pending_bytes (downstream->channel) > pending_max;
}
