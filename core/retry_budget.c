#include "hornbeamwall/core/retry_budget.h"

/* Slices of a window; one more is kept, as the oldest is partly outside. */
#define SLICES 10

typedef struct
{
  gint64 number; /* of the slice, counted from the start of the clock */
  guint requests;
  guint repeats;
} Slice;

typedef struct
{
  Slice slices[SLICES + 1];
} Account;

struct HbwRetryBudget
{
  HbwRetryLimits limits;
  GHashTable *accounts; /* pool -> Account */
};

static Account *
ensure (HbwRetryBudget *budget, const char *pool)
{
  Account *account = g_hash_table_lookup (budget->accounts, pool);
  if (account != NULL)
    return account;
  account = g_new0 (Account, 1);
  g_hash_table_insert (budget->accounts, g_strdup (pool), account);
  return account;
}

static gint64
slice_number (const HbwRetryBudget *budget, gint64 now_us)
{
  return now_us / MAX (1, budget->limits.window_us / SLICES);
}

static Slice *
current_slice (const HbwRetryBudget *budget, Account *account, gint64 now_us)
{
  gint64 number = slice_number (budget, now_us);
  Slice *slice = &account->slices[number % (SLICES + 1)];
  if (slice->number != number)
    *slice = (Slice){ .number = number };
  return slice;
}

HbwRetryBudget *
hbw_retry_budget_create (const HbwRetryLimits *limits)
{
  HbwRetryBudget *budget = g_new0 (HbwRetryBudget, 1);
  budget->limits = *limits;
  budget->accounts = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budget;
}

void
hbw_retry_budget_destroy (HbwRetryBudget *budget)
{
  g_hash_table_destroy (budget->accounts);
  g_free (budget);
}

void
hbw_retry_budget_note_request (HbwRetryBudget *budget, const char *pool,
                               gint64 now_us)
{
  current_slice (budget, ensure (budget, pool), now_us)->requests++;
}

gboolean
hbw_retry_budget_has (const HbwRetryBudget *budget, const char *pool, guint members,
                      gint64 now_us)
{
  const Account *account = g_hash_table_lookup (budget->accounts, pool);
  gint64 number = slice_number (budget, now_us);
  guint requests = 0;
  guint repeats = 0;
  for (guint i = 0; account != NULL && i <= SLICES; i++)
    {
      const Slice *slice = &account->slices[i];
      if (number - slice->number > SLICES)
        continue;
      repeats += slice->repeats;
      if (number - slice->number < SLICES)
        requests += slice->requests;
    }
  guint share = budget->limits.extra / MAX (members, HBW_RETRY_MEMBERS_MIN);
  return repeats + 1 <= requests * budget->limits.percent / 100 + share;
}

gboolean
hbw_retry_budget_take (HbwRetryBudget *budget, const char *pool, guint members,
                       gint64 now_us)
{
  if (!hbw_retry_budget_has (budget, pool, members, now_us))
    return FALSE;
  current_slice (budget, ensure (budget, pool), now_us)->repeats++;
  return TRUE;
}
