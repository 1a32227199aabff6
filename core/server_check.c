#include "hornbeamwall/core/server_check.h"

#include "hornbeamwall/core/metrics.h"

#include <string.h>

/* A check without a result by then has none. */
#define RESULT_TIMEOUT_US (3 * HBW_US_PER_S)

typedef struct
{
  char server[HBW_NAME_MAX];
  gint64 requested_us;
  GArray *attempts; /* HbwSilentAttempt */
} Check;

struct HbwServerChecks
{
  GHashTable *by_server; /* server id -> Check */
};

static void
check_free (gpointer data)
{
  Check *check = data;
  g_array_free (check->attempts, TRUE);
  g_free (check);
}

HbwServerChecks *
hbw_server_checks_create (void)
{
  HbwServerChecks *checks = g_new0 (HbwServerChecks, 1);
  checks->by_server
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, check_free);
  return checks;
}

void
hbw_server_checks_destroy (HbwServerChecks *checks)
{
  g_hash_table_destroy (checks->by_server);
  g_free (checks);
}

static void
request_check (Check *check, HbwContext *context, const char *address)
{
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_CHECK_SERVER);
  check->requested_us = context->now_us;
  g_strlcpy (effect->check.server, check->server, sizeof effect->check.server);
  g_strlcpy (effect->check.address, address, sizeof effect->check.address);
}

void
hbw_server_checks_add (HbwServerChecks *checks, HbwContext *context,
                       const HbwSilentAttempt *attempt)
{
  Check *check = g_hash_table_lookup (checks->by_server, attempt->server);
  if (check == NULL)
    {
      check = g_new0 (Check, 1);
      g_strlcpy (check->server, attempt->server, sizeof check->server);
      check->attempts = g_array_new (FALSE, FALSE, sizeof (HbwSilentAttempt));
      g_hash_table_insert (checks->by_server, check->server, check);
      request_check (check, context, attempt->address);
    }
  if (check->attempts->len < HBW_SILENT_ATTEMPTS_MAX)
    g_array_append_vals (check->attempts, attempt, 1);
}

static void
record_failure (HbwContext *context, const HbwSilentAttempt *attempt)
{
  guint failures
      = hbw_quarantine_add_failure (context->quarantine, &attempt->fingerprint,
                                    &attempt->failure, context->now_us);
  hbw_effects_log (context->effects, HBW_LOG_REQUEST_SUSPECT,
                   "request=%s fingerprint=%016" G_GINT64_MODIFIER
                   "x server=%s failures=%u evidence=refused_connection",
                   attempt->caller_request_id, attempt->fingerprint.low,
                   attempt->server, failures);
}

void
hbw_server_checks_handle_result (
    HbwServerChecks *checks, HbwContext *context, const HbwServerCheckResult *result,
    void (*handle_suspect) (const HbwSilentAttempt *attempt, void *data), void *data)
{
  Check *check = g_hash_table_lookup (checks->by_server, result->server);
  if (check == NULL)
    return;
  hbw_metrics_control (context->metrics)->server_checks[result->kind]++;
  hbw_effects_log (context->effects, HBW_LOG_SERVER_CHECKED,
                   "server=%s result=%s silent_attempts=%u", result->server,
                   hbw_server_check_result_name (result->kind),
                   check->attempts->len);
  g_hash_table_steal (checks->by_server, result->server);
  for (guint i = 0; i < check->attempts->len; i++)
    {
      const HbwSilentAttempt *attempt
          = &g_array_index (check->attempts, HbwSilentAttempt, i);
      if (result->kind == HBW_SERVER_CHECK_REFUSED)
        {
          record_failure (context, attempt);
          handle_suspect (attempt, data);
        }
      else if (attempt->failure.failed_us > check->requested_us)
        hbw_server_checks_add (checks, context, attempt);
    }
  if (result->kind == HBW_SERVER_CHECK_REFUSED)
    hbw_quarantine_handle_refused_connection (
        context->quarantine, hbw_rendezvous_weight (0, result->server),
        context->now_us);
  check_free (check);
}

static gboolean
is_overdue (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  const Check *check = value;
  const gint64 *now_us = data;
  return *now_us - check->requested_us > RESULT_TIMEOUT_US;
}

void
hbw_server_checks_tick (HbwServerChecks *checks, gint64 now_us)
{
  g_hash_table_foreach_remove (checks->by_server, is_overdue, &now_us);
}
