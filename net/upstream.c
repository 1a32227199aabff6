#include "hornbeamwall/net/upstream.h"

#include "hornbeamwall/core/types.h"
#include "hornbeamwall/net/channel.h"

#include <string.h>
#include <urcu/list.h>

/* How long a connection may lie idle where the server announces no time. */
#define IDLE_DEFAULT_US (300 * HBW_US_PER_MS)

/* Longest time that a connection lies idle. */
#define IDLE_MAX_US (20 * HBW_US_PER_S)

/* Part of the announced time during which a connection is used, in percent. */
#define IDLE_PERCENT 60

/* How long the rest of an answer that nobody waits for may take. */
#define DETACHED_US (1 * HBW_US_PER_S)

/* Idle connections that are kept for one server. */
#define IDLE_COUNT_MAX 16

/* Answers to earlier requests that are skipped before one that is awaited. */
#define SKIP_MAX 2

struct HbwUpstreams
{
  HbwLoop *loop;
  GHashTable *servers;      /* server name -> Server */
  struct cds_list_head all; /* HbwUpstream */
};

typedef struct
{
  char name[HBW_NAME_MAX];
  struct cds_list_head idle; /* HbwUpstream, used last first */
  guint idle_count;
  gint64 heard_us; /* when it last sent anything */
} Server;

struct HbwUpstream
{
  HbwChannelUser channel_user;
  HbwParserUser parser_user;
  struct cds_list_head link;      /* among all */
  struct cds_list_head idle_link; /* among those of its server, while idle */
  HbwUpstreams *upstreams;
  Server *server;
  HbwChannel *channel;
  HbwParser *parser;
  HbwTimer timer;        /* to connect, to be read to its end, or to lie idle */
  HbwUpstreamUser *user; /* NULL while detached or idle */
  GBytes *request;
  gboolean idle;
  gboolean connected;
  gboolean skipping; /* the answer that is read now is not for the user */
  gboolean breaking; /* the user found that the answer is none */
  gboolean may_keep; /* the answer allows another request */
  gboolean feeding;  /* within the parser, where nothing is freed */
  gboolean cancelled;
  guint skipped;
  gint64 idle_us; /* how long it may lie idle */
};

static void handle_overdue (HbwTimer *timer);
static void handle_idle_timeout (HbwTimer *timer);

static Server *
ensure_server (HbwUpstreams *upstreams, const char *name)
{
  Server *server = g_hash_table_lookup (upstreams->servers, name);
  if (server != NULL)
    return server;
  server = g_new0 (Server, 1);
  g_strlcpy (server->name, name, sizeof server->name);
  CDS_INIT_LIST_HEAD (&server->idle);
  g_hash_table_insert (upstreams->servers, server->name, server);
  return server;
}

static void
leave_idle (HbwUpstream *upstream)
{
  if (!upstream->idle)
    return;
  cds_list_del (&upstream->idle_link);
  upstream->server->idle_count--;
  upstream->idle = FALSE;
}

static void
upstream_destroy (HbwUpstream *upstream)
{
  leave_idle (upstream);
  cds_list_del (&upstream->link);
  hbw_loop_clear_timer (upstream->upstreams->loop, &upstream->timer);
  if (upstream->channel != NULL)
    hbw_channel_destroy (upstream->channel);
  hbw_parser_destroy (upstream->parser);
  g_clear_pointer (&upstream->request, g_bytes_unref);
  g_free (upstream);
}

/* Ends the request and the connection. */
static void
fail (HbwUpstream *upstream, HbwUpstreamEnd end)
{
  HbwUpstreamUser *user = upstream->user;
  upstream_destroy (upstream);
  if (user != NULL)
    user->class->handle_end (user, end);
}

/* "timeout=5, max=100" announces how long the server keeps an idle connection. */
static gint64
announced_idle_us (const HbwHead *head)
{
  const char *text = hbw_head_find (head, "Keep-Alive");
  const char *at = text != NULL ? strstr (text, "timeout=") : NULL;
  if (at == NULL)
    return IDLE_DEFAULT_US;
  guint64 seconds = g_ascii_strtoull (at + strlen ("timeout="), NULL, 10);
  gint64 idle = (gint64) MIN (seconds, 3600) * HBW_US_PER_S;
  return MIN (idle / 100 * IDLE_PERCENT, IDLE_MAX_US);
}

static HbwUpstream *
upstream_of_parser (HbwParserUser *user)
{
  return caa_container_of (user, HbwUpstream, parser_user);
}

static gboolean
is_interim (const HbwHead *head)
{
  return head->status >= 100 && head->status < 200;
}

static void
handle_head (HbwParserUser *parser_user, HbwHead *head)
{
  HbwUpstream *upstream = upstream_of_parser (parser_user);
  upstream->may_keep = head->keep_alive;
  upstream->idle_us = announced_idle_us (head);
  upstream->skipping = is_interim (head);
  if (upstream->skipping || upstream->user == NULL)
    return;
  HbwAnswerUse use = upstream->user->class->handle_head (upstream->user, head);
  if (use == HBW_ANSWER_SKIP && upstream->skipped < SKIP_MAX && head->keep_alive)
    {
      upstream->skipping = TRUE;
      upstream->skipped++;
    }
  else if (use != HBW_ANSWER_TAKE)
    upstream->breaking = TRUE;
}

static void
handle_body (HbwParserUser *parser_user, const char *bytes, gsize length)
{
  HbwUpstream *upstream = upstream_of_parser (parser_user);
  if (upstream->user != NULL && !upstream->skipping && !upstream->breaking)
    upstream->user->class->handle_body (upstream->user, bytes, length);
}

static const HbwParserUserClass parser_user_class = { handle_head, handle_body };

static void
become_idle (HbwUpstream *upstream)
{
  Server *server = upstream->server;
  HbwLoop *loop = upstream->upstreams->loop;
  if (!upstream->may_keep || server->idle_count >= IDLE_COUNT_MAX
      || upstream->idle_us <= 0 || hbw_channel_pending (upstream->channel) > 0)
    {
      upstream_destroy (upstream);
      return;
    }
  upstream->idle = TRUE;
  server->idle_count++;
  cds_list_add (&upstream->idle_link, &server->idle);
  g_clear_pointer (&upstream->request, g_bytes_unref);
  hbw_channel_set_reading (upstream->channel, TRUE);
  upstream->timer.handle_due = handle_idle_timeout;
  hbw_loop_set_timer (loop, &upstream->timer, upstream->idle_us);
}

/* The answer is whole.  Bytes behind it belong to no request. */
static void
complete (HbwUpstream *upstream, gboolean more_bytes)
{
  HbwUpstreamUser *user = upstream->user;
  upstream->user = NULL;
  upstream->may_keep &= !more_bytes;
  become_idle (upstream);
  if (user != NULL)
    user->class->handle_end (user, HBW_UPSTREAM_COMPLETE);
}

static void
read_answer (HbwUpstream *upstream, const char *bytes, gsize length)
{
  while (TRUE)
    {
      gsize used;
      upstream->feeding = TRUE;
      HbwParserState state
          = hbw_parser_feed (upstream->parser, bytes, length, &used);
      upstream->feeding = FALSE;
      if (upstream->cancelled)
        {
          upstream_destroy (upstream);
          return;
        }
      if (state == HBW_PARSER_ERROR || upstream->breaking)
        {
          fail (upstream, HBW_UPSTREAM_BROKEN);
          return;
        }
      if (state == HBW_PARSER_MORE)
        return;
      bytes += used;
      length -= used;
      if (!upstream->skipping)
        {
          complete (upstream, length > 0);
          return;
        }
      hbw_parser_reset (upstream->parser, FALSE);
      if (length == 0)
        return;
    }
}

static HbwUpstream *
upstream_of_channel (HbwChannelUser *user)
{
  return caa_container_of (user, HbwUpstream, channel_user);
}

static void
handle_connected (HbwChannelUser *user)
{
  HbwUpstream *upstream = upstream_of_channel (user);
  gsize length;
  const char *bytes = g_bytes_get_data (upstream->request, &length);
  hbw_loop_clear_timer (upstream->upstreams->loop, &upstream->timer);
  upstream->connected = TRUE;
  hbw_channel_write (upstream->channel, bytes, length);
}

static void
handle_bytes (HbwChannelUser *user, const char *bytes, gsize length)
{
  HbwUpstream *upstream = upstream_of_channel (user);
  upstream->server->heard_us = hbw_loop_now (upstream->upstreams->loop);
  if (upstream->idle)
    upstream_destroy (upstream); /* an answer that nobody asked for */
  else
    read_answer (upstream, bytes, length);
}

static void
handle_end (HbwChannelUser *user, gboolean clean)
{
  HbwUpstream *upstream = upstream_of_channel (user);
  if (upstream->idle)
    {
      upstream_destroy (upstream);
      return;
    }
  if (!upstream->connected)
    {
      fail (upstream, HBW_UPSTREAM_NOT_CONNECTED);
      return;
    }
  /* An answer without a length ends with its connection; a reset is no end. */
  gboolean whole = clean && hbw_parser_has_begun (upstream->parser)
                   && !upstream->skipping && hbw_parser_end (upstream->parser);
  fail (upstream, whole ? HBW_UPSTREAM_COMPLETE : HBW_UPSTREAM_BROKEN);
}

static const HbwChannelUserClass channel_user_class = {
  .handle_connected = handle_connected,
  .handle_bytes = handle_bytes,
  .handle_end = handle_end,
};

static void
handle_overdue (HbwTimer *timer)
{
  HbwUpstream *upstream = caa_container_of (timer, HbwUpstream, timer);
  fail (upstream, HBW_UPSTREAM_NOT_CONNECTED);
}

static void
handle_idle_timeout (HbwTimer *timer)
{
  upstream_destroy (caa_container_of (timer, HbwUpstream, timer));
}

static HbwUpstream *
open_connection (HbwUpstreams *upstreams, const HbwUpstreamConfig *config)
{
  HbwUpstream *upstream = g_new0 (HbwUpstream, 1);
  upstream->channel_user.class = &channel_user_class;
  upstream->parser_user.class = &parser_user_class;
  upstream->upstreams = upstreams;
  upstream->server = ensure_server (upstreams, config->server);
  upstream->parser = hbw_parser_create (HBW_PARSER_ANSWER, &upstream->parser_user);
  cds_list_add_tail (&upstream->link, &upstreams->all);
  upstream->channel = hbw_channel_connect (upstreams->loop, config->address,
                                           &upstream->channel_user);
  return upstream;
}

/* Connections that were closed meanwhile are freed when the loop hears of it. */
static HbwUpstream *
find_quiet (const Server *server)
{
  HbwUpstream *upstream;
  cds_list_for_each_entry (upstream, &server->idle, idle_link)
    if (hbw_channel_is_quiet (upstream->channel))
      return upstream;
  return NULL;
}

static HbwUpstream *
take_idle (HbwUpstreams *upstreams, const char *name)
{
  HbwUpstream *upstream = find_quiet (ensure_server (upstreams, name));
  if (upstream == NULL)
    return NULL;
  leave_idle (upstream);
  hbw_loop_clear_timer (upstreams->loop, &upstream->timer);
  return upstream;
}

HbwUpstreams *
hbw_upstreams_create (HbwLoop *loop)
{
  HbwUpstreams *upstreams = g_new0 (HbwUpstreams, 1);
  upstreams->loop = loop;
  upstreams->servers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&upstreams->all);
  return upstreams;
}

void
hbw_upstreams_destroy (HbwUpstreams *upstreams)
{
  HbwUpstream *upstream;
  HbwUpstream *next;
  cds_list_for_each_entry_safe (upstream, next, &upstreams->all, link)
    upstream_destroy (upstream);
  g_hash_table_destroy (upstreams->servers);
  g_free (upstreams);
}

HbwUpstream *
hbw_upstream_send (HbwUpstreams *upstreams, const HbwUpstreamConfig *config,
                   HbwUpstreamUser *user)
{
  HbwUpstream *upstream = take_idle (upstreams, config->server);
  gboolean kept = upstream != NULL;
  if (!kept)
    upstream = open_connection (upstreams, config);
  upstream->user = user;
  upstream->request = g_bytes_ref (config->request);
  upstream->skipped = 0;
  upstream->skipping = FALSE;
  upstream->breaking = FALSE;
  upstream->may_keep = FALSE;
  hbw_parser_reset (upstream->parser, config->answers_head);
  if (upstream->channel == NULL)
    {
      fail (upstream, HBW_UPSTREAM_NOT_CONNECTED);
      return NULL;
    }
  if (kept)
    handle_connected (&upstream->channel_user);
  else
    {
      upstream->timer.handle_due = handle_overdue;
      hbw_loop_set_timer (upstreams->loop, &upstream->timer,
                          config->connect_timeout_us);
    }
  return upstream;
}

void
hbw_upstream_cancel (HbwUpstream *upstream)
{
  upstream->user = NULL;
  upstream->cancelled = TRUE;
  if (!upstream->feeding)
    upstream_destroy (upstream);
}

void
hbw_upstream_set_reading (HbwUpstream *upstream, gboolean reading)
{
  hbw_channel_set_reading (upstream->channel, reading);
}

void
hbw_upstream_detach (HbwUpstream *upstream)
{
  upstream->user = NULL;
  upstream->timer.handle_due = handle_overdue;
  hbw_loop_set_timer (upstream->upstreams->loop, &upstream->timer, DETACHED_US);
}

gint64
hbw_upstreams_heard_us (const HbwUpstreams *upstreams, const char *server)
{
  const Server *known = g_hash_table_lookup (upstreams->servers, server);
  return known != NULL ? known->heard_us : 0;
}
