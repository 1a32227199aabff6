/*
 * Tests of an instance whose store was restored from an older copy: changes that
 * were acknowledged are lost, and their revisions are given out again.
 */
#include "platform_fixture.h"
#include "suite.h"

#include <string.h>

/* Bound for refusing a removed key, in milliseconds. */
#define BOUND_MS 5000

/* Requests that show where the instance sends them. */
#define REQUESTS 60

/* Longer than a watch of the config, so that none is waiting any more. */
#define WATCH_TIMEOUT_US 1200000

#define OTHER_KEY_FIELD "X-Hornbeamwall-Key: k2\r\n"

static guint
post_status (PlatformFixture *fixture, const char *path, const char *fields)
{
  RawResponse response = platform_fixture_post (fixture, path, fields, "b");
  g_free (response.text);
  return response.status;
}

static gboolean
wait_for_status (PlatformFixture *fixture, const char *fields, guint status)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX / 2; i++)
    {
      if (post_status (fixture, "/safe/ok", fields) == status)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

static void
wait_for_version (PlatformFixture *fixture, gint64 version)
{
  HbwControl *control = hbw_instance_control (fixture->instance);
  for (guint i = 0;
       i < PLATFORM_FIXTURE_POLLS_MAX
       && hbw_control_document_version (control, HBW_DOCUMENT_CATALOGUE) != version;
       i++)
    g_usleep (10000);
  ck_assert_int_eq (hbw_control_document_version (control, HBW_DOCUMENT_CATALOGUE),
                    version);
}

/* Raises the revision, so that a restored store can give out lower ones again. */
static void
put_later_configs (PlatformFixture *fixture)
{
  for (guint version = 4; version <= 8; version++)
    platform_fixture_put_config (fixture, version, "\"k1\",\"k2\"");
  wait_for_version (fixture, 8);
}

START_TEST (key_removed_after_restore_is_refused)
{
  PlatformFixture *fixture = platform_fixture_create ();
  gint64 copy = objects_revision (fixture->object_store);
  put_later_configs (fixture);
  objects_restore (fixture->object_store, copy);
  platform_fixture_put_config (fixture, 9, "\"k2\"");
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 401));
  ck_assert_uint_eq (post_status (fixture, "/safe/ok", OTHER_KEY_FIELD), 200);
  platform_fixture_destroy (fixture);
}
END_TEST

/* When the instance reaches the store again, the revisions have passed those that it
   has seen. */
START_TEST (key_removed_below_passed_revision_is_refused)
{
  PlatformFixture *fixture = platform_fixture_create ();
  gint64 copy = objects_revision (fixture->object_store);
  put_later_configs (fixture);
  gint64 seen = objects_revision (fixture->object_store);
  objects_set_behaviour (fixture->object_store, OBJECTS_UNAVAILABLE);
  g_usleep (WATCH_TIMEOUT_US);
  objects_restore (fixture->object_store, copy);
  platform_fixture_put_config (fixture, 9, "\"k2\"");
  while (objects_revision (fixture->object_store) <= seen)
    platform_fixture_put_server (fixture, 0, "ready");
  objects_set_behaviour (fixture->object_store, OBJECTS_NORMAL);
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 401));
  ck_assert_uint_eq (post_status (fixture, "/safe/ok", OTHER_KEY_FIELD), 200);
  platform_fixture_destroy (fixture);
}
END_TEST

/* The store has a newer config, which this instance cannot use. */
START_TEST (unusable_config_does_not_confirm_the_one_before)
{
  PlatformFixture *fixture = platform_fixture_create_with_bound (BOUND_MS);
  objects_set (fixture->object_store, "config", "main",
               "{\"version\":4,\"routes\":3}");
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 503));
  platform_fixture_put_config (fixture, 5, "\"k2\"");
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 401));
  platform_fixture_destroy (fixture);
}
END_TEST

/* The removal is acknowledged while the instance does not reach the store, is lost,
   and is written again only after the bound. */
START_TEST (key_removed_while_store_was_away_is_refused)
{
  PlatformFixture *fixture = platform_fixture_create_with_bound (BOUND_MS);
  gint64 copy = objects_revision (fixture->object_store);
  objects_set_behaviour (fixture->object_store, OBJECTS_UNAVAILABLE);
  g_usleep (WATCH_TIMEOUT_US);
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  gint64 removed_us = g_get_monotonic_time ();
  gint64 elapsed_ms = 0;
  gboolean restored = FALSE;
  gboolean written_again = FALSE;
  while (elapsed_ms < 8000)
    {
      elapsed_ms = (g_get_monotonic_time () - removed_us) / 1000;
      if (!restored && elapsed_ms >= 2500)
        {
          restored = TRUE;
          objects_restore (fixture->object_store, copy);
          objects_set_behaviour (fixture->object_store, OBJECTS_NORMAL);
        }
      if (!written_again && elapsed_ms >= 5300)
        {
          written_again = TRUE;
          platform_fixture_put_config (fixture, 4, "\"k2\"");
        }
      guint status = post_status (fixture, "/safe/ok", API_KEY_FIELD);
      if (elapsed_ms >= BOUND_MS)
        ck_assert_msg (status != 200, "passes after %d ms", (int) elapsed_ms);
      g_usleep (20000);
    }
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 401));
  ck_assert (wait_for_status (fixture, OTHER_KEY_FIELD, 200));
  platform_fixture_destroy (fixture);
}
END_TEST

/* Nobody is left who knows of the removal when the instance starts. */
START_TEST (removed_key_is_refused_by_instance_started_on_restored_store)
{
  PlatformFixture *fixture = platform_fixture_create ();
  gint64 copy = objects_revision (fixture->object_store);
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  wait_for_version (fixture, 4);
  objects_restore (fixture->object_store, copy);
  platform_fixture_start_instance (fixture);
  for (guint i = 0; i < 100; i++)
    {
      ck_assert_uint_ne (post_status (fixture, "/safe/ok", API_KEY_FIELD), 200);
      g_usleep (20000);
    }
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  wait_for_version (fixture, 4);
  ck_assert (wait_for_status (fixture, API_KEY_FIELD, 401));
  ck_assert (wait_for_status (fixture, OTHER_KEY_FIELD, 200));
  platform_fixture_destroy (fixture);
}
END_TEST

/* The store has an older config, and nobody writes the newer one again. */
START_TEST (older_config_of_restored_store_is_not_taken_as_newest)
{
  PlatformFixture *fixture = platform_fixture_create_with_bound (BOUND_MS);
  gint64 copy = objects_revision (fixture->object_store);
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  wait_for_version (fixture, 4);
  objects_restore (fixture->object_store, copy);
  ck_assert (wait_for_status (fixture, OTHER_KEY_FIELD, 503));
  ck_assert_uint_ne (post_status (fixture, "/safe/ok", API_KEY_FIELD), 200);
  ck_assert_uint_eq (post_status (fixture, "/open/ok", ""), 200);
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  ck_assert (wait_for_status (fixture, OTHER_KEY_FIELD, 200));
  ck_assert_uint_eq (post_status (fixture, "/safe/ok", API_KEY_FIELD), 401);
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (removing_the_last_key_closes_the_routes)
{
  PlatformFixture *fixture = platform_fixture_create ();
  platform_fixture_put_config (fixture, 4, "");
  wait_for_version (fixture, 4);
  ck_assert_uint_eq (post_status (fixture, "/safe/ok", API_KEY_FIELD), 401);
  ck_assert_uint_eq (post_status (fixture, "/safe/ok", ""), 401);
  ck_assert_uint_eq (post_status (fixture, "/open/ok", ""), 200);
  platform_fixture_destroy (fixture);
}
END_TEST

/* Returns how many of REQUESTS requests the server does not get. */
static guint
count_requests_elsewhere (PlatformFixture *fixture, guint index)
{
  static guint last_number;
  guint elsewhere = 0;
  for (guint i = 0; i < REQUESTS; i++)
    {
      char path[64];
      g_snprintf (path, sizeof path, "/safe/%u/ok", ++last_number);
      ck_assert_uint_eq (post_status (fixture, path, API_KEY_FIELD), 200);
      elsewhere += replica_run_count (fixture->replicas[index], path) == 0;
    }
  return elsewhere;
}

static void
wait_until_only_server (PlatformFixture *fixture, guint index)
{
  guint elsewhere = 1;
  for (guint i = 0; i < 20 && elsewhere > 0; i++)
    {
      elsewhere = count_requests_elsewhere (fixture, index);
      g_usleep (100000);
    }
  ck_assert_uint_eq (elsewhere, 0);
}

/* One server starts again, and the other one drains. */
START_TEST (server_changes_after_restore_are_followed)
{
  PlatformFixture *fixture = platform_fixture_create ();
  gint64 copy = objects_revision (fixture->object_store);
  put_later_configs (fixture);
  platform_fixture_put_server (fixture, 1, "ready");
  platform_fixture_put_server (fixture, 0, "draining");
  wait_until_only_server (fixture, 1);
  objects_restore (fixture->object_store, copy);
  objects_set_server (fixture->object_store, 0, replica_port (fixture->replicas[0]),
                      8, "ready", 2);
  platform_fixture_put_server (fixture, 1, "draining");
  wait_until_only_server (fixture, 0);
  platform_fixture_destroy (fixture);
}
END_TEST

/* The copy shows a server as ready that has reported that it drains, and one that
   has left. */
START_TEST (leaving_server_stays_out_after_restore)
{
  static const char *const left_by[] = { "draining", NULL };
  for (guint i = 0; i < G_N_ELEMENTS (left_by); i++)
    {
      PlatformFixture *fixture = platform_fixture_create ();
      gint64 copy = objects_revision (fixture->object_store);
      if (left_by[i] != NULL)
        platform_fixture_put_server (fixture, 0, left_by[i]);
      else
        objects_set (fixture->object_store, "servers", "i-0", NULL);
      wait_until_only_server (fixture, 1);
      objects_restore (fixture->object_store, copy);
      gint64 restored_us = g_get_monotonic_time ();
      while (g_get_monotonic_time () < restored_us + 1500000)
        ck_assert_uint_eq (count_requests_elsewhere (fixture, 1), 0);
      if (left_by[i] != NULL)
        platform_fixture_put_server (fixture, 0, left_by[i]);
      else
        objects_set (fixture->object_store, "servers", "i-0", NULL);
      g_usleep (2500000);
      ck_assert_uint_eq (count_requests_elsewhere (fixture, 1), 0);
      platform_fixture_destroy (fixture);
    }
}
END_TEST

static gboolean
wait_for_suspect (PlatformFixture *fixture)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX; i++)
    {
      char *spec
          = objects_get (fixture->object_store, "hornbeamwall-suspects", "main");
      gboolean found = spec != NULL && strstr (spec, "\"failures\"") != NULL;
      g_free (spec);
      if (found)
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

START_TEST (suspects_lost_by_restore_are_stored_again)
{
  PlatformFixture *fixture = platform_fixture_create ();
  gint64 copy = objects_revision (fixture->object_store);
  ck_assert_uint_ne (post_status (fixture, "/safe/a/crash", API_KEY_FIELD), 200);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/a/crash"), 2);
  ck_assert (wait_for_suspect (fixture));
  objects_restore (fixture->object_store, copy);
  ck_assert (wait_for_suspect (fixture));
  platform_fixture_restart_instance (fixture);
  ck_assert_uint_eq (post_status (fixture, "/safe/a/crash", API_KEY_FIELD), 503);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/safe/a/crash"), 2);
  platform_fixture_destroy (fixture);
}
END_TEST

#define ADD_TEST(suite, test) suite_add_test (suite, #test, test)

int
main (void)
{
  Suite *suite = suite_create ("store_restore");
  ADD_TEST (suite, key_removed_after_restore_is_refused);
  ADD_TEST (suite, key_removed_below_passed_revision_is_refused);
  ADD_TEST (suite, unusable_config_does_not_confirm_the_one_before);
  ADD_TEST (suite, key_removed_while_store_was_away_is_refused);
  ADD_TEST (suite, removed_key_is_refused_by_instance_started_on_restored_store);
  ADD_TEST (suite, older_config_of_restored_store_is_not_taken_as_newest);
  ADD_TEST (suite, removing_the_last_key_closes_the_routes);
  ADD_TEST (suite, server_changes_after_restore_are_followed);
  ADD_TEST (suite, leaving_server_stays_out_after_restore);
  ADD_TEST (suite, suspects_lost_by_restore_are_stored_again);
  return suite_run (suite);
}
