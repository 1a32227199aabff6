/*
 * Tests of an instance on a machine that is suspended: CLOCK_BOOTTIME counts that
 * time, CLOCK_MONOTONIC does not.
 *
 * The clock_gettime() below takes the place of the C library's in this process.
 */
#include "platform_fixture.h"
#include "suite.h"

#include <stdatomic.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* Bound for refusing a removed key, in milliseconds. */
#define BOUND_MS 5000

/* Longer than a watch of the config, so that none is waiting any more. */
#define WATCH_TIMEOUT_US 1200000

static _Atomic gint64 suspended_s;

int
clock_gettime (clockid_t clock, struct timespec *time)
{
  int result = (int) syscall (SYS_clock_gettime, clock, time);
  if (clock == CLOCK_BOOTTIME)
    time->tv_sec += atomic_load (&suspended_s);
  return result;
}

static guint
post_status (PlatformFixture *fixture)
{
  RawResponse response
      = platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, "b");
  g_free (response.text);
  return response.status;
}

/* The removal is acknowledged while the machine is suspended, and the request is
   sent before the instance has heard of it. */
START_TEST (removed_key_is_refused_after_suspension)
{
  PlatformFixture *fixture = platform_fixture_create_with_bound (BOUND_MS);
  objects_set_behaviour (fixture->object_store, OBJECTS_UNAVAILABLE);
  g_usleep (WATCH_TIMEOUT_US);
  ck_assert_uint_eq (post_status (fixture), 200);
  platform_fixture_put_config (fixture, 4, "\"k2\"");
  atomic_fetch_add (&suspended_s, BOUND_MS / 1000 + 1);
  ck_assert_uint_eq (post_status (fixture), 503);
  objects_set_behaviour (fixture->object_store, OBJECTS_NORMAL);
  guint status = 0;
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX && status != 401; i++)
    {
      status = post_status (fixture);
      ck_assert_uint_ne (status, 200);
      g_usleep (10000);
    }
  ck_assert_uint_eq (status, 401);
  platform_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("suspend");
  suite_add_test (suite, "removed_key_is_refused_after_suspension",
                  removed_key_is_refused_after_suspension);
  return suite_run (suite);
}
