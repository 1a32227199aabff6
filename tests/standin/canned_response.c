#include "canned_response.h"

#include <string.h>
#include <sys/socket.h>

/* Pause between the pieces of an answer, so that each is received alone. */
#define PIECE_PAUSE_US 300

CannedResponse *
canned_response_copy (const CannedResponse *answer)
{
  CannedResponse *copy = g_memdup2 (answer, sizeof *answer);
  copy->text = g_memdup2 (answer->text, answer->length);
  return copy;
}

void
canned_response_free (CannedResponse *answer)
{
  if (answer == NULL)
    return;
  g_free ((char *) answer->text);
  g_free (answer);
}

/* Returns the text with ID in place of CANNED_RESPONSE_ID; the caller frees it. */
static GString *
format_text (const CannedResponse *answer, const char *id)
{
  GString *text = g_string_new_len (answer->text, (gssize) answer->length);
  const char *mark = memmem (text->str, text->len, CANNED_RESPONSE_ID,
                             strlen (CANNED_RESPONSE_ID));
  if (mark == NULL)
    return text;
  gssize offset = mark - text->str;
  g_string_erase (text, offset, strlen (CANNED_RESPONSE_ID));
  g_string_insert (text, offset, id);
  return text;
}

static void
send_pieces (const CannedResponse *answer, int fd, const GString *text)
{
  gsize offset = 0;
  while (offset < text->len)
    {
      gsize left = text->len - offset;
      gsize size = answer->piece_size > 0 ? MIN (answer->piece_size, left) : left;
      ssize_t count = send (fd, text->str + offset, size, MSG_NOSIGNAL);
      if (count <= 0)
        return;
      offset += (gsize) count;
      if (offset < text->len)
        g_usleep (PIECE_PAUSE_US);
    }
}

void
canned_response_send (const CannedResponse *answer, int fd, const char *id)
{
  const struct linger linger = { 1, 0 };
  GString *text = format_text (answer, id);
  send_pieces (answer, fd, text);
  g_string_free (text, TRUE);
  if (answer->pause_us > 0)
    g_usleep (answer->pause_us);
  if (answer->end == CANNED_RESPONSE_RESETS)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}
