/*
 * version_test - which servers may go on with a stream
 */
#include "suite.h"

#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/stream_versions.h"
#include "hornbeamwall/core/topology.h"

#include <string.h>

typedef struct
{
  HbwContext context;
  HbwStreamVersions *versions;
} Fixture;

static Fixture
fixture_create (void)
{
  const HbwMemberUpdate self = { .identity = 1, .state = HBW_MEMBER_ALIVE };
  Fixture fixture = { .versions = hbw_stream_versions_create () };
  fixture.context.self = self.identity;
  fixture.context.membership = hbw_membership_create (&self);
  fixture.context.metrics = hbw_metrics_create ();
  fixture.context.effects = hbw_effects_create ();
  fixture.context.now_us = HBW_US_PER_S;
  return fixture;
}

static void
fixture_destroy (Fixture *fixture)
{
  hbw_stream_versions_destroy (fixture->versions);
  hbw_membership_destroy (fixture->context.membership);
  hbw_metrics_destroy (fixture->context.metrics);
  hbw_effects_destroy (fixture->context.effects);
}

static void
tell (Fixture *fixture, guint64 key, guint64 fingerprint_key, guint64 version)
{
  hbw_stream_versions_tell (fixture->versions, &fixture->context, key,
                            fingerprint_key, version);
}

/* Returns the version of a stream; -1 if nothing is known of it. */
static gint64
find (Fixture *fixture, guint64 key)
{
  guint64 version;
  return hbw_stream_versions_find (fixture->versions, key, fixture->context.now_us,
                                   &version)
             ? (gint64) version
             : -1;
}

START_TEST (stream_that_two_versions_began_has_none)
{
  Fixture fixture = fixture_create ();
  tell (&fixture, 11, 5, 1);
  tell (&fixture, 12, 5, 1);
  ck_assert_int_eq (find (&fixture, 5), 1);
  tell (&fixture, 13, 5, 2);
  ck_assert_int_eq (find (&fixture, 11), 1);
  ck_assert_int_eq (find (&fixture, 13), 2);
  ck_assert_int_eq (find (&fixture, 5), 0);
  ck_assert_int_eq (find (&fixture, 14), -1);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (oldest_versions_are_dropped_first)
{
  Fixture fixture = fixture_create ();
  for (guint64 i = 1; i <= HBW_STREAM_VERSIONS_MAX; i++)
    tell (&fixture, i, 0, 7);
  tell (&fixture, 1, 0, 7); /* heard of again */
  tell (&fixture, HBW_STREAM_VERSIONS_MAX + 1, 0, 7);
  ck_assert_int_eq (find (&fixture, 1), 7);
  ck_assert_int_eq (find (&fixture, 2), -1);
  ck_assert_uint_eq (hbw_stream_versions_count (fixture.versions),
                     HBW_STREAM_VERSIONS_MAX);
  fixture.context.now_us += HBW_STREAM_VERSION_KEEP_US + 1;
  ck_assert_int_eq (find (&fixture, 1), -1);
  ck_assert_uint_eq (hbw_stream_versions_count (fixture.versions), 0);
  fixture_destroy (&fixture);
}
END_TEST

START_TEST (keys_tell_organisations_and_requests_apart)
{
  ck_assert_uint_eq (hbw_stream_key ("o", ""), 0);
  ck_assert_uint_eq (hbw_stream_key ("o", "r"), hbw_stream_key ("o", "r"));
  ck_assert_uint_ne (hbw_stream_key ("o", "r"), hbw_stream_key ("p", "r"));
  ck_assert_uint_ne (hbw_stream_key ("o", "r"), hbw_stream_key ("o", "s"));
}
END_TEST

START_TEST (unknown_version_equals_none)
{
  static const char *const list
      = "{\"servers\":["
        "{\"id\":\"a\",\"pool\":\"m\",\"data_centre\":\"x\",\"address\":\"1.1.1.1:"
        "1\","
        "\"slots\":1,\"version\":\"v1\"},"
        "{\"id\":\"b\",\"pool\":\"m\",\"data_centre\":\"y\",\"address\":\"1.1.1.1:"
        "2\","
        "\"slots\":1,\"version\":\"v1\"},"
        "{\"id\":\"c\",\"pool\":\"m\",\"data_centre\":\"x\",\"address\":\"1.1.1.1:"
        "3\","
        "\"slots\":1},"
        "{\"id\":\"d\",\"pool\":\"n\",\"data_centre\":\"x\",\"address\":\"1.1.1.1:"
        "4\","
        "\"slots\":1,\"version\":\"v1\"},"
        "{\"id\":\"e\",\"pool\":\"m\",\"data_centre\":\"x\",\"address\":\"1.1.1.1:"
        "5\","
        "\"slots\":1,\"version\":\"v2\",\"state\":\"leaving\"}]}";
  HbwError error;
  HbwShardKey key;
  HbwTopology *topology = hbw_topology_create (
      hbw_directory_parse_servers (list, strlen (list), &error), NULL);
  const HbwServerEntry *a = hbw_topology_find_server (topology, "a", &key);
  const HbwServerEntry *c = hbw_topology_find_server (topology, "c", &key);
  const HbwServerEntry *d = hbw_topology_find_server (topology, "d", &key);
  const HbwServerEntry *e = hbw_topology_find_server (topology, "e", &key);
  HbwRequestSpec spec = { .version_hash = a->version_hash };
  ck_assert_uint_eq (c->version_hash, 0);
  ck_assert_uint_ne (a->version_hash, 0);
  ck_assert_uint_ne (a->version_hash, d->version_hash);
  ck_assert (hbw_topology_find_version (topology, &spec, "x", "", &key));
  ck_assert_str_eq (key.data_centre, "x");
  ck_assert (hbw_topology_find_version (topology, &spec, "x", "a", &key));
  ck_assert_str_eq (key.data_centre, "y");
  spec.version_hash = e->version_hash;
  ck_assert (!hbw_topology_find_version (topology, &spec, "x", "", &key));
  hbw_topology_destroy (topology);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("version");
  suite_add_test (suite, "stream_that_two_versions_began_has_none",
                  stream_that_two_versions_began_has_none);
  suite_add_test (suite, "oldest_versions_are_dropped_first",
                  oldest_versions_are_dropped_first);
  suite_add_test (suite, "keys_tell_organisations_and_requests_apart",
                  keys_tell_organisations_and_requests_apart);
  suite_add_test (suite, "unknown_version_equals_none", unknown_version_equals_none);
  return suite_run (suite);
}
