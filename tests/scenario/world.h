/*
 * world - reducers of several instances under a paused clock, between small fakes of
 * engines, links and the platform's store
 *
 * Everything happens in the order of virtual time; the same seed gives the same run.
 * What must always hold is checked at every step; the first breach is kept.
 */
#ifndef HORNBEAMWALL_TESTS_WORLD_H
#define HORNBEAMWALL_TESTS_WORLD_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/reducer.h"

/* A server that is leaving or planned to stop must get no work after this. */
#define WORLD_LEAVE_US (5 * HBW_US_PER_S)

/* An accepted change must be in force everywhere after this. */
#define WORLD_ROLLOUT_US (13 * HBW_US_PER_S)

typedef struct World World;

typedef struct
{
  char name[HBW_NAME_MAX];
  char class_name[HBW_NAME_MAX];
  char organisation[HBW_NAME_MAX];
  char pool[HBW_NAME_MAX];
  char data_centre[HBW_NAME_MAX]; /* "" spreads over all */
  double rate;                    /* requests a second */
  guint tokens_min;
  guint tokens_max;
  gint64 from_us;
  gint64 to_us;
  gboolean not_idempotent;
  guint sent;
  guint count;     /* at most so many requests; 0 is no bound */
  gboolean poison; /* each server that runs it fails */
  GRand *random;   /* of its own, so that every policy meets the same requests */
  guint resend;    /* times its caller sends it again after a failure */
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
  guint64 in_target;
  guint64 refused[HBW_REASON_COUNT];
  guint64 broken; /* ended after it may have run, without a whole answer */
  guint64 lost;   /* its instance died */
  guint64 good_tokens;
  guint64 wasted_tokens;
  guint64 open;          /* not ended yet */
  gint64 begun_us;       /* when an attempt was last made */
  gint64 longest_gap_us; /* longest time in which some waited and none was begun */
} WorldClass;

World *world_create (guint32 seed, const char *policy);
void world_destroy (World *world);

void world_set_link (World *world, const WorldLink *link);
void world_set_trace (World *world, gboolean trace);

/* Catalogue, in the form of its document. */
void world_set_document (World *world, HbwDocumentKind kind, const char *body);

/* Adds instances and servers; they start with the world. */
void world_add_instances (World *world, const char *data_centre, guint count);
void world_add_servers (World *world, const char *pool, const char *data_centre,
                        guint count, guint slots, gint64 prefill_us,
                        gint64 token_us);
void world_add_load (World *world, const WorldLoad *load);

/* Schedules a fault: VERB is one of crash, restart, slow, leave, stop, unstop, kill,
   revive, pause, drain, cut, heal, store-down, store-up, store-old (the store
   answers with an older version), edit.  Returns FALSE where
   the verb or its subject is not known. */
gboolean world_add_fault (World *world, gint64 at_us, const char *verb,
                          const char *subject, const char *argument);

/* Runs to UNTIL_US.  Returns FALSE if something that must always hold was broken. */
gboolean world_run (World *world, gint64 until_us);

/* Returns the first breach, or NULL. */
const char *world_breach (const World *world);

/* Returns the classes, WorldClass, in order of their names. */
const GPtrArray *world_classes (const World *world);

/* Returns how many servers failed by a poison request. */
guint world_poisoned_servers (const World *world);

/* What the instances spent since the last call, in all. */
typedef struct
{
  guint64 messages;
  guint64 bytes;  /* of frames with one message each; needs world_set_measure() */
  gint64 step_ns; /* processor time in the reducers */
  gint64 virtual_us;
} WorldCost;

void world_set_measure (World *world, gboolean measure);
WorldCost world_take_cost (World *world);

/* Returns the time, in seconds, in which the part QUANTILE of all instances that
   were up had put a change of the catalogue in force. */
double world_rollout (const World *world, double quantile);

/* Returns the messages that one instance sent and received in a second, on average.
 */
double world_message_rate (const World *world);

#endif
