/*
 * exchange_state - what the parts of an exchange share
 *
 * For net/exchange.c, net/exchange_answer.c and net/exchange_request.c.
 */
#ifndef HORNBEAMWALL_NET_EXCHANGE_STATE_H
#define HORNBEAMWALL_NET_EXCHANGE_STATE_H

#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/exchange.h"

/* Field by which a stream is taken up after an event. */
#define HBW_LAST_EVENT_ID "Last-Event-Id"

struct HbwExchange
{
  HbwUpstreamUser upstream_user;
  HbwTraffic *traffic;
  HbwDownstream *caller; /* NULL once it has its answer, or is gone */
  guint64 sequence;
  char trace[HBW_TRACE_MAX];
  HbwHead *head;
  GByteArray *body;
  gint64 received_us;
  HbwRequestSpec spec;
  gint64 catalogue_age_us; /* by which it was admitted */
  gint64 catalogue_version;
  gboolean submitted; /* the reducer knows it */

  HbwUpstream *upstream; /* of the attempt in progress, or NULL */
  guint attempt;
  char server[HBW_NAME_MAX];
  HbwTimer silence; /* the server has sent nothing for too long */
  gint64 silence_us;
  guint silences;  /* in a row */
  gint64 stall_us; /* longest pause of its answer; 0 is any */
  gint64 started_us;
  gint64 first_us; /* first and last piece of its answer; 0 is none */
  gint64 last_us;
  gint64 longest_gap_us;
  guint pieces;

  guint status;      /* of the answer that is passed on */
  char *fields;      /* of the same */
  gint64 length;     /* -1 is not known */
  gboolean whole;    /* the answer is read whole before it is passed on */
  gboolean streams;  /* it is a stream of events */
  gboolean framed;   /* its end is marked, not just the connection's */
  gboolean begun;    /* its head has been passed on */
  gboolean held;     /* a server's failure waits for the reducer's word */
  gboolean answered; /* the caller has its answer */
  GByteArray *answer;
  HbwEventStream *events;
};

/* What an upstream tells the exchange. */
extern const HbwUpstreamUserClass hbw_exchange_upstream_class;

/* Returns the time on the loop's clock. */
gint64 hbw_exchange_now (const HbwExchange *exchange);

/* Tells the reducer how the attempt in progress ended. */
void hbw_exchange_report_end (HbwExchange *exchange, HbwOutcome outcome);

/* Closes the connection of the attempt in progress, if there is one. */
void hbw_exchange_drop_attempt (HbwExchange *exchange);

/* Does both. */
void hbw_exchange_end_attempt (HbwExchange *exchange, HbwOutcome outcome);

/* Gives the server MOST_US to send something; 0 is as long as it takes. */
void hbw_exchange_set_silence (HbwExchange *exchange, gint64 most_us);
void hbw_exchange_handle_silence (HbwTimer *timer);

/* Passes on what was held back of the answer. */
void hbw_exchange_pass_rest (HbwExchange *exchange);

/* Ends the answer as complete. */
void hbw_exchange_finish_answer (HbwExchange *exchange);

/* Ends the answer so that the caller cannot take it for the whole one. */
void hbw_exchange_break_off (HbwExchange *exchange);

/* Returns the request for the server of the attempt in progress. */
GBytes *hbw_exchange_make_request (const HbwExchange *exchange);

#endif
