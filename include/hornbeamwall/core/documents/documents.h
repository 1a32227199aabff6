/*
 * documents - adopted versions of the platform's documents
 *
 * Documents come from the platform's store or from peers, and only a higher version
 * is ever adopted.  Pings carry the versions of their sender, and an instance
 * requests each document of which a peer has a newer version, from another peer if
 * the first one does not answer.  A peer that holds a recent version receives only a
 * delta.
 */
#ifndef HORNBEAMWALL_CORE_DOCUMENTS_DOCUMENTS_H
#define HORNBEAMWALL_CORE_DOCUMENTS_DOCUMENTS_H

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/context.h"

/* Minimum interval between two requests to the same peer for the same document, and
   timeout of a request for a complete one. */
#define HBW_DOCUMENT_REQUEST_INTERVAL_US (500 * HBW_US_PER_MS)

/* Timeout of a request that a delta may answer. */
#define HBW_DOCUMENT_DELTA_TIMEOUT_US (250 * HBW_US_PER_MS)

/* The same after one that was not answered, for a document of up to
   HBW_DOCUMENT_SMALL_BYTES: several answers to the same request cost little. */
#define HBW_DOCUMENT_FAILOVER_TIMEOUT_US (100 * HBW_US_PER_MS)
#define HBW_DOCUMENT_SMALL_BYTES ((gsize) 64 * 1024)

/* Number of previous versions that are kept, to compute deltas from. */
#define HBW_DOCUMENT_HISTORY 4

/* Size of all previous versions of a document that are kept, in bytes. */
#define HBW_DOCUMENT_HISTORY_BYTES_MAX ((gsize) 4 * 1024 * 1024)

/* Version of a document that is unknown, and of one that is known not to exist. */
#define HBW_VERSION_UNKNOWN (-1)
#define HBW_VERSION_ABSENT 0

typedef struct HbwDocuments HbwDocuments;

typedef enum
{
  HBW_VERSION_OLDER,
  HBW_VERSION_SAME,
  HBW_VERSION_NEWER,
} HbwVersionOrder;

HbwDocuments *hbw_documents_create (void);
void hbw_documents_destroy (HbwDocuments *documents);

/* Compares VERSION with the newest one that was adopted or rejected. */
HbwVersionOrder hbw_documents_compare_version (const HbwDocuments *documents,
                                               HbwDocumentKind kind, gint64 version);

/* Adopts BODY as VERSION, and takes a reference; BODY is NULL for
   HBW_VERSION_ABSENT. */
void hbw_documents_adopt (HbwDocuments *documents, HbwDocumentKind kind,
                          gint64 version, GBytes *body);

/* Returns the complete body of a document from a peer (a new reference), or NULL if
   it is a delta that does not apply to the version held; the next request is then
   for the complete document. */
GBytes *hbw_documents_reconstruct (HbwDocuments *documents,
                                   const HbwDocument *document);

/* Records that VERSION is invalid, so that it is not requested again. */
void hbw_documents_reject (HbwDocuments *documents, HbwDocumentKind kind,
                           gint64 version);

/* Returns the version of the adopted document. */
gint64 hbw_documents_version (const HbwDocuments *documents, HbwDocumentKind kind);

/* Returns the body of the adopted document (borrowed), or NULL if there is none. */
GBytes *hbw_documents_body (const HbwDocuments *documents, HbwDocumentKind kind);

/* Records the versions that the sender of PING has, and requests the newer ones from
   it unless another peer was asked and has still time to answer. */
void hbw_documents_handle_ping (HbwDocuments *documents, HbwContext *context,
                                guint64 from, const HbwPing *ping);

/* Records that FROM has sent a document of KIND, of whatever version. */
void hbw_documents_handle_answer (HbwDocuments *documents, guint64 from,
                                  HbwDocumentKind kind);

/* Asks other peers in place of those that did not answer in time. */
void hbw_documents_tick (HbwDocuments *documents, HbwContext *context);

/* Sends a peer the document that it requested, if the version held here is newer
   than the peer's. */
void hbw_documents_handle_request (HbwDocuments *documents, HbwContext *context,
                                   guint64 to, const HbwDocument *request);

#endif
