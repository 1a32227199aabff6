/*
 * membership_state - the state of the membership, private to it
 *
 * For core/membership/ only.
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

/* --- membership_updates.c ------------------------------------------------------ */

/* Returns whether MEMBER is alive or suspect. */
gboolean hbw_member_is_present (const HbwMember *member);

/* The same in DATA_CENTRE, NULL for any. */
gboolean hbw_member_is_present_in (const HbwMember *member, const char *data_centre);

/* Returns the member (borrowed), or NULL. */
HbwMember *hbw_membership_find_member (HbwMembership *membership, guint64 identity);

void hbw_membership_set_state (HbwMembership *membership, HbwContext *context,
                               HbwMember *member, HbwMemberState state,
                               guint32 incarnation);

/* Handles an update that the instance FROM has sent. */
void hbw_membership_apply_update (HbwMembership *membership, HbwContext *context,
                                  const HbwMemberUpdate *update, guint64 from);

/* Marks members dead that did not refute a suspicion, and removes old tombstones. */
void hbw_membership_expire_members (HbwMembership *membership, HbwContext *context);

/* --- membership_ping.c --------------------------------------------------------- */

/* Sends indirect probes, or marks the member suspect, if an ack is late. */
void hbw_membership_check_probe (HbwMembership *membership, HbwContext *context);

/* Sends the pings that are due. */
void hbw_membership_send_pings (HbwMembership *membership, HbwContext *context);

void hbw_membership_handle_ping (HbwMembership *membership, HbwContext *context,
                                 const HbwMessage *message);
void hbw_membership_handle_probe_for (HbwMembership *membership, HbwContext *context,
                                      const HbwMessage *message);
void hbw_membership_handle_ack (HbwMembership *membership, HbwContext *context,
                                const HbwMessage *message);

#endif
