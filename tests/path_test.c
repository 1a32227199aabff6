/*
 * Tests of the data path of the native interface over HTTP: a caller, one instance,
 * engines and a store.
 */
#include "hornbeamwall/net/attempt.h"
#include "hornbeamwall/net/server_orders.h"
#include "native_fixture.h"
#include "suite.h"

#include <string.h>

#define CHAT "/v1/chat/completions"

/* Time after which a server that failed once is probed, by any request. */
#define PROBES_DUE_US 2000000

static char *
make_body (const char *tag, guint tokens, gboolean stream, const char *fault)
{
  return g_strdup_printf ("{\"model\":\"m\",\"tag\":\"%s\",\"max_tokens\":%u,"
                          "\"stream\":%s,\"fault\":\"%s\"}",
                          tag, tokens, stream ? "true" : "false", fault);
}

static NativeFixtureResponse
chat (NativeFixture *fixture, const char *tag, guint tokens, gboolean stream,
      const char *fault, const char *const *headers)
{
  char *body = make_body (tag, tokens, stream, fault);
  NativeFixtureResponse response
      = native_fixture_post (fixture, CHAT, NULL, body, headers);
  g_free (body);
  return response;
}

START_TEST (plain_response_is_complete)
{
  NativeFixture *fixture = native_fixture_create (2, 4);
  NativeFixtureResponse response = chat (fixture, "a", 7, FALSE, "", NULL);
  char *expected = native_fixture_expected_text ("a", 7);
  ck_assert_int_eq (response.status, 200);
  ck_assert (strstr (response.body, expected) != NULL);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "a"), 1);
  g_free (expected);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (stream_is_complete)
{
  NativeFixture *fixture = native_fixture_create (2, 4);
  NativeFixtureResponse response = chat (fixture, "tok", 9, TRUE, "", NULL);
  ck_assert_int_eq (response.status, 200);
  ck_assert_uint_eq (count_occurrences (response.body, "tok:"), 9);
  ck_assert (strstr (response.body, "data: [DONE]") != NULL);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

/* A fault of the engine and whether the caller must learn that the request was not
   executed. */
typedef struct
{
  const char *fault;
  gboolean stream;
  gboolean never_executed;
} FaultCase;

static const FaultCase faults[] = {
  { "refuse", FALSE, TRUE },    { "reset", FALSE, FALSE },
  { "truncate", FALSE, FALSE }, { "stall", FALSE, FALSE },
  { "wrong_id", FALSE, FALSE }, { "cut", TRUE, FALSE },
  { "no_done", TRUE, FALSE },   { "stall", TRUE, FALSE },
  { "wrong_id", TRUE, FALSE },  { "reset", TRUE, FALSE },
};

/* Checks that the caller can tell that the response is an error. */
static void
check_not_complete (const NativeFixtureResponse *response, const char *name)
{
  if (response->status == 200)
    {
      ck_assert_msg (strstr (response->body, "event: error") != NULL, "%s", name);
      ck_assert_msg (strstr (response->body, "[DONE]") == NULL, "%s", name);
    }
  else
    ck_assert_msg (strstr (response->body, "\"executed\"") != NULL, "%s: %s", name,
                   response->body);
}

START_TEST (non_idempotent_request_runs_at_most_once)
{
  static const char *const headers[] = { "Hornbeamwall-Idempotent: false", NULL };
  NativeFixture *fixture = native_fixture_create (3, 4);
  for (gsize i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      char tag[32];
      g_snprintf (tag, sizeof tag, "f%zu", i);
      NativeFixtureResponse response
          = chat (fixture, tag, 6, faults[i].stream, faults[i].fault, headers);
      check_not_complete (&response, faults[i].fault);
      gboolean reports_unexecuted
          = strstr (response.body, "\"executed\":\"no\"") != NULL;
      ck_assert_msg (reports_unexecuted == faults[i].never_executed, "%s: %s",
                     faults[i].fault, response.body);
      ck_assert_uint_eq (native_fixture_count_runs (fixture, tag),
                         faults[i].never_executed ? 0 : 1);
      native_fixture_response_clear (&response);
    }
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (idempotent_request_is_retried_on_another_engine)
{
  NativeFixture *fixture = native_fixture_create (2, 4);
  engine_set_crashed (fixture->engines[0], TRUE);
  for (guint i = 0; i < 8; i++)
    {
      char tag[32];
      g_snprintf (tag, sizeof tag, "r%u", i);
      NativeFixtureResponse response = chat (fixture, tag, 3, FALSE, "", NULL);
      ck_assert_msg (response.status == 200, "%s", response.body);
      ck_assert_uint_eq (native_fixture_count_runs (fixture, tag), 1);
      native_fixture_response_clear (&response);
    }
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (request_is_quarantined_after_two_crashes)
{
  NativeFixture *fixture = native_fixture_create (4, 4);
  NativeFixtureResponse response = chat (fixture, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (response.status, 422);
  ck_assert (strstr (response.body, "\"executed\":\"unknown\"") != NULL);
  native_fixture_response_clear (&response);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "poison"), 2);
  response = chat (fixture, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (response.status, 422);
  ck_assert (strstr (response.body, "\"executed\":\"no\"") != NULL);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "poison"), 2);
  native_fixture_response_clear (&response);
  response = chat (fixture, "innocent", 5, FALSE, "", NULL);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

/* Two servers have failed and are due for a probe, the others work. */
START_TEST (request_probes_at_most_one_failed_server)
{
  NativeFixture *fixture = native_fixture_create (4, 4);
  NativeFixtureResponse response = chat (fixture, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (response.status, 422);
  native_fixture_response_clear (&response);
  g_usleep (PROBES_DUE_US);
  response = chat (fixture, "innocent", 5, FALSE, "", NULL);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (instance_that_starts_later_refuses_quarantined_request)
{
  NativeFixture *fixture = native_fixture_create (4, 4);
  NativeFixtureResponse response = chat (fixture, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (response.status, 422);
  native_fixture_response_clear (&response);
  char *stored = NULL;
  for (guint i = 0; i < 500 && stored == NULL; i++)
    {
      g_usleep (10000);
      stored = store_get (fixture->store, "hornbeamwall-suspects");
    }
  ck_assert (stored != NULL);
  g_free (stored);
  HbwInstance *first = fixture->instance;
  fixture->instance = native_fixture_start_instance (fixture);
  response = chat (fixture, "poison", 5, FALSE, "crash", NULL);
  ck_assert_int_eq (response.status, 422);
  ck_assert (strstr (response.body, "\"executed\":\"no\"") != NULL);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "poison"), 2);
  native_fixture_response_clear (&response);
  hbw_instance_destroy (fixture->instance);
  fixture->instance = first;
  native_fixture_destroy (fixture);
}
END_TEST

/* A request without a body must be forwarded with an explicit length of zero. */
START_TEST (service_request_without_body_is_forwarded)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  NativeFixtureResponse response
      = native_fixture_post (fixture, "/services/s/ping", NULL, "", NULL);
  ck_assert_msg (response.status == 200, "%ld %s", response.status, response.body);
  native_fixture_response_clear (&response);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "none"), 1);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (invalid_request_is_refused_with_a_remedy)
{
  static const char *const bad_deadline[]
      = { "Hornbeamwall-Deadline-Ms: soon", NULL };
  NativeFixture *fixture = native_fixture_create (1, 4);
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
      NativeFixtureResponse response
          = native_fixture_post (fixture, cases[i].path, cases[i].class_name,
                                 cases[i].body, cases[i].headers);
      ck_assert_msg (response.status == cases[i].status, "%zu: %ld", i,
                     response.status);
      ck_assert (strstr (response.body, "\"remedy\"") != NULL);
      ck_assert (strstr (response.body, "\"executed\":\"no\"") != NULL);
      native_fixture_response_clear (&response);
    }
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (disconnected_caller_frees_its_slot)
{
  NativeFixture *fixture = native_fixture_create (1, 1);
  char *body = make_body ("long", 400, FALSE, "");
  native_fixture_post_and_disconnect (fixture, body, 100);
  g_free (body);
  NativeFixtureResponse response = chat (fixture, "next", 2, FALSE, "", NULL);
  ck_assert_msg (response.status == 200, "%s", response.body);
  native_fixture_response_clear (&response);
  HbwControl *control = hbw_instance_control (fixture->instance);
  for (guint i = 0; i < 500 && hbw_control_request_count (control) > 0; i++)
    g_usleep (10000);
  ck_assert_uint_eq (hbw_control_request_count (control), 0);
  native_fixture_destroy (fixture);
}
END_TEST

/* A thread that is paused past the expiry of its grant must not send the request. */
START_TEST (expired_grant_sends_no_request)
{
  const EngineConfig engine_config = { .address = "127.0.0.1:0", .slots = 1 };
  Engine *engine = engine_create (&engine_config);
  char *address = g_strdup_printf ("127.0.0.1:%u", engine_port (engine));
  HbwClock *clock = hbw_clock_create_manual (1000);
  HbwMailbox *call = hbw_mailbox_create (1);
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
                                    .buffered_response_max = 4096,
                                    .clock = clock,
                                    .expires_us = 2000,
                                    .mailbox = call,
                                    .caller_fd = -1 };
  /* Pauses before the attempt is created, then between creation and sending. */
  for (guint pause_after_create = 0; pause_after_create < 2; pause_after_create++)
    {
      HbwAttemptEnd end = { .response_started = FALSE };
      HbwAttemptConfig attempt_config = config;
      attempt_config.expires_us = hbw_clock_now (clock) + 1000;
      if (pause_after_create == 0)
        hbw_clock_advance (clock, 5000);
      HbwAttempt *attempt = hbw_attempt_create (&attempt_config);
      hbw_clock_advance (clock, 5000);
      hbw_attempt_begin (attempt);
      hbw_attempt_result (attempt, &end);
      ck_assert_int_eq (end.outcome, HBW_OUTCOME_UNUSED);
      hbw_attempt_destroy (attempt);
    }
  ck_assert_uint_eq (engine_run_count (engine, "stale"), 0);
  hbw_mailbox_unref (call);
  hbw_clock_destroy (clock);
  g_free (address);
  engine_destroy (engine);
}
END_TEST

static const char *const keyed_headers[]
    = { "Hornbeamwall-Idempotent: false", "Idempotency-Key: k1", NULL };

START_TEST (idempotency_key_runs_once_across_instances)
{
  NativeFixture *fixture = native_fixture_create (2, 4);
  HbwInstance *first = fixture->instance;
  HbwInstance *second = native_fixture_start_instance (fixture);
  NativeFixtureResponse response
      = chat (fixture, "bid", 3, FALSE, "", keyed_headers);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  fixture->instance = second;
  response = chat (fixture, "bid", 3, FALSE, "", keyed_headers);
  ck_assert_msg (response.status == 409, "%s", response.body);
  ck_assert (strstr (response.body, "\"executed\":\"unknown\"") != NULL);
  native_fixture_response_clear (&response);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "bid"), 1);
  fixture->instance = first;
  hbw_instance_destroy (second);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (lost_response_to_a_key_claim_is_resolved)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  store_drop_write_responses (fixture->store, 1);
  NativeFixtureResponse response
      = chat (fixture, "bid", 3, FALSE, "", keyed_headers);
  ck_assert_msg (response.status == 200, "%s", response.body);
  native_fixture_response_clear (&response);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "bid"), 1);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (key_claim_is_released_when_request_was_not_executed)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  NativeFixtureResponse response
      = chat (fixture, "bid", 3, FALSE, "refuse", keyed_headers);
  ck_assert (strstr (response.body, "\"executed\":\"no\"") != NULL);
  native_fixture_response_clear (&response);
  response = chat (fixture, "bid", 3, FALSE, "", keyed_headers);
  ck_assert_msg (response.status == 200, "%s", response.body);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (keyed_request_is_refused_without_store)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  store_set_down (fixture->store, TRUE);
  NativeFixtureResponse response
      = chat (fixture, "bid", 3, FALSE, "", keyed_headers);
  ck_assert_int_eq (response.status, 503);
  ck_assert (strstr (response.body, "\"executed\":\"no\"") != NULL);
  native_fixture_response_clear (&response);
  ck_assert_uint_eq (native_fixture_count_runs (fixture, "bid"), 0);
  response = chat (fixture, "other", 3, FALSE, "", NULL);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

/* The first holder is paused until its lease has expired and another instance has
   acquired it. After it resumes it must send no order, even to a backend server that
   does not check the fencing number. */
START_TEST (paused_lease_holder_sends_no_order)
{
  Store *store = store_create ("127.0.0.1:0");
  const EngineConfig engine_config
      = { .address = "127.0.0.1:0", .slots = 1, .check_fencing_number = FALSE };
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
  HbwServerOrders *holders[2];
  HbwError error;
  guint64 fencing_number;
  for (guint i = 0; i < 2; i++)
    {
      const HbwServerOrdersConfig config = { address, "a", 100 + i, clocks[i] };
      holders[i] = hbw_server_orders_create (&config, &error);
      hbw_server_orders_update_lease (holders[i]);
    }
  ck_assert (hbw_server_orders_holds_lease (holders[0]));
  ck_assert (!hbw_server_orders_holds_lease (holders[1]));
  ck_assert_uint_eq (hbw_server_orders_send (holders[1]), 0);
  hbw_clock_advance (clocks[1], HBW_LEASE_DURATION_US + 2 * HBW_LEASE_MARGIN_US);
  hbw_server_orders_update_lease (holders[1]);
  ck_assert (hbw_server_orders_holds_lease (holders[1]));
  ck_assert_uint_eq (hbw_server_orders_send (holders[1]), 1);
  hbw_clock_advance (clocks[0], HBW_LEASE_DURATION_US + 2 * HBW_LEASE_MARGIN_US);
  ck_assert_uint_eq (hbw_server_orders_send (holders[0]), 0);
  ck_assert_uint_eq (engine_order_count (engine, &fencing_number), 1);
  ck_assert_uint_eq (fencing_number, 2);
  for (guint i = 0; i < 2; i++)
    {
      hbw_server_orders_destroy (holders[i]);
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
  tcase_add_test (cases, plain_response_is_complete);
  tcase_add_test (cases, stream_is_complete);
  tcase_add_test (cases, non_idempotent_request_runs_at_most_once);
  tcase_add_test (cases, idempotent_request_is_retried_on_another_engine);
  tcase_add_test (cases, request_is_quarantined_after_two_crashes);
  tcase_add_test (cases, request_probes_at_most_one_failed_server);
  tcase_add_test (cases, instance_that_starts_later_refuses_quarantined_request);
  tcase_add_test (cases, service_request_without_body_is_forwarded);
  tcase_add_test (cases, invalid_request_is_refused_with_a_remedy);
  tcase_add_test (cases, disconnected_caller_frees_its_slot);
  tcase_add_test (cases, expired_grant_sends_no_request);
  tcase_add_test (cases, idempotency_key_runs_once_across_instances);
  tcase_add_test (cases, lost_response_to_a_key_claim_is_resolved);
  tcase_add_test (cases, key_claim_is_released_when_request_was_not_executed);
  tcase_add_test (cases, keyed_request_is_refused_without_store);
  tcase_add_test (cases, paused_lease_holder_sends_no_order);
  suite_add_tcase (suite, cases);
  return suite_run (suite);
}
