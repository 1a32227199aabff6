#include "hornbeamwall/core/documents.h"

#include "hornbeamwall/core/delta.h"

typedef struct
{
  gint64 version;
  GBytes *body;
  GBytes *delta; /* from here to the newest; made when first asked for */
} Past;

typedef struct
{
  gint64 version;  /* adopted */
  gint64 rejected; /* highest version found not valid */
  GBytes *body;
  gint64 asked_us;
  gboolean ask_whole;
  Past past[HBW_DOCUMENT_HISTORY];
  guint next_past;
} Held;

struct HbwDocuments
{
  Held held[HBW_DOCUMENT_COUNT];
};

static void
past_clear (Past *past)
{
  g_clear_pointer (&past->body, g_bytes_unref);
  g_clear_pointer (&past->delta, g_bytes_unref);
}

/* Keeps the version that is about to be replaced. */
static void
keep_past (Held *held)
{
  for (guint i = 0; i < HBW_DOCUMENT_HISTORY; i++)
    g_clear_pointer (&held->past[i].delta, g_bytes_unref);
  if (held->body == NULL)
    return;
  Past *past = &held->past[held->next_past];
  held->next_past = (held->next_past + 1) % HBW_DOCUMENT_HISTORY;
  past_clear (past);
  past->version = held->version;
  past->body = held->body;
  held->body = NULL;
}

/* Returns the difference from VERSION to the newest (borrowed), or NULL. */
static GBytes *
delta_from (Held *held, gint64 version)
{
  for (guint i = 0; i < HBW_DOCUMENT_HISTORY; i++)
    {
      Past *past = &held->past[i];
      if (past->body == NULL || past->version != version)
        continue;
      if (past->delta == NULL)
        past->delta = hbw_delta_make (past->body, held->body);
      return past->delta;
    }
  return NULL;
}

HbwDocuments *
hbw_documents_create (void)
{
  HbwDocuments *documents = g_new0 (HbwDocuments, 1);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      documents->held[i].asked_us = -HBW_DOCUMENT_ASK_US;
      documents->held[i].version = HBW_VERSION_UNKNOWN;
      documents->held[i].rejected = HBW_VERSION_UNKNOWN;
    }
  return documents;
}

void
hbw_documents_destroy (HbwDocuments *documents)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      Held *held = &documents->held[i];
      g_clear_pointer (&held->body, g_bytes_unref);
      for (guint k = 0; k < HBW_DOCUMENT_HISTORY; k++)
        past_clear (&held->past[k]);
    }
  g_free (documents);
}

HbwOffer
hbw_documents_compare (const HbwDocuments *documents, HbwDocumentKind kind,
                       gint64 version)
{
  const Held *held = &documents->held[kind];
  if (version > MAX (held->version, held->rejected))
    return HBW_OFFER_NEWER;
  return version < held->version ? HBW_OFFER_OLDER : HBW_OFFER_SAME;
}

void
hbw_documents_adopt (HbwDocuments *documents, HbwDocumentKind kind, gint64 version,
                     GBytes *body)
{
  Held *held = &documents->held[kind];
  keep_past (held);
  held->ask_whole = FALSE;
  held->body = body != NULL ? g_bytes_ref (body) : NULL;
  held->version = version;
}

GBytes *
hbw_documents_complete (HbwDocuments *documents, const HbwDocument *document)
{
  Held *held = &documents->held[document->kind];
  if (document->base == 0)
    return g_bytes_ref (document->body);
  GBytes *whole = held->version == document->base && held->body != NULL
                      ? hbw_delta_apply (held->body, document->body)
                      : NULL;
  held->ask_whole = whole == NULL;
  return whole;
}

void
hbw_documents_reject (HbwDocuments *documents, HbwDocumentKind kind, gint64 version)
{
  documents->held[kind].rejected = version;
}

gint64
hbw_documents_version (const HbwDocuments *documents, HbwDocumentKind kind)
{
  return documents->held[kind].version;
}

void
hbw_documents_ask (HbwDocuments *documents, HbwContext *context, guint64 from,
                   const HbwPing *ping)
{
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    {
      Held *held = &documents->held[i];
      HbwOffer offer = hbw_documents_compare (documents, (HbwDocumentKind) i,
                                              ping->versions[i]);
      if (offer != HBW_OFFER_NEWER || ping->versions[i] <= HBW_VERSION_ABSENT
          || context->now_us - held->asked_us < HBW_DOCUMENT_ASK_US)
        continue;
      held->asked_us = context->now_us;
      HbwMessage message = { .kind = HBW_MESSAGE_DOCUMENT_ASK };
      message.document.kind = (HbwDocumentKind) i;
      message.document.version
          = held->ask_whole ? HBW_VERSION_UNKNOWN : held->version;
      hbw_context_post (context, from, &message);
    }
}

void
hbw_documents_answer (HbwDocuments *documents, HbwContext *context, guint64 to,
                      const HbwDocument *ask)
{
  Held *held = &documents->held[ask->kind];
  if (held->version <= ask->version || held->body == NULL)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_DOCUMENT };
  message.document.kind = ask->kind;
  message.document.version = held->version;
  GBytes *delta = delta_from (held, ask->version);
  message.document.base = delta != NULL ? ask->version : 0;
  message.document.body = delta != NULL ? delta : held->body;
  hbw_context_post (context, to, &message);
}
