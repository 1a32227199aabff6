/*
 * ingress_suspects - what the requests of this instance show of failing servers
 *
 * Internal to core/ingress.c.  Tells the quarantine how attempts ended and which
 * suspects wait or run here, has servers checked, and says which requests may not
 * run.
 */
#ifndef HORNBEAMWALL_CORE_INGRESS_SUSPECTS_H
#define HORNBEAMWALL_CORE_INGRESS_SUSPECTS_H

#include "hornbeamwall/core/request.h"
#include "hornbeamwall/core/topology.h"

typedef struct HbwIngressSuspects HbwIngressSuspects;

/* REQUESTS is a list of HbwRequest, borrowed. */
HbwIngressSuspects *
hbw_ingress_suspects_create (const struct cds_list_head *requests);
void hbw_ingress_suspects_destroy (HbwIngressSuspects *suspects);

/* Tells the quarantine whether a request with FINGERPRINT is waiting or running
   here. */
void hbw_ingress_suspects_update (const HbwIngressSuspects *suspects,
                                  HbwContext *context,
                                  const HbwFingerprint *fingerprint);

/* Records what the end of the attempt in progress shows of its server, the request
   and the parts of its prompt. */
void hbw_ingress_suspects_handle_end (HbwIngressSuspects *suspects,
                                      HbwContext *context, const HbwRequest *request,
                                      const HbwAttemptEnd *end);

/* Has the server checked after an attempt that ended while it was silent. */
void hbw_ingress_suspects_check_silent (HbwIngressSuspects *suspects,
                                        HbwContext *context,
                                        const HbwRequest *request);

/* Handles the result of HBW_EFFECT_CHECK_SERVER. */
void hbw_ingress_suspects_handle_check (HbwIngressSuspects *suspects,
                                        HbwContext *context,
                                        const HbwServerCheckResult *result);

/* Returns whether REQUEST is held or quarantined.  The owner that granted it may not
   have received the reports about it yet. */
gboolean hbw_ingress_suspects_may_not_run (const HbwContext *context,
                                           const HbwRequest *request);

/* Returns whether REQUEST is to be refused because it, or a part of its prompt, is
   quarantined; sets the time until that ends, in microseconds. */
gboolean hbw_ingress_suspects_is_refused (const HbwContext *context,
                                          const HbwRequest *request,
                                          gint64 *retry_after_us);

/* The same, because of a part only. */
gboolean hbw_ingress_suspects_is_part_refused (const HbwContext *context,
                                               const HbwRequest *request,
                                               gint64 *retry_after_us);

/* Returns whether a part was quarantined since the last call, so that requests which
   wait may have to be refused. */
gboolean hbw_ingress_suspects_take_verdicts (HbwIngressSuspects *suspects,
                                             const HbwContext *context);

/* Has servers checked as it is due.  TOPOLOGY is NULL while it is not known. */
void hbw_ingress_suspects_tick (HbwIngressSuspects *suspects, HbwContext *context,
                                const HbwTopology *topology);

#endif
