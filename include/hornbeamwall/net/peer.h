/*
 * peer - messages to and from other instances over ZeroMQ
 *
 * One ROUTER socket receives; one DEALER socket for each peer address sends.  What
 * is posted is coalesced into one frame a peer until it is flushed.  A peer that
 * does not take messages loses them; nothing waits.  Belongs to the control thread.
 */
#ifndef HORNBEAMWALL_NET_PEER_H
#define HORNBEAMWALL_NET_PEER_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/net/codec.h"

/* Frames that wait for one peer before more are dropped. */
#define HBW_PEER_BACKLOG 1000

typedef struct HbwPeer HbwPeer;

/* Listens at ADDRESS ("IP number:port"; port 0 takes any) for the instance
   IDENTITY.  Returns NULL where the address cannot be bound. */
HbwPeer *hbw_peer_create (const char *address, guint64 identity, HbwError *error);
void hbw_peer_destroy (HbwPeer *peer);

/* Returns the address that was bound. */
const char *hbw_peer_address (const HbwPeer *peer);

/* Adds a message to the next frame for ADDRESS. */
void hbw_peer_post (HbwPeer *peer, const char *address, const HbwMessage *message);

/* Sends all frames that have messages, and closes sockets that were long unused. */
void hbw_peer_flush (HbwPeer *peer, gint64 now_us);

/* Waits up to TIMEOUT_MS for messages or for FD to be readable. */
void hbw_peer_wait (HbwPeer *peer, int fd, int timeout_ms);

/* Calls VISIT on every message that has come; returns the number of frames that
   were not valid, the last reason in ERROR. */
guint hbw_peer_receive (HbwPeer *peer, HbwMessageVisitor visit, void *data,
                        HbwError *error);

/* Bytes sent and received in frames since the start. */
guint64 hbw_peer_bytes_sent (const HbwPeer *peer);
guint64 hbw_peer_bytes_received (const HbwPeer *peer);

#endif
