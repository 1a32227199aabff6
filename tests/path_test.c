/*
 * Tests of the whole path: a caller, one instance, engines and a store, over HTTP.
 */
#include "hornbeamwall/net/attempt.h"
#include "hornbeamwall/net/orders.h"
#include "rig.h"
#include "suite.h"

#include <string.h>

#define CHAT "/v1/chat/completions"

static char *
make_body (const char *tag, guint tokens, gboolean stream, const char *fault)
{
  return g_strdup_printf ("{\"model\":\"m\",\"tag\":\"%s\",\"max_tokens\":%u,"
                          "\"stream\":%s,\"fault\":\"%s\"}",
                          tag, tokens, stream ? "true" : "false", fault);
}

static RigAnswer
chat (Rig *rig, const char *tag, guint tokens, gboolean stream, const char *fault,
      const char *const *headers)
{
  char *body = make_body (tag, tokens, stream, fault);
  RigAnswer answer = rig_call (rig, CHAT, NULL, body, headers);
  g_free (body);
  return answer;
}

START_TEST (whole_answer_is_complete)
{
  Rig *rig = rig_create (2, 4);
  RigAnswer answer = chat (rig, "a", 7, FALSE, "", NULL);
  char *expected = rig_expected ("a", 7);
  ck_assert_int_eq (answer.status, 200);
  ck_assert (strstr (answer.body, expected) != NULL);
  ck_assert_uint_eq (rig_runs (rig, "a"), 1);
  g_free (expected);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

START_TEST (stream_is_complete)
{
  Rig *rig = rig_create (2, 4);
  RigAnswer answer = chat (rig, "tok", 9, TRUE, "", NULL);
  ck_assert_int_eq (answer.status, 200);
  ck_assert_uint_eq (rig_count (answer.body, "tok:"), 9);
  ck_assert (strstr (answer.body, "data: [DONE]") != NULL);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

/* What an engine may do to a request, and what its caller must then see. */
typedef struct
{
  const char *fault;
  gboolean stream;
  gboolean surely_unrun;
} Fault;

static const Fault faults[] = {
  { "refuse", FALSE, TRUE },    { "reset", FALSE, FALSE },
  { "truncate", FALSE, FALSE }, { "stall", FALSE, FALSE },
  { "wrong_id", FALSE, FALSE }, { "cut", TRUE, FALSE },
  { "no_done", TRUE, FALSE },   { "stall", TRUE, FALSE },
  { "wrong_id", TRUE, FALSE },  { "reset", TRUE, FALSE },
};

/* A broken answer is never passed off as a whole one. */
static void
assert_not_complete (const RigAnswer *answer, const char *name)
{
  if (answer->status == 200)
    {
      ck_assert_msg (strstr (answer->body, "event: error") != NULL, "%s", name);
      ck_assert_msg (strstr (answer->body, "[DONE]") == NULL, "%s", name);
    }
  else
    ck_assert_msg (strstr (answer->body, "\"executed\"") != NULL, "%s: %s", name,
                   answer->body);
}

START_TEST (non_idempotent_runs_at_most_once)
{
  static const char *const headers[] = { "Hornbeamwall-Idempotent: false", NULL };
  Rig *rig = rig_create (3, 4);
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char tag[32];
      g_snprintf (tag, sizeof tag, "f%zu", i);
      RigAnswer answer
          = chat (rig, tag, 6, faults[i].stream, faults[i].fault, headers);
      assert_not_complete (&answer, faults[i].fault);
      gboolean says_unrun = strstr (answer.body, "\"executed\":\"no\"") != NULL;
      ck_assert_msg (says_unrun == faults[i].surely_unrun, "%s: %s", faults[i].fault,
                     answer.body);
      ck_assert_uint_eq (rig_runs (rig, tag), faults[i].surely_unrun ? 0 : 1);
      rig_answer_clear (&answer);
    }
  rig_destroy (rig);
}
END_TEST

START_TEST (idempotent_is_retried_elsewhere)
{
  Rig *rig = rig_create (2, 4);
  engine_set_crashed (rig->engines[0], TRUE);
  for (guint i = 0; i < 8; i++)
    {
      char tag[32];
      g_snprintf (tag, sizeof tag, "r%u", i);
      RigAnswer answer = chat (rig, tag, 3, FALSE, "", NULL);
      ck_assert_msg (answer.status == 200, "%s", answer.body);
      ck_assert_uint_eq (rig_runs (rig, tag), 1);
      rig_answer_clear (&answer);
    }
  rig_destroy (rig);
}
END_TEST

START_TEST (crashing_request_is_quarantined_after_two)
{
  Rig *rig = rig_create (4, 4);
  RigAnswer answer = chat (rig, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (answer.status, 422);
  ck_assert (strstr (answer.body, "\"executed\":\"unknown\"") != NULL);
  rig_answer_clear (&answer);
  ck_assert_uint_eq (rig_runs (rig, "poison"), 2);
  answer = chat (rig, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (answer.status, 422);
  ck_assert (strstr (answer.body, "\"executed\":\"no\"") != NULL);
  ck_assert_uint_eq (rig_runs (rig, "poison"), 2);
  rig_answer_clear (&answer);
  answer = chat (rig, "innocent", 5, FALSE, "", NULL);
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

/* A call without a body still says that it has none. */
START_TEST (service_call_without_body)
{
  Rig *rig = rig_create (1, 4);
  RigAnswer answer = rig_call (rig, "/services/s/ping", NULL, "", NULL);
  ck_assert_msg (answer.status == 200, "%ld %s", answer.status, answer.body);
  rig_answer_clear (&answer);
  ck_assert_uint_eq (rig_runs (rig, "none"), 1);
  rig_destroy (rig);
}
END_TEST

START_TEST (bad_requests_get_a_remedy)
{
  static const char *const bad_deadline[]
      = { "Hornbeamwall-Deadline-Ms: soon", NULL };
  Rig *rig = rig_create (1, 4);
  const struct
  {
    const char *path;
    const char *class_name;
    const char *body;
    const char *const *headers;
    long status;
  } cases[] = {
    { CHAT, NULL, "{", NULL, 400 },
    { CHAT, NULL, "{\"model\":\"x\"}", NULL, 404 },
    { CHAT, "none", "{\"model\":\"m\"}", NULL, 400 },
    { CHAT, NULL, "{\"model\":\"m\"}", bad_deadline, 400 },
    { "/services/m/x", NULL, "{}", NULL, 404 },
    { "/nothing", NULL, "{}", NULL, 404 },
  };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      RigAnswer answer = rig_call (rig, cases[i].path, cases[i].class_name,
                                   cases[i].body, cases[i].headers);
      ck_assert_msg (answer.status == cases[i].status, "%zu: %ld", i, answer.status);
      ck_assert (strstr (answer.body, "\"remedy\"") != NULL);
      ck_assert (strstr (answer.body, "\"executed\":\"no\"") != NULL);
      rig_answer_clear (&answer);
    }
  rig_destroy (rig);
}
END_TEST

START_TEST (caller_that_leaves_frees_its_place)
{
  Rig *rig = rig_create (1, 1);
  char *body = make_body ("long", 400, FALSE, "");
  rig_call_and_leave (rig, body, 100);
  g_free (body);
  RigAnswer answer = chat (rig, "next", 2, FALSE, "", NULL);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  rig_answer_clear (&answer);
  HbwControl *control = hbw_instance_control (rig->instance);
  for (guint i = 0; i < 500 && hbw_control_request_count (control) > 0; i++)
    g_usleep (10000);
  ck_assert_uint_eq (hbw_control_request_count (control), 0);
  rig_destroy (rig);
}
END_TEST

/* A traffic thread that was paused on its way to the connect sends nothing. */
START_TEST (stale_grant_sends_nothing)
{
  const EngineConfig engine_config = { .address = "127.0.0.1:0", .slots = 1 };
  Engine *engine = engine_create (&engine_config);
  char *address = g_strdup_printf ("127.0.0.1:%u", engine_port (engine));
  HbwClock *clock = hbw_clock_create_manual (1000);
  HbwCall *call = hbw_call_create (1);
  static const char body[] = "{\"tag\":\"stale\"}";
  const HbwAttemptConfig config = { .method = "POST",
                                    .address = address,
                                    .path = "/v1/completions",
                                    .body = body,
                                    .body_length = strlen (body),
                                    .attempt_id = "x-1-1",
                                    .connect_timeout_ms = 1000,
                                    .first_byte_timeout_ms = 5000,
                                    .stall_timeout_ms = 1000,
                                    .answer_max = 4096,
                                    .clock = clock,
                                    .expires_us = 2000,
                                    .call = call,
                                    .caller_fd = -1 };
  /* Paused before the connect, then paused after it but before the request. */
  for (guint late = 0; late < 2; late++)
    {
      HbwAttemptEnd end = { .answer_begun = FALSE };
      HbwAttemptConfig own = config;
      own.expires_us = hbw_clock_now (clock) + 1000;
      if (late == 0)
        hbw_clock_advance (clock, 5000);
      HbwAttempt *attempt = hbw_attempt_create (&own);
      hbw_clock_advance (clock, 5000);
      hbw_attempt_begin (attempt);
      hbw_attempt_result (attempt, &end);
      ck_assert_int_eq (end.outcome, HBW_OUTCOME_UNUSED);
      hbw_attempt_destroy (attempt);
    }
  ck_assert_uint_eq (engine_runs (engine, "stale"), 0);
  hbw_call_unref (call);
  hbw_clock_destroy (clock);
  g_free (address);
  engine_destroy (engine);
}
END_TEST

static const char *const keyed[]
    = { "Hornbeamwall-Idempotent: false", "Idempotency-Key: k1", NULL };

START_TEST (key_runs_once_across_instances)
{
  Rig *rig = rig_create (2, 4);
  HbwInstance *first = rig->instance;
  HbwInstance *second = rig_start_instance (rig);
  RigAnswer answer = chat (rig, "bid", 3, FALSE, "", keyed);
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  rig->instance = second;
  answer = chat (rig, "bid", 3, FALSE, "", keyed);
  ck_assert_msg (answer.status == 409, "%s", answer.body);
  ck_assert (strstr (answer.body, "\"executed\":\"unknown\"") != NULL);
  rig_answer_clear (&answer);
  ck_assert_uint_eq (rig_runs (rig, "bid"), 1);
  rig->instance = first;
  hbw_instance_destroy (second);
  rig_destroy (rig);
}
END_TEST

START_TEST (lost_answer_to_a_claim_is_settled)
{
  Rig *rig = rig_create (1, 4);
  store_lose_answers (rig->store, 1);
  RigAnswer answer = chat (rig, "bid", 3, FALSE, "", keyed);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  rig_answer_clear (&answer);
  ck_assert_uint_eq (rig_runs (rig, "bid"), 1);
  rig_destroy (rig);
}
END_TEST

START_TEST (key_is_given_back_when_not_run)
{
  Rig *rig = rig_create (1, 4);
  RigAnswer answer = chat (rig, "bid", 3, FALSE, "refuse", keyed);
  ck_assert (strstr (answer.body, "\"executed\":\"no\"") != NULL);
  rig_answer_clear (&answer);
  answer = chat (rig, "bid", 3, FALSE, "", keyed);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

START_TEST (key_without_store_is_refused_unrun)
{
  Rig *rig = rig_create (1, 4);
  store_set_down (rig->store, TRUE);
  RigAnswer answer = chat (rig, "bid", 3, FALSE, "", keyed);
  ck_assert_int_eq (answer.status, 503);
  ck_assert (strstr (answer.body, "\"executed\":\"no\"") != NULL);
  rig_answer_clear (&answer);
  ck_assert_uint_eq (rig_runs (rig, "bid"), 0);
  answer = chat (rig, "other", 3, FALSE, "", NULL);
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

/* The first holder is paused past its lease, another takes it, the first wakes: no
   order leaves it, whether or not the backend server checks the number. */
START_TEST (paused_holder_sends_no_order)
{
  Store *store = store_create ("127.0.0.1:0");
  const EngineConfig engine_config
      = { .address = "127.0.0.1:0", .slots = 1, .checks_fencing = FALSE };
  Engine *engine = engine_create (&engine_config);
  char *servers
      = g_strdup_printf ("{\"servers\":[{\"id\":\"e\",\"data_centre\":\"a\","
                         "\"address\":\"127.0.0.1:%u\",\"start\":1}]}",
                         engine_port (engine));
  store_set (store, "servers", servers);
  store_set (store, "hornbeamwall-orders", "{\"orders\":{\"e\":{\"model\":\"x\"}}}");
  char *address = g_strdup_printf ("127.0.0.1:%u", store_port (store));
  HbwClock *clocks[]
      = { hbw_clock_create_manual (1000), hbw_clock_create_manual (1000) };
  HbwOrders *holders[2];
  HbwError error;
  guint64 number;
  for (guint i = 0; i < 2; i++)
    {
      const HbwOrdersConfig config = { address, "a", 100 + i, clocks[i] };
      holders[i] = hbw_orders_create (&config, &error);
      hbw_orders_keep_lease (holders[i]);
    }
  ck_assert (hbw_orders_is_holder (holders[0]));
  ck_assert (!hbw_orders_is_holder (holders[1]));
  ck_assert_uint_eq (hbw_orders_send (holders[1]), 0);
  hbw_clock_advance (clocks[1], HBW_LEASE_US + 2 * HBW_LEASE_MARGIN_US);
  hbw_orders_keep_lease (holders[1]);
  ck_assert (hbw_orders_is_holder (holders[1]));
  ck_assert_uint_eq (hbw_orders_send (holders[1]), 1);
  hbw_clock_advance (clocks[0], HBW_LEASE_US + 2 * HBW_LEASE_MARGIN_US);
  ck_assert_uint_eq (hbw_orders_send (holders[0]), 0);
  ck_assert_uint_eq (engine_orders (engine, &number), 1);
  ck_assert_uint_eq (number, 2);
  for (guint i = 0; i < 2; i++)
    {
      hbw_orders_destroy (holders[i]);
      hbw_clock_destroy (clocks[i]);
    }
  g_free (address);
  g_free (servers);
  engine_destroy (engine);
  store_destroy (store);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("path");
  TCase *cases = tcase_create ("path");
  tcase_set_timeout (cases, 0);
  tcase_add_test (cases, whole_answer_is_complete);
  tcase_add_test (cases, stream_is_complete);
  tcase_add_test (cases, non_idempotent_runs_at_most_once);
  tcase_add_test (cases, idempotent_is_retried_elsewhere);
  tcase_add_test (cases, crashing_request_is_quarantined_after_two);
  tcase_add_test (cases, service_call_without_body);
  tcase_add_test (cases, bad_requests_get_a_remedy);
  tcase_add_test (cases, caller_that_leaves_frees_its_place);
  tcase_add_test (cases, stale_grant_sends_nothing);
  tcase_add_test (cases, key_runs_once_across_instances);
  tcase_add_test (cases, lost_answer_to_a_claim_is_settled);
  tcase_add_test (cases, key_is_given_back_when_not_run);
  tcase_add_test (cases, key_without_store_is_refused_unrun);
  tcase_add_test (cases, paused_holder_sends_no_order);
  suite_add_tcase (suite, cases);
  return suite_run (suite);
}
