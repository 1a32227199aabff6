/*
 * shard - the scheduler of one shard, in the instance that owns it
 *
 * Entry instances send wants; the shard answers each with one grant on one named
 * backend server, or with a refusal.  A grant occupies its server from the moment
 * it is given.  All state can be rebuilt from what the entry instances restate:
 * waiting requests as wants, attempts in progress as active messages.
 */
#ifndef HORNBEAMWALL_CORE_SHARD_H
#define HORNBEAMWALL_CORE_SHARD_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/queue.h"
#include "hornbeamwall/core/server.h"

/* How long an entry instance may hold a grant before it connects. */
#define HBW_GRANT_VALID_US (1 * HBW_US_PER_S)

/* A new owner waits this long for its peers to restate their work before it grants
   more than HBW_REBUILD_PERCENT of a server's limit. */
#define HBW_REBUILD_US (1200 * HBW_US_PER_MS)
#define HBW_REBUILD_PERCENT 50

/* A reservation whose holder has not spoken of it for so long is released. */
#define HBW_RESERVATION_SILENT_US (20 * HBW_US_PER_S)

/* A waiting request whose holder has not spoken of it for so long is dropped. */
#define HBW_TICKET_SILENT_US (20 * HBW_US_PER_S)

/* How often a shard asks each of its servers for a load report. */
#define HBW_POLL_INTERVAL_US (1 * HBW_US_PER_S)

/* Most requests that wait in one shard. */
#define HBW_SHARD_QUEUE_MAX 8192

/* Part of a shard's slots that each lower tier with waiting requests holds. */
#define HBW_FLOOR_PERCENT 5

/* How long a prompt is beside the usual one of its shard. */
typedef enum
{
  HBW_LENGTH_LONG,
  HBW_LENGTH_MEDIUM,
  HBW_LENGTH_SHORT,
  HBW_LENGTH_COUNT,
} HbwLength;

typedef struct HbwShard HbwShard;

/* How a shard chooses; see policy.h. */
typedef struct
{
  const char *name;
  gboolean shared; /* one owner for all instances, not one shard each */
  gboolean across; /* a shard has the servers of all data centres */
  HbwTicket *(*select_ticket) (HbwShard *shard, HbwContext *context);
  HbwServer *(*select_server) (HbwShard *shard, HbwContext *context,
                               const HbwTicket *ticket);
  /* Returns how long WANT would probably wait at a server, or is NULL where that is
     not estimated. */
  gint64 (*expected_wait_us) (HbwShard *shard, HbwContext *context,
                              const HbwWant *want);
} HbwPolicy;

struct HbwShard
{
  const HbwPolicy *policy;
  HbwShardKey key;
  GPtrArray *servers; /* HbwServer, owned */
  HbwQueue *queue;
  GHashTable *reservations;
  guint in_progress[HBW_TIER_COUNT];
  gint64 rebuilt_at_us;  /* end of the rebuild window */
  gint64 compared_at_us; /* last look for stragglers */
  gint64 wanted_at_us;   /* last message from an entry instance */
  double service_us;     /* moving average from grant to end */
  double prompt_log2;    /* moving average of the length of prompts */
  double own_tokens;     /* moving average, of prompts without shared parts */
  double shares[HBW_LENGTH_COUNT]; /* of prompt tokens, by length; moving average */
  double prompt_rate;       /* prompt tokens that a server reads in a second */
  GHashTable *class_tokens; /* class name -> moving average of tokens, owned */
  guint rotation;           /* for round robin */
  gboolean floor_pick; /* the ticket selected last is owed to its tier's floor */
};

/* Creates a shard without servers.  REBUILD_US is how long peers may hold work of
   it that is not known here; 0 where there are none. */
HbwShard *hbw_shard_create (const HbwPolicy *policy, const HbwShardKey *key,
                            gint64 now_us, gint64 rebuild_us);
void hbw_shard_destroy (HbwShard *shard);

/* Sets the servers to ENTRIES (HbwServerEntry of this shard) and takes the planned
   stops of the context into account. */
void hbw_shard_set_servers (HbwShard *shard, HbwContext *context,
                            const GPtrArray *entries);

void hbw_shard_want (HbwShard *shard, HbwContext *context, guint64 from,
                     const HbwWant *want);
void hbw_shard_withdraw (HbwShard *shard, HbwContext *context,
                         const HbwRefusal *withdrawal);
void hbw_shard_active (HbwShard *shard, HbwContext *context, guint64 from,
                       const HbwActive *active);
void hbw_shard_begun (HbwShard *shard, HbwContext *context, const HbwBegun *begun);
void hbw_shard_done (HbwShard *shard, HbwContext *context, const HbwDone *done);
void hbw_shard_load (HbwShard *shard, HbwContext *context,
                     const HbwLoadReport *load);

/* Notes which prompt parts other instances have sent to its servers. */
void hbw_shard_learn_prompts (HbwShard *shard, const HbwLoads *loads);

/* Ends what is overdue and grants what has become possible. */
void hbw_shard_tick (HbwShard *shard, HbwContext *context);

/* Releases everything that instances hold here which are taken for dead. */
void hbw_shard_forget_dead (HbwShard *shard, HbwContext *context);

/* After this process was paused: nothing known here counts as silent, and peers
   get time to restate their work. */
void hbw_shard_resume (HbwShard *shard, gint64 now_us);

void hbw_shard_summarize (const HbwShard *shard, HbwShardSummary *summary);

HbwServer *hbw_shard_find_server (const HbwShard *shard, const char *id);

/* Returns the server on which TICKET may run now; NULL without one. */
HbwServer *hbw_shard_select_server (HbwShard *shard, HbwContext *context,
                                    const HbwTicket *ticket);

/* Returns all slots of the servers that take work. */
guint hbw_shard_slots (const HbwShard *shard);

#endif
