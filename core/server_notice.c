#include "hornbeamwall/core/server_notice.h"

#include "hornbeamwall/core/membership/membership.h"
#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/permit_bucket.h"

#include <math.h>
#include <string.h>

/* Interval at which an instance asks for the permits that it needs. */
#define ASK_INTERVAL_US (HBW_PERMIT_VALID_US / 2)

/* Interval at which the owner of a server repeats what the server says. */
#define REPEAT_INTERVAL_US (1 * HBW_US_PER_S)

/* Minimum interval between two broadcasts about one server after responses. */
#define BROADCAST_INTERVAL_US (HBW_US_PER_S / 4)

/* A server that is leaving is forgotten after this time. */
#define LEAVING_KEEP_US (600 * HBW_US_PER_S)

/* Percentages of its slots up to which a brittle server gets requests: in general,
   for the time below after it has turned one away, and the part of both that
   requests below the highest tier may use.  The load of the other instances is known
   only after a delay. */
#define BRITTLE_SLOTS_PERCENT 85
#define BRITTLE_FULL_SLOTS_PERCENT 70
#define BRITTLE_LOWER_TIERS_PERCENT 75
#define BRITTLE_FULL_US (4 * HBW_US_PER_S)

/* What one server has said since its start. */
typedef struct
{
  char server[HBW_NAME_MAX];
  guint64 start_number;
  gboolean has_limit;
  double limit;       /* requests per second */
  gint64 limit_at_us; /* of the response that named it, or named none */
  gboolean is_leaving;
  gint64 leaving_at_us;
  gint64 pause_end_us; /* of this instance; 0 is none */
  guint brittle; /* requests that it can turn away in a second; 0: any number */
  gint64 turned_away_us; /* when it last did, while brittle; 0 is never */

  gboolean is_unsent; /* a change that the others were not told of */
  gint64 sent_us;

  /* Permits of this instance. */
  guint permits;
  gint64 permits_end_us;
  guint wanted; /* used or missed since the last request for permits */
  gint64 missed_us;
  gint64 asked_us;

  HbwPermitBucket *bucket; /* while this instance owns the server, or NULL */
} Record;

struct HbwServerNotices
{
  GHashTable *records; /* server id -> Record */
};

static void
record_free (gpointer data)
{
  Record *record = data;
  g_clear_pointer (&record->bucket, hbw_permit_bucket_destroy);
  g_free (record);
}

HbwServerNotices *
hbw_server_notices_create (void)
{
  HbwServerNotices *notices = g_new0 (HbwServerNotices, 1);
  notices->records
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  return notices;
}

void
hbw_server_notices_destroy (HbwServerNotices *notices)
{
  g_hash_table_destroy (notices->records);
  g_free (notices);
}

/* Returns the record of the server with this start number; a new one replaces that
   of an earlier start.  Returns NULL for an earlier start. */
static Record *
ensure_record (HbwServerNotices *notices, const char *server, guint64 start_number)
{
  Record *record = g_hash_table_lookup (notices->records, server);
  if (record != NULL && record->start_number == start_number)
    return record;
  if (record != NULL && record->start_number > start_number)
    return NULL;
  record = g_new0 (Record, 1);
  g_strlcpy (record->server, server, sizeof record->server);
  record->start_number = start_number;
  g_hash_table_replace (notices->records, record->server, record);
  return record;
}

/* --- what servers say ---------------------------------------------------------- */

static gboolean
has_same_limit (const Record *record, gboolean has_limit, double limit)
{
  return record->has_limit == has_limit && (!has_limit || record->limit == limit);
}

/* Sets the limit that the server named at AT_US, unless a later one is known.
   Returns whether it is another one. */
static gboolean
set_limit (Record *record, HbwContext *context, gboolean has_limit, double limit,
           gint64 at_us, const char *source)
{
  if (at_us <= record->limit_at_us)
    return FALSE;
  record->limit_at_us = at_us;
  if (has_same_limit (record, has_limit, limit))
    return FALSE;
  record->has_limit = has_limit;
  record->limit = limit;
  if (has_limit)
    hbw_effects_log (
        context->effects, HBW_LOG_SERVER_LIMITED,
        "server=%s requests_per_s=%g source=%s age_ms=%" G_GINT64_FORMAT,
        record->server, limit, source, (context->now_us - at_us) / HBW_US_PER_MS);
  else
    hbw_effects_log (context->effects, HBW_LOG_SERVER_LIMIT_LIFTED,
                     "server=%s source=%s age_ms=%" G_GINT64_FORMAT, record->server,
                     source, (context->now_us - at_us) / HBW_US_PER_MS);
  return TRUE;
}

static gboolean
set_leaving (Record *record, HbwContext *context, const char *source)
{
  if (record->is_leaving)
    return FALSE;
  record->is_leaving = TRUE;
  record->leaving_at_us = context->now_us;
  hbw_effects_log (context->effects, HBW_LOG_SERVER_LEAVING, "server=%s source=%s",
                   record->server, source);
  return TRUE;
}

static void
set_pause (Record *record, HbwContext *context, gint64 pause_us)
{
  record->pause_end_us = MAX (record->pause_end_us, context->now_us + pause_us);
  hbw_metrics_control (context->metrics)->server_pauses++;
  hbw_effects_log (context->effects, HBW_LOG_SERVER_PAUSED,
                   "server=%s pause_ms=%" G_GINT64_FORMAT, record->server,
                   pause_us / HBW_US_PER_MS);
}

static gboolean
set_brittle (Record *record, HbwContext *context, guint brittle)
{
  gboolean is_change = (record->brittle > 0) != (brittle > 0);
  record->brittle = brittle;
  if (is_change && brittle > 0)
    hbw_effects_log (context->effects, HBW_LOG_SERVER_BRITTLE,
                     "server=%s turned_away_per_s=%u", record->server, brittle);
  return is_change;
}

void
hbw_server_notices_handle_response (HbwServerNotices *notices, HbwContext *context,
                                    const HbwServerNotice *notice,
                                    guint64 start_number)
{
  if (hbw_server_notice_is_empty (notice)
      && g_hash_table_lookup (notices->records, notice->server) == NULL)
    return;
  Record *record = ensure_record (notices, notice->server, start_number);
  if (record == NULL)
    return;
  if (notice->limit_kind != HBW_SERVER_LIMIT_UNREADABLE)
    record->is_unsent
        |= set_limit (record, context, notice->limit_kind == HBW_SERVER_LIMIT_NAMED,
                      notice->limit, context->now_us, "response");
  record->is_unsent |= set_brittle (record, context, notice->brittle);
  if (notice->is_leaving)
    record->is_unsent |= set_leaving (record, context, "response");
  if (notice->pause_us > 0)
    set_pause (record, context, notice->pause_us);
}

static void send_to_all (Record *record, HbwContext *context);

/* The others hear of it at once, as their requests may be on the way. */
void
hbw_server_notices_handle_refusal (HbwServerNotices *notices, HbwContext *context,
                                   const char *server)
{
  Record *record = g_hash_table_lookup (notices->records, server);
  if (record == NULL || record->brittle == 0)
    return;
  gboolean is_news
      = context->now_us - record->turned_away_us >= HBW_BRITTLE_HOLD_US / 2
        || record->turned_away_us == 0;
  record->turned_away_us = context->now_us;
  if (is_news)
    send_to_all (record, context);
}

/* --- permits ------------------------------------------------------------------- */

static double
permit_rate (const Record *record)
{
  return MAX (record->limit, HBW_PERMIT_RATE_MIN);
}

/* Returns how many permits this instance may hold or ask for at once. */
static guint
permits_max (const Record *record)
{
  double seconds = (double) HBW_PERMIT_VALID_US / HBW_US_PER_S;
  return (guint) MIN (ceil (permit_rate (record) * seconds), G_MAXUINT16);
}

static gboolean
has_permit (const Record *record, gint64 now_us)
{
  return record->permits > 0 && now_us < record->permits_end_us;
}

static Record *
find_current (HbwServerNotices *notices, const HbwServerEntry *entry)
{
  if (g_hash_table_size (notices->records) == 0)
    return NULL;
  Record *record = g_hash_table_lookup (notices->records, entry->id);
  return record != NULL && record->start_number == entry->start_number ? record
                                                                       : NULL;
}

static gboolean
was_turned_away (const Record *record, gint64 within_us, gint64 now_us)
{
  return record->brittle > 0 && record->turned_away_us > 0
         && now_us - record->turned_away_us < within_us;
}

static gboolean
is_held (const Record *record, gint64 now_us)
{
  return was_turned_away (record, HBW_BRITTLE_HOLD_US, now_us);
}

guint
hbw_server_notices_slots_percent (HbwServerNotices *notices,
                                  const HbwServerEntry *entry, HbwTier tier,
                                  gint64 now_us)
{
  const Record *record = find_current (notices, entry);
  if (record == NULL || record->brittle == 0)
    return G_MAXUINT16;
  guint percent = was_turned_away (record, BRITTLE_FULL_US, now_us)
                      ? BRITTLE_FULL_SLOTS_PERCENT
                      : BRITTLE_SLOTS_PERCENT;
  return tier == 0 ? percent : percent * BRITTLE_LOWER_TIERS_PERCENT / 100;
}

gboolean
hbw_server_notices_allow (HbwServerNotices *notices, const HbwServerEntry *entry,
                          gint64 now_us)
{
  Record *record = find_current (notices, entry);
  if (record == NULL)
    return TRUE;
  if (record->is_leaving || now_us < record->pause_end_us
      || is_held (record, now_us))
    return FALSE;
  if (!record->has_limit || has_permit (record, now_us))
    return TRUE;
  /* One request may be considered several times in a step. */
  if (record->missed_us != now_us)
    record->wanted++;
  record->missed_us = now_us;
  return FALSE;
}

void
hbw_server_notices_use (HbwServerNotices *notices, const HbwServerEntry *entry,
                        gint64 now_us)
{
  Record *record = find_current (notices, entry);
  if (record == NULL || !record->has_limit)
    return;
  record->wanted++;
  if (has_permit (record, now_us))
    record->permits--;
}

static void
fill_message (HbwMessage *message, const Record *record, gint64 now_us)
{
  HbwServerNoticeReport *report = &message->notice;
  message->kind = HBW_MESSAGE_SERVER_NOTICE;
  g_strlcpy (report->server, record->server, sizeof report->server);
  report->start_number = record->start_number;
  report->has_limit = record->has_limit;
  report->limit = record->limit;
  report->limit_age_us = record->limit_at_us > 0 ? now_us - record->limit_at_us : -1;
  report->is_leaving = record->is_leaving;
  report->brittle = record->brittle;
  report->turned_away_ago_us
      = record->turned_away_us > 0 ? now_us - record->turned_away_us : -1;
}

static guint64
find_owner (HbwContext *context, const Record *record)
{
  return hbw_membership_find_owner (context->membership, NULL, record->server);
}

static void
ask_for_permits (Record *record, HbwContext *context)
{
  HbwMessage message = { 0 };
  if (record->wanted == 0 || context->now_us - record->asked_us < ASK_INTERVAL_US)
    return;
  fill_message (&message, record, context->now_us);
  message.notice.permits_wanted = MIN (record->wanted, permits_max (record));
  record->wanted = 0;
  record->asked_us = context->now_us;
  hbw_metrics_control (context->metrics)->permits_asked
      += message.notice.permits_wanted;
  hbw_context_send (context, find_owner (context, record), &message);
}

typedef struct
{
  const Record *record;
  HbwContext *context;
} PermitGift;

static void
give_permits (guint64 instance, guint count, void *data)
{
  const PermitGift *gift = data;
  HbwMessage message = { 0 };
  fill_message (&message, gift->record, gift->context->now_us);
  message.notice.permits_given = count;
  hbw_metrics_control (gift->context->metrics)->permits_given += count;
  hbw_context_send (gift->context, instance, &message);
}

static void
run_bucket (Record *record, HbwContext *context)
{
  PermitGift gift = { record, context };
  if (find_owner (context, record) != context->self || !record->has_limit)
    {
      g_clear_pointer (&record->bucket, hbw_permit_bucket_destroy);
      return;
    }
  if (record->bucket != NULL)
    hbw_permit_bucket_run (record->bucket, permit_rate (record), context->now_us,
                           give_permits, &gift);
}

/* --- between instances --------------------------------------------------------- */

static void
handle_asked_permits (Record *record, HbwContext *context, const HbwMessage *message)
{
  if (!record->has_limit)
    {
      /* The instance has not heard yet that the limit was lifted. */
      HbwMessage answer = { 0 };
      fill_message (&answer, record, context->now_us);
      hbw_context_send (context, message->from, &answer);
      return;
    }
  if (record->bucket == NULL)
    record->bucket = hbw_permit_bucket_create (context->now_us);
  hbw_permit_bucket_ask (record->bucket, message->from,
                         MIN (message->notice.permits_wanted, permits_max (record)),
                         context->now_us);
  run_bucket (record, context);
}

static void
handle_given_permits (Record *record, const HbwContext *context, guint count)
{
  if (context->now_us >= record->permits_end_us)
    record->permits = 0;
  record->permits = MIN (record->permits + count, permits_max (record));
  record->permits_end_us = context->now_us + HBW_PERMIT_VALID_US;
}

void
hbw_server_notices_handle_message (HbwServerNotices *notices, HbwContext *context,
                                   const HbwMessage *message)
{
  const HbwServerNoticeReport *report = &message->notice;
  Record *record = ensure_record (notices, report->server, report->start_number);
  if (record == NULL)
    return;
  if (report->limit_age_us >= 0)
    set_limit (record, context, report->has_limit, report->limit,
               context->now_us - report->limit_age_us, "peer");
  if (report->is_leaving)
    set_leaving (record, context, "peer");
  if (report->brittle > 0)
    set_brittle (record, context, report->brittle);
  if (report->turned_away_ago_us >= 0)
    record->turned_away_us
        = MAX (record->turned_away_us, context->now_us - report->turned_away_ago_us);
  if (report->permits_wanted > 0)
    handle_asked_permits (record, context, message);
  if (report->permits_given > 0)
    handle_given_permits (record, context, report->permits_given);
}

static void
send_to_all (Record *record, HbwContext *context)
{
  HbwMessage message = { 0 };
  fill_message (&message, record, context->now_us);
  record->is_unsent = FALSE;
  record->sent_us = context->now_us;
  hbw_membership_broadcast (context->membership, context, NULL, &message);
}

static void
broadcast_if_due (Record *record, HbwContext *context)
{
  gint64 since_us = context->now_us - record->sent_us;
  gboolean repeats = (record->has_limit || record->is_leaving)
                     && since_us >= REPEAT_INTERVAL_US
                     && find_owner (context, record) == context->self;
  if (!repeats && (!record->is_unsent || since_us < BROADCAST_INTERVAL_US))
    return;
  send_to_all (record, context);
}

/* A record of a limit that was lifted is kept for a while, as others may not have
   heard of that yet. */
static gboolean
is_needless (const Record *record, gint64 now_us)
{
  gboolean is_leaving
      = record->is_leaving && now_us - record->leaving_at_us < LEAVING_KEEP_US;
  return !record->has_limit && record->brittle == 0 && !is_leaving
         && now_us >= record->pause_end_us
         && now_us - record->limit_at_us > LEAVING_KEEP_US;
}

void
hbw_server_notices_tick (HbwServerNotices *notices, HbwContext *context)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, notices->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Record *record = value;
      broadcast_if_due (record, context);
      if (record->has_limit)
        ask_for_permits (record, context);
      run_bucket (record, context);
      if (is_needless (record, context->now_us))
        g_hash_table_iter_remove (&iter);
    }
}

guint
hbw_server_notices_count_limited (const HbwServerNotices *notices)
{
  guint count = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, notices->records);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const Record *) value)->has_limit;
  return count;
}
