/*
 * quarantine_lost - attempts of suspects at instances that do not report any more
 *
 * An instance that is killed cannot report how its attempts end.  The others know
 * from its last reports which suspects it ran, and on which servers.  If such a
 * server refuses a connection after the attempt had started, it is a failure of the
 * suspect.  Requests that were no suspects yet are not known.
 */
#ifndef HORNBEAMWALL_CORE_QUARANTINE_LOST_H
#define HORNBEAMWALL_CORE_QUARANTINE_LOST_H

#include "hornbeamwall/core/server_check.h"
#include "hornbeamwall/core/topology.h"

/* Records that the server with the hash SERVER had ended at ENDED_US: it refused a
   connection.  Its failures are not decided about before the instances that run
   suspects on it have reported them, or are lost. */
void hbw_quarantine_note_server_ended (HbwQuarantine *quarantine, guint64 server,
                                       gint64 ended_us, gint64 now_us);

/* Records failures for lost attempts on servers that have ended, and has the servers
   of the others checked.  Calls HANDLE_SUSPECT for each suspect with a new failure.
   TOPOLOGY may be NULL. */
void hbw_quarantine_handle_lost (
    HbwContext *context, HbwServerChecks *checks, const HbwTopology *topology,
    void (*handle_suspect) (const HbwSilentAttempt *attempt, void *data),
    void *data);

#endif
