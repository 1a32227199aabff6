/*
 * http_parser - incremental parser for HTTP/1.1 messages
 *
 * A thin layer over the http_parser library: collects the head of a message,
 * delivers the body without its transfer coding, and stops after each complete
 * message.  A message whose end is ambiguous is an error.
 */
#ifndef HORNBEAMWALL_NET_PARSER_H
#define HORNBEAMWALL_NET_PARSER_H

#include <glib.h>

/* Size of a request method, in bytes, including the terminating null. */
#define HBW_METHOD_MAX 24

typedef struct
{
  char *name;
  char *value;
} HbwField;

/* The head of a request or a response. */
typedef struct
{
  char method[HBW_METHOD_MAX]; /* of a request */
  char *target;                /* of a request, as received */
  guint status;                /* of a response */
  GPtrArray *fields;           /* HbwField, in the order received */
  gsize size;                  /* of the target and all names and values, in bytes */
  gboolean keep_alive;
  gboolean chunked;
  gboolean has_length;
  guint64 length; /* of the body, if has_length is set */
} HbwHead;

typedef enum
{
  HBW_PARSER_REQUEST,
  HBW_PARSER_ANSWER,
} HbwParserKind;

typedef enum
{
  HBW_PARSER_MORE,  /* more bytes are needed */
  HBW_PARSER_ENDED, /* the message is complete */
  HBW_PARSER_ERROR, /* the bytes are not a valid message */
} HbwParserState;

typedef struct HbwParser HbwParser;

/* Callbacks of a parser; the structure is embedded in the owner's. */
typedef struct HbwParserUser HbwParserUser;
typedef struct
{
  /* The head is complete; hbw_parser_steal_head() transfers its ownership. */
  void (*handle_head) (HbwParserUser *handler, HbwHead *head);
  void (*handle_body) (HbwParserUser *handler, const char *bytes, gsize length);
} HbwParserUserClass;
struct HbwParserUser
{
  const HbwParserUserClass *class;
};

HbwParser *hbw_parser_create (HbwParserKind kind, HbwParserUser *handler);
void hbw_parser_destroy (HbwParser *parser);

/* Starts the next message.  IS_HEAD_RESPONSE: it is the response to a HEAD request,
   which has no body. */
void hbw_parser_reset (HbwParser *parser, gboolean is_head_response);

/* Parses BYTES up to the end of the message; sets USED to the bytes parsed. */
HbwParserState hbw_parser_feed (HbwParser *parser, const char *bytes, gsize length,
                                gsize *used);

/* Handles the end of the connection; returns whether it completes the message. */
gboolean hbw_parser_end (HbwParser *parser);

/* Returns whether a message has begun since the last reset. */
gboolean hbw_parser_has_begun (const HbwParser *parser);

/* Returns the size of the head so far, in bytes; 0 once it was transferred. */
gsize hbw_parser_head_size (const HbwParser *parser);

void hbw_head_destroy (HbwHead *head);

/* Transfers ownership of the head; valid in or after handle_head(). */
HbwHead *hbw_parser_steal_head (HbwParser *parser);

/* Returns the value of the first field called NAME (borrowed), or NULL. */
const char *hbw_head_find (const HbwHead *head, const char *name);

/* Returns the number of fields called NAME. */
guint hbw_head_count (const HbwHead *head, const char *name);

/* Returns whether NAME is one of the COUNT names in NAMES, ignoring case. */
gboolean hbw_field_is_among (const char *name, const char *const *names,
                             gsize count);

/* Returns whether the field NAME is hop-by-hop or frames the body, and so is never
   forwarded. */
gboolean hbw_field_is_hop (const char *name);

#endif
