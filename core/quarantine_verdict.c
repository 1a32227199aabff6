#include "hornbeamwall/core/quarantine_state.h"

/* With more held suspects than this, they are evaluated at most once per interval.
 */
#define EAGER_HELD_MAX 32
#define EVALUATION_INTERVAL_US (10 * HBW_US_PER_MS)

/* --- verdicts ------------------------------------------------------------------ */

typedef gboolean (*FailureTest) (const HbwFailure *failure,
                                 const HbwSuspect *suspect, gint64 now_us);

/* Returns whether all suspects of FAILURE have been reported, and responses of its
   server would have shown that it did not fail. */
static gboolean
is_due (const HbwFailure *failure, gint64 now_us)
{
  gint64 window_us = failure->is_refused ? HBW_QUARANTINE_GATHER_WINDOW_US
                                         : HBW_QUARANTINE_CONFIRM_WINDOW_US;
  return now_us - failure->latest_end_us >= window_us
         && now_us - failure->heard_us >= HBW_QUARANTINE_GATHER_WINDOW_US
         && now_us >= failure->suspended_until_us;
}

/* Counts over the suspects of FAILURE, once in each evaluation. */
static void
update_counts (const HbwQuarantine *quarantine, HbwFailure *failure, gint64 now_us)
{
  const HbwFailureRecord *record;
  if (failure->evaluation == quarantine->evaluation)
    return;
  failure->evaluation = quarantine->evaluation;
  failure->active_count = 0;
  failure->most_unexplained = 0;
  cds_list_for_each_entry (record, &failure->records, link)
    {
      if (hbw_suspect_is_part (record->suspect))
        continue;
      failure->active_count += hbw_suspect_is_active (record->suspect, now_us);
      failure->most_unexplained
          = MAX (failure->most_unexplained,
                 hbw_suspect_count_unexplained (record->suspect));
    }
}

/* Returns whether the suspect is the cause: all others of FAILURE were cleared, and
   the server did fail. */
static gboolean
is_only_suspect (const HbwFailure *failure, const HbwSuspect *suspect G_GNUC_UNUSED,
                 gint64 now_us)
{
  return is_due (failure, now_us) && failure->is_refused
         && failure->record_count == 1;
}

/* Returns whether it is too early to decide about FAILURE: another suspect of it is
   active. */
static gboolean
has_active_other (const HbwFailure *failure, const HbwSuspect *suspect,
                  gint64 now_us)
{
  if (!is_due (failure, now_us))
    return TRUE;
  guint own = hbw_suspect_is_active (suspect, now_us);
  return now_us - failure->earliest_end_us < HBW_QUARANTINE_CLEAR_TIMEOUT_US
         && failure->active_count > own;
}

/* Returns whether no other suspect of FAILURE is likelier to be its cause. */
static gboolean
may_cause (const HbwFailure *failure, const HbwSuspect *suspect, gint64 now_us)
{
  return is_due (failure, now_us)
         && hbw_suspect_count_unexplained (suspect) >= failure->most_unexplained;
}

/* Returns whether TEST holds for any unexplained failure of SUSPECT. */
static gboolean
any_failure (const HbwQuarantine *quarantine, const HbwSuspect *suspect,
             FailureTest test, gint64 now_us)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      HbwFailure *failure = suspect->records[i].failure;
      if (failure == NULL || hbw_failure_is_explained (failure))
        continue;
      update_counts (quarantine, failure, now_us);
      if (test (failure, suspect, now_us))
        return TRUE;
    }
  return FALSE;
}

void
hbw_quarantine_set_verdict (HbwQuarantine *quarantine, HbwSuspect *suspect,
                            HbwVerdict verdict, gint64 now_us)
{
  if (!hbw_suspect_is_quarantined (suspect))
    hbw_quarantine_schedule_log (quarantine, suspect);
  hbw_suspect_change_verdict (quarantine, suspect, verdict);
  suspect->expire_at_us = now_us + HBW_QUARANTINE_DURATION_US;
  if (!hbw_suspect_is_part (suspect))
    return;
  quarantine->part_verdicts++;
  hbw_quarantine_mark_part (quarantine, suspect);
}

/* Returns the verdict on a held suspect: it is the cause of a failure, or it cannot
   be told apart any more from others whose requests have ended, or it is too early.
 */
static HbwVerdict
find_verdict (const HbwQuarantine *quarantine, const HbwSuspect *suspect,
              gint64 now_us)
{
  if (any_failure (quarantine, suspect, is_only_suspect, now_us))
    return HBW_VERDICT_CAUSE;
  gboolean waits
      = any_failure (quarantine, suspect, has_active_other, now_us)
        || any_failure (quarantine, suspect, hbw_quarantine_may_blame_part, now_us)
        || !any_failure (quarantine, suspect, may_cause, now_us);
  return waits ? HBW_VERDICT_NONE : HBW_VERDICT_UNDECIDED;
}

/* Gives verdicts of at least the grade MINIMUM, up to the first cause, which may
   change the verdict on others.  Returns whether there was one. */
static gboolean
give_verdicts (HbwQuarantine *quarantine, HbwVerdict minimum, gint64 now_us)
{
  gboolean is_given = FALSE;
  HbwSuspect *suspect;
  quarantine->evaluation++;
  cds_list_for_each_entry (suspect, &quarantine->held, held_link)
    {
      if (!hbw_suspect_is_held (suspect))
        continue;
      HbwVerdict verdict = find_verdict (quarantine, suspect, now_us);
      if (verdict < minimum || verdict <= suspect->verdict)
        continue;
      hbw_quarantine_set_verdict (quarantine, suspect, verdict, now_us);
      hbw_quarantine_schedule_report (quarantine, suspect, HBW_SUSPECT_TRANSMITS,
                                      now_us);
      if (verdict == HBW_VERDICT_CAUSE)
        return TRUE;
      is_given = TRUE;
    }
  return is_given;
}

/* A cause explains failures of other suspects, so that another cause may stand out.
   Causes come first. */
void
hbw_quarantine_evaluate (HbwQuarantine *quarantine, gint64 now_us)
{
  gboolean is_early = quarantine->held_count > EAGER_HELD_MAX
                      && now_us - quarantine->evaluated_us < EVALUATION_INTERVAL_US;
  if (now_us < quarantine->suspended_until_us || is_early)
    return;
  quarantine->evaluated_us = now_us;
  hbw_quarantine_evaluate_parts (quarantine, now_us);
  while (give_verdicts (quarantine, HBW_VERDICT_CAUSE, now_us)
         || give_verdicts (quarantine, HBW_VERDICT_UNDECIDED, now_us))
    continue;
}

/* --- when a suspect may run ---------------------------------------------------- */

/* Returns whether activity of INSTANCE keeps other requests with the same
   fingerprint from running: one runs, or the lowest identity goes first among those
   that wait. */
static gboolean
has_precedence (HbwSuspectActivity activity, gint64 since_us, guint64 instance,
                guint64 other, gint64 now_us)
{
  if (activity == HBW_SUSPECT_RUNNING)
    return now_us - since_us < HBW_SUSPECT_EXCLUSIVE_MAX_US;
  return activity == HBW_SUSPECT_WAITING && instance < other;
}

gboolean
hbw_quarantine_is_run_elsewhere (const HbwQuarantine *quarantine,
                                 const HbwSuspect *suspect, guint64 instance,
                                 gint64 now_us)
{
  if (has_precedence (suspect->own_activity, suspect->own_since_us, quarantine->self,
                      instance, now_us))
    return TRUE;
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      const HbwPeerActivity *peer = &suspect->peers[i];
      if (hbw_peer_activity_is_current (peer, now_us)
          && has_precedence (peer->activity, peer->since_us, peer->instance,
                             instance, now_us))
        return TRUE;
    }
  return FALSE;
}

gint64
hbw_suspect_last_failure_us (const HbwSuspect *suspect)
{
  gint64 last_us = 0;
  for (guint i = 0; i < hbw_suspect_record_max (suspect); i++)
    if (hbw_failure_record_is_open (&suspect->records[i]))
      last_us = MAX (last_us, suspect->records[i].details.failed_us);
  return last_us;
}

gboolean
hbw_quarantine_is_settling (const HbwQuarantine *quarantine,
                            const HbwSuspect *suspect, gint64 now_us)
{
  if (!quarantine->has_peers)
    return FALSE;
  gint64 since_us = hbw_suspect_last_failure_us (suspect);
  if (suspect->own_activity != HBW_SUSPECT_IDLE)
    since_us = MAX (since_us, suspect->own_since_us);
  return now_us - since_us < HBW_QUARANTINE_SETTLE_US;
}
