/*
 * server_pace - how long work takes on one backend server, relative to its pool
 *
 * Factors multiply the time that the pool's average predicts: 1 is as the average, 2
 * takes twice as long.  They are learned from the times to the first token and
 * between tokens of the server's responses.  Each sample is compared with the pool's
 * average of samples of the same kind (prompts of a similar length; servers that
 * read prompts of the same length), as the mix of requests differs between servers.
 *
 * A factor is 1 below HBW_PACE_SAMPLES_MIN samples, and while the difference is
 * within the noise of the samples, so that servers of equal speed are treated alike.
 * Old samples lose their weight.  All times are in microseconds.
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_SERVER_PACE_H
#define HORNBEAMWALL_CORE_ENGINE_SERVER_PACE_H

#include "hornbeamwall/core/engine/log_average.h"

/* Below this number of samples, the pool's average applies. */
#define HBW_PACE_SAMPLES_MIN 5

/* Kinds of samples that are compared with each other: binary logarithms of the
   tokens of a prompt, and prompt lengths that a server reads. */
#define HBW_PACE_PROMPT_KINDS 20
#define HBW_PACE_STEP_KINDS 3

/* What servers say of their momentary pace is valid for this time, up to this
   number of percent. */
#define HBW_PACE_MOMENT_US (300 * (gint64) 1000)
#define HBW_PACE_MOMENT_PERCENT_MAX 10000

/* Averages of a pool's servers: of the time per prompt token and of the time between
   events on an idle server. */
typedef struct
{
  HbwLogAverage prompts[HBW_PACE_PROMPT_KINDS];
  HbwLogAverage steps[HBW_PACE_STEP_KINDS];
  double reading_us; /* for one token of a prompt that does not wait; 0: unknown */
} HbwPoolPace;

/* A server's samples, relative to its pool.  All zero: nothing is known. */
typedef struct
{
  HbwLogAverage prompts;
  HbwLogAverage steps;
  double prompt_log2; /* difference that is beyond the noise */
  double step_log2;
  gint64 sampled_us; /* latest sample */
  double moment;     /* factor that the server has reported */
  gint64 moment_until_us;
} HbwServerPace;

/* Records that the first token came FIRST_TOKEN_US after the start of an attempt
   with TOKENS unread prompt tokens, with AHEAD_TOKENS of other prompts before them.
 */
void hbw_server_pace_record_prompt (HbwServerPace *pace, HbwPoolPace *pool,
                                    guint tokens, guint ahead_tokens,
                                    gint64 first_token_us, gint64 now_us);

/* Records the mean time between the events of a response, with RUNNING requests on
   the server; KIND is the length of the prompts that it reads. */
void hbw_server_pace_record_step (HbwServerPace *pace, HbwPoolPace *pool, guint kind,
                                  guint running, gint64 step_us, gint64 now_us);

/* Records that work takes PERCENT of its usual time on the server now; 0 and values
   above the maximum are ignored. */
void hbw_server_pace_set_moment (HbwServerPace *pace, guint percent, gint64 now_us);

/* Records the same, as another instance has told it, valid for LEFT_US more, unless
   something later is known. */
void hbw_server_pace_set_peer_moment (HbwServerPace *pace, guint percent,
                                      gint64 left_us, gint64 now_us);

/* Forgets everything, as after a restart of the server. */
void hbw_server_pace_reset (HbwServerPace *pace);

/* Return the factors of the time to read prompts and of the time between tokens,
   without the momentary one, and the momentary one. */
double hbw_server_pace_prompt_factor (const HbwServerPace *pace, gint64 now_us);
double hbw_server_pace_step_factor (const HbwServerPace *pace, gint64 now_us);
double hbw_server_pace_moment (const HbwServerPace *pace, gint64 now_us);

/* Returns whether enough prompts of any length were read. */
gboolean hbw_pool_pace_is_known (const HbwPoolPace *pool);

/* Returns the time to the first token of a prompt with so many unread TOKENS behind
   AHEAD_TOKENS of others, by prompts of a similar length if there were any; 0 if
   unknown.  Short prompts count as the shortest that are measured. */
double hbw_pool_pace_prompt_us (const HbwPoolPace *pool, guint tokens,
                                guint ahead_tokens);

/* Returns the pool's expected time between events with RUNNING requests; 0 if
   unknown. */
double hbw_pool_pace_step_us (const HbwPoolPace *pool, guint kind, guint running);

#endif
