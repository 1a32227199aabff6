/*
 * membership - which instances are alive, by probes and gossip
 *
 * Every probe interval an instance pings one other instance of its data centre,
 * asks others to ping it when no answer comes, suspects it, and takes it for
 * dead when it does not refute the suspicion.  News travels on pings and answers,
 * so that the cost for each instance does not grow with their number.  Now and
 * then an instance of another data centre, or one taken for dead, is pinged too,
 * so that cuts heal.
 */
#ifndef HORNBEAMWALL_CORE_MEMBERSHIP_H
#define HORNBEAMWALL_CORE_MEMBERSHIP_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

#define HBW_PROBE_INTERVAL_US (250 * HBW_US_PER_MS)
#define HBW_PROBE_INDIRECT_US (120 * HBW_US_PER_MS) /* then others are asked */
#define HBW_PROBE_TIMEOUT_US (400 * HBW_US_PER_MS)  /* then it is suspect */
#define HBW_SUSPECT_US (600 * HBW_US_PER_MS)        /* then it is dead */
#define HBW_REMOTE_INTERVAL_US (1 * HBW_US_PER_S)
#define HBW_MEMBER_FORGET_US (600 * HBW_US_PER_S)

/* A gap between two ticks after which this process counts as paused. */
#define HBW_PAUSE_US (1 * HBW_US_PER_S)

/* Instances that watch the platform's store, in each data centre, where nobody asks
   for the age of what they know. */
#define HBW_WATCHERS 2

/* Creates the membership of the instance SELF, which is alive. */
HbwMembership *hbw_membership_create (const HbwMemberUpdate *self);
void hbw_membership_destroy (HbwMembership *membership);

/* Adds an address to ask for members while it is not one itself. */
void hbw_membership_add_seed (HbwMembership *membership, const char *address);

/* Forgets the seeds that came from the platform's list and takes new ones. */
void hbw_membership_set_listed (HbwMembership *membership,
                                const GPtrArray *instances);

/* Sends what is due and judges who is overdue. */
void hbw_membership_tick (HbwMembership *membership, HbwContext *context);

/* Handles PING, ACK and PROBE_FOR; other kinds only prove the sender alive. */
void hbw_membership_handle (HbwMembership *membership, HbwContext *context,
                            const HbwMessage *message);

/* Pings every other member of DATA_CENTRE, or of all where it is NULL. */
void hbw_membership_ping_all (HbwMembership *membership, HbwContext *context,
                              const char *data_centre);

/* Tells some members that this instance leaves. */
void hbw_membership_leave (HbwMembership *membership, HbwContext *context);

/* Lets probes start anew after this process was paused. */
void hbw_membership_resume (HbwMembership *membership, gint64 now_us);

/* Returns the address of a member that is not dead, or NULL. */
const char *hbw_membership_address (HbwMembership *membership, guint64 identity);

/* Returns whether IDENTITY is taken for alive. */
gboolean hbw_membership_is_alive (HbwMembership *membership, guint64 identity);

/* Returns whether IDENTITY is known and taken for dead. */
gboolean hbw_membership_is_dead (HbwMembership *membership, guint64 identity);

/* Returns the live instance of DATA_CENTRE that KEY falls to, or 0; with a NULL
   data centre, of all. */
guint64 hbw_membership_owner (HbwMembership *membership, const char *data_centre,
                              const char *key);

/* Returns whether this instance is among the first COUNT of its data centre for
   KEY. */
gboolean hbw_membership_is_ranked (HbwMembership *membership, const char *key,
                                   guint count);

/* Pings the member IDENTITY; returns the number that its answer will bear, or 0. */
guint64 hbw_membership_ask (HbwMembership *membership, HbwContext *context,
                            guint64 identity);

/* Returns how many instances of DATA_CENTRE (NULL: of all) are alive, with this
   one. */
guint hbw_membership_count (HbwMembership *membership, const char *data_centre);

/* Rises with every change that may move ownership. */
guint64 hbw_membership_epoch (const HbwMembership *membership);

/* Posts MESSAGE to every other member of DATA_CENTRE, or of all where it is NULL. */
void hbw_membership_broadcast (HbwMembership *membership, HbwContext *context,
                               const char *data_centre, const HbwMessage *message);

/* Calls VISIT on each other member that is not dead. */
void hbw_membership_foreach (HbwMembership *membership,
                             void (*visit) (const HbwMemberUpdate *member,
                                            void *data),
                             void *data);

/* Fills in what every ping carries besides members; set by the reducer. */
typedef void (*HbwPingDecorator) (HbwPing *ping, void *data);
void hbw_membership_set_decorator (HbwMembership *membership,
                                   HbwPingDecorator decorator, void *data);

#endif
