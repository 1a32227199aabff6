#include "hornbeamwall/net/codec.h"

#include "hornbeamwall/net/codec_fields.h"

struct HbwFrame
{
  guint64 identity;
  msgpack_sbuffer body;
  msgpack_packer packer;
  guint count;
};

static gboolean
parse_message (HbwFieldReader *messages, guint64 from, HbwMessageVisitor visit,
               void *data, HbwError *error)
{
  HbwMessage message = { .from = from };
  HbwFieldReader reader = hbw_field_reader_unpack_array (messages, G_MAXUINT16);
  guint64 kind = hbw_field_reader_unpack_uint (&reader, G_MAXUINT16);
  if (!reader.failed && kind >= HBW_MESSAGE_COUNT)
    return TRUE; /* a kind that a newer protocol version has added */
  message.kind = (HbwMessageKind) kind;
  if (!reader.failed)
    hbw_message_unpack (&reader, &message);
  if (!reader.failed)
    visit (&message, data);
  if (message.kind == HBW_MESSAGE_DOCUMENT
      || message.kind == HBW_MESSAGE_DOCUMENT_ASK)
    g_clear_pointer (&message.document.body, g_bytes_unref);
  if (reader.failed)
    hbw_error_set (
        error, HBW_ERROR_MESSAGE,
        "invalid message of kind %s; check that all instances run compatible "
        "versions",
        hbw_message_kind_name (message.kind));
  return !reader.failed;
}

HbwFrame *
hbw_frame_create (guint64 identity)
{
  HbwFrame *frame = g_new0 (HbwFrame, 1);
  frame->identity = identity;
  msgpack_sbuffer_init (&frame->body);
  msgpack_packer_init (&frame->packer, &frame->body, msgpack_sbuffer_write);
  return frame;
}

void
hbw_frame_destroy (HbwFrame *frame)
{
  msgpack_sbuffer_destroy (&frame->body);
  g_free (frame);
}

void
hbw_frame_add (HbwFrame *frame, const HbwMessage *message)
{
  hbw_message_pack (&frame->packer, message);
  frame->count++;
}

guint
hbw_frame_message_count (const HbwFrame *frame)
{
  return frame->count;
}

gsize
hbw_frame_size (const HbwFrame *frame)
{
  return frame->body.size;
}

GBytes *
hbw_frame_encode (HbwFrame *frame)
{
  msgpack_sbuffer whole;
  msgpack_packer packer;
  msgpack_sbuffer_init (&whole);
  msgpack_packer_init (&packer, &whole, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint8 (&packer, HBW_CODEC_VERSION);
  msgpack_pack_uint64 (&packer, frame->identity);
  msgpack_pack_array (&packer, frame->count);
  msgpack_sbuffer_write (&whole, frame->body.data, frame->body.size);
  GBytes *bytes = g_bytes_new (whole.data, whole.size);
  msgpack_sbuffer_destroy (&whole);
  msgpack_sbuffer_clear (&frame->body);
  frame->count = 0;
  return bytes;
}

/* Size of an object's header, without the type byte, and what follows the header:
   the object's payload in bytes, or a number of further objects. */
typedef struct
{
  gsize header_size;
  guint64 payload_size;
  guint64 child_count;
} ObjectExtent;

static guint64
read_big_endian (const guint8 *bytes, gsize size)
{
  guint64 value = 0;
  for (gsize i = 0; i < size; i++)
    value = value << 8 | bytes[i];
  return value;
}

/* Returns the size of the length or count after the type byte, in bytes; 0 if the
   type has none. */
static gsize
length_size (guint8 type)
{
  switch (type)
    {
    case 0xc4: /* bin 8, str 8 */
    case 0xd9:
      return 1;
    case 0xc5: /* bin 16, str 16, array 16, map 16 */
    case 0xda:
    case 0xdc:
    case 0xde:
      return 2;
    case 0xc6: /* bin 32, str 32, array 32, map 32 */
    case 0xdb:
    case 0xdd:
    case 0xdf:
      return 4;
    default:
      return 0;
    }
}

static ObjectExtent
read_extent (const guint8 *object, gsize size)
{
  /* Payload sizes of the types 0xca to 0xd3: float 32 and 64, uint 8 to 64, and
     int 8 to 64. */
  static const guint8 number_sizes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
  ObjectExtent extent = { length_size (*object), 0, 0 };
  guint8 type = *object;
  if (extent.header_size >= size)
    {
      extent.payload_size = G_MAXUINT32;
      return extent;
    }
  guint64 length = read_big_endian (object + 1, extent.header_size);
  if (type >= 0xdc && type <= 0xdf)
    extent.child_count = type >= 0xde ? 2 * length : length;
  else if (extent.header_size > 0)
    extent.payload_size = length;
  else if (type >= 0xca && type <= 0xd3)
    extent.payload_size = number_sizes[type - 0xca];
  else if (type >= 0xa0 && type <= 0xbf)
    extent.payload_size = type & 0x1f;
  else if (type >= 0x80 && type <= 0x9f)
    extent.child_count = (guint64) (type & 0x0f) * (type < 0x90 ? 2 : 1);
  return extent;
}

/* Returns whether the type is not used by the codec: extensions, and the one that
   MessagePack leaves out. */
static gboolean
is_foreign_type (guint8 type)
{
  return type == 0xc1 || (type >= 0xc7 && type <= 0xc9)
         || (type >= 0xd4 && type <= 0xd8);
}

/* Returns whether no header announces more objects or bytes than the frame can hold.
   The library allocates memory for as many objects as a header announces, so this is
   checked before unpacking. */
static gboolean
counts_fit (const guint8 *bytes, gsize size)
{
  gsize offset = 0;
  while (offset < size)
    {
      ObjectExtent extent = read_extent (bytes + offset, size - offset);
      gsize remaining = size - offset - 1;
      if (is_foreign_type (bytes[offset]) || extent.header_size > remaining
          || extent.payload_size > remaining - extent.header_size
          || extent.child_count > remaining - extent.header_size)
        return FALSE;
      offset += 1 + extent.header_size + (gsize) extent.payload_size;
    }
  return TRUE;
}

static gboolean
parse_root (const msgpack_object *root, HbwMessageVisitor visit, void *data,
            HbwError *error)
{
  HbwFieldReader outer = { .items = root, .count = 1 };
  HbwFieldReader reader = hbw_field_reader_unpack_array (&outer, G_MAXUINT16);
  guint64 version = hbw_field_reader_unpack_uint (&reader, G_MAXUINT16);
  guint64 from = hbw_field_reader_unpack_uint (&reader, G_MAXUINT64);
  HbwFieldReader messages
      = hbw_field_reader_unpack_array (&reader, HBW_FRAME_MESSAGES_MAX);
  if (reader.failed || version != HBW_CODEC_VERSION)
    {
      hbw_error_set (
          error, HBW_ERROR_MESSAGE,
          "frame is not of protocol version %d; check that all instances run "
          "compatible versions",
          HBW_CODEC_VERSION);
      return FALSE;
    }
  gboolean valid = TRUE;
  while (messages.next < messages.count)
    {
      valid &= parse_message (&messages, from, visit, data, error);
      messages.failed = FALSE; /* the next message may be valid */
    }
  return valid;
}

gboolean
hbw_frame_parse (const void *bytes, gsize size, HbwMessageVisitor visit, void *data,
                 HbwError *error)
{
  msgpack_unpacked result;
  size_t offset = 0;
  msgpack_unpacked_init (&result);
  gboolean unpacked = size <= HBW_FRAME_MAX && counts_fit (bytes, size)
                      && msgpack_unpack_next (&result, bytes, size, &offset)
                             == MSGPACK_UNPACK_SUCCESS;
  gboolean valid = unpacked && parse_root (&result.data, visit, data, error);
  if (!unpacked)
    hbw_error_set (error, HBW_ERROR_MESSAGE,
                   "frame of %" G_GSIZE_FORMAT
                   " bytes is too large or not valid MessagePack",
                   size);
  msgpack_unpacked_destroy (&result);
  return valid;
}
