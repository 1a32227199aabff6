#include "hornbeamwall/core/quarantine_lost.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/quarantine_state.h"
#include "hornbeamwall/core/server_check.h"
#include "hornbeamwall/core/suspect_share.h"

#include <xxhash.h>

/* A running suspect that is not reported for this time is lost. */
#define LOST_AFTER_US (2 * HBW_SUSPECT_REFRESH_INTERVAL_US)

/* Time in which a lost attempt is found and reported to all. */
#define SUSPENSION_US (LOST_AFTER_US + HBW_QUARANTINE_GATHER_WINDOW_US)

/* What was reported longer ago tells nothing about the server. */
#define REPORT_AGE_MAX_US (2 * HBW_SUSPECT_ACTIVE_TIMEOUT_US)

/* Returns whether PEER sent the suspect to a server that had not recovered from a
   failure of the suspect itself, so that it was probably not connected. */
static gboolean
is_in_same_outage (const HbwSuspect *suspect, const HbwPeerActivity *peer)
{
  for (guint i = 0; i < HBW_SUSPECT_FAILURES_MAX; i++)
    {
      const HbwFailure *failure = suspect->records[i].failure;
      if (failure != NULL && failure->server->hash == peer->server
          && peer->since_us >= failure->earliest_end_us
          && peer->since_us - failure->latest_end_us < HBW_QUARANTINE_OUTAGE_US)
        return TRUE;
    }
  return FALSE;
}

/* Returns whether PEER runs the suspect, as far as is known here. */
static gboolean
is_running (const HbwQuarantine *quarantine, const HbwSuspect *suspect,
            const HbwPeerActivity *peer, gint64 now_us)
{
  return peer->activity == HBW_SUSPECT_RUNNING
         && now_us - peer->heard_us < REPORT_AGE_MAX_US
         && peer->heard_us >= quarantine->watched_since_us
         && peer->since_us > suspect->completed_us
         && !is_in_same_outage (suspect, peer);
}

static gboolean
may_become_held (const HbwSuspect *suspect)
{
  return !hbw_suspect_is_part (suspect) && hbw_suspect_count_failures (suspect) > 0
         && !hbw_suspect_is_quarantined (suspect);
}

static void
suspend_decisions (HbwQuarantine *quarantine, guint64 server, gint64 until_us)
{
  HbwFailure *failure;
  HbwFailedServer *failed
      = g_hash_table_lookup (quarantine->failed_servers, &server);
  if (failed == NULL)
    return;
  cds_list_for_each_entry (failure, &failed->failures, link)
    failure->suspended_until_us = MAX (failure->suspended_until_us, until_us);
}

static void
note_ended (HbwQuarantine *quarantine, HbwSuspect *suspect, guint64 server,
            gint64 ended_us, gint64 now_us)
{
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      HbwPeerActivity *peer = &suspect->peers[i];
      if (peer->server != server || peer->since_us > ended_us || peer->is_lost
          || !may_become_held (suspect)
          || !is_running (quarantine, suspect, peer, now_us))
        continue;
      if (peer->server_ended_us == 0)
        peer->server_ended_us = ended_us;
      suspend_decisions (quarantine, server, peer->heard_us + SUSPENSION_US);
    }
}

/* Returns whether no instance has reported lately that it runs the suspect. */
static gboolean
is_out_of_date (const HbwSuspect *suspect, gint64 now_us)
{
  for (guint i = 0; i < HBW_SUSPECT_PEERS_MAX; i++)
    if (suspect->peers[i].activity == HBW_SUSPECT_RUNNING
        && now_us - suspect->peers[i].heard_us < REPORT_AGE_MAX_US)
      return FALSE;
  return TRUE;
}

void
hbw_quarantine_note_server_ended (HbwQuarantine *quarantine, guint64 server,
                                  gint64 ended_us, gint64 now_us)
{
  HbwSuspect *suspect;
  cds_list_for_each_entry (suspect, &quarantine->run_by_peers, running_link)
    {
      quarantine->searched_count++;
      note_ended (quarantine, suspect, server, ended_us, now_us);
    }
}

static gboolean
is_lost (const HbwPeerActivity *peer, HbwContext *context)
{
  return context->now_us - peer->heard_us >= LOST_AFTER_US
         || hbw_membership_is_dead (context->membership, peer->instance);
}

static HbwServerFailure
describe_failure (const HbwSuspect *suspect, const HbwPeerActivity *peer)
{
  const guint64 parts[] = { peer->instance, suspect->fingerprint.low, peer->server,
                            (guint64) peer->since_us };
  const HbwServerFailure failure
      = { .id = XXH64 (parts, sizeof parts, 0),
          .server = peer->server,
          .started_us = peer->since_us,
          .failed_us = MAX (peer->heard_us, peer->server_ended_us) };
  return failure;
}

static void
record_failure (HbwContext *context, const HbwSilentAttempt *attempt)
{
  guint failures = hbw_silent_attempt_record_failure (attempt, context);
  hbw_quarantine_handle_refused_connection (
      context->quarantine, attempt->failure.server, context->now_us);
  hbw_effects_log (context->effects, HBW_LOG_REQUEST_SUSPECT,
                   "fingerprint=%016" G_GINT64_MODIFIER
                   "x server=%s failures=%u evidence=lost_instance",
                   attempt->fingerprint.low, attempt->server, failures);
}

typedef struct
{
  HbwContext *context;
  HbwServerChecks *checks;
  const HbwTopology *topology;
  GArray *failed; /* HbwSilentAttempt, whose servers have ended */
} Visit;

static void
handle_lost (const Visit *visit, const HbwSuspect *suspect, HbwPeerActivity *peer)
{
  HbwSilentAttempt attempt = { .fingerprint = suspect->fingerprint,
                               .part_ids = suspect->part_ids,
                               .pool_hash = suspect->pool_hash,
                               .failure = describe_failure (suspect, peer) };
  const HbwServerEntry *entry
      = visit->topology != NULL
            ? hbw_topology_find_server_by_hash (visit->topology, peer->server)
            : NULL;
  if (entry == NULL && peer->server_ended_us == 0)
    return;
  peer->is_lost = TRUE;
  if (entry != NULL)
    {
      g_strlcpy (attempt.server, entry->id, sizeof attempt.server);
      g_strlcpy (attempt.address, entry->address, sizeof attempt.address);
    }
  if (peer->server_ended_us > 0)
    g_array_append_val (visit->failed, attempt);
  else
    hbw_server_checks_add (visit->checks, visit->context, &attempt);
}

static void
visit_suspect (const Visit *visit, HbwSuspect *suspect)
{
  HbwContext *context = visit->context;
  for (guint i = 0; may_become_held (suspect) && i < HBW_SUSPECT_PEERS_MAX; i++)
    {
      HbwPeerActivity *peer = &suspect->peers[i];
      if (!peer->is_lost
          && is_running (context->quarantine, suspect, peer, context->now_us)
          && is_lost (peer, context))
        handle_lost (visit, suspect, peer);
    }
}

void
hbw_quarantine_handle_lost (
    HbwContext *context, HbwServerChecks *checks, const HbwTopology *topology,
    void (*handle_suspect) (const HbwSilentAttempt *attempt, void *data), void *data)
{
  HbwSuspect *suspect;
  HbwSuspect *next;
  if (!hbw_suspect_share_is_complete (context->suspect_share))
    return;
  const Visit visit = { context, checks, topology,
                        g_array_new (FALSE, FALSE, sizeof (HbwSilentAttempt)) };
  cds_list_for_each_entry_safe (suspect, next, &context->quarantine->run_by_peers,
                                running_link)
    if (is_out_of_date (suspect, context->now_us))
      cds_list_del_init (&suspect->running_link);
    else
      visit_suspect (&visit, suspect);
  for (guint i = 0; i < visit.failed->len; i++)
    {
      const HbwSilentAttempt *attempt
          = &g_array_index (visit.failed, HbwSilentAttempt, i);
      record_failure (context, attempt);
      handle_suspect (attempt, data);
    }
  g_array_free (visit.failed, TRUE);
}
