#include "hornbeamwall/net/tunnel.h"

#include "hornbeamwall/net/channel.h"
#include "hornbeamwall/net/tunnel_frame.h"

#include <string.h>

/* Longest first line, without its line feed, in bytes. */
#define LINE_LENGTH_MAX (HBW_NAME_MAX - 1 + HBW_TUNNEL_ASK_FRAMED_SIZE)

/* How long the other instance may take to name the server. */
#define NAME_TIMEOUT_US (1 * HBW_US_PER_S)

/* A tunnel without bytes for this long is closed: the other instance may be gone. */
#define IDLE_TIMEOUT_US (120 * HBW_US_PER_S)

/* A response whose last bytes came longer ago is taken for a whole one. */
#define PAUSE_MAX_US (1 * HBW_US_PER_S)

/* A server that sent bytes this long ago, or later, shows that this instance has a
   path. */
#define HEARD_MAX_US (500 * HBW_US_PER_MS)

typedef struct
{
  HbwChannelHandler near_handler;
  HbwChannelHandler far_handler;
  struct cds_list_head link; /* in traffic->tunnels */
  HbwTraffic *traffic;
  HbwMemoryHolder memory;
  guint64 sequence; /* 0 before the server is named */
  HbwChannel *near; /* to the other instance */
  HbwChannel *far;  /* to the server; NULL before, and after its end */
  HbwTimer timer;
  gint64 last_bytes_us;
  char line[LINE_LENGTH_MAX + 1]; /* received from the other instance */
  gsize line_length;
  gboolean is_framed; /* the other instance understands frames */
  gboolean is_open;
  gboolean is_asked; /* bytes went to the server, and none have come since */
} Tunnel;

/* Bytes that wait in each direction while much memory is used. */
#define TIGHT_PENDING_BYTES_MAX ((gsize) 16 * 1024)

/* Tunnels are never released: they carry requests in progress of other instances. */
static const HbwMemoryHolderClass memory_class = { NULL };

static void
update_memory (Tunnel *tunnel)
{
  gsize bytes = sizeof *tunnel + hbw_channel_cost (tunnel->near);
  if (tunnel->far != NULL)
    bytes += hbw_channel_cost (tunnel->far);
  hbw_memory_holder_set (&tunnel->memory, HBW_MEMORY_KEPT, bytes);
}

static gsize
get_pending_max (const Tunnel *tunnel)
{
  return hbw_memory_budget_is_tight (tunnel->traffic->memory)
             ? TIGHT_PENDING_BYTES_MAX
             : HBW_TUNNEL_PENDING_BYTES_MAX;
}

/* Returns whether the server's bytes are cut here: an orderly end of the connection
   would look like the server's end to earlier versions. */
static gboolean
is_cut (const Tunnel *tunnel)
{
  return tunnel->is_open
         && (tunnel->far != NULL || hbw_channel_pending_bytes (tunnel->near) > 0);
}

static void
tunnel_destroy (Tunnel *tunnel)
{
  cds_list_del (&tunnel->link);
  hbw_memory_holder_clear (&tunnel->memory);
  tunnel->traffic->tunnel_count--;
  hbw_loop_clear_timer (tunnel->traffic->loop, &tunnel->timer);
  if (tunnel->near != NULL && is_cut (tunnel))
    hbw_channel_abort (tunnel->near);
  else if (tunnel->near != NULL)
    hbw_channel_destroy (tunnel->near);
  if (tunnel->far != NULL)
    hbw_channel_abort (tunnel->far);
  g_free (tunnel);
}

static void
refuse (Tunnel *tunnel, char reason)
{
  hbw_channel_write (tunnel->near, &reason, 1);
  tunnel_destroy (tunnel);
}

/* Passes BYTES on, and pauses SOURCE while the receiver has to catch up. */
static void
pass_on (Tunnel *tunnel, HbwChannel *target, HbwChannel *source, const char *bytes,
         gsize length)
{
  tunnel->last_bytes_us = hbw_loop_now (tunnel->traffic->loop);
  hbw_channel_write (target, bytes, length);
  update_memory (tunnel);
  if (hbw_channel_pending_bytes (target) > get_pending_max (tunnel))
    hbw_channel_set_reading (source, FALSE);
}

/* --- the other instance ---------------------------------------------------- */

static void
ask (Tunnel *tunnel)
{
  HbwEvent event = { .kind = HBW_EVENT_TUNNEL_ASKED };
  tunnel->sequence = hbw_control_next_request_sequence (tunnel->traffic->control);
  event.tunnel.sequence = tunnel->sequence;
  g_strlcpy (event.tunnel.server, tunnel->line, sizeof event.tunnel.server);
  hbw_channel_get_peer_host (tunnel->near, event.tunnel.peer_host,
                             sizeof event.tunnel.peer_host);
  hbw_channel_set_reading (tunnel->near, FALSE);
  hbw_control_submit (tunnel->traffic->control, &event, NULL);
}

/* Returns whether the line asks for frames. */
static gboolean
asks_for_frames (const Tunnel *tunnel)
{
  gsize name_length = strlen (tunnel->line);
  return tunnel->line_length == name_length + HBW_TUNNEL_ASK_FRAMED_SIZE
         && memcmp (tunnel->line + name_length, HBW_TUNNEL_ASK_FRAMED,
                    HBW_TUNNEL_ASK_FRAMED_SIZE)
                == 0;
}

static void
read_line (Tunnel *tunnel, const char *bytes, gsize length)
{
  const char *end = memchr (bytes, '\n', length);
  gsize count = end != NULL ? (gsize) (end - bytes) : length;
  if (tunnel->line_length + count > LINE_LENGTH_MAX
      || (end != NULL && end + 1 != bytes + length))
    {
      tunnel_destroy (tunnel);
      return;
    }
  memcpy (tunnel->line + tunnel->line_length, bytes, count);
  tunnel->line_length += count;
  if (end == NULL)
    return;
  tunnel->is_framed = asks_for_frames (tunnel);
  ask (tunnel);
}

static void
handle_near_bytes (HbwChannelHandler *handler, const char *bytes, gsize length)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, near_handler);
  if (tunnel->sequence == 0)
    read_line (tunnel, bytes, length);
  else if (tunnel->is_open && tunnel->far != NULL)
    {
      tunnel->is_asked = TRUE;
      pass_on (tunnel, tunnel->far, tunnel->near, bytes, length);
    }
  else
    tunnel_destroy (tunnel); /* bytes for a server that is not connected */
}

/* The other instance has given the request up, or is gone. */
static void
handle_near_end (HbwChannelHandler *handler, gboolean clean G_GNUC_UNUSED)
{
  tunnel_destroy (caa_container_of (handler, Tunnel, near_handler));
}

static void
handle_near_drained (HbwChannelHandler *handler)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, near_handler);
  update_memory (tunnel);
  if (tunnel->far != NULL && tunnel->is_open)
    hbw_channel_set_reading (tunnel->far, TRUE);
}

static const HbwChannelHandlerClass near_handler_class = {
  .handle_bytes = handle_near_bytes,
  .handle_end = handle_near_end,
  .handle_drained = handle_near_drained,
};

/* --- the server ------------------------------------------------------------ */

static void
handle_idle (HbwTimer *timer)
{
  Tunnel *tunnel = caa_container_of (timer, Tunnel, timer);
  HbwLoop *loop = tunnel->traffic->loop;
  gint64 idle_us = hbw_loop_now (loop) - tunnel->last_bytes_us;
  if (idle_us >= IDLE_TIMEOUT_US)
    tunnel_destroy (tunnel);
  else
    hbw_loop_set_timer (loop, timer, IDLE_TIMEOUT_US - idle_us);
}

static void
handle_far_connected (HbwChannelHandler *handler)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, far_handler);
  const char reply = tunnel->is_framed ? HBW_TUNNEL_OPEN_FRAMED : HBW_TUNNEL_OPEN;
  tunnel->is_open = TRUE;
  tunnel->last_bytes_us = hbw_loop_now (tunnel->traffic->loop);
  tunnel->timer.handle_due = handle_idle;
  hbw_loop_set_timer (tunnel->traffic->loop, &tunnel->timer, IDLE_TIMEOUT_US);
  hbw_channel_write (tunnel->near, &reply, 1);
  hbw_channel_set_reading (tunnel->near, TRUE);
}

/* Announces a block of LENGTH bytes; 0 is the server's end. */
static void
write_frame_header (Tunnel *tunnel, gsize length)
{
  guint8 header[HBW_TUNNEL_FRAME_HEADER_SIZE];
  if (!tunnel->is_framed)
    return;
  hbw_tunnel_frame_write_header (header, (guint32) length);
  hbw_channel_write (tunnel->near, (const char *) header, sizeof header);
}

static void
handle_far_bytes (HbwChannelHandler *handler, const char *bytes, gsize length)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, far_handler);
  tunnel->is_asked = FALSE;
  write_frame_header (tunnel, length);
  pass_on (tunnel, tunnel->near, tunnel->far, bytes, length);
}

/* Without a path of its own, this instance knows nothing of the server. */
static void
refuse_unconnected (Tunnel *tunnel)
{
  HbwTraffic *traffic = tunnel->traffic;
  gint64 heard_us = hbw_upstream_pool_last_heard_us (traffic->upstream_pool);
  gboolean has_path = hbw_loop_now (traffic->loop) - heard_us <= HEARD_MAX_US;
  refuse (tunnel, has_path ? HBW_TUNNEL_NO_SERVER : HBW_TUNNEL_UNAVAILABLE);
}

/* What the server has sent still reaches the other instance, and then the end. */
static void
handle_far_end (HbwChannelHandler *handler, gboolean clean)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, far_handler);
  if (!tunnel->is_open)
    {
      refuse_unconnected (tunnel);
      return;
    }
  if (clean)
    {
      hbw_channel_destroy (tunnel->far);
      tunnel->far = NULL;
      write_frame_header (tunnel, 0);
      hbw_channel_shutdown_write (tunnel->near);
      return;
    }
  tunnel_destroy (tunnel);
}

static void
handle_far_drained (HbwChannelHandler *handler)
{
  Tunnel *tunnel = caa_container_of (handler, Tunnel, far_handler);
  update_memory (tunnel);
  if (tunnel->is_open)
    hbw_channel_set_reading (tunnel->near, TRUE);
}

static const HbwChannelHandlerClass far_handler_class = {
  .handle_connected = handle_far_connected,
  .handle_bytes = handle_far_bytes,
  .handle_end = handle_far_end,
  .handle_drained = handle_far_drained,
};

static void
handle_connect_timeout (HbwTimer *timer)
{
  refuse_unconnected (caa_container_of (timer, Tunnel, timer));
}

static void
connect_server (Tunnel *tunnel, const char *address)
{
  HbwTraffic *traffic = tunnel->traffic;
  tunnel->far_handler.class = &far_handler_class;
  tunnel->far = hbw_channel_connect (traffic->loop, address,
                                     traffic->settings->source_address,
                                     &tunnel->far_handler);
  if (tunnel->far == NULL)
    {
      refuse_unconnected (tunnel);
      return;
    }
  tunnel->timer.handle_due = handle_connect_timeout;
  hbw_loop_set_timer (traffic->loop, &tunnel->timer,
                      traffic->settings->connect_timeout_ms * HBW_US_PER_MS);
}

/* --- all tunnels ----------------------------------------------------------- */

static void
handle_name_timeout (HbwTimer *timer)
{
  tunnel_destroy (caa_container_of (timer, Tunnel, timer));
}

void
hbw_tunnel_adopt (HbwTraffic *traffic, int fd)
{
  Tunnel *tunnel = g_new0 (Tunnel, 1);
  tunnel->near_handler.class = &near_handler_class;
  tunnel->traffic = traffic;
  tunnel->timer.handle_due = handle_name_timeout;
  tunnel->near = hbw_channel_adopt (traffic->loop, fd, &tunnel->near_handler);
  if (tunnel->near == NULL)
    {
      g_free (tunnel);
      return;
    }
  cds_list_add (&tunnel->link, &traffic->tunnels);
  hbw_memory_holder_init (&tunnel->memory, traffic->memory, &memory_class);
  update_memory (tunnel);
  hbw_loop_set_timer (traffic->loop, &tunnel->timer, NAME_TIMEOUT_US);
  if (++traffic->tunnel_count > HBW_TUNNELS_MAX)
    refuse (tunnel, HBW_TUNNEL_UNAVAILABLE);
}

void
hbw_tunnel_handle_answer (HbwTraffic *traffic, const HbwAnswerTunnel *answer)
{
  Tunnel *tunnel;
  Tunnel *next;
  cds_list_for_each_entry_safe (tunnel, next, &traffic->tunnels, link)
    {
      if (tunnel->sequence != answer->sequence)
        continue;
      if (*answer->address != '\0')
        connect_server (tunnel, answer->address);
      else
        refuse (tunnel, HBW_TUNNEL_UNAVAILABLE);
      return;
    }
}

static gboolean
is_in_use (const Tunnel *tunnel, gint64 now_us)
{
  return tunnel->is_asked || now_us - tunnel->last_bytes_us < PAUSE_MAX_US
         || hbw_channel_pending_bytes (tunnel->near) > 0;
}

gboolean
hbw_tunnel_any_in_use (const HbwTraffic *traffic)
{
  gint64 now_us = hbw_loop_now (traffic->loop);
  const Tunnel *tunnel;
  cds_list_for_each_entry (tunnel, &traffic->tunnels, link)
    if (is_in_use (tunnel, now_us))
      return TRUE;
  return FALSE;
}

void
hbw_tunnel_abort_all (HbwTraffic *traffic)
{
  Tunnel *tunnel;
  Tunnel *next;
  cds_list_for_each_entry_safe (tunnel, next, &traffic->tunnels, link)
    tunnel_destroy (tunnel);
}
