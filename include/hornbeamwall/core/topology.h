/*
 * topology - assigns backend servers to shards
 *
 * The servers of a pool in one data centre, sorted by id, are divided into shards
 * of at most HBW_SHARD_SERVERS_MAX.  A topology is immutable; each version of the
 * platform's list of servers gets a new one.
 */
#ifndef HORNBEAMWALL_CORE_TOPOLOGY_H
#define HORNBEAMWALL_CORE_TOPOLOGY_H

#include "hornbeamwall/core/message.h"

#define HBW_SHARD_SERVERS_MAX 8

typedef struct HbwTopology HbwTopology;

/* Creates a topology of SERVERS (HbwServerEntry) and takes ownership of them.  If
   OVERRIDE_DATA_CENTRE is NULL, each data centre has its own shards.  Otherwise all
   servers of a pool form a single shard of that data centre, wherever they are.  The
   name is borrowed and has to outlive the topology. */
HbwTopology *hbw_topology_create (GPtrArray *servers,
                                  const char *override_data_centre);
void hbw_topology_destroy (HbwTopology *topology);

/* Returns the number of shards of POOL in DATA_CENTRE. */
guint hbw_topology_shard_count (const HbwTopology *topology, const char *pool,
                                const char *data_centre);

/* Returns the servers of a shard (borrowed), or NULL. */
const GPtrArray *hbw_topology_shard_servers (const HbwTopology *topology,
                                             const HbwShardKey *key);

/* Returns the entry of the server ID (borrowed) and sets KEY to its shard; NULL if
   it is not listed. */
const HbwServerEntry *hbw_topology_find_server (const HbwTopology *topology,
                                                const char *id, HbwShardKey *key);

/* Returns whether a server in service may run requests of SPEC, which is bound to a
   version, and sets KEY to the shard of one: if possible, not AVOID_SERVER, and in
   DATA_CENTRE. */
gboolean hbw_topology_find_version (const HbwTopology *topology,
                                    const HbwRequestSpec *spec,
                                    const char *data_centre,
                                    const char *avoid_server, HbwShardKey *key);

/* Returns the entry of the server whose id has the hash HASH (borrowed), or NULL. */
const HbwServerEntry *hbw_topology_find_server_by_hash (const HbwTopology *topology,
                                                        guint64 hash);

/* Returns the names of the data centres that have shards (borrowed). */
const GPtrArray *hbw_topology_data_centres (const HbwTopology *topology);

/* Calls VISIT on the key of every shard, ordered by pool, data centre and index. */
void hbw_topology_foreach_shard (const HbwTopology *topology,
                                 void (*visit) (const HbwShardKey *key, void *data),
                                 void *data);

#endif
