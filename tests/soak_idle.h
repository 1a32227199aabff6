/*
 * soak_idle - callers that keep idle connections and use them again near the end of
 * the idle timeout
 *
 * A whole request on such a connection gets an answer or a refusal, unless its
 * instance was killed, or the connection's close crosses it.
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_IDLE_H
#define HORNBEAMWALL_TESTS_SOAK_IDLE_H

#include "soak_state.h"

typedef struct SoakIdleCallers SoakIdleCallers;

/* Starts callers that send requests to SOAK's instances until SOAK is stopping. */
SoakIdleCallers *soak_idle_callers_create (Soak *soak, guint32 seed);

/* Waits for the callers to end, and prints what they have seen. */
void soak_idle_callers_destroy (SoakIdleCallers *callers);

#endif
