#include "hornbeamwall/core/reducer_state.h"

#include "hornbeamwall/core/admission.h"
#include "hornbeamwall/core/capacity/capacity_task.h"
#include "hornbeamwall/core/duty/duty.h"
#include "hornbeamwall/core/load_share.h"
#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/quarantine.h"
#include "hornbeamwall/core/server.h"
#include "hornbeamwall/core/server_notice.h"
#include "hornbeamwall/core/server_path.h"
#include "hornbeamwall/core/shard_health.h"
#include "hornbeamwall/core/status.h"
#include "hornbeamwall/core/stream_versions.h"
#include "hornbeamwall/core/suspect_share.h"

#include <string.h>

/* A shard that another instance owns is dropped after this long without a message
   about it. */
#define SHARD_IDLE_TIMEOUT_US (10 * HBW_US_PER_S)

static const HbwRetryLimits default_retry_limits
    = { .percent = 10, .extra = 160, .window_us = 10 * HBW_US_PER_S };

/* Age of the catalogue before its first confirmation. */
#define UNCONFIRMED_AGE_US (3600 * HBW_US_PER_S)

guint64
hbw_reducer_find_owner (const HbwShardKey *key, void *data)
{
  HbwReducer *reducer = data;
  if (!reducer->policy->single_owner)
    return reducer->context.self;
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  guint64 owner = hbw_membership_find_owner (reducer->context.membership,
                                             key->data_centre, text);
  return owner != 0 ? owner : reducer->context.self;
}

HbwShard *
hbw_reducer_find_shard (const HbwReducer *reducer, const HbwShardKey *key)
{
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  return g_hash_table_lookup (reducer->shards, text);
}

static void
update_shard_servers (HbwReducer *reducer, HbwShard *shard)
{
  const HbwTopology *topology = hbw_server_list_topology (reducer->server_list);
  const GPtrArray *servers
      = topology != NULL ? hbw_topology_shard_servers (topology, &shard->key) : NULL;
  GPtrArray *none = g_ptr_array_new ();
  hbw_shard_set_servers (shard, &reducer->context, servers != NULL ? servers : none);
  g_ptr_array_free (none, TRUE);
}

/* Returns the shard of KEY; creates it if this instance does not hold it yet. */
HbwShard *
hbw_reducer_ensure_shard (HbwReducer *reducer, const HbwShardKey *key)
{
  HbwShard *shard = hbw_reducer_find_shard (reducer, key);
  if (shard != NULL)
    return shard;
  HbwContext *context = &reducer->context;
  guint peers = hbw_membership_count_alive (context->membership, key->data_centre);
  gboolean alone = peers <= 1 || !reducer->policy->single_owner;
  shard = hbw_shard_create (reducer->policy, key, context->now_us,
                            alone ? 0 : HBW_REBUILD_WINDOW_US);
  char text[HBW_SHARD_KEY_TEXT_MAX];
  hbw_shard_key_format (key, text, sizeof text);
  g_hash_table_insert (reducer->shards, g_strdup (text), shard);
  hbw_effects_log (context->effects, HBW_LOG_OWNER_GAINED, "shard=%s", text);
  update_shard_servers (reducer, shard);
  return shard;
}

static gboolean
drop_idle_shard (gpointer key, gpointer value, gpointer data)
{
  HbwReducer *reducer = data;
  HbwShard *shard = value;
  HbwContext *context = &reducer->context;
  if (context->now_us - shard->last_entry_message_us < SHARD_IDLE_TIMEOUT_US
      || g_hash_table_size (shard->reservations) > 0
      || hbw_queue_length (shard->queue) > 0
      || hbw_reducer_find_owner (&shard->key, reducer) == context->self)
    return FALSE;
  hbw_effects_log (context->effects, HBW_LOG_OWNER_LOST, "shard=%s",
                   (const char *) key);
  return TRUE;
}

void
hbw_reducer_update_shard_servers (HbwReducer *reducer)
{
  GHashTableIter iter;
  gpointer value;
  hbw_capacity_handle_servers (&reducer->context,
                               hbw_server_list_topology (reducer->server_list));
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    update_shard_servers (reducer, value);
}

void
hbw_reducer_handle_drain (HbwReducer *reducer)
{
  if (reducer->draining)
    return;
  reducer->draining = TRUE;
  gint64 now_us = reducer->context.now_us;
  hbw_ingress_drain (reducer->ingress, now_us + reducer->drain_grace_us,
                     reducer->drain_waiting_us > 0
                         ? now_us + reducer->drain_waiting_us
                         : G_MAXINT64);
  hbw_membership_leave (reducer->context.membership, &reducer->context);
  hbw_effects_log (reducer->context.effects, HBW_LOG_INSTANCE_DRAINING,
                   "in_progress=%u", hbw_ingress_request_count (reducer->ingress));
}

void
hbw_reducer_observe_store_era (HbwReducer *reducer, gint64 number, gint64 age_us)
{
  HbwContext *context = &reducer->context;
  gint64 before = context->store_era.number;
  if (!hbw_store_era_observe (&context->store_era, number, age_us, context->now_us))
    return;
  hbw_effects_log (context->effects, HBW_LOG_STORE_ERA,
                   "era=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
                   " age_ms=%" G_GINT64_FORMAT,
                   number, before, age_us / HBW_US_PER_MS);
  hbw_suspect_archive_handle_restore (reducer->suspect_archive, context);
}

static void
fill_ping (HbwPing *ping, void *data)
{
  HbwReducer *reducer = data;
  HbwContext *context = &reducer->context;
  for (guint i = 0; i < HBW_DOCUMENT_COUNT; i++)
    ping->versions[i]
        = hbw_documents_version (reducer->documents, (HbwDocumentKind) i);
  ping->catalogue_age_us = context->now_us - context->catalogue_confirmed_us;
  ping->suspects_digest = hbw_suspect_share_digest (context->suspect_share, context);
  ping->store_era = context->store_era.number;
  ping->store_era_age_us = hbw_store_era_age (&context->store_era, context->now_us);
  hbw_shard_router_add_summaries (hbw_ingress_shard_router (reducer->ingress),
                                  context, ping);
}

static void
deliver_loopback (HbwReducer *reducer)
{
  HbwMessage *message;
  while ((message = g_queue_pop_head (reducer->context.loopback)) != NULL)
    {
      hbw_reducer_handle_message (reducer, message);
      hbw_message_clear (message);
      g_free (message);
    }
}

static void
handle_pause (HbwReducer *reducer, gint64 pause_us)
{
  HbwContext *context = &reducer->context;
  hbw_effects_log (context->effects, HBW_LOG_CLOCK_JUMP,
                   "paused_ms=%" G_GINT64_FORMAT, pause_us / HBW_US_PER_MS);
  hbw_membership_resume (context->membership, context->now_us);
  hbw_suspect_share_resume (context->suspect_share, context);
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard))
    hbw_shard_resume (shard, context->now_us);
}

/* Any event may be the first one after a pause: the runtime handles requests before
   the tick that is due. */
static void
detect_pause (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  gint64 elapsed_us = context->now_us - reducer->last_tick_us;
  if (reducer->last_tick_us == 0 || elapsed_us <= HBW_PAUSE_THRESHOLD_US)
    return;
  reducer->last_tick_us = context->now_us;
  handle_pause (reducer, elapsed_us);
}

static gboolean
is_unknown_instance (gpointer key, gpointer value G_GNUC_UNUSED, gpointer data)
{
  const guint64 *identity = key;
  HbwReducer *reducer = data;
  return hbw_membership_find_address (reducer->context.membership, *identity)
         == NULL;
}

static void
handle_membership_change (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  guint64 epoch = hbw_membership_epoch (context->membership);
  if (epoch == reducer->membership_epoch)
    return;
  reducer->membership_epoch = epoch;
  g_hash_table_foreach_remove (reducer->reported_versions, is_unknown_instance,
                               reducer);
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard))
    hbw_shard_release_dead_instances (shard, context);
}

static void
tick_shards (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  HbwShardRouter *router = hbw_ingress_shard_router (reducer->ingress);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      HbwShard *shard = value;
      hbw_shard_tick (shard, context);
      if (hbw_reducer_find_owner (&shard->key, reducer) != context->self)
        continue;
      HbwShardSummary summary;
      hbw_shard_summarize (shard, &summary);
      hbw_shard_router_update_summary (router, &summary, context->now_us);
    }
  g_hash_table_foreach_remove (reducer->shards, drop_idle_shard, reducer);
}

/* When the path to the servers is lost, or was found again, what attempts have shown
   of them until then does not count. */
static void
handle_path_change (HbwReducer *reducer)
{
  GHashTableIter iter;
  gpointer shard;
  gboolean is_lost
      = hbw_server_path_state (reducer->context.server_path) == HBW_PATH_LOST;
  if (is_lost == reducer->path_lost)
    return;
  reducer->path_lost = is_lost;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (!reducer->policy->single_owner
         && g_hash_table_iter_next (&iter, NULL, &shard))
    hbw_shard_forget_failures (shard);
}

static void
handle_tick (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  reducer->last_tick_us = context->now_us;
  hbw_membership_tick (context->membership, context);
  handle_membership_change (reducer);
  hbw_documents_tick (reducer->documents, context);
  hbw_reducer_settle_servers (reducer);
  tick_shards (reducer);
  hbw_ingress_tick (reducer->ingress, context);
  handle_path_change (reducer);
  hbw_server_notices_tick (context->server_notices, context);
  hbw_suspect_share_tick (context->suspect_share, context);
  hbw_suspect_archive_tick (reducer->suspect_archive, context);
  if (reducer->max_revocation_delay_us > 0)
    hbw_freshness_monitor_tick (
        reducer->freshness_monitor, context,
        hbw_documents_version (reducer->documents, HBW_DOCUMENT_CATALOGUE));
  hbw_reducer_tick_duties (reducer);
}

static void
handle_store_state (HbwReducer *reducer, const HbwStoreState *state)
{
  hbw_reducer_observe_store_era (reducer, state->era, 0);

  HbwControlMetrics *metrics = hbw_metrics_control (reducer->context.metrics);
  metrics->store_call_count[state->document] += state->calls;
  metrics->store_failures[state->document] += state->up ? 0 : 1;
  metrics->store_cut_watches[state->document] += state->cut_watches;
  metrics->store_outages[state->document] = state->outages;
  metrics->store_kept_entries[state->document] = state->kept;
  if (reducer->store_up == state->up)
    return;
  reducer->store_up = state->up;
  hbw_effects_log (
      reducer->context.effects, state->up ? HBW_LOG_STORE_UP : HBW_LOG_STORE_DOWN,
      "instance=%" G_GUINT64_FORMAT " document=%s failed_after_ms=%" G_GINT64_FORMAT,
      reducer->context.self, hbw_document_kind_name (state->document),
      state->failed_after_us / HBW_US_PER_MS);
}

static void
handle_suspects_read (HbwReducer *reducer, const HbwStoredSuspects *stored)
{
  HbwContext *context = &reducer->context;
  hbw_metrics_control (context->metrics)->suspect_store_calls += stored->calls;
  hbw_reducer_observe_store_era (reducer, stored->era, 0);
  hbw_suspect_archive_handle_read (reducer->suspect_archive, context, stored);
  hbw_suspect_share_handle_stored (context->suspect_share, context);
}

static const HbwServerEntry *
find_server (const HbwReducer *reducer, const char *id)
{
  HbwShardKey key;
  const HbwTopology *topology = hbw_server_list_topology (reducer->server_list);
  return topology != NULL ? hbw_topology_find_server (topology, id, &key) : NULL;
}

static void
handle_server_notice (HbwReducer *reducer, const HbwServerNotice *notice)
{
  HbwContext *context = &reducer->context;
  const HbwServerEntry *entry = find_server (reducer, notice->server);
  if (entry != NULL)
    hbw_server_notices_handle_response (context->server_notices, context, notice,
                                        entry->start_number);
}

/* Opens the way to a listed server for another instance, unless this one doubts its
   own path or is stopping. */
static void
answer_tunnel (HbwReducer *reducer, const HbwTunnelRequest *request)
{
  HbwContext *context = &reducer->context;
  const HbwServerEntry *entry = find_server (reducer, request->server);
  gboolean accepted
      = entry != NULL && !reducer->draining
        && hbw_server_path_state (context->server_path) == HBW_PATH_DIRECT
        && hbw_membership_has_host (context->membership, request->peer_host);
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_ANSWER_TUNNEL);
  effect->tunnel.sequence = request->sequence;
  if (!accepted)
    return;
  hbw_metrics_control (context->metrics)->tunnels_opened++;
  g_strlcpy (effect->tunnel.address, entry->address, sizeof effect->tunnel.address);
}

static void
handle_load_report (HbwReducer *reducer, const HbwLoadReport *load)
{
  GHashTableIter iter;
  gpointer shard;
  g_hash_table_iter_init (&iter, reducer->shards);
  while (g_hash_table_iter_next (&iter, NULL, &shard))
    hbw_shard_handle_load_report (shard, &reducer->context, load);
}

static void
handle_event (HbwReducer *reducer, const HbwEvent *event)
{
  HbwContext *context = &reducer->context;
  switch (event->kind)
    {
    case HBW_EVENT_TICK:
      handle_tick (reducer);
      break;
    case HBW_EVENT_REQUEST_ARRIVED:
      hbw_ingress_handle_arrival (reducer->ingress, context, &event->arrival);
      break;
    case HBW_EVENT_CALLER_GONE:
      hbw_ingress_handle_caller_gone (reducer->ingress, context, event->sequence);
      break;
    case HBW_EVENT_FIRST_TOKEN:
      hbw_ingress_handle_first_token (reducer->ingress, context,
                                      &event->first_token);
      break;
    case HBW_EVENT_ATTEMPT_SILENT:
      hbw_ingress_handle_silence (reducer->ingress, context, &event->silence);
      break;
    case HBW_EVENT_CATALOGUE_CONFIRMED:
      hbw_freshness_monitor_handle_store (
          reducer->freshness_monitor, context, &event->confirmation,
          hbw_documents_version (reducer->documents, HBW_DOCUMENT_CATALOGUE));
      break;
    case HBW_EVENT_ATTEMPT_ENDED:
      hbw_ingress_handle_attempt_end (reducer->ingress, context, &event->end);
      break;
    case HBW_EVENT_LOAD_REPORT:
      handle_load_report (reducer, &event->load);
      break;
    case HBW_EVENT_SERVER_RESPONDED:
      hbw_quarantine_handle_response (
          context->quarantine, hbw_server_hash_id (event->response.server),
          event->response.connection_opened_us, context->now_us);
      if (!event->response.is_tunnelled)
        hbw_server_path_handle_heard (context->server_path, context->now_us);
      break;
    case HBW_EVENT_SERVER_NOTICE:
      handle_server_notice (reducer, &event->notice);
      break;
    case HBW_EVENT_TUNNEL_ASKED:
      answer_tunnel (reducer, &event->tunnel);
      break;
    case HBW_EVENT_SERVER_CHECKED:
      hbw_server_path_handle_check (context->server_path, context, &event->check);
      hbw_ingress_handle_server_check (reducer->ingress, context, &event->check);
      break;
    case HBW_EVENT_DOCUMENT_READ:
      hbw_reducer_handle_document_read (reducer, &event->document);
      break;
    case HBW_EVENT_SUSPECTS_READ:
      handle_suspects_read (reducer, &event->suspects);
      break;
    case HBW_EVENT_SUSPECTS_WRITTEN:
      hbw_metrics_control (context->metrics)->suspect_store_calls
          += event->suspects.calls;
      hbw_reducer_observe_store_era (reducer, event->suspects.era, 0);
      hbw_suspect_archive_handle_written (reducer->suspect_archive, context,
                                          &event->suspects);
      break;
    case HBW_EVENT_STORE_STATE:
      handle_store_state (reducer, &event->store);
      break;
    case HBW_EVENT_MESSAGE:
      hbw_reducer_handle_message (reducer, &event->message);
      break;
    case HBW_EVENT_DRAIN:
      hbw_reducer_handle_drain (reducer);
      break;
    case HBW_EVENT_SEED:
      hbw_membership_add_seed (context->membership, event->seed);
      break;
    case HBW_EVENT_COLLECT_VERSIONS:
      hbw_membership_ping_all (context->membership, context, NULL);
      break;
    case HBW_EVENT_DUTY_STORE:
    case HBW_EVENT_DUTY_CALL:
      hbw_reducer_handle_duty_event (reducer, event);
      break;
    case HBW_EVENT_CALLER_MEMORY:
      hbw_metrics_control (context->metrics)->caller_memory = event->caller_memory;
      break;
    default:
      break;
    }
}

/* Counts and logs the message of the effect INDEX, and removes it. */
static void
drop_message (HbwReducer *reducer, HbwEffects *effects, guint index)
{
  const HbwSendMessage *send = &hbw_effects_get (effects, index)->send;
  HbwMessageKind kind = send->message.kind;
  guint64 to = send->to;
  hbw_metrics_control (reducer->context.metrics)->messages_dropped[kind]++;
  hbw_effects_remove (effects, index);
  hbw_effects_log (effects, HBW_LOG_MESSAGE_DROPPED,
                   "kind=%s to=%" G_GUINT64_FORMAT " instance=%s",
                   hbw_message_kind_name (kind), to,
                   hbw_membership_find_name (reducer->context.membership, to));
}

/* Adds the addresses of the messages' receivers; drops messages to unknown ones. */
static void
address_messages (HbwReducer *reducer, HbwEffects *effects, guint from)
{
  for (guint i = hbw_effects_count (effects); i > from; i--)
    {
      HbwEffect *effect = hbw_effects_edit (effects, i - 1);
      if (effect->kind != HBW_EFFECT_SEND_MESSAGE || *effect->send.address != '\0')
        continue;
      const char *address = hbw_membership_find_address (reducer->context.membership,
                                                         effect->send.to);
      if (address != NULL)
        g_strlcpy (effect->send.address, address, sizeof effect->send.address);
      else
        drop_message (reducer, effects, i - 1);
    }
}

static void
count_sent_messages (HbwReducer *reducer, const HbwEffects *effects, guint from)
{
  HbwControlMetrics *control = hbw_metrics_control (reducer->context.metrics);
  for (guint i = from; i < hbw_effects_count (effects); i++)
    {
      const HbwEffect *effect = hbw_effects_get (effects, i);
      if (effect->kind == HBW_EFFECT_SEND_MESSAGE)
        control->messages_sent[effect->send.message.kind]++;
    }
}

HbwReducer *
hbw_reducer_create (const HbwReducerConfig *config)
{
  HbwReducer *reducer = g_new0 (HbwReducer, 1);
  HbwContext *context = &reducer->context;
  context->now_us = config->now_us;
  context->self = config->self.identity;
  g_strlcpy (context->data_centre, config->self.data_centre,
             sizeof context->data_centre);
  context->random = g_rand_new_with_seed (config->seed);
  context->planned_stops
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  context->loopback = g_queue_new ();
  context->membership = hbw_membership_create (&config->self);
  context->metrics = hbw_metrics_create ();
  context->quarantine = hbw_quarantine_create (context->self);
  gboolean is_alone = config->seeds == NULL || config->seeds[0] == NULL;
  context->suspect_share
      = hbw_suspect_share_create (is_alone, config->stores_suspects, config->now_us);
  /* Until it is complete, it is not known which suspects are active elsewhere. */
  if (!hbw_suspect_share_is_complete (context->suspect_share))
    hbw_quarantine_suspend_verdicts (context->quarantine, config->now_us,
                                     G_MAXINT64);
  context->server_notices = hbw_server_notices_create ();
  context->stream_versions = hbw_stream_versions_create ();
  context->server_path = hbw_server_path_create ();
  hbw_reducer_create_duties (reducer, config);
  context->load_share
      = config->policy->spans_data_centres ? hbw_load_share_create () : NULL;
  hbw_membership_set_ping_decorator (context->membership, fill_ping, reducer);
  for (guint i = 0; config->seeds != NULL && config->seeds[i] != NULL; i++)
    hbw_membership_add_seed (context->membership, config->seeds[i]);
  reducer->policy = config->policy;
  reducer->max_revocation_delay_us = config->max_revocation_delay_us;
  reducer->drain_grace_us = config->drain_grace_us;
  reducer->drain_waiting_us = config->drain_waiting_us;
  context->catalogue_confirmed_us = config->now_us - UNCONFIRMED_AGE_US;
  context->load_in_answers = config->load_in_answers;
  context->ramps_servers = config->ramps_servers;
  g_strlcpy (reducer->name, config->self.name, sizeof reducer->name);
  reducer->documents = hbw_documents_create ();
  reducer->server_list = hbw_server_list_create (
      reducer->policy->spans_data_centres ? context->data_centre : NULL);
  reducer->freshness_monitor = hbw_freshness_monitor_create ();
  reducer->suspect_archive = hbw_suspect_archive_create ();
  reducer->ingress = hbw_ingress_create (hbw_reducer_find_owner, reducer,
                                         config->retry_limits.window_us > 0
                                             ? &config->retry_limits
                                             : &default_retry_limits);
  reducer->shards = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           (GDestroyNotify) hbw_shard_destroy);
  reducer->reported_versions
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  reducer->store_up = TRUE;
  return reducer;
}

void
hbw_reducer_destroy (HbwReducer *reducer)
{
  HbwContext *context = &reducer->context;
  HbwMessage *message;
  while ((message = g_queue_pop_head (context->loopback)) != NULL)
    {
      hbw_message_clear (message);
      g_free (message);
    }
  g_queue_free (context->loopback);
  g_hash_table_destroy (reducer->shards);
  g_hash_table_destroy (reducer->reported_versions);
  hbw_ingress_destroy (reducer->ingress);
  hbw_documents_destroy (reducer->documents);
  hbw_server_list_destroy (reducer->server_list);
  hbw_freshness_monitor_destroy (reducer->freshness_monitor);
  hbw_suspect_archive_destroy (reducer->suspect_archive);
  if (context->catalogue != NULL)
    hbw_catalogue_unref (context->catalogue);
  hbw_membership_destroy (context->membership);
  hbw_metrics_destroy (context->metrics);
  hbw_quarantine_destroy (context->quarantine);
  hbw_suspect_share_destroy (context->suspect_share);
  hbw_server_notices_destroy (context->server_notices);
  hbw_stream_versions_destroy (context->stream_versions);
  hbw_server_path_destroy (context->server_path);
  hbw_reducer_destroy_duties (reducer);
  if (context->load_share != NULL)
    hbw_load_share_destroy (context->load_share);
  g_hash_table_unref (context->planned_stops);
  g_rand_free (context->random);
  g_free (reducer);
}

void
hbw_reducer_step (HbwReducer *reducer, const HbwEvent *event, HbwEffects *effects)
{
  HbwContext *context = &reducer->context;
  guint before = hbw_effects_count (effects);
  context->now_us = event->now_us;
  context->wall_us = event->wall_us;
  context->effects = effects;
  detect_pause (reducer);
  handle_event (reducer, event);
  deliver_loopback (reducer);
  if (context->load_share != NULL)
    hbw_load_share_send (context->load_share, context);
  hbw_suspect_share_send (context->suspect_share, context);
  context->effects = NULL;
  address_messages (reducer, effects, before);
  count_sent_messages (reducer, effects, before);
}

/* An instance whose catalogue is too old to rule out revoked keys reports itself as
   not ready, so that callers use other instances. */
static gboolean
is_catalogue_fresh (const HbwReducer *reducer)
{
  const HbwContext *context = &reducer->context;
  const HbwFreshness freshness = { context->now_us - context->catalogue_confirmed_us,
                                   reducer->max_revocation_delay_us };
  return hbw_freshness_accepts_keys (&freshness);
}

gboolean
hbw_reducer_is_ready (const HbwReducer *reducer)
{
  return is_catalogue_fresh (reducer) && reducer->context.catalogue != NULL
         && hbw_server_list_topology (reducer->server_list) != NULL
         && reducer->context.planned_stops_known
         && hbw_suspect_share_is_complete (reducer->context.suspect_share)
         && hbw_server_path_is_usable (reducer->context.server_path,
                                       reducer->context.now_us)
         && !reducer->draining;
}

gint64
hbw_reducer_catalogue_confirmed_us (const HbwReducer *reducer)
{
  return reducer->context.catalogue_confirmed_us;
}

gboolean
hbw_reducer_is_store_watcher (const HbwReducer *reducer)
{
  if (reducer->max_revocation_delay_us > 0)
    return hbw_freshness_monitor_is_watcher (reducer->freshness_monitor,
                                             &reducer->context);
  return hbw_membership_is_self_in_top (reducer->context.membership, "watch",
                                        HBW_STORE_WATCHERS);
}

guint
hbw_reducer_request_count (const HbwReducer *reducer)
{
  return hbw_ingress_request_count (reducer->ingress);
}

gboolean
hbw_reducer_is_order_sender (const HbwReducer *reducer)
{
  return !reducer->draining
         && hbw_membership_is_self_in_top (reducer->context.membership, "orders", 1);
}

gboolean
hbw_reducer_is_draining (const HbwReducer *reducer)
{
  return reducer->draining;
}

gint64
hbw_reducer_document_version (const HbwReducer *reducer, HbwDocumentKind kind)
{
  return hbw_documents_version (reducer->documents, kind);
}

void
hbw_reducer_render_metrics (const HbwReducer *reducer, GString *text)
{
  const HbwQuarantine *quarantine = reducer->context.quarantine;
  hbw_metrics_render (reducer->context.metrics, text);
  g_string_append_printf (
      text,
      "hornbeamwall_suspects %u\n"
      "hornbeamwall_suspects_evicted_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_suspects_searched_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_servers_limited %u\n"
      "hornbeamwall_stream_versions %u\n",
      hbw_quarantine_size (quarantine), hbw_quarantine_evicted_count (quarantine),
      hbw_quarantine_searched_count (quarantine),
      hbw_server_notices_count_limited (reducer->context.server_notices),
      hbw_stream_versions_count (reducer->context.stream_versions));
  if (reducer->context.duty != NULL)
    hbw_duty_render_metrics (reducer->context.duty, reducer->context.now_us, text);
  hbw_capacity_render_metrics (&reducer->context, text);
}

const HbwControlMetrics *
hbw_reducer_control_metrics (const HbwReducer *reducer)
{
  return hbw_metrics_control (reducer->context.metrics);
}

static HbwStatusSource
status_source (const HbwReducer *reducer)
{
  const HbwStatusSource source = {
    .context = &reducer->context,
    .documents = reducer->documents,
    .shards = reducer->shards,
    .reported_versions = reducer->reported_versions,
    .topology = hbw_server_list_topology (reducer->server_list),
    .shard_router = hbw_ingress_shard_router (reducer->ingress),
    .requests = hbw_ingress_request_count (reducer->ingress),
    .store_up = reducer->store_up,
    .draining = reducer->draining,
  };
  return source;
}

void
hbw_reducer_render_status (const HbwReducer *reducer, GString *text)
{
  const HbwStatusSource source = status_source (reducer);
  hbw_status_render (&source, text);
}

void
hbw_reducer_render_stops (const HbwReducer *reducer, GString *text)
{
  const HbwStatusSource source = status_source (reducer);
  hbw_status_render_stops (&source, text);
}

void
hbw_reducer_render_rollout (const HbwReducer *reducer, GString *text)
{
  const HbwStatusSource source = status_source (reducer);
  hbw_status_render_rollout (&source, text);
}
