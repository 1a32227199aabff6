#include "hornbeamwall/core/duty/duty_lease.h"

#include "hornbeamwall/common/clock.h"

/* The margin: at least MARGIN_MIN_US, otherwise this part of the lease. */
#define MARGIN_MIN_US (300 * HBW_US_PER_MS)
#define MARGIN_DIVISOR 10

/* The holder renews, and the others read, once in this part of the lease. */
#define RENEW_DIVISOR 3

/* Delay of each further candidate, as a part of the lease, so that two do not write
   at once. */
#define POSITION_DIVISOR 6

/* Minimum interval between two writes. */
#define WRITE_INTERVAL_US (HBW_US_PER_S / 5)

/* Pause after a call to the store that failed. */
#define FAILURE_PAUSE_US (200 * HBW_US_PER_MS)

/* Tokens of an era are above it by this many bits. */
#define ERA_SHIFT 32
#define ERA_MAX ((gint64) 1 << 20)

/* Writes whose results may still be found in the store.  More are made within the
   time of one lease only if all fail; their results are then found too late. */
#define ATTEMPTS_MAX 16

/* Revision of a record that was not read. */
#define REVISION_NONE (-1)

typedef struct
{
  HbwDutyLeaseCall kind;
  guint64 sequence;
  guint64 token;
  gint64 sent_us;
  gint64 era; /* as known before it was sent */
} Attempt;

struct HbwDutyLease
{
  guint64 identity;
  char name[HBW_NAME_MAX];
  gint64 lease_us;
  gint64 margin_us;
  HbwDutyRecord record; /* as last seen */
  gint64 revision;      /* of it; 0 if the object is absent */
  gint64 seen_since_us;
  gint64 read_us; /* start of the last call to the store */
  gint64 era;
  gint64 era_seen_us;
  guint64 highest_token;
  guint64 highest_sequence;
  gint64 blocked_until_us; /* it does not take the lease before */
  guint64 token;           /* held, or 0 */
  gint64 renewed_us;       /* when the write was sent that the lease counts from */
  gint64 written_us;       /* when the last write was sent */
  guint64 stored_sequence;
  gboolean is_releasing; /* a write that releases the lease was sent */
  gboolean must_read;    /* the result of a write is not known */
  gint64 pause_until_us;
  HbwDutyLeaseCall pending; /* call in progress, or WAIT */
  HbwDutyRecord written;    /* by the write in progress */
  Attempt attempts[ATTEMPTS_MAX];
  guint attempt_count; /* since the lease was last lost; the last ones are kept */
};

gint64
hbw_duty_lease_margin (gint64 lease_us)
{
  return MAX (MARGIN_MIN_US, lease_us / MARGIN_DIVISOR);
}

HbwDutyLease *
hbw_duty_lease_create (guint64 identity, const char *name, gint64 lease_us,
                       gint64 now_us)
{
  HbwDutyLease *lease = g_new0 (HbwDutyLease, 1);
  lease->identity = identity;
  g_strlcpy (lease->name, name, sizeof lease->name);
  lease->lease_us = lease_us;
  lease->margin_us = hbw_duty_lease_margin (lease_us);
  lease->blocked_until_us = now_us + lease_us + lease->margin_us;
  lease->read_us = now_us - lease_us;
  lease->written_us = now_us - lease_us;
  lease->revision = REVISION_NONE;
  hbw_duty_record_clear (&lease->record);
  return lease;
}

void
hbw_duty_lease_destroy (HbwDutyLease *lease)
{
  hbw_duty_record_clear (&lease->record);
  hbw_duty_record_clear (&lease->written);
  g_free (lease);
}

/* --- calls --------------------------------------------------------------------- */

/* Returns the time for which nobody may act before another one does. */
static gint64
full_term_us (const HbwDutyLease *lease)
{
  return lease->lease_us + lease->margin_us;
}

/* A restored store may have lost the writes of a holder that still acts. */
static gboolean
is_era_settled (const HbwDutyLease *lease, gint64 now_us)
{
  return lease->era == 0 || now_us - lease->era_seen_us >= full_term_us (lease);
}

/* Returns when it may take the lease; G_MAXINT64 if it may not. */
static gint64
takeable_from_us (const HbwDutyLease *lease, const HbwDutyLeaseWish *wish)
{
  if (!wish->may_take || lease->revision == REVISION_NONE)
    return G_MAXINT64;
  gint64 wait_us = wish->position * lease->lease_us / POSITION_DIVISOR;
  if (lease->record.holder != HBW_DUTY_HOLDER_NONE)
    wait_us += full_term_us (lease);
  return MAX (lease->seen_since_us + wait_us, lease->blocked_until_us);
}

/* A holder needs the result of its write at once. */
static gboolean
is_read_due (const HbwDutyLease *lease, gint64 now_us)
{
  return lease->token != 0
         || now_us - lease->read_us >= lease->lease_us / RENEW_DIVISOR;
}

static HbwDutyLeaseCall
candidate_wants (const HbwDutyLease *lease, const HbwDutyLeaseWish *wish,
                 gint64 now_us)
{
  if (is_read_due (lease, now_us))
    return HBW_DUTY_LEASE_READ_STALE;
  gint64 from_us = takeable_from_us (lease, wish);
  if (now_us < from_us || !is_era_settled (lease, now_us)
      || now_us - lease->written_us < WRITE_INTERVAL_US)
    return HBW_DUTY_LEASE_WAIT;
  /* One that comes first may have taken it meanwhile. */
  return wish->position > 0 && lease->read_us < from_us ? HBW_DUTY_LEASE_READ_STALE
                                                        : HBW_DUTY_LEASE_TAKE;
}

static HbwDutyLeaseCall
holder_wants (const HbwDutyLease *lease, const HbwDutyLeaseWish *wish, gint64 now_us)
{
  if (!is_era_settled (lease, now_us))
    return HBW_DUTY_LEASE_WAIT; /* the lease runs out */
  if (now_us - lease->written_us < WRITE_INTERVAL_US)
    return HBW_DUTY_LEASE_WAIT;
  if (wish->releases || lease->is_releasing)
    return HBW_DUTY_LEASE_RELEASE;
  gboolean is_due = wish->state_changed
                    || now_us - lease->renewed_us >= lease->lease_us / RENEW_DIVISOR;
  return is_due ? HBW_DUTY_LEASE_RENEW : HBW_DUTY_LEASE_WAIT;
}

HbwDutyLeaseCall
hbw_duty_lease_wants (const HbwDutyLease *lease, const HbwDutyLeaseWish *wish,
                      gint64 now_us)
{
  if (lease->pending != HBW_DUTY_LEASE_WAIT || now_us < lease->pause_until_us)
    return HBW_DUTY_LEASE_WAIT;
  if (lease->must_read)
    return is_read_due (lease, now_us) ? HBW_DUTY_LEASE_READ : HBW_DUTY_LEASE_WAIT;
  if (lease->token != 0)
    return holder_wants (lease, wish, now_us);
  return wish->is_candidate ? candidate_wants (lease, wish, now_us)
                            : HBW_DUTY_LEASE_WAIT;
}

static guint64
next_token (const HbwDutyLease *lease)
{
  guint64 floor = (guint64) MIN (lease->era, ERA_MAX) << ERA_SHIFT;
  return MAX (lease->highest_token, floor) + 1;
}

static void
note_attempt (HbwDutyLease *lease, HbwDutyLeaseCall kind, gint64 now_us)
{
  Attempt *attempt = &lease->attempts[lease->attempt_count++ % ATTEMPTS_MAX];
  *attempt = (Attempt){ .kind = kind, .sent_us = now_us, .era = lease->era };
  attempt->sequence = lease->written.sequence;
  attempt->token = lease->written.fencing_token;
  lease->written_us = now_us;
}

static void
begin_write (HbwDutyLease *lease, HbwDutyLeaseCall kind, json_t *tasks,
             gint64 now_us, HbwDutyStoreCall *call)
{
  HbwDutyRecord *written = &lease->written;
  hbw_duty_record_clear (written);
  written->holder
      = kind == HBW_DUTY_LEASE_RELEASE ? HBW_DUTY_HOLDER_NONE : lease->identity;
  g_strlcpy (written->name, lease->name, sizeof written->name);
  written->fencing_token
      = kind == HBW_DUTY_LEASE_TAKE ? next_token (lease) : lease->token;
  written->sequence = ++lease->highest_sequence;
  written->tasks
      = json_incref (kind == HBW_DUTY_LEASE_TAKE ? lease->record.tasks : tasks);
  note_attempt (lease, kind, now_us);
  lease->is_releasing |= kind == HBW_DUTY_LEASE_RELEASE;
  call->kind = HBW_DUTY_STORE_WRITE;
  call->base_revision = lease->revision;
  call->body = hbw_duty_record_format (written);
}

guint64
hbw_duty_lease_begin (HbwDutyLease *lease, HbwDutyLeaseCall kind, json_t *tasks,
                      gint64 now_us, HbwDutyStoreCall *call)
{
  *call = (HbwDutyStoreCall){ .kind = HBW_DUTY_STORE_READ };
  lease->pending = kind;
  lease->read_us = now_us;
  if (kind == HBW_DUTY_LEASE_READ_STALE)
    call->kind = HBW_DUTY_STORE_READ_STALE;
  if (kind == HBW_DUTY_LEASE_READ || kind == HBW_DUTY_LEASE_READ_STALE)
    return 0;
  begin_write (lease, kind, tasks, now_us, call);
  return lease->written.sequence;
}

/* --- results ------------------------------------------------------------------- */

/* Ends the time as holder.  Writes that are still on their way do not renew it. */
static void
give_up (HbwDutyLease *lease, gint64 now_us)
{
  lease->token = 0;
  lease->stored_sequence = 0;
  lease->is_releasing = FALSE;
  lease->attempt_count = 0;
  lease->must_read = FALSE;
  lease->blocked_until_us = now_us + full_term_us (lease);
}

/* Returns the attempt that has written the record as it was seen, or NULL. */
static const Attempt *
find_attempt (const HbwDutyLease *lease)
{
  for (guint i = 0; i < MIN (lease->attempt_count, ATTEMPTS_MAX); i++)
    {
      const Attempt *attempt = &lease->attempts[i];
      guint64 holder = attempt->kind == HBW_DUTY_LEASE_RELEASE ? HBW_DUTY_HOLDER_NONE
                                                               : lease->identity;
      if (attempt->sequence == lease->record.sequence
          && attempt->token == lease->record.fencing_token
          && holder == lease->record.holder)
        return attempt;
    }
  return NULL;
}

static HbwDutyLeaseChange
confirm_take (HbwDutyLease *lease, const Attempt *attempt, gint64 now_us)
{
  gint64 valid_until_us = attempt->sent_us + lease->lease_us - lease->margin_us;
  if (now_us >= valid_until_us || now_us < lease->blocked_until_us
      || attempt->token < lease->highest_token)
    {
      give_up (lease, now_us); /* it cannot be told apart from a lost one */
      return HBW_DUTY_LEASE_UNCHANGED;
    }
  lease->token = attempt->token;
  lease->renewed_us = attempt->sent_us;
  lease->stored_sequence = attempt->sequence;
  return HBW_DUTY_LEASE_TAKEN;
}

/* Handles that the store has the write of ATTEMPT. */
static HbwDutyLeaseChange
confirm (HbwDutyLease *lease, const Attempt *attempt, gint64 now_us)
{
  if (attempt->era != lease->era)
    return HBW_DUTY_LEASE_UNCHANGED; /* the store was restored meanwhile */
  if (lease->token == 0)
    return attempt->kind == HBW_DUTY_LEASE_TAKE
               ? confirm_take (lease, attempt, now_us)
               : HBW_DUTY_LEASE_UNCHANGED;
  if (attempt->kind == HBW_DUTY_LEASE_RELEASE)
    {
      give_up (lease, now_us);
      return HBW_DUTY_LEASE_RELEASED;
    }
  if (attempt->kind != HBW_DUTY_LEASE_RENEW || attempt->sent_us < lease->renewed_us)
    return HBW_DUTY_LEASE_UNCHANGED;
  lease->renewed_us = attempt->sent_us;
  lease->stored_sequence = attempt->sequence;
  return HBW_DUTY_LEASE_RENEWED;
}

/* Compares the record, as it was just seen, with what this instance believes. */
static HbwDutyLeaseChange
settle (HbwDutyLease *lease, gint64 now_us)
{
  const Attempt *attempt = find_attempt (lease);
  if (attempt != NULL)
    return confirm (lease, attempt, now_us);
  if (lease->token == 0
      || (lease->record.holder == lease->identity
          && lease->record.fencing_token == lease->token))
    return HBW_DUTY_LEASE_UNCHANGED;
  give_up (lease, now_us);
  return HBW_DUTY_LEASE_LOST;
}

static void
observe_record (HbwDutyLease *lease, const HbwDutyRecord *record, gint64 revision,
                gint64 now_us)
{
  if (revision != lease->revision || record->sequence != lease->record.sequence)
    lease->seen_since_us = now_us;
  lease->revision = revision;
  lease->highest_token = MAX (lease->highest_token, record->fencing_token);
  lease->highest_sequence = MAX (lease->highest_sequence, record->sequence);
  HbwDutyRecord copy;
  hbw_duty_record_copy (&copy, record);
  hbw_duty_record_clear (&lease->record);
  lease->record = copy;
}

static HbwDutyLeaseChange
handle_failure (HbwDutyLease *lease, gboolean is_write, gint64 now_us)
{
  lease->must_read |= is_write;
  lease->pause_until_us = now_us + (is_write ? 0 : FAILURE_PAUSE_US);
  return HBW_DUTY_LEASE_UNCHANGED;
}

/* Handles that the store has a record, or has none. */
static HbwDutyLeaseChange
handle_record (HbwDutyLease *lease, const HbwDutyStoreResult *result, gint64 now_us)
{
  gboolean is_written
      = result->kind == HBW_DUTY_STORE_WRITE && result->outcome == HBW_DUTY_STORE_OK;
  gint64 revision = result->outcome == HBW_DUTY_STORE_ABSENT ? 0 : result->revision;
  if (result->kind == HBW_DUTY_STORE_READ_STALE && revision < lease->revision)
    return HBW_DUTY_LEASE_UNCHANGED;
  HbwDutyRecord record;
  if (is_written)
    hbw_duty_record_copy (&record, &lease->written);
  else
    hbw_duty_record_parse (&record, result->body);
  observe_record (lease, &record, revision, now_us);
  hbw_duty_record_clear (&record);
  lease->must_read = FALSE;
  return settle (lease, now_us);
}

HbwDutyLeaseChange
hbw_duty_lease_handle_result (HbwDutyLease *lease, const HbwDutyStoreResult *result,
                              gint64 now_us)
{
  gboolean is_write = result->kind == HBW_DUTY_STORE_WRITE;
  lease->pending = HBW_DUTY_LEASE_WAIT;
  hbw_duty_lease_observe_era (lease, result->era, now_us);
  gboolean has_record
      = result->outcome == HBW_DUTY_STORE_OK
        || result->outcome == HBW_DUTY_STORE_ABSENT
        || (result->outcome == HBW_DUTY_STORE_CONFLICT && result->body != NULL);
  if (!has_record || result->era != lease->era)
    return handle_failure (lease, is_write, now_us);
  return handle_record (lease, result, now_us);
}

HbwDutyLeaseChange
hbw_duty_lease_tick (HbwDutyLease *lease, gint64 now_us)
{
  if (lease->token == 0 || now_us < lease->renewed_us + lease->lease_us)
    return HBW_DUTY_LEASE_UNCHANGED;
  give_up (lease, now_us);
  return HBW_DUTY_LEASE_LOST;
}

void
hbw_duty_lease_observe_era (HbwDutyLease *lease, gint64 era, gint64 now_us)
{
  if (era <= lease->era)
    return;
  lease->era = era;
  lease->era_seen_us = now_us;
  /* Revisions of another era say nothing. */
  lease->revision = REVISION_NONE;
}

HbwDutyLeaseChange
hbw_duty_lease_observe_token (HbwDutyLease *lease, guint64 token, gint64 now_us)
{
  if (token > HBW_DUTY_NUMBER_MAX)
    return HBW_DUTY_LEASE_UNCHANGED;
  lease->highest_token = MAX (lease->highest_token, token);
  if (lease->token == 0 || token <= lease->token)
    return HBW_DUTY_LEASE_UNCHANGED;
  give_up (lease, now_us);
  return HBW_DUTY_LEASE_LOST;
}

guint64
hbw_duty_lease_token (const HbwDutyLease *lease, gint64 now_us)
{
  return now_us < hbw_duty_lease_valid_until (lease) ? lease->token : 0;
}

gint64
hbw_duty_lease_valid_until (const HbwDutyLease *lease)
{
  return lease->token != 0 && !lease->is_releasing
             ? lease->renewed_us + lease->lease_us - lease->margin_us
             : 0;
}

const HbwDutyRecord *
hbw_duty_lease_record (const HbwDutyLease *lease)
{
  return &lease->record;
}

guint64
hbw_duty_lease_stored_sequence (const HbwDutyLease *lease)
{
  return lease->stored_sequence;
}

gint64
hbw_duty_lease_seen_since (const HbwDutyLease *lease)
{
  return lease->revision != REVISION_NONE ? lease->seen_since_us : 0;
}
