#include "hornbeamwall/net/peer_transport.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/directory.h"

#include <errno.h>
#include <string.h>
#include <urcu/list.h>
#include <zmq.h>

/* How long a sending socket may be idle before it is closed. */
#define LINK_IDLE_TIMEOUT_US (20 * HBW_US_PER_S)

/* Interval of the search for idle sockets. */
#define LINK_IDLE_CHECK_US (1 * HBW_US_PER_S)

/* Size from which a frame is sent without waiting for the flush, in bytes. */
#define FRAME_FLUSH_SIZE 65536

/* ZMQ_ZERO_COPY_RECV, which the header of the library has among its drafts only. */
#define ZERO_COPY_OPTION 10

/* Frames that are received per call, so that other work is not starved. */
#define RECEIVE_BATCH 256

typedef struct
{
  struct cds_list_head pending_link; /* in HbwPeerTransport.pending, or alone */
  void *socket;
  HbwFrame *frame;
  gint64 used_us;
} Link;

struct HbwPeerTransport
{
  void *zmq;
  void *router;
  char address[HBW_ADDRESS_MAX];
  guint64 identity;
  GHashTable *links;            /* address -> Link */
  struct cds_list_head pending; /* Link with messages that are not sent yet */
  gint64 idle_checked_us;
  guint64 bytes_sent;
  guint64 bytes_received;
};

static void
link_free (gpointer data)
{
  Link *link = data;
  cds_list_del (&link->pending_link);
  zmq_close (link->socket);
  hbw_frame_destroy (link->frame);
  g_free (link);
}

static Link *
link_create (HbwPeerTransport *transport, const char *address)
{
  char endpoint[HBW_ADDRESS_MAX + 8];
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  void *socket = zmq_socket (transport->zmq, ZMQ_DEALER);
  if (socket == NULL)
    return NULL;
  int linger = 0;
  int backlog = HBW_PEER_SEND_QUEUE_MAX;
  zmq_setsockopt (socket, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &backlog, sizeof backlog);
  if (zmq_connect (socket, endpoint) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  Link *link = g_new0 (Link, 1);
  link->socket = socket;
  link->frame = hbw_frame_create (transport->identity);
  CDS_INIT_LIST_HEAD (&link->pending_link);
  g_hash_table_insert (transport->links, g_strdup (address), link);
  return link;
}

static void
link_send (HbwPeerTransport *transport, Link *link)
{
  GBytes *bytes = hbw_frame_encode (link->frame);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  if (zmq_send (link->socket, data, size, ZMQ_DONTWAIT) >= 0)
    transport->bytes_sent += size;
  g_bytes_unref (bytes);
}

HbwPeerTransport *
hbw_peer_transport_create (const char *address, guint64 identity, HbwError *error)
{
  HbwPeerTransport *transport = g_new0 (HbwPeerTransport, 1);
  transport->identity = identity;
  CDS_INIT_LIST_HEAD (&transport->pending);
  transport->links
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, link_free);
  transport->zmq = zmq_ctx_new ();
  /* Each unread message would keep a receive buffer of 18 KB, however short it is.
   */
  zmq_ctx_set (transport->zmq, ZERO_COPY_OPTION, 0);
  transport->router = zmq_socket (transport->zmq, ZMQ_ROUTER);
  int linger = 0;
  gint64 max_size = HBW_FRAME_MAX;
  zmq_setsockopt (transport->router, ZMQ_LINGER, &linger, sizeof linger);
  zmq_setsockopt (transport->router, ZMQ_MAXMSGSIZE, &max_size, sizeof max_size);
  char endpoint[HBW_ADDRESS_MAX + 8];
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (zmq_bind (transport->router, endpoint) != 0)
    {
      hbw_error_set (
          error, HBW_ERROR_NETWORK,
          "cannot bind peer address %s: %s; use a free IP address and port of this "
          "host",
          address, zmq_strerror (errno));
      hbw_peer_transport_destroy (transport);
      return NULL;
    }
  char bound[HBW_ADDRESS_MAX + 8];
  size_t size = sizeof bound;
  zmq_getsockopt (transport->router, ZMQ_LAST_ENDPOINT, bound, &size);
  g_strlcpy (transport->address, bound + strlen ("tcp://"),
             sizeof transport->address);
  return transport;
}

void
hbw_peer_transport_destroy (HbwPeerTransport *transport)
{
  g_hash_table_destroy (transport->links);
  zmq_close (transport->router);
  zmq_ctx_term (transport->zmq);
  g_free (transport);
}

const char *
hbw_peer_transport_address (const HbwPeerTransport *transport)
{
  return transport->address;
}

void
hbw_peer_transport_post (HbwPeerTransport *transport, const char *address,
                         const HbwMessage *message)
{
  Link *link = g_hash_table_lookup (transport->links, address);
  if (link == NULL)
    link = link_create (transport, address);
  if (link == NULL)
    return;
  hbw_frame_add (link->frame, message);
  if (cds_list_empty (&link->pending_link))
    cds_list_add_tail (&link->pending_link, &transport->pending);
  if (hbw_frame_size (link->frame) >= FRAME_FLUSH_SIZE
      || hbw_frame_message_count (link->frame) >= HBW_FRAME_MESSAGES_MAX)
    link_send (transport, link);
}

static void
close_idle_links (HbwPeerTransport *transport, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  if (now_us - transport->idle_checked_us < LINK_IDLE_CHECK_US)
    return;
  transport->idle_checked_us = now_us;
  g_hash_table_iter_init (&iter, transport->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Link *link = value;
      if (link->used_us != 0 && now_us - link->used_us > LINK_IDLE_TIMEOUT_US)
        g_hash_table_iter_remove (&iter);
    }
}

void
hbw_peer_transport_flush (HbwPeerTransport *transport, gint64 now_us)
{
  Link *link;
  Link *next;
  cds_list_for_each_entry_safe (link, next, &transport->pending, pending_link)
    {
      cds_list_del_init (&link->pending_link);
      if (hbw_frame_message_count (link->frame) > 0)
        link_send (transport, link);
      link->used_us = now_us;
    }
  close_idle_links (transport, now_us);
}

void
hbw_peer_transport_wait (HbwPeerTransport *transport, int fd, int timeout_ms)
{
  zmq_pollitem_t items[]
      = { { transport->router, 0, ZMQ_POLLIN, 0 }, { NULL, fd, ZMQ_POLLIN, 0 } };
  zmq_poll (items, G_N_ELEMENTS (items), timeout_ms);
}

static gboolean
receive_part (HbwPeerTransport *transport, HbwMessageVisitor visit, void *data,
              guint *invalid, HbwError *error)
{
  zmq_msg_t part;
  zmq_msg_init (&part);
  if (zmq_msg_recv (&part, transport->router, ZMQ_DONTWAIT) < 0)
    {
      zmq_msg_close (&part);
      return FALSE;
    }
  gboolean is_envelope = zmq_msg_more (&part) != 0;
  if (!is_envelope)
    {
      transport->bytes_received += zmq_msg_size (&part);
      if (!hbw_frame_parse (zmq_msg_data (&part), zmq_msg_size (&part), visit, data,
                            error))
        (*invalid)++;
    }
  zmq_msg_close (&part);
  return TRUE;
}

guint
hbw_peer_transport_receive (HbwPeerTransport *transport, HbwMessageVisitor visit,
                            void *data, HbwError *error)
{
  guint invalid = 0;
  /* On a ROUTER socket each frame is preceded by a part with the sender's id. */
  for (guint i = 0; i < 2 * RECEIVE_BATCH; i++)
    if (!receive_part (transport, visit, data, &invalid, error))
      break;
  return invalid;
}

guint64
hbw_peer_transport_bytes_sent (const HbwPeerTransport *transport)
{
  return transport->bytes_sent;
}

guint64
hbw_peer_transport_bytes_received (const HbwPeerTransport *transport)
{
  return transport->bytes_received;
}
