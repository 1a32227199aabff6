/*
 * soak_state - state of one run of platform_soak, and its callers
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_STATE_H
#define HORNBEAMWALL_TESTS_SOAK_STATE_H

#include "soak_process.h"

#include "standin/objects.h"
#include "standin/proxy.h"
#include "standin/replica.h"

#include <pthread.h>
#include <stdatomic.h>

#define SOAK_SERVERS_MAX 12
#define SOAK_CALLERS 16

/* Requests that crash servers, each sent by one caller. */
#define SOAK_CRASHING_CALLERS 5

/* Keys that configs take away and give back. */
#define SOAK_CHANGING_KEYS 4

/* Bound for refusing a removed key. */
#define SOAK_REVOCATION_MS 5000

typedef struct
{
  gboolean held;
  gint64 removed_us; /* when the config without it was acknowledged */
} ChangingKey;

typedef struct SoakDuty SoakDuty;

typedef struct
{
  const char *directory; /* of settings and process ids */
  guint instances;
  guint ports[SOAK_INSTANCES_MAX];
  guint servers;
  guint last_port; /* given to an instance or a server */
  gint64 began_us;
  SoakProcesses *processes;
  Objects *objects;
  Proxy *store_proxy;
  SoakDuty *duty;
  Replica *replicas[SOAK_SERVERS_MAX];
  Proxy *proxies[SOAK_SERVERS_MAX];
  guint crash_counts[SOAK_SERVERS_MAX]; /* that the directory has noticed */
  const char *states[SOAK_SERVERS_MAX];
  char *entries[SOAK_SERVERS_MAX]; /* names in the store; NULL if there is none */
  gboolean has_zones;              /* the servers are in three zones */
  guint versions;                  /* of the servers */
  gboolean renames_servers;        /* each start of a server has a new id */
  gint64 outage_us;                /* of servers that crash */
  guint once_timeout_ms;           /* of the route /once/ */
  guint grace_s;                   /* for planned stops of instances */
  GRand *fault_random;             /* used for faults only */
  GRand *change_random; /* used for changes of keys and for restores only */
  guint config_version;
  pthread_mutex_t key_lock;
  ChangingKey keys[SOAK_CHANGING_KEYS]; /* under key_lock */
  guint config_idle_timeout_ms;
  atomic_uint idle_timeout_ms; /* in force, as callers see it */
  _Atomic gint64 limit_changed_us;
  atomic_uint reused;   /* kept connections, for one more request */
  atomic_uint crossed;  /* requests, by a close */
  gint64 restore_at_us; /* 0 if no restore is due */
  gint64 rewrite_at_us; /* 0 if nothing has to be written again */
  atomic_bool stopping;
  atomic_uint sent;
  atomic_uint completed;
  atomic_uint refused;
  atomic_uint failed;
  atomic_uint harmful; /* requests refused as harmful, apart from those that are */
  atomic_uint
      removed_key_requests; /* with a key that was removed before the bound */
  guint restores;
  atomic_uint violations;
} Soak;

/* The threads of all callers. */
typedef struct SoakCallers SoakCallers;

/* Starts callers that send requests to SOAK's instances until SOAK is stopping. */
SoakCallers *soak_callers_create (Soak *soak, guint32 seed);

/* Waits for the callers to end. */
void soak_callers_destroy (SoakCallers *callers);

/* Counts and prints a violation of what the soak checks. */
void soak_report_violation (Soak *soak, const char *description, const char *path,
                            const char *text);

#endif
