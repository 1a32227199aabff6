#include "hornbeamwall/core/documents.h"

typedef struct
{
  gint64 version;  /* adopted */
  gint64 rejected; /* highest version found not valid */
  GBytes *body;
  gint64 asked_us;
} Held;

struct HbwDocuments
{
  Held held[HBW_DOCUMENT_COUNT];
};

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
    g_clear_pointer (&documents->held[i].body, g_bytes_unref);
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
  g_clear_pointer (&held->body, g_bytes_unref);
  held->body = body != NULL ? g_bytes_ref (body) : NULL;
  held->version = version;
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
      message.document.version = held->version;
      hbw_context_post (context, from, &message);
    }
}

void
hbw_documents_answer (const HbwDocuments *documents, HbwContext *context, guint64 to,
                      const HbwDocument *ask)
{
  const Held *held = &documents->held[ask->kind];
  if (held->version <= ask->version || held->body == NULL)
    return;
  HbwMessage message = { .kind = HBW_MESSAGE_DOCUMENT };
  message.document.kind = ask->kind;
  message.document.version = held->version;
  message.document.body = held->body;
  hbw_context_post (context, to, &message);
}
