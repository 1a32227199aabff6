/*
 * path_load - load generator with persistent connections for the users' platform
 * (interface "platform" in the settings)
 *
 * Runs stand-ins for the object store and the backend servers, writes the settings
 * of an instance to a file and waits until scripts/overhead.sh has started an
 * instance with these settings. Each caller then sends its next request as soon as
 * it has the response to the previous one. Prints the number of completed requests;
 * the script measures the processor time that the instance spent on them.
 */
#include "platform_fixture.h"
#include "standin/listen.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CALLERS_MAX 256

typedef struct
{
  guint port;
  const char *path;
  atomic_bool stopping;
  atomic_uint completed;
  atomic_uint failed; /* responses with a status other than 200 */
  atomic_uint last_id;
} Load;

/* Each request has an id of its own, as a connection carries an id only once. */
static char *
format_request (Load *load)
{
  return g_strdup_printf ("GET %s HTTP/1.1\r\nHost: h.example\r\n" API_KEY_FIELD
                          "X-Hornbeamwall-Attempt-Id: load%u\r\n\r\n",
                          load->path, atomic_fetch_add (&load->last_id, 1));
}

static void *
run_caller (void *data)
{
  Load *load = data;
  int fd = caller_connect (load->port);
  while (fd >= 0 && !atomic_load (&load->stopping))
    {
      char *request = format_request (load);
      caller_send (fd, request);
      g_free (request);
      RawResponse response = caller_receive (fd);
      atomic_fetch_add (response.status == 200 ? &load->completed : &load->failed,
                        1);
      g_free (response.text);
    }
  if (fd >= 0)
    close (fd);
  return NULL;
}

static gboolean
is_serving (guint port)
{
  int fd = caller_connect (port);
  if (fd < 0)
    return FALSE;
  RawResponse response = caller_post (fd, "/safe/ok", API_KEY_FIELD, "");
  gboolean accepted = response.status == 200;
  g_free (response.text);
  close (fd);
  return accepted;
}

int
main (int argc, char **argv)
{
  if (argc != 5)
    {
      fprintf (stderr, "Usage: path_load SETTINGS PATH CALLERS SECONDS\n");
      return 2;
    }
  Load load = { .port = standin_free_port (), .path = argv[2] };
  pthread_t threads[CALLERS_MAX];
  guint callers = MIN ((guint) strtoul (argv[3], NULL, 10), CALLERS_MAX);
  PlatformFixture *fixture = platform_fixture_create_without_instance ();
  char *settings = platform_fixture_make_settings (fixture, load.port);
  if (!g_file_set_contents (argv[1], settings, -1, NULL))
    g_error ("cannot write %s", argv[1]);
  g_free (settings);
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX && !is_serving (load.port); i++)
    g_usleep (10000);
  printf ("serving\n");
  fflush (stdout);
  for (guint i = 0; i < callers; i++)
    pthread_create (&threads[i], NULL, run_caller, &load);
  g_usleep (strtoul (argv[4], NULL, 10) * G_USEC_PER_SEC);
  atomic_store (&load.stopping, TRUE);
  for (guint i = 0; i < callers; i++)
    pthread_join (threads[i], NULL);
  printf ("requests %u others %u\n", atomic_load (&load.completed),
          atomic_load (&load.failed));
  platform_fixture_destroy (fixture);
  return atomic_load (&load.completed) > 0 ? 0 : 1;
}
