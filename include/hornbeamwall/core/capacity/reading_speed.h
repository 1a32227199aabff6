/*
 * reading_speed - tokens of prompts that a server reads per second
 *
 * Learned from the times to the first token of prompts of different lengths.  The
 * time of a prompt without any tokens (the network, the first step) does not count:
 * it does not limit how many prompts a server reads.
 */
#ifndef HORNBEAMWALL_CORE_CAPACITY_READING_SPEED_H
#define HORNBEAMWALL_CORE_CAPACITY_READING_SPEED_H

#include <glib.h>

/* Weighted sums of a linear regression of times on tokens; older samples weigh less.
   All zero: nothing is known. */
typedef struct
{
  double weight;
  double tokens;
  double time_us;
  double tokens_squared;
  double tokens_time;
} HbwReadingSpeed;

/* Records that a server read so many tokens in TIME_US. */
void hbw_reading_speed_record (HbwReadingSpeed *speed, double tokens,
                               double time_us);

/* Returns the tokens per second, 0 if nothing is known.  With samples that are few,
   or of one length, the time without tokens counts as well. */
double hbw_reading_speed_tokens_per_s (const HbwReadingSpeed *speed);

#endif
