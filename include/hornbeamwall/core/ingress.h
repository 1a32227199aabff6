/*
 * ingress - requests whose callers are connected to this instance
 *
 * Decides how each request ends: whether it is retried or refused, and whether a
 * refusal may state that the request did not run.  Shard owners decide only when
 * and on which server an attempt may start.
 */
#ifndef HORNBEAMWALL_CORE_INGRESS_H
#define HORNBEAMWALL_CORE_INGRESS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/core/limiter.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/shard_router.h"

/* Default limit on the attempts of one request that may have reached a backend
   server. */
#define HBW_ATTEMPTS_MAX 4

/* Maximum number of requests that one instance holds at once. */
#define HBW_REQUESTS_MAX 4096

/* A waiting request is sent again to the shard's owner after this interval, which
   doubles each time, up to the maximum.  Attempts in progress use the maximum. */
#define HBW_REFRESH_INTERVAL_US (1 * HBW_US_PER_S)
#define HBW_REFRESH_INTERVAL_MAX_US (8 * HBW_US_PER_S)

typedef struct HbwIngress HbwIngress;

/* Returns the identity of the instance that owns a shard, or 0. */
typedef guint64 (*HbwOwnerLookup) (const HbwShardKey *key, void *data);

HbwIngress *hbw_ingress_create (HbwOwnerLookup lookup, void *data,
                                const HbwRetryLimits *retry_limits);
void hbw_ingress_destroy (HbwIngress *ingress);

/* Sets the topology (borrowed) from the platform's server list; NULL while no list
   is known. */
void hbw_ingress_set_topology (HbwIngress *ingress, const HbwTopology *topology);

void hbw_ingress_handle_arrival (HbwIngress *ingress, HbwContext *context,
                                 const HbwArrival *arrival);
/* Handles that the instance FROM has said what it knows of the stream KEY. */
void hbw_ingress_handle_stream_version (HbwIngress *ingress, HbwContext *context,
                                        guint64 from, guint64 key);

/* Handles that FINGERPRINT is a suspect, as a peer reported. */
void hbw_ingress_handle_suspect (HbwIngress *ingress, HbwContext *context,
                                 const HbwFingerprint *fingerprint);

void hbw_ingress_handle_caller_gone (HbwIngress *ingress, HbwContext *context,
                                     guint64 sequence);
void hbw_ingress_handle_first_token (HbwIngress *ingress, HbwContext *context,
                                     const HbwAttemptFirstToken *first_token);

/* Cancels the attempt if the request may be sent to another server; otherwise it
   goes on, as the silent server may, too. */
void hbw_ingress_handle_silence (HbwIngress *ingress, HbwContext *context,
                                 const HbwAttemptSilence *silence);
void hbw_ingress_handle_attempt_end (HbwIngress *ingress, HbwContext *context,
                                     const HbwAttemptEnd *end);
/* Handles the result of HBW_EFFECT_CHECK_SERVER. */
void hbw_ingress_handle_server_check (HbwIngress *ingress, HbwContext *context,
                                      const HbwServerCheckResult *result);
void hbw_ingress_handle_grant (HbwIngress *ingress, HbwContext *context,
                               guint64 from, const HbwGrant *grant);
void hbw_ingress_handle_refusal (HbwIngress *ingress, HbwContext *context,
                                 const HbwRefusal *refusal);

/* Ends overdue requests and refreshes the others with their owners. */
void hbw_ingress_tick (HbwIngress *ingress, HbwContext *context);

/* Refuses every request that arrives at CLOSED_AT_US or later, and every one that
   waits for a server at WAITING_UNTIL_US or later. */
void hbw_ingress_drain (HbwIngress *ingress, gint64 closed_at_us,
                        gint64 waiting_until_us);

guint hbw_ingress_request_count (const HbwIngress *ingress);
HbwLimiter *hbw_ingress_limiter (HbwIngress *ingress);
HbwShardRouter *hbw_ingress_shard_router (HbwIngress *ingress);

#endif
