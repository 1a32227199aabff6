/*
 * Tests of the decisions that the users' platform asked for, on the reducer and its
 * parts alone: admission, retries, lists of servers, and where requests are placed.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/reducer.h"
#include "hornbeamwall/core/retry_budget.h"

#include <stdio.h>
#include <string.h>

#define POOL "m"

/* --- a reducer under test ---------------------------------------------------------
 */

typedef struct
{
  HbwReducer *reducer;
  HbwEffects *effects; /* of the last step */
  gint64 now_us;
} Bench;

static void
step (Bench *bench, HbwEvent *event)
{
  event->now_us = bench->now_us;
  hbw_effects_clear (bench->effects);
  hbw_reducer_step (bench->reducer, event, bench->effects);
}

static void
give_document (Bench *bench, HbwDocumentKind kind, gint64 version, const char *text)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT };
  event.document.kind = kind;
  event.document.version = version;
  event.document.body = text != NULL ? g_bytes_new (text, strlen (text)) : NULL;
  step (bench, &event);
  if (event.document.body != NULL)
    g_bytes_unref (event.document.body);
}

static void
tick (Bench *bench, gint64 after_us)
{
  HbwEvent event = { .kind = HBW_EVENT_TICK };
  bench->now_us += after_us;
  step (bench, &event);
}

static char *
list_servers (guint count, guint slots, const char *const *more)
{
  GString *text = g_string_new ("{\"servers\":[");
  for (guint i = 0; i < count; i++)
    g_string_append_printf (text,
                            "%s{\"id\":\"e%u\",\"pool\":\"" POOL
                            "\",\"data_centre\":\"%s\",\"address\":\"10.0.0.1:%u\","
                            "\"slots\":%u,\"start\":1%s}",
                            i > 0 ? "," : "", i, i % 2 == 0 ? "a" : "b", i + 1,
                            slots, more != NULL && more[i] != NULL ? more[i] : "");
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
give_servers (Bench *bench, gint64 version, guint count, guint slots,
              const char *const *more)
{
  char *text = list_servers (count, slots, more);
  give_document (bench, HBW_DOCUMENT_SERVERS, version, text);
  g_free (text);
}

static Bench
bench_create (guint64 identity, guint servers, guint slots)
{
  Bench bench = { .now_us = HBW_US_PER_S };
  HbwReducerConfig config = { .policy = hbw_policy_find ("direct"), .seed = 1 };
  config.now_us = bench.now_us;
  config.self.identity = identity;
  config.load_in_answers = TRUE;
  config.revocation_us = 5 * HBW_US_PER_S;
  config.linger_us = 2 * HBW_US_PER_S;
  g_strlcpy (config.self.data_centre, "a", sizeof config.self.data_centre);
  g_snprintf (config.self.address, sizeof config.self.address,
              "10.1.0.%" G_GUINT64_FORMAT ":1", identity);
  bench.reducer = hbw_reducer_create (&config);
  bench.effects = hbw_effects_create ();
  give_document (&bench, HBW_DOCUMENT_STOPS, 0, NULL);
  give_servers (&bench, 1, servers, slots, NULL);
  return bench;
}

static void
bench_destroy (Bench *bench)
{
  hbw_effects_destroy (bench->effects);
  hbw_reducer_destroy (bench->reducer);
}

static HbwRequestSpec
make_spec (void)
{
  HbwRequestSpec spec = { .pool = POOL, .class_name = "c", .organisation = "o" };
  spec.weight = 1;
  spec.queue_bound = 1000;
  spec.target_us = 300 * HBW_US_PER_MS;
  spec.inter_token_us = 250 * HBW_US_PER_MS;
  spec.deadline_us = 5 * HBW_US_PER_S;
  spec.timeout_us = 5 * HBW_US_PER_S;
  spec.attempts_max = 2;
  spec.idempotent = TRUE;
  return spec;
}

static void
arrive (Bench *bench, guint64 sequence, const HbwRequestSpec *spec)
{
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = sequence;
  event.arrival.spec = *spec;
  event.arrival.spec.fingerprint.low = sequence;
  step (bench, &event);
}

static void
end (Bench *bench, guint64 sequence, guint attempt, HbwOutcome outcome,
     gboolean begun)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED };
  event.end.sequence = sequence;
  event.end.attempt = attempt;
  event.end.outcome = outcome;
  event.end.answer_begun = begun;
  step (bench, &event);
}

/* Returns the first effect of KIND of the last step, or NULL. */
static const HbwEffect *
find (const Bench *bench, HbwEffectKind kind)
{
  for (guint i = 0; i < hbw_effects_count (bench->effects); i++)
    if (hbw_effects_get (bench->effects, i)->kind == kind)
      return hbw_effects_get (bench->effects, i);
  return NULL;
}

static const char *
started_at (const Bench *bench)
{
  const HbwEffect *effect = find (bench, HBW_EFFECT_START_ATTEMPT);
  return effect != NULL ? effect->start.server : "";
}

/* --- admission
 * ---------------------------------------------------------------------- */

static HbwCatalogue *
make_catalogue (void)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  char *hash = hbw_catalogue_hash_key ("k");
  char *text = g_strdup_printf (
      "{\"classes\":{\"c\":{\"tier\":1,\"first_token_ms\":100,\"inter_token_ms\":50}"
      "},"
      "\"pools\":{\"m\":{\"kind\":\"model\"}},"
      "\"organisations\":{\"o\":{\"keys\":[\"%s\"],\"classes\":[\"*\"],\"tier\":0}},"
      "\"endpoints\":{"
      "\"e\":{\"host\":\"h\",\"path_prefix\":\"/a/\",\"class\":\"c\",\"targets\":"
      "[{\"pool\":\"m\"}],\"repeat\":\"always\",\"attempts\":2,\"timeout_ms\":800},"
      "\"f\":{\"host\":\"h\",\"path_prefix\":\"/o/\",\"class\":\"c\",\"targets\":"
      "[{\"pool\":\"m\"}],\"anonymous\":true,\"timeout_ms\":800}}}",
      hash);
  HbwCatalogue *catalogue = hbw_catalogue_parse (text, strlen (text), 1, &error);
  ck_assert_msg (catalogue != NULL, "%s", error.message);
  g_free (text);
  g_free (hash);
  return catalogue;
}

/* What is known for how long decides what may be claimed: the store is silent for
   this instance alone, and a key may have been taken away at once. */
START_TEST (old_knowledge_is_no_ground_to_accept_or_deny)
{
  static const struct
  {
    gint64 age_ms;
    const char *path;
    const char *key;
    HbwReason reason;
  } cases[] = {
    { 10, "/a/x", "k", HBW_REASON_COUNT },
    { 10, "/a/x", "other", HBW_REASON_NO_KEY },
    { 10, "/a/x", NULL, HBW_REASON_NO_KEY },
    { 10, "/b/x", "k", HBW_REASON_NO_ENDPOINT },
    { 10, "/o/x", NULL, HBW_REASON_COUNT },
    { 3000, "/a/x", "k", HBW_REASON_COUNT },
    { 3000, "/a/x", "other", HBW_REASON_NO_CATALOGUE },
    { 3000, "/b/x", "k", HBW_REASON_NO_CATALOGUE },
    { 4900, "/a/x", "k", HBW_REASON_NO_CATALOGUE },
    { 60000, "/a/x", "k", HBW_REASON_NO_CATALOGUE },
    { 60000, "/o/x", NULL, HBW_REASON_COUNT },
  };
  HbwCatalogue *catalogue = make_catalogue ();
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const HbwFreshness freshness
          = { cases[i].age_ms * HBW_US_PER_MS, 5 * HBW_US_PER_S };
      const HbwAsk ask = { .host = "h", .path = cases[i].path, .key = cases[i].key };
      HbwRequestSpec spec;
      HbwReason reason = hbw_admit (catalogue, &freshness, &ask, &spec);
      ck_assert_msg (reason == cases[i].reason, "%zu: %d", i, reason);
    }
  const HbwFreshness fresh = { 0, 5 * HBW_US_PER_S };
  const HbwAsk ask = { .host = "h", .path = "/a/", .key = "k", .deadline_us = 7 };
  HbwRequestSpec spec;
  ck_assert_int_eq (hbw_admit (NULL, &fresh, &ask, &spec), HBW_REASON_NO_CATALOGUE);
  ck_assert_int_eq (hbw_admit (catalogue, &fresh, &ask, &spec), HBW_REASON_COUNT);
  ck_assert_uint_eq (spec.tier, 0);
  ck_assert_int_eq (spec.deadline_us, 7);
  ck_assert_str_eq (spec.organisation, "o");
  hbw_catalogue_unref (catalogue);
}
END_TEST

/* A newer catalogue that is not valid here leaves the older one unconfirmed. */
START_TEST (readiness_needs_a_confirmed_catalogue)
{
  Bench bench = bench_create (1, 2, 8);
  HbwEvent confirm = { .kind = HBW_EVENT_CONFIRMED };
  static const char text[]
      = "{\"classes\":{},\"pools\":{},\"organisations\":{},\"endpoints\":{}}";
  give_document (&bench, HBW_DOCUMENT_CATALOGUE, 3, text);
  ck_assert (!hbw_reducer_is_ready (bench.reducer));
  confirm.confirmation.asked_us = bench.now_us;
  confirm.confirmation.version = 4;
  step (&bench, &confirm);
  ck_assert (!hbw_reducer_is_ready (bench.reducer));
  confirm.confirmation.version = 3;
  step (&bench, &confirm);
  ck_assert (hbw_reducer_is_ready (bench.reducer));
  give_document (&bench, HBW_DOCUMENT_CATALOGUE, 2, text);
  ck_assert_int_eq (hbw_reducer_version (bench.reducer, HBW_DOCUMENT_CATALOGUE), 3);
  tick (&bench, 4900 * HBW_US_PER_MS);
  ck_assert (!hbw_reducer_is_ready (bench.reducer));
  bench_destroy (&bench);
}
END_TEST

/* --- retries
 * -------------------------------------------------------------------------- */

/* Any span of the window counts, wherever it begins. */
START_TEST (retries_keep_within_the_budget_in_every_window)
{
  const HbwRetryLimits limits
      = { .percent = 20, .extra = 54, .window_us = 10 * HBW_US_PER_S };
  HbwRetryBudget *budget = hbw_retry_budget_create (&limits);
  GRand *random = g_rand_new_with_seed (7);
  GArray *taken = g_array_new (FALSE, FALSE, sizeof (gint64));
  GArray *asked = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (gint64 now = 0; now < 60 * HBW_US_PER_S;
       now += g_rand_int_range (random, 1, 100000))
    {
      gboolean storm = now / (7 * HBW_US_PER_S) % 2 == 1;
      hbw_retry_budget_note_request (budget, POOL, now);
      g_array_append_val (asked, now);
      for (guint i = 0; i < (storm ? 5U : 1U); i++)
        if (hbw_retry_budget_take (budget, POOL, 1, now))
          g_array_append_val (taken, now);
    }
  for (guint i = 0; i < taken->len; i++)
    {
      gint64 from = g_array_index (taken, gint64, i);
      guint repeats = 0;
      guint requests = 0;
      for (guint k = i; k < taken->len; k++)
        repeats += g_array_index (taken, gint64, k) - from < limits.window_us;
      for (guint k = 0; k < asked->len; k++)
        {
          gint64 at = g_array_index (asked, gint64, k) - from;
          requests += at > -limits.window_us && at < limits.window_us;
        }
      ck_assert_uint_le (repeats, requests / 5 + limits.extra / 8 + 1);
    }
  ck_assert_uint_gt (taken->len, 10);
  g_array_free (taken, TRUE);
  g_array_free (asked, TRUE);
  g_rand_free (random);
  hbw_retry_budget_destroy (budget);
}
END_TEST

START_TEST (request_that_may_not_repeat_runs_once)
{
  static const HbwOutcome outcomes[]
      = { HBW_OUTCOME_BROKEN, HBW_OUTCOME_TIMED_OUT, HBW_OUTCOME_FAILED };
  Bench bench = bench_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      arrive (&bench, i + 1, &spec);
      ck_assert_str_ne (started_at (&bench), "");
      end (&bench, i + 1, 1, outcomes[i], FALSE);
      ck_assert_str_eq (started_at (&bench), "");
      const HbwEffect *refusal = find (&bench, HBW_EFFECT_REFUSE);
      if (refusal != NULL)
        ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_UNKNOWN);
      else
        ck_assert (find (&bench, HBW_EFFECT_FINISH) != NULL);
    }
  bench_destroy (&bench);
}
END_TEST

START_TEST (unrun_attempts_count_against_the_endpoint)
{
  Bench bench = bench_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.attempts_max = 1;
  arrive (&bench, 1, &spec);
  end (&bench, 1, 1, HBW_OUTCOME_REFUSED, FALSE);
  const HbwEffect *refusal = find (&bench, HBW_EFFECT_REFUSE);
  ck_assert (refusal != NULL);
  ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_NO);
  spec.attempts_max = 2;
  arrive (&bench, 2, &spec);
  char first[HBW_NAME_MAX];
  g_strlcpy (first, started_at (&bench), sizeof first);
  end (&bench, 2, 1, HBW_OUTCOME_REFUSED, FALSE);
  ck_assert_str_ne (started_at (&bench), "");
  ck_assert_str_ne (started_at (&bench), first);
  bench_destroy (&bench);
}
END_TEST

/* Seen on gazetteer-eu, deploy/days/cuts_and_loss.toml: a server had left its
   address to another one, and 29 requests that had run nowhere were refused. */
START_TEST (misdirected_request_finds_another_server)
{
  Bench bench = bench_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.attempts_max = 1;
  arrive (&bench, 1, &spec);
  char first[HBW_NAME_MAX];
  g_strlcpy (first, started_at (&bench), sizeof first);
  end (&bench, 1, 1, HBW_OUTCOME_MISDIRECTED, FALSE);
  ck_assert_str_ne (started_at (&bench), "");
  ck_assert_str_ne (started_at (&bench), first);
  arrive (&bench, 2, &spec);
  ck_assert_str_ne (started_at (&bench), first);
  bench_destroy (&bench);
}
END_TEST

START_TEST (only_a_stream_that_may_resume_goes_on_elsewhere)
{
  Bench bench = bench_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  arrive (&bench, 1, &spec);
  end (&bench, 1, 1, HBW_OUTCOME_BROKEN, TRUE);
  ck_assert_str_eq (started_at (&bench), "");
  ck_assert (find (&bench, HBW_EFFECT_FINISH) != NULL);
  spec.resumable = TRUE;
  arrive (&bench, 2, &spec);
  end (&bench, 2, 1, HBW_OUTCOME_BROKEN, TRUE);
  ck_assert_str_ne (started_at (&bench), "");
  bench_destroy (&bench);
}
END_TEST

START_TEST (answer_is_due_at_the_operators_limit)
{
  Bench bench = bench_create (1, 1, 1);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.timeout_us = spec.deadline_us = 800 * HBW_US_PER_MS;
  arrive (&bench, 1, &spec);
  arrive (&bench, 2, &spec);
  arrive (&bench, 3, &spec);
  ck_assert_str_eq (started_at (&bench), "");
  tick (&bench, 799 * HBW_US_PER_MS);
  ck_assert (find (&bench, HBW_EFFECT_REFUSE) == NULL);
  tick (&bench, 26 * HBW_US_PER_MS);
  guint running = 0;
  guint waiting = 0;
  for (guint i = 0; i < hbw_effects_count (bench.effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (bench.effects, i);
      if (effect->kind != HBW_EFFECT_REFUSE)
        continue;
      if (effect->refuse.executed == HBW_EXECUTED_NO)
        waiting++;
      else
        running++;
    }
  ck_assert_uint_ge (running, 1);
  ck_assert_uint_ge (waiting, 1);
  bench_destroy (&bench);
}
END_TEST

START_TEST (planned_stop_takes_requests_for_a_while)
{
  Bench bench = bench_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  HbwEvent drain = { .kind = HBW_EVENT_DRAIN };
  step (&bench, &drain);
  ck_assert (!hbw_reducer_is_ready (bench.reducer));
  arrive (&bench, 1, &spec);
  ck_assert_str_ne (started_at (&bench), "");
  tick (&bench, 2 * HBW_US_PER_S);
  arrive (&bench, 2, &spec);
  const HbwEffect *refusal = find (&bench, HBW_EFFECT_REFUSE);
  ck_assert (refusal != NULL && refusal->refuse.reason == HBW_REASON_DRAINING);
  bench_destroy (&bench);
}
END_TEST

/* --- lists of servers
 * ------------------------------------------------------------------ */

/* Seen on gazetteer-eu, scale-2 --seed 146136422989: an instance that had been cut
   off from the store took a server up again that its peers had told it was leaving.
 */
START_TEST (lapsed_entry_revives_no_server_that_left)
{
  static const char *const leaving[] = { ",\"state\":\"leaving\"", NULL };
  static const char *const lapsed[] = { ",\"lapsed\":true", NULL };
  Bench bench = bench_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  give_servers (&bench, 2, 1, 8, lapsed);
  arrive (&bench, 1, &spec);
  ck_assert_str_eq (started_at (&bench), "e0");
  give_servers (&bench, 3, 1, 8, leaving);
  give_servers (&bench, 4, 1, 8, lapsed);
  arrive (&bench, 2, &spec);
  ck_assert_str_eq (started_at (&bench), "");
  bench_destroy (&bench);
}
END_TEST

START_TEST (restart_under_the_same_name_starts_anew)
{
  static const char *const again[] = { ",\"start\":2", NULL };
  Bench bench = bench_create (1, 1, 1);
  HbwRequestSpec spec = make_spec ();
  spec.prompt_tokens = 100;
  arrive (&bench, 1, &spec);
  arrive (&bench, 2, &spec);
  ck_assert_str_eq (started_at (&bench), "");
  char *text = g_strdup ("{\"servers\":[{\"id\":\"e0\",\"pool\":\"" POOL
                         "\",\"data_centre\":\"a\",\"address\":\"10.0.0.1:1\","
                         "\"slots\":1,\"start\":2}]}");
  give_document (&bench, HBW_DOCUMENT_SERVERS, 5, text);
  ck_assert_str_eq (started_at (&bench), "e0");
  (void) again;
  g_free (text);
  bench_destroy (&bench);
}
END_TEST

/* --- placement
 * --------------------------------------------------------------------------- */

static HbwRequestSpec
make_prompt (guint64 shared, guint shared_tokens, guint64 own, guint own_tokens)
{
  HbwRequestSpec spec = make_spec ();
  spec.prompt_tokens = shared_tokens + own_tokens;
  spec.part_count = 2;
  spec.parts[0].hash = shared;
  spec.parts[0].tokens = shared_tokens;
  spec.parts[1].hash = own;
  spec.parts[1].tokens = own_tokens;
  return spec;
}

/* The load of an auction day: long dossiers among short narrations, over nine
   servers. What must not happen is that narrations stream where dossiers are read.
 */
START_TEST (long_prompts_stand_apart_from_short_ones)
{
  Bench bench = bench_create (1, 9, 64);
  GHashTable *long_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint beside = 0;
  guint narrations = 0;
  for (guint64 i = 1; i <= 400; i++)
    {
      gboolean is_long = i % 2 == 0;
      HbwRequestSpec spec = is_long
                                ? make_prompt (1000 + i, 6300, 10000 + i, 2900)
                                : make_prompt (2000 + i % 8, 170, 20000 + i, 540);
      arrive (&bench, i, &spec);
      const char *server = started_at (&bench);
      ck_assert_str_ne (server, "");
      if (i > 50 && is_long)
        g_hash_table_add (long_at, g_strdup (server));
      if (i > 200 && !is_long)
        {
          narrations++;
          beside += g_hash_table_contains (long_at, server) ? 1 : 0;
        }
      bench.now_us += 20 * HBW_US_PER_MS;
      if (i > 24)
        end (&bench, i - 24, 1, HBW_OUTCOME_COMPLETE, TRUE);
    }
  ck_assert_uint_le (beside * 10, narrations);
  g_hash_table_destroy (long_at);
  bench_destroy (&bench);
}
END_TEST

/* Prompts that begin alike meet where that beginning was read, until that server has
   more to read than the beginning is worth. */
START_TEST (shared_beginnings_meet_until_they_crowd)
{
  Bench bench = bench_create (1, 9, 64);
  GHashTable *at = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint64 i = 1; i <= 4; i++)
    {
      HbwRequestSpec spec = make_prompt (77, 4000, 100 + i, 3000);
      arrive (&bench, i, &spec);
      g_hash_table_add (at, g_strdup (started_at (&bench)));
      end (&bench, i, 1, HBW_OUTCOME_COMPLETE, TRUE);
    }
  ck_assert_uint_eq (g_hash_table_size (at), 1);
  for (guint64 i = 10; i <= 60; i++)
    {
      HbwRequestSpec spec = make_prompt (77, 4000, 100 + i, 3000);
      arrive (&bench, i, &spec);
      g_hash_table_add (at, g_strdup (started_at (&bench)));
      if (i <= 12)
        ck_assert_uint_eq (g_hash_table_size (at), 1);
    }
  ck_assert_uint_ge (g_hash_table_size (at), 3);
  g_hash_table_destroy (at);
  bench_destroy (&bench);
}
END_TEST

/* The load of an auction at its worst: more to read than can be in time.  What
   cannot be in time is told so at once, with when to come back; short prompts go on.
 */
START_TEST (long_prompts_are_not_refused_for_their_length)
{
  Bench bench = bench_create (1, 9, 64);
  HbwRequestSpec spec = make_prompt (1, 6300, 2, 39600);
  arrive (&bench, 1, &spec);
  ck_assert_str_ne (started_at (&bench), "");
  bench_destroy (&bench);
}
END_TEST

START_TEST (hopeless_requests_are_refused_at_once)
{
  Bench bench = bench_create (1, 9, 64);
  const HbwEffect *refusal = NULL;
  for (guint64 i = 1; i <= 400 && refusal == NULL; i++)
    {
      HbwRequestSpec spec = make_prompt (1000 + i, 6300, 10000 + i, 2900);
      arrive (&bench, i, &spec);
      refusal = find (&bench, HBW_EFFECT_REFUSE);
    }
  ck_assert (refusal != NULL);
  ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_NO);
  ck_assert_int_gt (refusal->refuse.retry_after_us, 0);
  ck_assert_int_lt (refusal->refuse.retry_after_us, 10 * HBW_US_PER_S);
  HbwRequestSpec narration = make_prompt (5, 170, 6, 540);
  narration.deadline_us = 15 * HBW_US_PER_S;
  arrive (&bench, 1000, &narration);
  ck_assert_str_ne (started_at (&bench), "");
  bench_destroy (&bench);
}
END_TEST

/* Takes the messages that BENCH posted to its peer and gives them to OTHER. */
static guint
deliver (const Bench *bench, Bench *other, guint64 from)
{
  guint count = 0;
  HbwEffects *copy = hbw_effects_create ();
  for (guint i = 0; i < hbw_effects_count (bench->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (bench->effects, i);
      if (effect->kind != HBW_EFFECT_SEND)
        continue;
      HbwEvent event = { .kind = HBW_EVENT_MESSAGE, .now_us = other->now_us };
      event.message = effect->send.message;
      event.message.from = from;
      hbw_reducer_step (other->reducer, &event, copy);
      count++;
    }
  hbw_effects_destroy (copy);
  return count;
}

static void
introduce (Bench *bench, guint64 identity, const char *data_centre)
{
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  event.message.kind = HBW_MESSAGE_PING;
  event.message.from = identity;
  event.message.ping.number = 1;
  event.message.ping.member_count = 1;
  HbwMemberUpdate *member = &event.message.ping.members[0];
  member->identity = identity;
  member->state = HBW_MEMBER_ALIVE;
  g_strlcpy (member->data_centre, data_centre, sizeof member->data_centre);
  g_snprintf (member->address, sizeof member->address,
              "10.1.0.%" G_GUINT64_FORMAT ":1", identity);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    event.message.ping.versions[i] = -1;
  step (bench, &event);
}

/* A burst of the lower tiers fills every engine; what is urgent must find a slot
   without another request being broken off for it. */
START_TEST (lower_tiers_leave_slots_to_the_highest)
{
  Bench bench = bench_create (1, 1, 10);
  HbwRequestSpec low = make_prompt (0, 0, 6, 540);
  low.tier = 2;
  bench.now_us += 20 * HBW_US_PER_MS;
  for (guint i = 1; i <= 9; i++)
    {
      arrive (&bench, i, &low);
      ck_assert_str_ne (started_at (&bench), "");
    }
  arrive (&bench, 10, &low);
  ck_assert_str_eq (started_at (&bench), "");
  HbwRequestSpec urgent = make_prompt (0, 0, 7, 540);
  arrive (&bench, 11, &urgent);
  ck_assert_str_ne (started_at (&bench), "");
  bench_destroy (&bench);
}
END_TEST

/* Several instances meet the same burst at once; without word of each other they
   would all send it to the server that looks idle. */
START_TEST (instances_do_not_crowd_one_server)
{
  Bench one = bench_create (1, 3, 8);
  Bench two = bench_create (2, 3, 8);
  introduce (&one, 2, "b");
  introduce (&two, 1, "b");
  HbwRequestSpec spec = make_prompt (0, 0, 5, 6000);
  one.now_us += 20 * HBW_US_PER_MS;
  two.now_us = one.now_us;
  arrive (&one, 1, &spec);
  char taken[HBW_NAME_MAX];
  g_strlcpy (taken, started_at (&one), sizeof taken);
  ck_assert_uint_ge (deliver (&one, &two, 1), 1);
  arrive (&two, 1, &spec);
  ck_assert_str_ne (started_at (&two), "");
  ck_assert_str_ne (started_at (&two), taken);
  bench_destroy (&one);
  bench_destroy (&two);
}
END_TEST

static void
confirm (Bench *bench)
{
  HbwEvent event = { .kind = HBW_EVENT_CONFIRMED };
  event.confirmation.asked_us = bench->now_us;
  event.confirmation.version = -1;
  step (bench, &event);
}

/* Each call to the platform's store is paid for; an instance that does not watch
   must notice within a second that the one which does is silent. */
START_TEST (one_instance_watches_while_it_answers)
{
  Bench one = bench_create (1, 2, 8);
  Bench two = bench_create (2, 2, 8);
  introduce (&one, 2, "a");
  introduce (&two, 1, "a");
  confirm (&one);
  confirm (&two);
  gboolean first = hbw_reducer_is_watcher (one.reducer);
  ck_assert (first != hbw_reducer_is_watcher (two.reducer));
  Bench *asker = first ? &two : &one;
  Bench *watcher = first ? &one : &two;
  tick (asker, 300 * HBW_US_PER_MS);
  tick (asker, 100 * HBW_US_PER_MS);
  ck_assert (!hbw_reducer_is_watcher (asker->reducer));
  tick (asker, 300 * HBW_US_PER_MS);
  ck_assert (hbw_reducer_is_watcher (asker->reducer));
  ck_assert (hbw_reducer_is_watcher (watcher->reducer));
  bench_destroy (&one);
  bench_destroy (&two);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("decision");
  TCase *tests = tcase_create ("decision");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, old_knowledge_is_no_ground_to_accept_or_deny);
  tcase_add_test (tests, readiness_needs_a_confirmed_catalogue);
  tcase_add_test (tests, retries_keep_within_the_budget_in_every_window);
  tcase_add_test (tests, request_that_may_not_repeat_runs_once);
  tcase_add_test (tests, unrun_attempts_count_against_the_endpoint);
  tcase_add_test (tests, misdirected_request_finds_another_server);
  tcase_add_test (tests, only_a_stream_that_may_resume_goes_on_elsewhere);
  tcase_add_test (tests, answer_is_due_at_the_operators_limit);
  tcase_add_test (tests, planned_stop_takes_requests_for_a_while);
  tcase_add_test (tests, lapsed_entry_revives_no_server_that_left);
  tcase_add_test (tests, restart_under_the_same_name_starts_anew);
  tcase_add_test (tests, long_prompts_stand_apart_from_short_ones);
  tcase_add_test (tests, shared_beginnings_meet_until_they_crowd);
  tcase_add_test (tests, long_prompts_are_not_refused_for_their_length);
  tcase_add_test (tests, hopeless_requests_are_refused_at_once);
  tcase_add_test (tests, lower_tiers_leave_slots_to_the_highest);
  tcase_add_test (tests, instances_do_not_crowd_one_server);
  tcase_add_test (tests, one_instance_watches_while_it_answers);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
