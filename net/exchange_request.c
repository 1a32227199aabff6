#include "hornbeamwall/net/exchange_state.h"

#include <string.h>

static gint64
remaining_us (const HbwExchange *exchange)
{
  gint64 elapsed_us = hbw_exchange_now (exchange) - exchange->received_us;
  return MAX (HBW_US_PER_MS, exchange->spec.deadline_us - elapsed_us);
}

static void
append_fields (const HbwExchange *exchange, GString *text, gboolean is_resumed)
{
  HbwFront *adapter = exchange->traffic->front;
  for (guint i = 0; i < exchange->head->fields->len; i++)
    {
      const HbwField *field = g_ptr_array_index (exchange->head->fields, i);
      gboolean is_replaced
          = is_resumed && g_ascii_strcasecmp (field->name, HBW_LAST_EVENT_ID) == 0;
      if (hbw_field_is_hop (field->name) || is_replaced
          || !adapter->class->passes_field (field->name))
        continue;
      g_string_append_printf (text, "%s: %s\r\n", field->name, field->value);
    }
  if (is_resumed)
    g_string_append_printf (text, HBW_LAST_EVENT_ID ": %s\r\n",
                            hbw_event_stream_last_id (exchange->events));
  const HbwOutgoing forwarded
      = { &exchange->spec, exchange->server, remaining_us (exchange) };
  adapter->class->write_fields (text, &forwarded);
}

GBytes *
hbw_exchange_make_request (const HbwExchange *exchange)
{
  const HbwHead *head = exchange->head;
  gboolean is_resumed
      = exchange->begun && *hbw_event_stream_last_id (exchange->events) != '\0';
  GString *text = g_string_sized_new (1024 + exchange->body->len);
  g_string_append_printf (text, "%s %s HTTP/1.1\r\n", head->method, head->target);
  append_fields (exchange, text, is_resumed);
  if (head->has_length || head->chunked || exchange->body->len > 0)
    g_string_append_printf (text, "Content-Length: %u\r\n", exchange->body->len);
  g_string_append (text, "\r\n");
  g_string_append_len (text, (const char *) exchange->body->data,
                       exchange->body->len);
  return g_string_free_to_bytes (text);
}
