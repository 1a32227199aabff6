/*
 * Unit tests of single modules: clock, histogram, queue, limiter, documents, deltas,
 * quarantine, server state, topology, codec, lease, settings, catalogue and the list
 * of log events.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/common/histogram.h"
#include "hornbeamwall/common/log.h"
#include "hornbeamwall/core/permit_bucket.h"
#include "hornbeamwall/core/catalogue.h"
#include "hornbeamwall/core/documents/delta.h"
#include "hornbeamwall/core/documents/documents.h"
#include "hornbeamwall/core/lease.h"
#include "hornbeamwall/core/limiter.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/policy.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/queue.h"
#include "hornbeamwall/core/reducer.h"
#include "hornbeamwall/core/server.h"
#include "hornbeamwall/core/topology.h"
#include "hornbeamwall/net/codec.h"
#include "hornbeamwall/net/server_orders.h"
#include "hornbeamwall/runtime/settings.h"

#include <string.h>
#include <time.h>

#define STORM_FAILURES 2000

static gint64
thread_time_us (void)
{
  struct timespec used;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (gint64) used.tv_sec * HBW_US_PER_S + used.tv_nsec / 1000;
}

START_TEST (manual_clock_changes_only_when_advanced)
{
  HbwClock *clock = hbw_clock_create_manual (5);
  ck_assert_int_eq (hbw_clock_now (clock), 5);
  hbw_clock_advance (clock, 7);
  ck_assert_int_eq (hbw_clock_now (clock), 12);
  hbw_clock_destroy (clock);
}
END_TEST

START_TEST (histogram_quantile_error_is_below_one_eighth)
{
  HbwHistogram histogram = { { 0 }, 0, 0 };
  for (gint64 i = 1; i <= 100000; i++)
    hbw_histogram_record (&histogram, i);
  gint64 median = hbw_histogram_quantile (&histogram, 0.5);
  ck_assert_int_ge (median, 50000);
  ck_assert_int_le (median, 50000 + 50000 / 8);
  ck_assert_uint_eq (hbw_histogram_count_up_to (&histogram, G_MAXINT64), 100000);
}
END_TEST

static HbwGrantRequest
make_grant_request (guint64 sequence, const char *organisation, guint tier,
                    gint64 target_us)
{
  HbwGrantRequest request = { .id = { 1, sequence }, .attempt = 1 };
  g_strlcpy (request.spec.organisation, organisation, HBW_NAME_MAX);
  g_strlcpy (request.spec.class_name, "c", HBW_NAME_MAX);
  request.spec.tier = (HbwTier) tier;
  request.spec.first_token_target_us = target_us;
  request.spec.cost_tokens = 10;
  request.spec.weight = 1;
  return request;
}

static guint64
serve_next (HbwQueue *queue, HbwTier tier, gint64 now_us)
{
  HbwTicket *ticket = hbw_queue_select_next (queue, tier, now_us, 0, NULL, NULL);
  guint64 sequence = ticket->want.id.sequence;
  hbw_queue_charge (queue, ticket);
  hbw_queue_remove (queue, ticket);
  return sequence;
}

START_TEST (queue_serves_late_requests_last)
{
  HbwQueue *queue = hbw_queue_create ();
  const HbwGrantRequest late = make_grant_request (1, "a", 0, 10);
  const HbwGrantRequest in_time = make_grant_request (2, "a", 0, 1000);
  hbw_queue_add (queue, &late, 1, 0, 0);
  hbw_queue_add (queue, &in_time, 1, 0, 0);
  ck_assert_uint_eq (serve_next (queue, 0, 100), 2);
  ck_assert_uint_eq (serve_next (queue, 0, 100), 1);
  hbw_queue_destroy (queue);
}
END_TEST

static HbwGrantRequest
make_class_request (guint64 sequence, guint class_tier, gint64 target_us)
{
  HbwGrantRequest request = make_grant_request (sequence, "a", 0, target_us);
  request.spec.class_tier = (HbwTier) class_tier;
  return request;
}

START_TEST (queue_serves_requests_of_a_tier_by_the_tier_of_their_class)
{
  HbwQueue *queue = hbw_queue_create ();
  const HbwGrantRequest last = make_class_request (1, 2, 100000);
  const HbwGrantRequest first = make_class_request (2, 0, 100000);
  const HbwGrantRequest late = make_class_request (3, 0, 10);
  hbw_queue_add (queue, &last, 1, 0, 0);
  hbw_queue_add (queue, &first, 1, 0, 0);
  hbw_queue_add (queue, &late, 1, 0, 0);
  ck_assert_uint_eq (serve_next (queue, 0, 100), 2);
  ck_assert_uint_eq (serve_next (queue, 0, 100), 3);
  ck_assert_uint_eq (serve_next (queue, 0, 100), 1);
  hbw_queue_destroy (queue);
}
END_TEST

START_TEST (last_class_of_a_tier_is_not_starved)
{
  HbwQueue *queue = hbw_queue_create ();
  const HbwGrantRequest last = make_class_request (1000, 2, 100000);
  hbw_queue_add (queue, &last, 1, 0, 0);
  guint served = 0;
  for (guint64 i = 0; hbw_queue_find (queue, &last.id) != NULL; i++)
    {
      const HbwGrantRequest first = make_class_request (i, 0, 100000);
      hbw_queue_add (queue, &first, 1, 0, 0);
      serve_next (queue, 0, 0);
      served++;
    }
  ck_assert_uint_le (served, HBW_QUEUE_LATE_INTERVAL);
  hbw_queue_destroy (queue);
}
END_TEST

START_TEST (queue_shares_service_between_organisations)
{
  HbwQueue *queue = hbw_queue_create ();
  guint served_small = 0;
  for (guint i = 0; i < 100; i++)
    {
      const HbwGrantRequest big = make_grant_request (i, "big", 1, 1000000);
      hbw_queue_add (queue, &big, 1, 0, 0);
    }
  for (guint i = 0; i < 10; i++)
    {
      const HbwGrantRequest small
          = make_grant_request (1000 + i, "small", 1, 1000000);
      hbw_queue_add (queue, &small, 1, 0, 0);
    }
  for (guint i = 0; i < 20; i++)
    if (serve_next (queue, 1, 0) >= 1000)
      served_small++;
  ck_assert_uint_ge (served_small, 9);
  hbw_queue_destroy (queue);
}
END_TEST

static void
deliver_document (HbwReducer *reducer, HbwEffects *effects, HbwDocumentKind kind,
                  const char *text)
{
  HbwEvent event = { .kind = HBW_EVENT_DOCUMENT_READ };
  event.document.kind = kind;
  event.document.version = text != NULL ? 1 : 0;
  GBytes *body = text != NULL ? g_bytes_new_static (text, strlen (text)) : NULL;
  event.document.body = body;
  hbw_reducer_step (reducer, &event, effects);
  g_clear_pointer (&body, g_bytes_unref);
}

static void
submit_request (HbwReducer *reducer, HbwEffects *effects, guint64 sequence,
                guint tier)
{
  HbwEvent event = { .kind = HBW_EVENT_REQUEST_ARRIVED, .now_us = 1 };
  const HbwGrantRequest request
      = make_grant_request (sequence, "a", tier, HBW_US_PER_S);
  event.arrival.sequence = sequence;
  event.arrival.spec = request.spec;
  event.arrival.spec.queue_bound = 100;
  event.arrival.spec.fingerprint.low = sequence;
  g_strlcpy (event.arrival.spec.pool, "m", HBW_NAME_MAX);
  hbw_reducer_step (reducer, &event, effects);
}

/* Clears EFFECTS. Returns the first request that they started, or 0. */
static guint64
take_first_started (HbwEffects *effects)
{
  guint64 sequence = 0;
  for (guint i = 0; i < hbw_effects_count (effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (effects, i);
      if (effect->kind == HBW_EFFECT_START_ATTEMPT && sequence == 0)
        sequence = effect->start.sequence;
    }
  hbw_effects_clear (effects);
  return sequence;
}

/* Only one slot is not reserved for a tier. Requests of the higher tier get it,
   although requests of the lower tier have waited longer. */
START_TEST (higher_tier_is_granted_before_longer_waiting_requests)
{
  HbwReducerConfig config = { .policy = hbw_policy_owner (), .seed = 1 };
  config.self.identity = 1;
  g_strlcpy (config.self.data_centre, "a", sizeof config.self.data_centre);
  HbwReducer *reducer = hbw_reducer_create (&config);
  HbwEffects *effects = hbw_effects_create ();
  deliver_document (reducer, effects, HBW_DOCUMENT_STOPS, NULL);
  deliver_document (
      reducer, effects, HBW_DOCUMENT_SERVERS,
      "{\"servers\":[{\"id\":\"e\",\"pool\":\"m\",\"data_centre\":\"a\","
      "\"address\":\"10.0.0.1:1\",\"slots\":3}]}");
  for (guint64 i = 1; i <= 9; i++)
    submit_request (reducer, effects, i, 2);
  for (guint64 i = 10; i <= 13; i++)
    submit_request (reducer, effects, i, 0);
  hbw_effects_clear (effects);
  guint64 ended_sequence = 1;
  for (guint64 expected = 10; expected <= 13; expected++)
    {
      HbwEvent event = { .kind = HBW_EVENT_ATTEMPT_ENDED, .now_us = 2 };
      event.end.sequence = ended_sequence;
      event.end.attempt = 1;
      event.end.outcome = HBW_OUTCOME_COMPLETE;
      event.end.tokens = 10;
      hbw_reducer_step (reducer, &event, effects);
      guint64 started = take_first_started (effects);
      ck_assert_uint_eq (started, expected);
      ended_sequence = expected == 10 ? 2 : expected - 1;
    }
  hbw_effects_destroy (effects);
  hbw_reducer_destroy (reducer);
}
END_TEST

START_TEST (limit_is_divided_by_demand)
{
  const double demands[] = { 2, 100, 100 };
  ck_assert_double_eq_tol (hbw_limiter_max_min_share (30, demands, 3, 3, 0), 2,
                           1e-9);
  ck_assert_double_eq_tol (hbw_limiter_max_min_share (30, demands, 3, 3, 1), 14,
                           1e-9);
  const double small_demands[] = { 1, 2 };
  double first = hbw_limiter_max_min_share (30, small_demands, 2, 10, 0);
  double second = hbw_limiter_max_min_share (30, small_demands, 2, 10, 1);
  ck_assert_double_ge (first, 1);
  ck_assert_double_ge (second, 2);
  ck_assert_double_le (first + second, 30);
}
END_TEST

START_TEST (older_or_rejected_version_is_not_newer)
{
  HbwDocuments *documents = hbw_documents_create ();
  GBytes *body = g_bytes_new ("x", 1);
  ck_assert (hbw_documents_compare_version (documents, HBW_DOCUMENT_CATALOGUE, 0)
             == HBW_VERSION_NEWER);
  hbw_documents_adopt (documents, HBW_DOCUMENT_CATALOGUE, 5, body);
  ck_assert (hbw_documents_compare_version (documents, HBW_DOCUMENT_CATALOGUE, 4)
             == HBW_VERSION_OLDER);
  ck_assert (hbw_documents_compare_version (documents, HBW_DOCUMENT_CATALOGUE, 5)
             == HBW_VERSION_SAME);
  hbw_documents_reject (documents, HBW_DOCUMENT_CATALOGUE, 6);
  ck_assert (hbw_documents_compare_version (documents, HBW_DOCUMENT_CATALOGUE, 6)
             == HBW_VERSION_SAME);
  ck_assert (hbw_documents_compare_version (documents, HBW_DOCUMENT_CATALOGUE, 7)
             == HBW_VERSION_NEWER);
  g_bytes_unref (body);
  hbw_documents_destroy (documents);
}
END_TEST

static GBytes *
make_bytes (const char *text)
{
  return g_bytes_new_static (text, strlen (text));
}

START_TEST (delta_reproduces_the_newer_document)
{
  GBytes *old
      = make_bytes ("{\"a\":{\"x\":1,\"y\":2},\"b\":[1],\"long\":"
                    "\"0123456789012345678901234567890123456789012345678901\"}");
  GBytes *new
      = make_bytes ("{\"a\":{\"x\":3},\"b\":[2],\"long\":"
                    "\"0123456789012345678901234567890123456789012345678901\"}");
  GBytes *delta = hbw_delta_create (old, new);
  ck_assert (delta != NULL);
  ck_assert_uint_lt (g_bytes_get_size (delta), g_bytes_get_size (new));
  GBytes *made = hbw_delta_apply (old, delta);
  ck_assert (made != NULL);
  gsize length;
  const char *text = g_bytes_get_data (made, &length);
  ck_assert (g_strstr_len (text, (gssize) length, "\"x\":3") != NULL);
  ck_assert (g_strstr_len (text, (gssize) length, "\"y\"") == NULL);
  ck_assert (hbw_delta_apply (delta, delta) == NULL);
  g_bytes_unref (made);
  g_bytes_unref (delta);
  g_bytes_unref (old);
  g_bytes_unref (new);
}
END_TEST

static const HbwFingerprint poison = { 1, 1 };
static const HbwFingerprint other_suspect = { 2, 2 };
static const HbwFingerprint innocent = { 3, 3 };

/* Records a failure of SERVER during an attempt that ended at once. */
static guint
add_broken_response (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
                     guint64 server, gint64 now_us)
{
  static guint64 last_attempt_id;
  const HbwServerFailure failure = { .id = ++last_attempt_id,
                                     .server = server,
                                     .started_us = now_us,
                                     .failed_us = now_us };
  return hbw_quarantine_add_failure (quarantine, fingerprint, &failure, now_us);
}

/* The server breaks the response and then refuses connections. */
static guint
add_failure (HbwQuarantine *quarantine, const HbwFingerprint *fingerprint,
             guint64 server, gint64 now_us)
{
  guint failures = add_broken_response (quarantine, fingerprint, server, now_us);
  hbw_quarantine_handle_refused_connection (quarantine, server, now_us);
  return failures;
}

START_TEST (quarantine_of_poison_request_clears_innocent_one)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  add_failure (quarantine, &poison, 7, 0);
  add_failure (quarantine, &innocent, 7, 0);
  ck_assert_uint_eq (hbw_quarantine_count_unexplained (quarantine, &innocent, 1), 1);
  ck_assert_uint_eq (add_failure (quarantine, &poison, 8, 1000), 2);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, 1001),
                     HBW_QUARANTINE_STATUS_HELD);
  gint64 gathered_us = 1000 + HBW_QUARANTINE_GATHER_WINDOW_US;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, gathered_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert_uint_eq (
      hbw_quarantine_count_unexplained (quarantine, &innocent, gathered_us), 0);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, gathered_us),
                     HBW_QUARANTINE_STATUS_SUSPECT);
  ck_assert (!hbw_quarantine_clear (quarantine, &poison, gathered_us));
  ck_assert_uint_eq (
      hbw_quarantine_count_unexplained (quarantine, &poison,
                                        gathered_us + HBW_QUARANTINE_DURATION_US),
      0);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* A request that was in progress on two failed servers, each time beside a different
   poison request, must not be refused because of them. */
START_TEST (innocent_request_beside_two_poison_ones_is_held_not_refused)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  add_failure (quarantine, &poison, 7, 0);
  add_failure (quarantine, &innocent, 7, 0);
  add_failure (quarantine, &other_suspect, 8, 1000);
  add_failure (quarantine, &innocent, 8, 1000);
  gint64 later_us = 2000 + HBW_QUARANTINE_GATHER_WINDOW_US;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, later_us),
                     HBW_QUARANTINE_STATUS_HELD);
  add_failure (quarantine, &poison, 9, later_us);
  add_failure (quarantine, &other_suspect, 10, later_us);
  later_us += HBW_QUARANTINE_GATHER_WINDOW_US;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, later_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &other_suspect, 1, later_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, later_us),
                     HBW_QUARANTINE_STATUS_SUSPECT);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (verdict_waits_for_other_suspects_of_the_failure)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  add_failure (quarantine, &poison, 7, 0);
  add_failure (quarantine, &poison, 8, 1000);
  add_failure (quarantine, &other_suspect, 8, 1000);
  add_failure (quarantine, &innocent, 8, 1000);
  add_failure (quarantine, &innocent, 7, 0);
  gint64 later_us = 1000 + HBW_QUARANTINE_GATHER_WINDOW_US;
  ck_assert (hbw_quarantine_clear (quarantine, &other_suspect, later_us));
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, later_us),
                     HBW_QUARANTINE_STATUS_HELD);
  ck_assert (hbw_quarantine_set_activity (quarantine, &innocent, HBW_SUSPECT_IDLE, 0,
                                          later_us));
  ck_assert (!hbw_quarantine_set_activity (quarantine, &innocent, HBW_SUSPECT_IDLE,
                                           0, later_us));
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, later_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* Two requests were in progress on both servers that failed, and nothing tells them
   apart. To let either run could make a third server fail. */
START_TEST (neither_of_two_requests_with_same_evidence_runs)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  for (guint64 server = 7; server <= 8; server++)
    {
      add_failure (quarantine, &innocent, server, (gint64) server);
      add_failure (quarantine, &poison, server, (gint64) server);
    }
  gint64 later_us = 8 + HBW_QUARANTINE_GATHER_WINDOW_US;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, later_us),
                     HBW_QUARANTINE_STATUS_HELD);
  hbw_quarantine_set_activity (quarantine, &poison, HBW_SUSPECT_IDLE, 0, later_us);
  hbw_quarantine_set_activity (quarantine, &innocent, HBW_SUSPECT_IDLE, 0, later_us);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, later_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, later_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* Two copies of a popular request are in progress on a server that crashes. */
START_TEST (copies_on_one_server_count_as_one_failure)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  ck_assert_uint_eq (add_failure (quarantine, &poison, 7, 0), 1);
  ck_assert_uint_eq (add_failure (quarantine, &poison, 7, 1000), 1);
  const HbwSuspicionReport reported
      = { .fingerprint = poison,
          .remaining_us = HBW_US_PER_S,
          .completed_ago_us = -1,
          .failure_count = 1,
          .failures = { { .id = 77, .server_hash = 7, .started_ago_us = 2000 } } };
  ck_assert_uint_eq (hbw_quarantine_merge (quarantine, 9, &reported, 2000), 0);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, HBW_US_PER_S),
                     HBW_QUARANTINE_STATUS_SUSPECT);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* Servers break one response after another, so that more requests become suspects
   than the table holds. */
START_TEST (storm_of_failures_evicts_no_verdict)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  add_failure (quarantine, &poison, 7, 0);
  add_failure (quarantine, &poison, 8, 1);
  gint64 now_us = HBW_QUARANTINE_GATHER_WINDOW_US + 1;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  add_failure (quarantine, &other_suspect, 9, now_us);
  add_failure (quarantine, &innocent, 9, now_us);
  add_failure (quarantine, &other_suspect, 10, now_us + 1);
  add_failure (quarantine, &innocent, 10, now_us + 1);
  for (guint i = 0; i < 2 * HBW_QUARANTINE_ENTRIES_MAX; i++)
    {
      const HbwFingerprint other = { 100, i };
      add_failure (quarantine, &other, 100 + i % 90, ++now_us);
    }
  ck_assert_uint_eq (hbw_quarantine_size (quarantine), HBW_QUARANTINE_ENTRIES_MAX);
  ck_assert_uint_eq (hbw_quarantine_evicted_count (quarantine),
                     HBW_QUARANTINE_ENTRIES_MAX + 3);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &other_suspect, 1, now_us),
                     HBW_QUARANTINE_STATUS_HELD);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* A harmless request is beside the harmful one at both crashes, and a working server
   breaks off a response of it and of another request. */
START_TEST (responses_that_break_off_twice_explain_no_crash)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  add_failure (quarantine, &innocent, 7, 0);
  add_failure (quarantine, &poison, 7, 0);
  add_broken_response (quarantine, &innocent, 8, HBW_US_PER_S);
  add_broken_response (quarantine, &other_suspect, 8, HBW_US_PER_S * 3 / 2);
  hbw_quarantine_clear (quarantine, &other_suspect, 2 * HBW_US_PER_S);
  add_failure (quarantine, &innocent, 9, 3 * HBW_US_PER_S);
  add_failure (quarantine, &poison, 9, 3 * HBW_US_PER_S);
  HbwQuarantineStatus status
      = hbw_quarantine_check (quarantine, &poison, 1, 4 * HBW_US_PER_S);
  ck_assert_int_ge (status, HBW_QUARANTINE_STATUS_HELD);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

/* A server that works breaks the responses to one request, and that one is in
   progress on another server that crashes. */
START_TEST (broken_response_of_working_server_explains_no_crash)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 now_us = HBW_US_PER_S;
  add_broken_response (quarantine, &innocent, 6, now_us);
  now_us += HBW_US_PER_S;
  add_failure (quarantine, &innocent, 7, now_us);
  add_failure (quarantine, &poison, 7, now_us);
  add_failure (quarantine, &other_suspect, 8, now_us + 1);
  add_failure (quarantine, &poison, 8, now_us + 1);
  now_us += HBW_QUARANTINE_GATHER_WINDOW_US + 1;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, now_us),
                     HBW_QUARANTINE_STATUS_HELD);
  hbw_quarantine_handle_response (quarantine, 6, 1, now_us);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, now_us),
                     HBW_QUARANTINE_STATUS_SUSPECT);
  ck_assert_uint_eq (
      hbw_quarantine_count_unexplained (quarantine, &innocent, now_us), 1);
  hbw_quarantine_clear (quarantine, &innocent, now_us);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &poison, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (response_on_older_connection_withdraws_verdict)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  HbwQuarantine *other = hbw_quarantine_create (2);
  HbwSuspicionReport report;
  const gint64 broken_us = HBW_US_PER_S;
  add_broken_response (quarantine, &innocent, 6, broken_us);
  add_broken_response (quarantine, &innocent, 7, broken_us);
  gint64 now_us = broken_us + HBW_QUARANTINE_CONFIRM_WINDOW_US;
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert (hbw_quarantine_take_report (quarantine, 1, &report, now_us));
  ck_assert_uint_eq (report.verdict, HBW_VERDICT_UNDECIDED);
  hbw_quarantine_merge (other, 1, &report, now_us);
  ck_assert_uint_eq (hbw_quarantine_check (other, &innocent, 2, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  /* A connection that was opened afterwards proves nothing. */
  hbw_quarantine_handle_response (quarantine, 7, broken_us + 1, now_us);
  ck_assert_uint_eq (hbw_quarantine_check (quarantine, &innocent, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  hbw_quarantine_handle_response (quarantine, 7, 1, now_us);
  ck_assert_uint_ne (hbw_quarantine_check (quarantine, &innocent, 1, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  ck_assert (hbw_quarantine_take_report (quarantine, 1, &report, now_us));
  hbw_quarantine_merge (other, 1, &report, now_us);
  ck_assert_uint_ne (hbw_quarantine_check (other, &innocent, 2, now_us),
                     HBW_QUARANTINE_STATUS_QUARANTINED);
  hbw_quarantine_destroy (quarantine);
  hbw_quarantine_destroy (other);
}
END_TEST

/* Each response that breaks makes the control thread compare suspects. */
START_TEST (storm_of_failures_keeps_control_thread_free)
{
  HbwQuarantine *quarantine = hbw_quarantine_create (1);
  gint64 started_us = thread_time_us ();
  for (guint i = 0; i < STORM_FAILURES; i++)
    {
      const HbwFingerprint request = { 100, i / 2 };
      add_failure (quarantine, &request, i % 2, i);
    }
  ck_assert_int_lt (thread_time_us () - started_us, HBW_PAUSE_THRESHOLD_US);
  hbw_quarantine_destroy (quarantine);
}
END_TEST

START_TEST (failed_server_gets_one_half_open_probe)
{
  const HbwServerEntry entry = { .id = "s", .slots = 4, .start_number = 1 };
  const HbwRequestSpec spec = { .idempotent = TRUE };
  HbwServer *server = hbw_server_create (&entry);
  hbw_server_begin_request (server, &spec);
  const HbwAttemptResult broken = { .outcome = HBW_OUTCOME_BROKEN };
  hbw_server_end_request (server, &broken, 0, 0);
  ck_assert (!hbw_server_has_room (server, &spec, FALSE, 1));
  gint64 probe_us = server->probe_at_us;
  ck_assert (hbw_server_has_room (server, &spec, FALSE, probe_us));
  hbw_server_begin_request (server, &spec);
  ck_assert (!hbw_server_has_room (server, &spec, FALSE, probe_us));
  const HbwAttemptResult complete = { .outcome = HBW_OUTCOME_COMPLETE };
  hbw_server_end_request (server, &complete, 0, probe_us);
  ck_assert (hbw_server_has_room (server, &spec, FALSE, probe_us));
  hbw_server_destroy (server);
}
END_TEST

/* A request that was in progress when a server failed would fail a second one that
   has not recovered, and look like the cause. */
START_TEST (suspect_probes_failed_server_later_than_others)
{
  const HbwServerEntry entry = { .id = "s", .slots = 4, .start_number = 1 };
  const HbwRequestSpec spec = { .idempotent = TRUE };
  const HbwRequestSpec suspect = { .idempotent = TRUE, .server_failures = 1 };
  HbwServer *server = hbw_server_create (&entry);
  hbw_server_begin_request (server, &spec);
  const HbwAttemptResult broken = { .outcome = HBW_OUTCOME_BROKEN };
  hbw_server_end_request (server, &broken, 0, 0);
  gint64 probe_us = server->probe_at_us;
  ck_assert (hbw_server_has_room (server, &spec, FALSE, probe_us));
  ck_assert (!hbw_server_has_room (server, &suspect, FALSE, probe_us));
  ck_assert (hbw_server_has_room (server, &suspect, FALSE, probe_us + HBW_US_PER_S));
  hbw_server_destroy (server);
}
END_TEST

START_TEST (shards_are_bounded_and_cover_all_servers)
{
  GPtrArray *servers = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < 180; i++)
    {
      HbwServerEntry *entry = g_new0 (HbwServerEntry, 1);
      g_snprintf (entry->id, sizeof entry->id, "s%u", i);
      g_strlcpy (entry->pool, "m", sizeof entry->pool);
      g_strlcpy (entry->data_centre, "a", sizeof entry->data_centre);
      g_ptr_array_add (servers, entry);
    }
  HbwTopology *topology = hbw_topology_create (servers, NULL);
  guint count = hbw_topology_shard_count (topology, "m", "a");
  guint sum = 0;
  for (guint i = 0; i < count; i++)
    {
      HbwShardKey key = { .pool = "m", .data_centre = "a", .index = i };
      const GPtrArray *shard = hbw_topology_shard_servers (topology, &key);
      ck_assert_uint_le (shard->len, HBW_SHARD_SERVERS_MAX);
      sum += shard->len;
    }
  ck_assert_uint_eq (sum, 180);
  hbw_topology_destroy (topology);
}
END_TEST

static void
copy_message (const HbwMessage *message, void *data)
{
  hbw_message_copy (data, message);
}

static HbwMessage
make_message (HbwMessageKind kind)
{
  HbwMessage message = { .kind = kind };
  if (kind <= HBW_MESSAGE_PROBE_FOR)
    {
      message.ping.probe_number = 3;
      message.ping.member_count = 1;
      message.ping.members[0].identity = 9;
      g_strlcpy (message.ping.members[0].name, "i1", HBW_NAME_MAX);
      message.ping.summary_count = 1;
      message.ping.summaries[0].free_slots = 4;
      message.ping.versions[0] = -1;
      message.ping.suspects_digest = 6;
      message.ping.store_era = 8;
      message.ping.store_era_age_us = 12;
    }
  else if (kind == HBW_MESSAGE_WANT)
    message.want = make_grant_request (7, "o", 2, -5);
  else if (kind == HBW_MESSAGE_SUSPECT)
    message.suspect = (HbwSuspicionReport){ .fingerprint = poison,
                                            .remaining_us = 5,
                                            .verdict = HBW_VERDICT_CAUSE,
                                            .is_stored = TRUE,
                                            .activity = HBW_SUSPECT_RUNNING,
                                            .running_server_hash = 9,
                                            .completed_ago_us = -1,
                                            .failure_count = 2,
                                            .failures = { { 1, 2, 4, 3, 0, 1 },
                                                          { 5, 6, 8, 7 } } };
  else if (kind == HBW_MESSAGE_SERVER_NOTICE)
    message.notice = (HbwServerNoticeReport){ .server = "s1",
                                              .start_number = 5,
                                              .has_limit = TRUE,
                                              .limit = 1.3,
                                              .limit_age_us = 7,
                                              .is_leaving = TRUE,
                                              .permits_wanted = 2,
                                              .permits_given = 3 };
  else if (kind == HBW_MESSAGE_DOCUMENT || kind == HBW_MESSAGE_DOCUMENT_ASK)
    message.document.body = g_bytes_new ("{}", 2);
  return message;
}

START_TEST (codec_round_trips_every_message_kind)
{
  for (guint kind = 0; kind < HBW_MESSAGE_COUNT; kind++)
    {
      HbwMessage sent = make_message ((HbwMessageKind) kind);
      HbwMessage received = { .kind = HBW_MESSAGE_COUNT };
      HbwError error;
      HbwFrame *frame = hbw_frame_create (77);
      hbw_frame_add (frame, &sent);
      GBytes *bytes = hbw_frame_encode (frame);
      gsize size;
      const void *data = g_bytes_get_data (bytes, &size);
      ck_assert_msg (hbw_frame_parse (data, size, copy_message, &received, &error),
                     "%s", hbw_message_kind_name ((HbwMessageKind) kind));
      ck_assert_uint_eq (received.kind, kind);
      ck_assert_uint_eq (received.from, 77);
      if (kind == HBW_MESSAGE_WANT)
        ck_assert_int_eq (memcmp (&received.want, &sent.want, sizeof sent.want), 0);
      if (kind == HBW_MESSAGE_PING)
        ck_assert_int_eq (memcmp (&received.ping, &sent.ping, sizeof sent.ping), 0);
      if (kind == HBW_MESSAGE_SUSPECT)
        ck_assert_int_eq (
            memcmp (&received.suspect, &sent.suspect, sizeof sent.suspect), 0);
      if (kind == HBW_MESSAGE_SERVER_NOTICE)
        ck_assert_int_eq (
            memcmp (&received.notice, &sent.notice, sizeof sent.notice), 0);
      hbw_message_clear (&received);
      if (kind == HBW_MESSAGE_DOCUMENT_ASK)
        g_bytes_unref (sent.document.body);
      hbw_message_clear (&sent);
      g_bytes_unref (bytes);
      hbw_frame_destroy (frame);
    }
}
END_TEST

static void
count_permits (guint64 instance, guint count, void *data)
{
  guint *given = data;
  given[instance] += count;
}

START_TEST (permits_are_given_in_turn_at_the_rate)
{
  guint given[3] = { 0 };
  gint64 now_us = HBW_US_PER_S;
  HbwPermitBucket *bucket = hbw_permit_bucket_create (now_us);
  for (guint i = 0; i < 100; i++)
    {
      hbw_permit_bucket_ask (bucket, 0, 50, now_us);
      if (i % 10 == 0)
        hbw_permit_bucket_ask (bucket, 1, 1, now_us);
      hbw_permit_bucket_run (bucket, 4.0, now_us, count_permits, given);
      now_us += HBW_US_PER_S / 10;
    }
  ck_assert_uint_ge (given[0] + given[1], 40);
  ck_assert_uint_le (given[0] + given[1], 41);
  ck_assert_uint_ge (given[1], 4);
  ck_assert_uint_eq (given[2], 0);
  hbw_permit_bucket_destroy (bucket);
}
END_TEST

/* Earlier versions report one failure of a suspect at a time, without an id. */
START_TEST (codec_reads_suspect_of_earlier_version)
{
  const guint8 frame[] = { 0x93, HBW_CODEC_VERSION,
                           77,   0x91, /* one message */
                           0x97, HBW_MESSAGE_SUSPECT,
                           1,    1, /* fingerprint */
                           0,    1,
                           5,    9 }; /* failure of 9 */
  HbwMessage received = { .kind = HBW_MESSAGE_COUNT };
  HbwError error;
  ck_assert_msg (
      hbw_frame_parse (frame, sizeof frame, copy_message, &received, &error), "%s",
      error.message);
  ck_assert (hbw_fingerprint_equal (&received.suspect.fingerprint, &poison));
  ck_assert_int_eq (received.suspect.remaining_us, 5);
  ck_assert_int_eq (received.suspect.completed_ago_us, -1);
  ck_assert_uint_eq (received.suspect.failure_count, 1);
  ck_assert_uint_eq (received.suspect.failures[0].server_hash, 9);
  ck_assert_uint_ne (received.suspect.failures[0].id, 0);
}
END_TEST

/* Packs SENT and fills RECEIVED from the frame. */
static void
send_message (const HbwMessage *sent, HbwMessage *received)
{
  gsize size;
  HbwError error;
  HbwFrame *frame = hbw_frame_create (77);
  hbw_frame_add (frame, sent);
  GBytes *bytes = hbw_frame_encode (frame);
  const void *data = g_bytes_get_data (bytes, &size);
  received->kind = HBW_MESSAGE_COUNT;
  ck_assert_msg (hbw_frame_parse (data, size, copy_message, received, &error), "%s",
                 error.message);
  ck_assert_uint_eq (received->kind, sent->kind);
  g_bytes_unref (bytes);
  hbw_frame_destroy (frame);
}

/* Callers name the length of their prompts, and instances that have not heard of
   each other's may put several long ones on one server: a relay sends their sum.  A
   receiver rejects a number that is too large. */
START_TEST (codec_packs_sums_of_any_size)
{
  HbwMessage received;
  HbwMessage loads = { .kind = HBW_MESSAGE_LOADS, .loads = { .load_count = 1 } };
  loads.loads.loads[0].load = (HbwServerWork){ G_MAXUINT, G_MAXUINT, G_MAXUINT };
  send_message (&loads, &received);
  ck_assert_uint_eq (received.loads.load_count, 1);
  const HbwServerWork *load = &received.loads.loads[0].load;
  ck_assert_uint_eq (load->in_progress, G_MAXUINT16);
  ck_assert_uint_eq (load->unread_tokens, G_MAXINT32);
  ck_assert_uint_eq (load->waiting, G_MAXUINT16);
  HbwMessage ping = make_message (HBW_MESSAGE_PING);
  ping.ping.summaries[0].free_slots = G_MAXUINT;
  send_message (&ping, &received);
  ck_assert_uint_eq (received.ping.summaries[0].free_slots, G_MAXUINT16);
}
END_TEST

static void
count_message (const HbwMessage *message G_GNUC_UNUSED, void *data)
{
  (*(guint *) data)++;
}

/* The second message lacks a field, and the third is no array. */
START_TEST (codec_reads_messages_around_invalid_ones)
{
  static const guint8 opening[] = { 0x93, HBW_CODEC_VERSION, 77, 0x94 };
  static const guint8 messages[] = { 0x94, HBW_MESSAGE_STREAM_VERSION, 1, 2, 3,
                                     0x93, HBW_MESSAGE_STREAM_VERSION, 1, 2, 7,
                                     0x94, HBW_MESSAGE_STREAM_VERSION, 4, 5, 6 };
  guint8 frame[sizeof opening + sizeof messages];
  memcpy (frame, opening, sizeof opening);
  memcpy (frame + sizeof opening, messages, sizeof messages);
  guint count = 0;
  HbwError error = { HBW_ERROR_NONE, "" };
  ck_assert (!hbw_frame_parse (frame, sizeof frame, count_message, &count, &error));
  ck_assert_int_eq (error.kind, HBW_ERROR_MESSAGE);
  ck_assert_uint_eq (count, 2);
}
END_TEST

static void
ignore_message (const HbwMessage *message G_GNUC_UNUSED, void *data G_GNUC_UNUSED)
{
}

START_TEST (codec_survives_damaged_frames)
{
  GRand *random = g_rand_new_with_seed (42);
  HbwFrame *frame = hbw_frame_create (77);
  for (guint kind = 0; kind <= HBW_MESSAGE_DONE; kind++)
    {
      HbwMessage message = make_message ((HbwMessageKind) kind);
      hbw_frame_add (frame, &message);
    }
  GBytes *bytes = hbw_frame_encode (frame);
  gsize size;
  const guint8 *data = g_bytes_get_data (bytes, &size);
  guint rejected = 0;
  for (guint i = 0; i < 20000; i++)
    {
      HbwError error;
      guint8 *copy = g_memdup2 (data, size);
      gsize length = (gsize) g_rand_int_range (random, 0, (gint32) size + 1);
      for (guint k = 0; k < 3; k++)
        copy[g_rand_int_range (random, 0, (gint32) size)]
            = (guint8) g_rand_int_range (random, 0, 256);
      if (!hbw_frame_parse (copy, length, ignore_message, NULL, &error))
        rejected++;
      g_free (copy);
    }
  ck_assert_uint_gt (rejected, 10000);
  g_bytes_unref (bytes);
  hbw_frame_destroy (frame);
  g_rand_free (random);
}
END_TEST

/* The clock of a paused holder does not advance. Its lease expires by its own clock,
   and another instance waits longer than that before it acquires the lease. */
START_TEST (lease_never_has_two_holders)
{
  HbwLease *lease_a = hbw_lease_create (1);
  HbwLease *lease_b = hbw_lease_create (2);
  HbwLeaseRecord record = { 0, 0, 0, 0 };
  HbwLeaseRecord next;
  hbw_lease_observe (lease_a, &record, 0);
  ck_assert (hbw_lease_wants_write (lease_a, 0, &next));
  next.version = 1;
  hbw_lease_handle_written (lease_a, &next, 0);
  hbw_lease_observe (lease_b, &next, 100);
  for (gint64 now = 100; now < 3 * HBW_LEASE_DURATION_US; now += HBW_US_PER_MS)
    {
      HbwLeaseRecord acquired;
      gboolean b_may_acquire = hbw_lease_wants_write (lease_b, now, &acquired);
      ck_assert (!(b_may_acquire && hbw_lease_fencing_number (lease_a, now) > 0));
      if (!b_may_acquire)
        continue;
      ck_assert_uint_eq (acquired.fencing_number, 2);
      hbw_lease_destroy (lease_a);
      hbw_lease_destroy (lease_b);
      return;
    }
  ck_abort_msg ("the second instance never acquired the lease");
}
END_TEST

/* Another writer may replace the lease while it is held. */
START_TEST (unreadable_lease_counts_as_held)
{
  static const char *const odd[] = { "",
                                     "[]",
                                     "{}",
                                     "{\"holder\":\"1\",\"number\":1e999}",
                                     "{\"holder\":\"1\",\"number\":-1}",
                                     "{\"holder\":7,\"number\":7}" };
  for (gsize i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      HbwLease *lease = hbw_lease_create (2);
      HbwLeaseRecord record = { .version = 1, .holder = 1, .fencing_number = 7 };
      HbwLeaseRecord next;
      hbw_lease_observe (lease, &record, 0);
      hbw_lease_record_parse (&record, odd[i], strlen (odd[i]));
      record.version = 2;
      hbw_lease_observe (lease, &record, 100);
      ck_assert_msg (!hbw_lease_wants_write (lease, 100, &next), "%s", odd[i]);
      gint64 end_us = 101 + HBW_LEASE_DURATION_US + HBW_LEASE_MARGIN_US;
      ck_assert (hbw_lease_wants_write (lease, end_us, &next));
      ck_assert_uint_eq (next.fencing_number, 8);
      hbw_lease_destroy (lease);
    }
}
END_TEST

/* The store loses the lease while it is held; the holder reads it again only when it
   has to renew it. */
START_TEST (lease_lost_by_restore_has_no_second_holder)
{
  HbwLease *holder = hbw_lease_create (1);
  HbwLease *other = hbw_lease_create (2);
  HbwLeaseRecord record = { 0, 0, 0, 0 };
  HbwLeaseRecord held;
  HbwLeaseRecord acquired;
  hbw_lease_observe (holder, &record, 0);
  ck_assert (hbw_lease_wants_write (holder, 0, &held));
  held.version = 1;
  hbw_lease_handle_written (holder, &held, 0);
  record.era = 1;
  hbw_lease_observe (other, &record, 100);
  gint64 now = 100;
  while (!hbw_lease_wants_write (other, now, &acquired))
    {
      now += HBW_US_PER_MS;
      ck_assert_int_lt (now, 3 * HBW_LEASE_DURATION_US);
    }
  ck_assert_uint_eq (hbw_lease_fencing_number (holder, now), 0);
  ck_assert_uint_gt (acquired.fencing_number, held.fencing_number);
  /* A copy that names the holder does not give it the lease back. */
  held.era = 1;
  hbw_lease_observe (holder, &held, 200);
  ck_assert_uint_eq (hbw_lease_fencing_number (holder, 200), 0);
  ck_assert (!hbw_lease_wants_write (holder, 200, &acquired));
  hbw_lease_destroy (holder);
  hbw_lease_destroy (other);
}
END_TEST

/* The limits of the deployment kerlann-ring-grown of the users' test bench are not
   whole numbers. */
START_TEST (settings_accept_fractions)
{
  static const char text[]
      = "{\"name\":\"i\",\"data_centre\":\"a\",\"caller_address\":\"127.0.0.1:0\","
        "\"admin_address\":\"127.0.0.1:0\",\"peer_address\":\"127.0.0.1:0\","
        "\"platform_address\":\"127.0.0.1:1\",\"retry_extra\":36.949,"
        "\"revocation_ms\":4999.5,\"stop_grace_s\":7.25,\"retry_ratio\":0.2}";
  HbwError error = { HBW_ERROR_NONE, "" };
  HbwSettings *settings = hbw_settings_parse (text, strlen (text), &error);
  ck_assert_msg (settings != NULL, "%s", error.message);
  ck_assert_uint_eq (settings->retry_limits.extra, 36);
  ck_assert_uint_eq (settings->retry_limits.percent, 20);
  ck_assert_int_eq (settings->max_revocation_delay_us, 4999500);
  ck_assert_int_eq (settings->stop_grace_us, 7250000);
  hbw_settings_destroy (settings);
}
END_TEST

START_TEST (settings_report_every_error)
{
  static const char text[]
      = "{\"name\":\"\",\"data_centre\":\"a\",\"caller_address\":\"nowhere\","
        "\"admin_address\":\"127.0.0.1:1\",\"peer_address\":\"127.0.0.1:2\","
        "\"platform_address\":\"127.0.0.1:3\",\"admin_token_sha256\":\"x\","
        "\"body_max\":5,\"colour\":\"red\"}";
  HbwError error;
  ck_assert (hbw_settings_parse (text, strlen (text), &error) == NULL);
  static const char *const expected_parts[]
      = { "/name:", "/caller_address: found \"nowhere\"",
          "/admin_token_sha256:", "/body_max: found 5", "/colour:" };
  for (gsize i = 0; i < G_N_ELEMENTS (expected_parts); i++)
    ck_assert_msg (strstr (error.message, expected_parts[i]) != NULL, "%s in %s",
                   expected_parts[i], error.message);
}
END_TEST

START_TEST (catalogue_reports_every_error)
{
  static const char text[]
      = "{\"classes\":{\"c\":{\"tier\":7,\"first_token_ms\":1,\"inter_token_ms\":1}}"
        ","
        "\"pools\":{\"p\":{\"kind\":\"other\"}},"
        "\"organisations\":{\"o\":{\"keys\":[\"k\"],\"classes\":[\"d\"]}}}";
  HbwError error;
  ck_assert (hbw_catalogue_parse (text, strlen (text), 1, &error) == NULL);
  static const char *const expected_parts[]
      = { "/classes/c/tier: found 7", "/pools/p/kind: found \"other\"",
          "/organisations/o/keys/0", "/organisations/o/classes/0: found \"d\"" };
  for (gsize i = 0; i < G_N_ELEMENTS (expected_parts); i++)
    ck_assert_msg (strstr (error.message, expected_parts[i]) != NULL, "%s in %s",
                   expected_parts[i], error.message);
}
END_TEST

START_TEST (every_log_event_is_documented)
{
  char *document;
  ck_assert (g_file_get_contents (DOCS_DIR "/EVENTS.md", &document, NULL, NULL));
  gsize count;
  const HbwLogEventInfo *entries = hbw_log_event_list (&count);
  guint table_lines = 0;
  for (char *row_start = strstr (document, "\n| "); row_start != NULL;
       row_start = strstr (row_start + 1, "\n| "))
    table_lines++;
  ck_assert_uint_eq (table_lines, count + 2);
  for (gsize i = 0; i < count; i++)
    {
      char *row = g_strdup_printf ("| %d | %s | ", (int) entries[i].number,
                                   entries[i].name);
      ck_assert_msg (strstr (document, row) != NULL, "%s", row);
      g_free (row);
    }
  g_free (document);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core");
  TCase *cases = tcase_create ("core");
  tcase_set_timeout (cases, 0);
  tcase_add_test (cases, manual_clock_changes_only_when_advanced);
  tcase_add_test (cases, histogram_quantile_error_is_below_one_eighth);
  tcase_add_test (cases, queue_serves_late_requests_last);
  tcase_add_test (cases, queue_serves_requests_of_a_tier_by_the_tier_of_their_class);
  tcase_add_test (cases, last_class_of_a_tier_is_not_starved);
  tcase_add_test (cases, queue_shares_service_between_organisations);
  tcase_add_test (cases, higher_tier_is_granted_before_longer_waiting_requests);
  tcase_add_test (cases, limit_is_divided_by_demand);
  tcase_add_test (cases, older_or_rejected_version_is_not_newer);
  tcase_add_test (cases, delta_reproduces_the_newer_document);
  tcase_add_test (cases, quarantine_of_poison_request_clears_innocent_one);
  tcase_add_test (cases,
                  innocent_request_beside_two_poison_ones_is_held_not_refused);
  tcase_add_test (cases, verdict_waits_for_other_suspects_of_the_failure);
  tcase_add_test (cases, neither_of_two_requests_with_same_evidence_runs);
  tcase_add_test (cases, copies_on_one_server_count_as_one_failure);
  tcase_add_test (cases, storm_of_failures_evicts_no_verdict);
  tcase_add_test (cases, responses_that_break_off_twice_explain_no_crash);
  tcase_add_test (cases, broken_response_of_working_server_explains_no_crash);
  tcase_add_test (cases, response_on_older_connection_withdraws_verdict);
  tcase_add_test (cases, storm_of_failures_keeps_control_thread_free);
  tcase_add_test (cases, failed_server_gets_one_half_open_probe);
  tcase_add_test (cases, suspect_probes_failed_server_later_than_others);
  tcase_add_test (cases, shards_are_bounded_and_cover_all_servers);
  tcase_add_test (cases, permits_are_given_in_turn_at_the_rate);
  tcase_add_test (cases, codec_round_trips_every_message_kind);
  tcase_add_test (cases, codec_reads_suspect_of_earlier_version);
  tcase_add_test (cases, codec_packs_sums_of_any_size);
  tcase_add_test (cases, codec_reads_messages_around_invalid_ones);
  tcase_add_test (cases, codec_survives_damaged_frames);
  tcase_add_test (cases, lease_never_has_two_holders);
  tcase_add_test (cases, unreadable_lease_counts_as_held);
  tcase_add_test (cases, lease_lost_by_restore_has_no_second_holder);
  tcase_add_test (cases, settings_accept_fractions);
  tcase_add_test (cases, settings_report_every_error);
  tcase_add_test (cases, catalogue_reports_every_error);
  tcase_add_test (cases, every_log_event_is_documented);
  suite_add_tcase (suite, cases);
  return suite_run (suite);
}
