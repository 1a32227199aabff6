/*
 * server_ramp - limit of the requests at a server that has just started or recovered
 *
 * The limit applies to the requests that all known instances have in progress at the
 * server.  It begins at 1, or at 2 if the speed of the pool is known.  It doubles
 * when a first token comes in time and as many requests as the limit have had
 * theirs: either since the limit changed, or in progress at this and other
 * instances.  A failure, a refusal or a late first token halves it, once for all
 * requests that were sent before.  The ramp ends at the server's slots, or when the
 * server has completed a round and is as loaded as the median of the pool's others.
 *
 * Pure functions on a struct that is all zero while there is no ramp.  All times are
 * in microseconds.
 */
#ifndef HORNBEAMWALL_CORE_ENGINE_SERVER_RAMP_H
#define HORNBEAMWALL_CORE_ENGINE_SERVER_RAMP_H

#include <glib.h>

/* Multiple of the time that the pool takes for a prompt and those ahead of it, in
   percent, up to which its first token is in time, even if it misses the request's
   target. */
#define HBW_RAMP_EXPECTATION_PERCENT 150

/* After the limit was halved, the requests of other instances do not raise it for
   this time, as they may be late there too. */
#define HBW_RAMP_HOLD_US (1000 * (gint64) 1000)

typedef struct
{
  guint limit;       /* of requests in progress; 0: no ramp */
  guint first_limit; /* at the start */
  guint streams;     /* requests of this instance in progress that had a first token;
                        counted with and without a ramp */
  guint in_time;     /* first tokens in time since the limit changed */
  guint rounds;      /* doublings since the start or the latest halving */
  gint64 started_us;
  gint64 halved_us; /* latest halving; the start if none */
  gboolean halved;
} HbwServerRamp;

/* What other instances have at the server, and what the others of the pool have. */
typedef struct
{
  guint in_progress;        /* of all instances */
  guint peer_streams;       /* of other instances that had their first tokens */
  guint slots;              /* of the server */
  guint median_in_progress; /* of the pool's other servers that have no ramp */
  gboolean has_median;      /* there are such servers */
} HbwRampLoad;

typedef enum
{
  HBW_RAMP_CONTINUES, /* or there is none */
  HBW_RAMP_ENDS_AT_SLOTS,
  HBW_RAMP_ENDS_AT_MEDIAN,
} HbwRampResult;

gboolean hbw_server_ramp_is_active (const HbwServerRamp *ramp);

/* Starts a ramp for a server that has just appeared or restarted, unless it has no
   more SLOTS than the first limit.  IS_PACE_KNOWN: that of the pool is. */
void hbw_server_ramp_start (HbwServerRamp *ramp, gboolean is_pace_known, guint slots,
                            gint64 now_us);

/* Starts a ramp for a server that came back from down.  If it failed during a ramp,
   that goes on from a limit of 1. */
void hbw_server_ramp_recover (HbwServerRamp *ramp, gboolean is_pace_known,
                              guint slots, gint64 now_us);

void hbw_server_ramp_end (HbwServerRamp *ramp);

/* Returns how many of the IN_PROGRESS requests with UNREAD_TOKENS, sent by other
   instances, had their first tokens, if an unread prompt has MEAN_TOKENS on average.
   Rounds down. */
guint hbw_server_ramp_count_streams (guint in_progress, guint unread_tokens,
                                     double mean_tokens);

/* Returns whether one more request may be sent, with IN_PROGRESS of all instances
   and PEER_STREAMS of others that had their first tokens.  Above the limit it may if
   no request is in progress but those streams. */
gboolean hbw_server_ramp_allows (const HbwServerRamp *ramp, guint in_progress,
                                 guint peer_streams, gint64 now_us);

/* Returns whether a first token came in time: within TARGET_US, or within the
   percentage of EXPECTED_US.  0 is unknown; if both are, it did. */
gboolean hbw_server_ramp_is_in_time (gint64 first_token_us, gint64 target_us,
                                     double expected_us);

/* Records a first token in time, of a request that was sent at SENT_US.  The caller
   logs and ends a ramp that ends. */
HbwRampResult hbw_server_ramp_record_in_time (HbwServerRamp *ramp,
                                              const HbwRampLoad *load,
                                              gint64 sent_us);

/* Records a late first token, a failure or a refusal. */
void hbw_server_ramp_record_failure (HbwServerRamp *ramp, gint64 sent_us,
                                     gint64 now_us);

#endif
