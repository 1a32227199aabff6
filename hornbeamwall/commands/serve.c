#include "hornbeamwall/commands.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/runtime/drain.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>

/* Interval between checks whether to stop, or whether draining is done. */
#define CHECK_INTERVAL_NS (HBW_DRAIN_INTERVAL_US * 1000)

static void
block_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
  pthread_sigmask (SIG_BLOCK, set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

/* Reads the settings again and applies those that can change in a running instance.
   Logs an error and changes nothing if they are invalid. */
static void
reload (HbwInstance *instance, const char *path)
{
  HbwError error;
  HbwSettings *settings = hbw_settings_load (path, &error);
  if (settings == NULL)
    {
      hbw_log_write (HBW_LOG_SETTINGS_REJECTED, error.message);
      return;
    }
  hbw_instance_reload (instance, settings);
  hbw_log_write (HBW_LOG_SETTINGS_RELOADED, settings->name);
  hbw_settings_destroy (settings);
}

/* Further SIGTERMs change nothing; SIGINT ends the drain. */
static gboolean
wait_in_drain (void *data)
{
  const sigset_t *set = data;
  const struct timespec interval = { 0, CHECK_INTERVAL_NS };
  return sigtimedwait (set, NULL, &interval) != SIGINT;
}

/* Waits for a stop signal or until a planned stop of this instance is declared. */
static void
wait_for_stop (HbwInstance *instance, const char *path, const sigset_t *set)
{
  const struct timespec interval = { 0, CHECK_INTERVAL_NS };
  const HbwControl *control = hbw_instance_control (instance);
  while (!hbw_control_is_draining (control))
    {
      int signal_number = sigtimedwait (set, NULL, &interval);
      if (signal_number == SIGHUP)
        reload (instance, path);
      else if (signal_number > 0)
        return;
    }
}

static int
serve (const HbwSettings *settings, const char *path, const sigset_t *set)
{
  HbwError error;
  hbw_log_open ();
  HbwClock *clock = hbw_clock_create_system ();
  HbwInstance *instance = hbw_instance_create (settings, clock, &error);
  if (instance != NULL)
    {
      wait_for_stop (instance, path, set);
      hbw_drain_run (instance, settings->stop_grace_us, clock, wait_in_drain,
                     (void *) set);
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
  sigset_t set;
  char *path = NULL;
  /* A signal while the settings are read takes effect afterwards. */
  block_signals (&set);
  const GOptionEntry entries[] = { { "config", 'c', 0, G_OPTION_ARG_FILENAME, &path,
                                     "Settings file", "FILE" },
                                   { NULL } };
  if (!hbw_command_parse (&argc, &argv, entries, "",
                          "Runs one instance of the router."))
    return HBW_EXIT_USAGE;
  if (path == NULL)
    {
      fprintf (stderr, "hornbeamwall: set the settings file with --config FILE\n");
      return HBW_EXIT_USAGE;
    }
  HbwError error;
  HbwSettings *settings = hbw_settings_load (path, &error);
  if (settings == NULL)
    {
      fprintf (stderr, "hornbeamwall: %s\n", error.message);
      g_free (path);
      return HBW_EXIT_FAILED;
    }
  int status = serve (settings, path, &set);
  g_free (path);
  hbw_settings_destroy (settings);
  return status;
}
