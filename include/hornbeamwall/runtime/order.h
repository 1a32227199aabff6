/*
 * order - what the control thread tells those who serve callers
 */
#ifndef HORNBEAMWALL_RUNTIME_ORDER_H
#define HORNBEAMWALL_RUNTIME_ORDER_H

#include "hornbeamwall/core/effect.h"

typedef enum
{
  HBW_ORDER_NONE, /* the time is over */
  HBW_ORDER_START,
  HBW_ORDER_CANCEL,
  HBW_ORDER_REFUSE,
  HBW_ORDER_FINISH,
  HBW_ORDER_GONE, /* the caller has closed its connection */
} HbwOrderKind;

typedef struct
{
  HbwOrderKind kind;
  HbwStart start;
  gint64 expires_us; /* START: the attempt must not connect after this */
  HbwRefuse refuse;
} HbwOrder;

/* Takes the orders of all requests; embedded in its owner. */
typedef struct HbwOrderSink HbwOrderSink;
typedef struct
{
  /* Called by the control thread; must not block. */
  void (*post) (HbwOrderSink *sink, guint64 sequence, const HbwOrder *order);
} HbwOrderSinkClass;
struct HbwOrderSink
{
  const HbwOrderSinkClass *class;
};

#endif
