/*
 * check_document - a catalogue, or a config of the platform, that is to be checked
 *
 * The form is told by the members: a config has routes or backends, or a spec with
 * them.
 */
#ifndef HORNBEAMWALL_CHECK_DOCUMENT_H
#define HORNBEAMWALL_CHECK_DOCUMENT_H

#include "hornbeamwall/core/catalogue_check.h"

typedef struct HbwCheckDocument HbwCheckDocument;

/* Parses TEXT as the running system does.  Errors become findings. */
HbwCheckDocument *hbw_check_document_create (const char *text, gsize length);
void hbw_check_document_destroy (HbwCheckDocument *document);

/* Adds findings about entries that have no effect or contradict each other.  A
   document with errors has none.  SETTINGS may be NULL. */
void hbw_check_document_check (HbwCheckDocument *document,
                               const HbwCheckSettings *settings);

/* Returns the findings (borrowed).  Paths point into the document as it was given.
 */
GPtrArray *hbw_check_document_findings (const HbwCheckDocument *document);

/* Returns the differences between two documents, a new array, or NULL if one of them
   is invalid.  Paths point into the catalogue to which a config is translated. */
GPtrArray *hbw_check_document_diff (const HbwCheckDocument *old_document,
                                    const HbwCheckDocument *new_document);

#endif
