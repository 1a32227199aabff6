#include "hornbeamwall/core/quarantine_state.h"

/* Failures of a request that are older are not charged to its parts: what was known
   of them since may be forgotten. */
#define CHARGE_AGE_MAX_US (10 * HBW_US_PER_S)

/* Servers that must have failed, unless more failures follow one another. */
#define SERVERS_MIN 2

/* Failures of a sequence that must be confirmed. */
#define CONFIRMED_MIN 2

/* Share of the failures of servers that a part must be in if it is in three, four,
   or more, and no longer sequence shows it. */
static const double shares_min[] = { 1.0, 0.75, 0.5 };

/* A sequence of so many failures needs no share. */
#define LONG_SEQUENCE 5

/* Failures count as simultaneous if instances tell of them within this time. */
#define SIMULTANEOUS_US (100 * HBW_US_PER_MS)

/* How long two parts that may have caused the same failures wait for an answer that
   clears one of them, or another failure; with MANY_FAILURES, it is less. */
#define TIE_TIMEOUT_US (5 * HBW_US_PER_S)
#define MANY_FAILURES 5
#define TIE_TIMEOUT_MANY_US (1 * HBW_US_PER_S)

/* How long a request that is held waits for a verdict on a part of others. */
#define PART_TIMEOUT_US (5 * HBW_US_PER_S)

/* Parts that wait to be reported as vouched for. */
#define VOUCHES_MAX 256

/* Interval between two reports, and how often each part is in one. */
#define VOUCHES_INTERVAL_US (50 * HBW_US_PER_MS)
#define VOUCH_TRANSMITS 2

/* --- charges ------------------------------------------------------------------- */

static gboolean
has_part (const HbwPartIds *parts, guint64 id)
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
schedule_vouch (HbwQuarantine *quarantine, const HbwSuspect *part)
{
  for (guint i = 0; i < quarantine->vouches->len; i++)
    {
      HbwVouch *vouch = &g_array_index (quarantine->vouches, HbwVouch, i);
      if (vouch->id == part->fingerprint.low)
        {
          vouch->transmits_left = VOUCH_TRANSMITS;
          return;
        }
    }
  const HbwVouch vouch = { part->fingerprint.low, VOUCH_TRANSMITS };
  if (quarantine->vouches->len < VOUCHES_MAX)
    g_array_append_val (quarantine->vouches, vouch);
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
    if (has_part (&suspect->part_ids, part->fingerprint.low))
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
          && !has_part (&suspect->part_ids, part->fingerprint.low))
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
    schedule_vouch (quarantine, part);
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

/* --- vouches ------------------------------------------------------------------- */

static void
release_part (HbwQuarantine *quarantine, HbwSuspect *part, gint64 now_us)
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
    release_part (quarantine, part, now_us);
  hbw_suspect_clear_failures (quarantine, part, completed_us, now_us);
}

void
hbw_quarantine_vouch (HbwQuarantine *quarantine, const HbwPartIds *parts,
                      guint64 pool_hash, gint64 started_us, gint64 now_us)
{
  HbwSuspect *part;
  cds_list_for_each_entry (part, &quarantine->held_parts, held_link)
    if (part->failed_pool == pool_hash && !has_part (parts, part->fingerprint.low))
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
        schedule_vouch (quarantine, part);
      clear_part (quarantine, part, now_us, now_us);
    }
}

void
hbw_quarantine_merge_vouch (HbwQuarantine *quarantine, HbwSuspect *part,
                            gint64 completed_us, gint64 now_us)
{
  if (!hbw_suspect_is_quarantined (part)
      || completed_us > hbw_suspect_last_failure_us (part))
    clear_part (quarantine, part, completed_us, now_us);
}

void
hbw_quarantine_merge_vouches (HbwQuarantine *quarantine, const HbwVouches *vouches,
                              gint64 now_us)
{
  for (guint i = 0; i < vouches->count; i++)
    {
      HbwSuspect *part = find_part (quarantine, vouches->parts[i].id, now_us);
      if (part != NULL)
        hbw_quarantine_merge_vouch (
            quarantine, part, now_us - vouches->parts[i].completed_ago_us, now_us);
    }
}

gboolean
hbw_quarantine_take_vouches (HbwQuarantine *quarantine, HbwVouches *vouches,
                             gint64 now_us)
{
  vouches->count = 0;
  if (now_us < quarantine->next_vouches_us)
    return FALSE;
  for (guint i = 0;
       i < quarantine->vouches->len && vouches->count < HBW_VOUCHED_PARTS_MAX;)
    {
      HbwVouch *vouch = &g_array_index (quarantine->vouches, HbwVouch, i);
      const HbwSuspect *part = find_part (quarantine, vouch->id, now_us);
      if (part != NULL)
        vouches->parts[vouches->count++]
            = (HbwVouchedPart){ vouch->id, now_us - part->completed_us };
      if (part == NULL || --vouch->transmits_left == 0)
        g_array_remove_index (quarantine->vouches, i);
      else
        i++;
    }
  if (vouches->count > 0)
    quarantine->next_vouches_us = now_us + VOUCHES_INTERVAL_US;
  return vouches->count > 0;
}

/* --- verdicts ------------------------------------------------------------------ */

/* Returns whether the failure of RECORD has another cause than its part: another
   part, or a request that does not have the part. */
static gboolean
is_explained (const HbwFailureRecord *record)
{
  const HbwSuspect *part = record->suspect;
  const HbwFailureRecord *other;
  if (!hbw_failure_is_explained (record->failure))
    return FALSE;
  cds_list_for_each_entry (other, &record->failure->records, link)
    {
      const HbwSuspect *suspect = other->suspect;
      if (suspect != part && suspect->verdict == HBW_VERDICT_CAUSE
          && !has_part (&suspect->part_ids, part->fingerprint.low))
        return TRUE;
    }
  return FALSE;
}

/* Returns the record that is open and ended first after SINCE_US, of an attempt that
   began after it; NULL if there is none. */
static const HbwFailureRecord *
find_next (const HbwSuspect *part, gint64 since_us)
{
  const HbwFailureRecord *next = NULL;
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    {
      const HbwFailureRecord *record = &part->records[i];
      if (hbw_failure_record_is_open (record)
          && record->details.started_us > since_us && !is_explained (record)
          && (next == NULL || record->details.failed_us < next->details.failed_us))
        next = record;
    }
  return next;
}

guint
hbw_suspect_find_sequence (const HbwSuspect *part,
                           gboolean used[HBW_PART_FAILURES_MAX])
{
  guint count = 0;
  gint64 since_us = G_MININT64;
  const HbwFailureRecord *record;
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    used[i] = FALSE;
  while (count < HBW_PART_FAILURES_MAX
         && (record = find_next (part, since_us)) != NULL)
    {
      used[record - part->records] = TRUE;
      since_us = MAX (record->details.failed_us, record->details.started_us);
      count++;
    }
  return count;
}

/* Returns whether what confirms or dismisses FAILURE is known.  Attempts at a silent
   server end one by one; those that ended first are enough. */
static gboolean
is_due (const HbwFailure *failure, gint64 now_us)
{
  gint64 window_us = failure->is_confirmed ? HBW_QUARANTINE_GATHER_WINDOW_US
                                           : HBW_QUARANTINE_CONFIRM_WINDOW_US;
  return now_us - failure->earliest_end_us >= window_us;
}

/* Failures of a part that follow one another. */
typedef struct
{
  guint count;
  guint confirmed_count;
  gboolean has_requests; /* of different requests */
  gboolean has_servers;  /* of different servers */
  gint64 first_us;
  gint64 last_us;
} Sequence;

static Sequence
describe_sequence (const HbwSuspect *part, gint64 now_us)
{
  Sequence sequence = { .first_us = G_MAXINT64 };
  gboolean used[HBW_PART_FAILURES_MAX];
  const HbwFailureRecord *first = NULL;
  hbw_suspect_find_sequence (part, used);
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    {
      const HbwFailureRecord *record = &part->records[i];
      if (!used[i] || !is_due (record->failure, now_us))
        continue;
      if (first == NULL)
        first = record;
      sequence.count++;
      sequence.confirmed_count += record->failure->is_confirmed;
      sequence.has_requests |= record->source != first->source;
      sequence.has_servers |= record->details.server != first->details.server;
      sequence.first_us = MIN (sequence.first_us, record->details.failed_us);
      sequence.last_us = MAX (sequence.last_us, record->details.failed_us);
    }
  return sequence;
}

static gboolean
is_within (const Sequence *sequence, gint64 time_us)
{
  return time_us >= sequence->first_us - SIMULTANEOUS_US
         && time_us <= sequence->last_us + SIMULTANEOUS_US;
}

/* Returns whether the part was in enough of the failures of servers meanwhile. */
static gboolean
is_in_enough (const HbwQuarantine *quarantine, const HbwSuspect *part,
              const Sequence *sequence)
{
  guint own = 0;
  guint all = 0;
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    own += hbw_failure_record_is_open (&part->records[i])
           && is_within (sequence, part->records[i].details.failed_us);
  for (guint i = 0; i < MIN (quarantine->failure_count, HBW_FAILURE_TIMES_MAX); i++)
    all += is_within (sequence, quarantine->failure_times_us[i]);
  guint more = MIN (own - HBW_PART_FAILURES_MIN, G_N_ELEMENTS (shares_min) - 1);
  return sequence->count >= LONG_SEQUENCE || own >= shares_min[more] * all;
}

/* Returns whether the failures are those of one part after the other, and not of
   servers that fail whatever they are sent. */
static gboolean
is_sufficient (const HbwQuarantine *quarantine, const HbwSuspect *part,
               const Sequence *sequence)
{
  return sequence->count >= HBW_PART_FAILURES_MIN
         && sequence->confirmed_count >= CONFIRMED_MIN && sequence->has_requests
         && (sequence->has_servers || sequence->count > HBW_PART_FAILURES_MIN)
         && part->others_answered_us >= sequence->first_us
         && is_in_enough (quarantine, part, sequence);
}

/* Returns whether PART is likelier than OTHER to be the cause of a failure of both,
   by what their prompts show: the later part is the more specific one. */
static gboolean
is_more_specific (const HbwSuspect *part, const HbwSuspect *other)
{
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    for (guint k = 0; k < HBW_PART_FAILURES_MAX; k++)
      {
        const HbwFailureRecord *own = &part->records[i];
        const HbwFailureRecord *record = &other->records[k];
        if (hbw_failure_record_is_open (own) && own->failure == record->failure
            && own->source == record->source && own->position != record->position)
          return own->position > record->position;
      }
  return part->fingerprint.low > other->fingerprint.low;
}

static gboolean
has_common_failure (const HbwSuspect *part, const HbwSuspect *other)
{
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&part->records[i])
        && hbw_suspect_has_failure (other, part->records[i].failure))
      return TRUE;
  return FALSE;
}

/* Returns whether no other part is to be blamed for the failures of PART, or blamed
   first. */
static gboolean
is_to_blame (const HbwQuarantine *quarantine, const HbwSuspect *part,
             const Sequence *sequence, gint64 now_us)
{
  const HbwSuspect *other;
  cds_list_for_each_entry (other, &quarantine->held_parts, held_link)
    {
      if (other == part || hbw_suspect_is_quarantined (other)
          || !has_common_failure (part, other))
        continue;
      const Sequence theirs = describe_sequence (other, now_us);
      if (theirs.count < sequence->count)
        continue;
      if (theirs.count > sequence->count)
        {
          if (is_sufficient (quarantine, other, &theirs))
            return FALSE;
          continue;
        }
      gint64 timeout_us = hbw_suspect_count_failures (part) < MANY_FAILURES
                              ? TIE_TIMEOUT_US
                              : TIE_TIMEOUT_MANY_US;
      if (now_us - sequence->last_us < timeout_us || is_more_specific (other, part))
        return FALSE;
    }
  return TRUE;
}

/* Returns whether another part with more failures is the cause of all of PART. */
static gboolean
is_superseded (const HbwSuspect *part, const HbwSuspect *cause)
{
  if (hbw_suspect_count_failures (part) >= hbw_suspect_count_failures (cause))
    return FALSE;
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    if (hbw_failure_record_is_open (&part->records[i])
        && !hbw_suspect_has_failure (cause, part->records[i].failure))
      return FALSE;
  return TRUE;
}

static void
quarantine_part (HbwQuarantine *quarantine, HbwSuspect *part, gint64 now_us)
{
  HbwSuspect *other;
  hbw_quarantine_set_verdict (quarantine, part, HBW_VERDICT_CAUSE, now_us);
  hbw_quarantine_schedule_report (quarantine, part, HBW_SUSPECT_TRANSMITS, now_us);
  cds_list_for_each_entry (other, &quarantine->held_parts, held_link)
    if (other != part && hbw_suspect_is_quarantined (other)
        && is_superseded (other, part))
      release_part (quarantine, other, now_us);
}

static gboolean
quarantine_next_part (HbwQuarantine *quarantine, gint64 now_us)
{
  HbwSuspect *part;
  cds_list_for_each_entry (part, &quarantine->held_parts, held_link)
    {
      if (hbw_suspect_is_quarantined (part))
        continue;
      const Sequence sequence = describe_sequence (part, now_us);
      if (!is_sufficient (quarantine, part, &sequence)
          || !is_to_blame (quarantine, part, &sequence, now_us))
        continue;
      quarantine_part (quarantine, part, now_us);
      return TRUE;
    }
  return FALSE;
}

void
hbw_quarantine_evaluate_parts (HbwQuarantine *quarantine, gint64 now_us)
{
  if (now_us < quarantine->suspended_until_us
      || cds_list_empty (&quarantine->held_parts))
    return;
  while (quarantine_next_part (quarantine, now_us))
    continue;
}

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
    schedule_vouch (quarantine, part);
  if (report->verdict == HBW_VERDICT_CAUSE && !hbw_suspect_is_quarantined (part)
      && count >= HBW_PART_FAILURES_MIN)
    hbw_quarantine_set_verdict (quarantine, part, HBW_VERDICT_CAUSE, now_us);
  else if (report->verdict == HBW_VERDICT_NONE && report->completed_ago_us >= 0
           && hbw_suspect_is_quarantined (part))
    hbw_quarantine_merge_vouch (quarantine, part, now_us - report->completed_ago_us,
                                now_us);
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
