#include "hornbeamwall/core/limiter.h"

#include "hornbeamwall/core/membership.h"

/* How much of its rate a share can save up, in seconds. */
#define BURST_S 1.0

/* An account that was not used for so long is forgotten. */
#define ACCOUNT_IDLE_US (60 * HBW_US_PER_S)

/* The measured demand is raised by this factor, so that a share can grow. */
#define DEMAND_HEADROOM 1.25

/* The three limits, in the order of arrays. */
enum
{
  REQUESTS,
  TOKENS,
  PLACES,
  KINDS,
};

/* What this instance holds of one organisation's limits. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  double share[KINDS];
  double level[2];   /* of REQUESTS and TOKENS, saved up */
  double arrived[2]; /* since the last demand */
  double demand[KINDS];
  guint in_progress;
  guint waiting;
  double waiting_tokens;
  gint64 refilled_us;
  gint64 demanded_us;
  gint64 share_us;   /* when a keeper last answered; 0 is never */
  gint64 waiting_us; /* since when requests wait */
  gint64 used_us;
} Account;

typedef struct
{
  guint64 member; /* identity */
  double demand[KINDS];
  gint64 heard_us;
} Claim;

/* What a keeper knows of one organisation, at one level. */
typedef struct
{
  char organisation[HBW_NAME_MAX];
  GArray *claims;        /* Claim */
  double granted[KINDS]; /* level 0: what the keeper for all allows */
  gint64 granted_us;
  gint64 asked_us;
} Ledger;

struct HbwLimiter
{
  GHashTable *accounts;   /* organisation -> Account */
  GHashTable *ledgers[2]; /* organisation -> Ledger, by level */
};

static gboolean
has_limits (const HbwLimits *limits)
{
  return limits->requests_per_s > 0 || limits->tokens_per_s > 0
         || limits->in_progress > 0;
}

static const HbwLimits *
limits_of (const HbwContext *context, const char *name)
{
  const HbwOrganisation *organisation
      = context->catalogue != NULL
            ? hbw_catalogue_organisation (context->catalogue, name)
            : NULL;
  if (organisation == NULL || !has_limits (&organisation->limits))
    return NULL;
  return &organisation->limits;
}

static void
limits_to_array (const HbwLimits *limits, double values[KINDS])
{
  values[REQUESTS] = limits->requests_per_s;
  values[TOKENS] = limits->tokens_per_s;
  values[PLACES] = limits->in_progress;
}

static void
ledger_free (gpointer data)
{
  Ledger *ledger = data;
  g_array_free (ledger->claims, TRUE);
  g_free (ledger);
}

static Account *
account_of (HbwLimiter *limiter, HbwContext *context, const char *name,
            const HbwLimits *limits)
{
  Account *account = g_hash_table_lookup (limiter->accounts, name);
  if (account != NULL)
    return account;
  account = g_new0 (Account, 1);
  g_strlcpy (account->organisation, name, sizeof account->organisation);
  guint members = MAX (1, hbw_membership_count (context->membership, NULL));
  limits_to_array (limits, account->share);
  for (guint i = 0; i < KINDS; i++)
    account->share[i] /= members;
  for (guint i = 0; i < 2; i++)
    account->level[i] = MAX (1.0, account->share[i] * BURST_S);
  account->refilled_us = context->now_us;
  g_hash_table_insert (limiter->accounts, account->organisation, account);
  return account;
}

static void
refill (Account *account, gint64 now_us)
{
  double elapsed_s = (double) (now_us - account->refilled_us) / HBW_US_PER_S;
  account->refilled_us = now_us;
  for (guint i = 0; i < 2; i++)
    {
      double most = MAX (1.0, account->share[i] * BURST_S);
      account->level[i]
          = MIN (most, account->level[i] + account->share[i] * elapsed_s);
    }
}

static gboolean
is_allowed (const Account *account, const HbwLimits *limits)
{
  if (limits->requests_per_s > 0 && account->level[REQUESTS] < 1.0)
    return FALSE;
  if (limits->tokens_per_s > 0 && account->level[TOKENS] <= 0)
    return FALSE;
  double places = MAX (1.0, account->share[PLACES]);
  return limits->in_progress == 0 || account->in_progress + 1.0 <= places;
}

HbwLimiter *
hbw_limiter_create (void)
{
  HbwLimiter *limiter = g_new0 (HbwLimiter, 1);
  limiter->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (guint i = 0; i < 2; i++)
    limiter->ledgers[i]
        = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, ledger_free);
  return limiter;
}

void
hbw_limiter_destroy (HbwLimiter *limiter)
{
  g_hash_table_destroy (limiter->accounts);
  for (guint i = 0; i < 2; i++)
    g_hash_table_destroy (limiter->ledgers[i]);
  g_free (limiter);
}

gboolean
hbw_limiter_take (HbwLimiter *limiter, HbwContext *context,
                  const HbwRequestSpec *spec)
{
  const HbwLimits *limits = limits_of (context, spec->organisation);
  if (limits == NULL)
    return TRUE;
  Account *account = account_of (limiter, context, spec->organisation, limits);
  refill (account, context->now_us);
  account->used_us = context->now_us;
  if (!is_allowed (account, limits))
    return FALSE;
  account->level[REQUESTS] -= 1.0;
  account->level[TOKENS] -= spec->cost_tokens;
  account->arrived[REQUESTS] += 1.0;
  account->arrived[TOKENS] += spec->cost_tokens;
  account->in_progress++;
  return TRUE;
}

void
hbw_limiter_end (HbwLimiter *limiter, const HbwRequestSpec *spec, guint tokens)
{
  Account *account = g_hash_table_lookup (limiter->accounts, spec->organisation);
  if (account == NULL)
    return;
  if (account->in_progress > 0)
    account->in_progress--;
  account->level[TOKENS] += (double) spec->cost_tokens - (double) tokens;
}

void
hbw_limiter_wait (HbwLimiter *limiter, HbwContext *context,
                  const HbwRequestSpec *spec)
{
  const HbwLimits *limits = limits_of (context, spec->organisation);
  if (limits == NULL)
    return;
  Account *account = account_of (limiter, context, spec->organisation, limits);
  if (account->waiting++ == 0)
    {
      account->waiting_us = context->now_us;
      account->demanded_us = 0; /* ask at once */
    }
  account->waiting_tokens += spec->cost_tokens;
}

void
hbw_limiter_unwait (HbwLimiter *limiter, const HbwRequestSpec *spec)
{
  Account *account = g_hash_table_lookup (limiter->accounts, spec->organisation);
  if (account == NULL || account->waiting == 0)
    return;
  account->waiting--;
  account->waiting_tokens = MAX (0, account->waiting_tokens - spec->cost_tokens);
}

gint64
hbw_limiter_expected_wait (HbwLimiter *limiter, HbwContext *context,
                           const HbwRequestSpec *spec)
{
  const HbwLimits *limits = limits_of (context, spec->organisation);
  const Account *account
      = g_hash_table_lookup (limiter->accounts, spec->organisation);
  if (limits == NULL || account == NULL)
    return 0;
  gboolean answered = account->share_us > account->waiting_us;
  if (!answered
      || context->now_us - account->waiting_us < 2 * HBW_DEMAND_INTERVAL_US)
    return -1;
  double wait_s = 0;
  if (limits->requests_per_s > 0)
    wait_s = account->waiting / MAX (account->share[REQUESTS], 1e-3);
  if (limits->tokens_per_s > 0)
    wait_s = MAX (wait_s, (account->waiting_tokens - account->level[TOKENS])
                              / MAX (account->share[TOKENS], 1e-3));
  return (gint64) (wait_s * HBW_US_PER_S);
}

double
hbw_limiter_divide (double limit, const double *demands, guint count, guint members,
                    guint index)
{
  double rest = limit;
  guint open = count;
  gboolean *settled = g_new0 (gboolean, count);
  gboolean changed = TRUE;
  while (changed && open > 0)
    {
      changed = FALSE;
      double even = rest / open;
      for (guint i = 0; i < count; i++)
        {
          if (settled[i] || demands[i] > even)
            continue;
          settled[i] = TRUE;
          rest -= demands[i];
          open--;
          changed = TRUE;
        }
    }
  double share
      = open > 0 ? rest / open : demands[index] + rest / MAX (members, count);
  if (open > 0 && settled[index])
    share = demands[index];
  g_free (settled);
  return share;
}

static void
measure_demand (Account *account, gint64 now_us)
{
  double elapsed_s = (double) (now_us - account->demanded_us) / HBW_US_PER_S;
  elapsed_s = CLAMP (elapsed_s, 0.1, 1.0);
  account->demand[REQUESTS]
      = (account->arrived[REQUESTS] / elapsed_s) * DEMAND_HEADROOM
        + account->waiting;
  account->demand[TOKENS] = (account->arrived[TOKENS] / elapsed_s) * DEMAND_HEADROOM
                            + account->waiting_tokens;
  account->demand[PLACES]
      = account->in_progress * DEMAND_HEADROOM + account->waiting;
  account->arrived[REQUESTS] = 0;
  account->arrived[TOKENS] = 0;
}

static void
post_rates (HbwContext *context, guint64 to, HbwMessageKind kind, guint level,
            const char *organisation, const double values[KINDS])
{
  HbwMessage message = { .kind = kind };
  message.rates.level = level;
  g_strlcpy (message.rates.organisation, organisation,
             sizeof message.rates.organisation);
  message.rates.requests_per_s = values[REQUESTS];
  message.rates.tokens_per_s = values[TOKENS];
  message.rates.in_progress = values[PLACES];
  hbw_context_post (context, to, &message);
}

static void
rates_to_array (const HbwRates *rates, double values[KINDS])
{
  values[REQUESTS] = rates->requests_per_s;
  values[TOKENS] = rates->tokens_per_s;
  values[PLACES] = rates->in_progress;
}

static gboolean
tick_account (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Account *account = value;
  HbwContext *context = data;
  if (context->now_us - account->used_us > ACCOUNT_IDLE_US
      && account->in_progress == 0 && account->waiting == 0)
    return TRUE;
  if (context->now_us - account->demanded_us < HBW_DEMAND_INTERVAL_US)
    return FALSE;
  measure_demand (account, context->now_us);
  account->demanded_us = context->now_us;
  guint64 keeper = hbw_membership_owner (context->membership, context->data_centre,
                                         account->organisation);
  post_rates (context, keeper, HBW_MESSAGE_DEMAND, 0, account->organisation,
              account->demand);
  return FALSE;
}

static Ledger *
ledger_of (HbwLimiter *limiter, guint level, const char *organisation)
{
  Ledger *ledger = g_hash_table_lookup (limiter->ledgers[level], organisation);
  if (ledger == NULL)
    {
      ledger = g_new0 (Ledger, 1);
      g_strlcpy (ledger->organisation, organisation, sizeof ledger->organisation);
      ledger->claims = g_array_new (FALSE, TRUE, sizeof (Claim));
      g_hash_table_insert (limiter->ledgers[level], ledger->organisation, ledger);
    }
  return ledger;
}

static void
drop_old_claims (Ledger *ledger, gint64 now_us)
{
  for (guint i = ledger->claims->len; i > 0; i--)
    if (now_us - g_array_index (ledger->claims, Claim, i - 1).heard_us
        > HBW_DEMAND_AGE_US)
      g_array_remove_index_fast (ledger->claims, i - 1);
}

static guint
note_claim (Ledger *ledger, guint64 member, const HbwRates *rates, gint64 now_us)
{
  guint at = 0;
  while (at < ledger->claims->len
         && g_array_index (ledger->claims, Claim, at).member != member)
    at++;
  if (at == ledger->claims->len)
    g_array_set_size (ledger->claims, at + 1);
  Claim *claim = &g_array_index (ledger->claims, Claim, at);
  claim->member = member;
  claim->heard_us = now_us;
  rates_to_array (rates, claim->demand);
  return at;
}

static void
divide_claims (const Ledger *ledger, const double limits[KINDS], guint members,
               guint index, double shares[KINDS])
{
  guint count = ledger->claims->len;
  if (count == 0)
    return;
  double *demands = g_new (double, count);
  for (guint kind = 0; kind < KINDS; kind++)
    {
      for (guint i = 0; i < count; i++)
        demands[i] = g_array_index (ledger->claims, Claim, i).demand[kind];
      shares[kind]
          = hbw_limiter_divide (limits[kind], demands, count, members, index);
    }
  g_free (demands);
}

/* The keeper of a data centre asks the keeper for all; while that one is silent it
   divides the whole limit. */
static void
ask_for_all (Ledger *ledger, HbwContext *context)
{
  if (context->now_us - ledger->asked_us < HBW_DEMAND_INTERVAL_US)
    return;
  ledger->asked_us = context->now_us;
  double sum[KINDS] = { 0 };
  for (guint i = 0; i < ledger->claims->len; i++)
    for (guint kind = 0; kind < KINDS; kind++)
      sum[kind] += g_array_index (ledger->claims, Claim, i).demand[kind];
  guint64 keeper
      = hbw_membership_owner (context->membership, NULL, ledger->organisation);
  post_rates (context, keeper, HBW_MESSAGE_DEMAND, 1, ledger->organisation, sum);
}

static void
handle_demand (HbwLimiter *limiter, HbwContext *context, guint64 from,
               const HbwRates *rates)
{
  const HbwLimits *limits = limits_of (context, rates->organisation);
  if (limits == NULL || rates->level > 1)
    return;
  Ledger *ledger = ledger_of (limiter, rates->level, rates->organisation);
  drop_old_claims (ledger, context->now_us);
  guint index = note_claim (ledger, from, rates, context->now_us);
  double whole[KINDS];
  double shares[KINDS] = { 0 };
  limits_to_array (limits, whole);
  guint members = ledger->claims->len;
  if (rates->level == 0)
    {
      ask_for_all (ledger, context);
      members = hbw_membership_count (context->membership, context->data_centre);
      gint64 age = context->now_us - ledger->granted_us;
      if (ledger->granted_us > 0 && age < HBW_KEEPER_SILENT_US)
        for (guint i = 0; i < KINDS; i++)
          whole[i] = MIN (whole[i], ledger->granted[i]);
    }
  divide_claims (ledger, whole, members, index, shares);
  post_rates (context, from, HBW_MESSAGE_SHARE, rates->level, rates->organisation,
              shares);
}

static void
handle_share (HbwLimiter *limiter, HbwContext *context, const HbwRates *rates)
{
  if (rates->level == 1)
    {
      Ledger *ledger
          = g_hash_table_lookup (limiter->ledgers[0], rates->organisation);
      if (ledger == NULL)
        return;
      rates_to_array (rates, ledger->granted);
      ledger->granted_us = context->now_us;
      return;
    }
  Account *account = g_hash_table_lookup (limiter->accounts, rates->organisation);
  if (account == NULL)
    return;
  refill (account, context->now_us);
  rates_to_array (rates, account->share);
  account->share_us = context->now_us;
}

static gboolean
tick_ledger (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  Ledger *ledger = value;
  const HbwContext *context = data;
  drop_old_claims (ledger, context->now_us);
  return ledger->claims->len == 0;
}

void
hbw_limiter_tick (HbwLimiter *limiter, HbwContext *context)
{
  g_hash_table_foreach_remove (limiter->accounts, tick_account, context);
  for (guint i = 0; i < 2; i++)
    g_hash_table_foreach_remove (limiter->ledgers[i], tick_ledger, context);
}

void
hbw_limiter_handle (HbwLimiter *limiter, HbwContext *context,
                    const HbwMessage *message)
{
  if (message->kind == HBW_MESSAGE_DEMAND)
    handle_demand (limiter, context, message->from, &message->rates);
  else if (message->kind == HBW_MESSAGE_SHARE)
    handle_share (limiter, context, &message->rates);
}
