/*
 * http_parser - incremental parser for HTTP/1.1 messages
 *
 * A thin layer over the http_parser library: collects the head of a message,
 * delivers the body without its transfer coding, and stops after each complete
 * message.  A message whose end is ambiguous is an error.
 */
#ifndef HORNBEAMWALL_NET_HTTP_PARSER_H
#define HORNBEAMWALL_NET_HTTP_PARSER_H

#include "hornbeamwall/net/byte_buffer.h"
#include "hornbeamwall/net/framing.h"

/* Size of a request method, in bytes, including the terminating null. */
#define HBW_HTTP_METHOD_MAX 24

/* A header field, in the text of its head. */
typedef struct
{
  const char *name;
  const char *value;
} HbwHttpField;

/* The head of a request or a response. */
typedef struct
{
  char method[HBW_HTTP_METHOD_MAX]; /* of a request */
  guint status;                     /* of a response */
  HbwByteBuffer text; /* the target, then the name and the value of each field in the
                         order received, each with a terminating null */
  gsize fields_offset; /* in text, of the first field */
  gsize size;          /* of the target and all names and values, in bytes */
  gboolean keep_alive;
  gboolean chunked;
  gboolean has_length;
  guint64 length; /* of the body, if has_length is set */
} HbwHttpHead;

typedef enum
{
  HBW_HTTP_PARSER_REQUEST,
  HBW_HTTP_PARSER_RESPONSE,
} HbwHttpParserKind;

typedef enum
{
  HBW_HTTP_PARSER_INCOMPLETE, /* more bytes are needed */
  HBW_HTTP_PARSER_COMPLETE,   /* the message is complete */
  HBW_HTTP_PARSER_ERROR,      /* the bytes are not a valid message */
} HbwHttpParserState;

typedef struct HbwHttpParser HbwHttpParser;

/* Callbacks of a parser; the structure is embedded in the owner's. */
typedef struct HbwHttpParserHandler HbwHttpParserHandler;
typedef struct
{
  /* The head is complete; hbw_http_parser_steal_head() transfers its ownership. */
  void (*handle_head) (HbwHttpParserHandler *handler, HbwHttpHead *head);
  void (*handle_body) (HbwHttpParserHandler *handler, const char *bytes,
                       gsize length);
} HbwHttpParserHandlerClass;
struct HbwHttpParserHandler
{
  const HbwHttpParserHandlerClass *class;
};

HbwHttpParser *hbw_http_parser_create (HbwHttpParserKind kind,
                                       HbwHttpParserHandler *handler);
void hbw_http_parser_destroy (HbwHttpParser *parser);

/* Starts the next message.  IS_HEAD_RESPONSE: it is the response to a HEAD request,
   which has no body. */
void hbw_http_parser_reset (HbwHttpParser *parser, gboolean is_head_response);

/* Parses BYTES up to the end of the message; sets USED to the bytes parsed. */
HbwHttpParserState hbw_http_parser_feed (HbwHttpParser *parser, const char *bytes,
                                         gsize length, gsize *used);

/* Handles the end of the connection; returns whether it completes the message. */
gboolean hbw_http_parser_handle_eof (HbwHttpParser *parser);

/* Returns whether a message has begun since the last reset. */
gboolean hbw_http_parser_has_begun (const HbwHttpParser *parser);

/* Returns the part of the message at which parsing stopped. */
HbwFramingState hbw_http_parser_position (const HbwHttpParser *parser);

/* Returns the bytes that the parser and its head occupy. */
gsize hbw_http_parser_cost (const HbwHttpParser *parser);

/* Returns the size of the head so far, in bytes; 0 once it was transferred. */
gsize hbw_http_parser_head_size (const HbwHttpParser *parser);

void hbw_http_head_destroy (HbwHttpHead *head);

/* Returns the bytes that the head occupies. */
gsize hbw_http_head_cost (const HbwHttpHead *head);

/* Returns the target of a complete request, as received (borrowed). */
const char *hbw_http_head_target (const HbwHttpHead *head);

/* Sets FIELD to the field after it, or to the first one if its name is NULL. Returns
   FALSE after the last one. */
gboolean hbw_http_head_next (const HbwHttpHead *head, HbwHttpField *field);

/* Transfers ownership of the head; valid in or after handle_head(). */
HbwHttpHead *hbw_http_parser_steal_head (HbwHttpParser *parser);

/* Returns the value of the first field called NAME (borrowed), or NULL. */
const char *hbw_http_head_find (const HbwHttpHead *head, const char *name);

/* Returns the number of fields called NAME. */
guint hbw_http_head_count (const HbwHttpHead *head, const char *name);

/* Returns whether NAME is one of the COUNT names in NAMES, ignoring case. */
gboolean hbw_http_field_is_among (const char *name, const char *const *names,
                                  gsize count);

/* Returns whether the field NAME is hop-by-hop or frames the body, and so is never
   forwarded. */
gboolean hbw_http_field_is_hop_by_hop (const char *name);

#endif
