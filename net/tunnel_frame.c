#include "hornbeamwall/net/tunnel_frame.h"

#include <string.h>

void
hbw_tunnel_frame_write_header (guint8 *header, guint32 length)
{
  const guint32 value = GUINT32_TO_BE (length);
  memcpy (header, &value, sizeof value);
}

static void
read_header_byte (HbwTunnelFrameReader *reader, char byte)
{
  guint32 value;
  reader->header[reader->header_length++] = (guint8) byte;
  if (reader->header_length < HBW_TUNNEL_FRAME_HEADER_SIZE)
    return;
  memcpy (&value, reader->header, sizeof value);
  reader->header_length = 0;
  reader->remaining = GUINT32_FROM_BE (value);
  reader->ended = reader->remaining == 0;
}

gsize
hbw_tunnel_frame_read (HbwTunnelFrameReader *reader, const char *bytes, gsize length,
                       char *out)
{
  gsize copied = 0;
  gsize offset = 0;
  while (offset < length && !reader->ended)
    {
      if (reader->remaining == 0)
        {
          read_header_byte (reader, bytes[offset++]);
          continue;
        }
      gsize count = MIN (reader->remaining, length - offset);
      memcpy (out + copied, bytes + offset, count);
      reader->remaining -= (guint32) count;
      copied += count;
      offset += count;
    }
  return copied;
}
