#include "hornbeamwall/core/membership/membership_state.h"

#include <string.h>

/* Members that send an indirect probe to one that does not answer. */
#define INDIRECT_PROBE_MEMBERS 3

/* Members that are notified directly when this instance leaves. */
#define LEAVE_MESSAGES_MAX 8

static gboolean
is_same_data_centre (const HbwMembership *membership, const HbwMember *member)
{
  return strcmp (member->info.data_centre, membership->self.data_centre) == 0;
}

static void
add_update_to_ping (HbwPing *ping, const HbwMemberUpdate *update)
{
  if (ping->member_count < HBW_PING_MEMBERS_MAX)
    ping->members[ping->member_count++] = *update;
}

static void
fill_members (HbwMembership *membership, HbwContext *context, HbwPing *ping,
              const HbwMember *target)
{
  add_update_to_ping (ping, &membership->self);
  if (target != NULL && target->info.state != HBW_MEMBER_ALIVE)
    add_update_to_ping (ping, &target->info);
  guint count = membership->probe_order->len;
  if (count == 0)
    return;
  guint start = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  for (guint i = 0; i < count && ping->member_count < HBW_PING_MEMBERS_MAX; i++)
    {
      HbwMember *member
          = g_ptr_array_index (membership->probe_order, (start + i) % count);
      if (member->transmits_left == 0)
        continue;
      member->transmits_left--;
      add_update_to_ping (ping, &member->info);
    }
  const HbwMember *other = g_ptr_array_index (membership->probe_order, start);
  if (hbw_member_is_present (other))
    add_update_to_ping (ping, &other->info);
}

static void
send_ping (HbwMembership *membership, HbwContext *context, HbwMessageKind kind,
           guint64 to, const char *address, const HbwPing *base)
{
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_SEND_MESSAGE);
  effect->send.to = to;
  g_strlcpy (effect->send.address, address, sizeof effect->send.address);
  effect->send.message.kind = kind;
  effect->send.message.from = membership->self.identity;
  HbwPing *ping = &effect->send.message.ping;
  ping->probe_number = base->probe_number;
  ping->subject = base->subject;
  ping->on_behalf_of = base->on_behalf_of;
  fill_members (membership, context, ping,
                hbw_membership_find_member (membership, to));
  if (membership->decorator != NULL)
    membership->decorator (ping, membership->decorator_data);
}

static HbwMember *
random_member (HbwMembership *membership, HbwContext *context,
               gboolean (*is_accepted) (const HbwMembership *membership,
                                        const HbwMember *member))
{
  guint count = membership->probe_order->len;
  if (count == 0)
    return NULL;
  guint start = (guint) g_rand_int_range (context->random, 0, (gint32) count);
  for (guint i = 0; i < count; i++)
    {
      HbwMember *member
          = g_ptr_array_index (membership->probe_order, (start + i) % count);
      if (is_accepted (membership, member))
        return member;
    }
  return NULL;
}

static gboolean
is_remote_candidate (const HbwMembership *membership, const HbwMember *member)
{
  return !is_same_data_centre (membership, member) && hbw_member_is_present (member);
}

static gboolean
is_dead_candidate (const HbwMembership *membership G_GNUC_UNUSED,
                   const HbwMember *member)
{
  return member->info.state == HBW_MEMBER_DEAD;
}

static gboolean
is_indirect_prober (const HbwMembership *membership, const HbwMember *member)
{
  return is_same_data_centre (membership, member)
         && member->info.state == HBW_MEMBER_ALIVE
         && member->info.identity != membership->probe.subject;
}

static void
send_indirect_probes (HbwMembership *membership, HbwContext *context)
{
  membership->probe.indirect_sent = TRUE;
  HbwPing base = { .probe_number = membership->probe.ping_number };
  base.subject = membership->probe.subject;
  for (guint i = 0; i < INDIRECT_PROBE_MEMBERS; i++)
    {
      const HbwMember *prober
          = random_member (membership, context, is_indirect_prober);
      if (prober != NULL)
        send_ping (membership, context, HBW_MESSAGE_PROBE_FOR, prober->info.identity,
                   prober->info.address, &base);
    }
}

void
hbw_membership_check_probe (HbwMembership *membership, HbwContext *context)
{
  HbwMemberProbe *probe = &membership->probe;
  if (probe->ping_number == 0)
    return;
  gint64 age = context->now_us - probe->sent_us;
  if (age >= HBW_INDIRECT_PROBE_DELAY_US && !probe->indirect_sent)
    send_indirect_probes (membership, context);
  if (age < HBW_PROBE_TIMEOUT_US)
    return;
  HbwMember *member = hbw_membership_find_member (membership, probe->subject);
  probe->ping_number = 0;
  if (member != NULL && member->info.state == HBW_MEMBER_ALIVE
      && member->last_heard_us < probe->sent_us)
    hbw_membership_set_state (membership, context, member, HBW_MEMBER_SUSPECT,
                              member->info.incarnation);
}

static void
send_next_probe (HbwMembership *membership, HbwContext *context)
{
  if (membership->probe.ping_number != 0
      || context->now_us < membership->next_probe_us)
    return;
  membership->next_probe_us = context->now_us + HBW_PROBE_INTERVAL_US;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      guint index = membership->next_index++ % membership->probe_order->len;
      const HbwMember *member = g_ptr_array_index (membership->probe_order, index);
      if (!is_same_data_centre (membership, member)
          || !hbw_member_is_present (member))
        continue;
      membership->probe.ping_number = ++membership->last_ping_number;
      membership->probe.subject = member->info.identity;
      membership->probe.sent_us = context->now_us;
      membership->probe.indirect_sent = FALSE;
      HbwPing base = { .probe_number = membership->probe.ping_number };
      base.subject = member->info.identity;
      send_ping (membership, context, HBW_MESSAGE_PING, member->info.identity,
                 member->info.address, &base);
      return;
    }
}

static gboolean
is_member_address (HbwMembership *membership, const char *address)
{
  if (strcmp (address, membership->self.address) == 0)
    return TRUE;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (hbw_member_is_present (member)
          && strcmp (member->info.address, address) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
ping_seed (HbwMembership *membership, HbwContext *context, const GPtrArray *list)
{
  if (list->len == 0)
    return;
  guint start = (guint) g_rand_int_range (context->random, 0, (gint32) list->len);
  const HbwPing base = { .probe_number = 0 };
  for (guint i = 0; i < list->len; i++)
    {
      const char *address = g_ptr_array_index (list, (start + i) % list->len);
      if (is_member_address (membership, address))
        continue;
      send_ping (membership, context, HBW_MESSAGE_PING, 0, address, &base);
      return;
    }
}

void
hbw_membership_ping_seeds (HbwMembership *membership, HbwContext *context)
{
  const HbwPing base = { .probe_number = 0 };
  for (guint i = 0; i < membership->seeds->len; i++)
    {
      const char *address = g_ptr_array_index (membership->seeds, i);
      if (!is_member_address (membership, address))
        send_ping (membership, context, HBW_MESSAGE_PING, 0, address, &base);
    }
}

static void
ping_outside_rotation (HbwMembership *membership, HbwContext *context)
{
  if (context->now_us < membership->next_remote_ping_us)
    return;
  membership->next_remote_ping_us = context->now_us + HBW_REMOTE_PING_INTERVAL_US;
  const HbwPing base = { .probe_number = 0 };
  const HbwMember *remote = random_member (membership, context, is_remote_candidate);
  if (remote != NULL)
    send_ping (membership, context, HBW_MESSAGE_PING, remote->info.identity,
               remote->info.address, &base);
  const HbwMember *dead = random_member (membership, context, is_dead_candidate);
  if (dead != NULL)
    send_ping (membership, context, HBW_MESSAGE_PING, dead->info.identity,
               dead->info.address, &base);
  ping_seed (membership, context, membership->seeds);
  ping_seed (membership, context, membership->platform_seeds);
}

void
hbw_membership_handle_ping (HbwMembership *membership, HbwContext *context,
                            const HbwMessage *message)
{
  const HbwPing *ping = &message->ping;
  const HbwPing base = { .probe_number = ping->probe_number,
                         .on_behalf_of = ping->on_behalf_of,
                         .subject = membership->self.identity };
  const char *address = ping->member_count > 0 ? ping->members[0].address : NULL;
  if (address != NULL)
    send_ping (membership, context, HBW_MESSAGE_ACK, message->from, address, &base);
}

void
hbw_membership_handle_probe_for (HbwMembership *membership, HbwContext *context,
                                 const HbwMessage *message)
{
  const HbwMember *subject
      = hbw_membership_find_member (membership, message->ping.subject);
  if (subject == NULL)
    return;
  const HbwPing base = { .probe_number = message->ping.probe_number,
                         .on_behalf_of = message->from,
                         .subject = subject->info.identity };
  send_ping (membership, context, HBW_MESSAGE_PING, subject->info.identity,
             subject->info.address, &base);
}

void
hbw_membership_handle_ack (HbwMembership *membership, HbwContext *context,
                           const HbwMessage *message)
{
  const HbwPing *ping = &message->ping;
  if (ping->on_behalf_of != 0 && ping->on_behalf_of != membership->self.identity)
    {
      const HbwMember *requester
          = hbw_membership_find_member (membership, ping->on_behalf_of);
      const HbwPing base = { .probe_number = ping->probe_number,
                             .on_behalf_of = ping->on_behalf_of,
                             .subject = ping->subject };
      if (requester != NULL)
        send_ping (membership, context, HBW_MESSAGE_ACK, requester->info.identity,
                   requester->info.address, &base);
      return;
    }
  if (ping->probe_number == membership->probe.ping_number
      && ping->subject == membership->probe.subject)
    membership->probe.ping_number = 0;
}

void
hbw_membership_ping_all (HbwMembership *membership, HbwContext *context,
                         const char *data_centre)
{
  const HbwPing base = { .probe_number = 0 };
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (hbw_member_is_present_in (member, data_centre))
        send_ping (membership, context, HBW_MESSAGE_PING, member->info.identity,
                   member->info.address, &base);
    }
}

void
hbw_membership_leave (HbwMembership *membership, HbwContext *context)
{
  membership->self.state = HBW_MEMBER_LEFT;
  membership->self.incarnation++;
  membership->epoch++;
  const HbwPing base = { .probe_number = 0 };
  guint sent = 0;
  for (guint i = 0; i < membership->probe_order->len && sent < LEAVE_MESSAGES_MAX;
       i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (!hbw_member_is_present (member))
        continue;
      send_ping (membership, context, HBW_MESSAGE_PING, member->info.identity,
                 member->info.address, &base);
      sent++;
    }
}

guint64
hbw_membership_ping_member (HbwMembership *membership, HbwContext *context,
                            guint64 identity)
{
  const HbwMember *member = hbw_membership_find_member (membership, identity);
  if (member == NULL || !hbw_member_is_present (member))
    return 0;
  const HbwPing base
      = { .probe_number = ++membership->last_ping_number, .subject = identity };
  send_ping (membership, context, HBW_MESSAGE_PING, identity, member->info.address,
             &base);
  return base.probe_number;
}

static gboolean
is_ping_candidate (const HbwMembership *membership G_GNUC_UNUSED,
                   const HbwMember *member)
{
  return hbw_member_is_present (member);
}

guint64
hbw_membership_find_random (HbwMembership *membership, HbwContext *context)
{
  const HbwMember *member = random_member (membership, context, is_ping_candidate);
  return member != NULL ? member->info.identity : 0;
}

guint64
hbw_membership_ping_random (HbwMembership *membership, HbwContext *context)
{
  guint64 identity = hbw_membership_find_random (membership, context);
  return hbw_membership_ping_member (membership, context, identity);
}

void
hbw_membership_set_ping_decorator (HbwMembership *membership,
                                   HbwPingDecorator decorator, void *data)
{
  membership->decorator = decorator;
  membership->decorator_data = data;
}

void
hbw_membership_send_pings (HbwMembership *membership, HbwContext *context)
{
  send_next_probe (membership, context);
  ping_outside_rotation (membership, context);
}
