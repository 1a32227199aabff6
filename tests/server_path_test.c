/*
 * server_path_test - what makes a path silent, and what ends that
 */
#include "suite.h"

#include "hornbeamwall/core/membership.h"
#include "hornbeamwall/core/server_path.h"

#include <string.h>

#define PEER 2

typedef struct
{
  HbwContext context;
  HbwServerPath *path;
} Fixture;

static Fixture
fixture_create (void)
{
  const HbwMemberUpdate self = { .identity = 1, .state = HBW_MEMBER_ALIVE };
  Fixture fixture = { .path = hbw_server_path_create () };
  fixture.context.self = self.identity;
  fixture.context.membership = hbw_membership_create (&self);
  fixture.context.effects = hbw_effects_create ();
  fixture.context.now_us = 10 * HBW_US_PER_S;
  return fixture;
}

static void
fixture_destroy (Fixture *fixture)
{
  hbw_server_path_destroy (fixture->path);
  hbw_membership_destroy (fixture->context.membership);
  hbw_effects_destroy (fixture->context.effects);
}

static HbwPathState
get_state (const Fixture *fixture)
{
  return hbw_server_path_state (fixture->path);
}

/* SERVER has been silent for long enough. */
static void
wait_for (Fixture *fixture, const char *server)
{
  fixture->context.now_us += HBW_PATH_SILENT_US;
  hbw_server_path_handle_silent (fixture->path, &fixture->context, server);
}

static void
check (Fixture *fixture, const char *server, HbwServerCheckKind kind)
{
  HbwServerCheckResult result = { .kind = kind };
  g_strlcpy (result.server, server, sizeof result.server);
  hbw_server_path_handle_check (fixture->path, &fixture->context, &result);
}

static void
make_silent (Fixture *fixture)
{
  wait_for (fixture, "a");
  wait_for (fixture, "b");
  ck_assert_int_eq (get_state (fixture), HBW_PATH_DOUBTFUL);
  check (fixture, "a", HBW_SERVER_CHECK_ACCEPTED);
  ck_assert_int_eq (get_state (fixture), HBW_PATH_SILENT);
}

/* Returns whether the next attempt is the first on a new direct connection. */
static gboolean
is_trial (Fixture *fixture, gint64 silence_us, guint unexecuted)
{
  HbwPathChoice choice;
  hbw_server_path_choose (fixture->path, &fixture->context, silence_us, unexecuted,
                          &choice);
  return choice.peer == 0 && choice.opened_since_us == fixture->context.now_us;
}

START_TEST (one_silent_server_makes_no_doubt)
{
  Fixture fixture = fixture_create ();
  for (guint i = 0; i < 4; i++)
    wait_for (&fixture, "a");
  ck_assert_int_eq (get_state (&fixture), HBW_PATH_DIRECT);
  hbw_server_path_handle_heard (fixture.path, fixture.context.now_us);
  wait_for (&fixture, "b");
  ck_assert_int_eq (get_state (&fixture), HBW_PATH_DIRECT);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (only_bytes_end_a_silence)
{
  Fixture fixture = fixture_create ();
  make_silent (&fixture);
  for (guint i = 0; i < 4; i++)
    {
      fixture.context.now_us += HBW_US_PER_S;
      check (&fixture, "a",
             i % 2 == 0 ? HBW_SERVER_CHECK_ACCEPTED : HBW_SERVER_CHECK_REFUSED);
      hbw_server_path_handle_tunnel (fixture.path, &fixture.context, PEER, "a",
                                     "127.0.0.1:1");
      hbw_server_path_tick (fixture.path, &fixture.context, NULL);
      ck_assert_int_eq (get_state (&fixture), HBW_PATH_SILENT);
    }
  hbw_server_path_handle_heard (fixture.path, fixture.context.now_us);
  hbw_server_path_tick (fixture.path, &fixture.context, NULL);
  ck_assert_int_eq (get_state (&fixture), HBW_PATH_DIRECT);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (one_request_a_second_tries_a_silent_path)
{
  Fixture fixture = fixture_create ();
  make_silent (&fixture);
  ck_assert (!is_trial (&fixture, 0, 0)); /* it may not be sent again */
  ck_assert (is_trial (&fixture, HBW_PATH_SILENT_US, 0));
  ck_assert (!is_trial (&fixture, HBW_PATH_SILENT_US, 0));
  ck_assert (is_trial (&fixture, 0, 3)); /* nobody has opened a tunnel */
  fixture.context.now_us += HBW_US_PER_S;
  ck_assert (is_trial (&fixture, HBW_PATH_SILENT_US, 0));
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (silent_path_without_connections_is_in_doubt)
{
  Fixture fixture = fixture_create ();
  make_silent (&fixture);
  hbw_server_path_handle_unconnected (fixture.path, &fixture.context, "a");
  ck_assert_int_eq (get_state (&fixture), HBW_PATH_DOUBTFUL);
  check (&fixture, "b", HBW_SERVER_CHECK_ACCEPTED);
  ck_assert_int_eq (get_state (&fixture), HBW_PATH_SILENT);
  fixture_destroy (&fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("server_path");
  suite_add_test (suite, "one_silent_server_makes_no_doubt",
                  one_silent_server_makes_no_doubt);
  suite_add_test (suite, "only_bytes_end_a_silence", only_bytes_end_a_silence);
  suite_add_test (suite, "one_request_a_second_tries_a_silent_path",
                  one_request_a_second_tries_a_silent_path);
  suite_add_test (suite, "silent_path_without_connections_is_in_doubt",
                  silent_path_without_connections_is_in_doubt);
  return suite_run (suite);
}
