/*
 * event - inputs of the reducer
 */
#ifndef HORNBEAMWALL_CORE_EVENT_H
#define HORNBEAMWALL_CORE_EVENT_H

#include "hornbeamwall/core/duty/duty_call.h"
#include "hornbeamwall/core/duty/duty_store.h"
#include "hornbeamwall/core/message.h"

/* Size of the request id that a caller supplies, in bytes, including the terminating
   NUL. */
#define HBW_CALLER_REQUEST_ID_MAX 64

typedef enum
{
  HBW_EVENT_TICK,
  HBW_EVENT_REQUEST_ARRIVED,
  HBW_EVENT_CALLER_GONE,
  HBW_EVENT_FIRST_TOKEN,
  HBW_EVENT_ATTEMPT_SILENT, /* the server is silent within a response */
  HBW_EVENT_ATTEMPT_ENDED,
  HBW_EVENT_LOAD_REPORT,
  HBW_EVENT_SERVER_RESPONDED,
  HBW_EVENT_SERVER_NOTICE,    /* what a server said of itself in a response */
  HBW_EVENT_SERVER_CHECKED,   /* result of HBW_EFFECT_CHECK_SERVER */
  HBW_EVENT_TUNNEL_ASKED,     /* another instance asks for a way to a server */
  HBW_EVENT_DOCUMENT_READ,    /* read from the platform's store */
  HBW_EVENT_SUSPECTS_READ,    /* read from the platform's store */
  HBW_EVENT_SUSPECTS_WRITTEN, /* result of HBW_EFFECT_STORE_SUSPECTS */
  HBW_EVENT_STORE_STATE,
  HBW_EVENT_CATALOGUE_CONFIRMED, /* the store reported its newest version */
  HBW_EVENT_MESSAGE,
  HBW_EVENT_DRAIN,            /* planned stop of this instance */
  HBW_EVENT_SEED,             /* an address to contact for members */
  HBW_EVENT_COLLECT_VERSIONS, /* ask every instance for its document versions */
  HBW_EVENT_DUTY_STORE,       /* result of HBW_EFFECT_DUTY_STORE */
  HBW_EVENT_DUTY_CALL,        /* result of HBW_EFFECT_DUTY_CALL */
  HBW_EVENT_CALLER_MEMORY,    /* what is held for callers and servers has changed */
} HbwEventKind;

typedef struct
{
  guint64 sequence; /* assigned by the runtime, never reused */
  HbwRequestSpec spec;
  char caller_request_id[HBW_CALLER_REQUEST_ID_MAX]; /* the caller's own id of the
                                                        request, or "" */
  gint64 catalogue_age_us; /* of the catalogue by which it was admitted */
  gint64 catalogue_version;
  gboolean is_resumption; /* its caller has a part of the stream already */
  char resumed_id[HBW_CALLER_REQUEST_ID_MAX]; /* the caller's id of the request that
                                                 began the stream, or "" */
} HbwArrival;

typedef struct
{
  guint64 sequence;
  guint attempt;
  gint64 first_token_us; /* from the start of the attempt */
  gboolean is_event;     /* of a stream of events: the caller gets it at once */
  gboolean is_error;     /* the status is 4xx or 5xx */
} HbwAttemptFirstToken;

/* How the end of a response is known. */
typedef enum
{
  HBW_RESPONSE_END_NONE, /* it has not ended, or was not complete */
  HBW_RESPONSE_END_LENGTH,
  HBW_RESPONSE_END_CHUNKS,
  HBW_RESPONSE_END_CLOSE, /* by the orderly end of its connection */
  HBW_RESPONSE_END_COUNT,
} HbwResponseEnd;

typedef struct
{
  guint64 sequence;
  guint attempt;
  HbwOutcome outcome;
  HbwResponseEnd response_end; /* BROKEN: CLOSE if the response could be complete,
                                  but the server refuses connections since */
  HbwReason reason;            /* with DENIED */
  gboolean is_rejected; /* COMPLETE: the status says that the request is at fault,
                           so that its prompt was not read */
  gboolean response_started; /* bytes of the response were sent to the caller */
  gint64 first_token_us;     /* from the start of the attempt; 0 if none came */
  gint64 inter_token_us;
  gint64 longest_gap_us; /* between two pieces of the response */
  guint tokens;
  gboolean tunnel_failed; /* NOT_CONNECTED: the other instance did not open it */
  gboolean server_silent; /* no byte came from the server, on any connection, for a
                             while before the attempt ended */
} HbwAttemptEnd;

typedef struct
{
  char server[HBW_NAME_MAX];
  guint running;
  guint waiting;
  gint64 age_us;
  guint pace_percent; /* time that work takes now, of the usual; 0: unknown */
} HbwLoadReport;

typedef struct
{
  guint64 sequence;
  guint attempt;
} HbwAttemptSilence;

/* A backend server has just sent bytes on a connection. */
typedef struct
{
  char server[HBW_NAME_MAX];
  gint64 connection_opened_us;
  gboolean is_tunnelled;
} HbwServerResponse;

typedef struct
{
  guint64 sequence; /* assigned by the runtime, never reused */
  char server[HBW_NAME_MAX];
  char peer_host[HBW_ADDRESS_MAX]; /* IP address of the instance that asks */
} HbwTunnelRequest;

typedef enum
{
  HBW_SERVER_LIMIT_NONE, /* the response names no limit */
  HBW_SERVER_LIMIT_NAMED,
  HBW_SERVER_LIMIT_UNREADABLE, /* it names one that is no number: nothing changes */
} HbwServerLimitKind;

/* What a backend server said of itself in the head of a response. */
typedef struct
{
  char server[HBW_NAME_MAX];
  HbwServerLimitKind limit_kind;
  double limit; /* requests per second that it takes from all instances together */
  gboolean is_leaving;
  gint64
      pause_us;  /* it wants no request from this instance for so long; 0 is none */
  guint brittle; /* it fails if it has to turn away more requests in a second for
                    want of room; 0: it does not say so */
} HbwServerNotice;

/* Returns whether the response named nothing. */
gboolean hbw_server_notice_is_empty (const HbwServerNotice *notice);

typedef enum
{
  HBW_SERVER_CHECK_REFUSED,   /* no process listens at the address */
  HBW_SERVER_CHECK_ACCEPTED,  /* a process listens */
  HBW_SERVER_CHECK_NO_ANSWER, /* the server or the link to it is silent */
  HBW_SERVER_CHECK_COUNT,
} HbwServerCheckKind;

typedef struct
{
  char server[HBW_NAME_MAX];
  HbwServerCheckKind kind;
} HbwServerCheckResult;

const char *hbw_server_check_result_name (HbwServerCheckKind kind);

/* The store reported that VERSION is the catalogue that it has. */
typedef struct
{
  gint64 requested_us; /* when the request to the store was sent */
  gint64 version;
  gint64 era; /* of the store */
} HbwCatalogueConfirmation;

/* Result of reading one document from the store, which may take several calls. */
typedef struct
{
  HbwDocumentKind document;
  guint calls;
  guint cut_watches;      /* watches among them that were cut off */
  guint outages;          /* that have ended since the start */
  guint kept;             /* entries that are missing from the store and kept */
  gboolean up;            /* the last call succeeded */
  gint64 failed_after_us; /* duration of the last call, if it failed */
  gint64 era; /* of the store, as in its last response; 0 if it sent none */
} HbwStoreState;

/* Suspects in the platform's store after a read or a write. */
typedef struct
{
  guint calls;      /* made to the store */
  gboolean written; /* WRITTEN: the write took effect */
  gint64 version;   /* HBW_VERSION_ABSENT if the object does not exist */
  gint64 era;       /* of the store; 0 if it sent none */
  GBytes *body;     /* READ: borrowed for the step; NULL if it does not exist */
} HbwStoredSuspects;

/* Memory that is held for callers and servers, and what was given up for want of it
   since the start.  All are 0 without a limit. */
typedef struct
{
  guint64 used_bytes;
  guint64 limit_bytes;
  guint64 idle_closed;      /* idle connections */
  guint64 heads_closed;     /* connections with an incomplete head */
  guint64 bodies_refused;   /* requests with an incomplete body */
  guint64 backlogs_closed;  /* connections whose caller took no response */
  guint64 requests_refused; /* for which there was no room */
} HbwCallerMemory;

typedef struct
{
  HbwEventKind kind;
  gint64 now_us;
  gint64 wall_us; /* the machine's clock, microseconds since 1970; 0: unknown */
  union
  {
    HbwArrival arrival;
    guint64 sequence; /* CALLER_GONE */
    HbwCallerMemory caller_memory;
    HbwAttemptFirstToken first_token;
    HbwAttemptSilence silence;
    HbwAttemptEnd end;
    HbwLoadReport load;
    HbwServerResponse response;
    HbwServerCheckResult check;
    HbwTunnelRequest tunnel;
    HbwServerNotice notice;
    HbwDocument document; /* body borrowed for the step; NULL if it does not exist */
    HbwStoreState store;
    HbwStoredSuspects suspects;
    HbwCatalogueConfirmation confirmation;
    char seed[HBW_ADDRESS_MAX];
    HbwMessage message;            /* borrowed for the step */
    HbwDutyStoreResult duty_store; /* body borrowed for the step */
    HbwDutyResult duty_call;
  };
} HbwEvent;

#endif
