/*
 * world - deterministic simulation of several instances
 *
 * It runs the reducers of the instances in virtual time, with simulated engines,
 * links and the platform's store.  Runs with the same seed are identical. Invariants
 * are checked at every step; the first violation ends the run.
 */
#ifndef HORNBEAMWALL_TESTS_WORLD_H
#define HORNBEAMWALL_TESTS_WORLD_H

#include "batch_engine.h"
#include "part_watch.h"
#include "stream_watch.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/reducer.h"

/* Time after which a draining server must not receive requests. */
#define WORLD_LEAVE_GRACE_US (5 * HBW_US_PER_S)

/* Time within which every instance must adopt a changed document. */
#define WORLD_ROLLOUT_LIMIT_US (13 * HBW_US_PER_S)

typedef struct World World;

/* What the machine of an instance offers. */
typedef struct
{
  guint link_mbps;
  guint processor_percent; /* of one core, for messages; 0: unlimited */
} WorldMachine;

/* Prompts of a shared part and one of the request's own. */
typedef struct
{
  guint64 first_part; /* hash of the first shared part; the others follow */
  guint shared_count; /* different shared parts; 0: requests without prompts */
  guint shared_tokens;
  guint own_min; /* tokens of the own part */
  guint own_max;
  double spread; /* largest ratio of the length of a shared part to the mean one, and
                    back; 1: all have one length */
} WorldPrompt;

typedef struct
{
  char name[HBW_NAME_MAX];
  char class_name[HBW_NAME_MAX];
  char organisation[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX]; /* "": all data centres */
  double rate;                    /* requests per second */
  guint tokens_min;
  guint tokens_max;
  gint64 from_us;
  gint64 to_us;
  gboolean not_idempotent;
  guint sent_count;
  guint max_requests; /* maximum number of requests; 0 is unlimited */
  gboolean poison;    /* each server that executes a request fails */
  gboolean silent;    /* it falls silent: connections to it stay open */
  gboolean whole;     /* its answer ends with its connection, without a length, and
                         whole by its form even if the server fails */
  char parts[128];    /* ids of the shared parts; see part_watch_fill() */
  WorldPrompt prompt;
  gboolean resumable; /* streams, which their callers resume if they break */
  gboolean unnamed;   /* callers do not name the stream that they resume */
  guint attempts_max; /* of a request, on different servers; 0: the default */
  gint64 timeout_us;  /* of a request; 0 is none */
  GRand *random;      /* separate, so that every policy receives the same requests */
  guint max_resends;  /* retries by the caller after a failure */
  guint body;         /* requests with the same number have the same content; 0: each
                         request has its own */
} WorldLoad;

typedef struct
{
  gint64 local_us;  /* one way, within a data centre */
  gint64 remote_us; /* one way, between data centres */
  gint64 jitter_us;
  double loss;
  double duplicate;
} WorldLink;

typedef struct
{
  char name[HBW_NAME_MAX];
  guint tier;
  guint64 arrived;
  guint64 completed;
  guint64 in_target; /* completed within both latency targets */
  guint64 refused[HBW_REASON_COUNT];
  guint64 broken;         /* failed after a possible execution */
  guint64 lost;           /* its instance was killed */
  guint64 good_tokens;    /* of requests completed before their deadline */
  guint64 wasted_tokens;  /* of failed attempts and late responses */
  guint64 in_progress;    /* requests that have not ended */
  gint64 last_attempt_us; /* start of the last attempt */
  gint64 longest_gap_us;  /* longest time without an attempt while requests waited */
} WorldClass;

World *world_create (guint32 seed, const char *policy);
void world_destroy (World *world);

void world_set_link (World *world, const WorldLink *link);
void world_set_trace (World *world, gboolean trace);

/* Writes the next version of the document KIND to the store. */
void world_set_document (World *world, HbwDocumentKind kind, const char *body);

/* Add instances, servers and loads, which start with world_run(). */
void world_add_instances (World *world, const char *data_centre, guint count,
                          const WorldMachine *machine);
void world_add_servers (World *world, const char *pool, const char *data_centre,
                        guint count, guint slots, gint64 prefill_us, gint64 token_us,
                        const char *version);

/* Lets the servers of POOL, which were added before, read prompts in batches. */
void world_set_engines (World *world, const char *pool, const BatchEngineSpec *spec);

/* Bounds the age of the catalogue.  The instances then read from the store only
   while they have to watch it. */
void world_set_revocation (World *world, gint64 bound_us);

/* Returns how often instances polled the store for its documents. */
guint world_store_call_count (const World *world);

/* Sets how long a server takes to restart after a poison request. */
void world_set_poison_restart (World *world, gint64 restart_us);

void world_add_load (World *world, const WorldLoad *load);

/* Schedules a fault at AT_US after the start.  Returns FALSE if VERB or SUBJECT is
   unknown.

   The verbs crash, restart, slow (ARGUMENT is the factor), break (ARGUMENT is the
   share of its responses that break off while it works), limit (it names ARGUMENT
   requests per second as its limit), announce (its responses say that it is
   leaving), brittle (it fails if it turns more than ARGUMENT requests away in a
   second; "none" ends it), refuse (it turns requests away, and wants none for
   ARGUMENT seconds; for both, "none" ends it), leave (the list of servers shows it
   as leaving), stop and unstop (it is added to or removed from the planned stops)
   and upgrade (it is killed, and starts again with ARGUMENT as its version, and
   under another id) apply to a server.  The verbs kill, revive, pause (ARGUMENT is
   the time in seconds), drain and show (traces the status) apply to an instance. The
   verbs cut and heal begin and end a partition between SUBJECT and ARGUMENT:
   instances, data centres, "store", "servers" (all of them; connections are reset),
   "servers-silent" (nothing answers) or "all"; these names are not checked. The
   verbs store-down, store-up, store-old (the store returns the previous version of a
   document) and edit (writes the catalogue again as a new version) have no subject.
 */
gboolean world_add_fault (World *world, gint64 at_us, const char *verb,
                          const char *subject, const char *argument);

/* Runs until UNTIL_US.  Returns FALSE if an invariant was violated. */
gboolean world_run (World *world, gint64 until_us);

/* Returns a description of the first violation of an invariant, or NULL. */
const char *world_violation (const World *world);

/* Returns the classes, an array of WorldClass sorted by name. */
const GPtrArray *world_classes (const World *world);

/* Returns how many requests the servers received that had named a limit, from the
   time on at which the instances follow it. */
guint world_limited_request_count (const World *world);

/* Returns how many requests the server NAME received. */
guint world_request_count (const World *world, const char *name);

/* Returns what is known of a part that makes servers fail. */
PartWatch *world_part_watch (const World *world);

/* Returns what callers got of streams that may be resumed. */
const StreamWatch *world_stream_watch (const World *world);

/* Returns what happened to the prompts of all servers with engines. */
const PromptWatch *world_prompt_watch (const World *world);

/* Returns how often brittle servers failed as they turned too much away. */
guint world_toppled_count (const World *world);

/* Returns how many servers failed because of a poison request. */
guint world_poisoned_server_count (const World *world);

/* Cost of all instances together since the last world_take_cost(). */
typedef struct
{
  guint64 messages;
  guint64 bytes;     /* encoded as frames with one message each */
  gint64 reducer_ns; /* processor time of the reducers */
  gint64 virtual_us;
} WorldCost;

/* Enables the measurement of messages, bytes and processor time. */
void world_set_cost_measurement (World *world, gboolean measure);

/* Returns the cost since the last call and resets it. */
WorldCost world_take_cost (World *world);

/* Returns the given QUANTILE, in seconds, of the delays after which running
   instances adopted a change of the catalogue. */
double world_rollout_quantile_s (const World *world, double quantile);

/* Returns the average number of messages that one instance sends per second. */
double world_message_rate (const World *world);

/* Returns for how many seconds a message waited at most for the processor of its
   sender or receiver. */
double world_longest_message_wait_s (const World *world);

/* Returns how often a request is compared with all servers, on average. */
double world_comparisons_per_request (const World *world);

#endif
