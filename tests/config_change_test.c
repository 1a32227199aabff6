/*
 * Tests of requests in progress on kept connections while the config changes: each
 * is answered completely.
 */
#include "platform_fixture.h"
#include "suite.h"

#include "hornbeamwall/core/retry_budget.h"

#include <string.h>
#include <unistd.h>

/* As many requests as the servers take at the same time. */
#define CONNECTIONS 16

/* Routes of a config that takes long to read, and how many such configs come while a
   server works. */
#define MANY_ROUTES 2000
#define CONFIGS 8

/* How long a server works before it begins its answer: longer than CONFIGS changes,
   shorter than the deadline of a request. */
#define WORK_US (1500 * HBW_US_PER_MS)

#define EVENTS 6

static void
open_kept_connections (PlatformFixture *fixture, int *fds)
{
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      fds[i] = platform_fixture_connect (fixture);
      raw_response_check (caller_post (fds[i], "/safe/ok", API_KEY_FIELD, ""), 200,
                          NULL);
    }
}

static void
send_requests (const int *fds, const char *path)
{
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      char *request = caller_format_request ("POST", path, API_KEY_FIELD, "");
      caller_send (fds[i], request);
      g_free (request);
    }
}

static gboolean
is_complete_stream (const RawResponse *response)
{
  if (response->status != 200 || !raw_response_is_complete (response->text))
    return FALSE;
  const char *next = response->text;
  for (guint i = 1; i <= EVENTS && next != NULL; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "id: %u\n", i);
      next = strstr (next, id);
    }
  return next != NULL;
}

/* Receives a stream from each connection and closes it. */
static void
check_all_streams (const int *fds)
{
  guint closed = 0;
  guint cut = 0;
  guint other = 0;
  for (guint i = 0; i < CONNECTIONS; i++)
    {
      RawResponse response = caller_receive (fds[i]);
      gboolean complete = is_complete_stream (&response);
      closed += response.status == 0;
      cut += response.status == 200 && !complete;
      other += response.status != 0 && response.status != 200;
      g_free (response.text);
      close (fds[i]);
    }
  ck_assert_msg (closed + cut + other == 0,
                 "of %d, %u closed without an answer, %u cut, %u refused",
                 CONNECTIONS, closed, cut, other);
}

static void
wait_until_running (PlatformFixture *fixture, const char *path)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX
                    && platform_fixture_count_runs (fixture, path) < CONNECTIONS;
       i++)
    g_usleep (10000);
  ck_assert_uint_ge (platform_fixture_count_runs (fixture, path), CONNECTIONS);
}

/* Configs of many routes, each with another idle timeout, are read after streams
   have been sent to servers and before these have begun their answers. */
static void
check_many_routes (const char *path)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fds[CONNECTIONS];
  open_kept_connections (fixture, fds);
  for (guint i = 0; i < PLATFORM_FIXTURE_SERVERS; i++)
    replica_set_work (fixture->replicas[i], WORK_US);
  send_requests (fds, path);
  fixture->unused_routes = MANY_ROUTES;
  for (guint i = 0; i < CONFIGS; i++)
    platform_fixture_set_timeouts (fixture, 4 + i, 1000, i % 2 == 0 ? 1000 : 8000);
  check_all_streams (fds);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, path), CONNECTIONS);
  platform_fixture_destroy (fixture);
}

START_TEST (stream_without_a_head_is_answered_beside_configs_of_many_routes)
{
  check_many_routes ("/once/events");
}
END_TEST

START_TEST (stream_in_progress_is_completed_beside_configs_of_many_routes)
{
  PlatformFixture *fixture = platform_fixture_create ();
  int fds[CONNECTIONS];
  open_kept_connections (fixture, fds);
  send_requests (fds, "/once/pause");
  wait_until_running (fixture, "/once/pause");
  fixture->unused_routes = MANY_ROUTES;
  for (guint i = 0; i < CONFIGS; i++)
    platform_fixture_set_timeouts (fixture, 4 + i, 1000, i % 2 == 0 ? 1000 : 8000);
  check_all_streams (fds);
  ck_assert_uint_eq (platform_fixture_count_runs (fixture, "/once/pause"),
                     CONNECTIONS);
  platform_fixture_destroy (fixture);
}
END_TEST

/* The idle timeout falls below the pause of the servers, and rises again.  At most
   RETRIES_MAX streams are taken up by another server. */
static void
check_paused_streams (PlatformFixture *fixture, const char *path, guint retries_max)
{
  int fds[CONNECTIONS];
  platform_fixture_set_timeouts (fixture, 4, 1000, 6000);
  open_kept_connections (fixture, fds);
  send_requests (fds, path);
  wait_until_running (fixture, path);
  platform_fixture_set_timeouts (fixture, 5, 1000, 300);
  platform_fixture_set_timeouts (fixture, 6, 1000, 6000);
  check_all_streams (fds);
  ck_assert_uint_le (platform_fixture_count_runs (fixture, path),
                     CONNECTIONS + retries_max);
  platform_fixture_destroy (fixture);
}

START_TEST (stream_whose_server_pauses_is_completed)
{
  check_paused_streams (platform_fixture_create (), "/once/pause", 0);
}
END_TEST

START_TEST (resumable_stream_whose_server_pauses_is_completed)
{
  check_paused_streams (platform_fixture_create (), "/stream/pause", CONNECTIONS);
}
END_TEST

/* When the servers pause, all requests but one find the budget of retries used. */
START_TEST (resumable_stream_whose_server_pauses_is_completed_without_a_retry)
{
  PlatformFixture *fixture = platform_fixture_create ();
  fixture->settings->retry_limits.percent = 0;
  fixture->settings->retry_limits.extra = HBW_RETRY_MEMBERS_MIN;
  platform_fixture_restart_instance (fixture);
  check_paused_streams (fixture, "/stream/pause", 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config_change");
  suite_add_test (suite,
                  "stream_without_a_head_is_answered_beside_configs_of_many_routes",
                  stream_without_a_head_is_answered_beside_configs_of_many_routes);
  suite_add_test (suite,
                  "stream_in_progress_is_completed_beside_configs_of_many_routes",
                  stream_in_progress_is_completed_beside_configs_of_many_routes);
  suite_add_test (suite, "stream_whose_server_pauses_is_completed",
                  stream_whose_server_pauses_is_completed);
  suite_add_test (suite, "resumable_stream_whose_server_pauses_is_completed",
                  resumable_stream_whose_server_pauses_is_completed);
  suite_add_test (
      suite, "resumable_stream_whose_server_pauses_is_completed_without_a_retry",
      resumable_stream_whose_server_pauses_is_completed_without_a_retry);
  return suite_run (suite);
}
