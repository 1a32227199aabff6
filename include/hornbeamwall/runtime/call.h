/*
 * call - the mailbox of one request, between the control thread and the traffic
 * thread that serves its caller
 *
 * Counted by references; thread-safe.
 */
#ifndef HORNBEAMWALL_RUNTIME_CALL_H
#define HORNBEAMWALL_RUNTIME_CALL_H

#include "hornbeamwall/runtime/order.h"

typedef struct HbwCall HbwCall;

/* Creates the mailbox of request SEQUENCE, or NULL where no descriptor is left. */
HbwCall *hbw_call_create (guint64 sequence);
HbwCall *hbw_call_ref (HbwCall *call);
void hbw_call_unref (HbwCall *call);

guint64 hbw_call_sequence (const HbwCall *call);

/* Returns a descriptor that is readable while an order waits. */
int hbw_call_descriptor (const HbwCall *call);

void hbw_call_post (HbwCall *call, const HbwOrder *order);

/* Takes the next order if there is one. */
gboolean hbw_call_take (HbwCall *call, HbwOrder *order);

/* Waits for an order, or for the caller at CALLER_FD (-1: not watched) to go away.
   TIMEOUT_MS of -1 waits for ever. */
void hbw_call_wait (HbwCall *call, int caller_fd, int timeout_ms, HbwOrder *order);

/* Returns whether the peer of a connected socket has closed it. */
gboolean hbw_caller_is_gone (int fd);

#endif
