/*
 * document_edit - read-modify-write of a document in the platform's store
 *
 * A change is accepted only after its conditional write (compare-and-swap on the
 * version) has succeeded.  Each change has an id that is kept in the document's list
 * of recent changes.  If the response to a write is lost, the document is read back
 * and searched for the id.
 */
#ifndef HORNBEAMWALL_NET_DOCUMENT_EDIT_H
#define HORNBEAMWALL_NET_DOCUMENT_EDIT_H

#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/net/store_client.h"

#include <jansson.h>

/* Number of recent change ids that a document keeps. */
#define HBW_DOCUMENT_EDIT_IDS_MAX 16

/* Changes ROOT in place.  Returns FALSE and sets ERROR if that is not possible. */
typedef gboolean (*HbwDocumentEditFunction) (json_t *root, void *data,
                                             HbwError *error);

/* Validates the changed document before it is written.  Returns FALSE and sets ERROR
   if it is not valid. */
typedef gboolean (*HbwDocumentEditCheck) (const char *text, gsize length,
                                          HbwError *error);

typedef struct
{
  const char *object_name;  /* the document's name in the store */
  const char *initial_text; /* document to start from if the store has none */
  gint64 expected_version;  /* version that the document must have; 0 is any */
  HbwDocumentEditFunction change;
  void *data;
  HbwDocumentEditCheck check;
} HbwDocumentEdit;

typedef struct
{
  gboolean accepted;
  gint64 version; /* of the changed document, or the current one */
  char *body;     /* owned by the caller: the document as written, or NULL */
} HbwDocumentEditResult;

/* Reads, changes and writes the document.  Blocks.  Unless a version is expected, a
   write that conflicts with another one is retried on the newer document.  If the
   change is not accepted, the kind of ERROR is CONFLICT, DOCUMENT (not valid),
   NOT_FOUND or STORE, or the one that the edit function has set. */
HbwDocumentEditResult hbw_document_edit_run (HbwStoreClient *client,
                                             const HbwDocumentEdit *edit,
                                             HbwError *error);

#endif
