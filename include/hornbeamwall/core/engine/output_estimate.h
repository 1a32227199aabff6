/*
 * output_estimate - how many tokens the output of a request will have
 *
 * Learned from the events of complete responses, by class, and from the callers'
 * length hints.  A hint is right at the median but may be far off, so it is weighted
 * by the observed error of hints against the spread of the class.  An event has
 * several tokens; how many follows from the hints as well.
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_OUTPUT_ESTIMATE_H
#define HORNBEAMWALL_CORE_ENGINE_OUTPUT_ESTIMATE_H

#include "hornbeamwall/core/message.h"

typedef struct HbwOutputEstimate HbwOutputEstimate;

HbwOutputEstimate *hbw_output_estimate_create (void);
void hbw_output_estimate_destroy (HbwOutputEstimate *estimate);

/* Records that the complete response to SPEC had so many EVENTS. */
void hbw_output_estimate_record (HbwOutputEstimate *estimate,
                                 const HbwRequestSpec *spec, guint events);

/* Returns the expected number of tokens, at least 1 and at most the maximum of SPEC,
   which is also the result before anything is known of the class. */
guint hbw_output_estimate_tokens (const HbwOutputEstimate *estimate,
                                  const HbwRequestSpec *spec);

#endif
