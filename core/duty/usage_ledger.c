#include "hornbeamwall/core/duty/usage_ledger.h"

#include <jansson.h>
#include <string.h>

typedef struct
{
  guint64 identity;
  gint64 first_window; /* in which it counted */
  gint64 last_window;  /* that it has told of */
} Sender;

/* Counts of one sender in one window. */
typedef struct
{
  guint64 sender;
  GHashTable *counts; /* organisation, interned -> requests, as a pointer */
  guint64 sum;
  guint64 total_requests;
  gboolean is_final;
} Account;

typedef struct
{
  gint64 number;
  GHashTable *accounts; /* sender -> Account */
} Window;

struct HbwUsageLedger
{
  GHashTable *senders; /* identity -> Sender */
  GHashTable *windows; /* number -> Window */
  guint count;         /* of all accounts together */
};

static void
account_free (gpointer data)
{
  Account *account = data;
  g_hash_table_destroy (account->counts);
  g_free (account);
}

static void
window_free (gpointer data)
{
  Window *window = data;
  g_hash_table_destroy (window->accounts);
  g_free (window);
}

HbwUsageLedger *
hbw_usage_ledger_create (void)
{
  HbwUsageLedger *ledger = g_new0 (HbwUsageLedger, 1);
  ledger->senders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  ledger->windows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, window_free);
  return ledger;
}

void
hbw_usage_ledger_destroy (HbwUsageLedger *ledger)
{
  g_hash_table_destroy (ledger->windows);
  g_hash_table_destroy (ledger->senders);
  g_free (ledger);
}

void
hbw_usage_ledger_clear (HbwUsageLedger *ledger)
{
  g_hash_table_remove_all (ledger->windows);
  g_hash_table_remove_all (ledger->senders);
  ledger->count = 0;
}

static Sender *
ensure_sender (HbwUsageLedger *ledger, guint64 identity,
               const HbwUsageCounts *counts)
{
  Sender *sender = g_hash_table_lookup (ledger->senders, &identity);
  if (sender != NULL)
    {
      sender->last_window = MAX (sender->last_window, counts->window);
      return sender;
    }
  if (g_hash_table_size (ledger->senders) >= HBW_USAGE_SENDERS_MAX)
    return NULL;
  sender = g_new0 (Sender, 1);
  sender->identity = identity;
  sender->first_window = counts->first_window;
  sender->last_window = counts->window;
  g_hash_table_insert (ledger->senders, &sender->identity, sender);
  return sender;
}

static Account *
find_account (const HbwUsageLedger *ledger, gint64 number, guint64 sender)
{
  const Window *window = g_hash_table_lookup (ledger->windows, &number);
  return window != NULL ? g_hash_table_lookup (window->accounts, &sender) : NULL;
}

static Account *
ensure_account (HbwUsageLedger *ledger, gint64 number, guint64 sender)
{
  Window *window = g_hash_table_lookup (ledger->windows, &number);
  if (window == NULL)
    {
      window = g_new0 (Window, 1);
      window->number = number;
      window->accounts
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, account_free);
      g_hash_table_insert (ledger->windows, &window->number, window);
    }
  Account *account = g_hash_table_lookup (window->accounts, &sender);
  if (account != NULL)
    return account;
  account = g_new0 (Account, 1);
  account->sender = sender;
  account->counts = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, (GDestroyNotify) g_ref_string_release, NULL);
  g_hash_table_insert (window->accounts, &account->sender, account);
  return account;
}

static void
merge_count (HbwUsageLedger *ledger, Account *account,
             const HbwOrganisationCount *count)
{
  if (count->requests > HBW_USAGE_REQUESTS_MAX
      || !hbw_is_organisation_name (count->organisation)
      || !g_utf8_validate (count->organisation, -1, NULL))
    return;
  char *organisation = g_ref_string_new_intern (count->organisation);
  gpointer value = NULL;
  gboolean is_new
      = !g_hash_table_lookup_extended (account->counts, organisation, NULL, &value);
  guint64 before = GPOINTER_TO_SIZE (value);
  if (count->requests <= before
      || (is_new && ledger->count >= HBW_USAGE_LEDGER_COUNTS_MAX))
    {
      g_ref_string_release (organisation);
      return;
    }
  ledger->count += is_new;
  account->sum += count->requests - before;
  /* Releases the reference if the table has one. */
  g_hash_table_insert (account->counts, organisation,
                       GSIZE_TO_POINTER (count->requests));
}

static gboolean
is_whole (const Account *account)
{
  return account->is_final && account->sum == account->total_requests;
}

gboolean
hbw_usage_ledger_merge (HbwUsageLedger *ledger, guint64 sender,
                        const HbwUsageCounts *counts)
{
  if (ensure_sender (ledger, sender, counts) == NULL)
    return FALSE;
  Account *account = ensure_account (ledger, counts->window, sender);
  for (guint i = 0; i < counts->count; i++)
    merge_count (ledger, account, &counts->counts[i]);
  if (counts->is_final)
    {
      account->is_final = TRUE;
      account->total_requests = counts->total_requests;
    }
  return is_whole (account);
}

void
hbw_usage_ledger_drop_before (HbwUsageLedger *ledger, gint64 oldest)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->windows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Window *window = value;
      GHashTableIter accounts;
      gpointer account;
      if (window->number >= oldest)
        continue;
      g_hash_table_iter_init (&accounts, window->accounts);
      while (g_hash_table_iter_next (&accounts, NULL, &account))
        ledger->count -= g_hash_table_size (((Account *) account)->counts);
      g_hash_table_iter_remove (&iter);
    }
  g_hash_table_iter_init (&iter, ledger->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Sender *) value)->last_window < oldest)
      g_hash_table_iter_remove (&iter);
}

gboolean
hbw_usage_ledger_has_sender (const HbwUsageLedger *ledger, guint64 sender)
{
  return g_hash_table_contains (ledger->senders, &sender);
}

guint
hbw_usage_ledger_count_senders (const HbwUsageLedger *ledger)
{
  return g_hash_table_size (ledger->senders);
}

guint
hbw_usage_ledger_count_open (const HbwUsageLedger *ledger, gint64 window)
{
  GHashTableIter iter;
  gpointer value;
  guint open = 0;
  g_hash_table_iter_init (&iter, ledger->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Sender *sender = value;
      const Account *account = find_account (ledger, window, sender->identity);
      open += sender->first_window <= window
              && (account == NULL || !is_whole (account));
    }
  return open;
}

gint64
hbw_usage_ledger_first_window (const HbwUsageLedger *ledger)
{
  gint64 first = G_MAXINT64;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, ledger->senders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    first = MIN (first, ((const Sender *) value)->first_window);
  return first;
}

static void
add_counts (json_t *object, const Account *account, HbwUsageSums *sums)
{
  GHashTableIter iter;
  gpointer organisation;
  gpointer value;
  g_hash_table_iter_init (&iter, account->counts);
  while (g_hash_table_iter_next (&iter, &organisation, &value))
    {
      json_int_t requests = (json_int_t) GPOINTER_TO_SIZE (value);
      json_t *sum = json_object_get (object, organisation);
      if (sum != NULL)
        json_integer_set (sum, json_integer_value (sum) + requests);
      else
        json_object_set_new (object, organisation, json_integer (requests));
    }
  sums->requests += account->sum;
  sums->senders++;
}

GBytes *
hbw_usage_ledger_format (const HbwUsageLedger *ledger, gint64 window,
                         HbwUsageSums *sums)
{
  const Window *found = g_hash_table_lookup (ledger->windows, &window);
  json_t *object = json_object ();
  GHashTableIter iter;
  gpointer account;
  *sums = (HbwUsageSums){ 0 };
  if (found != NULL)
    {
      g_hash_table_iter_init (&iter, found->accounts);
      while (g_hash_table_iter_next (&iter, NULL, &account))
        add_counts (object, account, sums);
    }
  sums->organisations = (guint) json_object_size (object);
  char *text = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  GBytes *bytes = g_bytes_new (text, strlen (text));
  free (text);
  json_decref (object);
  return bytes;
}

guint
hbw_usage_ledger_count (const HbwUsageLedger *ledger)
{
  return ledger->count;
}
