/*
 * path_load - callers on kept connections to one instance on the users' platform
 *
 * It holds the stand-ins, writes the instance's settings to a file, waits until that
 * instance serves and sends as fast as answers come.  It prints the requests that
 * were answered whole; what the instance's process spent on them is for its starter
 * to see (scripts/overhead.sh).
 */
#include "bed.h"
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
  atomic_uint whole;
  atomic_uint others; /* answers with another status */
} Load;

static void *
run_caller (void *data)
{
  Load *load = data;
  char *request = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: h.example\r\n" BED_KEY
                                   "X-Hornbeamwall-Attempt-Id: load\r\n\r\n",
                                   load->path);
  int fd = caller_dial (load->port);
  while (fd >= 0 && !atomic_load (&load->stopping))
    {
      caller_say (fd, request);
      Answer answer = caller_hear (fd);
      atomic_fetch_add (answer.status == 200 ? &load->whole : &load->others, 1);
      g_free (answer.text);
    }
  if (fd >= 0)
    close (fd);
  g_free (request);
  return NULL;
}

static gboolean
is_served (guint port)
{
  int fd = caller_dial (port);
  if (fd < 0)
    return FALSE;
  Answer answer = caller_ask (fd, "/safe/ok", BED_KEY, "");
  gboolean served = answer.status == 200;
  g_free (answer.text);
  close (fd);
  return served;
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
  Bed *bed = bed_create_around ();
  char *settings = bed_settings (bed, load.port);
  if (!g_file_set_contents (argv[1], settings, -1, NULL))
    g_error ("cannot write %s", argv[1]);
  g_free (settings);
  for (guint i = 0; i < BED_WAIT_STEPS && !is_served (load.port); i++)
    g_usleep (10000);
  printf ("serving\n");
  fflush (stdout);
  for (guint i = 0; i < callers; i++)
    pthread_create (&threads[i], NULL, run_caller, &load);
  g_usleep (strtoul (argv[4], NULL, 10) * G_USEC_PER_SEC);
  atomic_store (&load.stopping, TRUE);
  for (guint i = 0; i < callers; i++)
    pthread_join (threads[i], NULL);
  printf ("requests %u others %u\n", atomic_load (&load.whole),
          atomic_load (&load.others));
  bed_destroy (bed);
  return atomic_load (&load.whole) > 0 ? 0 : 1;
}
