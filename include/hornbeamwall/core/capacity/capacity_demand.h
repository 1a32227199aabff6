/*
 * capacity_demand - demand for the servers of each pool at this instance
 *
 * Counts what arrives and ends, and turns the counts into rates once per second.
 * What is in progress is not counted but sampled: the caller passes on all requests
 * that it has.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_DEMAND_H
#define HORNBEAMWALL_CORE_CAPACITY_DEMAND_H

#include "hornbeamwall/core/message.h"

typedef struct HbwCapacityDemand HbwCapacityDemand;

HbwCapacityDemand *hbw_capacity_demand_create (void);
void hbw_capacity_demand_destroy (HbwCapacityDemand *demand);

/* Counts a request that arrived, with the prompt tokens that have to be processed:
   the unshared part, and the share of the others that no server is expected to have.
 */
void hbw_capacity_demand_count_arrival (HbwCapacityDemand *demand,
                                        const HbwRequestSpec *spec);

/* Learns how much of the shared parts servers have, from a request that was placed
   on one which has to process UNREAD_TOKENS of its prompt. */
void hbw_capacity_demand_count_placement (HbwCapacityDemand *demand,
                                          const HbwRequestSpec *spec,
                                          guint unread_tokens);

void hbw_capacity_demand_count_first_token (HbwCapacityDemand *demand,
                                            const HbwRequestSpec *spec,
                                            gboolean is_late);

/* Counts the TOKENS of a response that has ended. */
void hbw_capacity_demand_count_output (HbwCapacityDemand *demand,
                                       const HbwRequestSpec *spec, guint tokens);

/* Counts a request that was refused for lack of room. */
void hbw_capacity_demand_count_refusal (HbwCapacityDemand *demand,
                                        const HbwRequestSpec *spec);

/* Learns the speed at which a server of POOL processes prompts, from a request with
   TOKENS to process, behind AHEAD_TOKENS of others, whose first token came after
   FIRST_TOKEN_US. */
void hbw_capacity_demand_learn_pace (HbwCapacityDemand *demand, const char *pool,
                                     guint tokens, guint ahead_tokens,
                                     gint64 first_token_us);

/* Begins a new sample: no request is in progress or waiting. */
void hbw_capacity_demand_begin_sample (HbwCapacityDemand *demand);
void hbw_capacity_demand_sample (HbwCapacityDemand *demand,
                                 const HbwRequestSpec *spec, gboolean is_running);

/* Fills REPORT with the demand for servers of POOL and starts counting anew; the
   counts are those of the last ELAPSED_US. */
void hbw_capacity_demand_take (HbwCapacityDemand *demand, const char *pool,
                               gint64 elapsed_us, HbwPoolDemand *report);

/* Adds ADDEND to SUM, except for the pace, and the pool's name. */
void hbw_pool_demand_add (HbwPoolDemand *sum, const HbwPoolDemand *addend);

/* Returns the sum over all tiers of DEMAND. */
HbwTierDemand hbw_pool_demand_total (const HbwPoolDemand *demand);

#endif
