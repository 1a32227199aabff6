#include "hornbeamwall/core/shard.h"

#include "hornbeamwall/core/capacity/capacity_task.h"
#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/prompt_partition.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/shard_estimate.h"
#include "hornbeamwall/core/shard_health.h"
#include "hornbeamwall/core/shard_ramp.h"
#include "hornbeamwall/core/shard_waiting.h"
#include "hornbeamwall/core/suspect_share.h"

#include <string.h>

/* Service time assumed before anything is measured. */
#define SERVICE_DEFAULT_US (1 * HBW_US_PER_S)

/* Percentage of its deadline that a request may wait at a server before prefill. */
#define MAX_WAIT_DEADLINE_PERCENT 20

/* Bounds of the suggested retry delay in a refusal. */
#define RETRY_AFTER_MIN_US (100 * HBW_US_PER_MS)
#define RETRY_AFTER_MAX_US (60 * HBW_US_PER_S)

/* The mean of fewer events says little about the time between them. */
#define STEP_SAMPLE_TOKENS_MIN 8

typedef struct
{
  HbwRequestId id;
  guint attempt;
} ReservationKey;

typedef struct
{
  ReservationKey key;
  guint64 origin;
  char server[HBW_NAME_MAX];
  guint64 server_start;
  HbwRequestSpec spec;
  gboolean suspect;
  gboolean error_begun; /* its first token was of an error */
  gboolean begun;       /* it had its first token */
  guint unread_tokens;  /* uncached prompt tokens; 0 after the first output token */
  guint ahead_tokens;   /* unread prompt tokens at the server before this grant */
  guint peer_ahead_tokens; /* the same, of other instances */
  gint64 granted_us;
  gint64 last_heard_us;
} Reservation;

static guint
reservation_hash (gconstpointer data)
{
  const ReservationKey *key = data;
  return hbw_request_id_hash (&key->id) ^ key->attempt;
}

static gboolean
reservation_equal (gconstpointer a, gconstpointer b)
{
  const ReservationKey *left = a;
  const ReservationKey *right = b;
  return hbw_request_id_equal (&left->id, &right->id)
         && left->attempt == right->attempt;
}

static Reservation *
find_reservation (HbwShard *shard, const HbwRequestId *id, guint attempt)
{
  const ReservationKey key = { *id, attempt };
  return g_hash_table_lookup (shard->reservations, &key);
}

gboolean
hbw_shard_is_suspect (const HbwContext *context, const HbwRequestSpec *spec)
{
  return spec->server_failures > 0
         || hbw_quarantine_is_suspect (context->quarantine, &spec->fingerprint,
                                       context->now_us);
}

gboolean
hbw_shard_may_probe (const HbwShard *shard, const HbwServer *server,
                     gboolean suspect)
{
  if (!suspect || server->state != HBW_SERVER_DOWN)
    return TRUE;
  for (guint i = 0; i < shard->servers->len; i++)
    if (hbw_server_is_usable (g_ptr_array_index (shard->servers, i)))
      return FALSE;
  return TRUE;
}

static void
clear_unread_tokens (HbwServer *server, Reservation *reservation)
{
  server->unread_tokens -= MIN (server->unread_tokens, reservation->unread_tokens);
  reservation->unread_tokens = 0;
}

static Reservation *
create_reservation (HbwShard *shard, HbwContext *context, HbwServer *server,
                    const HbwRequestId *id, guint attempt,
                    const HbwRequestSpec *spec)
{
  Reservation *reservation = g_new0 (Reservation, 1);
  reservation->key.id = *id;
  reservation->key.attempt = attempt;
  reservation->spec = *spec;
  reservation->suspect = hbw_shard_is_suspect (context, spec);
  reservation->granted_us = context->now_us;
  reservation->last_heard_us = context->now_us;
  reservation->server_start = server->entry.start_number;
  g_strlcpy (reservation->server, server->entry.id, sizeof reservation->server);
  reservation->ahead_tokens = server->unread_tokens;
  if (context->load_share != NULL)
    reservation->peer_ahead_tokens
        = hbw_load_share_sum_peers (context->load_share, server, context->now_us)
              .unread_tokens;
  reservation->unread_tokens = hbw_server_uncached_tokens (server, spec);
  server->unread_tokens += reservation->unread_tokens;
  hbw_capacity_record_placement (context, spec, reservation->unread_tokens);
  if (context->load_share != NULL)
    hbw_load_share_record_prompt (context->load_share, server, spec);
  if (spec->prompt_tokens > 0)
    hbw_stream_targets_add (&server->stream_targets, spec->inter_token_target_us);
  hbw_engine_memory_add (server->memory, spec);
  hbw_server_begin_request (server, spec);
  hbw_shard_share_server_load (context, server);
  if (reservation->suspect)
    server->suspect_requests++;
  shard->in_progress[spec->tier]++;
  g_hash_table_insert (shard->reservations, &reservation->key, reservation);
  return reservation;
}

static void
release_reservation (HbwShard *shard, HbwContext *context, Reservation *reservation,
                     const HbwAttemptResult *done)
{
  HbwServer *server = hbw_shard_find_server (shard, reservation->server);
  if (server != NULL && server->entry.start_number == reservation->server_start)
    {
      hbw_server_end_request (server, done, reservation->spec.inter_token_target_us,
                              context->now_us);
      if (reservation->suspect && server->suspect_requests > 0)
        server->suspect_requests--;
      clear_unread_tokens (server, reservation);
      if (reservation->begun && server->ramp.streams > 0)
        server->ramp.streams--;
      hbw_engine_memory_remove (server->memory, &reservation->spec, context->now_us);
      if (reservation->spec.prompt_tokens > 0)
        hbw_stream_targets_remove (&server->stream_targets,
                                   reservation->spec.inter_token_target_us);
      hbw_shard_share_server_load (context, server);
      if (server->stopping && server->in_progress == 0)
        hbw_effects_log (context->effects, HBW_LOG_SERVER_DRAINED,
                         "server=%s pool=%s", server->entry.id, server->entry.pool);
    }
  shard->in_progress[reservation->spec.tier]--;
  g_hash_table_remove (shard->reservations, &reservation->key);
}

static void
release_unused_reservation (HbwShard *shard, HbwContext *context,
                            Reservation *reservation)
{
  HbwAttemptResult done
      = { .id = reservation->key.id, .attempt = reservation->key.attempt };
  done.outcome = HBW_OUTCOME_UNUSED;
  release_reservation (shard, context, reservation, &done);
}

static void
send_grant (HbwContext *context, const HbwShard *shard, guint64 to,
            const Reservation *reservation, const HbwServer *server)
{
  HbwMessage message = { .kind = HBW_MESSAGE_GRANT };
  message.grant.id = reservation->key.id;
  message.grant.attempt = reservation->key.attempt;
  message.grant.shard = shard->key;
  message.grant.valid_for_us
      = HBW_GRANT_VALID_US - (context->now_us - reservation->granted_us);
  g_strlcpy (message.grant.server, server->entry.id, sizeof message.grant.server);
  g_strlcpy (message.grant.address, server->entry.address,
             sizeof message.grant.address);
  HbwGrantFacts *facts = &message.grant.facts;
  facts->in_progress = server->in_progress;
  facts->others = server->others_in_progress;
  facts->unread_tokens = server->unread_tokens;
  if (context->load_share != NULL)
    {
      HbwServerWork sum
          = hbw_load_share_sum_peers (context->load_share, server, context->now_us);
      facts->others = MAX (facts->others, sum.in_progress);
      facts->unread_tokens += sum.unread_tokens;
    }
  facts->waiting = hbw_queue_length (shard->queue);
  facts->report_age_us
      = server->reported_at_us > 0 ? context->now_us - server->reported_at_us : -1;
  hbw_context_send (context, to, &message);
}

static void
send_refusal_with_wait (HbwContext *context, guint64 to, const HbwGrantRequest *want,
                        HbwReason reason, gint64 wait_us)
{
  HbwMessage message = { .kind = HBW_MESSAGE_REFUSAL };
  message.refusal.id = want->id;
  message.refusal.attempt = want->attempt;
  message.refusal.reason = reason;
  message.refusal.retry_after_us
      = reason == HBW_REASON_QUARANTINED
            ? wait_us
            : CLAMP (wait_us, RETRY_AFTER_MIN_US, RETRY_AFTER_MAX_US);
  hbw_context_send (context, to, &message);
}

static void
send_refusal (HbwContext *context, const HbwShard *shard, guint64 to,
              const HbwGrantRequest *want, HbwReason reason)
{
  gint64 wait = hbw_shard_expected_wait_us (shard, want->spec.tier);
  if (reason == HBW_REASON_QUARANTINED)
    wait = hbw_quarantine_remaining_us (context->quarantine, &want->spec.fingerprint,
                                        context->now_us);
  send_refusal_with_wait (context, to, want, reason, wait);
}

static void
refuse_ticket (HbwShard *shard, HbwContext *context, HbwTicket *ticket,
               HbwReason reason)
{
  send_refusal (context, shard, ticket->origin, &ticket->want, reason);
  hbw_shard_remove_ticket (shard, context, ticket);
}

HbwServer *
hbw_shard_select_server (HbwShard *shard, HbwContext *context, HbwTicket *ticket)
{
  HbwQuarantineStatus status
      = hbw_quarantine_check (context->quarantine, &ticket->want.spec.fingerprint,
                              ticket->want.id.instance, context->now_us);
  if (status == HBW_QUARANTINE_STATUS_HELD
      || status == HBW_QUARANTINE_STATUS_QUARANTINED)
    return NULL;
  return shard->policy->select_server (shard, context, ticket);
}

static gboolean
grant_next_request (HbwShard *shard, HbwContext *context)
{
  HbwServer *server = NULL;
  HbwTicket *ticket = shard->policy->select_ticket (shard, context, &server);
  if (ticket == NULL)
    return FALSE;
  const HbwGrantRequest *want = &ticket->want;
  Reservation *reservation = create_reservation (shard, context, server, &want->id,
                                                 want->attempt, &want->spec);
  reservation->origin = ticket->origin;
  hbw_server_notices_use (context->server_notices, &server->entry, context->now_us);
  hbw_queue_charge (shard->queue, ticket);
  send_grant (context, shard, ticket->origin, reservation, server);
  hbw_shard_remove_ticket (shard, context, ticket);
  return TRUE;
}

static void
grant_waiting_requests (HbwShard *shard, HbwContext *context)
{
  if (!context->planned_stops_known
      || !hbw_suspect_share_is_complete (context->suspect_share))
    return;
  while (hbw_queue_length (shard->queue) > 0 && grant_next_request (shard, context))
    continue;
}

/* Makes room for WANT in a full queue; returns whether there is room now. */
static gboolean
make_room (HbwShard *shard, HbwContext *context, const HbwGrantRequest *want)
{
  if (hbw_queue_class_length (shard->queue, want->spec.class_name)
      >= want->spec.queue_bound)
    return FALSE;
  if (hbw_queue_length (shard->queue) < HBW_SHARD_QUEUE_MAX)
    return TRUE;
  HbwTicket *victim = hbw_queue_find_youngest_below (shard->queue, want->spec.tier);
  if (victim == NULL)
    return FALSE;
  refuse_ticket (shard, context, victim, HBW_REASON_QUEUE_FULL);
  return TRUE;
}

/* Handles a repeated want.  Returns FALSE if the want has to be queued: it is new,
   or its grant cannot be repeated and has been released. */
static gboolean
handle_known_want (HbwShard *shard, HbwContext *context, guint64 from,
                   const HbwGrantRequest *want)
{
  HbwTicket *ticket = hbw_queue_find (shard->queue, &want->id);
  if (ticket != NULL)
    {
      ticket->last_resent_us = context->now_us;
      ticket->want.attempt = MAX (ticket->want.attempt, want->attempt);
      return TRUE;
    }
  Reservation *reservation = find_reservation (shard, &want->id, want->attempt);
  if (reservation == NULL)
    return FALSE;
  HbwServer *server = hbw_shard_find_server (shard, reservation->server);
  gint64 age = context->now_us - reservation->granted_us;
  if (server != NULL && !server->stopping && age < HBW_GRANT_VALID_US / 2)
    {
      send_grant (context, shard, from, reservation, server);
      return TRUE;
    }
  release_unused_reservation (shard, context, reservation);
  return FALSE;
}

static void
expire_ticket (HbwTicket *ticket, void *data)
{
  void **arguments = data;
  HbwShard *shard = arguments[0];
  HbwContext *context = arguments[1];
  if (context->now_us - ticket->last_resent_us > HBW_TICKET_TIMEOUT_US)
    hbw_shard_remove_ticket (shard, context, ticket);
  else if (ticket->deadline_at_us > 0 && context->now_us >= ticket->deadline_at_us)
    refuse_ticket (shard, context, ticket, HBW_REASON_DEADLINE);
  else if (hbw_quarantine_check (context->quarantine, &ticket->want.spec.fingerprint,
                                 ticket->want.id.instance, context->now_us)
           == HBW_QUARANTINE_STATUS_QUARANTINED)
    refuse_ticket (shard, context, ticket, HBW_REASON_QUARANTINED);
}

static void
release_expired_reservations (HbwShard *shard, HbwContext *context)
{
  GList *reservations = g_hash_table_get_values (shard->reservations);
  for (GList *item = reservations; item != NULL; item = item->next)
    {
      Reservation *reservation = item->data;
      gint64 silent_us = context->now_us - reservation->last_heard_us;
      if (silent_us > HBW_RESERVATION_TIMEOUT_US)
        release_unused_reservation (shard, context, reservation);
    }
  g_list_free (reservations);
}

static void
log_server_state_change (HbwContext *context, const HbwServer *server,
                         HbwServerState old_state)
{
  if (server->state == old_state || server->state == HBW_SERVER_PROBING)
    return;
  gboolean is_up = server->state == HBW_SERVER_UP;
  if (!is_up && old_state == HBW_SERVER_PROBING)
    return;
  hbw_effects_log (context->effects, is_up ? HBW_LOG_SERVER_UP : HBW_LOG_SERVER_DOWN,
                   "server=%s pool=%s", server->entry.id, server->entry.pool);
}

static void
set_stopping (HbwContext *context, HbwServer *server, gboolean stopping)
{
  if (stopping && !server->stopping)
    hbw_effects_log (context->effects, HBW_LOG_SERVER_LEAVING,
                     "server=%s pool=%s in_progress=%u", server->entry.id,
                     server->entry.pool, server->in_progress);
  server->stopping = stopping;
}

HbwShard *
hbw_shard_create (const HbwPolicy *policy, const HbwShardKey *key, gint64 now_us,
                  gint64 rebuild_us)
{
  HbwShard *shard = g_new0 (HbwShard, 1);
  shard->policy = policy;
  shard->key = *key;
  shard->servers
      = g_ptr_array_new_with_free_func ((GDestroyNotify) hbw_server_destroy);
  shard->servers_by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  shard->queue = hbw_queue_create ();
  shard->reservations
      = g_hash_table_new_full (reservation_hash, reservation_equal, NULL, g_free);
  shard->rebuild_until_us = now_us + rebuild_us;
  shard->last_entry_message_us = now_us;
  shard->average_service_us = SERVICE_DEFAULT_US;
  shard->prompt_tokens_per_s = HBW_PROMPT_TOKENS_PER_S_DEFAULT;
  for (guint i = 0; i < HBW_PROMPT_LENGTH_COUNT; i++)
    shard->prompt_length_shares[i] = 1.0 / HBW_PROMPT_LENGTH_COUNT;
  shard->output_estimate = hbw_output_estimate_create ();
  shard->average_class_tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return shard;
}

void
hbw_shard_destroy (HbwShard *shard)
{
  g_hash_table_destroy (shard->servers_by_hash);
  g_ptr_array_free (shard->servers, TRUE);
  hbw_queue_destroy (shard->queue);
  g_hash_table_destroy (shard->reservations);
  g_hash_table_destroy (shard->average_class_tokens);
  hbw_output_estimate_destroy (shard->output_estimate);
  g_free (shard);
}

static void
remove_server_at (HbwShard *shard, HbwContext *context, guint index)
{
  HbwServer *server = g_ptr_array_index (shard->servers, index);
  hbw_shard_ramp_remove (context, server);
  g_hash_table_remove (shard->servers_by_hash, &server->id_hash);
  g_ptr_array_remove_index (shard->servers, index);
  shard->partitions_current = FALSE;
}

static const HbwServerEntry *
find_entry (const GPtrArray *entries, const char *id)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const HbwServerEntry *entry = g_ptr_array_index (entries, i);
      if (strcmp (entry->id, id) == 0)
        return entry;
    }
  return NULL;
}

void
hbw_shard_set_servers (HbwShard *shard, HbwContext *context,
                       const GPtrArray *entries)
{
  for (guint i = shard->servers->len; i > 0; i--)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i - 1);
      if (find_entry (entries, server->entry.id) != NULL)
        continue;
      set_stopping (context, server, TRUE);
      if (server->in_progress == 0)
        remove_server_at (shard, context, i - 1);
    }
  for (guint i = 0; i < entries->len; i++)
    {
      const HbwServerEntry *entry = g_ptr_array_index (entries, i);
      HbwServer *server = hbw_shard_find_server (shard, entry->id);
      if (server != NULL)
        {
          gboolean restarted = server->entry.start_number != entry->start_number;
          hbw_server_update (server, entry);
          if (restarted)
            {
              server->in_progress = server->suspect_requests = server->unread_tokens
                  = server->ramp.streams = 0;
              hbw_shard_ramp_start (shard, context, server);
            }
        }
      else
        {
          server = hbw_server_create (entry);
          server->stopping = FALSE;
          g_ptr_array_add (shard->servers, server);
          shard->partitions_current = FALSE;
          g_hash_table_insert (shard->servers_by_hash, &server->id_hash, server);
          if (shard->had_servers)
            hbw_shard_ramp_start (shard, context, server);
        }
      gboolean stopping
          = entry->leaving
            || g_hash_table_contains (context->planned_stops, entry->id);
      set_stopping (context, server, stopping);
    }
  shard->had_servers |= entries->len > 0;
  grant_waiting_requests (shard, context);
}

/* Refuses a request that is expected to miss its deadline, because running it would
   only delay others.  An immediate refusal with a retry delay lets the caller try
   again in time. */
static gboolean
refuse_expected_late (HbwShard *shard, HbwContext *context, guint64 to,
                      const HbwGrantRequest *want)
{
  const HbwRequestSpec *spec = &want->spec;
  if (shard->policy->estimate_wait_us == NULL || spec->deadline_us == 0
      || spec->prompt_tokens == 0)
    return FALSE;
  gint64 expected = shard->policy->estimate_wait_us (shard, context, want);
  if (expected <= spec->deadline_us / 100 * MAX_WAIT_DEADLINE_PERCENT)
    return FALSE;
  send_refusal_with_wait (context, to, want, HBW_REASON_OVERLOADED, expected);
  return TRUE;
}

/* Returns the expected output tokens of SPEC if they matter: the memory of the
   pool's engines is known, and instances tell each other what they hold of it. */
static guint
expect_output (const HbwShard *shard, const HbwContext *context,
               const HbwRequestSpec *spec)
{
  if (context->load_share == NULL || spec->prompt_tokens == 0
      || hbw_catalogue_engine_memory (context->catalogue, shard->key.pool) == 0)
    return 0;
  return hbw_output_estimate_tokens (shard->output_estimate, spec);
}

void
hbw_shard_handle_want (HbwShard *shard, HbwContext *context, guint64 from,
                       const HbwGrantRequest *want)
{
  shard->last_entry_message_us = context->now_us;
  if (handle_known_want (shard, context, from, want))
    return;
  if (hbw_quarantine_check (context->quarantine, &want->spec.fingerprint,
                            want->id.instance, context->now_us)
      == HBW_QUARANTINE_STATUS_QUARANTINED)
    {
      send_refusal (context, shard, from, want, HBW_REASON_QUARANTINED);
      return;
    }
  if (!make_room (shard, context, want))
    {
      send_refusal (context, shard, from, want, HBW_REASON_QUEUE_FULL);
      return;
    }
  hbw_shard_record_arrival (shard, &want->spec);
  if (refuse_expected_late (shard, context, from, want))
    return;
  HbwGrantRequest estimated_want = *want;
  estimated_want.spec.cost_tokens = hbw_shard_expected_tokens (shard, &want->spec);
  estimated_want.spec.output_tokens = expect_output (shard, context, &want->spec);
  hbw_queue_add (shard->queue, &estimated_want, from, context->now_us,
                 hbw_shard_expected_service_us (shard, &estimated_want.spec));
  grant_waiting_requests (shard, context);
}

void
hbw_shard_handle_withdrawal (HbwShard *shard, HbwContext *context,
                             const HbwRefusal *withdrawal)
{
  HbwTicket *ticket = hbw_queue_find (shard->queue, &withdrawal->id);
  if (ticket != NULL && ticket->want.attempt <= withdrawal->attempt)
    hbw_shard_remove_ticket (shard, context, ticket);
  grant_waiting_requests (shard, context);
}

void
hbw_shard_handle_active (HbwShard *shard, HbwContext *context, guint64 from,
                         const HbwActiveAttempt *active)
{
  shard->last_entry_message_us = context->now_us;
  Reservation *reservation = find_reservation (shard, &active->id, active->attempt);
  if (reservation == NULL)
    {
      HbwServer *server = hbw_shard_find_server (shard, active->server);
      if (server == NULL)
        return;
      HbwRequestSpec spec = { .tier = active->tier };
      spec.fingerprint = active->fingerprint;
      reservation = create_reservation (shard, context, server, &active->id,
                                        active->attempt, &spec);
      reservation->origin = from;
    }
  reservation->last_heard_us = context->now_us;
}

static void
handle_first_token (HbwShard *shard, HbwContext *context, HbwServer *server,
                    Reservation *reservation, gint64 first_token_us)
{
  const HbwRampSample sample = {
    .spec = &reservation->spec,
    .unread_tokens = reservation->unread_tokens,
    .ahead_tokens = reservation->ahead_tokens + reservation->peer_ahead_tokens,
    .sent_us = reservation->granted_us,
    .first_token_us = first_token_us,
  };
  if (reservation->begun)
    return;
  reservation->begun = TRUE;
  server->ramp.streams++;
  hbw_shard_ramp_handle_first_token (shard, context, server, &sample);
}

void
hbw_shard_handle_begun (HbwShard *shard, HbwContext *context,
                        const HbwFirstTokenReport *begun)
{
  Reservation *reservation = find_reservation (shard, &begun->id, begun->attempt);
  if (reservation == NULL)
    return;
  reservation->last_heard_us = context->now_us;
  HbwServer *server = hbw_shard_find_server (shard, reservation->server);
  if (server == NULL || server->entry.start_number != reservation->server_start)
    return;
  reservation->error_begun = begun->is_error;
  if (!begun->is_error)
    handle_first_token (shard, context, server, reservation, begun->first_token_us);
  hbw_shard_record_prompt_rate (shard, reservation->unread_tokens,
                                reservation->ahead_tokens, begun->first_token_us);
  hbw_capacity_record_pace (context, shard->key.pool, reservation->unread_tokens,
                            reservation->ahead_tokens
                                + reservation->peer_ahead_tokens,
                            begun->first_token_us);
  hbw_server_pace_record_prompt (
      &server->pace, &shard->pace, reservation->unread_tokens,
      reservation->ahead_tokens + reservation->peer_ahead_tokens,
      begun->first_token_us, context->now_us);
  clear_unread_tokens (server, reservation);
  hbw_shard_share_server_load (context, server);
}

static void
handle_ramp_end (HbwShard *shard, HbwContext *context, HbwServer *server,
                 Reservation *reservation, const HbwAttemptResult *done)
{
  if (done->outcome == HBW_OUTCOME_COMPLETE && done->first_token_us > 0
      && !reservation->error_begun)
    handle_first_token (shard, context, server, reservation, done->first_token_us);
  hbw_shard_ramp_handle_outcome (context, server, done->outcome,
                                 reservation->granted_us);
}

static void
record_step (HbwShard *shard, const HbwContext *context, HbwServer *server,
             const Reservation *reservation, const HbwAttemptResult *done)
{
  const HbwRequestSpec *spec = &reservation->spec;
  if (spec->prompt_tokens == 0 || done->tokens < STEP_SAMPLE_TOKENS_MIN
      || server->entry.start_number != reservation->server_start)
    return;
  guint running = server->in_progress;
  if (context->load_share != NULL)
    running
        += hbw_load_share_sum_peers (context->load_share, server, context->now_us)
               .in_progress;
  HbwPromptLength length = hbw_prompt_partition_of (
      shard, server, hbw_shard_classify_prompt (shard, spec));
  hbw_server_pace_record_step (&server->pace, &shard->pace, length, running,
                               done->inter_token_us, context->now_us);
}

void
hbw_shard_handle_done (HbwShard *shard, HbwContext *context,
                       const HbwAttemptResult *done)
{
  Reservation *reservation = find_reservation (shard, &done->id, done->attempt);
  if (reservation == NULL || strcmp (reservation->server, done->server) != 0)
    return;
  HbwServer *server = hbw_shard_find_server (shard, reservation->server);
  HbwServerState old_state = server != NULL ? server->state : HBW_SERVER_UP;
  if (done->outcome == HBW_OUTCOME_COMPLETE)
    {
      hbw_shard_record_service_time (shard,
                                     context->now_us - reservation->granted_us);
      hbw_shard_record_tokens (shard, &reservation->spec, done->tokens);
      hbw_output_estimate_record (shard->output_estimate, &reservation->spec,
                                  done->tokens);
    }
  if (done->outcome == HBW_OUTCOME_COMPLETE && server != NULL)
    record_step (shard, context, server, reservation, done);
  if (server != NULL && server->entry.start_number == reservation->server_start)
    handle_ramp_end (shard, context, server, reservation, done);
  if (done->outcome != HBW_OUTCOME_UNUSED && reservation->spec.cost_tokens > 0)
    hbw_queue_correct_charge (shard->queue, &reservation->spec, done->tokens);
  release_reservation (shard, context, reservation, done);
  if (server != NULL)
    {
      log_server_state_change (context, server, old_state);
      hbw_shard_ramp_handle_state (shard, context, server, old_state);
    }
  grant_waiting_requests (shard, context);
}

void
hbw_shard_handle_load_report (HbwShard *shard, HbwContext *context,
                              const HbwLoadReport *load)
{
  HbwServer *server = hbw_shard_find_server (shard, load->server);
  if (server == NULL)
    return;
  HbwServerState old_state = server->state;
  hbw_server_handle_load_report (server, load, context->now_us);
  hbw_shard_ramp_handle_state (shard, context, server, old_state);
  grant_waiting_requests (shard, context);
}

void
hbw_shard_record_remote_prompts (HbwShard *shard, const HbwLoadUpdate *loads,
                                 gint64 now_us)
{
  for (guint i = 0; i < loads->part_count; i++)
    {
      HbwServer *server
          = hbw_shard_find_server_by_hash (shard, loads->parts[i].server_hash);
      if (server == NULL)
        continue;
      hbw_prompt_cache_add_part (server->cached_prompts, loads->parts[i].part_hash);
      hbw_engine_memory_record_part (server->memory, loads->parts[i].part_hash,
                                     loads->parts[i].tokens, now_us);
    }
}

void
hbw_shard_record_remote_pace (HbwShard *shard, const HbwLoadUpdate *loads,
                              gint64 now_us)
{
  for (guint i = 0; i < loads->load_count; i++)
    {
      const HbwServerLoad *load = &loads->loads[i];
      HbwServer *server = hbw_shard_find_server_by_hash (shard, load->server_hash);
      if (server != NULL && load->pace_left_ms > 0)
        hbw_server_pace_set_peer_moment (&server->pace, load->pace_percent,
                                         (gint64) load->pace_left_ms * HBW_US_PER_MS,
                                         now_us);
    }
}

/* Other instances believe that a part is held as long as it is told again. */
static void
update_memory (HbwShard *shard, const HbwContext *context)
{
  gboolean repeats
      = context->now_us - shard->parts_repeated_us >= HBW_LOAD_RESEND_INTERVAL_US;
  if (repeats)
    shard->parts_repeated_us = context->now_us;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      HbwServer *server = g_ptr_array_index (shard->servers, i);
      hbw_engine_memory_expire (server->memory, context->now_us);
      if (repeats && context->load_share != NULL)
        hbw_load_share_repeat_parts (context->load_share, server);
    }
}

void
hbw_shard_tick (HbwShard *shard, HbwContext *context)
{
  void *arguments[] = { shard, context };
  hbw_queue_foreach (shard->queue, expire_ticket, arguments);
  release_expired_reservations (shard, context);
  update_memory (shard, context);
  hbw_shard_detect_stragglers (shard, context);
  hbw_shard_poll_load_reports (shard, context);
  grant_waiting_requests (shard, context);
}

static void
remove_ticket_of_dead_instance (HbwTicket *ticket, void *data)
{
  void **arguments = data;
  HbwShard *shard = arguments[0];
  HbwContext *context = arguments[1];
  if (hbw_membership_is_dead (context->membership, ticket->origin))
    hbw_shard_remove_ticket (shard, context, ticket);
}

void
hbw_shard_release_dead_instances (HbwShard *shard, HbwContext *context)
{
  void *arguments[] = { shard, context };
  hbw_queue_foreach (shard->queue, remove_ticket_of_dead_instance, arguments);
  GList *reservations = g_hash_table_get_values (shard->reservations);
  for (GList *item = reservations; item != NULL; item = item->next)
    {
      Reservation *reservation = item->data;
      if (hbw_membership_is_dead (context->membership, reservation->origin))
        release_unused_reservation (shard, context, reservation);
    }
  g_list_free (reservations);
  grant_waiting_requests (shard, context);
}

void
hbw_shard_resume (HbwShard *shard, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, shard->reservations);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Reservation *) value)->last_heard_us = now_us;
  shard->rebuild_until_us = now_us + HBW_REBUILD_WINDOW_US;
}

void
hbw_shard_summarize (const HbwShard *shard, HbwShardSummary *summary)
{
  memset (summary, 0, sizeof *summary);
  summary->key = shard->key;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      summary->free_slots += hbw_server_free_slots (server);
      if (server->stopping)
        summary->draining_requests += server->in_progress;
    }
  for (HbwTier tier = 0; tier < HBW_TIER_COUNT; tier++)
    summary->expected_wait_us[tier] = hbw_shard_expected_wait_us (shard, tier);
}

HbwServer *
hbw_shard_find_server (const HbwShard *shard, const char *id)
{
  return hbw_shard_find_server_by_hash (shard, hbw_server_hash_id (id));
}

HbwServer *
hbw_shard_find_server_by_hash (const HbwShard *shard, guint64 hash)
{
  return g_hash_table_lookup (shard->servers_by_hash, &hash);
}

guint
hbw_shard_count_slots (const HbwShard *shard)
{
  guint slots = 0;
  for (guint i = 0; i < shard->servers->len; i++)
    {
      const HbwServer *server = g_ptr_array_index (shard->servers, i);
      if (!server->stopping)
        slots += server->entry.slots;
    }
  return slots;
}
