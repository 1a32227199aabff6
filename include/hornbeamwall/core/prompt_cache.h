/*
 * prompt_cache - which parts of prompts a backend server has read lately
 *
 * An engine keeps what it has read until the memory is needed, the least recently
 * used part first.  This is what an instance believes of it from what it sent there;
 * it answers load in which many prompts begin alike.
 */
#ifndef HORNBEAMWALL_CORE_PROMPT_CACHE_H
#define HORNBEAMWALL_CORE_PROMPT_CACHE_H

#include "hornbeamwall/core/message.h"

/* Parts that are remembered for one server. */
#define HBW_PROMPT_CACHE_PARTS 512

typedef struct HbwPromptCache HbwPromptCache;

HbwPromptCache *hbw_prompt_cache_create (void);
void hbw_prompt_cache_destroy (HbwPromptCache *cache);
void hbw_prompt_cache_clear (HbwPromptCache *cache);

/* Notes that the prompt of SPEC is read. */
void hbw_prompt_cache_note (HbwPromptCache *cache, const HbwRequestSpec *spec);

/* Notes that a part of HASH, as in HbwPromptPart, is read. */
void hbw_prompt_cache_note_part (HbwPromptCache *cache, guint64 hash);

/* Returns how many tokens at the beginning of the prompt of SPEC were read lately.
 */
guint hbw_prompt_cache_find (const HbwPromptCache *cache,
                             const HbwRequestSpec *spec);

#endif
