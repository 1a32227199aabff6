/*
 * Tests of decisions for the users' platform (interface "platform" in the settings),
 * on the reducer and its parts without I/O: admission, retries, server lists and
 * request placement.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/reducer.h"
#include "hornbeamwall/core/request_spec.h"
#include "hornbeamwall/core/retry_budget.h"
#include "hornbeamwall/core/suspect_share.h"

#include <stdio.h>
#include <string.h>

#define POOL "m"

/* --- reducer fixture ----------------------------------------------------- */

typedef struct
{
  HbwReducer *reducer;
  HbwEffects *effects; /* of the most recent step */
  gint64 now_us;
} ReducerFixture;

static void
step_reducer (ReducerFixture *fixture, HbwEvent *event)
{
  event->now_us = fixture->now_us;
  hbw_effects_clear (fixture->effects);
  hbw_reducer_step (fixture->reducer, event, fixture->effects);
}

static void
deliver_document (ReducerFixture *fixture, HbwDocumentKind kind, gint64 version,
                  const char *text)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
  event.document.kind = kind;
  event.document.version = version;
  event.document.body = text != NULL ? g_bytes_new (text, strlen (text)) : NULL;
  step_reducer (fixture, &event);
  if (event.document.body != NULL)
    g_bytes_unref (event.document.body);
}

/* Advances the clock by ELAPSED_US and steps the reducer with a tick event. */
static void
tick (ReducerFixture *fixture, gint64 elapsed_us)
{
  HbwEvent event = { .kind = HBW_EVENT_TICK };
  fixture->now_us += elapsed_us;
  step_reducer (fixture, &event);
}

static char *
make_server_list (guint count, guint slots, const char *const *extra_fields)
{
  GString *text = g_string_new ("{\"servers\":[");
  for (guint i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s{\"id\":\"e%u\",\"pool\":\"" POOL
        "\",\"data_centre\":\"%s\",\"address\":\"10.0.0.1:%u\","
        "\"slots\":%u,\"start\":1%s}",
        i > 0 ? "," : "", i, i % 2 == 0 ? "a" : "b", i + 1, slots,
        extra_fields != NULL && extra_fields[i] != NULL ? extra_fields[i] : "");
  g_string_append (text, "]}");
  return g_string_free (text, FALSE);
}

static void
deliver_servers (ReducerFixture *fixture, gint64 version, guint count, guint slots,
                 const char *const *extra_fields)
{
  char *text = make_server_list (count, slots, extra_fields);
  deliver_document (fixture, HBW_DOCUMENT_SERVERS, version, text);
  g_free (text);
}

static ReducerFixture
create_fixture (guint64 identity, guint servers, guint slots,
                const char *const *seeds, gboolean stores_suspects)
{
  ReducerFixture fixture = { .now_us = HBW_US_PER_S };
  HbwReducerConfig config = { .policy = hbw_policy_find ("direct"), .seed = 1 };
  config.now_us = fixture.now_us;
  config.self.identity = identity;
  config.seeds = seeds;
  config.stores_suspects = stores_suspects;
  config.load_in_answers = TRUE;
  config.max_revocation_delay_us = 5 * HBW_US_PER_S;
  config.drain_grace_us = 2 * HBW_US_PER_S;
  g_strlcpy (config.self.data_centre, "a", sizeof config.self.data_centre);
  g_snprintf (config.self.address, sizeof config.self.address,
              "10.1.0.%" G_GUINT64_FORMAT ":1", identity);
  fixture.reducer = hbw_reducer_create (&config);
  fixture.effects = hbw_effects_create ();
  deliver_document (&fixture, HBW_DOCUMENT_STOPS, 0, NULL);
  deliver_servers (&fixture, 1, servers, slots, NULL);
  return fixture;
}

static ReducerFixture
fixture_create (guint64 identity, guint servers, guint slots)
{
  return create_fixture (identity, servers, slots, NULL, FALSE);
}

/* Creates an instance that is to know what others know before it runs requests. */
static ReducerFixture
fixture_create_with_seed (guint64 identity, guint servers, guint slots)
{
  static const char *const seeds[] = { "10.1.0.2:1", NULL };
  return create_fixture (identity, servers, slots, seeds, FALSE);
}

static void
fixture_destroy (ReducerFixture *fixture)
{
  hbw_effects_destroy (fixture->effects);
  hbw_reducer_destroy (fixture->reducer);
}

static HbwRequestSpec
make_spec (void)
{
  HbwRequestSpec spec = { .pool = POOL, .class_name = "c", .organisation = "o" };
  spec.weight = 1;
  spec.queue_bound = 1000;
  spec.first_token_target_us = 300 * HBW_US_PER_MS;
  spec.inter_token_target_us = 250 * HBW_US_PER_MS;
  spec.deadline_us = 5 * HBW_US_PER_S;
  spec.timeout_us = 5 * HBW_US_PER_S;
  spec.attempts_max = 2;
  spec.idempotent = TRUE;
  return spec;
}

static void
submit_request (ReducerFixture *fixture, guint64 sequence,
                const HbwRequestSpec *spec)
{
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED };
  event.arrival.sequence = sequence;
  event.arrival.spec = *spec;
  event.arrival.spec.fingerprint.low = sequence;
  step_reducer (fixture, &event);
}

static void
end_attempt (ReducerFixture *fixture, guint64 sequence, guint attempt,
             HbwOutcome outcome, gboolean begun)
{
  HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED };
  event.end.sequence = sequence;
  event.end.attempt = attempt;
  event.end.outcome = outcome;
  event.end.response_started = begun;
  step_reducer (fixture, &event);
}

/* Returns the first effect of KIND from the most recent step, or NULL. */
static const HbwEffect *
find_effect (const ReducerFixture *fixture, HbwEffectKind kind)
{
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    if (hbw_effects_get (fixture->effects, i)->kind == kind)
      return hbw_effects_get (fixture->effects, i);
  return NULL;
}

/* Returns the server of the attempt that the most recent step started, or "". */
static const char *
started_server (const ReducerFixture *fixture)
{
  const HbwEffect *effect = find_effect (fixture, HBW_EFFECT_START_ATTEMPT);
  return effect != NULL ? effect->start.server : "";
}

/* --- admission ----------------------------------------------------------- */

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

/* An old catalogue must not deny a key, because the store may be unreachable for
   this instance only and the key may be new. It must not accept one either, because
   the key may have been revoked. */
START_TEST (stale_catalogue_neither_accepts_nor_denies_keys)
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
      const HbwAdmissionInput input
          = { .host = "h", .path = cases[i].path, .key = cases[i].key };
      HbwRequestSpec spec;
      HbwReason reason = hbw_admission_check (catalogue, &freshness, &input, &spec);
      ck_assert_msg (reason == cases[i].reason, "%zu: %d", i, reason);
    }
  const HbwFreshness fresh = { 0, 5 * HBW_US_PER_S };
  const HbwAdmissionInput input
      = { .host = "h", .path = "/a/", .key = "k", .deadline_us = 7 };
  HbwRequestSpec spec;
  ck_assert_int_eq (hbw_admission_check (NULL, &fresh, &input, &spec),
                    HBW_REASON_NO_CATALOGUE);
  ck_assert_int_eq (hbw_admission_check (catalogue, &fresh, &input, &spec),
                    HBW_REASON_COUNT);
  ck_assert_uint_eq (spec.tier, 0);
  ck_assert_int_eq (spec.deadline_us, 7);
  ck_assert_str_eq (spec.organisation, "o");
  hbw_catalogue_unref (catalogue);
}
END_TEST

static HbwFingerprint
admit (const HbwCatalogue *catalogue, gint64 age_ms, const char *path,
       const char *key, guint64 digest)
{
  const HbwFreshness freshness = { age_ms * HBW_US_PER_MS, 5 * HBW_US_PER_S };
  const HbwAdmissionInput input
      = { .host = "h", .path = path, .key = key, .digest = digest };
  HbwRequestSpec spec;
  ck_assert_int_eq (hbw_admission_check (catalogue, &freshness, &input, &spec),
                    HBW_REASON_COUNT);
  return spec.fingerprint;
}

/* An instance that cannot confirm its catalogue does not know whose key it is, but
   the request is the same one. */
START_TEST (age_of_catalogue_does_not_change_fingerprint)
{
  HbwCatalogue *catalogue = make_catalogue ();
  const HbwFingerprint keyed = admit (catalogue, 10, "/a/x", "k", 7);
  const HbwFingerprint keyed_later = admit (catalogue, 3000, "/a/x", "k", 7);
  const HbwFingerprint open = admit (catalogue, 10, "/o/x", "k", 7);
  const HbwFingerprint open_later = admit (catalogue, 60000, "/o/x", "k", 7);
  const HbwFingerprint unknown_key = admit (catalogue, 10, "/o/x", "other", 7);
  const HbwFingerprint no_key = admit (catalogue, 10, "/o/x", NULL, 7);
  const HbwFingerprint other_body = admit (catalogue, 10, "/o/x", "k", 8);
  ck_assert (hbw_fingerprint_equal (&keyed, &keyed_later));
  ck_assert (hbw_fingerprint_equal (&open, &open_later));
  ck_assert (!hbw_fingerprint_equal (&open, &unknown_key));
  ck_assert (!hbw_fingerprint_equal (&open, &no_key));
  ck_assert (!hbw_fingerprint_equal (&open, &other_body));
  hbw_catalogue_unref (catalogue);
}
END_TEST

/* On the native interface, requests without a body are told apart by their paths. */
START_TEST (path_belongs_to_fingerprint)
{
  HbwCatalogue *catalogue = make_catalogue ();
  const HbwOrganisation *organisation = hbw_catalogue_authenticate (catalogue, "k");
  HbwRequestSpecInput input
      = { .pool = "m", .class_name = "c", .path = "/one", .body = "" };
  HbwRequestSpec one;
  HbwRequestSpec again;
  HbwRequestSpec other;
  HbwError error;
  hbw_request_spec_fill (&one, catalogue, organisation, &input, &error);
  hbw_request_spec_fill (&again, catalogue, organisation, &input, &error);
  input.path = "/other";
  hbw_request_spec_fill (&other, catalogue, organisation, &input, &error);
  ck_assert (hbw_fingerprint_equal (&one.fingerprint, &again.fingerprint));
  ck_assert (!hbw_fingerprint_equal (&one.fingerprint, &other.fingerprint));
  hbw_catalogue_unref (catalogue);
}
END_TEST

/* If the store confirms a newer version that this instance has not adopted, the
   older catalogue stays unconfirmed. */
START_TEST (readiness_needs_a_confirmed_catalogue)
{
  ReducerFixture fixture = fixture_create (1, 2, 8);
  HbwEvent confirm = { .kind = HBW_EVENT_CATALOGUE_CONFIRMED };
  static const char text[]
      = "{\"classes\":{},\"pools\":{},\"organisations\":{},\"endpoints\":{}}";
  deliver_document (&fixture, HBW_DOCUMENT_CATALOGUE, 3, text);
  ck_assert (!hbw_reducer_is_ready (fixture.reducer));
  confirm.confirmation.requested_us = fixture.now_us;
  confirm.confirmation.version = 4;
  step_reducer (&fixture, &confirm);
  ck_assert (!hbw_reducer_is_ready (fixture.reducer));
  confirm.confirmation.version = 3;
  step_reducer (&fixture, &confirm);
  ck_assert (hbw_reducer_is_ready (fixture.reducer));
  deliver_document (&fixture, HBW_DOCUMENT_CATALOGUE, 2, text);
  ck_assert_int_eq (
      hbw_reducer_document_version (fixture.reducer, HBW_DOCUMENT_CATALOGUE), 3);
  tick (&fixture, 4900 * HBW_US_PER_MS);
  ck_assert (!hbw_reducer_is_ready (fixture.reducer));
  fixture_destroy (&fixture);
}
END_TEST

/* --- retries ------------------------------------------------------------- */

/* The budget holds in every window, whatever its start. The fixed number of retries
   is divided among at least HBW_RETRY_MEMBERS_MIN (8) instances, also if there is
   only one. */
START_TEST (retries_stay_within_budget_in_every_window)
{
  const HbwRetryLimits limits
      = { .percent = 20, .extra = 54, .window_us = 10 * HBW_US_PER_S };
  HbwRetryBudget *budget = hbw_retry_budget_create (&limits);
  GRand *random = g_rand_new_with_seed (7);
  GArray *retry_times = g_array_new (FALSE, FALSE, sizeof (gint64));
  GArray *request_times = g_array_new (FALSE, FALSE, sizeof (gint64));
  for (gint64 now = 0; now < 60 * HBW_US_PER_S;
       now += g_rand_int_range (random, 1, 100000))
    {
      gboolean is_burst = now / (7 * HBW_US_PER_S) % 2 == 1;
      hbw_retry_budget_count_request (budget, POOL, now);
      g_array_append_val (request_times, now);
      for (guint i = 0; i < (is_burst ? 5U : 1U); i++)
        if (hbw_retry_budget_consume (budget, POOL, 1, now))
          g_array_append_val (retry_times, now);
    }
  for (guint i = 0; i < retry_times->len; i++)
    {
      gint64 start_us = g_array_index (retry_times, gint64, i);
      guint retry_count = 0;
      guint request_count = 0;
      for (guint k = i; k < retry_times->len; k++)
        retry_count
            += g_array_index (retry_times, gint64, k) - start_us < limits.window_us;
      for (guint k = 0; k < request_times->len; k++)
        {
          gint64 offset_us = g_array_index (request_times, gint64, k) - start_us;
          request_count
              += offset_us > -limits.window_us && offset_us < limits.window_us;
        }
      ck_assert_uint_le (retry_count, request_count / 5 + limits.extra / 8 + 1);
    }
  ck_assert_uint_gt (retry_times->len, 10);
  g_array_free (retry_times, TRUE);
  g_array_free (request_times, TRUE);
  g_rand_free (random);
  hbw_retry_budget_destroy (budget);
}
END_TEST

START_TEST (non_idempotent_request_is_not_retried)
{
  static const HbwOutcome outcomes[]
      = { HBW_OUTCOME_BROKEN, HBW_OUTCOME_TIMED_OUT, HBW_OUTCOME_FAILED };
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    {
      submit_request (&fixture, i + 1, &spec);
      ck_assert_str_ne (started_server (&fixture), "");
      end_attempt (&fixture, i + 1, 1, outcomes[i], FALSE);
      ck_assert_str_eq (started_server (&fixture), "");
      const HbwEffect *refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
      if (refusal != NULL)
        ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_UNKNOWN);
      else
        ck_assert (find_effect (&fixture, HBW_EFFECT_FINISH_REQUEST) != NULL);
    }
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (refused_attempts_count_towards_attempt_limit)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.attempts_max = 1;
  submit_request (&fixture, 1, &spec);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_REFUSED, FALSE);
  const HbwEffect *refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
  ck_assert (refusal != NULL);
  ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_NO);
  spec.attempts_max = 2;
  submit_request (&fixture, 2, &spec);
  char first[HBW_NAME_MAX];
  g_strlcpy (first, started_server (&fixture), sizeof first);
  end_attempt (&fixture, 2, 1, HBW_OUTCOME_REFUSED, FALSE);
  ck_assert_str_ne (started_server (&fixture), "");
  ck_assert_str_ne (started_server (&fixture), first);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against a failure of the deployment gazetteer-eu of the users' test bench
   with deploy/days/cuts_and_loss.toml: another server had taken over the address of
   a server, and 29 requests that no server had executed were refused. */
START_TEST (misdirected_request_is_retried_on_another_server)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.attempts_max = 1;
  submit_request (&fixture, 1, &spec);
  char first[HBW_NAME_MAX];
  g_strlcpy (first, started_server (&fixture), sizeof first);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_MISDIRECTED, FALSE);
  ck_assert_str_ne (started_server (&fixture), "");
  ck_assert_str_ne (started_server (&fixture), first);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_ne (started_server (&fixture), first);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (only_resumable_stream_is_retried_after_first_bytes)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  submit_request (&fixture, 1, &spec);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_BROKEN, TRUE);
  ck_assert_str_eq (started_server (&fixture), "");
  ck_assert (find_effect (&fixture, HBW_EFFECT_FINISH_REQUEST) != NULL);
  spec.resumable = TRUE;
  submit_request (&fixture, 2, &spec);
  end_attempt (&fixture, 2, 1, HBW_OUTCOME_BROKEN, TRUE);
  ck_assert_str_ne (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (requests_are_refused_at_configured_timeout)
{
  ReducerFixture fixture = fixture_create (1, 1, 1);
  HbwRequestSpec spec = make_spec ();
  spec.idempotent = FALSE;
  spec.timeout_us = spec.deadline_us = 800 * HBW_US_PER_MS;
  submit_request (&fixture, 1, &spec);
  submit_request (&fixture, 2, &spec);
  submit_request (&fixture, 3, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  tick (&fixture, 799 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST) == NULL);
  tick (&fixture, 26 * HBW_US_PER_MS);
  guint refused_running = 0;
  guint refused_waiting = 0;
  for (guint i = 0; i < hbw_effects_count (fixture.effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture.effects, i);
      if (effect->kind != HBW_EFFECT_REFUSE_REQUEST)
        continue;
      if (effect->refuse.executed == HBW_EXECUTED_NO)
        refused_waiting++;
      else
        refused_running++;
    }
  ck_assert_uint_ge (refused_running, 1);
  ck_assert_uint_ge (refused_waiting, 1);
  fixture_destroy (&fixture);
}
END_TEST

/* The server has begun its response and fallen silent. */
START_TEST (server_is_checked_if_response_is_incomplete_at_timeout)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  HbwEvent begun = { .kind = HBW_EVENT_FIRST_TOKEN };
  spec.timeout_us = spec.deadline_us = 800 * HBW_US_PER_MS;
  submit_request (&fixture, 1, &spec);
  begun.first_token.sequence = 1;
  begun.first_token.attempt = 1;
  tick (&fixture, 20 * HBW_US_PER_MS);
  step_reducer (&fixture, &begun);
  tick (&fixture, 780 * HBW_US_PER_MS);
  const HbwEffect *refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
  ck_assert (refusal != NULL && refusal->refuse.reason == HBW_REASON_TIMEOUT);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (draining_instance_accepts_requests_for_grace_period)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  HbwEvent drain = { .kind = HBW_EVENT_DRAIN };
  step_reducer (&fixture, &drain);
  ck_assert (!hbw_reducer_is_ready (fixture.reducer));
  submit_request (&fixture, 1, &spec);
  ck_assert_str_ne (started_server (&fixture), "");
  tick (&fixture, 2 * HBW_US_PER_S);
  submit_request (&fixture, 2, &spec);
  const HbwEffect *refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
  ck_assert (refusal != NULL && refusal->refuse.reason == HBW_REASON_DRAINING);
  fixture_destroy (&fixture);
}
END_TEST

/* --- stored suspects ------------------------------------------------------- */

static void
deliver_suspects (ReducerFixture *fixture, gint64 version, const char *text)
{
  HbwEvent event = { .kind = HBW_EVENT_SUSPECTS_READ };
  event.suspects.version = version;
  event.suspects.body = g_bytes_new (text, strlen (text));
  step_reducer (fixture, &event);
  g_bytes_unref (event.suspects.body);
}

static void
report_store_era (ReducerFixture *fixture, gint64 era)
{
  HbwEvent event = { .kind = HBW_EVENT_STORE_STATE };
  event.store.up = TRUE;
  event.store.era = era;
  step_reducer (fixture, &event);
}

/* Another writer's entries must not hide the valid ones, and what is written keeps
   what was read. */
START_TEST (malformed_stored_suspects_are_ignored)
{
  static const char text[]
      = "{\"suspects\":[7,{\"high\":\"0\"},"
        "{\"high\":\"0\",\"low\":\"1\",\"verdict\":\"cause\",\"remaining_ms\":9000,"
        "\"failures\":[{\"id\":\"b\",\"server\":\"c\",\"started_ago_ms\":9,"
        "\"failed_ago_ms\":8}]}]}";
  static const char *const bad[] = { "", "[]", "{\"suspects\":{}}", "\xff" };
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      deliver_suspects (&fixture, 5, bad[i]);
      const HbwEffect *line = find_effect (&fixture, HBW_EFFECT_LOG);
      ck_assert_int_eq (line->log.number, HBW_LOG_ENTRY_IGNORED);
    }
  deliver_suspects (&fixture, 6, text);
  submit_request (&fixture, 1, &spec);
  const HbwEffect *refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
  ck_assert (refusal != NULL && refusal->refuse.reason == HBW_REASON_QUARANTINED);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_ne (started_server (&fixture), "");
  end_attempt (&fixture, 2, 1, HBW_OUTCOME_BROKEN, FALSE);
  tick (&fixture, HBW_US_PER_MS);
  tick (&fixture, 100 * HBW_US_PER_MS);
  const HbwEffect *write = find_effect (&fixture, HBW_EFFECT_STORE_SUSPECTS);
  ck_assert (write != NULL);
  ck_assert_int_eq (write->suspects.base_version, 6);
  gsize length;
  const char *body = g_bytes_get_data (write->suspects.body, &length);
  ck_assert (g_strstr_len (body, (gssize) length, "000000000000000b") != NULL);
  ck_assert (g_strstr_len (body, (gssize) length, "0000000000000002") != NULL);
  fixture_destroy (&fixture);
}
END_TEST

/* The store gives out again the revision that this instance has seen. */
START_TEST (restored_suspects_are_read_before_they_are_replaced)
{
  static const char text[]
      = "{\"suspects\":[{\"high\":\"0\",\"low\":\"1\",\"verdict\":\"cause\","
        "\"remaining_ms\":9000,\"failures\":[]}]}";
  ReducerFixture fixture = fixture_create (1, 3, 8);
  report_store_era (&fixture, 1);
  deliver_suspects (&fixture, 6, text);
  report_store_era (&fixture, 2);
  ck_assert (find_effect (&fixture, HBW_EFFECT_READ_SUSPECTS) != NULL);
  tick (&fixture, HBW_US_PER_S);
  tick (&fixture, HBW_US_PER_S);
  ck_assert (find_effect (&fixture, HBW_EFFECT_STORE_SUSPECTS) == NULL);
  deliver_suspects (&fixture, 4, "{\"suspects\":[]}");
  tick (&fixture, HBW_US_PER_S);
  tick (&fixture, HBW_US_PER_S);
  const HbwEffect *write = find_effect (&fixture, HBW_EFFECT_STORE_SUSPECTS);
  ck_assert (write != NULL);
  ck_assert_int_eq (write->suspects.base_version, 4);
  fixture_destroy (&fixture);
}
END_TEST

/* Time without renewal after which an entry of a server lapses. */
#define LAPSE_US (3 * HBW_US_PER_S)

/* Delivers a ping of the instance IDENTITY, which listens on the host HOST. */
static void
send_peer_state_from (ReducerFixture *fixture, guint64 identity, guint64 host,
                      const char *data_centre, HbwMemberState state)
{
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  event.message.kind = HBW_MESSAGE_PING;
  event.message.from = identity;
  event.message.ping.probe_number = 1;
  event.message.ping.member_count = 1;
  HbwMemberUpdate *member = &event.message.ping.members[0];
  member->identity = identity;
  member->state = state;
  g_strlcpy (member->data_centre, data_centre, sizeof member->data_centre);
  g_snprintf (member->address, sizeof member->address,
              "10.1.0.%" G_GUINT64_FORMAT ":1", host);
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    event.message.ping.versions[i] = -1;
  step_reducer (fixture, &event);
}

static void
send_peer_state (ReducerFixture *fixture, guint64 identity, const char *data_centre,
                 HbwMemberState state)
{
  send_peer_state_from (fixture, identity, identity, data_centre, state);
}

static void
introduce_peer (ReducerFixture *fixture, guint64 identity, const char *data_centre)
{
  send_peer_state (fixture, identity, data_centre, HBW_MEMBER_ALIVE);
}

static guint
count_sent_suspects (const ReducerFixture *fixture, GHashTable *sent)
{
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE
          && effect->send.message.kind == HBW_MESSAGE_SUSPECT)
        g_hash_table_add (
            sent,
            GUINT_TO_POINTER ((guint) effect->send.message.suspect.fingerprint.low));
    }
  return g_hash_table_size (sent);
}

static void
deliver_many_suspects (ReducerFixture *fixture, guint count)
{
  GString *text = g_string_new ("{\"suspects\":[");
  for (guint i = 1; i <= count; i++)
    g_string_append_printf (text,
                            "%s{\"high\":\"0\",\"low\":\"%x\",\"verdict\":"
                            "\"cause\",\"remaining_ms\":90000,\"failures\":[]}",
                            i > 1 ? "," : "", i);
  g_string_append (text, "]}");
  deliver_suspects (fixture, 6, text->str);
  g_string_free (text, TRUE);
}

/* A working server breaks off a response half a second after it has failed under
   another request, and started again. */
START_TEST (check_dismisses_no_failure_before_the_broken_response)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  HbwEvent report = { .kind = HBW_EVENT_MESSAGE };
  report.message.kind = HBW_MESSAGE_SUSPECT;
  report.message.from = 2;
  report.message.suspect = (HbwSuspicionReport){
    .fingerprint = { 0, 7 },
    .remaining_us = HBW_QUARANTINE_DURATION_US,
    .verdict = HBW_VERDICT_CAUSE,
    .completed_ago_us = -1,
    .failure_count = 2,
    .failures = { { .id = 1,
                    .server_hash = hbw_rendezvous_weight (0, "e0"),
                    .started_ago_us = 550 * HBW_US_PER_MS,
                    .failed_ago_us = 500 * HBW_US_PER_MS,
                    .is_refused = TRUE },
                  { .id = 2, .server_hash = 9, .failed_ago_us = HBW_US_PER_S } }
  };
  fixture.now_us += 10 * HBW_US_PER_S;
  introduce_peer (&fixture, 2, "a");
  step_reducer (&fixture, &report);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "e0");
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_BROKEN, FALSE);
  tick (&fixture, 100 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL);
  fixture.now_us += 50 * HBW_US_PER_MS;
  HbwEvent checked = { .kind = HBW_EVENT_SERVER_CHECKED };
  checked.check.kind = HBW_SERVER_CHECK_ACCEPTED;
  g_strlcpy (checked.check.server, "e0", sizeof checked.check.server);
  step_reducer (&fixture, &checked);
  submit_request (&fixture, 7, &spec);
  const HbwEffect *effect = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
  ck_assert (effect != NULL);
  ck_assert_int_eq (effect->refuse.reason, HBW_REASON_QUARANTINED);
  fixture_destroy (&fixture);
}
END_TEST

/* Reports that instance 2 runs the suspect 7, which has failed a server before, on
   e0. */
static void
report_running_suspect (ReducerFixture *fixture, guint64 failure_id)
{
  HbwEvent report = { .kind = HBW_EVENT_MESSAGE };
  report.message.kind = HBW_MESSAGE_SUSPECT;
  report.message.from = 2;
  report.message.suspect
      = (HbwSuspicionReport){ .fingerprint = { 0, 7 },
                              .remaining_us = HBW_QUARANTINE_DURATION_US,
                              .completed_ago_us = -1,
                              .activity = HBW_SUSPECT_RUNNING,
                              .running_server_hash = hbw_rendezvous_weight (0, "e0"),
                              .failure_count = 1,
                              .failures = { { .id = failure_id,
                                              .server_hash = 9,
                                              .failed_ago_us = HBW_US_PER_S,
                                              .is_refused = TRUE } } };
  step_reducer (fixture, &report);
}

static void
finish_check (ReducerFixture *fixture, const char *server, HbwServerCheckKind kind)
{
  HbwEvent checked = { .kind = HBW_EVENT_SERVER_CHECKED };
  checked.check.kind = kind;
  g_strlcpy (checked.check.server, server, sizeof checked.check.server);
  step_reducer (fixture, &checked);
}

static gboolean
is_quarantined (ReducerFixture *fixture, guint64 sequence)
{
  HbwRequestSpec spec = make_spec ();
  submit_request (fixture, sequence, &spec);
  const HbwEffect *effect = find_effect (fixture, HBW_EFFECT_REFUSE_REQUEST);
  return effect != NULL && effect->refuse.reason == HBW_REASON_QUARANTINED;
}

/* An instance is killed while it runs a suspect: nobody reports the second failure.
 */
START_TEST (failure_under_killed_instance_is_found_by_check)
{
  static const HbwServerCheckKind kinds[]
      = { HBW_SERVER_CHECK_REFUSED, HBW_SERVER_CHECK_ACCEPTED };
  for (gsize i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      ReducerFixture fixture = fixture_create (1, 3, 8);
      fixture.now_us += 10 * HBW_US_PER_S;
      introduce_peer (&fixture, 2, "a");
      report_running_suspect (&fixture, 1);
      tick (&fixture, 990 * HBW_US_PER_MS);
      ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) == NULL);
      tick (&fixture, 10 * HBW_US_PER_MS);
      const HbwEffect *check = find_effect (&fixture, HBW_EFFECT_CHECK_SERVER);
      ck_assert (check != NULL);
      ck_assert_str_eq (check->check.server, "e0");
      finish_check (&fixture, "e0", kinds[i]);
      tick (&fixture, 2 * HBW_US_PER_S);
      ck_assert_int_eq (is_quarantined (&fixture, 7),
                        kinds[i] == HBW_SERVER_CHECK_REFUSED);
      fixture_destroy (&fixture);
    }
}
END_TEST

/* The new start of an instance is known before its reports are missed. */
START_TEST (restart_of_killed_instance_has_servers_checked)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  fixture.now_us += 10 * HBW_US_PER_S;
  introduce_peer (&fixture, 2, "a");
  report_running_suspect (&fixture, 1);
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  event.message.kind = HBW_MESSAGE_PING;
  event.message.from = 3;
  event.message.ping.member_count = 1;
  HbwMemberUpdate *member = &event.message.ping.members[0];
  member->identity = 3;
  member->state = HBW_MEMBER_ALIVE;
  g_strlcpy (member->data_centre, "a", sizeof member->data_centre);
  g_strlcpy (member->address, "10.1.0.2:1", sizeof member->address);
  step_reducer (&fixture, &event);
  tick (&fixture, HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL);
  fixture_destroy (&fixture);
}
END_TEST

/* The server is back before the instance is known to be lost. */
START_TEST (server_that_restarted_under_killed_instance_counts_as_failed)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  fixture.now_us += 10 * HBW_US_PER_S;
  introduce_peer (&fixture, 2, "a");
  report_running_suspect (&fixture, 1);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "e0");
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_NOT_CONNECTED, FALSE);
  tick (&fixture, 500 * HBW_US_PER_MS);
  tick (&fixture, 500 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) == NULL);
  tick (&fixture, 2 * HBW_US_PER_S);
  ck_assert (is_quarantined (&fixture, 7));
  fixture_destroy (&fixture);
}
END_TEST

/* Returns whether a report in the last effects proves the failure of a suspect. */
static gboolean
reports_proof (const ReducerFixture *fixture)
{
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE
          && effect->send.message.kind == HBW_MESSAGE_SUSPECT
          && effect->send.message.suspect.failure_count > 0
          && effect->send.message.suspect.failures[0].is_refused)
        return TRUE;
    }
  return FALSE;
}

/* The failure was reported before the check; another instance finds the server
   working again. */
START_TEST (proof_of_failure_is_reported_at_once)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  introduce_peer (&fixture, 2, "a");
  submit_request (&fixture, 1, &spec);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_BROKEN, FALSE);
  tick (&fixture, 60 * HBW_US_PER_MS);
  tick (&fixture, 60 * HBW_US_PER_MS);
  ck_assert (!reports_proof (&fixture));
  finish_check (&fixture, "e0", HBW_SERVER_CHECK_REFUSED);
  ck_assert (reports_proof (&fixture));
  tick (&fixture, 60 * HBW_US_PER_MS);
  ck_assert (reports_proof (&fixture));
  finish_check (&fixture, "e0", HBW_SERVER_CHECK_REFUSED);
  ck_assert (!reports_proof (&fixture));
  fixture_destroy (&fixture);
}
END_TEST

static void
report_failure (ReducerFixture *fixture, guint64 from, const char *server,
                gboolean is_dismissed, gboolean is_refused)
{
  HbwEvent report = { .kind = HBW_EVENT_MESSAGE };
  report.message.kind = HBW_MESSAGE_SUSPECT;
  report.message.from = from;
  report.message.suspect
      = (HbwSuspicionReport){ .fingerprint = { 0, 7 },
                              .remaining_us = HBW_QUARANTINE_DURATION_US,
                              .completed_ago_us = -1,
                              .failure_count = 1,
                              .failures
                              = { { .id = hbw_rendezvous_weight (1, server),
                                    .server_hash = hbw_rendezvous_weight (0, server),
                                    .started_ago_us = 200 * HBW_US_PER_MS,
                                    .failed_ago_us = 100 * HBW_US_PER_MS,
                                    .is_dismissed = is_dismissed,
                                    .is_refused = is_refused } } };
  step_reducer (fixture, &report);
}

/* Returns the server on which the last report of a suspect says that it runs; 0 is
   none. */
static guint64
reported_server (const ReducerFixture *fixture)
{
  guint64 server = 0;
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE
          && effect->send.message.kind == HBW_MESSAGE_SUSPECT)
        server = effect->send.message.suspect.running_server_hash;
    }
  return server;
}

/* If the others believed that it runs there, they would count another failure of the
   server as its own once they miss this instance. */
START_TEST (suspect_that_was_not_connected_is_not_reported_as_running)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  guint waited_ms = 0;
  introduce_peer (&fixture, 2, "a");
  submit_request (&fixture, 1, &spec);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_BROKEN, FALSE);
  for (guint i = 0; i < 10 && *started_server (&fixture) == '\0'; i++)
    tick (&fixture, 10 * HBW_US_PER_MS);
  ck_assert_str_eq (started_server (&fixture), "e0");
  ck_assert (reported_server (&fixture) == hbw_rendezvous_weight (0, "e0"));
  end_attempt (&fixture, 1, 2, HBW_OUTCOME_NOT_CONNECTED, FALSE);
  ck_assert (reported_server (&fixture) == 0);
  while (*started_server (&fixture) == '\0' && waited_ms < 4000)
    {
      tick (&fixture, 10 * HBW_US_PER_MS);
      waited_ms += 10;
      ck_assert (*started_server (&fixture) != '\0'
                 || reported_server (&fixture) == 0);
    }
  ck_assert_uint_lt (waited_ms, 4000);
  fixture_destroy (&fixture);
}
END_TEST

/* An instance reports that its suspect has failed e0 and runs there once more, while
   e0 refuses connections; then it is stopped for a while. */
START_TEST (suspect_that_was_not_connected_has_not_failed_again)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwEvent report = { .kind = HBW_EVENT_MESSAGE };
  guint64 server = hbw_rendezvous_weight (0, "e0");
  fixture.now_us += 10 * HBW_US_PER_S;
  introduce_peer (&fixture, 2, "a");
  report.message.kind = HBW_MESSAGE_SUSPECT;
  report.message.from = 2;
  report.message.suspect
      = (HbwSuspicionReport){ .fingerprint = { 0, 7 },
                              .remaining_us = HBW_QUARANTINE_DURATION_US,
                              .completed_ago_us = -1,
                              .activity = HBW_SUSPECT_RUNNING,
                              .running_server_hash = server,
                              .failure_count = 1,
                              .failures = { { .id = 1,
                                              .server_hash = server,
                                              .started_ago_us = 200 * HBW_US_PER_MS,
                                              .failed_ago_us = 150 * HBW_US_PER_MS,
                                              .is_refused = TRUE } } };
  step_reducer (&fixture, &report);
  for (guint i = 0; i < 200; i++)
    {
      tick (&fixture, 10 * HBW_US_PER_MS);
      if (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL)
        finish_check (&fixture, "e0", HBW_SERVER_CHECK_REFUSED);
    }
  ck_assert (!is_quarantined (&fixture, 7));
  fixture_destroy (&fixture);
}
END_TEST

/* One instance has seen the server refuse a connection, another one has seen it
   accept one after its restart.  Their reports come in either order. */
START_TEST (proof_of_failure_outweighs_dismissal)
{
  for (guint order = 0; order < 2; order++)
    {
      ReducerFixture fixture = fixture_create (1, 3, 8);
      fixture.now_us += 10 * HBW_US_PER_S;
      introduce_peer (&fixture, 2, "a");
      introduce_peer (&fixture, 3, "a");
      report_failure (&fixture, 2, "e1", FALSE, TRUE);
      report_failure (&fixture, 2, "e0", FALSE, FALSE);
      report_failure (&fixture, 2, "e0", order == 0, order == 1);
      report_failure (&fixture, 3, "e0", order == 1, order == 0);
      tick (&fixture, 2 * HBW_US_PER_S);
      ck_assert_msg (is_quarantined (&fixture, 7), "order %u", order);
      fixture_destroy (&fixture);
    }
}
END_TEST

/* Reports that the request FINGERPRINT was in progress on a server that failed, and
   what the instance FROM does with it. */
static void
report_suspect (ReducerFixture *fixture, guint64 from, guint64 fingerprint,
                HbwSuspectActivity activity)
{
  HbwEvent report = { .kind = HBW_EVENT_MESSAGE };
  report.message.kind = HBW_MESSAGE_SUSPECT;
  report.message.from = from;
  report.message.suspect
      = (HbwSuspicionReport){ .fingerprint = { 0, fingerprint },
                              .remaining_us = HBW_QUARANTINE_DURATION_US,
                              .completed_ago_us = -1,
                              .activity = activity,
                              .failure_count = 1,
                              .failures = { { .id = fingerprint,
                                              .server_hash = 9,
                                              .failed_ago_us = 0,
                                              .is_refused = TRUE } } };
  step_reducer (fixture, &report);
}

/* Two instances place a suspect each before they hear where the other one runs. */
START_TEST (instances_place_two_suspects_on_different_servers)
{
  char servers[2][HBW_NAME_MAX];
  for (guint64 i = 0; i < 2; i++)
    {
      ReducerFixture fixture = fixture_create (1 + i, 4, 8);
      fixture.now_us += 10 * HBW_US_PER_S;
      introduce_peer (&fixture, 2 - i, "a");
      report_suspect (&fixture, 2 - i, 7 + i, HBW_SUSPECT_IDLE);
      report_suspect (&fixture, 2 - i, 8 - i, HBW_SUSPECT_WAITING);
      HbwRequestSpec spec = make_spec ();
      submit_request (&fixture, 7 + i, &spec);
      for (guint k = 0; k < 10 && *started_server (&fixture) == '\0'; k++)
        tick (&fixture, 5 * HBW_US_PER_MS);
      g_strlcpy (servers[i], started_server (&fixture), sizeof servers[i]);
      ck_assert_str_ne (servers[i], "");
      fixture_destroy (&fixture);
    }
  ck_assert_str_ne (servers[0], servers[1]);
}
END_TEST

/* Returns whether a report of a suspect was sent to the instance TO. */
static gboolean
reports_to (const ReducerFixture *fixture, guint64 to)
{
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE && effect->send.to == to
          && effect->send.message.kind == HBW_MESSAGE_SUSPECT)
        return TRUE;
    }
  return FALSE;
}

/* An instance that leaves still takes requests. */
START_TEST (leaving_instance_gets_reports_of_suspects)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  introduce_peer (&fixture, 2, "a");
  send_peer_state (&fixture, 2, "a", HBW_MEMBER_LEFT);
  for (guint i = 1; i <= 2; i++)
    {
      submit_request (&fixture, i, &spec);
      end_attempt (&fixture, i, 1, HBW_OUTCOME_BROKEN, FALSE);
      ck_assert_int_eq (reports_to (&fixture, 2), i == 1);
      tick (&fixture, HBW_MEMBER_LEAVING_US);
    }
  fixture_destroy (&fixture);
}
END_TEST

/* A response breaks off while the check after another one is in progress. */
START_TEST (server_is_checked_after_each_broken_response)
{
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  submit_request (&fixture, 1, &spec);
  submit_request (&fixture, 2, &spec);
  end_attempt (&fixture, 1, 1, HBW_OUTCOME_BROKEN, TRUE);
  tick (&fixture, 100 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL);
  end_attempt (&fixture, 2, 1, HBW_OUTCOME_BROKEN, TRUE);
  fixture.now_us += 50 * HBW_US_PER_MS;
  finish_check (&fixture, "e0", HBW_SERVER_CHECK_ACCEPTED);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) == NULL);
  tick (&fixture, 50 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) != NULL);
  finish_check (&fixture, "e0", HBW_SERVER_CHECK_ACCEPTED);
  tick (&fixture, 200 * HBW_US_PER_MS);
  ck_assert (find_effect (&fixture, HBW_EFFECT_CHECK_SERVER) == NULL);
  fixture_destroy (&fixture);
}
END_TEST

/* An instance that lacks many entries gets all of them, not the same ones again and
   again. */
START_TEST (all_suspects_are_sent_in_turn)
{
  GHashTable *sent = g_hash_table_new (NULL, NULL);
  ReducerFixture fixture = fixture_create (1, 3, 8);
  deliver_many_suspects (&fixture, 100);
  for (guint i = 0; i < 4; i++)
    {
      introduce_peer (&fixture, 2, "a");
      count_sent_suspects (&fixture, sent);
      fixture.now_us += 300 * HBW_US_PER_MS;
    }
  ck_assert_uint_eq (g_hash_table_size (sent), 100);
  g_hash_table_destroy (sent);
  fixture_destroy (&fixture);
}
END_TEST

/* Guards against entries that were sent to nobody in place of a peer that lacks
   them: the first ping came from an instance without a known address. */
START_TEST (peer_without_an_address_does_not_delay_reports_of_suspects)
{
  ReducerFixture fixture = fixture_create (1, 3, 8);
  deliver_many_suspects (&fixture, 3);
  introduce_peer (&fixture, 3, "a");
  fixture.now_us += 300 * HBW_US_PER_MS;
  send_peer_state_from (&fixture, 2, 3, "a", HBW_MEMBER_ALIVE);
  introduce_peer (&fixture, 3, "a");
  ck_assert (reports_to (&fixture, 3));
  fixture_destroy (&fixture);
}
END_TEST

/* Reports of suspects still come in when an instance that has just started may
   otherwise run requests. */
START_TEST (starting_instance_waits_while_suspects_are_reported)
{
  ReducerFixture fixture = fixture_create_with_seed (1, 3, 8);
  HbwRequestSpec spec = make_spec ();
  HbwEvent event = { .kind = HBW_EVENT_MESSAGE };
  event.message.kind = HBW_MESSAGE_SUSPECT;
  event.message.from = 2;
  introduce_peer (&fixture, 2, "a");
  for (guint i = 0; i < 20; i++)
    {
      event.message.suspect = (HbwSuspicionReport){
        .fingerprint = { 0, 1000 + i },
        .remaining_us = HBW_QUARANTINE_DURATION_US,
        .completed_ago_us = -1,
        .failure_count = 1,
        .failures = { { .id = 1 + i, .server_hash = 7, .failed_ago_us = 1000 } }
      };
      step_reducer (&fixture, &event);
      tick (&fixture, 100 * HBW_US_PER_MS);
    }
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  for (guint i = 0; i < 15; i++)
    tick (&fixture, 100 * HBW_US_PER_MS);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_ne (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

static gboolean
pings_address (const ReducerFixture *fixture, const char *address)
{
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE
          && effect->send.message.kind == HBW_MESSAGE_PING
          && strcmp (effect->send.address, address) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Two of its three seeds are down, and it runs requests before it asks the third. */
START_TEST (starting_instance_pings_all_seeds)
{
  static const char *const seeds[]
      = { "10.1.0.2:1", "10.1.0.3:1", "10.1.0.4:1", NULL };
  ReducerFixture fixture = create_fixture (1, 3, 8, seeds, TRUE);
  tick (&fixture, HBW_US_PER_MS);
  for (guint i = 0; seeds[i] != NULL; i++)
    ck_assert_msg (pings_address (&fixture, seeds[i]), "%s", seeds[i]);
  introduce_peer (&fixture, 2, "a");
  tick (&fixture, 100 * HBW_US_PER_MS);
  ck_assert (pings_address (&fixture, seeds[0]));
  ck_assert (!pings_address (&fixture, seeds[1]));
  fixture_destroy (&fixture);
}
END_TEST

static gboolean
starts_request (ReducerFixture *fixture, guint64 sequence)
{
  HbwRequestSpec spec = make_spec ();
  submit_request (fixture, sequence, &spec);
  return *started_server (fixture) != '\0';
}

static void
pass_time (ReducerFixture *fixture, gint64 duration_us)
{
  for (gint64 passed_us = 0; passed_us < duration_us;
       passed_us += 100 * HBW_US_PER_MS)
    tick (fixture, 100 * HBW_US_PER_MS);
}

/* The only seed is down, and so is the store. */
START_TEST (starting_instance_that_hears_of_nobody_waits_for_store)
{
  static const char *const seeds[] = { "10.1.0.2:1", NULL };
  ReducerFixture fixture = create_fixture (1, 3, 8, seeds, TRUE);
  pass_time (&fixture, 2 * HBW_US_PER_S);
  ck_assert (!starts_request (&fixture, 1));
  deliver_suspects (&fixture, 6, "{\"suspects\":[]}");
  pass_time (&fixture, 100 * HBW_US_PER_MS);
  ck_assert (starts_request (&fixture, 2));
  fixture_destroy (&fixture);
  fixture = create_fixture (1, 3, 8, seeds, TRUE);
  pass_time (&fixture, HBW_SUSPECT_JOIN_MAX_US);
  ck_assert (starts_request (&fixture, 1));
  fixture_destroy (&fixture);
}
END_TEST

/* It hears of another instance just before it would run requests. */
START_TEST (starting_instance_waits_for_reports_of_the_first_peer)
{
  ReducerFixture fixture = fixture_create_with_seed (1, 3, 8);
  pass_time (&fixture, HBW_SUSPECT_JOIN_TIMEOUT_US - 100 * HBW_US_PER_MS);
  introduce_peer (&fixture, 2, "a");
  pass_time (&fixture, HBW_SUSPECT_JOIN_TIMEOUT_US);
  ck_assert (!starts_request (&fixture, 1));
  pass_time (&fixture, 100 * HBW_US_PER_MS);
  ck_assert (starts_request (&fixture, 2));
  fixture_destroy (&fixture);
}
END_TEST

/* --- server lists -------------------------------------------------------- */

/* Guards against a failure of the deployment gazetteer-eu of the users' test bench,
   schedule scale-2 --seed 146136422989: an instance that had lost its connection to
   the store used a server again although its peers had reported that the server was
   leaving. "lapsed" marks an entry that was not renewed; its server may still
   run. */
START_TEST (lapsed_entry_does_not_revive_leaving_server)
{
  static const char *const leaving[] = { ",\"state\":\"leaving\"", NULL };
  static const char *const lapsed[] = { ",\"lapsed\":true", NULL };
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  fixture.now_us += LAPSE_US;
  deliver_servers (&fixture, 2, 1, 8, lapsed);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "e0");
  deliver_servers (&fixture, 3, 1, 8, leaving);
  deliver_servers (&fixture, 4, 1, 8, lapsed);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

/* An instance that was cut off from the store reads a list without a server that it
   knew.  Its peers had shown the entry a moment ago: it has not lapsed, the server
   has left in between. */
START_TEST (server_that_left_during_a_cut_is_not_kept_as_lapsed)
{
  static const char *const in_service[] = { "", NULL };
  static const char *const lapsed[] = { ",\"lapsed\":true", NULL };
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  fixture.now_us += LAPSE_US;
  deliver_servers (&fixture, 3, 1, 8, in_service);
  fixture.now_us += 400 * HBW_US_PER_MS;
  deliver_servers (&fixture, 4, 1, 8, lapsed);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (list_of_restored_store_does_not_revive_leaving_server)
{
  static const char *const leaving[] = { ",\"state\":\"leaving\"", NULL };
  static const char *const in_service[] = { "", NULL };
  ReducerFixture fixture = fixture_create (1, 1, 8);
  HbwRequestSpec spec = make_spec ();
  report_store_era (&fixture, 1);
  fixture.now_us += HBW_STORE_ERA_SETTLE_US;
  deliver_servers (&fixture, 2, 1, 8, leaving);
  report_store_era (&fixture, 2);
  deliver_servers (&fixture, 3, 1, 8, in_service);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  fixture.now_us += HBW_STORE_ERA_SETTLE_US;
  tick (&fixture, 0);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_eq (started_server (&fixture), "e0");
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (restarted_server_does_not_keep_old_load)
{
  static const char *const restarted[] = { ",\"start\":2", NULL };
  ReducerFixture fixture = fixture_create (1, 1, 1);
  HbwRequestSpec spec = make_spec ();
  spec.prompt_tokens = 100;
  submit_request (&fixture, 1, &spec);
  submit_request (&fixture, 2, &spec);
  ck_assert_str_eq (started_server (&fixture), "");
  char *text = g_strdup ("{\"servers\":[{\"id\":\"e0\",\"pool\":\"" POOL
                         "\",\"data_centre\":\"a\",\"address\":\"10.0.0.1:1\","
                         "\"slots\":1,\"start\":2}]}");
  deliver_document (&fixture, HBW_DOCUMENT_SERVERS, 5, text);
  ck_assert_str_eq (started_server (&fixture), "e0");
  (void) restarted;
  g_free (text);
  fixture_destroy (&fixture);
}
END_TEST

/* --- placement ----------------------------------------------------------- */

static HbwRequestSpec
make_prompt_spec (guint64 prefix_hash, guint prefix_tokens, guint64 suffix_hash,
                  guint suffix_tokens)
{
  HbwRequestSpec spec = make_spec ();
  spec.prompt_tokens = prefix_tokens + suffix_tokens;
  spec.part_count = 2;
  spec.parts[0].hash = prefix_hash;
  spec.parts[0].tokens = prefix_tokens;
  spec.parts[1].hash = suffix_hash;
  spec.parts[1].tokens = suffix_tokens;
  return spec;
}

/* The load of an auction day on nine servers: long prompts (dossiers) among short
   ones (narrations). Short prompts must not stream on a server that prefills long
   ones. */
START_TEST (long_and_short_prompts_use_separate_servers)
{
  ReducerFixture fixture = fixture_create (1, 9, 64);
  GHashTable *servers_with_long
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint shared_count = 0;
  guint narrations = 0;
  for (guint64 i = 1; i <= 400; i++)
    {
      gboolean is_long = i % 2 == 0;
      HbwRequestSpec spec
          = is_long ? make_prompt_spec (1000 + i, 6300, 10000 + i, 2900)
                    : make_prompt_spec (2000 + i % 8, 170, 20000 + i, 540);
      submit_request (&fixture, i, &spec);
      const char *server = started_server (&fixture);
      ck_assert_str_ne (server, "");
      if (i > 50 && is_long)
        g_hash_table_add (servers_with_long, g_strdup (server));
      if (i > 200 && !is_long)
        {
          narrations++;
          shared_count += g_hash_table_contains (servers_with_long, server) ? 1 : 0;
        }
      fixture.now_us += 20 * HBW_US_PER_MS;
      if (i > 24)
        end_attempt (&fixture, i - 24, 1, HBW_OUTCOME_COMPLETE, TRUE);
    }
  ck_assert_uint_le (shared_count * 10, narrations);
  g_hash_table_destroy (servers_with_long);
  fixture_destroy (&fixture);
}
END_TEST

/* Prompts with a common prefix go to the server that has the prefix in its cache,
   until the prefill queue of that server costs more than the cache hit saves. */
START_TEST (shared_prefix_prompts_share_server_until_it_is_loaded)
{
  ReducerFixture fixture = fixture_create (1, 9, 64);
  GHashTable *servers_used
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint64 i = 1; i <= 4; i++)
    {
      HbwRequestSpec spec = make_prompt_spec (77, 4000, 100 + i, 3000);
      submit_request (&fixture, i, &spec);
      g_hash_table_add (servers_used, g_strdup (started_server (&fixture)));
      end_attempt (&fixture, i, 1, HBW_OUTCOME_COMPLETE, TRUE);
    }
  ck_assert_uint_eq (g_hash_table_size (servers_used), 1);
  for (guint64 i = 10; i <= 60; i++)
    {
      HbwRequestSpec spec = make_prompt_spec (77, 4000, 100 + i, 3000);
      submit_request (&fixture, i, &spec);
      g_hash_table_add (servers_used, g_strdup (started_server (&fixture)));
      if (i <= 12)
        ck_assert_uint_eq (g_hash_table_size (servers_used), 1);
    }
  ck_assert_uint_ge (g_hash_table_size (servers_used), 3);
  g_hash_table_destroy (servers_used);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (long_prompt_is_not_refused_on_idle_servers)
{
  ReducerFixture fixture = fixture_create (1, 9, 64);
  HbwRequestSpec spec = make_prompt_spec (1, 6300, 2, 39600);
  submit_request (&fixture, 1, &spec);
  ck_assert_str_ne (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

/* The peak load of an auction: more prompt tokens than the servers can prefill
   before the deadlines. Requests that would be late are refused at once with a time
   for the retry; short prompts are still accepted. */
START_TEST (requests_that_would_miss_deadline_are_refused_at_once)
{
  ReducerFixture fixture = fixture_create (1, 9, 64);
  const HbwEffect *refusal = NULL;
  for (guint64 i = 1; i <= 400 && refusal == NULL; i++)
    {
      HbwRequestSpec spec = make_prompt_spec (1000 + i, 6300, 10000 + i, 2900);
      submit_request (&fixture, i, &spec);
      refusal = find_effect (&fixture, HBW_EFFECT_REFUSE_REQUEST);
    }
  ck_assert (refusal != NULL);
  ck_assert_int_eq (refusal->refuse.executed, HBW_EXECUTED_NO);
  ck_assert_int_gt (refusal->refuse.retry_after_us, 0);
  ck_assert_int_lt (refusal->refuse.retry_after_us, 10 * HBW_US_PER_S);
  HbwRequestSpec narration = make_prompt_spec (5, 170, 6, 540);
  narration.deadline_us = 15 * HBW_US_PER_S;
  submit_request (&fixture, 1000, &narration);
  ck_assert_str_ne (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

/* Delivers the messages of the most recent step of FIXTURE to RECEIVER, as sent by
   the instance SENDER. Returns their count. */
static guint
deliver_messages (const ReducerFixture *fixture, ReducerFixture *receiver,
                  guint64 sender)
{
  guint count = 0;
  HbwEffects *copy = hbw_effects_create ();
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind != HBW_EFFECT_SEND_MESSAGE)
        continue;
      HbwEvent event = { .kind = HBW_EVENT_MESSAGE, .now_us = receiver->now_us };
      event.message = effect->send.message;
      event.message.from = sender;
      hbw_reducer_step (receiver->reducer, &event, copy);
      count++;
    }
  hbw_effects_destroy (copy);
  return count;
}

/* A burst of the lower tiers must leave a slot for an urgent request, so that no
   running request has to be cancelled for it. */
START_TEST (lower_tiers_leave_slots_for_highest_tier)
{
  ReducerFixture fixture = fixture_create (1, 1, 10);
  HbwRequestSpec low = make_prompt_spec (0, 0, 6, 540);
  low.tier = 2;
  fixture.now_us += 20 * HBW_US_PER_MS;
  for (guint i = 1; i <= 9; i++)
    {
      submit_request (&fixture, i, &low);
      ck_assert_str_ne (started_server (&fixture), "");
    }
  submit_request (&fixture, 10, &low);
  ck_assert_str_eq (started_server (&fixture), "");
  HbwRequestSpec urgent = make_prompt_spec (0, 0, 7, 540);
  submit_request (&fixture, 11, &urgent);
  ck_assert_str_ne (started_server (&fixture), "");
  fixture_destroy (&fixture);
}
END_TEST

/* Several instances receive the same burst. If they did not share their load, they
   would all choose the same idle server. */
START_TEST (instances_do_not_pick_the_same_idle_server)
{
  ReducerFixture instance_1 = fixture_create (1, 3, 8);
  ReducerFixture instance_2 = fixture_create (2, 3, 8);
  introduce_peer (&instance_1, 2, "b");
  introduce_peer (&instance_2, 1, "b");
  HbwRequestSpec spec = make_prompt_spec (0, 0, 5, 6000);
  instance_1.now_us += 20 * HBW_US_PER_MS;
  instance_2.now_us = instance_1.now_us;
  submit_request (&instance_1, 1, &spec);
  char first_choice[HBW_NAME_MAX];
  g_strlcpy (first_choice, started_server (&instance_1), sizeof first_choice);
  ck_assert_uint_ge (deliver_messages (&instance_1, &instance_2, 1), 1);
  submit_request (&instance_2, 1, &spec);
  ck_assert_str_ne (started_server (&instance_2), "");
  ck_assert_str_ne (started_server (&instance_2), first_choice);
  fixture_destroy (&instance_1);
  fixture_destroy (&instance_2);
}
END_TEST

static void
confirm_documents (ReducerFixture *fixture)
{
  HbwEvent event = { .kind = HBW_EVENT_CATALOGUE_CONFIRMED };
  event.confirmation.requested_us = fixture->now_us;
  event.confirmation.version = -1;
  step_reducer (fixture, &event);
}

/* Calls to the platform's store cost money, so not every instance watches it.
   Another instance must take over within a second if the watcher is silent. */
START_TEST (silent_watcher_is_replaced_within_a_second)
{
  ReducerFixture instance_1 = fixture_create (1, 2, 8);
  ReducerFixture instance_2 = fixture_create (2, 2, 8);
  introduce_peer (&instance_1, 2, "a");
  introduce_peer (&instance_2, 1, "a");
  confirm_documents (&instance_1);
  confirm_documents (&instance_2);
  gboolean first_watches = hbw_reducer_is_store_watcher (instance_1.reducer);
  ck_assert (first_watches != hbw_reducer_is_store_watcher (instance_2.reducer));
  ReducerFixture *standby = first_watches ? &instance_2 : &instance_1;
  ReducerFixture *watcher = first_watches ? &instance_1 : &instance_2;
  tick (standby, 300 * HBW_US_PER_MS);
  tick (standby, 100 * HBW_US_PER_MS);
  ck_assert (!hbw_reducer_is_store_watcher (standby->reducer));
  tick (standby, 300 * HBW_US_PER_MS);
  ck_assert (hbw_reducer_is_store_watcher (standby->reducer));
  ck_assert (hbw_reducer_is_store_watcher (watcher->reducer));
  fixture_destroy (&instance_1);
  fixture_destroy (&instance_2);
}
END_TEST

static void
adopt_catalogue (ReducerFixture *fixture, gint64 version)
{
  HbwEvent event = { .kind = HBW_EVENT_CATALOGUE_CONFIRMED };
  deliver_document (fixture, HBW_DOCUMENT_CATALOGUE, version,
                    "{\"classes\":{},\"pools\":{},\"organisations\":{}}");
  event.confirmation.requested_us = fixture->now_us;
  event.confirmation.version = version;
  step_reducer (fixture, &event);
}

/* Answers the pings of the most recent step of FIXTURE as an instance that has
   VERSION of the catalogue, confirmed just now. */
static void
answer_pings (ReducerFixture *fixture, guint64 from, gint64 version)
{
  HbwEvent answers[4];
  guint count = 0;
  for (guint i = 0; i < hbw_effects_count (fixture->effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (fixture->effects, i);
      if (effect->kind != HBW_EFFECT_SEND_MESSAGE
          || effect->send.message.kind != HBW_MESSAGE_PING
          || count == G_N_ELEMENTS (answers))
        continue;
      HbwEvent *answer = &answers[count++];
      answer->kind = HBW_EVENT_MESSAGE;
      answer->message = effect->send.message;
      answer->message.kind = HBW_MESSAGE_ACK;
      answer->message.from = from;
      answer->message.ping.versions[HBW_DOCUMENT_CATALOGUE] = version;
      answer->message.ping.catalogue_age_us = 0;
    }
  ck_assert_uint_gt (count, 0);
  for (guint i = 0; i < count; i++)
    step_reducer (fixture, &answers[i]);
}

/* Returns one of two instances of a data centre, the one that is no watcher. */
static ReducerFixture
create_standby (guint64 *peer)
{
  for (guint64 self = 1; self <= 2; self++)
    {
      ReducerFixture fixture = fixture_create (self, 2, 8);
      *peer = 3 - self;
      introduce_peer (&fixture, *peer, "a");
      adopt_catalogue (&fixture, 2);
      if (!hbw_reducer_is_store_watcher (fixture.reducer))
        return fixture;
      fixture_destroy (&fixture);
    }
  ck_abort_msg ("both instances are watchers");
}

START_TEST (watcher_with_another_catalogue_confirms_nothing)
{
  for (gint64 version = 1; version <= 3; version++)
    {
      guint64 peer;
      ReducerFixture standby = create_standby (&peer);
      gint64 before_us = hbw_reducer_catalogue_confirmed_us (standby.reducer);
      tick (&standby, HBW_US_PER_S);
      answer_pings (&standby, peer, version);
      gint64 after_us = hbw_reducer_catalogue_confirmed_us (standby.reducer);
      ck_assert_int_eq (after_us > before_us, version == 2);
      fixture_destroy (&standby);
    }
}
END_TEST

/* Reports that SUSPECT has failed the server 7, by an instance that runs it on the
   server RUNNING, if that is not 0. */
static void
merge_refused_failure (HbwQuarantine *quarantine, guint suspect, guint64 running)
{
  const HbwFailureReport failure
      = { .id = suspect, .server_hash = 7, .is_refused = TRUE };
  HbwSuspicionReport report = { .fingerprint = { 0, suspect },
                                .remaining_us = 60 * HBW_US_PER_S,
                                .completed_ago_us = -1,
                                .failure_count = 1 };
  report.failures[0] = failure;
  report.activity = running != 0 ? HBW_SUSPECT_RUNNING : HBW_SUSPECT_WAITING;
  report.running_server_hash = running;
  hbw_quarantine_merge (quarantine, 5, &report, 10 * HBW_US_PER_S);
}

/* Many servers that fail at once leave hundreds of suspects, and each is reported
   several times by each instance that has it. */
START_TEST (report_of_a_failure_looks_at_suspects_that_run_only)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  for (guint i = 1; i <= 300; i++)
    merge_refused_failure (quarantine, i, 0);
  ck_assert_uint_eq (hbw_quarantine_searched_count (quarantine), 0);
  merge_refused_failure (quarantine, 301, 8);
  merge_refused_failure (quarantine, 302, 0);
  ck_assert_uint_eq (hbw_quarantine_searched_count (quarantine), 1);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("decision");
  TCase *tests = tcase_create ("decision");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, stale_catalogue_neither_accepts_nor_denies_keys);
  tcase_add_test (tests, age_of_catalogue_does_not_change_fingerprint);
  tcase_add_test (tests, path_belongs_to_fingerprint);
  tcase_add_test (tests, readiness_needs_a_confirmed_catalogue);
  tcase_add_test (tests, retries_stay_within_budget_in_every_window);
  tcase_add_test (tests, non_idempotent_request_is_not_retried);
  tcase_add_test (tests, refused_attempts_count_towards_attempt_limit);
  tcase_add_test (tests, misdirected_request_is_retried_on_another_server);
  tcase_add_test (tests, only_resumable_stream_is_retried_after_first_bytes);
  tcase_add_test (tests, requests_are_refused_at_configured_timeout);
  tcase_add_test (tests, malformed_stored_suspects_are_ignored);
  tcase_add_test (tests, restored_suspects_are_read_before_they_are_replaced);
  tcase_add_test (tests, server_is_checked_if_response_is_incomplete_at_timeout);
  tcase_add_test (tests, draining_instance_accepts_requests_for_grace_period);
  tcase_add_test (tests, check_dismisses_no_failure_before_the_broken_response);
  tcase_add_test (tests, failure_under_killed_instance_is_found_by_check);
  tcase_add_test (tests, restart_of_killed_instance_has_servers_checked);
  tcase_add_test (tests,
                  server_that_restarted_under_killed_instance_counts_as_failed);
  tcase_add_test (tests, proof_of_failure_is_reported_at_once);
  tcase_add_test (tests, proof_of_failure_outweighs_dismissal);
  tcase_add_test (tests, suspect_that_was_not_connected_has_not_failed_again);
  tcase_add_test (tests, suspect_that_was_not_connected_is_not_reported_as_running);
  tcase_add_test (tests, instances_place_two_suspects_on_different_servers);
  tcase_add_test (tests, leaving_instance_gets_reports_of_suspects);
  tcase_add_test (tests, server_is_checked_after_each_broken_response);
  tcase_add_test (tests, all_suspects_are_sent_in_turn);
  tcase_add_test (tests, peer_without_an_address_does_not_delay_reports_of_suspects);
  tcase_add_test (tests, starting_instance_waits_while_suspects_are_reported);
  tcase_add_test (tests, starting_instance_pings_all_seeds);
  tcase_add_test (tests, starting_instance_that_hears_of_nobody_waits_for_store);
  tcase_add_test (tests, starting_instance_waits_for_reports_of_the_first_peer);
  tcase_add_test (tests, server_that_left_during_a_cut_is_not_kept_as_lapsed);
  tcase_add_test (tests, lapsed_entry_does_not_revive_leaving_server);
  tcase_add_test (tests, list_of_restored_store_does_not_revive_leaving_server);
  tcase_add_test (tests, restarted_server_does_not_keep_old_load);
  tcase_add_test (tests, long_and_short_prompts_use_separate_servers);
  tcase_add_test (tests, shared_prefix_prompts_share_server_until_it_is_loaded);
  tcase_add_test (tests, long_prompt_is_not_refused_on_idle_servers);
  tcase_add_test (tests, requests_that_would_miss_deadline_are_refused_at_once);
  tcase_add_test (tests, lower_tiers_leave_slots_for_highest_tier);
  tcase_add_test (tests, instances_do_not_pick_the_same_idle_server);
  tcase_add_test (tests, silent_watcher_is_replaced_within_a_second);
  tcase_add_test (tests, watcher_with_another_catalogue_confirms_nothing);
  suite_add_tcase (suite, tests);
  suite_add_test (suite, "report_of_a_failure_looks_at_suspects_that_run_only",
                  report_of_a_failure_looks_at_suspects_that_run_only);
  return suite_run (suite);
}
