/*
 * shard - schedules the requests of one shard
 *
 * Runs in the instance that owns the shard.  The instance that receives a request
 * from its caller, the entry instance, sends a want (HbwGrantRequest) for it; the
 * shard answers it with a grant on one named backend server, or with a refusal.  A
 * grant reserves a slot of its server at once.  A new owner rebuilds all state from
 * what the entry instances resend: waiting requests as wants, attempts in progress
 * as active messages.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_H
#define HORNBEAMWALL_CORE_SHARD_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/engine/output_estimate.h"
#include "hornbeamwall/core/queue.h"
#include "hornbeamwall/core/server.h"

/* How long an entry instance may hold a grant before it connects to the server. */
#define HBW_GRANT_VALID_US (1 * HBW_US_PER_S)

/* For this long after taking over a shard, an owner grants no more than
   HBW_REBUILD_LIMIT_PERCENT of each server's limit, because its peers have not
   resent all of their requests yet. */
#define HBW_REBUILD_WINDOW_US (1200 * HBW_US_PER_MS)
#define HBW_REBUILD_LIMIT_PERCENT 50

/* A reservation is released if its entry instance has not confirmed it for this
   long. */
#define HBW_RESERVATION_TIMEOUT_US (20 * HBW_US_PER_S)

/* A waiting request is dropped if its entry instance has not resent it for this
   long. */
#define HBW_TICKET_TIMEOUT_US (20 * HBW_US_PER_S)

#define HBW_LOAD_POLL_INTERVAL_US (1 * HBW_US_PER_S)

#define HBW_SHARD_QUEUE_MAX 8192

/* Percentage of a shard's slots that is guaranteed to each lower tier with waiting
   requests. */
#define HBW_TIER_FLOOR_PERCENT 5

typedef struct HbwShard HbwShard;

/* Scheduling policy of a shard; see policy.h. */
typedef struct
{
  const char *name;
  gboolean single_owner; /* one instance owns a shard; otherwise each runs its own */
  gboolean spans_data_centres; /* a shard contains the servers of all data centres */
  /* Returns the request that starts next and sets SERVER to where; or returns NULL.
   */
  HbwTicket *(*select_ticket) (HbwShard *shard, HbwContext *context,
                               HbwServer **server);
  HbwServer *(*select_server) (HbwShard *shard, HbwContext *context,
                               HbwTicket *ticket);
  /* Returns how long WANT is expected to wait at a server, in microseconds; NULL if
     the policy does not estimate it. */
  gint64 (*estimate_wait_us) (HbwShard *shard, HbwContext *context,
                              const HbwGrantRequest *want);
} HbwPolicy;

struct HbwShard
{
  const HbwPolicy *policy;
  HbwShardKey key;
  GPtrArray *servers;          /* HbwServer, owned */
  GHashTable *servers_by_hash; /* hash of its id -> HbwServer, borrowed */
  HbwQueue *queue;
  GHashTable *reservations;
  guint in_progress[HBW_TIER_COUNT];
  gint64 rebuild_until_us;        /* end of the rebuild window */
  gint64 last_comparison_us;      /* last check for stragglers */
  gint64 last_entry_message_us;   /* last message from an entry instance */
  double average_service_us;      /* moving average of the time from grant to end */
  double average_prompt_log2;     /* moving average of the binary logarithm of prompt
                                     tokens */
  double average_unshared_tokens; /* moving average of prompt tokens outside shared
                                     parts */
  /* Moving averages of each length's token share. */
  double prompt_length_shares[HBW_PROMPT_LENGTH_COUNT];
  gboolean partitions_current;        /* computed for the servers it has now */
  gint64 partitioned_us;              /* when they were computed */
  double prompt_tokens_per_s;         /* moving average of the prefill speed */
  HbwPoolPace pace;                   /* averages with which servers are compared */
  gint64 parts_repeated_us;           /* when the parts in engines were told again */
  HbwOutputEstimate *output_estimate; /* owned */
  GHashTable *average_class_tokens;   /* class name -> moving average, owned */
  guint rotation_index;               /* next server for round robin */
  gboolean selected_for_floor;        /* the last ticket used its tier's guarantee */
  gboolean had_servers;               /* servers that appear now are new */
};

/* Creates a shard without servers.  REBUILD_US is the length of the rebuild window,
   in which peers resend their requests; 0 if there are no peers. */
HbwShard *hbw_shard_create (const HbwPolicy *policy, const HbwShardKey *key,
                            gint64 now_us, gint64 rebuild_us);
void hbw_shard_destroy (HbwShard *shard);

/* Sets the servers to ENTRIES (HbwServerEntry of this shard).  A server with a
   planned stop in the context, or one that is no longer listed, gets no new
   requests; an unlisted server is removed by a later call when it is idle. */
void hbw_shard_set_servers (HbwShard *shard, HbwContext *context,
                            const GPtrArray *entries);

void hbw_shard_handle_want (HbwShard *shard, HbwContext *context, guint64 from,
                            const HbwGrantRequest *want);

/* Removes a waiting request that the entry instance no longer wants. */
void hbw_shard_handle_withdrawal (HbwShard *shard, HbwContext *context,
                                  const HbwRefusal *withdrawal);

/* Confirms the reservation of an attempt in progress, and creates it if this owner
   has none, as after a change of owner. */
void hbw_shard_handle_active (HbwShard *shard, HbwContext *context, guint64 from,
                              const HbwActiveAttempt *active);

/* Handles the first output token of an attempt, which ends its prefill. */
void hbw_shard_handle_begun (HbwShard *shard, HbwContext *context,
                             const HbwFirstTokenReport *begun);

void hbw_shard_handle_done (HbwShard *shard, HbwContext *context,
                            const HbwAttemptResult *done);
void hbw_shard_handle_load_report (HbwShard *shard, HbwContext *context,
                                   const HbwLoadReport *load);

/* Adds prompt parts that other instances have sent to the servers of this shard. */
void hbw_shard_record_remote_prompts (HbwShard *shard, const HbwLoadUpdate *loads,
                                      gint64 now_us);

/* Records the momentary pace of servers that other instances have told. */
void hbw_shard_record_remote_pace (HbwShard *shard, const HbwLoadUpdate *loads,
                                   gint64 now_us);

/* Refuses or drops expired requests, releases expired reservations, checks the
   servers, and grants waiting requests. */
void hbw_shard_tick (HbwShard *shard, HbwContext *context);

/* Drops the requests and reservations of instances that are marked dead. */
void hbw_shard_release_dead_instances (HbwShard *shard, HbwContext *context);

/* Restarts the reservation timeouts and the rebuild window after this process was
   paused, so that peers have time to resend their requests. */
void hbw_shard_resume (HbwShard *shard, gint64 now_us);

void hbw_shard_summarize (const HbwShard *shard, HbwShardSummary *summary);

HbwServer *hbw_shard_find_server (const HbwShard *shard, const char *id);

/* Returns the server whose id has HASH, or NULL. */
HbwServer *hbw_shard_find_server_by_hash (const HbwShard *shard, guint64 hash);

/* Returns whether servers have failed while they ran the request.  Its entry
   instance may know of a failure whose report has not arrived here. */
gboolean hbw_shard_is_suspect (const HbwContext *context,
                               const HbwRequestSpec *spec);

/* Returns whether a request may be the half-open probe of SERVER, if that is down. A
   suspect may only if no server of the shard is usable. */
gboolean hbw_shard_may_probe (const HbwShard *shard, const HbwServer *server,
                              gboolean suspect);

/* Returns the server on which TICKET may run now, or NULL. */
HbwServer *hbw_shard_select_server (HbwShard *shard, HbwContext *context,
                                    HbwTicket *ticket);

/* Returns the total slots of the servers that are not stopping. */
guint hbw_shard_count_slots (const HbwShard *shard);

#endif
