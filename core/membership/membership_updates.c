#include "hornbeamwall/core/membership/membership_state.h"

#include <string.h>

/* Multiplied by the binary logarithm of the number of members, this is the number of
   pings that carry each update. */
#define DISSEMINATION_FACTOR 3

gboolean
hbw_member_is_present (const HbwMember *member)
{
  return member->info.state == HBW_MEMBER_ALIVE
         || member->info.state == HBW_MEMBER_SUSPECT;
}

/* DATA_CENTRE may be NULL for any. */
gboolean
hbw_member_is_present_in (const HbwMember *member, const char *data_centre)
{
  return hbw_member_is_present (member)
         && (data_centre == NULL
             || strcmp (member->info.data_centre, data_centre) == 0);
}

HbwMember *
hbw_membership_find_member (HbwMembership *membership, guint64 identity)
{
  return g_hash_table_lookup (membership->members, &identity);
}

static guint
dissemination_count (const HbwMembership *membership)
{
  return DISSEMINATION_FACTOR * g_bit_storage (membership->probe_order->len + 2);
}

static void
log_member_state (HbwContext *context, const HbwMember *member)
{
  static const HbwLogEvent events[] = {
    [HBW_MEMBER_ALIVE] = HBW_LOG_PEER_JOINED,
    [HBW_MEMBER_SUSPECT] = HBW_LOG_PEER_SUSPECT,
    [HBW_MEMBER_DEAD] = HBW_LOG_PEER_LOST,
    [HBW_MEMBER_LEFT] = HBW_LOG_PEER_LEFT,
  };
  hbw_effects_log (context->effects, events[member->info.state],
                   "instance=%s data_centre=%s address=%s", member->info.name,
                   member->info.data_centre, member->info.address);
}

void
hbw_membership_set_state (HbwMembership *membership, HbwContext *context,
                          HbwMember *member, HbwMemberState state,
                          guint32 incarnation)
{
  gboolean changed = member->info.state != state;
  member->info.incarnation = incarnation;
  member->transmits_left = dissemination_count (membership);
  if (!changed)
    return;
  member->info.state = state;
  member->state_changed_us = context->now_us;
  membership->epoch++;
  log_member_state (context, member);
}

/* Marks members with the address of UPDATE and an older identity dead, because a
   restarted instance has a higher identity at the same address.  Returns FALSE if
   UPDATE itself is older than a known member. */
static gboolean
replace_older_identity (HbwMembership *membership, HbwContext *context,
                        const HbwMemberUpdate *update)
{
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (strcmp (member->info.address, update->address) != 0)
        continue;
      if (member->info.identity > update->identity)
        return FALSE;
      if (hbw_member_is_present (member))
        hbw_membership_set_state (membership, context, member, HBW_MEMBER_DEAD,
                                  member->info.incarnation);
    }
  return TRUE;
}

static HbwMember *
add_member (HbwMembership *membership, HbwContext *context,
            const HbwMemberUpdate *update)
{
  HbwMember *member = g_new0 (HbwMember, 1);
  member->info = *update;
  member->state_changed_us = context->now_us;
  member->transmits_left = dissemination_count (membership);
  g_hash_table_insert (membership->members, &member->info.identity, member);
  guint index = (guint) g_rand_int_range (context->random, 0,
                                          (gint32) membership->probe_order->len + 1);
  g_ptr_array_insert (membership->probe_order, (gint) index, member);
  membership->epoch++;
  if (hbw_member_is_present (member))
    log_member_state (context, member);
  return member;
}

static void
refute_suspicion (HbwMembership *membership, const HbwMemberUpdate *update)
{
  if (update->state == HBW_MEMBER_ALIVE
      || update->incarnation < membership->self.incarnation
      || membership->self.state == HBW_MEMBER_LEFT)
    return;
  membership->self.incarnation = update->incarnation + 1;
  membership->self_transmits_left = dissemination_count (membership);
}

/* Returns whether a member that is not known is added.  One that has left is only if
   it says so itself, as FROM: it still runs and may be answered. */
static gboolean
must_add (const HbwMemberUpdate *update, guint64 from)
{
  return update->state == HBW_MEMBER_ALIVE || update->state == HBW_MEMBER_SUSPECT
         || (update->state == HBW_MEMBER_LEFT && update->identity == from);
}

/* Handles an update that the instance FROM has sent. */
void
hbw_membership_apply_update (HbwMembership *membership, HbwContext *context,
                             const HbwMemberUpdate *update, guint64 from)
{
  if (update->identity == membership->self.identity)
    {
      refute_suspicion (membership, update);
      return;
    }
  if (strcmp (update->address, membership->self.address) == 0)
    return;
  HbwMember *member = hbw_membership_find_member (membership, update->identity);
  if (member == NULL)
    {
      if (must_add (update, from)
          && replace_older_identity (membership, context, update))
        add_member (membership, context, update);
      return;
    }
  if (member->info.state == HBW_MEMBER_LEFT)
    return;
  gboolean newer = update->incarnation > member->info.incarnation;
  gboolean more_severe = update->incarnation == member->info.incarnation
                         && update->state > member->info.state;
  if (newer || more_severe)
    hbw_membership_set_state (membership, context, member, update->state,
                              update->incarnation);
}

static void
remove_member_at (HbwMembership *membership, guint index)
{
  const HbwMember *member = g_ptr_array_index (membership->probe_order, index);
  guint64 identity = member->info.identity;
  g_ptr_array_remove_index (membership->probe_order, index);
  g_hash_table_remove (membership->members, &identity);
}

void
hbw_membership_expire_members (HbwMembership *membership, HbwContext *context)
{
  for (guint i = membership->probe_order->len; i > 0; i--)
    {
      HbwMember *member = g_ptr_array_index (membership->probe_order, i - 1);
      gint64 age = context->now_us - member->state_changed_us;
      if (member->info.state == HBW_MEMBER_SUSPECT && age > HBW_SUSPICION_TIMEOUT_US)
        hbw_membership_set_state (membership, context, member, HBW_MEMBER_DEAD,
                                  member->info.incarnation);
      else if (!hbw_member_is_present (member) && age > HBW_MEMBER_TOMBSTONE_US)
        remove_member_at (membership, i - 1);
    }
}
