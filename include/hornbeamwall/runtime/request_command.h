/*
 * request_command - commands of the control thread to the thread that serves a
 * request
 */
#ifndef HORNBEAMWALL_RUNTIME_REQUEST_COMMAND_H
#define HORNBEAMWALL_RUNTIME_REQUEST_COMMAND_H

#include "hornbeamwall/core/effect.h"

typedef enum
{
  HBW_REQUEST_COMMAND_NONE, /* no command; the wait timed out */
  HBW_REQUEST_COMMAND_START,
  HBW_REQUEST_COMMAND_CANCEL,
  HBW_REQUEST_COMMAND_REFUSE,
  HBW_REQUEST_COMMAND_FINISH,
  HBW_REQUEST_COMMAND_CALLER_GONE, /* the caller has closed its connection */
} HbwRequestCommandKind;

typedef struct
{
  HbwRequestCommandKind kind;
  HbwStartAttempt start;
  gint64 expires_us; /* START: time after which the attempt must not connect */
  HbwRefuseRequest refuse;
  gboolean is_complete; /* FINISH: the response is the whole one */
} HbwRequestCommand;

/* Receives the commands of all requests that have no mailbox.  Embedded in its
   owner. */
typedef struct HbwRequestCommandSink HbwRequestCommandSink;
typedef struct
{
  /* Called by the control thread; must not block. */
  void (*post) (HbwRequestCommandSink *sink, guint64 sequence,
                const HbwRequestCommand *command);
  /* The same, to check whether a server listens. */
  void (*post_check) (HbwRequestCommandSink *sink, const HbwCheckServer *check);
  /* The same, to answer another instance that asks for a tunnel. */
  void (*post_tunnel_answer) (HbwRequestCommandSink *sink,
                              const HbwAnswerTunnel *answer);
} HbwRequestCommandSinkClass;
struct HbwRequestCommandSink
{
  const HbwRequestCommandSinkClass *class;
};

#endif
