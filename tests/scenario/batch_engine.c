#include "batch_engine.h"

#include "hornbeamwall/common/clock.h"

#include <string.h>

typedef struct
{
  void *request;
  HbwRequestSpec spec;
  guint urgency; /* lower is more urgent */
  guint tokens;
  guint generated;
  guint unread;  /* prompt tokens that are not read yet */
  guint reading; /* of them, those that the current step reads */
} Job;

struct BatchEngine
{
  BatchEngineSpec spec;
  guint slots;
  PromptWatch *watch;
  GPtrArray *running; /* Job, in order of admission */
  GPtrArray *waiting; /* Job, in order of arrival */
  GArray *cached;     /* HbwPromptPart, least recently used first */
  gboolean is_stepping;
};

PromptWatch *
prompt_watch_create (void)
{
  PromptWatch *watch = g_new0 (PromptWatch, 1);
  watch->read_parts
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  return watch;
}

void
prompt_watch_destroy (PromptWatch *watch)
{
  g_hash_table_destroy (watch->read_parts);
  g_free (watch);
}

BatchEngine *
batch_engine_create (const BatchEngineSpec *spec, guint slots, PromptWatch *watch)
{
  BatchEngine *engine = g_new0 (BatchEngine, 1);
  engine->spec = *spec;
  engine->slots = slots;
  engine->watch = watch;
  engine->running = g_ptr_array_new_with_free_func (g_free);
  engine->waiting = g_ptr_array_new_with_free_func (g_free);
  engine->cached = g_array_new (FALSE, FALSE, sizeof (HbwPromptPart));
  return engine;
}

void
batch_engine_destroy (BatchEngine *engine)
{
  g_ptr_array_free (engine->running, TRUE);
  g_ptr_array_free (engine->waiting, TRUE);
  g_array_free (engine->cached, TRUE);
  g_free (engine);
}

void
batch_engine_add (BatchEngine *engine, void *request, const HbwRequestSpec *spec,
                  guint tokens)
{
  Job *job = g_new0 (Job, 1);
  job->request = request;
  job->spec = *spec;
  job->urgency = spec->tier * HBW_TIER_COUNT + spec->class_tier;
  job->tokens = tokens;
  g_ptr_array_add (engine->waiting, job);
}

static void
remove_from (GPtrArray *jobs, const void *request)
{
  for (guint i = jobs->len; i > 0; i--)
    if (((Job *) jobs->pdata[i - 1])->request == request)
      g_ptr_array_remove_index (jobs, i - 1);
}

void
batch_engine_remove (BatchEngine *engine, const void *request)
{
  remove_from (engine->running, request);
  remove_from (engine->waiting, request);
}

void
batch_engine_clear (BatchEngine *engine)
{
  g_ptr_array_set_size (engine->running, 0);
  g_ptr_array_set_size (engine->waiting, 0);
  g_array_set_size (engine->cached, 0);
}

/* Marks the part with HASH recently used; returns FALSE if it is not cached. */
static gboolean
use_part (BatchEngine *engine, guint64 hash)
{
  for (guint i = 0; i < engine->cached->len; i++)
    {
      HbwPromptPart part = g_array_index (engine->cached, HbwPromptPart, i);
      if (part.hash != hash)
        continue;
      g_array_remove_index (engine->cached, i);
      g_array_append_val (engine->cached, part);
      return TRUE;
    }
  return FALSE;
}

/* Returns the tokens of the parts that running requests do not share. */
static guint
count_unshared_tokens (const BatchEngine *engine)
{
  guint tokens = 0;
  for (guint i = 0; i < engine->running->len; i++)
    {
      const Job *job = engine->running->pdata[i];
      tokens += job->spec.parts[job->spec.part_count - 1].tokens + job->generated;
    }
  return tokens;
}

static void
evict_parts (BatchEngine *engine)
{
  guint used = count_unshared_tokens (engine);
  for (guint i = 0; i < engine->cached->len; i++)
    used += g_array_index (engine->cached, HbwPromptPart, i).tokens;
  while (used > engine->spec.memory_tokens && engine->cached->len > 0)
    {
      used -= g_array_index (engine->cached, HbwPromptPart, 0).tokens;
      g_array_remove_index (engine->cached, 0);
    }
}

/* Returns how many tokens of the prompt have to be read, and counts them. */
static guint
count_unread_tokens (BatchEngine *engine, const Job *job)
{
  const HbwRequestSpec *spec = &job->spec;
  PromptWatch *watch = engine->watch;
  guint unread = job->generated;
  for (guint i = 0; i < spec->part_count; i++)
    {
      const HbwPromptPart *part = &spec->parts[i];
      gboolean is_shared = i + 1 < spec->part_count;
      if (is_shared)
        watch->shared_tokens += part->tokens;
      if (is_shared && use_part (engine, part->hash))
        continue;
      unread += part->tokens;
      if (!is_shared)
        continue;
      g_array_append_val (engine->cached, *part);
      if (!g_hash_table_add (watch->read_parts,
                             g_memdup2 (&part->hash, sizeof part->hash)))
        watch->reread_tokens += part->tokens;
    }
  return unread;
}

static Job *
find_most_urgent (const GPtrArray *jobs)
{
  Job *best = NULL;
  for (guint i = 0; i < jobs->len; i++)
    {
      Job *job = jobs->pdata[i];
      if (best == NULL || job->urgency < best->urgency)
        best = job;
    }
  return best;
}

static Job *
find_newest_of_least_urgent (const GPtrArray *jobs)
{
  Job *last = NULL;
  for (guint i = 0; i < jobs->len; i++)
    {
      Job *job = jobs->pdata[i];
      if (last == NULL || job->urgency >= last->urgency)
        last = job;
    }
  return last;
}

static void
move_job (GPtrArray *from, GPtrArray *to, Job *job)
{
  guint index;
  if (g_ptr_array_find (from, job, &index))
    g_ptr_array_add (to, g_ptr_array_steal_index (from, index));
}

static void
preempt (BatchEngine *engine, Job *job)
{
  PromptWatch *watch = engine->watch;
  watch->preempted_count++;
  move_job (engine->running, engine->waiting, job);
  for (guint i = 0; i < engine->running->len; i++)
    {
      const Job *other = engine->running->pdata[i];
      if (other->spec.class_tier > job->spec.class_tier
          && other->spec.tier >= job->spec.tier)
        {
          watch->inversion_count++;
          return;
        }
    }
}

static void
admit_jobs (BatchEngine *engine)
{
  Job *next;
  while ((next = find_most_urgent (engine->waiting)) != NULL)
    {
      if (engine->running->len >= engine->slots)
        {
          Job *last = find_newest_of_least_urgent (engine->running);
          if (last->urgency <= next->urgency)
            return;
          preempt (engine, last);
        }
      move_job (engine->waiting, engine->running, next);
      next->unread = count_unread_tokens (engine, next);
      evict_parts (engine);
    }
}

gint64
batch_engine_begin_step (BatchEngine *engine)
{
  if (engine->is_stepping)
    return 0;
  admit_jobs (engine);
  guint chunk = engine->spec.chunk_tokens;
  for (guint i = 0; i < engine->running->len; i++)
    {
      Job *job = engine->running->pdata[i];
      job->reading = MIN (chunk, job->unread);
      chunk -= job->reading;
    }
  engine->is_stepping = engine->running->len > 0;
  if (!engine->is_stepping)
    return 0;
  double reading_ms
      = (engine->spec.chunk_tokens - chunk) / engine->spec.prompt_tokens_per_ms;
  return engine->spec.step_us + (gint64) (reading_ms * HBW_US_PER_MS);
}

/* Returns the request that is complete now, or NULL. */
static void *
advance_job (BatchEngine *engine, Job *job, BatchEngineNotify notify, void *data)
{
  if (job->unread > 0)
    {
      job->unread -= job->reading;
      if (job->unread > 0)
        return NULL;
    }
  if (job->generated++ == 0)
    notify (job->request, BATCH_ENGINE_FIRST_TOKEN, data);
  if (job->generated < job->tokens)
    return NULL;
  void *request = job->request;
  g_ptr_array_remove (engine->running, job);
  return request;
}

void
batch_engine_end_step (BatchEngine *engine, BatchEngineNotify notify, void *data)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GPtrArray *complete = g_ptr_array_new ();
  engine->is_stepping = FALSE;
  for (guint i = 0; i < engine->running->len; i++)
    g_ptr_array_add (jobs, engine->running->pdata[i]);
  for (guint i = 0; i < jobs->len; i++)
    {
      if (!g_ptr_array_find (engine->running, jobs->pdata[i], NULL))
        continue;
      void *request = advance_job (engine, jobs->pdata[i], notify, data);
      if (request != NULL)
        g_ptr_array_add (complete, request);
    }
  for (guint i = 0; i < complete->len; i++)
    notify (complete->pdata[i], BATCH_ENGINE_COMPLETE, data);
  g_ptr_array_free (jobs, TRUE);
  g_ptr_array_free (complete, TRUE);
}
