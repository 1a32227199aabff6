#include "hornbeamwall/core/duty/duty.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/duty/duty_fleet.h"
#include "hornbeamwall/core/duty/duty_lease.h"
#include "hornbeamwall/core/membership/membership.h"

#include <string.h>

#define STATUS_INTERVAL_US HBW_US_PER_S

/* Delay of the next call after one that was neither accepted nor answered with
   "unavailable"; it doubles up to the maximum. */
#define BACKOFF_MIN_US (200 * HBW_US_PER_MS)
#define BACKOFF_MAX_US (2 * HBW_US_PER_S)

/* Multiple of the shortest interval between calls that the rate limit allows, as
   delays in the network vary. */
#define INTERVAL_FACTOR 1.1

/* Number of latest writes for which the state numbers of the tasks are kept. */
#define SAVES_MAX 16

/* Size of the text that describes a call, in bytes. */
#define CALL_TEXT_MAX (HBW_SERVICE_NAME_MAX + 2 * HBW_NAME_MAX + 64)

typedef struct
{
  HbwDutyTask *task; /* owned */
  guint64 stored_number;
  guint64 saved_numbers[SAVES_MAX];
} TaskEntry;

struct HbwDuty
{
  HbwDutyConfig config;
  HbwDutyLease *lease;
  HbwDutyFleet *fleet;
  GArray *tasks;        /* TaskEntry */
  json_t *stored_tasks; /* as found when the lease was taken, or NULL */
  guint64 saved_sequences[SAVES_MAX];
  guint save_count;
  gboolean is_draining;
  gint64 now_us; /* of the current step */

  HbwDutyStatus status; /* last one sent or heard */
  guint64 holder;       /* that sent it, or 0 */
  gint64 next_status_us;
  gint64 window;
  gint64 window_began_us;

  gboolean is_calling;
  guint calling_task; /* index */
  HbwDutyCall call;   /* in progress */
  guint64 call_token;
  gint64 called_us;
  gint64 open_until_us; /* a call without a response may be executed until then */
  gint64 next_call_us;
  gint64 backoff_us;
  guint next_task;

  guint64 store_calls;
  guint64 store_failures;
  guint64 takes;
  guint64 calls[HBW_DUTY_OUTCOME_COUNT];
};

HbwDuty *
hbw_duty_create (const HbwDutyConfig *config, gint64 now_us)
{
  HbwDuty *duty = g_new0 (HbwDuty, 1);
  duty->config = *config;
  duty->now_us = now_us;
  duty->lease = hbw_duty_lease_create (config->identity, config->name,
                                       config->lease_us, now_us);
  duty->fleet = hbw_duty_fleet_create (config->lease_us);
  duty->tasks = g_array_new (FALSE, TRUE, sizeof (TaskEntry));
  return duty;
}

static TaskEntry *
get_entry (const HbwDuty *duty, guint index)
{
  return &g_array_index (duty->tasks, TaskEntry, index);
}

void
hbw_duty_destroy (HbwDuty *duty)
{
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      HbwDutyTask *task = get_entry (duty, i)->task;
      task->class->destroy (task);
    }
  g_array_free (duty->tasks, TRUE);
  if (duty->is_calling)
    hbw_duty_call_clear (&duty->call);
  json_decref (duty->stored_tasks);
  hbw_duty_fleet_destroy (duty->fleet);
  hbw_duty_lease_destroy (duty->lease);
  g_free (duty);
}

void
hbw_duty_add_task (HbwDuty *duty, HbwDutyTask *task)
{
  TaskEntry entry = { .task = task };
  g_array_append_val (duty->tasks, entry);
}

/* --- state of the tasks -------------------------------------------------------- */

static gboolean
has_changed_state (const HbwDuty *duty)
{
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      const TaskEntry *entry = get_entry (duty, i);
      if (entry->task->class->state_number (entry->task) > entry->stored_number)
        return TRUE;
    }
  return FALSE;
}

/* Returns the state of all tasks; that of tasks which only another build has stays
   as it was found. */
static json_t *
save_tasks (const HbwDuty *duty)
{
  json_t *tasks
      = duty->stored_tasks != NULL ? json_copy (duty->stored_tasks) : json_object ();
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      const HbwDutyTask *task = get_entry (duty, i)->task;
      json_object_set_new (tasks, task->class->name, task->class->save (task));
    }
  return tasks;
}

static void
note_save (HbwDuty *duty, guint64 sequence)
{
  guint slot = duty->save_count++ % SAVES_MAX;
  duty->saved_sequences[slot] = sequence;
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      TaskEntry *entry = get_entry (duty, i);
      entry->saved_numbers[slot] = entry->task->class->state_number (entry->task);
    }
}

/* Handles that the store has the write SEQUENCE. */
static void
note_stored (HbwDuty *duty, guint64 sequence)
{
  for (guint slot = 0; slot < SAVES_MAX; slot++)
    for (guint i = 0;
         i < duty->tasks->len && duty->saved_sequences[slot] == sequence; i++)
      {
        TaskEntry *entry = get_entry (duty, i);
        entry->stored_number
            = MAX (entry->stored_number, entry->saved_numbers[slot]);
      }
}

/* What a task made of its state while loading it is not stored yet. */
static void
load_tasks (HbwDuty *duty, HbwContext *context)
{
  json_decref (duty->stored_tasks);
  duty->stored_tasks = json_incref (hbw_duty_lease_record (duty->lease)->tasks);
  memset (duty->saved_sequences, 0, sizeof duty->saved_sequences);
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      TaskEntry *entry = get_entry (duty, i);
      entry->stored_number = 0;
      entry->task->class->load (
          entry->task, context,
          json_object_get (duty->stored_tasks, entry->task->class->name));
    }
}

/* --- lease --------------------------------------------------------------------- */

static void
log_taken (HbwDuty *duty, HbwContext *context, const char *previous,
           gint64 unchanged_us)
{
  hbw_effects_log (
      context->effects, HBW_LOG_DUTY_LEASE_TAKEN,
      "token=%" G_GUINT64_FORMAT " sequence=%" G_GUINT64_FORMAT
      " previous=%s unchanged_ms=%" G_GINT64_FORMAT
      " position=%u era=%" G_GINT64_FORMAT " valid_ms=%" G_GINT64_FORMAT,
      hbw_duty_lease_token (duty->lease, duty->now_us),
      hbw_duty_lease_record (duty->lease)->sequence,
      *previous != '\0' ? previous : "none", unchanged_us / HBW_US_PER_MS,
      hbw_duty_fleet_position (duty->fleet), context->store_era.number,
      (hbw_duty_lease_valid_until (duty->lease) - duty->now_us) / HBW_US_PER_MS);
}

static void
handle_end (HbwDuty *duty, HbwContext *context, HbwLogEvent event)
{
  hbw_effects_log (context->effects, event,
                   "token=%" G_GUINT64_FORMAT
                   " draining=%d half_alive=%d position=%u"
                   " stored_holder=%" G_GUINT64_FORMAT,
                   duty->status.fencing_token, duty->is_draining,
                   hbw_duty_fleet_has_half_alive (duty->fleet),
                   hbw_duty_fleet_position (duty->fleet),
                   hbw_duty_lease_record (duty->lease)->holder);
  if (duty->holder == duty->config.identity)
    duty->holder = 0;
}

/* Sets the status of this instance as holder. */
static void
make_status (HbwDuty *duty)
{
  duty->holder = duty->config.identity;
  duty->status = (HbwDutyStatus){ .window = duty->window };
  duty->status.fencing_token = hbw_duty_lease_token (duty->lease, duty->now_us);
  duty->status.deputy = hbw_duty_fleet_deputy (duty->fleet);
  if (duty->window != 0)
    duty->status.window_age_us = MAX (0, duty->now_us - duty->window_began_us);
}

static void
send_status_if_due (HbwDuty *duty, HbwContext *context)
{
  if (!hbw_duty_is_holder (duty, duty->now_us)
      || duty->now_us < duty->next_status_us)
    return;
  duty->next_status_us = duty->now_us + STATUS_INTERVAL_US;
  make_status (duty);
  const HbwMessage message
      = { .kind = HBW_MESSAGE_DUTY_STATUS, .duty_status = duty->status };
  hbw_membership_broadcast (context->membership, context, NULL, &message);
}

static void
handle_change (HbwDuty *duty, HbwContext *context, HbwDutyLeaseChange change)
{
  switch (change)
    {
    case HBW_DUTY_LEASE_TAKEN:
      duty->takes++;
      duty->next_status_us = duty->now_us;
      duty->backoff_us = 0;
      make_status (duty);
      load_tasks (duty, context);
      break;
    case HBW_DUTY_LEASE_RENEWED:
      note_stored (duty, hbw_duty_lease_stored_sequence (duty->lease));
      break;
    case HBW_DUTY_LEASE_LOST:
      handle_end (duty, context, HBW_LOG_DUTY_LEASE_LOST);
      break;
    case HBW_DUTY_LEASE_RELEASED:
      handle_end (duty, context, HBW_LOG_DUTY_LEASE_RELEASED);
      break;
    default:
      break;
    }
}

static gboolean
wants_release (const HbwDuty *duty)
{
  return duty->is_draining || hbw_duty_fleet_is_unfit (duty->fleet, duty->now_us);
}

/* The next holder begins at once, and must not come before the last call. */
static gboolean
may_release (const HbwDuty *duty)
{
  return wants_release (duty) && !duty->is_calling
         && duty->now_us >= duty->open_until_us;
}

static void
call_store_if_due (HbwDuty *duty, HbwContext *context)
{
  guint position = hbw_duty_fleet_position (duty->fleet);
  gboolean is_candidate = position < HBW_DUTY_CANDIDATES && !duty->is_draining;
  const HbwDutyLeaseWish wish
      = { .is_candidate = is_candidate,
          .position = position,
          .may_take = is_candidate && hbw_duty_fleet_has_half_alive (duty->fleet),
          .releases = may_release (duty),
          .state_changed = has_changed_state (duty) };
  HbwDutyLeaseCall kind = hbw_duty_lease_wants (duty->lease, &wish, duty->now_us);
  if (kind == HBW_DUTY_LEASE_WAIT)
    return;
  gboolean saves = kind == HBW_DUTY_LEASE_RENEW || kind == HBW_DUTY_LEASE_RELEASE;
  json_t *tasks = saves ? save_tasks (duty) : NULL;
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_DUTY_STORE);
  guint64 sequence = hbw_duty_lease_begin (duty->lease, kind, tasks, duty->now_us,
                                           &effect->duty_store);
  if (saves)
    note_save (duty, sequence);
  json_decref (tasks);
  duty->store_calls++;
}

/* --- calls --------------------------------------------------------------------- */

/* Finds the next call, each task in its turn. */
static gboolean
find_call (HbwDuty *duty, HbwContext *context)
{
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      guint index = (duty->next_task + i) % duty->tasks->len;
      TaskEntry *entry = get_entry (duty, index);
      duty->call = (HbwDutyCall){ .kind = HBW_DUTY_CALL_USAGE };
      if (!entry->task->class->next_call (entry->task, context, entry->stored_number,
                                          &duty->call))
        continue;
      duty->calling_task = index;
      duty->next_task = index + 1;
      return TRUE;
    }
  return FALSE;
}

static void
call_duty_if_due (HbwDuty *duty, HbwContext *context)
{
  if (duty->is_calling || duty->now_us < duty->next_call_us || wants_release (duty)
      || !hbw_duty_is_holder (duty, duty->now_us) || !find_call (duty, context))
    return;
  duty->is_calling = TRUE;
  duty->called_us = duty->now_us;
  duty->call_token = hbw_duty_lease_token (duty->lease, duty->now_us);
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_DUTY_CALL);
  hbw_duty_call_copy (&effect->duty_call.call, &duty->call);
  effect->duty_call.fencing_token = duty->call_token;
  effect->duty_call.send_before_us = hbw_duty_lease_valid_until (duty->lease);
}

static void
describe_call (const HbwDutyCall *call, char *text)
{
  if (call->kind == HBW_DUTY_CALL_USAGE)
    g_snprintf (text, CALL_TEXT_MAX, "window=%" G_GINT64_FORMAT " bytes=%zu",
                call->usage.window,
                call->usage.counts != NULL ? g_bytes_get_size (call->usage.counts)
                                           : 0);
  else
    g_snprintf (text, CALL_TEXT_MAX,
                "service=%s data_centre=%s desired=%u reclaimable=%d",
                call->order.service, call->order.data_centre, call->order.desired,
                call->order.reclaimable);
}

/* Sets when the next call may be made. */
static void
schedule_next_call (HbwDuty *duty, HbwDutyOutcome outcome)
{
  if (outcome == HBW_DUTY_ACCEPTED || outcome == HBW_DUTY_UNAVAILABLE)
    duty->backoff_us = 0;
  else
    duty->backoff_us = CLAMP (2 * duty->backoff_us, BACKOFF_MIN_US, BACKOFF_MAX_US);
  duty->next_call_us = duty->now_us + duty->backoff_us;
  if (duty->config.calls_per_s <= 0)
    return;
  gint64 interval_us
      = (gint64) (INTERVAL_FACTOR * HBW_US_PER_S / duty->config.calls_per_s);
  duty->next_call_us = MAX (duty->next_call_us, duty->called_us + interval_us);
}

/* Makes the calls that are due.  After a pause, a result may come before the tick.
 */
static void
advance (HbwDuty *duty, HbwContext *context)
{
  handle_change (duty, context, hbw_duty_lease_tick (duty->lease, duty->now_us));
  call_store_if_due (duty, context);
  call_duty_if_due (duty, context);
  send_status_if_due (duty, context);
}

void
hbw_duty_tick (HbwDuty *duty, HbwContext *context, gboolean is_draining)
{
  duty->now_us = context->now_us;
  duty->is_draining = is_draining;
  hbw_duty_fleet_update (duty->fleet, context);
  hbw_duty_lease_observe_era (duty->lease, context->store_era.number, duty->now_us);
  handle_change (duty, context, hbw_duty_lease_tick (duty->lease, duty->now_us));
  gboolean is_holder = hbw_duty_is_holder (duty, duty->now_us);
  for (guint i = 0; i < duty->tasks->len; i++)
    {
      HbwDutyTask *task = get_entry (duty, i)->task;
      task->class->tick (task, context, is_holder);
    }
  advance (duty, context);
}

void
hbw_duty_handle_store (HbwDuty *duty, HbwContext *context,
                       const HbwDutyStoreResult *result)
{
  char previous[HBW_NAME_MAX];
  gint64 seen_us = hbw_duty_lease_seen_since (duty->lease);
  g_strlcpy (previous, hbw_duty_lease_record (duty->lease)->name, sizeof previous);
  duty->now_us = context->now_us;
  duty->store_failures += result->outcome == HBW_DUTY_STORE_FAILED
                          || result->outcome == HBW_DUTY_STORE_UNKNOWN;
  HbwDutyLeaseChange change
      = hbw_duty_lease_handle_result (duty->lease, result, duty->now_us);
  if (change == HBW_DUTY_LEASE_TAKEN)
    log_taken (duty, context, previous, duty->now_us - seen_us);
  handle_change (duty, context, change);
  advance (duty, context);
}

void
hbw_duty_handle_call (HbwDuty *duty, HbwContext *context,
                      const HbwDutyResult *result)
{
  if (!duty->is_calling || result->id != duty->call.id
      || result->kind != duty->call.kind)
    return;
  char text[CALL_TEXT_MAX];
  duty->now_us = context->now_us;
  duty->calls[result->outcome]++;
  describe_call (&duty->call, text);
  hbw_effects_log (context->effects, HBW_LOG_DUTY_CALL,
                   "kind=%s %s outcome=%s token=%" G_GUINT64_FORMAT
                   " took_ms=%" G_GINT64_FORMAT,
                   hbw_duty_call_kind_name (result->kind), text,
                   hbw_duty_outcome_name (result->outcome), duty->call_token,
                   (duty->now_us - duty->called_us) / HBW_US_PER_MS);
  hbw_duty_call_clear (&duty->call);
  duty->is_calling = FALSE;
  if (result->outcome == HBW_DUTY_UNKNOWN)
    duty->open_until_us = duty->called_us + duty->config.lease_us;
  schedule_next_call (duty, result->outcome);
  HbwDutyTask *task = get_entry (duty, duty->calling_task)->task;
  task->class->handle_result (task, context, result);
  advance (duty, context);
}

void
hbw_duty_handle_status (HbwDuty *duty, HbwContext *context,
                        const HbwMessage *message)
{
  const HbwDutyStatus *status = &message->duty_status;
  duty->now_us = context->now_us;
  if (message->from == duty->config.identity
      || status->fencing_token < duty->status.fencing_token
      || status->fencing_token > HBW_DUTY_NUMBER_MAX)
    return; /* an older holder, or not valid */
  handle_change (duty, context,
                 hbw_duty_lease_observe_token (duty->lease, status->fencing_token,
                                               duty->now_us));
  duty->status = *status;
  duty->holder = message->from;
}

void
hbw_duty_set_window (HbwDuty *duty, gint64 number, gint64 age_us)
{
  duty->window = number;
  duty->window_began_us = duty->now_us - age_us;
}

guint64
hbw_duty_holder (const HbwDuty *duty)
{
  return duty->holder;
}

guint64
hbw_duty_deputy (const HbwDuty *duty)
{
  return duty->status.deputy;
}

const HbwDutyStatus *
hbw_duty_last_status (const HbwDuty *duty)
{
  return &duty->status;
}

gboolean
hbw_duty_is_holder (const HbwDuty *duty, gint64 now_us)
{
  return hbw_duty_lease_token (duty->lease, now_us) != 0;
}

void
hbw_duty_render_metrics (const HbwDuty *duty, gint64 now_us, GString *text)
{
  g_string_append_printf (
      text,
      "hornbeamwall_duty_held %d\n"
      "hornbeamwall_duty_token %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_duty_leases_taken_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_duty_store_calls_total %" G_GUINT64_FORMAT "\n"
      "hornbeamwall_duty_store_failures_total %" G_GUINT64_FORMAT "\n",
      hbw_duty_is_holder (duty, now_us), duty->status.fencing_token, duty->takes,
      duty->store_calls, duty->store_failures);
  for (guint i = 0; i < HBW_DUTY_OUTCOME_COUNT; i++)
    g_string_append_printf (
        text,
        "hornbeamwall_duty_calls_total{outcome=\"%s\"} %" G_GUINT64_FORMAT "\n",
        hbw_duty_outcome_name ((HbwDutyOutcome) i), duty->calls[i]);
}
