/*
 * codec - encodes and decodes frames of peer messages as MessagePack
 *
 * A frame is an array of the protocol version, the sender's identity and an array of
 * messages; each message is an array of its kind and its fields.  Newer protocol
 * versions append fields at the end of an array, and receivers skip the fields that
 * they do not know.
 */
#ifndef HORNBEAMWALL_NET_CODEC_H
#define HORNBEAMWALL_NET_CODEC_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/message.h"

#define HBW_CODEC_VERSION 1

/* Largest frame, in bytes: the largest document and its framing. */
#define HBW_FRAME_MAX (HBW_CATALOGUE_SIZE_MAX + 4096)

/* Maximum number of messages in one frame. */
#define HBW_FRAME_MESSAGES_MAX 4096

typedef struct HbwFrame HbwFrame;

/* Creates an empty frame from the sender IDENTITY. */
HbwFrame *hbw_frame_create (guint64 identity);
void hbw_frame_destroy (HbwFrame *frame);

void hbw_frame_add (HbwFrame *frame, const HbwMessage *message);
guint hbw_frame_message_count (const HbwFrame *frame);

/* Returns the encoded size of the messages that were added, in bytes. */
gsize hbw_frame_size (const HbwFrame *frame);

/* Returns the encoded frame, owned by the caller, and empties FRAME. */
GBytes *hbw_frame_encode (HbwFrame *frame);

typedef void (*HbwMessageVisitor) (const HbwMessage *message, void *data);

/* Calls VISIT for each valid message of a received frame.  Sets ERROR and returns
   FALSE if a message is not valid. */
gboolean hbw_frame_parse (const void *bytes, gsize size, HbwMessageVisitor visit,
                          void *data, HbwError *error);

#endif
