/*
 * condition - POSIX condition variables whose waits have a duration
 */
#ifndef HORNBEAMWALL_RUNTIME_CONDITION_H
#define HORNBEAMWALL_RUNTIME_CONDITION_H

#include <glib.h>
#include <pthread.h>

/* Initializes a condition for hbw_condition_wait_for(). */
void hbw_condition_init (pthread_cond_t *condition);

/* Waits until CONDITION is signalled, at most for DURATION_US.  The caller holds
   LOCK. */
void hbw_condition_wait_for (pthread_cond_t *condition, pthread_mutex_t *lock,
                             gint64 duration_us);

#endif
