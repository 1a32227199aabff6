/*
 * caller - the listener for callers
 *
 * OpenAI-compatible endpoints, and plain services under /services/NAME/.  A request
 * is checked here against the catalogue in force; whatever is refused here surely
 * did not run.
 */
#ifndef HORNBEAMWALL_NET_CALLER_H
#define HORNBEAMWALL_NET_CALLER_H

#include "hornbeamwall/net/http.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwCaller HbwCaller;

HbwCaller *hbw_caller_create (HbwControl *control, const HbwSettings *settings,
                              HbwError *error);
void hbw_caller_quiesce (HbwCaller *caller);
void hbw_caller_destroy (HbwCaller *caller);
guint hbw_caller_port (const HbwCaller *caller);

#endif
