/*
 * Tests of configs as large as the platform's store accepts: they come into force in
 * time, within the memory of the smallest installation.
 */
#include "platform_fixture.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

/* The most that the store accepts, in bytes. */
#define CONFIG_BYTES_MAX ((gsize) 1024 * 1024)

/* How soon a config is in force after the store has acknowledged it. */
#define APPLY_MS 2000

/* Memory of an instance on the smallest machines, in KB. */
#define MEMORY_KB_MAX (88 * 1024)

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define HAS_SANITIZER TRUE /* needs memory and time of its own */
#else
#define HAS_SANITIZER FALSE
#endif

#define CONFIG_END                                                                  \
  "\"backends\":[{\"name\":\"b\",\"health_path\":\"/healthz\"}],"                   \
  "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"                \
  "\"header_timeout_ms\":2000,\"idle_timeout_ms\":10000}}"

static void
append_route (GString *text, const char *name, guint number)
{
  g_string_append_printf (
      text,
      "%s{\"name\":\"%s%u\",\"hostname\":\"h.example\",\"path_prefix\":\"/%s%u/\","
      "\"route_type\":\"safe\",\"timeout_ms\":3000,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"b\",\"max_attempts\":2}",
      text->str[text->len - 1] == '[' ? "" : ",", name, number, name, number);
}

static GString *
begin_config (guint version)
{
  GString *text = g_string_new (NULL);
  g_string_printf (text, "{\"version\":%u,\"routes\":[", version);
  append_route (text, "new", version);
  return text;
}

/* Returns a config that is full of keys. */
static GString *
make_config_of_keys (guint version)
{
  GString *text = begin_config (version);
  gsize end = strlen (CONFIG_END) + 8;
  g_string_append (text, "],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"");
  for (guint i = 0; text->len + end + 23 < CONFIG_BYTES_MAX; i++)
    g_string_append_printf (text, ",\"n2ctnfzs%012u\"", i);
  g_string_append (text, "]}]," CONFIG_END);
  return text;
}

static GString *
make_config_of_routes (guint version)
{
  GString *text = begin_config (version);
  for (guint i = 0; text->len + 512 < CONFIG_BYTES_MAX; i++)
    append_route (text, "r", i);
  g_string_append (
      text, "],\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]}]," CONFIG_END);
  return text;
}

/* Returns a figure of this process, in KB. */
static guint
read_memory_kb (const char *field)
{
  char line[256];
  guint size_kb = 0;
  FILE *file = fopen ("/proc/self/status", "r");
  while (fgets (line, sizeof line, file) != NULL)
    if (g_str_has_prefix (line, field))
      size_kb = (guint) g_ascii_strtoull (line + strlen (field) + 1, NULL, 10);
  fclose (file);
  return size_kb;
}

static guint
request_route (PlatformFixture *fixture, guint version)
{
  char *path = g_strdup_printf ("/new%u/ok", version);
  RawResponse response = platform_fixture_post (fixture, path, API_KEY_FIELD, "b");
  g_free (response.text);
  g_free (path);
  return response.status;
}

/* Writes a config, and checks that its route is served in time. */
static void
check_config (PlatformFixture *fixture, guint version, GString *config)
{
  ck_assert_uint_le (config->len, CONFIG_BYTES_MAX);
  ck_assert_uint_gt (config->len, CONFIG_BYTES_MAX - 1024);
  objects_set (fixture->object_store, "config", "main", config->str);
  gint64 written_us = g_get_monotonic_time ();
  guint status;
  gint64 elapsed_ms;
  do
    {
      g_usleep (10000);
      elapsed_ms = (g_get_monotonic_time () - written_us) / 1000;
      status = request_route (fixture, version);
    }
  while (status != 200 && elapsed_ms <= (HAS_SANITIZER ? 10 : 1) * APPLY_MS);
  ck_assert_uint_eq (status, 200);
  g_string_free (config, TRUE);
}

/* Guards against a limit on what is made of a config that is narrower than the
   store's on the config. */
START_TEST (largest_configs_are_in_force_in_time)
{
  PlatformFixture *fixture = platform_fixture_create ();
  check_config (fixture, 7, make_config_of_keys (7));
  check_config (fixture, 9, make_config_of_routes (9));
  check_config (fixture, 11, make_config_of_keys (11));
  check_config (fixture, 12, make_config_of_keys (12));
  guint peak_kb = read_memory_kb ("VmHWM:");
  platform_fixture_destroy (fixture);
  if (!HAS_SANITIZER)
    ck_assert_uint_le (peak_kb, MEMORY_KB_MAX);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("config_size");
  suite_add_test (suite, "largest_configs_are_in_force_in_time",
                  largest_configs_are_in_force_in_time);
  return suite_run (suite);
}
