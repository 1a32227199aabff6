#include "hornbeamwall/core/quarantine_state.h"

/* With more parts that may be quarantined, they are evaluated once per interval. */
#define EAGER_PARTS_MAX 32
#define EVALUATION_INTERVAL_US (10 * HBW_US_PER_MS)

/* Failures of a sequence that must be confirmed. */
#define CONFIRMED_MIN 2

/* Share of the failures of servers that a part must be in if it is in three, four,
   or more, and no longer sequence shows it. */
static const double shares_min[] = { 1.0, 0.75, 0.5 };

/* A sequence of so many failures needs no share. */
#define LONG_SEQUENCE 5

/* Servers that have failed without the part for this time before are likely to fail
   without it again. */
#define EARLIER_FAILURES_US (5 * HBW_US_PER_S)

/* Failures count as simultaneous if instances tell of them within this time. */
#define SIMULTANEOUS_US (100 * HBW_US_PER_MS)

/* How long two parts that may have caused the same failures wait for an answer that
   clears one of them, or another failure; with MANY_FAILURES, it is less. */
#define TIE_TIMEOUT_US (5 * HBW_US_PER_S)
#define MANY_FAILURES 5
#define TIE_TIMEOUT_MANY_US (1 * HBW_US_PER_S)

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
          && !hbw_part_ids_contain (&suspect->part_ids, part->fingerprint.low))
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

/* Returns whether a failure at TIME_US tells whether SEQUENCE has another cause. */
static gboolean
is_comparable (const Sequence *sequence, gint64 time_us)
{
  return time_us >= sequence->first_us - EARLIER_FAILURES_US
         && time_us <= sequence->last_us + SIMULTANEOUS_US;
}

/* Returns whether the part was in enough of the failures of servers meanwhile, and
   just before. */
static gboolean
is_in_enough (const HbwQuarantine *quarantine, const HbwSuspect *part,
              const Sequence *sequence)
{
  guint own = 0;
  guint all = 0;
  for (guint i = 0; i < HBW_PART_FAILURES_MAX; i++)
    own += hbw_failure_record_is_open (&part->records[i])
           && is_comparable (sequence, part->records[i].details.failed_us);
  for (guint i = 0; i < MIN (quarantine->failure_count, HBW_FAILURE_TIMES_MAX); i++)
    all += is_comparable (sequence, quarantine->failure_times_us[i]);
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
      hbw_quarantine_release_part (quarantine, other, now_us);
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
  gboolean is_early
      = quarantine->held_part_count > EAGER_PARTS_MAX
        && now_us - quarantine->parts_evaluated_us < EVALUATION_INTERVAL_US;
  if (now_us < quarantine->suspended_until_us || is_early
      || cds_list_empty (&quarantine->held_parts))
    return;
  quarantine->parts_evaluated_us = now_us;
  while (quarantine_next_part (quarantine, now_us))
    continue;
}
