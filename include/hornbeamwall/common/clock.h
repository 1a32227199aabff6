/*
 * clock - the clock of the runtime
 *
 * All times in the program are microseconds on one monotonic clock.  The
 * system clock follows CLOCK_MONOTONIC; the manual clock stands still until a
 * test advances it.  Both are safe to read from any thread.
 */
#ifndef HORNBEAMWALL_COMMON_CLOCK_H
#define HORNBEAMWALL_COMMON_CLOCK_H

#include <glib.h>

#define HBW_US_PER_MS G_GINT64_CONSTANT (1000)
#define HBW_US_PER_S G_GINT64_CONSTANT (1000000)

typedef struct HbwClock HbwClock;

HbwClock *hbw_clock_create_system (void);

/* Creates a clock that stands at START_US until it is advanced. */
HbwClock *hbw_clock_create_manual (gint64 start_us);

void hbw_clock_destroy (HbwClock *clock);

/* Returns the time in microseconds. */
gint64 hbw_clock_now (HbwClock *clock);

/* Moves a manual clock forward by STEP_US; a system clock ignores it. */
void hbw_clock_advance (HbwClock *clock, gint64 step_us);

#endif
