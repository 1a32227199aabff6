#include "script.h"

#include <stdio.h>
#include <string.h>

/* Different shared parts of one length. */
#define PARTS_PER_LENGTH_MAX 10000

typedef struct
{
  guint number;
  int argc;
  char **argv;
} Line;

struct Script
{
  char *path;
  GPtrArray *lines; /* Line */
};

typedef gboolean (*ApplyStatement) (World *world, const Line *line, guint seed);

typedef struct
{
  const char *verb;
  int min_words; /* minimum number of words, including the verb */
  ApplyStatement apply;
} Statement;

/* --- options ------------------------------------------------------------- */

static const char *
find_option (const Line *line, const char *key, const char *fallback)
{
  for (int i = 2; i + 1 < line->argc; i++)
    if (strcmp (line->argv[i], key) == 0)
      return line->argv[i + 1];
  return fallback;
}

/* Parses "1.5s", "20ms" or "300us". */
static gint64
parse_duration (const char *text)
{
  char *end;
  double value = g_ascii_strtod (text, &end);
  if (strcmp (end, "ms") == 0)
    return (gint64) (value * HBW_US_PER_MS);
  if (strcmp (end, "us") == 0)
    return (gint64) value;
  return (gint64) (value * HBW_US_PER_S);
}

static gint64
duration_option (const Line *line, const char *key, const char *fallback)
{
  return parse_duration (find_option (line, key, fallback));
}

static double
number_option (const Line *line, const char *key, const char *fallback)
{
  char *end;
  double value = g_ascii_strtod (find_option (line, key, fallback), &end);
  return *end == '%' ? value / 100 : value;
}

static guint
count_option (const Line *line, const char *key, const char *fallback)
{
  return (guint) number_option (line, key, fallback);
}

static void
range_option (const Line *line, const char *key, const char *fallback, guint *first,
              guint *last)
{
  char **parts = g_strsplit (find_option (line, key, fallback), "..", 2);
  *first = (guint) g_ascii_strtoull (parts[0], NULL, 10);
  *last = parts[1] != NULL ? (guint) g_ascii_strtoull (parts[1], NULL, 10) : *first;
  g_strfreev (parts);
}

/* --- statements ---------------------------------------------------------- */

static gboolean
apply_link (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  WorldLink link = { 0 };
  link.local_us = duration_option (line, "local", "1ms");
  link.remote_us = duration_option (line, "remote", "1ms");
  link.jitter_us = duration_option (line, "jitter", "0");
  link.loss = number_option (line, "loss", "0");
  link.duplicate = number_option (line, "duplicate", "0");
  world_set_link (world, &link);
  return TRUE;
}

static gboolean
apply_instances (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  const WorldMachine machine = {
    .link_mbps = count_option (line, "link", "0"),
    .processor_percent = (guint) (100 * number_option (line, "cores", "0")),
  };
  world_add_instances (world, line->argv[1], count_option (line, "count", "1"),
                       &machine);
  return TRUE;
}

static gboolean
apply_revocation (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  world_set_revocation (world, parse_duration (line->argv[1]));
  return TRUE;
}

static gboolean
apply_poison_restart (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  world_set_poison_restart (world, parse_duration (line->argv[1]));
  return TRUE;
}

static gboolean
apply_harmful_part (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  part_watch_set_harmful (world_part_watch (world),
                          g_ascii_strtoull (line->argv[1], NULL, 10));
  return TRUE;
}

static gboolean
apply_servers (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  world_add_servers (
      world, line->argv[1], line->argv[2], count_option (line, "count", "1"),
      count_option (line, "slots", "16"), duration_option (line, "prefill", "100ms"),
      duration_option (line, "token", "20ms"), find_option (line, "version", ""));
  return TRUE;
}

/* Lets the servers of a pool batch requests and cache prompts. */
static gboolean
apply_engine (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  BatchEngineSpec spec = { 0 };
  spec.step_us = duration_option (line, "step", "5ms");
  spec.prompt_tokens_per_ms = number_option (line, "speed", "50");
  spec.chunk_tokens = count_option (line, "chunk", "4096");
  spec.memory_tokens = count_option (line, "memory", "500000");
  world_set_engines (world, line->argv[1], &spec);
  return TRUE;
}

/* Loads with the same shared tokens have the same shared parts. */
static void
set_prompt (WorldPrompt *prompt, const Line *line)
{
  prompt->shared_tokens = count_option (line, "shared", "0");
  prompt->shared_count = count_option (line, "of", "0");
  prompt->first_part = (guint64) prompt->shared_tokens * PARTS_PER_LENGTH_MAX + 1;
  range_option (line, "own", "1", &prompt->own_min, &prompt->own_max);
  prompt->spread = number_option (line, "spread", "1");
}

static gboolean
apply_load (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  WorldLoad load = { .rate = number_option (line, "rate", "1") };
  g_strlcpy (load.name, line->argv[1], sizeof load.name);
  g_strlcpy (load.class_name, find_option (line, "class", ""),
             sizeof load.class_name);
  g_strlcpy (load.organisation, find_option (line, "organisation", ""),
             sizeof load.organisation);
  g_strlcpy (load.pool, find_option (line, "pool", ""), sizeof load.pool);
  g_strlcpy (load.data_centre, find_option (line, "dc", ""),
             sizeof load.data_centre);
  range_option (line, "tokens", "50", &load.tokens_min, &load.tokens_max);
  load.from_us = duration_option (line, "from", "0");
  load.to_us = duration_option (line, "to", "3600s");
  load.not_idempotent = strcmp (find_option (line, "repeatable", "yes"), "no") == 0;
  load.poison = strcmp (find_option (line, "poison", "no"), "yes") == 0;
  load.silent = strcmp (find_option (line, "silent", "no"), "yes") == 0;
  g_strlcpy (load.parts, find_option (line, "parts", ""), sizeof load.parts);
  set_prompt (&load.prompt, line);
  load.whole = strcmp (find_option (line, "whole", "no"), "yes") == 0;
  load.resumable = strcmp (find_option (line, "resumable", "no"), "yes") == 0;
  load.unnamed = strcmp (find_option (line, "unnamed", "no"), "yes") == 0;
  load.attempts_max = count_option (line, "attempts", "0");
  load.timeout_us = duration_option (line, "timeout", "0");
  load.max_resends = count_option (line, "resend", "0");
  load.max_requests = count_option (line, "count", "0");
  load.body = count_option (line, "body", "0");
  world_add_load (world, &load);
  return TRUE;
}

static gboolean
apply_at (World *world, const Line *line, guint seed G_GNUC_UNUSED)
{
  return world_add_fault (world, parse_duration (line->argv[1]), line->argv[2],
                          line->argc > 3 ? line->argv[3] : "",
                          line->argc > 4 ? line->argv[4] : "");
}

/* Schedules random faults that depend on the seed, each reverted after one to four
   seconds.  Example:
   "chaos every 4s from 5s to 40s subjects a1,a2 kinds pause,kill,cut,store". */
static gboolean
apply_chaos (World *world, const Line *line, guint seed)
{
  GRand *random = g_rand_new_with_seed (seed * 7919);
  char **subjects = g_strsplit (find_option (line, "subjects", ""), ",", -1);
  char **kinds = g_strsplit (find_option (line, "kinds", "pause"), ",", -1);
  gint64 step = duration_option (line, "every", "5s");
  gboolean known = TRUE;
  for (gint64 at = duration_option (line, "from", "5s");
       at < duration_option (line, "to", "30s"); at += step)
    {
      const char *subject = subjects[g_rand_int_range (
          random, 0, (gint32) g_strv_length (subjects))];
      const char *kind
          = kinds[g_rand_int_range (random, 0, (gint32) g_strv_length (kinds))];
      double length = g_rand_double_range (random, 1, 4);
      gint64 end = at + (gint64) (length * HBW_US_PER_S);
      char text[32];
      g_snprintf (text, sizeof text, "%.2f", length);
      if (strcmp (kind, "pause") == 0)
        known &= world_add_fault (world, at, "pause", subject, text);
      else if (strcmp (kind, "kill") == 0)
        known &= world_add_fault (world, at, "kill", subject, "")
                 && world_add_fault (world, end, "revive", subject, "");
      else if (strcmp (kind, "cut") == 0)
        known &= world_add_fault (world, at, "cut", subject, "all")
                 && world_add_fault (world, end, "heal", subject, "all");
      else if (strcmp (kind, "crash") == 0)
        known &= world_add_fault (world, at, "crash", subject, "")
                 && world_add_fault (world, end, "restart", subject, "");
      else if (strcmp (kind, "store") == 0)
        known &= world_add_fault (world, at, "store-down", "", "")
                 && world_add_fault (world, end, "store-up", "", "");
      else
        known = FALSE;
    }
  g_strfreev (subjects);
  g_strfreev (kinds);
  g_rand_free (random);
  return known;
}

/* Handles statements that make_catalogue() and other functions evaluate. */
static gboolean
accept_statement (World *world G_GNUC_UNUSED, const Line *line G_GNUC_UNUSED,
                  guint seed G_GNUC_UNUSED)
{
  return TRUE;
}

static const Statement statements[] = {
  { "link", 1, apply_link },
  { "class", 2, accept_statement },
  { "organisation", 2, accept_statement },
  { "pool", 3, accept_statement },
  { "instances", 2, apply_instances },
  { "servers", 3, apply_servers },
  { "engine", 2, apply_engine },
  { "revocation", 2, apply_revocation },
  { "poison_restart", 2, apply_poison_restart },
  { "harmful_part", 2, apply_harmful_part },
  { "load", 2, apply_load },
  { "at", 3, apply_at },
  { "chaos", 1, apply_chaos },
  { "run", 2, accept_statement },
  { "policy", 2, accept_statement },
  { "expect", 4, accept_statement },
};

static const Statement *
find_statement (const char *verb)
{
  for (gsize i = 0; i < G_N_ELEMENTS (statements); i++)
    if (strcmp (statements[i].verb, verb) == 0)
      return &statements[i];
  return NULL;
}

/* --- the catalogue ------------------------------------------------------- */

static void
add_class (GString *text, const Line *line)
{
  g_string_append_printf (
      text,
      "\"%s\":{\"tier\":%u,\"first_token_ms\":%d,\"inter_token_ms\":%d,"
      "\"deadline_ms\":%d,\"queue_bound\":%u,\"expected_tokens\":%u}",
      line->argv[1], count_option (line, "tier", "0"),
      (int) (duration_option (line, "first_token", "390ms") / HBW_US_PER_MS),
      (int) (duration_option (line, "inter_token", "44ms") / HBW_US_PER_MS),
      (int) (duration_option (line, "deadline", "0") / HBW_US_PER_MS),
      count_option (line, "queue", "1000"), count_option (line, "tokens", "60"));
}

static void
add_organisation (GString *text, const Line *line)
{
  char **classes = g_strsplit (find_option (line, "classes", ""), ",", -1);
  char *list = g_strjoinv ("\",\"", classes);
  const char *tier_option = find_option (line, "tier", NULL);
  char *tier = tier_option != NULL ? g_strdup_printf ("\"tier\":%s,", tier_option)
                                   : g_strdup ("");
  g_string_append_printf (
      text,
      "\"%s\":{\"keys\":[],\"classes\":[\"%s\"],\"weight\":%u,%s\"limits\":"
      "{\"requests_per_s\":%u,\"tokens_per_s\":%u,\"in_progress\":%u}}",
      line->argv[1], list, count_option (line, "weight", "1"), tier,
      count_option (line, "requests", "0"), count_option (line, "tokens", "0"),
      count_option (line, "in_progress", "0"));
  g_free (tier);
  g_free (list);
  g_strfreev (classes);
}

static void
add_pool (GString *text, const Line *line)
{
  g_string_append_printf (text, "\"%s\":{\"kind\":\"%s\"}", line->argv[1],
                          line->argv[2]);
}

static void
add_section (const Script *script, GString *text, const char *verb,
             void (*add) (GString *text, const Line *line))
{
  gboolean first = TRUE;
  for (guint i = 0; i < script->lines->len; i++)
    {
      const Line *line = script->lines->pdata[i];
      if (strcmp (line->argv[0], verb) != 0)
        continue;
      if (!first)
        g_string_append_c (text, ',');
      first = FALSE;
      add (text, line);
    }
}

static char *
make_catalogue (const Script *script)
{
  GString *text = g_string_new ("{\"classes\":{");
  add_section (script, text, "class", add_class);
  g_string_append (text, "},\"pools\":{");
  add_section (script, text, "pool", add_pool);
  g_string_append (text, "},\"organisations\":{");
  add_section (script, text, "organisation", add_organisation);
  g_string_append (text, "}}");
  return g_string_free (text, FALSE);
}

/* --- expectations -------------------------------------------------------- */

static double
class_value (const WorldClass *class, const char *quantity, gboolean *known)
{
  guint64 ended = class->arrived - class->in_progress;
  if (strcmp (quantity, "attainment") == 0)
    return ended > 0 ? (double) class->in_target / (double) ended : 1;
  if (strcmp (quantity, "gap") == 0)
    return (double) class->longest_gap_us / HBW_US_PER_S;
  if (strcmp (quantity, "completed") == 0)
    return (double) class->completed;
  if (strcmp (quantity, "answered") == 0)
    return ended > 0 ? (double) class->completed / (double) ended : 1;
  if (strcmp (quantity, "broken") == 0)
    return (double) class->broken;
  if (strcmp (quantity, "lost") == 0)
    return (double) class->lost;
  if (strcmp (quantity, "open") == 0)
    return (double) class->in_progress;
  if (strcmp (quantity, "wasted") == 0)
    return (double) class->wasted_tokens
           / MAX (1.0, (double) (class->wasted_tokens + class->good_tokens));
  for (guint i = 0; i < HBW_REASON_COUNT; i++)
    if (strcmp (quantity, hbw_reason_name ((HbwReason) i)) == 0)
      return (double) class->refused[i];
  *known = FALSE;
  return 0;
}

static double
part_value (const PartWatch *watch, const char *quantity, gboolean *known)
{
  if (strcmp (quantity, "failed") == 0)
    return part_watch_failed_count (watch);
  if (strcmp (quantity, "late") == 0)
    return part_watch_late_count (watch);
  if (strcmp (quantity, "refused") == 0)
    return part_watch_refused_count (watch);
  if (strcmp (quantity, "sound") == 0)
    return part_watch_sound_share (watch);
  *known = FALSE;
  return 0;
}

static double
stream_value (const StreamWatch *watch, const char *quantity, gboolean *known)
{
  if (strcmp (quantity, "mixed") == 0)
    return stream_watch_mixed_count (watch);
  if (strcmp (quantity, "resumptions") == 0)
    return stream_watch_resumption_count (watch);
  if (strcmp (quantity, "begun") == 0)
    return stream_watch_begun_share (watch);
  if (strcmp (quantity, "resumed") == 0)
    return stream_watch_resumed_share (watch);
  *known = FALSE;
  return 0;
}

static double
prompt_value (const PromptWatch *watch, const char *quantity, gboolean *known)
{
  if (strcmp (quantity, "reread") == 0)
    return (double) watch->reread_tokens / MAX (1.0, (double) watch->shared_tokens);
  if (strcmp (quantity, "preempted") == 0)
    return watch->preempted_count;
  if (strcmp (quantity, "inversions") == 0)
    return watch->inversion_count;
  *known = FALSE;
  return 0;
}

static double
subject_value (const World *world, const char *subject, const char *quantity,
               gboolean *known)
{
  if (strcmp (subject, "servers") == 0 && strcmp (quantity, "poisoned") == 0)
    return world_poisoned_server_count (world);
  if (strcmp (subject, "servers") == 0 && strcmp (quantity, "toppled") == 0)
    return world_toppled_count (world);
  if (strcmp (subject, "servers") == 0 && strcmp (quantity, "limited") == 0)
    return world_limited_request_count (world);
  if (strcmp (subject, "store") == 0 && strcmp (quantity, "calls") == 0)
    return world_store_call_count (world);
  if (strcmp (subject, "part") == 0)
    return part_value (world_part_watch (world), quantity, known);
  if (strcmp (subject, "prompts") == 0)
    return prompt_value (world_prompt_watch (world), quantity, known);
  if (strcmp (subject, "streams") == 0)
    return stream_value (world_stream_watch (world), quantity, known);
  if (strcmp (quantity, "received") == 0)
    return world_request_count (world, subject);
  if (strcmp (subject, "rollout") == 0 && strcmp (quantity, "median") == 0)
    return world_rollout_quantile_s (world, 0.5);
  if (strcmp (subject, "rollout") == 0 && strcmp (quantity, "p99") == 0)
    return world_rollout_quantile_s (world, 0.99);
  if (strcmp (subject, "messages") == 0 && strcmp (quantity, "rate") == 0)
    return world_message_rate (world);
  if (strcmp (subject, "messages") == 0 && strcmp (quantity, "wait") == 0)
    return world_longest_message_wait_s (world);
  if (strcmp (subject, "comparisons") == 0 && strcmp (quantity, "request") == 0)
    return world_comparisons_per_request (world);
  const GPtrArray *classes = world_classes (world);
  for (guint i = 0; i < classes->len; i++)
    {
      const WorldClass *class = classes->pdata[i];
      if (strcmp (class->name, subject) == 0)
        return class_value (class, quantity, known);
    }
  *known = FALSE;
  return 0;
}

static gboolean
compare_values (double value, const char *relation, double bound, gboolean *known)
{
  if (strcmp (relation, ">=") == 0)
    return value >= bound;
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  if (strcmp (relation, "==") == 0)
    return value == bound;
  *known = FALSE;
  return FALSE;
}

/* Evaluates "expect CLASS WHAT within 1% without LOAD" by running the same seed
   again without LOAD. */
static char *
check_without_load (const Script *script, const Line *line, const World *world,
                    const ScriptOptions *run)
{
  gboolean known = line->argc > 6;
  ScriptOptions options = *run;
  options.omitted_load = known ? line->argv[6] : "";
  options.trace = FALSE;
  World *other = script_run (script, &options);
  double value = subject_value (world, line->argv[1], line->argv[2], &known);
  double base = subject_value (other, line->argv[1], line->argv[2], &known);
  double bound = g_ascii_strtod (line->argv[4], NULL) / 100;
  world_destroy (other);
  if (known && ABS (value - base) <= bound)
    return NULL;
  return g_strdup_printf ("%s:%u: found %g; without %s: %g", script->path,
                          line->number, value, options.omitted_load, base);
}

static char *
check_expectation (const Script *script, const Line *line, const World *world,
                   const ScriptOptions *run)
{
  gboolean known = TRUE;
  if (strcmp (line->argv[3], "within") == 0)
    return check_without_load (script, line, world, run);
  const char *relation = line->argv[3];
  const char *bound_text = line->argc > 4 ? line->argv[4] : "";
  char *end;
  double bound = g_ascii_strtod (bound_text, &end);
  if (strcmp (end, "ms") == 0)
    bound /= 1000;
  double value = subject_value (world, line->argv[1], line->argv[2], &known);
  gboolean met = compare_values (value, relation, bound, &known);
  if (known && met)
    return NULL;
  return g_strdup_printf ("%s:%u: expect %s %s %s %s: %s %g", script->path,
                          line->number, line->argv[1], line->argv[2], relation,
                          bound_text, known ? "found" : "unknown;", value);
}

/* --- files --------------------------------------------------------------- */

static void
line_free (gpointer data)
{
  Line *line = data;
  g_strfreev (line->argv);
  g_free (line);
}

static gboolean
add_line (Script *script, const char *text, guint number)
{
  GError *reason = NULL;
  Line *line = g_new0 (Line, 1);
  line->number = number;
  if (!g_shell_parse_argv (text, &line->argc, &line->argv, &reason))
    {
      gboolean empty
          = g_error_matches (reason, G_SHELL_ERROR, G_SHELL_ERROR_EMPTY_STRING);
      if (!empty)
        fprintf (stderr, "%s:%u: %s\n", script->path, number, reason->message);
      g_error_free (reason);
      g_free (line);
      return empty;
    }
  const Statement *statement = find_statement (line->argv[0]);
  g_ptr_array_add (script->lines, line);
  if (statement != NULL && line->argc >= statement->min_words)
    return TRUE;
  fprintf (stderr, "%s:%u: %s; see docs/SCENARIOS.md\n", script->path, number,
           statement == NULL ? "unknown statement" : "too few words");
  return FALSE;
}

Script *
script_load (const char *path)
{
  char *text;
  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      fprintf (stderr, "%s: cannot be read\n", path);
      return NULL;
    }
  Script *script = g_new0 (Script, 1);
  script->path = g_path_get_basename (path);
  script->lines = g_ptr_array_new_with_free_func (line_free);
  char **lines = g_strsplit (text, "\n", -1);
  gboolean valid = TRUE;
  for (guint i = 0; lines[i] != NULL && valid; i++)
    valid = add_line (script, lines[i], i + 1);
  g_strfreev (lines);
  g_free (text);
  if (!valid)
    g_clear_pointer (&script, script_destroy);
  return script;
}

void
script_destroy (Script *script)
{
  g_ptr_array_free (script->lines, TRUE);
  g_free (script->path);
  g_free (script);
}

static const Line *
find_line (const Script *script, const char *verb)
{
  for (guint i = 0; i < script->lines->len; i++)
    {
      const Line *line = script->lines->pdata[i];
      if (strcmp (line->argv[0], verb) == 0)
        return line;
    }
  return NULL;
}

void
script_seed_range (const Script *script, guint *first, guint *last)
{
  const Line *line = find_line (script, "run");
  *first = *last = 1;
  if (line != NULL)
    range_option (line, "seeds", "1", first, last);
}

char **
script_policies (const Script *script)
{
  const Line *line = find_line (script, "policy");
  return g_strsplit (line != NULL ? line->argv[1] : "owner", ",", -1);
}

World *
script_run (const Script *script, const ScriptOptions *options)
{
  const Line *run = find_line (script, "run");
  World *world = world_create (options->seed, options->policy);
  char *catalogue = make_catalogue (script);
  world_set_trace (world, options->trace);
  world_set_document (world, HBW_DOCUMENT_CATALOGUE, catalogue);
  g_free (catalogue);
  for (guint i = 0; i < script->lines->len; i++)
    {
      const Line *line = script->lines->pdata[i];
      gboolean omitted = options->omitted_load != NULL
                         && strcmp (line->argv[0], "load") == 0
                         && strcmp (line->argv[1], options->omitted_load) == 0;
      if (omitted
          || find_statement (line->argv[0])->apply (world, line, options->seed))
        continue;
      fprintf (stderr, "%s:%u: refers to an unknown name\n", script->path,
               line->number);
      world_destroy (world);
      return NULL;
    }
  world_run (world, run != NULL ? parse_duration (run->argv[1]) : 30 * HBW_US_PER_S);
  return world;
}

char *
script_check_expectations (const Script *script, const World *world,
                           const ScriptOptions *run)
{
  if (world_violation (world) != NULL)
    return g_strdup_printf ("%s: %s", script->path, world_violation (world));
  for (guint i = 0; i < script->lines->len; i++)
    {
      const Line *line = script->lines->pdata[i];
      if (strcmp (line->argv[0], "expect") != 0)
        continue;
      char *violation = check_expectation (script, line, world, run);
      if (violation != NULL)
        return violation;
    }
  return NULL;
}
