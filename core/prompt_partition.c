#include "hornbeamwall/core/prompt_partition.h"

/* Smallest share of the servers in the partition of each prompt length.  The rest is
   divided in proportion to the prompt tokens of each length. */
#define PARTITION_SHARE_MIN 0.1

/* A shard with fewer servers is not partitioned. */
#define PARTITION_SERVERS_MIN 6

static int
compare_hashes (gconstpointer a, gconstpointer b)
{
  guint64 left = *(const guint64 *) a;
  guint64 right = *(const guint64 *) b;
  return left < right ? -1 : left > right;
}

static GArray *
sort_usable_hashes (const HbwShard *shard)
{
  GArray *hashes
      = g_array_sized_new (FALSE, FALSE, sizeof (guint64), shard->servers->len);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (hbw_server_is_usable (server))
        g_array_append_val (hashes, server->id_hash);
    }
  g_array_sort (hashes, compare_hashes);
  return hashes;
}

/* Returns how many of the sorted HASHES are lower than HASH. */
static guint
count_lower_hashes (const GArray *hashes, guint64 hash)
{
  guint low = 0;
  guint high = hashes->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      if (g_array_index (hashes, guint64, middle) < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the position of SERVER in the sorted usable servers, from 0 to 1. */
static double
compute_relative_position (const GArray *usable_hashes, const HbwServer *server)
{
  guint others = usable_hashes->len - (hbw_server_is_usable (server) ? 1 : 0);
  guint before = count_lower_hashes (usable_hashes, server->id_hash);
  return others > 0 ? (double) before / others : 0;
}

static HbwPromptLength
find_partition (const HbwShard *shard, double position)
{
  double end = 0;
  for (guint length = 0; length + 1 < HBW_PROMPT_LENGTH_COUNT; length++)
    {
      end += PARTITION_SHARE_MIN
             + (1.0 - PARTITION_SHARE_MIN * HBW_PROMPT_LENGTH_COUNT)
                   * shard->prompt_length_shares[length];
      if (position < end)
        return (HbwPromptLength) length;
    }
  return HBW_PROMPT_LENGTH_COUNT - 1;
}

void
hbw_prompt_partition_update (HbwShard *shard, gint64 now_us)
{
  if (shard->partitions_current
      && now_us - shard->partitioned_us < HBW_PROMPT_PARTITION_INTERVAL_US)
    return;
  shard->partitions_current = TRUE;
  shard->partitioned_us = now_us;
  if (shard->servers->len < PARTITION_SERVERS_MIN)
    return;
  GArray *usable_hashes = sort_usable_hashes (shard);
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      double position = compute_relative_position (usable_hashes, server);
      server->partition = find_partition (shard, position);
    }
  g_array_free (usable_hashes, TRUE);
}

HbwPromptLength
hbw_prompt_partition_of (const HbwShard *shard, const HbwServer *server,
                         HbwPromptLength length)
{
  return shard->servers->len < PARTITION_SERVERS_MIN ? length : server->partition;
}
