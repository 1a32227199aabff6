#include "hornbeamwall/net/server_check.h"

#include "hornbeamwall/net/channel.h"

#include <string.h>

/* A connection that is closed sooner was not accepted by a server that works. */
#define OPEN_TIME_US (50 * HBW_US_PER_MS)

/* A server that has not answered by then is not reachable. */
#define CHECK_TIMEOUT_US (1 * HBW_US_PER_S)

typedef struct
{
  HbwChannelHandler channel_handler;
  HbwTimer timer;
  struct cds_list_head link; /* in traffic->server_checks */
  HbwTraffic *traffic;
  HbwChannel *channel; /* NULL if the connection failed at once */
  gboolean is_connected;
  char server[HBW_NAME_MAX];
} ServerCheck;

static void
check_destroy (ServerCheck *check)
{
  cds_list_del (&check->link);
  hbw_loop_clear_timer (check->traffic->loop, &check->timer);
  if (check->channel != NULL)
    hbw_channel_destroy (check->channel);
  g_free (check);
}

static void
finish (ServerCheck *check, HbwServerCheckKind kind)
{
  HbwTraffic *traffic = check->traffic;
  HbwEvent event = { .kind = HBW_EVENT_SERVER_CHECKED };
  event.check.kind = kind;
  g_strlcpy (event.check.server, check->server, sizeof event.check.server);
  check_destroy (check);
  if (kind == HBW_SERVER_CHECK_REFUSED)
    hbw_upstream_pool_close_idle (traffic->upstream_pool, event.check.server);
  hbw_control_submit (traffic->control, &event, NULL);
}

static void
handle_connected (HbwChannelHandler *handler)
{
  ServerCheck *check = caa_container_of (handler, ServerCheck, channel_handler);
  check->is_connected = TRUE;
  hbw_loop_set_timer (check->traffic->loop, &check->timer, OPEN_TIME_US);
}

static void
handle_bytes (HbwChannelHandler *handler G_GNUC_UNUSED,
              const char *bytes G_GNUC_UNUSED, gsize length G_GNUC_UNUSED)
{
}

static void
handle_end (HbwChannelHandler *handler, gboolean clean G_GNUC_UNUSED)
{
  ServerCheck *check = caa_container_of (handler, ServerCheck, channel_handler);
  finish (check, hbw_channel_is_refused (check->channel)
                     ? HBW_SERVER_CHECK_REFUSED
                     : HBW_SERVER_CHECK_NO_ANSWER);
}

static const HbwChannelHandlerClass channel_handler_class = {
  .handle_connected = handle_connected,
  .handle_bytes = handle_bytes,
  .handle_end = handle_end,
};

static void
handle_timeout (HbwTimer *timer)
{
  ServerCheck *check = caa_container_of (timer, ServerCheck, timer);
  finish (check, check->is_connected ? HBW_SERVER_CHECK_ACCEPTED
                                     : HBW_SERVER_CHECK_NO_ANSWER);
}

void
hbw_server_check_start (HbwTraffic *traffic, const HbwCheckServer *wanted)
{
  gboolean is_refused;
  ServerCheck *check = g_new0 (ServerCheck, 1);
  check->channel_handler.class = &channel_handler_class;
  check->timer.handle_due = handle_timeout;
  check->traffic = traffic;
  g_strlcpy (check->server, wanted->server, sizeof check->server);
  cds_list_add (&check->link, &traffic->server_checks);
  check->channel = hbw_channel_connect_checked (
      traffic->loop, wanted->address, traffic->settings->source_address,
      &check->channel_handler, &is_refused);
  if (check->channel == NULL)
    finish (check,
            is_refused ? HBW_SERVER_CHECK_REFUSED : HBW_SERVER_CHECK_NO_ANSWER);
  else
    hbw_loop_set_timer (traffic->loop, &check->timer, CHECK_TIMEOUT_US);
}

void
hbw_server_check_abort_all (HbwTraffic *traffic)
{
  ServerCheck *check;
  ServerCheck *next;
  cds_list_for_each_entry_safe (check, next, &traffic->server_checks, link)
    check_destroy (check);
}
