/*
 * peer_transport - sends and receives peer messages over ZeroMQ
 *
 * One ROUTER socket receives; one DEALER socket per peer address sends.  Posted
 * messages are coalesced into one frame per peer until the next flush.  Sending
 * never blocks: when the queue to a peer is full, frames are dropped.  Must be used
 * on the control thread only.
 */
#ifndef HORNBEAMWALL_NET_PEER_TRANSPORT_H
#define HORNBEAMWALL_NET_PEER_TRANSPORT_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/net/codec.h"

/* Frames queued for one peer before further ones are dropped. */
#define HBW_PEER_SEND_QUEUE_MAX 1000

typedef struct HbwPeerTransport HbwPeerTransport;

/* Listens at ADDRESS ("IP address:port"; port 0 takes any) for the instance
   IDENTITY.  Returns NULL and sets ERROR if the address cannot be bound. */
HbwPeerTransport *hbw_peer_transport_create (const char *address, guint64 identity,
                                             HbwError *error);
void hbw_peer_transport_destroy (HbwPeerTransport *transport);

/* Returns the address that was bound (borrowed). */
const char *hbw_peer_transport_address (const HbwPeerTransport *transport);

/* Adds a message to the next frame for ADDRESS. */
void hbw_peer_transport_post (HbwPeerTransport *transport, const char *address,
                              const HbwMessage *message);

/* Sends all frames that have messages, and closes sockets that have been idle. */
void hbw_peer_transport_flush (HbwPeerTransport *transport, gint64 now_us);

/* Waits up to TIMEOUT_MS for messages or for FD to be readable. */
void hbw_peer_transport_wait (HbwPeerTransport *transport, int fd, int timeout_ms);

/* Calls VISIT for the messages that have arrived.  Returns the number of frames that
   were not valid; ERROR describes the last one. */
guint hbw_peer_transport_receive (HbwPeerTransport *transport,
                                  HbwMessageVisitor visit, void *data,
                                  HbwError *error);

/* Return the bytes of all frames sent and received since creation. */
guint64 hbw_peer_transport_bytes_sent (const HbwPeerTransport *transport);
guint64 hbw_peer_transport_bytes_received (const HbwPeerTransport *transport);

#endif
