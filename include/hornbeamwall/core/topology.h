/*
 * topology - which backend servers form which shard
 *
 * The servers of a pool in one data centre, in the order of their names, are cut
 * into shards of at most HBW_SHARD_SERVERS_MAX.  A topology is made anew from each
 * version of the platform's list and never changed.
 */
#ifndef HORNBEAMWALL_CORE_TOPOLOGY_H
#define HORNBEAMWALL_CORE_TOPOLOGY_H

#include "hornbeamwall/core/message.h"

#define HBW_SHARD_SERVERS_MAX 8

typedef struct HbwTopology HbwTopology;

/* Creates a topology of SERVERS (HbwServerEntry), which it takes over.  With ACROSS,
   the name of a data centre, all servers of a pool are one shard there, wherever
   they are. */
HbwTopology *hbw_topology_create (GPtrArray *servers, const char *across);
void hbw_topology_destroy (HbwTopology *topology);

/* Returns the number of shards of POOL in DATA_CENTRE. */
guint hbw_topology_shard_count (const HbwTopology *topology, const char *pool,
                                const char *data_centre);

/* Returns the servers of a shard (borrowed), or NULL. */
const GPtrArray *hbw_topology_servers (const HbwTopology *topology,
                                       const HbwShardKey *key);

/* Returns the entry of the server ID and sets KEY to its shard's; NULL where it is
   not listed. */
const HbwServerEntry *hbw_topology_find (const HbwTopology *topology, const char *id,
                                         HbwShardKey *key);

/* Returns the names of the data centres that have servers (borrowed). */
const GPtrArray *hbw_topology_data_centres (const HbwTopology *topology);

/* Calls VISIT on the key of every shard, in order. */
void hbw_topology_foreach (const HbwTopology *topology,
                           void (*visit) (const HbwShardKey *key, void *data),
                           void *data);

#endif
