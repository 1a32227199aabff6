/*
 * delta - differences between two versions of a document
 *
 * A delta is a JSON merge patch (RFC 7396) with a hash of the resulting document, so
 * that applying it to the wrong base version is detected.
 */
#ifndef HORNBEAMWALL_CORE_DOCUMENTS_DELTA_H
#define HORNBEAMWALL_CORE_DOCUMENTS_DELTA_H

#include <glib.h>

/* Returns the delta from OLD to NEW, or NULL if either is not a JSON object or the
   delta would not be smaller than NEW. */
GBytes *hbw_delta_create (GBytes *old, GBytes *new);

/* Returns the document that results from applying DELTA to OLD, or NULL if either is
   invalid or the hash does not match. */
GBytes *hbw_delta_apply (GBytes *old, GBytes *delta);

#endif
