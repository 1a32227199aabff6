#include "hornbeamwall/net/byte_buffer.h"

#include <string.h>

/* Smallest allocation, in bytes. */
#define CAPACITY_MIN ((gsize) 256)

static void
set_capacity (HbwByteBuffer *buffer, gsize capacity)
{
  buffer->bytes = g_realloc (buffer->bytes, capacity);
  buffer->capacity = capacity;
}

void
hbw_byte_buffer_append (HbwByteBuffer *buffer, const char *bytes, gsize length)
{
  gsize needed = buffer->length + length;
  if (length == 0)
    return;
  if (needed > buffer->capacity)
    set_capacity (buffer, MAX (needed, MAX (2 * buffer->capacity, CAPACITY_MIN)));
  memcpy (buffer->bytes + buffer->length, bytes, length);
  buffer->length = needed;
}

void
hbw_byte_buffer_remove (HbwByteBuffer *buffer, gsize count)
{
  if (count >= buffer->length)
    {
      hbw_byte_buffer_clear (buffer);
      return;
    }
  buffer->length -= count;
  memmove (buffer->bytes, buffer->bytes + count, buffer->length);
}

void
hbw_byte_buffer_fit (HbwByteBuffer *buffer)
{
  if (buffer->length == 0)
    hbw_byte_buffer_clear (buffer);
  else if (buffer->length < buffer->capacity)
    set_capacity (buffer, buffer->length);
}

void
hbw_byte_buffer_clear (HbwByteBuffer *buffer)
{
  g_free (buffer->bytes);
  memset (buffer, 0, sizeof *buffer);
}
