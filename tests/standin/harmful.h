/*
 * harmful - the part of prompts that crashes simulated backend servers
 *
 * All replicas of the process share it.  A replica crashes as soon as it begins to
 * write a 200 answer to a request whose X-Hornbeamwall-Prefix-Hash contains the
 * part, unless it is the last one.
 */
#ifndef HORNBEAMWALL_TESTS_STANDIN_HARMFUL_H
#define HORNBEAMWALL_TESTS_STANDIN_HARMFUL_H

#include <glib.h>

/* What the crash does to the connections of the server. */
typedef enum
{
  HARMFUL_NONE,
  HARMFUL_RESET,
  HARMFUL_CLOSE,
  HARMFUL_SILENT,
  HARMFUL_OPEN, /* closes them, and the answer has neither a length nor chunks */
} HarmfulEnd;

/* A request with the part that has reached a server. */
typedef struct
{
  gint64 reached_us; /* monotonic time */
  char attempt_id[64];
} HarmfulRun;

/* Sets the part; NULL is none. */
void harmful_set_part (const char *part, HarmfulEnd end);

/* Returns what a request for TARGET with the value PREFIX_HASH, or NULL, does. */
HarmfulEnd harmful_find (const char *target, const char *prefix_hash);

/* Notes that a request with the part has reached a server, or has crashed it. */
void harmful_note_run (const char *attempt_id);
void harmful_note_crash (void);

guint harmful_run_count (void);

/* Returns the run INDEX of harmful_run_count() runs. */
HarmfulRun harmful_run (guint index);

guint harmful_crash_count (void);

/* Returns the time of the crash INDEX, 0 if it has not happened. */
gint64 harmful_crash_us (guint index);

#endif
