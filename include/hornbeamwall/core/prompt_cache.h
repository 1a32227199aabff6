/*
 * prompt_cache - estimates which prompt parts a backend server has cached
 *
 * An engine keeps the prompt parts that it has processed until it needs the memory,
 * and evicts the least recently used first.  An instance models that cache from the
 * prompts sent to the server, so that requests with a common prefix can go where it
 * is cached.
 */
#ifndef HORNBEAMWALL_CORE_PROMPT_CACHE_H
#define HORNBEAMWALL_CORE_PROMPT_CACHE_H

#include "hornbeamwall/core/message.h"

#define HBW_PROMPT_CACHE_PARTS_MAX 512

typedef struct HbwPromptCache HbwPromptCache;

HbwPromptCache *hbw_prompt_cache_create (void);
void hbw_prompt_cache_destroy (HbwPromptCache *cache);
void hbw_prompt_cache_clear (HbwPromptCache *cache);

/* Adds all parts of the prompt of SPEC. */
void hbw_prompt_cache_add_prompt (HbwPromptCache *cache, const HbwRequestSpec *spec);

/* Adds the part with HASH (see HbwPromptPart), or marks it recently used. */
void hbw_prompt_cache_add_part (HbwPromptCache *cache, guint64 hash);

/* Returns the number of cached tokens at the start of the prompt of SPEC. */
guint hbw_prompt_cache_count_cached_tokens (const HbwPromptCache *cache,
                                            const HbwRequestSpec *spec);

#endif
