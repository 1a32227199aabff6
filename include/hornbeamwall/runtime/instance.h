/*
 * instance - starts and stops the threads and listeners of one instance
 */
#ifndef HORNBEAMWALL_RUNTIME_INSTANCE_H
#define HORNBEAMWALL_RUNTIME_INSTANCE_H

#include "hornbeamwall/runtime/control.h"

typedef struct HbwInstance HbwInstance;

/* Binds all addresses and starts all threads.  SETTINGS and CLOCK must outlive the
   instance. */
HbwInstance *hbw_instance_create (const HbwSettings *settings, HbwClock *clock,
                                  HbwError *error);

/* Applies the settings that may change while the instance runs: the seeds. */
void hbw_instance_reload (HbwInstance *instance, const HbwSettings *settings);

/* Begins a planned stop. */
void hbw_instance_drain (HbwInstance *instance);

/* Stops watching the store, which is not needed once new requests are refused. */
void hbw_instance_stop_store_watch (HbwInstance *instance);

/* Accepts no more connections of callers, and closes idle ones. */
void hbw_instance_close_idle (HbwInstance *instance);

/* Returns whether any request is in progress, or a response is still being sent. */
gboolean hbw_instance_has_requests (const HbwInstance *instance);

void hbw_instance_destroy (HbwInstance *instance);

guint hbw_instance_caller_port (const HbwInstance *instance);
guint hbw_instance_admin_port (const HbwInstance *instance);
HbwControl *hbw_instance_control (HbwInstance *instance);

#endif
