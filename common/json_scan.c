#include "hornbeamwall/common/json_scan.h"

typedef struct
{
  const char *at;
  const char *end;
} Cursor;

typedef enum
{
  BEFORE_VALUE,
  AFTER_VALUE,
  INVALID,
} ScanState;

static gboolean
is_space (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/* Returns whether C occurs in numbers, true, false and null. */
static gboolean
is_scalar (char c)
{
  return g_ascii_isalnum (c) || c == '+' || c == '-' || c == '.';
}

/* Returns the next byte that is not white space, or NUL at the end. */
static char
peek (Cursor *cursor)
{
  while (cursor->at < cursor->end && is_space (*cursor->at))
    cursor->at++;
  return cursor->at < cursor->end ? *cursor->at : '\0';
}

static gboolean
skip_string (Cursor *cursor)
{
  for (cursor->at++; cursor->at < cursor->end; cursor->at++)
    if (*cursor->at == '"')
      {
        cursor->at++;
        return TRUE;
      }
    else if (*cursor->at == '\\' && ++cursor->at == cursor->end)
      return FALSE;
  return FALSE;
}

static gboolean
skip_scalar (Cursor *cursor)
{
  if (peek (cursor) == '"')
    return skip_string (cursor);
  const char *start = cursor->at;
  while (cursor->at < cursor->end && is_scalar (*cursor->at))
    cursor->at++;
  return cursor->at > start;
}

/* Skips the key of a member and its colon. */
static gboolean
skip_key (Cursor *cursor)
{
  if (peek (cursor) != '"' || !skip_string (cursor) || peek (cursor) != ':')
    return FALSE;
  cursor->at++;
  return TRUE;
}

/* Skips what comes before the next value in an object, whose closing bracket is
   CLOSING, or in an array. */
static ScanState
begin_item (Cursor *cursor, char closing)
{
  return closing == ']' || skip_key (cursor) ? BEFORE_VALUE : INVALID;
}

/* Skips a scalar, or an opening bracket. OPEN has the closing brackets that are due.
 */
static ScanState
begin_value (Cursor *cursor, GString *open)
{
  char first = peek (cursor);
  if (first != '{' && first != '[')
    return skip_scalar (cursor) ? AFTER_VALUE : INVALID;
  char closing = first == '{' ? '}' : ']';
  g_string_append_c (open, closing);
  cursor->at++;
  return peek (cursor) == closing ? AFTER_VALUE : begin_item (cursor, closing);
}

/* Skips a comma, or a closing bracket. */
static ScanState
end_value (Cursor *cursor, GString *open)
{
  char next = peek (cursor);
  char closing = open->str[open->len - 1];
  if (next != ',' && next != closing)
    return INVALID;
  cursor->at++;
  if (next == ',')
    return begin_item (cursor, closing);
  g_string_truncate (open, open->len - 1);
  return AFTER_VALUE;
}

static gboolean
skip_value (Cursor *cursor)
{
  GString *open = g_string_new (NULL);
  ScanState state = BEFORE_VALUE;
  do
    state = state == BEFORE_VALUE ? begin_value (cursor, open)
                                  : end_value (cursor, open);
  while (state == BEFORE_VALUE || (state == AFTER_VALUE && open->len > 0));
  g_string_free (open, TRUE);
  return state == AFTER_VALUE;
}

static gboolean
scan_value (Cursor *cursor, HbwJsonSpan *span)
{
  peek (cursor);
  span->text = cursor->at;
  gboolean valid = skip_value (cursor);
  span->length = (gsize) (cursor->at - span->text);
  return valid;
}

gboolean
hbw_json_scan (const char *text, gsize length, HbwJsonSpan *span)
{
  Cursor cursor = { text, text + length };
  return scan_value (&cursor, span) && peek (&cursor) == '\0'
         && cursor.at == cursor.end;
}

static HbwJsonSpan
scan_key (Cursor *cursor)
{
  peek (cursor);
  HbwJsonSpan key = { .text = cursor->at };
  skip_string (cursor);
  key.length = (gsize) (cursor->at - key.text);
  return key;
}

static void
visit_member (HbwJsonSpan key, HbwJsonSpan value, HbwJsonVisit visit, void *data)
{
  json_t *text = hbw_json_load (key);
  if (text != NULL)
    visit (json_string_value (text), value, data);
  json_decref (text);
}

void
hbw_json_scan_foreach (HbwJsonSpan span, HbwJsonVisit visit, void *data)
{
  gboolean is_object = *span.text == '{';
  if (!is_object && *span.text != '[')
    return;
  Cursor cursor = { span.text + 1, span.text + span.length - 1 };
  while (peek (&cursor) != '\0')
    {
      HbwJsonSpan key = { NULL, 0 };
      HbwJsonSpan value;
      if (is_object)
        {
          key = scan_key (&cursor);
          peek (&cursor);
          cursor.at++; /* the colon */
        }
      scan_value (&cursor, &value);
      if (is_object)
        visit_member (key, value, visit, data);
      else
        visit (NULL, value, data);
      if (peek (&cursor) == ',')
        cursor.at++;
    }
}

json_t *
hbw_json_load (HbwJsonSpan span)
{
  return json_loadb (span.text, span.length, JSON_DECODE_ANY, NULL);
}

static void
add_member (const char *key, HbwJsonSpan value, void *data)
{
  json_t *loaded = hbw_json_load (value);
  json_object_set_new (data, key, loaded != NULL ? loaded : json_null ());
}

json_t *
hbw_json_load_members (HbwJsonSpan span)
{
  json_t *value = hbw_json_load (span);
  if (value != NULL)
    return value;
  if (*span.text != '{')
    return json_null ();
  json_t *object = json_object ();
  hbw_json_scan_foreach (span, add_member, object);
  return object;
}
