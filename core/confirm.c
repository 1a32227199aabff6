#include "hornbeamwall/core/confirm.h"

#include "hornbeamwall/core/membership.h"

struct HbwConfirm
{
  guint64 number; /* of the question that is open; 0 is none */
  guint64 peer;
  gint64 asked_us;
  guint turn;          /* which of the watchers is asked */
  gboolean unanswered; /* the last question */
};

HbwConfirm *
hbw_confirm_create (void)
{
  return g_new0 (HbwConfirm, 1);
}

void
hbw_confirm_destroy (HbwConfirm *confirm)
{
  g_free (confirm);
}

void
hbw_confirm_tick (HbwConfirm *confirm, HbwContext *context, gboolean watches)
{
  gint64 passed = context->now_us - confirm->asked_us;
  if (confirm->number != 0 && passed >= HBW_CONFIRM_WAIT_US)
    {
      confirm->number = 0;
      confirm->unanswered = TRUE;
      confirm->turn++;
    }
  if (watches || passed < HBW_CONFIRM_ASK_US)
    return;
  confirm->peer = hbw_membership_ranked (context->membership, HBW_WATCH_KEY,
                                         confirm->turn % HBW_WATCHERS);
  confirm->asked_us = context->now_us;
  confirm->number = hbw_membership_ask (context->membership, context, confirm->peer);
}

void
hbw_confirm_handle_ack (HbwConfirm *confirm, HbwContext *context,
                        const HbwMessage *message, gint64 version)
{
  const HbwPing *ping = &message->ping;
  if (confirm->number == 0 || ping->number != confirm->number
      || message->from != confirm->peer || ping->on_behalf_of != 0)
    return;
  confirm->number = 0;
  confirm->unanswered = FALSE;
  if (ping->confirmed_age_us < 0 || ping->versions[HBW_DOCUMENT_CATALOGUE] > version)
    return; /* the newer catalogue is on its way */
  context->confirmed_us
      = MAX (context->confirmed_us, confirm->asked_us - ping->confirmed_age_us);
}

gboolean
hbw_confirm_needs_store (const HbwConfirm *confirm, const HbwContext *context)
{
  return confirm->unanswered
         || context->now_us - context->confirmed_us > HBW_CONFIRM_AGE_US;
}
