/*
 * ingress_path - the ways on which requests are sent to backend servers
 *
 * Internal to core/ingress.c.  See server_path.h.
 */
#ifndef HORNBEAMWALL_CORE_INGRESS_PATH_H
#define HORNBEAMWALL_CORE_INGRESS_PATH_H

#include "hornbeamwall/core/request.h"
#include "hornbeamwall/core/server_path.h"

/* Chooses the way of the attempt START of REQUEST. */
void hbw_ingress_path_choose (HbwContext *context, HbwRequest *request,
                              HbwStartAttempt *start);

/* Handles that the server of the attempt of REQUEST has sent something. */
void hbw_ingress_path_handle_heard (HbwContext *context, const HbwRequest *request);

/* Learns from the end of an attempt.  Returns whether the end may be due to the
   path, so that it is no evidence against the server. */
gboolean hbw_ingress_path_handle_end (HbwContext *context, const HbwRequest *request,
                                      const HbwAttemptEnd *end);

/* Learns from the requests in progress, a list of HbwRequest, and requests checks of
   servers. */
void hbw_ingress_path_tick (HbwContext *context, const HbwTopology *topology,
                            const struct cds_list_head *requests);

#endif
