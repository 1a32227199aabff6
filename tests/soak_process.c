#include "soak_process.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Length of a pause, and the time between the beginnings of two. */
#define PAUSE_MIN_US 700000
#define PAUSE_MAX_US 1300000
#define PAUSE_INTERVAL_MIN_US 200000
#define PAUSE_INTERVAL_MAX_US 1500000

#define WATCH_INTERVAL_US 10000

struct SoakProcesses
{
  const char *directory;
  guint count;
  GRand *random;
  pthread_t thread;
  atomic_bool stopping;
  atomic_bool is_pausing;
  atomic_uint ended_count;
  gint64 next_pause_us;
  SoakProcess processes[SOAK_INSTANCES_MAX];
  _Atomic gint64 resume_us[SOAK_INSTANCES_MAX]; /* 0 if not paused */
};

static pid_t
read_pid (const SoakProcesses *processes, guint index)
{
  char *text = NULL;
  char *path = g_strdup_printf ("%s/i%u.pid", processes->directory, index);
  pid_t pid = 0;
  if (g_file_get_contents (path, &text, NULL, NULL))
    pid = (pid_t) strtol (text, NULL, 10);
  g_free (text);
  g_free (path);
  return pid;
}

/* Notes what the signal does, before it is sent. */
static void
note_signal (SoakProcess *process, int number)
{
  gint64 now_us = g_get_monotonic_time ();
  if (number == SIGKILL)
    atomic_store (&process->killed_us, now_us);
  else if (number == SIGTERM)
    atomic_store (&process->terminated_us, now_us);
  else if (number == SIGSTOP)
    atomic_store (&process->paused_us, now_us);
  gboolean was_stopped = atomic_load (&process->is_stopped);
  if (number == SIGSTOP || number == SIGCONT)
    atomic_store (&process->is_stopped, number == SIGSTOP);
  if (number != SIGHUP && (number != SIGCONT || was_stopped))
    atomic_store (&process->interrupted_us, now_us);
}

void
soak_processes_signal (SoakProcesses *processes, guint index, int number)
{
  pid_t pid = read_pid (processes, index);
  if (pid <= 1)
    return;
  note_signal (&processes->processes[index], number);
  if (number == SIGKILL || number == SIGTERM)
    atomic_store (&processes->processes[index].ended_pid, pid);
  if (number == SIGSTOP || number == SIGCONT)
    atomic_store (&processes->resume_us[index], 0);
  kill (pid, number);
}

void
soak_processes_pause (SoakProcesses *processes, guint index, gint64 duration_us)
{
  if (atomic_load (&processes->processes[index].is_stopped))
    return;
  soak_processes_signal (processes, index, SIGSTOP);
  atomic_store (&processes->resume_us[index], g_get_monotonic_time () + duration_us);
}

static void
resume_instance (SoakProcesses *processes, guint index)
{
  gint64 resume_us = atomic_load (&processes->resume_us[index]);
  if (resume_us == 0 || g_get_monotonic_time () < resume_us)
    return;
  atomic_store (&processes->resume_us[index], 0);
  soak_processes_signal (processes, index, SIGCONT);
}

/* Notices that the instance has been started again. */
static void
watch_instance (SoakProcesses *processes, guint index)
{
  SoakProcess *process = &processes->processes[index];
  pid_t pid = read_pid (processes, index);
  gint64 now_us = g_get_monotonic_time ();
  if (pid <= 1 || pid == atomic_load (&process->pid))
    return;
  if (atomic_load (&process->pid) != 0
      && atomic_load (&process->ended_pid) != atomic_load (&process->pid))
    {
      atomic_fetch_add (&processes->ended_count, 1);
      printf ("instance %u has ended by itself\n", index);
    }
  atomic_store (&process->pid, pid);
  atomic_store (&process->started_us, now_us);
  atomic_store (&process->interrupted_us, now_us);
  atomic_store (&process->is_stopped, FALSE);
}

static void
begin_pause (SoakProcesses *processes)
{
  gint64 now_us = g_get_monotonic_time ();
  if (!atomic_load (&processes->is_pausing) || now_us < processes->next_pause_us)
    return;
  guint index
      = (guint) g_rand_int_range (processes->random, 0, (gint32) processes->count);
  gint32 duration_us
      = g_rand_int_range (processes->random, PAUSE_MIN_US, PAUSE_MAX_US);
  processes->next_pause_us
      = now_us
        + g_rand_int_range (processes->random, PAUSE_INTERVAL_MIN_US,
                            PAUSE_INTERVAL_MAX_US);
  soak_processes_pause (processes, index, duration_us);
}

static void *
run_watch (void *data)
{
  SoakProcesses *processes = data;
  while (!atomic_load (&processes->stopping))
    {
      for (guint i = 0; i < processes->count; i++)
        {
          watch_instance (processes, i);
          resume_instance (processes, i);
        }
      begin_pause (processes);
      g_usleep (WATCH_INTERVAL_US);
    }
  return NULL;
}

SoakProcesses *
soak_processes_create (const char *directory, guint count, guint32 seed)
{
  SoakProcesses *processes = g_new0 (SoakProcesses, 1);
  processes->directory = directory;
  processes->count = count;
  processes->random = g_rand_new_with_seed (seed);
  pthread_create (&processes->thread, NULL, run_watch, processes);
  return processes;
}

void
soak_processes_destroy (SoakProcesses *processes)
{
  atomic_store (&processes->stopping, TRUE);
  pthread_join (processes->thread, NULL);
  g_rand_free (processes->random);
  g_free (processes);
}

const SoakProcess *
soak_processes_get (SoakProcesses *processes, guint index)
{
  return &processes->processes[index];
}

void
soak_processes_set_pausing (SoakProcesses *processes, gboolean pausing)
{
  atomic_store (&processes->is_pausing, pausing);
}

guint
soak_processes_ended_count (SoakProcesses *processes)
{
  return atomic_load (&processes->ended_count);
}
