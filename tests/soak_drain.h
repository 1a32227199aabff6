/*
 * soak_drain - a play of servers that leave while instances are stopped and killed
 *
 *   drain   in two data centres of two instances, one is stopped as planned and goes
 *           on with a long request, and the other one is killed; some instances are
 *           paused.  Servers leave meanwhile: no request may reach one of them later
 *           than the bound through an instance that has run for a while.
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_DRAIN_H
#define HORNBEAMWALL_TESTS_SOAK_DRAIN_H

#include "soak_state.h"

/* Sets what the play NAME needs.  Returns FALSE if there is no such play. */
gboolean soak_drain_prepare (Soak *soak, const char *name);

void soak_drain_run (Soak *soak, guint32 seed);

#endif
