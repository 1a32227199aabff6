/*
 * fuzz_test - runs every parser of external input on a corpus
 *
 * Each file of the corpus is parsed as it is and in copies that are damaged with a
 * fixed seed. A target must neither crash nor read out of bounds, which the
 * sanitizer builds detect. Of a target's files, all undamaged ones must be valid, or
 * none (original_is_valid).
 */
#include "hornbeamwall/common/json_scan.h"
#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/documents/delta.h"
#include "hornbeamwall/core/directory.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/duty/usage_task.h"
#include "hornbeamwall/core/reducer_state.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/net/codec.h"
#include "hornbeamwall/net/event_stream.h"
#include "hornbeamwall/net/http_parser.h"
#include "hornbeamwall/net/server_orders.h"
#include "hornbeamwall/platform/protocol_adapter.h"
#include "hornbeamwall/platform/store_adapter.h"
#include "hornbeamwall/runtime/load_poller.h"
#include "hornbeamwall/runtime/settings.h"

#include <stdio.h>
#include <string.h>

/* Damaged copies of each file. */
#define DAMAGED_COPIES 3000

/* Parses the bytes; returns whether they are valid. */
typedef gboolean (*Target) (const char *bytes, gsize length);

static gboolean
parse_settings (const char *bytes, gsize length)
{
  HbwError error;
  HbwSettings *settings = hbw_settings_parse (bytes, length, &error);
  if (settings == NULL)
    return FALSE;
  hbw_settings_destroy (settings);
  return TRUE;
}

static gboolean
parse_catalogue (const char *bytes, gsize length)
{
  HbwError error;
  HbwCatalogue *catalogue = hbw_catalogue_parse (bytes, length, 1, &error);
  if (catalogue == NULL)
    return FALSE;
  hbw_catalogue_unref (catalogue);
  return TRUE;
}

static gboolean
parse_directory (const char *bytes, gsize length)
{
  HbwError error;
  GPtrArray *servers = hbw_directory_parse_servers (bytes, length, &error);
  GPtrArray *instances = hbw_directory_parse_instances (bytes, length, &error);
  GHashTable *stops = hbw_directory_parse_stops (bytes, length, &error);
  gboolean valid = servers != NULL || instances != NULL || stops != NULL;
  g_clear_pointer (&servers, g_ptr_array_unref);
  g_clear_pointer (&instances, g_ptr_array_unref);
  g_clear_pointer (&stops, g_hash_table_unref);
  return valid;
}

static void
ignore (const HbwMessage *message G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

static gboolean
parse_frame (const char *bytes, gsize length)
{
  HbwError error;
  return hbw_frame_parse (bytes, length, ignore, NULL, &error);
}

/* --- the reducer ----------------------------------------------------------- */

#define TICK_US (250 * HBW_US_PER_MS)

typedef struct
{
  HbwReducer *reducer;
  HbwEffects *effects;
  HbwEvent event; /* of the next step */
} Instance;

static void
step (Instance *instance)
{
  hbw_reducer_step (instance->reducer, &instance->event, instance->effects);
  hbw_effects_clear (instance->effects);
}

/* Counts usage as the holder of the lease. */
static void
start_usage (Instance *instance)
{
  static const HbwUsageConfig config = { 5 * HBW_US_PER_S, 0.05, 10 * HBW_US_PER_S };
  HbwContext *context = &instance->reducer->context;
  context->effects = instance->effects;
  context->usage = hbw_usage_task_create (&config);
  hbw_usage_handle_status (context->usage, context, 77, context->self, 353445120, 0);
  context->usage->class->load (context->usage, context, NULL);
  hbw_effects_clear (instance->effects);
}

/* Lets time pass until the last window is over. */
static void
end_usage (Instance *instance)
{
  HbwContext *context = &instance->reducer->context;
  context->effects = instance->effects;
  for (guint i = 0; i < 20; i++)
    {
      context->now_us += HBW_US_PER_S;
      context->usage->class->tick (context->usage, context, TRUE);
    }
  hbw_effects_clear (instance->effects);
  context->usage->class->destroy (context->usage);
}

/* Starts an instance that knows a server and has read that no suspects are stored.
 */
static Instance
instance_create (void)
{
  static const char *const seeds[] = { "10.1.0.77:1", NULL };
  static const char servers[]
      = "{\"servers\":[{\"id\":\"e0\",\"pool\":\"m\",\"data_centre\":\"a\","
        "\"address\":\"10.0.0.1:1\",\"slots\":2,\"start\":1}]}";
  HbwReducerConfig config = { .policy = hbw_policy_find ("direct"), .seed = 1 };
  config.self.identity = 1;
  config.seeds = seeds;
  config.stores_suspects = TRUE;
  config.load_in_answers = TRUE;
  g_strlcpy (config.self.data_centre, "a", sizeof config.self.data_centre);
  Instance instance = { hbw_reducer_create (&config),
                        hbw_effects_create (),
                        { .kind = HBW_EVENT_DOCUMENT_READ } };
  instance.event.document.kind = HBW_DOCUMENT_SERVERS;
  instance.event.document.version = 1;
  instance.event.document.body = g_bytes_new_static (servers, strlen (servers));
  step (&instance);
  g_bytes_unref (instance.event.document.body);
  instance.event = (HbwEvent){ .kind = HBW_EVENT_SUSPECTS_READ };
  instance.event.suspects.version = HBW_VERSION_ABSENT;
  step (&instance);
  start_usage (&instance);
  return instance;
}

/* Lets the instance act on what it has been told. */
static void
instance_destroy (Instance *instance)
{
  for (guint i = 1; i <= 8; i++)
    {
      instance->event = (HbwEvent){ .kind = HBW_EVENT_TICK, .now_us = i * TICK_US };
      step (instance);
    }
  end_usage (instance);
  hbw_effects_destroy (instance->effects);
  hbw_reducer_destroy (instance->reducer);
}

static void
handle_message (const HbwMessage *message, void *data)
{
  Instance *instance = data;
  instance->event = (HbwEvent){ .kind = HBW_EVENT_MESSAGE };
  instance->event.message = *message;
  step (instance);
}

static gboolean
handle_frame (const char *bytes, gsize length)
{
  HbwError error;
  Instance instance = instance_create ();
  gboolean valid
      = hbw_frame_parse (bytes, length, handle_message, &instance, &error);
  instance_destroy (&instance);
  return valid;
}

static gboolean
handle_archive (const char *bytes, gsize length)
{
  Instance instance = instance_create ();
  GBytes *body = g_bytes_new (bytes, length);
  instance.event = (HbwEvent){ .kind = HBW_EVENT_SUSPECTS_READ };
  instance.event.suspects.version = 1;
  instance.event.suspects.body = body;
  step (&instance);
  g_bytes_unref (body);
  instance_destroy (&instance);
  return TRUE;
}

static gboolean
apply_delta (const char *bytes, gsize length)
{
  static const char text[] = "{\"classes\":{\"c\":{\"tier\":0}}}";
  GBytes *old_document = g_bytes_new_static (text, strlen (text));
  GBytes *delta = g_bytes_new (bytes, length);
  GBytes *result = hbw_delta_apply (old_document, delta);
  gboolean valid = result != NULL;
  g_clear_pointer (&result, g_bytes_unref);
  g_bytes_unref (delta);
  g_bytes_unref (old_document);
  return valid;
}

/* --- messages ------------------------------------------------------------ */

typedef struct
{
  HbwHttpParserHandler handler;
  GString *output; /* targets, statuses, fields and bodies */
} MessageReader;

static void
read_head (HbwHttpParserHandler *handler, HbwHttpHead *head)
{
  GString *output = ((MessageReader *) handler)->output;
  g_string_append_printf (output, "%s %s %u\n", head->method,
                          hbw_http_head_target (head), head->status);
  HbwHttpField field = { NULL, NULL };
  while (hbw_http_head_next (head, &field))
    g_string_append_printf (output, "%s: %s\n", field.name, field.value);
}

static void
read_body (HbwHttpParserHandler *handler, const char *bytes, gsize length)
{
  g_string_append_len (((MessageReader *) handler)->output, bytes, (gssize) length);
}

/* Parses one message in pieces of PIECE_SIZE bytes and appends what the parser
   reports to OUTPUT. Returns the last state. */
static HbwHttpParserState
read_message (HbwHttpParserKind kind, const char *bytes, gsize length,
              gsize piece_size, GString *output)
{
  static const HbwHttpParserHandlerClass class = { read_head, read_body };
  MessageReader reader = { { &class }, output };
  HbwHttpParser *parser = hbw_http_parser_create (kind, &reader.handler);
  HbwHttpParserState state = HBW_HTTP_PARSER_INCOMPLETE;
  gsize offset = 0;
  while (offset < length && state == HBW_HTTP_PARSER_INCOMPLETE)
    {
      gsize used;
      state = hbw_http_parser_feed (parser, bytes + offset,
                                    MIN (piece_size, length - offset), &used);
      g_assert_cmpuint (used, <=, length - offset);
      offset += used;
    }
  hbw_http_parser_destroy (parser);
  return state;
}

/* The result must not depend on how the network splits the message. */
static gboolean
parse_message (HbwHttpParserKind kind, const char *bytes, gsize length)
{
  GString *whole_output = g_string_new (NULL);
  GString *piecewise_output = g_string_new (NULL);
  HbwHttpParserState whole_state
      = read_message (kind, bytes, length, MAX (1, length), whole_output);
  HbwHttpParserState piecewise_state
      = read_message (kind, bytes, length, 1, piecewise_output);
  g_assert_cmpint (whole_state, ==, piecewise_state);
  if (whole_state != HBW_HTTP_PARSER_ERROR)
    g_assert_cmpstr (whole_output->str, ==, piecewise_output->str);
  g_string_free (whole_output, TRUE);
  g_string_free (piecewise_output, TRUE);
  return whole_state == HBW_HTTP_PARSER_COMPLETE;
}

static gboolean
parse_request (const char *bytes, gsize length)
{
  return parse_message (HBW_HTTP_PARSER_REQUEST, bytes, length);
}

static gboolean
parse_response (const char *bytes, gsize length)
{
  return parse_message (HBW_HTTP_PARSER_RESPONSE, bytes, length);
}

static gboolean
split_events (const char *bytes, gsize length)
{
  GByteArray *out = g_byte_array_new ();
  HbwEventStream *stream = hbw_event_stream_create ();
  gboolean valid = TRUE;
  for (gsize offset = 0; offset < length && valid; offset += 7)
    {
      valid
          = hbw_event_stream_feed (stream, bytes + offset, MIN (7, length - offset));
      while (valid && hbw_event_stream_next (stream, out))
        continue;
    }
  valid = valid && !hbw_event_stream_has_partial (stream);
  hbw_event_stream_take_remainder (stream, out);
  g_assert_cmpuint (out->len, <=, length);
  hbw_event_stream_destroy (stream);
  g_byte_array_free (out, TRUE);
  return valid;
}

/* --- heads ----------------------------------------------------------------- */

typedef struct
{
  HbwHttpParserHandler handler;
  void (*check) (const HbwHttpHead *head);
} HeadReader;

static void
check_head (HbwHttpParserHandler *handler, HbwHttpHead *head)
{
  ((HeadReader *) handler)->check (head);
}

static void
ignore_body (HbwHttpParserHandler *handler G_GNUC_UNUSED,
             const char *bytes G_GNUC_UNUSED, gsize length G_GNUC_UNUSED)
{
}

static gboolean
read_with_check (HbwHttpParserKind kind, void (*check) (const HbwHttpHead *head),
                 const char *bytes, gsize length)
{
  static const HbwHttpParserHandlerClass class = { check_head, ignore_body };
  HeadReader reader = { { &class }, check };
  HbwHttpParser *parser = hbw_http_parser_create (kind, &reader.handler);
  gsize used;
  HbwHttpParserState state = hbw_http_parser_feed (parser, bytes, length, &used);
  hbw_http_parser_destroy (parser);
  return state == HBW_HTTP_PARSER_COMPLETE;
}

/* Reads the fields of a server.  Numbers are within the bounds that the router
   counts with, and a refusal through 421 says nothing of the server. */
static void
check_response_fields (const HbwHttpHead *head)
{
  const HbwProtocolAdapterClass *adapter = hbw_platform_protocol_adapter ()->class;
  HbwResponseInfo info = { .request_id = "" };
  adapter->read_response (head, &info);
  g_assert_cmpuint (strlen (info.request_id), <, sizeof info.request_id);
  g_assert_cmpuint (info.running, <=, G_MAXUINT16);
  g_assert_cmpuint (info.waiting, <=, G_MAXUINT16);
  g_assert_cmpuint (info.notice.brittle, <=, G_MAXUINT16);
  g_assert_true (info.notice.limit >= 0 && info.notice.limit <= 1e6);
  g_assert_cmpint (info.notice.pause_us, >=, 0);
  g_assert_cmpint (info.notice.pause_us, <=, HBW_SERVER_PAUSE_MAX_US);
  g_assert_true (!info.has_seal || *info.request_id != '\0');
  if (info.misdirected)
    g_assert_true (info.not_executed && hbw_server_notice_is_empty (&info.notice));
}

static gboolean
read_response_fields (const char *bytes, gsize length)
{
  return read_with_check (HBW_HTTP_PARSER_RESPONSE, check_response_fields, bytes,
                          length);
}

static void
check_request_fields (const HbwHttpHead *head)
{
  const HbwProtocolAdapterClass *adapter = hbw_platform_protocol_adapter ()->class;
  HbwAdmissionInput input = { .host = NULL };
  char id[HBW_CALLER_REQUEST_ID_MAX];
  GStringChunk *scratch = g_string_chunk_new (512);
  adapter->read_admission_input (head, scratch, &input);
  g_assert_nonnull (input.path);
  g_assert_cmpint (input.deadline_us, >=, 0);
  g_assert_cmpuint (input.prompt_tokens, <=, G_MAXINT32);
  g_assert_cmpuint (input.max_tokens, <=, G_MAXINT32);
  g_assert_cmpuint (input.part_count, <=, HBW_PROMPT_PARTS_MAX);
  g_assert_cmpuint (input.part_ids.count, <=, HBW_PART_IDS_MAX);
  adapter->read_request_id (head, id, sizeof id);
  g_assert_cmpuint (strlen (id), <, sizeof id);
  adapter->read_resumed_id (head, id, sizeof id);
  g_assert_cmpuint (strlen (id), <, sizeof id);
  g_string_chunk_free (scratch);
}

static gboolean
read_request_fields (const char *bytes, gsize length)
{
  return read_with_check (HBW_HTTP_PARSER_REQUEST, check_request_fields, bytes,
                          length);
}

/* --- JSON ------------------------------------------------------------------ */

/* A value, and what its visits must be within. */
typedef struct
{
  json_t *value; /* object or array that the visits fill */
  const char *end;
  const char *last; /* end of the last visit */
} Rebuild;

static json_t *rebuild (HbwJsonSpan span);

/* Spans follow each other within the value. */
static void
check_span (Rebuild *check, HbwJsonSpan span)
{
  g_assert_true (span.length > 0 && span.text > check->last);
  check->last = span.text + span.length;
  g_assert_true (check->last < check->end);
}

static void
rebuild_visit (const char *key, HbwJsonSpan span, void *data)
{
  Rebuild *parent = data;
  check_span (parent, span);
  if (key != NULL)
    json_object_set_new (parent->value, key, rebuild (span));
  else
    json_array_append_new (parent->value, rebuild (span));
}

/* Returns the value of SPAN, put together from its parts. */
static json_t *
rebuild (HbwJsonSpan span)
{
  if (*span.text != '{' && *span.text != '[')
    return hbw_json_load (span);
  Rebuild parent
      = { *span.text == '{' ? json_object () : json_array (), NULL, span.text };
  parent.end = span.text + span.length;
  hbw_json_scan_foreach (span, rebuild_visit, &parent);
  return parent.value;
}

static void
check_visit (const char *key G_GNUC_UNUSED, HbwJsonSpan span, void *data)
{
  HbwJsonSpan again;
  check_span (data, span);
  g_assert_true (hbw_json_scan (span.text, span.length, &again));
  g_assert_true (again.text == span.text && again.length == span.length);
}

/* What the library accepts is accepted, and its parts are those of the library. */
static gboolean
scan_json (const char *bytes, gsize length)
{
  HbwJsonSpan span;
  json_t *whole = json_loadb (bytes, length, JSON_DECODE_ANY, NULL);
  gboolean valid = hbw_json_scan (bytes, length, &span);
  g_assert_true (whole == NULL || valid);
  if (valid)
    {
      Rebuild bounds = { NULL, span.text + span.length, span.text };
      g_assert_true (span.text >= bytes && bounds.end <= bytes + length);
      hbw_json_scan_foreach (span, check_visit, &bounds);
      json_t *members = hbw_json_load_members (span);
      g_assert_nonnull (members);
      g_assert_true (whole == NULL || json_equal (whole, members));
      json_decref (members);
    }
  if (whole != NULL)
    {
      json_t *copy = rebuild (span);
      g_assert_true (json_equal (whole, copy));
      json_decref (copy);
    }
  json_decref (whole);
  return valid;
}

static gboolean
parse_load (const char *bytes, gsize length)
{
  HbwLoadReport report = { .server = "" };
  gboolean valid = hbw_load_report_parse (&report, bytes, length);
  g_assert_cmpuint (report.running, <=, G_MAXINT32);
  g_assert_cmpuint (report.waiting, <=, G_MAXINT32);
  return valid;
}

static gboolean
parse_lease (const char *bytes, gsize length)
{
  HbwLeaseRecord record = { 0 };
  hbw_lease_record_parse (&record, bytes, length);
  return record.holder != HBW_LEASE_HOLDER_UNKNOWN;
}

/* --- objects of the platform's store ------------------------------------- */

static gboolean
read_objects (HbwDocumentKind kind, gboolean changes, const char *bytes,
              gsize length)
{
  HbwError error;
  const HbwStoreAdapter *adapter = hbw_platform_store_adapter (kind);
  HbwStorePage page
      = { .changes = g_array_new (FALSE, FALSE, sizeof (HbwObjectChange)) };
  HbwObjectCache *cache = hbw_object_cache_create ("servers", HBW_US_PER_S);
  gboolean valid
      = adapter->class->parse_page (bytes, length, changes, &page, &error);
  for (guint i = 0; i < page.changes->len; i++)
    hbw_object_cache_apply (cache,
                            &g_array_index (page.changes, HbwObjectChange, i));
  gint64 version = 1;
  char *text = adapter->class->build_document (cache, &version);
  valid = valid && text != NULL;
  g_free (text);
  hbw_object_cache_destroy (cache);
  g_array_free (page.changes, TRUE);
  return valid;
}

static gboolean
read_config (const char *bytes, gsize length)
{
  return read_objects (HBW_DOCUMENT_CATALOGUE, FALSE, bytes, length);
}

static gboolean
read_servers (const char *bytes, gsize length)
{
  return read_objects (HBW_DOCUMENT_SERVERS, FALSE, bytes, length);
}

static gboolean
read_changes (const char *bytes, gsize length)
{
  return read_objects (HBW_DOCUMENT_SERVERS, TRUE, bytes, length);
}

static gboolean
read_suspects (const char *bytes, gsize length)
{
  HbwError error;
  gint64 version;
  GBytes *body
      = hbw_platform_suspects_adapter ()->parse (bytes, length, &version, &error);
  gboolean valid = body != NULL;
  g_clear_pointer (&body, g_bytes_unref);
  return valid;
}

static const struct
{
  const char *directory;
  Target target;
  gboolean original_is_valid;
} targets[] = {
  { "settings", parse_settings, TRUE },
  { "catalogue", parse_catalogue, TRUE },
  { "directory", parse_directory, TRUE },
  { "frame", parse_frame, FALSE },
  { "delta", apply_delta, FALSE },
  { "request", parse_request, TRUE },
  { "answer", parse_response, TRUE },
  { "events", split_events, TRUE },
  { "config", read_config, TRUE },
  { "servers", read_servers, TRUE },
  { "changes", read_changes, TRUE },
  { "suspects", read_suspects, TRUE },
  { "json", scan_json, TRUE },
  { "load", parse_load, TRUE },
  { "lease", parse_lease, TRUE },
  { "answer", read_response_fields, TRUE },
  { "request", read_request_fields, TRUE },
  { "messages", handle_frame, TRUE },
  { "archive", handle_archive, TRUE },
};

static void
damage (char *bytes, gsize *length, GRand *random)
{
  guint changes = (guint) g_rand_int_range (random, 1, 5);
  for (guint i = 0; i<changes && * length> 0; i++)
    {
      gsize offset = (gsize) g_rand_int_range (random, 0, (gint32) *length);
      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          bytes[offset] = (char) g_rand_int_range (random, 0, 256);
          break;
        case 1:
          memmove (bytes + offset, bytes + offset + 1, *length - offset - 1);
          (*length)--;
          break;
        default:
          *length = offset;
          break;
        }
    }
}

static gboolean
run_file (const char *path, Target target, gboolean original_is_valid)
{
  char *bytes;
  gsize length;
  if (!g_file_get_contents (path, &bytes, &length, NULL))
    return FALSE;
  gboolean as_expected = target (bytes, length) == original_is_valid;
  GRand *random = g_rand_new_with_seed (7);
  for (guint i = 0; i < DAMAGED_COPIES; i++)
    {
      gsize damaged_length = length;
      char *copy = g_memdup2 (bytes, length);
      damage (copy, &damaged_length, random);
      char *exact = g_malloc (MAX (1, damaged_length)); /* for the sanitizers */
      memcpy (exact, copy, damaged_length);
      target (exact, damaged_length);
      g_free (exact);
      g_free (copy);
    }
  g_rand_free (random);
  g_free (bytes);
  return as_expected;
}

int
main (void)
{
  guint passed = 0;
  guint failed = 0;
  for (gsize i = 0; i < G_N_ELEMENTS (targets); i++)
    {
      char *directory = g_build_filename (FUZZ_DIR, targets[i].directory, NULL);
      GDir *dir = g_dir_open (directory, 0, NULL);
      const char *name;
      while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
        {
          char *path = g_build_filename (directory, name, NULL);
          gboolean as_expected
              = run_file (path, targets[i].target, targets[i].original_is_valid);
          passed += as_expected ? 1 : 0;
          failed += as_expected ? 0 : 1;
          if (!as_expected)
            printf ("%s: unexpected result for the undamaged file\n", path);
          g_free (path);
        }
      if (dir != NULL)
        g_dir_close (dir);
      g_free (directory);
    }
  printf ("%u passed, %u failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}
