/*
 * duty_client - makes the calls for the duty lease: to the platform's store, and to
 * its duty interface
 *
 * Each kind has its own thread and is made one at a time, in the order in which it
 * was queued.  Immediately before a call of the duty interface is sent, on the open
 * connection, the thread that sends it checks that the lease has not expired.
 */
#ifndef HORNBEAMWALL_RUNTIME_DUTY_CLIENT_H
#define HORNBEAMWALL_RUNTIME_DUTY_CLIENT_H

#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/runtime/control.h"
#include "hornbeamwall/runtime/shared_object.h"

/* Form of the calls.  Adapters are static objects and never freed. */
typedef struct
{
  const HbwSharedObjectAdapter *object; /* with the lease */
  const char *stale_path;   /* GET reads it; costs less, may be an older revision */
  const char *holder_field; /* header field of a duty call: the instance's name */
  const char *token_field;  /* the same: the fencing token */

  /* Returns the body of CALL, owned by the caller, and sets PATH (static). */
  char *(*format_call) (const HbwDutyCall *call, const char **path);

  /* Returns what the STATUS of a response says. */
  HbwDutyOutcome (*outcome) (guint status);
} HbwDutyAdapter;

typedef struct HbwDutyClient HbwDutyClient;

/* Starts the threads.  Returns NULL and sets ERROR if that is not possible. */
HbwDutyClient *hbw_duty_client_create (HbwControl *control,
                                       const HbwSettings *settings, HbwError *error);

/* Waits for the calls in progress to end. */
void hbw_duty_client_destroy (HbwDutyClient *client);

/* Queues a call to the store; its result is submitted as HBW_EVENT_DUTY_STORE. */
void hbw_duty_client_enqueue_store (HbwDutyClient *client,
                                    const HbwDutyStoreCall *call);

/* The same for a call of the duty interface; HBW_EVENT_DUTY_CALL. */
void hbw_duty_client_enqueue_call (HbwDutyClient *client,
                                   const HbwSendDutyCall *call);

#endif
