/*
 * instance - one entry instance: all threads and listeners, in start order
 */
#ifndef HORNBEAMWALL_RUNTIME_INSTANCE_H
#define HORNBEAMWALL_RUNTIME_INSTANCE_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwInstance HbwInstance;

/* Binds and starts everything; SETTINGS and CLOCK must outlive the instance. */
HbwInstance *hbw_instance_create (const HbwSettings *settings, HbwClock *clock,
                                  HbwError *error);

/* Begins a planned stop: no new requests are taken. */
/* Takes over what SETTINGS may change in a running instance: the peers to ask for
   members. */
void hbw_instance_reload (HbwInstance *instance, const HbwSettings *settings);

void hbw_instance_drain (HbwInstance *instance);

/* No request is taken any more: the store need not be followed. */
void hbw_instance_leave_store (HbwInstance *instance);

/* Returns whether requests are still in progress. */
gboolean hbw_instance_is_busy (const HbwInstance *instance);

void hbw_instance_destroy (HbwInstance *instance);

guint hbw_instance_caller_port (const HbwInstance *instance);
guint hbw_instance_admin_port (const HbwInstance *instance);
HbwControl *hbw_instance_control (HbwInstance *instance);

#endif
