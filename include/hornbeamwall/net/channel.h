/*
 * channel - a TCP connection on an event loop, with a send buffer
 *
 * All functions must be called on the thread of the loop.  Any callback may destroy
 * the channel.
 */
#ifndef HORNBEAMWALL_NET_CHANNEL_H
#define HORNBEAMWALL_NET_CHANNEL_H

#include "hornbeamwall/net/byte_blocks.h"
#include "hornbeamwall/net/loop.h"

/* Maximum number of bytes that handle_bytes() gets at once. */
#define HBW_CHANNEL_READ_SIZE ((gsize) 16 * 1024)

typedef struct HbwChannel HbwChannel;

/* Callbacks of a channel; the structure is embedded in the owner's. */
typedef struct HbwChannelHandler HbwChannelHandler;
typedef struct
{
  /* Only called after hbw_channel_connect(). */
  void (*handle_connected) (HbwChannelHandler *handler);
  void (*handle_bytes) (HbwChannelHandler *handler, const char *bytes, gsize length);
  /* The peer has closed its side; CLEAN is FALSE after a reset or an error. */
  void (*handle_end) (HbwChannelHandler *handler, gboolean clean);
  /* The send buffer is empty; may be NULL. */
  void (*handle_drained) (HbwChannelHandler *handler);
} HbwChannelHandlerClass;
struct HbwChannelHandler
{
  const HbwChannelHandlerClass *class;
};

/* Takes ownership of the connected socket FD.  Returns NULL and closes FD if it
   cannot be added to the loop. */
HbwChannel *hbw_channel_adopt (HbwLoop *loop, int fd, HbwChannelHandler *handler);

/* Starts to connect to ADDRESS (IP address and port), from the IP address SOURCE
   unless that is "".  Returns NULL if that fails immediately. */
HbwChannel *hbw_channel_connect (HbwLoop *loop, const char *address,
                                 const char *source, HbwChannelHandler *handler);

/* As hbw_channel_connect(), and sets IS_REFUSED to whether an immediate failure is
   that no process listens at ADDRESS. */
HbwChannel *hbw_channel_connect_checked (HbwLoop *loop, const char *address,
                                         const char *source,
                                         HbwChannelHandler *handler,
                                         gboolean *is_refused);

/* Returns, in handle_end(), whether no process listens at the address. */
gboolean hbw_channel_is_refused (const HbwChannel *channel);

/* Closes the connection and frees the channel; bytes that are still buffered are
   lost. */
void hbw_channel_destroy (HbwChannel *channel);

/* Like hbw_channel_destroy(), but the peer sees a reset. */
void hbw_channel_abort (HbwChannel *channel);

/* Sends BYTES; what the socket does not accept now is buffered. */
void hbw_channel_write (HbwChannel *channel, const char *bytes, gsize length);

/* Sends BYTES and then TAIL, of which it keeps a reference instead of a copy. */
void hbw_channel_write_with_tail (HbwChannel *channel, const char *bytes,
                                  gsize length, HbwByteBlocks *tail);

/* Shuts down the sending side as soon as the send buffer is empty. */
void hbw_channel_shutdown_write (HbwChannel *channel);

/* Returns whether the connection is open and has no bytes to read. */
gboolean hbw_channel_is_idle (const HbwChannel *channel);

/* Returns whether the peer has sent bytes that were not read yet. */
gboolean hbw_channel_has_unread_bytes (const HbwChannel *channel);

/* Returns the number of bytes in the send buffer. */
gsize hbw_channel_pending_bytes (const HbwChannel *channel);

/* Returns the bytes that the channel occupies, without a tail. */
gsize hbw_channel_cost (const HbwChannel *channel);

/* Writes the peer's IP address to HOST, of SIZE bytes; "" if it is unknown. */
void hbw_channel_get_peer_host (const HbwChannel *channel, char *host, gsize size);

/* Sets how long sent bytes may stay unacknowledged, or a peer may receive nothing,
   until the connection is closed. */
void hbw_channel_set_user_timeout (HbwChannel *channel, guint timeout_ms);

/* Pauses or resumes reading. */
void hbw_channel_set_reading (HbwChannel *channel, gboolean reading);

/* Opens a listening socket at ADDRESS (IP address and port; port 0 takes any).
   Returns the descriptor, or -1 and sets ERROR. */
int hbw_listen (const char *address, HbwError *error);

/* Returns the port that the listening socket FD is bound to, 0 on failure. */
guint hbw_listen_port (int fd);

#endif
