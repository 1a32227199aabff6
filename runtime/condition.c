#include "hornbeamwall/runtime/condition.h"

#include "hornbeamwall/common/clock.h"

#include <time.h>

#define NS_PER_US 1000
#define NS_PER_S 1000000000

/* The time of day may jump. */
#define WAIT_CLOCK CLOCK_MONOTONIC

void
hbw_condition_init (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, WAIT_CLOCK);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

void
hbw_condition_wait_for (pthread_cond_t *condition, pthread_mutex_t *lock,
                        gint64 duration_us)
{
  struct timespec deadline;
  clock_gettime (WAIT_CLOCK, &deadline);
  gint64 nanoseconds = deadline.tv_nsec + duration_us % HBW_US_PER_S * NS_PER_US;
  deadline.tv_sec += duration_us / HBW_US_PER_S + nanoseconds / NS_PER_S;
  deadline.tv_nsec = nanoseconds % NS_PER_S;
  pthread_cond_timedwait (condition, lock, &deadline);
}
