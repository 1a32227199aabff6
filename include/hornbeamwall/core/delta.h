/*
 * delta - differences between two versions of a document
 *
 * A difference is a JSON merge patch (RFC 7396) with a hash of the document that it
 * makes, so that one applied to another base than its own is found out.
 */
#ifndef HORNBEAMWALL_CORE_DELTA_H
#define HORNBEAMWALL_CORE_DELTA_H

#include <glib.h>

/* Returns the difference from OLD to NEW, or NULL where one is not a JSON object or
   the difference would not be smaller. */
GBytes *hbw_delta_make (GBytes *old, GBytes *new);

/* Returns the document that DELTA makes of OLD, or NULL where it does not fit. */
GBytes *hbw_delta_apply (GBytes *old, GBytes *delta);

#endif
