#include "native_fixture.h"

#include "hornbeamwall/core/catalogue.h"

#include <curl/curl.h>
#include <stdio.h>
#include <string.h>

/* Polls, 10 ms apart, until an instance must be ready. */
#define READY_POLLS_MAX 1000

static const char catalogue_format[]
    = "{\"classes\":{"
      "\"top\":{\"tier\":0,\"first_token_ms\":390,\"inter_token_ms\":44},"
      "\"low\":{\"tier\":2,\"first_token_ms\":60000,\"inter_token_ms\":1000}},"
      "\"pools\":{\"m\":{\"kind\":\"model\"},"
      "\"s\":{\"kind\":\"service\",\"idempotent\":false}},"
      "\"organisations\":{\"o\":{\"keys\":[\"%s\"],\"classes\":[\"top\",\"low\"]}}}";

static void
append_server (GString *text, const char *id, const char *pool, guint port,
               guint slots)
{
  g_string_append_printf (text,
                          "%s{\"id\":\"%s\",\"pool\":\"%s\",\"data_centre\":\"a\","
                          "\"address\":\"127.0.0.1:%u\",\"slots\":%u,\"start\":1}",
                          text->str[text->len - 1] == '[' ? "" : ",", id, pool, port,
                          slots);
}

static void
fill_store (NativeFixture *fixture, guint count, guint slots)
{
  char *hash = hbw_catalogue_hash_key ("key");
  char *catalogue = g_strdup_printf (catalogue_format, hash);
  store_set (fixture->store, "hornbeamwall-catalogue", catalogue);
  g_free (catalogue);
  g_free (hash);
  GString *servers = g_string_new ("{\"servers\":[");
  for (guint i = 0; i < count; i++)
    {
      char id[8];
      g_snprintf (id, sizeof id, "e%u", i);
      append_server (servers, id, "m", engine_port (fixture->engines[i]), slots);
    }
  append_server (servers, "s0", "s", engine_port (fixture->engines[0]), slots);
  g_string_append (servers, "]}");
  store_set (fixture->store, "servers", servers->str);
  g_string_free (servers, TRUE);
}

static HbwSettings *
make_settings (NativeFixture *fixture)
{
  char *hash = hbw_catalogue_hash_key (NATIVE_FIXTURE_ADMIN_TOKEN);
  char *text = g_strdup_printf (
      "{\"name\":\"i1\",\"data_centre\":\"a\",\"caller_address\":\"127.0.0.1:0\","
      "\"admin_address\":\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:0\","
      "\"platform_address\":\"127.0.0.1:%u\",\"admin_token_sha256\":\"%s\","
      "\"stall_timeout_ms\":500,\"first_byte_timeout_ms\":1000}",
      store_port (fixture->store), hash);
  HbwError error;
  HbwSettings *settings = hbw_settings_parse (text, strlen (text), &error);
  g_free (text);
  g_free (hash);
  return settings;
}

HbwInstance *
native_fixture_start_instance (NativeFixture *fixture)
{
  HbwError error;
  HbwInstance *instance
      = hbw_instance_create (fixture->settings, fixture->clock, &error);
  HbwControl *control = hbw_instance_control (instance);
  for (guint i = 0; i < READY_POLLS_MAX && !hbw_control_is_ready (control); i++)
    g_usleep (10000);
  return instance;
}

static NativeFixture *
create_with_clock (guint count, guint slots, HbwClock *clock)
{
  NativeFixture *fixture = g_new0 (NativeFixture, 1);
  fixture->store = store_create ("127.0.0.1:0");
  for (guint i = 0; i < count; i++)
    {
      const EngineConfig config = {
        .address = "127.0.0.1:0", .slots = slots, .first_token_ms = 5, .token_ms = 2
      };
      fixture->engines[i] = engine_create (&config);
    }
  fill_store (fixture, count, slots);
  fixture->clock = clock;
  fixture->settings = make_settings (fixture);
  fixture->instance = native_fixture_start_instance (fixture);
  return fixture;
}

NativeFixture *
native_fixture_create (guint count, guint slots)
{
  return create_with_clock (count, slots, hbw_clock_create_system ());
}

NativeFixture *
native_fixture_create_with_manual_clock (guint count, guint slots)
{
  return create_with_clock (count, slots, hbw_clock_create_manual (HBW_US_PER_S));
}

void
native_fixture_destroy (NativeFixture *fixture)
{
  hbw_instance_destroy (fixture->instance);
  hbw_settings_destroy (fixture->settings);
  hbw_clock_destroy (fixture->clock);
  for (guint i = 0; i < NATIVE_FIXTURE_ENGINES_MAX; i++)
    if (fixture->engines[i] != NULL)
      engine_destroy (fixture->engines[i]);
  store_destroy (fixture->store);
  g_free (fixture);
}

static size_t
append_body (char *bytes, size_t size, size_t count, void *data)
{
  g_string_append_len (data, bytes, (gssize) (size * count));
  return size * count;
}

static size_t
read_etag (char *line, size_t size, size_t count, void *data)
{
  char **etag = data;
  if (size * count > 6 && g_ascii_strncasecmp (line, "ETag:", 5) == 0)
    {
      g_free (*etag);
      *etag = g_strstrip (g_strndup (line + 5, size * count - 5));
    }
  return size * count;
}

static NativeFixtureResponse
perform (const char *url, const char *method, const char *body,
         struct curl_slist *headers, long timeout_ms)
{
  NativeFixtureResponse response = { 0, NULL, NULL, FALSE };
  GString *text = g_string_new (NULL);
  CURL *easy = curl_easy_init ();
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_etag);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, &response.etag);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, timeout_ms);
  if (body != NULL)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, body);
  response.incomplete = curl_easy_perform (easy) != CURLE_OK;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &response.status);
  curl_easy_cleanup (easy);
  curl_slist_free_all (headers);
  response.body = g_string_free (text, FALSE);
  return response;
}

NativeFixtureResponse
native_fixture_post (NativeFixture *fixture, const char *path,
                     const char *class_name, const char *body,
                     const char *const *headers)
{
  char url[256];
  char line[64];
  struct curl_slist *list = curl_slist_append (NULL, "Authorization: Bearer key");
  if (class_name != NULL)
    {
      g_snprintf (line, sizeof line, "Hornbeamwall-Class: %s", class_name);
      list = curl_slist_append (list, line);
    }
  for (guint i = 0; headers != NULL && headers[i] != NULL; i++)
    list = curl_slist_append (list, headers[i]);
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u%s",
              hbw_instance_caller_port (fixture->instance), path);
  return perform (url, "POST", body, list, 20000);
}

NativeFixtureResponse
native_fixture_get (NativeFixture *fixture, const char *path)
{
  char url[256];
  struct curl_slist *list = curl_slist_append (NULL, "Authorization: Bearer key");
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u%s",
              hbw_instance_caller_port (fixture->instance), path);
  return perform (url, "GET", NULL, list, 20000);
}

NativeFixtureResponse
native_fixture_request_admin (NativeFixture *fixture, const char *method,
                              const char *path, const char *body,
                              const char *if_match)
{
  char url[256];
  char line[64];
  struct curl_slist *list = curl_slist_append (
      NULL, "Authorization: Bearer " NATIVE_FIXTURE_ADMIN_TOKEN);
  if (if_match != NULL)
    {
      g_snprintf (line, sizeof line, "If-Match: %s", if_match);
      list = curl_slist_append (list, line);
    }
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u%s",
              hbw_instance_admin_port (fixture->instance), path);
  return perform (url, method, body, list, 20000);
}

void
native_fixture_post_and_disconnect (NativeFixture *fixture, const char *body,
                                    long timeout_ms)
{
  char url[256];
  struct curl_slist *list = curl_slist_append (NULL, "Authorization: Bearer key");
  g_snprintf (url, sizeof url, "http://127.0.0.1:%u/v1/chat/completions",
              hbw_instance_caller_port (fixture->instance));
  NativeFixtureResponse response = perform (url, "POST", body, list, timeout_ms);
  native_fixture_response_clear (&response);
}

void
native_fixture_response_clear (NativeFixtureResponse *response)
{
  g_clear_pointer (&response->body, g_free);
  g_clear_pointer (&response->etag, g_free);
}

guint
native_fixture_count_runs (NativeFixture *fixture, const char *tag)
{
  guint runs = 0;
  for (guint i = 0; i < NATIVE_FIXTURE_ENGINES_MAX; i++)
    if (fixture->engines[i] != NULL)
      runs += engine_run_count (fixture->engines[i], tag);
  return runs;
}

char *
native_fixture_expected_text (const char *tag, guint tokens)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < tokens; i++)
    g_string_append_printf (text, "%s:%u ", tag, i);
  return g_string_free (text, FALSE);
}

guint
count_occurrences (const char *text, const char *needle)
{
  guint count = 0;
  for (const char *match = strstr (text, needle); match != NULL;
       match = strstr (match + 1, needle))
    count++;
  return count;
}
