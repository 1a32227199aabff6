/*
 * clock - monotonic clock, replaceable by a manual one in tests
 *
 * All times in the program are microseconds on one monotonic clock.  The system
 * clock is CLOCK_BOOTTIME, which also counts the time in which the machine is
 * suspended; a manual clock changes only when a test advances it.  Both may be read
 * from any thread.
 */
#ifndef HORNBEAMWALL_COMMON_CLOCK_H
#define HORNBEAMWALL_COMMON_CLOCK_H

#include <glib.h>

#define HBW_US_PER_MS G_GINT64_CONSTANT (1000)
#define HBW_US_PER_S G_GINT64_CONSTANT (1000000)

typedef struct HbwClock HbwClock;

HbwClock *hbw_clock_create_system (void);

/* Creates a manual clock that shows START_US. */
HbwClock *hbw_clock_create_manual (gint64 start_us);

void hbw_clock_destroy (HbwClock *clock);

/* Returns the current time in microseconds. */
gint64 hbw_clock_now (HbwClock *clock);

/* Advances a manual clock by STEP_US; has no effect on a system clock. */
void hbw_clock_advance (HbwClock *clock, gint64 step_us);

#endif
