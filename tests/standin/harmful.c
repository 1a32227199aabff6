#include "harmful.h"

#include <pthread.h>
#include <string.h>

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char *harmful_part;
static HarmfulEnd harmful_end;
static GArray *runs;    /* HarmfulRun */
static GArray *crashes; /* gint64 */

void
harmful_set_part (const char *part, HarmfulEnd end)
{
  pthread_mutex_lock (&lock);
  g_free (harmful_part);
  harmful_part = g_strdup (part);
  harmful_end = end;
  if (runs == NULL)
    {
      runs = g_array_new (FALSE, FALSE, sizeof (HarmfulRun));
      crashes = g_array_new (FALSE, FALSE, sizeof (gint64));
    }
  pthread_mutex_unlock (&lock);
}

/* Returns whether PART is among the parts of PREFIX_HASH before the last one. */
static gboolean
contains_part (const char *prefix_hash, const char *part)
{
  char **parts = g_strsplit (prefix_hash, ",", -1);
  gsize length = strlen (part);
  gboolean found = FALSE;
  for (guint i = 0; parts[i] != NULL && parts[i + 1] != NULL; i++)
    found |= strncmp (parts[i], part, length) == 0 && parts[i][length] == ':';
  g_strfreev (parts);
  return found;
}

HarmfulEnd
harmful_find (const char *target, const char *prefix_hash)
{
  pthread_mutex_lock (&lock);
  gboolean found = prefix_hash != NULL && harmful_part != NULL
                   && contains_part (prefix_hash, harmful_part);
  found |= g_str_has_suffix (target, "/harmful");
  HarmfulEnd end = found ? harmful_end : HARMFUL_NONE;
  pthread_mutex_unlock (&lock);
  return end;
}

void
harmful_note_run (const char *attempt_id)
{
  HarmfulRun run = { .reached_us = g_get_monotonic_time () };
  g_strlcpy (run.attempt_id, attempt_id, sizeof run.attempt_id);
  pthread_mutex_lock (&lock);
  g_array_append_val (runs, run);
  pthread_mutex_unlock (&lock);
}

void
harmful_note_crash (void)
{
  gint64 now_us = g_get_monotonic_time ();
  pthread_mutex_lock (&lock);
  g_array_append_val (crashes, now_us);
  pthread_mutex_unlock (&lock);
}

guint
harmful_run_count (void)
{
  pthread_mutex_lock (&lock);
  guint count = runs != NULL ? runs->len : 0;
  pthread_mutex_unlock (&lock);
  return count;
}

HarmfulRun
harmful_run (guint index)
{
  pthread_mutex_lock (&lock);
  HarmfulRun run = g_array_index (runs, HarmfulRun, index);
  pthread_mutex_unlock (&lock);
  return run;
}

guint
harmful_crash_count (void)
{
  pthread_mutex_lock (&lock);
  guint count = crashes != NULL ? crashes->len : 0;
  pthread_mutex_unlock (&lock);
  return count;
}

gint64
harmful_crash_us (guint index)
{
  pthread_mutex_lock (&lock);
  gboolean exists = crashes != NULL && index < crashes->len;
  gint64 time_us = exists ? g_array_index (crashes, gint64, index) : 0;
  pthread_mutex_unlock (&lock);
  return time_us;
}
