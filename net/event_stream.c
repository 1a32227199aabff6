#include "hornbeamwall/net/event_stream.h"

#include <string.h>

#define ID_FIELD "id:"

struct HbwEventStream
{
  GByteArray *buffer;
  gsize scanned; /* leading bytes that contain no end of an event */
  char last_id[HBW_EVENT_STREAM_ID_MAX];
};

/* Returns the length of the first event with its blank line, 0 if incomplete. */
static gsize
find_event_end (HbwEventStream *stream)
{
  const guint8 *data = stream->buffer->data;
  gsize length = stream->buffer->len;
  gsize line_length = 0; /* bytes of the current line, without its end */
  gsize line_start = stream->scanned;
  while (line_start > 0 && data[line_start - 1] != '\n')
    line_start--;
  for (gsize i = line_start; i < length; i++)
    {
      if (data[i] == '\n' && line_length == 0 && i > 0)
        return i + 1;
      if (data[i] == '\n')
        line_length = 0;
      else if (data[i] != '\r')
        line_length++;
    }
  stream->scanned = length;
  return 0;
}

static void
read_id (const guint8 *event, gsize length, char *id, gsize size)
{
  const char *line = (const char *) event;
  const char *end = line + length;
  *id = '\0';
  while (line < end)
    {
      const char *line_end = memchr (line, '\n', (gsize) (end - line));
      if (line_end == NULL)
        line_end = end;
      gsize prefix = strlen (ID_FIELD);
      if ((gsize) (line_end - line) > prefix && memcmp (line, ID_FIELD, prefix) == 0)
        {
          gsize count = MIN ((gsize) (line_end - line) - prefix, size - 1);
          memcpy (id, line + prefix, count);
          id[count] = '\0';
          g_strstrip (id);
        }
      line = line_end + 1;
    }
}

static gboolean
is_number (const char *text)
{
  return *text != '\0' && strspn (text, "0123456789") == strlen (text);
}

/* Returns whether ID is greater than LAST; ids that are not numbers cannot be
   compared and count as greater. */
static gboolean
is_after (const char *id, const char *last)
{
  if (!is_number (id) || !is_number (last))
    return TRUE;
  return g_ascii_strtoull (id, NULL, 10) > g_ascii_strtoull (last, NULL, 10);
}

HbwEventStream *
hbw_event_stream_create (void)
{
  HbwEventStream *stream = g_new0 (HbwEventStream, 1);
  stream->buffer = g_byte_array_new ();
  return stream;
}

void
hbw_event_stream_destroy (HbwEventStream *stream)
{
  g_byte_array_free (stream->buffer, TRUE);
  g_free (stream);
}

gboolean
hbw_event_stream_feed (HbwEventStream *stream, const char *bytes, gsize length)
{
  if (stream->buffer->len + length > HBW_EVENT_STREAM_EVENT_MAX)
    return FALSE;
  g_byte_array_append (stream->buffer, (const guint8 *) bytes, (guint) length);
  return TRUE;
}

static void
remove_leading (HbwEventStream *stream, gsize length)
{
  g_byte_array_remove_range (stream->buffer, 0, (guint) length);
  stream->scanned = 0;
}

gboolean
hbw_event_stream_next (HbwEventStream *stream, GByteArray *out)
{
  gsize length;
  while ((length = find_event_end (stream)) > 0)
    {
      char id[HBW_EVENT_STREAM_ID_MAX];
      read_id (stream->buffer->data, length, id, sizeof id);
      gboolean is_new = is_after (id, stream->last_id);
      if (is_new)
        g_byte_array_append (out, stream->buffer->data, (guint) length);
      if (is_new && *id != '\0')
        g_strlcpy (stream->last_id, id, sizeof stream->last_id);
      remove_leading (stream, length);
      if (is_new)
        return TRUE;
    }
  return FALSE;
}

void
hbw_event_stream_take_remainder (HbwEventStream *stream, GByteArray *out)
{
  g_byte_array_append (out, stream->buffer->data, stream->buffer->len);
  hbw_event_stream_discard_partial (stream);
}

void
hbw_event_stream_discard_partial (HbwEventStream *stream)
{
  remove_leading (stream, stream->buffer->len);
}

gboolean
hbw_event_stream_has_partial (const HbwEventStream *stream)
{
  return stream->buffer->len > 0;
}

gsize
hbw_event_stream_buffered_bytes (const HbwEventStream *stream)
{
  return stream->buffer->len;
}

const char *
hbw_event_stream_last_id (const HbwEventStream *stream)
{
  return stream->last_id;
}

void
hbw_event_stream_set_last_id (HbwEventStream *stream, const char *id)
{
  g_strlcpy (stream->last_id, id, sizeof stream->last_id);
}
