/*
 * ingress_streams - binds the requests for a stream to the version that began it
 *
 * Internal to core/ingress.c.  A request is bound to a version by the first event
 * that its caller gets, or on arrival if it resumes a stream.  It is not sent to
 * servers of other versions from then on.  A server whose version is not known has
 * the version of no other.
 *
 * A caller that does not name the stream it resumes may have begun it more than
 * once. Its request is bound only if all instances that are asked have answered, and
 * none was lost lately: one that is out of reach may have begun the stream last.
 */
#ifndef HORNBEAMWALL_CORE_INGRESS_STREAMS_H
#define HORNBEAMWALL_CORE_INGRESS_STREAMS_H

#include "hornbeamwall/core/request.h"
#include "hornbeamwall/core/topology.h"

/* How long the other instances may take to say which version began a stream. */
#define HBW_STREAM_ANSWER_TIMEOUT_US (250 * HBW_US_PER_MS)

typedef enum
{
  HBW_RESUMPTION_READY,   /* the request may go on, and is bound if it resumes */
  HBW_RESUMPTION_ASKING,  /* other instances are asked for the version */
  HBW_RESUMPTION_UNKNOWN, /* nobody says which version began the stream */
} HbwResumption;

/* Prepares a request that has just arrived. */
HbwResumption hbw_ingress_streams_prepare (HbwContext *context, HbwRequest *request,
                                           const HbwArrival *arrival);

/* Notes that the instance FROM has answered. */
void hbw_ingress_streams_handle_answer (HbwRequest *request, guint64 from);

/* Returns what has become known for a request that is ASKING. */
HbwResumption hbw_ingress_streams_update (HbwContext *context, HbwRequest *request);

/* Records the version of the server by its entry when an attempt starts. */
void hbw_ingress_streams_start_attempt (const HbwTopology *topology,
                                        HbwRequest *request);

/* Binds the request: its caller got an event from the server of the attempt. */
void hbw_ingress_streams_handle_event (HbwContext *context,
                                       const HbwTopology *topology,
                                       HbwRequest *request);

/* Tells the others again what they may have lost, while an attempt runs. */
void hbw_ingress_streams_refresh (HbwContext *context, HbwRequest *request);

/* Returns whether a server that may run the request is in service. */
gboolean hbw_ingress_streams_has_server (const HbwContext *context,
                                         const HbwTopology *topology,
                                         const HbwRequest *request);

/* Returns whether the entry of the server of GRANT allows it to run the request. */
gboolean hbw_ingress_streams_accepts (const HbwTopology *topology,
                                      const HbwRequest *request,
                                      const HbwGrant *grant);

#endif
