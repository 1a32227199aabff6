#include "hornbeamwall/core/suspect_archive.h"

#include "hornbeamwall/common/json_reader.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine.h"

#include <stdlib.h>
#include <string.h>

/* Most entries that are stored; see hbw_quarantine_list_reports(). */
#define ENTRIES_MAX 256

/* Delay of a write after the first change, in which more changes are collected. */
#define COLLECT_US (30 * HBW_US_PER_MS)

/* Further delay for each instance that comes first. */
#define TURN_US (HBW_US_PER_S / 4)

/* Longest delay, with many instances. */
#define TURN_DELAY_MAX_US (5 * HBW_US_PER_S)

/* Minimum interval between two writes of this instance. */
#define WRITE_INTERVAL_US (HBW_US_PER_S / 4)

/* Delay after which entries that are cleared or expired are removed from the store.
 */
#define CLEANUP_INTERVAL_US (10 * HBW_US_PER_S)

/* Size of a 64-bit number in hexadecimal, in bytes, with the terminating NUL. */
#define HEX_MAX 17

struct HbwSuspectArchive
{
  gint64 version; /* of the stored object, as last seen; -1 before it was read */
  gboolean is_writing;
  gint64 unstored_since_us; /* 0 if all is stored */
  gint64 next_write_us;
  gint64 next_cleanup_us;
  guint stored_count;  /* entries of the stored object, as last seen */
  gint64 recorded_era; /* era that the stored object says is settled */
  gint64 written_era;  /* the same, by the write in progress */
  HbwSuspicionReport written[ENTRIES_MAX]; /* by the write in progress */
  guint written_count;
};

static const char *const verdict_names[HBW_VERDICT_COUNT] = {
  [HBW_VERDICT_NONE] = "none",
  [HBW_VERDICT_UNDECIDED] = "undecided",
  [HBW_VERDICT_CAUSE] = "cause",
};

/* --- the stored object --------------------------------------------------------- */

static json_t *
format_number (guint64 number)
{
  char text[HEX_MAX];
  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", number);
  return json_string (text);
}

static json_t *
format_report (const HbwSuspicionReport *report)
{
  json_t *failures = json_array ();
  for (guint i = 0; i < report->failure_count; i++)
    {
      const HbwFailureReport *failure = &report->failures[i];
      if (failure->is_dismissed)
        continue;
      json_array_append_new (
          failures,
          json_pack ("{s:o, s:o, s:o, s:I, s:I}", "id", format_number (failure->id),
                     "server", format_number (failure->server_hash), "source",
                     format_number (failure->source), "started_ago_ms",
                     (json_int_t) (failure->started_ago_us / HBW_US_PER_MS),
                     "failed_ago_ms",
                     (json_int_t) (failure->failed_ago_us / HBW_US_PER_MS)));
    }
  json_t *parts = json_array ();
  for (guint i = 0; i < report->part_ids.count; i++)
    json_array_append_new (parts, format_number (report->part_ids.ids[i]));
  return json_pack ("{s:o, s:o, s:s, s:I, s:o, s:o, s:o}", "high",
                    format_number (report->fingerprint.high), "low",
                    format_number (report->fingerprint.low), "verdict",
                    verdict_names[report->verdict], "remaining_ms",
                    (json_int_t) (report->remaining_us / HBW_US_PER_MS), "failures",
                    failures, "pool", format_number (report->pool_hash), "parts",
                    parts);
}

static GBytes *
format_object (const HbwSuspicionReport *reports, guint count, gint64 settled_era)
{
  json_t *suspects = json_array ();
  for (guint i = 0; i < count; i++)
    json_array_append_new (suspects, format_report (&reports[i]));
  json_t *root = json_pack ("{s:o, s:I}", "suspects", suspects, "settled_era",
                            (json_int_t) settled_era);
  char *text = json_dumps (root, JSON_COMPACT);
  GBytes *body = g_bytes_new (text, strlen (text));
  free (text);
  json_decref (root);
  return body;
}

static guint64
parse_number (HbwJsonReader *reader, const char *key)
{
  char text[HEX_MAX];
  hbw_json_reader_string (reader, key, text, sizeof text, NULL);
  return g_ascii_strtoull (text, NULL, 16);
}

/* Returns 0 for a number that earlier versions do not store. */
static guint64
parse_later_number (HbwJsonReader *reader, const char *key)
{
  char text[HEX_MAX];
  hbw_json_reader_string (reader, key, text, sizeof text, "");
  return g_ascii_strtoull (text, NULL, 16);
}

static void
parse_part_ids (HbwJsonReader *reader, HbwPartIds *parts)
{
  size_t index;
  json_t *value;
  json_array_foreach (hbw_json_reader_member (reader, "parts", JSON_ARRAY, FALSE),
                      index, value)
    if (json_is_string (value) && parts->count < HBW_PART_IDS_MAX)
      parts->ids[parts->count++]
          = g_ascii_strtoull (json_string_value (value), NULL, 16);
}

static gint64
parse_duration_us (HbwJsonReader *reader, const char *key)
{
  return hbw_json_reader_required_int (reader, key, 0, G_MAXINT32) * HBW_US_PER_MS;
}

static void
parse_failures (HbwErrorReport *errors, HbwJsonReader *reader,
                HbwSuspicionReport *report)
{
  size_t index;
  json_t *value;
  json_array_foreach (hbw_json_reader_member (reader, "failures", JSON_ARRAY, TRUE),
                      index, value)
    {
      if (report->failure_count >= HBW_SUSPECT_FAILURES_MAX)
        return;
      char *location = hbw_json_reader_location (reader, "failures");
      HbwJsonReader *inner = hbw_json_reader_create (errors, value, location);
      HbwFailureReport *failure = &report->failures[report->failure_count++];
      failure->id = parse_number (inner, "id");
      failure->server_hash = parse_number (inner, "server");
      failure->source = parse_later_number (inner, "source");
      failure->started_ago_us = parse_duration_us (inner, "started_ago_ms");
      failure->failed_ago_us = parse_duration_us (inner, "failed_ago_ms");
      hbw_json_reader_destroy (inner);
      g_free (location);
    }
}

static HbwVerdict
parse_verdict (HbwJsonReader *reader)
{
  char text[16];
  hbw_json_reader_string (reader, "verdict", text, sizeof text, NULL);
  for (guint i = 0; i < HBW_VERDICT_COUNT; i++)
    if (strcmp (text, verdict_names[i]) == 0)
      return (HbwVerdict) i;
  return HBW_VERDICT_NONE;
}

static HbwSuspicionReport
parse_report (HbwErrorReport *errors, json_t *value)
{
  HbwSuspicionReport report = { .completed_ago_us = -1, .is_stored = TRUE };
  HbwJsonReader *reader = hbw_json_reader_create (errors, value, "/suspects");
  report.fingerprint.high = parse_number (reader, "high");
  report.fingerprint.low = parse_number (reader, "low");
  report.verdict = parse_verdict (reader);
  report.remaining_us = parse_duration_us (reader, "remaining_ms");
  parse_failures (errors, reader, &report);
  report.pool_hash = parse_later_number (reader, "pool");
  parse_part_ids (reader, &report.part_ids);
  hbw_json_reader_destroy (reader);
  return report;
}

static void
merge_suspects (HbwSuspectArchive *archive, HbwContext *context,
                HbwErrorReport *errors, json_t *root)
{
  HbwJsonReader *reader = hbw_json_reader_create (errors, root, "");
  json_t *suspects = hbw_json_reader_member (reader, "suspects", JSON_ARRAY, TRUE);
  archive->recorded_era
      = hbw_json_reader_int (reader, "settled_era", 0, G_MAXINT64, 0);
  size_t index;
  json_t *value;
  archive->stored_count = (guint) json_array_size (suspects);
  json_array_foreach (suspects, index, value)
    {
      guint before = errors->error_count;
      const HbwSuspicionReport report = parse_report (errors, value);
      if (errors->error_count == before)
        hbw_quarantine_merge (context->quarantine, 0, &report, context->now_us);
    }
  hbw_json_reader_destroy (reader);
}

static void
merge_object (HbwSuspectArchive *archive, HbwContext *context, GBytes *body)
{
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwErrorReport errors;
  gsize length;
  const char *text = g_bytes_get_data (body, &length);
  json_t *root = hbw_json_parse (text, length, HBW_ERROR_DOCUMENT, &error);
  hbw_error_report_init (&errors);
  if (root != NULL)
    merge_suspects (archive, context, &errors, root);
  if (root == NULL || errors.error_count > 0)
    hbw_effects_log (context->effects, HBW_LOG_ENTRY_IGNORED,
                     "object=suspects error=\"%s\"",
                     root == NULL ? error.message : errors.text->str);
  hbw_error_report_clear (&errors);
  json_decref (root);
}

/* --- reads and writes ---------------------------------------------------------- */

HbwSuspectArchive *
hbw_suspect_archive_create (void)
{
  HbwSuspectArchive *archive = g_new0 (HbwSuspectArchive, 1);
  archive->version = HBW_VERSION_UNKNOWN;
  return archive;
}

void
hbw_suspect_archive_destroy (HbwSuspectArchive *archive)
{
  g_free (archive);
}

gboolean
hbw_suspect_archive_was_read (const HbwSuspectArchive *archive)
{
  return archive->version != HBW_VERSION_UNKNOWN;
}

void
hbw_suspect_archive_handle_read (HbwSuspectArchive *archive, HbwContext *context,
                                 const HbwStoredSuspects *stored)
{
  archive->version = stored->version;
  archive->recorded_era = 0;
  if (stored->body != NULL)
    merge_object (archive, context, stored->body);
  if (archive->recorded_era == stored->era)
    hbw_store_era_observe (&context->store_era, stored->era, HBW_STORE_ERA_SETTLED,
                           context->now_us);
}

void
hbw_suspect_archive_handle_restore (HbwSuspectArchive *archive, HbwContext *context)
{
  if (!hbw_suspect_archive_was_read (archive))
    return;
  archive->version = HBW_VERSION_UNKNOWN;
  hbw_quarantine_mark_unstored (context->quarantine);
  hbw_effects_add (context->effects, HBW_EFFECT_READ_SUSPECTS);
}

void
hbw_suspect_archive_handle_written (HbwSuspectArchive *archive, HbwContext *context,
                                    const HbwStoredSuspects *stored)
{
  archive->is_writing = FALSE;
  hbw_effects_log (context->effects, HBW_LOG_SUSPECTS_STORED,
                   "written=%d entries=%u version=%" G_GINT64_FORMAT,
                   stored->written, archive->written_count, stored->version);
  archive->next_write_us = context->now_us + WRITE_INTERVAL_US;
  archive->next_cleanup_us = context->now_us + CLEANUP_INTERVAL_US;
  if (!stored->written || !hbw_suspect_archive_was_read (archive))
    return;
  archive->version = stored->version;
  archive->stored_count = archive->written_count;
  archive->recorded_era = archive->written_era;
  archive->unstored_since_us = 0;
  hbw_quarantine_mark_stored (context->quarantine, archive->written,
                              archive->written_count, context->now_us);
}

static gint64
turn_delay_us (HbwContext *context)
{
  gint64 delay = hbw_membership_rank (context->membership, "suspects") * TURN_US;
  return COLLECT_US + MIN (delay, TURN_DELAY_MAX_US);
}

/* Returns whether the store's era is settled, and the stored object does not say so
   yet. */
static gboolean
is_era_unrecorded (const HbwSuspectArchive *archive, const HbwContext *context)
{
  const HbwStoreEra *era = &context->store_era;
  return era->number != archive->recorded_era
         && hbw_store_era_is_settled (era, context->now_us);
}

static void
write_suspects (HbwSuspectArchive *archive, HbwContext *context)
{
  archive->is_writing = TRUE;
  guint open = hbw_quarantine_count_open (context->quarantine, context->now_us);
  archive->written_count
      = hbw_quarantine_list_reports (context->quarantine, 0, archive->written,
                                     MIN (open, ENTRIES_MAX), context->now_us);
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_STORE_SUSPECTS);
  effect->suspects.base_version = archive->version;
  archive->written_era = is_era_unrecorded (archive, context)
                             ? context->store_era.number
                             : archive->recorded_era;
  effect->suspects.body = format_object (archive->written, archive->written_count,
                                         archive->written_era);
}

/* Returns whether the stored object has entries that are not needed any more. */
static gboolean
needs_cleanup (const HbwSuspectArchive *archive, HbwContext *context)
{
  return context->now_us >= archive->next_cleanup_us
         && hbw_quarantine_count_open (context->quarantine, context->now_us)
                < archive->stored_count
         && hbw_membership_rank (context->membership, "suspects") == 0;
}

static gboolean
needs_write (HbwSuspectArchive *archive, HbwContext *context)
{
  gint64 now_us = context->now_us;
  if (!hbw_quarantine_has_unstored (context->quarantine, ENTRIES_MAX, now_us))
    {
      archive->unstored_since_us = 0;
      return needs_cleanup (archive, context)
             || (is_era_unrecorded (archive, context)
                 && hbw_membership_rank (context->membership, "suspects") == 0);
    }
  if (archive->unstored_since_us == 0)
    archive->unstored_since_us = now_us;
  return now_us >= archive->unstored_since_us + turn_delay_us (context);
}

void
hbw_suspect_archive_tick (HbwSuspectArchive *archive, HbwContext *context)
{
  if (archive->is_writing || !hbw_suspect_archive_was_read (archive)
      || context->now_us < archive->next_write_us)
    return;
  if (needs_write (archive, context))
    write_suspects (archive, context);
}
