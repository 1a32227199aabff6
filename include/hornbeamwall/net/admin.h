/*
 * admin - the administration API
 *
 * Listens on a separate address and requires the administration token, except for
 * /metrics.  The catalogue is read from the platform's store, everything else from
 * the state of this instance; changes are written to the store.  A change is
 * accepted only after its conditional write has succeeded; if the store's response
 * is lost, the document is read back and searched for the id of the change.
 */
#ifndef HORNBEAMWALL_NET_ADMIN_H
#define HORNBEAMWALL_NET_ADMIN_H

#include "hornbeamwall/net/http_server.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwAdmin HbwAdmin;

/* Starts the listener.  CONTROL and SETTINGS must outlive it.  Returns NULL and sets
   ERROR if an address is not valid or not free. */
HbwAdmin *hbw_admin_create (HbwControl *control, const HbwSettings *settings,
                            HbwError *error);
void hbw_admin_destroy (HbwAdmin *admin);

/* Returns the port that was bound. */
guint hbw_admin_port (const HbwAdmin *admin);

#endif
