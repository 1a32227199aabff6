/*
 * byte_blocks - a body that is received piece by piece and sent from where it is
 *
 * The bytes stay in the blocks in which they were put, so that a body is never
 * copied as it grows and occupies little more than its length.  Reference-counted;
 * not thread-safe.  Nothing is appended once it is being sent.
 */
#ifndef HORNBEAMWALL_NET_BYTE_BLOCKS_H
#define HORNBEAMWALL_NET_BYTE_BLOCKS_H

#include <glib.h>
#include <sys/uio.h>

typedef struct HbwByteBlocks HbwByteBlocks;

HbwByteBlocks *hbw_byte_blocks_create (void);
HbwByteBlocks *hbw_byte_blocks_ref (HbwByteBlocks *blocks);
void hbw_byte_blocks_unref (HbwByteBlocks *blocks);

/* Appends BYTES.  EXPECTED is the length that the whole will have, or G_MAXSIZE. */
void hbw_byte_blocks_append (HbwByteBlocks *blocks, const char *bytes, gsize length,
                             gsize expected);

gsize hbw_byte_blocks_length (const HbwByteBlocks *blocks);

/* Returns the bytes that the blocks occupy. */
gsize hbw_byte_blocks_cost (const HbwByteBlocks *blocks);

/* Returns the XXH3 hash of all bytes. */
guint64 hbw_byte_blocks_hash (const HbwByteBlocks *blocks, guint64 seed);

/* Sets up to COUNT of PARTS to the bytes from OFFSET on; returns how many are set.
 */
guint hbw_byte_blocks_fill_parts (const HbwByteBlocks *blocks, gsize offset,
                                  struct iovec *parts, guint count);

#endif
