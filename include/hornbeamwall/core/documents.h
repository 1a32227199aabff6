/*
 * documents - the platform's documents in their newest adopted versions
 *
 * A document is offered by the platform's store or by a peer; only a higher
 * version is ever adopted, whoever offers a lower one.  Peers tell each other
 * their versions on pings and ask for what is newer.  A peer that has one of the
 * last versions gets the difference only.
 */
#ifndef HORNBEAMWALL_CORE_DOCUMENTS_H
#define HORNBEAMWALL_CORE_DOCUMENTS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* A document is asked for again only after this time. */
#define HBW_DOCUMENT_ASK_US (500 * HBW_US_PER_MS)

/* Versions before the newest to which a difference can be made. */
#define HBW_DOCUMENT_HISTORY 4

/* Versions of a document of which nothing is known, and of one that is known not to
   exist. */
#define HBW_VERSION_UNKNOWN (-1)
#define HBW_VERSION_ABSENT 0

typedef struct HbwDocuments HbwDocuments;

typedef enum
{
  HBW_OFFER_OLDER,
  HBW_OFFER_SAME,
  HBW_OFFER_NEWER,
} HbwOffer;

HbwDocuments *hbw_documents_create (void);
void hbw_documents_destroy (HbwDocuments *documents);

/* Compares VERSION with the newest that was adopted or found not valid. */
HbwOffer hbw_documents_compare (const HbwDocuments *documents, HbwDocumentKind kind,
                                gint64 version);

/* Adopts BODY (takes a reference; NULL for HBW_VERSION_ABSENT). */
void hbw_documents_adopt (HbwDocuments *documents, HbwDocumentKind kind,
                          gint64 version, GBytes *body);

/* Returns the whole body of a document that a peer sent (a new reference), or NULL
   where it is a difference to another version than the one held; the next ask is
   then for the whole. */
GBytes *hbw_documents_complete (HbwDocuments *documents,
                                const HbwDocument *document);

/* Notes that VERSION is not valid and not to be asked for again. */
void hbw_documents_reject (HbwDocuments *documents, HbwDocumentKind kind,
                           gint64 version);

/* Returns the adopted version. */
gint64 hbw_documents_version (const HbwDocuments *documents, HbwDocumentKind kind);

/* Asks the sender of a ping for every document that it has newer. */
void hbw_documents_ask (HbwDocuments *documents, HbwContext *context, guint64 from,
                        const HbwPing *ping);

/* Answers a peer that asked for what is newer than its version. */
void hbw_documents_answer (HbwDocuments *documents, HbwContext *context, guint64 to,
                           const HbwDocument *ask);

#endif
