/*
 * admin - the administration API, on an address and with a token of its own
 *
 * Reads are served from the state of this instance, edits go to the platform's
 * store.  An edit is accepted only when its conditional update has succeeded; an
 * answer of the store that was lost is settled by reading back the change id.
 */
#ifndef HORNBEAMWALL_NET_ADMIN_H
#define HORNBEAMWALL_NET_ADMIN_H

#include "hornbeamwall/net/http.h"
#include "hornbeamwall/runtime/control.h"

typedef struct HbwAdmin HbwAdmin;

HbwAdmin *hbw_admin_create (HbwControl *control, const HbwSettings *settings,
                            HbwError *error);
void hbw_admin_destroy (HbwAdmin *admin);
guint hbw_admin_port (const HbwAdmin *admin);

#endif
