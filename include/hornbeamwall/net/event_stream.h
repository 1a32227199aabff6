/*
 * event_stream - a stream of events (text/event-stream) cut into whole events
 *
 * Only whole events are passed on, so that a stream which breaks off in the middle
 * of one can be taken up by another server after the last whole one.
 */
#ifndef HORNBEAMWALL_NET_EVENT_STREAM_H
#define HORNBEAMWALL_NET_EVENT_STREAM_H

#include <glib.h>

/* Longest id of an event, in bytes, with its end mark. */
#define HBW_EVENT_ID_MAX 64

/* Largest event, in bytes. */
#define HBW_EVENT_MAX (1024 * 1024)

typedef struct HbwEventStream HbwEventStream;

HbwEventStream *hbw_event_stream_create (void);
void hbw_event_stream_destroy (HbwEventStream *stream);

/* Takes BYTES of the stream; returns FALSE where an event is too large. */
gboolean hbw_event_stream_feed (HbwEventStream *stream, const char *bytes,
                                gsize length);

/* Moves the next whole event, with the blank line that ends it, to the end of OUT.
   Events that are not after the last one are left out.  Returns FALSE where no whole
   event is left. */
gboolean hbw_event_stream_next (HbwEventStream *stream, GByteArray *out);

/* Moves what is left behind the last whole event to the end of OUT. */
void hbw_event_stream_rest (HbwEventStream *stream, GByteArray *out);

/* Forgets the part of an event that has come; another server goes on. */
void hbw_event_stream_cut (HbwEventStream *stream);

/* Returns whether part of an event has come. */
gboolean hbw_event_stream_is_cut (const HbwEventStream *stream);

/* Returns the id of the last whole event, or "". */
const char *hbw_event_stream_last_id (const HbwEventStream *stream);

/* Sets the id after which the stream begins. */
void hbw_event_stream_set_last_id (HbwEventStream *stream, const char *id);

#endif
