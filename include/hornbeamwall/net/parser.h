/*
 * parser - HTTP/1.1 messages as they arrive, in pieces of any size
 *
 * A thin layer over the http_parser library: it collects the head of a message,
 * hands on the body without its framing, and stops after each whole message.  A
 * message whose end could be read in two ways is an error.
 */
#ifndef HORNBEAMWALL_NET_PARSER_H
#define HORNBEAMWALL_NET_PARSER_H

#include <glib.h>

/* Longest request method, in bytes, with its end mark. */
#define HBW_METHOD_MAX 24

typedef struct
{
  char *name;
  char *value;
} HbwField;

/* The head of a request or an answer. */
typedef struct
{
  char method[HBW_METHOD_MAX]; /* of a request */
  char *target;                /* of a request, as it came */
  guint status;                /* of an answer */
  GPtrArray *fields;           /* HbwField, in order */
  gsize size;                  /* bytes of names and values */
  gboolean keep_alive;
  gboolean chunked;
  gboolean has_length;
  guint64 length;
} HbwHead;

typedef enum
{
  HBW_PARSER_REQUEST,
  HBW_PARSER_ANSWER,
} HbwParserKind;

typedef enum
{
  HBW_PARSER_MORE,  /* the message goes on */
  HBW_PARSER_ENDED, /* the message is whole */
  HBW_PARSER_ERROR, /* these bytes are no message */
} HbwParserState;

typedef struct HbwParser HbwParser;

/* What the parser tells its owner; embedded in it. */
typedef struct HbwParserUser HbwParserUser;
typedef struct
{
  /* The head is there; it may be taken over with hbw_parser_steal_head(). */
  void (*handle_head) (HbwParserUser *user, HbwHead *head);
  void (*handle_body) (HbwParserUser *user, const char *bytes, gsize length);
} HbwParserUserClass;
struct HbwParserUser
{
  const HbwParserUserClass *class;
};

HbwParser *hbw_parser_create (HbwParserKind kind, HbwParserUser *user);
void hbw_parser_destroy (HbwParser *parser);

/* Starts with the next message.  An answer to a HEAD request has no body. */
void hbw_parser_reset (HbwParser *parser, gboolean answers_head);

/* Parses up to the end of the message; sets USED to the bytes that belong to it. */
HbwParserState hbw_parser_feed (HbwParser *parser, const char *bytes, gsize length,
                                gsize *used);

/* The connection has ended: returns whether that is the end of the message. */
gboolean hbw_parser_end (HbwParser *parser);

/* Returns whether any byte of a message has come since the last reset. */
gboolean hbw_parser_has_begun (const HbwParser *parser);

/* Returns bytes of the head so far. */
gsize hbw_parser_head_size (const HbwParser *parser);

void hbw_head_destroy (HbwHead *head);

/* Returns the head for the caller to keep; to be used after handle_head(). */
HbwHead *hbw_parser_steal_head (HbwParser *parser);

/* Returns the value of the first field of NAME, or NULL. */
const char *hbw_head_find (const HbwHead *head, const char *name);

/* Returns how many fields have NAME. */
guint hbw_head_count (const HbwHead *head, const char *name);

/* Returns whether NAME is one of the COUNT NAMES, in any case. */
gboolean hbw_field_is_among (const char *name, const char *const *names,
                             gsize count);

/* Returns whether a field of NAME concerns one connection only, or the framing of a
   body, and is never passed on. */
gboolean hbw_field_is_hop (const char *name);

#endif
