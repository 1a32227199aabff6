#include "hornbeamwall/core/membership/membership_state.h"

#include <string.h>

static gboolean
is_owner_candidate (const HbwMemberUpdate *info, const char *data_centre)
{
  return info->state == HBW_MEMBER_ALIVE
         && (data_centre == NULL || strcmp (info->data_centre, data_centre) == 0);
}

/* Members are counted from 0, this instance first. */
static guint
count_members (const HbwMembership *membership)
{
  return membership->probe_order->len + 1;
}

static const HbwMemberUpdate *
get_member (const HbwMembership *membership, guint index)
{
  if (index == 0)
    return &membership->self;
  const HbwMember *member = g_ptr_array_index (membership->probe_order, index - 1);
  return &member->info;
}

guint64
hbw_membership_find_owner (HbwMembership *membership, const char *data_centre,
                           const char *key)
{
  guint64 best = 0;
  guint64 highest = 0;
  for (guint i = 0; i < count_members (membership); i++)
    {
      const HbwMemberUpdate *info = get_member (membership, i);
      if (!is_owner_candidate (info, data_centre))
        continue;
      guint64 weight = hbw_rendezvous_weight (info->identity, key);
      if (best != 0 && weight <= highest)
        continue;
      best = info->identity;
      highest = weight;
    }
  return best;
}

/* Returns what MEMBER can spend on messages for others; 0 if that is not known. */
static guint64
find_capacity (const HbwMemberUpdate *member)
{
  return (guint64) member->link_mbps * member->processor_percent;
}

static gboolean
is_better_relay (const HbwMemberUpdate *member, const HbwMemberUpdate *other,
                 const char *key)
{
  guint64 capacity = find_capacity (member);
  guint64 other_capacity = find_capacity (other);
  if (capacity != other_capacity)
    return capacity > other_capacity;
  return hbw_rendezvous_weight (member->identity, key)
         > hbw_rendezvous_weight (other->identity, key);
}

const HbwMemberUpdate *
hbw_membership_find_relay (HbwMembership *membership, const char *data_centre,
                           const char *key)
{
  const HbwMemberUpdate *best = NULL;
  for (guint i = 0; i < count_members (membership); i++)
    {
      const HbwMemberUpdate *info = get_member (membership, i);
      if (is_owner_candidate (info, data_centre)
          && (best == NULL || is_better_relay (info, best, key)))
        best = info;
    }
  return best;
}

static gboolean
is_larger (const HbwMemberUpdate *member, const HbwMemberUpdate *other)
{
  guint64 capacity = find_capacity (member);
  guint64 other_capacity = find_capacity (other);
  if (capacity != other_capacity)
    return capacity > other_capacity;
  return member->identity < other->identity;
}

/* Returns the largest live instance that is smaller than LIMIT (NULL: of any size),
   or NULL. */
static const HbwMemberUpdate *
find_next_largest (const HbwMembership *membership, const HbwMemberUpdate *limit)
{
  const HbwMemberUpdate *best = NULL;
  for (guint i = 0; i < count_members (membership); i++)
    {
      const HbwMemberUpdate *info = get_member (membership, i);
      if (is_owner_candidate (info, NULL)
          && (limit == NULL || is_larger (limit, info))
          && (best == NULL || is_larger (info, best)))
        best = info;
    }
  return best;
}

guint
hbw_membership_list_largest (HbwMembership *membership, guint64 *identities,
                             guint max)
{
  guint count = 0;
  const HbwMemberUpdate *member = NULL;
  while (count < max && (member = find_next_largest (membership, member)) != NULL)
    identities[count++] = member->identity;
  return count;
}

typedef struct
{
  guint64 identity;
  guint seed_position;
  guint64 weight;
} Candidate;

static guint
find_seed_position (const HbwMembership *membership, const char *address)
{
  guint position = 0;
  while (position < membership->seeds->len
         && strcmp (g_ptr_array_index (membership->seeds, position), address) != 0)
    position++;
  return position;
}

static int
compare_candidates (gconstpointer a, gconstpointer b)
{
  const Candidate *left = a;
  const Candidate *right = b;
  if (left->seed_position != right->seed_position)
    return left->seed_position < right->seed_position ? -1 : 1;
  return left->weight > right->weight ? -1 : left->weight < right->weight;
}

guint
hbw_membership_list_top (HbwMembership *membership, const char *data_centre,
                         const char *key, gboolean seeds_first, guint64 *identities,
                         guint max)
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  for (guint i = 0; i < count_members (membership); i++)
    {
      const HbwMemberUpdate *info = get_member (membership, i);
      if (!is_owner_candidate (info, data_centre))
        continue;
      Candidate candidate = { .identity = info->identity };
      candidate.weight = hbw_rendezvous_weight (info->identity, key);
      if (seeds_first)
        candidate.seed_position = find_seed_position (membership, info->address);
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  guint count = MIN (max, candidates->len);
  for (guint i = 0; i < count; i++)
    identities[i] = g_array_index (candidates, Candidate, i).identity;
  g_array_free (candidates, TRUE);
  return count;
}

guint
hbw_membership_link_mbps (const HbwMembership *membership)
{
  return membership->self.link_mbps;
}

guint
hbw_membership_seed_position (const HbwMembership *membership)
{
  return find_seed_position (membership, membership->self.address);
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

static guint
count_candidates (const HbwMembership *membership, const char *data_centre)
{
  guint count = 0;
  for (guint i = 0; i < count_members (membership); i++)
    count += is_owner_candidate (get_member (membership, i), data_centre);
  return count;
}

guint
hbw_membership_count_alive (HbwMembership *membership, const char *data_centre)
{
  const char *own = membership->self.data_centre;
  if (data_centre != NULL && strcmp (data_centre, own) != 0)
    return count_candidates (membership, data_centre);
  if (membership->count_epoch != membership->epoch)
    {
      membership->count_epoch = membership->epoch;
      membership->alive_count = count_candidates (membership, NULL);
      membership->near_count = count_candidates (membership, own);
    }
  return data_centre == NULL ? membership->alive_count : membership->near_count;
}
