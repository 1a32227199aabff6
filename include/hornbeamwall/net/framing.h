/*
 * framing - strict checks of HTTP/1.1 framing that http_parser is lenient about
 *
 * Checks the same bytes as the parser, in pieces of any size.  Rejects messages that
 * another implementation could delimit or interpret differently (request smuggling):
 * field names that are no tokens, folded lines, unknown protocol versions, statuses
 * that are not three digits from 100 to 599, bare CR or LF, and chunks whose data
 * does not match their size.
 */
#ifndef HORNBEAMWALL_NET_FRAMING_H
#define HORNBEAMWALL_NET_FRAMING_H

#include <glib.h>

/* Size of a protocol version such as "HTTP/1.1", in bytes, including the terminating
   null and one byte by which a longer word is detected. */
#define HBW_HTTP_VERSION_MAX 10

typedef enum
{
  HBW_FRAMING_EMPTY_LINES, /* before the message */
  HBW_FRAMING_START_LINE,  /* of a response: its version */
  HBW_FRAMING_STATUS,
  HBW_FRAMING_REASON,
  HBW_FRAMING_FIELD_START, /* at the first byte of a header or trailer line */
  HBW_FRAMING_FIELD_NAME,
  HBW_FRAMING_FIELD_VALUE,
  HBW_FRAMING_HEAD_END, /* after the CR of the empty line that ends the head */
  HBW_FRAMING_BODY,
  HBW_FRAMING_CHUNK_SIZE,
  HBW_FRAMING_CHUNK_EXTENSION,
  HBW_FRAMING_CHUNK_DATA,
  HBW_FRAMING_CHUNK_DATA_END,
} HbwFramingState;

typedef struct
{
  HbwFramingState state;
  gboolean is_response;
  gboolean after_cr; /* the last byte was CR */
  char version[HBW_HTTP_VERSION_MAX];
  guint version_length;
  guint status; /* of a response */
  guint status_digits;
  guint size_digits;       /* of the chunk size */
  guint64 chunk_remaining; /* bytes of the chunk that are still to come */
} HbwFraming;

/* Returns the name of the part of a message that STATE belongs to, for the log. */
const char *hbw_framing_part_name (HbwFramingState state);

/* Starts the next message: a response if IS_RESPONSE is set, otherwise a request. */
void hbw_framing_reset (HbwFraming *framing, gboolean is_response);

/* Checks the part of BYTES that belongs to the head, or to trailers; sets USED to
   its length.  Returns FALSE if it is not well formed. */
gboolean hbw_framing_check_head (HbwFraming *framing, const char *bytes,
                                 gsize length, gsize *used);

/* Checks one line of a response's head, including CR LF, as an HTTP library delivers
   it.  A status line begins a new head, as after an interim response; other lines
   after the head are trailers, and leave it complete.  Returns FALSE if the line is
   not well formed. */
gboolean hbw_framing_check_line (HbwFraming *framing, const char *line,
                                 gsize length);

/* Returns whether the head is complete, with the empty line that ends it. */
gboolean hbw_framing_is_head_complete (const HbwFraming *framing);

/* Returns whether STATUS is a valid status code (RFC 9110, 15). */
gboolean hbw_framing_is_status (guint status);

/* Returns whether a message of the version in the head can be chunked (RFC 9112,
   6.1). */
gboolean hbw_framing_allows_chunks (const HbwFraming *framing);

/* Announces that the body is chunked. */
void hbw_framing_begin_chunks (HbwFraming *framing);

/* Checks BYTES of the body and its trailers; returns FALSE if they are not well
   formed. */
gboolean hbw_framing_check_body (HbwFraming *framing, const char *bytes,
                                 gsize length);

#endif
