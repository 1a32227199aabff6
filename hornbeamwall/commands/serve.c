#include "hornbeamwall/commands.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/runtime/instance.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>

/* How often a draining instance looks whether it is done. */
#define DRAIN_LOOK_NS 50000000

static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Waits until all requests have ended, or for a second signal. */
static void
wait_for_drain (HbwInstance *instance, const sigset_t *set)
{
  const struct timespec look = { 0, DRAIN_LOOK_NS };
  hbw_instance_drain (instance);
  do
    {
      if (sigtimedwait (set, NULL, &look) > 0)
        return;
    }
  while (hbw_instance_is_busy (instance));
}

/* Waits for a signal, or for a planned stop of this instance to be declared. */
static void
wait_for_stop (HbwInstance *instance, const sigset_t *set)
{
  const struct timespec look = { 0, DRAIN_LOOK_NS };
  const HbwControl *control = hbw_instance_control (instance);
  while (!hbw_control_is_draining (control))
    if (sigtimedwait (set, NULL, &look) > 0)
      return;
}

static int
serve (const HbwSettings *settings)
{
  sigset_t set;
  HbwError error;
  block_signals (&set);
  hbw_log_open ();
  HbwClock *clock = hbw_clock_create_system ();
  HbwInstance *instance = hbw_instance_create (settings, clock, &error);
  if (instance != NULL)
    {
      wait_for_stop (instance, &set);
      wait_for_drain (instance, &set);
      hbw_instance_destroy (instance);
      hbw_log_write (HBW_LOG_INSTANCE_STOPPED, settings->name);
    }
  else
    fprintf (stderr, "hornbeamwall: %s\n", error.message);
  hbw_clock_destroy (clock);
  hbw_log_close ();
  return instance != NULL ? HBW_EXIT_OK : HBW_EXIT_FAILED;
}

int
hbw_command_serve (int argc, char **argv)
{
  char *path = NULL;
  const GOptionEntry entries[] = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
                                     "Settings file", "FILE" },
                                   { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "", "Runs one entry instance."))
    return HBW_EXIT_USAGE;
  if (path == NULL)
    {
      fprintf (stderr, "hornbeamwall: name the settings with --config FILE\n");
      return HBW_EXIT_USAGE;
    }
  HbwError error;
  HbwSettings *settings = hbw_settings_load (path, &error);
  g_free (path);
  if (settings == NULL)
    {
      fprintf (stderr, "hornbeamwall: %s\n", error.message);
      return HBW_EXIT_FAILED;
    }
  int status = serve (settings);
  hbw_settings_destroy (settings);
  return status;
}
