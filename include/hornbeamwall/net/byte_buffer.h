/*
 * byte_buffer - bytes that arrive piece by piece, in one allocation
 *
 * Unlike a GByteArray it knows what it occupies, and gives its memory back when it
 * is empty.  A zeroed structure is an empty buffer.
 */
#ifndef HORNBEAMWALL_NET_BYTE_BUFFER_H
#define HORNBEAMWALL_NET_BYTE_BUFFER_H

#include <glib.h>

typedef struct
{
  char *bytes; /* NULL if nothing is allocated */
  gsize length;
  gsize capacity; /* bytes that are allocated */
} HbwByteBuffer;

void hbw_byte_buffer_append (HbwByteBuffer *buffer, const char *bytes, gsize length);

/* Removes the first COUNT bytes; frees the memory if none is left. */
void hbw_byte_buffer_remove (HbwByteBuffer *buffer, gsize count);

/* Gives back what the bytes do not need. */
void hbw_byte_buffer_fit (HbwByteBuffer *buffer);

/* Frees the memory; the buffer is empty afterwards. */
void hbw_byte_buffer_clear (HbwByteBuffer *buffer);

#endif
