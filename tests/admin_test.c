/*
 * Tests of the administration API against the store, with races and lost answers.
 */
#include "rig.h"
#include "suite.h"

#include <string.h>

#define CATALOGUE "/admin/v1/catalogue"
#define NEW_CLASS "{\"tier\":1,\"first_token_ms\":500,\"inter_token_ms\":50}"

static void
wait_for_version (Rig *rig, HbwDocumentKind kind, gint64 version)
{
  HbwControl *control = hbw_instance_control (rig->instance);
  for (guint i = 0; i < 1000 && hbw_control_version (control, kind) < version; i++)
    g_usleep (10000);
  ck_assert_int_ge (hbw_control_version (control, kind), version);
}

START_TEST (accepted_edit_is_in_force)
{
  Rig *rig = rig_create (1, 4);
  RigAnswer answer
      = rig_admin (rig, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  ck_assert_str_eq (answer.etag, "\"2\"");
  rig_answer_clear (&answer);
  wait_for_version (rig, HBW_DOCUMENT_CATALOGUE, 2);
  answer = rig_admin (rig, "GET", CATALOGUE "/classes/mid", NULL, NULL);
  ck_assert (strstr (answer.body, "500") != NULL);
  rig_answer_clear (&answer);
  answer = rig_admin (rig, "GET", "/admin/v1/rollout", NULL, NULL);
  ck_assert_msg (strstr (answer.body, "\"in_force\": 1") != NULL, "%s", answer.body);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

START_TEST (racing_edit_gets_a_conflict)
{
  Rig *rig = rig_create (1, 4);
  RigAnswer answer
      = rig_admin (rig, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, "\"1\"");
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  answer = rig_admin (rig, "PUT", CATALOGUE "/classes/other", NEW_CLASS, "\"1\"");
  ck_assert_int_eq (answer.status, 409);
  ck_assert (strstr (answer.body, "revision is now 2") != NULL);
  rig_answer_clear (&answer);
  char *stored = store_get (rig->store, "hornbeamwall-catalogue");
  ck_assert (strstr (stored, "\"mid\"") != NULL);
  ck_assert (strstr (stored, "\"other\"") == NULL);
  g_free (stored);
  rig_destroy (rig);
}
END_TEST

START_TEST (lost_answer_is_settled_by_reading_back)
{
  Rig *rig = rig_create (1, 4);
  store_lose_answers (rig->store, 1);
  RigAnswer answer
      = rig_admin (rig, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  ck_assert_str_eq (answer.etag, "\"2\"");
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

START_TEST (refused_edit_changes_nothing)
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
  Rig *rig = rig_create (1, 4);
  char *before = store_get (rig->store, "hornbeamwall-catalogue");
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      RigAnswer answer = rig_admin (rig, "PUT", cases[i].path, cases[i].body, NULL);
      ck_assert_msg (answer.status == cases[i].status, "%zu: %ld %s", i,
                     answer.status, answer.body);
      ck_assert (strstr (answer.body, "\"remedy\"") != NULL);
      rig_answer_clear (&answer);
    }
  char *after = store_get (rig->store, "hornbeamwall-catalogue");
  ck_assert_str_eq (before, after);
  g_free (before);
  g_free (after);
  store_set_down (rig->store, TRUE);
  RigAnswer answer
      = rig_admin (rig, "PUT", CATALOGUE "/classes/mid", NEW_CLASS, NULL);
  ck_assert_int_eq (answer.status, 503);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

START_TEST (older_answer_of_the_store_is_not_adopted)
{
  Rig *rig = rig_create (1, 4);
  char *body = store_get (rig->store, "hornbeamwall-catalogue");
  gint64 version = store_set (rig->store, "hornbeamwall-catalogue", body);
  g_free (body);
  wait_for_version (rig, HBW_DOCUMENT_CATALOGUE, version);
  store_set_lagging (rig->store, TRUE);
  RigAnswer answer = rig_call (rig, "/v1/chat/completions", NULL,
                               "{\"model\":\"m\",\"tag\":\"x\"}", NULL);
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  HbwControl *control = hbw_instance_control (rig->instance);
  ck_assert_int_eq (hbw_control_version (control, HBW_DOCUMENT_CATALOGUE), version);
  rig_destroy (rig);
}
END_TEST

START_TEST (stopped_server_gets_no_work)
{
  Rig *rig = rig_create (2, 4);
  RigAnswer answer = rig_admin (rig, "PUT", "/admin/v1/stops/e0", "{}", NULL);
  ck_assert_msg (answer.status == 200, "%s", answer.body);
  rig_answer_clear (&answer);
  wait_for_version (rig, HBW_DOCUMENT_STOPS, 1);
  for (guint i = 0; i < 8; i++)
    {
      answer = rig_call (rig, "/v1/chat/completions", NULL,
                         "{\"model\":\"m\",\"tag\":\"after\"}", NULL);
      ck_assert_int_eq (answer.status, 200);
      rig_answer_clear (&answer);
    }
  ck_assert_uint_eq (engine_runs (rig->engines[0], "after"), 0);
  answer = rig_admin (rig, "GET", "/admin/v1/stops", NULL, NULL);
  ck_assert (strstr (answer.body, "\"e0\"") != NULL);
  ck_assert_msg (strstr (answer.body, "\"shard_in_progress\": 0") != NULL, "%s",
                 answer.body);
  rig_answer_clear (&answer);
  answer = rig_admin (rig, "DELETE", "/admin/v1/stops/e0", NULL, NULL);
  ck_assert_int_eq (answer.status, 200);
  rig_answer_clear (&answer);
  rig_destroy (rig);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admin");
  TCase *cases = tcase_create ("admin");
  tcase_set_timeout (cases, 0);
  tcase_add_test (cases, accepted_edit_is_in_force);
  tcase_add_test (cases, racing_edit_gets_a_conflict);
  tcase_add_test (cases, lost_answer_is_settled_by_reading_back);
  tcase_add_test (cases, refused_edit_changes_nothing);
  tcase_add_test (cases, older_answer_of_the_store_is_not_adopted);
  tcase_add_test (cases, stopped_server_gets_no_work);
  suite_add_tcase (suite, cases);
  return suite_run (suite);
}
