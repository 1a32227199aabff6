#include "hornbeamwall/core/server_check.h"

#include "hornbeamwall/core/metrics.h"
#include "hornbeamwall/core/server.h"

#include <string.h>

/* A process that is ending may close its connections before it stops to listen. */
#define BROKEN_DELAY_US (100 * HBW_US_PER_MS)

/* A check without a result by then has none. */
#define RESULT_TIMEOUT_US (3 * HBW_US_PER_S)

typedef struct
{
  char server[HBW_NAME_MAX];
  char address[HBW_ADDRESS_MAX];
  gint64 due_us;
  gint64 requested_us; /* 0 before */
  gint64 broken_us;    /* when the last response broke off; 0: none did */
  gboolean was_silent; /* before a response broke off */
  GArray *attempts;    /* HbwSilentAttempt */
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
request_if_due (Check *check, HbwContext *context)
{
  if (check->requested_us > 0 || context->now_us < check->due_us)
    return;
  HbwEffect *effect = hbw_effects_add (context->effects, HBW_EFFECT_CHECK_SERVER);
  check->requested_us = context->now_us;
  g_strlcpy (effect->check.server, check->server, sizeof effect->check.server);
  g_strlcpy (effect->check.address, check->address, sizeof effect->check.address);
}

static Check *
ensure_check (HbwServerChecks *checks, const char *server, const char *address,
              gint64 due_us)
{
  Check *check = g_hash_table_lookup (checks->by_server, server);
  if (check == NULL)
    {
      check = g_new0 (Check, 1);
      g_strlcpy (check->server, server, sizeof check->server);
      check->attempts = g_array_new (FALSE, FALSE, sizeof (HbwSilentAttempt));
      check->due_us = due_us;
      g_hash_table_insert (checks->by_server, check->server, check);
    }
  check->due_us = MIN (check->due_us, due_us);
  g_strlcpy (check->address, address, sizeof check->address);
  return check;
}

void
hbw_server_checks_add_broken (HbwServerChecks *checks, HbwContext *context,
                              const char *server, const char *address,
                              gboolean was_silent)
{
  Check *check
      = ensure_check (checks, server, address, context->now_us + BROKEN_DELAY_US);
  check->broken_us = context->now_us;
  check->was_silent |= was_silent;
}

static void
add_attempt (HbwServerChecks *checks, HbwContext *context,
             const HbwSilentAttempt *attempt, gint64 due_us)
{
  Check *check = ensure_check (checks, attempt->server, attempt->address, due_us);
  request_if_due (check, context);
  if (check->attempts->len < HBW_SILENT_ATTEMPTS_MAX)
    g_array_append_vals (check->attempts, attempt, 1);
}

void
hbw_server_checks_add (HbwServerChecks *checks, HbwContext *context,
                       const HbwSilentAttempt *attempt)
{
  add_attempt (checks, context, attempt, context->now_us);
}

void
hbw_server_checks_add_unproved (HbwServerChecks *checks, HbwContext *context,
                                const HbwSilentAttempt *attempt)
{
  add_attempt (checks, context, attempt, context->now_us + BROKEN_DELAY_US);
}

guint
hbw_silent_attempt_record_failure (const HbwSilentAttempt *attempt,
                                   HbwContext *context)
{
  guint failures
      = hbw_quarantine_add_failure (context->quarantine, &attempt->fingerprint,
                                    &attempt->failure, context->now_us);
  hbw_quarantine_charge_parts (context->quarantine, &attempt->fingerprint,
                               attempt->failure.id, &attempt->part_ids,
                               attempt->pool_hash, context->now_us);
  return failures;
}

static void
record_failure (HbwContext *context, const HbwSilentAttempt *attempt)
{
  guint failures = hbw_silent_attempt_record_failure (attempt, context);
  hbw_effects_log (context->effects, HBW_LOG_REQUEST_SUSPECT,
                   "request=%s fingerprint=%016" G_GINT64_MODIFIER
                   "x server=%s failures=%u evidence=refused_connection",
                   attempt->caller_request_id, attempt->fingerprint.low,
                   attempt->server, failures);
}

/* A response broke off when CHECK had been requested, or was due. */
static void
check_again (HbwServerChecks *checks, const Check *check)
{
  Check *next = ensure_check (checks, check->server, check->address,
                              check->broken_us + BROKEN_DELAY_US);
  next->broken_us = check->broken_us;
  next->was_silent |= check->was_silent;
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
  guint64 server = hbw_server_hash_id (result->server);
  if (result->kind == HBW_SERVER_CHECK_REFUSED)
    hbw_quarantine_handle_refused_connection (context->quarantine, server,
                                              context->now_us);
  else if (result->kind == HBW_SERVER_CHECK_ACCEPTED && !check->was_silent)
    hbw_quarantine_handle_accepted_connection (context->quarantine, server,
                                               check->requested_us - BROKEN_DELAY_US,
                                               context->now_us);
  if (check->broken_us > check->requested_us - BROKEN_DELAY_US)
    check_again (checks, check);
  check_free (check);
}

static gboolean
tick_check (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Check *check = value;
  HbwContext *context = data;
  request_if_due (check, context);
  return context->now_us - check->due_us > RESULT_TIMEOUT_US;
}

void
hbw_server_checks_tick (HbwServerChecks *checks, HbwContext *context)
{
  g_hash_table_foreach_remove (checks->by_server, tick_check, context);
}
