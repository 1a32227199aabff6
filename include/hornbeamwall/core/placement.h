/*
 * placement - estimates how long one request would take on each backend server
 *
 * Answers a load whose prompts share most of their tokens and that comes faster than
 * the engines can read it without their caches.  All instances prefer the same
 * server for a shared prefix, by rendezvous hashing, without having seen the prompt.
 * The cost of another server includes the shared tokens that it would read again,
 * several times over, because they take time from all requests there.  Waiting for a
 * slot is a cost as well, so that a request rather waits for a busy server that has
 * its prefix than makes another one read it; it leaves when that wait costs more.
 *
 * All instances sort the servers alike and divide them into one partition for each
 * prompt length, because streams on a server pause while it reads a long prompt.
 */
#ifndef HORNBEAMWALL_CORE_PLACEMENT_H
#define HORNBEAMWALL_CORE_PLACEMENT_H

#include "hornbeamwall/core/shard.h"

typedef struct HbwPlacement HbwPlacement;

/* Creates the estimates for WANT, which waits for the server with the hash
   AWAITED_SERVER already, or for none if that is 0.  Borrows all arguments. */
HbwPlacement *hbw_placement_create (const HbwShard *shard, const HbwContext *context,
                                    const HbwGrantRequest *want,
                                    guint64 awaited_server);
void hbw_placement_destroy (HbwPlacement *placement);

/* Returns whether a request of SPEC finds a free slot and memory at SERVER now. */
gboolean hbw_placement_has_slot (const HbwContext *context,
                                 const HbwRequestSpec *spec,
                                 const HbwServer *server);

/* Returns whether any server is usable. */
gboolean hbw_placement_has_usable_server (const HbwPlacement *placement);

/* Returns the work of all instances at SERVER, without that of the request. */
HbwServerWork hbw_placement_sum_work (const HbwPlacement *placement,
                                      const HbwServer *server);

/* Returns whether the memory of SERVER with WORK has room for the request. */
gboolean hbw_placement_has_memory (const HbwPlacement *placement,
                                   const HbwServer *server,
                                   const HbwServerWork *work);

/* Returns how many requests of the tier of WANT may be in progress at SERVER. */
guint hbw_placement_count_slots (const HbwPlacement *placement,
                                 const HbwServer *server);

/* Returns the cost of SERVER with WORK, in microseconds. */
double hbw_placement_estimate_cost_us (const HbwPlacement *placement,
                                       const HbwServer *server,
                                       const HbwServerWork *work);

/* Returns how long the request would wait at SERVER with WORK until the own part of
   its prompt is read, in microseconds. */
double hbw_placement_estimate_wait_us (const HbwPlacement *placement,
                                       const HbwServer *server,
                                       const HbwServerWork *work);

#endif
