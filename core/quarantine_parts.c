#include "hornbeamwall/core/quarantine_state.h"

/* Failures of a request that are older are not charged to its parts: what was known
   of them since may be forgotten. */
#define CHARGE_AGE_MAX_US (10 * HBW_US_PER_S)

/* How long a request that is held waits for a verdict on a part of others. */
#define PART_TIMEOUT_US (5 * HBW_US_PER_S)

/* Parts whose clearing waits to be sent. */
#define UNSENT_CLEARINGS_MAX 256

/* Interval between two reports, and how often each part is in one. */
#define CLEARINGS_INTERVAL_US (50 * HBW_US_PER_MS)
#define CLEARING_TRANSMITS 2

/* --- charges ------------------------------------------------------------------- */

gboolean
hbw_part_ids_contain (const HbwPartIds *parts, guint64 id)
{
  for (guint i = 0; i < parts->count; i++)
    if (parts->ids[i] == id)
      return TRUE;
  return FALSE;
}

static HbwSuspect *
find_part (HbwQuarantine *quarantine, guint64 id, gint64 now_us)
{
  const HbwFingerprint fingerprint = { HBW_PART_FINGERPRINT_HIGH, id };
  return hbw_quarantine_find (quarantine, &fingerprint, now_us);
}

/* Has all instances told that requests with the part were answered. */
static void
schedule_clearing (HbwQuarantine *quarantine, const HbwSuspect *part)
{
  for (guint i = 0; i < quarantine->unsent_clearings->len; i++)
    {
      HbwUnsentClearing *clearing
          = &g_array_index (quarantine->unsent_clearings, HbwUnsentClearing, i);
      if (clearing->id == part->fingerprint.low)
        {
          clearing->transmits_left = CLEARING_TRANSMITS;
          return;
        }
    }
  const HbwUnsentClearing clearing = { part->fingerprint.low, CLEARING_TRANSMITS };
  if (quarantine->unsent_clearings->len < UNSENT_CLEARINGS_MAX)
    g_array_append_val (quarantine->unsent_clearings, clearing);
}

static void
mark_failures (HbwSuspect *suspect, gboolean has_part)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&suspect->records[i])
        && suspect->records[i].source != 0)
      suspect->records[i].failure->has_part = has_part;
}

void
hbw_quarantine_mark_part (HbwQuarantine *quarantine, const HbwSuspect *part)
{
  HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->by_age, link)
    if (hbw_part_ids_contain (&suspect->part_ids, part->fingerprint.low))
      mark_failures (suspect, hbw_suspect_is_quarantined (part));
}

gboolean
hbw_quarantine_may_blame_part (const HbwFailure *failure, const HbwSuspect *suspect,
                               gint64 now_us)
{
  const HbwFailureRecord *record;
  if (now_us - failure->latest_end_us >= PART_TIMEOUT_US)
    return FALSE;
  cds_list_for_each_entry (record, &failure->records, link)
    {
      const HbwSuspect *part = record->suspect;
      if (hbw_suspect_is_part (part)
          && hbw_suspect_count_failures (part) >= HBW_QUARANTINE_FAILURES_MIN
          && !hbw_part_ids_contain (&suspect->part_ids, part->fingerprint.low))
        return TRUE;
    }
  return FALSE;
}

static void
charge_part (HbwQuarantine *quarantine, const HbwSuspect *suspect, guint position,
             const HbwFailureRecord *record, gint64 now_us)
{
  HbwSuspect *part = hbw_quarantine_ensure_part (
      quarantine, suspect->part_ids.ids[position], now_us);
  if (part == NULL)
    return;
  /* Whoever reported the failure may not know of the answer. */
  if (part->completed_us > 0 && record->details.failed_us <= part->completed_us)
    schedule_clearing (quarantine, part);
  else if (hbw_suspect_charge_part (quarantine, part, position, record))
    {
      record->failure->has_part |= hbw_suspect_is_quarantined (part);
      part->failed_pool = suspect->pool_hash;
      part->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
    }
}

void
hbw_quarantine_charge_parts_of (HbwQuarantine *quarantine, HbwSuspect *suspect,
                                gint64 now_us)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      const HbwFailureRecord *record = &suspect->records[i];
      if (!hbw_failure_record_is_open (record) || record->source == 0
          || now_us - record->details.failed_us > CHARGE_AGE_MAX_US)
        continue;
      for (guint k = 0; k < suspect->part_ids.count; k++)
        charge_part (quarantine, suspect, k, record, now_us);
    }
}

void
hbw_quarantine_charge_parts (HbwQuarantine *quarantine,
                             const HbwFingerprint *fingerprint, guint64 failure,
                             const HbwPartIds *parts, guint64 pool_hash,
                             gint64 now_us)
{
  HbwSuspect *suspect = hbw_quarantine_find (quarantine, fingerprint, now_us);
  if (suspect == NULL || parts->count == 0)
    return;
  HbwFailureRecord *record = hbw_suspect_find_record (suspect, failure);
  if (record != NULL)
    record->source = fingerprint->low;
  suspect->part_ids = *parts;
  suspect->pool_hash = pool_hash;
  hbw_quarantine_charge_parts_of (quarantine, suspect, now_us);
  hbw_quarantine_evaluate_parts (quarantine, now_us);
}

/* --- clearing ------------------------------------------------------------------ */

void
hbw_quarantine_release_part (HbwQuarantine *quarantine, HbwSuspect *part,
                             gint64 now_us)
{
  hbw_suspect_change_verdict (quarantine, part, HBW_VERDICT_NONE);
  hbw_quarantine_mark_part (quarantine, part);
  hbw_quarantine_schedule_log (quarantine, part);
  hbw_quarantine_schedule_report (quarantine, part, HBW_SUSPECT_TRANSMITS, now_us);
}

static void
clear_part (HbwQuarantine *quarantine, HbwSuspect *part, gint64 completed_us,
            gint64 now_us)
{
  if (completed_us <= part->completed_us)
    return;
  if (hbw_suspect_is_quarantined (part))
    hbw_quarantine_release_part (quarantine, part, now_us);
  hbw_suspect_clear_failures (quarantine, part, completed_us, now_us);
}

void
hbw_quarantine_clear_parts (HbwQuarantine *quarantine, const HbwPartIds *parts,
                            guint64 pool_hash, gint64 started_us, gint64 now_us)
{
  HbwSuspect *part;
  cds_list_for_each_entry (part, &quarantine->held_parts, held_link)
    if (part->failed_pool == pool_hash
        && !hbw_part_ids_contain (parts, part->fingerprint.low))
      part->others_answered_us = now_us;
  for (guint i = 0; i < parts->count; i++)
    {
      part = find_part (quarantine, parts->ids[i], now_us);
      if (part == NULL)
        continue;
      gint64 last_failure_us = hbw_suspect_last_failure_us (part);
      if (hbw_suspect_is_quarantined (part) && started_us <= last_failure_us)
        continue;
      if (last_failure_us > 0)
        schedule_clearing (quarantine, part);
      clear_part (quarantine, part, now_us, now_us);
    }
}

void
hbw_quarantine_merge_clearing (HbwQuarantine *quarantine, HbwSuspect *part,
                               gint64 completed_us, gint64 now_us)
{
  if (!hbw_suspect_is_quarantined (part)
      || completed_us > hbw_suspect_last_failure_us (part))
    clear_part (quarantine, part, completed_us, now_us);
}

void
hbw_quarantine_merge_cleared_parts (HbwQuarantine *quarantine,
                                    const HbwClearedParts *cleared, gint64 now_us)
{
  for (guint i = 0; i < cleared->count; i++)
    {
      HbwSuspect *part = find_part (quarantine, cleared->parts[i].id, now_us);
      if (part != NULL)
        hbw_quarantine_merge_clearing (
            quarantine, part, now_us - cleared->parts[i].completed_ago_us, now_us);
    }
}

gboolean
hbw_quarantine_take_cleared_parts (HbwQuarantine *quarantine,
                                   HbwClearedParts *cleared, gint64 now_us)
{
  cleared->count = 0;
  if (now_us < quarantine->next_clearings_us)
    return FALSE;
  for (guint i = 0; i < quarantine->unsent_clearings->len
                    && cleared->count < HBW_CLEARED_PARTS_MAX;)
    {
      HbwUnsentClearing *clearing
          = &g_array_index (quarantine->unsent_clearings, HbwUnsentClearing, i);
      const HbwSuspect *part = find_part (quarantine, clearing->id, now_us);
      if (part != NULL)
        cleared->parts[cleared->count++]
            = (HbwClearedPart){ clearing->id, now_us - part->completed_us };
      if (part == NULL || --clearing->transmits_left == 0)
        g_array_remove_index (quarantine->unsent_clearings, i);
      else
        i++;
    }
  if (cleared->count > 0)
    quarantine->next_clearings_us = now_us + CLEARINGS_INTERVAL_US;
  return cleared->count > 0;
}

/* --- verdicts of other instances ------------------------------------------------
 */

static guint
count_after (const HbwSuspicionReport *report, gint64 completed_us, gint64 now_us)
{
  guint count = 0;
  for (guint i = 0; i < report->failure_count; i++)
    count += report->failures[i].source != 0
             && now_us - report->failures[i].failed_ago_us > completed_us;
  return count;
}

void
hbw_quarantine_merge_part (HbwQuarantine *quarantine, HbwSuspect *part,
                           const HbwSuspicionReport *report, gint64 now_us)
{
  guint count = count_after (report, part->completed_us, now_us);
  if (count < report->failure_count)
    schedule_clearing (quarantine, part);
  if (report->verdict == HBW_VERDICT_CAUSE && !hbw_suspect_is_quarantined (part)
      && count >= HBW_PART_FAILURES_MIN)
    hbw_quarantine_set_verdict (quarantine, part, HBW_VERDICT_CAUSE, now_us);
  else if (report->verdict == HBW_VERDICT_NONE && report->completed_ago_us >= 0
           && hbw_suspect_is_quarantined (part))
    hbw_quarantine_merge_clearing (quarantine, part,
                                   now_us - report->completed_ago_us, now_us);
}

/* --- questions ----------------------------------------------------------------- */

gboolean
hbw_quarantine_find_part (HbwQuarantine *quarantine, const HbwPartIds *parts,
                          guint64 *id, gint64 *remaining_us, gint64 now_us)
{
  for (guint i = 0; quarantine->quarantined_parts > 0 && i < parts->count; i++)
    {
      const HbwSuspect *part = find_part (quarantine, parts->ids[i], now_us);
      if (part == NULL || !hbw_suspect_is_quarantined (part))
        continue;
      *id = parts->ids[i];
      *remaining_us = part->expire_at_us - now_us;
      return TRUE;
    }
  return FALSE;
}

guint64
hbw_quarantine_part_verdicts (const HbwQuarantine *quarantine)
{
  return quarantine->part_verdicts;
}
