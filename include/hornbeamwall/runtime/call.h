/*
 * mailbox - queue of commands from the control thread to the thread that serves one
 * request
 *
 * Reference counted.  All functions are thread-safe.
 */
#ifndef HORNBEAMWALL_RUNTIME_CALL_H
#define HORNBEAMWALL_RUNTIME_CALL_H

#include "hornbeamwall/runtime/order.h"

typedef struct HbwCall HbwCall;

/* Creates the mailbox of request SEQUENCE.  Returns NULL if no file descriptor is
   available. */
HbwCall *hbw_call_create (guint64 sequence);
HbwCall *hbw_call_ref (HbwCall *mailbox);
void hbw_call_unref (HbwCall *mailbox);

guint64 hbw_call_sequence (const HbwCall *mailbox);

/* Returns a descriptor that is readable while a command is queued. */
int hbw_call_descriptor (const HbwCall *mailbox);

void hbw_call_post (HbwCall *mailbox, const HbwOrder *command);

/* Removes the oldest command and stores it in COMMAND.  Returns FALSE if the mailbox
   is empty. */
gboolean hbw_call_take (HbwCall *mailbox, HbwOrder *command);

/* Waits for a command, or until the caller closes its connection CALLER_FD (-1: not
   watched), which stores HBW_ORDER_GONE in COMMAND.  Stores HBW_ORDER_NONE after
   TIMEOUT_MS; -1 waits without a timeout. */
void hbw_call_wait (HbwCall *mailbox, int caller_fd, int timeout_ms,
                    HbwOrder *command);

/* Returns whether the peer of a connected socket has closed it. */
gboolean hbw_caller_is_gone (int fd);

#endif
