#include "hornbeamwall/net/http_parser.h"

#include "hornbeamwall/net/framing.h"

#include <http_parser.h>
#include <string.h>

/* Characters of a field name besides letters and digits (RFC 9110, token). */
#define TOKEN_PUNCTUATION "!#$%&'*+-.^_`|~"

struct HbwHttpParser
{
  http_parser parser;
  HbwHttpParserKind kind;
  HbwHttpParserHandler *handler;
  HbwFraming framing;
  HbwHttpHead *head;
  GString *target;
  GString *field_name;
  GString *field_value;
  gboolean in_value; /* the last bytes belonged to a value */
  gboolean begun;
  gboolean ended;
  gboolean is_head_response;
};

static const char *const hop_by_hop_fields[]
    = { "Connection", "Keep-Alive",        "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",           "Upgrade",          "Content-Length",
        "Expect",     "Proxy-Authenticate" };

static void
field_free (gpointer data)
{
  HbwHttpField *field = data;
  g_free (field->name);
  g_free (field->value);
  g_free (field);
}

static HbwHttpHead *
head_create (void)
{
  HbwHttpHead *head = g_new0 (HbwHttpHead, 1);
  head->fields = g_ptr_array_new_with_free_func (field_free);
  return head;
}

void
hbw_http_head_destroy (HbwHttpHead *head)
{
  g_ptr_array_free (head->fields, TRUE);
  g_free (head->target);
  g_free (head);
}

/* Returns whether NAME is a valid field name.  A name with white space could be
   interpreted differently by the next hop. */
static gboolean
is_token (const char *name)
{
  if (*name == '\0')
    return FALSE;
  for (const char *c = name; *c != '\0'; c++)
    if (!g_ascii_isalnum (*c) && strchr (TOKEN_PUNCTUATION, *c) == NULL)
      return FALSE;
  return TRUE;
}

/* Adds a complete field to the head; returns whether it is well formed. */
static gboolean
finish_field (HbwHttpParser *parser)
{
  if (!parser->in_value)
    return TRUE;
  gboolean valid = is_token (parser->field_name->str);
  HbwHttpField *field = g_new0 (HbwHttpField, 1);
  field->name = g_strdup (parser->field_name->str);
  field->value = g_strdup (g_strchomp (parser->field_value->str));
  g_ptr_array_add (parser->head->fields, field);
  g_string_truncate (parser->field_name, 0);
  g_string_truncate (parser->field_value, 0);
  parser->in_value = FALSE;
  return valid;
}

static HbwHttpParser *
parser_of (http_parser *inner)
{
  return inner->data;
}

static int
handle_message_begin (http_parser *inner)
{
  parser_of (inner)->begun = TRUE;
  return 0;
}

static int
handle_url (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  g_string_append_len (parser->target, bytes, (gssize) length);
  parser->head->size += length;
  return 0;
}

static int
handle_field_name (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  if (parser->head == NULL)
    return 0; /* trailers are ignored */
  if (!finish_field (parser))
    return 1;
  g_string_append_len (parser->field_name, bytes, (gssize) length);
  parser->head->size += length;
  return 0;
}

static int
handle_field_value (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  if (parser->head == NULL)
    return 0;
  parser->in_value = TRUE;
  g_string_append_len (parser->field_value, bytes, (gssize) length);
  parser->head->size += length;
  return 0;
}

/* Transfer-Encoding is not forwarded, so a body in another coding would reach the
   next hop without being marked as such. */
static gboolean
is_coding_supported (const HbwHttpHead *head)
{
  const char *coding = hbw_http_head_find (head, "Transfer-Encoding");
  return coding == NULL || g_ascii_strcasecmp (coding, "chunked") == 0;
}

static int
handle_head_complete (http_parser *inner)
{
  HbwHttpParser *parser = parser_of (inner);
  HbwHttpHead *head = parser->head;
  if (!finish_field (parser) || !is_coding_supported (head))
    return -1;
  head->status = inner->status_code;
  head->target = g_strdup (parser->target->str);
  head->keep_alive = http_should_keep_alive (inner) != 0;
  head->chunked = (inner->flags & F_CHUNKED) != 0;
  if (head->chunked && !parser->is_head_response)
    hbw_framing_begin_chunks (&parser->framing);
  head->has_length = (inner->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? inner->content_length : 0;
  if (parser->kind == HBW_HTTP_PARSER_REQUEST)
    g_strlcpy (head->method, http_method_str (inner->method), sizeof head->method);
  parser->handler->class->handle_head (parser->handler, head);
  return parser->is_head_response ? 1 : 0;
}

static int
handle_body (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  parser->handler->class->handle_body (parser->handler, bytes, length);
  return 0;
}

static int
handle_message_complete (http_parser *inner)
{
  parser_of (inner)->ended = TRUE;
  http_parser_pause (inner, 1);
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = handle_message_begin,
  .on_url = handle_url,
  .on_header_field = handle_field_name,
  .on_header_value = handle_field_value,
  .on_headers_complete = handle_head_complete,
  .on_body = handle_body,
  .on_message_complete = handle_message_complete,
};

HbwHttpParser *
hbw_http_parser_create (HbwHttpParserKind kind, HbwHttpParserHandler *handler)
{
  HbwHttpParser *parser = g_new0 (HbwHttpParser, 1);
  parser->kind = kind;
  parser->handler = handler;
  parser->target = g_string_new (NULL);
  parser->field_name = g_string_new (NULL);
  parser->field_value = g_string_new (NULL);
  hbw_http_parser_reset (parser, FALSE);
  return parser;
}

void
hbw_http_parser_destroy (HbwHttpParser *parser)
{
  if (parser->head != NULL)
    hbw_http_head_destroy (parser->head);
  g_string_free (parser->target, TRUE);
  g_string_free (parser->field_name, TRUE);
  g_string_free (parser->field_value, TRUE);
  g_free (parser);
}

void
hbw_http_parser_reset (HbwHttpParser *parser, gboolean is_head_response)
{
  http_parser_init (&parser->parser, parser->kind == HBW_HTTP_PARSER_REQUEST
                                         ? HTTP_REQUEST
                                         : HTTP_RESPONSE);
  parser->parser.data = parser;
  hbw_framing_reset (&parser->framing, parser->kind == HBW_HTTP_PARSER_RESPONSE);
  if (parser->head != NULL)
    hbw_http_head_destroy (parser->head);
  parser->head = head_create ();
  g_string_truncate (parser->target, 0);
  g_string_truncate (parser->field_name, 0);
  g_string_truncate (parser->field_value, 0);
  parser->in_value = FALSE;
  parser->begun = FALSE;
  parser->ended = FALSE;
  parser->is_head_response = is_head_response;
}

HbwHttpParserState
hbw_http_parser_feed (HbwHttpParser *parser, const char *bytes, gsize length,
                      gsize *used)
{
  gsize head;
  *used = 0;
  if (!hbw_framing_check_head (&parser->framing, bytes, length, &head))
    return HBW_HTTP_PARSER_ERROR;
  *used = http_parser_execute (&parser->parser, &callbacks, bytes, length);
  if (*used > head
      && !hbw_framing_check_body (&parser->framing, bytes + head, *used - head))
    return HBW_HTTP_PARSER_ERROR;
  if (parser->ended)
    return HBW_HTTP_PARSER_COMPLETE;
  if (HTTP_PARSER_ERRNO (&parser->parser) != HPE_OK || parser->parser.upgrade
      || *used != length)
    return HBW_HTTP_PARSER_ERROR;
  return HBW_HTTP_PARSER_INCOMPLETE;
}

gboolean
hbw_http_parser_handle_eof (HbwHttpParser *parser)
{
  http_parser_execute (&parser->parser, &callbacks, NULL, 0);
  return parser->ended;
}

gboolean
hbw_http_parser_has_begun (const HbwHttpParser *parser)
{
  return parser->begun;
}

gsize
hbw_http_parser_head_size (const HbwHttpParser *parser)
{
  return parser->head != NULL ? parser->head->size : 0;
}

HbwHttpHead *
hbw_http_parser_steal_head (HbwHttpParser *parser)
{
  HbwHttpHead *head = parser->head;
  parser->head = NULL;
  return head;
}

const char *
hbw_http_head_find (const HbwHttpHead *head, const char *name)
{
  for (guint i = 0; i < head->fields->len; i++)
    {
      const HbwHttpField *field = g_ptr_array_index (head->fields, i);
      if (g_ascii_strcasecmp (field->name, name) == 0)
        return field->value;
    }
  return NULL;
}

guint
hbw_http_head_count (const HbwHttpHead *head, const char *name)
{
  guint count = 0;
  for (guint i = 0; i < head->fields->len; i++)
    {
      const HbwHttpField *field = g_ptr_array_index (head->fields, i);
      if (g_ascii_strcasecmp (field->name, name) == 0)
        count++;
    }
  return count;
}

gboolean
hbw_http_field_is_among (const char *name, const char *const *names, gsize count)
{
  for (gsize i = 0; i < count; i++)
    if (g_ascii_strcasecmp (names[i], name) == 0)
      return TRUE;
  return FALSE;
}

gboolean
hbw_http_field_is_hop_by_hop (const char *name)
{
  return hbw_http_field_is_among (name, hop_by_hop_fields,
                                  G_N_ELEMENTS (hop_by_hop_fields));
}
