#include "hornbeamwall/net/byte_blocks.h"

#include <string.h>
#include <xxhash.h>

/* Sizes of a block, in bytes.  Blocks grow with what has come, so that a short body
   takes little and a long one few blocks. */
#define BLOCK_SIZE_MIN ((gsize) 4 * 1024)
#define BLOCK_SIZE_MAX ((gsize) 64 * 1024)

/* Bytes that an allocation takes besides its contents. */
#define ALLOCATION_OVERHEAD 16

typedef struct
{
  gsize offset; /* of its first byte in the whole */
  gsize length;
  gsize capacity;
  char *bytes;
} Block;

struct HbwByteBlocks
{
  guint ref_count;
  GArray *blocks; /* Block */
  gsize length;
  gsize capacity;
};

static void
clear_block (gpointer data)
{
  g_free (((Block *) data)->bytes);
}

static Block *
get_block (const HbwByteBlocks *blocks, guint index)
{
  return &g_array_index (blocks->blocks, Block, index);
}

static void
add_block (HbwByteBlocks *blocks, gsize length, gsize expected)
{
  gsize size = CLAMP (blocks->length, BLOCK_SIZE_MIN, BLOCK_SIZE_MAX);
  gsize left = expected > blocks->length ? expected - blocks->length : length;
  Block block = { .offset = blocks->length };
  block.capacity = MIN (MAX (size, length), MAX (left, 1));
  block.bytes = g_malloc (block.capacity);
  blocks->capacity += block.capacity + sizeof block + ALLOCATION_OVERHEAD;
  g_array_append_val (blocks->blocks, block);
}

HbwByteBlocks *
hbw_byte_blocks_create (void)
{
  HbwByteBlocks *blocks = g_new0 (HbwByteBlocks, 1);
  blocks->ref_count = 1;
  blocks->blocks = g_array_new (FALSE, FALSE, sizeof (Block));
  g_array_set_clear_func (blocks->blocks, clear_block);
  return blocks;
}

HbwByteBlocks *
hbw_byte_blocks_ref (HbwByteBlocks *blocks)
{
  blocks->ref_count++;
  return blocks;
}

void
hbw_byte_blocks_unref (HbwByteBlocks *blocks)
{
  if (--blocks->ref_count > 0)
    return;
  g_array_free (blocks->blocks, TRUE);
  g_free (blocks);
}

void
hbw_byte_blocks_append (HbwByteBlocks *blocks, const char *bytes, gsize length,
                        gsize expected)
{
  while (length > 0)
    {
      guint count = blocks->blocks->len;
      Block *last = count > 0 ? get_block (blocks, count - 1) : NULL;
      if (last == NULL || last->length == last->capacity)
        {
          add_block (blocks, length, expected);
          continue;
        }
      gsize taken = MIN (length, last->capacity - last->length);
      memcpy (last->bytes + last->length, bytes, taken);
      last->length += taken;
      blocks->length += taken;
      bytes += taken;
      length -= taken;
    }
}

gsize
hbw_byte_blocks_length (const HbwByteBlocks *blocks)
{
  return blocks->length;
}

gsize
hbw_byte_blocks_cost (const HbwByteBlocks *blocks)
{
  return sizeof *blocks + blocks->capacity;
}

guint64
hbw_byte_blocks_hash (const HbwByteBlocks *blocks, guint64 seed)
{
  if (blocks->blocks->len == 1)
    return XXH3_64bits_withSeed (get_block (blocks, 0)->bytes, blocks->length, seed);
  XXH3_state_t *state = XXH3_createState ();
  XXH3_64bits_reset_withSeed (state, seed);
  for (guint i = 0; i < blocks->blocks->len; i++)
    {
      const Block *block = get_block (blocks, i);
      XXH3_64bits_update (state, block->bytes, block->length);
    }
  guint64 hash = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return hash;
}

guint
hbw_byte_blocks_fill_parts (const HbwByteBlocks *blocks, gsize offset,
                            struct iovec *parts, guint count)
{
  guint filled = 0;
  for (guint i = 0; i < blocks->blocks->len && filled < count; i++)
    {
      const Block *block = get_block (blocks, i);
      if (offset >= block->offset + block->length)
        continue;
      gsize skipped = offset > block->offset ? offset - block->offset : 0;
      parts[filled].iov_base = block->bytes + skipped;
      parts[filled].iov_len = block->length - skipped;
      filled++;
    }
  return filled;
}
