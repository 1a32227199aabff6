/*
 * front - how one interface names what callers and backend servers say
 *
 * A front reads and writes heads; it decides nothing and keeps no state.  The data
 * path is the same behind every front.
 */
#ifndef HORNBEAMWALL_NET_FRONT_H
#define HORNBEAMWALL_NET_FRONT_H

#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/net/parser.h"

typedef struct HbwFront HbwFront;

/* What the head of a server's answer says besides its status. */
typedef struct
{
  char trace[HBW_TRACE_MAX]; /* of the request that it answers; "" is not said */
  gboolean unrun;            /* the server says that it did not run the request */
  gboolean misdirected;      /* and that it is not the server that was expected */
  gboolean genuine;          /* it bears the mark of a server's own answer */
  gboolean has_load;
  guint running;
  guint waiting;
} HbwAnswerFacts;

/* What is told to a backend server besides what the caller sent. */
typedef struct
{
  const HbwRequestSpec *spec;
  const char *server;
  gint64 remaining_us; /* until the answer is of no use */
} HbwOutgoing;

typedef struct
{
  const char *name;

  /* Returns whether HEAD asks if this instance takes callers. */
  gboolean (*asks_readiness) (const HbwHead *head);

  /* Copies the id that the caller gave its request, or "". */
  void (*read_trace) (const HbwHead *head, char *trace, gsize size);

  /* Fills in ASK from HEAD; the strings are HEAD's, or belong to SCRATCH. */
  void (*read_ask) (const HbwHead *head, GStringChunk *scratch, HbwAsk *ask);

  /* Returns whether a caller's field is passed on. */
  gboolean (*passes_field) (const char *name);

  /* Adds the fields that the system itself sets for the server. */
  void (*write_fields) (GString *text, const HbwOutgoing *outgoing);

  void (*read_answer) (const HbwHead *head, HbwAnswerFacts *facts);

  /* Returns the status that a refusal bears here. */
  guint (*refusal_status) (const HbwRefuse *refuse, guint status);
} HbwFrontClass;

struct HbwFront
{
  const HbwFrontClass *class;
};

#endif
