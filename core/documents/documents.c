#include "hornbeamwall/core/documents/documents.h"

#include "hornbeamwall/core/documents/delta.h"
#include "hornbeamwall/core/documents/document_offers.h"
#include "hornbeamwall/core/membership/membership.h"

typedef struct
{
  gint64 version;
  GBytes *body;
  GBytes *delta; /* from this version to the newest; computed on first use */
} PreviousVersion;

typedef struct
{
  gint64 version;          /* adopted */
  gint64 rejected_version; /* highest version that was invalid */
  GBytes *body;
  HbwDocumentOffers offers;  /* of newer versions, by peers */
  gboolean request_complete; /* the next request is for the complete document */
  PreviousVersion previous[HBW_DOCUMENT_HISTORY];
  guint next_previous;
} DocumentState;

struct HbwDocuments
{
  DocumentState states[HBW_DOCUMENT_COUNT];
};

static void
clear_previous_version (PreviousVersion *previous)
{
  g_clear_pointer (&previous->body, g_bytes_unref);
  g_clear_pointer (&previous->delta, g_bytes_unref);
}

/* Drops the oldest previous versions until the others fit. */
static void
limit_history (DocumentState *state)
{
  gsize size = 0;
  for (guint age = 1; age <= HBW_DOCUMENT_HISTORY; age++)
    {
      guint index = (state->next_previous + HBW_DOCUMENT_HISTORY - age)
                    % HBW_DOCUMENT_HISTORY;
      PreviousVersion *previous = &state->previous[index];
      if (previous->body != NULL)
        size += g_bytes_get_size (previous->body);
      if (size > HBW_DOCUMENT_HISTORY_BYTES_MAX)
        clear_previous_version (previous);
    }
}

/* Saves the current version before it is replaced, and drops all deltas. */
static void
save_previous_version (DocumentState *state)
{
  for (guint i = 0; i < HBW_DOCUMENT_HISTORY; i++)
    g_clear_pointer (&state->previous[i].delta, g_bytes_unref);
  if (state->body == NULL)
    return;
  PreviousVersion *previous = &state->previous[state->next_previous];
  state->next_previous = (state->next_previous + 1) % HBW_DOCUMENT_HISTORY;
  clear_previous_version (previous);
  previous->version = state->version;
  previous->body = state->body;
  state->body = NULL;
  limit_history (state);
}

/* Returns the delta from VERSION to the newest version (borrowed), or NULL. */
static GBytes *
get_delta_from (DocumentState *state, gint64 version)
{
  for (guint i = 0; i < HBW_DOCUMENT_HISTORY; i++)
    {
      PreviousVersion *previous = &state->previous[i];
      if (previous->body == NULL || previous->version != version)
        continue;
      if (previous->delta == NULL)
        previous->delta = hbw_delta_create (previous->body, state->body);
      return previous->delta;
    }
  return NULL;
}

HbwDocuments *
hbw_documents_create (void)
{
  HbwDocuments *documents = g_new0 (HbwDocuments, 1);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      documents->states[i].version = HBW_VERSION_UNKNOWN;
      documents->states[i].rejected_version = HBW_VERSION_UNKNOWN;
    }
  return documents;
}

void
hbw_documents_destroy (HbwDocuments *documents)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      DocumentState *state = &documents->states[i];
      g_clear_pointer (&state->body, g_bytes_unref);
      for (guint k = 0; k < HBW_DOCUMENT_HISTORY; k++)
        clear_previous_version (&state->previous[k]);
    }
  g_free (documents);
}

HbwVersionOrder
hbw_documents_compare_version (const HbwDocuments *documents, HbwDocumentKind kind,
                               gint64 version)
{
  const DocumentState *state = &documents->states[kind];
  if (version > MAX (state->version, state->rejected_version))
    return HBW_VERSION_NEWER;
  return version < state->version ? HBW_VERSION_OLDER : HBW_VERSION_SAME;
}

void
hbw_documents_adopt (HbwDocuments *documents, HbwDocumentKind kind, gint64 version,
                     GBytes *body)
{
  DocumentState *state = &documents->states[kind];
  save_previous_version (state);
  state->request_complete = FALSE;
  hbw_document_offers_cancel_request (&state->offers);
  state->body = body != NULL ? g_bytes_ref (body) : NULL;
  state->version = version;
}

GBytes *
hbw_documents_reconstruct (HbwDocuments *documents, const HbwDocument *document)
{
  DocumentState *state = &documents->states[document->kind];
  if (document->base_version == 0)
    return g_bytes_ref (document->body);
  GBytes *complete = state->version == document->base_version && state->body != NULL
                         ? hbw_delta_apply (state->body, document->body)
                         : NULL;
  state->request_complete = complete == NULL;
  return complete;
}

void
hbw_documents_reject (HbwDocuments *documents, HbwDocumentKind kind, gint64 version)
{
  documents->states[kind].rejected_version = version;
}

gint64
hbw_documents_version (const HbwDocuments *documents, HbwDocumentKind kind)
{
  return documents->states[kind].version;
}

GBytes *
hbw_documents_body (const HbwDocuments *documents, HbwDocumentKind kind)
{
  return documents->states[kind].body;
}

static void
log_unanswered (const DocumentState *state, HbwContext *context,
                HbwDocumentKind kind)
{
  const HbwDocumentOffers *offers = &state->offers;
  hbw_effects_log (
      context->effects, HBW_LOG_DOCUMENT_UNANSWERED,
      "document=%s version=%" G_GINT64_FORMAT " peer=%" G_GUINT64_FORMAT
      " instance=%s age_ms=%" G_GINT64_FORMAT,
      hbw_document_kind_name (kind), state->version, offers->asked_peer,
      hbw_membership_find_name (context->membership, offers->asked_peer),
      (context->now_us - offers->asked_us) / HBW_US_PER_MS);
}

static void
send_request (DocumentState *state, HbwContext *context, HbwDocumentKind kind,
              guint64 peer)
{
  hbw_document_offers_begin_request (&state->offers, peer, context->now_us);
  HbwMessage message = { .kind = HBW_MESSAGE_DOCUMENT_ASK };
  message.document.kind = kind;
  message.document.version
      = state->request_complete ? HBW_VERSION_UNKNOWN : state->version;
  hbw_context_send (context, peer, &message);
  hbw_effects_log (context->effects, HBW_LOG_DOCUMENT_REQUESTED,
                   "document=%s version=%" G_GINT64_FORMAT
                   " offered=%" G_GINT64_FORMAT " peer=%" G_GUINT64_FORMAT
                   " instance=%s",
                   hbw_document_kind_name (kind), state->version,
                   hbw_document_offers_version (&state->offers, peer), peer,
                   hbw_membership_find_name (context->membership, peer));
}

/* Returns how long a peer may take to answer; a complete document takes longer than
   a delta. */
static gint64
answer_timeout_us (const DocumentState *state)
{
  if (state->body == NULL || state->request_complete)
    return HBW_DOCUMENT_REQUEST_INTERVAL_US;
  gboolean is_small = g_bytes_get_size (state->body) <= HBW_DOCUMENT_SMALL_BYTES;
  return is_small && state->offers.unanswered > 0 ? HBW_DOCUMENT_FAILOVER_TIMEOUT_US
                                                  : HBW_DOCUMENT_DELTA_TIMEOUT_US;
}

/* Returns whether the answer to the last request is outstanding and not late. */
static gboolean
has_time_to_answer (const DocumentState *state, const HbwContext *context)
{
  const HbwDocumentOffers *offers = &state->offers;
  return offers->asked_peer != 0
         && context->now_us - offers->asked_us < answer_timeout_us (state);
}

/* Asks a peer for a newer version, unless another one has still time to answer.  One
   that has been silent is not waited for. */
static void
request_newer (DocumentState *state, HbwContext *context, HbwDocumentKind kind)
{
  HbwDocumentOffers *offers = &state->offers;
  gboolean is_awaited = has_time_to_answer (state, context);
  if (offers->asked_peer != 0 && !is_awaited)
    {
      log_unanswered (state, context, kind);
      hbw_document_offers_handle_timeout (offers);
    }
  gint64 known = MAX (state->version, state->rejected_version);
  guint64 peer = hbw_document_offers_select (offers, context, known);
  gboolean replaces_silent
      = hbw_document_offers_is_silent (offers, offers->asked_peer)
        && !hbw_document_offers_is_silent (offers, peer);
  if (peer != 0 && (!is_awaited || replaces_silent))
    send_request (state, context, kind, peer);
}

void
hbw_documents_handle_ping (HbwDocuments *documents, HbwContext *context,
                           guint64 from, const HbwPing *ping)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      DocumentState *state = &documents->states[i];
      HbwVersionOrder order = hbw_documents_compare_version (
          documents, (HbwDocumentKind) i, ping->versions[i]);
      if (order != HBW_VERSION_NEWER || ping->versions[i] <= HBW_VERSION_ABSENT)
        continue;
      hbw_document_offers_add (&state->offers, from, ping->versions[i],
                               context->now_us);
      request_newer (state, context, (HbwDocumentKind) i);
    }
}

void
hbw_documents_handle_answer (HbwDocuments *documents, guint64 from,
                             HbwDocumentKind kind)
{
  hbw_document_offers_handle_answer (&documents->states[kind].offers, from);
}

void
hbw_documents_tick (HbwDocuments *documents, HbwContext *context)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    request_newer (&documents->states[i], context, (HbwDocumentKind) i);
}

void
hbw_documents_handle_request (HbwDocuments *documents, HbwContext *context,
                              guint64 to, const HbwDocument *request)
{
  DocumentState *state = &documents->states[request->kind];
  if (state->version <= request->version || state->body == NULL)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_DOCUMENT };
  message.document.kind = request->kind;
  message.document.version = state->version;
  GBytes *delta = get_delta_from (state, request->version);
  message.document.base_version = delta != NULL ? request->version : 0;
  message.document.body = delta != NULL ? delta : state->body;
  hbw_context_send (context, to, &message);
}
