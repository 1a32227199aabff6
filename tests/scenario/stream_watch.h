/*
 * stream_watch - what callers get of streams that may be resumed
 *
 * A stream is what one caller gets over all its requests for it.  Its events have to
 * come from servers of one version.
 */
#ifndef HORNBEAMWALL_TESTS_STREAM_WATCH_H
#define HORNBEAMWALL_TESTS_STREAM_WATCH_H

#include "hornbeamwall/core/event.h"

typedef struct StreamWatch StreamWatch;

/* One stream; belongs to its watch. */
typedef struct Stream Stream;

StreamWatch *stream_watch_create (void);
void stream_watch_destroy (StreamWatch *watch);

/* Adds a stream.  If IS_UNNAMED, its caller does not name the request that began the
   stream, and begins it anew instead of resuming it every other time. */
Stream *stream_watch_add (StreamWatch *watch, gboolean is_unnamed);

/* Counts the caller's request, and fills in what it says of the stream. */
void stream_watch_fill (StreamWatch *watch, Stream *stream, HbwArrival *arrival);

/* Handles the first event that a request got from a server of VERSION. */
void stream_watch_record_event (StreamWatch *watch, Stream *stream, guint64 request,
                                const char *version);

/* Returns how many streams have events of two versions. */
guint stream_watch_mixed_count (const StreamWatch *watch);

/* Return the share of the callers' requests for new streams, and of those that
   resume one, that got an event; 1 without requests. */
double stream_watch_begun_share (const StreamWatch *watch);
double stream_watch_resumed_share (const StreamWatch *watch);

guint stream_watch_resumption_count (const StreamWatch *watch);

#endif
