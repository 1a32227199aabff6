/*
 * Tests of the adapter to the users' platform (interface "platform" in the
 * settings): request fields, config, server entries and lists of objects.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/platform/protocol_adapter.h"
#include "hornbeamwall/platform/store_adapter.h"
#include "hornbeamwall/runtime/object_cache.h"
#include "platform/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char config_text[]
    = "{\"version\":7,\"routes\":["
      "{\"name\":\"r1\",\"hostname\":\"Ficu95.example\",\"path_prefix\":\"/a/\","
      "\"route_type\":\"streaming\",\"timeout_ms\":5000,\"latency_goal_ms\":1500,"
      "\"priority\":2,\"split\":[{\"backend\":\"m\",\"weight\":90},"
      "{\"backend\":\"s\",\"weight\":10}],\"max_attempts\":2,\"anonymous\":false,"
      "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":1000},"
      "{\"name\":\"r2\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/a/b/\","
      "\"route_type\":\"unsafe\",\"timeout_ms\":800,\"latency_goal_ms\":100,"
      "\"priority\":0,\"backend\":\"s\",\"max_attempts\":1,\"anonymous\":true},"
      "{\"name\":\"r3\",\"hostname\":\"ficu95.example\",\"path_prefix\":\"/c/\","
      "\"route_type\":\"safe\",\"timeout_ms\":800,\"latency_goal_ms\":100,"
      "\"priority\":9,\"backend\":\"s\",\"max_attempts\":2}],"
      "\"backends\":[{\"name\":\"m\",\"engine\":{\"slots\":64}},{\"name\":\"s\"}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1},"
      "{\"name\":\"u\",\"api_keys\":[\"k3\"]}]}";

static HbwCatalogue *
translate (const char *text)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  json_t *spec = json_loads (text, 0, NULL);
  json_t *catalogue_json = platform_config_translate (spec);
  json_decref (spec);
  if (catalogue_json == NULL)
    return NULL;
  char *catalogue_text = json_dumps (catalogue_json, 0);
  HbwCatalogue *catalogue
      = hbw_catalogue_parse (catalogue_text, strlen (catalogue_text), 7, &error);
  ck_assert_msg (catalogue != NULL, "%s", error.message);
  free (catalogue_text);
  json_decref (catalogue_json);
  return catalogue;
}

START_TEST (config_is_translated_to_a_catalogue)
{
  HbwCatalogue *catalogue = translate (config_text);
  const HbwEndpoint *outer_endpoint
      = hbw_catalogue_find_endpoint (catalogue, "ficu95.example", "/a/x/y");
  const HbwEndpoint *inner_endpoint
      = hbw_catalogue_find_endpoint (catalogue, "ficu95.example", "/a/b/c");
  const HbwEndpoint *safe_endpoint
      = hbw_catalogue_find_endpoint (catalogue, "ficu95.example", "/c/");
  ck_assert_str_eq (outer_endpoint->name, "r1");
  ck_assert_int_eq (outer_endpoint->repeat, HBW_REPEAT_RESUME);
  ck_assert_uint_eq (outer_endpoint->target_count, 2);
  ck_assert_int_eq (outer_endpoint->timeout_us, 5000 * HBW_US_PER_MS);
  ck_assert_str_eq (inner_endpoint->name, "r2");
  ck_assert_int_eq (inner_endpoint->repeat, HBW_REPEAT_NEVER);
  ck_assert (inner_endpoint->anonymous);
  ck_assert_int_eq (safe_endpoint->repeat, HBW_REPEAT_ALWAYS);
  ck_assert_uint_eq (hbw_catalogue_find_class (catalogue, "r3")->tier,
                     HBW_TIER_COUNT - 1);
  ck_assert (hbw_catalogue_find_endpoint (catalogue, "ficu95.example", "/ab/")
             == NULL);
  ck_assert (hbw_catalogue_find_endpoint (catalogue, "other.example", "/a/")
             == NULL);
  ck_assert_str_eq (hbw_catalogue_authenticate (catalogue, "k2")->name, "t");
  ck_assert_int_eq (hbw_catalogue_authenticate (catalogue, "k1")->tier, 1);
  ck_assert_int_eq (hbw_catalogue_authenticate (catalogue, "k3")->tier,
                    HBW_TIER_FROM_CLASS);
  ck_assert (hbw_catalogue_authenticate (catalogue, "k4") == NULL);
  ck_assert_int_eq (hbw_catalogue_caller_limits (catalogue)->idle_timeout_us,
                    15000 * HBW_US_PER_MS);
  hbw_catalogue_unref (catalogue);
  ck_assert (translate ("{\"version\":8,\"routes\":3}") == NULL);
}
END_TEST

START_TEST (keys_are_required_even_if_no_tenant_has_one)
{
  static const struct
  {
    const char *tenants;
    gboolean required;
  } cases[] = { { "", FALSE },
                { ",\"tenants\":[]", TRUE },
                { ",\"tenants\":[{\"name\":\"t\",\"api_keys\":[]}]", TRUE } };
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf (
          "{\"version\":8,\"routes\":[],\"backends\":[]%s}", cases[i].tenants);
      HbwCatalogue *catalogue = translate (text);
      ck_assert_int_eq (hbw_catalogue_requires_keys (catalogue), cases[i].required);
      hbw_catalogue_unref (catalogue);
      g_free (text);
    }
}
END_TEST

START_TEST (malformed_server_entries_are_ignored)
{
  static const char *const bad[] = {
    "{}",
    "[]",
    "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":\"6\","
    "\"state\":\"ready\"}",
    "{\"backend\":\"m\",\"address\":\"nowhere\",\"zone\":\"z\",\"slots\":6,"
    "\"state\":\"ready\"}",
    "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
    "\"state\":\"sleeping\"}",
    "{\"backend\":7,\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
    "\"state\":\"ready\"}",
    "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
    "\"state\":\"ready\",\"born\":\"x\"}",
  };
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      json_t *spec = json_loads (bad[i], 0, NULL);
      json_t *entry = platform_server_translate ("i-1", spec);
      ck_assert_msg (entry == NULL, "%s", bad[i]);
      json_decref (spec);
    }
  json_t *spec = json_loads (
      "{\"backend\":\"m\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\",\"slots\":6,"
      "\"state\":\"draining\",\"born\":17,\"new\":[]}",
      0, NULL);
  json_t *entry = platform_server_translate ("i-1", spec);
  ck_assert_str_eq (json_string_value (json_object_get (entry, "state")), "leaving");
  ck_assert_int_eq (json_integer_value (json_object_get (entry, "start")), 17);
  json_decref (entry);
  json_decref (spec);
}
END_TEST

static void
ignore_head (HbwHttpParserHandler *handler G_GNUC_UNUSED,
             HbwHttpHead *head G_GNUC_UNUSED)
{
}

static HbwHttpHead *
make_head (const char *const *fields)
{
  static const HbwHttpParserHandlerClass class = { ignore_head, NULL };
  HbwHttpParserHandler handler = { &class };
  HbwHttpParser *parser = hbw_http_parser_create (HBW_HTTP_PARSER_REQUEST, &handler);
  GString *text = g_string_new ("POST /a/x?q=1 HTTP/1.1\r\n");
  gsize used;
  for (gsize i = 0; fields[i] != NULL; i += 2)
    g_string_append_printf (text, "%s: %s\r\n", fields[i], fields[i + 1]);
  g_string_append (text, "\r\n");
  ck_assert_int_eq (hbw_http_parser_feed (parser, text->str, text->len, &used),
                    HBW_HTTP_PARSER_COMPLETE);
  HbwHttpHead *head = hbw_http_parser_steal_head (parser);
  hbw_http_parser_destroy (parser);
  g_string_free (text, TRUE);
  return head;
}

START_TEST (fields_of_brittle_servers_are_read)
{
  static const struct
  {
    const char *text;
    guint brittle;
  } cases[] = { { "6", 6 }, { "0", 1 }, { "many", 1 }, { "99999999", G_MAXUINT16 } };
  const HbwProtocolAdapterClass *adapter = hbw_platform_protocol_adapter ()->class;
  for (gsize i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *fields[] = { "server-brittle", cases[i].text, NULL };
      HbwHttpHead *head = make_head (fields);
      HbwResponseInfo info = { .request_id = "" };
      adapter->read_response (head, &info);
      ck_assert_uint_eq (info.notice.brittle, cases[i].brittle);
      ck_assert (!hbw_server_notice_is_empty (&info.notice));
      hbw_http_head_destroy (head);
    }
}
END_TEST

START_TEST (request_fields_are_parsed)
{
  static const char *const fields[] = { "Host",
                                        "Ficu95.example:80",
                                        "X-Hornbeamwall-Token-Usage",
                                        "1460,80",
                                        "X-Hornbeamwall-Prefix-Hash",
                                        "5c:800,91:410,e4:250",
                                        "X-Hornbeamwall-Deadline-Ms",
                                        "8000",
                                        "x-hornbeamwall-key",
                                        "k",
                                        "X-Hornbeamwall-Attempt-Id",
                                        "9c41",
                                        NULL };
  const HbwProtocolAdapterClass *adapter = hbw_platform_protocol_adapter ()->class;
  HbwHttpHead *head = make_head (fields);
  GStringChunk *scratch = g_string_chunk_new (64);
  HbwAdmissionInput input = { .random = 0 };
  char trace[HBW_CALLER_REQUEST_ID_MAX];
  adapter->read_admission_input (head, scratch, &input);
  adapter->read_request_id (head, trace, sizeof trace);
  ck_assert_str_eq (input.host, "ficu95.example");
  ck_assert_str_eq (input.path, "/a/x");
  ck_assert_str_eq (input.key, "k");
  ck_assert_str_eq (trace, "9c41");
  ck_assert_int_eq (input.deadline_us, 8000 * HBW_US_PER_MS);
  ck_assert_uint_eq (input.prompt_tokens, 1460);
  ck_assert_uint_eq (input.max_tokens, 80);
  ck_assert_uint_eq (input.part_count, 3);
  ck_assert_uint_eq (input.parts[1].tokens, 410);
  ck_assert (!adapter->forwards_field ("X-Hornbeamwall-Key"));
  ck_assert (!adapter->forwards_field ("x-hornbeamwall-tenant"));
  ck_assert (!adapter->forwards_field ("Kv-From"));
  ck_assert (adapter->forwards_field ("X-Hornbeamwall-Prefix-Hash"));
  ck_assert (adapter->forwards_field ("Accept"));
  g_string_chunk_free (scratch);
  hbw_http_head_destroy (head);
}
END_TEST

START_TEST (malformed_fields_are_parsed_up_to_the_error)
{
  static const char *const fields[] = { "Host",
                                        "h",
                                        "X-Hornbeamwall-Token-Usage",
                                        "x",
                                        "X-Hornbeamwall-Prefix-Hash",
                                        "5c:8,zz,:,91",
                                        NULL };
  HbwHttpHead *head = make_head (fields);
  GStringChunk *scratch = g_string_chunk_new (64);
  HbwAdmissionInput input = { .random = 0 };
  hbw_platform_protocol_adapter ()->class->read_admission_input (head, scratch,
                                                                 &input);
  ck_assert_uint_eq (input.part_count, 1);
  ck_assert_uint_eq (input.prompt_tokens, 0);
  ck_assert_int_eq (input.deadline_us, 0);
  ck_assert (input.key == NULL);
  g_string_chunk_free (scratch);
  hbw_http_head_destroy (head);
}
END_TEST

static void
read_part_ids (const char *text, HbwPartIds *ids)
{
  const char *const fields[]
      = { "Host", "h", "X-Hornbeamwall-Prefix-Hash", text, NULL };
  HbwHttpHead *head = make_head (fields);
  GStringChunk *scratch = g_string_chunk_new (64);
  HbwAdmissionInput input = { .random = 0 };
  hbw_platform_protocol_adapter ()->class->read_admission_input (head, scratch,
                                                                 &input);
  *ids = input.part_ids;
  g_string_chunk_free (scratch);
  hbw_http_head_destroy (head);
}

/* The last part of a list belongs to its request alone, and an id is the same at all
   positions. */
START_TEST (ids_of_shared_parts_are_read)
{
  HbwPartIds ids;
  HbwPartIds others;
  read_part_ids ("5c:800,91:410,e4:250", &ids);
  ck_assert_uint_eq (ids.count, 2);
  ck_assert_uint_eq (ids.ids[0], 0x5c);
  ck_assert_uint_eq (ids.ids[1], 0x91);
  read_part_ids ("e4:250", &ids);
  ck_assert_uint_eq (ids.count, 0);
  read_part_ids ("91, 5C:800,,zz:3,:4,7", &ids);
  ck_assert_uint_eq (ids.count, 3);
  ck_assert_uint_eq (ids.ids[1], 0x5c);
  ck_assert_uint_ne (ids.ids[2], 0);
  read_part_ids ("1,2,3,4,5,6,7,8,9,a,b,c,d,e,f,10,11,12,13", &ids);
  ck_assert_uint_eq (ids.count, HBW_PART_IDS_MAX);
  read_part_ids ("0123456789abcdef0:1,x", &ids);
  read_part_ids ("0123456789abcdef1:1,x", &others);
  ck_assert_uint_eq (ids.count, 1);
  ck_assert (ids.ids[0] != others.ids[0]);
}
END_TEST

/* Returns the priority that a server is sent for a request of TIER in a class of
   CLASS_TIER. */
static guint
write_priority (guint tier, guint class_tier)
{
  HbwRequestSpec spec = { .tier = tier, .class_tier = class_tier };
  spec.prompt_tokens = 100;
  const HbwForwardedRequest forwarded = { &spec, "s", HBW_US_PER_S };
  GString *text = g_string_new (NULL);
  guint priority = G_MAXUINT;
  hbw_platform_protocol_adapter ()->class->write_fields (text, &forwarded);
  const char *field = strstr (text->str, "-Request-Priority: ");
  ck_assert_ptr_nonnull (field);
  sscanf (field, "-Request-Priority: %u", &priority);
  g_string_free (text, TRUE);
  return priority;
}

/* An engine preempts the least urgent of its requests: of one organisation's, those
   of the lowest class. */
START_TEST (priority_orders_the_classes_of_one_tier)
{
  guint last = 0;
  for (guint tier = 0; tier < HBW_TIER_COUNT; tier++)
    for (guint class_tier = 0; class_tier < HBW_TIER_COUNT; class_tier++)
      {
        guint priority = write_priority (tier, class_tier);
        ck_assert (tier + class_tier == 0 || priority > last);
        ck_assert_uint_le (priority, 9);
        last = priority;
      }
}
END_TEST

/* A refusal of a request that was not executed has a status with that meaning. No
   refusal has status 422, which callers would take for an error of their own. */
START_TEST (refusal_status_reports_whether_request_was_executed)
{
  const HbwProtocolAdapterClass *adapter = hbw_platform_protocol_adapter ()->class;
  for (guint reason = 0; reason < HBW_REASON_COUNT; reason++)
    {
      static const guint statuses[] = { 422, 429, 502, 503, 504 };
      for (gsize i = 0; i < G_N_ELEMENTS (statuses); i++)
        {
          HbwRefuseRequest refuse
              = { .reason = reason, .executed = HBW_EXECUTED_UNKNOWN };
          guint status = adapter->refusal_status (&refuse, statuses[i]);
          ck_assert_uint_ne (status, 422);
          if (statuses[i] != 429 && statuses[i] != 503)
            ck_assert (status == 502 || status == 504);
          refuse.executed = HBW_EXECUTED_NO;
          ck_assert_uint_ne (adapter->refusal_status (&refuse, 504), 504);
        }
    }
}
END_TEST

START_TEST (object_pages_are_parsed)
{
  static const char text[]
      = "{\"events\":[{\"removed\":true,\"object\":{\"metadata\":{\"name\":\"a\","
        "\"revision\":9}}},{\"removed\":false,\"object\":{\"metadata\":{\"name\":"
        "\"b\",\"revision\":10,\"deleting\":true},\"spec\":{}}},{\"object\":3},"
        "{\"removed\":false,\"object\":{\"metadata\":{\"name\":\"c\",\"revision\":"
        "11},"
        "\"spec\":{\"x\":1}}}],\"current_rev\":12}";
  const HbwStoreAdapterClass *store_adapter
      = hbw_platform_store_adapter (HBW_DOCUMENT_SERVERS)->class;
  HbwError error;
  HbwStorePage page
      = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwObjectChange)) };
  ck_assert (store_adapter->parse_page (text, strlen (text), TRUE, &page, &error));
  ck_assert_int_eq (page.revision, 12);
  ck_assert_uint_eq (page.changes->len, 3);
  ck_assert (g_array_index (page.changes, HbwObjectChange, 0).value == NULL);
  ck_assert (g_array_index (page.changes, HbwObjectChange, 1).value == NULL);
  ck_assert (g_array_index (page.changes, HbwObjectChange, 2).value != NULL);
  for (guint i = 0; i < page.changes->len; i++)
    hbw_object_change_clear (&g_array_index (page.changes, HbwObjectChange, i));
  g_array_set_size (page.changes, 0);
  static const char *const bad[] = { "", "\xff\xfe", "[]", "{\"items\":[]}",
                                     "{\"current_rev\":\"7\",\"events\":[]}" };
  for (gsize i = 0; i < G_N_ELEMENTS (bad); i++)
    ck_assert (
        !store_adapter->parse_page (bad[i], strlen (bad[i]), TRUE, &page, &error));
  g_array_free (page.changes, TRUE);
}
END_TEST

static void
append_log_line (const HbwLogEventInfo *entry, const char *text, void *data)
{
  g_string_append_printf (data, "%s %s\n", entry->name, text);
}

static void
count_ignored (const HbwLogEventInfo *entry, const char *text G_GNUC_UNUSED,
               void *data)
{
  if (strcmp (entry->name, "ENTRY_IGNORED") == 0)
    (*(guint *) data)++;
}

/* Guards against a part of a valid config that rejects the whole of it. */
START_TEST (odd_part_of_a_config_rejects_no_other)
{
  guint ignored = 0;
  GString *text = g_string_new (
      "{\"routes\":["
      "{\"name\":\"a \\\"quoted\\\" name with spaces that is too long for a "
      "document\","
      "\"hostname\":\"h\",\"path_prefix\":\"/a/\",\"timeout_ms\":99999999999,"
      "\"backend\":\"a service\"},"
      "{\"name\":\"split\",\"hostname\":\"h\",\"path_prefix\":\"/b/\",\"split\":[");
  for (guint i = 0; i < 40; i++)
    g_string_append_printf (text, "%s{\"backend\":\"s%u\",\"weight\":9999999}",
                            i == 0 ? "" : ",", i);
  g_string_append (text,
                   "]},{\"name\":\"odd\",\"hostname\":\"h\",\"path_prefix\":\"b\"},"
                   "{\"name\":\"lone\",\"hostname\":\"h\",\"path_prefix\":\"/c/\","
                   "\"backend\":\"nobody\"}],"
                   "\"limits\":{\"idle_timeout_ms\":99999999999},"
                   "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\",\"k1\"]},"
                   "{\"name\":\"the {other} one\",\"api_keys\":[\"k2\",\"k1\"]},"
                   "{\"name\":\"the \\\"third\\\"\",\"api_keys\":[\"k3\"]}],"
                   "\"backends\":[{\"name\":\"a service\"}");
  for (guint i = 0; i < 40; i++)
    g_string_append_printf (text, ",{\"name\":\"s%u\"}", i);
  g_string_append (text, "]}");
  hbw_log_set_hook (count_ignored, &ignored);
  HbwCatalogue *catalogue = translate (text->str);
  hbw_log_set_hook (NULL, NULL);
  const HbwEndpoint *named = hbw_catalogue_find_endpoint (catalogue, "h", "/a/x");
  char pool[HBW_NAME_MAX];
  platform_name_translate ("a service", pool);
  ck_assert_uint_eq (named->target_count, 1);
  ck_assert_str_eq (named->targets[0].pool, pool);
  ck_assert (hbw_is_name (pool));
  ck_assert_uint_eq (
      hbw_catalogue_find_endpoint (catalogue, "h", "/b/x")->target_count, 40);
  ck_assert_uint_eq (
      hbw_catalogue_find_endpoint (catalogue, "h", "/c/x")->target_count, 0);
  ck_assert_str_eq (hbw_catalogue_authenticate (catalogue, "k1")->name, "t");
  ck_assert_str_eq (hbw_catalogue_authenticate (catalogue, "k2")->name,
                    "the {other} one");
  ck_assert_uint_eq (ignored, 3); /* the odd route, a service and a tenant */
  hbw_catalogue_unref (catalogue);
  g_string_free (text, TRUE);
}
END_TEST

/* The log must show the operator why a server or a route has no effect. */
START_TEST (ignored_entries_are_logged)
{
  static const char servers[]
      = "{\"items\":[{\"metadata\":{\"name\":\"odd one\",\"revision\":9},"
        "\"spec\":{\"slots\":null}},{\"spec\":{}}],\"current_rev\":12}";
  static const char config[]
      = "{\"routes\":[{\"name\":\"r\"}],\"backends\":[{}],\"tenants\":[{}]}";
  GString *lines = g_string_new (NULL);
  hbw_log_set_hook (append_log_line, lines);
  const HbwStoreAdapterClass *store_adapter
      = hbw_platform_store_adapter (HBW_DOCUMENT_SERVERS)->class;
  HbwError error;
  HbwStorePage page
      = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwObjectChange)) };
  ck_assert (
      store_adapter->parse_page (servers, strlen (servers), FALSE, &page, &error));
  ck_assert_uint_eq (page.changes->len, 1);
  HbwObjectCache *cache = hbw_object_cache_create ("servers", HBW_US_PER_S);
  hbw_object_cache_apply (cache, &g_array_index (page.changes, HbwObjectChange, 0));
  gint64 version = 12;
  g_free (store_adapter->build_document (cache, &version));
  json_t *spec = json_loads (config, 0, NULL);
  json_decref (platform_config_translate (spec));
  hbw_log_set_hook (NULL, NULL);
  ck_assert_str_eq (lines->str, "ENTRY_IGNORED kind=object name=\"\"\n"
                                "ENTRY_IGNORED kind=server name=\"odd one\"\n"
                                "ENTRY_IGNORED kind=service name=\"\"\n"
                                "ENTRY_IGNORED kind=route name=\"r\"\n"
                                "ENTRY_IGNORED kind=tenant name=\"\"\n");
  json_decref (spec);
  hbw_object_cache_destroy (cache);
  g_array_free (page.changes, TRUE);
  g_string_free (lines, TRUE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter");
  TCase *tests = tcase_create ("adapter");
  tcase_add_test (tests, config_is_translated_to_a_catalogue);
  tcase_add_test (tests, odd_part_of_a_config_rejects_no_other);
  tcase_add_test (tests, keys_are_required_even_if_no_tenant_has_one);
  tcase_add_test (tests, malformed_server_entries_are_ignored);
  tcase_add_test (tests, request_fields_are_parsed);
  tcase_add_test (tests, malformed_fields_are_parsed_up_to_the_error);
  tcase_add_test (tests, ids_of_shared_parts_are_read);
  tcase_add_test (tests, refusal_status_reports_whether_request_was_executed);
  tcase_add_test (tests, object_pages_are_parsed);
  tcase_add_test (tests, ignored_entries_are_logged);
  tcase_add_test (tests, priority_orders_the_classes_of_one_tier);
  suite_add_tcase (suite, tests);
  suite_add_test (suite, "fields_of_brittle_servers_are_read",
                  fields_of_brittle_servers_are_read);
  return suite_run (suite);
}
