#include "hornbeamwall/core/capacity/capacity_history.h"

#include "hornbeamwall/common/clock.h"
#include "hornbeamwall/core/capacity/capacity_demand.h"

#include <string.h>

/* A report counts for this long: a lost or late one does not reduce the demand. */
#define REPORT_VALID_US (3 * HBW_US_PER_S)

/* Maximum number of instances whose reports are kept. */
#define REPORTS_MAX 1024

/* Instances that were alive this long ago are still expected to report. */
#define EXPECTED_S 60

/* The load now is the mean of this many seconds, and its trend the difference to the
   mean of as many seconds that lie TREND_S earlier. */
#define NOW_S 2
#define TREND_S 4

/* Speed at which a server processes prompts before it is known, in tokens/s. */
#define PACE_DEFAULT 10000.0

/* Factor on the learned pace per second while no report is as high. */
#define PACE_DECAY 0.99

/* Factors on the derating per second, while first tokens are late and while they are
   not, and its lowest value. */
#define DERATING_DECREASE 0.95
#define DERATING_INCREASE 1.01
#define DERATING_MIN 0.5

/* The demand of instances that were not heard multiplies the sum by at most this. */
#define MISSING_FACTOR_MAX 2.0

/* Share of late first tokens from which on a server carries too much. */
#define LATE_SHARE_MAX 0.05

/* Requests per second below which the share of late ones says little. */
#define LATE_REQUESTS_MIN 5.0

/* Load of a server, as a part of what it carries, below which late first tokens do
   not lower the derating: their cause is another one. */
#define DERATING_LOAD_MIN 0.4

typedef struct
{
  guint64 from;
  gint64 received_us;
  HbwPoolDemand demand;
} Report;

/* Demand in one second.  Loads are computed from it when they are needed, as what a
   server carries is only learned with time. */
typedef struct
{
  HbwTierDemand total;
  HbwTierDemand highest_tier;
  guint alive_count;
} Second;

struct HbwCapacityHistory
{
  GHashTable *reports; /* identity -> Report */
  Second seconds[HBW_CAPACITY_HELD_S];
  guint second_count; /* since the last clear */
  HbwPoolDemand sum;
  guint heard;
  gint64 known_since_us; /* half of the instances were heard from then on; 0: no */
  HbwCapability capability;
  double pace;     /* prompt tokens per second of a server; 0 if unknown */
  double derating; /* factor on what a server carries */
};

HbwCapacityHistory *
hbw_capacity_history_create (void)
{
  HbwCapacityHistory *history = g_new0 (HbwCapacityHistory, 1);
  history->reports
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  history->derating = 1;
  return history;
}

void
hbw_capacity_history_destroy (HbwCapacityHistory *history)
{
  g_hash_table_destroy (history->reports);
  g_free (history);
}

void
hbw_capacity_history_clear (HbwCapacityHistory *history)
{
  g_hash_table_remove_all (history->reports);
  history->second_count = 0;
  history->heard = 0;
  history->known_since_us = 0;
  memset (&history->sum, 0, sizeof history->sum);
}

void
hbw_capacity_history_report (HbwCapacityHistory *history, guint64 from,
                             const HbwPoolDemand *demand, gint64 now_us)
{
  Report *report = g_hash_table_lookup (history->reports, &from);
  if (report == NULL && g_hash_table_size (history->reports) >= REPORTS_MAX)
    return;
  if (report == NULL)
    {
      report = g_new0 (Report, 1);
      report->from = from;
      g_hash_table_insert (history->reports, &report->from, report);
    }
  report->received_us = now_us;
  report->demand = *demand;
}

static int
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *) a;
  double right = *(const double *) b;
  return (left > right) - (left < right);
}

/* Adds up the valid reports and drops the others.  Returns the median pace, or 0. */
static double
add_reports (HbwCapacityHistory *history, gint64 now_us)
{
  GArray *paces = g_array_new (FALSE, FALSE, sizeof (double));
  GHashTableIter iter;
  gpointer value;
  memset (&history->sum, 0, sizeof history->sum);
  history->heard = 0;
  g_hash_table_iter_init (&iter, history->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Report *report = value;
      if (now_us - report->received_us > REPORT_VALID_US)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      history->heard++;
      hbw_pool_demand_add (&history->sum, &report->demand);
      if (report->demand.pace_tokens_per_s > 0)
        g_array_append_val (paces, report->demand.pace_tokens_per_s);
    }
  g_array_sort (paces, compare_doubles);
  double median = paces->len > 0 ? g_array_index (paces, double, paces->len / 2) : 0;
  g_array_free (paces, TRUE);
  return median;
}

/* Returns the second that is BACK seconds before the last one (borrowed). */
static const Second *
get_second (const HbwCapacityHistory *history, guint back)
{
  return &history->seconds[(history->second_count - 1 - back) % HBW_CAPACITY_HELD_S];
}

/* Instances that were alive a while ago may be partitioned from this one. */
static guint
count_expected (const HbwCapacityHistory *history, guint alive_count)
{
  guint expected = alive_count;
  for (guint i = 0; i < MIN (history->second_count, EXPECTED_S); i++)
    expected = MAX (expected, get_second (history, i)->alive_count);
  return expected;
}

static void
scale_tier (HbwTierDemand *tier, double factor)
{
  tier->prompt_tokens_per_s *= factor;
  tier->output_tokens_per_s *= factor;
  tier->requests_per_s *= factor;
  tier->refused_per_s *= factor;
  tier->late_per_s *= factor;
  tier->memory_tokens *= factor;
  tier->in_progress = (guint) (tier->in_progress * factor);
  tier->waiting = (guint) (tier->waiting * factor);
}

/* Instances that were not heard are taken to have as much demand as the others. */
static void
complete_sum (HbwCapacityHistory *history, guint expected)
{
  double factor = (double) expected / history->heard;
  for (guint i = 0; factor > 1 && i < HBW_TIER_COUNT; i++)
    scale_tier (&history->sum.tiers[i], MIN (factor, MISSING_FACTOR_MAX));
}

static void
learn_pace (HbwCapacityHistory *history, const HbwTierDemand *total,
            guint ready_count, double reported, gboolean is_late)
{
  if (reported > 0)
    history->pace = MAX (history->pace * PACE_DECAY, reported);
  if (is_late || total->waiting > 0 || ready_count == 0)
    return;
  double carried = total->prompt_tokens_per_s / ready_count;
  if (history->pace > 0 || carried > PACE_DEFAULT)
    history->pace = MAX (history->pace, carried);
}

/* Responses that are late although the servers' load is not high show that a server
   carries less than assumed. */
static void
learn_derating (HbwCapacityHistory *history, double load, guint ready_count,
                gboolean is_late)
{
  if (!is_late)
    history->derating = MIN (history->derating * DERATING_INCREASE, 1);
  else if (load > DERATING_LOAD_MIN * ready_count && load < ready_count)
    history->derating = MAX (history->derating * DERATING_DECREASE, DERATING_MIN);
}

static void
update_capability (HbwCapacityHistory *history, const HbwCapability *size)
{
  double pace = history->pace > 0 ? history->pace : PACE_DEFAULT;
  history->capability.prompt_tokens_per_s = pace * history->derating;
  history->capability.streams = size->streams * history->derating;
  history->capability.memory_tokens = size->memory_tokens;
}

static void
append_second (HbwCapacityHistory *history, guint alive_count,
               const HbwTierDemand *total)
{
  Second *second = &history->seconds[history->second_count % HBW_CAPACITY_HELD_S];
  *second = (Second){ .total = *total,
                      .highest_tier = history->sum.tiers[0],
                      .alive_count = alive_count };
  history->second_count++;
}

void
hbw_capacity_history_update (HbwCapacityHistory *history, guint alive_count,
                             guint ready_count, const HbwCapability *size,
                             gint64 now_us)
{
  double reported = add_reports (history, now_us);
  guint expected = count_expected (history, alive_count);
  if (history->heard == 0 || 2 * history->heard < expected)
    history->known_since_us = 0;
  else if (history->known_since_us == 0)
    history->known_since_us = now_us;
  if (history->heard == 0)
    return;
  complete_sum (history, expected);
  const HbwTierDemand total = hbw_pool_demand_total (&history->sum);
  gboolean is_late = total.requests_per_s > LATE_REQUESTS_MIN
                     && total.late_per_s > LATE_SHARE_MAX * total.requests_per_s;
  learn_pace (history, &total, ready_count, reported, is_late);
  update_capability (history, size);
  double load = hbw_capacity_load_of (&total, &history->capability);
  learn_derating (history, load, ready_count, is_late);
  append_second (history, alive_count, &total);
}

gboolean
hbw_capacity_history_is_known (const HbwCapacityHistory *history, gint64 now_us)
{
  return history->known_since_us > 0
         && now_us - history->known_since_us >= HBW_CAPACITY_KNOWN_US;
}

/* Loads of the seconds in memory, the latest first. */
typedef struct
{
  double loads[HBW_CAPACITY_HELD_S];
  guint count;
} Loads;

static void
read_loads (const HbwCapacityHistory *history, gboolean is_highest, Loads *loads)
{
  loads->count = MIN (history->second_count, HBW_CAPACITY_HELD_S);
  for (guint i = 0; i < loads->count; i++)
    {
      const Second *second = get_second (history, i);
      loads->loads[i] = hbw_capacity_load_of (
          is_highest ? &second->highest_tier : &second->total, &history->capability);
    }
}

/* Returns the mean of COUNT seconds, the last of them BACK seconds ago. */
static double
average_load (const Loads *loads, guint back, guint count)
{
  double sum = 0;
  guint end = MIN (back + count, loads->count);
  for (guint i = back; i < end; i++)
    sum += loads->loads[i];
  return end > back ? sum / (end - back) : 0;
}

static void
fill_load (const HbwCapacityHistory *history, gboolean is_highest,
           HbwCapacityLoad *load)
{
  Loads loads;
  memset (load, 0, sizeof *load);
  read_loads (history, is_highest, &loads);
  if (loads.count == 0)
    return;
  load->mean = average_load (&loads, 0, HBW_CAPACITY_RECENT_S);
  /* An increase is taken as it is; a decrease may be chance. */
  load->now = MAX (average_load (&loads, 0, NOW_S), loads.loads[0]);
  if (loads.count >= TREND_S + NOW_S)
    load->trend_per_s = MAX (average_load (&loads, 0, NOW_S)
                                 - average_load (&loads, TREND_S, NOW_S),
                             0)
                        / TREND_S;
  for (guint i = 0; i < loads.count; i++)
    {
      if (i < HBW_CAPACITY_RECENT_S)
        load->peak = MAX (load->peak, loads.loads[i]);
      load->held = MAX (load->held, loads.loads[i]);
      load->held_mean
          = MAX (load->held_mean, average_load (&loads, i, HBW_CAPACITY_RECENT_S));
    }
}

void
hbw_capacity_history_loads (const HbwCapacityHistory *history,
                            HbwCapacityLoad *total, HbwCapacityLoad *highest_tier)
{
  fill_load (history, FALSE, total);
  fill_load (history, TRUE, highest_tier);
}

const HbwCapability *
hbw_capacity_history_capability (const HbwCapacityHistory *history)
{
  return &history->capability;
}

const HbwPoolDemand *
hbw_capacity_history_demand (const HbwCapacityHistory *history)
{
  return &history->sum;
}

guint
hbw_capacity_history_heard (const HbwCapacityHistory *history)
{
  return history->heard;
}
