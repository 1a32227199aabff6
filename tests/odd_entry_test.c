/*
 * Tests of entries in the platform's store that the JSON library rejects: they are
 * left out, and the entries around them stay in force.
 */
#include "platform_fixture.h"
#include "suite.h"

#include "hornbeamwall/common/json_scan.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/platform/store_adapter.h"

#include <string.h>

/* Nesting of one value, in levels; the JSON library accepts 2,048. */
#define NESTED_ARRAYS 3000
#define NESTED_OBJECTS 20000

/* The most that the store accepts. */
#define LARGE_ENTRY_BYTES ((gsize) 1024 * 1024)

/* Requests that show which servers are in use. */
#define REQUESTS 20

#define SOUND_MEMBERS                                                               \
  "\"backend\":\"b\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"state\":"         \
  "\"ready\""

/* Specs of which the router uses no server. */
static const char *const odd_specs[] = {
  "{" SOUND_MEMBERS ",\"slots\":1e999}",
  "{" SOUND_MEMBERS ",\"slots\":99999999999999999999}",
  "{" SOUND_MEMBERS ",\"slots\":6,\"born\":9223372036854775808}",
  "{\"backend\":\"b\xff\",\"address\":\"127.0.0.1:9\",\"zone\":\"z\",\"slots\":6,"
  "\"state\":\"ready\"}",
  "{\"backend\":\"b\",\"address\":\"127.0.0.1:9\\u0000\",\"zone\":\"z\","
  "\"slots\":6,\"state\":\"ready\"}",
  "{\"backend\":\"b\",\"address\":\"127.0.0.1:9\",\"zone\":\"\\ud800\","
  "\"slots\":6,\"state\":\"ready\"}",
  "{\"backend\":\"b\",\"address\":\"127.0.0.1:99999\",\"zone\":\"z\",\"slots\":6,"
  "\"state\":\"ready\"}",
  "\"\xfe\"",
};

static char *
repeat (const char *opening, const char *closing, guint levels)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < levels; i++)
    g_string_append (text, opening);
  g_string_append_c (text, '1');
  for (guint i = 0; i < levels; i++)
    g_string_append (text, closing);
  return g_string_free (text, FALSE);
}

/* Returns all odd specs; the caller frees the array and its texts. */
static GPtrArray *
make_odd_specs (void)
{
  GPtrArray *specs = g_ptr_array_new_with_free_func (g_free);
  for (gsize i = 0; i < G_N_ELEMENTS (odd_specs); i++)
    g_ptr_array_add (specs, g_strdup (odd_specs[i]));
  g_ptr_array_add (specs, repeat ("[", "]", NESTED_ARRAYS));
  g_ptr_array_add (specs, repeat ("{\"a\":", "}", NESTED_OBJECTS));
  char *digits = g_strnfill (400, '9');
  g_ptr_array_add (specs,
                   g_strdup_printf ("{" SOUND_MEMBERS ",\"slots\":%s}", digits));
  g_free (digits);
  return specs;
}

static void
put_odd_entries (PlatformFixture *fixture)
{
  GPtrArray *specs = make_odd_specs ();
  for (guint i = 0; i < specs->len; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "%s%u", i % 2 == 0 ? "a" : "z", i);
      objects_set (fixture->object_store, "servers", name,
                   g_ptr_array_index (specs, i));
    }
  g_ptr_array_unref (specs);
}

/* Returns whether REQUESTS requests in a row are served by the server INDEX. */
static gboolean
only_server_serves (PlatformFixture *fixture, guint index)
{
  Replica *other = fixture->replicas[1 - index];
  guint before = replica_received_count (other);
  for (guint i = 0; i < REQUESTS; i++)
    {
      RawResponse response
          = platform_fixture_post (fixture, "/safe/ok", API_KEY_FIELD, "b");
      g_free (response.text);
      if (response.status != 200)
        return FALSE;
    }
  return replica_received_count (other) == before;
}

static gboolean
wait_until_only_server_serves (PlatformFixture *fixture, guint index)
{
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX / 10; i++)
    {
      if (only_server_serves (fixture, index))
        return TRUE;
      g_usleep (10000);
    }
  return FALSE;
}

/* One server joins and another one leaves beside the odd entries, which a watch
   reports. */
START_TEST (odd_entry_does_not_stop_the_watch)
{
  PlatformFixture *fixture = platform_fixture_create ();
  objects_set (fixture->object_store, "servers", "i-1", NULL);
  ck_assert (wait_until_only_server_serves (fixture, 0));
  put_odd_entries (fixture);
  platform_fixture_put_server (fixture, 1, "ready");
  objects_set (fixture->object_store, "servers", "i-0", NULL);
  ck_assert (wait_until_only_server_serves (fixture, 1));
  platform_fixture_destroy (fixture);
}
END_TEST

START_TEST (odd_entry_does_not_stop_an_instance_that_starts)
{
  PlatformFixture *fixture = platform_fixture_create ();
  put_odd_entries (fixture);
  objects_set (fixture->object_store, "servers", "i-0", NULL);
  platform_fixture_restart_instance (fixture);
  ck_assert (wait_until_only_server_serves (fixture, 1));
  platform_fixture_destroy (fixture);
}
END_TEST

static void
put_large_entry (PlatformFixture *fixture, const char *name)
{
  static const char opening[] = "{" SOUND_MEMBERS ",\"slots\":0,\"further\":\"";
  GString *spec = g_string_new (opening);
  char *text = g_strnfill (LARGE_ENTRY_BYTES - strlen (opening) - 2, 'x');
  g_string_append_printf (spec, "%s\"}", text);
  objects_set (fixture->object_store, "servers", name, spec->str);
  g_free (text);
  g_string_free (spec, TRUE);
}

/* The response with it is larger than the entry. */
START_TEST (largest_entry_does_not_stop_an_instance)
{
  PlatformFixture *fixture = platform_fixture_create ();
  objects_set (fixture->object_store, "servers", "i-1", NULL);
  ck_assert (wait_until_only_server_serves (fixture, 0));
  put_large_entry (fixture, "a");
  platform_fixture_put_server (fixture, 1, "ready");
  objects_set (fixture->object_store, "servers", "i-0", NULL);
  ck_assert (wait_until_only_server_serves (fixture, 1));
  platform_fixture_restart_instance (fixture);
  ck_assert (wait_until_only_server_serves (fixture, 1));
  platform_fixture_destroy (fixture);
}
END_TEST

/* The stored suspects are replaced at the next write. */
START_TEST (odd_suspects_do_not_stop_an_instance_that_starts)
{
  PlatformFixture *fixture = platform_fixture_create ();
  char *nested = repeat ("[", "]", NESTED_ARRAYS);
  objects_set (fixture->object_store, "hornbeamwall-suspects", "main", nested);
  g_free (nested);
  platform_fixture_restart_instance (fixture);
  raw_response_check (
      platform_fixture_post (fixture, "/safe/x/crash2", API_KEY_FIELD, "b"), 502,
      NULL);
  gboolean is_replaced = FALSE;
  for (guint i = 0; i < PLATFORM_FIXTURE_POLLS_MAX && !is_replaced; i++)
    {
      char *spec
          = objects_get (fixture->object_store, "hornbeamwall-suspects", "main");
      is_replaced = spec != NULL && strstr (spec, "suspects") != NULL;
      g_free (spec);
      g_usleep (10000);
    }
  ck_assert (is_replaced);
  platform_fixture_destroy (fixture);
}
END_TEST

/* --- pages --------------------------------------------------------------------- */

static void
append_log_line (const HbwLogEventInfo *entry, const char *text, void *data)
{
  g_string_append_printf (data, "%s %s\n", entry->name, text);
}

static char *
format_page (const char *spec, gboolean is_watch)
{
  static const char sound[] = "{" SOUND_MEMBERS ",\"slots\":6}";
  return is_watch
             ? g_strdup_printf (
                 "{\"events\":[{\"object\":{\"metadata\":{\"name\":\"odd\","
                 "\"revision\":4},\"spec\":%s},\"removed\":false},"
                 "{\"object\":{\"metadata\":{\"name\":\"sound\",\"revision\":5},"
                 "\"spec\":%s},\"removed\":false}],\"current_rev\":5}",
                 spec, sound)
             : g_strdup_printf (
                 "{\"items\":[{\"metadata\":{\"name\":\"odd\",\"revision\":4},"
                 "\"spec\":%s},{\"metadata\":{\"name\":\"sound\",\"revision\":5},"
                 "\"spec\":%s}],\"truncated\":true,\"current_rev\":5}",
                 spec, sound);
}

static HbwStorePage
parse_page (HbwDocumentKind document, const char *spec, gboolean is_watch)
{
  HbwError error;
  HbwStorePage page
      = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwObjectChange)) };
  char *text = format_page (spec, is_watch);
  ck_assert_msg (hbw_platform_store_adapter (document)->class->parse_page (
                     text, strlen (text), is_watch, &page, &error),
                 "%.200s", text);
  g_free (text);
  ck_assert_int_eq (page.revision, 5);
  ck_assert_int_eq (page.truncated, !is_watch);
  ck_assert_uint_eq (page.changes->len, 2);
  return page;
}

static HbwObjectCache *
fill_cache (HbwStorePage *page)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", HBW_US_PER_S);
  for (guint i = 0; i < page->changes->len; i++)
    hbw_object_cache_apply (cache,
                            &g_array_index (page->changes, HbwObjectChange, i));
  g_array_free (page->changes, TRUE);
  return cache;
}

/* The log names the entry at the first document only. */
static void
check_document (const char *spec, gboolean is_watch, const char *expected_log,
                const char *expected_server)
{
  const HbwStoreAdapter *adapter = hbw_platform_store_adapter (HBW_DOCUMENT_SERVERS);
  HbwStorePage page = parse_page (HBW_DOCUMENT_SERVERS, spec, is_watch);
  HbwObjectCache *cache = fill_cache (&page);
  GString *lines = g_string_new (NULL);
  gint64 version = 1;
  hbw_log_set_hook (append_log_line, lines);
  g_free (adapter->class->build_document (cache, &version));
  char *document = adapter->class->build_document (cache, &version);
  hbw_log_set_hook (NULL, NULL);
  ck_assert_str_eq (lines->str, expected_log);
  ck_assert_ptr_nonnull (strstr (document, "\"id\":\"sound\""));
  ck_assert_int_eq (strstr (document, "\"id\":\"odd\"") != NULL,
                    expected_server != NULL);
  g_string_free (lines, TRUE);
  g_free (document);
  hbw_object_cache_destroy (cache);
}

START_TEST (odd_entry_is_left_out_and_logged_once)
{
  GPtrArray *specs = make_odd_specs ();
  for (guint i = 0; i < specs->len; i++)
    for (gint is_watch = 0; is_watch < 2; is_watch++)
      check_document (g_ptr_array_index (specs, i), is_watch,
                      "ENTRY_IGNORED kind=server name=\"odd\"\n", NULL);
  g_ptr_array_unref (specs);
}
END_TEST

START_TEST (sound_entry_with_an_odd_further_member_is_used)
{
  char *nested = repeat ("[", "]", NESTED_ARRAYS);
  char *spec
      = g_strdup_printf ("{" SOUND_MEMBERS ",\"slots\":6,\"further\":%s}", nested);
  for (gint is_watch = 0; is_watch < 2; is_watch++)
    check_document (spec, is_watch, "", "odd");
  g_free (spec);
  g_free (nested);
}
END_TEST

/* A config without the members that were rejected could allow too much. */
START_TEST (config_with_an_odd_member_is_not_adopted)
{
  HbwStorePage page
      = parse_page (HBW_DOCUMENT_CATALOGUE,
                    "{\"version\":4,\"routes\":[],\"backends\":[],\"tenants\":"
                    "[{\"name\":\"t\",\"priority\":1e999}]}",
                    TRUE);
  json_t *value = g_array_index (page.changes, HbwObjectChange, 0).value;
  ck_assert (json_is_null (value));
  hbw_object_cache_destroy (fill_cache (&page));
}
END_TEST

/* Null is an entry that the router ignores and logs. */
START_TEST (odd_suspect_does_not_hide_the_others)
{
  static const char text[]
      = "{\"metadata\":{\"name\":\"main\",\"revision\":3},\"spec\":{\"suspects\":"
        "[{\"high\":\"1\"},{\"high\":\"2\",\"remaining_ms\":1e999},{\"high\":\"3\"}"
        "],\"settled_era\":5}}";
  HbwError error;
  gint64 version = 0;
  GBytes *body = hbw_platform_suspects_adapter ()->parse (text, strlen (text),
                                                          &version, &error);
  ck_assert_ptr_nonnull (body);
  ck_assert_int_eq (version, 3);
  gsize length;
  const char *bytes = g_bytes_get_data (body, &length);
  json_t *found = json_loadb (bytes, length, 0, NULL);
  json_t *expected = json_loads (
      "{\"suspects\":[{\"high\":\"1\"},null,{\"high\":\"3\"}],\"settled_era\":5}", 0,
      NULL);
  ck_assert (json_equal (found, expected));
  json_decref (expected);
  json_decref (found);
  g_bytes_unref (body);
}
END_TEST

/* --- scanning ------------------------------------------------------------------ */

static void
count_visit (const char *key G_GNUC_UNUSED, HbwJsonSpan value, void *data)
{
  HbwJsonSpan span;
  ck_assert (hbw_json_scan (value.text, value.length, &span));
  (*(guint *) data)++;
}

START_TEST (text_that_is_no_value_is_refused)
{
  static const char *const bad[]
      = { "",          " ",          "{",     "}",       "[1",
          "[1,]",      "[,1]",       "[1 2]", "{\"a\"}", "{\"a\":}",
          "{\"a\":1",  "{\"a\":1,}", "\"a",   "\"a\\\"", "[1}",
          "{\"a\":1]", "1 2",        "{1:2}", "[1]]" };
  HbwJsonSpan span;
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert_msg (!hbw_json_scan (bad[i], strlen (bad[i]), &span), "%s", bad[i]);
  ck_assert (!hbw_json_scan ("[1\0]", 4, &span));
}
END_TEST

START_TEST (each_member_and_element_is_visited)
{
  static const struct
  {
    const char *text;
    guint count;
  } cases[] = { { "{}", 0 },
                { " [ ] ", 0 },
                { "[1, \"]\", {\"a\":[]}, []]", 4 },
                { "{\"a\": 1e999, \"b\\\"}\" : [[], {}],\"c\":\"\"}", 3 },
                { "\"[1,2]\"", 0 } };
  HbwJsonSpan span;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      guint count = 0;
      ck_assert (hbw_json_scan (cases[i].text, strlen (cases[i].text), &span));
      hbw_json_scan_foreach (span, count_visit, &count);
      ck_assert_uint_eq (count, cases[i].count);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("odd_entry");
  suite_add_test (suite, "odd_entry_does_not_stop_the_watch",
                  odd_entry_does_not_stop_the_watch);
  suite_add_test (suite, "odd_entry_does_not_stop_an_instance_that_starts",
                  odd_entry_does_not_stop_an_instance_that_starts);
  suite_add_test (suite, "largest_entry_does_not_stop_an_instance",
                  largest_entry_does_not_stop_an_instance);
  suite_add_test (suite, "odd_suspects_do_not_stop_an_instance_that_starts",
                  odd_suspects_do_not_stop_an_instance_that_starts);
  TCase *tests = tcase_create ("pages");
  tcase_add_test (tests, odd_entry_is_left_out_and_logged_once);
  tcase_add_test (tests, sound_entry_with_an_odd_further_member_is_used);
  tcase_add_test (tests, config_with_an_odd_member_is_not_adopted);
  tcase_add_test (tests, odd_suspect_does_not_hide_the_others);
  tcase_add_test (tests, text_that_is_no_value_is_refused);
  tcase_add_test (tests, each_member_and_element_is_visited);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
