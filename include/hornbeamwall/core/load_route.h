/*
 * load_route - selects the instances to which loads on servers are sent
 *
 * A small fleet needs no relays.  In a larger one, each data centre has one: a live
 * instance with the largest link and processor share, as a relay sends and receives
 * the messages of all others there.
 */
#ifndef HORNBEAMWALL_CORE_LOAD_ROUTE_H
#define HORNBEAMWALL_CORE_LOAD_ROUTE_H

#include "hornbeamwall/core/context.h"

typedef struct
{
  guint64 epoch; /* of the membership for which the rest holds */
  gboolean is_direct;
  guint64 relay;         /* of this data centre, unless direct */
  GArray *remote_relays; /* guint64, of the other data centres, unless direct */
  guint slowdown;        /* multiple of the interval of messages */
  guint receivers; /* instances of the fleet if direct, else of the data centre */
} HbwLoadRoute;

HbwLoadRoute *hbw_load_route_create (void);
void hbw_load_route_destroy (HbwLoadRoute *route);

/* Selects the relays again if the membership has changed. */
void hbw_load_route_update (HbwLoadRoute *route, const HbwContext *context);

/* Returns whether this instance is the relay of its data centre. */
gboolean hbw_load_route_is_relay (const HbwLoadRoute *route,
                                  const HbwContext *context);

#endif
