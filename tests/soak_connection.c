#include "soak_connection.h"

#include "standin/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

int
soak_connect (guint port, guint timeout_s)
{
  const struct timeval timeout = { (time_t) timeout_s, 0 };
  const struct sockaddr_in address = standin_loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (const struct sockaddr *) &address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

gboolean
soak_send (int fd, const char *path, const char *trace, const char *key,
           const char *extra_fields, const char *body)
{
  char *request = g_strdup_printf (
      "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Hornbeamwall-Key: %s\r\n"
      "X-Hornbeamwall-Attempt-Id: %s\r\nX-Hornbeamwall-Deadline-Ms: 2500\r\n"
      "%sContent-Length: %zu\r\n\r\n%s",
      path, key, trace, extra_fields, strlen (body), body);
  gsize length = strlen (request);
  gboolean sent = send (fd, request, length, MSG_NOSIGNAL) == (ssize_t) length;
  g_free (request);
  return sent;
}

/* Returns the length of the response at the start of TEXT, 0 if it is incomplete. */
static gsize
complete_length (const GString *text)
{
  const char *head_end = strstr (text->str, "\r\n\r\n");
  if (head_end == NULL)
    return 0;
  gsize head = (gsize) (head_end - text->str) + 4;
  const char *length = strstr (text->str, "Content-Length: ");
  if (length != NULL && length < head_end)
    {
      gsize body = strtoul (length + strlen ("Content-Length: "), NULL, 10);
      return text->len >= head + body ? head + body : 0;
    }
  const char *final_chunk = strstr (head_end + 2, "\r\n0\r\n\r\n");
  return final_chunk != NULL ? (gsize) (final_chunk - text->str) + 7 : 0;
}

/* Returns whether TEXT has a head that names neither a length nor chunks. */
static gboolean
ends_with_connection (const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  if (end == NULL)
    return FALSE;
  const char *length = strstr (text->str, "\r\nContent-Length: ");
  const char *chunked = strstr (text->str, "\r\nTransfer-Encoding: ");
  return (length == NULL || length > end) && (chunked == NULL || chunked > end);
}

static SoakOutcome
outcome_of_end (const GString *text, ssize_t count, int error)
{
  if (count == 0 && ends_with_connection (text))
    return SOAK_RESPONSE_COMPLETE;
  if (count == 0)
    return SOAK_RESPONSE_CLOSED;
  return error == EAGAIN ? SOAK_RESPONSE_OVERDUE : SOAK_RESPONSE_RESET;
}

SoakResponse
soak_receive (int fd)
{
  char bytes[4096];
  SoakResponse response = { g_string_new (NULL), SOAK_RESPONSE_COMPLETE };
  while (complete_length (response.text) == 0)
    {
      ssize_t count = recv (fd, bytes, sizeof bytes, 0);
      if (count <= 0)
        {
          response.outcome = outcome_of_end (response.text, count, errno);
          break;
        }
      g_string_append_len (response.text, bytes, count);
    }
  return response;
}

guint
soak_status (const GString *text)
{
  guint status = 0;
  sscanf (text->str, "HTTP/1.1 %u", &status);
  return status;
}

gboolean
soak_is_refused_as_harmful (const GString *text)
{
  return strstr (text->str, "backend servers failed while they ran this") != NULL;
}
