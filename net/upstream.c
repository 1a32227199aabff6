#include "hornbeamwall/net/upstream.h"

#include "hornbeamwall/core/types.h"
#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/id_history.h"
#include "hornbeamwall/net/tunnel.h"
#include "hornbeamwall/net/tunnel_frame.h"

#include <string.h>
#include <urcu/list.h>

/* How long a connection may be idle if the server announces no idle timeout. */
#define IDLE_TIMEOUT_DEFAULT_US (300 * HBW_US_PER_MS)

/* Longest time that a connection may be idle. */
#define IDLE_TIMEOUT_MAX_US (20 * HBW_US_PER_S)

/* Percentage of the announced idle timeout during which a connection is reused. */
#define IDLE_TIMEOUT_PERCENT 60

/* How long the rest of a detached response may take. */
#define DETACHED_TIMEOUT_US (1 * HBW_US_PER_S)

/* Maximum number of idle connections to one server. */
#define IDLE_CONNECTIONS_MAX 16

/* Maximum number of idle connections to all servers. */
#define IDLE_CONNECTIONS_TOTAL_MAX 256

/* Responses to earlier requests, and bytes of them, that are skipped before the
   expected one. */
#define SKIPPED_RESPONSES_MAX 8
#define SKIPPED_BYTES_MAX ((gsize) 1024 * 1024)

/* Interim responses to one request. */
#define INTERIM_RESPONSES_MAX 64

struct HbwUpstreamPool
{
  HbwLoop *loop;
  GHashTable *servers;              /* server name -> Server */
  struct cds_list_head connections; /* HbwUpstream */
  struct cds_list_head idle;        /* HbwUpstream, most recently used first */
  guint idle_count;
  HbwMemoryBudget *memory; /* borrowed; or NULL */
  gint64 last_heard_us;    /* time of the last bytes on a direct connection */
  const char *source; /* IP address of direct connections, "" for any; borrowed */
};

/* Size of the name of a server and the way to it. */
#define WAY_MAX (HBW_NAME_MAX + HBW_ADDRESS_MAX + 2)

/* A server, by one way. */
typedef struct
{
  char name[WAY_MAX];
  struct cds_list_head idle; /* HbwUpstream, most recently used first */
  guint idle_count;
  gint64 last_received_us; /* time of the last bytes from the server */
} Server;

struct HbwUpstream
{
  HbwChannelHandler channel_handler;
  HbwHttpParserHandler parser_handler;
  struct cds_list_head link;           /* in pool->connections */
  struct cds_list_head idle_link;      /* in server->idle, while idle */
  struct cds_list_head pool_idle_link; /* in pool->idle, while idle */
  HbwUpstreamPool *pool;
  HbwMemoryHolder memory; /* unless the pool has no budget */
  Server *server;
  HbwChannel *channel;
  HbwHttpParser *parser;
  HbwTimer timer;              /* connect, detached or idle timeout */
  HbwUpstreamHandler *handler; /* NULL while detached or idle */
  GBytes *request;             /* until it is being sent, like body */
  HbwByteBlocks *body;         /* sent after request; or NULL */
  HbwIdHistory *id_history;    /* of all requests on the connection */
  gboolean is_head_request;
  gboolean is_idle;
  gboolean connected;
  gboolean opens_only;              /* no request is to be sent */
  gboolean is_refused;              /* the server refused the connection */
  char tunnel_server[HBW_NAME_MAX]; /* to be named to another instance; "": direct */
  gboolean tunnel_open;
  gboolean tunnel_framed;
  HbwTunnelFrameReader tunnel_frames;
  gboolean skipping_response; /* the response being read is not for the handler */
  gboolean response_rejected; /* the handler rejected the response */
  gboolean keep_alive;        /* the response allows the connection to be reused */
  gboolean in_parser;         /* the parser is running, so nothing may be freed */
  gboolean cancelled;
  guint skipped_count;
  gsize skipped_bytes;
  guint interim_count;
  gint64 idle_timeout_us; /* how long it may be idle */
  gint64 opened_us;       /* or last reused */
  gint64 created_us;      /* when it was opened first */
};

static void handle_timeout (HbwTimer *timer);
static void handle_idle_timeout (HbwTimer *timer);

static void
format_way (char *way, const char *server, const char *tunnel_address)
{
  if (*tunnel_address == '\0')
    g_strlcpy (way, server, WAY_MAX);
  else
    g_snprintf (way, WAY_MAX, "%s %s", server, tunnel_address);
}

static Server *
get_or_create_server (HbwUpstreamPool *pool, const char *name)
{
  Server *server = g_hash_table_lookup (pool->servers, name);
  if (server != NULL)
    return server;
  server = g_new0 (Server, 1);
  g_strlcpy (server->name, name, sizeof server->name);
  CDS_INIT_LIST_HEAD (&server->idle);
  g_hash_table_insert (pool->servers, server->name, server);
  return server;
}

static void
remove_from_idle (HbwUpstream *upstream)
{
  if (!upstream->is_idle)
    return;
  cds_list_del (&upstream->idle_link);
  cds_list_del (&upstream->pool_idle_link);
  upstream->server->idle_count--;
  upstream->pool->idle_count--;
  upstream->is_idle = FALSE;
}

/* Bytes that a connection occupies besides its own structures: the system's and the
   loop's entries, and the history of ids. */
#define CONNECTION_OVERHEAD 1024

/* A body that is being sent belongs to its request, until that has ended. */
static void
update_memory (HbwUpstream *upstream, HbwMemoryUse use)
{
  gsize bytes = sizeof *upstream + CONNECTION_OVERHEAD
                + hbw_http_parser_cost (upstream->parser);
  if (upstream->pool->memory == NULL || upstream->channel == NULL)
    return;
  bytes += upstream->handler != NULL ? hbw_channel_cost (upstream->channel)
                                     : hbw_channel_pending_bytes (upstream->channel);
  hbw_memory_holder_set (&upstream->memory, use, bytes);
}

static void
release_request (HbwUpstream *upstream)
{
  g_clear_pointer (&upstream->request, g_bytes_unref);
  g_clear_pointer (&upstream->body, hbw_byte_blocks_unref);
}

static void
upstream_destroy (HbwUpstream *upstream)
{
  remove_from_idle (upstream);
  if (upstream->pool->memory != NULL)
    hbw_memory_holder_clear (&upstream->memory);
  cds_list_del (&upstream->link);
  hbw_loop_clear_timer (upstream->pool->loop, &upstream->timer);
  /* The rest of a request that was given up must not arrive later, after an outage
     of the link. */
  if (upstream->channel != NULL && upstream->cancelled)
    hbw_channel_abort (upstream->channel);
  else if (upstream->channel != NULL)
    hbw_channel_destroy (upstream->channel);
  hbw_http_parser_destroy (upstream->parser);
  release_request (upstream);
  hbw_id_history_destroy (upstream->id_history);
  g_free (upstream);
}

/* Only idle connections are released. */
static void
release_memory (HbwMemoryHolder *holder, HbwMemoryUse use G_GNUC_UNUSED)
{
  upstream_destroy (caa_container_of (holder, HbwUpstream, memory));
}

static const HbwMemoryHolderClass memory_class = { release_memory };

/* Destroys the connection and reports END to the handler. */
static void
fail_request (HbwUpstream *upstream, HbwUpstreamEnd end)
{
  HbwUpstreamHandler *handler = upstream->handler;
  upstream_destroy (upstream);
  if (handler != NULL)
    handler->class->handle_end (handler, end);
}

/* Returns the idle timeout according to a header such as
   "Keep-Alive: timeout=5, max=100". */
static gint64
get_idle_timeout_us (const HbwHttpHead *head)
{
  const char *text = hbw_http_head_find (head, "Keep-Alive");
  const char *parameter = text != NULL ? strstr (text, "timeout=") : NULL;
  if (parameter == NULL)
    return IDLE_TIMEOUT_DEFAULT_US;
  guint64 seconds = g_ascii_strtoull (parameter + strlen ("timeout="), NULL, 10);
  gint64 idle = (gint64) MIN (seconds, 3600) * HBW_US_PER_S;
  return MIN (idle / 100 * IDLE_TIMEOUT_PERCENT, IDLE_TIMEOUT_MAX_US);
}

static HbwUpstream *
upstream_of_parser (HbwHttpParserHandler *handler)
{
  return caa_container_of (handler, HbwUpstream, parser_handler);
}

static gboolean
is_interim (const HbwHttpHead *head)
{
  return head->status >= 100 && head->status < 200;
}

static void
handle_head (HbwHttpParserHandler *handler, HbwHttpHead *head)
{
  HbwUpstream *upstream = upstream_of_parser (handler);
  upstream->keep_alive = head->keep_alive;
  upstream->idle_timeout_us = get_idle_timeout_us (head);
  upstream->skipping_response = is_interim (head);
  if (upstream->skipping_response)
    upstream->response_rejected = ++upstream->interim_count > INTERIM_RESPONSES_MAX;
  if (upstream->skipping_response || upstream->handler == NULL)
    return;
  HbwResponseAction action
      = upstream->handler->class->handle_head (upstream->handler, head);
  if (action == HBW_RESPONSE_SKIP && upstream->skipped_count < SKIPPED_RESPONSES_MAX
      && head->keep_alive)
    {
      upstream->skipping_response = TRUE;
      upstream->skipped_count++;
    }
  else if (action != HBW_RESPONSE_ACCEPT)
    upstream->response_rejected = TRUE;
}

static void
handle_body (HbwHttpParserHandler *handler, const char *bytes, gsize length)
{
  HbwUpstream *upstream = upstream_of_parser (handler);
  if (upstream->skipping_response)
    {
      upstream->skipped_bytes += length;
      upstream->response_rejected |= upstream->skipped_bytes > SKIPPED_BYTES_MAX;
    }
  if (upstream->handler != NULL && !upstream->skipping_response
      && !upstream->response_rejected)
    upstream->handler->class->handle_body (upstream->handler, bytes, length);
}

static const HbwHttpParserHandlerClass parser_handler_class
    = { handle_head, handle_body };

/* Closes the connection that has been idle for longest if there are too many. */
static void
limit_idle_connections (HbwUpstreamPool *pool)
{
  if (pool->idle_count > IDLE_CONNECTIONS_TOTAL_MAX)
    upstream_destroy (cds_list_entry (pool->idle.prev, HbwUpstream, pool_idle_link));
}

static void
keep_idle (HbwUpstream *upstream)
{
  Server *server = upstream->server;
  HbwUpstreamPool *pool = upstream->pool;
  if (!upstream->keep_alive || upstream->tunnel_frames.ended
      || server->idle_count >= IDLE_CONNECTIONS_MAX || upstream->idle_timeout_us <= 0
      || hbw_id_history_count (upstream->id_history) >= HBW_ID_HISTORY_MAX
      || hbw_channel_pending_bytes (upstream->channel) > 0)
    {
      upstream_destroy (upstream);
      return;
    }
  upstream->is_idle = TRUE;
  server->idle_count++;
  pool->idle_count++;
  cds_list_add (&upstream->idle_link, &server->idle);
  cds_list_add (&upstream->pool_idle_link, &pool->idle);
  hbw_channel_set_reading (upstream->channel, TRUE);
  hbw_http_parser_reset (upstream->parser, FALSE);
  update_memory (upstream, HBW_MEMORY_IDLE);
  upstream->timer.handle_due = handle_idle_timeout;
  hbw_loop_set_timer (pool->loop, &upstream->timer, upstream->idle_timeout_us);
  limit_idle_connections (pool);
}

/* Handles a complete response.  A connection with more bytes after it is not reused,
   as they belong to no request. */
static void
complete_request (HbwUpstream *upstream, gboolean has_extra_bytes)
{
  HbwUpstreamHandler *handler = upstream->handler;
  upstream->handler = NULL;
  upstream->keep_alive &= !has_extra_bytes;
  keep_idle (upstream);
  if (handler != NULL)
    handler->class->handle_end (handler, HBW_UPSTREAM_COMPLETE);
}

/* Ends the request because its response failed.  FAULT is reported only if a byte of
   the response had arrived. */
static void
fail_response (HbwUpstream *upstream, HbwResponseFault fault)
{
  HbwUpstreamHandler *handler = upstream->handler;
  HbwFramingState position = hbw_http_parser_position (upstream->parser);
  if (handler != NULL && handler->class->handle_fault != NULL
      && position != HBW_FRAMING_EMPTY_LINES)
    handler->class->handle_fault (handler, fault, position);
  fail_request (upstream, HBW_UPSTREAM_BROKEN);
}

/* Returns whether the connection still waits for the rest of a response. */
static gboolean
read_response (HbwUpstream *upstream, const char *bytes, gsize length)
{
  while (TRUE)
    {
      gsize used;
      upstream->in_parser = TRUE;
      HbwHttpParserState state
          = hbw_http_parser_feed (upstream->parser, bytes, length, &used);
      upstream->in_parser = FALSE;
      if (upstream->cancelled)
        {
          upstream_destroy (upstream);
          return FALSE;
        }
      if (state == HBW_HTTP_PARSER_ERROR || upstream->response_rejected)
        {
          fail_response (upstream, upstream->response_rejected
                                       ? HBW_RESPONSE_FAULT_REJECTED
                                       : HBW_RESPONSE_FAULT_INVALID);
          return FALSE;
        }
      if (state == HBW_HTTP_PARSER_INCOMPLETE)
        return TRUE;
      bytes += used;
      length -= used;
      if (!upstream->skipping_response)
        {
          complete_request (upstream, length > 0);
          return FALSE;
        }
      hbw_http_parser_reset (upstream->parser, upstream->is_head_request);
      if (length == 0)
        return TRUE;
    }
}

static HbwUpstream *
upstream_of_channel (HbwChannelHandler *handler)
{
  return caa_container_of (handler, HbwUpstream, channel_handler);
}

static void
finish_opening (HbwUpstream *upstream)
{
  HbwUpstreamHandler *handler = upstream->handler;
  upstream->handler = NULL;
  upstream->opens_only = FALSE;
  upstream->connected = TRUE;
  upstream->opened_us = hbw_loop_now (upstream->pool->loop);
  upstream->keep_alive = TRUE;
  upstream->idle_timeout_us = IDLE_TIMEOUT_DEFAULT_US;
  keep_idle (upstream);
  handler->class->handle_end (handler, HBW_UPSTREAM_COMPLETE);
}

static void
send_request (HbwUpstream *upstream)
{
  gsize length;
  const char *bytes = g_bytes_get_data (upstream->request, &length);
  hbw_loop_clear_timer (upstream->pool->loop, &upstream->timer);
  upstream->connected = TRUE;
  upstream->opened_us = hbw_loop_now (upstream->pool->loop);
  if (upstream->body != NULL)
    hbw_channel_write_with_tail (upstream->channel, bytes, length, upstream->body);
  else
    hbw_channel_write (upstream->channel, bytes, length);
  release_request (upstream);
  update_memory (upstream, HBW_MEMORY_KEPT);
  if (upstream->handler != NULL)
    upstream->handler->class->handle_open (upstream->handler);
}

/* The way to the server is open. */
static void
handle_way_open (HbwUpstream *upstream)
{
  if (upstream->opens_only)
    finish_opening (upstream);
  else
    send_request (upstream);
}

static void
handle_connected (HbwChannelHandler *handler)
{
  HbwUpstream *upstream = upstream_of_channel (handler);
  upstream->created_us = hbw_loop_now (upstream->pool->loop);
  if (*upstream->tunnel_server == '\0')
    {
      handle_way_open (upstream);
      return;
    }
  hbw_channel_write (upstream->channel, upstream->tunnel_server,
                     strlen (upstream->tunnel_server));
  hbw_channel_write (upstream->channel, HBW_TUNNEL_ASK_FRAMED,
                     HBW_TUNNEL_ASK_FRAMED_SIZE);
  hbw_channel_write (upstream->channel, "\n", 1);
}

/* Nothing was sent, as the way to the server could not be opened. */
static HbwUpstreamEnd
unopened_end (const HbwUpstream *upstream)
{
  if (upstream->opens_only && upstream->is_refused)
    return HBW_UPSTREAM_NOT_LISTENING;
  return *upstream->tunnel_server != '\0' ? HBW_UPSTREAM_NO_TUNNEL
                                          : HBW_UPSTREAM_NOT_CONNECTED;
}

/* Handles the answer of the other instance. */
static void
handle_tunnel_answer (HbwUpstream *upstream, char answer)
{
  upstream->tunnel_framed = answer == HBW_TUNNEL_OPEN_FRAMED;
  upstream->tunnel_open = upstream->tunnel_framed || answer == HBW_TUNNEL_OPEN;
  upstream->is_refused = answer == HBW_TUNNEL_NO_SERVER;
  if (upstream->tunnel_open)
    handle_way_open (upstream);
  else if (upstream->is_refused && !upstream->opens_only)
    fail_request (upstream, HBW_UPSTREAM_NOT_CONNECTED);
  else
    fail_request (upstream, unopened_end (upstream));
}

/* Handles the server's end, or that of the way to it. */
static void
handle_close (HbwUpstream *upstream, gboolean by_server)
{
  if (upstream->is_idle)
    {
      upstream_destroy (upstream);
      return;
    }
  if (!upstream->connected)
    {
      if (*upstream->tunnel_server == '\0')
        upstream->is_refused = hbw_channel_is_refused (upstream->channel);
      fail_request (upstream, unopened_end (upstream));
      return;
    }
  /* A response without a length ends with its connection, but not with a reset. */
  gboolean whole = by_server && hbw_http_parser_has_begun (upstream->parser)
                   && !upstream->skipping_response
                   && hbw_http_parser_handle_eof (upstream->parser);
  if (whole)
    fail_request (upstream, HBW_UPSTREAM_COMPLETE_BY_CLOSE);
  else
    fail_response (upstream,
                   by_server ? HBW_RESPONSE_FAULT_ENDED : HBW_RESPONSE_FAULT_RESET);
}

/* Handles bytes of the server.  Returns whether the connection still waits for the
   rest of a response. */
static gboolean
handle_server_bytes (HbwUpstream *upstream, const char *bytes, gsize length)
{
  HbwUpstreamPool *pool = upstream->pool;
  upstream->server->last_received_us = hbw_loop_now (pool->loop);
  if (*upstream->tunnel_server == '\0')
    pool->last_heard_us = upstream->server->last_received_us;
  if (!upstream->is_idle)
    return read_response (upstream, bytes, length);
  upstream_destroy (upstream); /* unsolicited bytes */
  return FALSE;
}

static void
handle_frames (HbwUpstream *upstream, const char *bytes, gsize length)
{
  char payload[HBW_CHANNEL_READ_SIZE];
  gsize count
      = hbw_tunnel_frame_read (&upstream->tunnel_frames, bytes, length, payload);
  gboolean has_ended = upstream->tunnel_frames.ended;
  if (count > 0 && !handle_server_bytes (upstream, payload, count))
    return;
  if (has_ended)
    handle_close (upstream, TRUE);
}

static void
handle_bytes (HbwChannelHandler *handler, const char *bytes, gsize length)
{
  HbwUpstream *upstream = upstream_of_channel (handler);
  if (*upstream->tunnel_server != '\0' && !upstream->tunnel_open)
    handle_tunnel_answer (upstream, *bytes);
  else if (upstream->tunnel_framed)
    handle_frames (upstream, bytes, length);
  else
    handle_server_bytes (upstream, bytes, length);
}

/* The end of a tunnel says nothing of the server. */
static void
handle_end (HbwChannelHandler *handler, gboolean clean)
{
  HbwUpstream *upstream = upstream_of_channel (handler);
  handle_close (upstream, clean && *upstream->tunnel_server == '\0');
}

static const HbwChannelHandlerClass channel_handler_class = {
  .handle_connected = handle_connected,
  .handle_bytes = handle_bytes,
  .handle_end = handle_end,
};

static void
handle_timeout (HbwTimer *timer)
{
  HbwUpstream *upstream = caa_container_of (timer, HbwUpstream, timer);
  fail_request (upstream, unopened_end (upstream));
}

static void
handle_idle_timeout (HbwTimer *timer)
{
  upstream_destroy (caa_container_of (timer, HbwUpstream, timer));
}

static gboolean
has_tunnel (const HbwUpstreamConfig *config)
{
  return config->tunnel_address != NULL && *config->tunnel_address != '\0';
}

static gboolean
has_id (const HbwUpstreamConfig *config)
{
  return config->request_id != NULL && *config->request_id != '\0';
}

static HbwUpstream *
open_connection (HbwUpstreamPool *pool, const HbwUpstreamConfig *config,
                 const char *way)
{
  HbwUpstream *upstream = g_new0 (HbwUpstream, 1);
  gboolean is_direct = !has_tunnel (config);
  gboolean is_refused;
  upstream->channel_handler.class = &channel_handler_class;
  upstream->parser_handler.class = &parser_handler_class;
  upstream->pool = pool;
  upstream->server = get_or_create_server (pool, way);
  upstream->id_history = hbw_id_history_create ();
  if (!is_direct)
    g_strlcpy (upstream->tunnel_server, config->server_name,
               sizeof upstream->tunnel_server);
  upstream->parser
      = hbw_http_parser_create (HBW_HTTP_PARSER_RESPONSE, &upstream->parser_handler);
  cds_list_add_tail (&upstream->link, &pool->connections);
  if (pool->memory != NULL)
    hbw_memory_holder_init (&upstream->memory, pool->memory, &memory_class);
  upstream->channel = hbw_channel_connect_checked (
      pool->loop, is_direct ? config->address : config->tunnel_address,
      is_direct ? pool->source : "", &upstream->channel_handler, &is_refused);
  upstream->is_refused = is_direct && is_refused;
  return upstream;
}

/* Skips connections that the server has closed, or may be closing; the loop frees
   them when it handles their events and timers.  Skips those that have carried the
   id of the request before. */
static HbwUpstream *
find_idle_connection (const HbwUpstreamPool *pool, const Server *server,
                      const HbwUpstreamConfig *config)
{
  gint64 now_us = hbw_clock_now (hbw_loop_clock (pool->loop));
  HbwUpstream *upstream;
  cds_list_for_each_entry (upstream, &server->idle, idle_link)
    if (upstream->timer.due_us > now_us && hbw_channel_is_idle (upstream->channel)
        && !hbw_id_history_has (upstream->id_history, config->request_id))
      return upstream;
  return NULL;
}

/* Has the loop close the connections of before an outage of the path, which may be
   silent. */
static void
expire_older (HbwUpstreamPool *pool, Server *server, gint64 since_us)
{
  HbwUpstream *upstream;
  cds_list_for_each_entry (upstream, &server->idle, idle_link)
    if (upstream->created_us < since_us)
      hbw_loop_set_timer (pool->loop, &upstream->timer, 0);
}

static HbwUpstream *
take_idle_connection (HbwUpstreamPool *pool, const char *way,
                      const HbwUpstreamConfig *config)
{
  Server *server = get_or_create_server (pool, way);
  expire_older (pool, server, config->opened_since_us);
  HbwUpstream *upstream
      = has_id (config) ? find_idle_connection (pool, server, config) : NULL;
  if (upstream == NULL)
    return NULL;
  remove_from_idle (upstream);
  hbw_loop_clear_timer (pool->loop, &upstream->timer);
  return upstream;
}

HbwUpstreamPool *
hbw_upstream_pool_create (HbwLoop *loop, const char *source)
{
  HbwUpstreamPool *pool = g_new0 (HbwUpstreamPool, 1);
  pool->loop = loop;
  pool->source = source;
  pool->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&pool->connections);
  CDS_INIT_LIST_HEAD (&pool->idle);
  return pool;
}

void
hbw_upstream_pool_set_memory (HbwUpstreamPool *pool, HbwMemoryBudget *budget)
{
  pool->memory = budget;
}

void
hbw_upstream_pool_destroy (HbwUpstreamPool *pool)
{
  HbwUpstream *upstream;
  HbwUpstream *next;
  cds_list_for_each_entry_safe (upstream, next, &pool->connections, link)
    upstream_destroy (upstream);
  g_hash_table_destroy (pool->servers);
  g_free (pool);
}

void
hbw_upstream_pool_close_idle (HbwUpstreamPool *pool, const char *server)
{
  HbwUpstream *upstream;
  HbwUpstream *next;
  const Server *entry = g_hash_table_lookup (pool->servers, server);
  if (entry == NULL)
    return;
  cds_list_for_each_entry_safe (upstream, next, &entry->idle, idle_link)
    upstream_destroy (upstream);
}

static void
get_way (const HbwUpstreamConfig *config, char *way)
{
  format_way (way, config->server_name,
              has_tunnel (config) ? config->tunnel_address : "");
}

/* Returns UPSTREAM, or NULL if its connection has failed immediately. */
static HbwUpstream *
wait_for_connection (HbwUpstream *upstream, const HbwUpstreamConfig *config)
{
  if (upstream->channel == NULL)
    {
      fail_request (upstream, unopened_end (upstream));
      return NULL;
    }
  update_memory (upstream, HBW_MEMORY_KEPT);
  upstream->timer.handle_due = handle_timeout;
  hbw_loop_set_timer (upstream->pool->loop, &upstream->timer,
                      config->connect_timeout_us);
  return upstream;
}

HbwUpstream *
hbw_upstream_send (HbwUpstreamPool *pool, const HbwUpstreamConfig *config,
                   HbwUpstreamHandler *handler)
{
  char way[WAY_MAX];
  get_way (config, way);
  HbwUpstream *upstream = take_idle_connection (pool, way, config);
  gboolean reused = upstream != NULL;
  if (!reused)
    upstream = open_connection (pool, config, way);
  hbw_id_history_add (upstream->id_history, config->request_id);
  upstream->handler = handler;
  upstream->request = g_bytes_ref (config->request);
  upstream->body = config->body != NULL ? hbw_byte_blocks_ref (config->body) : NULL;
  upstream->skipped_count = 0;
  upstream->skipped_bytes = 0;
  upstream->interim_count = 0;
  upstream->skipping_response = FALSE;
  upstream->response_rejected = FALSE;
  upstream->keep_alive = FALSE;
  upstream->is_head_request = config->is_head_request;
  hbw_http_parser_reset (upstream->parser, config->is_head_request);
  if (!reused)
    return wait_for_connection (upstream, config);
  send_request (upstream);
  return upstream;
}

HbwUpstream *
hbw_upstream_open (HbwUpstreamPool *pool, const HbwUpstreamConfig *config,
                   HbwUpstreamHandler *handler)
{
  char way[WAY_MAX];
  get_way (config, way);
  HbwUpstream *upstream = open_connection (pool, config, way);
  upstream->handler = handler;
  upstream->opens_only = TRUE;
  return wait_for_connection (upstream, config);
}

void
hbw_upstream_cancel (HbwUpstream *upstream)
{
  upstream->handler = NULL;
  upstream->cancelled = TRUE;
  if (!upstream->in_parser)
    upstream_destroy (upstream);
}

void
hbw_upstream_set_reading (HbwUpstream *upstream, gboolean reading)
{
  hbw_channel_set_reading (upstream->channel, reading);
}

gboolean
hbw_upstream_has_unread_bytes (const HbwUpstream *upstream)
{
  return upstream->connected && hbw_channel_has_unread_bytes (upstream->channel);
}

void
hbw_upstream_detach (HbwUpstream *upstream)
{
  upstream->handler = NULL;
  update_memory (upstream, HBW_MEMORY_KEPT);
  upstream->timer.handle_due = handle_timeout;
  hbw_loop_set_timer (upstream->pool->loop, &upstream->timer, DETACHED_TIMEOUT_US);
}

gboolean
hbw_upstream_was_reused (const HbwUpstream *upstream)
{
  return hbw_id_history_count (upstream->id_history) > 1;
}

gint64
hbw_upstream_opened_us (const HbwUpstream *upstream)
{
  return upstream->opened_us;
}

gint64
hbw_upstream_pool_last_received_us (const HbwUpstreamPool *pool, const char *server,
                                    const char *tunnel_address)
{
  char way[WAY_MAX];
  format_way (way, server, tunnel_address);
  const Server *entry = g_hash_table_lookup (pool->servers, way);
  return entry != NULL ? entry->last_received_us : 0;
}

gint64
hbw_upstream_pool_last_heard_us (const HbwUpstreamPool *pool)
{
  return pool->last_heard_us;
}
