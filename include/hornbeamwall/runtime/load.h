/*
 * load - asks backend servers for their load reports, off the control thread
 *
 * GET /load answers {"running": N, "waiting": N}.  A server that does not answer is
 * passed over in silence.
 */
#ifndef HORNBEAMWALL_RUNTIME_LOAD_H
#define HORNBEAMWALL_RUNTIME_LOAD_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwLoad HbwLoad;

HbwLoad *hbw_load_create (HbwControl *control);

/* Waits for the calls in progress. */
void hbw_load_destroy (HbwLoad *load);

/* Asks one server; its answer is submitted as an event.  For the control thread
 * alone. */
void hbw_load_poll (HbwLoad *load, const HbwPoll *poll);

#endif
