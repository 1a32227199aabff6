/*
 * effect - outputs of the reducer, carried out by the runtime
 */
#ifndef HORNBEAMWALL_CORE_EFFECT_H
#define HORNBEAMWALL_CORE_EFFECT_H

#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/duty/duty_call.h"
#include "hornbeamwall/core/duty/duty_store.h"
#include "hornbeamwall/core/message.h"

typedef enum
{
  HBW_EFFECT_START_ATTEMPT,
  HBW_EFFECT_CANCEL_ATTEMPT,
  HBW_EFFECT_REFUSE_REQUEST,
  HBW_EFFECT_FINISH_REQUEST, /* the last attempt's outcome is final */
  HBW_EFFECT_SEND_MESSAGE,
  HBW_EFFECT_POLL_LOAD,         /* request a load report from a backend server */
  HBW_EFFECT_CHECK_SERVER,      /* see whether a backend server listens */
  HBW_EFFECT_ANSWER_TUNNEL,     /* in answer to HBW_EVENT_TUNNEL_ASKED */
  HBW_EFFECT_PUBLISH_CATALOGUE, /* a new catalogue is active */
  HBW_EFFECT_STORE_SUSPECTS,    /* write the suspects to the platform's store */
  HBW_EFFECT_READ_SUSPECTS,     /* read them from there */
  HBW_EFFECT_LOG,
  HBW_EFFECT_DUTY_STORE, /* call the store for the duty lease */
  HBW_EFFECT_DUTY_CALL,  /* call the duty interface */
} HbwEffectKind;

typedef enum
{
  HBW_EXECUTED_NO,
  HBW_EXECUTED_UNKNOWN,
} HbwExecuted;

typedef struct
{
  guint64 sequence;
  guint attempt;
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  gint64 valid_for_us; /* how long the grant is valid */
  HbwTier tier;
  gint64 first_byte_timeout_us; /* timeout until the response starts; 0 is none */
  gint64 stall_timeout_us; /* longest pause within the response; 0 is no limit */
  char tunnel_address[HBW_ADDRESS_MAX]; /* where another instance accepts a tunnel to
                                           the server; "": connect directly */
  gint64 opened_since_us; /* idle connections to it that are older are not used */
} HbwStartAttempt;

typedef struct
{
  guint64 sequence;
  HbwReason reason;
  HbwExecuted executed;
  gint64 retry_after_us;
} HbwRefuseRequest;

typedef struct
{
  guint64 sequence;
  gboolean is_complete; /* the response is the whole one */
} HbwFinishRequest;

typedef struct
{
  guint64 to; /* identity of the peer; 0 if only its address is known */
  char address[HBW_ADDRESS_MAX]; /* set at the end of the step if it is empty */
  HbwMessage message;            /* owned */
} HbwSendMessage;

typedef struct
{
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
} HbwPollLoad;

typedef struct
{
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
} HbwCheckServer;

typedef struct
{
  guint64 sequence;
  char address[HBW_ADDRESS_MAX]; /* of the backend server; "": the tunnel is refused
                                  */
} HbwAnswerTunnel;

/* Conditional write. */
typedef struct
{
  gint64 base_version; /* that is replaced; HBW_VERSION_ABSENT creates the object */
  GBytes *body;        /* owned */
} HbwStoreSuspects;

/* Call of the duty interface under the lease. */
typedef struct
{
  HbwDutyCall call; /* owned */
  guint64 fencing_token;
  gint64 send_before_us; /* on the clock of the events; not sent from then on */
} HbwSendDutyCall;

typedef struct
{
  HbwLogEvent number;
  char *text; /* owned */
} HbwLogLine;

typedef struct
{
  HbwEffectKind kind;
  union
  {
    HbwStartAttempt start;
    guint64 sequence; /* CANCEL_ATTEMPT */
    HbwFinishRequest finish;
    HbwRefuseRequest refuse;
    HbwSendMessage send;
    HbwPollLoad poll;
    HbwCheckServer check;
    HbwAnswerTunnel tunnel;
    HbwCatalogue *catalogue; /* owned reference */
    HbwStoreSuspects suspects;
    HbwLogLine log;
    HbwDutyStoreCall duty_store; /* owned */
    HbwSendDutyCall duty_call;
  };
} HbwEffect;

/* List of effects, in the order in which they were added. */
typedef struct HbwEffects HbwEffects;

HbwEffects *hbw_effects_create (void);
void hbw_effects_destroy (HbwEffects *effects);

/* Removes and frees all effects. */
void hbw_effects_clear (HbwEffects *effects);

guint hbw_effects_count (const HbwEffects *effects);
const HbwEffect *hbw_effects_get (const HbwEffects *effects, guint index);

/* Returns an effect for changes (borrowed). */
HbwEffect *hbw_effects_edit (HbwEffects *effects, guint index);

/* Removes and frees one effect. */
void hbw_effects_remove (HbwEffects *effects, guint index);

/* Adds an empty effect of KIND and returns it (borrowed, valid until another effect
   is added). */
HbwEffect *hbw_effects_add (HbwEffects *effects, HbwEffectKind kind);

/* Adds a log line. */
void hbw_effects_log (HbwEffects *effects, HbwLogEvent number, const char *format,
                      ...) G_GNUC_PRINTF (3, 4);

#endif
