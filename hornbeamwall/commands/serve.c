#include "hornbeamwall/commands.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/runtime/instance.h"

#include <signal.h>
#include <stdio.h>
#include <time.h>

/* How often a draining instance looks whether it is done. */
#define DRAIN_LOOK_NS 50000000

/* Parts of the time to stop: an instance that has nothing to do any more waits at
   least the first, and one that has ends at the second. */
#define STOP_LEAST_PERCENT 40
#define STOP_MOST_PERCENT 94

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

/* Reads the settings again and tells what is wrong with them; what can change in a
   running instance is taken over. */
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

/* Waits until all requests have ended and a load balancer has had the time to send
   callers elsewhere, or until the time to stop is nearly over, or for a second
   signal. */
static void
wait_for_drain (HbwInstance *instance, const HbwSettings *settings, HbwClock *clock,
                const sigset_t *set)
{
  const struct timespec look = { 0, DRAIN_LOOK_NS };
  gint64 grace_us = settings->stop_grace_us;
  gint64 begun_us = hbw_clock_now (clock);
  gint64 least_us = grace_us / 100 * STOP_LEAST_PERCENT;
  gint64 most_us = grace_us / 100 * STOP_MOST_PERCENT;
  gint64 linger_us = grace_us / 100 * HBW_STOP_LINGER_PERCENT;
  gint64 passed_us;
  hbw_instance_drain (instance);
  do
    {
      int number = sigtimedwait (set, NULL, &look);
      if (number == SIGTERM || number == SIGINT)
        return;
      passed_us = hbw_clock_now (clock) - begun_us;
      if (passed_us > linger_us)
        hbw_instance_leave_store (instance);
      if (most_us > 0 && passed_us >= most_us)
        return;
    }
  while (hbw_instance_is_busy (instance) || passed_us < least_us);
}

/* Waits for a signal, or for a planned stop of this instance to be declared. */
static void
wait_for_stop (HbwInstance *instance, const char *path, const sigset_t *set)
{
  const struct timespec look = { 0, DRAIN_LOOK_NS };
  const HbwControl *control = hbw_instance_control (instance);
  while (!hbw_control_is_draining (control))
    {
      int number = sigtimedwait (set, NULL, &look);
      if (number == SIGHUP)
        reload (instance, path);
      else if (number > 0)
        return;
    }
}

static int
serve (const HbwSettings *settings, const char *path)
{
  sigset_t set;
  HbwError error;
  block_signals (&set);
  hbw_log_open ();
  HbwClock *clock = hbw_clock_create_system ();
  HbwInstance *instance = hbw_instance_create (settings, clock, &error);
  if (instance != NULL)
    {
      wait_for_stop (instance, path, &set);
      wait_for_drain (instance, settings, clock, &set);
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
  if (settings == NULL)
    {
      fprintf (stderr, "hornbeamwall: %s\n", error.message);
      g_free (path);
      return HBW_EXIT_FAILED;
    }
  int status = serve (settings, path);
  g_free (path);
  hbw_settings_destroy (settings);
  return status;
}
