#include "hornbeamwall/core/engine/engine_memory.h"

#include <urcu/list.h>

typedef struct
{
  struct cds_list_head link; /* in HbwEngineMemory.told, or empty */
  guint64 hash;
  guint tokens;
  guint users;     /* requests of this instance */
  gint64 until_us; /* others hold it; 0: they do not */
} Part;

struct HbwEngineMemory
{
  GHashTable *parts;         /* hash -> Part, owned */
  struct cds_list_head told; /* parts of other instances, first to expire first */
  guint shared_tokens;
  guint unshared_tokens;
};

HbwEngineMemory *
hbw_engine_memory_create (void)
{
  HbwEngineMemory *memory = g_new0 (HbwEngineMemory, 1);
  memory->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  CDS_INIT_LIST_HEAD (&memory->told);
  return memory;
}

void
hbw_engine_memory_destroy (HbwEngineMemory *memory)
{
  g_hash_table_destroy (memory->parts);
  g_free (memory);
}

void
hbw_engine_memory_clear (HbwEngineMemory *memory)
{
  CDS_INIT_LIST_HEAD (&memory->told);
  g_hash_table_remove_all (memory->parts);
  memory->shared_tokens = memory->unshared_tokens = 0;
}

static Part *
ensure_part (HbwEngineMemory *memory, guint64 hash, guint tokens)
{
  Part *part = g_hash_table_lookup (memory->parts, &hash);
  if (part != NULL)
    return part;
  part = g_new0 (Part, 1);
  part->hash = hash;
  part->tokens = tokens;
  CDS_INIT_LIST_HEAD (&part->link);
  g_hash_table_insert (memory->parts, &part->hash, part);
  memory->shared_tokens += tokens;
  return part;
}

static void
drop_part_if_unused (HbwEngineMemory *memory, Part *part)
{
  if (part->users > 0 || part->until_us > 0)
    return;
  memory->shared_tokens -= part->tokens;
  g_hash_table_remove (memory->parts, &part->hash);
}

/* The last part belongs to one request or session. */
static guint
count_shared_parts (const HbwRequestSpec *spec)
{
  return spec->part_count > 0 ? spec->part_count - 1 : 0;
}

static guint
count_unshared_tokens (const HbwRequestSpec *spec)
{
  guint shared = 0;
  for (guint i = 0; i < count_shared_parts (spec); i++)
    shared += spec->parts[i].tokens;
  return spec->prompt_tokens - MIN (shared, spec->prompt_tokens)
         + spec->output_tokens;
}

void
hbw_engine_memory_add (HbwEngineMemory *memory, const HbwRequestSpec *spec)
{
  if (spec->output_tokens == 0)
    return;
  for (guint i = 0; i < count_shared_parts (spec); i++)
    ensure_part (memory, spec->parts[i].hash, spec->parts[i].tokens)->users++;
  memory->unshared_tokens += count_unshared_tokens (spec);
}

void
hbw_engine_memory_remove (HbwEngineMemory *memory, const HbwRequestSpec *spec,
                          gint64 now_us)
{
  if (spec->output_tokens == 0)
    return;
  for (guint i = 0; i < count_shared_parts (spec); i++)
    {
      Part *part = g_hash_table_lookup (memory->parts, &spec->parts[i].hash);
      if (part == NULL || part->users == 0)
        continue;
      part->users--;
      drop_part_if_unused (memory, part);
    }
  memory->unshared_tokens
      -= MIN (memory->unshared_tokens, count_unshared_tokens (spec));
  hbw_engine_memory_expire (memory, now_us);
}

void
hbw_engine_memory_record_part (HbwEngineMemory *memory, guint64 hash, guint tokens,
                               gint64 now_us)
{
  if (tokens == 0)
    return;
  Part *part = ensure_part (memory, hash, tokens);
  part->until_us = now_us + HBW_ENGINE_PART_HOLD_US;
  cds_list_del (&part->link);
  cds_list_add_tail (&part->link, &memory->told);
}

void
hbw_engine_memory_foreach_part (const HbwEngineMemory *memory,
                                HbwEnginePartVisitor visit, void *data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, memory->parts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Part *part = value;
      if (part->users > 0)
        visit (part->hash, part->tokens, data);
    }
}

void
hbw_engine_memory_expire (HbwEngineMemory *memory, gint64 now_us)
{
  while (!cds_list_empty (&memory->told))
    {
      Part *part = cds_list_first_entry (&memory->told, Part, link);
      if (now_us < part->until_us)
        return;
      cds_list_del_init (&part->link);
      part->until_us = 0;
      drop_part_if_unused (memory, part);
    }
}

guint
hbw_engine_memory_unshared_tokens (const HbwEngineMemory *memory)
{
  return memory->unshared_tokens;
}

guint
hbw_engine_memory_shared_tokens (const HbwEngineMemory *memory)
{
  return memory->shared_tokens;
}

guint
hbw_engine_memory_needed_tokens (const HbwEngineMemory *memory,
                                 const HbwRequestSpec *spec)
{
  guint tokens = count_unshared_tokens (spec);
  for (guint i = 0; i < count_shared_parts (spec); i++)
    if (!g_hash_table_contains (memory->parts, &spec->parts[i].hash))
      tokens += spec->parts[i].tokens;
  return tokens;
}

guint
hbw_engine_memory_limit (const HbwRequestSpec *spec, guint capacity)
{
  return spec->tier == 0 ? capacity : capacity / 100 * HBW_ENGINE_MEMORY_PERCENT;
}
