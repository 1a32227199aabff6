/*
 * channel - one TCP connection of an event loop, with a buffer for what is sent
 *
 * A channel belongs to its loop's thread.  After any of the callbacks the channel
 * may have been destroyed by its owner.
 */
#ifndef HORNBEAMWALL_NET_CHANNEL_H
#define HORNBEAMWALL_NET_CHANNEL_H

#include "hornbeamwall/net/loop.h"

typedef struct HbwChannel HbwChannel;

/* What a channel tells its owner; embedded in it. */
typedef struct HbwChannelUser HbwChannelUser;
typedef struct
{
  void (*handle_connected) (HbwChannelUser *user); /* of one that was opened here */
  void (*handle_bytes) (HbwChannelUser *user, const char *bytes, gsize length);
  /* The other side sends no more; CLEAN is FALSE after a reset or an error. */
  void (*handle_end) (HbwChannelUser *user, gboolean clean);
  void (*handle_drained) (HbwChannelUser *user); /* all is sent; may be NULL */
} HbwChannelUserClass;
struct HbwChannelUser
{
  const HbwChannelUserClass *class;
};

/* Takes over the connected socket FD; returns NULL, with FD closed, where the system
   has no room for it. */
HbwChannel *hbw_channel_adopt (HbwLoop *loop, int fd, HbwChannelUser *user);

/* Begins to connect to ADDRESS (IP number and port); NULL where that fails at once.
 */
HbwChannel *hbw_channel_connect (HbwLoop *loop, const char *address,
                                 HbwChannelUser *user);

/* Closes the connection; what was not sent is lost. */
void hbw_channel_destroy (HbwChannel *channel);

/* Closes the connection so that the other side sees a reset, not an end. */
void hbw_channel_abort (HbwChannel *channel);

/* Sends BYTES, or keeps them until the other side takes them. */
void hbw_channel_write (HbwChannel *channel, const char *bytes, gsize length);

/* Tells the other side that nothing more comes, once all is sent. */
void hbw_channel_finish (HbwChannel *channel);

/* Returns whether the connection is open and has nothing to read. */
gboolean hbw_channel_is_quiet (const HbwChannel *channel);

/* Returns how many bytes wait to be sent. */
gsize hbw_channel_pending (const HbwChannel *channel);

/* Stops or goes on reading. */
void hbw_channel_set_reading (HbwChannel *channel, gboolean reading);

/* Opens a listening socket at ADDRESS; returns -1 on failure. */
int hbw_listen (const char *address, HbwError *error);

/* Returns the port that a listening socket is bound to. */
guint hbw_listen_port (int fd);

#endif
