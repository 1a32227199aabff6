/*
 * membership_state - the state of the membership, private to it
 *
 * For core/membership*.c only.
 */
#ifndef HORNBEAMWALL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_H
#define HORNBEAMWALL_CORE_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "hornbeamwall/core/membership/membership.h"

typedef struct
{
  HbwMemberUpdate info;
  guint transmits_left;    /* pings that still carry this update */
  gint64 state_changed_us; /* last change of state */
  gint64 last_heard_us;    /* last direct message */
} HbwMember;

/* The probe that is waiting for its ack. */
typedef struct
{
  guint64 ping_number; /* 0 is none */
  guint64 subject;
  gint64 sent_us;
  gboolean indirect_sent;
} HbwMemberProbe;

struct HbwMembership
{
  HbwMemberUpdate self;
  GHashTable *members;    /* identity -> HbwMember */
  GPtrArray *probe_order; /* HbwMember, borrowed; in order of probes */
  guint next_index;
  GPtrArray *seeds;          /* addresses from the settings */
  GPtrArray *platform_seeds; /* addresses from the platform's list */
  HbwMemberProbe probe;
  guint64 last_ping_number;
  gint64 next_probe_us;
  gint64 next_remote_ping_us;
  guint64 epoch;
  guint64 count_epoch; /* for which the counts hold */
  guint alive_count;   /* live instances of all data centres */
  guint near_count;    /* of the own one */
  guint self_transmits_left;
  HbwPingDecorator decorator;
  void *decorator_data;
};

#endif
