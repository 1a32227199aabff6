/*
 * engine_memory - the tokens that requests in progress will hold in one engine's
 * memory
 *
 * A request holds its prompt and its expected output.  A prompt part that several
 * requests share is held once: by the requests of this instance while they are in
 * progress, and by those of others for HBW_ENGINE_PART_HOLD_US after each report
 * that they were sent to the server.  What requests do not share adds up, also over
 * instances, which tell it to each other with their loads.
 *
 * Only requests with expected output tokens (HbwRequestSpec.output_tokens) count:
 * the pool says how large the memory is.
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_ENGINE_MEMORY_H
#define HORNBEAMWALL_CORE_ENGINE_ENGINE_MEMORY_H

#include "hornbeamwall/core/message.h"

#define HBW_ENGINE_PART_HOLD_US (4 * (gint64) 1000 * 1000)

/* Percentage of the memory that the tiers below the highest may fill.  The rest
   bounds the error by instances that choose the same room before they hear of each
   other. */
#define HBW_ENGINE_MEMORY_PERCENT 90

typedef struct HbwEngineMemory HbwEngineMemory;

HbwEngineMemory *hbw_engine_memory_create (void);
void hbw_engine_memory_destroy (HbwEngineMemory *memory);

/* Forgets everything, as after a restart of the server. */
void hbw_engine_memory_clear (HbwEngineMemory *memory);

/* Add and remove a request of this instance; SPEC must be the same in both. */
void hbw_engine_memory_add (HbwEngineMemory *memory, const HbwRequestSpec *spec);
void hbw_engine_memory_remove (HbwEngineMemory *memory, const HbwRequestSpec *spec,
                               gint64 now_us);

/* Records a part that another instance has sent to the server. */
void hbw_engine_memory_record_part (HbwEngineMemory *memory, guint64 hash,
                                    guint tokens, gint64 now_us);

/* Calls VISIT for each shared part that requests of this instance hold. */
typedef void (*HbwEnginePartVisitor) (guint64 hash, guint tokens, void *data);
void hbw_engine_memory_foreach_part (const HbwEngineMemory *memory,
                                     HbwEnginePartVisitor visit, void *data);

/* Drops the parts of other instances that were not sent again. */
void hbw_engine_memory_expire (HbwEngineMemory *memory, gint64 now_us);

/* Returns what the requests of this instance hold besides shared parts. */
guint hbw_engine_memory_unshared_tokens (const HbwEngineMemory *memory);

/* Returns what the shared parts of all instances hold. */
guint hbw_engine_memory_shared_tokens (const HbwEngineMemory *memory);

/* Returns how much more memory would be held with a request of SPEC. */
guint hbw_engine_memory_needed_tokens (const HbwEngineMemory *memory,
                                       const HbwRequestSpec *spec);

/* Returns how much of CAPACITY a request of SPEC may fill. */
guint hbw_engine_memory_limit (const HbwRequestSpec *spec, guint capacity);

#endif
