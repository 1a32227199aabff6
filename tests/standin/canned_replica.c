#include "canned_replica.h"

typedef struct
{
  ReplicaResponder base;
  CannedResponse *response;
} CannedResponder;

static gboolean
respond (const ReplicaResponder *base, int fd, const char *attempt_id)
{
  const CannedResponder *responder = (const CannedResponder *) base;
  canned_response_send (responder->response, fd, attempt_id);
  return responder->response->end == CANNED_RESPONSE_KEEPS;
}

static void
clear (ReplicaResponder *base)
{
  CannedResponder *responder = (CannedResponder *) base;
  canned_response_free (responder->response);
}

static const ReplicaResponderClass responder_class = { respond, clear };

void
replica_set_canned_response (Replica *replica, const CannedResponse *response)
{
  CannedResponder *responder = g_rc_box_new0 (CannedResponder);
  responder->base.class = &responder_class;
  responder->response = canned_response_copy (response);
  replica_set_responder (replica, &responder->base);
}
