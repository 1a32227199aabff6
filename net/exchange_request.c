#include "hornbeamwall/net/exchange_state.h"

#include <string.h>

/* Longer bodies are sent from where they are, in bytes. */
#define COPIED_BODY_MAX ((gsize) 4 * 1024)

static gint64
remaining_us (const HbwExchange *exchange)
{
  gint64 elapsed_us = hbw_exchange_now (exchange) - exchange->received_us;
  return MAX (HBW_US_PER_MS, exchange->spec.deadline_us - elapsed_us);
}

static void
append_fields (const HbwExchange *exchange, GString *text, gboolean is_resumed)
{
  HbwProtocolAdapter *adapter = exchange->traffic->adapter;
  HbwHttpField field = { NULL, NULL };
  while (hbw_http_head_next (exchange->request_head, &field))
    {
      gboolean is_replaced
          = is_resumed
            && g_ascii_strcasecmp (field.name, HBW_LAST_EVENT_ID_FIELD) == 0;
      if (hbw_http_field_is_hop_by_hop (field.name) || is_replaced
          || !adapter->class->forwards_field (field.name))
        continue;
      g_string_append_printf (text, "%s: %s\r\n", field.name, field.value);
    }
  if (is_resumed)
    g_string_append_printf (text, HBW_LAST_EVENT_ID_FIELD ": %s\r\n",
                            hbw_event_stream_last_id (exchange->events));
  const HbwForwardedRequest forwarded
      = { &exchange->spec, exchange->server, remaining_us (exchange) };
  adapter->class->write_fields (text, &forwarded);
}

static void
append_body (GString *text, const HbwByteBlocks *body)
{
  struct iovec part;
  gsize offset = 0;
  while (hbw_byte_blocks_fill_parts (body, offset, &part, 1) > 0)
    {
      g_string_append_len (text, part.iov_base, (gssize) part.iov_len);
      offset += part.iov_len;
    }
}

GBytes *
hbw_exchange_build_request (const HbwExchange *exchange, gboolean *has_body)
{
  const HbwHttpHead *head = exchange->request_head;
  gsize length = hbw_byte_blocks_length (exchange->request_body);
  gboolean is_resumed = exchange->response_started
                        && *hbw_event_stream_last_id (exchange->events) != '\0';
  *has_body = length <= COPIED_BODY_MAX;
  GString *text = g_string_sized_new (1024 + (*has_body ? length : 0));
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", head->method,
                          hbw_http_head_target (head));
  append_fields (exchange, text, is_resumed);
  if (head->has_length || head->chunked || length > 0)
    g_string_append_printf (text, "Content-Length: %zu\r\n", length);
  g_string_append (text, "\r\n");
  if (*has_body)
    append_body (text, exchange->request_body);
  return g_string_free_to_bytes (text);
}
