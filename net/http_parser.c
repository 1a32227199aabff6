#include "hornbeamwall/net/http_parser.h"

#include <http_parser.h>
#include <string.h>

/* Bytes that an allocation takes besides its contents. */
#define ALLOCATION_OVERHEAD 16

struct HbwHttpParser
{
  http_parser parser;
  HbwHttpParserKind kind;
  HbwHttpParserHandler *handler;
  HbwFraming framing;
  HbwHttpHead *head;
  gsize value_offset; /* of its value, if in_value is set */
  gboolean in_target; /* the target may not be complete */
  gboolean in_value;  /* the last bytes belonged to a value */
  gboolean begun;
  gboolean ended;
  gboolean is_head_response;
};

static const char *const hop_by_hop_fields[]
    = { "Connection", "Keep-Alive",        "Proxy-Connection", "Transfer-Encoding",
        "TE",         "Trailer",           "Upgrade",          "Content-Length",
        "Expect",     "Proxy-Authenticate" };

void
hbw_http_head_destroy (HbwHttpHead *head)
{
  hbw_byte_buffer_clear (&head->text);
  g_free (head);
}

gsize
hbw_http_head_cost (const HbwHttpHead *head)
{
  return sizeof *head + head->text.capacity + 2 * ALLOCATION_OVERHEAD;
}

/* A null would end a text within the head. */
static gboolean
append_text (HbwHttpHead *head, const char *bytes, gsize length)
{
  if (memchr (bytes, '\0', length) != NULL)
    return FALSE;
  hbw_byte_buffer_append (&head->text, bytes, length);
  head->size += length;
  return TRUE;
}

static void
end_text (HbwHttpHead *head)
{
  hbw_byte_buffer_append (&head->text, "", 1);
}

static void
finish_target (HbwHttpParser *parser)
{
  if (!parser->in_target)
    return;
  parser->in_target = FALSE;
  end_text (parser->head);
  parser->head->fields_offset = parser->head->text.length;
}

/* Ends the last field, without the white space at its end. */
static void
finish_field (HbwHttpParser *parser)
{
  HbwByteBuffer *text = &parser->head->text;
  finish_target (parser);
  if (!parser->in_value)
    return;
  while (text->length > parser->value_offset
         && g_ascii_isspace (text->bytes[text->length - 1]))
    text->length--;
  end_text (parser->head);
  parser->in_value = FALSE;
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
  return append_text (parser->head, bytes, length) ? 0 : 1;
}

static int
handle_field_name (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  if (parser->head == NULL)
    return 0; /* trailers are ignored */
  finish_field (parser);
  return append_text (parser->head, bytes, length) ? 0 : 1;
}

static int
handle_field_value (http_parser *inner, const char *bytes, size_t length)
{
  HbwHttpParser *parser = parser_of (inner);
  if (parser->head == NULL)
    return 0;
  if (!parser->in_value)
    {
      end_text (parser->head);
      parser->value_offset = parser->head->text.length;
      parser->in_value = TRUE;
    }
  return append_text (parser->head, bytes, length) ? 0 : 1;
}

/* Transfer-Encoding is not forwarded, so a body in another coding would reach the
   next hop without being marked as such. */
static gboolean
is_coding_supported (const HbwHttpParser *parser)
{
  const char *coding = hbw_http_head_find (parser->head, "Transfer-Encoding");
  if (coding == NULL)
    return TRUE;
  return g_ascii_strcasecmp (coding, "chunked") == 0
         && hbw_http_head_count (parser->head, "Transfer-Encoding") == 1
         && hbw_framing_allows_chunks (&parser->framing);
}

static int
handle_head_complete (http_parser *inner)
{
  HbwHttpParser *parser = parser_of (inner);
  HbwHttpHead *head = parser->head;
  finish_field (parser);
  if (!is_coding_supported (parser))
    return -1;
  hbw_byte_buffer_fit (&head->text);
  head->status = inner->status_code;
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
  hbw_http_parser_reset (parser, FALSE);
  return parser;
}

void
hbw_http_parser_destroy (HbwHttpParser *parser)
{
  if (parser->head != NULL)
    hbw_http_head_destroy (parser->head);
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
  parser->head = g_new0 (HbwHttpHead, 1);
  parser->value_offset = 0;
  parser->in_target = TRUE;
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

HbwFramingState
hbw_http_parser_position (const HbwHttpParser *parser)
{
  return parser->framing.state;
}

gsize
hbw_http_parser_cost (const HbwHttpParser *parser)
{
  gsize head_cost = parser->head != NULL ? hbw_http_head_cost (parser->head) : 0;
  return sizeof *parser + ALLOCATION_OVERHEAD + head_cost;
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
hbw_http_head_target (const HbwHttpHead *head)
{
  return head->text.bytes;
}

gboolean
hbw_http_head_next (const HbwHttpHead *head, HbwHttpField *field)
{
  const char *next = head->text.bytes + head->fields_offset;
  if (field->name != NULL)
    next = field->value + strlen (field->value) + 1;
  if (next >= head->text.bytes + head->text.length)
    return FALSE;
  field->name = next;
  field->value = next + strlen (next) + 1;
  return TRUE;
}

const char *
hbw_http_head_find (const HbwHttpHead *head, const char *name)
{
  HbwHttpField field = { NULL, NULL };
  while (hbw_http_head_next (head, &field))
    if (g_ascii_strcasecmp (field.name, name) == 0)
      return field.value;
  return NULL;
}

guint
hbw_http_head_count (const HbwHttpHead *head, const char *name)
{
  HbwHttpField field = { NULL, NULL };
  guint count = 0;
  while (hbw_http_head_next (head, &field))
    if (g_ascii_strcasecmp (field.name, name) == 0)
      count++;
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
