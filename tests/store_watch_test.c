/*
 * Tests of the feed that lists and watches the servers in the platform's store,
 * while watches are cut off and while the store is away.  A server that has left
 * must get no requests later than 2 s after its entry was removed; one whose entry
 * lapsed in an outage must be kept until its entry is back.
 */
#include "suite.h"

#include "hornbeamwall/platform/store_adapter.h"
#include "hornbeamwall/runtime/list_watch_feed.h"
#include "standin/objects.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define SERVERS 6

/* How long requests may be sent to a server whose entry was removed. */
#define REMOVAL_MAX_US (2 * HBW_US_PER_S)

/* When an entry that lapsed in an outage is back after the store's return. */
#define RENEWAL_US (1500 * HBW_US_PER_MS)

/* When one that is not back is to be gone. */
#define EXPIRY_MAX_US (3 * HBW_US_PER_S)

/* Three heartbeats. */
#define OUTAGE_US (3 * HBW_US_PER_S)

/* Settings of the feed: those of the default heartbeat. */
#define WATCH_TIMEOUT_MS 750
#define OUTAGE_MIN_US (1500 * HBW_US_PER_MS)

/* Pause of the feed's caller after a failed call. */
#define FAILURE_PAUSE_US (200 * HBW_US_PER_MS)

#define ERA_CHANGE_US (300 * HBW_US_PER_MS)

/* A thread reads the feed, as runtime/watch.c does, into LIST. */
typedef struct
{
  Objects *objects;
  HbwClock *clock;
  HbwFeed *feed;
  pthread_t thread;
  atomic_bool stopping;
  pthread_mutex_t lock;
  char *list; /* newest document */
  guint kept_count;
  guint cut_watch_count;
} WatchFixture;

static void
record_result (WatchFixture *fixture, const HbwFeedResult *result)
{
  pthread_mutex_lock (&fixture->lock);
  fixture->kept_count = result->kept_count;
  fixture->cut_watch_count += result->cut_watch_count;
  if (result->status == HBW_STORE_OK)
    {
      gsize length;
      const char *text = g_bytes_get_data (result->body, &length);
      g_free (fixture->list);
      fixture->list = g_strndup (text, length);
      g_bytes_unref (result->body);
    }
  pthread_mutex_unlock (&fixture->lock);
}

static void *
read_feed (void *data)
{
  WatchFixture *fixture = data;
  while (!atomic_load (&fixture->stopping))
    {
      HbwError error = { HBW_ERROR_NONE, "" };
      HbwFeedResult result = fixture->feed->class->wait_next (
          fixture->feed, WATCH_TIMEOUT_MS, &error);
      record_result (fixture, &result);
      if (result.status == HBW_STORE_FAILED)
        g_usleep (FAILURE_PAUSE_US);
    }
  return NULL;
}

static void
put_server (WatchFixture *fixture, guint number)
{
  objects_set_server (fixture->objects, number, 9000 + number, 8, "ready", 1);
}

static void
remove_server (WatchFixture *fixture, guint number)
{
  char name[16];
  g_snprintf (name, sizeof name, "i-%u", number);
  objects_set (fixture->objects, "servers", name, NULL);
}

static gboolean
is_listed (WatchFixture *fixture, guint number)
{
  char quoted[16];
  g_snprintf (quoted, sizeof quoted, "\"i-%u\"", number);
  pthread_mutex_lock (&fixture->lock);
  gboolean found = fixture->list != NULL && strstr (fixture->list, quoted) != NULL;
  pthread_mutex_unlock (&fixture->lock);
  return found;
}

static guint
count_listed (WatchFixture *fixture, guint first, guint count)
{
  guint listed = 0;
  for (guint i = first; i < first + count; i++)
    listed += is_listed (fixture, i) ? 1 : 0;
  return listed;
}

static guint
count_kept (WatchFixture *fixture)
{
  pthread_mutex_lock (&fixture->lock);
  guint count = fixture->kept_count;
  pthread_mutex_unlock (&fixture->lock);
  return count;
}

static guint
count_cut_watches (WatchFixture *fixture)
{
  pthread_mutex_lock (&fixture->lock);
  guint count = fixture->cut_watch_count;
  pthread_mutex_unlock (&fixture->lock);
  return count;
}

static void
wait_for_cut (WatchFixture *fixture)
{
  guint before = count_cut_watches (fixture);
  while (count_cut_watches (fixture) == before)
    g_usleep (HBW_US_PER_MS);
}

static WatchFixture *
watch_fixture_create (void)
{
  WatchFixture *fixture = g_new0 (WatchFixture, 1);
  HbwError error = { HBW_ERROR_NONE, "" };
  fixture->objects = objects_create ("127.0.0.1:0", 100);
  fixture->clock = hbw_clock_create_system ();
  pthread_mutex_init (&fixture->lock, NULL);
  char *address = g_strdup_printf ("127.0.0.1:%u", objects_port (fixture->objects));
  fixture->feed = hbw_list_watch_feed_create (
      address, hbw_platform_store_adapter (HBW_DOCUMENT_SERVERS), WATCH_TIMEOUT_MS,
      OUTAGE_MIN_US, fixture->clock, &error);
  g_free (address);
  ck_assert (fixture->feed != NULL);
  for (guint i = 0; i < SERVERS; i++)
    put_server (fixture, i);
  pthread_create (&fixture->thread, NULL, read_feed, fixture);
  while (count_listed (fixture, 0, SERVERS) < SERVERS)
    g_usleep (10 * HBW_US_PER_MS);
  return fixture;
}

static void
watch_fixture_destroy (WatchFixture *fixture)
{
  atomic_store (&fixture->stopping, TRUE);
  objects_cut_watches (fixture->objects, 0, OBJECTS_CUT_CLOSE);
  pthread_join (fixture->thread, NULL);
  fixture->feed->class->destroy (fixture->feed);
  objects_destroy (fixture->objects);
  hbw_clock_destroy (fixture->clock);
  pthread_mutex_destroy (&fixture->lock);
  g_free (fixture->list);
  g_free (fixture);
}

/* Servers leave between two watches. */
static void
leave_after_cuts (guint cut_after_ms, ObjectsCut cut)
{
  WatchFixture *fixture = watch_fixture_create ();
  objects_cut_watches (fixture->objects, cut_after_ms, cut);
  for (guint i = 0; i < SERVERS; i++)
    {
      wait_for_cut (fixture);
      remove_server (fixture, i);
    }
  g_usleep (REMOVAL_MAX_US);
  ck_assert_uint_eq (count_listed (fixture, 0, SERVERS), 0);
  ck_assert_uint_eq (count_kept (fixture), 0);
  watch_fixture_destroy (fixture);
}

/* Each cut began a grace period anew, and what was removed between a cut and the
   next list was kept as long as there were cuts. */
START_TEST (server_that_leaves_beside_cut_watches_is_dropped)
{
  leave_after_cuts (500, OBJECTS_CUT_CLOSE);
  leave_after_cuts (150, OBJECTS_CUT_CLOSE);
}
END_TEST

/* A refusal after a wait is no outage either. */
START_TEST (server_that_leaves_beside_refused_watches_is_dropped)
{
  leave_after_cuts (500, OBJECTS_CUT_REFUSED);
}
END_TEST

/* The store is away, and loses the entries of all servers.  All but the first GONE
   of them come back. */
static void
lapse_in_outage (WatchFixture *fixture, guint gone)
{
  objects_set_behaviour (fixture->objects, OBJECTS_UNAVAILABLE);
  g_usleep (OUTAGE_US / 2);
  for (guint i = 0; i < SERVERS; i++)
    remove_server (fixture, i);
  g_usleep (OUTAGE_US / 2);
  objects_set_behaviour (fixture->objects, OBJECTS_NORMAL);
  gint64 return_us = hbw_clock_now (fixture->clock);
  while (hbw_clock_now (fixture->clock) - return_us < RENEWAL_US)
    {
      ck_assert_uint_eq (count_listed (fixture, 0, SERVERS), SERVERS);
      g_usleep (10 * HBW_US_PER_MS);
    }
  for (guint i = gone; i < SERVERS; i++)
    put_server (fixture, i);
  while (hbw_clock_now (fixture->clock) - return_us < EXPIRY_MAX_US)
    {
      ck_assert_uint_eq (count_listed (fixture, gone, SERVERS - gone),
                         SERVERS - gone);
      g_usleep (10 * HBW_US_PER_MS);
    }
  ck_assert_uint_eq (count_listed (fixture, 0, gone), 0);
  ck_assert_uint_eq (count_kept (fixture), 0);
}

/* Cuts must shorten the time for which lapsed entries are kept as little as they
   extend it. */
START_TEST (entries_that_lapsed_are_kept_for_the_grace_period_beside_cut_watches)
{
  static const guint cuts_ms[] = { 0, 150, 500 };
  for (gsize i = 0; i < G_N_ELEMENTS (cuts_ms); i++)
    {
      WatchFixture *fixture = watch_fixture_create ();
      objects_cut_watches (fixture->objects, cuts_ms[i], OBJECTS_CUT_CLOSE);
      lapse_in_outage (fixture, 3);
      watch_fixture_destroy (fixture);
    }
}
END_TEST

/* Copies of the store answer by turns.  Each list began a grace period anew, as its
   era was another one than that of the list before. */
START_TEST (server_that_leaves_while_eras_alternate_is_dropped)
{
  WatchFixture *fixture = watch_fixture_create ();
  objects_set_era (fixture->objects, 2);
  g_usleep (ERA_CHANGE_US);
  remove_server (fixture, 0);
  for (gint64 passed_us = 0; passed_us < EXPIRY_MAX_US; passed_us += ERA_CHANGE_US)
    {
      objects_set_era (fixture->objects, 1 + passed_us / ERA_CHANGE_US % 2);
      g_usleep (ERA_CHANGE_US);
    }
  ck_assert_uint_eq (count_kept (fixture), 0);
  ck_assert (!is_listed (fixture, 0));
  ck_assert_uint_eq (count_listed (fixture, 1, SERVERS - 1), SERVERS - 1);
  watch_fixture_destroy (fixture);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("store watch");
  TCase *tests = tcase_create ("store watch");
  tcase_set_timeout (tests, 0);
  tcase_add_test (tests, server_that_leaves_beside_cut_watches_is_dropped);
  tcase_add_test (tests, server_that_leaves_beside_refused_watches_is_dropped);
  tcase_add_test (
      tests, entries_that_lapsed_are_kept_for_the_grace_period_beside_cut_watches);
  tcase_add_test (tests, server_that_leaves_while_eras_alternate_is_dropped);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
