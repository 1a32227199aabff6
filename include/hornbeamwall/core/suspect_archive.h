/*
 * suspect_archive - keeps the suspects in the platform's store
 *
 * What the instances know of requests that make servers fail is in their memory, and
 * all of them may be restarted at the same time.  One object of the store therefore
 * has all failures that are not cleared and all quarantined requests.  An instance
 * reads it when it starts.  The first instance by rendezvous hashing writes what is
 * not stored yet; if it does not, because it does not reach the store, the next ones
 * do so in turn.
 *
 * The object also says which era of the store is settled (see store_era.h), so that
 * instances which start need not wait for it.
 */
#ifndef HORNBEAMWALL_CORE_SUSPECT_ARCHIVE_H
#define HORNBEAMWALL_CORE_SUSPECT_ARCHIVE_H

#include "hornbeamwall/core/context.h"
#include "hornbeamwall/core/event.h"

typedef struct HbwSuspectArchive HbwSuspectArchive;

HbwSuspectArchive *hbw_suspect_archive_create (void);
void hbw_suspect_archive_destroy (HbwSuspectArchive *archive);

/* Merges what was read from the store.  An invalid object is logged, and replaced by
   the next write. */
void hbw_suspect_archive_handle_read (HbwSuspectArchive *archive,
                                      HbwContext *context,
                                      const HbwStoredSuspects *stored);

/* Handles that the store was restored and may have lost the object, or part of it:
   it is read again, and what it lacks is written. */
void hbw_suspect_archive_handle_restore (HbwSuspectArchive *archive,
                                         HbwContext *context);

void hbw_suspect_archive_handle_written (HbwSuspectArchive *archive,
                                         HbwContext *context,
                                         const HbwStoredSuspects *stored);

/* Returns whether the object was read since the start. */
gboolean hbw_suspect_archive_was_read (const HbwSuspectArchive *archive);

/* Writes the suspects if it is this instance's turn. */
void hbw_suspect_archive_tick (HbwSuspectArchive *archive, HbwContext *context);

#endif
