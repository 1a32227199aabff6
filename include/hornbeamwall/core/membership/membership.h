/*
 * membership - failure detection and dissemination by gossip (SWIM)
 *
 * In each probe interval, an instance pings one other instance of its data centre.
 * Without an ack, it sends indirect probes through other members, then marks the
 * instance suspect, and dead if it does not refute the suspicion in time.  Updates
 * are piggybacked on pings and acks, so that the cost for each instance does not
 * grow with the number of instances.  An instance of another data centre and one
 * that is marked dead are also pinged regularly, so that the membership recovers
 * after a network partition.
 */
#ifndef HORNBEAMWALL_CORE_MEMBERSHIP_MEMBERSHIP_H
#define HORNBEAMWALL_CORE_MEMBERSHIP_MEMBERSHIP_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

#define HBW_PROBE_INTERVAL_US (250 * HBW_US_PER_MS)
#define HBW_INDIRECT_PROBE_DELAY_US                                                 \
  (120 * HBW_US_PER_MS)                                /* no ack: indirect probes */
#define HBW_PROBE_TIMEOUT_US (400 * HBW_US_PER_MS)     /* no ack: suspect */
#define HBW_SUSPICION_TIMEOUT_US (600 * HBW_US_PER_MS) /* not refuted: dead */
#define HBW_REMOTE_PING_INTERVAL_US (1 * HBW_US_PER_S)

/* How long dead members and those that have left are kept as tombstones. */
#define HBW_MEMBER_TOMBSTONE_US (600 * HBW_US_PER_S)

/* How long an instance that has announced its leaving may still take requests. */
#define HBW_MEMBER_LEAVING_US (10 * HBW_US_PER_S)

/* A longer gap between two ticks means that this process was paused. */
#define HBW_PAUSE_THRESHOLD_US (1 * HBW_US_PER_S)

/* Instances in each data centre that watch the platform's store if
   max_revocation_delay_us is 0 (see HbwReducerConfig). */
#define HBW_STORE_WATCHERS 2

/* Creates the membership of the instance SELF and marks it alive. */
HbwMembership *hbw_membership_create (const HbwMemberUpdate *self);
void hbw_membership_destroy (HbwMembership *membership);

/* Adds an address that is pinged regularly until it belongs to a member. */
void hbw_membership_add_seed (HbwMembership *membership, const char *address);

/* Replaces the seeds from the platform's list of instances by INSTANCES
   (HbwInstanceEntry). */
void hbw_membership_set_platform_seeds (HbwMembership *membership,
                                        const GPtrArray *instances);

/* Sends the probes that are due, and updates members whose timeouts have passed. */
void hbw_membership_tick (HbwMembership *membership, HbwContext *context);

/* Handles PING, ACK and PROBE_FOR.  A message of another kind only shows that the
   sender is alive. */
void hbw_membership_handle_message (HbwMembership *membership, HbwContext *context,
                                    const HbwMessage *message);

/* Returns whether a member was marked dead at SINCE_US or later, and is not alive.
 */
gboolean hbw_membership_has_lost (const HbwMembership *membership, gint64 since_us);

/* Pings every other member of DATA_CENTRE (NULL: of all). */
void hbw_membership_ping_all (HbwMembership *membership, HbwContext *context,
                              const char *data_centre);

/* Notifies some members that this instance is leaving. */
void hbw_membership_leave (HbwMembership *membership, HbwContext *context);

/* Restarts probes and suspicion timeouts after this process was paused. */
void hbw_membership_resume (HbwMembership *membership, gint64 now_us);

/* Returns the address of a member that is not dead, or NULL. */
const char *hbw_membership_find_address (HbwMembership *membership,
                                         guint64 identity);

/* Returns the name of a member, or "" if it is unknown. */
const char *hbw_membership_find_name (HbwMembership *membership, guint64 identity);

/* Returns whether a member that may be running has the IP address HOST. */
gboolean hbw_membership_has_host (const HbwMembership *membership, const char *host);

gboolean hbw_membership_is_alive (HbwMembership *membership, guint64 identity);

/* Returns whether IDENTITY is a known member that is marked dead. */
gboolean hbw_membership_is_dead (HbwMembership *membership, guint64 identity);

/* Returns the live instance of DATA_CENTRE (NULL: of all) that owns KEY by
   rendezvous hashing, or 0. */
guint64 hbw_membership_find_owner (HbwMembership *membership,
                                   const char *data_centre, const char *key);

/* Returns the live instance of DATA_CENTRE (borrowed, until a member changes) that
   relays messages for the others there, or NULL: the one with the largest product of
   link and processor share, and of several the owner of KEY. */
const HbwMemberUpdate *hbw_membership_find_relay (HbwMembership *membership,
                                                  const char *data_centre,
                                                  const char *key);

/* Fills IDENTITIES with at most MAX live instances of all data centres, those with
   the largest product of link and processor share first, and of equal ones the
   oldest.  Returns their number. */
guint hbw_membership_list_largest (HbwMembership *membership, guint64 *identities,
                                   guint max);

/* Returns the bandwidth of this instance's machine, in Mbit/s; 0 if it is not known.
 */
guint hbw_membership_link_mbps (const HbwMembership *membership);

/* Fills IDENTITIES with at most MAX live instances of DATA_CENTRE (NULL: of all),
   first those with the addresses of the seeds if SEEDS_FIRST, in the order of the
   settings, then the others by rendezvous hashing for KEY.  Returns their number. */
guint hbw_membership_list_top (HbwMembership *membership, const char *data_centre,
                               const char *key, gboolean seeds_first,
                               guint64 *identities, guint max);

/* Returns the position of this instance among the seeds, or their number if it is
   none of them. */
guint hbw_membership_seed_position (const HbwMembership *membership);

/* Returns whether this instance is among the top COUNT of its data centre for KEY by
   rendezvous hashing. */
gboolean hbw_membership_is_self_in_top (HbwMembership *membership, const char *key,
                                        guint count);

/* Returns how many live instances of all data centres precede this one for KEY by
   rendezvous hashing. */
guint hbw_membership_rank (HbwMembership *membership, const char *key);

/* Pings the member IDENTITY.  Returns the number that the ack will carry, or 0 if it
   is neither alive nor suspect. */
guint64 hbw_membership_ping_member (HbwMembership *membership, HbwContext *context,
                                    guint64 identity);

/* Pings all seeds of the settings that are not known as members. */
void hbw_membership_ping_seeds (HbwMembership *membership, HbwContext *context);

/* Returns a random member of any data centre that is alive or suspect, or 0. */
guint64 hbw_membership_find_random (HbwMembership *membership, HbwContext *context);

/* Pings a random member of any data centre.  Returns the number that the ack will
   carry, or 0 if there is none. */
guint64 hbw_membership_ping_random (HbwMembership *membership, HbwContext *context);

/* Returns the number of live instances of DATA_CENTRE (NULL: of all), including this
   one. */
guint hbw_membership_count_alive (HbwMembership *membership,
                                  const char *data_centre);

/* Returns a number that increases with every change that may move ownership. */
guint64 hbw_membership_epoch (const HbwMembership *membership);

/* Sends MESSAGE to every other member of DATA_CENTRE (NULL: of all), also to those
   that are leaving. */
void hbw_membership_broadcast (HbwMembership *membership, HbwContext *context,
                               const char *data_centre, const HbwMessage *message);

/* Calls VISIT on each other member that is alive or suspect. */
void hbw_membership_foreach (HbwMembership *membership,
                             void (*visit) (const HbwMemberUpdate *member,
                                            void *data),
                             void *data);

/* Adds payload other than member updates to each outgoing ping. */
typedef void (*HbwPingDecorator) (HbwPing *ping, void *data);
void hbw_membership_set_ping_decorator (HbwMembership *membership,
                                        HbwPingDecorator decorator, void *data);

#endif
