#include "hornbeamwall/core/duty/duty_fleet.h"

#include "hornbeamwall/core/membership/membership.h"

/* Interval of updates while the membership does not change. */
#define UPDATE_INTERVAL_US HBW_US_PER_S

/* Instances that died longer ago than this many times the lease count no more. */
#define FORGET_LEASES 3

/* A holder that is not a candidate keeps the lease for this many times its time, so
   that a fleet that is restarted does not move it with each instance. */
#define DISPLACED_LEASES 10

typedef struct
{
  guint64 identity;
  gint64 alive_us; /* when it was last known to be alive */
} Other;

struct HbwDutyFleet
{
  gint64 lease_us;
  guint64 epoch; /* of the membership, at the last update */
  gint64 updated_us;
  gint64 now_us;
  GHashTable *others; /* name -> Other; a restarted instance replaces its entry */
  guint64 candidates[HBW_DUTY_CANDIDATES];
  guint candidate_count;
  guint position;
  guint64 self;
  gint64 cut_off_since_us;   /* fewer than half are heard; 0: at least half are */
  gint64 displaced_since_us; /* it is not a candidate; 0: it is */
};

HbwDutyFleet *
hbw_duty_fleet_create (gint64 lease_us)
{
  HbwDutyFleet *fleet = g_new0 (HbwDutyFleet, 1);
  fleet->lease_us = lease_us;
  fleet->epoch = G_MAXUINT64;
  fleet->position = HBW_DUTY_CANDIDATES;
  fleet->others = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return fleet;
}

void
hbw_duty_fleet_destroy (HbwDutyFleet *fleet)
{
  g_hash_table_destroy (fleet->others);
  g_free (fleet);
}

static void
note_alive (const HbwMemberUpdate *member, void *data)
{
  HbwDutyFleet *fleet = data;
  Other *other = g_hash_table_lookup (fleet->others, member->name);
  if (other == NULL)
    {
      other = g_new0 (Other, 1);
      g_hash_table_insert (fleet->others, g_strdup (member->name), other);
    }
  other->identity = member->identity;
  other->alive_us = fleet->now_us;
}

/* Returns whether an instance counts no more: it has left, or died long ago. */
static gboolean
is_gone (const HbwDutyFleet *fleet, HbwMembership *membership, const Other *other)
{
  gint64 silent_us = fleet->now_us - other->alive_us;
  return silent_us > 0
         && (silent_us > FORGET_LEASES * fleet->lease_us
             || !hbw_membership_is_dead (membership, other->identity));
}

/* Removes instances that count no more.  Returns whether fewer than half of the
   others are alive. */
static gboolean
is_cut_off (HbwDutyFleet *fleet, HbwMembership *membership)
{
  guint alive = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->others);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Other *other = value;
      if (is_gone (fleet, membership, other))
        g_hash_table_iter_remove (&iter);
      else
        alive += other->alive_us == fleet->now_us;
    }
  return 2 * alive < g_hash_table_size (fleet->others);
}

static void
note_since (gint64 *since_us, gboolean holds, gint64 now_us)
{
  if (!holds)
    *since_us = 0;
  else if (*since_us == 0)
    *since_us = now_us;
}

static void
select_candidates (HbwDutyFleet *fleet, HbwContext *context)
{
  fleet->candidate_count = hbw_membership_list_largest (
      context->membership, fleet->candidates, HBW_DUTY_CANDIDATES);
  fleet->position = HBW_DUTY_CANDIDATES;
  for (guint i = 0; i < fleet->candidate_count; i++)
    if (fleet->candidates[i] == context->self)
      fleet->position = i;
}

void
hbw_duty_fleet_update (HbwDutyFleet *fleet, HbwContext *context)
{
  guint64 epoch = hbw_membership_epoch (context->membership);
  fleet->now_us = context->now_us;
  if (epoch == fleet->epoch
      && fleet->now_us - fleet->updated_us < UPDATE_INTERVAL_US)
    return;
  fleet->epoch = epoch;
  fleet->updated_us = fleet->now_us;
  fleet->self = context->self;
  hbw_membership_foreach (context->membership, note_alive, fleet);
  select_candidates (fleet, context);
  note_since (&fleet->cut_off_since_us, is_cut_off (fleet, context->membership),
              fleet->now_us);
  note_since (&fleet->displaced_since_us, fleet->position == HBW_DUTY_CANDIDATES,
              fleet->now_us);
}

guint
hbw_duty_fleet_position (const HbwDutyFleet *fleet)
{
  return fleet->position;
}

guint64
hbw_duty_fleet_deputy (const HbwDutyFleet *fleet)
{
  for (guint i = 0; i < fleet->candidate_count; i++)
    if (fleet->candidates[i] != fleet->self)
      return fleet->candidates[i];
  return 0;
}

gboolean
hbw_duty_fleet_has_half_alive (const HbwDutyFleet *fleet)
{
  return fleet->cut_off_since_us == 0;
}

gboolean
hbw_duty_fleet_is_unfit (const HbwDutyFleet *fleet, gint64 now_us)
{
  if (fleet->cut_off_since_us != 0
      && now_us - fleet->cut_off_since_us >= fleet->lease_us)
    return TRUE;
  return fleet->displaced_since_us != 0
         && now_us - fleet->displaced_since_us >= DISPLACED_LEASES * fleet->lease_us;
}
