/*
 * protocol_adapter - maps the header fields of an interface to internal values
 *
 * An interface is the HTTP protocol of callers and backend servers; the setting
 * "interface" selects it.  The native interface has no adapter.
 *
 * An adapter reads and writes the heads of HTTP messages.  It makes no decisions and
 * has no state; the data path is the same for every adapter.
 */
#ifndef HORNBEAMWALL_NET_PROTOCOL_ADAPTER_H
#define HORNBEAMWALL_NET_PROTOCOL_ADAPTER_H

#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/effect.h"
#include "hornbeamwall/core/event.h"
#include "hornbeamwall/net/http_parser.h"

typedef struct HbwProtocolAdapter HbwProtocolAdapter;

/* What the head of a server's response states besides its status. */
typedef struct
{
  /* Id of the request that it responds to, or "". */
  char request_id[HBW_CALLER_REQUEST_ID_MAX];
  gboolean not_executed; /* the server states that it did not execute the request */
  gboolean claims_not_executed; /* callers infer the same from the status */
  gboolean misdirected; /* it is not the server that the request was addressed to */
  gboolean has_seal;    /* the server itself produced it, not an intermediary */
  gboolean has_load;
  guint running;
  guint waiting;
  guint pace_percent;     /* time that work takes now, of the usual; 0: unknown */
  HbwServerNotice notice; /* without the server's id */
} HbwResponseInfo;

/* What is sent to a backend server in addition to the caller's fields. */
typedef struct
{
  const HbwRequestSpec *spec;
  const char *server;
  gint64 remaining_us; /* until the deadline */
} HbwForwardedRequest;

typedef struct
{
  const char *name;

  /* Returns whether HEAD is a readiness probe of this instance. */
  gboolean (*is_readiness_probe) (const HbwHttpHead *head);

  /* Copies the id that the caller gave to its request, or "". */
  void (*read_request_id) (const HbwHttpHead *head, char *request_id, gsize size);

  /* Copies the id of the caller's request that began the stream that this one
     resumes, or "" if it names none or one of SIZE bytes or more. */
  void (*read_resumed_id) (const HbwHttpHead *head, char *request_id, gsize size);

  /* Fills in INPUT from HEAD; its strings belong to HEAD or to SCRATCH. */
  void (*read_admission_input) (const HbwHttpHead *head, GStringChunk *scratch,
                                HbwAdmissionInput *input);

  /* Returns whether a caller's field is forwarded to the server. */
  gboolean (*forwards_field) (const char *name);

  /* Appends the fields that this instance itself sends to the server. */
  void (*write_fields) (GString *text, const HbwForwardedRequest *forwarded);

  /* Fills in INFO from the head of a server's response. */
  void (*read_response) (const HbwHttpHead *head, HbwResponseInfo *info);

  /* Returns the status of a refusal; STATUS is the default. */
  guint (*refusal_status) (const HbwRefuseRequest *refuse, guint status);
} HbwProtocolAdapterClass;

struct HbwProtocolAdapter
{
  const HbwProtocolAdapterClass *class;
};

#endif
