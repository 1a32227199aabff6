#include "notice_check.h"

typedef struct
{
  gint64 limit_told_us; /* first response with a limit; 0 is none */
  gint64 leaving_told_us;
  gint64 pause_told_us;
  gint64 pause_end_us;
  guint pause_requests;
} Instance;

typedef struct
{
  guint64 instance;
  gint64 at_us;
} Arrival;

struct NoticeCheck
{
  NoticeCheckSays says;
  gint64 limited_since_us;
  GHashTable *instances; /* identity -> Instance */
  GArray *arrivals;      /* Arrival */
  guint limited_count;
};

NoticeCheck *
notice_check_create (void)
{
  NoticeCheck *check = g_new0 (NoticeCheck, 1);
  check->says.limit = -1;
  check->instances
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  check->arrivals = g_array_new (FALSE, FALSE, sizeof (Arrival));
  return check;
}

void
notice_check_destroy (NoticeCheck *check)
{
  g_hash_table_destroy (check->instances);
  g_array_free (check->arrivals, TRUE);
  g_free (check);
}

static Instance *
get_instance (NoticeCheck *check, guint64 identity)
{
  Instance *instance = g_hash_table_lookup (check->instances, &identity);
  if (instance != NULL)
    return instance;
  instance = g_new0 (Instance, 1);
  g_hash_table_insert (check->instances, g_memdup2 (&identity, sizeof identity),
                       instance);
  return instance;
}

NoticeCheckSays *
notice_check_says (NoticeCheck *check)
{
  return &check->says;
}

void
notice_check_set_limit (NoticeCheck *check, double limit, gint64 now_us)
{
  check->says.limit = limit;
  check->limited_since_us = now_us;
}

void
notice_check_told (NoticeCheck *check, guint64 identity, const NoticeCheckSays *says,
                   gint64 now_us)
{
  Instance *instance = get_instance (check, identity);
  if (says->limit >= 0 && instance->limit_told_us == 0)
    instance->limit_told_us = now_us;
  if (says->leaving && instance->leaving_told_us == 0)
    instance->leaving_told_us = now_us;
  if (says->pause_us > 0 && now_us >= instance->pause_end_us)
    {
      instance->pause_told_us = now_us;
      instance->pause_end_us = now_us + says->pause_us;
      instance->pause_requests = 0;
    }
}

/* Returns whether the instance was told of the limit early enough to follow it. */
static gboolean
follows_limit (NoticeCheck *check, const Arrival *arrival)
{
  const Instance *instance = get_instance (check, arrival->instance);
  return instance->limit_told_us > 0
         && arrival->at_us >= instance->limit_told_us + NOTICE_TOLD_US;
}

static char *
check_limit (NoticeCheck *check, gint64 now_us)
{
  double limit = check->says.limit;
  guint count = 0;
  if (limit < 0 || now_us < check->limited_since_us + NOTICE_SETTLE_US)
    return NULL;
  check->limited_count++;
  for (guint i = check->arrivals->len; i > 0; i--)
    {
      const Arrival *arrival = &g_array_index (check->arrivals, Arrival, i - 1);
      if (arrival->at_us <= now_us - NOTICE_WINDOW_US
          || arrival->at_us < check->limited_since_us + NOTICE_SETTLE_US)
        break;
      count += follows_limit (check, arrival);
    }
  double allowed = 1.5 * limit * NOTICE_WINDOW_US / G_USEC_PER_SEC + 5;
  if (count <= allowed)
    return NULL;
  return g_strdup_printf ("got %u requests in %d s from instances that it had told "
                          "of its limit of %g a second",
                          count, (int) (NOTICE_WINDOW_US / G_USEC_PER_SEC), limit);
}

static char *
check_leaving (const Instance *instance, gint64 sent_us)
{
  if (instance->leaving_told_us == 0
      || sent_us <= instance->leaving_told_us + NOTICE_LEAVE_US)
    return NULL;
  return g_strdup_printf ("got a request %.3f s after it had said to the same "
                          "instance that it is leaving",
                          (double) (sent_us - instance->leaving_told_us)
                              / G_USEC_PER_SEC);
}

static char *
check_pause (Instance *instance, gint64 now_us)
{
  if (now_us < instance->pause_told_us + NOTICE_TOLD_US
      || now_us >= instance->pause_end_us
      || ++instance->pause_requests <= NOTICE_PAUSE_REQUESTS_MAX)
    return NULL;
  return g_strdup_printf ("got %u requests in a pause of which it had told the "
                          "same instance",
                          instance->pause_requests);
}

char *
notice_check_request (NoticeCheck *check, guint64 identity, gint64 sent_us,
                      gint64 now_us)
{
  const Arrival arrival = { identity, now_us };
  Instance *instance = get_instance (check, identity);
  g_array_append_val (check->arrivals, arrival);
  char *violation = check_limit (check, now_us);
  if (violation == NULL)
    violation = check_leaving (instance, sent_us);
  if (violation == NULL)
    violation = check_pause (instance, now_us);
  return violation;
}

guint
notice_check_limited_count (const NoticeCheck *check)
{
  return check->limited_count;
}
