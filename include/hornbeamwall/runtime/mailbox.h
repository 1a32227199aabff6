/*
 * mailbox - queue of commands from the control thread to the thread that serves one
 * request
 *
 * Reference counted.  All functions are thread-safe.
 */
#ifndef HORNBEAMWALL_RUNTIME_MAILBOX_H
#define HORNBEAMWALL_RUNTIME_MAILBOX_H

#include "hornbeamwall/runtime/request_command.h"

typedef struct HbwMailbox HbwMailbox;

/* Creates the mailbox of request SEQUENCE.  Returns NULL if no file descriptor is
   available. */
HbwMailbox *hbw_mailbox_create (guint64 sequence);
HbwMailbox *hbw_mailbox_ref (HbwMailbox *mailbox);
void hbw_mailbox_unref (HbwMailbox *mailbox);

guint64 hbw_mailbox_request_sequence (const HbwMailbox *mailbox);

/* Returns a descriptor that is readable while a command is queued. */
int hbw_mailbox_event_fd (const HbwMailbox *mailbox);

void hbw_mailbox_post (HbwMailbox *mailbox, const HbwRequestCommand *command);

/* Removes the oldest command and stores it in COMMAND.  Returns FALSE if the mailbox
   is empty. */
gboolean hbw_mailbox_pop (HbwMailbox *mailbox, HbwRequestCommand *command);

/* Waits for a command, or until the caller closes its connection CALLER_FD (-1: not
   watched), which stores HBW_REQUEST_COMMAND_CALLER_GONE in COMMAND.  Stores
   HBW_REQUEST_COMMAND_NONE after TIMEOUT_MS; -1 waits without a timeout. */
void hbw_mailbox_wait (HbwMailbox *mailbox, int caller_fd, int timeout_ms,
                       HbwRequestCommand *command);

/* Returns whether the peer of a connected socket has closed it. */
gboolean hbw_socket_is_closed_by_peer (int fd);

#endif
