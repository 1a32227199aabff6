/*
 * codec - peer messages as MessagePack
 *
 * A frame is an array: the version of the protocol, the sender's identity, then the
 * messages, each an array of its kind and fields.  Fields that a receiver does not
 * know stand at the end of an array and are skipped.
 */
#ifndef HORNBEAMWALL_NET_CODEC_H
#define HORNBEAMWALL_NET_CODEC_H

#include "hornbeamwall/common/error.h"
#include "hornbeamwall/core/message.h"

#define HBW_CODEC_VERSION 1

/* Largest frame, in bytes: a document and its wrapping. */
#define HBW_FRAME_MAX (1024 * 1024 + 4096)

/* Most messages in one frame. */
#define HBW_FRAME_MESSAGES_MAX 4096

typedef struct HbwFrame HbwFrame;

/* Creates an empty frame of the sender IDENTITY. */
HbwFrame *hbw_frame_create (guint64 identity);
void hbw_frame_destroy (HbwFrame *frame);

void hbw_frame_add (HbwFrame *frame, const HbwMessage *message);
guint hbw_frame_count (const HbwFrame *frame);

/* Returns the size of the messages so far, in bytes. */
gsize hbw_frame_size (const HbwFrame *frame);

/* Returns the whole frame and empties it. */
GBytes *hbw_frame_finish (HbwFrame *frame);

typedef void (*HbwMessageVisitor) (const HbwMessage *message, void *data);

/* Calls VISIT on each message of a received frame.  Returns FALSE at the first
   one that is not valid; those before it were visited. */
gboolean hbw_frame_parse (const void *bytes, gsize size, HbwMessageVisitor visit,
                          void *data, HbwError *error);

#endif
