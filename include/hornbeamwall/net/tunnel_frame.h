/*
 * tunnel_frame - the bytes of a backend server on their way through another instance
 *
 * A connection ends in the same way whether the server has ended it or the instance
 * between is gone.  So the bytes travel in blocks, each behind its length, and an
 * empty block says that the server has ended its connection in order.  Without it,
 * the end of the tunnel says nothing of the server.
 */
#ifndef HORNBEAMWALL_NET_TUNNEL_FRAME_H
#define HORNBEAMWALL_NET_TUNNEL_FRAME_H

#include <glib.h>

/* Size of the length before each block, in bytes; the highest byte is first. */
#define HBW_TUNNEL_FRAME_HEADER_SIZE 4

typedef struct
{
  guint8 header[HBW_TUNNEL_FRAME_HEADER_SIZE];
  guint header_length; /* bytes of it that have come */
  guint32 remaining;   /* bytes of the block that have not come */
  gboolean ended;      /* the empty block has come */
} HbwTunnelFrameReader;

/* Writes the header of a block of LENGTH bytes; 0 is the server's end. */
void hbw_tunnel_frame_write_header (guint8 *header, guint32 length);

/* Copies the server's bytes among LENGTH received ones to OUT, which has room for as
   many.  Returns how many there are.  Bytes after the server's end are ignored. */
gsize hbw_tunnel_frame_read (HbwTunnelFrameReader *reader, const char *bytes,
                             gsize length, char *out);

#endif
