/*
 * shard_ramp - ramps of the servers of one shard that have started or recovered
 *
 * Connects server_ramp.h to the shard.  Ramps are on where the memory of the pool's
 * engines is known and instances tell each other their loads; without that, nothing
 * here has an effect.  Requests without a prompt are never limited.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_RAMP_H
#define HORNBEAMWALL_CORE_SHARD_RAMP_H

#include "hornbeamwall/core/shard.h"

/* What a response says of its server. */
typedef struct
{
  const HbwRequestSpec *spec;
  guint unread_tokens;   /* of its prompt, when it was sent */
  guint ahead_tokens;    /* unread tokens of others there, then */
  gint64 sent_us;        /* when it was granted */
  gint64 first_token_us; /* from the start of the attempt */
} HbwRampSample;

/* Handles a server that has appeared after the first list, or has restarted. */
void hbw_shard_ramp_start (HbwShard *shard, HbwContext *context, HbwServer *server);

/* Handles SERVER, whose state was OLD_STATE before; starts a ramp if it is up now
   and was not. */
void hbw_shard_ramp_handle_state (HbwShard *shard, HbwContext *context,
                                  HbwServer *server, HbwServerState old_state);

/* Handles a first token. */
void hbw_shard_ramp_handle_first_token (HbwShard *shard, HbwContext *context,
                                        HbwServer *server,
                                        const HbwRampSample *sample);

/* Handles the end of an attempt that was sent at SENT_US. */
void hbw_shard_ramp_handle_outcome (HbwContext *context, HbwServer *server,
                                    HbwOutcome outcome, gint64 sent_us);

/* Handles the removal of SERVER from the shard. */
void hbw_shard_ramp_remove (HbwContext *context, HbwServer *server);

/* Returns whether SERVER, which has IN_PROGRESS requests of all instances, may get
   none of SPEC now because of its ramp. */
gboolean hbw_shard_ramp_limits (const HbwShard *shard, const HbwContext *context,
                                const HbwServer *server, const HbwRequestSpec *spec,
                                guint in_progress);

#endif
