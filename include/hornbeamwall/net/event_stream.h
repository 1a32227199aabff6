/*
 * event_stream - splits a text/event-stream body into complete events
 *
 * Only complete events are forwarded, so that after a stream breaks off another
 * server can resume it after the last complete event.
 */
#ifndef HORNBEAMWALL_NET_EVENT_STREAM_H
#define HORNBEAMWALL_NET_EVENT_STREAM_H

#include <glib.h>

/* Size of an event id, in bytes, including the terminating null. */
#define HBW_EVENT_STREAM_ID_MAX 64

/* Largest event, in bytes. */
#define HBW_EVENT_STREAM_EVENT_MAX (1024 * 1024)

typedef struct HbwEventStream HbwEventStream;

HbwEventStream *hbw_event_stream_create (void);
void hbw_event_stream_destroy (HbwEventStream *stream);

/* Appends BYTES of the stream.  Returns FALSE if the buffered part would exceed
   HBW_EVENT_STREAM_EVENT_MAX. */
gboolean hbw_event_stream_feed (HbwEventStream *stream, const char *bytes,
                                gsize length);

/* Appends the next complete event, including the blank line that ends it, to OUT.
   Skips events whose numeric id is not greater than the last one: a server that
   resumes the stream may repeat them.  Returns FALSE if no complete event is
   buffered. */
gboolean hbw_event_stream_next (HbwEventStream *stream, GByteArray *out);

/* Moves the bytes after the last complete event to the end of OUT. */
void hbw_event_stream_take_remainder (HbwEventStream *stream, GByteArray *out);

/* Discards the incomplete event, before another server resumes the stream. */
void hbw_event_stream_discard_partial (HbwEventStream *stream);

/* Returns whether an incomplete event is buffered. */
gboolean hbw_event_stream_has_partial (const HbwEventStream *stream);

/* Returns the number of bytes that are buffered. */
gsize hbw_event_stream_buffered_bytes (const HbwEventStream *stream);

/* Returns the id of the last complete event, or "" (borrowed). */
const char *hbw_event_stream_last_id (const HbwEventStream *stream);

/* Sets the id of the event after which the stream starts. */
void hbw_event_stream_set_last_id (HbwEventStream *stream, const char *id);

#endif
