/*
 * part_test - parts of prompts that make servers fail, in the quarantine
 */
#include "suite.h"

#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/net/codec.h"

#include <check.h>
#include <time.h>

/* Pools of the requests. */
#define POOL 1
#define OTHER_POOL 2

/* Failures in a storm. */
#define STORM_FAILURES 1000

#define HARMFUL 7
#define FIRST 1

static const HbwPartIds others = { 1, { FIRST } };

/* Time at which a verdict can be given on a failure that has just been confirmed. */
#define DUE_US (HBW_QUARANTINE_GATHER_WINDOW_US + HBW_US_PER_MS)

/* A request with PARTS begins on SERVER, which fails 50 ms later. */
static void
crash (HbwQuarantine *quarantine, guint64 request, const HbwPartIds *parts,
       guint64 server, gint64 now_us)
{
  static guint64 last_id = 1000;
  const HbwFingerprint fingerprint = { 0, request };
  const HbwServerFailure failure = { .id = ++last_id,
                                     .server = server,
                                     .started_us = now_us - 50 * HBW_US_PER_MS,
                                     .failed_us = now_us };
  hbw_quarantine_add_failure (quarantine, &fingerprint, &failure, now_us);
  hbw_quarantine_charge_parts (quarantine, &fingerprint, failure.id, parts, POOL,
                               now_us);
  hbw_quarantine_handle_refused_connection (quarantine, server, now_us);
}

static void
answer (HbwQuarantine *quarantine, const HbwPartIds *parts, gint64 now_us)
{
  hbw_quarantine_clear_parts (quarantine, parts, POOL, now_us - 40 * HBW_US_PER_MS,
                              now_us);
}

static gboolean
is_refused (HbwQuarantine *quarantine, guint64 part, gint64 now_us)
{
  const HbwPartIds parts = { 1, { part } };
  guint64 id;
  gint64 remaining_us;
  hbw_quarantine_evaluate_parts (quarantine, now_us);
  return hbw_quarantine_find_part (quarantine, &parts, &id, &remaining_us, now_us);
}

/* Three different requests with PARTS fail three servers, one after the other, while
   a request without the harmful part is answered.  Returns when. */
static gint64
crash_three (HbwQuarantine *quarantine, const HbwPartIds *parts, gint64 now_us)
{
  for (guint i = 0; i < 3; i++, now_us += HBW_US_PER_S)
    {
      crash (quarantine, 100 + i, parts, 200 + i, now_us);
      answer (quarantine, &others, now_us + HBW_US_PER_MS);
    }
  return now_us - HBW_US_PER_S;
}

static const HbwPartIds harmful_parts = { 2, { FIRST, HARMFUL } };

START_TEST (part_is_refused_after_three_failures_in_a_row)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = crash_three (quarantine, &harmful_parts, HBW_US_PER_S);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us + HBW_US_PER_MS));
  ck_assert (is_refused (quarantine, HARMFUL, now_us + DUE_US));
  ck_assert (!is_refused (quarantine, FIRST, now_us + DUE_US));
  now_us += HBW_QUARANTINE_DURATION_US + DUE_US;
  ck_assert (!is_refused (quarantine, HARMFUL, now_us));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (part_of_one_request_alone_is_not_refused)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = HBW_US_PER_S;
  for (guint i = 0; i < 4; i++, now_us += HBW_US_PER_S)
    {
      crash (quarantine, 100, &harmful_parts, 200 + i, now_us);
      answer (quarantine, &others, now_us + HBW_US_PER_MS);
    }
  ck_assert (!is_refused (quarantine, HARMFUL, now_us));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* All servers fail at one moment, twice: that is two failures. */
START_TEST (servers_that_fail_at_one_moment_count_once)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  for (guint i = 0; i < 30; i++)
    crash (quarantine, 100 + i, &harmful_parts, 200 + i, HBW_US_PER_S + i);
  for (guint i = 0; i < 30; i++)
    crash (quarantine, 300 + i, &harmful_parts, 400 + i, 3 * HBW_US_PER_S + i);
  answer (quarantine, &others, 3 * HBW_US_PER_S + HBW_US_PER_MS);
  ck_assert (!is_refused (quarantine, HARMFUL, 10 * HBW_US_PER_S));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (complete_response_clears_parts)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  crash (quarantine, 100, &harmful_parts, 200, 1 * HBW_US_PER_S);
  crash (quarantine, 101, &harmful_parts, 201, 2 * HBW_US_PER_S);
  answer (quarantine, &harmful_parts, 2 * HBW_US_PER_S + HBW_US_PER_MS);
  crash (quarantine, 102, &harmful_parts, 202, 8 * HBW_US_PER_S);
  crash (quarantine, 103, &harmful_parts, 203, 9 * HBW_US_PER_S);
  answer (quarantine, &others, 9 * HBW_US_PER_S + HBW_US_PER_MS);
  ck_assert (!is_refused (quarantine, HARMFUL, 10 * HBW_US_PER_S));
  crash (quarantine, 104, &harmful_parts, 204, 10 * HBW_US_PER_S);
  answer (quarantine, &others, 10 * HBW_US_PER_S + HBW_US_PER_MS);
  ck_assert (is_refused (quarantine, HARMFUL, 11 * HBW_US_PER_S));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* A part that a few requests share is in several of them by chance. */
START_TEST (part_among_failing_servers_needs_more_failures)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  crash (quarantine, 98, &others, 198, 1 * HBW_US_PER_S);
  crash (quarantine, 99, &others, 199, 2 * HBW_US_PER_S);
  gint64 now_us = crash_three (quarantine, &harmful_parts, 3 * HBW_US_PER_S);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us + DUE_US));
  for (guint i = 3; i < 5; i++)
    {
      now_us += HBW_US_PER_S;
      crash (quarantine, 100 + i, &harmful_parts, 200 + i, now_us);
      answer (quarantine, &others, now_us + HBW_US_PER_MS);
    }
  ck_assert (is_refused (quarantine, HARMFUL, now_us + DUE_US));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* A response to a request that was under way releases a part only if the request was
   sent after its last failure. */
START_TEST (later_response_releases_part)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = crash_three (quarantine, &harmful_parts, HBW_US_PER_S);
  ck_assert (is_refused (quarantine, HARMFUL, now_us + DUE_US));
  hbw_quarantine_clear_parts (quarantine, &harmful_parts, POOL, now_us - 1,
                              now_us + DUE_US);
  ck_assert (is_refused (quarantine, HARMFUL, now_us + DUE_US));
  hbw_quarantine_clear_parts (quarantine, &harmful_parts, POOL, now_us + 1,
                              now_us + DUE_US);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us + DUE_US));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* Servers that fail whatever they are sent answer nobody. */
START_TEST (part_is_not_refused_while_nobody_is_answered)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = HBW_US_PER_S;
  for (guint i = 0; i < 6; i++, now_us += HBW_US_PER_S)
    crash (quarantine, 100 + i, &harmful_parts, 200 + i, now_us);
  hbw_quarantine_clear_parts (quarantine, &others, OTHER_POOL, now_us - 1, now_us);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us));
  answer (quarantine, &others, now_us);
  ck_assert (is_refused (quarantine, HARMFUL, now_us));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* Moves the reports and cleared parts of FROM to TO. */
static void
exchange (HbwQuarantine *from, HbwQuarantine *to, gint64 now_us)
{
  HbwSuspicionReport report;
  HbwClearedParts cleared;
  while (hbw_quarantine_take_report (from, HBW_US_PER_S, &report, now_us))
    hbw_quarantine_merge (to, 9, &report, now_us);
  if (hbw_quarantine_take_cleared_parts (from, &cleared, now_us))
    hbw_quarantine_merge_cleared_parts (to, &cleared, now_us);
}

START_TEST (reports_of_requests_charge_their_parts_elsewhere)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  HbwQuarantine *other = hbw_quarantine_create (2);
  gint64 now_us = crash_three (quarantine, &harmful_parts, HBW_US_PER_S);
  exchange (quarantine, other, now_us);
  answer (other, &others, now_us + HBW_US_PER_MS);
  ck_assert (is_refused (other, HARMFUL, now_us + HBW_US_PER_S));
  hbw_quarantine_destroy (quarantine);
  hbw_quarantine_destroy (other);
}
END_TEST

/* An instance that does not know of the response refuses the part, and is told. */
START_TEST (contradicting_response_travels)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  HbwQuarantine *other = hbw_quarantine_create (2);
  HbwSuspicionReport report;
  gint64 now_us = crash_three (quarantine, &harmful_parts, HBW_US_PER_S);
  exchange (quarantine, other, now_us);
  answer (other, &harmful_parts, now_us + HBW_US_PER_MS);
  now_us += DUE_US;
  ck_assert (is_refused (quarantine, HARMFUL, now_us));
  while (hbw_quarantine_take_report (quarantine, 1, &report, now_us))
    hbw_quarantine_merge (other, 1, &report, now_us);
  ck_assert (!is_refused (other, HARMFUL, now_us));
  exchange (other, quarantine, now_us);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us));
  hbw_quarantine_destroy (quarantine);
  hbw_quarantine_destroy (other);
}
END_TEST

/* Returns whether HARMFUL is refused beside a request with PARTS that is the cause
   of a failure of the same servers. */
static gboolean
is_refused_beside_cause (const HbwPartIds *parts)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = HBW_US_PER_S;
  const HbwFingerprint cause = { 0, 50 };
  crash (quarantine, cause.low, parts, 300, now_us);
  for (guint i = 0; i < 3; i++, now_us += HBW_US_PER_S)
    {
      crash (quarantine, 100 + i, &harmful_parts, 200 + i, now_us);
      crash (quarantine, cause.low, parts, 200 + i, now_us);
      if (i == 0)
        ck_assert_uint_eq (
            hbw_quarantine_check (quarantine, &cause, 1, now_us + DUE_US),
            HBW_QUARANTINE_STATUS_QUARANTINED);
      answer (quarantine, &others, now_us + HBW_US_PER_MS);
    }
  gboolean refused = is_refused (quarantine, HARMFUL, now_us);
  hbw_quarantine_destroy (quarantine);
  return refused;
}

START_TEST (cause_without_the_part_explains_its_failures)
{
  const HbwPartIds none = { 0 };
  const HbwPartIds same = { 1, { HARMFUL } };
  ck_assert (!is_refused_beside_cause (&none));
  ck_assert (is_refused_beside_cause (&same));
}
END_TEST

/* Two parts are in all three requests: the later, more specific one is refused, once
   there was time for a response that clears one of them. */
START_TEST (later_of_two_parts_is_refused)
{
  const HbwPartIds two = { 2, { HARMFUL + 1, HARMFUL } };
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = crash_three (quarantine, &two, HBW_US_PER_S);
  ck_assert (!is_refused (quarantine, HARMFUL, now_us + HBW_US_PER_S));
  ck_assert (is_refused (quarantine, HARMFUL, now_us + 5 * HBW_US_PER_S));
  ck_assert (!is_refused (quarantine, HARMFUL + 1, now_us + 5 * HBW_US_PER_S));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (thousands_of_parts_are_bounded)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = crash_three (quarantine, &harmful_parts, HBW_US_PER_S);
  ck_assert (is_refused (quarantine, HARMFUL, now_us + DUE_US));
  now_us += DUE_US;
  for (guint i = 0; i < 2000; i++, now_us++)
    {
      HbwPartIds parts = { .count = HBW_PART_IDS_MAX };
      for (guint k = 0; k < HBW_PART_IDS_MAX; k++)
        parts.ids[k] = 1000 + i * HBW_PART_IDS_MAX + k;
      crash (quarantine, 1000 + i, &parts, 1000 + i % 50, now_us);
    }
  ck_assert_uint_le (hbw_quarantine_size (quarantine), HBW_QUARANTINE_ENTRIES_MAX);
  ck_assert (is_refused (quarantine, HARMFUL, now_us));
  hbw_quarantine_destroy (quarantine);
}
END_TEST

static gint64
thread_time_us (void)
{
  struct timespec time;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (gint64) time.tv_sec * HBW_US_PER_S + time.tv_nsec / 1000;
}

/* Many servers fail, one after the other, and many parts are in many of the
 * failures. */
START_TEST (storm_of_parts_keeps_control_thread_free)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = HBW_US_PER_S;
  gint64 started_us = thread_time_us ();
  for (guint i = 0; i < STORM_FAILURES; i++, now_us += 100)
    {
      HbwPartIds parts = { .count = HBW_PART_IDS_MAX };
      for (guint k = 0; k < HBW_PART_IDS_MAX; k++)
        parts.ids[k] = 1000 + (i * HBW_PART_IDS_MAX + k) % 400;
      crash (quarantine, 1000 + i, &parts, 1000 + i % 50, now_us);
    }
  ck_assert_int_lt (thread_time_us () - started_us, HBW_PAUSE_THRESHOLD_US);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

static void
copy_message (const HbwMessage *message, void *data)
{
  hbw_message_copy (data, message);
}

static HbwMessage
send_through_codec (const HbwMessage *sent)
{
  HbwMessage received = { .kind = HBW_MESSAGE_COUNT };
  HbwError error;
  HbwFrame *frame = hbw_frame_create (77);
  hbw_frame_add (frame, sent);
  GBytes *bytes = hbw_frame_encode (frame);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  ck_assert_msg (hbw_frame_parse (data, size, copy_message, &received, &error), "%s",
                 error.message);
  g_bytes_unref (bytes);
  hbw_frame_destroy (frame);
  return received;
}

START_TEST (codec_carries_parts_and_cleared_parts)
{
  HbwMessage sent = { .kind = HBW_MESSAGE_SUSPECT };
  sent.suspect.failure_count = 1;
  sent.suspect.failures[0] = (HbwFailureReport){ .id = 3, .source = 5 };
  sent.suspect.pool_hash = POOL;
  sent.suspect.part_ids = harmful_parts;
  HbwMessage received = send_through_codec (&sent);
  ck_assert_uint_eq (received.suspect.failures[0].source, 5);
  ck_assert_uint_eq (received.suspect.pool_hash, POOL);
  ck_assert_uint_eq (received.suspect.part_ids.count, 2);
  ck_assert_uint_eq (received.suspect.part_ids.ids[1], HARMFUL);
  HbwMessage message = { .kind = HBW_MESSAGE_CLEARED_PARTS };
  message.cleared_parts.count = 2;
  message.cleared_parts.parts[0] = (HbwClearedPart){ HARMFUL, 12 };
  message.cleared_parts.parts[1] = (HbwClearedPart){ G_MAXUINT64, 0 };
  received = send_through_codec (&message);
  ck_assert_uint_eq (received.cleared_parts.count, 2);
  ck_assert_uint_eq (received.cleared_parts.parts[0].id, HARMFUL);
  ck_assert_int_eq (received.cleared_parts.parts[0].completed_ago_us, 12);
  ck_assert_uint_eq (received.cleared_parts.parts[1].id, G_MAXUINT64);
}
END_TEST

/* Earlier versions send six fields of a failure, and end with the failures. */
START_TEST (codec_reads_report_without_parts)
{
  const guint8 frame[] = { 0x93, HBW_CODEC_VERSION,
                           77,   0x91, /* one message */
                           0x9d, HBW_MESSAGE_SUSPECT,
                           1,    1, /* fingerprint */
                           0,    1,
                           5,    9,
                           0,    1,
                           0,    1,
                           0xff, 0x91, /* one failure */
                           0x96, 3,
                           9,    4,
                           3,    0,
                           1 };
  HbwMessage received = { .kind = HBW_MESSAGE_COUNT };
  HbwError error;
  ck_assert_msg (
      hbw_frame_parse (frame, sizeof frame, copy_message, &received, &error), "%s",
      error.message);
  ck_assert_uint_eq (received.suspect.failure_count, 1);
  ck_assert (received.suspect.failures[0].is_refused);
  ck_assert_uint_eq (received.suspect.failures[0].source, 0);
  ck_assert_uint_eq (received.suspect.part_ids.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("part");
  TCase *tests = tcase_create ("parts");
  tcase_add_test (tests, part_is_refused_after_three_failures_in_a_row);
  tcase_add_test (tests, part_of_one_request_alone_is_not_refused);
  tcase_add_test (tests, servers_that_fail_at_one_moment_count_once);
  tcase_add_test (tests, complete_response_clears_parts);
  tcase_add_test (tests, part_among_failing_servers_needs_more_failures);
  tcase_add_test (tests, later_response_releases_part);
  tcase_add_test (tests, part_is_not_refused_while_nobody_is_answered);
  tcase_add_test (tests, reports_of_requests_charge_their_parts_elsewhere);
  tcase_add_test (tests, contradicting_response_travels);
  tcase_add_test (tests, cause_without_the_part_explains_its_failures);
  tcase_add_test (tests, later_of_two_parts_is_refused);
  tcase_add_test (tests, thousands_of_parts_are_bounded);
  tcase_add_test (tests, storm_of_parts_keeps_control_thread_free);
  tcase_add_test (tests, codec_carries_parts_and_cleared_parts);
  tcase_add_test (tests, codec_reads_report_without_parts);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
