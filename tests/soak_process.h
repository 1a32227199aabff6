/*
 * soak_process - the instances of the soak as processes: signals and pauses
 *
 * Only processes whose ids scripts/platform-soak.sh wrote to the directory get
 * signals.
 */
#ifndef HORNBEAMWALL_TESTS_SOAK_PROCESS_H
#define HORNBEAMWALL_TESTS_SOAK_PROCESS_H

#include <glib.h>
#include <stdatomic.h>
#include <sys/types.h>

#define SOAK_INSTANCES_MAX 200

/* Times are those of g_get_monotonic_time(), 0 if it never happened. */
typedef struct
{
  atomic_int pid;                /* 0 if unknown */
  atomic_int ended_pid;          /* to which a SIGKILL or SIGTERM was sent last */
  _Atomic gint64 killed_us;      /* last SIGKILL */
  _Atomic gint64 terminated_us;  /* last SIGTERM */
  _Atomic gint64 paused_us;      /* last SIGSTOP */
  _Atomic gint64 started_us;     /* when its newest id was seen */
  _Atomic gint64 interrupted_us; /* last signal, start, or end of a pause */
  atomic_bool is_stopped;        /* by a SIGSTOP */
} SoakProcess;

typedef struct SoakProcesses SoakProcesses;

/* Watches the COUNT instances of DIRECTORY.  While pauses are on, it stops instances
   for about a second, in series that overlap. */
SoakProcesses *soak_processes_create (const char *directory, guint count,
                                      guint32 seed);
void soak_processes_destroy (SoakProcesses *processes);

/* Returns the state of an instance; the processes keep it. */
const SoakProcess *soak_processes_get (SoakProcesses *processes, guint index);

/* Sends a signal to an instance. */
void soak_processes_signal (SoakProcesses *processes, guint index, int number);

/* Stops an instance that isn't stopped, and continues it after DURATION_US. */
void soak_processes_pause (SoakProcesses *processes, guint index,
                           gint64 duration_us);

void soak_processes_set_pausing (SoakProcesses *processes, gboolean pausing);

/* Returns how many instances have ended without a signal. */
guint soak_processes_ended_count (SoakProcesses *processes);

#endif
