/*
 * load_poller - polls backend servers for load reports on its own threads
 *
 * GET /load returns {"running": N, "waiting": N}.  A poll that fails is ignored.
 */
#ifndef HORNBEAMWALL_RUNTIME_LOAD_H
#define HORNBEAMWALL_RUNTIME_LOAD_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwLoad HbwLoad;

HbwLoad *hbw_load_create (HbwControl *control);

/* Waits for the polls in progress to end. */
void hbw_load_destroy (HbwLoad *poller);

/* Queues a poll of one server.  Its report is submitted as HBW_EVENT_LOAD_REPORT.
   Only the control thread may call this. */
void hbw_load_poll (HbwLoad *poller, const HbwPollLoad *poll);

#endif
