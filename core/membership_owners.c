#include "hornbeamwall/core/membership_state.h"

#include <string.h>

static gboolean
is_owner_candidate (const HbwMemberUpdate *info, const char *data_centre)
{
  return info->state == HBW_MEMBER_ALIVE
         && (data_centre == NULL || strcmp (info->data_centre, data_centre) == 0);
}

guint64
hbw_membership_find_owner (HbwMembership *membership, const char *data_centre,
                           const char *key)
{
  guint64 best = 0;
  guint64 highest = 0;
  if (is_owner_candidate (&membership->self, data_centre))
    {
      best = membership->self.identity;
      highest = hbw_rendezvous_weight (best, key);
    }
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (!is_owner_candidate (&member->info, data_centre))
        continue;
      guint64 weight = hbw_rendezvous_weight (member->info.identity, key);
      if (best != 0 && weight <= highest)
        continue;
      best = member->info.identity;
      highest = weight;
    }
  return best;
}

gboolean
hbw_membership_is_self_in_top (HbwMembership *membership, const char *key,
                               guint count)
{
  guint64 own = hbw_rendezvous_weight (membership->self.identity, key);
  guint before = 0;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (is_owner_candidate (&member->info, membership->self.data_centre)
          && hbw_rendezvous_weight (member->info.identity, key) > own)
        before++;
    }
  return before < count;
}

guint
hbw_membership_rank (HbwMembership *membership, const char *key)
{
  guint64 own = hbw_rendezvous_weight (membership->self.identity, key);
  guint rank = 0;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (is_owner_candidate (&member->info, NULL)
          && hbw_rendezvous_weight (member->info.identity, key) > own)
        rank++;
    }
  return rank;
}

guint
hbw_membership_count_alive (HbwMembership *membership, const char *data_centre)
{
  guint count = is_owner_candidate (&membership->self, data_centre) ? 1 : 0;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (is_owner_candidate (&member->info, data_centre))
        count++;
    }
  return count;
}
