#include "hornbeamwall/core/context.h"

void
hbw_context_send (HbwContext *context, guint64 to, const HbwMessage *message)
{
  if (to == context->self)
    {
      HbwMessage *copy = g_new (HbwMessage, 1);
      hbw_message_copy (copy, message);
      copy->from = context->self;
      g_queue_push_tail (context->loopback, copy);
      return;
    }
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_SEND_MESSAGE);
  effect->send.to = to;
  hbw_message_copy (&effect->send.message, message);
  effect->send.message.from = context->self;
}
