#include "hornbeamwall/core/duty/usage_count.h"

#include <string.h>

typedef struct
{
  char organisation[HBW_NAME_MAX];
  guint64 requests;
  gboolean is_due; /* not sent since it changed */
} Count;

typedef struct
{
  gint64 number;
  GHashTable *counts; /* organisation -> Count */
  guint64 total_requests;
  guint due_count;
  gboolean is_confirmed[HBW_USAGE_RECEIVERS_MAX];
  gint64 final_sent_us[HBW_USAGE_RECEIVERS_MAX]; /* 0: not yet */
} Window;

struct HbwUsageCount
{
  guint kept;
  GPtrArray *windows;  /* Window, by number; the last is the current one */
  gint64 first_window; /* in which this instance counted */
  guint64 receivers[HBW_USAGE_RECEIVERS_MAX];
  gint64 sent_us;
};

static void
window_free (gpointer data)
{
  Window *window = data;
  g_hash_table_destroy (window->counts);
  g_free (window);
}

static Window *
get_window (const HbwUsageCount *count, guint index)
{
  return g_ptr_array_index (count->windows, index);
}

static Window *
get_current (const HbwUsageCount *count)
{
  return count->windows->len > 0 ? get_window (count, count->windows->len - 1)
                                 : NULL;
}

static void
add_window (HbwUsageCount *count, gint64 number)
{
  Window *window = g_new0 (Window, 1);
  window->number = number;
  window->counts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  if (count->windows->len >= count->kept)
    g_ptr_array_remove_index (count->windows, 0);
  g_ptr_array_add (count->windows, window);
}

HbwUsageCount *
hbw_usage_count_create (guint kept)
{
  HbwUsageCount *count = g_new0 (HbwUsageCount, 1);
  count->kept = MAX (kept, 2);
  count->windows = g_ptr_array_new_with_free_func (window_free);
  return count;
}

void
hbw_usage_count_destroy (HbwUsageCount *count)
{
  g_ptr_array_unref (count->windows);
  g_free (count);
}

void
hbw_usage_count_begin_window (HbwUsageCount *count, gint64 window)
{
  const Window *current = get_current (count);
  if (current != NULL
      && (window == current->number || window == current->number - 1))
    return;
  if (current == NULL || window < current->number)
    {
      g_ptr_array_set_size (count->windows, 0);
      count->first_window = window;
      add_window (count, window);
      return;
    }
  gint64 first = MAX (current->number + 1, window - (gint64) count->kept + 1);
  for (gint64 number = first; number <= window; number++)
    add_window (count, number);
}

static void
add_requests (Window *window, const char *organisation, guint64 requests)
{
  Count *entry = g_hash_table_lookup (window->counts, organisation);
  if (entry == NULL)
    {
      if (g_hash_table_size (window->counts) >= HBW_USAGE_ORGANISATIONS_MAX)
        return;
      entry = g_new0 (Count, 1);
      g_strlcpy (entry->organisation, organisation, sizeof entry->organisation);
      g_hash_table_insert (window->counts, entry->organisation, entry);
    }
  window->due_count += !entry->is_due;
  window->total_requests += requests;
  entry->is_due = TRUE;
  entry->requests += requests;
}

void
hbw_usage_count_add (HbwUsageCount *count, const char *organisation)
{
  add_requests (get_current (count), organisation, 1);
}

/* Adds the counts of the first window to those of the next one, and removes it. */
static void
join_first_window (HbwUsageCount *count)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, get_window (count, 0)->counts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Count *entry = value;
      add_requests (get_window (count, 1), entry->organisation, entry->requests);
    }
  g_ptr_array_remove_index (count->windows, 0);
}

void
hbw_usage_count_renumber (HbwUsageCount *count, gint64 difference, gint64 first)
{
  for (guint i = 0; i < count->windows->len; i++)
    get_window (count, i)->number += difference;
  count->first_window = MAX (count->first_window + difference, first);
  while (count->windows->len > 1 && get_window (count, 0)->number < first)
    join_first_window (count);
}

/* Makes all counts of the current window due. */
static void
set_all_due (HbwUsageCount *count)
{
  Window *window = get_current (count);
  GHashTableIter iter;
  gpointer entry;
  if (window == NULL)
    return;
  g_hash_table_iter_init (&iter, window->counts);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    ((Count *) entry)->is_due = TRUE;
  window->due_count = g_hash_table_size (window->counts);
}

/* Returns the index of IDENTITY in RECEIVERS; HBW_USAGE_RECEIVERS_MAX if it is none.
 */
static guint
find_receiver (const guint64 receivers[HBW_USAGE_RECEIVERS_MAX], guint64 identity)
{
  guint index = 0;
  while (index < HBW_USAGE_RECEIVERS_MAX
         && (identity == 0 || receivers[index] != identity))
    index++;
  return index;
}

/* The receiver INDEX of WINDOW is the one that had the index BEFORE in OLD. */
static void
move_receiver (Window *window, guint index, const Window *old, guint before)
{
  gboolean is_kept = before < HBW_USAGE_RECEIVERS_MAX;
  window->is_confirmed[index] = is_kept && old->is_confirmed[before];
  window->final_sent_us[index] = is_kept ? old->final_sent_us[before] : 0;
}

void
hbw_usage_count_set_receivers (HbwUsageCount *count,
                               const guint64 receivers[HBW_USAGE_RECEIVERS_MAX])
{
  guint before[HBW_USAGE_RECEIVERS_MAX];
  gboolean is_new = FALSE;
  if (memcmp (count->receivers, receivers, sizeof count->receivers) == 0)
    return;
  for (guint r = 0; r < HBW_USAGE_RECEIVERS_MAX; r++)
    {
      before[r] = find_receiver (count->receivers, receivers[r]);
      is_new |= receivers[r] != 0 && before[r] == HBW_USAGE_RECEIVERS_MAX;
    }
  for (guint i = 0; i < count->windows->len; i++)
    {
      const Window old = *get_window (count, i);
      for (guint r = 0; r < HBW_USAGE_RECEIVERS_MAX; r++)
        move_receiver (get_window (count, i), r, &old, before[r]);
    }
  memcpy (count->receivers, receivers, sizeof count->receivers);
  if (!is_new)
    return;
  set_all_due (count);
  count->sent_us = 0;
}

void
hbw_usage_count_handle_receipt (HbwUsageCount *count, guint64 receiver,
                                gint64 window)
{
  for (guint i = 0; i + 1 < count->windows->len; i++)
    for (guint r = 0; r < HBW_USAGE_RECEIVERS_MAX; r++)
      if (get_window (count, i)->number == window && count->receivers[r] == receiver)
        get_window (count, i)->is_confirmed[r] = TRUE;
}

/* --- messages --------------------------------------------------------------------
 */

static void
init_message (const HbwUsageCount *count, const HbwContext *context,
              HbwMessage *message)
{
  memset (message, 0, sizeof *message);
  message->kind = HBW_MESSAGE_USAGE_COUNTS;
  message->usage.first_window = count->first_window;
  message->usage.wall_us = context->wall_us;
}

/* Sends the counts of WINDOW to the receiver, only those that are due unless it is
   over.  An empty window that is over has one message. */
static void
send_window (const HbwUsageCount *count, HbwContext *context, const Window *window,
             guint64 receiver, gboolean is_final)
{
  HbwMessage message;
  HbwUsageCounts *usage = &message.usage;
  GHashTableIter iter;
  gpointer value;
  guint sent = 0;
  init_message (count, context, &message);
  usage->window = window->number;
  usage->is_final = is_final;
  usage->total_requests = is_final ? window->total_requests : 0;
  g_hash_table_iter_init (&iter, window->counts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Count *entry = value;
      if (!is_final && !entry->is_due)
        continue;
      HbwOrganisationCount *packed = &usage->counts[usage->count++];
      g_strlcpy (packed->organisation, entry->organisation,
                 sizeof packed->organisation);
      packed->requests = entry->requests;
      if (usage->count < HBW_USAGE_COUNTS_MAX)
        continue;
      hbw_context_send (context, receiver, &message);
      usage->count = 0;
      sent++;
    }
  if (usage->count > 0 || (is_final && sent == 0))
    hbw_context_send (context, receiver, &message);
}

static void
send_finals (HbwUsageCount *count, HbwContext *context, guint receiver,
             gint64 oldest)
{
  for (guint i = 0; i + 1 < count->windows->len; i++)
    {
      Window *window = get_window (count, i);
      gint64 sent_us = window->final_sent_us[receiver];
      if (window->number < oldest || window->is_confirmed[receiver]
          || (sent_us != 0
              && context->now_us - sent_us < HBW_USAGE_RESEND_INTERVAL_US))
        continue;
      window->final_sent_us[receiver] = context->now_us;
      send_window (count, context, window, count->receivers[receiver], TRUE);
    }
}

static void
send_clock (const HbwUsageCount *count, HbwContext *context, guint64 receiver)
{
  HbwMessage message;
  init_message (count, context, &message);
  message.usage.first_window = 0;
  hbw_context_send (context, receiver, &message);
}

static void
clear_due (Window *window)
{
  GHashTableIter iter;
  gpointer entry;
  if (window->due_count == 0)
    return;
  g_hash_table_iter_init (&iter, window->counts);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    ((Count *) entry)->is_due = FALSE;
  window->due_count = 0;
}

void
hbw_usage_count_send (HbwUsageCount *count, HbwContext *context, gint64 oldest,
                      gboolean numbers_known)
{
  Window *current = get_current (count);
  if (current == NULL
      || (count->sent_us != 0
          && context->now_us - count->sent_us < HBW_USAGE_SEND_INTERVAL_US))
    return;
  count->sent_us = context->now_us;
  for (guint r = 0; r < HBW_USAGE_RECEIVERS_MAX; r++)
    {
      if (count->receivers[r] == 0)
        continue;
      if (!numbers_known)
        {
          send_clock (count, context, count->receivers[r]);
          continue;
        }
      send_finals (count, context, r, oldest);
      if (current->due_count > 0)
        send_window (count, context, current, count->receivers[r], FALSE);
    }
  if (numbers_known)
    clear_due (current);
}
