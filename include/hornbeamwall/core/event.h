/*
 * event - everything that can happen to the reducer
 */
#ifndef HORNBEAMWALL_CORE_EVENT_H
#define HORNBEAMWALL_CORE_EVENT_H

#include "hornbeamwall/core/message.h"

/* Longest id that a caller gives its request, in bytes, with its end mark. */
#define HBW_TRACE_MAX 64

typedef enum
{
  HBW_EVENT_TICK,
  HBW_EVENT_REQUEST_ARRIVED,
  HBW_EVENT_CALLER_GONE,
  HBW_EVENT_ATTEMPT_BEGUN, /* its first token has come */
  HBW_EVENT_ATTEMPT_ENDED,
  HBW_EVENT_LOAD_REPORT,
  HBW_EVENT_DOCUMENT, /* read from the platform's store */
  HBW_EVENT_STORE_STATE,
  HBW_EVENT_CONFIRMED, /* the newest catalogue was asked for and is known */
  HBW_EVENT_MESSAGE,
  HBW_EVENT_DRAIN,  /* planned stop of this instance */
  HBW_EVENT_SEED,   /* an address to ask for members */
  HBW_EVENT_SURVEY, /* ask every instance for its versions */
} HbwEventKind;

typedef struct
{
  guint64 sequence; /* given by the runtime, never used twice */
  HbwRequestSpec spec;
  char trace[HBW_TRACE_MAX]; /* the caller's own id of the request, or "" */
  gint64 catalogue_age_us;   /* by which it was admitted */
  gint64 catalogue_version;
} HbwArrival;

typedef struct
{
  guint64 sequence;
  guint attempt;
  gint64 first_token_us; /* from the start of the attempt */
} HbwAttemptBegin;

typedef struct
{
  guint64 sequence;
  guint attempt;
  HbwOutcome outcome;
  HbwReason reason;      /* with DENIED */
  gboolean answer_begun; /* bytes of this answer have reached the caller */
  gint64 first_token_us; /* from the start of the attempt; 0 where none came */
  gint64 inter_token_us;
  gint64 longest_gap_us; /* between two pieces of the answer */
  guint tokens;
} HbwAttemptEnd;

typedef struct
{
  char server[HBW_NAME_MAX];
  guint running;
  guint waiting;
  gint64 age_us;
} HbwLoadReport;

/* The store says that VERSION is the newest catalogue. */
typedef struct
{
  gint64 asked_us; /* when the store was asked */
  gint64 version;
} HbwConfirmation;

/* What became of the calls that one look at a document of the store took. */
typedef struct
{
  HbwDocumentKind document;
  guint calls;
  gboolean up; /* the last one was answered */
} HbwStoreState;

typedef struct
{
  HbwEventKind kind;
  gint64 now_us;
  union
  {
    HbwArrival arrival;
    guint64 sequence; /* CALLER_GONE */
    HbwAttemptBegin begin;
    HbwAttemptEnd end;
    HbwLoadReport load;
    HbwDocument document; /* body borrowed for the step; NULL: does not exist */
    HbwStoreState store;
    HbwConfirmation confirmation;
    char seed[HBW_ADDRESS_MAX];
    HbwMessage message; /* borrowed for the step */
  };
} HbwEvent;

#endif
