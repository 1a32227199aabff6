/*
 * server_stall - what a long prompt costs the streams of the server that reads it
 *
 * An engine reads a prompt in chunks, one in a step, and each chunk delays the next
 * token of all its streams.  Only a pause clearly beyond a stream's inter-token
 * target costs something.  All times are in microseconds unless the name says
 * otherwise.
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_SERVER_STALL_H
#define HORNBEAMWALL_CORE_ENGINE_SERVER_STALL_H

#include <glib.h>

/* Prompt tokens that an engine is assumed to read in one step. */
#define HBW_STALL_CHUNK_TOKENS 4096

/* Different inter-token targets that are known for one server; further ones are
   ignored. */
#define HBW_STREAM_TARGETS_MAX 8

/* The inter-token targets of this instance's requests on a server.  All zero: there
   are none. */
typedef struct
{
  guint ms[HBW_STREAM_TARGETS_MAX];
  guint counts[HBW_STREAM_TARGETS_MAX]; /* requests with the target; 0: unused */
} HbwStreamTargets;

/* Add and remove a request with the target TARGET_US; 0 is none. */
void hbw_stream_targets_add (HbwStreamTargets *targets, gint64 target_us);
void hbw_stream_targets_remove (HbwStreamTargets *targets, gint64 target_us);

/* Returns the shortest target, in milliseconds; 0 if there is none. */
guint hbw_stream_targets_shortest_ms (const HbwStreamTargets *targets);

/* Returns the shorter of two targets, each of which may be 0 for none. */
guint hbw_stream_targets_min_ms (guint a, guint b);

/* A prompt on a server that it might stall. */
typedef struct
{
  guint unread_tokens;
  guint streams;     /* in progress there */
  guint target_ms;   /* the shortest of their inter-token targets; 0: none */
  double reading_us; /* for one token; 0 if unknown */
  double step_us;    /* between events without a prompt */
} HbwStall;

/* Returns the time by which the streams together miss their target, up to
   HBW_STALL_COST_MAX_US. */
double hbw_stall_cost_us (const HbwStall *stall);
#define HBW_STALL_COST_MAX_US (300 * (gint64) 1000)

#endif
