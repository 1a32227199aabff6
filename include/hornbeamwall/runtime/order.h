/*
 * request_command - commands of the control thread to the thread that serves a
 * request
 */
#ifndef HORNBEAMWALL_RUNTIME_ORDER_H
#define HORNBEAMWALL_RUNTIME_ORDER_H

#include "hornbeamwall/core/effect.h"

typedef enum
{
  HBW_ORDER_NONE, /* no command; the wait timed out */
  HBW_ORDER_START,
  HBW_ORDER_CANCEL,
  HBW_ORDER_REFUSE,
  HBW_ORDER_FINISH,
  HBW_ORDER_GONE, /* the caller has closed its connection */
} HbwOrderKind;

typedef struct
{
  HbwOrderKind kind;
  HbwStartAttempt start;
  gint64 expires_us; /* START: time after which the attempt must not connect */
  HbwRefuseRequest refuse;
} HbwOrder;

/* Receives the commands of all requests that have no mailbox.  Embedded in its
   owner. */
typedef struct HbwOrderSink HbwOrderSink;
typedef struct
{
  /* Called by the control thread; must not block. */
  void (*post) (HbwOrderSink *sink, guint64 sequence, const HbwOrder *command);
} HbwOrderSinkClass;
struct HbwOrderSink
{
  const HbwOrderSinkClass *class;
};

#endif
