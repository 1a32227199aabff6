#include "hornbeamwall/core/types.h"

#include <string.h>
#include <xxhash.h>

static const char *const outcome_names[HBW_OUTCOME_COUNT] = {
  [HBW_OUTCOME_COMPLETE] = "complete",
  [HBW_OUTCOME_NOT_CONNECTED] = "not_connected",
  [HBW_OUTCOME_REFUSED] = "refused",
  [HBW_OUTCOME_BROKEN] = "broken",
  [HBW_OUTCOME_TIMED_OUT] = "timed_out",
  [HBW_OUTCOME_CANCELLED] = "cancelled",
  [HBW_OUTCOME_UNUSED] = "unused",
  [HBW_OUTCOME_DENIED] = "denied",
  [HBW_OUTCOME_MISDIRECTED] = "misdirected",
  [HBW_OUTCOME_FAILED] = "failed",
};

static const char *const reason_names[HBW_REASON_COUNT] = {
  [HBW_REASON_QUEUE_FULL] = "queue_full",
  [HBW_REASON_DEADLINE] = "deadline",
  [HBW_REASON_LIMIT] = "limit",
  [HBW_REASON_NO_SERVER] = "no_server",
  [HBW_REASON_QUARANTINED] = "quarantined",
  [HBW_REASON_BROKEN] = "broken",
  [HBW_REASON_DRAINING] = "draining",
  [HBW_REASON_DUPLICATE_KEY] = "duplicate_key",
  [HBW_REASON_OVERLOADED] = "overloaded",
  [HBW_REASON_NO_STORE] = "no_store",
  [HBW_REASON_TIMEOUT] = "timeout",
  [HBW_REASON_NO_CATALOGUE] = "no_catalogue",
  [HBW_REASON_NO_ENDPOINT] = "no_endpoint",
  [HBW_REASON_NO_KEY] = "no_key",
  [HBW_REASON_STREAM_UNKNOWN] = "stream_unknown",
  [HBW_REASON_VERSION_GONE] = "version_gone",
};

static gboolean
is_name_without (const char *text, const char *rejected)
{
  gsize length = strlen (text);
  if (length == 0 || length >= HBW_NAME_MAX)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (g_ascii_iscntrl (text[i]) || strchr (rejected, text[i]) != NULL)
      return FALSE;
  return TRUE;
}

gboolean
hbw_is_name (const char *text)
{
  return is_name_without (text, "/\"\\ {}");
}

gboolean
hbw_is_organisation_name (const char *text)
{
  return is_name_without (text, "\"\\");
}

const char *
hbw_outcome_name (HbwOutcome outcome)
{
  return (guint) outcome < HBW_OUTCOME_COUNT ? outcome_names[outcome] : "unknown";
}

const char *
hbw_reason_name (HbwReason reason)
{
  return (guint) reason < HBW_REASON_COUNT ? reason_names[reason] : "unknown";
}

gboolean
hbw_outcome_proves_not_executed (HbwOutcome outcome)
{
  return outcome == HBW_OUTCOME_NOT_CONNECTED || outcome == HBW_OUTCOME_REFUSED
         || outcome == HBW_OUTCOME_UNUSED || outcome == HBW_OUTCOME_DENIED
         || outcome == HBW_OUTCOME_MISDIRECTED;
}

guint
hbw_request_id_hash (gconstpointer id)
{
  return (guint) XXH64 (id, sizeof (HbwRequestId), 0);
}

gboolean
hbw_request_id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (HbwRequestId)) == 0;
}

gboolean
hbw_fingerprint_equal (const HbwFingerprint *a, const HbwFingerprint *b)
{
  return a->high == b->high && a->low == b->low;
}

guint64
hbw_rendezvous_weight (guint64 member, const char *key)
{
  return XXH64 (key, strlen (key), member);
}
