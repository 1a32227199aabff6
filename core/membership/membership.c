#include "hornbeamwall/core/membership/membership_state.h"

#include "hornbeamwall/common/address.h"

#include <string.h>

/* Multiplied by the binary logarithm of the number of members, this is the number of
   pings that carry each update. */
#define DISSEMINATION_FACTOR 3

/* Members that send an indirect probe to one that does not answer. */
#define INDIRECT_PROBE_MEMBERS 3

/* Members that are notified directly when this instance leaves. */
#define LEAVE_MESSAGES_MAX 8

static gboolean
is_same_data_centre (const HbwMembership *membership, const HbwMember *member)
{
  return strcmp (member->info.data_centre, membership->self.data_centre) == 0;
}

static gboolean
is_present (const HbwMember *member)
{
  return member->info.state == HBW_MEMBER_ALIVE
         || member->info.state == HBW_MEMBER_SUSPECT;
}

/* DATA_CENTRE may be NULL for any. */
static gboolean
is_present_in (const HbwMember *member, const char *data_centre)
{
  return is_present (member)
         && (data_centre == NULL
             || strcmp (member->info.data_centre, data_centre) == 0);
}

static guint
dissemination_count (const HbwMembership *membership)
{
  return DISSEMINATION_FACTOR * g_bit_storage (membership->probe_order->len + 2);
}

static HbwMember *
find_member (HbwMembership *membership, guint64 identity)
{
  return g_hash_table_lookup (membership->members, &identity);
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

static void
set_state (HbwMembership *membership, HbwContext *context, HbwMember *member,
           HbwMemberState state, guint32 incarnation)
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
      if (is_present (member))
        set_state (membership, context, member, HBW_MEMBER_DEAD,
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
  if (is_present (member))
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
static void
apply_update (HbwMembership *membership, HbwContext *context,
              const HbwMemberUpdate *update, guint64 from)
{
  if (update->identity == membership->self.identity)
    {
      refute_suspicion (membership, update);
      return;
    }
  if (strcmp (update->address, membership->self.address) == 0)
    return;
  HbwMember *member = find_member (membership, update->identity);
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
    set_state (membership, context, member, update->state, update->incarnation);
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
  if (is_present (other))
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
  fill_members (membership, context, ping, find_member (membership, to));
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
  return !is_same_data_centre (membership, member) && is_present (member);
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

static void
check_probe (HbwMembership *membership, HbwContext *context)
{
  HbwMemberProbe *probe = &membership->probe;
  if (probe->ping_number == 0)
    return;
  gint64 age = context->now_us - probe->sent_us;
  if (age >= HBW_INDIRECT_PROBE_DELAY_US && !probe->indirect_sent)
    send_indirect_probes (membership, context);
  if (age < HBW_PROBE_TIMEOUT_US)
    return;
  HbwMember *member = find_member (membership, probe->subject);
  probe->ping_number = 0;
  if (member != NULL && member->info.state == HBW_MEMBER_ALIVE
      && member->last_heard_us < probe->sent_us)
    set_state (membership, context, member, HBW_MEMBER_SUSPECT,
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
      if (!is_same_data_centre (membership, member) || !is_present (member))
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
      if (is_present (member) && strcmp (member->info.address, address) == 0)
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

static void
remove_member_at (HbwMembership *membership, guint index)
{
  const HbwMember *member = g_ptr_array_index (membership->probe_order, index);
  guint64 identity = member->info.identity;
  g_ptr_array_remove_index (membership->probe_order, index);
  g_hash_table_remove (membership->members, &identity);
}

static void
expire_members (HbwMembership *membership, HbwContext *context)
{
  for (guint i = membership->probe_order->len; i > 0; i--)
    {
      HbwMember *member = g_ptr_array_index (membership->probe_order, i - 1);
      gint64 age = context->now_us - member->state_changed_us;
      if (member->info.state == HBW_MEMBER_SUSPECT && age > HBW_SUSPICION_TIMEOUT_US)
        set_state (membership, context, member, HBW_MEMBER_DEAD,
                   member->info.incarnation);
      else if (!is_present (member) && age > HBW_MEMBER_TOMBSTONE_US)
        remove_member_at (membership, i - 1);
    }
}

static void
handle_ping (HbwMembership *membership, HbwContext *context,
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

static void
handle_probe_for (HbwMembership *membership, HbwContext *context,
                  const HbwMessage *message)
{
  const HbwMember *subject = find_member (membership, message->ping.subject);
  if (subject == NULL)
    return;
  const HbwPing base = { .probe_number = message->ping.probe_number,
                         .on_behalf_of = message->from,
                         .subject = subject->info.identity };
  send_ping (membership, context, HBW_MESSAGE_PING, subject->info.identity,
             subject->info.address, &base);
}

static void
handle_ack (HbwMembership *membership, HbwContext *context,
            const HbwMessage *message)
{
  const HbwPing *ping = &message->ping;
  if (ping->on_behalf_of != 0 && ping->on_behalf_of != membership->self.identity)
    {
      const HbwMember *requester = find_member (membership, ping->on_behalf_of);
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
  check_probe (membership, context);
  expire_members (membership, context);
  send_next_probe (membership, context);
  ping_outside_rotation (membership, context);
}

void
hbw_membership_handle_message (HbwMembership *membership, HbwContext *context,
                               const HbwMessage *message)
{
  HbwMember *sender = find_member (membership, message->from);
  if (sender != NULL)
    sender->last_heard_us = context->now_us;
  if (message->kind > HBW_MESSAGE_PROBE_FOR)
    return;
  const HbwPing *ping = &message->ping;
  for (guint i = 0; i < ping->member_count; i++)
    apply_update (membership, context, &ping->members[i], message->from);
  sender = find_member (membership, message->from);
  if (sender != NULL)
    sender->last_heard_us = context->now_us;
  if (message->kind == HBW_MESSAGE_PING)
    handle_ping (membership, context, message);
  else if (message->kind == HBW_MESSAGE_PROBE_FOR)
    handle_probe_for (membership, context, message);
  else
    handle_ack (membership, context, message);
}

void
hbw_membership_ping_all (HbwMembership *membership, HbwContext *context,
                         const char *data_centre)
{
  const HbwPing base = { .probe_number = 0 };
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (is_present_in (member, data_centre))
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
      if (!is_present (member))
        continue;
      send_ping (membership, context, HBW_MESSAGE_PING, member->info.identity,
                 member->info.address, &base);
      sent++;
    }
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
  const HbwMember *member = find_member (membership, identity);
  if (member == NULL || member->info.state == HBW_MEMBER_DEAD)
    return NULL;
  return member->info.address;
}

const char *
hbw_membership_find_name (HbwMembership *membership, guint64 identity)
{
  const HbwMember *member = find_member (membership, identity);
  return member != NULL ? member->info.name : "";
}

gboolean
hbw_membership_has_host (const HbwMembership *membership, const char *host)
{
  HbwHostPort parts;
  for (guint i = 0; i < membership->probe_order->len; i++)
    {
      const HbwMember *member = g_ptr_array_index (membership->probe_order, i);
      if (is_present (member) && hbw_address_parse (member->info.address, &parts)
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
  const HbwMember *member = find_member (membership, identity);
  return member != NULL && member->info.state == HBW_MEMBER_ALIVE;
}

gboolean
hbw_membership_is_dead (HbwMembership *membership, guint64 identity)
{
  const HbwMember *member = find_member (membership, identity);
  return member != NULL && member->info.state == HBW_MEMBER_DEAD;
}

guint64
hbw_membership_ping_member (HbwMembership *membership, HbwContext *context,
                            guint64 identity)
{
  const HbwMember *member = find_member (membership, identity);
  if (member == NULL || !is_present (member))
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
  return is_present (member);
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
      if (is_present (member))
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
  return is_present (member) || is_leaving;
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

void
hbw_membership_set_ping_decorator (HbwMembership *membership,
                                   HbwPingDecorator decorator, void *data)
{
  membership->decorator = decorator;
  membership->decorator_data = data;
}
