/*
 * server - health, load and concurrency limit of one backend server
 *
 * Belongs to a shard.  The concurrency limit starts at the number of slots and
 * follows measured inter-token times by additive increase and multiplicative
 * decrease.  A circuit breaker stops requests to a failed server until a single
 * half-open probe succeeds; the wait before each probe doubles.
 */
#ifndef HORNBEAMWALL_CORE_SERVER_H
#define HORNBEAMWALL_CORE_SERVER_H

#include "hornbeamwall/core/engine/engine_memory.h"
#include "hornbeamwall/core/engine/server_pace.h"
#include "hornbeamwall/core/engine/server_ramp.h"
#include "hornbeamwall/core/engine/server_stall.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/prompt_cache.h"

#define HBW_SERVER_PREFIXES_MAX 128

/* Length of a prompt relative to the average prompt of its shard. */
typedef enum
{
  HBW_PROMPT_LENGTH_LONG,
  HBW_PROMPT_LENGTH_MEDIUM,
  HBW_PROMPT_LENGTH_SHORT,
  HBW_PROMPT_LENGTH_COUNT,
} HbwPromptLength;

typedef enum
{
  HBW_SERVER_UP,
  HBW_SERVER_DOWN,    /* no requests before probe_at_us, then one probe */
  HBW_SERVER_PROBING, /* the probe request is in progress */
} HbwServerState;

typedef struct
{
  HbwServerEntry entry;
  guint64 id_hash;
  HbwServerState state;
  gboolean stopping; /* planned stop or leaving: no new requests */
  gboolean straggler;
  double straggler_limit;   /* concurrency limit as a straggler, for requests whose
                               inter-token target it misses */
  double concurrency_limit; /* of requests in progress */
  guint in_progress;
  guint suspect_requests; /* suspect requests in progress */
  guint waiting;          /* requests that wait for a slot of this server */
  guint consecutive_failures;
  gint64 probe_at_us;
  gint64 last_decrease_us;       /* last multiplicative decrease */
  double average_first_token_us; /* moving averages; 0 before the first sample */
  double average_inter_token_us;
  guint reported_running;
  guint reported_waiting;
  gint64 reported_at_us;
  gint64 last_poll_us; /* last request for a load report */
  guint granted_since_report;
  guint others_in_progress; /* requests of other instances, by the last report */
  guint unread_tokens;      /* prompt tokens sent here and not processed yet */
  double failure_rate;      /* moving average of the failed share of responses */
  guint64 prefixes[HBW_SERVER_PREFIXES_MAX]; /* hashes of the latest prompts */
  guint next_prefix;
  HbwPromptLength partition;      /* the length of prompts it is for */
  HbwPromptCache *cached_prompts; /* parts that it probably has cached; owned */
  HbwServerPace pace;
  HbwServerRamp ramp;
  HbwEngineMemory *memory;         /* owned */
  HbwStreamTargets stream_targets; /* of requests in progress with a prompt */
} HbwServer;

/* Returns the hash by which instances name the server ID to each other. */
guint64 hbw_server_hash_id (const char *id);

HbwServer *hbw_server_create (const HbwServerEntry *entry);
void hbw_server_destroy (HbwServer *server);

/* Updates the server from the platform's list of servers.  A new start number means
   that it has restarted, which resets all measurements. */
void hbw_server_update (HbwServer *server, const HbwServerEntry *entry);

/* Returns whether the server is up and not stopping. */
gboolean hbw_server_is_usable (const HbwServer *server);

/* Returns whether the server has the version to which SPEC is bound, if it is. */
gboolean hbw_server_has_version (const HbwServer *server,
                                 const HbwRequestSpec *spec);

/* Returns whether a request of SPEC fits now; with OVERCOMMIT the limit may be
   exceeded by HBW_SERVER_OVERCOMMIT_PERCENT, or by less if the measured
   inter-token time leaves less headroom below the request's target. */
gboolean hbw_server_has_room (const HbwServer *server, const HbwRequestSpec *spec,
                              gboolean overcommit, gint64 now_us);
#define HBW_SERVER_OVERCOMMIT_PERCENT 20

/* Counts a granted request; a server that is down is then being probed. */
void hbw_server_begin_request (HbwServer *server, const HbwRequestSpec *spec);

/* Updates state, limit and averages after an attempt.  INTER_TOKEN_TARGET_US is the
   target of its class; 0 is none. */
void hbw_server_end_request (HbwServer *server, const HbwAttemptResult *done,
                             gint64 inter_token_target_us, gint64 now_us);

/* Stores a recent load report, and lowers the limit if requests wait inside the
   server.  For a server that is down and due for a probe, the report counts as a
   successful probe. */
void hbw_server_handle_load_report (HbwServer *server, const HbwLoadReport *load,
                                    gint64 now_us);

/* Compares the inter-token time with MEDIAN_US, that of the shard.  For requests
   whose inter-token target a straggler misses, its limit is its slots divided by the
   ratio of its inter-token time to the median.  Returns whether the server became or
   ceased to be a straggler. */
gboolean hbw_server_update_straggler (HbwServer *server, double median_us);

gboolean hbw_server_has_prefix (const HbwServer *server, guint64 prefix);

/* Returns how many tokens of the prompt of SPEC are probably not cached. */
guint hbw_server_uncached_tokens (const HbwServer *server,
                                  const HbwRequestSpec *spec);

/* Returns the slots below the limit that are free for any tier; 0 if not usable. */
guint hbw_server_free_slots (const HbwServer *server);

const char *hbw_server_state_name (HbwServerState state);

#endif
