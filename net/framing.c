#include "hornbeamwall/net/framing.h"

#include <string.h>

/* Maximum number of hexadecimal digits of a chunk size, so that it fits in 64 bits.
   Longer sizes are rejected. */
#define CHUNK_SIZE_DIGITS_MAX 15

/* Characters of a field name besides letters and digits (RFC 9110, token). */
#define TOKEN_PUNCTUATION "!#$%&'*+-.^_`|~"

#define STATUS_LINE_START "HTTP/"

/* A status has three digits, the first of which names its class (RFC 9110, 15). */
#define STATUS_DIGITS 3
#define STATUS_MIN 100
#define STATUS_MAX 599

const char *
hbw_framing_part_name (HbwFramingState state)
{
  switch (state)
    {
    case HBW_FRAMING_EMPTY_LINES:
      return "none";
    case HBW_FRAMING_START_LINE:
      return "version";
    case HBW_FRAMING_STATUS:
    case HBW_FRAMING_REASON:
      return "status";
    case HBW_FRAMING_FIELD_START:
    case HBW_FRAMING_FIELD_NAME:
    case HBW_FRAMING_FIELD_VALUE:
    case HBW_FRAMING_HEAD_END:
      return "field";
    case HBW_FRAMING_BODY:
      return "body";
    default:
      return "chunk";
    }
}

void
hbw_framing_reset (HbwFraming *framing, gboolean is_response)
{
  memset (framing, 0, sizeof *framing);
  framing->is_response = is_response;
}

static gboolean
is_version (const HbwFraming *framing)
{
  return strcmp (framing->version, "HTTP/1.0") == 0
         || strcmp (framing->version, "HTTP/1.1") == 0;
}

gboolean
hbw_framing_is_status (guint status)
{
  return status >= STATUS_MIN && status <= STATUS_MAX;
}

/* A reason, which may be empty, follows the status. */
static gboolean
check_status (HbwFraming *framing, char byte)
{
  if (g_ascii_isdigit (byte))
    {
      framing->status = framing->status * 10 + (guint) g_ascii_digit_value (byte);
      return ++framing->status_digits <= STATUS_DIGITS;
    }
  framing->state = HBW_FRAMING_REASON;
  return (byte == ' ' || byte == '\r') && framing->status_digits == STATUS_DIGITS
         && hbw_framing_is_status (framing->status);
}

static gboolean
check_reason (HbwFraming *framing, char byte)
{
  if (byte == '\n')
    framing->state = HBW_FRAMING_FIELD_START;
  return byte == '\n' || byte == '\r' || !g_ascii_iscntrl (byte);
}

/* The version is the first word of a response and the last word of a request. */
static gboolean
check_start_line (HbwFraming *framing, char byte)
{
  if (byte == '\n')
    {
      framing->state = HBW_FRAMING_FIELD_START;
      return is_version (framing) && !framing->is_response;
    }
  if (byte == ' ' && framing->is_response)
    {
      framing->state = HBW_FRAMING_STATUS;
      return is_version (framing);
    }
  if (byte == ' ')
    {
      memset (framing->version, 0, sizeof framing->version);
      framing->version_length = 0;
      return TRUE;
    }
  if (g_ascii_iscntrl (byte) && byte != '\r')
    return FALSE;
  if (byte != '\r' && framing->version_length < HBW_HTTP_VERSION_MAX - 1)
    framing->version[framing->version_length++] = byte;
  return TRUE;
}

static gboolean
is_token_byte (char byte)
{
  return g_ascii_isalnum (byte)
         || (byte != '\0' && strchr (TOKEN_PUNCTUATION, byte) != NULL);
}

/* A name with white space could be interpreted differently by the next hop, and a
   line that begins with it would continue the previous field (obsolete line
   folding). */
static gboolean
check_field_start (HbwFraming *framing, char byte)
{
  framing->state = byte == '\r' ? HBW_FRAMING_HEAD_END : HBW_FRAMING_FIELD_NAME;
  return byte == '\r' || is_token_byte (byte);
}

static gboolean
check_field_name (HbwFraming *framing, char byte)
{
  if (byte == ':')
    framing->state = HBW_FRAMING_FIELD_VALUE;
  return byte == ':' || is_token_byte (byte);
}

static gboolean
check_head_byte (HbwFraming *framing, char byte)
{
  if (framing->after_cr != (byte == '\n'))
    return FALSE;
  framing->after_cr = byte == '\r';
  switch (framing->state)
    {
    case HBW_FRAMING_EMPTY_LINES:
      if (byte == '\r' || byte == '\n')
        return TRUE;
      framing->state = HBW_FRAMING_START_LINE;
      return check_start_line (framing, byte);
    case HBW_FRAMING_START_LINE:
      return check_start_line (framing, byte);
    case HBW_FRAMING_STATUS:
      return check_status (framing, byte);
    case HBW_FRAMING_REASON:
      return check_reason (framing, byte);
    case HBW_FRAMING_FIELD_START:
      return check_field_start (framing, byte);
    case HBW_FRAMING_FIELD_NAME:
      return check_field_name (framing, byte);
    case HBW_FRAMING_HEAD_END:
      framing->state = HBW_FRAMING_BODY;
      return TRUE;
    default:
      if (byte == '\n')
        framing->state = HBW_FRAMING_FIELD_START;
      return TRUE;
    }
}

gboolean
hbw_framing_check_head (HbwFraming *framing, const char *bytes, gsize length,
                        gsize *used)
{
  *used = 0;
  while (*used < length && framing->state < HBW_FRAMING_BODY)
    if (!check_head_byte (framing, bytes[(*used)++]))
      return FALSE;
  return TRUE;
}

static gboolean
is_status_line (const char *line, gsize length)
{
  return length >= strlen (STATUS_LINE_START)
         && memcmp (line, STATUS_LINE_START, strlen (STATUS_LINE_START)) == 0;
}

static gboolean
check_trailer_line (HbwFraming *framing, const char *line, gsize length)
{
  gsize used;
  framing->state = HBW_FRAMING_FIELD_START;
  gboolean is_valid = hbw_framing_check_head (framing, line, length, &used);
  framing->state = HBW_FRAMING_BODY;
  return is_valid;
}

gboolean
hbw_framing_check_line (HbwFraming *framing, const char *line, gsize length)
{
  gsize used;
  if (is_status_line (line, length))
    hbw_framing_reset (framing, TRUE);
  else if (hbw_framing_is_head_complete (framing))
    return check_trailer_line (framing, line, length);
  return hbw_framing_check_head (framing, line, length, &used);
}

gboolean
hbw_framing_is_head_complete (const HbwFraming *framing)
{
  return framing->state >= HBW_FRAMING_BODY;
}

static void
begin_chunk_size (HbwFraming *framing)
{
  framing->state = HBW_FRAMING_CHUNK_SIZE;
  framing->size_digits = 0;
  framing->chunk_remaining = 0;
}

gboolean
hbw_framing_allows_chunks (const HbwFraming *framing)
{
  return strcmp (framing->version, "HTTP/1.1") == 0;
}

void
hbw_framing_begin_chunks (HbwFraming *framing)
{
  begin_chunk_size (framing);
}

/* The last chunk is empty.  Trailers may follow it, which have the form of the
   head's fields, and then an empty line. */
static gboolean
end_chunk_size (HbwFraming *framing)
{
  framing->state = framing->chunk_remaining > 0 ? HBW_FRAMING_CHUNK_DATA
                                                : HBW_FRAMING_FIELD_START;
  return framing->size_digits > 0;
}

static gboolean
check_chunk_size (HbwFraming *framing, char byte)
{
  if (byte == '\n')
    return end_chunk_size (framing);
  if (byte == '\r')
    return TRUE;
  if (g_ascii_isxdigit (byte))
    {
      framing->chunk_remaining
          = framing->chunk_remaining * 16 + (guint64) g_ascii_xdigit_value (byte);
      return ++framing->size_digits <= CHUNK_SIZE_DIGITS_MAX;
    }
  framing->state = HBW_FRAMING_CHUNK_EXTENSION;
  return byte == ';' || byte == ' ' || byte == '\t';
}

static gboolean
check_chunk_byte (HbwFraming *framing, char byte)
{
  if (framing->after_cr != (byte == '\n'))
    return FALSE;
  framing->after_cr = byte == '\r';
  if (framing->state == HBW_FRAMING_CHUNK_SIZE)
    return check_chunk_size (framing, byte);
  if (byte != '\n')
    return framing->state == HBW_FRAMING_CHUNK_EXTENSION || byte == '\r';
  if (framing->state == HBW_FRAMING_CHUNK_EXTENSION)
    return end_chunk_size (framing);
  begin_chunk_size (framing);
  return TRUE;
}

static gboolean
check_body_byte (HbwFraming *framing, char byte)
{
  gboolean is_trailer = framing->state < HBW_FRAMING_BODY;
  return is_trailer ? check_head_byte (framing, byte)
                    : check_chunk_byte (framing, byte);
}

gboolean
hbw_framing_check_body (HbwFraming *framing, const char *bytes, gsize length)
{
  gsize offset = 0;
  while (offset < length && framing->state != HBW_FRAMING_BODY)
    {
      if (framing->state != HBW_FRAMING_CHUNK_DATA)
        {
          if (!check_body_byte (framing, bytes[offset++]))
            return FALSE;
          continue;
        }
      guint64 count = MIN (framing->chunk_remaining, length - offset);
      framing->chunk_remaining -= count;
      offset += count;
      if (framing->chunk_remaining == 0)
        framing->state = HBW_FRAMING_CHUNK_DATA_END;
    }
  return TRUE;
}
