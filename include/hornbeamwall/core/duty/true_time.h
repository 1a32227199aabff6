/*
 * true_time - time since 1970 that all instances share
 *
 * Usage windows begin at multiples of their length since 1970.  Their boundaries
 * must not move when the clocks of some machines step.  The holder of the duty lease
 * derives the offset between true time and its boot-time clock from the clocks of
 * all instances; the others follow what it tells.  All times are microseconds;
 * NOW_US is on the runtime's clock of this instance.  Not thread-safe.
 */
#ifndef HORNBEAMWALL_CORE_DUTY_TRUE_TIME_H
#define HORNBEAMWALL_CORE_DUTY_TRUE_TIME_H

#include "hornbeamwall/common/clock.h"

/* The agreed offset follows the median of the clocks if that differs by less. */
#define HBW_TRUE_TIME_STEP_US (100 * HBW_US_PER_MS)

/* A larger difference is accepted after it has lasted for this long. */
#define HBW_TRUE_TIME_STEP_DELAY_US (60 * HBW_US_PER_S)

/* What an instance says of its clock counts for this long. */
#define HBW_TRUE_TIME_CLOCK_AGE_MAX_US (15 * HBW_US_PER_S)

/* Maximum number of instances whose clocks are kept. */
#define HBW_TRUE_TIME_CLOCKS_MAX 1024

/* Later times since 1970, as of the year 10000, are ignored. */
#define HBW_TRUE_TIME_MAX_US (253402300800 * HBW_US_PER_S)

typedef struct HbwTrueTime HbwTrueTime;

typedef enum
{
  HBW_TRUE_TIME_UNCHANGED, /* or changed by less than a step */
  HBW_TRUE_TIME_FIRST,     /* it is known for the first time */
  HBW_TRUE_TIME_STEPPED,
} HbwTrueTimeChange;

/* What the last agreement was based on, for the log. */
typedef struct
{
  gint64 step_us;  /* by which the offset changed */
  guint clocks;    /* heard */
  guint instances; /* alive */
} HbwTrueTimeFacts;

HbwTrueTime *hbw_true_time_create (void);
void hbw_true_time_destroy (HbwTrueTime *time);

/* Sets the clock of this instance at its start, which is used until true time is
   known.  Only the first call has an effect. */
void hbw_true_time_set_start (HbwTrueTime *time, gint64 wall_us, gint64 now_us);

/* Handles that the holder's true time is TRUE_US.  A message that was delayed says
   less than the time it arrives at, so the offset follows the largest of the last
   ones. */
HbwTrueTimeChange hbw_true_time_follow (HbwTrueTime *time, gint64 true_us,
                                        gint64 now_us);

/* Handles that the clock of INSTANCE shows WALL_US. */
void hbw_true_time_observe (HbwTrueTime *time, guint64 instance, gint64 wall_us,
                            gint64 now_us);

/* At the holder: agrees on the offset, with at least half of the INSTANCES that are
   alive.  Changes it at most once a second. */
HbwTrueTimeChange hbw_true_time_agree (HbwTrueTime *time, guint instances,
                                       gint64 now_us);

const HbwTrueTimeFacts *hbw_true_time_facts (const HbwTrueTime *time);

/* Returns whether true time is agreed, or told by a holder. */
gboolean hbw_true_time_is_known (const HbwTrueTime *time);

/* Returns the time since 1970, by the clock of this instance at its start while true
   time is not known. */
gint64 hbw_true_time_at (const HbwTrueTime *time, gint64 now_us);

#endif
