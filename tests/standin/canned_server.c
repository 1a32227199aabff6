#include "canned_server.h"

#include "listen.h"

#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define POLL_INTERVAL_MS 20

struct CannedServer
{
  int fd;
  char *address;
  pthread_t thread;
  pthread_mutex_t lock;
  CannedResponse *answer;
  atomic_uint count;
  atomic_bool answers_early;
  atomic_bool stopping;
};

/* Returns FALSE once the server stops. */
static gboolean
wait_readable (const CannedServer *server, int fd)
{
  struct pollfd input = { fd, POLLIN, 0 };
  while (!atomic_load (&server->stopping))
    if (poll (&input, 1, POLL_INTERVAL_MS) > 0)
      return TRUE;
  return FALSE;
}

/* Returns how much is read of the request that TEXT begins with, or G_MAXSIZE if its
   head is not complete. */
static gsize
request_size (const CannedServer *server, const GString *text)
{
  const char *end = strstr (text->str, "\r\n\r\n");
  const char *length = strstr (text->str, "Content-Length: ");
  if (end == NULL)
    return G_MAXSIZE;
  gsize head_size = (gsize) (end - text->str) + 4;
  return length != NULL && length < end && !atomic_load (&server->answers_early)
             ? head_size + strtoul (length + strlen ("Content-Length: "), NULL, 10)
             : head_size;
}

static gboolean
read_request (const CannedServer *server, int fd)
{
  char bytes[4096];
  ssize_t count = 1;
  GString *text = g_string_new (NULL);
  while (text->len < request_size (server, text) && wait_readable (server, fd)
         && (count = recv (fd, bytes, sizeof bytes, 0)) > 0)
    g_string_append_len (text, bytes, count);
  gboolean is_whole = text->len >= request_size (server, text);
  g_string_free (text, TRUE);
  return is_whole;
}

static void
answer_request (CannedServer *server, int fd)
{
  pthread_mutex_lock (&server->lock);
  CannedResponse *answer = canned_response_copy (server->answer);
  pthread_mutex_unlock (&server->lock);
  canned_response_send (answer, fd, "");
  canned_response_free (answer);
  atomic_fetch_add (&server->count, 1);
}

static void *
run (void *data)
{
  CannedServer *server = data;
  while (wait_readable (server, server->fd))
    {
      int fd = accept (server->fd, NULL, NULL);
      if (read_request (server, fd))
        answer_request (server, fd);
      close (fd);
    }
  return NULL;
}

CannedServer *
canned_server_create (void)
{
  CannedServer *server = g_new0 (CannedServer, 1);
  const CannedResponse empty = { .text = "", .end = CANNED_RESPONSE_CLOSES };
  const unsigned port = standin_free_port ();
  const struct sockaddr_in address = standin_loopback (port);
  server->fd = standin_listen_socket (&address);
  server->address = g_strdup_printf ("127.0.0.1:%u", port);
  server->answer = canned_response_copy (&empty);
  pthread_mutex_init (&server->lock, NULL);
  if (pthread_create (&server->thread, NULL, run, server) != 0)
    g_error ("canned server: no thread");
  return server;
}

void
canned_server_destroy (CannedServer *server)
{
  atomic_store (&server->stopping, TRUE);
  pthread_join (server->thread, NULL);
  pthread_mutex_destroy (&server->lock);
  close (server->fd);
  canned_response_free (server->answer);
  g_free (server->address);
  g_free (server);
}

const char *
canned_server_address (const CannedServer *server)
{
  return server->address;
}

void
canned_server_set_answer (CannedServer *server, const CannedResponse *answer)
{
  pthread_mutex_lock (&server->lock);
  canned_response_free (server->answer);
  server->answer = canned_response_copy (answer);
  pthread_mutex_unlock (&server->lock);
}

void
canned_server_answer_early (CannedServer *server)
{
  atomic_store (&server->answers_early, TRUE);
}

guint
canned_server_count (CannedServer *server)
{
  return atomic_load (&server->count);
}
