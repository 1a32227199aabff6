/*
 * Tests of the cache of the objects in the platform's store: which are kept after an
 * outage of the store, and for how long.
 */
#include "suite.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/runtime/object_cache.h"

/* Shortest outage in which entries may lapse. */
#define OUTAGE_MIN_US (1500 * HBW_US_PER_MS)

static void
apply_change (HbwObjectCache *cache, const char *name, gint64 revision,
              const char *value)
{
  HbwObjectChange change = { g_strdup (name), revision, NULL };
  if (value != NULL)
    change.value = json_loads (value, JSON_DECODE_ANY, NULL);
  hbw_object_cache_apply (cache, &change);
}

static void
count_entry (const HbwCachedObject *listed G_GNUC_UNUSED, void *data)
{
  (*(guint *) data)++;
}

static guint
count_entries (HbwObjectCache *cache)
{
  guint size = 0;
  hbw_object_cache_foreach (cache, count_entry, &size);
  return size;
}

static void
apply_list (HbwObjectCache *cache, gint64 now_us, const char *first,
            const char *second)
{
  hbw_object_cache_record_store_response (cache, now_us, now_us);
  hbw_object_cache_begin_list (cache);
  if (first != NULL)
    apply_change (cache, first, 1, "1");
  if (second != NULL)
    apply_change (cache, second, 1, "1");
  hbw_object_cache_end_list (cache);
  hbw_object_cache_expire (cache, now_us);
}

START_TEST (older_revisions_are_ignored)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_change (cache, "a", 5, "{\"x\":5}");
  ck_assert (hbw_object_cache_test_and_clear_changed (cache));
  apply_change (cache, "a", 4, "{\"x\":4}");
  apply_change (cache, "a", 4, NULL);
  ck_assert (!hbw_object_cache_test_and_clear_changed (cache));
  ck_assert_uint_eq (count_entries (cache), 1);
  apply_change (cache, "a", 6, NULL);
  ck_assert (hbw_object_cache_test_and_clear_changed (cache));
  ck_assert_uint_eq (count_entries (cache), 0);
  hbw_object_cache_destroy (cache);
}
END_TEST

START_TEST (entry_missing_after_an_outage_is_kept_only_for_grace_period)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  ck_assert_uint_eq (count_entries (cache), 2);
  apply_list (cache, 2 * HBW_US_PER_S, "a", NULL);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_record_store_failure (cache);
  gint64 store_back_us = 9 * HBW_US_PER_S;
  apply_list (cache, store_back_us, NULL, NULL);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_expire (cache, store_back_us + HBW_OBJECT_CACHE_GRACE_US - 1);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_expire (cache, store_back_us + HBW_OBJECT_CACHE_GRACE_US);
  ck_assert_uint_eq (count_entries (cache), 0);
  hbw_object_cache_destroy (cache);
}
END_TEST

/* The response may show the store as it was when the call was sent. */
START_TEST (list_called_for_in_the_grace_period_removes_nothing)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  hbw_object_cache_record_store_failure (cache);
  gint64 store_back_us = 9 * HBW_US_PER_S;
  gint64 grace_end_us = store_back_us + HBW_OBJECT_CACHE_GRACE_US;
  apply_list (cache, store_back_us, "a", "b");
  hbw_object_cache_record_store_response (cache, grace_end_us - 1,
                                          grace_end_us + HBW_US_PER_S);
  hbw_object_cache_begin_list (cache);
  apply_change (cache, "a", 1, "1");
  hbw_object_cache_end_list (cache);
  hbw_object_cache_expire (cache, grace_end_us - 1);
  ck_assert_uint_eq (count_entries (cache), 2);
  hbw_object_cache_expire (cache, grace_end_us);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_destroy (cache);
}
END_TEST

START_TEST (reported_removal_takes_effect_without_grace_period)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  gint64 start_us = HBW_US_PER_S;
  apply_list (cache, start_us, "a", "b");
  hbw_object_cache_record_store_failure (cache);
  gint64 store_back_us = 9 * HBW_US_PER_S;
  apply_list (cache, store_back_us, "a", NULL);
  ck_assert_uint_eq (count_entries (cache), 2);
  apply_change (cache, "a", 2, NULL);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_destroy (cache);
}
END_TEST

START_TEST (version_increases_when_kept_entry_expires)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  hbw_object_cache_record_store_failure (cache);
  gint64 store_back_us = 9 * HBW_US_PER_S;
  apply_list (cache, store_back_us, "a", NULL);
  gint64 kept_version = hbw_object_cache_document_version (cache, 1, 7);
  ck_assert_int_eq (hbw_object_cache_next_expiry (cache),
                    store_back_us + HBW_OBJECT_CACHE_GRACE_US);
  hbw_object_cache_expire (cache, store_back_us + HBW_OBJECT_CACHE_GRACE_US);
  gint64 clean_version = hbw_object_cache_document_version (cache, 1, 7);
  ck_assert_int_gt (clean_version, kept_version);
  ck_assert_int_gt (hbw_object_cache_document_version (cache, 1, 8), clean_version);
  ck_assert_int_gt (hbw_object_cache_document_version (cache, 2, 1), clean_version);
  ck_assert_int_eq (hbw_object_cache_next_expiry (cache), G_MAXINT64);
  hbw_object_cache_destroy (cache);
}
END_TEST

/* A new cache does not know which objects are missing because of the outage. Its
   document must not supersede that of a cache which keeps them for the grace
   period. */
START_TEST (new_cache_has_no_higher_version)
{
  HbwObjectCache *new_cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  HbwObjectCache *old_cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (old_cache, HBW_US_PER_S, "a", "b");
  hbw_object_cache_record_store_failure (old_cache);
  apply_list (old_cache, 9 * HBW_US_PER_S, "a", NULL);
  apply_list (new_cache, 9 * HBW_US_PER_S, "a", NULL);
  ck_assert_int_le (hbw_object_cache_document_version (new_cache, 1, 7),
                    hbw_object_cache_document_version (old_cache, 1, 7));
  hbw_object_cache_destroy (old_cache);
  hbw_object_cache_destroy (new_cache);
}
END_TEST

/* One call that fails tells nothing of the store, and entries do not lapse while it
   responds to others. */
START_TEST (failed_call_between_two_responses_is_no_outage)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  gint64 response_us = HBW_US_PER_S + OUTAGE_MIN_US - 1;
  hbw_object_cache_record_store_failure (cache);
  ck_assert (!hbw_object_cache_may_have_lapsed (cache, response_us));
  ck_assert (hbw_object_cache_may_have_lapsed (cache, response_us + 1));
  apply_list (cache, response_us, "a", NULL);
  ck_assert_uint_eq (count_entries (cache), 1);
  ck_assert_uint_eq (hbw_object_cache_outage_count (cache), 0);
  hbw_object_cache_destroy (cache);
}
END_TEST

/* Calls that fail within a grace period began it anew each time. */
START_TEST (failures_do_not_extend_the_grace_period)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  gint64 return_us = 9 * HBW_US_PER_S;
  gint64 step_us = HBW_OBJECT_CACHE_GRACE_US / 4;
  for (gint64 passed_us = 0; passed_us <= HBW_OBJECT_CACHE_GRACE_US;
       passed_us += step_us)
    {
      hbw_object_cache_record_store_failure (cache);
      apply_list (cache, return_us + passed_us, "a", NULL);
      ck_assert_uint_eq (hbw_object_cache_missing_count (cache),
                         passed_us < HBW_OBJECT_CACHE_GRACE_US ? 1 : 0);
    }
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_destroy (cache);
}
END_TEST

/* A second outage leaves a server no time to write its entry again after the first
   one. */
START_TEST (second_outage_begins_a_grace_period_of_its_own)
{
  HbwObjectCache *cache = hbw_object_cache_create ("servers", OUTAGE_MIN_US);
  apply_list (cache, HBW_US_PER_S, "a", "b");
  hbw_object_cache_record_store_failure (cache);
  apply_list (cache, 9 * HBW_US_PER_S, "a", NULL);
  hbw_object_cache_record_store_failure (cache);
  gint64 return_us = 9 * HBW_US_PER_S + HBW_OBJECT_CACHE_GRACE_US;
  apply_list (cache, return_us, "a", NULL);
  ck_assert_uint_eq (count_entries (cache), 2);
  hbw_object_cache_expire (cache, return_us + HBW_OBJECT_CACHE_GRACE_US);
  ck_assert_uint_eq (count_entries (cache), 1);
  hbw_object_cache_destroy (cache);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("object cache");
  TCase *tests = tcase_create ("object cache");
  tcase_add_test (tests, older_revisions_are_ignored);
  tcase_add_test (tests,
                  entry_missing_after_an_outage_is_kept_only_for_grace_period);
  tcase_add_test (tests, list_called_for_in_the_grace_period_removes_nothing);
  tcase_add_test (tests, reported_removal_takes_effect_without_grace_period);
  tcase_add_test (tests, version_increases_when_kept_entry_expires);
  tcase_add_test (tests, new_cache_has_no_higher_version);
  tcase_add_test (tests, failed_call_between_two_responses_is_no_outage);
  tcase_add_test (tests, failures_do_not_extend_the_grace_period);
  tcase_add_test (tests, second_outage_begins_a_grace_period_of_its_own);
  suite_add_tcase (suite, tests);
  return suite_run (suite);
}
