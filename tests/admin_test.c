/*
 * Tests of the administration API against the store, with concurrent edits and lost
 * responses.
 */
#include "native_fixture.h"
#include "suite.h"

#include "hornbeamwall/net/store_client.h"

#include <string.h>

#define CATALOGUE "/admin/v1/catalogue"
#define NEW_CLASS "{\"tier\":1,\"first_token_ms\":500,\"inter_token_ms\":50}"

/* Longer than a watch, after which the instance has read the restored store. */
#define COPY_READ_US 1500000

static void
wait_for_version (NativeFixture *fixture, HbwDocumentKind kind, gint64 version)
{
  HbwControl *control = hbw_instance_control (fixture->instance);
  for (guint i = 0;
       i < 1000 && hbw_control_document_version (control, kind) < version; i++)
    g_usleep (10000);
  ck_assert_int_ge (hbw_control_document_version (control, kind), version);
}

START_TEST (accepted_edit_takes_effect)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  NativeFixtureResponse response = native_fixture_request_admin (
      fixture, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_msg (response.status == 200, "%s", response.body);
  ck_assert_str_eq (response.etag, "\"2\"");
  native_fixture_response_clear (&response);
  wait_for_version (fixture, HBW_DOCUMENT_CATALOGUE, 2);
  response = native_fixture_request_admin (fixture, "GET", CATALOGUE "/classes/mid",
                                           NULL, NULL);
  ck_assert (strstr (response.body, "500") != NULL);
  native_fixture_response_clear (&response);
  response = native_fixture_request_admin (fixture, "GET", "/admin/v1/rollout", NULL,
                                           NULL);
  ck_assert_msg (strstr (response.body, "\"in_force\": 1") != NULL, "%s",
                 response.body);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (concurrent_edit_is_rejected_with_conflict)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  NativeFixtureResponse response = native_fixture_request_admin (
      fixture, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, "\"1\"");
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  response = native_fixture_request_admin (
      fixture, "PUT", CATALOGUE "/classes/other", NEW_CLASS, "\"1\"");
  ck_assert_int_eq (response.status, 409);
  ck_assert (strstr (response.body, "revision is now 2") != NULL);
  native_fixture_response_clear (&response);
  char *stored = store_get (fixture->store, "hornbeamwall-catalogue");
  ck_assert (strstr (stored, "\"mid\"") != NULL);
  ck_assert (strstr (stored, "\"other\"") == NULL);
  g_free (stored);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (lost_store_response_is_resolved_by_reading_back)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  store_drop_write_responses (fixture->store, 1);
  NativeFixtureResponse response = native_fixture_request_admin (
      fixture, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_msg (response.status == 200, "%s", response.body);
  ck_assert_str_eq (response.etag, "\"2\"");
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (rejected_edit_changes_nothing)
{
  static const struct
  {
    const char *path;
    const char *body;
    long status;
  } cases[] = {
    { CATALOGUE "/classes/mid", "{\"tier\":9}", 422 },
    { CATALOGUE "/nothing/mid", NEW_CLASS, 404 },
    { CATALOGUE "/classes/mid", "[]", 400 },
    { CATALOGUE, "{\"classes\":{}}", 422 },
    { "/admin/v1/stops/nobody", "{}", 404 },
  };
  NativeFixture *fixture = native_fixture_create (1, 4);
  char *before = store_get (fixture->store, "hornbeamwall-catalogue");
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      NativeFixtureResponse response = native_fixture_request_admin (
          fixture, "PUT", cases[i].path, cases[i].body, NULL);
      ck_assert_msg (response.status == cases[i].status, "%zu: %ld %s", i,
                     response.status, response.body);
      ck_assert (strstr (response.body, "\"remedy\"") != NULL);
      native_fixture_response_clear (&response);
    }
  char *after = store_get (fixture->store, "hornbeamwall-catalogue");
  ck_assert_str_eq (before, after);
  g_free (before);
  g_free (after);
  store_set_down (fixture->store, TRUE);
  NativeFixtureResponse response = native_fixture_request_admin (
      fixture, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_int_eq (response.status, 503);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (older_document_from_lagging_store_is_not_adopted)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  char *body = store_get (fixture->store, "hornbeamwall-catalogue");
  gint64 version = store_set (fixture->store, "hornbeamwall-catalogue", body);
  g_free (body);
  wait_for_version (fixture, HBW_DOCUMENT_CATALOGUE, version);
  store_set_stale (fixture->store, TRUE);
  NativeFixtureResponse response
      = native_fixture_post (fixture, "/v1/chat/completions", NULL,
                             "{\"model\":\"m\",\"tag\":\"x\"}", NULL);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  HbwControl *control = hbw_instance_control (fixture->instance);
  ck_assert_int_eq (hbw_control_document_version (control, HBW_DOCUMENT_CATALOGUE),
                    version);
  native_fixture_destroy (fixture);
}
END_TEST

static void
set_catalogue_times (NativeFixture *fixture, guint count)
{
  char *body = store_get (fixture->store, "hornbeamwall-catalogue");
  for (guint i = 0; i < count; i++)
    store_set (fixture->store, "hornbeamwall-catalogue", body);
  g_free (body);
}

/* The revisions that follow the copy were given out before. */
START_TEST (document_written_after_restore_is_adopted)
{
  NativeFixture *fixture = native_fixture_create (1, 4);
  HbwControl *control = hbw_instance_control (fixture->instance);
  gint64 copied = hbw_control_document_version (control, HBW_DOCUMENT_CATALOGUE);
  store_copy (fixture->store);
  set_catalogue_times (fixture, 3);
  wait_for_version (fixture, HBW_DOCUMENT_CATALOGUE, copied + 3);
  store_restore (fixture->store);
  g_usleep (COPY_READ_US);
  ck_assert_int_eq (hbw_control_document_version (control, HBW_DOCUMENT_CATALOGUE),
                    copied + 3);
  set_catalogue_times (fixture, 1);
  wait_for_version (fixture, HBW_DOCUMENT_CATALOGUE,
                    hbw_store_version (1, copied + 1));
  native_fixture_destroy (fixture);
}
END_TEST

START_TEST (stopped_server_gets_no_requests)
{
  NativeFixture *fixture = native_fixture_create (2, 4);
  NativeFixtureResponse response = native_fixture_request_admin (
      fixture, "PUT", "/admin/v1/stops/e0", "{}", NULL);
  ck_assert_msg (response.status == 200, "%s", response.body);
  native_fixture_response_clear (&response);
  wait_for_version (fixture, HBW_DOCUMENT_STOPS, 1);
  for (guint i = 0; i < 8; i++)
    {
      response = native_fixture_post (fixture, "/v1/chat/completions", NULL,
                                      "{\"model\":\"m\",\"tag\":\"after\"}", NULL);
      ck_assert_int_eq (response.status, 200);
      native_fixture_response_clear (&response);
    }
  ck_assert_uint_eq (engine_run_count (fixture->engines[0], "after"), 0);
  response
      = native_fixture_request_admin (fixture, "GET", "/admin/v1/stops", NULL, NULL);
  ck_assert (strstr (response.body, "\"e0\"") != NULL);
  ck_assert_msg (strstr (response.body, "\"shard_in_progress\": 0") != NULL, "%s",
                 response.body);
  native_fixture_response_clear (&response);
  response = native_fixture_request_admin (fixture, "DELETE", "/admin/v1/stops/e0",
                                           NULL, NULL);
  ck_assert_int_eq (response.status, 200);
  native_fixture_response_clear (&response);
  native_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admin");
  TCase *cases = tcase_create ("admin");
  tcase_set_timeout (cases, 0);
  tcase_add_test (cases, accepted_edit_takes_effect);
  tcase_add_test (cases, concurrent_edit_is_rejected_with_conflict);
  tcase_add_test (cases, lost_store_response_is_resolved_by_reading_back);
  tcase_add_test (cases, rejected_edit_changes_nothing);
  tcase_add_test (cases, older_document_from_lagging_store_is_not_adopted);
  tcase_add_test (cases, document_written_after_restore_is_adopted);
  tcase_add_test (cases, stopped_server_gets_no_requests);
  suite_add_tcase (suite, cases);
  return suite_run (suite);
}
