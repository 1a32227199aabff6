/*
 * load_poller - polls backend servers for load reports on its own threads
 *
 * GET /load returns {"running": N, "waiting": N}.  A poll that fails is ignored.
 */
#ifndef HORNBEAMWALL_RUNTIME_LOAD_POLLER_H
#define HORNBEAMWALL_RUNTIME_LOAD_POLLER_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwLoadPoller HbwLoadPoller;

/* Sets the numbers of REPORT.  Returns FALSE if TEXT, the body of a response, is no
   report. */
gboolean hbw_load_report_parse (HbwLoadReport *report, const char *text,
                                gsize length);

HbwLoadPoller *hbw_load_poller_create (HbwControl *control);

/* Waits for the polls in progress to end. */
void hbw_load_poller_destroy (HbwLoadPoller *poller);

/* Queues a poll of one server.  Its report is submitted as HBW_EVENT_LOAD_REPORT.
   Only the control thread may call this. */
void hbw_load_poller_enqueue (HbwLoadPoller *poller, const HbwPollLoad *poll);

#endif
