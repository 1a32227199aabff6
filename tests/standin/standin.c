/*
 * standin - runs a simulated engine or store as a process, for the demo and the soak
 * tests
 */
#include "engine.h"
#include "store.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static void
wait_for_signal (sigset_t *set)
{
  int received;
  sigwait (set, &received);
}

static int
run_engine (int argc, char **argv, sigset_t *set)
{
  EngineConfig config = { .address = argv[2], .exit_on_crash = TRUE };
  config.slots = argc > 3 ? (guint) g_ascii_strtoull (argv[3], NULL, 10) : 16;
  config.first_token_ms
      = argc > 4 ? (guint) g_ascii_strtoull (argv[4], NULL, 10) : 20;
  config.token_ms = argc > 5 ? (guint) g_ascii_strtoull (argv[5], NULL, 10) : 5;
  config.truncate_every
      = argc > 6 ? (guint) g_ascii_strtoull (argv[6], NULL, 10) : 0;
  Engine *engine = engine_create (&config);
  if (engine == NULL)
    return 1;
  wait_for_signal (set);
  engine_destroy (engine);
  return 0;
}

static int
run_store (int argc, char **argv, sigset_t *set)
{
  Store *store = store_create (argv[2]);
  for (int i = 3; i + 1 < argc; i += 2)
    {
      char *body;
      if (!g_file_get_contents (argv[i + 1], &body, NULL, NULL))
        return 1;
      store_set (store, argv[i], body);
      g_free (body);
    }
  wait_for_signal (set);
  store_destroy (store);
  return 0;
}

int
main (int argc, char **argv)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
  if (argc >= 3 && strcmp (argv[1], "engine") == 0)
    return run_engine (argc, argv, &set);
  if (argc >= 3 && strcmp (argv[1], "store") == 0)
    return run_store (argc, argv, &set);
  fprintf (stderr,
           "Usage: standin engine IP:PORT [SLOTS FIRST_MS TOKEN_MS CUT_EVERY]\n"
           "       standin store IP:PORT [NAME FILE]...\n");
  return 2;
}
