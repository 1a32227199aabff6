/*
 * duty_sender - sends one call of the duty interface and waits for its response
 */
#ifndef HORNBEAMWALL_RUNTIME_DUTY_SENDER_H
#define HORNBEAMWALL_RUNTIME_DUTY_SENDER_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/runtime/duty_client.h"

typedef struct
{
  const HbwDutyAdapter *adapter;
  const char *address; /* IP address and port of the duty interface */
  const char *name;    /* of this instance */
  HbwClock *clock;
  gint64 timeout_us; /* of a whole call */
} HbwDutySender;

/* Blocks for at most the timeout.  Nothing is sent from send_before_us of CALL on.
 */
HbwDutyOutcome hbw_duty_sender_send (const HbwDutySender *sender,
                                     const HbwSendDutyCall *call);

#endif
