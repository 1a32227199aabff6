#include "hornbeamwall/core/membership/membership_state.h"

#include "hornbeamwall/common/address.h"

#include <string.h>

HbwMembership *
hbw_membership_create (const HbwMemberUpdate *self)
{
  HbwMembership *membership = g_new0 (HbwMembership, 1);
  membership->self = *self;
  membership->self.state = HBW_MEMBER_ALIVE;
  membership->members
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  membership->probe_order = g_ptr_array_new ();
  membership->seeds = g_ptr_array_new_with_free_func (g_free);
  membership->platform_seeds = g_ptr_array_new_with_free_func (g_free);
  membership->epoch = 1;
  return membership;
}

void
hbw_membership_destroy (HbwMembership *membership)
{
  g_ptr_array_free (membership->probe_order, TRUE);
  g_ptr_array_free (membership->seeds, TRUE);
  g_ptr_array_free (membership->platform_seeds, TRUE);
  g_hash_table_destroy (membership->members);
  g_free (membership);
}

void
hbw_membership_add_seed (HbwMembership *membership, const char *address)
{
  for (guint i = 0; i < membership->seeds->len; i++)
    if (strcmp (g_ptr_array_index (membership->seeds, i), address) == 0)
      return;
  g_ptr_array_add (membership->seeds, g_strdup (address));
}

void
hbw_membership_set_platform_seeds (HbwMembership *membership,
                                   const GPtrArray *instances)
{
  g_ptr_array_set_size (membership->platform_seeds, 0);
  for (guint i = 0; i < instances->len; i++)
    {
      const HbwInstanceEntry *entry = g_ptr_array_index (instances, i);
      g_ptr_array_add (membership->platform_seeds, g_strdup (entry->address));
    }
}

void
hbw_membership_tick (HbwMembership *membership, HbwContext *context)
{
  hbw_membership_check_probe (membership, context);
  hbw_membership_expire_members (membership, context);
  hbw_membership_send_pings (membership, context);
}

void
hbw_membership_handle_message (HbwMembership *membership, HbwContext *context,
                               const HbwMessage *message)
{
  HbwMember *sender = hbw_membership_find_member (membership, message->from);
  if (sender != NULL)
    sender->last_heard_us = context->now_us;
  if (message->kind > HBW_MESSAGE_PROBE_FOR)
    return;
  const HbwPing *ping = &message->ping;
  for (guint i = 0; i < ping->member_count; i++)
    hbw_membership_apply_update (membership, context, &ping->members[i],
                                 message->from);
  sender = hbw_membership_find_member (membership, message->from);
  if (sender != NULL)
    sender->last_heard_us = context->now_us;
  if (message->kind == HBW_MESSAGE_PING)
    hbw_membership_handle_ping (membership, context, message);
  else if (message->kind == HBW_MESSAGE_PROBE_FOR)
    hbw_membership_handle_probe_for (membership, context, message);
  else
    hbw_membership_handle_ack (membership, context, message);
}

void
hbw_membership_resume (HbwMembership *membership, gint64 now_us)
{
  membership->probe.ping_number = 0;
  membership->next_probe_us = now_us;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      member->last_heard_us = now_us;
      if (member->info.state == HBW_MEMBER_SUSPECT)
        member->state_changed_us = now_us;
    }
}

const char *
hbw_membership_find_address (HbwMembership *membership, guint64 identity)
{
  const HbwMember *member = hbw_membership_find_member (membership, identity);
  if (member == NULL || member->info.state == HBW_MEMBER_DEAD)
    return NULL;
  return member->info.address;
}

const char *
hbw_membership_find_name (HbwMembership *membership, guint64 identity)
{
  const HbwMember *member = hbw_membership_find_member (membership, identity);
  return member != NULL ? member->info.name : "";
}

gboolean
hbw_membership_has_host (const HbwMembership *membership, const char *host)
{
  HbwHostPort parts;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (hbw_member_is_present (member)
          && hbw_address_parse (member->info.address, &parts)
          && strcmp (parts.host, host) == 0)
        return TRUE;
    }
  return FALSE;
}

gboolean
hbw_membership_is_alive (HbwMembership *membership, guint64 identity)
{
  if (identity == membership->self.identity)
    return membership->self.state == HBW_MEMBER_ALIVE;
  const HbwMember *member = hbw_membership_find_member (membership, identity);
  return member != NULL && member->info.state == HBW_MEMBER_ALIVE;
}

gboolean
hbw_membership_is_dead (HbwMembership *membership, guint64 identity)
{
  const HbwMember *member = hbw_membership_find_member (membership, identity);
  return member != NULL && member->info.state == HBW_MEMBER_DEAD;
}

guint64
hbw_membership_epoch (const HbwMembership *membership)
{
  return membership->epoch;
}

void
hbw_membership_foreach (HbwMembership *membership,
                        void (*visit) (const HbwMemberUpdate *member, void *data),
                        void *data)
{
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (hbw_member_is_present (member))
        visit (&member->info, data);
    }
}

gboolean
hbw_membership_has_lost (const HbwMembership *membership, gint64 since_us)
{
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (member->info.state == HBW_MEMBER_DEAD
          && member->state_changed_us >= since_us)
        return TRUE;
    }
  return FALSE;
}

/* Returns whether MEMBER runs requests, or may do so. */
static gboolean
is_in_use (const HbwMember *member, gint64 now_us)
{
  gboolean is_leaving = member->info.state == HBW_MEMBER_LEFT
                        && now_us - member->state_changed_us < HBW_MEMBER_LEAVING_US;
  return hbw_member_is_present (member) || is_leaving;
}

void
hbw_membership_broadcast (HbwMembership *membership, HbwContext *context,
                          const char *data_centre, const HbwMessage *message)
{
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      gboolean is_addressed = data_centre == NULL
                              || strcmp (member->info.data_centre, data_centre) == 0;
      if (is_addressed && is_in_use (member, context->now_us))
        hbw_context_send (context, member->info.identity, message);
    }
}
