#include "hornbeamwall/core/load_route.h"

#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/membership/membership.h"

/* Rendezvous key of the relay of a data centre. */
#define RELAY_KEY "load-relay"

/* Percentage of a core with which a relay keeps up with all messages of its data
   centre.  With less there are fewer. */
#define FULL_SPEED_PERCENT 50

HbwLoadRoute *
hbw_load_route_create (void)
{
  HbwLoadRoute *route = g_new0 (HbwLoadRoute, 1);
  route->epoch = G_MAXUINT64;
  route->is_direct = TRUE;
  route->slowdown = 1;
  route->remote_relays = g_array_new (FALSE, FALSE, sizeof (guint64));
  return route;
}

void
hbw_load_route_destroy (HbwLoadRoute *route)
{
  g_array_free (route->remote_relays, TRUE);
  g_free (route);
}

static void
add_data_centre (const HbwMemberUpdate *member, void *data)
{
  g_hash_table_add (data, g_strdup (member->data_centre));
}

static void
select_relays (HbwLoadRoute *route, const HbwContext *context)
{
  GHashTable *data_centres
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  hbw_membership_foreach (context->membership, add_data_centre, data_centres);
  g_hash_table_remove (data_centres, context->data_centre);
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, data_centres);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    {
      const HbwMemberUpdate *relay
          = hbw_membership_find_relay (context->membership, name, RELAY_KEY);
      if (relay != NULL)
        g_array_append_val (route->remote_relays, relay->identity);
    }
  g_hash_table_destroy (data_centres);
  const HbwMemberUpdate *own = hbw_membership_find_relay (
      context->membership, context->data_centre, RELAY_KEY);
  route->relay = own != NULL ? own->identity : 0;
  if (own != NULL && own->processor_percent > 0)
    route->slowdown = MAX (1, FULL_SPEED_PERCENT / own->processor_percent);
}

void
hbw_load_route_update (HbwLoadRoute *route, const HbwContext *context)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  if (route->epoch == epoch)
    return;
  route->epoch = epoch;
  g_array_set_size (route->remote_relays, 0);
  route->relay = 0;
  route->slowdown = 1;
  route->receivers = hbw_membership_count_alive (context->membership, NULL);
  route->is_direct = route->receivers <= HBW_LOAD_DIRECT_INSTANCES_MAX;
  if (route->is_direct)
    return;
  select_relays (route, context);
  route->receivers
      = hbw_membership_count_alive (context->membership, context->data_centre);
}

gboolean
hbw_load_route_is_relay (const HbwLoadRoute *route, const HbwContext *context)
{
  return !route->is_direct && route->relay == context->self;
}
